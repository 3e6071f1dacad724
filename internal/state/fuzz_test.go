package state

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// FuzzRecord folds arbitrary bytes that decode to a record into the state of a small
// fleet. Apply checks its invariants itself; the position must rise by one, and the state
// must survive a snapshot.
func FuzzRecord(f *testing.F) {
	s := New()
	for offset, r := range initialRecords() {
		s, _, _ = Apply(s, uint64(offset), r)
		if data, err := proto.Marshal(r); err == nil {
			f.Add(data)
		}
	}
	drain := &wire.Record{Id: "d", Rules: 1, Body: &wire.Record_Drain{Drain: &wire.HostAction{Host: "h0", Then: "lend", ToPool: "q"}}}
	offer := &wire.Record{Id: "o", Rules: 1, Body: &wire.Record_Offer{Offer: s.Offer()}}
	for _, r := range []*wire.Record{drain, offer} {
		if data, err := proto.Marshal(r); err == nil {
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := &wire.Record{}
		if proto.Unmarshal(data, r) != nil {
			t.Skip()
		}
		next, outcome, err := Apply(s, s.Position, r)
		if err != nil {
			return
		}
		if next.Position != s.Position+1 || !outcome.Accepted && next.Version != s.Version {
			t.Errorf("position %d, version %d, %+v", next.Position, next.Version, outcome)
		}
		if next.Restoring {
			return
		}
		if _, err := FromSnapshot(next.Snapshot()); err != nil {
			t.Errorf("the state after the record can't be read back from its snapshot: %v", err)
		}
	})
}

// FuzzPatch applies arbitrary documents in both patch formats. A patch must raise the
// version exactly if it is accepted.
func FuzzPatch(f *testing.F) {
	f.Add([]byte(`{"pools":{"p":null}}`))
	f.Add([]byte(`[{"op":"add","path":"/teams","value":{"t":{"quota":1}}}]`))
	f.Add([]byte(`[{"op":"remove","path":"/hosts/h0"}]`))
	s := New()
	for offset, r := range initialRecords() {
		s, _, _ = Apply(s, uint64(offset), r)
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		for _, format := range []wire.PatchFormat{wire.PatchFormat_PATCH_FORMAT_JSON_PATCH, wire.PatchFormat_PATCH_FORMAT_MERGE_PATCH} {
			r := &wire.Record{Id: "x", Rules: 1, Body: &wire.Record_Patch{Patch: &wire.Patch{BaseVersion: s.Version, Format: format, Document: document}}}
			next, outcome, err := Apply(s, s.Position, r)
			if err != nil {
				t.Fatal(err)
			}
			if outcome.Accepted != (next.Version == s.Version+1) {
				t.Errorf("accepted %v, version %d", outcome.Accepted, next.Version)
			}
		}
	})
}
