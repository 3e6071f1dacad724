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

// admitsRun reports whether the host may get another run. A suspected host gets one at a time beside
// those that are proven, so that a success can clear it.
func (h *host) admitsRun(now time.Time) bool {
	if !h.health.suspected(now) {
		return true
	}
	for _, r := range h.runs {
		if !r.proven() {
			return false
		}
	}
	return true
}

// proven reports whether the host has borne a run of a long-running task for so long that a failure is
// the task's own. Such a run never succeeds.
func (r *run) proven() bool { return r.task.step.def.LongRunning && r.workedFor() >= soundRunTime }

// weighSuspicion ignores the suspicion of hosts while more than half of those that take tasks are
// suspected: the cause is not in the hosts, and the others have no room for what these could run.
func (p *Pool) weighSuspicion(now time.Time) {
	reachable, suspected := 0, 0
	for _, h := range p.hosts {
		if !h.reachable() {
			continue
		}
		reachable++
		if h.health.suspected(now) {
			suspected++
		}
	}
	ignore := 2*suspected > reachable
	if ignore != p.ignoreSuspicion {
		p.events.Event("suspicion-weighed", "pool", p.name, "ignored", ignore, "suspected", suspected, "hosts", reachable)
	}
	p.ignoreSuspicion = ignore
}
