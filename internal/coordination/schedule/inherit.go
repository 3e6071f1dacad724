package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// inherit adds a run that an earlier owner recorded. Its task is not started again
// before its host has reported on the run or can't be running it any more.
func (p *Pool) inherit(e *jobEntry, placed jobs.Placement) {
	h, ok := p.hosts[placed.Host]
	if !ok {
		h = p.addHost(worker.Report{ID: placed.Host, Pool: p.name}, p.tenureStart, p.inheritedExpiry)
	}
	if e.Ended() {
		return
	}
	t := e.openTask(placed.Task)
	if t == nil {
		return
	}
	if h.contactedAt.IsZero() {
		// If another incarnation answers, this one has ended with the run.
		h.incarnation = max(h.incarnation, placed.Incarnation)
	}
	p.attach(&run{
		task: t, name: placed.Task, number: placed.Run, host: h, needs: t.step.def.Reserved(), state: stateInherited,
		adopted: true, speed: fullSpeed, speedSent: fullSpeed, placedAt: placed.PlacedAt,
	})
	if t.step.def.Gang {
		t.step.gangRun = max(t.step.gangRun, placed.Run)
	}
}

// inheritCrashes takes over the tasks of a job under which hosts crashed before this tenure.
// With a single crash, most likely another task was the cause. How strong the evidence was is not
// recorded.
func (p *Pool) inheritCrashes(e *jobEntry, now time.Time) {
	if e.Ended() {
		return
	}
	for _, c := range e.CrashedTasks() {
		t := e.openTask(worker.TaskName{Job: string(e.ID), Occurrence: c.Occurrence, Step: c.Step, Index: c.Index})
		p.suspects[t] = struct{}{}
		t.weakCrashes = c.Crashes
		if c.Crashes >= blamedCrashes {
			p.watch(t, now)
		}
	}
}
