package admission

import (
	"container/list"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/balance"
)

const (
	// runTimeWeight is the weight of the newest run time in the moving average of a kind.
	runTimeWeight = 0.1
	// defaultRunTime is assumed while a kind has neither a declared nor a measured run time.
	defaultRunTime = 50 * time.Millisecond
	// defaultMaxQueue is the bound on waiting requests of kinds that set none.
	defaultMaxQueue = 1024
	// maxIdleTeams is the number of teams of a kind above which idle ones are dropped.
	maxIdleTeams = 1024
	// maxQueueBytes bounds the total size of the waiting requests of a kind.
	maxQueueBytes = 64 << 20
)

// KindRules holds the limits and priority of a kind of work in one pool.
type KindRules struct {
	// Guarantee is the share of the pool's slots that the kind is guaranteed.
	Guarantee float64
	// Urgency orders kinds for slots beyond the guarantees, the highest first.
	Urgency int
	// MaxQueue bounds the number of waiting requests, 0 for the default.
	MaxQueue int
	// RunTime is the declared run time, 0 if there is none.
	RunTime      time.Duration
	Requirements balance.Requirements
}

// kindQueue holds the waiting requests of one kind in a pool and counts its running ones.
type kindQueue struct {
	name  string
	rules KindRules
	teams map[string]*teamQueue
	// turns lists the eligible teams in round-robin order.
	turns   list.List
	queued  int
	bytes   int
	running int
	// runTime is the moving average of run times, at first the declared one.
	runTime time.Duration
}

func newKindQueue(name string, rules KindRules) *kindQueue {
	k := &kindQueue{name: name, teams: map[string]*teamQueue{}}
	k.setRules(rules)
	return k
}

func (k *kindQueue) setRules(rules KindRules) {
	if rules.MaxQueue == 0 {
		rules.MaxQueue = defaultMaxQueue
	}
	if k.runTime == 0 {
		k.runTime = rules.RunTime
	}
	if k.runTime == 0 {
		k.runTime = defaultRunTime
	}
	k.rules = rules
}

// team returns a team's queue, which it creates if needed, and sets its quota.
func (k *kindQueue) team(name string, quota int) *teamQueue {
	q, ok := k.teams[name]
	if !ok {
		q = &teamQueue{name: name}
		k.teams[name] = q
	}
	q.quota = quota
	return q
}

func (k *kindQueue) push(t *Ticket) {
	t.element = t.team.waiting.PushBack(t)
	k.queued++
	k.bytes += t.request.Bytes
	k.addTurn(t.team)
}

// addTurn appends a team to the round-robin order if it is eligible and not in it yet.
func (k *kindQueue) addTurn(q *teamQueue) {
	if q.turn == nil && q.eligible() {
		q.turn = k.turns.PushBack(q)
	}
}

// dropTurn removes a team from the round-robin order if it is no longer eligible.
func (k *kindQueue) dropTurn(q *teamQueue) {
	if q.turn != nil && !q.eligible() {
		k.turns.Remove(q.turn)
		q.turn = nil
	}
}

// remove removes a waiting ticket in constant time.
func (k *kindQueue) remove(t *Ticket) {
	t.team.waiting.Remove(t.element)
	t.element = nil
	k.queued--
	k.bytes -= t.request.Bytes
	k.dropTurn(t.team)
	k.evictIdle(t.team)
}

// next returns the first waiting ticket of the team whose turn it is, or nil if no team is
// eligible.
func (k *kindQueue) next() *Ticket {
	front := k.turns.Front()
	if front == nil {
		return nil
	}
	ticket, _ := front.Value.(*teamQueue).waiting.Front().Value.(*Ticket)
	return ticket
}

// start counts a ticket as running and moves its team to the end of the round-robin order.
func (k *kindQueue) start(t *Ticket) {
	q := t.team
	q.running++
	k.running++
	if q.turn != nil {
		k.turns.Remove(q.turn)
		q.turn = nil
	}
	if t.element != nil {
		q.waiting.Remove(t.element)
		t.element = nil
		k.queued--
		k.bytes -= t.request.Bytes
	}
	k.addTurn(q)
}

// finish counts a ticket as done; a run time above 0 enters the moving average.
func (k *kindQueue) finish(t *Ticket, ran time.Duration) {
	t.team.running--
	k.running--
	if ran > 0 {
		k.runTime += time.Duration(runTimeWeight * float64(ran-k.runTime))
	}
	k.addTurn(t.team)
	k.evictIdle(t.team)
}

// evictIdle drops a team without waiting or running requests if there are more than
// maxIdleTeams, so that callers can't fill the table with names of teams.
func (k *kindQueue) evictIdle(q *teamQueue) {
	if len(k.teams) > maxIdleTeams && q.running == 0 && q.waiting.Len() == 0 {
		delete(k.teams, q.name)
	}
}

// guaranteed returns the number of slots that the kind is guaranteed.
func (k *kindQueue) guaranteed(capacity int) float64 {
	return k.rules.Guarantee * float64(capacity)
}

// wait estimates how long a request that arrives now would wait for a slot.
func (k *kindQueue) wait(capacity, free int) time.Duration {
	if k.queued == 0 && free > 0 {
		return 0
	}
	slots := max(k.guaranteed(capacity), float64(k.running), 1)
	return time.Duration(float64(k.queued+1) / slots * float64(k.runTime))
}
