package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// NextRenewal returns the next lease renewal for a host. It returns false when the host
// has been dropped and its renewal loop should end.
func (p *Pool) NextRenewal(id worker.ID, now time.Time) (worker.RenewalOrder, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok {
		return worker.RenewalOrder{}, false
	}
	if !h.confirmed || now.Sub(h.heardAt) >= minRestartTime {
		// The worker may have restarted under the same ID. Until its incarnation is known,
		// no ended run may be acknowledged and no lease extended by its former clock.
		p.raiseFence(h)
		return worker.RenewalOrder{Token: p.tokenFor(h)}, true
	}
	order := worker.RenewalOrder{Token: p.useToken(h), LeaseEnd: h.nextLease(now, p.limits.Lease)}
	if h.acknowledged > h.forgotten {
		order.Acknowledged = h.acknowledged
	}
	if h.acknowledged == h.received {
		order.MaxWait = p.limits.RenewalWait
		if p.neighbours != nil && h.serves() {
			order.MaxWait = min(order.MaxWait, sampleWait)
		}
	}
	return order, true
}

// ImmediateRenewal returns a lease renewal that is answered at once, to learn outside the
// renewal loop what runs on a host.
func (p *Pool) ImmediateRenewal(id worker.ID, now time.Time) (worker.RenewalOrder, bool) {
	order, ok := p.NextRenewal(id, now)
	order.MaxWait = 0
	return order, ok
}

// HasUnrecordedEnds reports whether ended runs of a host wait to be recorded.
func (p *Pool) HasUnrecordedEnds(id worker.ID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	return ok && h.acknowledged != h.received
}

// RenewalFailed marks a host as unresponsive after a lease renewal, sent at sent, without an answer.
// One to an earlier incarnation says nothing of the present one.
func (p *Pool) RenewalFailed(id worker.ID, sent, now time.Time, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok || sent.Before(h.incarnationAt) {
		return
	}
	if h.confirmed {
		p.events.Event("host-silent", "host", id, "pool", p.name, "runs", len(h.runs), "heard", h.heardAt, "error", cause)
		h.silentAt = now
	}
	h.confirmed = false
	h.failedContact = h.failedContact || h.contactedAt.IsZero()
}

// ApplyRenewal applies a renewal reply, which lists a host's running and ended runs; the
// renewal was sent at sent.
func (p *Pool) ApplyRenewal(id worker.ID, order worker.RenewalOrder, sent, now time.Time, reply worker.RenewalReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok {
		return
	}
	if reply.Fenced {
		p.refusedByFence(h, order.Token)
		return
	}
	if reply.Incarnation == h.incarnation && (reply.Clock < h.clock || sent.Before(h.restartSeenAt)) {
		// A later reply has been applied already, so these lists may be out of date.
		return
	}
	if h.incarnation != reply.Incarnation {
		if sent.Before(h.incarnationAt) {
			// The answer is from an earlier incarnation. If it is from a later one, so is the next.
			return
		}
		p.newIncarnation(h, reply.Incarnation, p.wouldSeal(h, order.Token), sent, now)
	} else {
		h.forgotten = max(h.forgotten, order.Acknowledged)
	}
	p.work.Renewals++
	p.seal(h, order.Token, now)
	if !h.confirmed && h.fence.sealed {
		p.events.Event("host-answers", "host", id, "pool", p.name, "life", reply.Incarnation, "running", len(reply.Running), "ended", len(reply.Ended))
	}
	h.forgetLapsed()
	p.settle(h, now)
	if h.contactedAt.IsZero() {
		h.contactedAt = now
	}
	h.confirmed, h.leaving = h.fence.sealed, h.cordoned()
	h.updateClock(now, reply.Clock)
	for n := range reply.Ended {
		p.applyEndedRun(h, &reply.Ended[n], now)
	}
	p.applyActiveRuns(h, reply.Running, sent, now)
	if len(reply.Ended) < maxEndsPerReply {
		p.reconcileMissing(h, reply.Running, order.Token, sent, now)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// maxEndsPerReply is the most ended runs that a worker lists in one reply, from the
// workers' contract. A reply with that many may be incomplete.
const maxEndsPerReply = 500

// Fence makes the pool order nothing more, because a later owner was seen elsewhere.
func (p *Pool) Fence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fenced = true
}

// refusedByFence applies the refusal of an order whose fencing token is out of date: either a later
// owner or a later order of this one has overtaken it.
func (p *Pool) refusedByFence(h *host, token worker.FencingToken) {
	if token == p.tokenFor(h) {
		p.setFenced(h.report.ID)
	}
}

func (p *Pool) setFenced(id worker.ID) {
	if !p.fenced {
		p.events.Event("pool-fenced", "pool", p.name, "host", id, "fence", int64(p.token))
	}
	p.fenced = true
}

// applyActiveRuns applies a worker's list of running runs, which was requested at sent.
func (p *Pool) applyActiveRuns(h *host, rows []worker.ActiveRun, sent, now time.Time) {
	// Until then the list may show a run that a former owner has stopped.
	formerStops := h.contactedAt.Add(p.limits.StopTime)
	for n := range rows {
		row := &rows[n]
		delete(h.unanswered, runKey{row.Task, row.Run})
		r, ok := h.runs[runKey{row.Task, row.Run}]
		if !ok {
			r = p.adopt(h, row, now)
		}
		if r == nil {
			continue
		}
		if r.state == stateInherited {
			r.sentAt = now.Add(-r.age())
		}
		if r.state == stateSending || r.state == stateUnknown || r.state == stateInherited {
			r.state, r.startedAt, r.unconfirmed, r.task.step.job.begun = stateRunning, now, false, true
			p.stopIfSuperseded(r)
		}
		if r.speed != row.Percent {
			r.noteSpeed(now)
		}
		r.speed, r.atWork = row.Percent, row.Percent == fullSpeed && (!r.adopted || !sent.Before(formerStops))
		if r.state == stateStopping && !r.stopAckedAt.IsZero() && now.Sub(r.stopAckedAt) > stopTimeout {
			r.stopAckedAt = time.Time{}
		}
		p.observe(r, row, now)
	}
	if p.neighbours != nil {
		p.sample(h, rows, now)
	}
}

// adopt adds a listed run that this owner has no record of, usually one that an earlier
// owner started. It returns nil for a run of an unknown job.
func (p *Pool) adopt(h *host, row *worker.ActiveRun, now time.Time) *run {
	key := runKey{row.Task, row.Run}
	e, ok := p.jobs[jobID(row.Task)]
	var t *task
	if ok {
		t = e.openTask(row.Task)
	}
	if t == nil {
		if _, known := h.unknownRuns[key]; !known {
			h.unknownRuns[key] = now
		}
		return nil
	}
	delete(h.unknownRuns, key)
	r := &run{
		task: t, name: row.Task, number: row.Run, host: h, needs: t.step.def.Reserved(), state: stateRunning, adopted: true,
		sentAt: now, startedAt: now, placedAt: h.clock, speed: row.Percent, speedSent: row.Percent,
	}
	p.attach(r)
	e.started, e.begun = true, true
	p.stopIfSuperseded(r)
	if t.step.def.Gang {
		t.step.gangRun = max(t.step.gangRun, row.Run)
	}
	p.events.Event("run-adopted", "task", row.Task, "run", row.Run, "host", h.report.ID, "state", int(r.state))
	return r
}

// stopIfSuperseded stops an earlier owner's run whose job or task has ended, or that
// another run replaces.
func (p *Pool) stopIfSuperseded(r *run) {
	t := r.task
	switch {
	case !r.adopted:
	case t.step.job.endRecorded() || t.done():
		p.stop(r, "ended")
	case t.step.def.Gang && t.step.gangRun > r.number:
		p.stop(r, "gang-replaced")
	case t.activeRuns() > 1 && !t.step.def.Speculative:
		p.stop(r, "duplicate")
	}
}

// reconcileMissing handles runs that this owner expects on a host but that are missing from
// the worker's list, which was requested at sent with token.
func (p *Pool) reconcileMissing(h *host, rows []worker.ActiveRun, token worker.FencingToken, sent, now time.Time) {
	reported := make(map[runKey]struct{}, len(rows))
	for n := range rows {
		reported[runKey{rows[n].Task, rows[n].Run}] = struct{}{}
	}
	for key := range h.unknownRuns {
		if _, ok := reported[key]; !ok {
			delete(h.unknownRuns, key)
		}
	}
	for key, r := range h.runs {
		if _, ok := reported[key]; !ok {
			p.reconcileMissingRun(r, token, sent, now)
		}
	}
}

func (p *Pool) reconcileMissingRun(r *run, token worker.FencingToken, sent, now time.Time) {
	sealed := r.host.fence.sealed
	switch {
	case r.state == stateStopping && !r.stopAckedAt.IsZero() && r.stopAckedAt.Before(sent):
		p.release(r, now, worker.OutcomeStopped)
	case sealed && r.refusedAfter(token):
		p.release(r, now, worker.OutcomeStopped)
		p.stopGangOf(r, "gang-incomplete")
	case r.state == stateInherited && sealed:
		// The worker has seen this owner's fencing token, so it refuses a start of an
		// earlier owner that is still in flight.
		p.release(r, now, worker.OutcomeLeaseExpired)
	case r.state == stateRunning && r.startedAt.Before(sent):
		p.stop(r, "vanished")
	}
}

// refusedAfter reports whether a worker that has answered an order with token refuses the start of the
// run, which it may not have begun.
func (r *run) refusedAfter(token worker.FencingToken) bool {
	return r.mayBeAbsent() && !r.unsent && r.token != 0 && r.token < token
}
