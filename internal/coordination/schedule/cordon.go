package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Use is what a pool may use a host for.
type Use int

// The uses, from all to none.
const (
	// UseAll: anything may be started there.
	UseAll Use = iota
	// UseShort: long-running tasks move away and go there only if there is no other host.
	UseShort
	// UseNone: nothing is started there, and what can go on elsewhere moves away.
	UseNone
)

var useNames = map[Use]string{UseAll: "all", UseShort: "short", UseNone: "none"}

// String gives the name for logs.
func (u Use) String() string { return useNames[u] }

// Restrict sets what hosts may be used for; it tells whether the pool knows them all.
func (p *Pool) Restrict(ids []worker.ID, use Use) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := true
	for _, id := range ids {
		h, ok := p.hosts[id]
		if !ok {
			all = false
			continue
		}
		if h.use != use {
			p.events.Event("host-restricted", "host", id, "pool", p.name, "use", use, "before", h.use, "runs", len(h.runs))
		}
		h.use = use
	}
	return all
}

// vacant tells whether nothing runs on the host, and nothing unknown may.
func (h *host) vacant() bool {
	return len(h.runs) == 0 && len(h.foreign) == 0 && h.confirmed
}

// cordoned tells whether nothing may be started on the host.
func (h *host) cordoned() bool { return h.use == UseNone }

// evacuate moves long-running tasks away from hosts that leave, and others that
// can go on from a checkpoint and would not end in time.
func (p *Pool) evacuate(now time.Time) {
	for _, h := range p.hosts {
		if !h.report.Draining && h.use == UseAll {
			continue
		}
		for _, r := range h.runs {
			if r.state == on && p.movesAway(r, h, now) {
				p.stop(r, "host-leaves")
			}
		}
	}
}

// movesAway tells whether a run should leave its host now. A long-running task stays
// until there is a host for it, since it would not run at all meanwhile.
func (p *Pool) movesAway(r *run, h *host, now time.Time) bool {
	def := r.task.step.def
	switch {
	case !def.LongRunning:
		return (h.report.Draining || h.cordoned()) && def.SavesProgress && !def.Gang && now.Sub(r.onAt) > p.limits.CheckpointEvery
	case !h.report.Draining && !p.mayMiss(r.task.step, r.task, now):
		return false
	}
	to := p.bestHost(r.task, now)
	if to == nil || to == h {
		return false
	}
	// With time left, it waits for one on which it can stay.
	return to.use == UseAll || h.report.Draining || h.cordoned()
}
