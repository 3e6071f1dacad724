package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// restart delivers the first list of a host's next incarnation, whose clock begins anew, and returns
// the function that delivers the later ones.
func (h *harness) restart(id worker.ID) (list func(ended ...worker.EndedRun)) {
	began := h.now
	list = func(ended ...worker.EndedRun) {
		sent := h.now
		h.advance(5 * time.Millisecond)
		h.answer(id, sent, worker.RenewalReply{Clock: h.now.Sub(began), Incarnation: 2, Ended: ended})
	}
	list()
	return list
}

// TestLateListOfAnEarlierIncarnationIsIgnored guards against runs that are taken for lost, and
// started again elsewhere: the list was on its way while the next incarnation answered.
func TestLateListOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	h := newHarness(t, "h1")
	h.advance(time.Second)
	sent, clock := h.now, h.clock()
	h.restart("h1")
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.accept(starts...)
	h.pool.ApplyRenewal("h1", h.pool.probe("h1"), sent, h.now, worker.RenewalReply{Clock: clock, Incarnation: 1})
	again, _ := h.plan()
	h.wantStarts(again)
}

// TestLateAnswerOfAnEarlierIncarnationDoesNotSetTheClock guards against a host whose lists are all
// ignored: the clock of its earlier incarnation was ahead.
func TestLateAnswerOfAnEarlierIncarnationDoesNotSetTheClock(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(2, 1000))
	starts, _ := h.plan()
	clock := h.clock()
	list := h.restart("h1")
	h.pool.Started("h1", starts[0].Order, h.now, worker.StartReply{Clock: clock}, false, nil)
	end := endedRun(starts[1], worker.OutcomeDone)
	end.Number = 1
	list(end)
	if !h.pool.HasUnrecordedEnds("h1") {
		t.Error("the list of the present incarnation was ignored")
	}
}

// noAnswer leaves starts without an answer.
func (h *harness) noAnswer(starts ...Start) {
	for _, s := range starts {
		h.pool.Started(s.Target.ID, s.Order, h.now, worker.StartReply{}, false, errNoAnswer)
	}
}

// renewal returns the next renewal of a host.
func (h *harness) renewal(id worker.ID) worker.RenewalOrder {
	h.Helper()
	order, ok := h.pool.NextRenewal(id, h.now)
	if !ok {
		h.Fatalf("host %s has left the pool", id)
	}
	return order
}

// TestStartWithoutAnAnswerWaitsForTheFence guards against a task that is started a second time while
// the first start may still be carried out by the next incarnation, which knows nothing of a stop.
func TestStartWithoutAnAnswerWaitsForTheFence(t *testing.T) {
	for name, fail := range map[string]func(*harness, Start){
		"no answer":          func(h *harness, s Start) { h.noAnswer(s) },
		"on its way":         func(*harness, Start) {},
		"silence":            func(h *harness, _ Start) { h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer) },
		"ended, by the list": func(h *harness, _ Start) { h.crash("h1") },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "h1", "h2")
			h.renew("h1", 1)
			before := h.renewal("h1")
			h.pool.Restrict([]worker.ID{"h2"}, UseNone, h.now)
			h.add(idA, testStep(1, 1000))
			starts, _ := h.plan()
			h.pool.Restrict([]worker.ID{"h2"}, UseAll, h.now)
			h.advance(time.Millisecond)
			fail(h, starts[0])
			next := worker.RenewalReply{Clock: time.Millisecond, Incarnation: 2}
			h.pool.ApplyRenewal("h1", before, h.now, h.now, next)
			again, _ := h.plan()
			h.wantStarts(again)
			h.advance(h.pool.limits.maxGrantedDuration())
			h.renew("h2", 1)
			again, _ = h.plan()
			h.wantStarts(again)
			raised := h.renewal("h1")
			if raised.Token <= starts[0].Order.Token || raised.LeaseEnd != 0 {
				t.Errorf("order %+v; want one without a lease and with a token above %d", raised, starts[0].Order.Token)
			}
			next.Clock += time.Second
			h.pool.ApplyRenewal("h1", raised, h.now, h.now, next)
			again, _ = h.plan()
			// The one after that may still begin it.
			h.wantStarts(again)
			h.advance(lateOrderTime - h.pool.limits.maxGrantedDuration())
			h.renew("h2", 1)
			again, _ = h.plan()
			h.wantStarts(again, idA+".0.0.0")
		})
	}
}

// TestStartThatMayBeLateElsewhere guards against a task that runs twice, or keeps its callers waiting: the next
// run waits for a start without an answer if its worker has crashed since, and may again.
func TestStartThatMayBeLateElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*job.Step)
		life   worker.Incarnation
		waits  bool
	}{
		"no crash":     {func(*job.Step) {}, 1, false},
		"once":         {func(*job.Step) {}, 2, true},
		"speculative":  {func(s *job.Step) { s.Speculative = true }, 2, false},
		"long-running": {func(s *job.Step) { s.LongRunning = true }, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "h1")
			s := testStep(1, 1000)
			test.change(&s)
			h.add(idA, s)
			starts, _ := h.plan()
			h.noAnswer(starts...)
			h.advance(time.Millisecond)
			h.renew("h1", test.life)
			h.pool.ApplyRenewal("h1", h.renewal("h1"), h.now, h.now, worker.RenewalReply{Clock: h.clock(), Incarnation: test.life})
			h.advance(time.Second)
			again, _ := h.plan()
			if waits := len(again) == 0; waits != test.waits {
				t.Errorf("the next run waits: %v; want %v", waits, test.waits)
			}
		})
	}
}

// TestStartOnAWorkerThatIsGoneWaitsTooLong guards against a task that waits for orders which nobody can carry
// out any more, its worker was replaced or has been gone for as long as an order can be late, or that has to be
// back within seconds.
func TestStartOnAWorkerThatIsGoneWaitsTooLong(t *testing.T) {
	for name, ended := range map[string]func(*harness){
		"replaced":           func(h *harness) { h.pool.WorkerReplaced("h1", h.lastSeen("h1"), h.now) },
		"gone, long-running": func(h *harness) { h.pool.WorkerEnded("h1", h.lastSeen("h1"), h.now) },
		"gone for long": func(h *harness) {
			h.pool.WorkerEnded("h1", h.lastSeen("h1"), h.now)
			h.advance(lateOrderTime + time.Millisecond)
			h.pool.WorkerEnded("h1", h.lastSeen("h1"), h.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "h1", "h2")
			h.pool.Restrict([]worker.ID{"h2"}, UseNone, h.now)
			step := testStep(1, 1000)
			step.LongRunning = name == "gone, long-running"
			h.add(idA, step)
			starts, _ := h.plan()
			h.pool.Restrict([]worker.ID{"h2"}, UseAll, h.now)
			h.noAnswer(starts...)
			h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
			ended(h)
			h.renew("h2", 1)
			again, _ := h.plan()
			h.wantStarts(again, idA+".0.0.0")
		})
	}
}

// TestCancelledStartIsRefusedAfterARestart guards against a cancelled task that runs: a start that got no
// answer and was stopped is carried out late by the next incarnation, also if the worker had left the
// pool meanwhile.
func TestCancelledStartIsRefusedAfterARestart(t *testing.T) {
	for name, leaves := range map[string]bool{"restart": false, "leaves and comes back": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "h1")
			h.add(idA, testStep(1, 1000))
			starts, _ := h.plan()
			h.noAnswer(starts...)
			h.advance(2 * unknownStartTimeout)
			_, orders := h.plan()
			stop, _ := h.pool.BeginStop("h1", orders.Stops[0].Order, h.now)
			h.pool.Stopped("h1", stop, h.now, h.now, nil)
			h.advance(time.Millisecond)
			h.renew("h1", 1)
			h.pool.CancelJob(idA, h.now)
			if leaves {
				h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
				h.advance(h.pool.limits.maxGrantedDuration())
				h.list()
				h.list("h1")
			} else {
				h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
			}
			h.add(idB, testStep(1, 1000))
			if other, _ := h.plan(); len(other) != 0 {
				t.Errorf("%d starts on a worker that may carry out earlier orders; want none", len(other))
			}
			next := &fakeWorker{incarnation: 2, began: h.now, maxLease: h.pool.limits.MaxLease}
			h.renewFrom("h1", next)
			if next.carryOut(starts[0].Order.Token, starts[0].Order.LeaseEnd, h.now) {
				t.Error("the next incarnation carries out the cancelled start")
			}
			if next.leaseEnd != 0 {
				t.Errorf("the next incarnation has a lease until %s; want none", next.leaseEnd)
			}
			other, _ := h.plan()
			h.wantStarts(other, idB+".0.0.0")
		})
	}
}

// acknowledges reports whether the next renewal of a host acknowledges ended runs.
func (h *harness) acknowledges(id worker.ID) bool {
	order, ok := h.pool.NextRenewal(id, h.now)
	return ok && order.Acknowledged > 0
}

// wantNoAcknowledgement checks that a host is acknowledged nothing, also after a list of its former
// incarnation, which was on its way.
func (h *harness) wantNoAcknowledgement(id worker.ID) {
	h.Helper()
	if h.acknowledges(id) {
		h.Error("ends are acknowledged to a worker that has restarted")
	}
	h.pool.ApplyRenewal(id, h.pool.probe(id), h.now.Add(-time.Millisecond), h.now, worker.RenewalReply{Clock: h.clock(), Incarnation: 1})
	if h.acknowledges(id) {
		h.Error("ends are acknowledged to a worker that has restarted, after a list of its former incarnation")
	}
}

// withAcknowledgedEnd returns a harness with a host that has an acknowledged end, and the start of
// another task on it.
func withAcknowledgedEnd(t *testing.T) (*harness, []Start) {
	t.Helper()
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.accept(starts...)
	h.advance(time.Second)
	h.renew("h1", 1, endedRun(starts[0], worker.OutcomeDone))
	h.plan()
	if !h.acknowledges("h1") {
		t.Fatal("a recorded end is not acknowledged")
	}
	h.add(idB, testStep(1, 1000))
	starts, _ = h.plan()
	return h, starts
}

// TestNothingIsAcknowledgedToAWorkerWhoseClockHasGoneBack guards against ends that are forgotten
// unread, and tasks that are started again after them: the numbers of ends begin anew.
func TestNothingIsAcknowledgedToAWorkerWhoseClockHasGoneBack(t *testing.T) {
	h, starts := withAcknowledgedEnd(t)
	h.advance(time.Millisecond)
	h.pool.Started("h1", starts[0].Order, h.now, worker.StartReply{Clock: 300 * time.Millisecond}, false, nil)
	h.wantNoAcknowledgement("h1")
}

// TestNothingIsAcknowledgedToAWorkerThatReportsARestart is the same for a worker whose report comes
// before its first answer.
func TestNothingIsAcknowledgedToAWorkerThatReportsARestart(t *testing.T) {
	h, _ := withAcknowledgedEnd(t)
	restarted := report("h1")
	restarted.Incarnation = 2
	h.pool.SetHosts([]worker.Report{restarted}, h.now)
	h.wantNoAcknowledgement("h1")
}

// TestNothingIsAcknowledgedToAWorkerThatMayHaveRestarted is the same for a worker that has not answered
// for a while, as while a call to its former life waits. Nor is it given a lease by its former clock.
func TestNothingIsAcknowledgedToAWorkerThatMayHaveRestarted(t *testing.T) {
	h, _ := withAcknowledgedEnd(t)
	h.advance(minRestartTime)
	order, ok := h.pool.ImmediateRenewal("h1", h.now)
	if want := (worker.RenewalOrder{Token: order.Token}); !ok || order != want {
		t.Errorf("order %+v, %v; want one that changes nothing", order, ok)
	}
	h.renew("h1", 1)
	if order, _ := h.pool.NextRenewal("h1", h.now); order.LeaseEnd == 0 || order.Acknowledged == 0 {
		t.Errorf("order %+v after an answer; want a lease and an acknowledgement", order)
	}
}

// TestEndsAreAcknowledgedOnce guards against ends that are forgotten unread: a renewal that waits at the worker
// while that crashes may be carried out by the next incarnation, whose ends are numbered anew.
func TestEndsAreAcknowledgedOnce(t *testing.T) {
	h, _ := withAcknowledgedEnd(t)
	reply := worker.RenewalReply{Clock: h.clock(), Incarnation: 1}
	lost, answered := h.renewal("h1"), h.renewal("h1")
	if lost.Acknowledged != 1 || answered.Acknowledged != 1 {
		t.Errorf("ends up to %d and %d are acknowledged before any answer; want 1", lost.Acknowledged, answered.Acknowledged)
	}
	h.pool.ApplyRenewal("h1", answered, h.now, h.now, reply)
	if next := h.renewal("h1"); next.Acknowledged != 0 || next.MaxWait == 0 {
		t.Errorf("order %+v after an answer; want one that waits and acknowledges nothing", next)
	}
}

// TestRestartOfAYoungWorkerIsSeenByItsClock guards against a lease that is reckoned by the clock of a former
// incarnation, which was no older than the present one is.
func TestRestartOfAYoungWorkerIsSeenByItsClock(t *testing.T) {
	for clock, want := range map[time.Duration]bool{
		300 * time.Millisecond: true, 890 * time.Millisecond: false, 910 * time.Millisecond: false,
	} {
		h := newHarness(t)
		h.list("h1")
		h.pool.ApplyRenewal("h1", h.renewal("h1"), h.now, h.now, worker.RenewalReply{Clock: 10 * time.Millisecond, Incarnation: 1})
		h.add(idA, testStep(1, 1000))
		h.advance(900 * time.Millisecond)
		starts, _ := h.plan()
		h.pool.Started("h1", starts[0].Order, h.now, worker.StartReply{Clock: clock}, false, nil)
		if seen := !h.pool.hosts["h1"].confirmed; seen != want {
			t.Errorf("clock %s after 10 ms and 0.9 s: restart seen %v; want %v", clock, seen, want)
		}
	}
}

// TestRunThatTheNextIncarnationAcceptedIsNotTakenForLost guards against a task that is started a
// second time: the answer to the start overtook the incarnation's first list.
func TestRunThatTheNextIncarnationAcceptedIsNotTakenForLost(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	sent := h.now
	starts, _ := h.plan()
	h.advance(2 * time.Millisecond)
	h.accept(starts...)
	h.pool.ApplyRenewal("h1", h.pool.probe("h1"), sent, h.now, worker.RenewalReply{Clock: time.Millisecond, Incarnation: 2})
	again, _ := h.plan()
	h.wantStarts(again)
}

// TestRunOfTheNextIncarnationIsNotTakenForLost is the same for a start that was answered with the
// clock of the next incarnation, before the list was requested. No crash is counted against its task.
func TestRunOfTheNextIncarnationIsNotTakenForLost(t *testing.T) {
	h := newHarness(t, "h1")
	h.advance(time.Second)
	h.renew("h1", 1)
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.advance(2 * time.Millisecond)
	h.pool.Started("h1", starts[0].Order, h.now, worker.StartReply{Clock: time.Millisecond}, false, nil)
	h.advance(time.Millisecond)
	running := worker.ActiveRun{Task: starts[0].Order.Task, Run: starts[0].Order.Run, Percent: fullSpeed}
	h.pool.ApplyRenewal("h1", h.pool.probe("h1"), h.now, h.now, worker.RenewalReply{Clock: 4 * time.Millisecond, Incarnation: 2, Running: []worker.ActiveRun{running}})
	again, _ := h.plan()
	h.wantStarts(again)
	if crashes := h.pool.jobs[idA].Crashes(0, 0, 0); crashes != 0 {
		t.Errorf("%d crashes are counted against a task that runs", crashes)
	}
}

// TestListOfMachinesFromBeforeTheRestart guards against a task that is started a second time: the list
// of machines showed that the worker had ended, and the start was answered by the next incarnation.
func TestListOfMachinesFromBeforeTheRestart(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	h.advance(time.Second)
	h.renew("h1", 1)
	lastSeen := h.lastSeen("h1")
	h.advance(time.Second)
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	if starts[0].Target.ID != "h1" {
		t.Fatalf("started on %s; want h1", starts[0].Target.ID)
	}
	h.advance(2 * time.Millisecond)
	h.pool.Started("h1", starts[0].Order, h.now, worker.StartReply{Clock: 400 * time.Millisecond}, false, nil)
	if !h.lastSeen("h1").After(lastSeen) {
		t.Error("the worker that answered the start was not seen")
	}
	h.pool.WorkerEnded("h1", lastSeen, h.now)
	again, _ := h.plan()
	h.wantStarts(again)
}

// TestFailedCallToTheFormerIncarnation guards against a worker that counts as unresponsive after its
// restart, since a call to its former life gets no answer.
func TestFailedCallToTheFormerIncarnation(t *testing.T) {
	h := newHarness(t, "h1")
	sent := h.now
	h.advance(time.Second)
	h.restart("h1")
	h.advance(100 * time.Millisecond)
	h.pool.RenewalFailed("h1", sent, h.now, errNoAnswer)
	if load := h.pool.Load(h.now); load.Hosts["h1"].Unresponsive {
		t.Error("the restarted worker counts as unresponsive")
	}
	h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
	if load := h.pool.Load(h.now); !load.Hosts["h1"].Unresponsive {
		t.Error("a call to the restarted worker that fails is ignored")
	}
}

// TestLeaseOfTheFormerClockLastsLongestOnTheNextIncarnation guards against a task that is started a
// second time: the end of the lease that came with the start is far in the future on the clock of
// the next incarnation, which shortens it to the longest that it grants.
func TestLeaseOfTheFormerClockLastsLongestOnTheNextIncarnation(t *testing.T) {
	for name, restart := range map[string]func(*harness, Start){
		"seen by the clock": func(h *harness, s Start) {
			h.pool.Started("h1", s.Order, h.now, worker.StartReply{Clock: time.Millisecond}, false, nil)
		},
		"seen by the list": func(h *harness, s Start) {
			h.accept(s)
			running := worker.ActiveRun{Task: s.Order.Task, Run: s.Order.Run, Percent: fullSpeed}
			h.pool.ApplyRenewal("h1", h.pool.probe("h1"), h.now, h.now, worker.RenewalReply{Clock: time.Millisecond, Incarnation: 2, Running: []worker.ActiveRun{running}})
		},
		"seen by the list, after a failed call": func(h *harness, s Start) {
			h.accept(s)
			h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
			running := worker.ActiveRun{Task: s.Order.Task, Run: s.Order.Run, Percent: fullSpeed}
			h.pool.ApplyRenewal("h1", h.pool.probe("h1"), h.now, h.now, worker.RenewalReply{Clock: time.Millisecond, Incarnation: 2, Running: []worker.ActiveRun{running}})
		},
	} {
		for _, sealed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/sealed %v", name, sealed), func(t *testing.T) { testLeaseOfTheFormerClock(t, restart, sealed) })
		}
	}
}

// testLeaseOfTheFormerClock starts a task on a worker that restart then restarts, and that is cut off after
// it was sealed, or before: then orders to its former life may bring leases for as long as they can be late.
func testLeaseOfTheFormerClock(t *testing.T, restart func(*harness, Start), sealed bool) {
	h := newHarness(t, "h1", "h2")
	h.advance(time.Second)
	h.renew("h1", 1)
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	if starts[0].Target.ID != "h1" {
		t.Fatalf("started on %s; want h1", starts[0].Target.ID)
	}
	h.advance(2 * time.Millisecond)
	restart(h, starts[0])
	if sealed {
		running := worker.ActiveRun{Task: starts[0].Order.Task, Run: starts[0].Order.Run, Percent: fullSpeed}
		h.pool.ApplyRenewal("h1", h.renewal("h1"), h.now, h.now, worker.RenewalReply{Clock: 2 * time.Millisecond, Incarnation: 2, Running: []worker.ActiveRun{running}})
	} else {
		// The tenure begins at epoch.
		h.advance(h.pool.limits.MaxUnconfirmed + lateOrderTime)
	}
	h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
	h.advance(9 * time.Second)
	h.renew("h2", 1)
	again, _ := h.plan()
	h.wantStarts(again)
	h.advance(2 * time.Second)
	h.renew("h2", 1)
	again, _ = h.plan()
	h.wantStarts(again, idA+".0.0.0")
}

// TestLabelOfTheFormerIncarnation guards against a task that is started on a worker that lacks its label:
// the worker is back as one of another kind, which it has not reported yet.
func TestLabelOfTheFormerIncarnation(t *testing.T) {
	h := newHarness(t)
	before := report("h1")
	before.Incarnation = 1
	h.pool.SetHosts([]worker.Report{before}, h.now)
	h.renew("h1", 1)
	h.restart("h1")
	labelled := testStep(1, 1000)
	labelled.RequiredLabel = before.Kind
	h.add(idA, labelled)
	starts, _ := h.plan()
	h.wantStarts(starts)
	for _, kind := range []string{"b", before.Kind} {
		after := before
		after.Incarnation, after.Kind = 2, kind
		h.pool.SetHosts([]worker.Report{after}, h.now)
		starts, _ = h.plan()
		if placed := len(starts) > 0; placed != (kind == before.Kind) {
			t.Errorf("the worker reports kind %s; placed: %v", kind, placed)
		}
	}
}
