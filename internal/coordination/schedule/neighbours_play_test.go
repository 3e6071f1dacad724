package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/interference"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// play is a pool whose workers are played in virtual time: serving tasks with tail targets, and
// best-effort tasks that raise their tail latency.
type play struct {
	*harness
	rand  *rand.Rand
	hosts []worker.ID
	runs  map[worker.ID]map[runKey]*playedRun
	// effects are the rises of the ratio of tail latency to target, by pair, at a time.
	effects func(since time.Duration) map[interference.Pair]float64
	// waiting is how many best-effort jobs are kept waiting or running, added how many came.
	waiting, added int
	images         []string
	// ticks counts the steps played.
	ticks  int
	result playResult
}

// playedRun is a run on a worker, with the work that it has done and that it has saved.
type playedRun struct {
	step       *job.Step
	speed      int
	work       float64
	startedAt  time.Time
	checkpoint string
	// ratios are those of the last half second, over which a worker measures.
	ratios []float64
}

// playResult is what was achieved.
type playResult struct {
	// over is the share of serving time over the target, work the best-effort work that counts in
	// seconds of a run at full speed, placed the best-effort runs that were started.
	over, work     float64
	placed, stops  int
	serving, ended float64
}

const (
	playStep     = 100 * time.Millisecond
	playTaskWork = 4.0
	playTarget   = 100 * time.Millisecond
)

func newPlay(t *testing.T, seed uint64, hosts int, mode interference.Mode) *play {
	t.Helper()
	y := &play{rand: rand.New(rand.NewPCG(seed, 2)), runs: map[worker.ID]map[runKey]*playedRun{}}
	for n := range hosts {
		id := worker.ID(fmt.Sprintf("h%02d", n))
		y.hosts = append(y.hosts, id)
		y.runs[id] = map[runKey]*playedRun{}
	}
	y.harness = newHarness(t, y.hosts...)
	y.pool.limits.CheckpointInterval = time.Second
	WithInterference(mode)(y.pool)
	return y
}

// serve adds a serving job with one task on each of so many hosts.
func (y *play) serve(image string, tasks int) {
	step := testStep(tasks, 9000)
	step.LongRunning, step.TailTarget, step.Image, step.MaxPerHost = true, playTarget, image, 1
	y.add(job.ID("serving-"+image), step)
}

// fill adds best-effort jobs until enough are open.
func (y *play) fill() {
	for ; y.added < y.waiting+int(y.result.ended); y.added++ {
		step := testStep(1, 2000)
		step.Needs.MemoryMB, step.BestEffort, step.SavesProgress, step.Image = 12000, true, true, y.images[y.added%len(y.images)]
		step.Estimate = time.Duration(playTaskWork * float64(time.Second))
		y.pool.AddJob(jobs.New(&job.Job{
			ID: job.ID(fmt.Sprintf("%016d", y.added)), Queue: "fill", QueueAddress: "fill", Pool: "maps", Steps: []job.Step{step},
			AcceptedAt: y.now, MaxAttempts: 2, Stretch: 100, LatencyTarget: time.Hour, Priority: 1,
		}))
	}
}

func (y *play) run(d time.Duration) playResult {
	for range int(d / playStep) {
		y.ticks++
		y.fill()
		starts, orders := y.plan()
		y.accept(starts...)
		for _, s := range starts {
			r := &playedRun{step: &y.pool.jobs[job.ID(s.Order.Task.Job)].Steps[0], speed: fullSpeed, startedAt: y.now}
			if _, err := fmt.Sscan(s.Order.Checkpoint, &r.work); err != nil {
				r.work = 0
			}
			y.runs[s.Target.ID][runKey{s.Order.Task, s.Order.Run}] = r
			if r.step.BestEffort {
				y.result.placed++
			}
		}
		for _, o := range orders.Throttles {
			if r := y.runs[o.Target.ID][runKey{o.Order.Task, o.Order.Run}]; r != nil {
				r.speed = o.Order.Percent
			}
			y.pool.ApplyThrottle(o.Target.ID, o.Order, y.now, nil)
		}
		ended := map[worker.ID][]worker.EndedRun{}
		for _, o := range orders.Stops {
			y.pool.Stopped(o.Target.ID, o.Order, y.now, y.now, nil)
			key := runKey{o.Order.Task, o.Order.Run}
			if r := y.runs[o.Target.ID][key]; r != nil {
				ended[o.Target.ID] = append(ended[o.Target.ID], y.end(o.Target.ID, key, worker.OutcomeStopped))
				y.result.stops++
			}
		}
		y.advance(playStep)
		for n, id := range y.hosts {
			y.work(id, ended)
			if len(ended[id]) > 0 || (y.ticks+n)%5 == 0 {
				y.list(id, ended[id])
			}
		}
	}
	result := y.result
	result.over /= result.serving
	return result
}

func (y *play) end(id worker.ID, key runKey, outcome worker.Outcome) worker.EndedRun {
	r := y.runs[id][key]
	delete(y.runs[id], key)
	y.ends[id]++
	return worker.EndedRun{Number: y.ends[id], Task: key.task, Run: key.run, Outcome: outcome, Checkpoint: r.checkpoint}
}

// work lets the runs of a host work for one step.
func (y *play) work(id worker.ID, ended map[worker.ID][]worker.EndedRun) {
	idle, wanted := report(id).Capacity.CPU, int64(0)
	for _, r := range y.runs[id] {
		if r.step.BestEffort {
			wanted += r.step.Needs.CPU * int64(r.speed) / fullSpeed
			continue
		}
		idle -= r.step.Needs.CPU
		y.result.serving++
		ratio := y.ratio(id, r)
		if ratio > 1 {
			y.result.over++
		}
		if r.ratios = append(r.ratios, ratio); len(r.ratios) > int(figureTime/playStep) {
			r.ratios = r.ratios[1:]
		}
	}
	share := min(1, float64(idle)/float64(max(1, wanted)))
	for _, key := range slices.SortedFunc(maps.Keys(y.runs[id]), func(a, b runKey) int { return cmp.Compare(a.task.Job, b.task.Job) }) {
		r := y.runs[id][key]
		if !r.step.BestEffort {
			continue
		}
		r.work += share * float64(r.speed) / fullSpeed * playStep.Seconds()
		r.checkpoint = fmt.Sprint(float64(int(r.work)))
		if r.work >= playTaskWork && !r.step.LongRunning {
			y.result.work += playTaskWork
			y.result.ended++
			ended[id] = append(ended[id], y.end(id, key, worker.OutcomeDone))
		}
	}
}

// ratio returns the true ratio of a serving run's tail latency to its target. Hosts differ, and the
// load of each image rises and falls.
func (y *play) ratio(id worker.ID, serving *playedRun) float64 {
	since := y.now.Sub(epoch)
	phase := (since + time.Duration(serving.step.Image[0])*3*time.Second) % (24 * time.Second)
	ratio := 0.3 + 0.15*min(phase, 24*time.Second-phase).Seconds()/12
	if id[len(id)-1]%4 == 0 {
		ratio += 0.1
	}
	var effects map[interference.Pair]float64
	if y.effects != nil {
		effects = y.effects(since)
	}
	for _, r := range y.runs[id] {
		ratio += effects[interference.Pair{Serving: serving.step.Image, BestEffort: r.step.Image}] * float64(r.speed) / fullSpeed
	}
	return ratio
}

// list delivers the list of a host, whose figures are rough.
func (y *play) list(id worker.ID, ended []worker.EndedRun) {
	var rows []worker.ActiveRun
	for key, r := range y.runs[id] {
		row := worker.ActiveRun{Task: key.task, Run: key.run, Checkpoint: r.checkpoint, Percent: r.speed, Usage: 1}
		if r.step.TailTarget > 0 {
			sum := 0.0
			for _, ratio := range r.ratios {
				sum += ratio
			}
			row.Usage = int64(sum / float64(max(1, len(r.ratios))) * (1 + 0.1*y.rand.NormFloat64()) * float64(playTarget.Milliseconds()))
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b worker.ActiveRun) int { return cmp.Compare(a.Task.String(), b.Task.String()) })
	y.pool.ApplyRenewal(id, y.pool.probe(id), y.now, y.now, worker.RenewalReply{Clock: y.clock(), Incarnation: 1, Running: rows, Ended: ended})
}

// changingEffects lets another pair of images disturb each other after 30 s.
func changingEffects(since time.Duration) map[interference.Pair]float64 {
	if since < 30*time.Second {
		return map[interference.Pair]float64{{Serving: "a", BestEffort: "x"}: 0.5, {Serving: "b", BestEffort: "y"}: 0.4}
	}
	return map[interference.Pair]float64{{Serving: "a", BestEffort: "y"}: 0.5, {Serving: "c", BestEffort: "x"}: 0.4}
}

// TestAvoidingInterference plays the same load with interference off and avoided. It guards against
// separation that costs serving tasks or best-effort work more than throttling does; against work that
// stays unplaced or is stopped in vain where each host has the image that it disturbs; and against moves
// for figures that are only rough, on hosts that differ under a load that rises and falls.
func TestAvoidingInterference(t *testing.T) {
	for name, c := range map[string]struct {
		serving, images []string
		tasks, waiting  int
		effects         func(time.Duration) map[interference.Pair]float64
		better          bool
	}{
		"room": {[]string{"a", "b", "c"}, []string{"x", "y", "z"}, 3, 18, changingEffects, true},
		"no-room": {[]string{"a"}, []string{"x"}, 9, 60, func(time.Duration) map[interference.Pair]float64 {
			return map[interference.Pair]float64{{Serving: "a", BestEffort: "x"}: 0.2}
		}, false},
		"harmless": {[]string{"a", "b", "c"}, []string{"x", "y", "z"}, 3, 18, nil, false},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s/seed-%d", name, seed), func(t *testing.T) {
				results := map[interference.Mode]playResult{}
				for _, mode := range []interference.Mode{interference.Off, interference.Avoid} {
					y := newPlay(t, seed, 9, mode)
					for _, image := range c.serving {
						y.serve(image, c.tasks)
					}
					y.images, y.waiting, y.effects = c.images, c.waiting, c.effects
					results[mode] = y.run(time.Minute)
					t.Logf("%s: %+v", mode, results[mode])
				}
				off, avoid := results[interference.Off], results[interference.Avoid]
				if c.better && (avoid.over >= off.over || avoid.work < off.work || avoid.stops == 0) {
					t.Errorf("over target %.3f, work %.0f, moved %d; off %.3f, %.0f", avoid.over, avoid.work, avoid.stops, off.over, off.work)
				}
				if !c.better && (avoid.placed != off.placed || avoid.over > off.over || avoid.stops > 0) {
					t.Errorf("placed %d, over target %.3f, stopped %d; off %d, %.3f", avoid.placed, avoid.over, avoid.stops, off.placed, off.over)
				}
			})
		}
	}
}

// TestLongRunningTasksMoveWithinMaxUnavailable guards against a step that loses more of its tasks at
// once than it allows for the sake of others.
func TestLongRunningTasksMoveWithinMaxUnavailable(t *testing.T) {
	for _, maxUnavailable := range []int{1, 2} {
		y := newPlay(t, 1, 9, interference.Avoid)
		y.serve("a", 4)
		y.effects = func(time.Duration) map[interference.Pair]float64 {
			return map[interference.Pair]float64{{Serving: "a", BestEffort: "x"}: 0.4}
		}
		y.run(time.Second)
		step := imageStep("x", true)
		step.Tasks, step.LongRunning, step.MaxPerHost, step.MaxUnavailable = 8, true, 2, maxUnavailable
		y.add("filling", step)
		y.run(time.Second)
		for range int(30 * time.Second / playStep) {
			y.run(playStep)
			here := 0
			for _, runs := range y.runs {
				here += len(runs)
			}
			if away := 4 + step.Tasks - here; away > maxUnavailable {
				t.Errorf("%d tasks are away at once; want at most %d", away, maxUnavailable)
			}
		}
		if y.result.stops == 0 {
			t.Error("no task was moved")
		}
	}
}
