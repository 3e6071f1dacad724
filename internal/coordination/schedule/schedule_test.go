package schedule

import (
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

func TestStepsInOrder(t *testing.T) {
	b := newBench(t, "h1")
	b.add(idA, like(1, 1000), like(1, 1000, 0))
	first, _ := b.plan()
	b.wantStarts(first, idA+".0.0.0")
	b.accept(first...)
	none, _ := b.plan()
	b.wantStarts(none)
	b.pass(time.Second)
	b.held("h1", 1, ended(first[0], worker.HowDone))
	second, _ := b.plan()
	b.wantStarts(second, idA+".0.1.0")
}

func TestNothingIsSentBeforeItsRecord(t *testing.T) {
	b := newBench(t, "h1")
	b.add(idA, like(1, 1000))
	if orders := b.pool.Plan(b.now); !orders.Placed {
		t.Fatal("the task was not placed")
	}
	u, err := b.pool.TakeUnrecorded()
	if err != nil {
		t.Fatal(err)
	}
	// The job is cancelled while its record is on the way.
	b.pool.CancelJob(idA, b.now)
	b.wantStarts(b.pool.Recorded(u, b.now))
	if load := b.pool.Load(b.now); load.Hosts["h1"].Runs != 0 {
		t.Error("the run that was not sent holds its room")
	}
}

// TestStopAnswers repeats stops, as a slow conversation does: the task is started
// again once a list asked for after the first answer lacks the run.
func TestStopAnswers(t *testing.T) {
	b := newBench(t, "h1", "h2")
	b.add(idA, like(1, 1000))
	starts, _ := b.plan()
	s := starts[0]
	b.pool.Started(s.Target.ID, s.Order, b.now, worker.StartReply{}, false, errNoAnswer)
	b.pass(unsurePatience + time.Millisecond)
	for range 4 {
		sent := b.now
		_, orders := b.plan()
		for _, stop := range orders.Stops {
			b.pass(time.Millisecond)
			b.pool.Stopped(stop.Target.ID, stop.Order, b.now, nil)
		}
		// The hold was sent before the stop was answered, and lasts its wait.
		b.pass(time.Second)
		b.pool.Held(s.Target.ID, sent, b.now, worker.HoldReply{Clock: b.now.Sub(epoch) + time.Second, Life: 1})
		if again, _ := b.plan(); len(again) > 0 {
			b.wantStarts(again, idA+".0.0.0")
			if again[0].Order.Run <= s.Order.Run {
				t.Errorf("run %d follows run %d", again[0].Order.Run, s.Order.Run)
			}
			return
		}
	}
	t.Error("the task was not started again")
}

var errNoAnswer = errorText("no answer")

type errorText string

func (e errorText) Error() string { return string(e) }

func TestUnansweredStartMayRun(t *testing.T) {
	b := newBench(t, "h1", "h2")
	b.add(idA, like(1, 1000))
	starts, _ := b.plan()
	b.pool.Started(starts[0].Target.ID, starts[0].Order, b.now, worker.StartReply{}, false, errNoAnswer)
	for range 20 {
		b.pass(100 * time.Millisecond)
		if again, _ := b.plan(); len(again) > 0 {
			t.Fatalf("started again after %s, with the first start in doubt", b.now.Sub(epoch))
		}
	}
}

func TestSilentHostLapses(t *testing.T) {
	b := newBench(t, "h1", "h2")
	b.add(idA, like(1, 1000))
	starts, _ := b.plan()
	b.accept(starts...)
	silent := starts[0].Target.ID
	b.pool.HoldFailed(silent, errNoAnswer)
	from := b.now
	for b.now.Sub(from) < 7*time.Second {
		b.pass(100 * time.Millisecond)
		again, _ := b.plan()
		if len(again) == 0 {
			continue
		}
		if b.now.Sub(from) < 5*time.Second {
			t.Errorf("started again after %s, within the lease", b.now.Sub(from))
		}
		if again[0].Target.ID == silent {
			t.Error("started again on the silent host")
		}
		return
	}
	t.Error("not started again after the lease")
}

func TestSpeculativeTaskIsCopiedFromASilentHost(t *testing.T) {
	b := newBench(t, "h1", "h2")
	copied := like(1, 1000)
	copied.Speculative = true
	b.add(idA, copied)
	starts, _ := b.plan()
	b.accept(starts...)
	b.pool.HoldFailed(starts[0].Target.ID, errNoAnswer)
	b.pass(desertedAfter + time.Millisecond)
	again, _ := b.plan()
	b.wantStarts(again, idA+".0.0.0")
	b.pass(100 * time.Millisecond)
	third, _ := b.plan()
	b.wantStarts(third)
}

func TestOvertakenAnswerIsLeftOut(t *testing.T) {
	b := newBench(t, "h1")
	b.add(idA, like(1, 1000))
	starts, _ := b.plan()
	b.accept(starts...)
	clock := b.now.Sub(epoch) + time.Second
	b.pass(time.Second)
	b.held("h1", 1, ended(starts[0], worker.HowDone))
	b.plan()
	old := []worker.Running{{Task: starts[0].Order.Task, Run: starts[0].Order.Run, Percent: 100, Gauge: 1}}
	b.pool.Held("h1", b.now, b.now, worker.HoldReply{Clock: clock, Life: 1, Running: old})
	if runs := b.pool.Load(b.now).Hosts["h1"].Runs; runs != 0 {
		t.Errorf("%d runs after an answer that was overtaken", runs)
	}
}

func TestGoneHostLapsesAtOnce(t *testing.T) {
	b := newBench(t, "h1", "h2")
	b.add(idA, like(1, 1000))
	starts, _ := b.plan()
	b.accept(starts...)
	b.pool.HoldFailed(starts[0].Target.ID, errNoAnswer)
	b.pool.Gone(starts[0].Target.ID, b.now)
	again, _ := b.plan()
	b.wantStarts(again, idA+".0.0.0")
}

func TestFailuresEndTheJob(t *testing.T) {
	b := newBench(t, "h1")
	b.add(idA, like(1, 1000))
	for n := range 2 {
		starts, _ := b.plan()
		if len(starts) != 1 {
			t.Fatalf("%d starts for attempt %d", len(starts), n+1)
		}
		b.accept(starts...)
		b.held("h1", 1, ended(starts[0], worker.HowFailed))
		b.pass(time.Second)
	}
	if state, _ := b.pool.State(idA); state == job.Failed {
		t.Error("the end is shown before it is recorded")
	}
	none, _ := b.plan()
	b.wantStarts(none)
	if state, _ := b.pool.State(idA); state != job.Failed {
		t.Errorf("state %q; want failed", state)
	}
}

// TestFailuresCountOnce gives a new owner an end that the last one had recorded.
func TestFailuresCountOnce(t *testing.T) {
	state := jobs.New(&job.Job{ID: idA, Queue: "tiles", Pool: "maps", Steps: []job.Step{like(1, 1000)}, MaxAttempts: 2})
	state.MarkFailed(0, 0, 0, 5)
	b := newBench(t, "h1")
	b.pool.AddJob(state)
	b.held("h1", 1, worker.Ended{Task: worker.TaskName{Job: idA}, Run: 5, How: worker.HowFailed})
	b.pass(time.Second)
	starts, _ := b.plan()
	b.wantStarts(starts, idA+".0.0.0")
}

func TestNewLifeStartsAgain(t *testing.T) {
	b := newBench(t, "h1")
	b.add(idA, like(1, 1000))
	starts, _ := b.plan()
	b.accept(starts...)
	b.ends["h1"] = 0
	b.held("h1", 2)
	again, _ := b.plan()
	b.wantStarts(again, idA+".0.0.0")
}

func TestInheritedRunIsNotStartedTwice(t *testing.T) {
	state := jobs.New(&job.Job{ID: idA, Queue: "tiles", Pool: "maps", Steps: []job.Step{like(1, 1000)}, MaxAttempts: 2, AcceptedAt: epoch})
	state.Placements = []jobs.Placement{{Task: worker.TaskName{Job: idA}, Run: 5, Host: "silent"}}
	b := newBench(t, "h1")
	b.pool.AddJob(state)
	from := b.now
	for b.now.Sub(from) < 20*time.Second {
		b.pass(100 * time.Millisecond)
		if again, _ := b.plan(); len(again) > 0 {
			// The last owner may act for 6 s, and then its lease of 5 s runs out.
			if b.now.Sub(from) < 11*time.Second {
				t.Errorf("started again after %s", b.now.Sub(from))
			}
			return
		}
	}
	t.Error("never started again")
}

func TestInheritedRunEndsElsewhere(t *testing.T) {
	state := jobs.New(&job.Job{ID: idA, Queue: "tiles", Pool: "maps", Steps: []job.Step{like(1, 1000)}, MaxAttempts: 2, AcceptedAt: epoch})
	state.Placements = []jobs.Placement{{Task: worker.TaskName{Job: idA}, Run: 5, Host: "h1"}}
	b := newBench(t, "h1")
	b.pool.AddJob(state)
	b.held("h1", 1, worker.Ended{Task: worker.TaskName{Job: idA}, Run: 5, How: worker.HowDone})
	none, _ := b.plan()
	b.wantStarts(none)
	if shown, _ := b.pool.State(idA); shown != job.Done {
		t.Errorf("state %q; want done", shown)
	}
}

func TestGangStartsWholeOrNot(t *testing.T) {
	b := newBench(t, "h1")
	gang := like(3, 6000)
	gang.Gang = true
	b.add(idA, gang)
	none, _ := b.plan()
	b.wantStarts(none)
	b.list("h1", "h2")
	b.held("h2", 1)
	all, _ := b.plan()
	if len(all) != 3 {
		t.Fatalf("%d of 3 members started", len(all))
	}
	for _, s := range all {
		if s.Order.Run != all[0].Order.Run {
			t.Error("the members' runs differ")
		}
	}
}

func TestHangingGangIsStopped(t *testing.T) {
	b := newBench(t, "h1")
	gang := like(2, 1000)
	gang.Gang = true
	b.add(idA, gang)
	starts, _ := b.plan()
	b.accept(starts...)
	var running []worker.Running
	for _, s := range starts {
		running = append(running, worker.Running{Task: s.Order.Task, Run: s.Order.Run, Percent: 100, Gauge: 1})
	}
	for range 12 {
		b.pass(500 * time.Millisecond)
		b.heldRunning("h1", 1, running)
		if _, orders := b.plan(); len(orders.Stops) == 2 {
			return
		}
	}
	t.Error("the gang was left standing")
}

func TestSpreadAndRoom(t *testing.T) {
	b := newBench(t, "h1", "h2")
	spread := like(4, 10000)
	spread.MaxPerHost = 1
	b.add(idA, spread)
	starts, _ := b.plan()
	if len(starts) != 2 || starts[0].Target.ID == starts[1].Target.ID {
		t.Errorf("%v started; want one on each host", names(starts))
	}
}

func TestDrainingHostGetsNothing(t *testing.T) {
	b := newBench(t, "h1")
	leaving := report("h1")
	leaving.Draining = true
	b.pool.SetHosts([]worker.Report{leaving}, b.now)
	b.add(idA, like(1, 1000))
	none, _ := b.plan()
	b.wantStarts(none)
}

func TestPreemption(t *testing.T) {
	b := newBench(t, "h1")
	b.pool.AddJob(jobs.New(&job.Job{
		ID: idB, Queue: "rebuild", Pool: "maps", Priority: 1, MaxAttempts: 2, AcceptedAt: b.now, Stretch: 2,
		Steps: []job.Step{{Tasks: 1, Needs: worker.Resources{CPU: 16000}, Estimate: 20 * time.Second, SavesProgress: true}},
	}))
	starts, _ := b.plan()
	b.accept(starts...)
	b.pass(time.Second)
	b.add(idA, like(1, 1000))
	_, orders := b.plan()
	if len(orders.Stops) != 1 || orders.Stops[0].Order.Task.Job != idB {
		t.Errorf("stops %v; want the less urgent job's run", orders.Stops)
	}
}
