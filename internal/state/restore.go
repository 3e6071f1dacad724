package state

import (
	"maps"
	"slices"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// restore collects offers of states after the log lost records. An opening
// offer stops ordinary records for everybody, also for those who lost nothing,
// so that all fold the same. Each member then offers what it holds now.
type restore struct {
	// round is the offset of the opening offer plus one, 0 before there is one.
	round     uint64
	best      *wire.Snapshot
	offeredBy map[string]struct{}
	// seen remembers the ids since the opening offer; from there on all
	// followers have read the same entries.
	seen seenRecords
}

// BeginRestore stops folding ordinary records because the log lost some that
// this state never saw. Only offers and a close end it.
func (s *State) BeginRestore(first uint64) *State {
	next := *s
	next.Restoring = true
	next.restore = restore{}
	next.Position = first
	return &next
}

// Offer gives what this state puts forward.
func (s *State) Offer() *wire.Offer {
	return &wire.Offer{Snapshot: s.Snapshot(), Round: s.restore.round}
}

// OfferWanted tells whether the entry host should put its state forward.
func (s *State) OfferWanted(entryHost string) bool {
	if !s.Restoring {
		return false
	}
	_, offered := s.restore.offeredBy[entryHost]
	return !offered
}

// CloseWanted tells whether all members that the best offer knows, but for
// the absent ones, have made an offer.
func (s *State) CloseWanted(absent map[string]bool) bool {
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

// Close gives the record that ends the round.
func (s *State) Close(absent []string) *wire.Close {
	return &wire.Close{Absent: absent, Round: s.restore.round}
}

// OfferMembers lists the entry hosts that the best offer knows.
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
	if better(offer.GetSnapshot(), s.restore.best) {
		s.restore.best = offer.GetSnapshot()
	}
	s.restore.offeredBy = maps.Clone(s.restore.offeredBy)
	s.restore.offeredBy[at.record.GetAuthor()] = struct{}{}
	return nil
}

// better prefers the higher version, then the longer history, then the earlier offer.
func better(a, b *wire.Snapshot) bool {
	if a.GetVersion() != b.GetVersion() {
		return a.GetVersion() > b.GetVersion()
	}
	return a.GetSequence() > b.GetSequence()
}

// foldClose takes the best offer as the state. The version is raised by a
// whole epoch: a holder of a higher one that was cut off meanwhile goes
// forward too when it comes back.
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
		for _, seen := range inOrder(generation) {
			restored.seen = restored.seen.with(seen)
		}
	}
	*s = *restored
	return nil
}
