package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// reasonHostLeaves is why runs are stopped that are to go on at another host.
	reasonHostLeaves = "host-leaves"
	// reasonUnanswered is why runs are stopped whose start got no answer.
	reasonUnanswered = "unanswered"
)

// BeginStop completes a stop order that is about to be sent. It returns false if the stop is not
// wanted any more; the order must not be sent then. A long-running task whose step allows no further
// absence by then stays where it is.
func (p *Pool) BeginStop(id worker.ID, order worker.StopOrder, now time.Time) (worker.StopOrder, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok || p.fenced || !p.wantsStop(h, runKey{order.Task, order.Run}, now) {
		return order, false
	}
	// A stop does not use the epoch, since it changes nothing if it is late: run numbers rise.
	order.Token = p.tokenFor(h)
	return order, true
}

func (p *Pool) wantsStop(h *host, key runKey, now time.Time) bool {
	r, ok := h.runs[key]
	if !ok {
		_, unknown := h.unknownRuns[key]
		return unknown
	}
	r.stopQueued = false
	if r.state != stateStopping {
		return false
	}
	if p.mustStay(r, now) {
		p.events.Event("stop-dropped", "task", r.name, "run", r.number, "host", h.report.ID, "reason", r.stopReason)
		p.unreserve(r.task)
		r.state, r.unconfirmed = stateRunning, false
		return false
	}
	r.stopSentAt = now
	return true
}

// StopNotSent takes back a stop that was not sent because the tenure did not allow it, so that it
// is ordered again.
func (p *Pool) StopNotSent(id worker.ID, order worker.StopOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok {
		return
	}
	if r, ok := h.runs[runKey{order.Task, order.Run}]; ok {
		r.stopQueued = false
	}
}

// mustStay reports whether the stop of a long-running task would now leave its step with too
// few tasks available.
func (p *Pool) mustStay(r *run, now time.Time) bool {
	s := r.task.step
	return r.mayStay() && s.def.LongRunning && !s.job.Ended() && !r.host.report.Draining &&
		!p.withinMaxUnavailable(s, r.task, now)
}

// mayStay reports whether the cause of a run's stop allows to leave the run where it is: a move
// that has not begun, or a start without an answer that has taken effect after all.
func (r *run) mayStay() bool {
	switch r.stopReason {
	case reasonHostLeaves, reasonInterference:
		return r.stopSentAt.IsZero()
	case reasonUnanswered:
		return r.atWork && r.host.confirmed
	default:
		return false
	}
}
