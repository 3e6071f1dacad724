package schedule

import (
	"slices"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// fakeWorker is one incarnation of a worker, with its fence and its lease.
type fakeWorker struct {
	incarnation worker.Incarnation
	began       time.Time
	maxLease    time.Duration
	token       worker.FencingToken
	leaseEnd    time.Duration
	running     []worker.ActiveRun
}

func (w *fakeWorker) clock(now time.Time) time.Duration { return now.Sub(w.began) + time.Millisecond }

// carryOut applies the token and the lease of an order, and reports whether the order is not fenced off.
func (w *fakeWorker) carryOut(token worker.FencingToken, leaseEnd time.Duration, now time.Time) bool {
	if token < w.token {
		return false
	}
	w.token = token
	w.leaseEnd = max(w.leaseEnd, min(leaseEnd, w.clock(now)+w.maxLease))
	return true
}

// renewFrom has a worker carry out the next renewal and delivers its reply.
func (h *harness) renewFrom(id worker.ID, w *fakeWorker) {
	order, _ := h.pool.NextRenewal(id, h.now)
	fenced := !w.carryOut(order.Token, order.LeaseEnd, h.now)
	h.pool.ApplyRenewal(id, order, h.now, h.now, worker.RenewalReply{Clock: w.clock(h.now), Incarnation: w.incarnation, Running: w.running, Fenced: fenced})
}

// startOn has a worker carry out starts and accept them.
func (h *harness) startOn(w *fakeWorker, starts ...Start) {
	for _, s := range starts {
		w.carryOut(s.Order.Token, s.Order.LeaseEnd, h.now)
		w.running = append(w.running, worker.ActiveRun{Task: s.Order.Task, Run: s.Order.Run, Percent: fullSpeed})
		h.pool.Started(s.Target.ID, s.Order, h.now, worker.StartReply{Clock: w.clock(h.now)}, false, nil)
	}
}

// TestTaskStartedTwiceWhileALateStartExtendsTheLease: a start to the former incarnation is carried out
// seconds after the owner has seen the next one, which is then cut off.
func TestTaskStartedTwiceWhileALateStartExtendsTheLease(t *testing.T) {
	for _, late := range []time.Duration{200 * time.Millisecond, 1500 * time.Millisecond, 2800 * time.Millisecond, 9 * time.Second, 12 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			h := newHarness(t, "h1")
			first := &fakeWorker{incarnation: 1, began: epoch.Add(-time.Minute), maxLease: h.pool.limits.MaxLease}
			h.renewFrom("h1", first)
			h.add(idA, testStep(1, 1000))
			starts, _ := h.plan()
			h.startOn(first, starts...)
			h.add(idB, testStep(1, 1000))
			starts, _ = h.plan()
			dark := starts[0].Order
			h.noAnswer(starts...)
			h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
			next := &fakeWorker{incarnation: 2, began: h.now.Add(600 * time.Millisecond), maxLease: h.pool.limits.MaxLease}
			h.advance(time.Second)
			h.renewFrom("h1", next)
			h.renewFrom("h1", next)
			starts, _ = h.plan()
			h.wantStarts(starts, idA+".0.0.0")
			h.startOn(next, starts...)
			h.pool.CancelJob(idB, h.now)
			for range int(late / (100 * time.Millisecond)) {
				h.advance(100 * time.Millisecond)
				h.renewFrom("h1", next)
			}
			next.carryOut(dark.Token, dark.LeaseEnd, h.now)
			h.advance(time.Second)
			h.renewFrom("h1", next)
			h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
			h.list("h1", "h2")
			for range 400 {
				h.advance(100 * time.Millisecond)
				h.renew("h2", 1)
				if starts, _ = h.plan(); len(starts) == 0 {
					continue
				}
				if left := next.leaseEnd - next.clock(h.now); left > 0 {
					t.Errorf("started on h2 while the lease of h1 lasts for %s more", left)
				}
				return
			}
			t.Error("never started again")
		})
	}
}

// TestPoolTakesItsOwnOrderForALaterOwners guards against a pool that gives up its tenure: its own later order
// has overtaken one that is then refused.
func TestPoolTakesItsOwnOrderForALaterOwners(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	overtaken := h.renewal("h1")
	h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
	probe := h.renewal("h1")
	h.pool.Started("h1", starts[0].Order, h.now, worker.StartReply{Refusal: worker.RefusedFenced}, false, nil)
	h.pool.ApplyRenewal("h1", overtaken, h.now, h.now, worker.RenewalReply{Fenced: true})
	if h.pool.Fenced() {
		t.Error("fenced by an order of its own")
	}
	h.pool.ApplyRenewal("h1", probe, h.now, h.now, worker.RenewalReply{Fenced: true})
	if !h.pool.Fenced() {
		t.Error("not fenced by a later owner")
	}
}

// TestPoolScheduledAnewIsRefused guards against a pool whose orders all workers refuse: it was scheduled
// before under the same token.
func TestPoolScheduledAnewIsRefused(t *testing.T) {
	var tokens []worker.FencingToken
	epochs := &Epochs{}
	for range 2 {
		p := New("maps", 7, Limits{}, epoch, discardEvents{}, WithEpochs(epochs))
		p.SetHosts([]worker.Report{report("h1"), report("h2")}, epoch)
		for _, id := range []worker.ID{"h1", "h2"} {
			tokens = append(tokens, p.probe(id).Token)
		}
	}
	if !slices.IsSorted(tokens) || len(slices.Compact(slices.Clone(tokens))) != len(tokens) {
		t.Errorf("tokens %d; want them to rise", tokens)
	}
}

// TestNoEpochIsLeft guards against a token that falls into that of another tenure.
func TestNoEpochIsLeft(t *testing.T) {
	epochs := &Epochs{}
	epochs.last.Store(1<<epochBits - 1)
	p := New("maps", 7, Limits{}, epoch, discardEvents{}, WithEpochs(epochs))
	p.SetHosts([]worker.Report{report("h1")}, epoch)
	if token := p.probe("h1").Token; token>>epochBits != 7 {
		t.Errorf("token %d is of tenure %d; want 7", token, token>>epochBits)
	}
	if !p.Fenced() {
		t.Error("the pool goes on without an epoch")
	}
}
