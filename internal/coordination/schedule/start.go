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
			Task: r.name, Run: r.number, Spec: r.task.step.job.Spec, Checkpoint: r.checkpoint,
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
	ticket, valid := r.task.step.ticketFor(h, now)
	if p.fenced || !r.wanted() || !h.reachable() || !p.takes(h, now) || !h.hasLabelFor(r.task.step) || (r.task.step.job.NeedsPlacementCheck && !valid) {
		p.dropStart(r, now)
		return order, false
	}
	e, queued := r.task.step.job, now.Sub(r.sentAt)
	r.state, r.unsent, r.queued, r.sentAt, r.token = stateSending, false, false, now, p.useToken(h)
	h.lastStart = now
	p.work.Starts++
	h.unanswered.add(r.key(), now)
	order.Token, order.Ticket, order.LeaseEnd = r.token, ticket, h.nextLease(now, p.startLease(r))
	pairs := []any{
		"task", r.name, "run", r.number, "host", id, "fence", int64(p.token), "epoch", h.fence.epoch,
		"waited", now.Sub(e.AcceptedAt), "left-to-objective", e.objective(r.name.Occurrence).Sub(now),
		"queued", queued, "other-runs", len(r.task.runs) - 1, "heard", now.Sub(h.heardAt), "checkpoint", r.checkpoint,
	}
	if since, ok := p.organisations.waitingSince[r.task]; ok {
		delete(p.organisations.waitingSince, r.task)
		pairs = append(pairs, "organisation", e.Organisation, "waited-for-quota", now.Sub(since))
	}
	p.events.Event("run-start", pairs...)
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
