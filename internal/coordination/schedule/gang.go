package schedule

import (
	"slices"
	"time"
)

// placeGang places all tasks of a gang under one run number, or none of them.
func (p *Pool) placeGang(c candidate, now time.Time, orders *Orders) bool {
	number := c.step.gangRun + 1
	tasks := c.step.startableTasks(now)
	for _, t := range tasks {
		number = max(number, t.nextRunNumber(p.token))
	}
	undo := p.beforeGang(c.step.job, tasks, orders)
	var placed []*run
	for _, t := range tasks {
		h := p.bestHost(t, now)
		if h == nil {
			break
		}
		lastStart := h.lastStart
		undo = append(undo, func() { h.lastStart = lastStart })
		placed = append(placed, p.start(t, h, number, now, orders))
	}
	if len(placed) == len(tasks) {
		c.step.gangRun = number
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

// beforeGang returns functions that restore what placing a gang changes beside its runs. A gang for
// which there is no room must leave nothing to record, or that would be done with each plan.
func (p *Pool) beforeGang(e *jobEntry, tasks []*task, orders *Orders) []func() {
	hasPlacements := orders.HasPlacements
	started := e.started
	_, dirty := p.dirty[e.ID]
	undo := []func(){func() {
		orders.HasPlacements, e.started = hasPlacements, started
		if !dirty {
			delete(p.dirty, e.ID)
		}
	}}
	for _, t := range tasks {
		lastRun := t.lastRun
		undo = append(undo, func() { t.lastRun = lastRun })
	}
	return undo
}
