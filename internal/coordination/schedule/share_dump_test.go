package schedule

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// eventCounts counts events by name.
type eventCounts map[string]int

func (c eventCounts) Event(name string, _ ...any) { c[name]++ }

// TestSharesAreShown guards against a dump that does not say why an organisation's jobs wait, and
// against a line in the log for each plan that keeps them waiting.
func TestSharesAreShown(t *testing.T) {
	h := newHarness(t, "h1")
	counts := eventCounts{}
	h.pool.events = counts
	h.pool.SetWeights(map[string]float64{"a": 1, "b": 100})
	h.addFor("a", "a000000000000001", h.now, testStep(1, 8000))
	h.addFor("a", "a000000000000002", h.now, testStep(1, 8000))
	h.addFor("b", "b000000000000001", h.now, testStep(1, 8000))
	starts, _ := h.plan()
	h.accept(starts...)
	want := []ShareDump{
		{Organisation: "a", Weight: 1, Share: 0.5, UsedCPU: 8000, UsedMB: 100, Running: 1, Waiting: 1, Excess: 1},
		{Organisation: "b", Weight: 100, Share: 0.5, UsedCPU: 8000, UsedMB: 100, Running: 1},
	}
	if diff := cmp.Diff(want, h.pool.Dump(h.now).Shares); diff != "" {
		t.Errorf("shares (-want +got):\n%s", diff)
	}
	for range 5 {
		// The task of b fails and is started again, while a waits.
		for _, s := range starts {
			if s.Order.Task.Job == "b000000000000001" {
				h.advance(retryPause)
				h.renewRunning("h1", 1, h.rows(s), endedRun(s, worker.OutcomeFailed))
			}
		}
		h.advance(retryPause)
		starts, _ = h.plan()
		h.accept(starts...)
	}
	if counts["share-waits"] != 1 {
		t.Errorf("%d lines say within a second that a waits; want 1", counts["share-waits"])
	}
}

// rows lists the runs of h1 but one.
func (h *harness) rows(but Start) []worker.ActiveRun {
	var rows []worker.ActiveRun
	for key := range h.pool.hosts["h1"].runs {
		if key.task != but.Order.Task {
			rows = append(rows, worker.ActiveRun{Task: key.task, Run: key.run, Percent: fullSpeed, Usage: 1})
		}
	}
	return rows
}

// TestMetricsAreBounded guards against metrics that grow with the number of organisations.
func TestMetricsAreBounded(t *testing.T) {
	pools := [][]ShareDump{
		{{Organisation: "a", Waiting: 1}, {Organisation: "b", Waiting: 5}, {Organisation: "c", Rejected: 3}},
		{{Organisation: "a", Running: 7}, {Organisation: "d", Excess: 2}},
	}
	want := []ShareDump{{Organisation: "a", Waiting: 1, Running: 7}, {Organisation: "b", Waiting: 5}, {Organisation: "others", Rejected: 3, Excess: 2}}
	if diff := cmp.Diff(want, MergeShares(pools, 2, "others")); diff != "" {
		t.Errorf("merged shares (-want +got):\n%s", diff)
	}
}
