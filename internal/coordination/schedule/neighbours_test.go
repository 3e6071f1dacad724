package schedule

import (
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/interference"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

var foundPair = interference.Pair{Serving: "a", BestEffort: "x"}

// newPairHarness returns a pool that has found that x disturbs a.
func newPairHarness(t *testing.T, hosts ...worker.ID) *harness {
	t.Helper()
	h := newHarness(t, hosts...)
	WithInterference(interference.Avoid)(h.pool)
	h.meet()
	return h
}

func imageStep(image string, bestEffort bool) job.Step {
	step := testStep(1, 1000)
	step.Image, step.BestEffort = image, bestEffort
	if !bestEffort {
		step.LongRunning, step.TailTarget = true, 100*time.Millisecond
	}
	return step
}

// TestPlacementKeepsPairsApart guards against a found pair that meets again although another host has
// room, and against a preference that also holds for images that do no harm.
func TestPlacementKeepsPairsApart(t *testing.T) {
	h := newPairHarness(t, "h1", "h2")
	h.add(idA, imageStep("a", false))
	starts, _ := h.plan()
	h.accept(starts...)
	serving := starts[0].Target.ID
	for image, apart := range map[string]bool{"x": true, "z": false} {
		h.add(job.ID(image), imageStep(image, true))
		starts, _ = h.plan()
		if len(starts) != 1 || (starts[0].Target.ID != serving) != apart {
			t.Errorf("%s: starts %v beside a on %s; want it apart: %t", image, starts, serving, apart)
		}
	}
	if d := h.pool.Dump(h.now).Interference; d == nil || d.Chosen != 1 || len(d.Pairs) != 1 || !d.Pairs[0].Found {
		t.Errorf("dump %+v; want the pair and one choice", d)
	}
	h.add("only", imageStep("x", true))
	h.pool.Restrict([]worker.ID{"h1", "h2"}, UseNone, h.now)
	h.pool.Restrict([]worker.ID{serving}, UseAll, h.now)
	if starts, _ = h.plan(); len(starts) != 1 {
		t.Errorf("starts %v where the only host is that of a; want one", starts)
	}
}

// TestOnlyCheapRunsMove guards against work that is lost for a move, and against long-running tasks that
// move for a pair that was just found or beyond what their step allows.
func TestOnlyCheapRunsMove(t *testing.T) {
	saves := func(s *job.Step) { s.SavesProgress = true }
	longRunning := func(s *job.Step) { s.LongRunning, s.MaxUnavailable = true, 1 }
	for name, test := range map[string]struct {
		adjust func(*job.Step)
		age    time.Duration
		// away is set if another task of the step is not available.
		away, want bool
	}{
		"new":                   {func(*job.Step) {}, 500 * time.Millisecond, false, true},
		"begins-anew":           {func(*job.Step) {}, 3 * time.Second, false, false},
		"saves-progress":        {saves, 3 * time.Second, false, true},
		"gang":                  {func(s *job.Step) { s.SavesProgress, s.Gang = true, true }, 3 * time.Second, false, false},
		"long-running":          {longRunning, 4 * time.Second, false, true},
		"long-running-new-pair": {longRunning, 100 * time.Millisecond, false, false},
		"long-running-away":     {longRunning, 4 * time.Second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "h1", "h2")
			WithInterference(interference.Avoid)(h.pool)
			h.pool.limits.CheckpointInterval = time.Second
			step := imageStep("x", true)
			step.Tasks = 2
			test.adjust(&step)
			h.add(idA, step)
			starts, _ := h.plan()
			h.meet()
			h.renew("h1", 1)
			h.renew("h2", 1)
			h.accept(starts...)
			h.advance(test.age)
			lists := map[worker.ID][]worker.ActiveRun{}
			for n, s := range starts {
				if n == 0 || !test.away {
					lists[s.Target.ID] = append(lists[s.Target.ID], worker.ActiveRun{Task: s.Order.Task, Run: s.Order.Run, Percent: fullSpeed})
				}
			}
			for id, rows := range lists {
				h.renewRunning(id, 1, rows)
			}
			r := h.pool.hosts[starts[0].Target.ID].runs[runKey{starts[0].Order.Task, starts[0].Order.Run}]
			if got := h.pool.mayMove(r, foundPair, h.now); got != test.want {
				t.Errorf("may move: %t; want %t", got, test.want)
			}
			r.task.movedAt = h.now
			if h.advance(moveInterval / 2); h.pool.mayMove(r, foundPair, h.now) {
				t.Error("may move again so soon")
			}
		})
	}
}

// meet lets the two images meet on hosts of their own until the pair is found.
func (h *harness) meet() {
	h.Helper()
	for n := 0; h.pool.neighbours.model.Effect(foundPair.Serving, foundPair.BestEffort) == 0; n++ {
		if n == 20 {
			h.Fatal("the pair is not found")
		}
		for k, id := range []worker.ID{"m1", "m2", "m3"} {
			s := interference.Sample{Host: id, At: h.now, Serving: "a", Ratio: 0.3}
			if (n/2+k)%2 == 0 {
				s.Ratio, s.Beside = 0.8, []interference.Beside{{Image: "x", Speed: 1}}
			}
			h.pool.neighbours.model.Observe(s)
		}
		h.advance(500 * time.Millisecond)
		h.pool.neighbours.model.Update(h.now)
	}
}

// TestRunsMoveWhereTheyRunAsWell guards against a move to a host on which the run has no cores, is
// throttled or is away from its data.
func TestRunsMoveWhereTheyRunAsWell(t *testing.T) {
	filling, serving := imageStep("x", true), imageStep("b", false)
	filling.DataRack = "r1"
	r := &run{task: &task{step: &step{def: &filling}}, host: &host{report: report("h1")}}
	for name, test := range map[string]struct {
		used  worker.Resources
		tail  int64
		rack  string
		wants bool
	}{
		"free":      {worker.Resources{CPU: 15000}, 10, "r1", true},
		"no-cores":  {worker.Resources{CPU: 15500}, 10, "r1", false},
		"throttled": {worker.Resources{CPU: 15000}, 90, "r1", false},
		"far-data":  {worker.Resources{CPU: 15000}, 10, "r2", false},
	} {
		h := &host{report: report("h2"), used: test.used, runs: map[runKey]*run{}}
		h.report.Rack = test.rack
		h.runs[runKey{}] = &run{task: &task{step: &step{def: &serving}}, state: stateRunning, usage: test.tail}
		if got := h.runsAsWell(r); got != test.wants {
			t.Errorf("%s: %t; want %t", name, got, test.wants)
		}
	}
}
