package capacity

import (
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// goneSlack is how much newer the list must be than what a pool knows of a worker; what
// a peer tells of that is as old as its answer.
const goneSlack = 200 * time.Millisecond

// Gone lists the silent workers of a pool that have certainly ended: they lived before
// the machines were listed, and no machine has them.
func (v *View) Gone(load *schedule.Load) []worker.ID {
	alive := make(map[worker.ID]struct{}, len(v.Machines))
	for n := range v.Machines {
		alive[v.Machines[n].Worker] = struct{}{}
	}
	listAge := v.Now.Sub(v.ListedAt)
	var gone []worker.ID
	for id, h := range load.Hosts {
		if _, ok := alive[id]; ok || !h.Silent || h.Runs == 0 || h.KnownAgo < listAge+goneSlack {
			continue
		}
		gone = append(gone, id)
	}
	slices.Sort(gone)
	return gone
}
