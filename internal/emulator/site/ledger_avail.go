package site

import (
	"fmt"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// noticeTime is the time within which the entry hosts must notice that a task is
// unavailable; from then on they have to count it as unavailable.
const noticeTime = 4500 * time.Millisecond

// removeRun removes a run that has ended from the live ones.
func (h *taskHistory) removeRun(key runKey) {
	delete(h.running, key)
	h.lastEnded = time.Now()
}

// unavailable reports whether a long-running task counts as unavailable.
func (h *taskHistory) unavailable(now time.Time) bool {
	return len(h.running) == 0 && (h.endedByOrder || (!h.lastEnded.IsZero() && now.Sub(h.lastEnded) >= noticeTime))
}

// recordOrderedEnd records that an order ends a run, and checks that this leaves no more
// tasks of the step unavailable than the step allows.
func (l *Ledger) recordOrderedEnd(w *Worker, key runKey, order string) {
	actual, ok := l.behaviour(key.task)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok || !actual.step.LongRunning || actual.step.MaxUnavailable == 0 || w.draining || l.cancels[job.ID(key.task.Job)] {
		return
	}
	now, unavailable := time.Now(), 0
	for index := range actual.step.Tasks {
		other := key.task
		other.Index = index
		if index != key.task.Index && l.history(other).unavailable(now) {
			unavailable++
		}
	}
	if unavailable >= actual.step.MaxUnavailable {
		l.recordLastStop(key.task, fmt.Sprintf("avail: %s ended %s on %s while %d others of its step were unavailable", order, key.task, w.id, unavailable))
	}
	l.history(key.task).endedByOrder = true
}

// recordLastStop records an ordered end after which too few tasks of a step are left. It is a
// violation at once unless the job may have been given up.
func (l *Ledger) recordLastStop(task worker.TaskName, violation string) {
	if !l.mayBeGivenUp(task.Job) {
		l.addViolation("%s", violation)
		return
	}
	s := l.jobs[job.ID(task.Job)]
	s.lastStops = append(s.lastStops, violation)
}

// mayBeGivenUp reports whether enough workers have crashed under a deadly task of a job. Others may
// fail for their crashes as well, but what they still run counts until its end.
func (l *Ledger) mayBeGivenUp(id string) bool {
	s := l.jobs[job.ID(id)]
	for name, h := range l.tasks {
		if name.Job == id && h.crashedUnder >= crashesToFail && s.actual[name.Step].deadly[name.Index] {
			return true
		}
	}
	return false
}

// reportLastStops reports the ordered ends that were not the last ones of a job.
func (l *Ledger) reportLastStops(s *submitted) {
	l.violations = append(l.violations, s.lastStops...)
	s.lastStops = nil
}

// checkLastStops reports the ordered ends of jobs that were not given up in the end.
func (l *Ledger) checkLastStops() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.jobs {
		if s.shown != job.Failed {
			l.reportLastStops(s)
		}
	}
}

// recordOrderedEnds records and checks the ends of all runs of a worker that an order
// takes down.
func (w *Worker) recordOrderedEnds(order string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := range w.runs {
		w.site.ledger.recordOrderedEnd(w, key, order)
		w.site.ledger.endedWithWorker(w, key)
	}
}
