package schedule

import (
	"sort"
	"time"
)

// maxUnadvised bounds the steps of a job that wait for the first answer of the placement check,
// which answers one query at a time.
const maxUnadvised = 8

// upcoming yields a step of the due occurrences in which it may start and has no state. These are
// alike, so that a plan comes to the next one only if it could place something of the one before.
type upcoming struct {
	job    *jobEntry
	number int
	// classes are in the order in which they are placed.
	classes []classRange
}

// classRange holds the occurrences of a class from next on and below end.
type classRange struct{ class, next, end int }

// upcomingSteps returns the upcoming occurrences for each step of a scheduled job that has any.
func (e *jobEntry) upcomingSteps(now time.Time) []*upcoming {
	if !e.isScheduled() {
		return nil
	}
	first, due := e.NextOpen(0), e.DueOccurrences(now)
	var all []*upcoming
	for number := range e.Steps {
		if e.upcomingWithin(number, first, due) > 0 {
			all = append(all, &upcoming{job: e, number: number, classes: e.classRanges(number, first, due, now)})
		}
	}
	return all
}

// upcomingWithin returns in how many of the occurrences from first on and below end a step may start
// and has no state.
func (e *jobEntry) upcomingWithin(number, first, end int) int {
	n := 0
	if len(e.openSteps.idle) > 0 {
		n = countSorted(e.openSteps.idle[number], first, end)
	}
	if len(e.Steps[number].DependsOn) == 0 {
		n += max(0, end-first) - e.DoneWithin(first, end) - countSorted(e.openSteps.numbers, first, end)
	}
	return n
}

// classRanges divides occurrences by the class of a step, the class placed first in front. An
// earlier occurrence is never in an earlier class.
func (e *jobEntry) classRanges(number, first, end int, now time.Time) []classRange {
	if e.Steps[number].LongRunning {
		return []classRange{{classLongRunning, first, end}}
	}
	s := e.newStep(first, number)
	var ranges []classRange
	for class := classOnTime; class <= classTooLate && end > first; class++ {
		next := first + sort.Search(end-first, func(n int) bool { return e.class(s, e.objective(first+n), now) <= class })
		if next < end {
			ranges = append(ranges, classRange{class, next, end})
		}
		end = next
	}
	return ranges
}

// next returns the next candidate, whose step may be one that is not kept.
func (u *upcoming) next() (candidate, bool) {
	for len(u.classes) > 0 {
		r := &u.classes[0]
		number := u.job.nextUpcoming(u.number, r.next, r.end)
		if number == r.end {
			u.classes = u.classes[1:]
			continue
		}
		r.next = number + 1
		s := u.job.newStep(number, u.number)
		if o, ok := u.job.occurrences[number]; ok {
			s = u.job.step(o, u.number)
		}
		return candidate{step: s, class: r.class, objective: u.job.objective(number), work: u.job.workLeft(number), upcoming: u}, true
	}
	return candidate{}, false
}

// nextUpcoming returns the first occurrence from first on and below end in which a step may start
// and has no state, or end.
func (e *jobEntry) nextUpcoming(step, first, end int) int {
	if len(e.openSteps.idle) > 0 {
		idle := e.openSteps.idle[step]
		if n := sort.SearchInts(idle, first); n < len(idle) {
			end = min(end, idle[n])
		}
	}
	if len(e.Steps[step].DependsOn) > 0 {
		return end
	}
	open := e.openSteps.numbers
	for n := sort.SearchInts(open, first); first < end; n++ {
		first = e.NextOpen(first)
		for n < len(open) && open[n] < first {
			n++
		}
		if n == len(open) || open[n] != first {
			return min(first, end)
		}
		first++
	}
	return end
}

// following returns the next upcoming candidate after one that a plan has come to. There is none
// if nothing of that was placed, since the later ones need the same.
func (c *candidate) following() (candidate, bool) {
	if c.upcoming == nil || !c.step.hasState() || c.step.job.awaitsAdvice() {
		return candidate{}, false
	}
	return c.upcoming.next()
}

// awaitsAdvice reports whether the placement check is not to be asked about further steps before it
// has answered for one.
func (e *jobEntry) awaitsAdvice() bool { return e.NeedsPlacementCheck && e.unadvised >= maxUnadvised }
