package schedule

import (
	"sync"
	"time"
)

const (
	// planShare is the largest share of the time that plans of one pool may take. It answers
	// the load of a pool with hundreds of events a second, each of which asks for a plan.
	planShare = 0.1
	// maxPlanPause bounds the pause after a plan, so that a plan which was itself delayed
	// does not delay the next one for long.
	maxPlanPause = 100 * time.Millisecond
)

// Pacer decides when a pool is planned next. Events that come before that share one plan.
type Pacer struct {
	mu  sync.Mutex
	due time.Time
}

// Due returns how long to wait until the next plan, 0 if it is due.
func (p *Pacer) Due(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.due.Sub(now))
}

// Planned sets when the next plan is due, after one that lasted from began to ended.
func (p *Pacer) Planned(began, ended time.Time) {
	pause := time.Duration(float64(ended.Sub(began)) * (1 - planShare) / planShare)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.due = ended.Add(min(maxPlanPause, pause))
}
