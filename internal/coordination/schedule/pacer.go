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
	// interval is the time from the begin of the last plan until the next one is due.
	interval time.Duration
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
	p.interval = p.due.Sub(began)
}

// planLead is how long before a plan the hosts are asked for what it should know.
const planLead = 20 * time.Millisecond

// RenewalPause returns how long to wait before a host that has just answered is asked again for its runs.
// What it could list sooner would have no effect before the next plan, and each answer costs processor
// time. A pool that is planned often enough does not wait.
func (p *Pacer) RenewalPause(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.interval <= 2*planLead {
		return 0
	}
	pause := p.due.Add(-planLead).Sub(now)
	if pause <= 0 {
		// The answer is there for the plan that is due, so the next one is for the plan that follows.
		pause += p.interval
	}
	return max(0, pause)
}
