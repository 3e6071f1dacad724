package state

import (
	"maps"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
)

// Phase is where a host stands in its maintenance or move.
type Phase string

const (
	// InService hosts take work.
	InService Phase = "in-service"
	// Draining hosts take no new work and finish what they have.
	Draining Phase = "draining"
	// Drained hosts have no work, as all entry hosts of the data centre confirmed.
	Drained Phase = "drained"
	// Rebooting hosts were drained and are being rebooted.
	Rebooting Phase = "rebooting"
	// Failed hosts went away unplanned.
	Failed Phase = "failed"
	// Released hosts have left their pool and wait to be attached to another.
	Released Phase = "released"
)

// Purpose is what a drain is for.
type Purpose string

const (
	// Hold leaves the drained host to the operator.
	Hold Purpose = "hold"
	// Reboot reboots the drained host and returns it.
	Reboot Purpose = "reboot"
	// Move attaches the drained host to another pool.
	Move Purpose = "move"
	// Lend attaches the drained host to another pool for a while; its home stays.
	Lend Purpose = "lend"
)

// Host is what the fold knows of a host.
type Host struct {
	Name string
	// Pool is empty while the host moves.
	Pool string
	// Home is the pool that the host belongs to when it is not lent.
	Home  string
	Phase Phase
	// Since is the offset of the record that began the phase.
	Since uint64
	// SinceTime is the clock of that record's writer, for people and planners.
	SinceTime time.Time
	// Then is what the drain is for.
	Then Purpose
	// ToPool is where a host that moves goes.
	ToPool string
	// Maintained is when the host last came back from a reboot.
	Maintained time.Time
	// Confirmed lists the entry hosts that have followed the phase and hold no work there.
	Confirmed []string
}

// Declared is the host's part of the document.
func (s *State) Declared(name string) fleet.Host {
	return s.Document.Hosts[name]
}

// HostNames lists all hosts in order.
func (s *State) HostNames() []string {
	return slices.Sorted(maps.Keys(s.Hosts))
}

func (s *State) setHost(h Host) {
	s.Hosts = maps.Clone(s.Hosts)
	s.Hosts[h.Name] = h
}

// enter begins a phase at the record being folded.
func (h Host) enter(phase Phase, at entry) Host {
	h.Phase = phase
	h.Since = at.offset
	h.SinceTime = at.written()
	h.Confirmed = nil
	return h
}

// backInService ends a maintenance or a move.
func (h Host) backInService(at entry) Host {
	h.Then = ""
	h.ToPool = ""
	return h.enter(InService, at)
}
