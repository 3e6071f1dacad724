package capacity

import (
	"testing"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// TestOrdersThatNoLongerHold guards against moving or maintaining a host that is in use
// again: while the order was delayed, a new owner of the pool, which did not know of the
// cordon, has started tasks on the host.
func TestOrdersThatNoLongerHold(t *testing.T) {
	move, maintain := Action{Kind: Move, Worker: "w"}, Action{Kind: Maintain, Worker: "w"}
	tests := []struct {
		name           string
		load           *schedule.Load
		move, maintain bool
	}{
		{"the owner does not answer", nil, false, false},
		{"unknown to the pool", loadOf(nil), true, true},
		{"vacant", loadOf(&schedule.HostLoad{Use: schedule.UseNone, Vacant: true}), true, true},
		{"short tasks", loadOf(&schedule.HostLoad{Use: schedule.UseNone, Runs: 2}), false, true},
		{"long-running tasks", loadOf(&schedule.HostLoad{Use: schedule.UseNone, Runs: 2, LongRunning: 1}), false, false},
		{"in use again", loadOf(&schedule.HostLoad{Runs: 2}), false, false},
	}
	for _, tt := range tests {
		if got := move.Allowed(tt.load); got != tt.move {
			t.Errorf("%s: move allowed %v", tt.name, got)
		}
		if got := maintain.Allowed(tt.load); got != tt.maintain {
			t.Errorf("%s: maintenance allowed %v", tt.name, got)
		}
	}
}

func loadOf(h *schedule.HostLoad) *schedule.Load {
	load := &schedule.Load{Hosts: map[worker.ID]schedule.HostLoad{}}
	if h != nil {
		load.Hosts["w"] = *h
	}
	return load
}
