package schedule

import (
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// startLongRunning starts the waiting tasks and lets them run for longer than
// Limits.NoticeTime, with a renewal reply from every host each 500 ms.
func (h *harness) startLongRunning(hosts ...worker.ID) []Start {
	h.Helper()
	starts, _ := h.plan()
	h.accept(starts...)
	running := map[worker.ID][]worker.ActiveRun{}
	for _, s := range starts {
		running[s.Target.ID] = append(running[s.Target.ID], worker.ActiveRun{Task: s.Order.Task, Run: s.Order.Run, Percent: 100})
	}
	for range 16 {
		h.advance(500 * time.Millisecond)
		for _, id := range hosts {
			h.renewRunning(id, 1, running[id])
		}
	}
	return starts
}

// carryOut answers a stop and delivers a reply without the stopped run.
func (h *harness) carryOut(stop Stop) {
	h.pool.Stopped(stop.Target.ID, stop.Order, h.now, h.now, nil)
	h.advance(time.Millisecond)
	h.renew(stop.Target.ID, 1)
}

// TestLongRunningLeavesOneAtATime cordons the hosts of both tasks of a step at once. Only one
// may be stopped at a time, within the step's MaxUnavailable.
func TestLongRunningLeavesOneAtATime(t *testing.T) {
	h := newHarness(t, "h1", "h2", "h3")
	longRunning := testStep(2, 1000)
	longRunning.LongRunning, longRunning.MaxPerHost, longRunning.MaxUnavailable = true, 1, 1
	h.add(idA, longRunning)
	starts := h.startLongRunning("h1", "h2", "h3")
	for _, s := range starts {
		h.pool.Restrict([]worker.ID{s.Target.ID}, UseNone, h.now)
	}
	_, orders := h.plan()
	if len(orders.Stops) != 1 {
		t.Errorf("%d of 2 tasks were stopped at once; at most 1 may be unavailable", len(orders.Stops))
	}
}

// TestLongRunningLeavesARestrictedHost restricts both hosts of a step to short tasks, then
// adds an unrestricted one. Without a host to move to, no task may be stopped; with one,
// a single task moves, so that the step keeps within its MaxUnavailable.
func TestLongRunningLeavesARestrictedHost(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	longRunning := testStep(2, 1000)
	longRunning.LongRunning, longRunning.MaxPerHost, longRunning.MaxUnavailable = true, 1, 1
	h.add(idA, longRunning)
	h.startLongRunning("h1", "h2")
	h.pool.Restrict([]worker.ID{"h1", "h2"}, UseShortTasks, h.now)
	if _, orders := h.plan(); len(orders.Stops) != 0 {
		t.Errorf("%d tasks were stopped without another host to run on", len(orders.Stops))
	}
	h.list("h1", "h2", "h3")
	h.renew("h3", 1)
	_, orders := h.plan()
	if len(orders.Stops) != 1 {
		t.Fatalf("%d of 2 tasks were stopped at once; at most 1 may be unavailable", len(orders.Stops))
	}
	stop := orders.Stops[0]
	h.carryOut(stop)
	starts, _ := h.plan()
	if len(starts) != 1 || starts[0].Target.ID != "h3" {
		t.Errorf("starts %v; want the task on h3", starts)
	}
}

// TestLongRunningStaysUntilThereIsAHost cordons the only host. The task there must keep
// running until another host is listed.
func TestLongRunningStaysUntilThereIsAHost(t *testing.T) {
	h := newHarness(t, "h1")
	longRunning := testStep(1, 1000)
	longRunning.LongRunning = true
	h.add(idA, longRunning)
	starts, _ := h.plan()
	h.accept(starts...)
	h.advance(10 * time.Second)
	h.renewRunning("h1", 1, []worker.ActiveRun{{Task: starts[0].Order.Task, Run: starts[0].Order.Run, Percent: 100}})
	h.pool.Restrict([]worker.ID{"h1"}, UseNone, h.now)
	if _, orders := h.plan(); len(orders.Stops) != 0 {
		t.Error("the task was stopped without another host to run on")
	}
	h.list("h1", "h2")
	h.renew("h2", 1)
	if _, orders := h.plan(); len(orders.Stops) != 1 {
		t.Errorf("%d stops; want 1 once there is another host", len(orders.Stops))
	}
}

// TestLongRunningLeavesOnceTheLastIsAtWork moves the tasks of a step one after the other.
// The next one may be stopped as soon as a host lists the last one as at work, but neither
// while that starts up nor when the hosts were last heard so long ago that another task
// may be down.
func TestLongRunningLeavesOnceTheLastIsAtWork(t *testing.T) {
	h := newHarness(t, "h1", "h2", "h3", "h4")
	longRunning := testStep(2, 1000)
	longRunning.LongRunning, longRunning.MaxPerHost, longRunning.MaxUnavailable = true, 1, 1
	h.add(idA, longRunning)
	starts := h.startLongRunning("h1", "h2", "h3", "h4")
	for _, s := range starts {
		h.pool.Restrict([]worker.ID{s.Target.ID}, UseShortTasks, h.now)
	}
	_, orders := h.plan()
	if len(orders.Stops) != 1 {
		t.Fatalf("%d stops; want 1", len(orders.Stops))
	}
	stop := orders.Stops[0]
	h.carryOut(stop)
	moved, _ := h.plan()
	if len(moved) != 1 {
		t.Fatalf("%d starts; want 1", len(moved))
	}
	h.accept(moved...)
	reply := func(percent int) {
		h.renewRunning(moved[0].Target.ID, 1, []worker.ActiveRun{{Task: moved[0].Order.Task, Run: moved[0].Order.Run, Percent: percent}})
	}
	stops := func() int {
		_, orders := h.plan()
		return len(orders.Stops)
	}
	if stops() != 0 {
		t.Error("the second task was stopped when the first had only been started")
	}
	reply(50)
	if stops() != 0 {
		t.Error("the second task was stopped while the first was starting up")
	}
	reply(100)
	h.advance(h.pool.limits.maxReportAge())
	if stops() != 0 {
		t.Error("the second task was stopped by an old report on the first")
	}
	reply(100)
	if n := stops(); n != 1 {
		t.Errorf("%d stops once the first task is at work; want 1", n)
	}
}

// TestLongRunningLeavesOnlyForRoomOfItsOwn restricts the hosts of two tasks that may leave
// at the same time, while one other host has room for one of them. Only one may be stopped,
// and no other task may take its room.
func TestLongRunningLeavesOnlyForRoomOfItsOwn(t *testing.T) {
	h := newHarness(t, "h1", "h2", "h3")
	longRunning := testStep(2, 9000)
	longRunning.LongRunning, longRunning.MaxUnavailable = true, 2
	h.add(idA, longRunning)
	starts := h.startLongRunning("h1", "h2", "h3")
	for _, s := range starts {
		h.pool.Restrict([]worker.ID{s.Target.ID}, UseNone, h.now)
	}
	_, orders := h.plan()
	if len(orders.Stops) != 1 {
		t.Fatalf("%d of 2 tasks were stopped; only one host has room for one", len(orders.Stops))
	}
	h.add(idB, testStep(1, 9000))
	if others, _ := h.plan(); len(others) != 0 {
		t.Errorf("starts %v took the room of the task that leaves", taskNames(others))
	}
	if target := h.pool.Load(h.now).Hosts["h3"]; target.LongRunning != 1 || target.Runs != 1 {
		t.Errorf("the host with the room counts %d runs, %d long-running; want 1 of each, or it is released as empty", target.Runs, target.LongRunning)
	}
	stop := orders.Stops[0]
	h.carryOut(stop)
	moved, _ := h.plan()
	h.wantStarts(moved, stop.Order.Task.String())
}

// TestRoomIsGivenBack cancels the job of a task that leaves: its room must be free again.
func TestRoomIsGivenBack(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	longRunning := testStep(1, 9000)
	longRunning.LongRunning = true
	h.add(idA, longRunning)
	starts := h.startLongRunning("h1", "h2")
	h.pool.Restrict([]worker.ID{starts[0].Target.ID}, UseNone, h.now)
	if _, orders := h.plan(); len(orders.Stops) != 1 {
		t.Fatalf("%d stops; want 1", len(orders.Stops))
	}
	h.pool.CancelJob(idA, h.now)
	h.add(idB, testStep(1, 9000))
	h.plan()
	next, _ := h.plan()
	if placed := len(next) + len(h.pool.jobs[idB].runs); placed == 0 {
		t.Error("nothing was placed in the room of a cancelled task")
	}
}

// TestHostsForLongRunningTasks checks the number of hosts that a pool asks for: tasks that
// take more than a third of a host need one host for two of them, and a task without a host
// needs one more.
func TestHostsForLongRunningTasks(t *testing.T) {
	h := newHarness(t, "h1", "h2", "h3")
	large := testStep(6, 6500)
	large.LongRunning, large.MaxPerHost = true, 3
	h.add(idA, large)
	if n := h.pool.Load(h.now).SpreadHosts; n != 3 {
		t.Errorf("%d hosts for 6 tasks of 6.5 of 16 cores; want 3", n)
	}
	h.startLongRunning("h1", "h2", "h3")
	if n := h.pool.Load(h.now).SpreadHosts; n != 3 {
		t.Errorf("%d hosts for 6 tasks that run; want 3", n)
	}
	more := testStep(1, 6500)
	more.LongRunning = true
	h.add(idB, more)
	h.plan()
	if n := h.pool.Load(h.now).SpreadHosts; n != 4 {
		t.Errorf("%d hosts with a task that has no room; want 4", n)
	}
}

// TestFormerOwnersStopsCount takes a step over from an owner that has just stopped one of
// its tasks, which the host still lists as at work. No other task may be stopped before a
// list shows what is left after that stop.
func TestFormerOwnersStopsCount(t *testing.T) {
	h := newHarness(t)
	longRunning := testStep(2, 1000)
	longRunning.LongRunning, longRunning.MaxPerHost, longRunning.MaxUnavailable = true, 1, 1
	h.list("h1", "h2", "h3", "h4")
	h.renew("h3", 1)
	h.renew("h4", 1)
	h.add(idA, longRunning)
	listed := func(index int) []worker.ActiveRun {
		return []worker.ActiveRun{{Task: worker.TaskName{Job: idA, Index: index}, Run: 5, Percent: 100}}
	}
	h.renewRunning("h1", 1, listed(0))
	h.renewRunning("h2", 1, listed(1))
	h.pool.Restrict([]worker.ID{"h1", "h2"}, UseShortTasks, h.now)
	if _, orders := h.plan(); len(orders.Stops) != 0 {
		t.Error("a task was stopped by the first list, which may show another one that is being stopped")
	}
	h.advance(h.pool.limits.StopTime)
	h.renewRunning("h1", 1, listed(0))
	h.renewRunning("h2", 1, listed(1))
	if _, orders := h.plan(); len(orders.Stops) != 1 {
		t.Errorf("%d stops once the lists are later than any stop of the former owner; want 1", len(orders.Stops))
	}
}

// TestDrainingHostsCountFirst cordons the hosts of three tasks of which two may be
// unavailable, while one of the hosts drains. Its task leaves in any case, so that only one
// of the others may leave with it, in whatever order the hosts are looked at.
func TestDrainingHostsCountFirst(t *testing.T) {
	for range 30 {
		h := newHarness(t, "h1", "h2", "h3", "h4", "h5", "h6")
		longRunning := testStep(3, 1000)
		longRunning.LongRunning, longRunning.MaxPerHost, longRunning.MaxUnavailable = true, 1, 2
		h.add(idA, longRunning)
		starts := h.startLongRunning("h1", "h2", "h3", "h4", "h5", "h6")
		var reports []worker.Report
		for _, id := range []worker.ID{"h1", "h2", "h3", "h4", "h5", "h6"} {
			r := report(id)
			r.Draining = id == starts[0].Target.ID
			reports = append(reports, r)
		}
		for _, s := range starts {
			h.pool.Restrict([]worker.ID{s.Target.ID}, UseNone, h.now)
		}
		h.pool.SetHosts(reports, h.now)
		if _, orders := h.plan(); len(orders.Stops) != 2 {
			t.Fatalf("%d tasks were stopped at once; want 2, the one on the draining host among them", len(orders.Stops))
		}
	}
}

// TestNewHostIsUsedDespiteItsCordon cordons a host that the pool learns of only later.
func TestNewHostIsUsedDespiteItsCordon(t *testing.T) {
	h := newHarness(t)
	h.pool.Restrict([]worker.ID{"h1"}, UseNone, h.now)
	h.list()
	if !h.pool.Load(h.now).Hosts["h1"].Vacant {
		t.Error("the host is not vacant before it is listed")
	}
	h.add(idA, testStep(1, 1000))
	h.list("h1")
	if h.pool.Load(h.now).Hosts["h1"].Vacant {
		t.Error("the host is vacant before it has answered")
	}
	h.renew("h1", 1)
	if starts, _ := h.plan(); len(starts) != 0 {
		t.Errorf("starts %v on a cordoned host", taskNames(starts))
	}
	if !h.pool.Load(h.now).Hosts["h1"].Vacant {
		t.Error("the host is not vacant though nothing runs there")
	}
	h.pool.Restrict([]worker.ID{"h1"}, UseAll, h.now)
	starts, _ := h.plan()
	h.wantStarts(starts, idA+".0.0.0")
}

// TestUnknownHostStays: a cordoned host that is never listed is forgotten in the end.
func TestUnknownHostStays(t *testing.T) {
	h := newHarness(t)
	h.pool.Restrict([]worker.ID{"h1"}, UseNone, h.now)
	h.advance(20 * time.Second)
	h.list()
	if n := len(h.pool.hosts); n != 0 {
		t.Errorf("%d hosts are kept; want none", n)
	}
}
