package state

import (
	"maps"
	"slices"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

func (s *State) foldMembers(at entry, members *wire.Members) error {
	d := s.dataCentre(at.record.GetDataCentre())
	if members.GetReplaces() != d.MembersSince {
		return refuse("the members of data centre %q have changed since", d.Name)
	}
	if len(members.GetEntryHosts()) == 0 {
		return refuse("data centre %q must keep a member", d.Name)
	}
	if d.MembersConfirmed() {
		d.FormerMembers = nil
	}
	d.FormerMembers = append(slices.Clone(d.FormerMembers), d.Members)
	d.Members = slices.Compact(slices.Sorted(slices.Values(members.GetEntryHosts())))
	d.MembersSince = at.offset
	kept := map[string]uint64{}
	for _, member := range d.Members {
		if offset, ok := d.Positions[member]; ok {
			kept[member] = offset
		}
	}
	d.Positions = kept
	s.setDataCentre(d)
	s.finishDrains(at, d)
	return nil
}

// foldPositions applies position reports and ends the drains that they confirm. A
// reported position lower than the known one is ignored.
func (s *State) foldPositions(at entry, positions *wire.Positions) error {
	d := s.dataCentre(at.record.GetDataCentre())
	d.Positions = maps.Clone(d.Positions)
	if d.Positions == nil {
		d.Positions = map[string]uint64{}
	}
	for _, p := range positions.GetEntries() {
		if !slices.Contains(d.Members, p.GetEntryHost()) {
			continue
		}
		d.Positions[p.GetEntryHost()] = max(d.Positions[p.GetEntryHost()], p.GetOffset())
		s.confirm(d, p)
	}
	s.setDataCentre(d)
	s.finishDrains(at, d)
	return nil
}

// confirm adds an entry host to the confirmations of each host whose phase it has read
// and on which it has no work left.
func (s *State) confirm(d DataCentre, p *wire.Position) {
	for _, name := range s.awaitingConfirmation(d) {
		h := s.Hosts[name]
		if p.GetOffset() <= h.Since || slices.Contains(p.GetBusy(), name) || slices.Contains(h.Confirmed, p.GetEntryHost()) {
			continue
		}
		h.Confirmed = slices.Sorted(slices.Values(append(slices.Clone(h.Confirmed), p.GetEntryHost())))
		s.setHost(h)
	}
}

// awaitingConfirmation lists the hosts of a data centre whose phase its members must confirm.
func (s *State) awaitingConfirmation(d DataCentre) []string {
	names := []string{}
	for name, h := range s.Hosts {
		if (h.Phase == Draining || h.Phase == Released) && s.Document.Hosts[name].DataCentre == d.Name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// AwaitingConfirmation lists the hosts of a data centre whose phase its members must confirm.
func (s *State) AwaitingConfirmation(dataCentre string) []string {
	return s.awaitingConfirmation(s.dataCentre(dataCentre))
}

// finishDrains moves each draining host that all members have confirmed to the phase
// Drained.
func (s *State) finishDrains(at entry, d DataCentre) {
	for _, name := range s.awaitingConfirmation(d) {
		h := s.Hosts[name]
		if h.Phase == Draining && len(s.unconfirmed(h)) == 0 {
			s.setHost(h.enter(Drained, at))
		}
	}
}

func (s *State) foldContact(at entry, contact *wire.Contact) error {
	if contact.GetLost() && contact.GetDataCentre() == at.record.GetDataCentre() {
		return refuse("a data centre can't declare itself lost")
	}
	d, ok := s.DataCentres[contact.GetDataCentre()]
	if !ok {
		return refuse("data centre %q is not known", contact.GetDataCentre())
	}
	if d.Lost == contact.GetLost() {
		return refuse("data centre %q is in that state already", d.Name)
	}
	d.Lost = contact.GetLost()
	s.setDataCentre(d)
	return nil
}

func (s *State) foldHalt(halt *wire.Halt) error {
	d, ok := s.DataCentres[halt.GetDataCentre()]
	if !ok {
		return refuse("data centre %q is not known", halt.GetDataCentre())
	}
	if d.Halted == halt.GetHalted() {
		return refuse("maintenance of data centre %q is in that state already", d.Name)
	}
	d.Halted = halt.GetHalted()
	s.setDataCentre(d)
	return nil
}
