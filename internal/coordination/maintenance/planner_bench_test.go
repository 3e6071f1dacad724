package maintenance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/maintenance"
	"github.com/hornbeammast/hornbeammast/internal/emulator"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// declaredState returns the state after a fleet has been declared and each of its data centres
// has two members.
func declaredState(tb testing.TB, fleet emulator.Fleet) *state.State {
	tb.Helper()
	s, outcome, err := state.Apply(state.New(), 0, fleet.Declaration())
	if err != nil || !outcome.Accepted {
		tb.Fatal(outcome, err)
	}
	for n, dc := range fleet.DataCentres {
		members := &wire.Members{EntryHosts: []string{dc + "-1", dc + "-2"}}
		s, _, err = state.Apply(s, uint64(n+1), &wire.Record{Id: dc, Rules: 1, DataCentre: dc, Body: &wire.Record_Members{Members: members}})
		if err != nil {
			tb.Fatal(err)
		}
	}
	return s
}

// BenchmarkPlan plans in the middle of a wave, with every host due.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []emulator.Fleet{emulator.ScaledTargetFleet(50, 17), emulator.ScaledTargetFleet(293, 100), emulator.ScaledTargetFleet(880, 302)} {
		s := declaredState(b, size)
		now := time.Unix(0, 0).Add(size.Document.Maintenance.Interval.Std())
		b.Run(fmt.Sprintf("hosts=%d", len(s.Hosts)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				maintenance.PlanFor(s, "dc0", nil, now)
			}
		})
	}
}
