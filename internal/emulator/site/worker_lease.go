package site

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// extend moves the end of the lease of all that runs; it never shortens.
func (w *Worker) extend(end time.Duration) {
	w.noteLapse()
	end = min(end, w.clock()+w.site.maxLease)
	if end <= w.lease {
		return
	}
	w.lease = end
	left := time.Duration(float64(end-w.clock()) / w.rate)
	time.AfterFunc(left+time.Millisecond, w.lapse)
}

// noteLapse counts a lease that has run out, once.
func (w *Worker) noteLapse() {
	if w.lease > 0 && w.clock() >= w.lease && w.lapsedLease != w.lease {
		w.lapsedLease = w.lease
		w.lapses++
	}
}

func (w *Worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || w.clock() < w.lease {
		return
	}
	w.noteLapse()
	for _, r := range w.runs {
		w.end(r, worker.HowLapsed)
	}
}
