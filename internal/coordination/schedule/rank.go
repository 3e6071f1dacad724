package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// candidate is a step with tasks that may be started now.
type candidate struct {
	step  *step
	class int
	// objective is when the occurrence should be done.
	objective time.Time
	// work is what is left to do in the job's occurrence, in core-milliseconds.
	work int64
	// upcoming is nil if the occurrence is open.
	upcoming *upcoming
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

// eachCandidate calls yield for the steps of open jobs with tasks that could start. Of the upcoming
// occurrences, it does so for the first one only, see candidate.following.
func eachCandidate(open map[job.ID]*jobEntry, now time.Time, yield func(candidate)) {
	for _, e := range open {
		e.stepsWithState(now, func(s *step) {
			if !s.hasStartable(now) {
				return
			}
			c := candidate{step: s, objective: e.objective(s.occurrence), work: e.workLeft(s.occurrence)}
			c.class = e.class(s, c.objective, now)
			yield(c)
		})
		if e.awaitsAdvice() {
			continue
		}
		for _, u := range e.upcomingSteps(now) {
			if c, ok := u.next(); ok {
				yield(c)
			}
		}
	}
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
	work := int64(0)
	for n := range e.Steps {
		work += stepWork(&e.Steps[n], e.OpenTasks(occurrence, n))
	}
	return work
}

// stepWork returns the declared work of tasks of a step in core-milliseconds.
func stepWork(s *job.Step, tasks int) int64 {
	return worker.Resources{CPU: s.Needs.CPU * s.Estimate.Milliseconds() / 1000}.Times(tasks).CPU
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
