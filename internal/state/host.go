package state

import (
	"maps"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
)

// Phase is the stage of a host's maintenance, move or failure.
type Phase string

const (
	// InService hosts accept work.
	InService Phase = "in-service"
	// Draining hosts accept no new work and finish the work they have.
	Draining Phase = "draining"
	// Drained hosts have no work; all entry hosts of the data centre have confirmed it.
	Drained Phase = "drained"
	// Rebooting hosts were drained and are being rebooted.
	Rebooting Phase = "rebooting"
	// Failed hosts went down unplanned.
	Failed Phase = "failed"
	// Released hosts have left their pool and are not yet attached to another.
	Released Phase = "released"
)

// Purpose is what a drain is for.
type Purpose string

const (
	// Hold keeps the host drained until an operator returns or moves it.
	Hold Purpose = "hold"
	// Reboot reboots the drained host and returns it.
	Reboot Purpose = "reboot"
	// Move attaches the drained host to another pool.
	Move Purpose = "move"
	// Lend attaches the drained host to another pool temporarily; its home pool stays the same.
	Lend Purpose = "lend"
)

// Host is the folded state of a host.
type Host struct {
	Name string
	// Pool is empty while the host is released.
	Pool string
	// Home is the pool that the host belongs to when it is not lent to another.
	Home  string
	Phase Phase
	// Since is the offset of the record that began the phase.
	Since uint64
	// SinceTime is when that record was written, by its author's clock; it is for operators
	// and planners only.
	SinceTime time.Time
	// Purpose is what the drain is for.
	Purpose Purpose
	// ToPool is the pool that the host is moving to.
	ToPool string
	// MaintainedAt is when the host last returned from a planned reboot, or was first declared.
	MaintainedAt time.Time
	// Confirmed lists the entry hosts that have read the record of the phase and have no
	// work left on the host.
	Confirmed []string
}

// Declared returns the declaration of a host in the document.
func (s *State) Declared(name string) fleet.Host {
	return s.Document.Hosts[name]
}

// HostNames returns the names of all hosts, sorted.
func (s *State) HostNames() []string {
	return slices.Sorted(maps.Keys(s.Hosts))
}

func (s *State) setHost(h Host) {
	s.Hosts = maps.Clone(s.Hosts)
	s.Hosts[h.Name] = h
}

// enter returns the host in a phase that begins with the record being folded.
func (h Host) enter(phase Phase, at entry) Host {
	h.Phase = phase
	h.Since = at.offset
	h.SinceTime = at.written()
	h.Confirmed = nil
	return h
}

// returnToService returns the host in service, with no drain pending.
func (h Host) returnToService(at entry) Host {
	h.Purpose = ""
	h.ToPool = ""
	return h.enter(InService, at)
}
