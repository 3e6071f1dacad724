package state

import (
	"maps"
	"slices"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// BeginRestore stops folding ordinary records because the log lost some that
// this state never saw. Only offers and a close end it.
func (s *State) BeginRestore(first uint64) *State {
	next := *s
	next.Restoring = true
	next.Position = first
	return &next
}

// Offer gives what this state would put forward.
func (s *State) Offer() *wire.Snapshot {
	return s.Snapshot()
}

// OfferWanted tells whether the entry host should put its state forward.
func (s *State) OfferWanted(entryHost string) bool {
	if !s.Restoring {
		return false
	}
	_, offered := s.offeredBy[entryHost]
	return !offered
}

// CloseWanted tells whether all members that the best offer knows, but for
// the absent ones, have made an offer.
func (s *State) CloseWanted(absent map[string]bool) bool {
	if !s.Restoring || s.bestOffer == nil || s.bestOffer.GetSequence() == 0 {
		return false
	}
	for _, member := range offerMembers(s.bestOffer) {
		if _, ok := s.offeredBy[member]; !ok && !absent[member] {
			return false
		}
	}
	return true
}

// foldOffer collects an offer. The first one stops ordinary records for
// everybody, also for those who lost nothing, so that all fold the same.
func (s *State) foldOffer(at entry) error {
	offer := at.record.GetOffer().GetSnapshot()
	if _, err := FromSnapshot(offer); err != nil {
		return refuse("the offer can't be read: %v", err)
	}
	if !s.Restoring || s.bestOffer == nil || better(offer, s.bestOffer) {
		s.bestOffer = offer
	}
	offered := maps.Clone(s.offeredBy)
	offered[at.record.GetAuthor()] = struct{}{}
	s.offeredBy = offered
	s.Restoring = true
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
	if !s.Restoring || s.bestOffer == nil {
		return refuse("there is no offer to close on")
	}
	if s.bestOffer.GetSequence() == 0 && !at.record.GetClose().GetAcceptEmpty() {
		return refuse("only empty offers were made; wait for an entry host that holds a configuration")
	}
	for _, member := range offerMembers(s.bestOffer) {
		if _, ok := s.offeredBy[member]; !ok && !slices.Contains(at.record.GetClose().GetAbsent(), member) {
			return refuse("entry host %q has made no offer and is not declared absent", member)
		}
	}
	restored, err := FromSnapshot(s.bestOffer)
	if err != nil {
		return refuse("the best offer can't be read: %v", err)
	}
	restored.Version += epochStep
	for _, generation := range []map[string]seenRecord{s.restoreSeen.old, s.restoreSeen.young} {
		for _, seen := range inOrder(generation) {
			restored.seen = restored.seen.with(seen)
		}
	}
	*s = *restored
	return nil
}

func offerMembers(offer *wire.Snapshot) []string {
	members := []string{}
	for _, d := range offer.GetDataCentres() {
		members = append(members, d.GetEntryHosts()...)
	}
	return members
}

// OfferMembers lists the entry hosts that the best offer knows.
func (s *State) OfferMembers() []string {
	if s.bestOffer == nil {
		return nil
	}
	return offerMembers(s.bestOffer)
}
