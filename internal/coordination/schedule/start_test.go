package schedule

import (
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// queuedCopy returns a start that waits for its turn: the copy of a task of h1 on h2.
func queuedCopy(h *harness) Start {
	h.Helper()
	step := testStep(1, 1000)
	step.Speculative = true
	h.add(idA, step)
	starts, _ := h.plan()
	h.wantStarts(starts, idA+".0.0.0")
	h.accept(starts...)
	other := worker.ID("h1")
	if starts[0].Target.ID == other {
		other = "h2"
	}
	h.pool.RenewalFailed(starts[0].Target.ID, errNoAnswer)
	h.advance(strandedAfter + time.Millisecond)
	h.renew(other, 1)
	h.pool.Plan(h.now)
	queued := h.recordQueued()
	h.wantStarts(queued, idA+".0.0.0")
	return queued[0]
}

func TestQueuedStartIsSentOnce(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	copied := queuedCopy(h)
	h.pool.markDirty(h.pool.jobs[idA])
	h.wantStarts(h.recordQueued())
	if _, ok := h.pool.BeginStart(copied.Target.ID, copied.Order, h.now); !ok {
		t.Error("the start was not sent")
	}
}
