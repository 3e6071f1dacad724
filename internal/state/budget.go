package state

import (
	"fmt"
	"slices"

	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
)

// Availability is the capacity of a pool's hosts that are in service. Members counts all its
// hosts, and UnavailableRacks the hosts out of service in each rack.
type Availability struct {
	Members          int
	AvailableHosts   int
	Slots            int
	Processors       int
	MemoryGB         int
	Accelerators     int
	UnavailableRacks map[string]int
}

// Unavailable returns the number of member hosts out of service.
func (a Availability) Unavailable() int {
	return a.Members - a.AvailableHosts
}

// Availability returns the availability of a pool. Hosts that are draining, drained,
// rebooting, failed or in a lost data centre are out of service.
func (s *State) Availability(pool string) Availability {
	a := Availability{}
	for _, h := range s.Hosts {
		if h.Pool == pool {
			s.count(&a, h)
		}
	}
	return a
}

// Availabilities returns the availability of all pools in one pass over the hosts.
func (s *State) Availabilities() map[string]Availability {
	all := make(map[string]Availability, len(s.Document.Pools))
	for _, h := range s.Hosts {
		a := all[h.Pool]
		s.count(&a, h)
		all[h.Pool] = a
	}
	return all
}

func (s *State) count(a *Availability, h Host) {
	declared := s.Document.Hosts[h.Name]
	a.Members++
	if h.Phase == InService && !s.DataCentres[declared.DataCentre].Lost {
		a.add(declared, 1)
		return
	}
	if a.UnavailableRacks == nil {
		a.UnavailableRacks = map[string]int{}
	}
	a.UnavailableRacks[RackOf(declared)]++
}

// Without returns the availability after a host that is in service leaves service.
func (a Availability) Without(h fleet.Host) Availability {
	racks := make(map[string]int, len(a.UnavailableRacks)+1)
	for rack, count := range a.UnavailableRacks {
		racks[rack] = count
	}
	racks[RackOf(h)]++
	a.UnavailableRacks = racks
	a.add(h, -1)
	return a
}

func (a *Availability) add(h fleet.Host, sign int) {
	a.AvailableHosts += sign
	a.Slots += sign * h.Slots
	a.Processors += sign * h.Processors
	a.MemoryGB += sign * h.MemoryGB
	a.Accelerators += sign * h.Accelerators
}

// RackOf returns a name for a host's rack that is unique in the fleet: racks of two data
// centres may share a name.
func RackOf(h fleet.Host) string {
	return h.DataCentre + "/" + h.Rack
}

// Breach describes the first bound of the budget that is violated, or returns "" if none
// is. The text goes into refusals, which are stored.
func (a Availability) Breach(b fleet.Budget) string {
	for _, bound := range []struct {
		name      string
		have, min int
	}{
		{"min-available-hosts", a.AvailableHosts, b.MinAvailableHosts},
		{"min-available-slots", a.Slots, b.MinAvailableSlots},
		{"min-available-processors", a.Processors, b.MinAvailableProcessors},
		{"min-available-memory-gb", a.MemoryGB, b.MinAvailableMemoryGB},
		{"min-available-accelerators", a.Accelerators, b.MinAvailableAccelerators},
	} {
		if bound.have < bound.min {
			return fmt.Sprintf("%s is %d and %d would be left", bound.name, bound.min, bound.have)
		}
	}
	if b.MaxUnavailableHosts > 0 && a.Unavailable() > b.MaxUnavailableHosts {
		return fmt.Sprintf("max-unavailable-hosts is %d and %d would be out", b.MaxUnavailableHosts, a.Unavailable())
	}
	if b.MaxUnavailableRacks > 0 && len(a.UnavailableRacks) > b.MaxUnavailableRacks {
		return fmt.Sprintf("max-unavailable-racks is %d and %d would be touched", b.MaxUnavailableRacks, len(a.UnavailableRacks))
	}
	return ""
}

// DisruptionsAllowed returns how many more hosts, the largest first, may leave service within
// the pool's budget.
func (s *State) DisruptionsAllowed(pool string) int {
	budget := s.Document.Pools[pool].Budget
	a := s.Availability(pool)
	n := 0
	for _, h := range s.bySlots(pool) {
		a = a.Without(h)
		if a.Breach(budget) != "" {
			return n
		}
		n++
	}
	return n
}

// bySlots lists the hosts of a pool in service, those with the most slots first.
func (s *State) bySlots(pool string) []fleet.Host {
	hosts := []fleet.Host{}
	for _, name := range s.HostNames() {
		declared := s.Document.Hosts[name]
		if s.Hosts[name].Pool == pool && s.Hosts[name].Phase == InService && !s.DataCentres[declared.DataCentre].Lost {
			hosts = append(hosts, declared)
		}
	}
	slices.SortStableFunc(hosts, func(a, b fleet.Host) int { return b.Slots - a.Slots })
	return hosts
}
