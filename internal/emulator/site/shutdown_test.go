package site

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
)

// TestJobsGoOnWhileAllEntryHostsRestart restarts all entry hosts, the next one before the last has
// ended, so that for a while each of them is shutting down. Jobs accepted before must be done
// within their objective all the same.
func TestJobsGoOnWhileAllEntryHostsRestart(t *testing.T) {
	const (
		gap      = 400 * time.Millisecond
		shutdown = 5300 * time.Millisecond
		restart  = 500 * time.Millisecond
		steps    = 5
		work     = time.Second
		// wantedShare leaves room for tasks that fail and are started again.
		wantedShare = 0.9
	)
	tiles := configuration.Queues[0]
	objective := time.Duration(tiles.Stretch*float64(steps*work)) + tiles.LatencyTarget
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed-", seed+1), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, seed+1)
				var chain []job.Step
				for n := range steps {
					step := newStep(2, 1000, work)
					if n > 0 {
						step.DependsOn = []int{n - 1}
					}
					chain = append(chain, step)
				}
				took := f.submitAndTime(10, tiles.Name, chain)
				time.Sleep(time.Second)
				var restarts sync.WaitGroup
				for n, h := range f.hosts {
					restarts.Go(func() {
						time.Sleep(time.Duration(n) * gap)
						f.hosts[n] = f.shutDownAndStart(h, n, shutdown, restart)
					})
				}
				restarts.Wait()
				f.wait.Wait()
				f.finish()
				slices.Sort(took)
				if got := took[int(wantedShare*float64(len(took)))-1]; got > objective {
					t.Errorf("%g of the jobs were done within %s; want %s", wantedShare, got, objective)
				}
			})
		})
	}
}

// submitAndTime submits jobs and returns, once f.wait is over, how long each took until a caller
// was shown that it is done.
func (f *fixture) submitAndTime(n int, queueName string, steps []job.Step) []time.Duration {
	took := make([]time.Duration, n)
	for k := range took {
		f.next++
		j := &job.Job{ID: JobID(f.next), Spec: "spec", Steps: steps}
		f.queue[j.ID] = queueName
		f.wait.Go(func() {
			began := time.Now()
			if !f.site.SubmitDeclared(queueName, j) {
				f.t.Errorf("job %s was not accepted", j.ID)
				return
			}
			for f.site.JobState(queueName, j.ID) != job.Done {
				time.Sleep(50 * time.Millisecond)
			}
			took[k] = time.Since(began)
		})
	}
	return took
}

// shutDownAndStart shuts an entry host down within its grace period and starts it again.
func (f *fixture) shutDownAndStart(h *EntryHost, n int, shutdown, pause time.Duration) *EntryHost {
	ctx, cancel := context.WithTimeout(context.Background(), shutdown)
	defer cancel()
	h.Drain(ctx)
	<-ctx.Done()
	f.site.KillHost(h)
	time.Sleep(pause)
	again, err := f.site.StartHost(h.Name, h.DataCentre, 1+n)
	if err != nil {
		f.t.Error(err)
	}
	return again
}
