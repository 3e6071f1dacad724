package schedule

import (
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// unansweredStart returns a start that got no answer.
func unansweredStart(h *harness) Start {
	h.Helper()
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.wantStarts(starts, idA+".0.0.0")
	h.pool.Started(starts[0].Target.ID, starts[0].Order, h.now, worker.StartReply{}, false, errNoAnswer)
	return starts[0]
}

func TestUnansweredStartIsSentAgainBeforeItsRunIsStopped(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	first := unansweredStart(h)
	again := h.repeat()
	if again.Target != first.Target {
		t.Errorf("a start for host %s is sent again to host %s", first.Target.ID, again.Target.ID)
	}
	if again.Order.Run != first.Order.Run || again.Order.Task != first.Order.Task {
		t.Errorf("run %d of %s is started again as run %d of %s", first.Order.Run, first.Order.Task, again.Order.Run, again.Order.Task)
	}
	h.accept(again)
	h.advance(time.Second)
	starts, orders := h.plan()
	if len(starts)+len(orders.Stops)+len(orders.RepeatedStarts) > 0 {
		t.Errorf("after the answer, %d starts, %d repeated starts and %d stops are sent", len(starts), len(orders.RepeatedStarts), len(orders.Stops))
	}
}

func TestUnansweredStartIsStoppedAfterItsLastAttempt(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	h.loseAnswer(startOf(h))
	h.advance(unknownStartTimeout + time.Millisecond)
	_, orders := h.plan()
	if len(orders.RepeatedStarts) > 0 || len(orders.Stops) != 1 {
		t.Errorf("%d repeated starts and %d stops are sent; want one stop", len(orders.RepeatedStarts), len(orders.Stops))
	}
}

func startOf(h *harness) Start {
	h.Helper()
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.wantStarts(starts, idA+".0.0.0")
	return starts[0]
}

// TestStartIsNotSentAgain changes something between the plan that repeats a start and its turn at
// the host.
func TestStartIsNotSentAgain(t *testing.T) {
	for name, change := range map[string]func(*harness, Start){
		"once its run is listed": func(h *harness, s Start) {
			h.renewRunning(s.Target.ID, 1, []worker.ActiveRun{{Task: s.Order.Task, Run: s.Order.Run, Percent: fullSpeed}})
		},
		"once its run has ended": func(h *harness, s Start) { h.renew(s.Target.ID, 1, endedRun(s, worker.OutcomeDone)) },
		"to a host that drains": func(h *harness, s Start) {
			draining := report(s.Target.ID)
			draining.Draining = true
			h.pool.SetHosts([]worker.Report{draining}, h.now)
		},
		"to a host that has restarted":   func(h *harness, s Start) { h.renew(s.Target.ID, 2) },
		"to a host that does not answer": func(h *harness, s Start) { h.pool.RenewalFailed(s.Target.ID, errNoAnswer) },
		"by a fenced pool": func(h *harness, s Start) {
			h.pool.ApplyRenewal(s.Target.ID, h.now, h.now, worker.RenewalReply{Fenced: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "h1", "h2")
			s := unansweredStart(h)
			h.advance(unknownStartTimeout + time.Millisecond)
			orders := h.pool.Plan(h.now)
			if len(orders.RepeatedStarts) != 1 {
				t.Fatalf("%d starts are to be sent again; want 1", len(orders.RepeatedStarts))
			}
			change(h, s)
			if _, ok := h.pool.BeginStart(s.Target.ID, s.Order, h.now); ok {
				t.Error("the start was sent again")
			}
			if inFlight := h.pool.hosts[s.Target.ID].startsInFlight; inFlight != 0 {
				t.Errorf("%d starts count as in flight; want 0", inFlight)
			}
		})
	}
}

// TestRefusedRepeatMayHaveRun refuses a repeated start in every way. The first attempt may have
// run or may still do so, so the task must not be started elsewhere before a stop was answered.
func TestRefusedRepeatMayHaveRun(t *testing.T) {
	for _, refusal := range []worker.Refusal{
		worker.RefusedStale, worker.RefusedCapacity, worker.RefusedLeaseExpired, worker.RefusedUnhealthy, worker.RefusedInvalid, worker.RefusedTicket,
	} {
		h := newHarness(t, "h1", "h2")
		unansweredStart(h)
		again := h.repeat()
		h.pool.Started(again.Target.ID, again.Order, h.now, worker.StartReply{Refusal: refusal, Clock: h.clock()}, false, nil)
		stops := 0
		for range 20 {
			h.advance(100 * time.Millisecond)
			starts, orders := h.plan()
			stops += len(orders.Stops)
			if len(starts)+len(orders.RepeatedStarts) > 0 {
				t.Fatalf("refusal %v: started again with the outcome of the first attempt unknown", refusal)
			}
		}
		if stops == 0 {
			t.Errorf("refusal %v: the run is not stopped", refusal)
		}
		// The stop is answered, and a list requested after it does not have the run.
		h.pool.Stopped(again.Target.ID, worker.StopOrder{Task: again.Order.Task, Run: again.Order.Run, Token: 7}, h.now, nil)
		h.advance(time.Millisecond)
		h.renew(again.Target.ID, 1)
		starts, _ := h.plan()
		h.wantStarts(starts, idA+".0.0.0")
	}
}

// TestAttemptWithoutAnswerMayReachARestartedHost restarts a host that has answered a repeated start.
// The first attempt may still be on its way, and the restarted worker would carry it out.
func TestAttemptWithoutAnswerMayReachARestartedHost(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	unansweredStart(h)
	again := h.repeat()
	h.accept(again)
	h.advance(time.Second)
	h.renew(again.Target.ID, 2)
	if starts, _ := h.plan(); len(starts) > 0 {
		t.Error("the task was started again while the restarted worker may carry out the first attempt")
	}
}
