package site

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
)

func TestNoCopyStartsLongAfterItsTaskIsDone(t *testing.T) {
	for _, loss := range []struct {
		// every is the distance between two machines that lose a share of their orders.
		every int
		share float64
		seeds uint64
	}{{every: 2, share: 0.5, seeds: 16}, {every: 3, share: 0.85, seeds: 24}} {
		for seed := range loss.seeds {
			t.Run(fmt.Sprintf("every-%d/share-%g/seed-%d", loss.every, loss.share, seed+1), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runLostOrders(newFixture(t, seed+1), loss.every, loss.share) })
			})
		}
	}
}

func runLostOrders(f *fixture, every int, share float64) {
	machines := slices.Sorted(slices.Values(f.site.Machines()))
	for n := 0; n < len(machines); n += every {
		f.site.SetLostOrderShareOf(machines[n], share)
	}
	for range 40 {
		step := newStep(8, 1000, 600*time.Millisecond)
		step.Speculative = true
		f.submit("tiles", []job.Step{step}, nil)
		time.Sleep(200 * time.Millisecond)
	}
	for _, name := range machines {
		f.site.SetLostOrderShareOf(name, 0)
	}
	f.finish()
}

// startQueues collects how long starts waited for their turn at their host.
type startQueues struct {
	mu     sync.Mutex
	queued []time.Duration
}

func (q *startQueues) Event(name string, pairs ...any) {
	if name != "run-start" && name != "start-dropped" {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for n := 0; n+1 < len(pairs); n += 2 {
		if wait, ok := pairs[n+1].(time.Duration); ok && pairs[n] == "queued" {
			q.queued = append(q.queued, wait)
		}
	}
}

// maxStartQueue is the time in which a host that answers no order lets all starts through that
// may be in flight to it: two turns of 0.4 s, and the record of the last.
const maxStartQueue = 900 * time.Millisecond

func TestStartsDoNotQueueBehindUnansweredOrders(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed-", seed+1), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := &startQueues{}
				runLostOrders(newFixtureOf(t, layout, configuration, seed+1, func(string) Events { return q }), 2, 0.5)
				if len(q.queued) == 0 {
					t.Fatal("no start was ordered")
				}
				if longest := slices.Max(q.queued); longest > maxStartQueue {
					t.Errorf("a start waited %s for its turn; want at most %s", longest, maxStartQueue)
				}
			})
		})
	}
}
