package schedule

import "time"

// arrivalWindow is the time over which new work is measured, and arrivalHorizon the time for which it is
// expected to go on. Longer, it refuses jobs that would be in time if a peak ends.
const arrivalWindow, arrivalHorizon = 3 * time.Second, 3 * time.Second

// arrivalRounding is to what the times of new work are rounded.
const arrivalRounding = 100 * time.Millisecond

// arrival is the work of like steps of jobs that came lately. It can start no earlier than released.
type arrival struct {
	waitingWork
	released time.Duration
}

// addArrivals adds the jobs that an organisation submitted in the last arrivalWindow.
func (p *Pool) addArrivals(b *backlog, f *fairShare, now time.Time) {
	for n := len(f.bucket.jobs) - 1; n >= 0 && now.Sub(f.bucket.jobs[n].job.AcceptedAt) < arrivalWindow; n-- {
		e := f.bucket.jobs[n].job
		if e.Occurrences > 0 || e.longRunning() {
			continue
		}
		mean, deviation := p.estimates.spread(e.Queue)
		released := make([]time.Duration, len(e.Steps))
		for number := range e.Steps {
			s := &e.Steps[number]
			for _, dependency := range s.DependsOn {
				released[number] = max(released[number], released[dependency]+p.estimates.atLeast(e.Queue, e.Steps[dependency].Estimate))
			}
			left := e.objectiveSpan() - e.criticalPaths[number]
			item := arrival{released: released[number], waitingWork: waitingWork{
				share: f, excess: e.excess, priority: e.Priority,
				lateAfter: left, tooLateAfter: left + (lateFactor-1)*e.objectiveSpan(),
			}}
			seconds := s.Estimate.Seconds() * float64(s.Tasks)
			item.work.add(demandOf(s.Reserved()), mean*seconds, deviation*seconds)
			for n := range item.work.mean {
				// That a job comes at all is as uncertain as how many do.
				item.work.variance[n] += item.work.mean[n] * item.work.mean[n]
			}
			b.addArrival(item)
		}
	}
}

// addArrival adds the work to that of like steps, with times rounded so that less of it comes first:
// there may be thousands of jobs.
func (b *backlog) addArrival(a arrival) {
	a.share = nil
	a.lateAfter, a.tooLateAfter = a.lateAfter.Truncate(arrivalRounding), a.tooLateAfter.Truncate(arrivalRounding)
	a.released = (a.released + arrivalRounding - 1).Truncate(arrivalRounding)
	for n := range b.arrivals {
		if o := &b.arrivals[n]; o.excess == a.excess && o.priority == a.priority && o.released == a.released && o.lateAfter == a.lateAfter && o.tooLateAfter == a.tooLateAfter {
			o.work.addWork(&a.work)
			return
		}
	}
	b.arrivals = append(b.arrivals, a)
}

// arriving returns the new work that will come before that of a job after a time, at which that has a
// class, if jobs go on to be submitted as lately. A new job counts for as long as it is more urgent.
func (b *backlog) arriving(job *waitingWork, class int, after time.Duration) work {
	var sum work
	for n := range b.arrivals {
		a := &b.arrivals[n]
		ahead := time.Duration(0)
		for _, end := range []struct {
			class int
			at    time.Duration
		}{{classOnTime, a.lateAfter}, {classLate, a.tooLateAfter}, {classTooLate, after}} {
			// Which of equally urgent jobs comes first is not known.
			if (urgency{end.class, a.excess, a.priority}).compare(urgency{class, job.excess, job.priority}) < 0 {
				ahead = end.at
			}
		}
		// Those ages lie between these that a job submitted from now on can have by then.
		ages := min(ahead, after) - max(a.released, after-arrivalHorizon)
		part := max(0, ages.Seconds()) / arrivalWindow.Seconds()
		for n := range sum.mean {
			sum.mean[n] += part * a.work.mean[n]
			sum.variance[n] += part * part * a.work.variance[n]
		}
	}
	return sum
}
