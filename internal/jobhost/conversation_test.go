package jobhost

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// busyWorker ends a task every endInterval, and lists one as soon as it is asked.
type busyWorker struct {
	Workers
	began    time.Time
	listed   int64
	renewals int
}

const endInterval = 20 * time.Millisecond

func (w *busyWorker) RenewLease(context.Context, worker.Target, worker.RenewalOrder) (worker.RenewalReply, error) {
	w.renewals++
	next := w.began.Add(time.Duration(w.listed+1) * endInterval)
	time.Sleep(max(time.Until(next), time.Millisecond))
	reply := worker.RenewalReply{Clock: time.Since(w.began) + time.Minute, Incarnation: 1}
	for !time.Now().Before(w.began.Add(time.Duration(w.listed+1) * endInterval)) {
		w.listed++
		name := worker.TaskName{Job: testJob, Index: int(w.listed)}
		reply.Ended = append(reply.Ended, worker.EndedRun{Number: w.listed, Task: name, Run: 1, Outcome: worker.OutcomeDone})
	}
	return reply, nil
}

func TestRenewalsAreNoMoreFrequentThanPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunnerTest(t).runner
		w := &busyWorker{began: time.Now()}
		now := func() time.Time { return time.Time{}.Add(time.Minute + time.Since(w.began)) }
		r.host.now, r.host.platform.Workers, r.host.settings.Limits.MaxUnconfirmed = now, w, time.Hour
		r.wake, r.leaseClients = make(chan struct{}, 1), map[worker.ID]*leaseClient{}
		r.signalRecorder = func() {
			changes, err := r.pool.TakeUnrecorded()
			if err != nil {
				t.Error(err)
			}
			r.pool.Recorded(changes, now())
			r.recorded.notify()
		}
		plan := func() {
			// A plan that takes so long is followed by the longest pause.
			began := now()
			time.Sleep(20 * time.Millisecond)
			r.pacer.Planned(began, now())
			time.Sleep(r.pacer.Due(now()))
		}
		plan()
		ctx, cancel := context.WithCancel(t.Context())
		client := newLeaseClient(r)
		client.target.Store(&worker.Target{ID: testHost})
		r.loops.Go(func() { client.run(ctx, testHost) })
		const plans = 20
		for range plans {
			plan()
		}
		cancel()
		r.loops.Wait()
		// One before the first plan, and one for each.
		if w.renewals > plans+1 {
			t.Errorf("%d renewals in the time of %d plans", w.renewals, plans)
		}
		if most := int64(plans * 6); w.listed < most-6 {
			t.Errorf("%d ends were listed in the time of %d", w.listed, most)
		}
	})
}
