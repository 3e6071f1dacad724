package state

import (
	"maps"
	"slices"
)

// seenRecord is the outcome of a record, kept to answer a repeated append of it.
type seenRecord struct {
	ID       string
	Offset   uint64
	Accepted bool
	Message  string
}

// seenRecords holds the newest record ids in two generations: when young is full it
// becomes old, and the previous old is dropped. An insertion copies only young, so it
// copies at most half of maxSeenRecords.
type seenRecords struct {
	young map[string]seenRecord
	old   map[string]seenRecord
}

func newSeenRecords() seenRecords {
	return seenRecords{young: map[string]seenRecord{}, old: map[string]seenRecord{}}
}

func (s seenRecords) find(id string) (seenRecord, bool) {
	if seen, ok := s.young[id]; ok {
		return seen, true
	}
	seen, ok := s.old[id]
	return seen, ok
}

// with returns a copy that includes seen.
func (s seenRecords) with(seen seenRecord) seenRecords {
	if len(s.young) >= maxSeenRecords/2 {
		return seenRecords{young: map[string]seenRecord{seen.ID: seen}, old: s.young}
	}
	young := maps.Clone(s.young)
	young[seen.ID] = seen
	return seenRecords{young: young, old: s.old}
}

func sortedByOffset(m map[string]seenRecord) []seenRecord {
	return slices.SortedFunc(maps.Values(m), func(a, b seenRecord) int {
		return int(int64(a.Offset) - int64(b.Offset)) //nolint:gosec // Offsets stay far below 2^63.
	})
}
