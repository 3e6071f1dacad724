package state

import (
	"maps"
	"slices"
)

// DataCentre is the folded state of a data centre and its entry hosts.
type DataCentre struct {
	Name string
	// Members are the entry hosts that may dispatch, sorted.
	Members []string
	// FormerMembers holds the earlier sets of members that some member may still act on. It
	// is to be ignored once MembersConfirmed returns true.
	FormerMembers [][]string
	// MembersSince is the offset of the record that set Members.
	MembersSince uint64
	// Lost is set while the data centre is out of contact.
	Lost bool
	// Halted is set while its maintenance is stopped.
	Halted bool
	// Positions holds the highest position that each member has reported.
	Positions map[string]uint64
}

// MembersConfirmed reports whether every member has read the record that set Members.
func (d DataCentre) MembersConfirmed() bool {
	for _, member := range d.Members {
		if d.Positions[member] <= d.MembersSince {
			return false
		}
	}
	return true
}

// DataCentreNames returns the names of all known data centres, sorted.
func (s *State) DataCentreNames() []string {
	return slices.Sorted(maps.Keys(s.DataCentres))
}

func (s *State) dataCentre(name string) DataCentre {
	d, ok := s.DataCentres[name]
	if !ok {
		d = DataCentre{Name: name}
	}
	return d
}

func (s *State) setDataCentre(d DataCentre) {
	s.DataCentres = maps.Clone(s.DataCentres)
	s.DataCentres[d.Name] = d
}
