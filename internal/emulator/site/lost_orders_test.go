package site

import (
	"fmt"
	"iter"
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

// lostShare is the share of the orders to all hosts that get no answer and are carried out late.
const lostShare = 0.3

// TestJobsAreDoneSoonWhileHostsLoseOrders has all hosts leave orders without an answer. Nearly all
// callers must still see their jobs done while that is of use to them: within three times the
// objective.
func TestJobsAreDoneSoonWhileHostsLoseOrders(t *testing.T) {
	const (
		work        = 600 * time.Millisecond
		wantedShare = 0.9
	)
	tiles := configuration.Queues[0]
	longest := 3 * (time.Duration(tiles.Stretch*float64(work)) + tiles.LatencyTarget)
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed-", seed+1), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, seed+1)
				f.site.SetLostOrderShare(lostShare)
				shown := make(chan time.Duration, 40)
				for range cap(shown) {
					f.next++
					j := &job.Job{ID: JobID(f.next), Spec: "spec", Steps: []job.Step{newStep(4, 1000, work)}}
					f.queue[j.ID] = tiles.Name
					f.wait.Go(func() { shown <- timeUntilDone(f, tiles.Name, j) })
					time.Sleep(200 * time.Millisecond)
				}
				f.wait.Wait()
				f.site.SetLostOrderShare(0)
				f.finish()
				close(shown)
				if took := slices.Sorted(channelValues(shown)); took[int(wantedShare*float64(len(took)))] > longest {
					t.Errorf("%g of the jobs were done within %s; want %s", wantedShare, took[int(wantedShare*float64(len(took)))], longest)
				}
			})
		})
	}
}

func channelValues(c <-chan time.Duration) iter.Seq[time.Duration] {
	return func(yield func(time.Duration) bool) {
		for d := range c {
			if !yield(d) {
				return
			}
		}
	}
}

// timeUntilDone submits a job and returns how long it takes until the caller is shown that it is
// done.
func timeUntilDone(f *fixture, queueName string, j *job.Job) time.Duration {
	began := time.Now()
	if !f.site.SubmitDeclared(queueName, j) {
		f.t.Errorf("job %s was not accepted", j.ID)
		return 0
	}
	for f.site.JobState(queueName, j.ID) != job.Done {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}
