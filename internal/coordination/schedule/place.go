package schedule

import (
	"slices"
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
		if c.step.def.Gang {
			waiting = !p.placeGang(c, now, orders) || waiting
			continue
		}
		if full.excludes(c.step) {
			waiting = true
			continue
		}
		for _, t := range c.tasks {
			h := p.bestHost(t, now)
			if h == nil {
				waiting = true
				full.add(c.step)
				if c.step.entry.Priority < least {
					p.preempt(c, now)
				}
				break
			}
			p.start(t, h, t.nextRun(p.fence), now, orders)
		}
	}
	if !waiting {
		p.copies(now, orders)
	}
}

// leastUrgent is the priority of the least urgent job that has runs.
func (p *Pool) leastUrgent() int {
	least := 0
	for _, e := range p.jobs {
		if e.liveRuns > 0 {
			least = max(least, e.Priority)
		}
	}
	return least
}

// crowd remembers what no host has had room for in one plan, so that what needs at
// least as much is not tried on every host again.
type crowd []worker.Resources

// add notes that a step found no room. Bounds of its own may have been the reason,
// so only a step without them tells about others.
func (f *crowd) add(s *step) {
	if s.def.MaxPerHost == 0 && s.def.RequiredLabel == "" && !s.entry.NeedsAdvice {
		*f = append(*f, s.def.Reserved())
	}
}

// excludes tells whether a step needs at least what found no room.
func (f crowd) excludes(s *step) bool {
	needs := s.def.Reserved()
	for _, r := range f {
		if r.Fits(needs) {
			return true
		}
	}
	return false
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

// The weights of a host's score; nearness to data outweighs all but suspicion, and
// among equals the fuller host is taken, so that others stay free for large tasks.
const (
	scoreSuspected = -100
	scoreAvoid     = -50
	scoreNear      = 20
	scoreSameRack  = 10
	scoreFull      = 1
	scoreSpread    = -5
)

func (p *Pool) score(t *task, h *host, now time.Time) float64 {
	s := t.step
	score := 0.0
	if h.health.suspected(now) {
		score += scoreSuspected
	}
	if t.avoid == h.report.ID {
		score += scoreAvoid
	}
	if s.def.DataRack != "" && s.def.DataRack == h.report.Rack {
		score += scoreNear
	}
	if s.def.OneRack && s.rack() == h.report.Rack {
		score += scoreSameRack
	}
	if s.def.LongRunning {
		score += scoreSpread * float64(h.stepRuns(s))
	}
	return score + scoreFull*h.fullness()
}

// fullness is the share of a host's processors or memory that is taken.
func (h *host) fullness() float64 {
	c := h.report.Capacity
	if c.CPU == 0 || c.MemoryMB == 0 {
		return 0
	}
	return max(float64(h.used.CPU)/float64(c.CPU), float64(h.used.MemoryMB)/float64(c.MemoryMB))
}

// rack is where most of the step's runs are.
func (s *step) rack() string {
	count := map[string]int{}
	best := ""
	for _, t := range s.tasks {
		for _, r := range t.runs {
			rack := r.host.report.Rack
			count[rack]++
			if best == "" || count[rack] > count[best] {
				best = rack
			}
		}
	}
	return best
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

// placeGang starts all tasks of a gang or none.
func (p *Pool) placeGang(c candidate, now time.Time, orders *Orders) bool {
	number := c.step.gangRun + 1
	for _, t := range c.tasks {
		number = max(number, t.nextRun(p.fence))
	}
	var placed []*run
	for _, t := range c.tasks {
		h := p.bestHost(t, now)
		if h == nil {
			break
		}
		placed = append(placed, p.start(t, h, number, now, orders))
	}
	if len(placed) == len(c.tasks) {
		c.step.gangRun = number
		return true
	}
	for _, r := range placed {
		p.abandon(r, now)
	}
	return false
}

// preempt makes room for a more urgent step: it stops runs of the least urgent
// jobs that go on from a checkpoint, on the host where that loses least.
func (p *Pool) preempt(c candidate, now time.Time) {
	if c.class > classOnTime {
		return
	}
	var best []*run
	for _, h := range p.hosts {
		victims := p.victims(c, h, now)
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	for _, r := range best {
		p.stop(r, "preempted")
	}
}

// victims lists the runs to stop on a host to make room for one task, or nil.
func (p *Pool) victims(c candidate, h *host, now time.Time) []*run {
	if !h.listed || !h.confirmed || h.report.Draining || h.cordoned {
		return nil
	}
	var able []*run
	free := h.free()
	for _, r := range h.runs {
		if r.state == stopping {
			// Room is being made already.
			return nil
		}
		victim := r.task.step
		if victim.entry.Priority > c.step.entry.Priority && victim.def.SavesProgress && !victim.def.Gang && r.state == on &&
			now.Sub(r.onAt) > p.limits.CheckpointEvery {
			able = append(able, r)
		}
	}
	slices.SortFunc(able, func(a, b *run) int { return b.task.step.entry.Priority - a.task.step.entry.Priority })
	for n, r := range able {
		free = free.Plus(r.needs)
		if c.step.def.Reserved().Fits(free) {
			return able[:n+1]
		}
	}
	return nil
}

// copyFactor times the expected time is when a copy of a slow task is worth its room.
const copyFactor = 1.5

// copies starts second runs of slow speculative tasks in room that nothing else wants.
func (p *Pool) copies(now time.Time, orders *Orders) {
	for _, e := range p.jobs {
		if e.Ended() {
			continue
		}
		for _, s := range e.steps {
			if !s.def.Speculative || s.def.Gang || s.def.LongRunning {
				continue
			}
			for _, t := range s.tasks {
				p.copyTask(t, now, orders)
			}
		}
	}
}

func (p *Pool) copyTask(t *task, now time.Time, orders *Orders) {
	if len(t.runs) != 1 || t.runs[0].state != on || t.done() {
		return
	}
	first := t.runs[0]
	expected := p.learned.of(t.step.entry.Queue, t.step.def.Estimate)
	if first.adopted || now.Sub(first.onAt) < time.Duration(copyFactor*float64(expected)) {
		return
	}
	h := p.bestHost(t, now)
	if h == nil || h == first.host {
		return
	}
	p.start(t, h, t.nextRun(p.fence), now, orders)
}
