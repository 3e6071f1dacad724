package site

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// shown checks the state of a job that a caller is shown.
func (l *Ledger) shown(id job.ID, state job.State, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, submitted := l.jobs[id]
	if !submitted {
		if known {
			l.addViolation("mixed: job %s is shown, but nobody submitted it", id)
		}
		return
	}
	if !known {
		if !s.acceptedAt.IsZero() {
			l.addViolation("lost: job %s is not known %s after it was accepted", id, time.Since(s.acceptedAt))
		}
		return
	}
	if s.shown.Ended() && state != s.shown {
		l.addViolation("mixed: job %s was shown as %s and then as %s", id, s.shown, state)
	}
	if state == job.Done && s.shown != job.Done {
		s.doneShownAt = time.Now()
	}
	s.shown = state
	switch state {
	case job.Done:
		l.checkDone(s)
	case job.Failed:
		l.checkFailed(s)
	case job.Cancelled:
		if !l.cancels[id] {
			l.addViolation("lost: job %s is shown as cancelled, but nobody cancelled it", id)
		}
	}
}

func (l *Ledger) checkDone(s *submitted) {
	for occurrence := range s.OccurrenceCount() {
		for step := range s.Steps {
			for index := range s.Steps[step].Tasks {
				name := worker.TaskName{Job: string(s.ID), Occurrence: occurrence, Step: step, Index: index}
				if !l.history(name).done {
					l.addViolation("mixed: job %s is shown as done, but %s is not done", s.ID, name)
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
		if h.crashedUnder >= crashesToFail {
			return
		}
		if s.Steps[name.Step].LongRunning {
			// It is restarted however often it fails.
			continue
		}
		if len(runs) >= s.MaxAttempts {
			return
		}
		// A gang fails as a whole, so the failed runs of its members count together.
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
	l.addViolation("lost: job %s is shown as failed, but no task failed often enough", s.ID)
}
