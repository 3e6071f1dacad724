package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// maxReservation is how long room is kept for a task that leaves its host. It
// covers the stop, the record of the end and the next plan.
const maxReservation = 4 * time.Second

// reservation is room on a host for a task that leaves another one. Without
// it several tasks could be stopped for the same room, and all but one would not run.
type reservation struct {
	host  *host
	needs worker.Resources
	until time.Time
}

// reserve keeps room on a host for a task.
func (p *Pool) reserve(t *task, h *host, now time.Time) {
	p.unreserve(t)
	needs := t.step.def.Reserved()
	p.reservations[t] = reservation{host: h, needs: needs, until: now.Add(maxReservation)}
	h.used = h.used.Plus(needs)
	h.reserved = append(h.reserved, t)
}

// unreserve gives up the room that is kept for a task and returns its host, or nil.
func (p *Pool) unreserve(t *task) *host {
	r, ok := p.reservations[t]
	if !ok {
		return nil
	}
	delete(p.reservations, t)
	r.host.used = r.host.used.Minus(r.needs)
	for n, other := range r.host.reserved {
		if other == t {
			r.host.reserved = append(r.host.reserved[:n], r.host.reserved[n+1:]...)
			break
		}
	}
	return r.host
}

// expireReservations gives up the room of tasks that did not come in time or are not
// needed any more.
func (p *Pool) expireReservations(now time.Time) {
	for t, r := range p.reservations {
		if t.step.job.Ended() || now.After(r.until) || !r.host.listed {
			p.unreserve(t)
		}
	}
}

// reservedFor returns how many tasks of a step the host has room reserved for.
func (h *host) reservedFor(s *step) int {
	n := 0
	for _, t := range h.reserved {
		if t.step == s {
			n++
		}
	}
	return n
}
