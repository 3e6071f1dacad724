package site

import (
	"fmt"
	"maps"
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
	// done is set once a run has ended well, noted once its worker may forget that.
	done, noted bool
	// failed are the runs that ended failed, and whether their worker may forget that.
	failed map[runKey]bool
	// overBudget are starts after as many failures as a task may have; they break a
	// promise if the failures are noted then or later.
	overBudget []map[runKey]bool
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

// cancelTime is how long after a cancel's acknowledgement tasks may be started.
const cancelTime = 3 * time.Second

// started checks a start when a worker begins it; bounds of time don't hold for one
// that is carried out late.
func (l *Ledger) started(w *Worker, o worker.StartOrder, truth taskTruth, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Starts++
	s := l.jobs[job.ID(o.Task.Job)]
	h := l.history(o.Task)
	if len(h.running) > 0 && !truth.step.Speculative {
		l.breaks("twice: %s run %d on %s while %v", o.Task, o.Run, w.id, h.running)
	}
	if h.noted && !truth.step.Speculative {
		l.breaks("twice: %s run %d on %s after its good end was noted", o.Task, o.Run, w.id)
	}
	l.checkAsked(w, o, s, late)
	if !truth.step.LongRunning && !truth.step.Speculative && len(h.failed) >= s.MaxAttempts {
		h.overBudget = append(h.overBudget, maps.Clone(h.failed))
	}
	l.checkOrder(o, s, truth)
	h.running[runKey{o.Task, o.Run}] = w.id
	l.checkSpread(w, o.Task, truth)
}

// checkAsked checks that a start is what its caller asked for.
func (l *Ledger) checkAsked(w *Worker, o worker.StartOrder, s *submitted, late bool) {
	if o.Spec != s.Spec {
		l.breaks("unasked: %s was started with another spec", o.Task)
	}
	if s.refused {
		l.breaks("refused: %s runs though its job was refused", o.Task)
	}
	if !late && !s.cancelled.IsZero() && time.Since(s.cancelled) > cancelTime {
		l.breaks("unasked: %s was started %s after its cancel", o.Task, time.Since(s.cancelled))
	}
	if w.pool != s.Pool {
		l.breaks("route: %s of pool %s was started in pool %s", o.Task, s.Pool, w.pool)
	}
}

// checkOrder checks that a start's predecessors are done and its time has come.
func (l *Ledger) checkOrder(o worker.StartOrder, s *submitted, truth taskTruth) {
	for _, earlier := range truth.step.DependsOn {
		for index := range s.Steps[earlier].Tasks {
			name := worker.TaskName{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: earlier, Index: index}
			if !l.history(name).done {
				l.breaks("order: %s was started before %s was done", o.Task, name)
			}
		}
	}
	if s.Occurrences > 0 && time.Now().Before(s.DueAt(o.Task.Occurrence).Add(-250*time.Millisecond)) {
		l.breaks("order: %s was started before it was due", o.Task)
	}
}

// checkSpread checks how many tasks of a step run on one worker.
func (l *Ledger) checkSpread(w *Worker, task worker.TaskName, truth taskTruth) {
	if truth.step.MaxPerHost == 0 {
		return
	}
	n := 0
	for index := range truth.step.Tasks {
		name := task
		name.Index = index
		for _, id := range l.history(name).running {
			if id == w.id {
				n++
			}
		}
	}
	if n > truth.step.MaxPerHost {
		l.breaks("spread: %d tasks of %s on %s; at most %d may be", n, task.StepName(), w.id, truth.step.MaxPerHost)
	}
}

func (l *Ledger) stopping(*Worker, runKey) {}

func (l *Ledger) ended(_ *Worker, key runKey, how worker.How) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Ends++
	h := l.history(key.task)
	delete(h.running, key)
	switch how {
	case worker.HowDone:
		h.done = true
	case worker.HowFailed:
		h.failed[key] = false
	}
}

// gangDone takes that a gang has ended well, as one.
func (l *Ledger) gangDone(task worker.TaskName, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for index := range count {
		task.Index = index
		l.history(task).done = true
	}
}

// gone takes that a run ended with its worker.
func (l *Ledger) gone(_ *Worker, key runKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.history(key.task).running, key)
}

func (l *Ledger) noted(end worker.Ended) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history(end.Task)
	switch end.How {
	case worker.HowDone:
		h.noted = true
	case worker.HowFailed:
		h.failed[runKey{end.Task, end.Run}] = true
	}
}

// checkBudgets finds starts after too many failures that were noted.
func (l *Ledger) checkBudgets() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, h := range l.tasks {
		for _, before := range h.overBudget {
			noted := 0
			for key := range before {
				if h.failed[key] {
					noted++
				}
			}
			if most := l.jobs[job.ID(name.Job)].MaxAttempts; noted >= most {
				l.breaks("budget: %s was started after %d failures", name, noted)
			}
		}
	}
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
