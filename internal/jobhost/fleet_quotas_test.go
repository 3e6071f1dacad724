package jobhost

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// TestOwnerAppliesAllotments guards against loads that don't tell the use of quotas, a fleet owner
// whose token does not count as seen by a load, and starts while no configuration is known.
func TestOwnerAppliesAllotments(t *testing.T) {
	r := newRunnerTest(t)
	h := r.own()
	r.runner.setOrganisations(nil)
	step := job.Step{Tasks: 2, Needs: worker.Resources{CPU: 1000, MemoryMB: 100}, Estimate: time.Second}
	r.runner.pool.AddJob(jobs.New(&job.Job{
		ID: testJob, Pool: "maps", Steps: []job.Step{step}, AcceptedAt: r.now, MaxAttempts: 2, Stretch: 1.6, Organisation: "blue",
	}))
	if orders := r.runner.pool.Plan(r.now); orders.HasPlacements {
		t.Error("tasks of an organisation are placed while no configuration is known")
	}
	r.runner.setOrganisations(&queue.Configuration{
		Pools:         []queue.Pool{{Name: "maps"}, {Name: "tiles"}, {Name: "stand-by", Spare: true}},
		Organisations: []queue.Organisation{{Name: "blue", Quota: worker.Resources{CPU: 10000}}},
	})
	row := func(fleetToken int64) map[string]float64 {
		reply, _ := h.Load(t.Context(), &wire.LoadRequest{FleetToken: fleetToken})
		load := loadFromProto(reply.GetPools()[0])
		use := load.Organisations["blue"]
		return map[string]float64{
			"token": float64(load.Token), "fleet": float64(load.FleetToken), "sequence": float64(load.AllotSequence),
			"part": use.Part, "used": use.Used, "wanted": use.Wanted,
		}
	}
	allot := func(fleetToken, sequence int64) bool {
		reply, _ := h.Allot(t.Context(), &wire.AllotRequest{
			FleetToken: fleetToken, Sequence: sequence, Pool: "maps", PoolToken: 7, Organisations: []*wire.OrganisationPart{{Name: "blue", Part: 0.15}},
		})
		return reply.GetDone()
	}
	if diff := cmp.Diff(map[string]float64{"token": 7, "fleet": 5, "sequence": 0, "part": 0.1, "used": 0, "wanted": 0.2}, row(5)); diff != "" {
		t.Errorf("load (-want +got):\n%s", diff)
	}
	if allot(4, 1) || !allot(5, 1) {
		t.Error("an earlier fleet owner was not refused, or the present one was")
	}
	r.runner.pool.Plan(r.now)
	if diff := cmp.Diff(map[string]float64{"token": 7, "fleet": 5, "sequence": 1, "part": 0.15, "used": 0.1, "wanted": 0.2}, row(5)); diff != "" {
		t.Errorf("load after an allotment (-want +got):\n%s", diff)
	}
}

// TestMetricsNameTheLargestOrganisations guards against metrics that grow with the organisations.
func TestMetricsNameTheLargestOrganisations(t *testing.T) {
	all := map[string]*OrganisationMetrics{}
	for n := range 25 {
		used := worker.Resources{CPU: int64(1 + n)}
		addOrganisation(all, "maps", schedule.OrganisationDump{Name: fmt.Sprint("o", n), Running: used, Used: float64(n), Waiting: 1})
	}
	rows := largestOrganisations(all)
	if last := rows[len(rows)-1]; len(rows) != 21 || rows[0].Organisation != "o24" || last.CPU != 15 || last.Waiting != 5 {
		t.Errorf("%d rows, first %+v, last %+v; want 21, the largest first and the sum of five last", len(rows), rows[0], last)
	}
}
