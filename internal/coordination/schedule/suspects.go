package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// isolationWait is how long a suspected task waits for a host on which no other run is
// starting before it shares one with runs that are not suspected.
const isolationWait = 500 * time.Millisecond

// scoreAtRisk is the score of a host for each run that would be lost if a suspected task
// crashed it.
const scoreAtRisk = -2

// suspected reports whether the last run of the task was starting on its host when that
// crashed.
func (t *task) suspected() bool { return !t.suspectedAt.IsZero() }

// needsTrial reports whether the task's next run must start apart from others, so that a crash
// or the lack of one shows whether the task is the cause. A gang can't start apart.
func (t *task) needsTrial() bool { return t.suspected() && !t.step.def.Gang }

// suspect suspects the task of a run that was lost in a crash, one of so many that were
// starting on the host.
func (p *Pool) suspect(r *run, starting int, now time.Time) {
	p.events.Event("task-suspected", "task", r.name, "run", r.number, "host", r.host.report.ID, "crashes", r.task.crashes(),
		"worked", r.workedFor(), "suspects", starting)
	p.watch(r.task, now)
}

// watch makes the next runs of a task start apart from others until one has survived.
func (p *Pool) watch(t *task, now time.Time) {
	t.suspectedAt = now
	p.suspects[t] = struct{}{}
}

// clearSuspicions ends the suspicion of tasks with a run that its host has survived, and
// forgets the crashes under those with a run that works well.
func (p *Pool) clearSuspicions() {
	for t := range p.suspects {
		if t.done() || t.step.job.Ended() {
			delete(p.suspects, t)
			continue
		}
		worked := t.workedFor()
		if t.suspected() && worked >= t.trialTime() {
			t.suspectedAt = time.Time{}
			p.events.Event("task-cleared", "task", t.name(), "crashes", t.crashes())
		}
		if t.lapsedRuns > 0 && worked >= startupTime {
			p.clearLapsed(t)
		}
		if worked >= soundRunTime {
			p.clearCrashes(t)
			delete(p.suspects, t)
		}
	}
}

// workedFor returns the longest time for which a host is known to have borne a present run of
// the task.
func (t *task) workedFor() time.Duration {
	longest := time.Duration(0)
	for _, r := range t.runs {
		if r.state == stateRunning && r.host.confirmed {
			longest = max(longest, r.workedFor())
		}
	}
	return longest
}

// onTrial reports whether a suspected task is starting on the host; no other run may start
// there meanwhile.
func (h *host) onTrial() bool {
	r := h.trial
	if r == nil {
		return false
	}
	if h.runs[r.key()] != r || (r.state == stateRunning && r.workedFor() >= r.task.trialTime()) {
		h.trial = nil
		return false
	}
	return true
}

// queryTrials asks each host once whether it has survived the first startupTime of a trial.
func (p *Pool) queryTrials(now time.Time, orders *Orders) {
	for id, h := range p.hosts {
		r := h.trial
		if !h.onTrial() || h.trialQueried == r || r.unsent || !h.confirmed || now.Sub(r.sentAt) < startupTime {
			continue
		}
		h.trialQueried = r
		orders.RunQueries = append(orders.RunQueries, worker.Target{ID: id, Address: h.report.Address})
	}
}

// placeSuspects places the suspected tasks, each on a host where nothing else is starting.
func (p *Pool) placeSuspects(now time.Time, orders *Orders) {
	for _, t := range p.startableSuspects(now) {
		if t.step.job.NeedsPlacementCheck {
			if q, ok := p.placementQuery(t.step, now); ok {
				orders.PlacementQueries = append(orders.PlacementQueries, q)
			}
		}
		if t.step.job.organisation != nil && !p.admitsNow(t, now) {
			continue
		}
		p.unreserve(t)
		h := p.trialHost(t, now)
		if h == nil {
			continue
		}
		h.trial = p.start(t, h, t.nextRunNumber(p.token), now, orders)
	}
}

func (p *Pool) startableSuspects(now time.Time) []*task {
	var tasks []*task
	for t := range p.suspects {
		if t.needsTrial() && t.startable(now) {
			tasks = append(tasks, t)
		}
	}
	class := func(t *task) int { return t.step.job.class(t.step, t.step.job.objective(t.step.occurrence), now) }
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(
			cmp.Compare(class(a), class(b)),
			a.step.job.objective(a.step.occurrence).Compare(b.step.job.objective(b.step.occurrence)),
			cmp.Compare(a.name().String(), b.name().String()),
		)
	})
	return tasks
}

// trialHost returns the best host for a run of a suspected task, or nil: one on which little
// would be lost.
func (p *Pool) trialHost(t *task, now time.Time) *host {
	var best *host
	bestScore := 0.0
	shared := now.Sub(t.suspectedAt) >= isolationWait
	for _, h := range p.hosts {
		quiet := now.Sub(h.lastStart) >= startupTime
		if !p.allowed(t.step, h, now) || (!quiet && !shared) {
			continue
		}
		score := p.score(t, h, now) + scoreAtRisk*float64(len(h.runs))
		if best == nil || score > bestScore || (score == bestScore && h.report.ID < best.report.ID) {
			best, bestScore = h, score
		}
	}
	return best
}
