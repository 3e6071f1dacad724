package site

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// cancelGrace is how long after a cancellation's acknowledgement tasks may still be started.
const cancelGrace = 3 * time.Second

// copyGrace is how long after its success was acknowledged or shown a task may still start.
const copyGrace = time.Second

// started checks a run when its worker starts it. Time limits don't apply to a start
// order that is carried out late.
func (l *Ledger) started(w *Worker, o worker.StartOrder, actual taskBehaviour, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Starts++
	s := l.jobs[job.ID(o.Task.Job)]
	h := l.history(o.Task)
	l.reportLastStops(s)
	if len(h.running) > 0 && !actual.step.Speculative {
		l.addViolation("twice: %s run %d was started on %s while runs %v were live", o.Task, o.Run, w.id, h.running)
	}
	if h.acknowledged && !actual.step.Speculative {
		l.addViolation("twice: %s run %d was started on %s after its successful end was acknowledged", o.Task, o.Run, w.id)
	} else if h.done && !actual.step.Speculative {
		h.early = append(h.early, earlyStart{fmt.Sprintf("run %d on %s", o.Run, w.id), slices.Clone(h.doneRuns)})
	}
	l.checkCopy(w, o, s, h)
	l.checkRequested(w, o, s, late)
	l.checkQuota(w, o, s, actual, late)
	if !actual.step.LongRunning && !actual.step.Speculative && len(h.failed) >= s.MaxAttempts {
		h.startsOverLimit = append(h.startsOverLimit, maps.Clone(h.failed))
	}
	l.checkOrder(o, s, actual)
	l.checkCrashes(o, h)
	l.checkCheckpoint(o, actual)
	h.running[runKey{o.Task, o.Run}] = w.id
	h.endedByOrder = false
	l.checkSpread(w, o.Task, actual)
}

// checkCopy checks that no task is started long after its success was acknowledged or shown.
// Unlike other time limits, it holds for orders that are carried out late as well.
func (l *Ledger) checkCopy(w *Worker, o worker.StartOrder, s *submitted, h *taskHistory) {
	if h.acknowledged && time.Since(h.acknowledgedAt) > copyGrace {
		l.addViolation("twice: %s run %d was started on %s %s after a successful end was acknowledged", o.Task, o.Run, w.id, time.Since(h.acknowledgedAt))
	}
	if s.shown == job.Done && time.Since(s.doneShownAt) > copyGrace {
		l.addViolation("twice: %s run %d was started on %s %s after its job was shown as done", o.Task, o.Run, w.id, time.Since(s.doneShownAt))
	}
}

// checkRequested checks a start against the job that its caller submitted.
func (l *Ledger) checkRequested(w *Worker, o worker.StartOrder, s *submitted, late bool) {
	if o.Spec != s.Spec {
		l.addViolation("unasked: %s was started with a spec that is not its job's", o.Task)
	}
	if s.refused {
		l.addViolation("refused: %s was started although its job was refused", o.Task)
	}
	if !late && !s.cancelled.IsZero() && time.Since(s.cancelled) > cancelGrace {
		l.addViolation("unasked: %s was started %s after its job was cancelled", o.Task, time.Since(s.cancelled))
	}
	if !l.routes[s.Queue][w.pool] {
		l.addViolation("route: %s of queue %s was started in pool %s", o.Task, s.Queue, w.pool)
	}
}

// checkOrder checks that the steps which a task depends on are done and that its
// occurrence is due.
func (l *Ledger) checkOrder(o worker.StartOrder, s *submitted, actual taskBehaviour) {
	for _, earlier := range actual.step.DependsOn {
		for index := range s.Steps[earlier].Tasks {
			name := worker.TaskName{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: earlier, Index: index}
			if !l.history(name).done {
				l.addViolation("order: %s was started before %s was done", o.Task, name)
			}
		}
	}
	if s.Occurrences > 0 && time.Now().Before(s.EarliestStart(o.Task.Occurrence).Add(-250*time.Millisecond)) {
		l.addViolation("order: %s was started before it was due", o.Task)
	}
}

// checkSpread checks the number of a step's tasks that run on one worker.
func (l *Ledger) checkSpread(w *Worker, task worker.TaskName, actual taskBehaviour) {
	if actual.step.MaxPerHost == 0 {
		return
	}
	n := 0
	for index := range actual.step.Tasks {
		name := task
		name.Index = index
		for _, id := range l.history(name).running {
			if id == w.id {
				n++
			}
		}
	}
	if n > actual.step.MaxPerHost {
		l.addViolation("spread: %d tasks of %s on %s; at most %d are allowed", n, task.StepName(), w.id, actual.step.MaxPerHost)
	}
}

func (l *Ledger) ended(_ *Worker, key runKey, outcome worker.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Ends++
	h := l.history(key.task)
	h.removeRun(key)
	switch outcome {
	case worker.OutcomeDone:
		h.done = true
		h.doneRuns = append(h.doneRuns, key.run)
	case worker.OutcomeFailed:
		h.failed[key] = false
	}
}

// gangDone records that a gang has succeeded as a whole.
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

// endedWithWorker records that a run ended because its worker did.
func (l *Ledger) endedWithWorker(_ *Worker, key runKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history(key.task).removeRun(key)
}

// acknowledged records that an entry host has acknowledged the end of a run to its
// worker. By the platform's rules, an end does not count if the worker's lease expired
// between the end and its acknowledgement.
func (l *Ledger) acknowledged(end worker.EndedRun, expired bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if expired {
		return
	}
	switch end.Outcome {
	case worker.OutcomeDone:
		for _, name := range l.members(end.Task) {
			l.acknowledgedDone(name, end.Run)
		}
	case worker.OutcomeFailed:
		l.history(end.Task).failed[runKey{end.Task, end.Run}] = true
	}
}

// members returns the tasks for which one successful end counts: all members of a gang,
// otherwise the task itself.
func (l *Ledger) members(task worker.TaskName) []worker.TaskName {
	step := l.jobs[job.ID(task.Job)].actual[task.Step].step
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

func (l *Ledger) acknowledgedDone(task worker.TaskName, run int64) {
	h := l.history(task)
	if !h.acknowledged {
		h.acknowledged, h.acknowledgedAt = true, time.Now()
	}
	for _, start := range h.early {
		if slices.Contains(start.after, run) {
			l.addViolation("twice: %s %s after the successful end of run %d, which was acknowledged later", task, start.what, run)
		}
	}
}

// checkMaxAttempts checks that no task was started after as many acknowledged failures as it
// may have. It runs last, because failures may be acknowledged after the start.
func (l *Ledger) checkMaxAttempts() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, h := range l.tasks {
		for _, before := range h.startsOverLimit {
			acknowledged := 0
			for key := range before {
				if h.failed[key] {
					acknowledged++
				}
			}
			if maxAttempts := l.jobs[job.ID(name.Job)].MaxAttempts; acknowledged >= maxAttempts {
				l.addViolation("budget: %s was started after %d failures", name, acknowledged)
			}
		}
	}
}
