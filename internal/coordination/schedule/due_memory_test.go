package schedule

import (
	"runtime"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// scheduled returns a job of which so many occurrences are due, one each second.
func scheduled(now time.Time, occurrences int, steps ...job.Step) *job.Job {
	return &job.Job{
		ID: idA, Queue: "tiles", QueueAddress: "tiles", Pool: "maps", Steps: steps, AcceptedAt: now, MaxAttempts: 2, Stretch: 1.6, LatencyTarget: time.Second,
		Occurrences: occurrences, FirstAt: now.Add(-time.Duration(occurrences) * time.Second), Interval: time.Second,
	}
}

// heap returns the bytes of the heap in use.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestDueOccurrencesExhaustMemory guards against an owner that holds every task of every due
// occurrence of a job: one submission of 150 bytes may ask for millions. An owner has 32 MB.
func TestDueOccurrencesExhaustMemory(t *testing.T) {
	const maxBytes = 32 << 20
	tooLarge, step := testStep(400, 32000), testStep(400, 1000)
	lasting, advised, gang := testStep(400, 4000), testStep(400, 1000), testStep(400, 1000)
	lasting.LongRunning, gang.Gang = true, true
	for name, c := range map[string]struct {
		step      job.Step
		configure func(h *harness, j *job.Job)
	}{
		"fits no host":      {tooLarge, func(*harness, *job.Job) {}},
		"fits":              {step, func(*harness, *job.Job) {}},
		"long-running":      {lasting, func(*harness, *job.Job) {}},
		"gang":              {gang, func(*harness, *job.Job) {}},
		"awaits advice":     {advised, func(_ *harness, j *job.Job) { j.NeedsPlacementCheck = true }},
		"shares":            {tooLarge, func(h *harness, _ *job.Job) { h.pool.SetWeights(map[string]float64{"a": 1}) }},
		"waits for a quota": {step, func(h *harness, j *job.Job) { j.Organisation = "a"; h.pool.AwaitOrganisations() }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "h1", "h2")
			j := scheduled(h.now, 5000, c.step)
			c.configure(h, j)
			before := heap()
			h.pool.AddJob(jobs.New(j))
			for range 3 {
				h.plan()
				h.pool.Load(h.now)
				h.pool.Dump(h.now)
				h.advance(time.Second)
			}
			after := heap()
			if after > before+maxBytes {
				t.Errorf("the owner holds %d MB for one job; want at most %d", (after-before)>>20, maxBytes>>20)
			}
			runtime.KeepAlive(h)
		})
	}
}
