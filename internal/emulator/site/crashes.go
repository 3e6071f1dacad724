package site

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// crashDelay is how long after its start a deadly task crashes its worker.
	crashDelay = 8 * time.Millisecond
	// crashDowntime is how long a machine is down after a crash.
	crashDowntime = 3 * time.Second
	// sameIDShare is the share of the crashed workers that are back under the same ID.
	sameIDShare = 0.3
	// crashesToFail is the number of workers that must have crashed under a task before its
	// job may be shown as failed.
	crashesToFail = 2
	// crashesToLimit is the number of workers after whose crashes the starts are counted, and
	// maxStartsAfterCrashes how many of these are allowed.
	crashesToLimit, maxStartsAfterCrashes = 3, 2
)

// crashHistory counts the crashes of workers under a task.
type crashHistory struct {
	// crashedUnder are the workers that crashed while they ran the task, crashedBy those that
	// the task crashed.
	crashedUnder, crashedBy int
	// startsAfter are the starts after crashesToLimit workers had crashed by the task.
	startsAfter int
}

// crash ends a worker because of a deadly task and takes its machine down.
func (s *Site) crash(w *Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.machines[w.machine]
	if m == nil || m.worker != w || m.state != machine.Up || s.closed {
		return
	}
	m.keepID = s.chance(sameIDShare)
	s.ledger.crashed(w)
	s.takeDown(m, machine.Down, m.pool, crashDowntime)
}

// crashed records that a worker crashes under all tasks that it runs.
func (l *Ledger) crashed(w *Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range w.runs {
		l.history(key.task).crashedUnder++
	}
}

// crashedBy records that a task crashes the worker that has started it.
func (l *Ledger) crashedBy(task worker.TaskName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history(task).crashedBy++
}

// checkCrashes checks a start of a task after crashes of its workers.
func (l *Ledger) checkCrashes(o worker.StartOrder, h *taskHistory) {
	if h.crashedBy < crashesToLimit {
		return
	}
	h.startsAfter++
	if h.startsAfter > maxStartsAfterCrashes {
		l.addViolation("budget: %s was started %d times more after %d workers had crashed by it", o.Task, h.startsAfter, crashesToLimit)
	}
}
