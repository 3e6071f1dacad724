// Package emulator drives the decisions of the product over virtual time,
// with small fakes in place of hosts, callers and the platform.
package emulator

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

// clock runs events in the order of their times.
type clock struct {
	now    time.Time
	events eventHeap
	order  int
}

// epoch is when each run begins.
var epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

func newClock() *clock { return &clock{now: epoch} }

func (c *clock) at(at time.Time, run func(time.Time)) {
	c.order++
	heap.Push(&c.events, event{at: at, order: c.order, run: run})
}

func (c *clock) after(d time.Duration, run func(time.Time)) { c.at(c.now.Add(d), run) }

// runUntil runs all events before an end.
func (c *clock) runUntil(end time.Time) {
	for c.events.Len() > 0 && c.events[0].at.Before(end) {
		next, _ := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run(next.at)
	}
	c.now = end
}

// eventHeap orders events by time, and equal times by their order of entry.
type eventHeap []event

// Len counts the events.
func (h eventHeap) Len() int { return len(h) }

// Less orders two events.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

// Swap swaps two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *eventHeap) Push(x any) {
	e, _ := x.(event)
	*h = append(*h, e)
}

// Pop takes the last event.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
