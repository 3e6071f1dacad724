package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// host is an upstream host of the pool with the known state of its worker.
type host struct {
	report worker.Report
	// listed is set while the live list has the host.
	listed bool
	// drained is the incarnation that has said that it drains, or 0. It says so no more once the
	// next one has reported.
	drained worker.Incarnation
	// awaited is set while the host was cordoned before its first report came.
	awaited bool
	// confirmed is set while the worker answers and its incarnation is known; nothing
	// is started on the host otherwise.
	confirmed   bool
	incarnation worker.Incarnation
	// incarnationAt is when the incarnation became known.
	incarnationAt time.Time
	// restartSeenAt is when it was last seen that the worker has restarted, before the list of its
	// next incarnation came.
	restartSeenAt time.Time
	// contactedAt is when the worker first answered this owner, zero before.
	contactedAt time.Time
	// failedContact is set once a renewal got no answer before the worker first answered.
	failedContact bool
	// clock is the worker's clock reading from its last answer, which came at clockAt.
	clock   time.Duration
	clockAt time.Time
	heardAt time.Time
	// silentAt is when the worker was last found unresponsive.
	silentAt time.Time
	// knownAt is when the host first became known: from its report, or, for one that an
	// earlier owner recorded, the start of the tenure.
	knownAt time.Time
	// leaseSent is the latest lease end sent, on the worker's clock.
	leaseSent time.Duration
	// expiry is when all runs on the host have ended if the worker stays unresponsive.
	expiry time.Time
	// received is the number of the last ended run that was applied; acknowledged that of
	// the last one recorded in the log, which the worker may forget; forgotten that of the last
	// one that it is known to have forgotten.
	received     int64
	acknowledged int64
	forgotten    int64
	runs         map[runKey]*run
	// unknownRuns are listed runs of jobs that this owner does not know, with the time when
	// each was first listed or last ordered to stop.
	unknownRuns map[runKey]time.Time
	unanswered  unansweredStarts
	fence       fence
	// used is what the runs and the reserved tasks take of the host's capacity.
	used worker.Resources
	// reserved holds the tasks for which room is kept.
	reserved []*task
	// startsInFlight counts placed runs whose start is not yet sent or not yet answered.
	startsInFlight int
	use            Use
	// leaving is set while the host is cordoned and was so when it last answered.
	leaving bool
	// pausedUntil is the time until which nothing is started after a refusal.
	pausedUntil time.Time
	// sampledAt is when the last list was sampled for interference.
	sampledAt time.Time
	// separatedAt is when a run was last moved off the host because it disturbed others.
	separatedAt time.Time
	health      health
	// settledAt is when the host will have reported again after it was unresponsive.
	settledAt time.Time
	// lastStart is when a run was last placed on the host, or its start sent.
	lastStart time.Time
	// trial is the run of a suspected task that is starting on the host, or nil.
	trial *run
	// trialQueried is the last trial after which the host was asked what it runs.
	trialQueried *run
	// lapsed holds the runs that were starting when the worker fell silent, from the expiry of
	// their leases until it is known whether the worker has crashed.
	lapsed []*run
}

type runKey struct {
	task worker.TaskName
	run  int64
}

func (r *run) key() runKey { return runKey{r.name, r.number} }

// addHost adds a host, with the unanswered starts to it from before it left the pool.
func (p *Pool) addHost(report worker.Report, knownAt, expiry time.Time) *host {
	before := p.takeDeparted(report.ID)
	h := &host{
		report: report, knownAt: knownAt, expiry: expiry, runs: map[runKey]*run{}, unknownRuns: map[runKey]time.Time{},
		unanswered: before.unanswered, fence: fence{epoch: p.nextEpoch(), lateUntil: before.lateUntil},
	}
	p.hosts[report.ID] = h
	return h
}

// wasToldToLeave reports whether the present incarnation ends by intent: it drains, or was
// vacated to be ordered away.
func (h *host) wasToldToLeave() bool {
	return h.report.Draining || (h.leaving && !h.fellSilentAtStart()) || (h.drained != 0 && h.drained == h.incarnation)
}

// fellSilentAtStart reports whether the worker was found silent at once, and so soon after it was
// sent a start that the run may have crashed it.
func (h *host) fellSilentAtStart() bool {
	if h.confirmed || h.wasCutOff() {
		return false
	}
	for _, r := range h.runs {
		if after := h.silentAt.Sub(r.sentAt); !r.unsent && after > 0 && after < startupTime {
			return true
		}
	}
	return false
}

// wasCutOff reports whether the worker was first silent, for so long that a call timed out. When
// it crashes, its connections break at once.
func (h *host) wasCutOff() bool { return !h.confirmed && h.silentAt.Sub(h.heardAt) >= silenceOfACutOff }

// lastSeen returns when the host was last known to be alive, in milliseconds as peers report it. A
// worker that is seen to have restarted is, though the answer does not count for its former life.
func (h *host) lastSeen() time.Time {
	return later(h.restartSeenAt, later(h.knownAt, h.heardAt)).Truncate(time.Millisecond)
}

// hasLabelFor reports whether the host is known to have the label that a step requires, if any. An
// earlier incarnation may have had another.
func (h *host) hasLabelFor(s *step) bool {
	label := s.def.RequiredLabel
	return label == "" || (!h.reportOutdated() && (label == h.report.Kind || label == h.report.Rack))
}

func (h *host) free() worker.Resources { return h.report.Capacity.Minus(h.used) }

// usable reports whether a task may be placed on a host now. The members of a gang, which start
// together, queue there beyond maxStartsPerHost.
func (p *Pool) usable(h *host, gang bool, now time.Time) bool {
	return h.reachable() && !now.Before(h.pausedUntil) && (gang || h.startsInFlight < maxStartsPerHost) &&
		(p.ignoreSuspicion || h.admitsRun(now))
}

// reachable reports whether a start whose placement is recorded may still be sent to the host.
func (h *host) reachable() bool {
	return h.listed && h.confirmed && !h.report.Draining && !h.cordoned()
}

// clockNow returns an estimate of the worker's clock, which is never ahead of it by
// more than the clock drift.
func (h *host) clockNow(now time.Time) time.Duration {
	return h.clock + now.Sub(h.clockAt)
}

// nextLease returns the lease end, on the worker's clock, for an order sent now. It keeps
// the latest lease end sent and extends the host's expiry accordingly.
func (h *host) nextLease(now time.Time, lease time.Duration) time.Duration {
	end := (h.clockNow(now) + lease).Truncate(time.Millisecond)
	h.leaseSent = max(h.leaseSent, end)
	h.fence.lateUntil = later(h.fence.lateUntil, now.Add(lateOrderTime))
	h.extendExpiry()
	return end
}

// extendExpiry sets expiry to the local time by which the worker's clock has passed the
// latest lease end, assuming that it runs as slowly as allowed.
func (h *host) extendExpiry() {
	left := h.leaseSent - h.clock
	if left <= 0 {
		return
	}
	slow := time.Duration(float64(left) / (1 - maxClockDrift))
	expiry := h.clockAt.Add(slow + leaseSlack)
	if expiry.After(h.expiry) {
		h.expiry = expiry
	}
}

// updateClock records that the worker answered at now, with its clock reading.
func (h *host) updateClock(now time.Time, clock time.Duration) {
	h.heardAt = now
	if clock <= 0 || clock < h.clock {
		return
	}
	h.clock, h.clockAt = clock, now
	h.extendExpiry()
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

// runsWhere returns the runs on the host for which a condition holds.
func (h *host) runsWhere(holds func(*run) bool) []*run {
	var found []*run
	for _, r := range h.runs {
		if holds(r) {
			found = append(found, r)
		}
	}
	return found
}

// stepRuns returns how many runs of a step, in its occurrence, are on the host.
func (h *host) stepRuns(s *step) int {
	n := 0
	for _, r := range h.runs {
		if r.task != nil && r.task.step == s {
			n++
		}
	}
	return n
}
