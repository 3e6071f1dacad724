package schedule

import (
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// TestRunIsNotMissingFromAnIncompleteList guards against a task that is started again after its end,
// which comes with the next list.
func TestRunIsNotMissingFromAnIncompleteList(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.accept(starts...)
	h.advance(time.Second)
	others := make([]worker.EndedRun, maxEndsPerReply)
	for n := range others {
		others[n] = worker.EndedRun{Task: worker.TaskName{Job: idB, Index: n}, Run: 1, Outcome: worker.OutcomeDone}
	}
	h.renew("h1", 1, others...)
	again, orders := h.plan()
	h.wantStarts(again)
	if len(orders.Stops) != 0 {
		t.Errorf("stops of a run whose end may not be listed yet: %v", orders.Stops)
	}
	h.renew("h1", 1, endedRun(starts[0], worker.OutcomeDone))
	again, _ = h.plan()
	h.wantStarts(again)
}
