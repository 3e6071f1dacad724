package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/balance"
	"github.com/hornbeammast/hornbeammast/internal/coordination/claim"
	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/standin"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

const (
	hosts        = 4
	slotsPerHost = 4
)

// world is a few upstreams and entry hosts, with faults drawn from a seed.
type world struct {
	mu      sync.Mutex
	random  *rand.Rand
	runs    map[string]int
	running map[netip.AddrPort]int
	entries map[string]*Dispatcher
	claims  map[string]*claim.Claims
	names   []string
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// Send runs a request, or fails it in one of the ways that an upstream can.
func (w *world) Send(ctx context.Context, address netip.AddrPort, r *Request, fresh bool) (Reply, error) {
	switch fault := w.draw(20); {
	case fault == 0:
		return Reply{}, verdict.Refuse(verdict.CauseUpstreamDial, "refused")
	case fault == 1:
		return Reply{Answer: Answer{Status: 503}, Busy: true}, nil
	case fault == 2 && !fresh:
		<-ctx.Done()
		return Reply{}, verdict.Doubt(verdict.CauseUpstreamSilent, "silent before it ran")
	}
	w.mu.Lock()
	w.runs[r.ID]++
	w.running[address]++
	if w.running[address] > 2*slotsPerHost {
		w.mu.Unlock()
		panic("more work on a host than all entry hosts' shares")
	}
	w.mu.Unlock()
	time.Sleep(time.Duration(1+w.draw(40)) * time.Millisecond)
	w.mu.Lock()
	w.running[address]--
	w.mu.Unlock()
	switch w.draw(20) {
	case 0:
		return Reply{}, verdict.Doubt(verdict.CauseUpstreamBroken, "broke after it ran")
	case 1:
		<-ctx.Done()
		return Reply{}, verdict.Doubt(verdict.CauseUpstreamSilent, "silent after it ran")
	case 2:
		return Reply{Answer: Answer{Status: 500, Body: []byte(r.ID)}}, nil
	}
	return Reply{Answer: Answer{Status: 200, Body: []byte(r.ID)}}, nil
}

// Owner is any entry host, as in a lagging live list.
func (w *world) Owner(string, string) string { return w.names[w.draw(len(w.names))] }

// Claim asks another entry host over a link that may break.
func (w *world) Claim(ctx context.Context, name string, c *wire.Claim) (claim.Result, error) {
	if w.draw(5) == 0 {
		return claim.Result{}, context.DeadlineExceeded
	}
	return w.claims[name].AskHere(ctx, c)
}

// Join asks the holder over a link that may break.
func (w *world) Join(ctx context.Context, holder string, key claim.Key) (Answer, verdict.Verdict, bool) {
	if w.draw(5) == 0 {
		return Answer{}, verdict.MayHaveRun, false
	}
	answer, err, found := w.entries[holder].Join(ctx, key)
	if err != nil {
		return Answer{}, verdict.Of(err).Verdict, found
	}
	return answer, verdict.Ran, found
}

func fleetState(t *testing.T) *state.State {
	t.Helper()
	s := state.New()
	s.Document = &fleet.Document{
		Pools: map[string]fleet.Pool{"p": {}},
		Kinds: map[string]fleet.Kind{"a": {Pools: []string{"p"}, Guarantee: 0.5}, "b": {Pools: []string{"p"}, Guarantee: 0.3, Urgency: 1}},
		Teams: map[string]fleet.Team{"t0": {Quota: 3}},
	}
	return s
}

func (w *world) start(ctx context.Context, t *testing.T, log claim.Log) {
	t.Helper()
	views := []balance.HostView{}
	for n := range hosts {
		views = append(views, balance.HostView{
			Name: fmt.Sprintf("h%d", n), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(n+1)),
			Pool: "p", Share: slotsPerHost, InService: true,
		})
	}
	for _, name := range w.names {
		table := balance.NewTable(uint64(len(name)))
		table.Update(views, 1)
		w.claims[name] = claim.New(ctx, log, w, w, name, "1", claim.WithStreams(2))
		w.entries[name] = New(name, table, w, w.claims[name], w)
		w.entries[name].Update(fleetState(t))
		w.entries[name].Serving()
	}
}

// told is what a caller was told of a request.
type told struct {
	id         string
	idempotent bool
	verdict    verdict.Verdict
	answer     Answer
}

// TestTruth sends requests and duplicates through faulty entry hosts, links,
// logs and upstreams. What callers are told must be true, and non-idempotent
// work runs at most once.
func TestTruth(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runTruth(t, seed) })
		})
	}
}

func runTruth(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), runs: map[string]int{}, running: map[netip.AddrPort]int{},
		entries: map[string]*Dispatcher{}, claims: map[string]*claim.Claims{}, names: []string{"e0", "e1"},
	}
	log := standin.NewMemoryLog(time.Millisecond)
	log.SetFaults(func() standin.Fault {
		return []standin.Fault{standin.Refused, standin.AnswerLost, standin.LateEffect, 0, 0, 0, 0, 0, 0, 0}[w.draw(10)]
	})
	w.start(ctx, t, log)
	var mu sync.Mutex
	history := []told{}
	var callers sync.WaitGroup
	for range 60 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for range 6 {
				time.Sleep(time.Duration(w.draw(100)) * time.Millisecond)
				result := w.call(ctx)
				mu.Lock()
				history = append(history, result)
				mu.Unlock()
			}
		}()
	}
	callers.Wait()
	for _, e := range w.entries {
		e.Wait()
	}
	time.Sleep(20 * time.Second)
	w.check(t, history)
	cancel()
	synctest.Wait()
}

// call sends one request; ids of non-idempotent ones are often used again.
func (w *world) call(ctx context.Context) told {
	r := &Request{
		Kind: []string{"a", "b"}[w.draw(2)], Team: fmt.Sprintf("t%d", w.draw(3)), Idempotent: w.draw(2) == 0,
		Deadline: time.Now().Add(time.Duration(20+w.draw(2000)) * time.Millisecond),
	}
	r.ID = fmt.Sprintf("%d-%s-%d", time.Now().UnixMilli(), r.Team, w.draw(1<<30))
	if !r.Idempotent {
		r.ID = fmt.Sprintf("%d-%s", newYear(), fmt.Sprint(w.draw(40)))
		r.Team = "t1"
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if w.draw(8) == 0 {
		time.AfterFunc(time.Duration(w.draw(60))*time.Millisecond, cancel)
	}
	answer, err := w.entries[w.names[w.draw(2)]].Serve(ctx, r)
	result := told{id: r.ID, idempotent: r.Idempotent, verdict: verdict.Ran, answer: answer}
	if err != nil {
		result.verdict = verdict.Of(err).Verdict
	}
	return result
}

// newYear is the virtual clock's beginning, within the claim window.
func newYear() int64 { return time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli() }

func (w *world) check(t *testing.T, history []told) {
	t.Helper()
	answered := map[string]int{}
	for _, h := range history {
		if h.verdict == verdict.Ran && h.answer.Status != 0 {
			answered[h.id]++
			if !strings.Contains(string(h.answer.Body), h.id) {
				t.Errorf("request %s got the answer %q", h.id, h.answer.Body)
			}
		}
	}
	for _, h := range history {
		runs := w.runs[h.id]
		switch {
		case !h.idempotent && runs > 1:
			t.Errorf("non-idempotent request %s ran %d times", h.id, runs)
		case h.verdict == verdict.NotRun && h.idempotent && runs > 0:
			t.Errorf("request %s was said not to have run and ran", h.id)
		case h.verdict == verdict.Ran && runs == 0:
			t.Errorf("request %s was said to have run and did not", h.id)
		}
	}
	onlyRefused := map[string]bool{}
	for _, h := range history {
		refused, known := onlyRefused[h.id]
		onlyRefused[h.id] = h.verdict == verdict.NotRun && (refused || !known)
	}
	for id, refused := range onlyRefused {
		if refused && w.runs[id] > 0 {
			t.Errorf("request %s was only ever said not to have run and ran", id)
		}
	}
	for name, e := range w.entries {
		for pool, rows := range e.QueueStats() {
			for _, row := range rows {
				if row.Running != 0 || row.Queued != 0 {
					t.Errorf("%s, pool %s: %+v is left over", name, pool, row)
				}
			}
		}
		for _, row := range e.table.Stats() {
			if row.InFlight != 0 {
				t.Errorf("%s: %+v is left over", name, row)
			}
		}
	}
}
