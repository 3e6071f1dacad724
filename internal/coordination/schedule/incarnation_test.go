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
