package balance

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// sampleSize is the number of random hosts that are tried before all hosts are.
	sampleSize = 3
	// maxEjectedShare is the part of a pool's hosts that may be ejected at the same time.
	maxEjectedShare = 1.0 / 3
)

// Pool holds the hosts of one pool that this entry host may use.
type Pool struct {
	mu       sync.Mutex
	hosts    []*Host
	random   *rand.Rand
	capacity int
	inFlight int
}

func newPool(random *rand.Rand) *Pool {
	return &Pool{random: random}
}

// Reserve takes a slot of the least loaded of a few random hosts or, if none of them has a
// free slot, of the least loaded of all hosts. It never picks avoid.
func (p *Pool) Reserve(r Requirements, avoid *Host, now time.Time) (*Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.sample(r, avoid, now)
	if best == nil {
		best = p.scan(r, avoid, now)
	}
	if best == nil {
		return nil, false
	}
	best.inFlight++
	p.inFlight++
	return best, true
}

// sample returns the least loaded suitable host of a random sample, or nil if there is none.
func (p *Pool) sample(r Requirements, avoid *Host, now time.Time) *Host {
	if len(p.hosts) == 0 {
		return nil
	}
	var best *Host
	for range sampleSize {
		h := p.hosts[p.random.IntN(len(p.hosts))]
		if h == avoid || h.freeSlots(now) <= 0 || !h.fits(r) {
			continue
		}
		if best == nil || h.loadScore() < best.loadScore() {
			best = h
		}
	}
	return best
}

// scan returns the least loaded suitable host of the pool, or nil if there is none.
func (p *Pool) scan(r Requirements, avoid *Host, now time.Time) *Host {
	var best *Host
	for _, h := range p.hosts {
		if h == avoid || h.freeSlots(now) <= 0 || !h.fits(r) {
			continue
		}
		if best == nil || h.loadScore() < best.loadScore() {
			best = h
		}
	}
	return best
}

// Release frees a slot once the work in it has stopped.
func (h *Host) Release() {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	h.inFlight--
	p.inFlight--
	if h.inFlight < 0 || p.inFlight < 0 {
		panic("a slot was freed twice on host " + h.Name)
	}
}

// RecordResult records the result of a request, and ejects the host if it fails much more
// often than the other hosts of its pool.
func (h *Host) RecordResult(failed bool, now time.Time) (ejected bool) {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	h.lastResult = now
	if now.Before(h.ejectedUntil) {
		// Requests begun before the ejection give no new information about the host.
		return false
	}
	h.updateFailureRate(failed)
	if h.results < minResults || h.failureRate < ejectRate || h.failureRate < p.othersRate(h)+ejectMargin {
		return false
	}
	if float64(p.ejected(now)+1) > maxEjectedShare*float64(len(p.hosts)) {
		return false
	}
	h.eject(now)
	return true
}

// othersRate returns the mean failure rate of a host's pool without the host itself.
func (p *Pool) othersRate(h *Host) float64 {
	sum, n := 0.0, 0
	for _, other := range p.hosts {
		if other != h {
			sum += other.failureRate
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// ejected counts the hosts that are ejected now.
func (p *Pool) ejected(now time.Time) int {
	n := 0
	for _, h := range p.hosts {
		if now.Before(h.ejectedUntil) {
			n++
		}
	}
	return n
}

// Capacity returns the number of slots that this entry host may use in the pool.
func (p *Pool) Capacity() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.capacity
}

// Free returns the number of slots that are not in use.
func (p *Pool) Free() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.capacity-p.inFlight, 0)
}

// MarkLeaving records a host's own announcement that it leaves.
func (h *Host) MarkLeaving(now time.Time) {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.leavingUntil = now.Add(leavingTTL)
}

// AnsweredSince reports whether an attempt on the host has ended after t, with or without
// an answer.
func (h *Host) AnsweredSince(t time.Time) bool {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	return h.lastResult.After(t)
}
