package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// clockWentBack reports whether the answer to an order that was sent at sent has a clock reading
// from before the order, so that it must be another incarnation's: one that was started meanwhile, and
// was away for at least minRestartTime.
func (h *host) clockWentBack(sent time.Time, clock time.Duration) bool {
	if clock <= 0 || sent.Before(h.clockAt) {
		return false
	}
	elapsed := time.Duration(float64(sent.Sub(h.clockAt)) * (1 - maxClockDrift))
	return clock < h.clock+elapsed-clockSlack
}

// restartSeen records that a host's worker has restarted, though no list of its next incarnation has
// come yet. Its ends are numbered anew, so none may be acknowledged before.
func (p *Pool) restartSeen(h *host, now time.Time) {
	p.events.Event("host-restart-seen", "host", h.report.ID, "pool", p.name, "before", h.incarnation, "runs", len(h.runs))
	h.confirmed, h.restartSeenAt = false, now
	p.unseal(h)
}

// newIncarnation resets what is known of a host whose worker reports a new incarnation, in an
// answer that was requested at sent. A restarted worker has none of its earlier runs. If it is not
// sealed, it may still begin those whose start may be on its way.
func (p *Pool) newIncarnation(h *host, incarnation worker.Incarnation, sealed bool, sent, now time.Time) {
	if h.incarnation != 0 {
		p.events.Event("host-restarted", "host", h.report.ID, "pool", p.name, "life", incarnation, "before", h.incarnation, "runs", len(h.runs))
	}
	known := h.incarnation != 0
	if known {
		p.hostCrashed(h, sent, now)
		p.unseal(h)
	}
	h.incarnation, h.incarnationAt = incarnation, now
	h.clock, h.clockAt, h.leaseSent = 0, now, 0
	h.received, h.acknowledged, h.forgotten = 0, 0, 0
	h.health = health{}
	clear(h.unknownRuns)
	for _, r := range h.runs {
		r.placedAt = 0
		switch {
		case r.state == stateInherited && !sealed:
		case !known || r.unsent:
			// An unsent run was on no incarnation; its record or its turn at the host releases it.
		case r.state == stateSending || r.state == stateUnknown:
			// The start may have reached the new incarnation.
			r.state = stateUnknown
		case r.state == stateStopping && r.mayBeAbsent():
			// So it may, and the new incarnation knows nothing of the stop.
			r.stopSentAt, r.stopAckedAt = time.Time{}, time.Time{}
			p.stopGangOf(r, "gang-lapsed")
		case r.mayBeOnNext(sent):
			r.onNext = false
		default:
			p.release(r, now, worker.OutcomeLeaseExpired)
		}
	}
}

// mayBeOnNext reports whether the next incarnation of the worker, whose first list was requested at
// sent, may have accepted the run. If it has not, a later list shows that.
func (r *run) mayBeOnNext(sent time.Time) bool {
	return r.onNext || (!r.mayBeAbsent() && r.startedAt.After(sent))
}
