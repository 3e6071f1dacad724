package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// waitingQueue holds the jobs of an organisation of which nothing has been started, in the order of a
// plan. What orders them changes only at known times, so that a plan costs nothing for those that it
// does not come to.
type waitingQueue struct {
	byUrgency map[urgency]*minHeap[candidate]
	// changes are when candidates come into another class. An entry in byUrgency that is not where its
	// step was added last is stale and is dropped once it comes first.
	changes minHeap[classChange]
	// tried holds the candidates taken in the present plan, which come back after it.
	tried []candidate
	// least is in each dimension at most what any candidate needs.
	least worker.Resources
}

type classChange struct {
	at        time.Time
	candidate candidate
}

var noDemand = worker.Resources{CPU: math.MaxInt64, MemoryMB: math.MaxInt64, Accelerators: math.MaxInt64}

func newWaitingQueue() waitingQueue {
	return waitingQueue{
		byUrgency: map[urgency]*minHeap[candidate]{}, least: noDemand,
		changes: minHeap[classChange]{less: func(a, b classChange) bool { return a.at.Before(b.at) }},
	}
}

// queueable reports whether all tasks of the job are of a kind that a plan may pass over as soon as
// no host has room.
func (e *jobEntry) queueable() bool {
	return e.Occurrences == 0 && !e.NeedsPlacementCheck &&
		!slices.ContainsFunc(e.Steps, func(s job.Step) bool { return s.Gang || s.LongRunning })
}

// add adds a job of which nothing has been started.
func (q *waitingQueue) add(e *jobEntry) {
	o := e.open(0)
	for number := range e.Steps {
		if len(e.Steps[number].DependsOn) > 0 {
			continue
		}
		c := candidate{step: e.step(o, number), objective: e.objective(0), work: e.workLeft(0)}
		q.changes.push(classChange{e.AcceptedAt, c})
		q.least = leastOf(q.least, c.step.def.Reserved())
	}
}

// remarked adds a job again whose excess mark has changed.
func (q *waitingQueue) remarked(e *jobEntry) {
	if e.activeSince == 0 && !e.Ended() {
		q.add(e)
	}
}

// advance moves the candidates whose class has changed.
func (q *waitingQueue) advance(now time.Time) {
	for len(q.changes.items) > 0 && !now.Before(q.changes.items[0].at) {
		change := q.changes.pop()
		c := change.candidate
		if e := c.step.job; e.activeSince == 0 && !e.Ended() {
			c.class = e.class(c.step, c.objective, now)
			q.push(c)
			if at, ok := e.classEnd(c); ok {
				q.changes.push(classChange{at, c})
			}
		}
	}
	if len(q.changes.items) == 0 && q.empty() {
		q.least = noDemand
	}
}

func (q *waitingQueue) empty() bool {
	for _, h := range q.byUrgency {
		if len(h.items) > 0 {
			return false
		}
	}
	return true
}

// classEnd returns when a candidate will come into another class.
func (e *jobEntry) classEnd(c candidate) (time.Time, bool) {
	end := c.objective.Add(1 - e.criticalPaths[c.step.number])
	switch c.class {
	case classOnTime:
		return end, true
	case classLate:
		return end.Add((lateFactor - 1) * e.objectiveSpan()), true
	default:
		return time.Time{}, false
	}
}

func (q *waitingQueue) push(c candidate) {
	u := c.urgency()
	c.step.queuedAs = u
	h, ok := q.byUrgency[u]
	if !ok {
		h = &minHeap[candidate]{less: func(a, b candidate) bool { return compareCandidates(a, b) < 0 }}
		q.byUrgency[u] = h
	}
	h.push(c)
}

// first returns the heap with the most urgent candidate that is not stale, or nil. Of those that
// may not preempt a priority, it returns none if there is no room.
func (q *waitingQueue) first(s *fairShares, noRoom bool, lowest int) *minHeap[candidate] {
	var best *minHeap[candidate]
	var bestUrgency urgency
	for u, h := range q.byUrgency {
		if noRoom && !u.mayPreempt(lowest) {
			continue
		}
		for len(h.items) > 0 && !s.isCurrent(&h.items[0], u) {
			h.pop()
		}
		if len(h.items) > 0 && (best == nil || u.compare(bestUrgency) < 0) {
			best, bestUrgency = h, u
		}
	}
	return best
}

// isCurrent reports whether a candidate still waits in this place and was not taken in this plan.
func (s *fairShares) isCurrent(c *candidate, u urgency) bool {
	e := c.step.job
	return (e.activeSince == 0 || e.activeSince == s.plan) && !e.Ended() && c.step.triedIn != s.plan && c.step.queuedAs == u
}

// restore returns the candidates that were taken and not placed.
func (q *waitingQueue) restore() {
	for _, c := range q.tried {
		if c.step.job.activeSince == 0 {
			q.push(c)
		}
	}
	clear(q.tried)
	q.tried = q.tried[:0]
}

func leastOf(a, b worker.Resources) worker.Resources {
	return worker.Resources{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), Accelerators: min(a.Accelerators, b.Accelerators)}
}
