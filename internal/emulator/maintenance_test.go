package emulator

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/coordination/maintenance"
)

// scenario is a planner with the faults of its run; naive selects the naive fleet.
type scenario struct {
	name    string
	naive   bool
	planner Planner
	faults  MaintenanceFaults
}

func scenarios() []scenario {
	return []scenario{
		{"naive", true, maintenance.NaivePlanFor, MaintenanceFaults{}},
		{"greedy", true, maintenance.GreedyPlanFor, MaintenanceFaults{}},
		{"policy", false, maintenance.PlanFor, MaintenanceFaults{}},
		{"policy-rack-fails", false, maintenance.PlanFor, MaintenanceFaults{RackFails: true}},
		{"policy-cut-off", false, maintenance.PlanFor, MaintenanceFaults{ContactLost: true}},
	}
}

func BenchmarkMaintenance(b *testing.B) {
	for _, user := range []string{"co-operative", "isikbakim", "target"} {
		for _, sc := range scenarios() {
			b.Run(user+"/"+sc.name, func(b *testing.B) {
				fleet, policy := Fleets(user)
				if !sc.naive {
					fleet = policy
				}
				faults := sc.faults
				if user == "target" {
					faults.FailuresPerDay = 8
				}
				var result MaintenanceResult
				for b.Loop() {
					result = RunMaintenance(fleet, sc.planner, faults, 1)
				}
				b.ReportMetric(result.BufferHostHours, "buffer-host-hours")
				b.ReportMetric(result.RolloutHours, "rollout-hours")
				b.ReportMetric(float64(result.Moves), "moves")
				b.ReportMetric(float64(result.HostsMoved), "hosts-moved")
				b.ReportMetric(result.ServedPercent, "kept-%")
				b.ReportMetric(float64(result.BudgetBreaks), "budget-breaks")
				b.ReportMetric(float64(result.OverdueHosts), "overdue-hosts")
				b.ReportMetric(float64(result.Maintained), "maintained")
				b.ReportMetric(float64(result.Refused), "refused")
			})
		}
	}
}

// TestMaintenance runs the policy on both users' fleets with faults and several seeds. No
// budget may break, no host may become overdue, and the run must maintain as many hosts
// as the fleet has.
func TestMaintenance(t *testing.T) {
	for _, user := range []string{"co-operative", "isikbakim"} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", user, seed), func(t *testing.T) {
				_, fleet := Fleets(user)
				faults := MaintenanceFaults{FailuresPerDay: 0.5, RackFails: seed == 1, ContactLost: seed == 2}
				result := RunMaintenance(fleet, maintenance.PlanFor, faults, seed)
				if result.BudgetBreaks > 0 || result.OverdueHosts > 0 || result.Maintained < len(fleet.Document.Hosts) {
					t.Errorf("%+v", result)
				}
			})
		}
	}
}

var update = flag.Bool("update", false, "rewrite the golden files")

// TestWaveTrace compares the steps of one wave of a small fleet with its golden file. In
// the wave, two spare hosts are lent from pool to pool.
func TestWaveTrace(t *testing.T) {
	const golden = "testdata/wave.golden"
	small := build(shape{"small", 2, 10, 4, 2, 0, 2, weights{buffer: 1, moves: 1}})
	var trace bytes.Buffer
	result := RunMaintenance(small, maintenance.PlanFor, MaintenanceFaults{}, 1, WithTrace(&trace))
	if result.BudgetBreaks > 0 || result.OverdueHosts > 0 || result.Maintained != len(small.Document.Hosts) {
		t.Errorf("%+v", result)
	}
	if *update {
		if err := os.WriteFile(golden, trace.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), trace.String()); diff != "" {
		t.Errorf("the wave's trace differs (-golden +run); check it, then run with -update:\n%s", diff)
	}
}
