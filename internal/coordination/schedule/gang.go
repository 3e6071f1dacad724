package schedule

import (
	"slices"
	"time"
)

// placeGang places all tasks of a gang under one run number, or none of them.
func (p *Pool) placeGang(c candidate, now time.Time, orders *Orders) bool {
	s := c.step
	number := max(s.gangRun+1, (&task{step: s}).nextRunNumber(p.token))
	for _, t := range s.tasks {
		number = max(number, t.nextRunNumber(p.token))
	}
	undo := []func(){p.beforeGang(s, orders)}
	var placed []*run
	for index := range s.def.Tasks {
		t := s.task(index)
		h := p.bestHost(t, now)
		if h == nil {
			break
		}
		lastStart, lastRun := h.lastStart, t.lastRun
		undo = append(undo, func() { h.lastStart, t.lastRun = lastStart, lastRun })
		placed = append(placed, p.start(t, h, number, now, orders))
	}
	if len(placed) == s.def.Tasks {
		s.gangRun = number
		return true
	}
	for _, r := range placed {
		p.abandon(r, now)
	}
	for _, f := range slices.Backward(undo) {
		f()
	}
	return false
}

// beforeGang returns a function that restores what placing a gang changes beside its runs and
// hosts. A gang for which there is no room must leave nothing to record, or that would be done with
// each plan, and nothing to keep.
func (p *Pool) beforeGang(s *step, orders *Orders) func() {
	e, tasks := s.job, slices.Clone(s.tasks)
	hasPlacements, started := orders.HasPlacements, e.started
	_, opened := e.occurrences[s.occurrence]
	_, dirty := p.dirty[e.ID]
	return func() {
		orders.HasPlacements, e.started = hasPlacements, started
		if !dirty {
			delete(p.dirty, e.ID)
		}
		s.tasks = tasks
		e.noteStateless(s)
		if !opened {
			e.close(s.occurrence)
		}
	}
}
