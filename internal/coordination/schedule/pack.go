package schedule

import (
	"cmp"
	"slices"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// packedTask is a task to be packed onto hosts.
type packedTask struct {
	step  *step
	needs worker.Resources
}

// packedHost is a host onto which tasks are packed.
type packedHost struct {
	free  worker.Resources
	tasks map[*step]int
}

// hostsToPack returns how many hosts of a capacity the tasks need, if the largest are
// packed first, each onto the first host with room for it. The share of the capacity that
// they need is a lower bound only: two tasks of 0.4 of a host leave 0.2 unused.
func hostsToPack(tasks []packedTask, capacity worker.Resources) int {
	if capacity.CPU == 0 || capacity.MemoryMB == 0 {
		return 0
	}
	size := func(t packedTask) float64 {
		return max(float64(t.needs.CPU)/float64(capacity.CPU), float64(t.needs.MemoryMB)/float64(capacity.MemoryMB))
	}
	slices.SortFunc(tasks, func(a, b packedTask) int { return cmp.Compare(size(b), size(a)) })
	var hosts []*packedHost
	for _, t := range tasks {
		if !t.needs.Fits(capacity) {
			continue
		}
		n := slices.IndexFunc(hosts, func(h *packedHost) bool { return h.hasRoom(t) })
		if n < 0 {
			n = len(hosts)
			hosts = append(hosts, &packedHost{free: capacity, tasks: map[*step]int{}})
		}
		hosts[n].free = hosts[n].free.Minus(t.needs)
		hosts[n].tasks[t.step]++
	}
	return len(hosts)
}

func (h *packedHost) hasRoom(t packedTask) bool {
	perHost := t.step.def.MaxPerHost
	return t.needs.Fits(h.free) && (perHost == 0 || h.tasks[t.step] < perHost)
}
