package schedule

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// simRun is a run on a simulated host.
type simRun struct {
	Start
	begun time.Time
}

// simulate plays the pool's runs for a time. Each takes work on a sound host and uses the processor
// as usage says; one of a broken host never ends and uses none. It returns how often a run of each
// task was stopped, and whether anything was held against the broken host.
func (h *harness) simulate(d, work time.Duration, usage int64, hosts []worker.ID, broken worker.ID) (stops map[worker.TaskName]int, blamed bool) {
	h.Helper()
	runs := map[runKey]simRun{}
	stops = map[worker.TaskName]int{}
	for end := h.now.Add(d); h.now.Before(end); h.advance(100 * time.Millisecond) {
		starts, orders := h.plan()
		h.accept(starts...)
		for _, s := range starts {
			runs[runKey{s.Order.Task, s.Order.Run}] = simRun{s, h.now}
		}
		ended := map[worker.ID][]worker.EndedRun{}
		end := func(key runKey, outcome worker.Outcome) {
			r := runs[key]
			ended[r.Target.ID] = append(ended[r.Target.ID], endedRun(r.Start, outcome))
			delete(runs, key)
		}
		for _, s := range orders.Stops {
			stops[s.Order.Task]++
			end(runKey{s.Order.Task, s.Order.Run}, worker.OutcomeStopped)
		}
		running := map[worker.ID][]worker.ActiveRun{}
		for key, r := range runs {
			if r.Target.ID != broken && h.now.Sub(r.begun) >= work {
				end(key, worker.OutcomeDone)
				continue
			}
			row := worker.ActiveRun{Task: key.task, Run: key.run, Percent: fullSpeed, Usage: usage}
			if r.Target.ID == broken {
				row.Usage = min(usage, 0)
			}
			running[r.Target.ID] = append(running[r.Target.ID], row)
		}
		for _, id := range hosts {
			h.renewRunning(id, 1, running[id], ended[id]...)
		}
		if b := h.pool.hosts[broken]; b != nil {
			blamed = blamed || b.health.suspected(h.now) || len(b.health.failedJobs) > 0
		}
	}
	return stops, blamed
}

// TestRoughEstimatesLoseNoTask guards against tasks that are stopped and started again for ever, and
// hosts that are closed to others, because tasks take far longer than their estimates say.
func TestRoughEstimatesLoseNoTask(t *testing.T) {
	hosts := []worker.ID{"h1", "h2", "h3"}
	for name, c := range map[string]struct {
		cpu, accelerators, usage int64
		work                     time.Duration
	}{
		"uses the processor":          {4000, 0, 4000, 6 * time.Second},
		"far off":                     {4000, 0, 4000, 50 * time.Second},
		"uses less than it asks for":  {4000, 0, 100, 6 * time.Second},
		"uses an accelerator":         {0, 1, 0, 6 * time.Second},
		"only waits":                  {4000, 0, 0, 6 * time.Second},
		"usage that is not measured":  {4000, 0, worker.UsageUnknown, 6 * time.Second},
		"asks for both, waits mostly": {100, 1, 0, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, hosts...)
			var reports []worker.Report
			for _, id := range hosts {
				r := report(id)
				r.Capacity.Accelerators = 4
				reports = append(reports, r)
			}
			h.pool.SetHosts(reports, h.now)
			rough := testStep(4, c.cpu)
			rough.Needs.Accelerators, rough.Estimate = c.accelerators, c.work/12
			ids := []job.ID{"000000000000000a", "000000000000000b", "000000000000000c"}
			for _, id := range ids {
				h.add(id, rough)
			}
			stops, _ := h.simulate(5*c.work+20*time.Second, c.work, c.usage, hosts, "")
			for _, id := range ids {
				if state, _ := h.pool.State(id); state != job.Done {
					t.Errorf("job %s is %q; want done", id, state)
				}
			}
			for task, n := range stops {
				if n > 4 || (c.usage >= c.cpu && c.cpu > 0) {
					t.Errorf("%s was stopped %d times", task, n)
				}
			}
		})
	}
}

// TestWrongSuspicionLeavesHostsOpen guards against hosts that get one run at a time because a job's
// tasks use no processor time anywhere.
func TestWrongSuspicionLeavesHostsOpen(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	h.simulate(4*time.Second, 6*time.Second, 0, []worker.ID{"h1"}, "")
	h.add(idB, testStep(4, 1000))
	starts, _ := h.plan()
	if len(starts) != 4 {
		t.Errorf("%d tasks of another job were started on the host; want 4", len(starts))
	}
}

// TestHangingHostIsFound guards against runs that hang for good, and a host on which all do that
// keeps getting more.
func TestHangingHostIsFound(t *testing.T) {
	for name, usage := range map[string]int64{"idle": 4000, "not measured": worker.UsageUnknown} {
		t.Run(name, func(t *testing.T) {
			hosts := []worker.ID{"h1", "h2", "h3"}
			h := newHarness(t, hosts...)
			ids := []job.ID{"000000000000000a", "000000000000000b", "000000000000000c", "000000000000000d"}
			for _, id := range ids {
				h.add(id, testStep(3, 4000))
			}
			_, blamed := h.simulate(16*time.Second, time.Second, usage, hosts, "h1")
			for _, id := range ids {
				if state, _ := h.pool.State(id); state != job.Done {
					t.Errorf("job %s is %q; want done", id, state)
				}
			}
			if !blamed {
				t.Error("nothing is held against the host on which all runs hang")
			}
		})
	}
}

// TestBusyHangIsStopped guards against a run that uses the processor and never ends.
func TestBusyHangIsStopped(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	h.add(idA, testStep(1, 4000))
	stops, _ := h.simulate(40*time.Second, time.Hour, 4000, []worker.ID{"h1", "h2"}, "")
	if diff := cmp.Diff(map[worker.TaskName]int{{Job: idA}: 1}, stops); diff != "" {
		t.Errorf("stops (-want +got):\n%s", diff)
	}
}
