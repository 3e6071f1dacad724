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
	// checkpointEvery is the work between two checkpoints.
	checkpointEvery = 500 * time.Millisecond
)

// Worker runs tasks under leases, on a clock of its own.
type Worker struct {
	site *Site
	id   worker.ID
	// pool, dataCentre, rack and capacity stay as they are for one life.
	pool       string
	dataCentre string
	rack       string
	capacity   worker.Resources
	machine    string

	mu       sync.Mutex
	born     time.Time
	life     worker.Life
	dead     bool
	draining bool
	// dark: nobody reaches it, and it reaches nobody; it runs on.
	dark  bool
	rate  float64
	fence worker.Fence
	lease time.Duration
	// lapses counts how often the lease ran out, lapsedLease is the last one that did.
	lapses      int
	lapsedLease time.Duration
	// endLapses is how often it had when an end was listed, by the end's number.
	endLapses map[int64]int
	runs      map[runKey]*taskRun
	ends      []worker.Ended
	next      int64
	// highest is the highest run of each task that was stopped or has ended here.
	highest map[worker.TaskName]int64
	changed chan struct{}
	// fails makes all runs fail, hangs makes them stand still.
	fails, hangs bool
}

type runKey struct {
	task worker.TaskName
	run  int64
}

// taskRun is one run on a worker.
type taskRun struct {
	key        runKey
	needs      worker.Resources
	began      time.Time
	checkpoint string
	stopping   bool
	// working is set once the run works; a member of a gang waits for the others before.
	working bool
	timer   *time.Timer
}

func newWorker(s *Site, id worker.ID, m *simMachine, rate float64) *Worker {
	now := time.Now()
	w := &Worker{
		site: s, id: id, pool: m.pool, dataCentre: m.dataCentre, rack: m.rack, capacity: m.capacity, machine: m.name,
		born: now, life: worker.Life(now.UnixMilli()), rate: rate, runs: map[runKey]*taskRun{}, endLapses: map[int64]int{},
		highest: map[worker.TaskName]int64{}, changed: make(chan struct{}),
	}
	return w
}

// clock is the worker's own clock, which may run slow.
func (w *Worker) clock() time.Duration {
	return time.Second + time.Duration(w.rate*float64(time.Since(w.born)))
}

// report is the worker's entry in the list of live hosts.
func (w *Worker) report() worker.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return worker.Report{
		ID: w.id, Pool: w.pool, Address: addressOf(w.id), DataCentre: w.dataCentre, Draining: w.draining,
		Capacity: w.capacity, Kind: "a", Rack: w.rack, Life: w.life,
	}
}

func (w *Worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// start takes an order to start a run.
func (w *Worker) start(o worker.StartOrder, from string, late bool) worker.StartReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := func(r worker.Refusal) worker.StartReply { return worker.StartReply{Refusal: r, Clock: w.clock()} }
	key := runKey{o.Task, o.Run}
	switch {
	case w.dead:
		// It ended while the order was on its way.
		return reply(worker.RefusedLate)
	case o.Fence < w.fence:
		return reply(worker.RefusedFence)
	case w.runs[key] != nil:
		return reply(worker.Accepted)
	case o.LeaseEnd <= w.clock():
		return reply(worker.RefusedLate)
	}
	w.fence = o.Fence
	w.extend(o.LeaseEnd)
	if o.Run <= w.highest[o.Task] {
		return reply(worker.RefusedOld)
	}
	truth, ok := w.site.ledger.truth(o.Task)
	if !ok {
		w.site.ledger.broken("a task that nobody asked for was started: %s from %s", o.Task, from)
		return reply(worker.RefusedInvalid)
	}
	r := &taskRun{key: key, needs: truth.step.Reserved(), began: time.Now(), checkpoint: o.Checkpoint}
	if !r.needs.Fits(w.free()) {
		return reply(worker.RefusedRoom)
	}
	w.site.ledger.started(w, o, truth, late)
	w.runs[key] = r
	w.begin(r, truth)
	return reply(worker.Accepted)
}

// begin lets a run work; a gang's members work from the moment when all are there.
func (w *Worker) begin(r *taskRun, truth taskTruth) {
	if truth.step.Gang {
		w.site.gangs.join(r.key, truth.step.Tasks, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[r.key] == r && !w.dead {
				w.work(r, truth)
			}
		})
		w.awaitGang(r)
		return
	}
	w.work(r, truth)
}

// work sets when a run ends by itself.
func (w *Worker) work(r *taskRun, truth taskTruth) {
	how, after := worker.HowDone, truth.duration
	r.working = true
	if r.timer != nil {
		r.timer.Stop()
	}
	switch {
	case w.hangs:
		return
	case w.fails:
		how, after = worker.HowFailed, 50*time.Millisecond
	case truth.poison || w.site.chance(truth.failShare):
		how, after = worker.HowFailed, truth.duration/2
	case truth.step.LongRunning:
		return
	}
	if r.checkpoint != "" {
		after /= 2
	}
	r.timer = time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[r.key] != r || w.dead {
			return
		}
		if truth.step.Gang {
			if how == worker.HowDone {
				w.site.ledger.gangDone(r.key.task, r.key.run, truth.step.Tasks)
			}
			w.site.endGang(r.key, how, w)
		}
		w.end(r, how)
	})
}

func (w *Worker) free() worker.Resources {
	free := w.capacity
	for _, r := range w.runs {
		free = free.Minus(r.needs)
	}
	return free
}

// end takes a run off and lists its end.
func (w *Worker) end(r *taskRun, how worker.How) {
	delete(w.runs, r.key)
	w.site.gangs.leave(r.key)
	if r.timer != nil {
		r.timer.Stop()
	}
	w.highest[r.key.task] = max(w.highest[r.key.task], r.key.run)
	checkpoint := r.checkpoint
	if how != worker.HowDone && time.Since(r.began) > checkpointEvery && w.site.ledger.saves(r.key.task) {
		checkpoint = "saved"
	}
	w.next++
	w.ends = append(w.ends, worker.Ended{Number: w.next, Task: r.key.task, Run: r.key.run, How: how, Checkpoint: checkpoint})
	w.endLapses[w.next] = w.lapses
	w.site.ledger.ended(w, r.key, how)
	w.notify()
}

func (w *Worker) stop(o worker.StopOrder) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Fence < w.fence {
		return false
	}
	w.fence = o.Fence
	r := w.runs[runKey{o.Task, o.Run}]
	if r == nil {
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		return true
	}
	if r.stopping {
		return true
	}
	r.stopping = true
	w.site.ledger.sentAway(w, r.key, "a stop")
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[r.key] == r && !w.dead {
			w.end(r, worker.HowStopped)
		}
	})
	return true
}

// hold extends the lease, forgets ends and tells what runs; wait is closed when
// something has ended meanwhile, and nil if the answer is ready.
func (w *Worker) hold(o worker.HoldOrder, waited bool) (worker.HoldReply, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Fence < w.fence {
		return worker.HoldReply{Fenced: true, Clock: w.clock(), Life: w.life}, nil
	}
	w.fence = o.Fence
	w.noteLapse()
	w.ends = slices.DeleteFunc(w.ends, func(e worker.Ended) bool {
		if e.Number <= o.LastSeen {
			w.site.ledger.noted(e, w.lapses > w.endLapses[e.Number])
		}
		return e.Number <= o.LastSeen
	})
	w.extend(o.LeaseEnd)
	if len(w.ends) == 0 && o.Wait > 0 && !waited {
		return worker.HoldReply{}, w.changed
	}
	reply := worker.HoldReply{Clock: w.clock(), Life: w.life, Ended: slices.Clone(w.ends)}
	for key, r := range w.runs {
		reply.Running = append(reply.Running, worker.Running{Task: key.task, Run: key.run, Checkpoint: r.checkpoint, Percent: 100, Gauge: 1})
	}
	return reply, nil
}

// kill ends the life of the worker and all that runs on it.
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
		w.site.ledger.gone(w, key)
	}
	clear(w.runs)
	w.notify()
}

func (w *Worker) alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead
}
