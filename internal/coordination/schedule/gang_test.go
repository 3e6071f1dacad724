package schedule

import "testing"

// TestLargeGangIsNeverStarted guards against a gang that waits for ever on empty hosts, since it has
// more members for each than starts may be in flight to one.
func TestLargeGangIsNeverStarted(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	gang := testStep(32, 200)
	gang.Gang = true
	h.add(idA, gang)
	h.add(idB, gang)
	starts, _ := h.plan()
	if len(starts) != 64 {
		t.Errorf("%d members are started; want 64", len(starts))
	}
	for _, s := range starts {
		if s.Order.Run != starts[0].Order.Run && s.Order.Task.Job == starts[0].Order.Task.Job {
			t.Errorf("%s is started as run %d, others as %d", s.Order.Task, s.Order.Run, starts[0].Order.Run)
		}
	}
}
