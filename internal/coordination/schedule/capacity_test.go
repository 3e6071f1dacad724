package schedule

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// resize lists the given hosts, whose capacity is now cpu.
func (h *harness) resize(cpu int64, hosts ...worker.ID) {
	var reports []worker.Report
	for _, id := range hosts {
		r := report(id)
		r.Capacity.CPU = cpu
		reports = append(reports, r)
	}
	h.pool.SetHosts(reports, h.now)
}

// takeRecord plans and returns what is to be recorded.
func (h *harness) takeRecord() Unrecorded {
	h.Helper()
	h.pool.Plan(h.now)
	u, err := h.pool.TakeUnrecorded()
	if err != nil {
		h.Fatal(err)
	}
	return u
}

func (h *harness) freeCPU(id worker.ID) int64 {
	for _, d := range h.pool.Dump(h.now).Hosts {
		if d.ID == id {
			return d.FreeCPU
		}
	}
	return 0
}

func TestNoStartAfterItsHostShrank(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(3, 4000))
	u := h.takeRecord()
	h.resize(9000, "h1")
	starts := h.pool.Recorded(u, h.now)
	if diff := cmp.Diff(2, len(starts)); diff != "" {
		t.Errorf("starts after the host shrank (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(1000), h.freeCPU("h1")); diff != "" {
		t.Errorf("free capacity (-want +got):\n%s", diff)
	}
	h.accept(starts...)
	none, _ := h.plan()
	h.wantStarts(none)
}

func TestNoPartOfAGangAfterAHostShrank(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	step := testStep(2, 12000)
	step.Gang = true
	h.add(idA, step)
	u := h.takeRecord()
	h.pool.SetHosts([]worker.Report{report("h1"), {ID: "h2", Pool: "maps", Address: report("h2").Address, Capacity: worker.Resources{CPU: 6000, MemoryMB: 64000}}}, h.now)
	h.wantStarts(h.pool.Recorded(u, h.now))
	for _, id := range []worker.ID{"h1", "h2"} {
		if runs := h.pool.Load(h.now).Hosts[id].Runs; runs != 0 {
			t.Errorf("%s has %d runs of a gang that was not started", id, runs)
		}
	}
	h.resize(16000, "h1", "h2")
	all, _ := h.plan()
	if diff := cmp.Diff(2, len(all)); diff != "" {
		t.Errorf("starts once the host has grown again (-want +got):\n%s", diff)
	}
}

func TestQueuedStartStopsFittingWhenItsHostShrinks(t *testing.T) {
	for _, c := range []struct {
		cpu  int64
		want []bool
	}{{16000, []bool{true, true}}, {5000, []bool{false, true}}} {
		h := newHarness(t, "h1")
		h.add(idA, testStep(2, 4000))
		h.pool.Plan(h.now)
		starts := h.recordQueued()
		h.resize(c.cpu, "h1")
		var sent []bool
		for _, s := range starts {
			_, ok := h.pool.BeginStart(s.Target.ID, s.Order, h.now)
			sent = append(sent, ok)
		}
		// With one of them dropped, the other fits.
		if diff := cmp.Diff(c.want, sent); diff != "" {
			t.Errorf("starts sent to a host that has %d now (-want +got):\n%s", c.cpu, diff)
		}
	}
}

// TestShrunkHost plays a host that shrinks below what runs on it, to nothing, and grows
// again.
func TestShrunkHost(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(3, 4000))
	starts, _ := h.plan()
	h.accept(starts...)
	h.add(idB, testStep(1, 1000))
	for _, cpu := range []int64{12500, 6000, 0} {
		h.resize(cpu, "h1")
		none, orders := h.plan()
		h.wantStarts(none)
		if diff := cmp.Diff(0, len(orders.Stops)); diff != "" {
			t.Errorf("stops on a host that shrank to %d (-want +got):\n%s", cpu, diff)
		}
	}
	h.resize(5000, "h1")
	h.advance(time.Second)
	h.renewRunning("h1", 1, []worker.ActiveRun{{Task: starts[0].Order.Task, Run: starts[0].Order.Run, Percent: 100, Usage: 1}},
		endedRun(starts[1], worker.OutcomeDone), endedRun(starts[2], worker.OutcomeDone))
	next, _ := h.plan()
	h.wantStarts(next, idB+".0.0.0")
}

// TestStoppingRunCountsOnAShrunkHost preempts a run on a host that has shrunk: the urgent task
// starts once the end is listed, not before.
func TestStoppingRunCountsOnAShrunkHost(t *testing.T) {
	h := newHarness(t, "h1")
	saved := testStep(2, 6000)
	saved.SavesProgress = true
	h.add(idA, saved)
	h.pool.jobs[idA].Priority = 1
	starts, _ := h.plan()
	h.accept(starts...)
	h.advance(time.Second)
	h.resize(12000, "h1")
	h.add(idB, testStep(1, 6000))
	none, orders := h.plan()
	h.wantStarts(none)
	if diff := cmp.Diff(1, len(orders.Stops)); diff != "" {
		t.Fatalf("stops (-want +got):\n%s", diff)
	}
	stopped, kept := starts[0], starts[1]
	if orders.Stops[0].Order.Task != stopped.Order.Task {
		stopped, kept = kept, stopped
	}
	h.pool.Stopped("h1", orders.Stops[0].Order, h.now, h.now, nil)
	none, _ = h.plan()
	h.wantStarts(none)
	h.renewRunning("h1", 1, []worker.ActiveRun{{Task: kept.Order.Task, Run: kept.Order.Run, Percent: 100, Usage: 1}}, endedRun(stopped, worker.OutcomeStopped))
	next, _ := h.plan()
	h.wantStarts(next, idB+".0.0.0")
}

// TestInheritedRunsCountOnAShrunkHost takes over a pool whose host has shrunk: the former
// owner's runs count before and after the host lists them.
func TestInheritedRunsCountOnAShrunkHost(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, job.Step{Tasks: 2, Needs: worker.Resources{CPU: 4000, MemoryMB: 100}, Estimate: time.Second})
	var running []worker.ActiveRun
	for index := range 2 {
		running = append(running, worker.ActiveRun{Task: worker.TaskName{Job: idA, Index: index}, Run: 3, Percent: 100, Usage: 1})
	}
	h.resize(9000, "h1")
	h.renewRunning("h1", 1, running)
	h.add(idB, testStep(1, 2000))
	none, _ := h.plan()
	h.wantStarts(none)
	h.resize(10000, "h1")
	next, _ := h.plan()
	h.wantStarts(next, idB+".0.0.0")
}

// outdated implements Reports with reports that are not current.
type outdated struct{ until time.Time }

func (o *outdated) Current(now time.Time) bool { return !now.Before(o.until) }

func TestNoStartByOutdatedReports(t *testing.T) {
	for _, checksCapacity := range []bool{false, true} {
		h := newHarness(t, "h1")
		h.pool.SetChecksCapacity(checksCapacity)
		reports := &outdated{}
		h.pool.reports = reports
		h.add(idA, testStep(1, 1000))
		u := h.takeRecord()
		reports.until = h.now.Add(time.Minute)
		starts := h.pool.Recorded(u, h.now)
		if checksCapacity {
			h.wantStarts(starts, idA+".0.0.0")
			continue
		}
		h.wantStarts(starts)
		none, _ := h.plan()
		h.wantStarts(none)
		h.advance(time.Minute)
		h.renew("h1", 1)
		h.pool.Plan(h.now)
		starts = h.recordQueued()
		h.wantStarts(starts, idA+".0.0.0")
		h.advance(time.Millisecond)
		reports.until = h.now.Add(time.Minute)
		if _, ok := h.pool.BeginStart("h1", starts[0].Order, h.now); ok {
			t.Error("a start that waited was sent although the capacity is not known any more")
		}
	}
}

// TestNoStartOnAHostThatCouldNotReport plays a host that answers again after a while: it may
// have shrunk and could not report it.
func TestNoStartOnAHostThatCouldNotReport(t *testing.T) {
	for _, checksCapacity := range []bool{false, true} {
		h := newHarness(t, "h1")
		h.pool.SetChecksCapacity(checksCapacity)
		h.pool.limits.ContactTime, h.pool.limits.ReportInterval = 3*time.Second, 1500*time.Millisecond
		h.advance(time.Second)
		h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
		h.advance(3 * time.Second)
		h.renew("h1", 1)
		h.add(idA, testStep(1, 1000))
		starts, _ := h.plan()
		if checksCapacity {
			h.wantStarts(starts, idA+".0.0.0")
			continue
		}
		h.wantStarts(starts)
		h.advance(1900 * time.Millisecond)
		starts, _ = h.plan()
		h.wantStarts(starts)
		h.advance(200 * time.Millisecond)
		starts, _ = h.plan()
		h.wantStarts(starts, idA+".0.0.0")
	}
}

// TestNoStartByTheReportOfAFormerIncarnation: a worker that is back under its ID may have less
// room than it had.
func TestNoStartByTheReportOfAFormerIncarnation(t *testing.T) {
	h := newHarness(t)
	h.pool.SetChecksCapacity(false)
	former := report("h1")
	former.Incarnation = 1
	h.pool.SetHosts([]worker.Report{former}, h.now)
	h.renew("h1", 1)
	h.renew("h1", 2)
	h.add(idA, testStep(2, 8000))
	starts, _ := h.plan()
	h.wantStarts(starts)
	present := former
	present.Incarnation, present.Capacity.CPU = 2, 8000
	h.pool.SetHosts([]worker.Report{present}, h.now)
	starts, _ = h.plan()
	h.wantStarts(starts, idA+".0.0.0")
}

// TestNoStartByOutdatedReportsInAnUnconfiguredPool: whether its workers check their capacity is
// not known.
func TestNoStartByOutdatedReportsInAnUnconfiguredPool(t *testing.T) {
	h := newUnconfiguredHarness(t, "h1")
	h.pool.reports = &outdated{until: h.now.Add(time.Minute)}
	h.add(idA, testStep(1, 1000))
	none, _ := h.plan()
	h.wantStarts(none)
	h.advance(time.Minute)
	h.renew("h1", 1)
	starts, _ := h.plan()
	h.wantStarts(starts, idA+".0.0.0")
}
