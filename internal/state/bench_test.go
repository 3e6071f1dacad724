package state_test

import (
	"fmt"
	"testing"

	"github.com/hornbeammast/hornbeammast/internal/emulator"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// declaredState returns the state after the declaration of a fleet.
func declaredState(b *testing.B, fleet emulator.Fleet) *state.State {
	b.Helper()
	s, outcome, err := state.Apply(state.New(), 0, fleet.Declaration())
	if err != nil || !outcome.Accepted {
		b.Fatal(outcome, err)
	}
	return s
}

// BenchmarkFold folds a small patch, a host failure and a position report, and encodes a
// snapshot, for fleets of several sizes.
func BenchmarkFold(b *testing.B) {
	for _, fleet := range []emulator.Fleet{emulator.ScaledTargetFleet(50, 17), emulator.ScaledTargetFleet(293, 100), emulator.ScaledTargetFleet(880, 302)} {
		s := declaredState(b, fleet)
		records := map[string]*wire.Record{
			"patch": {Id: "p", Rules: 1, Body: &wire.Record_Patch{Patch: &wire.Patch{
				BaseVersion: 1, Format: wire.PatchFormat_PATCH_FORMAT_MERGE_PATCH, Document: []byte(`{"teams":{"t":{"quota":3}}}`),
			}}},
			"fail": {Id: "d", Rules: 1, Body: &wire.Record_Fail{Fail: &wire.HostAction{Host: "h001"}}},
			"positions": {Id: "q", Rules: 1, DataCentre: "dc0", Body: &wire.Record_Positions{Positions: &wire.Positions{
				Entries: []*wire.Position{{EntryHost: "e", Offset: 1}},
			}}},
		}
		for name, r := range records {
			b.Run(fmt.Sprintf("%s/hosts=%d", name, len(s.Hosts)), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, outcome, err := state.Apply(s, 1, r); err != nil || !outcome.Accepted {
						b.Fatal(outcome, err)
					}
				}
			})
		}
		b.Run(fmt.Sprintf("snapshot/hosts=%d", len(s.Hosts)), func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := state.MarshalSnapshot(s.Snapshot())
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
