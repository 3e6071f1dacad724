package schedule

import "cmp"

// urgency is what orders candidates up to the point from which on organisations share the pool.
// Excess comes after all other jobs of its class, also after those of a lower priority.
type urgency struct {
	class    int
	excess   bool
	priority int
}

func (c *candidate) urgency() urgency {
	return urgency{c.class, c.step.job.excess, c.step.job.Priority}
}

func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.class, o.class), compareBool(u.excess, o.excess), cmp.Compare(u.priority, o.priority))
}

// mayPreempt reports whether a candidate may preempt runs of a priority: only long-running steps and
// those that can still meet their objective do. Excess does not, since what it would preempt comes
// before it.
func (u urgency) mayPreempt(priority int) bool {
	return u.priority < priority && u.class <= classOnTime && !u.excess
}

// sharesBefore orders the candidates of one organisation.
func sharesBefore(a, b candidate) bool {
	return cmp.Or(a.urgency().compare(b.urgency()), compareCandidates(a, b)) < 0
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// minHeap is a binary heap with the least item first. Unlike a sorted slice, it costs little if
// only the first items are taken.
type minHeap[T any] struct {
	items []T
	less  func(a, b T) bool
}

// init establishes the order of the items.
func (h *minHeap[T]) init() {
	for n := len(h.items)/2 - 1; n >= 0; n-- {
		h.down(n)
	}
}

// fixFirst restores the order after the first item has changed.
func (h *minHeap[T]) fixFirst() { h.down(0) }

func (h *minHeap[T]) push(item T) {
	h.items = append(h.items, item)
	for n := len(h.items) - 1; n > 0; {
		parent := (n - 1) / 2
		if !h.less(h.items[n], h.items[parent]) {
			return
		}
		h.items[n], h.items[parent] = h.items[parent], h.items[n]
		n = parent
	}
}

func (h *minHeap[T]) pop() T {
	first, last := h.items[0], len(h.items)-1
	h.items[0] = h.items[last]
	clear(h.items[last:])
	h.items = h.items[:last]
	h.down(0)
	return first
}

// reset removes all items and keeps the memory.
func (h *minHeap[T]) reset() {
	clear(h.items)
	h.items = h.items[:0]
}

func (h *minHeap[T]) down(n int) {
	for {
		child := 2*n + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[n]) {
			return
		}
		h.items[n], h.items[child] = h.items[child], h.items[n]
		n = child
	}
}
