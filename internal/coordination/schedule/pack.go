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

// longRunningTasks appends the long-running tasks of an occurrence, and those of them that
// neither run nor have room reserved.
func (p *Pool) longRunningTasks(all, homeless []packedTask, e *jobEntry, occurrence int) (_, _ []packedTask) {
	for number := range e.Steps {
		if !e.Steps[number].LongRunning {
			continue
		}
		s := e.step(occurrence, number)
		for _, t := range s.tasks {
			item := packedTask{s, s.def.Reserved()}
			all = append(all, item)
			if _, reserved := p.reservations[t]; len(t.runs) == 0 && !reserved {
				homeless = append(homeless, item)
			}
		}
	}
	return all, homeless
}

// largestHost returns the largest capacity of the pool's listed hosts.
func (p *Pool) largestHost() worker.Resources {
	var largest worker.Resources
	for _, h := range p.hosts {
		if c := h.report.Capacity; h.listed {
			largest.CPU, largest.MemoryMB = max(largest.CPU, c.CPU), max(largest.MemoryMB, c.MemoryMB)
			largest.Accelerators = max(largest.Accelerators, c.Accelerators)
		}
	}
	return largest
}

// hostsWithLongRunning counts the hosts with long-running tasks that stay in the pool.
func (p *Pool) hostsWithLongRunning() int {
	n := 0
	for _, h := range p.hosts {
		if h.cordoned() || !h.listed {
			continue
		}
		for _, r := range h.runs {
			if r.task.step.def.LongRunning {
				n++
				break
			}
		}
	}
	return n
}
