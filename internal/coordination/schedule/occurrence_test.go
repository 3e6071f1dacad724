package schedule

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// TestDueOccurrencesAreLost guards against tasks of due occurrences that are never placed, or
// placed again, when owners follow each other while tasks are done and fail in any order.
func TestDueOccurrencesAreLost(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { playDueOccurrences(t, seed) })
	}
}

func playDueOccurrences(t *testing.T, seed uint64) {
	const occurrences, tasks = 20, 20 * (7 + 1 + 3)
	h := newHarness(t, "h1", "h2", "h3")
	rng := rand.New(rand.NewPCG(1, seed))
	j := scheduled(h.now, occurrences, testStep(7, 3000), testStep(1, 1000), testStep(3, 5000, 0))
	j.MaxAttempts = 1000
	h.pool.AddJob(jobs.New(j))
	done := map[worker.TaskName]bool{}
	// running is in the order of the starts.
	var running []Start
	for round := 0; len(done) < tasks; round++ {
		if round > 5000 {
			t.Fatalf("%d of %d tasks are done", len(done), tasks)
		}
		if round%31 == 20 {
			h.nextOwner(j)
		}
		starts, _ := h.plan()
		h.checkOpenSteps(j.ID)
		for _, s := range starts {
			if done[s.Order.Task] || slices.ContainsFunc(running, func(o Start) bool { return o.Order.Task == s.Order.Task }) {
				t.Fatalf("task %s is started again", s.Order.Task)
			}
		}
		running = append(running, starts...)
		h.accept(starts...)
		h.advance(100 * time.Millisecond)
		ended, rows := map[worker.ID][]worker.EndedRun{}, map[worker.ID][]worker.ActiveRun{}
		running = slices.DeleteFunc(running, func(s Start) bool {
			id, outcome := s.Target.ID, worker.OutcomeDone
			switch rng.IntN(16) {
			case 0:
				outcome = worker.OutcomeFailed
			case 1, 2, 3, 4:
				done[s.Order.Task] = true
			default:
				rows[id] = append(rows[id], worker.ActiveRun{Task: s.Order.Task, Run: s.Order.Run, Percent: fullSpeed, Usage: 1000})
				return false
			}
			ended[id] = append(ended[id], endedRun(s, outcome))
			return true
		})
		for _, id := range []worker.ID{"h1", "h2", "h3"} {
			h.renewRunning(id, 1, rows[id], ended[id]...)
		}
	}
	h.plan()
	if state, _ := h.pool.State(j.ID); state != job.Done {
		t.Errorf("the job is %s; want %s", state, job.Done)
	}
	if n := len(h.pool.jobs[j.ID].occurrences); n > 0 {
		t.Errorf("%d occurrences are open after the job's end; want none", n)
	}
}

// checkOpenSteps compares what a plan goes through with all steps of the job: each that may start is
// there once, with its state or as one of the upcoming.
func (h *harness) checkOpenSteps(id job.ID) {
	h.Helper()
	e := h.pool.jobs[id]
	upcoming, active := 0, 0
	for occurrence := range e.OccurrenceCount() {
		for number := range e.Steps {
			if e.StepDone(occurrence, number) || !e.Ready(occurrence, number) {
				continue
			}
			o := e.occurrences[occurrence]
			if o != nil && o.steps[number].hasState() {
				active++
				if _, ok := e.openSteps.active[o.steps[number]]; !ok {
					h.Fatalf("step %d of occurrence %d has state and is not active", number, occurrence)
				}
				continue
			}
			upcoming++
			if n := e.nextUpcoming(number, occurrence, e.OccurrenceCount()); n != occurrence {
				h.Fatalf("the first upcoming occurrence of step %d from %d on is %d", number, occurrence, n)
			}
		}
	}
	counted := 0
	for number := range e.Steps {
		counted += e.upcomingWithin(number, e.NextOpen(0), e.OccurrenceCount())
	}
	if counted != upcoming || len(e.openSteps.active) != active {
		h.Fatalf("%d upcoming and %d active steps; want %d and %d", counted, len(e.openSteps.active), upcoming, active)
	}
}

// nextOwner replaces the pool by that of a later owner, which reads the recorded progress.
func (h *harness) nextOwner(j *job.Job) {
	h.Helper()
	h.plan()
	state := jobs.New(j)
	if err := state.ApplyParts(h.records[j.ID]); err != nil {
		h.Fatal(err)
	}
	ids := slices.Sorted(maps.Keys(h.pool.hosts))
	h.pool = New("maps", h.pool.token+1, h.pool.limits, h.now, discardEvents{})
	h.pool.SetChecksCapacity(true)
	h.list(ids...)
	h.pool.AddJob(state)
}

// TestUpcomingOrder checks that the latest occurrences, which can still meet their objective, come
// before those that are late already, and among these the earliest first.
func TestUpcomingOrder(t *testing.T) {
	h := newHarness(t, "h1")
	j := scheduled(h.now, 12, testStep(1, 4000))
	h.pool.AddJob(jobs.New(j))
	starts, _ := h.plan()
	// The objective is 2.6 s after the due time and the task takes one second; a result is worth
	// something until 7.8 s after.
	h.wantOccurrences(starts, 6, 7, 8, 11)
}

// wantOccurrences checks of which occurrences the started tasks are.
func (h *harness) wantOccurrences(starts []Start, want ...int) {
	h.Helper()
	var got []int
	for _, s := range starts {
		got = append(got, s.Order.Task.Occurrence)
	}
	slices.Sort(got)
	if diff := cmp.Diff(want, got); diff != "" {
		h.Errorf("occurrences with starts (-want +got):\n%s", diff)
	}
}

// TestAdviceIsAskedForEachOccurrence guards against occurrences that are never placed, since the
// placement check is not asked about them or has no host for an earlier one.
func TestAdviceIsAskedForEachOccurrence(t *testing.T) {
	h := newHarness(t, "h1")
	j := scheduled(h.now, 30, testStep(1, 100))
	j.NeedsPlacementCheck = true
	h.pool.AddJob(jobs.New(j))
	asked, started := map[int]bool{}, map[int]bool{}
	for range 60 {
		starts, orders := h.plan()
		if len(orders.PlacementQueries) > maxUnadvised {
			t.Fatalf("%d placement queries at once; want at most %d", len(orders.PlacementQueries), maxUnadvised)
		}
		for _, q := range orders.PlacementQueries {
			asked[q.Step.Occurrence] = true
			tickets := map[worker.ID]string{}
			if q.Step.Occurrence%3 > 0 {
				tickets["h1"] = "ticket"
			}
			h.pool.ApplyPlacementCheck(q, tickets, time.Minute, h.now, h.now, nil)
		}
		for _, s := range starts {
			started[s.Order.Task.Occurrence] = true
		}
		h.accept(starts...)
		h.advance(10 * time.Millisecond)
		var ended []worker.EndedRun
		for _, s := range starts {
			ended = append(ended, endedRun(s, worker.OutcomeDone))
		}
		h.renew("h1", 1, ended...)
	}
	if len(asked) != 30 || len(started) != 20 {
		t.Errorf("%d occurrences asked about and %d started; want 30 and 20", len(asked), len(started))
	}
}

// TestGangWithoutRoomLeavesNothing guards against state for a gang that is tried in vain.
func TestGangWithoutRoomLeavesNothing(t *testing.T) {
	h := newHarness(t, "h1")
	gang := testStep(50, 4000)
	gang.Gang = true
	h.pool.AddJob(jobs.New(scheduled(h.now, 1000, gang)))
	starts, orders := h.plan()
	if len(starts) > 0 || orders.HasPlacements {
		t.Errorf("%d members are started without room for all", len(starts))
	}
	if n := len(h.pool.jobs[idA].occurrences); n > 0 {
		t.Errorf("%d occurrences are open; want none", n)
	}
}

// TestQuotaWaitOfUpcoming checks the count of tasks that wait for a quota and have no state.
func TestQuotaWaitOfUpcoming(t *testing.T) {
	h := newHarness(t, "h1")
	h.pool.SetOrganisations([]queue.Organisation{{Name: "a", Quota: worker.Resources{CPU: 2000}}}, 1)
	h.pool.Allot(1, h.pool.token, 1, map[string]float64{"a": 1}, h.now)
	j := scheduled(h.now, 3, testStep(5, 1000))
	j.Organisation = "a"
	h.pool.AddJob(jobs.New(j))
	starts, _ := h.plan()
	organisations := h.pool.Organisations(h.now)
	if len(starts) != 2 || len(organisations) != 1 || organisations[0].Waiting != 3+5 {
		t.Errorf("%d tasks are started and %+v; want 2, and 8 that wait", len(starts), organisations)
	}
}

// TestUpcomingLoad checks that the demand of occurrences without state is that of all their tasks,
// without those of which the result would come too late.
func TestUpcomingLoad(t *testing.T) {
	h := newHarness(t, "h1")
	h.pool.AddJob(jobs.New(scheduled(h.now, 5000, testStep(400, 32000))))
	load := h.pool.Load(h.now)
	// See TestUpcomingOrder: those that were due at most 6.8 s ago still have a value.
	if want := int64(6 * 400 * 32000); load.Demand.CPU != want {
		t.Errorf("demand of %d; want %d", load.Demand.CPU, want)
	}
	huge := testStep(job.MaxTasks, 1<<30)
	h.pool.AddJob(jobs.New(&job.Job{
		ID: idB, Pool: "maps", Steps: []job.Step{huge}, AcceptedAt: h.now, Stretch: 1e9,
		Occurrences: job.MaxOccurrences, FirstAt: h.now, Interval: 0,
	}))
	if next := h.pool.Load(h.now); next.Demand.CPU < load.Demand.CPU {
		t.Errorf("the demand fell from %d to %d", load.Demand.CPU, next.Demand.CPU)
	}
}

// TestPackedTasks compares the hosts for like tasks, packed together, with those for each by itself.
func TestPackedTasks(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	capacity := worker.Resources{CPU: 16000, MemoryMB: 64000}
	for range 500 {
		var together []packedTasks
		free, onHost := []worker.Resources{}, []int{}
		for cpu := int64(15000); cpu > 0; cpu -= 1 + rng.Int64N(5000) {
			item := packedTasks{worker.Resources{CPU: cpu, MemoryMB: 100}, 1 + rng.IntN(30), rng.IntN(3)}
			together = append(together, item)
			clear(onHost)
			for range item.count {
				n := 0
				for n < len(free) && (!item.needs.Fits(free[n]) || (item.perHost > 0 && onHost[n] >= item.perHost)) {
					n++
				}
				if n == len(free) {
					free, onHost = append(free, capacity), append(onHost, 0)
				}
				free[n] = free[n].Minus(item.needs)
				onHost[n]++
			}
		}
		if got := hostsToPack(together, capacity); got != len(free) {
			t.Fatalf("%d hosts for %v; want %d", got, together, len(free))
		}
	}
}

// BenchmarkPlanDue plans a job with many due occurrences that fit no host: of which nothing has
// begun, or of which the first step is done.
func BenchmarkPlanDue(b *testing.B) {
	for _, begun := range []bool{false, true} {
		for _, due := range []int{5, 500, 5000} {
			b.Run(fmt.Sprintf("begun-%t/due-%d", begun, due), func(b *testing.B) {
				p, now := loadedPool(b, 30, 100)
				before := heap()
				j := jobs.New(scheduled(now, due, testStep(1, 1000), testStep(400, 32000, 0)))
				if !begun {
					j.Steps = j.Steps[1:]
					j.Steps[0].DependsOn = nil
				}
				for occurrence := 0; begun && occurrence < due; occurrence++ {
					j.MarkDone(occurrence, 0, 0, now)
				}
				p.AddJob(j)
				p.Plan(now)
				p.Load(now)
				held := heap() - before
				b.ReportAllocs()
				for b.Loop() {
					p.Plan(now)
				}
				b.ReportMetric(float64(held)/1024, "held-KB")
			})
		}
	}
}

// BenchmarkRecordDue takes the change of one occurrence out of many that are open, of which the first
// step is done.
func BenchmarkRecordDue(b *testing.B) {
	for _, due := range []int{5, 500, 5000} {
		b.Run(fmt.Sprintf("due-%d", due), func(b *testing.B) {
			p, now := loadedPool(b, 30, 100)
			j := jobs.New(scheduled(now, due, testStep(1, 1000), testStep(400, 32000, 0)))
			j.SplitProgress(256)
			for occurrence := range due {
				j.MarkDone(occurrence, 0, 0, now)
			}
			p.AddJob(j)
			if _, err := p.TakeUnrecorded(); err != nil {
				b.Fatal(err)
			}
			run := int64(0)
			b.ReportAllocs()
			for b.Loop() {
				run++
				j.MarkCrashed(0, 1, 0, run)
				j.ClearCrashes(0, 1, 0)
				p.markDirty(p.jobs[idA])
				if _, err := p.TakeUnrecorded(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
