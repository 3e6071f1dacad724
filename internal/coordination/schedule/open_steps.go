package schedule

import (
	"slices"
	"sort"
	"time"
)

// openSteps holds the steps of a scheduled job's open occurrences that are not done, so that a plan
// costs nothing for those that are like others that it could not place.
type openSteps struct {
	// numbers are the open occurrences that are not done, in ascending order.
	numbers []int
	// idle holds for each step the open occurrences, in ascending order, in which it may start and
	// has no state.
	idle [][]int
	// active holds the steps with state.
	active map[*step]struct{}
}

func insertSorted(numbers []int, number int) []int {
	if n, ok := slices.BinarySearch(numbers, number); !ok {
		return slices.Insert(numbers, n, number)
	}
	return numbers
}

func deleteSorted(numbers []int, number int) []int {
	if n, ok := slices.BinarySearch(numbers, number); ok {
		return slices.Delete(numbers, n, n+1)
	}
	return numbers
}

// countSorted returns how many numbers are at least first and below end.
func countSorted(numbers []int, first, end int) int {
	return max(0, sort.SearchInts(numbers, end)-sort.SearchInts(numbers, first))
}

// isScheduled reports whether the job has occurrences. Others have one, which is open from the start.
func (e *jobEntry) isScheduled() bool { return e.Occurrences > 0 }

// open returns an occurrence, which it opens.
func (e *jobEntry) open(number int) *occurrence {
	o, ok := e.occurrences[number]
	if ok {
		return o
	}
	o = &occurrence{number: number, steps: make([]*step, len(e.Steps))}
	e.occurrences[number] = o
	if !e.isScheduled() || e.OccurrenceDone(number) {
		return o
	}
	if e.openSteps.idle == nil {
		e.openSteps = openSteps{idle: make([][]int, len(e.Steps)), active: map[*step]struct{}{}}
	}
	e.openSteps.numbers = insertSorted(e.openSteps.numbers, number)
	for step := range e.Steps {
		e.noteIdle(o, step)
	}
	return o
}

// noteIdle notes that a step has no state, if it may start.
func (e *jobEntry) noteIdle(o *occurrence, number int) {
	if !e.StepDone(o.number, number) && e.Ready(o.number, number) {
		e.openSteps.idle[number] = insertSorted(e.openSteps.idle[number], o.number)
	}
}

// noteActive notes that a step has state, which it then keeps.
func (e *jobEntry) noteActive(s *step) {
	o := e.open(s.occurrence)
	if o.steps[s.number] == nil {
		o.steps[s.number] = s
	}
	if !e.isScheduled() || e.StepDone(s.occurrence, s.number) {
		return
	}
	e.openSteps.active[s] = struct{}{}
	e.openSteps.idle[s.number] = deleteSorted(e.openSteps.idle[s.number], s.occurrence)
}

// noteStateless is called when a step may have lost its state; it is then like others again.
func (e *jobEntry) noteStateless(s *step) {
	if _, active := e.openSteps.active[s]; !active || s.hasState() {
		return
	}
	delete(e.openSteps.active, s)
	e.noteIdle(e.open(s.occurrence), s.number)
}

// noteDone is called when a task of a step is done.
func (e *jobEntry) noteDone(s *step) {
	if !e.isScheduled() || !e.StepDone(s.occurrence, s.number) {
		return
	}
	delete(e.openSteps.active, s)
	if e.OccurrenceDone(s.occurrence) {
		e.openSteps.numbers = deleteSorted(e.openSteps.numbers, s.occurrence)
		return
	}
	o := e.open(s.occurrence)
	for number := range e.Steps {
		if slices.Contains(e.Steps[number].DependsOn, s.number) && !o.steps[number].hasState() {
			e.noteIdle(o, number)
		}
	}
}

// close drops an open occurrence without state.
func (e *jobEntry) close(number int) {
	delete(e.occurrences, number)
	e.openSteps.numbers = deleteSorted(e.openSteps.numbers, number)
	for step := range e.openSteps.idle {
		e.openSteps.idle[step] = deleteSorted(e.openSteps.idle[step], number)
	}
}

// hasState reports whether the step has tasks with state or a placement check; s may be nil.
func (s *step) hasState() bool { return s != nil && (len(s.tasks) > 0 || s.placementCheck != nil) }

// stepsWithState calls yield for the steps that have state and may have tasks to place. Of a job
// without a schedule, these are all that may start.
func (e *jobEntry) stepsWithState(now time.Time, yield func(*step)) {
	if e.isScheduled() {
		for s := range e.openSteps.active {
			if !now.Before(e.EarliestStart(s.occurrence)) {
				yield(s)
			}
		}
		return
	}
	if now.Before(e.EarliestStart(0)) {
		return
	}
	o := e.open(0)
	for number := range e.Steps {
		if !e.StepDone(0, number) && e.Ready(0, number) {
			yield(e.step(o, number))
		}
	}
}
