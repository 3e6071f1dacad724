package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// emptyPool returns a pool of hosts that run nothing.
func emptyPool(tb testing.TB, hosts int) (*Pool, time.Time) {
	tb.Helper()
	now := epoch
	p := New("maps", 7, Limits{Lease: 5 * time.Second, MaxLease: 10 * time.Second, RenewalWait: time.Second}, now, discardEvents{})
	var reports []worker.Report
	for n := range hosts {
		reports = append(reports, report(worker.ID(fmt.Sprintf("h%03d", n))))
	}
	p.SetHosts(reports, now)
	for _, r := range reports {
		p.ApplyRenewal(r.ID, p.probe(r.ID), now, now, worker.RenewalReply{Clock: time.Second, Incarnation: 1})
	}
	return p, now
}

func TestPlanChecksEachHostOnceForAStep(t *testing.T) {
	const hosts, steps, tasks = 250, 100, 8
	p, now := emptyPool(t, hosts)
	for n := range steps {
		p.AddJob(jobs.New(&job.Job{
			ID: job.ID(fmt.Sprintf("%016x", n)), Queue: "tiles", Pool: "maps", MaxAttempts: 2, Stretch: 1.6, AcceptedAt: now,
			Steps: []job.Step{testStep(tasks, 1000)},
		}))
	}
	p.Plan(now)
	work := p.Work()
	if want := int64(steps * tasks); work.Placed != want {
		t.Fatalf("%d runs were placed; want %d", work.Placed, want)
	}
	// A host is checked again after a run was placed on it.
	if most := int64(steps*hosts) + work.Placed; work.HostChecks > most {
		t.Errorf("%d checks of hosts for %d runs of %d steps on %d hosts; want %d at most", work.HostChecks, work.Placed, steps, hosts, most)
	}
}
