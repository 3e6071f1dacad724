package schedule

import (
	"time"
)

// health learns from how runs end whether a host fails what others finish.
type health struct {
	// failedJobs are the jobs of which runs failed since the last success.
	failedJobs map[string]struct{}
	// suspectUntil is when a suspected host is trusted again without proof.
	suspectUntil time.Time
}

// succeeded clears the suspicion.
func (h *health) succeeded() {
	h.failedJobs = nil
	h.suspectUntil = time.Time{}
}

// failed notes a failed run of a job; failures of one job alone may be its own fault.
func (h *health) failed(now time.Time, job string) {
	if h.failedJobs == nil {
		h.failedJobs = map[string]struct{}{}
	}
	h.failedJobs[job] = struct{}{}
	if len(h.failedJobs) >= suspectFailures {
		h.suspectUntil = now.Add(suspectPause)
	}
}

// suspect puts the host under suspicion at once.
func (h *health) suspect(now time.Time) { h.suspectUntil = now.Add(suspectPause) }

// suspected tells whether the host is under suspicion.
func (h *health) suspected(now time.Time) bool { return now.Before(h.suspectUntil) }

// admits tells whether the host may get another run; a suspected one gets a single
// run at a time, so that it can prove itself.
func (h *health) admits(now time.Time, runs int) bool {
	return !h.suspected(now) || runs == 0
}
