package schedule

import (
	"fmt"
	"math/rand/v2"
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

// TestHostChoiceIsThatOfAFullSearch places tasks of many steps on hosts of all kinds of state.
func TestHostChoiceIsThatOfAFullSearch(t *testing.T) {
	p, now := emptyPool(t, 12)
	r := &round{now: now, open: p.openHosts(now)}
	random := rand.New(rand.NewPCG(1, 2))
	for n := range 12 {
		h := p.hosts[worker.ID(fmt.Sprintf("h%03d", n))]
		h.report.Rack = fmt.Sprintf("r%d", n/4)
		h.use = Use(random.IntN(2))
		h.startsInFlight = random.IntN(maxStartsPerHost)
	}
	for n := range 200 {
		definition := testStep(1+random.IntN(4), int64(100+random.IntN(1500)))
		definition.LongRunning, definition.MaxPerHost, definition.DataRack = random.IntN(3) == 0, random.IntN(3), fmt.Sprintf("r%d", random.IntN(4))
		e := &jobEntry{Job: jobs.New(&job.Job{ID: job.ID(fmt.Sprintf("%016x", n)), Pool: "maps", Steps: []job.Step{definition}}), occurrences: map[int]*occurrence{}}
		s := e.step(e.open(0), 0)
		choice := p.newHostChoice(s, r)
		for index := range definition.Tasks {
			task := s.task(index)
			task.avoidHost = worker.ID(fmt.Sprintf("h%03d", random.IntN(12)))
			want, got := p.highestScore(task, now), choice.best(task)
			if want != got {
				t.Fatalf("task %d of step %d: host %v; want %v", index, n, got, want)
			}
			if want == nil {
				break
			}
			p.start(task, want, int64(index), now, &Orders{})
			choice.changed(want)
		}
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, hosts := range []int{30, 100, 250} {
		b.Run(fmt.Sprintf("hosts-%d", hosts), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				p, now := emptyPool(b, hosts)
				for n := range 2 * hosts {
					p.AddJob(jobs.New(&job.Job{ID: job.ID(fmt.Sprintf("%016x", n)), Pool: "maps", AcceptedAt: now, Steps: []job.Step{testStep(8, 1000)}}))
				}
				b.StartTimer()
				p.Plan(now)
			}
		})
	}
}
