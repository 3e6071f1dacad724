package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// place starts what fits, the most urgent first.
func (p *Pool) place(now time.Time, orders *Orders) {
	waiting := false
	least := p.leastUrgent()
	var full crowd
	for _, c := range p.candidates(now) {
		if c.step.entry.NeedsAdvice {
			if q, ok := p.question(c.step, now); ok {
				orders.Questions = append(orders.Questions, q)
			}
		}
		switch {
		case c.step.def.Gang:
			waiting = !p.placeGang(c, now, orders) || waiting
		case full.excludes(c.step):
			waiting = true
		case !p.placeTasks(c, now, orders):
			waiting = true
			full.add(c.step)
			if c.step.entry.Priority < least {
				p.preempt(c, now)
			}
		}
	}
	if !waiting {
		p.copies(now, orders)
	}
}

// placeTasks starts a step's tasks one by one; it tells whether all found room.
func (p *Pool) placeTasks(c candidate, now time.Time, orders *Orders) bool {
	for _, t := range c.tasks {
		h := p.bestHost(t, now)
		if h == nil {
			return false
		}
		p.start(t, h, t.nextRun(p.fence), now, orders)
	}
	return true
}

// nextRun gives a run number above all earlier ones of the task, those of earlier
// owners included.
func (t *task) nextRun(fence worker.Fence) int64 {
	return max(t.lastRun+1, int64(fence)<<runsPerFence)
}

// bestHost finds where to start a task, or nil.
func (p *Pool) bestHost(t *task, now time.Time) *host {
	var best *host
	bestScore := 0.0
	for _, h := range p.hosts {
		if !p.allowed(t.step, h, now) {
			continue
		}
		score := p.score(t, h, now)
		if best == nil || score > bestScore || (score == bestScore && h.report.ID < best.report.ID) {
			best, bestScore = h, score
		}
	}
	return best
}

// allowed tells whether a task of a step may be started on a host now.
func (p *Pool) allowed(s *step, h *host, now time.Time) bool {
	if !h.usable(now) || !s.def.Reserved().Fits(h.free()) {
		return false
	}
	if s.def.RequiredLabel != "" && s.def.RequiredLabel != h.report.Kind && s.def.RequiredLabel != h.report.Rack {
		return false
	}
	if s.def.MaxPerHost > 0 && h.stepRuns(s) >= s.def.MaxPerHost {
		return false
	}
	if s.entry.NeedsAdvice {
		if _, ok := s.ticketFor(h, now); !ok {
			return false
		}
	}
	return true
}

// start puts a run on a host; its order goes out once the placement is recorded.
func (p *Pool) start(t *task, h *host, number int64, now time.Time, orders *Orders) *run {
	e := t.step.entry
	r := &run{
		task: t, name: t.name(), number: number, host: h, needs: t.step.def.Reserved(), state: recording, unsent: true,
		sentAt: now, resumed: t.checkpoint != "", percent: fullSpeed, paceSent: fullSpeed, checkpoint: t.checkpoint,
	}
	p.attach(r)
	h.starting++
	e.begun, e.dirty = true, true
	orders.Placed = true
	return r
}

// startOrder makes the order of a run whose placement is recorded.
func (p *Pool) startOrder(r *run, now time.Time) Start {
	e, h := r.task.step.entry, r.host
	text, _ := r.task.step.ticketFor(h, now)
	r.state, r.unsent, r.sentAt = sending, false, now
	p.events.Event("run-start", "task", r.name, "run", r.number, "host", h.report.ID, "fence", int64(p.fence),
		"waited", now.Sub(e.AcceptedAt), "left-to-objective", e.objective(r.name.Occurrence).Sub(now),
		"heard", now.Sub(h.heardAt), "checkpoint", r.checkpoint)
	return Start{
		Target: worker.Target{ID: h.report.ID, Address: h.report.Address},
		Order: worker.StartOrder{
			Task: r.name, Run: r.number, Spec: e.Spec, LeaseEnd: h.nextLease(now, p.limits.Lease), Fence: p.fence,
			Checkpoint: r.checkpoint, Ticket: text,
		},
	}
}

// abandon takes back a run that was never sent.
func (p *Pool) abandon(r *run, now time.Time) {
	r.host.starting--
	p.release(r, now, worker.HowStopped)
}
