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
	seeds     = flag.Int("seeds", 6, "number of seeds of the randomised test")
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the randomised test")
	showLog   = flag.Bool("show-log", false, "write the entry hosts' log events to standard error")
)

// noEvents discards all events.
type noEvents struct{}

func (noEvents) Event(string, ...any) {}

// hostEvents logs events with the entry host's name and the time since the start.
type hostEvents struct {
	log  *eventlog.Log
	name string
}

func (e hostEvents) Event(name string, pairs ...any) {
	e.log.Event(name, append([]any{"entry-host", e.name, "at", time.Since(started).Round(time.Millisecond)}, pairs...)...)
}

// started is when the current fixture was created, in virtual time.
var started time.Time

func events(t *testing.T) func(string) Events {
	t.Helper()
	if !*showLog {
		return func(string) Events { return noEvents{} }
	}
	log, err := eventlog.New(os.Stderr, "info")
	if err != nil {
		t.Fatal(err)
	}
	return func(name string) Events { return hostEvents{log, name} }
}

var layout = Layout{DataCentres: []string{"a", "b", "c"}, EntryHosts: 2, Machines: 4, Spares: 1, Pools: []string{"maps", "archive"}}

var configuration = &queue.Configuration{
	Version: 1,
	Queues: []queue.Queue{
		{Name: "tiles", Pool: "maps", MaxAttempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond, Timeout: 3 * time.Second},
		{Name: "serving", Pool: "maps", MaxAttempts: 3, Stretch: 2, LatencyTarget: 2 * time.Second, Timeout: 3 * time.Second},
		{Name: "rebuild", Pool: "archive", Priority: 1, MaxAttempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond, Timeout: 3 * time.Second},
	},
	Pools: []queue.Pool{{Name: "maps", ChecksCapacity: true}, {Name: "archive", ChecksCapacity: true}, {Name: SparePool, Spare: true}},
}

// fixture is an emulated site under test with its jobs.
type fixture struct {
	t     *testing.T
	site  *Site
	hosts []*EntryHost
	next  int
	// addresses is how many addresses startUnlike has given out.
	addresses int
	wait      sync.WaitGroup
	queue     map[job.ID]string
	mu        sync.Mutex
	// organisations are those that may own the next jobs.
	organisations []string
}

// newFixture starts a site with all entry hosts and waits 4 s of virtual time.
func newFixture(t *testing.T, seed uint64) *fixture {
	t.Helper()
	return newFixtureOf(t, layout, configuration, seed, events(t))
}

// newFixtureOf does the same for a site of its own layout and configuration.
func newFixtureOf(t *testing.T, layout Layout, configuration *queue.Configuration, seed uint64, events func(string) Events) *fixture {
	t.Helper()
	started = time.Now()
	f := &fixture{t: t, site: New(layout, seed, events), queue: map[job.ID]string{}}
	for d, dataCentre := range layout.DataCentres {
		for n := range layout.EntryHosts {
			h, err := f.site.StartHost(fmt.Sprintf("%s-%d", dataCentre, n), dataCentre, 1+d*layout.EntryHosts+n)
			if err != nil {
				t.Fatal(err)
			}
			f.hosts = append(f.hosts, h)
		}
	}
	if err := f.site.Configure(configuration); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * time.Second)
	return f
}

// submit submits a job in the background. change, if not nil, may alter the job and the
// actual behaviour of its tasks.
func (f *fixture) submit(queueName string, steps []job.Step, change func(*job.Job, []taskBehaviour)) job.ID {
	f.mu.Lock()
	f.next++
	id := JobID(f.next)
	f.queue[id] = queueName
	organisation := ""
	if len(f.organisations) > 0 {
		organisation = f.organisations[f.site.randomIndex(len(f.organisations))]
	}
	f.mu.Unlock()
	j := &job.Job{ID: id, Organisation: organisation, Spec: "spec of " + string(id), Steps: steps}
	actual := make([]taskBehaviour, len(steps))
	for n := range steps {
		actual[n] = taskBehaviour{step: &j.Steps[n], duration: j.Steps[n].Estimate, failShare: 0.01}
	}
	if change != nil {
		change(j, actual)
	}
	f.wait.Go(func() { f.site.Submit(queueName, j, actual) })
	return id
}

func newStep(n int, cpu int64, estimate time.Duration, dependsOn ...int) job.Step {
	return job.Step{Tasks: n, Needs: worker.Resources{CPU: cpu, MemoryMB: 1000}, Estimate: estimate, DependsOn: dependsOn}
}

// finish waits until all accepted jobs have ended, closes the site and fails the test for
// each job that has not ended and each violation of a guarantee.
func (f *fixture) finish() {
	f.t.Helper()
	f.wait.Wait()
	deadline := time.Now().Add(90 * time.Second)
	for time.Now().Before(deadline) {
		for _, id := range f.site.Ledger().unfinished() {
			f.site.JobState(f.queue[id], id)
		}
		for _, name := range f.site.Ledger().notRunning() {
			f.site.JobState(f.queue[job.ID(name.Job)], job.ID(name.Job))
		}
		if len(f.site.Ledger().unfinished()) == 0 && len(f.site.Ledger().notRunning()) == 0 {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	if unfinished := f.site.Ledger().unfinished(); len(unfinished) > 0 {
		f.t.Errorf("lost: %d accepted jobs did not end, first %s", len(unfinished), unfinished[0])
	}
	if notRunning := f.site.Ledger().notRunning(); len(notRunning) > 0 {
		f.t.Errorf("lost: %d long-running tasks don't run, first %s", len(notRunning), notRunning[0])
	}
	f.checkNothingHeld()
	f.site.Close()
	f.site.Ledger().checkMaxAttempts()
	f.site.Ledger().checkLastStops()
	if diff := cmp.Diff([]string(nil), f.site.Ledger().Violations()); diff != "" {
		f.t.Errorf("violated guarantees (-want +got):\n%s", diff)
	}
}

func TestNoFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.submit("serving", []job.Step{{
			Tasks: 4, Needs: worker.Resources{CPU: 2000, MemoryMB: 4000}, LongRunning: true, MaxPerHost: 1, MaxUnavailable: 1,
		}}, nil)
		var ids []job.ID
		for range 40 {
			ids = append(ids, f.submit("tiles", []job.Step{newStep(4, 1500, 800*time.Millisecond), newStep(2, 1000, 500*time.Millisecond, 0)}, nil))
			time.Sleep(100 * time.Millisecond)
		}
		f.wait.Wait()
		time.Sleep(6 * time.Second)
		for _, id := range ids {
			if state := f.site.JobState("tiles", id); state != job.Done {
				t.Errorf("job %s is %q; want done", id, state)
			}
		}
		if state := f.site.JobState("tiles", "ffffffffffffffff"); state != "" {
			t.Errorf("a job that nobody submitted is %q; want no state", state)
		}
		f.finish()
	})
}

func TestPoisonFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		id := f.submit("tiles", []job.Step{newStep(2, 1000, 300*time.Millisecond)}, func(_ *job.Job, actual []taskBehaviour) { actual[0].poison = true })
		f.wait.Wait()
		time.Sleep(5 * time.Second)
		if state := f.site.JobState("tiles", id); state != job.Failed {
			t.Errorf("a job whose tasks always fail is %q; want failed", state)
		}
		f.finish()
	})
}

func TestCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3)
		id := f.submit("rebuild", []job.Step{newStep(6, 4000, 20*time.Second)}, nil)
		f.wait.Wait()
		time.Sleep(time.Second)
		f.site.Cancel("rebuild", id)
		time.Sleep(time.Second)
		if state := f.site.JobState("rebuild", id); state != job.Cancelled {
			t.Errorf("a cancelled job is %q; want cancelled", state)
		}
		for name, h := range f.site.Ledger().tasks {
			if len(h.running) > 0 {
				t.Errorf("%s still runs after its job was cancelled", name)
			}
		}
		f.finish()
	})
}

func TestOccurrences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		id := f.submit("tiles", []job.Step{newStep(2, 1000, 300*time.Millisecond)}, func(j *job.Job, _ []taskBehaviour) {
			j.Occurrences, j.FirstAt, j.Interval = 4, time.Now().Add(2*time.Second), time.Second
		})
		f.wait.Wait()
		time.Sleep(3 * time.Second)
		if state := f.site.JobState("tiles", id); state != job.Running {
			t.Errorf("between its occurrences a job is %q; want running", state)
		}
		time.Sleep(6 * time.Second)
		if state := f.site.JobState("tiles", id); state != job.Done {
			t.Errorf("after its occurrences a job is %q; want done", state)
		}
		f.finish()
	})
}

func TestGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 5)
		step := newStep(6, 6000, time.Second)
		step.Gang = true
		id := f.submit("rebuild", []job.Step{step}, nil)
		f.wait.Wait()
		time.Sleep(8 * time.Second)
		if state := f.site.JobState("rebuild", id); state != job.Done {
			t.Errorf("a gang's job is %q; want done", state)
		}
		f.finish()
	})
}

func TestWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 6)
		f.submit("serving", []job.Step{{
			Tasks: 3, Needs: worker.Resources{CPU: 2000, MemoryMB: 4000}, LongRunning: true, MaxPerHost: 1, MaxUnavailable: 1,
		}}, nil)
		time.Sleep(6 * time.Second)
		if err := f.site.Publish(machine.Wave{Number: 1, Machines: f.site.Machines(), Duration: 60 * time.Second, MaxDown: 3}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(60 * time.Second)
		if got, want := f.site.Maintained(), len(f.site.Machines()); got != want {
			t.Errorf("%d of %d machines were maintained in time", got, want)
		}
		f.finish()
	})
}
