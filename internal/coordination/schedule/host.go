package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// host is an upstream host of the pool and what is known of its worker.
type host struct {
	report worker.Report
	// listed is set while the list of live hosts has it.
	listed bool
	// confirmed is set while the worker answers and its life is known; nothing is
	// started before.
	confirmed bool
	life      worker.Life
	// met is set once the worker has answered this owner.
	met bool
	// clock is the worker's clock at clockAt, when its answer came.
	clock   time.Duration
	clockAt time.Time
	heardAt time.Time
	// knownAt is when the host was first known: by its report, or by what an earlier
	// owner had recorded before this tenure began.
	knownAt time.Time
	// leaseSent is the latest lease end sent, on the worker's clock.
	leaseSent time.Duration
	// expiry is when everything there has ended if the worker is not heard from.
	expiry time.Time
	// processed is the number of the last end taken in, noted of the last one that
	// is recorded.
	processed int64
	noted     int64
	runs      map[runKey]*run
	foreign   map[runKey]time.Time
	used      worker.Resources
	starting  int
	use       Use
	// pausedUntil keeps starts away for a moment.
	pausedUntil time.Time
	health      health
}

type runKey struct {
	task worker.TaskName
	run  int64
}

func (r *run) key() runKey { return runKey{r.name, r.number} }

func newHost(report worker.Report, knownAt time.Time) *host {
	return &host{report: report, knownAt: knownAt, runs: map[runKey]*run{}, foreign: map[runKey]time.Time{}}
}

func (h *host) free() worker.Resources { return h.report.Capacity.Minus(h.used) }

// usable tells whether a task may be started there now.
func (h *host) usable(now time.Time) bool {
	return h.listed && h.confirmed && !h.report.Draining && !h.cordoned() &&
		!now.Before(h.pausedUntil) && h.starting < maxStartsPerHost && h.health.admits(now, len(h.runs))
}

// reachable tells whether an order that is ready may still go to the host.
func (h *host) reachable() bool {
	return h.listed && h.confirmed && !h.report.Draining && !h.cordoned()
}

// clockNow estimates the worker's clock; it is never ahead of the worker by more
// than the drift.
func (h *host) clockNow(now time.Time) time.Duration {
	return h.clock + now.Sub(h.clockAt)
}

// nextLease gives the lease end for an order sent now, and remembers it.
func (h *host) nextLease(now time.Time, lease time.Duration) time.Duration {
	end := (h.clockNow(now) + lease).Truncate(time.Millisecond)
	h.leaseSent = max(h.leaseSent, end)
	h.extendExpiry()
	return end
}

// extendExpiry works out by which time of ours the worker's clock has passed the
// latest lease end, if it runs as slowly as allowed.
func (h *host) extendExpiry() {
	left := h.leaseSent - h.clock
	if left <= 0 {
		return
	}
	slow := time.Duration(float64(left) / (1 - clockDrift))
	expiry := h.clockAt.Add(slow + leaseSlack)
	if expiry.After(h.expiry) {
		h.expiry = expiry
	}
}

// answered notes the worker's clock from an answer that came now.
func (h *host) answered(now time.Time, clock time.Duration) {
	h.heardAt = now
	if clock <= 0 || clock < h.clock {
		return
	}
	h.clock, h.clockAt = clock, now
}

func (h *host) add(r *run) {
	h.runs[r.key()] = r
	h.used = h.used.Plus(r.needs)
}

func (h *host) remove(r *run) {
	if h.runs[r.key()] != r {
		return
	}
	delete(h.runs, r.key())
	h.used = h.used.Minus(r.needs)
}

// stepRuns counts the runs of one step's occurrence on the host.
func (h *host) stepRuns(s *step) int {
	n := 0
	for _, r := range h.runs {
		if r.task != nil && r.task.step == s {
			n++
		}
	}
	return n
}
