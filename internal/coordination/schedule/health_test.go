package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// failingPlay plays long-running tasks that fail after a random time on hosts with room for twice as
// many.
type failingPlay struct {
	*harness
	rng  *rand.Rand
	mean time.Duration
	// running is in the order of the starts.
	running []Start
	failsAt map[worker.TaskName]time.Time
	// lastRun is when a task last had a run, and longest the longest time that one had none.
	lastRun map[worker.TaskName]time.Time
	longest time.Duration
}

func (f *failingPlay) play(hosts []worker.ID, duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.advance(50 * time.Millisecond) {
		starts, _ := f.plan()
		f.accept(starts...)
		for _, s := range starts {
			f.failsAt[s.Order.Task] = f.now.Add(time.Duration(f.rng.ExpFloat64() * float64(f.mean)))
			if last, ok := f.lastRun[s.Order.Task]; ok {
				f.longest = max(f.longest, f.now.Sub(last))
			}
		}
		f.running = append(f.running, starts...)
		ended, rows := map[worker.ID][]worker.EndedRun{}, map[worker.ID][]worker.ActiveRun{}
		f.running = slices.DeleteFunc(f.running, func(s Start) bool {
			id, name := s.Target.ID, s.Order.Task
			f.lastRun[name] = f.now
			if f.now.Before(f.failsAt[name]) {
				rows[id] = append(rows[id], worker.ActiveRun{Task: name, Run: s.Order.Run, Percent: fullSpeed})
				return false
			}
			ended[id] = append(ended[id], endedRun(s, worker.OutcomeFailed))
			return true
		})
		for _, id := range hosts {
			f.renewRunning(id, 1, rows[id], ended[id]...)
		}
	}
	for name, last := range f.lastRun {
		if !slices.ContainsFunc(f.running, func(s Start) bool { return s.Order.Task == name }) {
			f.longest = max(f.longest, f.now.Sub(last))
		}
	}
}

// TestFailingTasksCloseHosts guards against long-running tasks that wait for seconds on hosts with
// room, since all hosts are suspected: such tasks never succeed, and may fail at any time.
func TestFailingTasksCloseHosts(t *testing.T) {
	hosts := []worker.ID{"h1", "h2", "h3", "h4"}
	for _, mean := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, 20 * time.Second} {
		for seed := range uint64(5) {
			h := newHarness(t, hosts...)
			f := failingPlay{
				harness: h, rng: rand.New(rand.NewPCG(5, seed)), mean: mean,
				failsAt: map[worker.TaskName]time.Time{}, lastRun: map[worker.TaskName]time.Time{},
			}
			lasting := testStep(5, 400)
			lasting.LongRunning = true
			for n := range 16 {
				h.add(job.ID(fmt.Sprintf("%016x", n+1)), lasting)
			}
			f.play(hosts, 90*time.Second)
			if f.longest > 3*time.Second {
				t.Errorf("mean %s, seed %d: a task had no run for %s", mean, seed, f.longest)
			}
		}
	}
}

// TestFailingHostIsAvoided checks that a host which fails every run still gets one at a time, while
// the others take what they have room for.
func TestFailingHostIsAvoided(t *testing.T) {
	h := newHarness(t, "h1", "h2", "h3")
	for n := range 30 {
		h.add(job.ID(fmt.Sprintf("%016x", n+1)), testStep(1, 4000))
	}
	onBad, done := 0, 0
	for range 40 {
		starts, _ := h.plan()
		h.accept(starts...)
		h.advance(100 * time.Millisecond)
		ended := map[worker.ID][]worker.EndedRun{}
		for _, s := range starts {
			outcome := worker.OutcomeDone
			if s.Target.ID == "h1" {
				outcome = worker.OutcomeFailed
				onBad++
			} else {
				done++
			}
			ended[s.Target.ID] = append(ended[s.Target.ID], endedRun(s, outcome))
		}
		for _, id := range []worker.ID{"h1", "h2", "h3"} {
			h.renew(id, 1, ended[id]...)
		}
	}
	if onBad > 8 || done < 28 {
		t.Errorf("%d runs on the host that fails all, %d done on others; want at most 8 and at least 28", onBad, done)
	}
}
