package schedule

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// queuedCopy returns a start that waits for its turn: the copy of a task of h1 on h2.
func queuedCopy(h *harness) (original Start, copied Start) {
	h.Helper()
	step := testStep(1, 1000)
	step.Speculative = true
	h.add(idA, step)
	starts, _ := h.plan()
	h.wantStarts(starts, idA+".0.0.0")
	h.accept(starts...)
	other := worker.ID("h1")
	if starts[0].Target.ID == other {
		other = "h2"
	}
	h.pool.RenewalFailed(starts[0].Target.ID, h.now, h.now, errNoAnswer)
	h.advance(strandedAfter + time.Millisecond)
	h.renew(other, 1)
	h.pool.Plan(h.now)
	queued := h.recordQueued()
	h.wantStarts(queued, idA+".0.0.0")
	return starts[0], queued[0]
}

func TestQueuedStartIsNotSentOnceItsTaskIsDone(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	original, copied := queuedCopy(h)
	h.renew(original.Target.ID, 1, endedRun(original, worker.OutcomeDone))
	if _, ok := h.pool.BeginStart(copied.Target.ID, copied.Order, h.now); ok {
		t.Error("the start was sent after its task was done")
	}
	if load := h.pool.Load(h.now); load.Hosts[copied.Target.ID].Runs != 0 {
		t.Error("the start that was not sent still reserves capacity")
	}
}

func TestQueuedStartIsNotSentToAHostThatDrains(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	_, copied := queuedCopy(h)
	draining := report(copied.Target.ID)
	draining.Draining = true
	h.pool.SetHosts([]worker.Report{draining}, h.now)
	if _, ok := h.pool.BeginStart(copied.Target.ID, copied.Order, h.now); ok {
		t.Error("the start was sent to a draining host")
	}
}

func TestQueuedStartOfAFencedPoolIsNotSent(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	original, copied := queuedCopy(h)
	h.pool.ApplyRenewal(original.Target.ID, h.pool.probe(original.Target.ID), h.now, h.now, worker.RenewalReply{Fenced: true})
	if _, ok := h.pool.BeginStart(copied.Target.ID, copied.Order, h.now); ok {
		t.Error("the start was sent although a later owner was seen")
	}
}

func TestDroppedMemberStopsItsGang(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	step := testStep(2, 9000)
	step.Gang = true
	h.add(idA, step)
	h.pool.Plan(h.now)
	queued := h.recordQueued()
	h.wantStarts(queued, idA+".0.0.0", idA+".0.0.1")
	h.pool.RenewalFailed(queued[0].Target.ID, h.now, h.now, errNoAnswer)
	for _, s := range queued {
		if _, ok := h.pool.BeginStart(s.Target.ID, s.Order, h.now); ok {
			t.Errorf("%s was started without the rest of its gang", s.Order.Task)
		}
	}
}

func TestQueuedStartIsSentOnce(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	_, copied := queuedCopy(h)
	h.pool.markDirty(h.pool.jobs[idA])
	h.wantStarts(h.recordQueued())
	if _, ok := h.pool.BeginStart(copied.Target.ID, copied.Order, h.now); !ok {
		t.Error("the start was not sent")
	}
}

func TestStartOfASpeculativeTaskExpiresSoon(t *testing.T) {
	h := newHarness(t, "h1")
	step := testStep(1, 1000)
	step.Speculative = true
	h.add(idA, step)
	h.add(idB, testStep(1, 1000))
	starts, _ := h.plan()
	got := map[string]time.Duration{}
	for _, s := range starts {
		got[s.Order.Task.Job] = s.Order.LeaseEnd - h.clock()
	}
	if diff := cmp.Diff(map[string]time.Duration{idA: startLifetime, idB: h.pool.limits.Lease}, got); diff != "" {
		t.Errorf("leases of the starts (-want +got):\n%s", diff)
	}
}

func TestRefusalSetsTheClockOfItsHost(t *testing.T) {
	h := newHarness(t, "h1")
	step := testStep(1, 1000)
	step.Speculative = true
	h.add(idA, step)
	starts, _ := h.plan()
	h.advance(time.Second)
	ahead := h.clock() + 2*time.Second
	h.pool.Started("h1", starts[0].Order, h.now, worker.StartReply{Refusal: worker.RefusedLeaseExpired, Clock: ahead}, false, nil)
	h.advance(capacityPause)
	order, ok := h.pool.NextRenewal("h1", h.now)
	if !ok || h.pool.hosts["h1"].clockNow(h.now) < ahead {
		t.Errorf("the clock of the host is taken for %s, after it said %s; next renewal %+v", h.pool.hosts["h1"].clockNow(h.now), ahead, order)
	}
}

// TestMemberWithoutAnAnswerStopsItsGang guards against members that wait until their time is over
// for one whose start got no answer and is stopped.
func TestMemberWithoutAnAnswerStopsItsGang(t *testing.T) {
	h := newHarness(t, "h1")
	step := testStep(2, 1000)
	step.Gang = true
	h.add(idA, step)
	starts, _ := h.plan()
	h.accept(starts[0])
	h.noAnswer(starts[1])
	h.advance(2 * unknownStartTimeout)
	if _, orders := h.plan(); len(orders.Stops) != 2 {
		t.Errorf("%d members of the gang are stopped; want 2", len(orders.Stops))
	}
}
