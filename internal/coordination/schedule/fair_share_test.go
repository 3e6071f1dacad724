package schedule

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// addFor adds a job of an organisation that was accepted at some time.
func (h *harness) addFor(organisation string, id job.ID, at time.Time, steps ...job.Step) {
	h.pool.AddJob(jobs.New(&job.Job{
		ID: id, Organisation: organisation, Queue: "tiles", QueueAddress: "tiles", Pool: "maps", Steps: steps, AcceptedAt: at,
		MaxAttempts: 2, Stretch: 1.6, LatencyTarget: time.Second,
	}))
}

// startedJobs counts the starts by the first letter of their job.
func (h *harness) startedJobs(starts []Start) map[string]int {
	started := map[string]int{}
	for _, s := range starts {
		started[s.Order.Task.Job[:1]]++
	}
	return started
}

// TestLowestShareComesFirst has two organisations wait for one host. The heavier one must get as much
// more as it weighs, whatever the order of submission, and by the resource that each uses most.
func TestLowestShareComesFirst(t *testing.T) {
	h := newHarness(t, "h1")
	h.pool.SetWeights(map[string]float64{"a": 300, "b": 100})
	memory := job.Step{Tasks: 1, Needs: worker.Resources{CPU: 100, MemoryMB: 8000}, Estimate: time.Second}
	for n := range 10 {
		h.addFor("b", job.ID(fmt.Sprintf("b%015d", n)), h.now, memory)
		h.addFor("a", job.ID(fmt.Sprintf("a%015d", n)), h.now, testStep(1, 2000))
	}
	starts, _ := h.plan()
	// Each task takes an eighth of the host; six of the one and two of the other are in proportion.
	if diff := cmp.Diff(map[string]int{"a": 6, "b": 2}, h.startedJobs(starts)); diff != "" {
		t.Errorf("tasks started of each organisation (-want +got):\n%s", diff)
	}
}

// TestExcessComesLast lets the heavier of two organisations submit more than its weight. The jobs
// beyond it must come after those of the other, of the same class, and take what these leave.
func TestExcessComesLast(t *testing.T) {
	h := newHarness(t, "h1")
	h.pool.SetWeights(map[string]float64{"a": 2, "b": 1})
	step := testStep(1, 2000)
	step.Estimate = time.Minute
	for n := range 8 {
		h.addFor("a", job.ID(fmt.Sprintf("a%015d", n)), h.now, step)
	}
	for n := range 5 {
		h.addFor("b", job.ID(fmt.Sprintf("b%015d", n)), h.now.Add(-time.Duration(n)*time.Second), step)
	}
	starts, _ := h.plan()
	if diff := cmp.Diff(map[string]int{"a": 3, "b": 5}, h.startedJobs(starts)); diff != "" {
		t.Errorf("tasks started of each organisation (-want +got):\n%s", diff)
	}
	excess := 0
	for _, e := range h.pool.jobs {
		if e.excess {
			excess++
		}
	}
	if excess != 6 {
		t.Errorf("%d jobs are excess; want 6 of 8 at 2 a second", excess)
	}
}

// TestExcessIsTheSameForANewOwner delivers jobs in several orders, some before the weights are known,
// and after others were forgotten. The marks must not depend on that, or an owner's successor would
// serve other jobs first.
func TestExcessIsTheSameForANewOwner(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	type accepted struct {
		id    job.ID
		at    time.Time
		steps job.Step
	}
	var all []accepted
	for n := range 200 {
		step := testStep(1, 1000)
		step.LongRunning = n%20 == 0
		all = append(all, accepted{job.ID(fmt.Sprintf("%016d", n)), epoch.Add(time.Duration(random.IntN(20_000)) * time.Millisecond), step})
	}
	marks := func(weighedAfter int) map[job.ID]bool {
		h := newHarness(t, "h1")
		random.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
		for n, s := range all {
			if n == weighedAfter {
				h.pool.SetWeights(map[string]float64{"a": 5})
			}
			h.addFor("a", s.id, s.at, s.steps)
			if n%30 == 0 {
				h.plan()
			}
		}
		h.plan()
		found := map[job.ID]bool{}
		for id, e := range h.pool.jobs {
			found[id] = e.excess
			if e.excess && e.longRunning() {
				t.Errorf("the long-running job %s is excess", id)
			}
		}
		return found
	}
	want := marks(0)
	for _, weighedAfter := range []int{0, 100, 199} {
		if diff := cmp.Diff(want, marks(weighedAfter)); diff != "" {
			t.Errorf("marks with the weights known after %d jobs (-want +got):\n%s", weighedAfter, diff)
		}
	}
}

// TestBucketAdmitsTheWeight submits at exactly the weight, in bursts of a second, and beyond it: the
// former must never be excess, the latter as much as it is beyond.
func TestBucketAdmitsTheWeight(t *testing.T) {
	for _, c := range []struct {
		name   string
		weight float64
		at     func(n int) time.Duration
		excess int
	}{
		{"even", 10, func(n int) time.Duration { return time.Duration(n) * 100 * time.Millisecond }, 0},
		{"bursts", 10, func(n int) time.Duration { return time.Duration(n/10) * time.Second }, 0},
		{"twice", 10, func(n int) time.Duration { return time.Duration(n) * 50 * time.Millisecond }, 40},
		{"below one", 0.5, func(n int) time.Duration { return time.Duration(n) * 2 * time.Second }, 0},
		{"no weight", 0, func(n int) time.Duration { return time.Duration(n) * time.Second }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, "h1")
			h.pool.SetWeights(map[string]float64{"a": c.weight})
			for n := range 100 {
				h.addFor("a", job.ID(fmt.Sprintf("%016d", n)), epoch.Add(c.at(n)), testStep(1, 1000))
			}
			h.plan()
			excess := 0
			for _, e := range h.pool.jobs {
				if e.excess {
					excess++
				}
			}
			if excess < c.excess || excess > c.excess+c.excess/10 {
				t.Errorf("%d of 100 jobs are excess; want %d", excess, c.excess)
			}
		})
	}
}

// TestWaitingJobBecomesLate lets a job wait until it is late. It must then come after one that is on
// time, and before it as long as it was on time itself.
func TestWaitingJobBecomesLate(t *testing.T) {
	for _, c := range []struct {
		wait time.Duration
		want string
	}{{0, "a"}, {1600 * time.Millisecond, "a"}, {1700 * time.Millisecond, "b"}, {6 * time.Second, "b"}} {
		h := newHarness(t, "h1")
		h.pool.SetWeights(map[string]float64{"o": 100})
		h.addFor("o", "full000000000000", h.now, testStep(1, 16000))
		starts, _ := h.plan()
		h.accept(starts...)
		// The objective of this job is 2.6 s after its acceptance, and it takes 1 s.
		h.addFor("o", "a000000000000000", h.now, testStep(1, 16000))
		h.plan()
		h.advance(c.wait - 5*time.Millisecond)
		h.addFor("o", "b000000000000000", h.now, testStep(1, 16000), testStep(1, 16000, 0))
		h.renew("h1", 1, endedRun(starts[0], worker.OutcomeDone))
		starts, _ = h.plan()
		if diff := cmp.Diff(map[string]int{c.want: 1}, h.startedJobs(starts)); diff != "" {
			t.Errorf("started after %v (-want +got):\n%s", c.wait, diff)
		}
	}
}

// TestUseIsCountedForTheOrganisation switches the shares off and on while runs come and go: the use of
// each organisation must stay what its runs reserve, or its share would drift.
func TestUseIsCountedForTheOrganisation(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	check := func() {
		t.Helper()
		want, got := map[string]worker.Resources{}, map[string]worker.Resources{}
		for _, host := range h.pool.hosts {
			for _, r := range host.runs {
				o := r.task.step.job.Organisation
				want[o] = want[o].Plus(r.needs)
			}
		}
		for name, f := range h.pool.shares.all {
			if f.used != (worker.Resources{}) {
				got[name] = f.used
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("use of the organisations (-want +got):\n%s", diff)
		}
	}
	for n := range 6 {
		h.addFor("ab"[n%2:n%2+1], job.ID(fmt.Sprintf("%016d", n)), h.now, testStep(4, 1000))
	}
	starts, _ := h.plan()
	h.accept(starts...)
	h.pool.SetWeights(map[string]float64{"a": 3})
	check()
	h.advance(time.Second)
	h.renew("h1", 1, endedRun(starts[0], worker.OutcomeDone), endedRun(starts[1], worker.OutcomeFailed))
	h.plan()
	check()
	h.pool.SetWeights(nil)
	h.plan()
	h.pool.SetWeights(map[string]float64{})
	h.plan()
	check()
	for n := range 6 {
		h.pool.CancelJob(job.ID(fmt.Sprintf("%016d", n)), h.now)
	}
	h.plan()
	h.pool.RenewalFailed("h1", h.now, h.now, context.DeadlineExceeded)
	h.pool.RenewalFailed("h2", h.now, h.now, context.DeadlineExceeded)
	h.advance(2 * time.Minute)
	h.plan()
	check()
	h.pool.Forget(h.now)
	if n := len(h.pool.shares.all); n != 0 {
		t.Errorf("%d organisations are kept after their jobs were forgotten; want 0", n)
	}
}

// TestOneOrganisationIsPlannedAsNone plays random jobs of all kinds on two pools, one without
// organisations and one with a single one. Both must start and stop the same, since what a plan passes
// over by shares must have no room in any case.
func TestOneOrganisationIsPlannedAsNone(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 3))
		var pools [2]*harness
		for n := range pools {
			pools[n] = newHarness(t, "h1", "h2", "h3")
		}
		pools[1].pool.SetWeights(map[string]float64{"": 1e6})
		for round := range 60 {
			for range random.IntN(6) {
				j := randomJob(random, fmt.Sprintf("%03d", round), seed%2 == 0)
				for _, h := range pools {
					own := *j
					own.AcceptedAt = h.now
					h.pool.AddJob(jobs.New(&own))
				}
			}
			var names [2][]string
			var stops [2]int
			for n, h := range pools {
				starts, orders := h.plan()
				h.accept(starts...)
				names[n], stops[n] = taskNames(starts), len(orders.Stops)
				slices.Sort(names[n])
			}
			if diff := cmp.Diff(names[0], names[1]); diff != "" {
				t.Fatalf("seed %d, round %d: starts with an organisation (-without +with):\n%s", seed, round, diff)
			}
			if stops[0] != stops[1] {
				t.Fatalf("seed %d, round %d: %d stops with an organisation; want %d", seed, round, stops[1], stops[0])
			}
			if stops[0] > 0 {
				// Which of several equal runs is preempted is left to chance.
				break
			}
			for _, h := range pools {
				h.advance(time.Duration(100+50*(round%7)) * time.Millisecond)
				h.endSome(uint64(round))
			}
		}
	}
}

// randomJob returns a job of any kind; without preemptible, none may be preempted.
func randomJob(random *rand.Rand, prefix string, preemptible bool) *job.Job {
	j := &job.Job{
		ID: job.ID(fmt.Sprintf("%s%013x", prefix, random.Uint32())), Queue: "tiles", QueueAddress: "tiles", Pool: "maps", MaxAttempts: 2,
		Stretch: 1.6, LatencyTarget: time.Second, Priority: random.IntN(3),
	}
	for n := range 1 + random.IntN(3) {
		s := testStep(1+random.IntN(4), int64(500*(1+random.IntN(10))))
		s.Estimate = time.Duration(100*(1+random.IntN(20))) * time.Millisecond
		switch random.IntN(8) {
		case 0:
			s.Gang = true
		case 1:
			s.MaxPerHost = 1
		case 2:
			s.LongRunning = random.IntN(4) == 0
		default:
			s.SavesProgress = preemptible && random.IntN(2) == 0
		}
		if n > 0 && random.IntN(3) > 0 {
			s.DependsOn = []int{n - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// endSome has the hosts report some of their runs as ended, the same ones for the same seed.
func (h *harness) endSome(seed uint64) {
	for _, id := range []worker.ID{"h1", "h2", "h3"} {
		host := h.pool.hosts[id]
		var running []worker.ActiveRun
		var ended []worker.EndedRun
		keys := slices.SortedFunc(maps.Keys(host.runs), func(a, b runKey) int { return strings.Compare(a.task.String(), b.task.String()) })
		for n, key := range keys {
			if r := host.runs[key]; (uint64(n)+seed)%3 == 0 && !r.task.step.def.LongRunning {
				ended = append(ended, worker.EndedRun{Task: key.task, Run: key.run, Outcome: worker.OutcomeDone})
			} else {
				running = append(running, worker.ActiveRun{Task: key.task, Run: key.run, Percent: fullSpeed, Usage: 1})
			}
		}
		h.renewRunning(id, 1, running, ended...)
	}
}
