package state

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// ErrNewerRules means that a record or snapshot needs fold rules that this program
// does not implement.
var ErrNewerRules = errors.New("the log holds a record written by newer rules; install a newer program on this entry host")

// entry is a record with its offset in the log.
type entry struct {
	offset uint64
	record *wire.Record
}

func (e entry) written() time.Time {
	return time.UnixMilli(e.record.GetWrittenUnixMs()).UTC()
}

// refusal is the error that a fold returns for a record that it does not accept. Its
// text is stored in snapshots.
type refusal struct{ reason string }

func (r refusal) Error() string { return r.reason }

func refuse(format string, args ...any) error {
	return refusal{fmt.Sprintf(format, args...)}
}

// Apply folds the record at offset and returns the next state. A refused record is an
// outcome, not an error: Apply fails, and returns the state unchanged, only if the
// record needs newer rules.
func Apply(s *State, offset uint64, record *wire.Record) (*State, Outcome, error) {
	if record.GetRules() > RulesVersion {
		return s, Outcome{}, errors.Wrapf(ErrNewerRules, "offset %d, rules %d", offset, record.GetRules())
	}
	if seen, ok := s.findSeen(record.GetId()); ok && !opensRound(record) {
		next := *s
		next.Position = offset + 1
		outcome := Outcome{Offset: seen.Offset, Accepted: seen.Accepted, Repeated: true, Message: seen.Message, Version: s.Version}
		return &next, outcome, nil
	}
	next := *s
	err := next.fold(entry{offset: offset, record: record})
	outcome := Outcome{Offset: offset, Accepted: err == nil}
	if err != nil {
		next = *s
		outcome.Message = err.Error()
	} else {
		next.Sequence++
	}
	next.Position = offset + 1
	if deduplicated(record) {
		next.addSeen(seenRecord{ID: record.GetId(), Offset: offset, Accepted: err == nil, Message: outcome.Message})
	}
	outcome.Version = next.Version
	if outcome.Accepted {
		next.checkInvariants(s, record)
	}
	return &next, outcome, nil
}

// Skip advances the position past an entry that is not a record.
func Skip(s *State, offset uint64) *State {
	next := *s
	next.Position = offset + 1
	return &next
}

// opensRound reports whether a record opens a round of offers. Such a record is never
// treated as a duplicate: it must take effect at every reader, whichever records that
// reader has folded before.
func opensRound(record *wire.Record) bool {
	return record.GetOffer() != nil && record.GetOffer().GetRound() == 0
}

// deduplicated reports whether the id of a record is kept to detect a repeated append.
// Position reports are idempotent and the most frequent records, so theirs are not.
func deduplicated(record *wire.Record) bool {
	return record.GetPositions() == nil
}

func (s *State) fold(at entry) error {
	switch at.record.GetBody().(type) {
	case *wire.Record_Offer:
		return s.foldOffer(at)
	case *wire.Record_Close:
		return s.foldClose(at)
	}
	if s.Restoring {
		return refuse("the log lost records and the configuration is being restored; try again in a minute")
	}
	if patch := at.record.GetPatch(); patch != nil {
		return s.foldPatch(at, patch)
	}
	if positions := at.record.GetPositions(); positions != nil {
		return s.foldPositions(at, positions)
	}
	return s.foldAction(at)
}

// foldAction folds a record that changes a host or a data centre.
func (s *State) foldAction(at entry) error {
	switch body := at.record.GetBody().(type) {
	case *wire.Record_Drain:
		return s.foldDrain(at, body.Drain)
	case *wire.Record_Reboot:
		return s.foldReboot(at, body.Reboot)
	case *wire.Record_ReturnHost:
		return s.foldReturn(at, body.ReturnHost)
	case *wire.Record_Fail:
		return s.foldFail(at, body.Fail)
	case *wire.Record_Recover:
		return s.foldRecover(at, body.Recover)
	case *wire.Record_Release:
		return s.foldRelease(at, body.Release)
	case *wire.Record_Attach:
		return s.foldAttach(at, body.Attach)
	case *wire.Record_Members:
		return s.foldMembers(at, body.Members)
	case *wire.Record_Contact:
		return s.foldContact(at, body.Contact)
	case *wire.Record_Halt:
		return s.foldHalt(body.Halt)
	default:
		return refuse("unknown kind of record")
	}
}
