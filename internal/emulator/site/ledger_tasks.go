package site

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

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
	} else if h.done && !truth.step.Speculative {
		h.early = append(h.early, earlyStart{fmt.Sprintf("run %d on %s", o.Run, w.id), slices.Clone(h.doneRuns)})
	}
	l.checkAsked(w, o, s, late)
	if !truth.step.LongRunning && !truth.step.Speculative && len(h.failed) >= s.MaxAttempts {
		h.overBudget = append(h.overBudget, maps.Clone(h.failed))
	}
	l.checkOrder(o, s, truth)
	h.running[runKey{o.Task, o.Run}] = w.id
	h.sentAway = false
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

func (l *Ledger) ended(_ *Worker, key runKey, how worker.How) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Ends++
	h := l.history(key.task)
	h.leave(key)
	switch how {
	case worker.HowDone:
		h.done = true
		h.doneRuns = append(h.doneRuns, key.run)
	case worker.HowFailed:
		h.failed[key] = false
	}
}

// gangDone takes that a gang has ended well, as one.
func (l *Ledger) gangDone(task worker.TaskName, run int64, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for index := range count {
		task.Index = index
		h := l.history(task)
		h.done = true
		h.doneRuns = append(h.doneRuns, run)
	}
}

// gone takes that a run ended with its worker.
func (l *Ledger) gone(_ *Worker, key runKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history(key.task).leave(key)
}

// noted takes that a worker may forget an end. One whose worker's lease ran out
// between the two counts for nothing, by the platform's rules.
func (l *Ledger) noted(end worker.Ended, lapsed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lapsed {
		return
	}
	switch end.How {
	case worker.HowDone:
		for _, name := range l.members(end.Task) {
			l.notedDone(name, end.Run)
		}
	case worker.HowFailed:
		l.history(end.Task).failed[runKey{end.Task, end.Run}] = true
	}
}

// members lists the tasks that one good end stands for.
func (l *Ledger) members(task worker.TaskName) []worker.TaskName {
	step := l.jobs[job.ID(task.Job)].truth[task.Step].step
	if !step.Gang {
		return []worker.TaskName{task}
	}
	names := make([]worker.TaskName, step.Tasks)
	for index := range names {
		names[index] = task
		names[index].Index = index
	}
	return names
}

func (l *Ledger) notedDone(task worker.TaskName, run int64) {
	h := l.history(task)
	h.noted = true
	for _, start := range h.early {
		if slices.Contains(start.after, run) {
			l.breaks("twice: %s %s after the good end of run %d, which was noted later", task, start.what, run)
		}
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
