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

// urgentStart is the time within which urgent work must start.
const urgentStart = 1400 * time.Millisecond

// longRun is the run time from which borrowed slots can't be waited for.
const longRun = urgentStart / 2

// Slots is where a pool's queue takes its slots.
type Slots interface {
	Reserve(n balance.Needs, avoid *balance.Host, now time.Time) (*balance.Host, bool)
	Capacity() int
	Free() int
}

// Queue is the admission of one pool at one entry host.
type Queue struct {
	slots   Slots
	onGrant func(*Ticket)

	mu    sync.Mutex
	kinds map[string]*kindQueue
	order []*kindQueue
}

// Option changes a Queue.
type Option func(*Queue)

// WithGrants calls back for each ticket that gets a slot, under the queue's lock.
func WithGrants(onGrant func(*Ticket)) Option { return func(q *Queue) { q.onGrant = onGrant } }

// NewQueue makes the queue in front of a pool's slots.
func NewQueue(slots Slots, opts ...Option) *Queue {
	q := &Queue{slots: slots, kinds: map[string]*kindQueue{}, onGrant: func(*Ticket) {}}
	for _, apply := range opts {
		apply(q)
	}
	return q
}

// SetRules replaces the rules of all kinds that may use the pool.
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

// Refusal is an early refusal with the time after which another try makes sense.
type Refusal struct {
	After time.Duration
	cause error
}

// Error gives the cause.
func (r *Refusal) Error() string { return r.cause.Error() }

// Unwrap gives the cause.
func (r *Refusal) Unwrap() error { return r.cause }

// Admit queues work, gives it a slot at once, or refuses it.
func (q *Queue) Admit(w Work, quota int, now time.Time) (*Ticket, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	k, ok := q.kinds[w.Kind]
	if !ok {
		return nil, verdict.Refuse(verdict.CauseUnknownKind, fmt.Sprintf("kind %q may not use this pool", w.Kind))
	}
	if err := q.refuseEarly(k, w, now); err != nil {
		return nil, err
	}
	t := &Ticket{work: w, kind: k, team: k.team(w.Team, quota)}
	if q.startAtOnce(t, now) {
		return t, nil
	}
	t.ready = make(chan struct{})
	k.push(t)
	q.schedule(now)
	return t, nil
}

// startAtOnce gives a slot without queueing. Whoever waits at this moment
// could not use the free slots, so nobody is passed over.
func (q *Queue) startAtOnce(t *Ticket, now time.Time) bool {
	k := t.kind
	if !t.team.mayRun() || t.team.waiting.Len() > 0 || q.slots.Free() <= 0 {
		return false
	}
	capacity := q.slots.Capacity()
	if float64(k.running) >= k.guaranteed(capacity) && !q.mayBorrow(k, capacity) {
		return false
	}
	host, ok := q.slots.Reserve(k.rules.Needs, nil, now)
	if !ok {
		return false
	}
	t.ready = alreadyReady
	q.grant(t, host)
	return true
}

func (q *Queue) refuseEarly(k *kindQueue, w Work, now time.Time) error {
	wait := k.wait(q.slots.Capacity(), q.slots.Free())
	if k.queued >= k.rules.MaxQueue || k.bytes+w.Bytes > maxQueueBytes {
		return &Refusal{After: wait, cause: verdict.Refuse(verdict.CauseQueueFull, fmt.Sprintf("the queue of kind %q is full", k.name))}
	}
	if !w.Deadline.IsZero() && now.Add(wait).Add(k.runTime).After(w.Deadline) && wait > 0 {
		return &Refusal{After: wait, cause: verdict.Refuse(verdict.CauseOverloaded,
			fmt.Sprintf("kind %q would wait about %s, past the deadline", k.name, wait.Round(time.Millisecond)))}
	}
	return nil
}

// schedule hands out slots while there are any and somebody may have one.
func (q *Queue) schedule(now time.Time) {
	var full []*kindQueue
	for q.slots.Free() > 0 {
		k := q.nextKind(full)
		if k == nil {
			return
		}
		t := k.next()
		host, ok := q.slots.Reserve(k.rules.Needs, nil, now)
		if !ok {
			full = append(full, k)
			continue
		}
		q.grant(t, host)
		close(t.ready)
	}
}

func (q *Queue) grant(t *Ticket, host *balance.Host) {
	t.kind.start(t)
	t.host = host
	t.granted = true
	q.onGrant(t)
}

// nextKind picks the kind furthest below its guarantee, or else the most urgent.
// The kinds in full found no host with room that fits them.
func (q *Queue) nextKind(full []*kindQueue) *kindQueue {
	capacity := q.slots.Capacity()
	var below, above *kindQueue
	for _, k := range q.order {
		if k.turns.Len() == 0 || slices.Contains(full, k) {
			continue
		}
		if float64(k.running) < k.guaranteed(capacity) {
			if below == nil || k.fill(capacity) < below.fill(capacity) {
				below = k
			}
			continue
		}
		if (above == nil || k.before(above)) && q.mayBorrow(k, capacity) {
			above = k
		}
	}
	if below != nil {
		return below
	}
	return above
}

func (k *kindQueue) fill(capacity int) float64 {
	return float64(k.running) / k.guaranteed(capacity)
}

// before orders kinds that are at their guarantee.
func (k *kindQueue) before(other *kindQueue) bool {
	if k.rules.Urgency != other.rules.Urgency {
		return k.rules.Urgency > other.rules.Urgency
	}
	return k.running < other.running
}

// mayBorrow keeps long work from taking the slots that more urgent kinds are
// guaranteed: they could not have them back in time.
func (q *Queue) mayBorrow(k *kindQueue, capacity int) bool {
	if k.runTime <= longRun {
		return true
	}
	kept := 0.0
	for _, other := range q.order {
		if other.rules.Urgency > k.rules.Urgency {
			kept += max(other.guaranteed(capacity)-float64(other.running), 0)
		}
	}
	return float64(q.slots.Free()) > kept
}

// Cancel takes a ticket back if it still waits; it costs the same however many wait.
func (q *Queue) Cancel(t *Ticket) (wasWaiting bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.granted || t.element == nil {
		return false
	}
	t.kind.remove(t)
	return true
}

// Finish gives a slot back once the work in it has stopped. ran is how long
// whole work took, 0 for work that did not run to its end.
func (q *Queue) Finish(t *Ticket, ran time.Duration, now time.Time) {
	t.host.Release()
	q.mu.Lock()
	defer q.mu.Unlock()
	t.kind.finish(t, ran)
	q.schedule(now)
}

// Move changes a granted ticket's host, for another try. The old host's slot
// stays taken; the caller releases it once the work there has stopped.
func (q *Queue) Move(t *Ticket, now time.Time) (old *balance.Host, ok bool) {
	host, ok := q.slots.Reserve(t.kind.rules.Needs, t.host, now)
	if !ok {
		return nil, false
	}
	old = t.host
	t.host = host
	return old, true
}

// Kick hands out slots that came free by themselves.
func (q *Queue) Kick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.schedule(now)
}

// RunTime is the learned run time of a kind.
func (q *Queue) RunTime(kind string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if k, ok := q.kinds[kind]; ok {
		return k.runTime
	}
	return unknownRunTime
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

// Stats gives a row for each kind.
func (q *Queue) Stats() []KindStats {
	q.mu.Lock()
	defer q.mu.Unlock()
	rows := make([]KindStats, 0, len(q.order))
	for _, k := range q.order {
		rows = append(rows, KindStats{Kind: k.name, Queued: k.queued, Bytes: k.bytes, Running: k.running, Teams: len(k.teams), RunTime: k.runTime})
	}
	return rows
}
