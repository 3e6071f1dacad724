package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// startOrder returns the start order of a run whose placement is recorded. The order waits for
// its turn at the host; BeginStart completes it.
func (p *Pool) startOrder(r *run) Start {
	r.queued = true
	return Start{
		Target: worker.Target{ID: r.host.report.ID, Address: r.host.report.Address},
		Order: worker.StartOrder{
			Task: r.name, Run: r.number, Spec: r.task.step.job.Spec, Token: p.token, Checkpoint: r.checkpoint,
		},
	}
}

// BeginStart completes a start order that is about to be sent. It returns false if the run is
// not wanted any more or its host can't take it; the order must not be sent then.
func (p *Pool) BeginStart(id worker.ID, order worker.StartOrder, now time.Time) (worker.StartOrder, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok {
		return order, false
	}
	r, ok := h.runs[runKey{order.Task, order.Run}]
	if !ok || !r.queued {
		return order, false
	}
	if !r.unsent {
		return p.beginRepeat(r, order, now)
	}
	ticket, valid := r.task.step.ticketFor(h, now)
	if p.fenced || !r.wanted() || !h.reachable() || !p.takes(h, now) || (r.task.step.job.NeedsPlacementCheck && !valid) {
		p.dropStart(r, now)
		return order, false
	}
	e, queued := r.task.step.job, now.Sub(r.sentAt)
	r.state, r.unsent, r.queued, r.sentAt, r.attempts, r.sentTo = stateSending, false, false, now, 1, h.incarnation
	h.lastStart = now
	order.Ticket, order.LeaseEnd = ticket, h.nextLease(now, p.startLease(r))
	p.events.Event("run-start", "task", r.name, "run", r.number, "host", id, "fence", int64(p.token),
		"waited", now.Sub(e.AcceptedAt), "left-to-objective", e.objective(r.name.Occurrence).Sub(now),
		"queued", queued, "other-runs", len(r.task.runs)-1, "heard", now.Sub(h.heardAt), "checkpoint", r.checkpoint)
	return order, true
}

// mayRepeat reports whether a start without an answer may be sent again. The host starts the
// run once, however many of the orders reach it, and this takes less time than to stop it and
// to start another.
func (p *Pool) mayRepeat(r *run, now time.Time) bool {
	h := r.host
	if r.attempts == 0 || r.attempts >= maxStartAttempts || r.sentTo != h.incarnation || p.fenced || !h.reachable() || !p.takes(h, now) {
		return false
	}
	if r.task.step.job.NeedsPlacementCheck {
		_, valid := r.task.step.ticketFor(h, now)
		return valid
	}
	return true
}

// beginRepeat completes a repeated start that is about to be sent, unless the run has been
// listed meanwhile or is not wanted any more.
func (p *Pool) beginRepeat(r *run, order worker.StartOrder, now time.Time) (worker.StartOrder, bool) {
	r.queued = false
	if r.state != stateUnknown || r.task.step.job.Ended() || r.task.done() || !p.mayRepeat(r, now) {
		return order, false
	}
	h := r.host
	r.state, r.attempts = stateSending, r.attempts+1
	h.startsInFlight++
	h.lastStart = now
	order.Ticket, _ = r.task.step.ticketFor(h, now)
	order.LeaseEnd = h.nextLease(now, p.startLease(r))
	p.events.Event("start-repeated", "task", r.name, "run", r.number, "host", h.report.ID, "attempt", r.attempts,
		"after", now.Sub(r.sentAt), "heard", now.Sub(h.heardAt))
	return order, true
}

// startLease returns the lease that a start carries, which is also how long it may be on its
// way. A copy must not begin long after another run of its task has succeeded.
func (p *Pool) startLease(r *run) time.Duration {
	if r.task.step.def.Speculative {
		return startLifetime
	}
	return p.limits.Lease
}

// wanted reports whether a run that has not been sent is still to be started.
func (r *run) wanted() bool {
	return r.state == stateRecording && !r.task.step.job.Ended() && !r.task.done()
}

// dropStart releases a placed run whose start was never sent. A gang is stopped whole.
func (p *Pool) dropStart(r *run, now time.Time) {
	p.events.Event("start-dropped", "task", r.name, "run", r.number, "host", r.host.report.ID,
		"queued", now.Sub(r.sentAt), "task-done", r.task.done(), "job-ended", r.task.step.job.Ended(), "stop", r.stopReason,
		"host-reachable", r.host.reachable(), "capacity-known", p.capacityKnown(r.host, now),
		"free-cpu", r.host.free().CPU, "free-memory-mb", r.host.free().MemoryMB)
	p.abandon(r, now)
	if r.task.step.def.Gang && r.number == r.task.step.gangRun {
		p.stopGang(r.task.step, "gang-incomplete")
	}
}

// abandon releases a placed run whose start was never sent.
func (p *Pool) abandon(r *run, now time.Time) {
	r.host.startsInFlight--
	p.release(r, now, worker.OutcomeStopped)
}
