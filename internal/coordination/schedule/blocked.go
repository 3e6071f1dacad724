package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// blockedInterval is how often a pool logs that tasks wait for room.
const blockedInterval = 2 * time.Second

// reportBlocked logs what takes the room of the listed hosts while tasks wait for it.
func (p *Pool) reportBlocked(now time.Time) {
	if now.Sub(p.blockedAt) < blockedInterval {
		return
	}
	p.blockedAt = now
	var free worker.Resources
	hosts, usable, suspected, runs, unsent, inFlight := 0, 0, 0, 0, 0, 0
	for _, h := range p.hosts {
		if !h.listed {
			continue
		}
		hosts++
		if p.usable(h, false, now) {
			usable++
			free = free.Plus(h.free())
		}
		if h.health.suspected(now) {
			suspected++
		}
		runs += len(h.runs)
		unsent += h.unsentRuns()
		inFlight += h.startsInFlight
	}
	p.events.Event("tasks-blocked", "pool", p.name, "hosts", hosts, "usable", usable, "suspected", suspected, "runs", runs, "unsent", unsent,
		"starts-in-flight", inFlight, "free-cpu", free.CPU, "free-memory-mb", free.MemoryMB)
}

// unsentRuns counts the placed runs whose start was not sent.
func (h *host) unsentRuns() int {
	n := 0
	for _, r := range h.runs {
		if r.unsent {
			n++
		}
	}
	return n
}
