package site

import (
	"slices"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// stopTime is how long a stop takes.
	stopTime = 100 * time.Millisecond
	// checkpointInterval is how long a run works between two checkpoints.
	checkpointInterval = 500 * time.Millisecond
)

// Worker is an emulated worker that runs tasks under a lease timed on its own clock.
type Worker struct {
	site *Site
	id   worker.ID
	// pool, dataCentre, rack and machine are fixed for one incarnation.
	pool       string
	dataCentre string
	rack       string
	machine    string
	// checksCapacity means that the worker refuses starts that don't fit.
	checksCapacity bool

	mu       sync.Mutex
	capacity worker.Resources
	// formerCapacities are the capacities before the present one, the oldest first.
	formerCapacities []formerCapacity
	// capacityReportedAt is when the present capacity was first reported, zero before.
	capacityReportedAt time.Time

	startedAt   time.Time
	incarnation worker.Incarnation
	dead        bool
	// dark means that the worker has crashed without a word and will be back under its ID.
	dark     bool
	draining bool
	// isolated means that the worker has no network connection in either direction; it
	// keeps running.
	isolated  bool
	clockRate float64
	token     worker.FencingToken
	// leaseEnd is when the lease ends, on the worker's clock.
	leaseEnd time.Duration
	// expiries counts how often the lease expired, expiredLeaseEnd is the
	// end of the last lease that did.
	expiries        int
	expiredLeaseEnd time.Duration
	// expiriesAtEnd is the value of expiries when a run ended, by the end's number.
	expiriesAtEnd map[int64]int
	runs          map[runKey]*taskRun
	// endedRuns are the ends that were not acknowledged, lastEnd is the number of the last end.
	endedRuns []worker.EndedRun
	lastEnd   int64
	// highestEndedRun is the highest run of each task that was stopped or has ended here.
	highestEndedRun map[worker.TaskName]int64
	// changed is closed and replaced when a run or the worker ends.
	changed chan struct{}
	// fails makes all runs that are started fail, hangs makes them never end.
	fails, hangs bool
}

// runKey identifies one run of a task.
type runKey struct {
	task worker.TaskName
	run  int64
}

// taskRun is a live run on a worker.
type taskRun struct {
	key   runKey
	needs worker.Resources
	began time.Time
	// checkpoint is the one that the run resumes from; saves means that it makes new ones.
	checkpoint string
	saves      bool
	stopping   bool
	// working is set once the run works, at workedSince; a member of a gang first waits for the
	// others.
	working     bool
	workedSince time.Time
	gang        bool
	// percent is the speed that a throttle order has set.
	percent int
	timer   *time.Timer
}

func newWorker(s *Site, id worker.ID, m *simMachine, clockRate float64) *Worker {
	now := time.Now()
	w := &Worker{
		site: s, id: id, pool: m.pool, dataCentre: m.dataCentre, rack: m.rack, capacity: m.capacity, machine: m.name,
		checksCapacity: s.checksCapacity(m.pool),
		startedAt:      now, incarnation: worker.Incarnation(now.UnixMilli()), clockRate: clockRate, runs: map[runKey]*taskRun{}, expiriesAtEnd: map[int64]int{},
		highestEndedRun: map[worker.TaskName]int64{}, changed: make(chan struct{}),
	}
	return w
}

// clock returns the time of the worker's own clock, which may run slow.
func (w *Worker) clock() time.Duration {
	return time.Second + time.Duration(w.clockRate*float64(time.Since(w.startedAt)))
}

// report returns the report that the worker publishes in the log.
func (w *Worker) report() worker.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return worker.Report{
		ID: w.id, Pool: w.pool, Address: addressOf(w.id), DataCentre: w.dataCentre, Draining: w.draining,
		Capacity: w.capacity, Kind: "a", Rack: w.rack, Incarnation: w.incarnation,
	}
}

// notify wakes the pending lease renewals. The caller holds the worker's lock.
func (w *Worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// start carries out a start order; late means that it was delayed on the way.
func (w *Worker) start(o worker.StartOrder, from string, late bool) worker.StartReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := func(r worker.Refusal) worker.StartReply { return worker.StartReply{Refusal: r, Clock: w.clock()} }
	key := runKey{o.Task, o.Run}
	switch {
	case w.dead:
		// The worker ended while the order was in flight.
		return reply(worker.RefusedLeaseExpired)
	case o.Token < w.token:
		return reply(worker.RefusedFenced)
	case w.runs[key] != nil:
		w.token = o.Token
		w.extend(o.LeaseEnd)
		return reply(worker.Accepted)
	case o.LeaseEnd <= w.clock():
		return reply(worker.RefusedLeaseExpired)
	}
	w.token = o.Token
	w.extend(o.LeaseEnd)
	if o.Run <= w.highestEndedRun[o.Task] {
		return reply(worker.RefusedStale)
	}
	actual, ok := w.site.ledger.behaviour(o.Task)
	if !ok {
		w.site.ledger.reportViolation("a task that nobody submitted was started: %s by %s", o.Task, from)
		return reply(worker.RefusedInvalid)
	}
	r := &taskRun{
		key: key, needs: actual.step.Reserved(), began: time.Now(), checkpoint: o.Checkpoint, saves: actual.step.SavesProgress, gang: actual.step.Gang,
		percent: 100,
	}
	if w.checksCapacity && !r.needs.Fits(w.free()) {
		return reply(worker.RefusedCapacity)
	}
	if !w.checksCapacity {
		w.checkLimit(r, from, late)
	}
	w.site.ledger.started(w, o, actual, late)
	w.runs[key] = r
	if actual.deadly[o.Task.Index] {
		w.site.ledger.crashedBy(o.Task)
		time.AfterFunc(crashDelay, func() { w.site.crash(w) })
	}
	w.begin(r, actual)
	return reply(worker.Accepted)
}

// begin starts the work of a run; the members of a gang work once all have joined.
func (w *Worker) begin(r *taskRun, actual taskBehaviour) {
	if actual.step.Gang {
		w.site.gangs.join(r.key, actual.step.Tasks, r.checkpoint, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[r.key] == r && !w.dead {
				w.scheduleEnd(r, actual)
			}
		})
		w.awaitGang(r)
		return
	}
	w.scheduleEnd(r, actual)
}

// scheduleEnd starts the work of a run and schedules its end by itself, if it has one.
func (w *Worker) scheduleEnd(r *taskRun, actual taskBehaviour) {
	outcome, after := worker.OutcomeDone, actual.duration
	r.working, r.workedSince = true, time.Now()
	if r.timer != nil {
		r.timer.Stop()
	}
	switch {
	case w.hangs:
		return
	case w.fails:
		outcome, after = worker.OutcomeFailed, 50*time.Millisecond
	case actual.poison || w.site.chance(actual.failShare):
		outcome, after = worker.OutcomeFailed, actual.duration/2
	case actual.step.LongRunning:
		return
	}
	after = max(0, after-progressOf(r.checkpoint))
	r.timer = time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[r.key] != r || w.dead {
			return
		}
		if actual.step.Gang {
			if outcome == worker.OutcomeDone {
				w.site.ledger.gangDone(r.key.task, r.key.run, actual.step.Tasks)
			}
			w.site.endGang(r.key, outcome, w)
		}
		w.end(r, outcome)
	})
}

func (w *Worker) free() worker.Resources {
	free := w.capacity
	for _, r := range w.runs {
		free = free.Minus(r.needs)
	}
	return free
}

// end removes a run and adds it to the ended runs, which the next renewal reply reports.
// The caller holds the worker's lock.
func (w *Worker) end(r *taskRun, outcome worker.Outcome) {
	delete(w.runs, r.key)
	w.site.gangs.leave(r.key)
	if r.timer != nil {
		r.timer.Stop()
	}
	w.highestEndedRun[r.key.task] = max(w.highestEndedRun[r.key.task], r.key.run)
	if r.gang && r.working && outcome != worker.OutcomeDone && outcome != worker.OutcomeGangBroken {
		w.site.endGang(r.key, outcome, w)
	}
	checkpoint := r.lastCheckpoint(outcome == worker.OutcomeStopped)
	w.lastEnd++
	w.endedRuns = append(w.endedRuns, worker.EndedRun{Number: w.lastEnd, Task: r.key.task, Run: r.key.run, Outcome: outcome, Checkpoint: checkpoint})
	w.expiriesAtEnd[w.lastEnd] = w.expiries
	w.site.ledger.ended(w, r.key, outcome)
	w.notify()
}

// stop carries out a stop order; it reports false if the order's fencing token is out of date.
func (w *Worker) stop(o worker.StopOrder) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || o.Token < w.token {
		return false
	}
	w.token = o.Token
	r := w.runs[runKey{o.Task, o.Run}]
	if r == nil {
		w.highestEndedRun[o.Task] = max(w.highestEndedRun[o.Task], o.Run)
		return true
	}
	if r.stopping {
		return true
	}
	r.stopping = true
	w.site.ledger.recordOrderedEnd(w, r.key, "a stop")
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[r.key] == r && !w.dead {
			w.end(r, worker.OutcomeStopped)
		}
	})
	return true
}

// renewLease extends the lease, forgets acknowledged ends and returns the live and ended
// runs. If there are no ended runs to report and the order may wait, it returns a
// channel instead, which is closed when a run ends; waited is set for the second try.
func (w *Worker) renewLease(o worker.RenewalOrder, waited bool) (worker.RenewalReply, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Token < w.token {
		return worker.RenewalReply{Fenced: true, Clock: w.clock(), Incarnation: w.incarnation}, nil
	}
	w.token = o.Token
	w.recordExpiry()
	w.endedRuns = slices.DeleteFunc(w.endedRuns, func(e worker.EndedRun) bool {
		if e.Number <= o.Acknowledged {
			w.site.ledger.acknowledged(e, w.expiries > w.expiriesAtEnd[e.Number])
		}
		return e.Number <= o.Acknowledged
	})
	w.extend(o.LeaseEnd)
	if len(w.endedRuns) == 0 && o.MaxWait > 0 && !waited {
		return worker.RenewalReply{}, w.changed
	}
	reply := worker.RenewalReply{Clock: w.clock(), Incarnation: w.incarnation, Ended: slices.Clone(w.endedRuns)}
	for key, r := range w.runs {
		reply.Running = append(reply.Running, worker.ActiveRun{Task: key.task, Run: key.run, Checkpoint: r.lastCheckpoint(false), Percent: r.percent, Usage: 1})
	}
	return reply, nil
}

// kill ends the worker's incarnation and all of its runs.
func (w *Worker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	w.dead = true
	for key, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.site.gangs.leave(key)
		if r.gang && r.working {
			w.site.endGang(key, worker.OutcomeGangBroken, w)
		}
		w.site.ledger.endedWithWorker(w, key)
	}
	clear(w.runs)
	w.notify()
}

func (w *Worker) alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead
}

// goDark ends the worker as a crash without a word does.
func (w *Worker) goDark() {
	w.mu.Lock()
	w.dark = true
	w.mu.Unlock()
	w.kill()
}

// isDark reports whether orders to the worker wait for its next incarnation.
func (w *Worker) isDark() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dark
}

// throttle carries out a throttle order, which changes the listed speed only; it reports false if
// the order's fencing token is out of date.
func (w *Worker) throttle(o worker.ThrottleOrder) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || o.Token < w.token {
		return false
	}
	w.token = o.Token
	if r := w.runs[runKey{o.Task, o.Run}]; r != nil {
		r.percent = o.Percent
	}
	return true
}
