package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// loadedPool returns a pool whose hosts are full and whose other jobs wait.
func loadedPool(b *testing.B, hosts, waiting int) (*Pool, time.Time) {
	b.Helper()
	p, now := emptyPool(b, hosts)
	for n := range hosts*4 + waiting {
		p.AddJob(jobs.New(&job.Job{
			ID: job.ID(fmt.Sprintf("%016x", n)), Queue: "tiles", Pool: "maps", MaxAttempts: 2, Stretch: 1.6, AcceptedAt: now,
			Steps: []job.Step{testStep(4, 1000), testStep(4, 1000, 0)},
		}))
	}
	p.Plan(now)
	u, err := p.TakeUnrecorded()
	if err != nil {
		b.Fatal(err)
	}
	for _, s := range p.Recorded(u, now) {
		order, _ := p.BeginStart(s.Target.ID, s.Order, now)
		p.Started(s.Target.ID, order, now, worker.StartReply{}, false, nil)
	}
	return p, now
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ hosts, waiting int }{{3, 10}, {10, 30}, {30, 100}, {100, 300}, {250, 1000}} {
		b.Run(fmt.Sprintf("hosts-%d/waiting-%d", size.hosts, size.waiting), func(b *testing.B) {
			p, now := loadedPool(b, size.hosts, size.waiting)
			b.ReportAllocs()
			for b.Loop() {
				p.Plan(now)
			}
		})
	}
}

func BenchmarkLoad(b *testing.B) {
	for _, hosts := range []int{30, 100, 250} {
		b.Run(fmt.Sprintf("hosts-%d", hosts), func(b *testing.B) {
			p, now := loadedPool(b, hosts, 100)
			b.ReportAllocs()
			for b.Loop() {
				p.Load(now)
			}
		})
	}
}

// BenchmarkRecord takes the change of one job out of many that are kept.
func BenchmarkRecord(b *testing.B) {
	for _, kept := range []int{220, 1000, 5000} {
		b.Run(fmt.Sprintf("jobs-%d", kept), func(b *testing.B) {
			p, _ := loadedPool(b, 30, kept-4*30)
			var changed *jobEntry
			for _, e := range p.jobs {
				if len(e.runs) > 0 {
					changed = e
					break
				}
			}
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				p.markDirty(changed)
				u, err := p.TakeUnrecorded()
				if err != nil {
					b.Fatal(err)
				}
				for _, parts := range u.Progress {
					for _, part := range parts {
						bytes = max(bytes, len(part.Data))
					}
				}
			}
			b.ReportMetric(float64(bytes), "record-bytes")
		})
	}
}

// BenchmarkRenewal applies the reply of one host that lists its four runs.
func BenchmarkRenewal(b *testing.B) {
	for _, hosts := range []int{30, 100, 250} {
		b.Run(fmt.Sprintf("hosts-%d", hosts), func(b *testing.B) {
			p, now := loadedPool(b, hosts, 100)
			var rows []worker.ActiveRun
			for _, r := range p.hosts["h000"].runs {
				rows = append(rows, worker.ActiveRun{Task: r.name, Run: r.number, Percent: fullSpeed, Usage: 1})
			}
			clock := time.Second
			b.ReportAllocs()
			for b.Loop() {
				clock += time.Millisecond
				p.ApplyRenewal("h000", p.probe("h000"), now, now, worker.RenewalReply{Clock: clock, Incarnation: 1, Running: rows})
			}
		})
	}
}

// BenchmarkSetHosts applies the reports of all hosts when one has changed.
func BenchmarkSetHosts(b *testing.B) {
	for _, hosts := range []int{30, 100, 250} {
		b.Run(fmt.Sprintf("hosts-%d", hosts), func(b *testing.B) {
			p, now := loadedPool(b, hosts, 100)
			var reports []worker.Report
			for _, h := range p.hosts {
				reports = append(reports, h.report)
			}
			b.ReportAllocs()
			for b.Loop() {
				p.SetHosts(reports, now)
			}
		})
	}
}

// BenchmarkPlanShares plans a full pool in which jobs of organisations wait: few of each, or many of
// one beside some of others.
func BenchmarkPlanShares(b *testing.B) {
	for _, size := range []struct{ hosts, organisations, waiting, hot int }{{30, 20, 100, 0}, {250, 200, 1000, 0}, {250, 200, 1000, 5000}, {100, 1, 0, 5000}} {
		b.Run(fmt.Sprintf("hosts-%d/organisations-%d/waiting-%d/hot-%d", size.hosts, size.organisations, size.waiting, size.hot), func(b *testing.B) {
			p, now := loadedPool(b, size.hosts, 0)
			weights := map[string]float64{}
			for n := range size.organisations {
				weights[fmt.Sprintf("o%03d", n)] = float64(1 + n%20)
			}
			p.SetWeights(weights)
			for n := range size.waiting + size.hot {
				organisation := "o000"
				if n < size.waiting {
					organisation = fmt.Sprintf("o%03d", n%size.organisations)
				}
				p.AddJob(jobs.New(&job.Job{
					ID: job.ID(fmt.Sprintf("w%015x", n)), Organisation: organisation, Queue: "tiles", Pool: "maps", MaxAttempts: 2, Stretch: 1.6,
					AcceptedAt: now.Add(time.Duration(n) * time.Millisecond), Steps: []job.Step{testStep(4, 1000+int64(n%5)*100), testStep(4, 1000, 0)},
				}))
			}
			now = now.Add(time.Duration(size.waiting+size.hot) * time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				p.Plan(now)
			}
		})
	}
}

// BenchmarkAdmit decides on a job of an organisation that has far more waiting than the pool holds. The
// backlog is counted again as often as it is when jobs come all the time.
func BenchmarkAdmit(b *testing.B) {
	for _, waiting := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("waiting-%d", waiting), func(b *testing.B) {
			p, now := loadedPool(b, 30, 0)
			p.SetWeights(map[string]float64{"a": 300})
			newJob := func(id string) *job.Job {
				return &job.Job{
					ID: job.ID(id), Organisation: "a", Queue: "tiles", Pool: "maps", MaxAttempts: 2, Stretch: 1.6, AcceptedAt: now,
					Steps: []job.Step{testStep(4, 1000), testStep(4, 1000, 0)},
				}
			}
			for n := range waiting {
				p.AddJob(jobs.New(newJob(fmt.Sprintf("w%015x", n))))
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				p.Admit(newJob("ffffffffffffffff"), now)
			}
		})
	}
}
