package state

import (
	"maps"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// naive is a reference model of the fold. It replays a whole history from the start and
// changes its state in place. It has no snapshots and need not make its checks in the
// fold's order.
type naive struct {
	version      uint64
	config       []byte
	document     *fleet.Document
	hosts        map[string]*naiveHost
	members      map[string][]string
	membersSince map[string]uint64
	offsets      map[string]uint64
	lost         map[string]bool
	halted       map[string]bool
	accepted     map[string]bool
}

type naiveHost struct {
	pool, toPool, purpose string
	phase                 Phase
	since                 uint64
	confirmed             map[string]bool
}

// replay returns the model after a history; records with a repeated id are skipped.
func replay(history []*wire.Record) *naive {
	n := &naive{
		config: []byte("{}"), document: &fleet.Document{}, hosts: map[string]*naiveHost{}, members: map[string][]string{},
		membersSince: map[string]uint64{}, offsets: map[string]uint64{}, lost: map[string]bool{}, halted: map[string]bool{},
		accepted: map[string]bool{},
	}
	for offset, r := range history {
		if _, seen := n.accepted[r.GetId()]; seen {
			continue
		}
		n.accepted[r.GetId()] = n.step(uint64(offset), r)
	}
	return n
}

// step applies one record and reports whether it is accepted.
func (n *naive) step(at uint64, r *wire.Record) bool {
	switch {
	case r.GetPatch() != nil:
		return n.patch(at, r.GetPatch())
	case r.GetDrain() != nil:
		return n.drain(at, r.GetDrain())
	case r.GetReboot() != nil:
		h := n.match(r.GetReboot(), Drained)
		return h != nil && n.document.Hosts[r.GetReboot().GetHost()].DataCentre == r.GetDataCentre() && h.enter(Rebooting, at)
	case r.GetReturnHost() != nil:
		h := n.match(r.GetReturnHost(), Draining, Drained, Rebooting)
		return h != nil && h.returnToService(at)
	case r.GetFail() != nil:
		h := n.match(r.GetFail(), InService, Draining, Drained, Rebooting)
		if h == nil {
			return false
		}
		h.purpose, h.toPool = "", ""
		return h.enter(Failed, at)
	case r.GetRecover() != nil:
		h := n.match(r.GetRecover(), Failed)
		return h != nil && h.returnToService(at)
	case r.GetRelease() != nil:
		return n.release(at, r.GetRelease())
	case r.GetAttach() != nil:
		return n.attach(at, r.GetAttach())
	case r.GetPositions() != nil:
		n.positions(at, r)
		return true
	case r.GetMembers() != nil:
		return n.setMembers(at, r)
	case r.GetContact() != nil:
		name := r.GetContact().GetDataCentre()
		if r.GetContact().GetLost() && name == r.GetDataCentre() || n.members[name] == nil || n.lost[name] == r.GetContact().GetLost() {
			return false
		}
		n.lost[name] = r.GetContact().GetLost()
		return true
	case r.GetHalt() != nil:
		name := r.GetHalt().GetDataCentre()
		if n.members[name] == nil || n.halted[name] == r.GetHalt().GetHalted() {
			return false
		}
		n.halted[name] = r.GetHalt().GetHalted()
		return true
	}
	return false
}

func (h *naiveHost) enter(phase Phase, at uint64) bool {
	h.phase, h.since, h.confirmed = phase, at, map[string]bool{}
	return true
}

func (h *naiveHost) returnToService(at uint64) bool {
	h.purpose, h.toPool = "", ""
	return h.enter(InService, at)
}

// match returns the host of an action, or nil if its phase does not allow the action.
func (n *naive) match(a *wire.HostAction, phases ...Phase) *naiveHost {
	h := n.hosts[a.GetHost()]
	if h == nil || a.GetSince() != 0 && a.GetSince() != h.since || !slices.Contains(phases, h.phase) {
		return nil
	}
	return h
}

func (n *naive) drain(at uint64, a *wire.HostAction) bool {
	h := n.match(a, InService)
	if h == nil || n.lost[n.document.Hosts[a.GetHost()].DataCentre] {
		return false
	}
	moves := a.GetThen() == "move" || a.GetThen() == "lend"
	if moves && (n.document.Pools[a.GetToPool()] == (fleet.Pool{}) && !n.hasPool(a.GetToPool()) || a.GetToPool() == h.pool) {
		return false
	}
	hosts, slots, out, racks := 0, 0, 0, map[string]bool{}
	for name, other := range n.hosts {
		d := n.document.Hosts[name]
		switch {
		case other.pool != h.pool:
		case other == h || other.phase != InService || n.lost[d.DataCentre]:
			out++
			racks[d.DataCentre+d.Rack] = true
		default:
			hosts++
			slots += d.Slots
		}
	}
	b := n.document.Pools[h.pool].Budget
	if hosts < b.MinAvailableHosts || slots < b.MinAvailableSlots ||
		b.MaxUnavailableHosts > 0 && out > b.MaxUnavailableHosts ||
		b.MaxUnavailableRacks > 0 && len(racks) > b.MaxUnavailableRacks {
		return false
	}
	h.purpose, h.toPool = a.GetThen(), ""
	if moves {
		h.toPool = a.GetToPool()
	}
	return h.enter(Draining, at)
}

func (n *naive) hasPool(name string) bool {
	_, ok := n.document.Pools[name]
	return ok
}

func (n *naive) release(at uint64, r *wire.Release) bool {
	h := n.match(&wire.HostAction{Host: r.GetHost()}, Drained, Released)
	if h == nil || !n.hasPool(r.GetToPool()) || h.pool == r.GetToPool() {
		return false
	}
	h.pool, h.toPool = "", r.GetToPool()
	return h.enter(Released, at)
}

// allConfirmed reports whether all members of the host's data centre have confirmed its phase.
func (n *naive) allConfirmed(name string, h *naiveHost) bool {
	members := n.members[n.document.Hosts[name].DataCentre]
	for _, m := range members {
		if !h.confirmed[m] {
			return false
		}
	}
	return len(members) > 0
}

func (n *naive) attach(at uint64, a *wire.HostAction) bool {
	h := n.match(a, Released)
	if h == nil || !n.allConfirmed(a.GetHost(), h) || !n.hasPool(h.toPool) {
		return false
	}
	h.pool = h.toPool
	d := n.document.Hosts[a.GetHost()]
	d.Pool = h.pool
	n.document.Hosts[a.GetHost()] = d
	merged, err := jsonpatch.MergePatch(n.config, []byte(`{"hosts":{"`+a.GetHost()+`":{"pool":"`+h.pool+`"}}}`))
	if err != nil {
		return false
	}
	n.config = merged
	n.version++
	return h.returnToService(at)
}

func (n *naive) positions(at uint64, r *wire.Record) {
	dc := r.GetDataCentre()
	for _, p := range r.GetPositions().GetEntries() {
		if !slices.Contains(n.members[dc], p.GetEntryHost()) {
			continue
		}
		for name, h := range n.hosts {
			waits := h.phase == Draining || h.phase == Released
			if waits && n.document.Hosts[name].DataCentre == dc && p.GetOffset() > h.since && !slices.Contains(p.GetBusy(), name) {
				h.confirmed[p.GetEntryHost()] = true
			}
		}
	}
	n.finishDrains(at, dc)
}

// finishDrains marks confirmed draining hosts of a data centre as drained.
func (n *naive) finishDrains(at uint64, dc string) {
	for name, h := range n.hosts {
		if h.phase == Draining && n.document.Hosts[name].DataCentre == dc && n.allConfirmed(name, h) {
			h.enter(Drained, at)
		}
	}
}

func (n *naive) setMembers(at uint64, r *wire.Record) bool {
	dc := r.GetDataCentre()
	if r.GetMembers().GetReplaces() != n.membersSince[dc] || len(r.GetMembers().GetEntryHosts()) == 0 {
		return false
	}
	n.members[dc] = r.GetMembers().GetEntryHosts()
	n.membersSince[dc] = at
	n.finishDrains(at, dc)
	return true
}

func (n *naive) patch(at uint64, p *wire.Patch) bool {
	if p.GetBaseVersion() != n.version {
		return false
	}
	merged, err := jsonpatch.MergePatch(n.config, p.GetDocument())
	if err != nil {
		return false
	}
	document, err := fleet.Parse(merged)
	if err != nil {
		return false
	}
	hosts := maps.Clone(n.hosts)
	for name, h := range n.hosts {
		after, kept := document.Hosts[name]
		before := n.document.Hosts[name]
		switch {
		case !kept && h.phase != Drained && h.phase != Failed:
			return false
		case !kept:
			delete(hosts, name)
		case after.Pool != before.Pool || after.DataCentre != before.DataCentre || after.Rack != before.Rack:
			return false
		}
	}
	for name, d := range document.Hosts {
		if hosts[name] == nil {
			hosts[name] = &naiveHost{pool: d.Pool, phase: InService, since: at, confirmed: map[string]bool{}}
		}
	}
	for pool, declared := range document.Pools {
		count := 0
		for _, h := range hosts {
			if h.pool == pool {
				count++
			}
		}
		if count > 0 && declared.Budget.MinAvailableHosts > count {
			return false
		}
	}
	for _, h := range hosts {
		if _, ok := document.Pools[h.pool]; !ok && h.phase != Released {
			return false
		}
	}
	n.hosts, n.document, n.config = hosts, document, merged
	n.version++
	return true
}
