package site

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
)

// noticeTime is how long a task may be away before the entry hosts have to know.
const noticeTime = 4500 * time.Millisecond

// leave takes a run off.
func (h *taskHistory) leave(key runKey) {
	delete(h.running, key)
	h.downAt = time.Now()
}

// away tells whether a long-running task counts as unavailable.
func (h *taskHistory) away(now time.Time) bool {
	return len(h.running) == 0 && (h.sentAway || (!h.downAt.IsZero() && now.Sub(h.downAt) >= noticeTime))
}

// sentAway checks that an order which ends a run keeps within what its step may miss.
func (l *Ledger) sentAway(w *Worker, key runKey, order string) {
	truth, ok := l.truth(key.task)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok || !truth.step.LongRunning || truth.step.MaxUnavailable == 0 || w.draining || l.cancels[job.ID(key.task.Job)] {
		return
	}
	now, away := time.Now(), 0
	for index := range truth.step.Tasks {
		other := key.task
		other.Index = index
		if index != key.task.Index && l.history(other).away(now) {
			away++
		}
	}
	if away >= truth.step.MaxUnavailable {
		l.breaks("avail: %s ended %s on %s while %d others of its step were away", order, key.task, w.id, away)
	}
	l.history(key.task).sentAway = true
}

// sentAway checks all runs of a worker that an order takes down.
func (w *Worker) sentAway(order string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := range w.runs {
		w.site.ledger.sentAway(w, key, order)
		w.site.ledger.gone(w, key)
	}
}
