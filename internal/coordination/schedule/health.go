package schedule

import (
	"time"
)

// health tracks from the outcome of its runs whether a host may be at fault for failures.
type health struct {
	// failedJobs are the jobs that have had a failed run on the host since its last
	// successful one.
	failedJobs map[string]struct{}
	// suspectUntil is when the suspicion ends even without a successful run.
	suspectUntil time.Time
}

// succeeded clears the suspicion after a successful run.
func (h *health) succeeded() {
	h.failedJobs = nil
	h.suspectUntil = time.Time{}
}

// failed records a failed run of a job. Failures of a single job don't count against the
// host, since the job may be at fault.
func (h *health) failed(now time.Time, job string) {
	if h.failedJobs == nil {
		h.failedJobs = map[string]struct{}{}
	}
	h.failedJobs[job] = struct{}{}
	if len(h.failedJobs) >= suspectFailures {
		h.suspectUntil = now.Add(suspectPause)
	}
}

// suspect marks the host as suspected at once.
func (h *health) suspect(now time.Time) { h.suspectUntil = now.Add(suspectPause) }

// suspected reports whether the host is suspected.
func (h *health) suspected(now time.Time) bool { return now.Before(h.suspectUntil) }

// admits reports whether the host may get another run. A suspected host gets one run at
// a time, so that a success can clear it.
func (h *health) admits(now time.Time, runs int) bool {
	return !h.suspected(now) || runs == 0
}
