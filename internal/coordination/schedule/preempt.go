package schedule

import (
	"slices"
	"time"
)

// leastUrgentPriority returns the priority of the least urgent job that has runs; a higher
// number is less urgent.
func (p *Pool) leastUrgentPriority() int {
	lowest := 0
	jobs := p.openJobs
	if p.shares != nil {
		jobs = p.shares.activeJobs
	}
	for _, e := range jobs() {
		if len(e.runs) > 0 {
			lowest = max(lowest, e.Priority)
		}
	}
	return lowest
}

// preempt frees capacity for a more urgent step. It stops runs of less urgent jobs that
// can resume from a checkpoint, on the host where the fewest have to stop. See
// urgency.mayPreempt for which steps do.
func (p *Pool) preempt(c candidate, now time.Time) {
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

// victims returns the runs to stop on a host to free capacity for one task, or nil.
func (p *Pool) victims(c candidate, h *host, now time.Time) []*run {
	if !h.reachable() || !p.capacityKnown(h, now) {
		return nil
	}
	var eligible []*run
	free := h.free()
	for _, r := range h.runs {
		if r.state == stateStopping {
			// Capacity is already being freed.
			return nil
		}
		victim := r.task.step
		if victim.job.Priority > c.step.job.Priority && victim.def.SavesProgress && !victim.def.Gang && r.state == stateRunning &&
			now.Sub(r.startedAt) > p.limits.CheckpointInterval {
			eligible = append(eligible, r)
		}
	}
	slices.SortFunc(eligible, func(a, b *run) int { return b.task.step.job.Priority - a.task.step.job.Priority })
	for n, r := range eligible {
		free = free.Plus(r.needs)
		if c.step.def.Reserved().Fits(free) {
			return eligible[:n+1]
		}
	}
	return nil
}
