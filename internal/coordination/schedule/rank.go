package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
)

// candidate is a step with tasks that may be started now.
type candidate struct {
	step  *step
	class int
	// objective is when the occurrence should be done.
	objective time.Time
	// work is what is left to do in the job's occurrence, in core-milliseconds.
	work int64
}

// The classes of candidates, in the order in which they are placed.
const (
	classLongRunning = iota
	// classOnTime can still meet its objective.
	classOnTime
	// classLate can still end within lateFactor times its objective span.
	classLate
	// classTooLate would end after its result has lost its value.
	classTooLate
)

// candidates returns the steps with tasks that could start, the most urgent first.
func (p *Pool) candidates(now time.Time) []candidate {
	var found []candidate
	eachCandidate(p.openJobs(), now, func(c candidate) { found = append(found, c) })
	slices.SortFunc(found, compareCandidates)
	return found
}

// eachCandidate calls yield for the steps of open jobs with tasks that could start.
func eachCandidate(open map[job.ID]*jobEntry, now time.Time, yield func(candidate)) {
	for _, e := range open {
		for occurrence := e.firstOpenOccurrence(); occurrence < e.OccurrenceCount() && !now.Before(e.EarliestStart(occurrence)); occurrence++ {
			e.occurrenceCandidates(occurrence, now, yield)
		}
	}
}

// firstOpenOccurrence returns the first occurrence that is not done, or the last one.
func (e *jobEntry) firstOpenOccurrence() int {
	for e.firstOpenHint < e.OccurrenceCount()-1 && e.Occurrence(e.firstOpenHint).Done {
		e.firstOpenHint++
	}
	return e.firstOpenHint
}

func (e *jobEntry) occurrenceCandidates(occurrence int, now time.Time, yield func(candidate)) {
	state := e.Occurrence(occurrence)
	if state.Done {
		return
	}
	for number := range e.Steps {
		if state.StepDone(number) || !e.Ready(occurrence, number) {
			continue
		}
		s := e.step(occurrence, number)
		if !s.hasStartable(now) {
			continue
		}
		c := candidate{step: s, objective: e.objective(occurrence), work: e.workLeft(occurrence)}
		c.class = e.class(s, c.objective, now)
		yield(c)
	}
}

// hasStartable reports whether startableTasks returns any.
func (s *step) hasStartable(now time.Time) bool {
	for _, t := range s.tasks {
		if ok := t.startable(now) && !t.needsTrial(); ok != s.def.Gang {
			return ok
		}
	}
	return s.def.Gang
}

// startableTasks returns the tasks to start. Of a gang, it returns all or none.
func (s *step) startableTasks(now time.Time) []*task {
	var tasks []*task
	for _, t := range s.tasks {
		if t.startable(now) && !t.needsTrial() {
			tasks = append(tasks, t)
		}
	}
	if s.def.Gang && len(tasks) < len(s.tasks) {
		return nil
	}
	return tasks
}

// class returns the class of a step, by when its occurrence can still be done.
func (e *jobEntry) class(s *step, objective, now time.Time) int {
	if s.def.LongRunning {
		return classLongRunning
	}
	left := e.criticalPaths[s.number]
	span := e.objectiveSpan()
	switch {
	case !now.Add(left).After(objective):
		return classOnTime
	case !now.Add(left).After(objective.Add((lateFactor - 1) * span)):
		return classLate
	default:
		return classTooLate
	}
}

// workLeft returns the declared work of an occurrence's tasks that are not done, in
// core-milliseconds.
func (e *jobEntry) workLeft(occurrence int) int64 {
	state := e.Occurrence(occurrence)
	if state.Done {
		return 0
	}
	work := int64(0)
	for n := range e.Steps {
		work += int64(state.OpenTasks(n)) * stepWork(&e.Steps[n])
	}
	return work
}

// stepWork returns the declared work of one task of a step in core-milliseconds.
func stepWork(s *job.Step) int64 {
	return s.Needs.CPU * s.Estimate.Milliseconds() / 1000
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.step.job.Priority, b.step.job.Priority),
		cmp.Compare(a.work, b.work),
		a.objective.Compare(b.objective),
		cmp.Compare(a.step.job.ID, b.step.job.ID),
		cmp.Compare(a.step.occurrence, b.step.occurrence),
		cmp.Compare(a.step.number, b.step.number),
	)
}
