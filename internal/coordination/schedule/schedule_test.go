package schedule

import (
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

func TestStepsInOrder(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000), testStep(1, 1000, 0))
	first, _ := h.plan()
	h.wantStarts(first, idA+".0.0.0")
	h.accept(first...)
	none, _ := h.plan()
	h.wantStarts(none)
	h.advance(time.Second)
	h.renew("h1", 1, endedRun(first[0], worker.OutcomeDone))
	second, _ := h.plan()
	h.wantStarts(second, idA+".0.1.0")
}

// TestStartWaitsForItsRecord cancels a job between the placement of its task and the record of
// it. The start must not be sent and the reserved capacity must be freed.
func TestStartWaitsForItsRecord(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	if orders := h.pool.Plan(h.now); !orders.HasPlacements {
		t.Fatal("the task was not placed")
	}
	u, err := h.pool.TakeUnrecorded()
	if err != nil {
		t.Fatal(err)
	}
	// The job is cancelled while its record is being written.
	h.pool.CancelJob(idA, h.now)
	h.wantStarts(h.pool.Recorded(u, h.now))
	if load := h.pool.Load(h.now); load.Hosts["h1"].Runs != 0 {
		t.Error("the run that was not sent still reserves capacity")
	}
}

// TestStopAnswers answers repeated stops while the renewal replies are slow. The task must be
// started again once the reply to a renewal sent after the first answer no longer lists the
// run; repeated answers must not delay this.
func TestStopAnswers(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	s := starts[0]
	h.pool.Started(s.Target.ID, s.Order, h.now, worker.StartReply{}, false, errNoAnswer)
	h.advance(unknownStartTimeout + time.Millisecond)
	for range 4 {
		sent := h.now
		_, orders := h.plan()
		for _, stop := range orders.Stops {
			h.advance(time.Millisecond)
			h.pool.Stopped(stop.Target.ID, stop.Order, h.now, h.now, nil)
		}
		// The renewal was sent before the stop was answered and takes its full wait.
		h.advance(time.Second)
		h.pool.ApplyRenewal(s.Target.ID, h.pool.probe(s.Target.ID), sent, h.now, worker.RenewalReply{Clock: h.now.Sub(epoch) + time.Second, Incarnation: 1})
		if again, _ := h.plan(); len(again) > 0 {
			h.wantStarts(again, idA+".0.0.0")
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

// TestUnansweredStartMayRun leaves a start without an answer. The run may exist, so the task must
// not be started a second time within its lease.
func TestUnansweredStartMayRun(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.pool.Started(starts[0].Target.ID, starts[0].Order, h.now, worker.StartReply{}, false, errNoAnswer)
	for range 20 {
		h.advance(100 * time.Millisecond)
		if again, _ := h.plan(); len(again) > 0 {
			t.Fatalf("started again after %s, with the outcome of the first start unknown", h.now.Sub(epoch))
		}
	}
}

func TestLeaseOfUnresponsiveHostExpires(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	// The leases of a former owner are over.
	h.advance(h.pool.limits.maxGrantedDuration())
	h.renew("h1", 1)
	h.renew("h2", 1)
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.accept(starts...)
	unresponsive := starts[0].Target.ID
	h.pool.RenewalFailed(unresponsive, h.now, h.now, errNoAnswer)
	from := h.now
	for h.now.Sub(from) < 7*time.Second {
		h.advance(100 * time.Millisecond)
		again, _ := h.plan()
		if len(again) == 0 {
			continue
		}
		if h.now.Sub(from) < 5*time.Second {
			t.Errorf("started again after %s, within the lease", h.now.Sub(from))
		}
		if again[0].Target.ID == unresponsive {
			t.Error("started again on the unresponsive host")
		}
		return
	}
	t.Error("not started again after the lease")
}

func TestSpeculativeTaskIsCopiedFromUnresponsiveHost(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	copied := testStep(1, 1000)
	copied.Speculative = true
	h.add(idA, copied)
	starts, _ := h.plan()
	h.accept(starts...)
	h.pool.RenewalFailed(starts[0].Target.ID, h.now, h.now, errNoAnswer)
	h.advance(strandedAfter + time.Millisecond)
	again, _ := h.plan()
	h.wantStarts(again, idA+".0.0.0")
	h.advance(100 * time.Millisecond)
	third, _ := h.plan()
	h.wantStarts(third)
}

// TestOutdatedReplyIsIgnored delivers a renewal reply after a later one that ended the run. The
// stale list must not bring the run back.
func TestOutdatedReplyIsIgnored(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.accept(starts...)
	clock := h.now.Sub(epoch) + time.Second
	h.advance(time.Second)
	h.renew("h1", 1, endedRun(starts[0], worker.OutcomeDone))
	h.plan()
	old := []worker.ActiveRun{{Task: starts[0].Order.Task, Run: starts[0].Order.Run, Percent: 100, Usage: 1}}
	h.pool.ApplyRenewal("h1", h.pool.probe("h1"), h.now, h.now, worker.RenewalReply{Clock: clock, Incarnation: 1, Running: old})
	if runs := h.pool.Load(h.now).Hosts["h1"].Runs; runs != 0 {
		t.Errorf("%d runs after an outdated reply", runs)
	}
}

func TestGoneHostExpiresAtOnce(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.accept(starts...)
	h.pool.RenewalFailed(starts[0].Target.ID, h.now, h.now, errNoAnswer)
	h.pool.WorkerEnded(starts[0].Target.ID, h.lastSeen(starts[0].Target.ID), h.now)
	again, _ := h.plan()
	h.wantStarts(again, idA+".0.0.0")
}

func TestFailuresEndTheJob(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	for n := range 2 {
		starts, _ := h.plan()
		if len(starts) != 1 {
			t.Fatalf("%d starts for attempt %d", len(starts), n+1)
		}
		h.accept(starts...)
		h.renew("h1", 1, endedRun(starts[0], worker.OutcomeFailed))
		h.advance(time.Second)
	}
	if state, _ := h.pool.State(idA); state == job.Failed {
		t.Error("the failed state is visible before it is recorded")
	}
	none, _ := h.plan()
	h.wantStarts(none)
	if state, _ := h.pool.State(idA); state != job.Failed {
		t.Errorf("state %q; want failed", state)
	}
}

// TestFailuresCountOnce reports to a new owner a failed run that the previous owner had
// already recorded.
// The failure must not count twice, which would fail the job early.
func TestFailuresCountOnce(t *testing.T) {
	state := jobs.New(&job.Job{ID: idA, Queue: "tiles", Pool: "maps", Steps: []job.Step{testStep(1, 1000)}, MaxAttempts: 2})
	state.MarkFailed(0, 0, 0, 5)
	h := newHarness(t, "h1")
	h.pool.AddJob(state)
	h.renew("h1", 1, worker.EndedRun{Task: worker.TaskName{Job: idA}, Run: 5, Outcome: worker.OutcomeFailed})
	h.advance(time.Second)
	starts, _ := h.plan()
	h.wantStarts(starts, idA+".0.0.0")
}

func TestNewIncarnationRestartsTask(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.accept(starts...)
	h.ends["h1"] = 0
	h.renew("h1", 2)
	again, _ := h.plan()
	h.wantStarts(again, idA+".0.0.0")
}

// TestInheritedRunIsNotStartedTwice inherits a run on a host that never answers. The task must not
// be started again before the previous owner's last lease has expired.
func TestInheritedRunIsNotStartedTwice(t *testing.T) {
	state := jobs.New(&job.Job{ID: idA, Queue: "tiles", Pool: "maps", Steps: []job.Step{testStep(1, 1000)}, MaxAttempts: 2, AcceptedAt: epoch})
	state.Placements = []jobs.Placement{{Task: worker.TaskName{Job: idA}, Run: 5, Host: "silent"}}
	h := newHarness(t, "h1")
	h.pool.AddJob(state)
	from := h.now
	for h.now.Sub(from) < 20*time.Second {
		h.advance(100 * time.Millisecond)
		if again, _ := h.plan(); len(again) > 0 {
			// The last owner may act for 6 s, and then its lease of 5 s expires.
			if h.now.Sub(from) < 11*time.Second {
				t.Errorf("started again after %s", h.now.Sub(from))
			}
			return
		}
	}
	t.Error("never started again")
}

func TestEndOfInheritedRunIsApplied(t *testing.T) {
	state := jobs.New(&job.Job{ID: idA, Queue: "tiles", Pool: "maps", Steps: []job.Step{testStep(1, 1000)}, MaxAttempts: 2, AcceptedAt: epoch})
	state.Placements = []jobs.Placement{{Task: worker.TaskName{Job: idA}, Run: 5, Host: "h1"}}
	h := newHarness(t, "h1")
	h.pool.AddJob(state)
	h.renew("h1", 1, worker.EndedRun{Task: worker.TaskName{Job: idA}, Run: 5, Outcome: worker.OutcomeDone})
	none, _ := h.plan()
	h.wantStarts(none)
	if shown, _ := h.pool.State(idA); shown != job.Done {
		t.Errorf("state %q; want done", shown)
	}
}

func TestGangStartsWholeOrNot(t *testing.T) {
	h := newHarness(t, "h1")
	gang := testStep(3, 6000)
	gang.Gang = true
	h.add(idA, gang)
	none, _ := h.plan()
	h.wantStarts(none)
	h.list("h1", "h2")
	h.renew("h2", 1)
	all, _ := h.plan()
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
	h := newHarness(t, "h1")
	gang := testStep(2, 1000)
	gang.Gang = true
	h.add(idA, gang)
	starts, _ := h.plan()
	h.accept(starts...)
	var running []worker.ActiveRun
	for _, s := range starts {
		running = append(running, worker.ActiveRun{Task: s.Order.Task, Run: s.Order.Run, Percent: 100, Usage: 1})
	}
	for range 12 {
		h.advance(500 * time.Millisecond)
		h.renewRunning("h1", 1, running)
		if _, orders := h.plan(); len(orders.Stops) == 2 {
			return
		}
	}
	t.Error("the hanging gang was not stopped")
}

func TestMaxPerHostSpreadsTasks(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	spread := testStep(4, 10000)
	spread.MaxPerHost = 1
	h.add(idA, spread)
	starts, _ := h.plan()
	if len(starts) != 2 || starts[0].Target.ID == starts[1].Target.ID {
		t.Errorf("%v started; want one on each host", taskNames(starts))
	}
}

func TestDrainingHostGetsNoStarts(t *testing.T) {
	h := newHarness(t, "h1")
	leaving := report("h1")
	leaving.Draining = true
	h.pool.SetHosts([]worker.Report{leaving}, h.now)
	h.add(idA, testStep(1, 1000))
	none, _ := h.plan()
	h.wantStarts(none)
}

func TestPreemption(t *testing.T) {
	h := newHarness(t, "h1")
	h.pool.AddJob(jobs.New(&job.Job{
		ID: idB, Queue: "rebuild", Pool: "maps", Priority: 1, MaxAttempts: 2, AcceptedAt: h.now, Stretch: 2,
		Steps: []job.Step{{Tasks: 1, Needs: worker.Resources{CPU: 16000}, Estimate: 20 * time.Second, SavesProgress: true}},
	}))
	starts, _ := h.plan()
	h.accept(starts...)
	h.advance(time.Second)
	h.add(idA, testStep(1, 1000))
	_, orders := h.plan()
	if len(orders.Stops) != 1 || orders.Stops[0].Order.Task.Job != idB {
		t.Errorf("stops %v; want the less urgent job's run", orders.Stops)
	}
}
