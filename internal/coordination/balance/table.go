package balance

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// HostView is what the configuration and the live list say of a host.
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
	// lingering are hosts that were replaced while they still ran work.
	lingering []*Host
	position  uint64
	seed      uint64
}

// NewTable makes an empty table; the seed steers the random choices.
func NewTable(seed uint64) *Table {
	return &Table{pools: map[string]*Pool{}, hosts: map[string]*Host{}, seed: seed}
}

// Pool finds a pool.
func (t *Table) Pool(name string) (*Pool, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p, ok := t.pools[name]
	return p, ok
}

// Position is the log position that all choices made from now on follow.
func (t *Table) Position() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.position
}

// Update takes the views of all hosts as of a log position. Once it returns,
// no new work goes to a host by an older view.
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

// update replaces the pool's hosts. A host that stays keeps its counts; one
// that changes pool or address starts anew, and what still runs counts on the
// old one.
func (p *Pool) update(views []HostView, t *Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := map[string]*Host{}
	for _, h := range p.hosts {
		h.inService = false
		kept[h.Name] = h
	}
	p.hosts = nil
	p.capacity = 0
	for _, v := range views {
		h, ok := kept[v.Name]
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

// replace makes a host the current one of its name; the lock of pool p is held.
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
		t.lingering = append(t.lingering, old)
	}
}

// Busy lists those of the named hosts that run work of this entry host. It
// includes work begun while the host was in another pool.
func (t *Table) Busy(names []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lingering = slices.DeleteFunc(t.lingering, func(h *Host) bool { return h.running() == 0 })
	busy := []string{}
	for _, name := range names {
		lingers := slices.ContainsFunc(t.lingering, func(h *Host) bool { return h.Name == name })
		if h, ok := t.hosts[name]; lingers || ok && h.running() > 0 {
			busy = append(busy, name)
		}
	}
	return busy
}

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

// Stats gives a row for each host.
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
