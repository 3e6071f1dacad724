package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
)

// candidate is a step with tasks to start.
type candidate struct {
	step  *step
	tasks []*task
	class int
	// objective is when the job should be done.
	objective time.Time
	// work left in the job's occurrence, in core-milliseconds.
	work int64
}

// The classes of candidates, in the order in which they are placed.
const (
	classLasting = iota
	classOnTime
	classLate
	classWorthless
)

// candidates lists what could start, the most urgent first.
func (p *Pool) candidates(now time.Time) []candidate {
	var found []candidate
	for _, e := range p.jobs {
		if e.Ended() {
			continue
		}
		for occurrence := e.firstOpen(); occurrence < e.Runs() && !now.Before(e.DueAt(occurrence)); occurrence++ {
			found = p.occurrenceCandidates(found, e, occurrence, now)
		}
	}
	slices.SortFunc(found, compareCandidates)
	return found
}

// firstOpen is the first occurrence that is not done.
func (e *entry) firstOpen() int {
	for e.open < e.Runs()-1 && e.Occurrence(e.open).Done {
		e.open++
	}
	return e.open
}

func (p *Pool) occurrenceCandidates(found []candidate, e *entry, occurrence int, now time.Time) []candidate {
	state := e.Occurrence(occurrence)
	if state.Done {
		return found
	}
	for number := range e.Steps {
		if state.StepDone(number) || !e.Ready(occurrence, number) {
			continue
		}
		s := e.step(occurrence, number)
		c := candidate{step: s, tasks: s.waiting(now)}
		if len(c.tasks) == 0 {
			continue
		}
		c.objective = e.objective(occurrence)
		c.class = e.class(s, c.objective, now)
		c.work = e.workLeft(occurrence)
		found = append(found, c)
	}
	return found
}

// waiting lists the tasks to start; a gang starts only whole.
func (s *step) waiting(now time.Time) []*task {
	var tasks []*task
	for _, t := range s.tasks {
		if t.waiting(now) {
			tasks = append(tasks, t)
		}
	}
	if s.def.Gang && len(tasks) < len(s.tasks) {
		return nil
	}
	return tasks
}

// class tells what a step's job can still be worth.
func (e *entry) class(s *step, objective, now time.Time) int {
	if s.def.LongRunning {
		return classLasting
	}
	left := e.chain[s.number]
	span := e.objectiveSpan()
	switch {
	case !now.Add(left).After(objective):
		return classOnTime
	case !now.Add(left).After(objective.Add((lateFactor - 1) * span)):
		return classLate
	default:
		return classWorthless
	}
}

// workLeft adds up the declared work of the tasks that are not done.
func (e *entry) workLeft(occurrence int) int64 {
	state := e.Occurrence(occurrence)
	if state.Done {
		return 0
	}
	work := int64(0)
	for n := range e.Steps {
		work += int64(state.Open(n)) * stepWork(&e.Steps[n])
	}
	return work
}

// stepWork is the declared work of one task in core-milliseconds.
func stepWork(s *job.Step) int64 {
	return s.Needs.CPU * s.Estimate.Milliseconds() / 1000
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.step.entry.Priority, b.step.entry.Priority),
		cmp.Compare(a.work, b.work),
		a.objective.Compare(b.objective),
		cmp.Compare(a.step.entry.ID, b.step.entry.ID),
		cmp.Compare(a.step.occurrence, b.step.occurrence),
		cmp.Compare(a.step.number, b.step.number),
	)
}
