package capacity

import (
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// answerDelayMargin is how much newer the list of machines must be than the last sign of
// life of a worker. LastSeenAge as reported by a peer is too small by the delay of its
// answer.
const answerDelayMargin = 200 * time.Millisecond

// MayReturn reports whether a worker that has ended may come back under its ID, on the machine that it
// was on: that is down, without another worker.
func (v *View) MayReturn(machineName string) bool {
	for n := range v.Machines {
		if m := &v.Machines[n]; m.Name == machineName {
			return m.Worker == "" && m.State != machine.Moving && m.State != machine.Maintenance
		}
	}
	return false
}

// GoneWorkers lists the unresponsive workers of a pool that have certainly ended: they were
// last known to be alive before the machines were listed, and no machine in the list runs
// them.
func (v *View) GoneWorkers(load *schedule.Load) []worker.ID {
	alive := make(map[worker.ID]struct{}, len(v.Machines))
	for n := range v.Machines {
		alive[v.Machines[n].Worker] = struct{}{}
	}
	listAge := v.Now.Sub(v.ListedAt)
	var gone []worker.ID
	for id, h := range load.Hosts {
		if _, ok := alive[id]; ok || !h.Unresponsive || h.Runs == 0 || h.LastSeenAge < listAge+answerDelayMargin {
			continue
		}
		gone = append(gone, id)
	}
	slices.Sort(gone)
	return gone
}
