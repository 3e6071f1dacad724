package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// HoldOrder gives the next order of a host's conversation; false means that the
// conversation is over.
func (p *Pool) HoldOrder(id worker.ID, now time.Time) (worker.HoldOrder, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok {
		return worker.HoldOrder{}, false
	}
	if !h.confirmed {
		// The worker may have started again under its ID: no end may be forgotten
		// before its life is known, and no lease extended while it is not heard.
		return worker.HoldOrder{Fence: p.fence}, true
	}
	order := worker.HoldOrder{Fence: p.fence, LastSeen: h.noted, LeaseEnd: h.nextLease(now, p.limits.Lease)}
	if h.noted == h.processed {
		order.Wait = p.limits.HoldWait
	}
	return order, true
}

// LookOrder asks a host what runs there now, beside its conversation.
func (p *Pool) LookOrder(id worker.ID, now time.Time) (worker.HoldOrder, bool) {
	order, ok := p.HoldOrder(id, now)
	order.Wait = 0
	return order, ok
}

// EndsPending tells whether ends of a host wait to be recorded.
func (p *Pool) EndsPending(id worker.ID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	return ok && h.noted != h.processed
}

// HoldFailed notes that a host did not answer.
func (p *Pool) HoldFailed(id worker.ID, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok {
		return
	}
	if h.confirmed {
		p.events.Event("host-silent", "host", id, "pool", p.name, "runs", len(h.runs), "heard", h.heardAt, "error", cause)
	}
	h.confirmed = false
}

// Held takes a host's lists, from an answer to an order sent at sent.
func (p *Pool) Held(id worker.ID, sent, now time.Time, reply worker.HoldReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok {
		return
	}
	if reply.Fenced {
		p.setFenced(id)
		return
	}
	if reply.Life == h.life && reply.Clock < h.clock {
		// An answer that another one has overtaken; what it lists may be over.
		return
	}
	if h.life != reply.Life {
		p.newLife(h, reply.Life, now)
	}
	if !h.confirmed {
		p.events.Event("host-answers", "host", id, "pool", p.name, "life", reply.Life, "running", len(reply.Running), "ended", len(reply.Ended))
	}
	if !h.met {
		// From now on the worker obeys no earlier owner, so that only the lease which
		// the last one may just have granted is still to run out.
		h.met = true
		h.expiry = earlier(h.expiry, now.Add(p.limits.leaseSpan()))
	}
	h.confirmed = true
	h.answered(now, reply.Clock)
	h.extendExpiry()
	for n := range reply.Ended {
		p.ended(h, &reply.Ended[n], now)
	}
	p.running(h, reply.Running, now)
	if len(reply.Ended) < endsPerReply {
		p.missing(h, reply.Running, sent, now)
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

// endsPerReply is how many ends a worker lists at a time, from the workers'
// contract; with as many there may be more.
const endsPerReply = 500

func (p *Pool) setFenced(id worker.ID) {
	if !p.fenced {
		p.events.Event("pool-fenced", "pool", p.name, "host", id, "fence", int64(p.fence))
	}
	p.fenced = true
}

// newLife starts anew with a worker that holds and knows nothing of before.
func (p *Pool) newLife(h *host, life worker.Life, now time.Time) {
	if h.life != 0 {
		p.events.Event("host-restarted", "host", h.report.ID, "pool", p.name, "life", life, "before", h.life, "runs", len(h.runs))
	}
	known := h.life != 0
	h.life = life
	h.clock, h.clockAt, h.leaseSent = 0, now, 0
	h.processed, h.noted = 0, 0
	h.health = health{}
	clear(h.foreign)
	for _, r := range h.runs {
		if !known {
			continue
		}
		switch r.state {
		case sending, unsure:
			// It may have reached the new life.
			r.state = unsure
			continue
		case recording:
			continue
		}
		p.release(r, now, worker.HowLapsed)
	}
}

// running takes the list of what runs.
func (p *Pool) running(h *host, rows []worker.Running, now time.Time) {
	for n := range rows {
		row := &rows[n]
		r, ok := h.runs[runKey{row.Task, row.Run}]
		if !ok {
			r = p.adopt(h, row, now)
		}
		if r == nil {
			continue
		}
		if r.state == sending || r.state == unsure || r.state == inherited {
			r.state, r.onAt, r.doubted = on, now, false
			p.reconsider(r)
		}
		if row.Checkpoint != "" {
			r.checkpoint = row.Checkpoint
			r.task.checkpoint = row.Checkpoint
		}
		r.percent = row.Percent
		if r.state == stopping && !r.stopAckedAt.IsZero() && now.Sub(r.stopAckedAt) > stopPatience {
			r.stopAckedAt = time.Time{}
		}
		r.observe(row.Gauge, now)
	}
}

// adopt takes over a run that an earlier owner started.
func (p *Pool) adopt(h *host, row *worker.Running, now time.Time) *run {
	key := runKey{row.Task, row.Run}
	e, ok := p.jobs[jobID(row.Task)]
	var t *task
	if ok {
		t = e.task(row.Task)
	}
	if t == nil {
		if _, known := h.foreign[key]; !known {
			h.foreign[key] = now
		}
		return nil
	}
	delete(h.foreign, key)
	r := &run{
		task: t, name: row.Task, number: row.Run, host: h, needs: t.step.def.Reserved(), state: on, adopted: true,
		sentAt: now, onAt: now, percent: row.Percent, paceSent: row.Percent,
	}
	p.attach(r)
	e.begun = true
	p.reconsider(r)
	if t.step.def.Gang {
		t.step.gangRun = max(t.step.gangRun, row.Run)
	}
	p.events.Event("run-adopted", "task", row.Task, "run", row.Run, "host", h.report.ID, "state", int(r.state))
	return r
}

// reconsider stops a run of an earlier owner that should not go on.
func (p *Pool) reconsider(r *run) {
	t := r.task
	switch {
	case !r.adopted:
	case t.step.entry.Ended() || t.done():
		p.stop(r, "ended")
	case t.step.def.Gang && t.step.gangRun > r.number:
		p.stop(r, "gang-replaced")
	case t.working() > 1 && !t.step.def.Speculative:
		p.stop(r, "duplicate")
	}
}

// missing finds runs that should be there and are not.
func (p *Pool) missing(h *host, rows []worker.Running, sent, now time.Time) {
	there := make(map[runKey]struct{}, len(rows))
	for n := range rows {
		there[runKey{rows[n].Task, rows[n].Run}] = struct{}{}
	}
	for key := range h.foreign {
		if _, ok := there[key]; !ok {
			delete(h.foreign, key)
		}
	}
	for key, r := range h.runs {
		if _, ok := there[key]; ok {
			continue
		}
		switch {
		case r.state == stopping && !r.stopAckedAt.IsZero() && r.stopAckedAt.Before(sent):
			p.release(r, now, worker.HowStopped)
		case r.state == inherited:
			// The worker has seen this owner's token, so an earlier one's start that is
			// still on its way is refused.
			p.release(r, now, worker.HowLapsed)
		case r.state == on && r.onAt.Before(sent):
			p.stop(r, "vanished")
		}
	}
}
