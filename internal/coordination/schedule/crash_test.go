package schedule

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// crash ends a host's worker as a crash does.
func (h *harness) crash(id worker.ID) {
	h.pool.RenewalFailed(id, h.now, h.now, errNoAnswer)
	h.pool.WorkerEnded(id, h.lastSeen(id), h.now)
}

// survive lets a host list runs after the time in which they could have crashed it.
func (h *harness) survive(id worker.ID, incarnation worker.Incarnation, starts ...Start) {
	h.advance(startupTime)
	var running []worker.ActiveRun
	for _, s := range starts {
		running = append(running, worker.ActiveRun{Task: s.Order.Task, Run: s.Order.Run, Percent: 100, Usage: 1})
	}
	h.renewRunning(id, incarnation, running)
}

func (h *harness) wantState(id job.ID, want job.State) {
	h.Helper()
	h.record()
	if state, _ := h.pool.State(id); state != want {
		h.Errorf("job %s is %q; want %s", id, state, want)
	}
}

func sortStarts(starts []Start) {
	slices.SortFunc(starts, func(a, b Start) int { return cmp.Compare(a.Order.Task.String(), b.Order.Task.String()) })
}

// TestDeadlyTaskIsStartedAgain: a task that crashed two hosts, the second one alone, is given up.
func TestDeadlyTaskIsStartedAgain(t *testing.T) {
	h := newHarness(t, "h1", "h2", "h3")
	h.add(idA, testStep(1, 1000))
	for range 2 {
		starts, _ := h.plan()
		h.wantStarts(starts, idA+".0.0.0")
		h.accept(starts...)
		h.crash(starts[0].Target.ID)
		h.advance(time.Second)
	}
	h.wantState(idA, job.Failed)
	none, _ := h.plan()
	h.wantStarts(none)
}

// TestUnansweredStartIsBlamed: a host may have crashed before it began the task.
func TestUnansweredStartIsBlamed(t *testing.T) {
	for name, settle := range map[string]func(*harness, worker.ID){
		"the worker is back": func(h *harness, id worker.ID) {
			h.renew(id, 2)
			h.advance(lateOrderTime)
			h.renewFirstLives("h1", "h2", "h3")
		},
		"the worker is gone": func(h *harness, id worker.ID) {
			h.advance(lateOrderTime + time.Millisecond)
			h.pool.WorkerEnded(id, h.lastSeen(id), h.now)
			h.renewFirstLives("h1", "h2", "h3")
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "h1", "h2", "h3")
			h.add(idA, testStep(1, 1000))
			first, _ := h.plan()
			h.crash(first[0].Target.ID)
			settle(h, first[0].Target.ID)
			for _, want := range []job.State{job.Running, job.Failed} {
				h.advance(time.Second)
				starts, _ := h.plan()
				h.wantStarts(starts, idA+".0.0.0")
				h.accept(starts...)
				h.crash(starts[0].Target.ID)
				h.wantState(idA, want)
			}
		})
	}
}

// renewFirstLives delivers the replies of the hosts whose workers have not crashed.
func (h *harness) renewFirstLives(ids ...worker.ID) {
	for _, id := range ids {
		if h.pool.hosts[id].incarnation == 1 {
			h.renew(id, 1)
		}
	}
}

// TestCrashIsBlamedOnce guards against a job that is given up for one crash: the run whose start got no
// answer outlasts the others of its host, and is alone when the crash is seen again.
func TestCrashIsBlamedOnce(t *testing.T) {
	for name, again := range map[string]func(*harness){
		"by the next incarnation": func(h *harness) { h.renew("h1", 2) },
		"by the expiry": func(h *harness) {
			h.advance(lateOrderTime + h.pool.limits.maxGrantedDuration())
			h.plan()
		},
		"by the list of machines": func(h *harness) {
			h.advance(lateOrderTime + time.Millisecond)
			h.pool.WorkerEnded("h1", h.lastSeen("h1"), h.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "h1")
			h.add(idA, testStep(1, 1000))
			h.add(idB, testStep(1, 1000))
			for run := range int64(blamedCrashes) {
				h.pool.jobs[idA].MarkCrashed(0, 0, 0, run)
			}
			starts, _ := h.plan()
			sortStarts(starts)
			h.wantStarts(starts, idA+".0.0.0", idB+".0.0.0")
			h.accept(starts[1])
			h.advance(time.Millisecond)
			h.crash("h1")
			again(h)
			if h.pool.jobs[idA].Ended() {
				t.Error("the job was given up")
			}
		})
	}
}

// TestSuspectsShareAHost: if two suspects start on one host, a crash does not tell the cause.
func TestSuspectsShareAHost(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	h.add(idB, testStep(1, 1000))
	starts, _ := h.plan()
	sortStarts(starts)
	h.wantStarts(starts, idA+".0.0.0", idB+".0.0.0")
	h.accept(starts...)
	h.list("h1", "h2", "h3")
	h.renew("h2", 1)
	h.renew("h3", 1)
	h.crash("h1")
	h.add("cccccccccccccccc", testStep(1, 1000))
	again, _ := h.plan()
	sortStarts(again)
	h.wantStarts(again, idA+".0.0.0", idB+".0.0.0")
	if again[0].Target.ID == again[1].Target.ID {
		t.Errorf("both suspects were started on %s", again[0].Target.ID)
	}
	h.accept(again...)
	h.survive(again[0].Target.ID, 1, again[0])
	third, _ := h.plan()
	h.wantStarts(third, "cccccccccccccccc.0.0.0")
	h.accept(third...)
	h.crash(again[1].Target.ID)
	h.wantState(idB, job.Failed)
	h.wantState(idA, job.Running)
}

// TestWorkingTaskIsBlamedForACrash: another task that had just been started is the cause.
func TestWorkingTaskIsBlamedForACrash(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	for n := range likelyCrashes {
		starts, _ := h.plan()
		h.wantStarts(starts, idA+".0.0.0")
		h.accept(starts...)
		h.survive(starts[0].Target.ID, worker.Incarnation(1+n), starts...)
		deadly := job.ID(string(rune('b'+n)) + "bbbbbbbbbbbbbbb")
		h.add(deadly, testStep(1, 1000))
		second, _ := h.plan()
		h.wantStarts(second, string(deadly)+".0.0.0")
		h.crash(second[0].Target.ID)
		h.pool.CancelJob(deadly, h.now)
		h.advance(time.Second)
		h.renew("h1", worker.Incarnation(2+n))
	}
	h.wantState(idA, job.Running)
	starts, _ := h.plan()
	h.wantStarts(starts, idA+".0.0.0")
}

// TestLateCrashIsNotBlamed: a task that crashes its hosts only after a while is given up, too.
func TestLateCrashIsNotBlamed(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	for n := range maxCrashes {
		starts, _ := h.plan()
		h.wantStarts(starts, idA+".0.0.0")
		h.accept(starts...)
		h.advance(time.Second)
		h.renewRunning("h1", worker.Incarnation(1+n), []worker.ActiveRun{{Task: starts[0].Order.Task, Run: starts[0].Order.Run, Percent: 100, Usage: 1}})
		h.crash("h1")
		h.renew("h1", worker.Incarnation(2+n))
	}
	h.wantState(idA, job.Failed)
}

// inheritCrashed adds a job from the record of an earlier owner, with crashes under its task.
func (h *harness) inheritCrashed(id job.ID, crashes int64, placed ...jobs.Placement) {
	h.Helper()
	definition := &job.Job{ID: id, Queue: "tiles", Pool: "maps", Steps: []job.Step{testStep(1, 1000)}, MaxAttempts: 2, AcceptedAt: epoch}
	before := jobs.New(definition)
	before.Placements = placed
	for run := range crashes {
		before.MarkCrashed(0, 0, 0, run)
	}
	data, err := before.MarshalProgress()
	if err != nil {
		h.Fatal(err)
	}
	inherited := jobs.New(definition)
	if err := inherited.ApplyProgress(data); err != nil {
		h.Fatal(err)
	}
	h.pool.AddJob(inherited)
}

// TestCrashesAreForgottenWithTheOwner: an owner counts the crashes before its tenure.
func TestCrashesAreForgottenWithTheOwner(t *testing.T) {
	h := newHarness(t, "h2")
	h.inheritCrashed(idA, maxCrashes-1)
	starts, _ := h.plan()
	h.wantStarts(starts, idA+".0.0.0")
	h.accept(starts...)
	h.crash("h2")
	h.wantState(idA, job.Failed)
}

// TestInheritedRunClearsItsCrashes: that a host lists an inherited run does not mean that it has
// survived the run for long.
func TestInheritedRunClearsItsCrashes(t *testing.T) {
	h := newHarness(t)
	run := worker.ActiveRun{Task: worker.TaskName{Job: idA}, Run: 100, Percent: 100, Usage: 1}
	h.inheritCrashed(idA, maxCrashes-1, jobs.Placement{Task: run.Task, Run: run.Run, Host: "h1"})
	h.list("h1")
	h.renewRunning("h1", 1, []worker.ActiveRun{run})
	h.plan()
	h.crash("h1")
	h.wantState(idA, job.Failed)
}

// TestOrderedEndIsBlamed: a host that was draining or cordoned has not crashed.
func TestOrderedEndIsBlamed(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.accept(starts...)
	h.pool.Restrict([]worker.ID{starts[0].Target.ID}, UseNone, h.now)
	h.crash(starts[0].Target.ID)
	starts, _ = h.plan()
	h.wantStarts(starts, idA+".0.0.0")
	h.accept(starts...)
	leaving := report(starts[0].Target.ID)
	leaving.Draining = true
	h.pool.SetHosts([]worker.Report{leaving}, h.now)
	h.crash(leaving.ID)
	if n := len(h.pool.suspects); n != 0 {
		t.Errorf("%d tasks are suspected; want none", n)
	}
}

// TestCrashOfACordonedHostIsNotCounted: a host crashes under a run that was started just before it
// was cordoned. It can't have been ordered away so soon.
func TestCrashOfACordonedHostIsNotCounted(t *testing.T) {
	for after, suspects := range map[time.Duration]int{8 * time.Millisecond: 1, startupTime: 0} {
		h := newHarness(t, "h1")
		h.add(idA, testStep(1, 1000))
		starts, _ := h.plan()
		h.accept(starts...)
		h.pool.Restrict([]worker.ID{"h1"}, UseNone, h.now)
		h.advance(after)
		h.crash("h1")
		if n := len(h.pool.suspects); n != suspects {
			t.Errorf("%d tasks are suspected of a crash %s after the cordon; want %d", n, after, suspects)
		}
	}
}

// TestCrashThatNobodyTellsIsNotCounted: hosts break off under a task and don't answer until their
// leases are over, while the owner of the machines can't be asked. Hosts that are cut off don't break
// off.
func TestCrashThatNobodyTellsIsNotCounted(t *testing.T) {
	for silentAfter, want := range map[time.Duration]job.State{8 * time.Millisecond: job.Failed, silenceOfACutOff: job.Running} {
		h := newHarness(t, "h1")
		h.add(idA, testStep(1, 1000))
		for n := range worker.Incarnation(maxCrashes) {
			starts, _ := h.plan()
			h.wantStarts(starts, idA+".0.0.0")
			h.accept(starts...)
			h.advance(silentAfter)
			h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
			h.advance(h.pool.limits.maxGrantedDuration())
			h.plan()
			h.renew("h1", 2+n)
		}
		h.wantState(idA, want)
	}
}

// TestLongRunningTaskCollectsCrashes: hosts crash now and then under a task that works for long.
func TestLongRunningTaskCollectsCrashes(t *testing.T) {
	h := newHarness(t, "h1")
	longRunning := testStep(1, 1000)
	longRunning.LongRunning = true
	h.add(idA, longRunning)
	for n := range 2 * maxCrashes {
		starts, _ := h.plan()
		h.wantStarts(starts, idA+".0.0.0")
		h.accept(starts...)
		h.advance(soundRunTime)
		h.renewRunning("h1", worker.Incarnation(1+n), []worker.ActiveRun{{Task: starts[0].Order.Task, Run: starts[0].Order.Run, Percent: 100}})
		h.crash("h1")
		h.renew("h1", worker.Incarnation(2+n))
	}
	h.wantState(idA, job.Running)
}

// TestAdoptedRunIsBlamedAsIfJustStarted: a run of an earlier owner may have worked for long when
// this owner first sees it.
func TestAdoptedRunIsBlamedAsIfJustStarted(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	for n := range blamedCrashes {
		adopted := worker.ActiveRun{Task: worker.TaskName{Job: idA}, Run: int64(100 + n), Percent: 100, Usage: 1}
		h.renewRunning("h1", worker.Incarnation(1+n), []worker.ActiveRun{adopted})
		h.crash("h1")
	}
	h.wantState(idA, job.Running)
}

// TestRestartAfterDrainIsBlamed: a worker that has drained may be back under its ID, and have
// reported, before it answers.
func TestRestartAfterDrainIsBlamed(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	for n := range worker.Incarnation(blamedCrashes) {
		starts, _ := h.plan()
		h.wantStarts(starts, idA+".0.0.0")
		h.accept(starts...)
		life := report("h1")
		life.Incarnation, life.Draining = 1+n, true
		h.pool.SetHosts([]worker.Report{life}, h.now)
		h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
		life.Incarnation, life.Draining = 2+n, false
		h.pool.SetHosts([]worker.Report{life}, h.now)
		h.renew("h1", 2+n)
	}
	h.wantState(idA, job.Running)
	if n := len(h.pool.suspects); n != 0 {
		t.Errorf("%d tasks are suspected; want none", n)
	}
}

// TestRunsOfAGivenUpJobAreStoppedUnrecorded: a later owner, which does not know that the job was
// given up, would have to start them again.
func TestRunsOfAGivenUpJobAreStoppedUnrecorded(t *testing.T) {
	h := newHarness(t, "h1", "h2", "h3")
	serving := testStep(2, 1000)
	serving.LongRunning, serving.MaxPerHost, serving.MaxUnavailable = true, 1, 1
	h.add(idA, serving)
	starts, _ := h.plan()
	sortStarts(starts)
	h.wantStarts(starts, idA+".0.0.0", idA+".0.0.1")
	h.accept(starts...)
	sound := starts[0]
	h.survive(sound.Target.ID, 1, sound)
	h.crash(starts[1].Target.ID)
	again, _ := h.plan()
	h.wantStarts(again, idA+".0.0.1")
	h.accept(again...)
	h.crash(again[0].Target.ID)
	if n := len(h.pool.Plan(h.now).Stops); n != 0 {
		t.Errorf("%d runs are stopped before the state is recorded; want none", n)
	}
	h.wantState(idA, job.Failed)
	stops := h.pool.Plan(h.now).Stops
	if len(stops) != 1 || stops[0].Order.Task != sound.Order.Task {
		t.Errorf("stops %v; want one of %s", stops, sound.Order.Task)
	}
}
