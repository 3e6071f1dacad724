// Package admission decides which request gets the next slot of a pool: each
// kind of work has a guaranteed share, what is unused goes by urgency, and
// teams take turns inside a kind, each up to its quota.
package admission

import (
	"container/list"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/balance"
)

// Work is what admission needs to know of a request.
type Work struct {
	Kind string
	Team string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Bytes is the size of the waiting request.
	Bytes int
}

// Ticket is a request's place in the queue, and then its slot.
type Ticket struct {
	work    Work
	kind    *kindQueue
	team    *teamQueue
	element *list.Element
	host    *balance.Host
	// granted is set once the ticket has a slot.
	granted bool
	ready   chan struct{}
}

// alreadyReady is the channel of tickets that never had to wait.
var alreadyReady = func() chan struct{} {
	ready := make(chan struct{})
	close(ready)
	return ready
}()

// Ready closes when the ticket has a slot.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Host is where the slot is; only valid once the ticket is ready.
func (t *Ticket) Host() *balance.Host { return t.host }

// teamQueue is the waiting requests of one team in one kind.
type teamQueue struct {
	name    string
	quota   int
	running int
	waiting list.List
	// turn is the team's place in the kind's order of turns, nil while it has none.
	turn *list.Element
}

func (q *teamQueue) eligible() bool {
	return q.waiting.Len() > 0 && q.mayRun()
}

func (q *teamQueue) mayRun() bool {
	return q.quota == 0 || q.running < q.quota
}

// Kind is the kind of work of the request.
func (t *Ticket) Kind() string { return t.kind.name }
