package schedule

import (
	"time"
)

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
