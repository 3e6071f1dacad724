package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Use is what a pool may use a host for.
type Use int

// The values of Use, from the least to the most restricted.
const (
	// UseAll allows everything.
	UseAll Use = iota
	// UseShortTasks moves long-running tasks away; they are placed there only if there is no
	// other host.
	UseShortTasks
	// UseNone starts nothing and moves away what can continue elsewhere.
	UseNone
)

var useNames = map[Use]string{UseAll: "all", UseShortTasks: "short", UseNone: "none"}

// String returns the name used in logs.
func (u Use) String() string { return useNames[u] }

// Restrict sets what hosts may be used for and reports whether the pool knows them all. A cordon
// also holds for a host that is not listed yet.
func (p *Pool) Restrict(ids []worker.ID, use Use, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := true
	for _, id := range ids {
		h, ok := p.hosts[id]
		if !ok && use == UseNone {
			h, ok = p.await(id, now), true
		}
		if !ok {
			all = false
			continue
		}
		if h.use != use {
			p.events.Event("host-restricted", "host", id, "pool", p.name, "use", use, "before", h.use, "runs", len(h.runs))
		}
		h.use = use
		h.leaving = use == UseNone && (h.leaving || h.confirmed)
	}
	return all
}

// await adds a host of which no report has come yet.
func (p *Pool) await(id worker.ID, now time.Time) *host {
	h := p.addHost(worker.Report{ID: id, Pool: p.name}, now, later(p.inheritedExpiry, now.Add(p.limits.maxLeaseDuration())))
	h.awaited = true
	return h
}

// vacant reports whether the host answers, or has yet to be listed, and nothing runs on it,
// unknown runs included, and no room is kept.
func (h *host) vacant() bool {
	return len(h.runs) == 0 && len(h.unknownRuns) == 0 && len(h.reserved) == 0 && (h.confirmed || h.awaited)
}

// cordoned reports whether nothing may be started on the host.
func (h *host) cordoned() bool { return h.use == UseNone }

// evacuate moves long-running tasks off draining and restricted hosts. Off draining and
// cordoned hosts it also moves runs that save progress, are not part of a gang and have run
// longer than the checkpoint interval, since they may not end in time.
func (p *Pool) evacuate(now time.Time) {
	// Tasks on draining hosts leave in any case, so they count before others are moved.
	for _, h := range p.hosts {
		if h.report.Draining {
			p.evacuateHost(h, now)
		}
	}
	for _, h := range p.hosts {
		if !h.report.Draining && h.use != UseAll {
			p.evacuateHost(h, now)
		}
	}
}

func (p *Pool) evacuateHost(h *host, now time.Time) {
	for _, r := range h.runs {
		if r.state != stateRunning || r.task.step.job.Ended() {
			continue
		}
		if r.task.step.def.LongRunning {
			p.moveLongRunning(r, h, now)
		} else if p.shouldMove(r, h, now) {
			p.stop(r, reasonHostLeaves)
		}
	}
}

// shouldMove reports whether a short task should leave its host now.
func (p *Pool) shouldMove(r *run, h *host, now time.Time) bool {
	def := r.task.step.def
	return (h.report.Draining || h.cordoned()) && def.SavesProgress && !def.Gang && now.Sub(r.startedAt) > p.limits.CheckpointInterval
}

// moveLongRunning stops a long-running task if its step allows that and another host has
// room for it, which is kept for it. Without such a host the task stays, since it would
// not run at all in between.
func (p *Pool) moveLongRunning(r *run, h *host, now time.Time) {
	if !h.report.Draining && !p.withinMaxUnavailable(r.task.step, r.task, now) {
		return
	}
	if !p.admitsMove(r.task.step) {
		return
	}
	target := p.bestHost(r.task, now)
	// Unless its host is draining or cordoned, it waits for one without restrictions.
	if target == nil || target == h || (target.use != UseAll && !h.report.Draining && !h.cordoned()) {
		return
	}
	p.reserve(r.task, target, now)
	p.stop(r, reasonHostLeaves)
}
