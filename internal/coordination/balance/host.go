// Package balance picks the host for a request among those of a pool, counts
// what runs where, and keeps work away from hosts that fail.
package balance

import (
	"net/netip"
	"time"
)

const (
	// failureWeight is how much the newest result counts in a host's failure rate.
	failureWeight = 0.2
	// failurePenalty makes a failing host look that much busier.
	failurePenalty = 8
	// ejectAbove is the failure rate from which a host may be ejected.
	ejectAbove = 0.6
	// ejectOverPool is how much worse than its pool a host must be, so that a
	// bad caller, who fails everywhere, ejects nobody.
	ejectOverPool = 0.3
	// minResults is how many results a host's failure rate needs to count.
	minResults = 5
	// firstEjection and longestEjection bound how long a host is left out.
	firstEjection   = 2 * time.Second
	longestEjection = time.Minute
	// returnShare is the number of slots of a host that comes back from an
	// ejection until it has answered well again.
	returnShare = 1
	// leavingTime is how long a host's own word that it leaves is believed
	// without the live list or a drain saying so too.
	leavingTime = 30 * time.Second
)

// Host is one upstream host as this entry host uses it. Its pool's lock guards it.
type Host struct {
	Name    string
	Address netip.AddrPort

	pool         *Pool
	share        int
	memoryGB     int
	accelerators int
	inService    bool
	leaving      bool

	inFlight     int
	failureRate  float64
	results      int
	ejections    int
	ejectedUntil time.Time
	onTrial      bool
	// leavingUntil is how long the host's own word that it leaves is believed.
	leavingUntil time.Time
	// lastAnswer is when the host last answered anything.
	lastAnswer time.Time
}

// Needs is what one request asks of its host.
type Needs struct {
	MemoryGB     int
	Accelerators int
}

func (h *Host) fits(n Needs) bool {
	return h.memoryGB >= n.MemoryGB && h.accelerators >= n.Accelerators
}

// room is the number of slots that may be taken now.
func (h *Host) room(now time.Time) int {
	if !h.inService || h.leaving || now.Before(h.ejectedUntil) || now.Before(h.leavingUntil) {
		return 0
	}
	share := h.share
	if h.onTrial {
		share = min(share, returnShare)
	}
	return share - h.inFlight
}

// load is lower for a better choice.
func (h *Host) load() float64 {
	return float64(h.inFlight+1) / float64(max(h.share, 1)) * (1 + failurePenalty*h.failureRate)
}

func (h *Host) note(failed bool) {
	result := 0.0
	if failed {
		result = 1
	}
	h.failureRate += failureWeight * (result - h.failureRate)
	h.results++
	if !failed {
		h.onTrial = false
		if h.failureRate < ejectAbove/4 {
			h.ejections = 0
		}
	}
}

func (h *Host) eject(now time.Time) {
	length := min(firstEjection<<min(h.ejections, 10), longestEjection)
	h.ejections++
	h.ejectedUntil = now.Add(length)
	h.onTrial = true
	h.results = 0
}
