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
// gone; the order must not be sent then.
func (p *Pool) BeginStart(id worker.ID, order worker.StartOrder, now time.Time) (worker.StartOrder, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok {
		return order, false
	}
	r, ok := h.runs[runKey{order.Task, order.Run}]
	if !ok || !r.unsent {
		h.startsInFlight--
		return order, false
	}
	ticket, _ := r.task.step.ticketFor(h, now)
	e, queued := r.task.step.job, now.Sub(r.sentAt)
	if r.state == stateRecording {
		r.state = stateSending
	}
	r.unsent, r.queued, r.sentAt = false, false, now
	order.Ticket, order.LeaseEnd = ticket, h.nextLease(now, p.limits.Lease)
	p.events.Event("run-start", "task", r.name, "run", r.number, "host", id, "fence", int64(p.token),
		"waited", now.Sub(e.AcceptedAt), "left-to-objective", e.objective(r.name.Occurrence).Sub(now),
		"queued", queued, "other-runs", len(r.task.runs)-1, "heard", now.Sub(h.heardAt), "checkpoint", r.checkpoint)
	return order, true
}

// wanted reports whether a run that has not been sent is still to be started.
func (r *run) wanted() bool {
	return r.state == stateRecording && !r.task.step.job.Ended() && !r.task.done()
}

// abandon releases a placed run whose start was never sent.
func (p *Pool) abandon(r *run, now time.Time) {
	r.host.startsInFlight--
	p.release(r, now, worker.OutcomeStopped)
}
