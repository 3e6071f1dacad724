package admission

import (
	"container/list"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/balance"
)

const (
	// runTimeWeight is how much the newest run time counts in the learned one.
	runTimeWeight = 0.1
	// unknownRunTime is assumed where nothing is declared or learned.
	unknownRunTime  = 50 * time.Millisecond
	defaultMaxQueue = 1024
	// maxIdleTeams is how many teams are remembered while they have nothing queued.
	maxIdleTeams = 1024
	// maxQueueBytes bounds the waiting requests of a kind.
	maxQueueBytes = 64 << 20
)

// KindRules are a kind's rules in one pool.
type KindRules struct {
	Guarantee float64
	Urgency   int
	MaxQueue  int
	RunTime   time.Duration
	Needs     balance.Needs
}

// kindQueue is the waiting and running work of one kind in a pool.
type kindQueue struct {
	name    string
	rules   KindRules
	teams   map[string]*teamQueue
	turns   list.List
	queued  int
	bytes   int
	running int
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
		k.runTime = unknownRunTime
	}
	k.rules = rules
}

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
	k.bytes += t.work.Bytes
	k.takeTurn(t.team)
}

// takeTurn gives a team a place in the order of turns if it may use one.
func (k *kindQueue) takeTurn(q *teamQueue) {
	if q.turn == nil && q.eligible() {
		q.turn = k.turns.PushBack(q)
	}
}

func (k *kindQueue) loseTurn(q *teamQueue) {
	if q.turn != nil && !q.eligible() {
		k.turns.Remove(q.turn)
		q.turn = nil
	}
}

// remove takes a waiting ticket out, in constant time.
func (k *kindQueue) remove(t *Ticket) {
	t.team.waiting.Remove(t.element)
	t.element = nil
	k.queued--
	k.bytes -= t.work.Bytes
	k.loseTurn(t.team)
	k.forgetIdle(t.team)
}

// next is the first waiting ticket of the team whose turn it is.
func (k *kindQueue) next() *Ticket {
	front := k.turns.Front()
	if front == nil {
		return nil
	}
	ticket, _ := front.Value.(*teamQueue).waiting.Front().Value.(*Ticket)
	return ticket
}

// start moves the team behind the others and counts its ticket as running.
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
		k.bytes -= t.work.Bytes
	}
	k.takeTurn(q)
}

func (k *kindQueue) finish(t *Ticket, ran time.Duration) {
	t.team.running--
	k.running--
	if ran > 0 {
		k.runTime += time.Duration(runTimeWeight * float64(ran-k.runTime))
	}
	k.takeTurn(t.team)
	k.forgetIdle(t.team)
}

// forgetIdle drops a team that has nothing here once there are many, so that
// callers can't fill the table with names.
func (k *kindQueue) forgetIdle(q *teamQueue) {
	if len(k.teams) > maxIdleTeams && q.running == 0 && q.waiting.Len() == 0 {
		delete(k.teams, q.name)
	}
}

// guaranteed is the number of slots that the kind always gets.
func (k *kindQueue) guaranteed(capacity int) float64 {
	return k.rules.Guarantee * float64(capacity)
}

// wait estimates how long a request that comes now would wait.
func (k *kindQueue) wait(capacity, free int) time.Duration {
	if k.queued == 0 && free > 0 {
		return 0
	}
	slots := max(k.guaranteed(capacity), float64(k.running), 1)
	return time.Duration(float64(k.queued+1) / slots * float64(k.runTime))
}
