package schedule

import (
	"math"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// maxBacklogAge is the age up to which a backlog is used to admit jobs. Counting the backlog costs
	// about as much as a plan.
	maxBacklogAge = 200 * time.Millisecond
	// growthWindow is the time over which the growth of the pool's capacity is measured, and for which
	// it is expected to go on.
	growthWindow = 10 * time.Second
)

// backlog is the work that has to be done before a new job, and what the pool has for it. Its
// estimates are low ones: work that may turn out not to come first is left out.
type backlog struct {
	at time.Time
	// capacity is what the pool has beside long-running tasks, growth what it gets in a second.
	capacity, growth demand
	// begun is what is left of the running tasks, total that and all of items.
	begun, total work
	items        []waitingWork
	samples      []capacitySample
	// arrivals are the steps of the jobs of the last arrivalWindow, with times since the job came.
	arrivals []arrival
}

type capacitySample struct {
	at       time.Time
	capacity demand
}

// demand holds an amount of each resource.
type demand [3]float64

func demandOf(r worker.Resources) demand {
	return demand{float64(r.CPU), float64(r.MemoryMB), float64(r.Accelerators)}
}

// work is resources over time, in seconds, with the variance of the estimate.
type work struct{ mean, variance demand }

func (w *work) add(needs demand, seconds, deviation float64) {
	for n := range needs {
		w.mean[n] += needs[n] * seconds
		w.variance[n] += needs[n] * needs[n] * deviation * deviation
	}
}

// addTimes adds the work of so many like tasks.
func (w *work) addTimes(tasks int, needs demand, seconds, deviation float64) {
	var one work
	one.add(needs, seconds, deviation)
	for n := range needs {
		w.mean[n] += float64(tasks) * one.mean[n]
		w.variance[n] += float64(tasks) * one.variance[n]
	}
}

func (w *work) addWork(o *work) {
	for n := range o.mean {
		w.mean[n] += o.mean[n]
		w.variance[n] += o.variance[n]
	}
}

// atLeast returns the lowest amount of a resource that is probable.
func (w *work) atLeast(n int) float64 { return w.mean[n] - spreadFactor*math.Sqrt(w.variance[n]) }

// waitingWork is the work of tasks of one step that could start now.
type waitingWork struct {
	share    *fairShare
	excess   bool
	priority int
	// order is the job's work left, by which an organisation's jobs are ordered.
	order int64
	// lateAfter and tooLateAfter are when the step comes into these classes, since the backlog's time.
	lateAfter, tooLateAfter time.Duration
	work                    work
}

// classAt returns the class at a time since that of the backlog.
func (w *waitingWork) classAt(after time.Duration) int {
	switch {
	case after <= w.lateAfter:
		return classOnTime
	case after <= w.tooLateAfter:
		return classLate
	default:
		return classTooLate
	}
}

// before reports whether it comes before work of another job while that has a class. What was
// accepted is taken to be done before it comes into a later class: otherwise each of many equal jobs
// would seem to be in time, since those before it will be late just before it is.
func (w *waitingWork) before(o *waitingWork, class int) bool {
	own := urgency{w.classAt(0), w.excess, w.priority}
	if c := own.compare(urgency{class, o.excess, o.priority}); c != 0 {
		return c < 0
	}
	// Which of two organisations comes first is not known for certain.
	return w.share == o.share && w.order <= o.order
}

// currentBacklog returns the backlog, counted again if it is too old.
func (p *Pool) currentBacklog(now time.Time) *backlog {
	b := &p.shares.backlog
	if !b.at.IsZero() && now.Sub(b.at) < maxBacklogAge {
		return b
	}
	clear(b.items)
	clear(b.arrivals)
	*b = backlog{at: now, items: b.items[:0], arrivals: b.arrivals[:0], samples: b.samples}
	for _, f := range p.shares.all {
		f.bucket.mark(f.queue.remarked)
		p.addArrivals(b, f, now)
	}
	for _, e := range p.openJobs() {
		e.stepsWithState(now, func(s *step) { p.addBacklog(b, s) })
		p.addUpcoming(b, e)
	}
	b.total = b.begun
	for n := range b.items {
		b.total.addWork(&b.items[n].work)
	}
	b.measure(p.hosts, now)
	return b
}

// measure finds out the capacity and how fast it has grown lately.
func (b *backlog) measure(hosts map[worker.ID]*host, now time.Time) {
	var longRunning demand
	for _, h := range hosts {
		if !h.listed || h.cordoned() {
			continue
		}
		b.capacity.add(demandOf(h.report.Capacity), 1)
		for _, r := range h.runs {
			if r.task.step.def.LongRunning {
				longRunning.add(demandOf(r.needs), 1)
			}
		}
	}
	b.grow(now)
	b.capacity.add(longRunning, -1)
}

func (d *demand) add(o demand, factor float64) {
	for n := range d {
		d[n] += factor * o[n]
	}
}

// grow measures how fast the capacity has grown lately.
func (b *backlog) grow(now time.Time) {
	for len(b.samples) > 0 && now.Sub(b.samples[0].at) > growthWindow {
		b.samples = b.samples[1:]
	}
	b.samples = append(b.samples, capacitySample{now, b.capacity})
	first := b.samples[0]
	if seconds := now.Sub(first.at).Seconds(); seconds > 0 {
		for n := range b.growth {
			b.growth[n] = max(0, b.capacity[n]-first.capacity[n]) / max(1, seconds)
		}
	}
}

// addBacklog adds the tasks of a step with state that run or could run.
func (p *Pool) addBacklog(b *backlog, s *step) {
	e := s.job
	if s.def.LongRunning {
		return
	}
	mean, deviation := p.estimates.spread(e.Queue)
	needs, declared := demandOf(s.def.Reserved()), s.def.Estimate.Seconds()
	item := e.waitingWork(b, s.number, s.occurrence, e.workLeft(s.occurrence))
	waiting := e.OpenTasks(s.occurrence, s.number)
	for _, t := range s.tasks {
		if t.done() || len(t.runs) == 0 {
			continue
		}
		waiting--
		if s.def.SavesProgress && e.Priority > 0 {
			// It may be preempted.
			continue
		}
		if seconds := mean*declared - b.at.Sub(t.runs[0].sentAt).Seconds(); seconds > 0 {
			b.begun.add(needs, seconds, deviation*declared)
		}
	}
	item.work.addTimes(waiting, needs, mean*declared, deviation*declared)
	if waiting > 0 && item.classAt(0) != classTooLate {
		b.items = append(b.items, item)
	}
}

// addUpcoming adds the tasks of the upcoming occurrences that could run. Those of one class are
// taken to come into a later one together with the first.
func (p *Pool) addUpcoming(b *backlog, e *jobEntry) {
	for _, u := range e.upcomingSteps(b.at) {
		s := &e.Steps[u.number]
		if s.LongRunning {
			continue
		}
		mean, deviation := p.estimates.spread(e.Queue)
		needs, declared := demandOf(s.Reserved()), s.Estimate.Seconds()
		for _, r := range u.classes {
			tasks := e.upcomingWithin(u.number, r.next, r.end) * s.Tasks
			if tasks == 0 || r.class == classTooLate {
				continue
			}
			first := e.nextUpcoming(u.number, r.next, r.end)
			item := e.waitingWork(b, u.number, first, e.workLeft(first))
			item.work.addTimes(tasks, needs, mean*declared, deviation*declared)
			b.items = append(b.items, item)
		}
	}
}

// waitingWork returns what orders a step of an occurrence in the backlog.
func (e *jobEntry) waitingWork(b *backlog, number, occurrence int, order int64) waitingWork {
	left := e.objective(occurrence).Add(-e.criticalPaths[number]).Sub(b.at)
	return waitingWork{
		share: e.share, excess: e.excess, priority: e.Priority, order: order,
		lateAfter: left, tooLateAfter: left + (lateFactor-1)*e.objectiveSpan(),
	}
}

// before returns the work that comes before that of a new job while that has a class.
func (b *backlog) before(job *waitingWork, class int) work {
	sum := b.begun
	for n := range b.items {
		if b.items[n].before(job, class) {
			sum.addWork(&b.items[n].work)
		}
	}
	return sum
}

// drains reports whether the pool may have done some work within a time.
func (b *backlog) drains(w *work, within time.Duration) bool {
	seconds := within.Seconds()
	growing := min(seconds, growthWindow.Seconds())
	for n := range b.capacity {
		// The growth goes on for growthWindow; what came by then stays.
		grown := b.growth[n] * (growing*growing/2 + growing*(seconds-growing))
		if w.atLeast(n) > b.capacity[n]*seconds+grown {
			return false
		}
	}
	return true
}

// isSmall reports whether the pool may do all work within a time, which is found out at less cost than
// what of it comes before a job.
func (b *backlog) isSmall(job *waitingWork, within time.Duration) bool {
	sum := b.arriving(job, classTooLate, within)
	sum.addWork(&b.total)
	return b.drains(&sum, within)
}

// drainTime returns the time that the present capacity takes for some work.
func (b *backlog) drainTime(w *work) time.Duration {
	longest := 0.0
	for n := range b.capacity {
		if b.capacity[n] > 0 {
			longest = max(longest, w.mean[n]/b.capacity[n])
		}
	}
	return time.Duration(longest * float64(time.Second))
}
