package site

import (
	"fmt"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Ledger notes what workers, callers and the service of machines saw, and what of
// it breaks a promise.
type Ledger struct {
	mu   sync.Mutex
	jobs map[job.ID]*submitted
	// cancels are the jobs whose cancel was asked for.
	cancels map[job.ID]bool
	tasks   map[worker.TaskName]*taskHistory
	orders  map[string]machineOrder
	broke   []string
	// Starts, Ends and Moves count what happened.
	Starts, Ends, Moves, Maintained int
}

// submitted is a job as its caller knows it.
type submitted struct {
	*job.Job
	truth      []taskTruth
	acceptedAt time.Time
	// cancelled is when a cancel was acknowledged.
	cancelled time.Time
	refused   bool
	shown     job.State
}

// taskTruth is what a step's tasks really are, whatever they declare.
type taskTruth struct {
	step      *job.Step
	duration  time.Duration
	poison    bool
	failShare float64
}

// taskHistory is what became of one task.
type taskHistory struct {
	// running are the live runs and the workers that have them.
	running map[runKey]worker.ID
	// downAt is when the last run ended; sentAway is set if an order of ours ended it.
	downAt   time.Time
	sentAway bool
	// done is set once a run has ended well, noted once its worker may forget that.
	done, noted bool
	// doneRuns are the runs that ended well; early are starts after some of these were
	// listed and before they were noted, which break a promise if one is noted later.
	doneRuns []int64
	early    []earlyStart
	// failed are the runs that ended failed, and whether their worker may forget that.
	failed map[runKey]bool
	// overBudget are starts after as many failures as a task may have; they break a
	// promise if the failures are noted then or later.
	overBudget []map[runKey]bool
}

// earlyStart is a start after the good ends of some runs.
type earlyStart struct {
	what  string
	after []int64
}

type machineOrder struct {
	holder string
	fence  worker.Fence
	at     time.Time
}

func newLedger() *Ledger {
	return &Ledger{jobs: map[job.ID]*submitted{}, cancels: map[job.ID]bool{}, tasks: map[worker.TaskName]*taskHistory{}, orders: map[string]machineOrder{}}
}

// Broken lists the promises that were broken.
func (l *Ledger) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broke...)
}

func (l *Ledger) broken(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks(format, args...)
}

func (l *Ledger) breaks(format string, args ...any) {
	l.broke = append(l.broke, fmt.Sprintf(format, args...))
}

func (l *Ledger) submit(j *job.Job, truth []taskTruth) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.jobs[j.ID]; !ok {
		l.jobs[j.ID] = &submitted{Job: j, truth: truth}
	}
}

func (l *Ledger) accepted(id job.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.jobs[id]; s.acceptedAt.IsZero() {
		s.acceptedAt = time.Now()
	}
}

func (l *Ledger) refusedAll(id job.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id].refused = true
}

func (l *Ledger) cancelAsked(id job.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancels[id] = true
}

func (l *Ledger) cancel(id job.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.jobs[id]; ok {
		s.cancelled = time.Now()
	}
}

func (l *Ledger) truth(task worker.TaskName) (taskTruth, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.jobs[job.ID(task.Job)]
	if !ok || task.Step >= len(s.truth) || task.Index >= s.truth[task.Step].step.Tasks {
		return taskTruth{}, false
	}
	return s.truth[task.Step], true
}

func (l *Ledger) saves(task worker.TaskName) bool {
	t, ok := l.truth(task)
	return ok && t.step.SavesProgress
}

func (l *Ledger) history(task worker.TaskName) *taskHistory {
	h, ok := l.tasks[task]
	if !ok {
		h = &taskHistory{running: map[runKey]worker.ID{}, failed: map[runKey]bool{}}
		l.tasks[task] = h
	}
	return h
}

// shown checks what a caller is told of a job.
func (l *Ledger) shown(id job.ID, state job.State, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, submitted := l.jobs[id]
	if !submitted {
		if known {
			l.breaks("mixed: job %s is shown, and nobody submitted it", id)
		}
		return
	}
	if !known {
		if !s.acceptedAt.IsZero() {
			l.breaks("lost: job %s is not known %s after it was accepted", id, time.Since(s.acceptedAt))
		}
		return
	}
	if s.shown.Ended() && state != s.shown {
		l.breaks("mixed: job %s was shown as %s and then as %s", id, s.shown, state)
	}
	s.shown = state
	switch state {
	case job.Done:
		l.checkDone(s)
	case job.Failed:
		l.checkFailed(s)
	case job.Cancelled:
		if !l.cancels[id] {
			l.breaks("lost: job %s is shown as cancelled, and nobody cancelled it", id)
		}
	}
}

func (l *Ledger) checkDone(s *submitted) {
	for occurrence := range s.Runs() {
		for step := range s.Steps {
			for index := range s.Steps[step].Tasks {
				name := worker.TaskName{Job: string(s.ID), Occurrence: occurrence, Step: step, Index: index}
				if !l.history(name).done {
					l.breaks("mixed: job %s is shown as done, and %s is not", s.ID, name)
				}
			}
		}
	}
}

func (l *Ledger) checkFailed(s *submitted) {
	gangs := map[string]map[int64]bool{}
	for name, h := range l.tasks {
		if name.Job != string(s.ID) {
			continue
		}
		runs := h.failed
		if len(runs) >= s.MaxAttempts {
			return
		}
		// A gang fails as one.
		step := name.StepName()
		if gangs[step] == nil {
			gangs[step] = map[int64]bool{}
		}
		for key := range runs {
			gangs[step][key.run] = true
		}
		if s.Steps[name.Step].Gang && len(gangs[step]) >= s.MaxAttempts {
			return
		}
	}
	l.breaks("lost: job %s is shown as failed without cause", s.ID)
}

// Running counts the live runs of a job.
func (l *Ledger) Running(id job.ID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for name, h := range l.tasks {
		if name.Job == string(id) {
			n += len(h.running)
		}
	}
	return n
}

// open lists the accepted jobs that should have ended.
func (l *Ledger) open() []job.ID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []job.ID
	for id, s := range l.jobs {
		if !s.acceptedAt.IsZero() && !s.shown.Ended() && !l.cancels[id] && !s.Steps[0].LongRunning {
			open = append(open, id)
		}
	}
	return open
}

// idle lists the tasks of long-running jobs that don't run.
func (l *Ledger) idle() []worker.TaskName {
	l.mu.Lock()
	defer l.mu.Unlock()
	var idle []worker.TaskName
	for id, s := range l.jobs {
		if s.acceptedAt.IsZero() || !s.cancelled.IsZero() || !s.Steps[0].LongRunning {
			continue
		}
		for index := range s.Steps[0].Tasks {
			name := worker.TaskName{Job: string(id), Index: index}
			if len(l.history(name).running) == 0 {
				idle = append(idle, name)
			}
		}
	}
	return idle
}

// holderLease is how long two holders must not take turns in ordering a machine.
const holderLease = 3 * time.Second

// ordered checks the holder of an order for a machine.
func (l *Ledger) ordered(name, holder string, fence worker.Fence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	before, ok := l.orders[name]
	l.orders[name] = machineOrder{holder, fence, now}
	if !ok || before.holder == holder {
		return
	}
	if before.fence == fence {
		l.breaks("one: machine %s ordered by %s and %s with fence %d", name, before.holder, holder, fence)
	}
	if now.Sub(before.at) < holderLease {
		l.breaks("one: machine %s ordered by %s and %s within %s", name, before.holder, holder, now.Sub(before.at))
	}
}
