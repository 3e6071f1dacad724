package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// TestRefusalsHelp plays a peak of five times the mean with a hot organisation in it, with and without
// refusals. With them at least as many jobs must be on time and in time, fewer must run for nothing,
// and those refused must be ones that end too late without refusals. The peak lasts on, since which
// jobs are too late if all load ceases at once can't be known.
func TestRefusalsHelp(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		hot    int
		factor float64
	}{{0, 1}, {0, 7}, {7, 5.5}} {
		t.Run(fmt.Sprintf("%s-sends-%v-times", organisationName(c.hot), c.factor), func(t *testing.T) {
			t.Parallel()
			without, with := newLoadRun(t, true), newLoadRun(t, true)
			with.refuse = true
			for _, l := range []*loadRun{without, with} {
				l.longer = 5 * time.Second
				l.play(0, c.hot, c.factor)
			}
			wrong := 0
			for id, retryAfter := range with.refused {
				if e := without.pool.jobs[id]; !e.EndedAt.After(e.valueEnd(0)) {
					wrong++
				}
				if retryAfter < minRetryAfter || retryAfter > maxRetryAfter {
					t.Errorf("job %s may retry after %v; want %v to %v", id, retryAfter, minRetryAfter, maxRetryAfter)
				}
			}
			a, b := total(others(without.served, -1)), total(others(with.served, -1))
			t.Logf("without refusals %+v; with them %+v, %d of them wrong", a, b, wrong)
			if wrong > 0 {
				t.Errorf("%d of %d refused jobs end in time without refusals", wrong, len(with.refused))
			}
			// Other jobs meet by chance in the two runs, which makes a few differ.
			if chance := a.jobs / 500; b.onTime < a.onTime-chance || b.inTime < a.inTime-chance {
				t.Errorf("with refusals %d jobs are on time and %d in time; want at least %d and %d, less two per mille",
					b.onTime, b.inTime, a.onTime, a.inTime)
			}
			nothing := func(s service) int { return s.jobs - s.refused - s.inTime }
			if c.factor > 1 && nothing(b) >= nothing(a) {
				t.Errorf("with refusals %d jobs run for nothing; want fewer than %d", nothing(b), nothing(a))
			}
			var tooLate int64
			for _, f := range with.pool.shares.all {
				tooLate += f.tooLate
			}
			if tooLate == 0 && nothing(b) > 0 {
				t.Error("no job is counted as accepted and too late")
			}
		})
	}
}

// fullBacklog returns a pool with more work of an organisation than its host can do in time.
func fullBacklog(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, "h1")
	h.pool.SetWeights(map[string]float64{"a": 1000})
	for range minSpreadRuns {
		h.pool.estimates.learn("tiles", time.Second, time.Second)
	}
	for n := range 15 {
		h.addFor("a", job.ID(fmt.Sprintf("%016d", n)), h.now, testStep(8, 4000))
	}
	return h
}

// newJob returns a job that would come after those of fullBacklog.
func (h *harness) newJob(id job.ID) *job.Job {
	return &job.Job{
		ID: id, Organisation: "a", Queue: "tiles", QueueAddress: "tiles", Pool: "maps", Steps: []job.Step{testStep(8, 4000)}, AcceptedAt: h.now,
		MaxAttempts: 2, Stretch: 1.6, LatencyTarget: time.Second,
	}
}

// TestNeverRefused guards against refusals of jobs that must not be, in a pool that is over-full.
func TestNeverRefused(t *testing.T) {
	for _, c := range []struct {
		name  string
		want  bool
		setup func(*harness, *job.Job)
	}{
		{"hopeless", false, func(*harness, *job.Job) {}},
		{"known", true, func(_ *harness, j *job.Job) { j.ID = "0000000000000001" }},
		{"long-running", true, func(_ *harness, j *job.Job) { j.Steps[0].LongRunning = true }},
		{"occurrences", true, func(_ *harness, j *job.Job) { j.Occurrences, j.Interval = 2, time.Second }},
		{"fenced", true, func(h *harness, _ *job.Job) { h.pool.Fence() }},
		{"no organisations", true, func(h *harness, _ *job.Job) { h.pool.SetWeights(nil) }},
		{"no hosts", true, func(h *harness, _ *job.Job) { h.list() }},
		{"higher priority", true, func(_ *harness, j *job.Job) { j.Priority = -1 }},
		{"estimates unknown", true, func(h *harness, _ *job.Job) { h.pool.estimates = estimates{} }},
		{"less work", true, func(_ *harness, j *job.Job) { j.Steps[0].Tasks = 1 }},
		{"other organisation", true, func(_ *harness, j *job.Job) { j.Organisation = "b" }},
	} {
		h := fullBacklog(t)
		j := h.newJob("ffffffffffffffff")
		c.setup(h, j)
		if _, ok := h.pool.Admit(j, h.now); ok != c.want {
			t.Errorf("%s: accepted %v; want %v", c.name, ok, c.want)
		}
	}
}

// TestUncertainEstimatesRefuseLess gives the same backlog with declared times that are far off to both
// sides: a job must not be refused as long as it may end in time.
func TestUncertainEstimatesRefuseLess(t *testing.T) {
	accepted := func(off time.Duration) int {
		h := newHarness(t, "h1")
		h.pool.SetWeights(map[string]float64{"a": 1000})
		for n := range 40 {
			h.pool.estimates.learn("tiles", time.Second, time.Second+off*time.Duration(1-2*(n%2)))
		}
		for n := range 100 {
			if _, ok := h.pool.Admit(h.newJob(job.ID(fmt.Sprintf("f%015d", n))), h.now); !ok {
				return n
			}
			h.addFor("a", job.ID(fmt.Sprintf("%016d", n)), h.now, testStep(8, 4000))
			h.pool.shares.backlog.at = time.Time{}
		}
		return 100
	}
	if exact, vague := accepted(0), accepted(900*time.Millisecond); vague <= exact || exact == 0 {
		t.Errorf("%d jobs are accepted with exact estimates and %d with vague ones; want more", exact, vague)
	}
}

// TestGrowthIsAwaited compares a pool of three hosts that has just grown to that with one that has not:
// only the former may be in time for the job.
func TestGrowthIsAwaited(t *testing.T) {
	for _, grows := range []bool{false, true} {
		h := fullBacklog(t)
		hosts := []worker.ID{"h1", "h2", "h3"}
		for n := range hosts {
			h.list(hosts[:n+1]...)
			if grows {
				h.pool.Admit(h.newJob("ffffffffffffffff"), h.now)
			}
			h.advance(maxBacklogAge)
		}
		if _, ok := h.pool.Admit(h.newJob("ffffffffffffffff"), h.now); ok != grows {
			t.Errorf("accepted %v by a pool that grows: %v", ok, grows)
		}
	}
}

// TestAtLeastFollowsTheDeviation guards against a lowest estimate that is taken for certain although
// tasks of the queue vary.
func TestAtLeastFollowsTheDeviation(t *testing.T) {
	e := estimates{}
	if got, want := e.atLeast("tiles", time.Second), 200*time.Millisecond; got != want {
		t.Errorf("at least %v before any run; want %v", got, want)
	}
	for n := range 100 {
		e.learn("tiles", time.Second, time.Second+200*time.Millisecond*time.Duration(1-2*(n%2)))
	}
	// The mean is 1 and the deviation 0.2.
	if got := e.atLeast("tiles", time.Second); got < 550*time.Millisecond || got > 650*time.Millisecond {
		t.Errorf("at least %v; want about 600 ms", got)
	}
}
