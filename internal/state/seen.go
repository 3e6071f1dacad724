package state

import (
	"maps"
	"slices"
)

// seenRecord is the remembered outcome of a record.
type seenRecord struct {
	ID       string
	Offset   uint64
	Accepted bool
	Message  string
}

// seenRecords remembers the newest record ids in log order. The two maps are
// generations: when young is full it becomes old, and the old one is dropped.
// Only young is copied, so a copy costs at most half of the limit.
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

func (s seenRecords) with(seen seenRecord) seenRecords {
	if len(s.young) >= seenLimit/2 {
		return seenRecords{young: map[string]seenRecord{seen.ID: seen}, old: s.young}
	}
	young := maps.Clone(s.young)
	young[seen.ID] = seen
	return seenRecords{young: young, old: s.old}
}

func inOrder(m map[string]seenRecord) []seenRecord {
	return slices.SortedFunc(maps.Values(m), func(a, b seenRecord) int {
		return int(int64(a.Offset) - int64(b.Offset)) //nolint:gosec // Offsets stay far below 2^63.
	})
}
