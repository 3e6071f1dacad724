package capacity

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
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
