package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// maxPackedHosts bounds the hosts onto which tasks are packed; no pool has more.
const maxPackedHosts = 2000

// packedTasks are like tasks to be packed onto hosts, at most perHost on one, or 0 for no bound.
type packedTasks struct {
	needs          worker.Resources
	count, perHost int
}

// hostsToPack returns how many hosts of a capacity the tasks need, at most maxPackedHosts, if the
// largest are packed first, each onto the first host with room for it. The share of the capacity
// that they need is a lower bound only: two tasks of 0.4 of a host leave 0.2 unused.
func hostsToPack(tasks []packedTasks, capacity worker.Resources) int {
	if capacity.CPU == 0 || capacity.MemoryMB == 0 {
		return 0
	}
	size := func(t packedTasks) float64 {
		return max(float64(t.needs.CPU)/float64(capacity.CPU), float64(t.needs.MemoryMB)/float64(capacity.MemoryMB))
	}
	slices.SortFunc(tasks, func(a, b packedTasks) int { return cmp.Compare(size(b), size(a)) })
	var free []worker.Resources
	for _, t := range tasks {
		if !t.needs.Fits(capacity) {
			continue
		}
		for n := 0; t.count > 0 && n < maxPackedHosts; n++ {
			if n == len(free) {
				free = append(free, capacity)
			}
			fitting := t.fitting(free[n])
			free[n] = free[n].Minus(t.needs.Times(fitting))
			t.count -= fitting
		}
	}
	return len(free)
}

// fitting returns how many of the tasks a host takes that has so much free.
func (t *packedTasks) fitting(free worker.Resources) int {
	n := t.count
	if t.perHost > 0 {
		n = min(n, t.perHost)
	}
	for _, d := range [...]struct{ needs, free int64 }{
		{t.needs.CPU, free.CPU}, {t.needs.MemoryMB, free.MemoryMB}, {t.needs.Accelerators, free.Accelerators},
	} {
		if d.needs > 0 {
			n = int(min(int64(n), d.free/d.needs))
		}
	}
	return n
}

// longRunningTasks appends the tasks of a long-running step with state, and those of them that
// neither run nor have room reserved.
func (p *Pool) longRunningTasks(all, homeless []packedTasks, s *step) (_, _ []packedTasks) {
	if !s.def.LongRunning {
		return all, homeless
	}
	item := packedTasks{needs: s.def.Reserved(), count: s.def.Tasks, perHost: s.def.MaxPerHost}
	all = append(all, item)
	for _, t := range s.tasks {
		if _, reserved := p.reservations[t]; len(t.runs) > 0 || reserved {
			item.count--
		}
	}
	if item.count > 0 {
		homeless = append(homeless, item)
	}
	return all, homeless
}

// upcomingLongRunning returns the long-running tasks of the upcoming occurrences. MaxPerHost bounds
// those of each occurrence; only that of one of them is kept to.
func (e *jobEntry) upcomingLongRunning(now time.Time) []packedTasks {
	var tasks []packedTasks
	for _, u := range e.upcomingSteps(now) {
		def, r := &e.Steps[u.number], u.classes[0]
		if n := e.upcomingWithin(u.number, r.next, r.end); def.LongRunning && n > 0 {
			tasks = append(tasks, packedTasks{def.Reserved(), def.Tasks, def.MaxPerHost}, packedTasks{def.Reserved(), (n - 1) * def.Tasks, 0})
		}
	}
	return tasks
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
