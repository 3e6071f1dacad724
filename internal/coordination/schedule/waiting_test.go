package schedule

import (
	"context"
	"testing"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// TestWaitingUntilAHostHasBegun places a job whose start gets no answer: it must count as
// waiting until a host is known to have begun a task, also for the next owner.
func TestWaitingUntilAHostHasBegun(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	waiting := func() int { return h.pool.Waiting("tiles") }
	if n := waiting(); n != 1 {
		t.Errorf("%d jobs wait before the plan; want 1", n)
	}
	starts, _ := h.plan()
	if n := waiting(); n != 1 {
		t.Errorf("%d jobs wait after the placement; want 1", n)
	}
	h.pool.Started("h1", starts[0].Order, h.now, worker.StartReply{}, false, context.DeadlineExceeded)
	if n := waiting(); n != 1 {
		t.Errorf("%d jobs wait after a start without an answer; want 1", n)
	}
	h.renewRunning("h1", 1, []worker.ActiveRun{{Task: starts[0].Order.Task, Run: starts[0].Order.Run}})
	if n := waiting(); n != 0 {
		t.Errorf("%d jobs wait once the host lists the run; want 0", n)
	}
}
