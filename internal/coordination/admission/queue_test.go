package admission

import (
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeammast/hornbeammast/internal/coordination/balance"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/randomised"
)

func TestMain(m *testing.M) { os.Exit(randomised.Main(m, "")) }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newPool(hosts, share int) *balance.Pool {
	table := balance.NewTable(1)
	views := []balance.HostView{}
	for n := range hosts {
		views = append(views, balance.HostView{
			Name: fmt.Sprintf("h%d", n), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(n+1)), Pool: "p",
			Share: share, InService: true, MemoryGB: 64 * (n % 2),
		})
	}
	table.Update(views, 1)
	p, _ := table.Pool("p")
	return p
}

// queueModel runs random operations on a queue and checks its invariants after each.
type queueModel struct {
	q       *Queue
	pool    *balance.Pool
	rules   map[string]KindRules
	waiting []*Ticket
	running []*Ticket
	now     time.Time
}

const quota = 3

func (m *queueModel) Admit(t *rapid.T) {
	kind := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "kind")
	request := Request{Kind: kind, Team: fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, "team")), Bytes: 10}
	ticket, err := m.q.Admit(request, quota, m.now)
	if err == nil {
		m.waiting = append(m.waiting, ticket)
		return
	}
	if e := verdict.FromError(err); e.Verdict != verdict.NotRun {
		t.Fatalf("the verdict of an early refusal is %s", e.Verdict)
	}
}

func (m *queueModel) Cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		t.Skip()
	}
	n := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "n")
	if !m.q.Cancel(m.waiting[n]) {
		t.Fatal("a waiting ticket could not be cancelled")
	}
	if m.q.Cancel(m.waiting[n]) {
		t.Fatal("a ticket was cancelled twice")
	}
	m.waiting = append(m.waiting[:n], m.waiting[n+1:]...)
}

func (m *queueModel) Finish(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip()
	}
	n := rapid.IntRange(0, len(m.running)-1).Draw(t, "n")
	if m.q.Cancel(m.running[n]) {
		t.Fatal("a running ticket was cancelled")
	}
	m.now = m.now.Add(10 * time.Millisecond)
	m.q.Finish(m.running[n], 10*time.Millisecond, m.now)
	m.running = append(m.running[:n], m.running[n+1:]...)
}

func (m *queueModel) Check(t *rapid.T) {
	stillWaiting := m.waiting[:0]
	for _, ticket := range m.waiting {
		select {
		case <-ticket.Ready():
			m.running = append(m.running, ticket)
		default:
			stillWaiting = append(stillWaiting, ticket)
		}
	}
	m.waiting = stillWaiting
	if len(m.running) > m.pool.Capacity() {
		t.Fatalf("%d requests run on %d slots", len(m.running), m.pool.Capacity())
	}
	m.checkCounts(t)
	m.checkIdle(t)
}

// checkCounts compares the queue's statistics with the tickets, and checks the teams' quotas.
func (m *queueModel) checkCounts(t *rapid.T) {
	running, queued, teams := map[string]int{}, map[string]int{}, map[string]int{}
	for _, ticket := range m.running {
		running[ticket.request.Kind]++
		teams[ticket.request.Kind+ticket.request.Team]++
	}
	for _, ticket := range m.waiting {
		queued[ticket.request.Kind]++
	}
	for _, row := range m.q.Stats() {
		if row.Running != running[row.Kind] || row.Queued != queued[row.Kind] || row.Bytes != 10*row.Queued || row.Queued > 20 {
			t.Fatalf("the queue reports %+v; want %d running and %d waiting", row, running[row.Kind], queued[row.Kind])
		}
	}
	for team, n := range teams {
		if n > quota {
			t.Fatalf("team %s runs %d, quota %d", team, n, quota)
		}
	}
}

// checkIdle checks that no slot is idle while an eligible ticket waits.
func (m *queueModel) checkIdle(t *rapid.T) {
	teams := map[string]int{}
	for _, ticket := range m.running {
		teams[ticket.request.Kind+ticket.request.Team]++
	}
	for _, ticket := range m.waiting {
		if teams[ticket.request.Kind+ticket.request.Team] >= quota {
			continue
		}
		host, ok := m.pool.Reserve(m.rules[ticket.request.Kind].Requirements, nil, m.now)
		if ok {
			host.Release()
			t.Fatalf("a slot of %s is idle while %s of %s waits", host.Name, ticket.request.Kind, ticket.request.Team)
		}
	}
}

// TestQueue checks the queue's invariants in random sequences of operations.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{pool: newPool(4, 2), now: start, rules: map[string]KindRules{
			"a": {Guarantee: 0.5, MaxQueue: 20},
			"b": {Guarantee: 0.25, Urgency: 5, MaxQueue: 20},
			"c": {Urgency: 1, MaxQueue: 20, Requirements: balance.Requirements{MemoryGB: 64}},
		}}
		m.q = NewQueue(m.pool)
		m.q.SetRules(m.rules)
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// TestGuarantee guards against one kind starving another: while the most or the least
// urgent kind floods the queue, the other gets the next free slots up to its guarantee.
func TestGuarantee(t *testing.T) {
	for _, flooding := range []string{"urgent", "background"} {
		other := map[string]string{"urgent": "background", "background": "urgent"}[flooding]
		q := NewQueue(newPool(2, 4))
		q.SetRules(map[string]KindRules{"urgent": {Guarantee: 0.5, Urgency: 9}, "background": {Guarantee: 0.5}})
		var running []*Ticket
		for n := range 100 {
			ticket, err := q.Admit(Request{Kind: flooding, Team: fmt.Sprint(n)}, 0, start)
			if err != nil {
				t.Fatal(err)
			}
			running = append(running, ticket)
		}
		var others []*Ticket
		for range 4 {
			ticket, err := q.Admit(Request{Kind: other, Team: "t"}, 0, start)
			if err != nil {
				t.Fatal(err)
			}
			others = append(others, ticket)
		}
		for n := range 4 {
			q.Finish(running[n], time.Millisecond, start)
			select {
			case <-others[n].Ready():
			default:
				t.Errorf("%s floods: free slot %d did not go to %s", flooding, n, other)
			}
		}
	}
}

// BenchmarkAdmit admits and finishes requests that need not wait.
func BenchmarkAdmit(b *testing.B) {
	for _, size := range []struct{ hosts, kinds, teams int }{{50, 5, 20}, {290, 10, 70}, {880, 20, 200}} {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			q := NewQueue(newPool(size.hosts, 8))
			rules := map[string]KindRules{}
			for n := range size.kinds {
				rules[fmt.Sprintf("k%d", n)] = KindRules{Guarantee: 1 / float64(size.kinds), Urgency: n}
			}
			q.SetRules(rules)
			requests := []Request{}
			for n := range 1024 {
				requests = append(requests, Request{Kind: fmt.Sprintf("k%d", n%size.kinds), Team: fmt.Sprintf("t%d", n%size.teams)})
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				ticket, err := q.Admit(requests[n%len(requests)], 16, start)
				if err != nil {
					b.Fatal(err)
				}
				q.Finish(ticket, time.Millisecond, start)
				n++
			}
		})
	}
}

// BenchmarkCancelWave cancels one ticket of a long queue per iteration and admits another.
func BenchmarkCancelWave(b *testing.B) {
	for _, waiting := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := NewQueue(newPool(1, 1))
			q.SetRules(map[string]KindRules{"k": {MaxQueue: waiting + 2}})
			tickets := []*Ticket{}
			for n := range waiting + 1 {
				ticket, err := q.Admit(Request{Kind: "k", Team: fmt.Sprint(n % 200)}, 0, start)
				if err != nil {
					b.Fatal(err)
				}
				tickets = append(tickets, ticket)
			}
			n := 0
			for b.Loop() {
				at := 1 + n%waiting
				q.Cancel(tickets[at])
				tickets[at], _ = q.Admit(Request{Kind: "k", Team: fmt.Sprint(n % 200)}, 0, start)
				n++
			}
		})
	}
}
