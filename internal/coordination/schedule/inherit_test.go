package schedule

import (
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// replaceOwner makes the next owner's pool from the records of the present one.
func (h *harness) replaceOwner(id job.ID, records map[int][]byte) {
	h.Helper()
	next := newHarness(h.T)
	next.advance(h.now.Sub(next.now))
	before := h.pool.jobs[id].Job.Job
	*h = *next
	inherited := jobs.New(before)
	if err := inherited.ApplyParts(records); err != nil {
		h.Fatal(err)
	}
	h.pool.AddJob(inherited)
}

// progress records and returns the starts that go out and the records of a job's progress.
func (h *harness) progress(id job.ID) ([]Start, map[int][]byte) {
	h.Helper()
	h.pool.Plan(h.now)
	u := h.takeUnrecorded()
	var sent []Start
	for _, s := range h.pool.Recorded(u, h.now) {
		if order, ok := h.pool.BeginStart(s.Target.ID, s.Order, h.now); ok {
			sent = append(sent, Start{Target: s.Target, Order: order})
		}
	}
	return sent, h.records[id]
}

// TestUnrecordedCrashIsForgottenWithTheOwner: an owner was replaced before it could record a crash
// of a host that is back under its ID.
func TestUnrecordedCrashIsForgottenWithTheOwner(t *testing.T) {
	h := newHarness(t, "h1")
	h.add(idA, testStep(1, 1000))
	for n := range maxCrashes {
		starts, record := h.progress(idA)
		h.wantStarts(starts, idA+".0.0.0")
		h.replaceOwner(idA, record)
		h.list("h1")
		h.renew("h1", worker.Incarnation(2+n))
	}
	h.wantState(idA, job.Failed)
}

// TestSoundRunIsBlamedAfterItsOwnersEnd: a run that has worked well for long is lost soon after a
// change of owner, for as many times as are enough to give up a task.
func TestSoundRunIsBlamedAfterItsOwnersEnd(t *testing.T) {
	for _, test := range []struct {
		worked time.Duration
		want   job.State
	}{{soundRunTime, job.Running}, {soundRunTime / 2, job.Failed}} {
		h := newHarness(t, "h1")
		h.add(idA, testStep(1, 1000))
		for n := range worker.Incarnation(maxCrashes) {
			starts, record := h.progress(idA)
			h.wantStarts(starts, idA+".0.0.0")
			h.advance(test.worked)
			h.replaceOwner(idA, record)
			h.list("h1")
			h.renewRunning("h1", 1+n, []worker.ActiveRun{{Task: starts[0].Order.Task, Run: starts[0].Order.Run, Percent: 100, Usage: 1}})
			h.crash("h1")
			h.renew("h1", 2+n)
		}
		h.wantState(idA, test.want)
	}
}

// TestSuccessorAllowsForTheLongestLease guards against a task that is started a second time: the former
// owner took its host's worker for an earlier life and sent a lease on the clock of that, which lasts
// as long as the worker grants. It was replaced before it knew, and the host is cut off, before or
// after it has answered the successor.
func TestSuccessorAllowsForTheLongestLease(t *testing.T) {
	for name, answers := range map[string]bool{"answers once": true, "does not answer": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "h1")
			h.add(idA, testStep(1, 1000))
			starts, record := h.progress(idA)
			h.wantStarts(starts, idA+".0.0.0")
			h.advance(2 * time.Second)
			h.replaceOwner(idA, record)
			h.list("h1", "h2")
			h.renew("h2", 1)
			wait := h.pool.limits.MaxLease
			// The tenure begins at epoch.
			left := epoch.Add(h.pool.limits.MaxUnconfirmed).Sub(h.now)
			if answers {
				h.renewRunning("h1", 2, []worker.ActiveRun{{Task: starts[0].Order.Task, Run: starts[0].Order.Run, Percent: fullSpeed}})
			} else {
				wait += left
			}
			h.pool.RenewalFailed("h1", h.now, h.now, errNoAnswer)
			h.advance(wait)
			h.renew("h2", 1)
			again, _ := h.plan()
			h.wantStarts(again)
			h.advance(time.Second)
			h.renew("h2", 1)
			again, _ = h.plan()
			h.wantStarts(again, idA+".0.0.0")
		})
	}
}
