package state

import (
	"maps"
	"slices"
)

// DataCentre is what the fold knows of a data centre's entry hosts.
type DataCentre struct {
	Name string
	// Members are the entry hosts that may dispatch, in order.
	Members []string
	// Former are earlier sets of members that some member may still act by.
	Former [][]string
	// MembersSince is the offset of the record that set Members.
	MembersSince uint64
	// Lost is set while the data centre is out of contact.
	Lost bool
	// Halted is set while its maintenance is stopped.
	Halted bool
	// Positions gives for each member the offset it reported last.
	Positions map[string]uint64
}

// MembersConfirmed tells whether every member has followed the last change of members.
func (d DataCentre) MembersConfirmed() bool {
	for _, member := range d.Members {
		if d.Positions[member] <= d.MembersSince {
			return false
		}
	}
	return true
}

// DataCentreNames lists all known data centres in order.
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
