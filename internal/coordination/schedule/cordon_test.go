package schedule

import (
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// startLasting starts the tasks that wait and lets them work for longer than the notice
// time, with the hosts' lists.
func (b *bench) startLasting(hosts ...worker.ID) []Start {
	b.Helper()
	starts, _ := b.plan()
	b.accept(starts...)
	running := map[worker.ID][]worker.Running{}
	for _, s := range starts {
		running[s.Target.ID] = append(running[s.Target.ID], worker.Running{Task: s.Order.Task, Run: s.Order.Run, Percent: 100})
	}
	for range 16 {
		b.pass(500 * time.Millisecond)
		for _, id := range hosts {
			b.heldRunning(id, 1, running[id])
		}
	}
	return starts
}

func TestLongRunningLeavesOneAtATime(t *testing.T) {
	b := newBench(t, "h1", "h2", "h3")
	lasting := like(2, 1000)
	lasting.LongRunning, lasting.MaxPerHost, lasting.MaxUnavailable = true, 1, 1
	b.add(idA, lasting)
	starts := b.startLasting("h1", "h2", "h3")
	for _, s := range starts {
		b.pool.Restrict([]worker.ID{s.Target.ID}, UseNone)
	}
	_, orders := b.plan()
	if len(orders.Stops) != 1 {
		t.Errorf("%d of 2 tasks were stopped at once; 1 may be missing", len(orders.Stops))
	}
}

// TestLongRunningLeavesARestrictedHost has two hosts that are due for maintenance and
// one that is not: the tasks move to that one, one at a time, and stay there.
func TestLongRunningLeavesARestrictedHost(t *testing.T) {
	b := newBench(t, "h1", "h2")
	lasting := like(2, 1000)
	lasting.LongRunning, lasting.MaxPerHost, lasting.MaxUnavailable = true, 1, 1
	b.add(idA, lasting)
	b.startLasting("h1", "h2")
	b.pool.Restrict([]worker.ID{"h1", "h2"}, UseShort)
	if _, orders := b.plan(); len(orders.Stops) != 0 {
		t.Errorf("%d tasks were stopped with nowhere to go", len(orders.Stops))
	}
	b.list("h1", "h2", "h3")
	b.held("h3", 1)
	_, orders := b.plan()
	if len(orders.Stops) != 1 {
		t.Fatalf("%d of 2 tasks were stopped at once; 1 may be missing", len(orders.Stops))
	}
	stop := orders.Stops[0]
	b.pool.Stopped(stop.Target.ID, stop.Order, b.now, nil)
	b.pass(time.Millisecond)
	b.held(stop.Target.ID, 1)
	starts, _ := b.plan()
	if len(starts) != 1 || starts[0].Target.ID != "h3" {
		t.Errorf("starts %v; want the task on h3", starts)
	}
}

// TestLongRunningStaysUntilThereIsAHost cordons the only host that may run a task: it
// runs on until another host is there.
func TestLongRunningStaysUntilThereIsAHost(t *testing.T) {
	b := newBench(t, "h1")
	lasting := like(1, 1000)
	lasting.LongRunning = true
	b.add(idA, lasting)
	starts, _ := b.plan()
	b.accept(starts...)
	b.pass(10 * time.Second)
	b.heldRunning("h1", 1, []worker.Running{{Task: starts[0].Order.Task, Run: starts[0].Order.Run, Percent: 100}})
	b.pool.Restrict([]worker.ID{"h1"}, UseNone)
	if _, orders := b.plan(); len(orders.Stops) != 0 {
		t.Error("the task was stopped with nowhere to go")
	}
	b.list("h1", "h2")
	b.held("h2", 1)
	if _, orders := b.plan(); len(orders.Stops) != 1 {
		t.Errorf("%d stops; want 1 once there is a host", len(orders.Stops))
	}
}
