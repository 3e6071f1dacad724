package balance

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// samples is how many hosts are looked at before all are.
	samples = 3
	// maxEjected is the part of a pool that may be ejected at once.
	maxEjected = 1.0 / 3
)

// Pool is the hosts of one pool that this entry host may use.
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

// Reserve takes a slot of the least loaded of a few hosts, or of any that has room.
func (p *Pool) Reserve(n Needs, avoid *Host, now time.Time) (*Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.sample(n, avoid, now)
	if best == nil {
		best = p.scan(n, avoid, now)
	}
	if best == nil {
		return nil, false
	}
	best.inFlight++
	p.inFlight++
	return best, true
}

func (p *Pool) sample(n Needs, avoid *Host, now time.Time) *Host {
	if len(p.hosts) == 0 {
		return nil
	}
	var best *Host
	for range samples {
		h := p.hosts[p.random.IntN(len(p.hosts))]
		if h == avoid || h.room(now) <= 0 || !h.fits(n) {
			continue
		}
		if best == nil || h.load() < best.load() {
			best = h
		}
	}
	return best
}

func (p *Pool) scan(n Needs, avoid *Host, now time.Time) *Host {
	var best *Host
	for _, h := range p.hosts {
		if h == avoid || h.room(now) <= 0 || !h.fits(n) {
			continue
		}
		if best == nil || h.load() < best.load() {
			best = h
		}
	}
	return best
}

// Release gives a slot back once the work in it has stopped.
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

// Note takes the result of a request and ejects a host that fails much more
// than its pool.
func (h *Host) Note(failed bool, now time.Time) (ejected bool) {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	h.lastAnswer = now
	if now.Before(h.ejectedUntil) {
		// What was under way when the host was ejected says nothing new.
		return false
	}
	h.note(failed)
	if h.results < minResults || h.failureRate < ejectAbove || h.failureRate < p.othersRate(h)+ejectOverPool {
		return false
	}
	if float64(p.ejected(now)+1) > maxEjected*float64(len(p.hosts)) {
		return false
	}
	h.eject(now)
	return true
}

// othersRate is the mean failure rate of the other hosts.
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

func (p *Pool) ejected(now time.Time) int {
	n := 0
	for _, h := range p.hosts {
		if now.Before(h.ejectedUntil) {
			n++
		}
	}
	return n
}

// Capacity is the sum of the slots this entry host may use.
func (p *Pool) Capacity() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.capacity
}

// Free is the part of the capacity that is not in use.
func (p *Pool) Free() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.capacity-p.inFlight, 0)
}

// MarkLeaving believes a host's own word that it leaves.
func (h *Host) MarkLeaving(now time.Time) {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.leavingUntil = now.Add(leavingTime)
}

// AnsweredSince tells whether the host answered anything after a time.
func (h *Host) AnsweredSince(t time.Time) bool {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	return h.lastAnswer.After(t)
}
