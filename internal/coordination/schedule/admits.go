package schedule

import (
	"github.com/hornbeammast/hornbeammast/internal/coordination/quota"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// admits reports whether so many tasks of a step may be started together within the part of the
// organisation's quota that the pool has. Those that are restarting count already.
func (p *Pool) admits(s *step, tasks, restarting int) bool {
	o := s.job.organisation
	if o == nil || (!o.isLimited() && !p.organisations.awaited) {
		return true
	}
	if p.organisations.awaited {
		return false
	}
	added, part := s.def.Needs.Times(tasks-restarting), p.organisations.partOf(o)
	use := o.used.Plus(o.pending)
	if (added == worker.Resources{}) {
		return o.fraction(use) <= quota.RestartFactor*part || p.admitsOversize(s, use.Minus(s.def.Needs), tasks)
	}
	return o.fraction(use.Plus(added)) <= part+partTolerance || p.admitsOversize(s, use, tasks)
}

// restarting counts those of some tasks that ran and are to run again.
func (p *Pool) restarting(tasks ...*task) int {
	n := 0
	for _, t := range tasks {
		if _, ok := p.organisations.restarting[t]; ok {
			n++
		}
	}
	return n
}

// admitsOversize reports whether a task that is larger than any part of the pool may be started: the
// only one of its organisation, while the other pools have no more than their floors.
func (p *Pool) admitsOversize(s *step, others worker.Resources, tasks int) bool {
	o, largest := s.job.organisation, quota.LargestPart(p.organisations.pools)
	return tasks == 1 && !s.def.Gang && (others == worker.Resources{}) &&
		p.organisations.partOf(o) >= largest-partTolerance && o.fraction(s.def.Needs) > largest+partTolerance
}

// admitsMove reports whether a running task may be stopped to go on elsewhere: its next run must be
// admitted.
func (p *Pool) admitsMove(s *step) bool {
	o := s.job.organisation
	if o == nil || !o.isLimited() {
		return true
	}
	use := o.used.Plus(o.pending)
	return o.fraction(use) <= quota.RestartFactor*p.organisations.partOf(o) || use == s.def.Needs
}
