package admission

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/balance"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// urgentStartLimit is the time within which urgent work must start.
const urgentStartLimit = 1400 * time.Millisecond

// maxBorrowRunTime is the run time up to which work may always borrow guaranteed slots:
// longer work would not give them back in time for urgent work.
const maxBorrowRunTime = urgentStartLimit / 2

// Slots provides the slots of a pool to its queue.
type Slots interface {
	Reserve(r balance.Requirements, avoid *balance.Host, now time.Time) (*balance.Host, bool)
	Capacity() int
	Free() int
}

// Queue admits the requests for one pool at one entry host.
type Queue struct {
	slots   Slots
	onGrant func(*Ticket)

	mu    sync.Mutex
	kinds map[string]*kindQueue
	order []*kindQueue
}

// Option configures a Queue.
type Option func(*Queue)

// WithGrantCallback sets a callback for each ticket that gets a slot. It is called with the
// queue's lock held.
func WithGrantCallback(onGrant func(*Ticket)) Option { return func(q *Queue) { q.onGrant = onGrant } }

// NewQueue creates the queue for a pool's slots.
func NewQueue(slots Slots, opts ...Option) *Queue {
	q := &Queue{slots: slots, kinds: map[string]*kindQueue{}, onGrant: func(*Ticket) {}}
	for _, apply := range opts {
		apply(q)
	}
	return q
}

// SetRules replaces the rules of all kinds that may use the pool. A kind without rules loses
// its guarantee, and is dropped if it has no requests.
func (q *Queue) SetRules(rules map[string]KindRules) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, r := range rules {
		if k, ok := q.kinds[name]; ok {
			k.setRules(r)
			continue
		}
		q.kinds[name] = newKindQueue(name, r)
	}
	q.order = q.order[:0]
	for name, k := range q.kinds {
		if _, ok := rules[name]; !ok {
			k.rules.Guarantee = 0
			if k.queued == 0 && k.running == 0 {
				delete(q.kinds, name)
				continue
			}
		}
		q.order = append(q.order, k)
	}
	slices.SortFunc(q.order, func(a, b *kindQueue) int { return strings.Compare(a.name, b.name) })
}

// Refusal is the error of a request that is refused on arrival.
type Refusal struct {
	// RetryAfter is the time after which a retry makes sense.
	RetryAfter time.Duration
	cause      error
}

// Error returns the message of the cause.
func (r *Refusal) Error() string { return r.cause.Error() }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.cause }

// Admit gives a request a slot at once, queues it, or refuses it.
func (q *Queue) Admit(r Request, quota int, now time.Time) (*Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	k, ok := q.kinds[r.Kind]
	if !ok {
		return nil, verdict.NotRunError(verdict.CauseUnknownKind, fmt.Sprintf("kind %q may not use this pool", r.Kind))
	}
	if err := q.refuseEarly(k, r, now); err != nil {
		return nil, err
	}
	t := &Ticket{request: r, kind: k, team: k.team(r.Team, quota)}
	if q.startAtOnce(t, now) {
		return t, nil
	}
	t.ready = make(chan struct{})
	k.push(t)
	q.schedule(now)
	return t, nil
}

// startAtOnce gives a ticket a slot without queueing. It does not overtake waiting tickets,
// since free slots exist only while no waiting ticket can use them.
func (q *Queue) startAtOnce(t *Ticket, now time.Time) bool {
	k := t.kind
	if !t.team.mayRun() || t.team.waiting.Len() > 0 || q.slots.Free() <= 0 {
		return false
	}
	capacity := q.slots.Capacity()
	if float64(k.running) >= k.guaranteed(capacity) && !q.mayBorrow(k, capacity) {
		return false
	}
	host, ok := q.slots.Reserve(k.rules.Requirements, nil, now)
	if !ok {
		return false
	}
	t.ready = closedChannel
	q.grant(t, host)
	return true
}

// refuseEarly returns an error if the kind's queue is full or the request would miss its
// deadline in it.
func (q *Queue) refuseEarly(k *kindQueue, r Request, now time.Time) error {
	wait := k.wait(q.slots.Capacity(), q.slots.Free())
	if k.queued >= k.rules.MaxQueue || k.bytes+r.Bytes > maxQueueBytes {
		return &Refusal{RetryAfter: wait, cause: verdict.NotRunError(verdict.CauseQueueFull, fmt.Sprintf("the queue of kind %q is full", k.name))}
	}
	if !r.Deadline.IsZero() && now.Add(wait).Add(k.runTime).After(r.Deadline) && wait > 0 {
		return &Refusal{RetryAfter: wait, cause: verdict.NotRunError(verdict.CauseOverloaded,
			fmt.Sprintf("kind %q would wait about %s, past the deadline", k.name, wait.Round(time.Millisecond)))}
	}
	return nil
}

// schedule grants free slots to waiting tickets until there are no slots or no ticket is
// eligible for one.
func (q *Queue) schedule(now time.Time) {
	var unplaceable []*kindQueue
	for q.slots.Free() > 0 {
		k := q.nextKind(unplaceable)
		if k == nil {
			return
		}
		t := k.next()
		host, ok := q.slots.Reserve(k.rules.Requirements, nil, now)
		if !ok {
			unplaceable = append(unplaceable, k)
			continue
		}
		q.grant(t, host)
		close(t.ready)
	}
}

// grant gives a ticket a slot of a host.
func (q *Queue) grant(t *Ticket, host *balance.Host) {
	t.kind.start(t)
	t.host = host
	t.granted = true
	q.onGrant(t)
}

// nextKind returns the kind furthest below its guarantee, or else the most urgent one. It
// skips the unplaceable kinds, for which no suitable host has a free slot.
func (q *Queue) nextKind(unplaceable []*kindQueue) *kindQueue {
	capacity := q.slots.Capacity()
	var below, above *kindQueue
	for _, k := range q.order {
		if k.turns.Len() == 0 || slices.Contains(unplaceable, k) {
			continue
		}
		if float64(k.running) < k.guaranteed(capacity) {
			if below == nil || k.guaranteeUse(capacity) < below.guaranteeUse(capacity) {
				below = k
			}
			continue
		}
		if (above == nil || k.precedes(above)) && q.mayBorrow(k, capacity) {
			above = k
		}
	}
	if below != nil {
		return below
	}
	return above
}

// guaranteeUse returns the part of the kind's guaranteed slots that is in use.
func (k *kindQueue) guaranteeUse(capacity int) float64 {
	return float64(k.running) / k.guaranteed(capacity)
}

// precedes reports whether a kind gets a slot before another when both are at their guarantee.
func (k *kindQueue) precedes(other *kindQueue) bool {
	if k.rules.Urgency != other.rules.Urgency {
		return k.rules.Urgency > other.rules.Urgency
	}
	return k.running < other.running
}

// mayBorrow reports whether a kind may use slots beyond its guarantee. Work with long run
// times may not use those guaranteed to more urgent kinds, which could not get them back
// in time.
func (q *Queue) mayBorrow(k *kindQueue, capacity int) bool {
	if k.runTime <= maxBorrowRunTime {
		return true
	}
	reserved := 0.0
	for _, other := range q.order {
		if other.rules.Urgency > k.rules.Urgency {
			reserved += max(other.guaranteed(capacity)-float64(other.running), 0)
		}
	}
	return float64(q.slots.Free()) > reserved
}

// Cancel removes a ticket if it still waits, in constant time.
func (q *Queue) Cancel(t *Ticket) (wasWaiting bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.granted || t.element == nil {
		return false
	}
	t.kind.remove(t)
	return true
}

// Finish releases a ticket's slot once the work in it has stopped. ran is the run time of
// work that ran to completion, 0 otherwise.
func (q *Queue) Finish(t *Ticket, ran time.Duration, now time.Time) {
	t.host.Release()
	q.mu.Lock()
	defer q.mu.Unlock()
	t.kind.finish(t, ran)
	q.schedule(now)
}

// Reassign gives a granted ticket a slot of another host for a retry. The old host's slot
// stays taken; the caller releases it once the work there has stopped.
func (q *Queue) Reassign(t *Ticket, now time.Time) (old *balance.Host, ok bool) {
	host, ok := q.slots.Reserve(t.kind.rules.Requirements, t.host, now)
	if !ok {
		return nil, false
	}
	old = t.host
	t.host = host
	return old, true
}

// GrantFreeSlots grants slots that became free without a call of Finish.
func (q *Queue) GrantFreeSlots(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.schedule(now)
}

// RunTime returns the moving average of a kind's run time.
func (q *Queue) RunTime(kind string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if k, ok := q.kinds[kind]; ok {
		return k.runTime
	}
	return defaultRunTime
}

// KindStats is one kind's row in the state dump.
type KindStats struct {
	Kind    string        `json:"kind"`
	Queued  int           `json:"queued"`
	Bytes   int           `json:"bytes"`
	Running int           `json:"running"`
	Teams   int           `json:"teams"`
	RunTime time.Duration `json:"run-time-ns"`
}

// Stats returns a row for each kind.
func (q *Queue) Stats() []KindStats {
	q.mu.Lock()
	defer q.mu.Unlock()
	rows := make([]KindStats, 0, len(q.order))
	for _, k := range q.order {
		rows = append(rows, KindStats{Kind: k.name, Queued: k.queued, Bytes: k.bytes, Running: k.running, Teams: len(k.teams), RunTime: k.runTime})
	}
	return rows
}
