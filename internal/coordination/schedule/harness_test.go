package schedule

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

var epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// quiet takes events and keeps none.
type quiet struct{}

func (quiet) Event(string, ...any) {}

// bench is a pool under test with the time.
type bench struct {
	*testing.T
	pool *Pool
	now  time.Time
	ends map[worker.ID]int64
}

func newBench(t *testing.T, hosts ...worker.ID) *bench {
	t.Helper()
	limits := Limits{
		Lease: 5 * time.Second, MaxLease: 10 * time.Second, MaxUnconfirmed: 6 * time.Second, HoldWait: time.Second,
		CheckpointEvery: 500 * time.Millisecond, NoticeTime: 4500 * time.Millisecond, KeepEnded: time.Minute,
	}
	b := &bench{T: t, pool: New("maps", 7, limits, epoch, quiet{}), now: epoch, ends: map[worker.ID]int64{}}
	b.list(hosts...)
	for _, id := range hosts {
		b.held(id, 1)
	}
	return b
}

func report(id worker.ID) worker.Report {
	return worker.Report{
		ID: id, Pool: "maps", Address: netip.MustParseAddrPort("10.0.0.1:80"), Kind: "a", Rack: "r1",
		Capacity: worker.Resources{CPU: 16000, MemoryMB: 64000},
	}
}

func (b *bench) list(hosts ...worker.ID) {
	var reports []worker.Report
	for _, id := range hosts {
		reports = append(reports, report(id))
	}
	b.pool.SetHosts(reports, b.now)
}

// held gives the pool a host's lists, as an answer to a hold sent now.
func (b *bench) held(id worker.ID, life worker.Life, ended ...worker.Ended) {
	b.heldRunning(id, life, nil, ended...)
}

func (b *bench) heldRunning(id worker.ID, life worker.Life, running []worker.Running, ended ...worker.Ended) {
	for n := range ended {
		b.ends[id]++
		ended[n].Number = b.ends[id]
	}
	sent := b.now
	b.pass(5 * time.Millisecond)
	b.pool.Held(id, sent, b.now, worker.HoldReply{Clock: b.now.Sub(epoch) + time.Second, Life: life, Running: running, Ended: ended})
}

func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

func (b *bench) add(id job.ID, steps ...job.Step) {
	b.pool.AddJob(jobs.New(&job.Job{
		ID: id, Queue: "tiles", Pool: "maps", Steps: steps, AcceptedAt: b.now, MaxAttempts: 2, Stretch: 1.6, LatencyTarget: time.Second,
	}))
}

// plan plans, records and gives the orders that go out.
func (b *bench) plan() ([]Start, Orders) {
	b.Helper()
	orders := b.pool.Plan(b.now)
	return b.record(), orders
}

func (b *bench) record() []Start {
	b.Helper()
	u, err := b.pool.TakeUnrecorded()
	if err != nil {
		b.Fatal(err)
	}
	return b.pool.Recorded(u, b.now)
}

// accept answers starts as accepted.
func (b *bench) accept(starts ...Start) {
	for _, s := range starts {
		b.pool.Started(s.Target.ID, s.Order, b.now, worker.StartReply{}, false, nil)
	}
}

func names(starts []Start) []string {
	var all []string
	for _, s := range starts {
		all = append(all, s.Order.Task.String())
	}
	return all
}

func (b *bench) wantStarts(starts []Start, want ...string) {
	b.Helper()
	if diff := cmp.Diff(want, names(starts)); diff != "" {
		b.Errorf("starts (-want +got):\n%s", diff)
	}
}

func like(tasks int, cpu int64, dependsOn ...int) job.Step {
	return job.Step{Tasks: tasks, Needs: worker.Resources{CPU: cpu, MemoryMB: 100}, Estimate: time.Second, DependsOn: dependsOn}
}

const idA, idB = "aaaaaaaaaaaaaaaa", "bbbbbbbbbbbbbbbb"

func ended(s Start, how worker.How) worker.Ended {
	return worker.Ended{Task: s.Order.Task, Run: s.Order.Run, How: how}
}
