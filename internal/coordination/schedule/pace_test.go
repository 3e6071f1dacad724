package schedule

import (
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// loadedBestEffort returns a best-effort run beside a serving task that misses its target, and
// the order that throttles it; list delivers the host's list with the tail of the serving task and the
// speed of the other.
func loadedBestEffort(h *harness) (throttle Throttle, list func(tail int64, speed int)) {
	h.Helper()
	serving, filling := testStep(1, 1000), testStep(1, 1000)
	serving.LongRunning, serving.TailTarget = true, 100*time.Millisecond
	filling.BestEffort = true
	h.add(idA, serving)
	h.add(idB, filling)
	starts, _ := h.plan()
	h.accept(starts...)
	list = func(tail int64, speed int) {
		var running []worker.ActiveRun
		for _, s := range starts {
			row := worker.ActiveRun{Task: s.Order.Task, Run: s.Order.Run, Percent: fullSpeed, Usage: tail}
			if s.Order.Task.Job == idB {
				row.Percent, row.Usage = speed, 500
			}
			running = append(running, row)
		}
		h.renewRunning("h1", 1, running)
	}
	list(150, fullSpeed)
	orders := h.pool.Plan(h.now)
	if len(orders.Throttles) != 1 || orders.Throttles[0].Order.Percent != 0 {
		h.Fatalf("throttles %v; want one to 0", orders.Throttles)
	}
	return orders.Throttles[0], list
}

// TestLateThrottleIsTakenBack guards against a best-effort run that stands still for good: a throttle
// without an answer took effect after it had been given up.
func TestLateThrottleIsTakenBack(t *testing.T) {
	h := newHarness(t, "h1")
	throttle, list := loadedBestEffort(h)
	h.advance(500 * time.Millisecond)
	h.pool.ApplyThrottle(throttle.Target.ID, throttle.Order, h.now, errNoAnswer)
	h.advance(2 * throttleSettle)
	list(10, 0)
	if orders := h.pool.Plan(h.now); len(orders.Throttles) != 1 || orders.Throttles[0].Order.Percent != unthrottleStep {
		t.Errorf("throttles %v; want one to %d", orders.Throttles, unthrottleStep)
	}
}

// TestOvertakenThrottleIsRepeated guards against a serving task beside which a run goes on at full
// speed: an earlier order took effect after the throttle.
func TestOvertakenThrottleIsRepeated(t *testing.T) {
	h := newHarness(t, "h1")
	throttle, list := loadedBestEffort(h)
	h.pool.ApplyThrottle(throttle.Target.ID, throttle.Order, h.now, nil)
	list(150, fullSpeed)
	if orders := h.pool.Plan(h.now); len(orders.Throttles) != 0 {
		t.Errorf("throttles %v before the list can show the last one; want none", orders.Throttles)
	}
	h.advance(2 * throttleSettle)
	list(150, fullSpeed)
	if orders := h.pool.Plan(h.now); len(orders.Throttles) != 1 {
		t.Errorf("throttles %v; want one", orders.Throttles)
	}
}
