package schedule

import (
	"slices"
	"time"
)

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
	if !h.listed || !h.confirmed || h.report.Draining || h.cordoned() {
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
