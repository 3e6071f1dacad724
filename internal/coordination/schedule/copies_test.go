package schedule

import (
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// TestHangingCopiesKeepTheirHosts: both runs of a speculative task hang, each using processor time.
func TestHangingCopiesKeepTheirHosts(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	copied := testStep(1, 16000)
	copied.Speculative = true
	h.add(idA, copied)
	runs := map[worker.ID]Start{}
	for range 2 {
		starts, _ := h.plan()
		h.wantStarts(starts, idA+".0.0.0")
		h.accept(starts...)
		runs[starts[0].Target.ID] = starts[0]
		h.advance(2 * time.Second)
		h.listRuns(runs)
	}
	for range 100 {
		h.advance(100 * time.Millisecond)
		h.listRuns(runs)
		if _, orders := h.plan(); len(orders.Stops) == 2 {
			return
		}
	}
	t.Error("the runs were not stopped")
}

// listRuns has each host list its run as using processor time.
func (h *harness) listRuns(runs map[worker.ID]Start) {
	for id, s := range runs {
		h.renewRunning(id, 1, []worker.ActiveRun{{Task: s.Order.Task, Run: s.Order.Run, Percent: fullSpeed, Usage: 1}})
	}
}
