package state

import (
	"maps"
	"slices"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// restore collects offers of states after the log lost records. The offer that opens a
// round suspends ordinary records at every reader, also at those that missed none, so
// that all fold the same records. Each member then offers its current state, and the
// best offer becomes the state of all.
type restore struct {
	// round is the offset of the opening offer plus one; 0 before one is read.
	round     uint64
	best      *wire.Snapshot
	offeredBy map[string]struct{}
	// seen holds the record ids since the opening offer, from which on all readers have
	// read the same entries.
	seen seenRecords
}

// BeginRestore returns a state that refuses ordinary records, because the log lost
// records before first that this state does not include. It accepts only offers and the
// close that ends the restore.
func (s *State) BeginRestore(first uint64) *State {
	next := *s
	next.Restoring = true
	next.restore = restore{}
	next.Position = first
	return &next
}

// Offer returns the offer of this state in the current round; it opens a round if there
// is none.
func (s *State) Offer() *wire.Offer {
	return &wire.Offer{Snapshot: s.Snapshot(), Round: s.restore.round}
}

// NeedsOffer reports whether the entry host should append an offer of its state.
func (s *State) NeedsOffer(entryHost string) bool {
	if !s.Restoring {
		return false
	}
	_, offered := s.restore.offeredBy[entryHost]
	return !offered
}

// ReadyToClose reports whether all entry hosts that the best offer lists have made an
// offer, except the absent ones. It is false while the best offer is an empty state.
func (s *State) ReadyToClose(absent map[string]bool) bool {
	if !s.Restoring || s.restore.best.GetSequence() == 0 {
		return false
	}
	for _, member := range s.OfferMembers() {
		if _, ok := s.restore.offeredBy[member]; !ok && !absent[member] {
			return false
		}
	}
	return true
}

// CloseRecord returns the record that ends the round.
func (s *State) CloseRecord(absent []string) *wire.Close {
	return &wire.Close{Absent: absent, Round: s.restore.round}
}

// OfferMembers lists the entry hosts that the best offer lists as members.
func (s *State) OfferMembers() []string {
	members := []string{}
	for _, d := range s.restore.best.GetDataCentres() {
		members = append(members, d.GetEntryHosts()...)
	}
	return members
}

func (s *State) foldOffer(at entry) error {
	offer := at.record.GetOffer()
	if _, err := FromSnapshot(offer.GetSnapshot()); err != nil {
		return refuse("the offer can't be read: %v", err)
	}
	if offer.GetRound() == 0 {
		s.Restoring = true
		s.restore = restore{
			round: at.offset + 1, best: offer.GetSnapshot(),
			offeredBy: map[string]struct{}{}, seen: newSeenRecords(),
		}
		return nil
	}
	if !s.Restoring || offer.GetRound() != s.restore.round {
		return refuse("the offer belongs to another round")
	}
	if betterOffer(offer.GetSnapshot(), s.restore.best) {
		s.restore.best = offer.GetSnapshot()
	}
	s.restore.offeredBy = maps.Clone(s.restore.offeredBy)
	s.restore.offeredBy[at.record.GetAuthor()] = struct{}{}
	return nil
}

// betterOffer reports whether a is better than b: it has the higher version or, at equal
// versions, more accepted records. Of equal offers the earlier one stays.
func betterOffer(a, b *wire.Snapshot) bool {
	if a.GetVersion() != b.GetVersion() {
		return a.GetVersion() > b.GetVersion()
	}
	return a.GetSequence() > b.GetSequence()
}

// foldClose replaces the state with the best offer. The version rises by epochStep, so
// that it also rises for an entry host that was cut off during the restore and comes
// back with a higher version than the best offer.
func (s *State) foldClose(at entry) error {
	end := at.record.GetClose()
	if !s.Restoring || s.restore.round == 0 || end.GetRound() != s.restore.round {
		return refuse("there is no such round of offers")
	}
	if s.restore.best.GetSequence() == 0 && !end.GetAcceptEmpty() {
		return refuse("only empty offers were made; wait for an entry host that holds a configuration")
	}
	for _, member := range s.OfferMembers() {
		if _, ok := s.restore.offeredBy[member]; !ok && !slices.Contains(end.GetAbsent(), member) {
			return refuse("entry host %q has made no offer and is not declared absent", member)
		}
	}
	restored, err := FromSnapshot(s.restore.best)
	if err != nil {
		return refuse("the best offer can't be read: %v", err)
	}
	restored.Version += epochStep
	for _, generation := range []map[string]seenRecord{s.restore.seen.old, s.restore.seen.young} {
		for _, seen := range sortedByOffset(generation) {
			restored.seen = restored.seen.with(seen)
		}
	}
	*s = *restored
	return nil
}
