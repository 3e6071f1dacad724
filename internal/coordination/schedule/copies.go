package schedule

import (
	"time"
)

// copyFactor is the multiple of its expected time that a speculative task must have run
// before it is copied; earlier, a copy is not worth the capacity.
const copyFactor = 1.5

// startCopies starts second runs of slow speculative tasks. It is called only when no
// other task waits for capacity.
func (p *Pool) startCopies(now time.Time, orders *Orders) {
	for _, e := range p.openJobs() {
		for _, r := range e.runs {
			if def := r.task.step.def; def.Speculative && !def.Gang && !def.LongRunning {
				p.startCopy(r.task, now, orders)
			}
		}
	}
}

func (p *Pool) startCopy(t *task, now time.Time, orders *Orders) {
	if len(t.runs) != 1 || t.runs[0].state != stateRunning || t.done() || t.suspected() || t.heldBack() {
		return
	}
	first := t.runs[0]
	expected := p.estimates.expected(t.step.job.Queue, t.step.def.Estimate)
	if first.adopted || now.Sub(first.startedAt) < time.Duration(copyFactor*float64(expected)) {
		return
	}
	if !p.admits(t.step, 1, p.restarting(t)) {
		return
	}
	h := p.bestHost(t, now)
	if h == nil || h == first.host {
		return
	}
	p.start(t, h, t.nextRunNumber(p.token), now, orders)
}
