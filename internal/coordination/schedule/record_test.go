package schedule

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// wantVacant reports an error unless the owner holds no run, start or capacity of any host.
func (h *harness) wantVacant() {
	h.Helper()
	for _, got := range h.pool.Dump(h.now).Hosts {
		want := got
		want.Runs, want.Unsent, want.InFlight, want.FreeCPU, want.FreeMB = 0, 0, 0, 16000, 64000
		if diff := cmp.Diff(want, got); diff != "" {
			h.Errorf("held on host %s (-want +got):\n%s", got.ID, diff)
		}
	}
}

// placeOnly plans without recording.
func (h *harness) placeOnly() {
	h.Helper()
	if orders := h.pool.Plan(h.now); !orders.HasPlacements {
		h.Fatal("no task was placed")
	}
}

func TestCancelBeforeTheRecordFreesThePlacement(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(2, 1000))
	h.placeOnly()
	h.pool.CancelJob(idA, h.now)
	h.wantStarts(h.record())
	h.wantVacant()
}

func TestFailureBeforeTheRecordFreesThePlacement(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(2, 1000))
	first, _ := h.plan()
	h.accept(first...)
	h.renew("h1", 1, endedRun(first[1], worker.OutcomeFailed))
	h.advance(retryPause)
	second, _ := h.plan()
	h.accept(second...)
	h.renew("h1", 1, endedRun(first[0], worker.OutcomeFailed))
	h.advance(retryPause)
	h.placeOnly()
	// The other task fails for the last time before the placement is taken for a record.
	h.renew("h1", 1, endedRun(second[0], worker.OutcomeFailed))
	h.wantStarts(h.record())
	h.wantVacant()
}

func TestEndBeforeTheRecordFreesThePlacement(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	step := testStep(1, 1000)
	step.Speculative = true
	h.add(idA, step)
	starts, _ := h.plan()
	h.accept(starts...)
	h.pool.RenewalFailed(starts[0].Target.ID, h.now, h.now, errNoAnswer)
	h.advance(2 * strandedAfter)
	h.placeOnly()
	// The host of the first run answers again and lists its end.
	h.renew(starts[0].Target.ID, 1, endedRun(starts[0], worker.OutcomeDone))
	h.wantStarts(h.record())
	h.wantVacant()
}

func TestRestartBeforeTheRecordFreesThePlacement(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	h.placeOnly()
	h.pool.CancelJob(idA, h.now)
	h.pool.Plan(h.now)
	h.renew("h1", 2)
	h.wantStarts(h.record())
	h.wantVacant()
}
