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

// simulation runs entry hosts and upstream hosts with faults drawn from a seed.
type simulation struct {
	mu          sync.Mutex
	random      *rand.Rand
	runs        map[string]int
	running     map[netip.AddrPort]int
	dispatchers map[string]*Dispatcher
	claimers    map[string]*claim.Claimer
	names       []string
}

func (s *simulation) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// Send runs a request or injects one of the faults of an upstream host.
func (s *simulation) Send(ctx context.Context, address netip.AddrPort, r *Request, newConn bool) (Reply, error) {
	switch fault := s.draw(20); {
	case fault == 0:
		return Reply{}, verdict.NotRunError(verdict.CauseUpstreamDial, "refused")
	case fault == 1:
		return Reply{Answer: Answer{Status: 503}, Busy: true}, nil
	case fault == 2 && !newConn:
		<-ctx.Done()
		return Reply{}, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "no answer, not run")
	}
	s.mu.Lock()
	s.runs[r.ID]++
	s.running[address]++
	if s.running[address] > 2*slotsPerHost {
		s.mu.Unlock()
		panic("more requests run on a host than the shares of all entry hosts allow")
	}
	s.mu.Unlock()
	time.Sleep(time.Duration(1+s.draw(40)) * time.Millisecond)
	s.mu.Lock()
	s.running[address]--
	s.mu.Unlock()
	switch s.draw(20) {
	case 0:
		return Reply{}, verdict.MayHaveRunError(verdict.CauseUpstreamBroken, "connection broke, run")
	case 1:
		<-ctx.Done()
		return Reply{}, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "no answer, run")
	case 2:
		return Reply{Answer: Answer{Status: 500, Body: []byte(r.ID)}}, nil
	}
	return Reply{Answer: Answer{Status: 200, Body: []byte(r.ID)}}, nil
}

// Owner returns a random entry host, as an outdated live list may.
func (s *simulation) Owner(string, string) string { return s.names[s.draw(len(s.names))] }

// Claim claims through another entry host over a connection that may fail.
func (s *simulation) Claim(ctx context.Context, name string, c *wire.Claim) (claim.Result, error) {
	if s.draw(5) == 0 {
		return claim.Result{}, context.DeadlineExceeded
	}
	return s.claimers[name].ClaimLocally(ctx, c)
}

// Join asks the holder for the answer over a connection that may fail.
func (s *simulation) Join(ctx context.Context, holder string, key claim.Key) (Answer, verdict.Verdict, bool) {
	if s.draw(5) == 0 {
		return Answer{}, verdict.MayHaveRun, false
	}
	answer, err, found := s.dispatchers[holder].Join(ctx, key)
	if err != nil {
		return Answer{}, verdict.FromError(err).Verdict, found
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

func (s *simulation) start(ctx context.Context, t *testing.T, log claim.Log) {
	t.Helper()
	views := []balance.HostView{}
	for n := range hosts {
		views = append(views, balance.HostView{
			Name: fmt.Sprintf("h%d", n), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(n+1)),
			Pool: "p", Share: slotsPerHost, InService: true,
		})
	}
	for _, name := range s.names {
		table := balance.NewTable(uint64(len(name)))
		table.Update(views, 1)
		s.claimers[name] = claim.New(ctx, log, s, s, name, "1", claim.WithStreams(2))
		s.dispatchers[name] = New(name, table, s, s.claimers[name], s)
		s.dispatchers[name].Update(fleetState(t))
		s.dispatchers[name].StartServing()
	}
}

// reported is the outcome of a request as its caller received it.
type reported struct {
	id         string
	idempotent bool
	verdict    verdict.Verdict
	answer     Answer
}

// TestTruth sends requests and duplicates through two entry hosts while
// connections, the log and upstream hosts fail at random. It guards against
// verdicts that contradict the actual runs and against non-idempotent requests
// that run more than once.
func TestTruth(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSimulation(t, seed) })
		})
	}
}

func runSimulation(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), runs: map[string]int{}, running: map[netip.AddrPort]int{},
		dispatchers: map[string]*Dispatcher{}, claimers: map[string]*claim.Claimer{}, names: []string{"e0", "e1"},
	}
	log := standin.NewMemoryLog(time.Millisecond)
	log.SetFaults(func() standin.Fault {
		return []standin.Fault{standin.Refused, standin.AnswerLost, standin.LateEffect, 0, 0, 0, 0, 0, 0, 0}[s.draw(10)]
	})
	s.start(ctx, t, log)
	var mu sync.Mutex
	history := []reported{}
	var callers sync.WaitGroup
	for range 60 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for range 6 {
				time.Sleep(time.Duration(s.draw(100)) * time.Millisecond)
				result := s.call(ctx)
				mu.Lock()
				history = append(history, result)
				mu.Unlock()
			}
		}()
	}
	callers.Wait()
	for _, e := range s.dispatchers {
		e.Wait()
	}
	time.Sleep(20 * time.Second)
	s.check(t, history)
	cancel()
	synctest.Wait()
}

// call sends one request. Non-idempotent requests draw from 40 IDs, so that many
// are duplicates.
func (s *simulation) call(ctx context.Context) reported {
	r := &Request{
		Kind: []string{"a", "b"}[s.draw(2)], Team: fmt.Sprintf("t%d", s.draw(3)), Idempotent: s.draw(2) == 0,
		Deadline: time.Now().Add(time.Duration(20+s.draw(2000)) * time.Millisecond),
	}
	r.ID = fmt.Sprintf("%d-%s-%d", time.Now().UnixMilli(), r.Team, s.draw(1<<30))
	if !r.Idempotent {
		r.ID = fmt.Sprintf("%d-%s", clockStart(), fmt.Sprint(s.draw(40)))
		r.Team = "t1"
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if s.draw(8) == 0 {
		time.AfterFunc(time.Duration(s.draw(60))*time.Millisecond, cancel)
	}
	answer, err := s.dispatchers[s.names[s.draw(2)]].Serve(ctx, r)
	result := reported{id: r.ID, idempotent: r.Idempotent, verdict: verdict.Ran, answer: answer}
	if err != nil {
		result.verdict = verdict.FromError(err).Verdict
	}
	return result
}

// clockStart returns the initial time of the virtual clock in Unix milliseconds.
// IDs with this time stay within the claim window during the test.
func clockStart() int64 { return time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli() }

// check compares the verdicts that callers received with the actual runs.
func (s *simulation) check(t *testing.T, history []reported) {
	t.Helper()
	answered := map[string]int{}
	for _, h := range history {
		if h.verdict == verdict.Ran && h.answer.Status != 0 {
			answered[h.id]++
			if !strings.Contains(string(h.answer.Body), h.id) {
				t.Errorf("request %s got an answer that does not contain its ID: %q", h.id, h.answer.Body)
			}
		}
	}
	for _, h := range history {
		runs := s.runs[h.id]
		switch {
		case !h.idempotent && runs > 1:
			t.Errorf("non-idempotent request %s ran %d times", h.id, runs)
		case h.verdict == verdict.NotRun && h.idempotent && runs > 0:
			t.Errorf("request %s was reported as not run, but ran", h.id)
		case h.verdict == verdict.Ran && runs == 0:
			t.Errorf("request %s was reported as run, but did not run", h.id)
		}
	}
	onlyRefused := map[string]bool{}
	for _, h := range history {
		refused, known := onlyRefused[h.id]
		onlyRefused[h.id] = h.verdict == verdict.NotRun && (refused || !known)
	}
	for id, refused := range onlyRefused {
		if refused && s.runs[id] > 0 {
			t.Errorf("request %s was reported as not run by every call, but ran", id)
		}
	}
	for name, e := range s.dispatchers {
		for pool, rows := range e.QueueStats() {
			for _, row := range rows {
				if row.Running != 0 || row.Queued != 0 {
					t.Errorf("entry host %s, pool %s: requests remain queued or running at the end: %+v", name, pool, row)
				}
			}
		}
		for _, row := range e.table.Stats() {
			if row.InFlight != 0 {
				t.Errorf("entry host %s: requests remain in flight at the end: %+v", name, row)
			}
		}
	}
}
