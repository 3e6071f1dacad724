// Package state folds the records of the configuration log into a state. Apply is a pure
// function: every process that folds the same records in the same order gets the same
// state and the same outcomes.
package state

import (
	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
)

// RulesVersion is the newest version of the fold rules that this program implements.
const RulesVersion = 1

// maxSeenRecords bounds the record ids that are kept to detect duplicates.
const maxSeenRecords = 2048

// epochStep is added to the version when the state is restored after the log lost
// records, so that a version accepted before the loss is never assigned again.
const epochStep = 1_000_000

// State is the fold of the config stream up to Position. It is immutable once
// published; Apply copies what it changes.
type State struct {
	// Position is the offset of the next record to read.
	Position uint64
	// Version counts accepted changes of the document.
	Version uint64
	// Sequence counts all accepted records.
	Sequence uint64

	Document   *fleet.Document
	ConfigJSON []byte

	Hosts       map[string]Host
	DataCentres map[string]DataCentre

	seen seenRecords

	// Restoring is set while offers of states are collected after the log lost records.
	Restoring bool
	restore   restore
}

// New returns the state before the first record.
func New() *State {
	return &State{
		Document:    &fleet.Document{},
		ConfigJSON:  []byte("{}"),
		Hosts:       map[string]Host{},
		DataCentres: map[string]DataCentre{},
		seen:        newSeenRecords(),
	}
}

// Outcome is the result of folding a record.
type Outcome struct {
	// Offset is the offset of the folded record or, if Repeated is set, of the first record
	// with the same id.
	Offset   uint64
	Accepted bool
	// Repeated is set if a record with the same id was folded before.
	Repeated bool
	// Message is the reason for a refusal; it is empty if the record was accepted.
	Message string
	// Version is the version of the document after the record was folded; for a repeated or
	// looked-up record it is the current version.
	Version uint64
}

// Outcome returns the outcome of the record with an id, if that id is still kept.
func (s *State) Outcome(id string) (Outcome, bool) {
	seen, ok := s.findSeen(id)
	if !ok {
		return Outcome{}, false
	}
	return Outcome{Offset: seen.Offset, Accepted: seen.Accepted, Message: seen.Message, Version: s.Version}, true
}

// Includes reports whether the state includes all records before offset.
func (s *State) Includes(offset uint64) bool {
	return s.Position >= offset
}

func (s *State) findSeen(id string) (seenRecord, bool) {
	if s.Restoring {
		return s.restore.seen.find(id)
	}
	return s.seen.find(id)
}

func (s *State) addSeen(seen seenRecord) {
	switch {
	case !s.Restoring:
		s.seen = s.seen.with(seen)
	case s.restore.round > 0:
		s.restore.seen = s.restore.seen.with(seen)
	}
}
