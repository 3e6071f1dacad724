package schedule

import (
	"slices"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// lapse lets a host fall silent for longer than its leases last.
func (h *harness) lapse(id worker.ID) {
	h.pool.RenewalFailed(id, h.now, h.now, errNoAnswer)
	h.advance(h.pool.limits.maxGrantedDuration())
	h.pool.Plan(h.now)
}

// TestCrashIsForgottenOnceItsLeasesHaveExpired: the list of machines shows crashes only later.
func TestCrashIsForgottenOnceItsLeasesHaveExpired(t *testing.T) {
	h := newHarness(t)
	h.add(idA, testStep(1, 1000))
	var silent []worker.ID
	for n := range maxCrashes {
		id := worker.ID(string(rune('1' + n)))
		h.list(append(slices.Clone(silent), id)...)
		h.renew(id, 1)
		starts, _ := h.plan()
		h.wantStarts(starts, idA+".0.0.0")
		h.accept(starts...)
		h.lapse(id)
		silent = append(silent, id)
	}
	h.list("5")
	h.renew("5", 1)
	none, _ := h.plan()
	h.wantStarts(none)
	for _, id := range silent {
		if n := h.pool.Load(h.now).Hosts[id].Runs; n == 0 {
			t.Errorf("host %s has no run; the end of its worker is not reported", id)
		}
		h.pool.WorkerEnded(id, h.lastSeen(id), h.now)
	}
	h.wantState(idA, job.Failed)
}

// TestSilenceIsBlamed: the hosts that were silent have not crashed.
func TestSilenceIsBlamed(t *testing.T) {
	h := newHarness(t)
	h.add(idA, testStep(1, 1000))
	for n := range 2 * maxCrashes {
		id := worker.ID(string(rune('1' + n)))
		h.list(id)
		h.renew(id, 1)
		starts, _ := h.plan()
		h.wantStarts(starts, idA+".0.0.0")
		h.accept(starts...)
		h.lapse(id)
		h.renew(id, 1)
		h.pool.Restrict([]worker.ID{id}, UseNone, h.now)
	}
	h.wantState(idA, job.Running)
}

// TestSilentHostsGetCopies: the hosts of a speculative task fall silent, and its copies start
// before their leases have expired.
func TestSilentHostsGetCopies(t *testing.T) {
	h := newHarness(t)
	step := testStep(1, 1000)
	step.Speculative, step.Estimate = true, 200*time.Millisecond
	h.add(idA, step)
	var hosts []worker.ID
	started := 0
	for n := range 4 * maxCrashes {
		id := worker.ID(string(rune('a' + n)))
		hosts = append(hosts, id)
		h.list(hosts...)
		h.renew(id, 1)
		starts, _ := h.plan()
		h.accept(starts...)
		for _, s := range starts {
			started++
			h.pool.RenewalFailed(s.Target.ID, h.now, h.now, errNoAnswer)
		}
		h.advance(2 * time.Second)
	}
	if started != maxCrashes {
		t.Errorf("the task was started %d times; want %d", started, maxCrashes)
	}
}

// TestNeighbourOfACrashIsHeldBack: a task that was lost beside another one waits for the list of
// machines although a host has survived it since.
func TestNeighbourOfACrashIsHeldBack(t *testing.T) {
	h := newHarness(t)
	h.add(idA, testStep(1, 1000))
	for n := range 2 * maxCrashes {
		id := worker.ID(string(rune('a' + n)))
		h.list(id)
		h.renew(id, 1)
		starts, _ := h.plan()
		h.wantStarts(starts, idA+".0.0.0")
		h.accept(starts...)
		if n%2 == 1 {
			h.survive(id, 1, starts...)
			h.plan()
		}
		h.lapse(id)
	}
	h.wantState(idA, job.Running)
}
