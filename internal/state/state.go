// Package state folds the configuration log. Apply is pure: the same records
// in the same order give the same state and the same outcomes everywhere.
package state

import (
	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
)

// RulesVersion is the newest version of the rules that this program folds by.
const RulesVersion = 1

// seenLimit bounds the remembered record ids.
const seenLimit = 2048

// epochStep is added to the version when a lost log is restored, so that
// versions accepted before and after never meet.
const epochStep = 1_000_000

// State is the fold of the config stream up to Position. It is immutable once
// published; Apply copies what it changes.
type State struct {
	// Position is the offset of the last folded record plus one: the next to read.
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

	// Restoring is set while offers are collected after the log lost records.
	Restoring bool
	restore   restore
}

// New is the state before the first record.
func New() *State {
	return &State{
		Document:    &fleet.Document{},
		ConfigJSON:  []byte("{}"),
		Hosts:       map[string]Host{},
		DataCentres: map[string]DataCentre{},
		seen:        newSeenRecords(),
	}
}

// Outcome tells what the fold made of a record.
type Outcome struct {
	// Offset of the record that decided; an earlier one for a repeated id.
	Offset   uint64
	Accepted bool
	// Repeated is set when the id was seen before.
	Repeated bool
	// Message says why a record was refused, or what it changed.
	Message string
	// Version after the record.
	Version uint64
}

// Outcome finds the outcome of a record by its id, if it is still remembered.
func (s *State) Outcome(id string) (Outcome, bool) {
	seen, ok := s.recall(id)
	if !ok {
		return Outcome{}, false
	}
	return Outcome{Offset: seen.Offset, Accepted: seen.Accepted, Message: seen.Message, Version: s.Version}, true
}

// Covers tells whether the state needs no record before offset.
func (s *State) Covers(offset uint64) bool {
	return s.Position >= offset
}

func (s *State) recall(id string) (seenRecord, bool) {
	if s.Restoring {
		return s.restore.seen.find(id)
	}
	return s.seen.find(id)
}

func (s *State) remember(seen seenRecord) {
	switch {
	case !s.Restoring:
		s.seen = s.seen.with(seen)
	case s.restore.round > 0:
		s.restore.seen = s.restore.seen.with(seen)
	}
}
