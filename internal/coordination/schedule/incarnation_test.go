package schedule

import (
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// restart delivers the first list of a host's next incarnation, whose clock begins anew, and returns
// the function that delivers the later ones.
func (h *harness) restart(id worker.ID) (list func(ended ...worker.EndedRun)) {
	began := h.now
	list = func(ended ...worker.EndedRun) {
		sent := h.now
		h.advance(5 * time.Millisecond)
		h.pool.ApplyRenewal(id, sent, h.now, worker.RenewalReply{Clock: h.now.Sub(began), Incarnation: 2, Ended: ended})
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
	h.pool.ApplyRenewal("h1", sent, h.now, worker.RenewalReply{Clock: clock, Incarnation: 1})
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

// TestRestartDoesNotEndTheStopOfAStartWithoutAnAnswer guards against a task that is started a
// second time while the first start may still be carried out, by the next incarnation, which knows
// nothing of a stop.
func TestRestartDoesNotEndTheStopOfAStartWithoutAnAnswer(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.noAnswer(starts...)
	h.advance(2 * unknownStartTimeout)
	_, orders := h.plan()
	if len(orders.Stops) != 1 {
		t.Fatalf("%d stops of a start without an answer; want 1", len(orders.Stops))
	}
	stop := orders.Stops[0]
	sent := h.now
	list := h.restart("h1")
	// The answer of the former incarnation does not bind this one.
	h.pool.Stopped("h1", stop.Order, sent, h.now, nil)
	h.advance(10 * time.Millisecond)
	list()
	again, orders := h.plan()
	h.wantStarts(again)
	if len(orders.Stops) != 1 {
		t.Fatalf("%d stops at the next incarnation; want 1", len(orders.Stops))
	}
	h.pool.Stopped("h1", stop.Order, h.now, h.now, nil)
	h.advance(100 * time.Millisecond)
	list()
	again, _ = h.plan()
	h.wantStarts(again, idA+".0.0.0")
}

// TestStoppedStartIsStoppedAgainAfterARestart guards against a task that is started a second time:
// a start that got no answer and was stopped is carried out late by the next incarnation, also if
// the worker had left the pool meanwhile.
func TestStoppedStartIsStoppedAgainAfterARestart(t *testing.T) {
	for name, leaves := range map[string]bool{"restart": false, "leaves and comes back": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "h1")
			h.add(idA, testStep(1, 1000))
			starts, _ := h.plan()
			h.noAnswer(starts...)
			h.advance(2 * unknownStartTimeout)
			_, orders := h.plan()
			h.pool.Stopped("h1", orders.Stops[0].Order, h.now, h.now, nil)
			h.advance(time.Millisecond)
			h.renew("h1", 1)
			h.pool.CancelJob(idA, h.now)
			if leaves {
				h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
				h.pool.WorkerEnded("h1", h.lastSeen("h1"), h.now)
				h.list()
				h.list("h1")
			}
			list := h.restart("h1")
			_, orders = h.plan()
			if len(orders.Stops) != 1 || orders.Stops[0].Order.Run != starts[0].Order.Run {
				t.Fatalf("stops at the next incarnation: %v; want that of the start without an answer", orders.Stops)
			}
			h.pool.Stopped("h1", orders.Stops[0].Order, h.now, h.now, nil)
			h.advance(2 * stopRetry)
			list()
			if _, orders = h.plan(); len(orders.Stops) != 0 {
				t.Errorf("a stop that was answered is ordered again: %v", orders.Stops)
			}
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
	h.pool.ApplyRenewal(id, h.now.Add(-time.Millisecond), h.now, worker.RenewalReply{Clock: h.clock(), Incarnation: 1})
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

// TestRunThatTheNextIncarnationAcceptedIsNotTakenForLost guards against a task that is started a
// second time: the answer to the start overtook the incarnation's first list.
func TestRunThatTheNextIncarnationAcceptedIsNotTakenForLost(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	sent := h.now
	starts, _ := h.plan()
	h.advance(2 * time.Millisecond)
	h.accept(starts...)
	h.pool.ApplyRenewal("h1", sent, h.now, worker.RenewalReply{Clock: time.Millisecond, Incarnation: 2})
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
	h.pool.ApplyRenewal("h1", h.now, h.now, worker.RenewalReply{Clock: 4 * time.Millisecond, Incarnation: 2, Running: []worker.ActiveRun{running}})
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
			h.pool.ApplyRenewal("h1", h.now, h.now, worker.RenewalReply{Clock: time.Millisecond, Incarnation: 2, Running: []worker.ActiveRun{running}})
		},
		"seen by the list, after a failed call": func(h *harness, s Start) {
			h.accept(s)
			h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
			running := worker.ActiveRun{Task: s.Order.Task, Run: s.Order.Run, Percent: fullSpeed}
			h.pool.ApplyRenewal("h1", h.now, h.now, worker.RenewalReply{Clock: time.Millisecond, Incarnation: 2, Running: []worker.ActiveRun{running}})
		},
	} {
		t.Run(name, func(t *testing.T) {
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
			h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
			h.advance(9 * time.Second)
			h.renew("h2", 1)
			again, _ := h.plan()
			h.wantStarts(again)
			h.advance(2 * time.Second)
			again, _ = h.plan()
			h.wantStarts(again, idA+".0.0.0")
		})
	}
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
