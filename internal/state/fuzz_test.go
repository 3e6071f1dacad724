package state

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// FuzzRecord folds any bytes that are a record on top of a small fleet. The
// fold asserts its own invariants; the position must rise by one.
func FuzzRecord(f *testing.F) {
	s := New()
	for offset, r := range beginning() {
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
			t.Errorf("the state after it can't be read back: %v", err)
		}
	})
}

// FuzzPatch applies any document as both kinds of patch.
func FuzzPatch(f *testing.F) {
	f.Add([]byte(`{"pools":{"p":null}}`))
	f.Add([]byte(`[{"op":"add","path":"/teams","value":{"t":{"quota":1}}}]`))
	f.Add([]byte(`[{"op":"remove","path":"/hosts/h0"}]`))
	s := New()
	for offset, r := range beginning() {
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
