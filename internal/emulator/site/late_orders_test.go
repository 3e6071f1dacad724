package site

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// darkTime is how long a worker that goes dark is away.
	darkTime = 600 * time.Millisecond
	// cutAfter is how long after its return it is cut off.
	cutAfter = 2 * time.Second
	// lifeTime is the age of the first lives at the faults: their leases end far ahead on the clocks
	// of the next lives.
	lifeTime = 30 * time.Second
)

// cutTimes are how long workers are cut off: within the longest lease, and beyond it.
var cutTimes = []time.Duration{9 * time.Second, 16 * time.Second}

// machinesOf returns n machines of a pool.
func (f *fixture) machinesOf(pool string, n int) []*simMachine {
	f.site.mu.Lock()
	defer f.site.mu.Unlock()
	live := slices.DeleteFunc(f.site.liveMachines(), func(m *simMachine) bool { return m.pool != pool })
	for n < len(live) {
		out := f.site.randomIndex(len(live))
		live = slices.Delete(live, out, out+1)
	}
	return live
}

// isolateMachine cuts off the worker of a machine, if it has one.
func (s *Site) isolateMachine(m *simMachine, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.worker != nil {
		s.isolate(m.worker, duration)
	}
}

// runUnderLoad submits long and short tasks while the faults go on, and checks the site at the end.
func runUnderLoad(f *fixture, faults func()) {
	// Tasks that last keep the pool from shrinking meanwhile.
	lasting := newStep(12, 2000, 0)
	lasting.LongRunning, lasting.MaxPerHost = true, 2
	f.submit("serving", []job.Step{lasting}, nil)
	time.Sleep(lifeTime)
	f.submit("tiles", []job.Step{newStep(24, 1000, 20*time.Second)}, nil)
	f.wait.Go(func() {
		time.Sleep(time.Second)
		faults()
	})
	for range 60 {
		f.submit("tiles", []job.Step{newStep(6, 1000, 800*time.Millisecond), newStep(2, 1000, 400*time.Millisecond, 0)}, nil)
		time.Sleep(250 * time.Millisecond)
	}
	f.wait.Wait()
	time.Sleep(maxLateDelay)
	f.finish()
}

// restartAndCutOff makes workers go dark one after another; each is back and then cut off.
func (f *fixture) restartAndCutOff(cutTime, longestPause time.Duration) {
	for _, m := range f.machinesOf("maps", 3) {
		f.wait.Go(func() {
			if f.site.restartWorker(m, darkCrash, darkTime) {
				time.Sleep(darkTime + cutAfter)
				f.site.isolateMachine(m, cutTime)
			}
		})
		time.Sleep(time.Duration(f.site.random() * float64(longestPause)))
	}
}

// runSeeds runs a test with seeds.
func runSeeds(t *testing.T, seeds uint64, run func(*fixture)) {
	t.Helper()
	for seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed+1), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(newFixture(t, seed+1)) })
		})
	}
}

func TestLateOrdersExtendNoLeaseOfTheNextLife(t *testing.T) {
	for _, cutTime := range cutTimes {
		t.Run(fmt.Sprint("cut-", cutTime), func(t *testing.T) {
			runSeeds(t, 16, func(f *fixture) {
				runUnderLoad(f, func() { f.restartAndCutOff(cutTime, 1500*time.Millisecond) })
			})
		})
	}
}

func TestLateOrdersOfAKilledOwnerStartNothingTwice(t *testing.T) {
	for _, cutTime := range cutTimes {
		t.Run(fmt.Sprint("cut-", cutTime), func(t *testing.T) {
			runSeeds(t, 16, func(f *fixture) { runUnderLoad(f, func() { killOwnerAfterCrashes(f, cutTime) }) })
		})
	}
}

func killOwnerAfterCrashes(f *fixture, cutTime time.Duration) {
	f.restartAndCutOff(cutTime, 200*time.Millisecond)
	time.Sleep(1600 * time.Millisecond)
	n := slices.Index(f.hosts, f.site.Owner("maps"))
	if n < 0 {
		f.t.Error("nobody owns the pool")
		return
	}
	f.restart(n, 5*time.Second)
}

func TestLateOrdersOfTwoLivesStartNothingTwice(t *testing.T) {
	runSeeds(t, 16, func(f *fixture) {
		f.site.SetLostOrderShare(0.1)
		runUnderLoad(f, func() {
			for range 3 {
				for _, m := range f.machinesOf("maps", 2) {
					f.wait.Go(func() {
						f.site.restartWorker(m, darkCrash, darkTime)
						time.Sleep(darkTime + time.Duration(1500*f.site.random())*time.Millisecond)
						f.site.restartWorker(m, darkCrash, darkTime)
					})
				}
				time.Sleep(4 * time.Second)
			}
			f.site.SetLostOrderShare(0)
		})
	})
}

// TestWorkersTakeLeasesAsTheyAnswer checks from which starts a worker takes the lease.
func TestWorkersTakeLeasesAsTheyAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.site.Close()
		step := newStep(2, cores*1000, time.Hour)
		j := &job.Job{ID: JobID(1), Spec: "tiles", Queue: "tiles", Steps: []job.Step{step}}
		f.site.Ledger().submit(j, []taskBehaviour{{step: &j.Steps[0], duration: time.Hour}})
		for _, tt := range []struct {
			name    string
			before  func(*Worker)
			change  func(*Worker, *worker.StartOrder)
			refusal worker.Refusal
			takes   bool
		}{
			{name: "accepted", takes: true},
			{name: "repeated", before: func(w *Worker) { w.start(startOf(w, 0, 1, time.Second), "", false) }, takes: true},
			{
				name: "stale", before: func(w *Worker) { w.stop(worker.StopOrder{Task: taskOf(0), Run: 1, Token: 1 << 40}) },
				refusal: worker.RefusedStale, takes: true,
			},
			{
				name: "capacity", before: func(w *Worker) { w.start(startOf(w, 1, 1, time.Second), "", false) },
				refusal: worker.RefusedCapacity, takes: true,
			},
			{
				name: "fenced", before: func(w *Worker) { w.stop(worker.StopOrder{Task: taskOf(1), Run: 1, Token: 1 << 41}) },
				refusal: worker.RefusedFenced,
			},
			{
				name: "expired", change: func(w *Worker, o *worker.StartOrder) { o.LeaseEnd = w.clock() },
				refusal: worker.RefusedLeaseExpired,
			},
		} {
			t.Log(tt.name)
			w := newWorker(f.site, worker.ID(tt.name), f.machinesOf("maps", 1)[0], 1)
			if tt.before != nil {
				tt.before(w)
			}
			o, before := startOf(w, 0, 1, 4*time.Second), w.leaseEnd
			if tt.change != nil {
				tt.change(w, &o)
			}
			if got := w.start(o, "", false).Refusal; got != tt.refusal {
				t.Errorf("%s: the start is answered with %v; want %v", tt.name, got, tt.refusal)
			}
			want := before
			if tt.takes {
				want = o.LeaseEnd
			}
			if w.leaseEnd != want {
				t.Errorf("%s: the lease ends at %s; want %s", tt.name, w.leaseEnd, want)
			}
			w.kill()
		}
	})
}

func taskOf(index int) worker.TaskName { return worker.TaskName{Job: string(JobID(1)), Index: index} }

// startOf returns the start of a run whose lease ends after a time.
func startOf(w *Worker, index int, run int64, lease time.Duration) worker.StartOrder {
	return worker.StartOrder{Task: taskOf(index), Run: run, Spec: "tiles", Token: 1 << 40, LeaseEnd: w.clock() + lease}
}

// crashTwice has workers go dark twice in a row; between is called after the first time.
func crashTwice(f *fixture, between func()) {
	for _, m := range f.machinesOf("maps", 4) {
		f.wait.Go(func() {
			f.site.restartWorker(m, darkCrash, darkTime)
			time.Sleep(6*time.Second + time.Duration(1500*f.site.random())*time.Millisecond)
			f.site.restartWorker(m, darkCrash, darkTime)
		})
	}
	time.Sleep(1500 * time.Millisecond)
	between()
	time.Sleep(5 * time.Second)
}

func TestStartIntoTheDarkBeginsOnTheLifeAfterNext(t *testing.T) {
	runSeeds(t, 16, func(f *fixture) {
		runUnderLoad(f, func() { crashTwice(f, func() {}) })
	})
}

func TestSuccessorForgetsAStartIntoTheDark(t *testing.T) {
	runSeeds(t, 16, func(f *fixture) {
		runUnderLoad(f, func() {
			crashTwice(f, func() {
				if n := slices.Index(f.hosts, f.site.Owner("maps")); n >= 0 {
					f.restart(n, 5*time.Second)
				}
			})
		})
	})
}
