package balance

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// HostView holds what the configuration and the live list say about a host.
type HostView struct {
	Name    string
	Address netip.AddrPort
	Pool    string
	// Share is the number of the host's slots that this entry host may use.
	Share        int
	MemoryGB     int
	Accelerators int
	InService    bool
	Leaving      bool
}

// Table holds all pools of one entry host.
type Table struct {
	mu    sync.RWMutex
	pools map[string]*Pool
	hosts map[string]*Host
	// replaced are hosts that were replaced while requests still ran on them.
	replaced []*Host
	position uint64
	seed     uint64
}

// NewTable creates an empty table. The seed determines the random choices.
func NewTable(seed uint64) *Table {
	return &Table{pools: map[string]*Pool{}, hosts: map[string]*Host{}, seed: seed}
}

// Pool returns a pool by name.
func (t *Table) Pool(name string) (*Pool, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p, ok := t.pools[name]
	return p, ok
}

// Position returns the log position on which all choices of hosts from now on are based.
func (t *Table) Position() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.position
}

// Update applies the views of all hosts as of a log position. Once it returns, no request is
// sent to a host on the basis of an older view.
func (t *Table) Update(views []HostView, position uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byPool := map[string][]HostView{}
	for _, v := range views {
		byPool[v.Pool] = append(byPool[v.Pool], v)
	}
	for name, p := range t.pools {
		if _, ok := byPool[name]; !ok {
			p.update(nil, t)
		}
	}
	for name, views := range byPool {
		p, ok := t.pools[name]
		if !ok {
			t.seed++
			p = newPool(rand.New(rand.NewPCG(t.seed, t.seed))) //nolint:gosec // Load balancing needs no secrecy.
			t.pools[name] = p
		}
		p.update(views, t)
	}
	t.position = position
}

// update replaces the pool's hosts. A host that stays keeps its counts. One that changes pool
// or address starts with new counts, and its running requests stay counted on the old one.
func (p *Pool) update(views []HostView, t *Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := map[string]*Host{}
	for _, h := range p.hosts {
		h.inService = false
		previous[h.Name] = h
	}
	p.hosts = nil
	p.capacity = 0
	for _, v := range views {
		h, ok := previous[v.Name]
		if !ok || h.Address != v.Address {
			h = &Host{Name: v.Name, Address: v.Address, pool: p}
		}
		h.share, h.memoryGB, h.accelerators = v.Share, v.MemoryGB, v.Accelerators
		h.inService, h.leaving = v.InService, v.Leaving
		p.hosts = append(p.hosts, h)
		if h.inService && !h.leaving {
			p.capacity += h.share
		}
		t.replace(h, p)
	}
}

// replace makes a host the current one of its name. The lock of pool p must be held.
func (t *Table) replace(h *Host, p *Pool) {
	old, ok := t.hosts[h.Name]
	t.hosts[h.Name] = h
	if !ok || old == h {
		return
	}
	if old.pool != p {
		old.pool.mu.Lock()
		defer old.pool.mu.Unlock()
	}
	if old.inFlight > 0 {
		t.replaced = append(t.replaced, old)
	}
}

// Busy returns those of the named hosts that run requests of this entry host, including
// requests begun while the host was in another pool.
func (t *Table) Busy(names []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replaced = slices.DeleteFunc(t.replaced, func(h *Host) bool { return h.running() == 0 })
	busy := []string{}
	for _, name := range names {
		busyReplaced := slices.ContainsFunc(t.replaced, func(h *Host) bool { return h.Name == name })
		if h, ok := t.hosts[name]; busyReplaced || ok && h.running() > 0 {
			busy = append(busy, name)
		}
	}
	return busy
}

// running returns the number of requests in flight on the host.
func (h *Host) running() int {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	return h.inFlight
}

// HostStats is one host's row in the state dump.
type HostStats struct {
	Host         string    `json:"host"`
	Pool         string    `json:"pool"`
	Share        int       `json:"share"`
	InFlight     int       `json:"in-flight"`
	InService    bool      `json:"in-service"`
	Leaving      bool      `json:"leaving"`
	FailureRate  float64   `json:"failure-rate"`
	EjectedUntil time.Time `json:"ejected-until,omitzero"`
}

// Stats returns a row for each host.
func (t *Table) Stats() []HostStats {
	t.mu.RLock()
	defer t.mu.RUnlock()
	rows := []HostStats{}
	for name, p := range t.pools {
		p.mu.Lock()
		for _, h := range p.hosts {
			rows = append(rows, HostStats{
				Host: h.Name, Pool: name, Share: h.share, InFlight: h.inFlight, InService: h.inService,
				Leaving: h.leaving, FailureRate: h.failureRate, EjectedUntil: h.ejectedUntil,
			})
		}
		p.mu.Unlock()
	}
	slices.SortFunc(rows, func(a, b HostStats) int { return strings.Compare(a.Host, b.Host) })
	return rows
}
