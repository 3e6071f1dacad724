package site

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// extend extends the lease to the given time on the worker's clock, at most by the
// longest lease that a worker grants. It never shortens the lease.
func (w *Worker) extend(end time.Duration) {
	w.recordExpiry()
	end = min(end, w.clock()+w.site.maxLease)
	if end <= w.leaseEnd {
		return
	}
	w.leaseEnd = end
	left := time.Duration(float64(end-w.clock()) / w.clockRate)
	time.AfterFunc(left+time.Millisecond, w.expireLease)
}

// recordExpiry counts an expired lease once.
func (w *Worker) recordExpiry() {
	if w.leaseEnd > 0 && w.clock() >= w.leaseEnd && w.expiredLeaseEnd != w.leaseEnd {
		w.expiredLeaseEnd = w.leaseEnd
		w.expiries++
	}
}

// expireLease ends all runs if the lease has expired and was not extended meanwhile.
func (w *Worker) expireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || w.clock() < w.leaseEnd {
		return
	}
	w.recordExpiry()
	for _, r := range w.runs {
		w.end(r, worker.OutcomeLeaseExpired)
	}
}
