package site

import (
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// reportInterval is how often a worker reports about itself.
	reportInterval = 1500 * time.Millisecond
	// contactTime is how long a report may take to have effect.
	contactTime = 3 * time.Second
	// maxMissed is how many reports a worker may miss before its last one is removed.
	maxMissed = 3
)

// formerCapacity is a capacity that a worker had until a time.
type formerCapacity struct {
	worker.Resources
	until time.Time
}

func (s *Site) checksCapacity(pool string) bool { return !slices.Contains(s.uncheckedPools, pool) }

// ResizeWorker sets the capacity of a random worker to a share of its machine's for the
// duration.
func (s *Site) ResizeWorker(share float64, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.randomMachine()
	if m == nil {
		return
	}
	w, full := m.worker, m.capacity
	s.resize(w, worker.Resources{CPU: int64(share * float64(full.CPU)), MemoryMB: int64(share * float64(full.MemoryMB))})
	time.AfterFunc(duration, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.resize(w, full)
	})
}

// resize sets a worker's capacity, which its next report shows. The caller holds the
// site's lock.
func (s *Site) resize(w *Worker, capacity worker.Resources) {
	w.mu.Lock()
	w.formerCapacities = append(w.formerCapacities, formerCapacity{w.capacity, time.Now()})
	w.capacity, w.capacityReportedAt = capacity, time.Time{}
	w.mu.Unlock()
}

// heartbeat has a worker report at every reportInterval what has changed. A report is removed
// after maxMissed intervals in which the worker did not reach the log. The caller holds the
// site's lock.
func (s *Site) heartbeat(w *Worker, pause time.Duration, missed int) {
	time.AfterFunc(pause, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.closed || !w.alive() {
			return
		}
		fault := s.faults[""]
		switch {
		case fault.Refuses || fault.Unresponsive:
		case w.isolated || s.isolated[w.dataCentre]:
			if missed++; missed == maxMissed {
				s.withdrawReport(w.id)
			}
		default:
			if w.capacityReported() || missed >= maxMissed {
				s.publishReport(w)
			}
			missed = 0
		}
		s.heartbeat(w, reportInterval, missed)
	})
}

// capacityReported marks the present capacity as reported, and returns false if it was.
func (w *Worker) capacityReported() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.capacityReportedAt.IsZero() {
		return false
	}
	w.capacityReportedAt = time.Now()
	return true
}

// checkLimit checks that a run fits beside the others, those being stopped included. A
// capacity that has shrunk applies once contactTime and a report interval have passed. The
// caller holds the worker's lock.
func (w *Worker) checkLimit(started *taskRun, from string, late bool) {
	used := started.needs
	for _, r := range w.runs {
		used = used.Plus(r.needs)
	}
	grace := contactTime + reportInterval
	if late {
		grace += maxLateDelay
	}
	allowed := w.capacity
	for _, former := range w.formerCapacities {
		if time.Since(former.until) <= grace {
			allowed = worker.Resources{
				CPU: max(allowed.CPU, former.CPU), MemoryMB: max(allowed.MemoryMB, former.MemoryMB),
				Accelerators: max(allowed.Accelerators, former.Accelerators),
			}
		}
	}
	// A resource that the run does not need can't be exceeded by its start.
	if (started.needs.CPU > 0 && used.CPU > allowed.CPU) || (started.needs.MemoryMB > 0 && used.MemoryMB > allowed.MemoryMB) ||
		(started.needs.Accelerators > 0 && used.Accelerators > allowed.Accelerators) {
		w.site.ledger.reportViolation("limit: %s on %s by %s: %+v of %+v are used, %s after it shrank, %s after its report",
			started.key.task, w.id, from, used, w.capacity, w.sinceResized(), w.sinceReported())
	}
}

func (w *Worker) sinceResized() time.Duration {
	if len(w.formerCapacities) == 0 {
		return time.Since(w.startedAt)
	}
	return time.Since(w.formerCapacities[len(w.formerCapacities)-1].until)
}

// sinceReported returns how long ago the present capacity was reported, negative before.
func (w *Worker) sinceReported() time.Duration {
	if w.capacityReportedAt.IsZero() {
		return -1
	}
	return time.Since(w.capacityReportedAt)
}
