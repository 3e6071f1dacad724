// Package admission decides which request gets the next slot of a pool. Each kind of work
// has a guaranteed share of the slots, unused ones go to the most urgent kind, and the teams
// of a kind take turns, each up to its quota.
package admission

import (
	"container/list"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/balance"
)

// Request is a request for a slot.
type Request struct {
	Kind string
	Team string
	// Deadline is when the caller stops waiting, zero for none.
	Deadline time.Time
	// Bytes is the size of the waiting request.
	Bytes int
}

// Ticket is a request's place in the queue and, once granted, its slot.
type Ticket struct {
	request Request
	kind    *kindQueue
	team    *teamQueue
	// element is the ticket's place in the team's queue, nil while it is in none.
	element *list.Element
	host    *balance.Host
	// granted is set once the ticket has a slot.
	granted bool
	ready   chan struct{}
}

// closedChannel is the ready channel of tickets that get a slot without waiting.
var closedChannel = func() chan struct{} {
	ready := make(chan struct{})
	close(ready)
	return ready
}()

// Ready returns a channel that is closed when the ticket has a slot.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Host returns the host of the slot. It is only valid once the ticket is ready.
func (t *Ticket) Host() *balance.Host { return t.host }

// teamQueue holds the waiting requests of one team for one kind and counts its running ones.
type teamQueue struct {
	name string
	// quota bounds the running requests, 0 for no bound.
	quota   int
	running int
	waiting list.List
	// turn is the team's place in the kind's round-robin order, nil while it is not in it.
	turn *list.Element
}

// eligible reports whether the team has a waiting request that its quota allows to run.
func (q *teamQueue) eligible() bool {
	return q.waiting.Len() > 0 && q.mayRun()
}

// mayRun reports whether the team's quota allows another running request.
func (q *teamQueue) mayRun() bool {
	return q.quota == 0 || q.running < q.quota
}

// Kind returns the request's kind of work.
func (t *Ticket) Kind() string { return t.kind.name }
