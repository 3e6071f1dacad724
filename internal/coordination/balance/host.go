// Package balance picks the host of a pool for a request, counts the requests in flight on
// each host, and ejects hosts that fail.
package balance

import (
	"net/netip"
	"time"
)

const (
	// failureWeight is the weight of the newest result in a host's failure rate, a moving average.
	failureWeight = 0.2
	// failurePenalty is the factor by which the failure rate raises a host's load score.
	failurePenalty = 8
	// ejectRate is the failure rate from which a host may be ejected.
	ejectRate = 0.6
	// ejectMargin is how far a host's failure rate must exceed the mean of the other hosts of
	// its pool, so that a caller whose requests fail everywhere ejects no hosts.
	ejectMargin = 0.3
	// minResults is the number of results from which a host's failure rate counts.
	minResults = 5
	// firstEjection and maxEjection bound the duration of an ejection, which doubles each time.
	firstEjection = 2 * time.Second
	maxEjection   = time.Minute
	// probationSlots is the number of slots of a host after an ejection until a request to it
	// succeeds.
	probationSlots = 1
	// leavingTTL is how long a host's own announcement that it leaves is valid without
	// confirmation by the live list or a drain.
	leavingTTL = 30 * time.Second
)

// Host is an upstream host as used by this entry host. Its pool's lock guards it.
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
	// onProbation is set from an ejection until a request to the host succeeds.
	onProbation bool
	// leavingUntil is the time until which the host's own announcement that it leaves is valid.
	leavingUntil time.Time
	// lastResult is when the last attempt on the host ended, with or without an answer.
	lastResult time.Time
}

// Requirements holds the requirements of a request on its host.
type Requirements struct {
	MemoryGB     int
	Accelerators int
}

func (h *Host) fits(r Requirements) bool {
	return h.memoryGB >= r.MemoryGB && h.accelerators >= r.Accelerators
}

// freeSlots returns the number of slots that may be reserved now.
func (h *Host) freeSlots(now time.Time) int {
	if !h.inService || h.leaving || now.Before(h.ejectedUntil) || now.Before(h.leavingUntil) {
		return 0
	}
	share := h.share
	if h.onProbation {
		share = min(share, probationSlots)
	}
	return share - h.inFlight
}

// loadScore returns the host's utilisation weighted by its failure rate; lower is better.
func (h *Host) loadScore() float64 {
	return float64(h.inFlight+1) / float64(max(h.share, 1)) * (1 + failurePenalty*h.failureRate)
}

// updateFailureRate updates the failure rate, and ends the host's probation on success.
func (h *Host) updateFailureRate(failed bool) {
	result := 0.0
	if failed {
		result = 1
	}
	h.failureRate += failureWeight * (result - h.failureRate)
	h.results++
	if !failed {
		h.onProbation = false
		if h.failureRate < ejectRate/4 {
			h.ejections = 0
		}
	}
}

// eject excludes the host for a duration that doubles with each ejection.
func (h *Host) eject(now time.Time) {
	duration := min(firstEjection<<min(h.ejections, 10), maxEjection)
	h.ejections++
	h.ejectedUntil = now.Add(duration)
	h.onProbation = true
	h.results = 0
}
