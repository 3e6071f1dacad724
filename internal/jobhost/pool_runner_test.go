package jobhost

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/owner"
	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

const (
	testJob  = "aaaaaaaaaaaaaaaa"
	testHost = worker.ID("h1")
)

// runnerTest is the runner of a pool with one host. The log has confirmed the tenure at time
// zero only.
type runnerTest struct {
	*testing.T
	runner *poolRunner
	now    time.Time
}

func newRunnerTest(t *testing.T) *runnerTest {
	t.Helper()
	r := &runnerTest{T: t, now: time.Time{}.Add(time.Second)}
	limits := schedule.Limits{Lease: 5 * time.Second, MaxLease: 10 * time.Second, MaxUnconfirmed: 6 * time.Second}
	h := &JobHost{settings: Settings{Limits: limits}, events: noEvents{}, now: func() time.Time { return r.now }, orders: newOrderGate()}
	h.keeper = owner.New(nil, nil, noEvents{}, h.now, keyedlog.JoinRequest{})
	r.runner = &poolRunner{host: h, pool: schedule.New("maps", 7, limits, r.now, noEvents{})}
	r.runner.pool.SetChecksCapacity(true)
	r.runner.pool.SetHosts([]worker.Report{{
		ID: testHost, Pool: "maps", Address: netip.MustParseAddrPort("10.0.0.1:80"), Capacity: worker.Resources{CPU: 16000, MemoryMB: 64000},
	}}, r.now)
	r.list()
	return r
}

// list delivers the host's list of runs.
func (r *runnerTest) list(running ...worker.ActiveRun) {
	sent := r.now
	order, _ := r.runner.pool.ImmediateRenewal(testHost, sent)
	r.now = r.now.Add(5 * time.Millisecond)
	r.runner.pool.ApplyRenewal(testHost, order, sent, r.now, worker.RenewalReply{Clock: r.now.Sub(time.Time{}), Incarnation: 1, Running: running})
}

func (r *runnerTest) add(step job.Step) {
	r.runner.pool.AddJob(jobs.New(&job.Job{ID: testJob, Pool: "maps", Steps: []job.Step{step}, AcceptedAt: r.now, MaxAttempts: 2, Stretch: 1.6}))
}

// place returns the starts of all tasks of a step, which wait for their turn.
func (r *runnerTest) place(step job.Step) []schedule.Start {
	r.Helper()
	r.add(step)
	r.runner.pool.Plan(r.now)
	changes, err := r.runner.pool.TakeUnrecorded()
	if err != nil {
		r.Fatal(err)
	}
	return r.runner.pool.Recorded(changes, r.now)
}

// start has the host run all tasks of a step.
func (r *runnerTest) start(step job.Step) []worker.ActiveRun {
	r.Helper()
	var running []worker.ActiveRun
	for _, s := range r.place(step) {
		order, ok := r.runner.pool.BeginStart(s.Target.ID, s.Order, r.now)
		if !ok {
			r.Fatalf("%s was not started", s.Order.Task)
		}
		r.runner.pool.Started(s.Target.ID, order, r.now, worker.StartReply{}, false, nil)
		running = append(running, worker.ActiveRun{Task: order.Task, Run: order.Run, Percent: 100})
	}
	r.list(running...)
	return running
}

// TestStopDroppedWhileUnconfirmedIsOrderedAgain guards against runs of cancelled jobs that go on
// for good: their stop had its turn while the log did not confirm the tenure, and was forgotten.
func TestStopDroppedWhileUnconfirmedIsOrderedAgain(t *testing.T) {
	r := newRunnerTest(t)
	step := job.Step{Tasks: 1, Needs: worker.Resources{CPU: 1000, MemoryMB: 100}, LongRunning: true}
	running := r.start(step)
	r.runner.pool.CancelJob(testJob, r.now)
	orders := r.runner.pool.Plan(r.now)
	if len(orders.Stops) != 1 {
		t.Fatalf("%d stops of a cancelled job's run; want 1", len(orders.Stops))
	}
	r.now = r.now.Add(7 * time.Second)
	r.runner.stop(t.Context(), orders.Stops[0])
	// The tenure is confirmed again, and the host still has the run.
	r.list(running...)
	r.now = r.now.Add(time.Second)
	if orders := r.runner.pool.Plan(r.now); len(orders.Stops) != 1 {
		t.Errorf("%d stops after the first was not sent; want 1", len(orders.Stops))
	}
}

// TestThrottleDroppedWhileUnconfirmedIsOrderedAgain guards against best-effort runs whose speed is
// never changed again: their throttle had its turn while the log did not confirm the tenure.
func TestThrottleDroppedWhileUnconfirmedIsOrderedAgain(t *testing.T) {
	r := newRunnerTest(t)
	r.add(job.Step{Tasks: 1, Needs: worker.Resources{CPU: 1000, MemoryMB: 100}, BestEffort: true})
	// An earlier owner has throttled the run beside a serving task that has left.
	running := []worker.ActiveRun{{Task: worker.TaskName{Job: testJob}, Run: 1, Percent: 0, Usage: 1}}
	r.list(running...)
	orders := r.runner.pool.Plan(r.now)
	if len(orders.Throttles) != 1 {
		t.Fatalf("%d throttles of a run that stands still; want 1", len(orders.Throttles))
	}
	r.now = r.now.Add(7 * time.Second)
	r.runner.throttle(t.Context(), orders.Throttles[0])
	// The tenure is confirmed again, and the host still has the run.
	r.list(running...)
	r.now = r.now.Add(3 * time.Second)
	if orders := r.runner.pool.Plan(r.now); len(orders.Throttles) != 1 {
		t.Errorf("%d throttles after the first was not sent; want 1", len(orders.Throttles))
	}
}

// TestQueuedStartIsNotSentOnceTheLogHasALaterOwner guards against a start of what a later owner has
// recorded as done meanwhile: the log refuses the records of this one.
func TestQueuedStartIsNotSentOnceTheLogHasALaterOwner(t *testing.T) {
	r := newRunnerTest(t)
	starts := r.place(job.Step{Tasks: 1, Needs: worker.Resources{CPU: 1000, MemoryMB: 100}})
	p := &partition{host: r.runner.host, pools: map[string]*poolRunner{"maps": r.runner}}
	p.onFenced()
	for _, s := range starts {
		if _, ok := r.runner.pool.BeginStart(s.Target.ID, s.Order, r.now); ok {
			t.Errorf("%s was started", s.Order.Task)
		}
	}
}
