package schedule

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

var epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// discardEvents implements Events and drops every event.
type discardEvents struct{}

func (discardEvents) Event(string, ...any) {}

// harness is a pool under test with a manual clock.
type harness struct {
	*testing.T
	pool *Pool
	now  time.Time
	ends map[worker.ID]int64
	// records holds the parts of the progress of each job, as they were last recorded.
	records map[job.ID]map[int][]byte
}

func newHarness(t *testing.T, hosts ...worker.ID) *harness {
	t.Helper()
	h := newUnconfiguredHarness(t, hosts...)
	h.pool.SetChecksCapacity(true)
	return h
}

// newUnconfiguredHarness creates a pool that is not in the configuration.
func newUnconfiguredHarness(t *testing.T, hosts ...worker.ID) *harness {
	t.Helper()
	limits := Limits{
		Lease: 5 * time.Second, MaxLease: 10 * time.Second, MaxUnconfirmed: 6 * time.Second, RenewalWait: time.Second,
		CheckpointInterval: 500 * time.Millisecond, NoticeTime: 4500 * time.Millisecond, StopTime: 400 * time.Millisecond, EndedJobRetention: time.Minute,
	}
	h := &harness{T: t, pool: New("maps", 7, limits, epoch, discardEvents{}), now: epoch, ends: map[worker.ID]int64{}, records: map[job.ID]map[int][]byte{}}
	h.list(hosts...)
	for _, id := range hosts {
		h.renew(id, 1)
	}
	return h
}

func report(id worker.ID) worker.Report {
	return worker.Report{
		ID: id, Pool: "maps", Address: netip.MustParseAddrPort("10.0.0.1:80"), Kind: "a", Rack: "r1",
		Capacity: worker.Resources{CPU: 16000, MemoryMB: 64000},
	}
}

func (h *harness) list(hosts ...worker.ID) {
	var reports []worker.Report
	for _, id := range hosts {
		reports = append(reports, report(id))
	}
	h.pool.SetHosts(reports, h.now)
}

// renew delivers a host's reply to a renewal sent now; the reply lists no active runs.
func (h *harness) renew(id worker.ID, incarnation worker.Incarnation, ended ...worker.EndedRun) {
	h.renewRunning(id, incarnation, nil, ended...)
}

// renewRunning delivers a host's reply to a renewal sent now; it numbers the ended runs in it.
func (h *harness) renewRunning(id worker.ID, incarnation worker.Incarnation, running []worker.ActiveRun, ended ...worker.EndedRun) {
	for n := range ended {
		h.ends[id]++
		ended[n].Number = h.ends[id]
	}
	sent := h.now
	h.advance(5 * time.Millisecond)
	h.answer(id, sent, worker.RenewalReply{Clock: h.clock(), Incarnation: incarnation, Running: running, Ended: ended})
}

// answer delivers a host's reply to a renewal that was sent at sent, and the same to the one that
// follows at once, unless the first seals the worker's incarnation.
func (h *harness) answer(id worker.ID, sent time.Time, reply worker.RenewalReply) {
	h.pool.ApplyRenewal(id, h.pool.probe(id), sent, h.now, reply)
	if !h.pool.hosts[id].fence.sealed {
		order, _ := h.pool.NextRenewal(id, h.now)
		h.pool.ApplyRenewal(id, order, h.now, h.now, reply)
	}
}

// probe returns an order for a host that changes nothing.
func (p *Pool) probe(id worker.ID) worker.RenewalOrder {
	return worker.RenewalOrder{Token: p.tokenFor(p.hosts[id])}
}

// lastSeen returns when a host was last known to be alive, as the pool reports it.
func (h *harness) lastSeen(id worker.ID) time.Time { return h.pool.Load(h.now).Hosts[id].LastSeen }

// clock returns the reading of the hosts' clocks.
func (h *harness) clock() time.Duration { return h.now.Sub(epoch) + time.Second }

func (h *harness) advance(d time.Duration) { h.now = h.now.Add(d) }

func (h *harness) add(id job.ID, steps ...job.Step) {
	h.pool.AddJob(jobs.New(&job.Job{
		ID: id, Queue: "tiles", QueueAddress: "tiles", Pool: "maps", Steps: steps, AcceptedAt: h.now, MaxAttempts: 2, Stretch: 1.6, LatencyTarget: time.Second,
	}))
}

// plan plans and records, and returns the starts and the other orders that go out.
func (h *harness) plan() ([]Start, Orders) {
	h.Helper()
	orders := h.pool.Plan(h.now)
	orders.Stops = slices.DeleteFunc(orders.Stops, func(s Stop) bool {
		_, ok := h.pool.BeginStop(s.Target.ID, s.Order, h.now)
		return !ok
	})
	return h.record(), orders
}

// record records and returns the starts that go out at once.
func (h *harness) record() []Start {
	h.Helper()
	var sent []Start
	for _, s := range h.recordQueued() {
		if order, ok := h.pool.BeginStart(s.Target.ID, s.Order, h.now); ok {
			sent = append(sent, Start{Target: s.Target, Order: order})
		}
	}
	return sent
}

// recordQueued records and returns the starts that wait for their turn.
func (h *harness) recordQueued() []Start {
	h.Helper()
	return h.pool.Recorded(h.takeUnrecorded(), h.now)
}

// takeUnrecorded takes what is to be recorded and keeps it in records.
func (h *harness) takeUnrecorded() Unrecorded {
	h.Helper()
	u, err := h.pool.TakeUnrecorded()
	if err != nil {
		h.Fatal(err)
	}
	for id, parts := range u.Progress {
		if h.records[id] == nil {
			h.records[id] = map[int][]byte{}
		}
		for _, part := range parts {
			if h.records[id][part.Number] = part.Data; part.Data == nil {
				delete(h.records[id], part.Number)
			}
		}
	}
	return u
}

// accept answers starts as accepted.
func (h *harness) accept(starts ...Start) {
	for _, s := range starts {
		h.pool.Started(s.Target.ID, s.Order, h.now, worker.StartReply{}, false, nil)
	}
}

func taskNames(starts []Start) []string {
	var all []string
	for _, s := range starts {
		all = append(all, s.Order.Task.String())
	}
	return all
}

func (h *harness) wantStarts(starts []Start, want ...string) {
	h.Helper()
	if diff := cmp.Diff(want, taskNames(starts)); diff != "" {
		h.Errorf("starts (-want +got):\n%s", diff)
	}
}

func testStep(tasks int, cpu int64, dependsOn ...int) job.Step {
	return job.Step{Tasks: tasks, Needs: worker.Resources{CPU: cpu, MemoryMB: 100}, Estimate: time.Second, DependsOn: dependsOn}
}

const idA, idB = "aaaaaaaaaaaaaaaa", "bbbbbbbbbbbbbbbb"

func endedRun(s Start, outcome worker.Outcome) worker.EndedRun {
	return worker.EndedRun{Task: s.Order.Task, Run: s.Order.Run, Outcome: outcome}
}
