package capacity

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// TestNewWorkerIsNotGone guards against reporting a new worker as ended because the list of
// machines is older than the worker and does not contain it.
func TestNewWorkerIsNotGone(t *testing.T) {
	v := newView(1, 0, 0)
	v.ListedAt = v.Now.Add(-3 * time.Second)
	load := &schedule.Load{Hosts: map[worker.ID]schedule.HostLoad{
		"w-maps-0":  {Unresponsive: true, Runs: 1, LastSeenAge: 5 * time.Second},
		"w-new":     {Unresponsive: true, Runs: 1, LastSeenAge: 2 * time.Second},
		"w-old":     {Unresponsive: true, Runs: 1, LastSeenAge: 4 * time.Second},
		"w-idle":    {Unresponsive: true, LastSeenAge: 4 * time.Second},
		"w-answers": {Runs: 1, LastSeenAge: 4 * time.Second},
	}}
	if diff := cmp.Diff([]worker.ID{"w-old"}, v.GoneWorkers(load)); diff != "" {
		t.Errorf("gone (-want +got):\n%s", diff)
	}
}

// TestWorkerOfARunningMachineMayReturn guards against tasks that wait for a worker that can't come back.
func TestWorkerOfARunningMachineMayReturn(t *testing.T) {
	v := View{Machines: []machine.Machine{
		{Name: "down", State: machine.Down},
		{Name: "unknown"},
		{Name: "replaced", State: machine.Up, Worker: "w-2"},
		{Name: "moving", State: machine.Moving},
		{Name: "maintained", State: machine.Maintenance},
	}}
	got := map[string]bool{}
	for _, name := range []string{"down", "unknown", "replaced", "moving", "maintained", "removed"} {
		got[name] = v.MayReturn(name)
	}
	want := map[string]bool{"down": true, "unknown": true, "replaced": false, "moving": false, "maintained": false, "removed": false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("workers that may return, by their machines (-want +got):\n%s", diff)
	}
}
