// Package emulator runs the product's scheduling and maintenance decisions in virtual
// time, with simple fakes in place of hosts, callers and the platform.
package emulator

import (
	"container/heap"
	"time"
)

// event is a function that runs at a point in virtual time.
type event struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

// clock is a virtual clock that runs events in the order of their times.
type clock struct {
	now    time.Time
	events eventHeap
	order  int
}

// epoch is the virtual time at which each run begins.
var epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

func newClock() *clock { return &clock{now: epoch} }

func (c *clock) at(at time.Time, run func(time.Time)) {
	c.order++
	heap.Push(&c.events, event{at: at, order: c.order, run: run})
}

func (c *clock) after(d time.Duration, run func(time.Time)) { c.at(c.now.Add(d), run) }

// runUntil runs all events before end and advances the clock to it.
func (c *clock) runUntil(end time.Time) {
	for c.events.Len() > 0 && c.events[0].at.Before(end) {
		next, _ := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run(next.at)
	}
	c.now = end
}

// eventHeap implements heap.Interface. It orders events by time, and events of the same
// time by the order in which they were added.
type eventHeap []event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less reports whether event i comes before event j.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

// Swap swaps events i and j.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *eventHeap) Push(x any) {
	e, _ := x.(event)
	*h = append(*h, e)
}

// Pop removes and returns the last event.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
