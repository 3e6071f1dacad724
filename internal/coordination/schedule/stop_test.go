package schedule

import (
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// queuedMove returns the stop of a long-running task that is to leave its host, which waits
// for its turn, and the start of the other task of the step.
func queuedMove(h *harness) (move Stop, other Start) {
	h.Helper()
	step := testStep(2, 1000)
	step.LongRunning, step.MaxPerHost, step.MaxUnavailable = true, 1, 1
	h.add(idA, step)
	starts := h.startLongRunning("h1", "h2", "h3")
	h.pool.Restrict([]worker.ID{starts[0].Target.ID}, UseNone, h.now)
	orders := h.pool.Plan(h.now)
	if len(orders.Stops) != 1 {
		h.Fatalf("%d stops; want 1", len(orders.Stops))
	}
	return orders.Stops[0], starts[1]
}

func TestQueuedStopIsNotSentOnceItsStepAllowsNoFurtherAbsence(t *testing.T) {
	h := newHarness(t, "h1", "h2", "h3")
	move, other := queuedMove(h)
	h.pool.RenewalFailed(other.Target.ID, h.now, h.now, errNoAnswer)
	if _, ok := h.pool.BeginStop(move.Target.ID, move.Order, h.now); ok {
		t.Error("a task at work was stopped while the other task of its step was away")
	}
	if reserved := len(h.pool.reservations); reserved != 0 {
		t.Errorf("room is still reserved for %d tasks; want 0", reserved)
	}
}

func TestStopThatWaitsIsNotOrderedAgain(t *testing.T) {
	h := newHarness(t, "h1", "h2", "h3")
	move, _ := queuedMove(h)
	h.advance(2 * stopRetry)
	if orders := h.pool.Plan(h.now); len(orders.Stops) != 0 {
		t.Errorf("%d stops of a run whose stop waits; want 0", len(orders.Stops))
	}
	if _, ok := h.pool.BeginStop(move.Target.ID, move.Order, h.now); !ok {
		t.Fatal("the stop was not sent")
	}
	h.advance(stopRetry)
	if orders := h.pool.Plan(h.now); len(orders.Stops) != 1 {
		t.Errorf("%d stops after one without an answer; want 1", len(orders.Stops))
	}
}

// TestLateStartOfALongRunningTaskIsNotStoppedWhileItsStepAllowsNoFurtherAbsence leaves the start of
// a long-running task without an answer. By the time that its stop is to be repeated, the host
// lists the run as at work, and the other task of its step is away.
func TestLateStartOfALongRunningTaskIsNotStoppedWhileItsStepAllowsNoFurtherAbsence(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	step := testStep(2, 1000)
	step.LongRunning, step.MaxPerHost, step.MaxUnavailable = true, 1, 1
	h.add(idA, step)
	starts, _ := h.plan()
	h.wantStarts(starts, idA+".0.0.0", idA+".0.0.1")
	late, away := starts[0], starts[1]
	h.accept(away)
	h.pool.Started(late.Target.ID, late.Order, h.now, worker.StartReply{}, false, errNoAnswer)
	h.advance(unknownStartTimeout + time.Millisecond)
	if _, orders := h.plan(); len(orders.Stops) != 1 {
		t.Fatalf("%d stops of an unanswered start; want 1", len(orders.Stops))
	}
	h.pool.RenewalFailed(away.Target.ID, h.now, h.now, errNoAnswer)
	h.renewRunning(late.Target.ID, 1, []worker.ActiveRun{{Task: late.Order.Task, Run: late.Order.Run, Percent: fullSpeed}})
	h.advance(stopRetry)
	if _, orders := h.plan(); len(orders.Stops) != 0 {
		t.Error("a task at work was stopped while the other task of its step was away")
	}
}
