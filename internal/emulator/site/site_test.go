package site

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/eventlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

var (
	seeds     = flag.Int("seeds", 6, "how many seeds the randomised runs play")
	firstSeed = flag.Uint64("first-seed", 1, "the first seed")
	showLog   = flag.Bool("show-log", false, "write the entry hosts' log to standard error")
)

// silent takes events and writes none.
type silent struct{}

func (silent) Event(string, ...any) {}

// named writes events with the entry host's name.
type named struct {
	log  *eventlog.Log
	name string
}

func (n named) Event(name string, pairs ...any) {
	n.log.Event(name, append([]any{"entry-host", n.name, "at", time.Since(started).Round(time.Millisecond)}, pairs...)...)
}

var started time.Time

func events(t *testing.T) func(string) Events {
	t.Helper()
	if !*showLog {
		return func(string) Events { return silent{} }
	}
	log, err := eventlog.New(os.Stderr, "info")
	if err != nil {
		t.Fatal(err)
	}
	return func(name string) Events { return named{log, name} }
}

var layout = Layout{DataCentres: []string{"a", "b", "c"}, EntryHosts: 2, Machines: 4, Spares: 1, Pools: []string{"maps", "archive"}}

var configuration = &queue.Configuration{
	Version: 1,
	Queues: []queue.Queue{
		{Name: "tiles", Pool: "maps", MaxAttempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond, Timeout: 3 * time.Second},
		{Name: "serving", Pool: "maps", MaxAttempts: 3, Stretch: 2, LatencyTarget: 2 * time.Second, Timeout: 3 * time.Second},
		{Name: "rebuild", Pool: "archive", Priority: 1, MaxAttempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond, Timeout: 3 * time.Second},
	},
	Pools: []queue.Pool{{Name: "maps", Guarded: true}, {Name: "archive", Guarded: true}, {Name: SparePool, Spare: true}},
}

// run is one emulated site under test.
type run struct {
	t     *testing.T
	site  *Site
	hosts []*EntryHost
	next  int
	wait  sync.WaitGroup
	queue map[job.ID]string
	mu    sync.Mutex
}

func begin(t *testing.T, seed uint64) *run {
	t.Helper()
	started = time.Now()
	r := &run{t: t, site: New(layout, seed, events(t)), queue: map[job.ID]string{}}
	for d, dataCentre := range layout.DataCentres {
		for n := range layout.EntryHosts {
			h, err := r.site.StartHost(fmt.Sprintf("%s-%d", dataCentre, n), dataCentre, 1+d*layout.EntryHosts+n)
			if err != nil {
				t.Fatal(err)
			}
			r.hosts = append(r.hosts, h)
		}
	}
	if err := r.site.Configure(configuration); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * time.Second)
	return r
}

// submit hands a job of some shape in, beside the test.
func (r *run) submit(queueName string, steps []job.Step, change func(*job.Job, []taskTruth)) job.ID {
	r.mu.Lock()
	r.next++
	id := JobID(r.next)
	r.queue[id] = queueName
	r.mu.Unlock()
	j := &job.Job{ID: id, Spec: "spec of " + string(id), Steps: steps}
	truth := make([]taskTruth, len(steps))
	for n := range steps {
		truth[n] = taskTruth{step: &j.Steps[n], duration: j.Steps[n].Estimate, failShare: 0.01}
	}
	if change != nil {
		change(j, truth)
	}
	r.wait.Go(func() { r.site.Submit(queueName, j, truth) })
	return id
}

func tasks(n int, cpu int64, estimate time.Duration, dependsOn ...int) job.Step {
	return job.Step{Tasks: n, Needs: worker.Resources{CPU: cpu, MemoryMB: 1000}, Estimate: estimate, DependsOn: dependsOn}
}

// settle ends all troubles and waits until everything accepted has ended.
func (r *run) settle() {
	r.t.Helper()
	r.wait.Wait()
	deadline := time.Now().Add(90 * time.Second)
	for time.Now().Before(deadline) {
		open := r.site.Ledger().open()
		for _, id := range open {
			r.site.Ask(r.queue[id], id)
		}
		if len(r.site.Ledger().open()) == 0 && len(r.site.Ledger().idle()) == 0 {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	if open := r.site.Ledger().open(); len(open) > 0 {
		r.t.Errorf("lost: %d accepted jobs never ended, first %s", len(open), open[0])
	}
	if idle := r.site.Ledger().idle(); len(idle) > 0 {
		r.t.Errorf("lost: %d long-running tasks don't run, first %s", len(idle), idle[0])
	}
	r.site.Close()
	r.site.Ledger().checkBudgets()
	if diff := cmp.Diff([]string(nil), r.site.Ledger().Broken()); diff != "" {
		r.t.Errorf("broken promises (-want +got):\n%s", diff)
	}
}

func TestCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := begin(t, 1)
		r.submit("serving", []job.Step{{
			Tasks: 4, Needs: worker.Resources{CPU: 2000, MemoryMB: 4000}, LongRunning: true, MaxPerHost: 1, MaxUnavailable: 1,
		}}, nil)
		var ids []job.ID
		for range 40 {
			ids = append(ids, r.submit("tiles", []job.Step{tasks(4, 1500, 800*time.Millisecond), tasks(2, 1000, 500*time.Millisecond, 0)}, nil))
			time.Sleep(100 * time.Millisecond)
		}
		r.wait.Wait()
		time.Sleep(6 * time.Second)
		for _, id := range ids {
			if state := r.site.Ask("tiles", id); state != job.Done {
				t.Errorf("job %s is %q; want done", id, state)
			}
		}
		if state := r.site.Ask("tiles", "ffffffffffffffff"); state != "" {
			t.Errorf("a job that nobody submitted is %q", state)
		}
		r.settle()
	})
}

func TestPoisonFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := begin(t, 2)
		id := r.submit("tiles", []job.Step{tasks(2, 1000, 300*time.Millisecond)}, func(_ *job.Job, truth []taskTruth) { truth[0].poison = true })
		r.wait.Wait()
		time.Sleep(5 * time.Second)
		if state := r.site.Ask("tiles", id); state != job.Failed {
			t.Errorf("a job that can never be done is %q; want failed", state)
		}
		r.settle()
	})
}

func TestCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := begin(t, 3)
		id := r.submit("rebuild", []job.Step{tasks(6, 4000, 20*time.Second)}, nil)
		r.wait.Wait()
		time.Sleep(time.Second)
		r.site.Cancel("rebuild", id)
		time.Sleep(time.Second)
		if state := r.site.Ask("rebuild", id); state != job.Cancelled {
			t.Errorf("a cancelled job is %q", state)
		}
		for name, h := range r.site.Ledger().tasks {
			if len(h.running) > 0 {
				t.Errorf("%s runs on after the cancel", name)
			}
		}
		r.settle()
	})
}

func TestOccurrences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := begin(t, 4)
		id := r.submit("tiles", []job.Step{tasks(2, 1000, 300*time.Millisecond)}, func(j *job.Job, _ []taskTruth) {
			j.Occurrences, j.FirstAt, j.Interval = 4, time.Now().Add(2*time.Second), time.Second
		})
		r.wait.Wait()
		time.Sleep(3 * time.Second)
		if state := r.site.Ask("tiles", id); state != job.Running {
			t.Errorf("between its occurrences a job is %q; want running", state)
		}
		time.Sleep(6 * time.Second)
		if state := r.site.Ask("tiles", id); state != job.Done {
			t.Errorf("after its occurrences a job is %q; want done", state)
		}
		r.settle()
	})
}

func TestGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := begin(t, 5)
		step := tasks(6, 6000, time.Second)
		step.Gang = true
		id := r.submit("rebuild", []job.Step{step}, nil)
		r.wait.Wait()
		time.Sleep(8 * time.Second)
		if state := r.site.Ask("rebuild", id); state != job.Done {
			t.Errorf("a gang's job is %q; want done", state)
		}
		r.settle()
	})
}

func TestWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := begin(t, 6)
		r.submit("serving", []job.Step{{
			Tasks: 3, Needs: worker.Resources{CPU: 2000, MemoryMB: 4000}, LongRunning: true, MaxPerHost: 1, MaxUnavailable: 1,
		}}, nil)
		time.Sleep(6 * time.Second)
		if err := r.site.Publish(machine.Wave{Number: 1, Machines: r.site.Machines(), Duration: 60 * time.Second, MaxDown: 3}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(60 * time.Second)
		if got, want := r.site.Maintained(), len(r.site.Machines()); got != want {
			t.Errorf("%d of %d machines were maintained in time", got, want)
		}
		r.settle()
	})
}
