package schedule

import (
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// restart delivers the first list of a host's next incarnation, whose clock begins anew, and returns
// the function that delivers the later ones.
func (h *harness) restart(id worker.ID) (list func(ended ...worker.EndedRun)) {
	began := h.now
	list = func(ended ...worker.EndedRun) {
		sent := h.now
		h.advance(5 * time.Millisecond)
		h.pool.ApplyRenewal(id, sent, h.now, worker.RenewalReply{Clock: h.now.Sub(began), Incarnation: 2, Ended: ended})
	}
	list()
	return list
}

// TestLateListOfAnEarlierIncarnationIsIgnored guards against runs that are taken for lost, and
// started again elsewhere: the list was on its way while the next incarnation answered.
func TestLateListOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	h := newHarness(t, "h1")
	h.advance(time.Second)
	sent, clock := h.now, h.clock()
	h.restart("h1")
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.accept(starts...)
	h.pool.ApplyRenewal("h1", sent, h.now, worker.RenewalReply{Clock: clock, Incarnation: 1})
	again, _ := h.plan()
	h.wantStarts(again)
}

// TestLateAnswerOfAnEarlierIncarnationDoesNotSetTheClock guards against a host whose lists are all
// ignored: the clock of its earlier incarnation was ahead.
func TestLateAnswerOfAnEarlierIncarnationDoesNotSetTheClock(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(2, 1000))
	starts, _ := h.plan()
	clock := h.clock()
	list := h.restart("h1")
	h.pool.Started("h1", starts[0].Order, h.now, worker.StartReply{Clock: clock}, false, nil)
	end := endedRun(starts[1], worker.OutcomeDone)
	end.Number = 1
	list(end)
	if !h.pool.HasUnrecordedEnds("h1") {
		t.Error("the list of the present incarnation was ignored")
	}
}

// noAnswer leaves starts without an answer.
func (h *harness) noAnswer(starts ...Start) {
	for _, s := range starts {
		h.pool.Started(s.Target.ID, s.Order, h.now, worker.StartReply{}, false, errNoAnswer)
	}
}

// TestRestartDoesNotEndTheStopOfAStartWithoutAnAnswer guards against a task that is started a
// second time while the first start may still be carried out, by the next incarnation, which knows
// nothing of a stop.
func TestRestartDoesNotEndTheStopOfAStartWithoutAnAnswer(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.noAnswer(starts...)
	h.advance(2 * unknownStartTimeout)
	_, orders := h.plan()
	if len(orders.Stops) != 1 {
		t.Fatalf("%d stops of a start without an answer; want 1", len(orders.Stops))
	}
	stop := orders.Stops[0]
	sent := h.now
	list := h.restart("h1")
	// The answer of the former incarnation does not bind this one.
	h.pool.Stopped("h1", stop.Order, sent, h.now, nil)
	h.advance(10 * time.Millisecond)
	list()
	again, orders := h.plan()
	h.wantStarts(again)
	if len(orders.Stops) != 1 {
		t.Fatalf("%d stops at the next incarnation; want 1", len(orders.Stops))
	}
	h.pool.Stopped("h1", stop.Order, h.now, h.now, nil)
	h.advance(100 * time.Millisecond)
	list()
	again, _ = h.plan()
	h.wantStarts(again, idA+".0.0.0")
}

// TestStoppedStartIsStoppedAgainAfterARestart guards against a task that is started a second time:
// a start that got no answer and was stopped is carried out late by the next incarnation, also if
// the worker had left the pool meanwhile.
func TestStoppedStartIsStoppedAgainAfterARestart(t *testing.T) {
	for name, leaves := range map[string]bool{"restart": false, "leaves and comes back": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "h1")
			h.add(idA, testStep(1, 1000))
			starts, _ := h.plan()
			h.noAnswer(starts...)
			h.advance(2 * unknownStartTimeout)
			_, orders := h.plan()
			h.pool.Stopped("h1", orders.Stops[0].Order, h.now, h.now, nil)
			h.advance(time.Millisecond)
			h.renew("h1", 1)
			h.pool.CancelJob(idA, h.now)
			if leaves {
				h.pool.RenewalFailed("h1", h.now, errNoAnswer)
				h.pool.WorkerEnded("h1", h.lastSeen("h1"), h.now)
				h.list()
				h.list("h1")
			}
			list := h.restart("h1")
			_, orders = h.plan()
			if len(orders.Stops) != 1 || orders.Stops[0].Order.Run != starts[0].Order.Run {
				t.Fatalf("stops at the next incarnation: %v; want that of the start without an answer", orders.Stops)
			}
			h.pool.Stopped("h1", orders.Stops[0].Order, h.now, h.now, nil)
			h.advance(2 * stopRetry)
			list()
			if _, orders = h.plan(); len(orders.Stops) != 0 {
				t.Errorf("a stop that was answered is ordered again: %v", orders.Stops)
			}
		})
	}
}
