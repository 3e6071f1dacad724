package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// SetHosts applies the reports of all hosts that the live list has for the pool.
func (p *Pool) SetHosts(reports []worker.Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := make(map[worker.ID]struct{}, len(reports))
	for _, report := range reports {
		seen[report.ID] = struct{}{}
		p.setHost(report, now)
	}
	for id, h := range p.hosts {
		if _, ok := seen[id]; ok {
			continue
		}
		if h.listed {
			h.listed = false
			p.events.Event("host-unlisted", "host", id, "pool", p.name, "runs", len(h.runs))
		}
		if len(h.runs) == 0 && len(h.lapsed) == 0 && !now.Before(h.expiry) {
			p.remove(h, now)
		}
	}
}

func (p *Pool) setHost(report worker.Report, now time.Time) {
	h, ok := p.hosts[report.ID]
	if !ok {
		h = p.addHost(report, now, p.inheritedExpiry)
	}
	if h.awaited {
		h.awaited, h.knownAt = false, now
	}
	if !ok || !h.listed {
		p.events.Event("host-listed", "host", report.ID, "pool", p.name, "address", report.Address,
			"rack", report.Rack, "draining", report.Draining)
	}
	if report.Draining && !h.report.Draining && ok {
		p.events.Event("host-draining", "host", report.ID, "pool", p.name, "runs", len(h.runs), "remaining", report.RemainingTime)
	}
	if report.Draining {
		h.drained = report.Incarnation
	} else if report.Incarnation == h.drained {
		h.drained = 0
	}
	if report.Address != h.report.Address {
		h.confirmed = false
	}
	if report.Incarnation > h.report.Incarnation && h.incarnation != 0 && report.Incarnation > h.incarnation {
		p.restartSeen(h, now)
	}
	h.report, h.listed = report, true
}

// WorkerEnded releases the runs of a worker that, according to the list of machines, has
// ended, though it was last seen at lastSeen. It does nothing if the worker answers or was seen
// since, since it can't be the one that ended. It may come back under its ID, and then carry out a start
// that got no answer.
func (p *Pool) WorkerEnded(id worker.ID, lastSeen, now time.Time) {
	p.workerEnded(id, lastSeen, now, false)
}

// WorkerReplaced is WorkerEnded for a worker that can't come back under its ID.
func (p *Pool) WorkerReplaced(id worker.ID, lastSeen, now time.Time) {
	p.workerEnded(id, lastSeen, now, true)
}

func (p *Pool) workerEnded(id worker.ID, lastSeen, now time.Time, replaced bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok || h.confirmed || !h.lastSeen().Equal(lastSeen) {
		return
	}
	if replaced {
		clear(h.unanswered)
	}
	ended := h.runsWhere(func(r *run) bool {
		until, mayBegin := r.mayBeginLate()
		return !r.unsent && (!mayBegin || now.After(until))
	})
	if len(ended)+len(h.lapsed) == 0 {
		return
	}
	p.events.Event("host-gone", "host", id, "pool", p.name, "runs", len(ended), "may-begin-late", len(h.runs)-len(ended), "replaced", replaced, "heard", h.heardAt)
	p.hostCrashed(h, now, now)
	h.forgetLapsed()
	h.expiry = now
	p.releaseAll(h, ended, now)
}

// Hosts returns the hosts whose leases are to be renewed.
func (p *Pool) Hosts() []worker.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make([]worker.Target, 0, len(p.hosts))
	for id, h := range p.hosts {
		if h.report.Address.IsValid() {
			targets = append(targets, worker.Target{ID: id, Address: h.report.Address})
		}
	}
	return targets
}
