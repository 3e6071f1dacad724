package schedule

import (
	"time"
)

// placeGang places all tasks of a gang under one run number, or none of them.
func (p *Pool) placeGang(c candidate, now time.Time, orders *Orders) bool {
	number := c.step.gangRun + 1
	for _, t := range c.tasks {
		number = max(number, t.nextRunNumber(p.token))
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
