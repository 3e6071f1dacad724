package jobhost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// renewalSlack is how long a lease renewal may take beyond its wait.
	renewalSlack = 700 * time.Millisecond
	// renewalRetryMin is the pause after the first failed renewal; it doubles up to
	// renewalRetryMax while the host is unresponsive.
	renewalRetryMin = 50 * time.Millisecond
	renewalRetryMax = 800 * time.Millisecond
	// maxQueriesPerHost bounds the concurrent reads of a host's runs beside its renewals; with
	// two, one that gets no answer does not hold up the next.
	maxQueriesPerHost = 2
	// maxRecordWait bounds how long the next renewal waits for the record of the ended runs in
	// the last reply; without it the host would answer at once.
	maxRecordWait = 200 * time.Millisecond
)

// leaseClient renews the lease of one host and processes the renewal replies, which list
// its runs.
type leaseClient struct {
	runner *poolRunner
	target atomic.Pointer[worker.Target]
	// starts and others bound the start orders and the other orders in flight to the host, so
	// that a stop doesn't wait for unanswered starts.
	starts, others hostOrders
	// queries asks for the host's runs to be read outside the renewal loop.
	queries chan struct{}
}

func newLeaseClient(runner *poolRunner) *leaseClient {
	return &leaseClient{
		runner: runner, starts: newHostOrders(), others: newHostOrders(), queries: make(chan struct{}, 1),
	}
}

func (c *leaseClient) run(ctx context.Context, id worker.ID) {
	defer c.runner.removeLeaseClient(id)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for range maxQueriesPerHost {
		c.runner.loops.Go(func() { c.answerQueries(ctx) })
	}
	retry := renewalRetryMin
	for ctx.Err() == nil {
		now := c.runner.host.now()
		if !c.runner.host.mayAct(now) {
			wait(ctx, planInterval)
			continue
		}
		order, ok := c.runner.pool.NextRenewal(id, now)
		if !ok {
			return
		}
		if !c.renew(ctx, id, order, now) {
			wait(ctx, retry)
			retry = min(renewalRetryMax, 2*retry)
			continue
		}
		retry = renewalRetryMin
		c.awaitRecord(ctx, id)
		wait(ctx, c.runner.pacer.RenewalPause(c.runner.host.now()))
	}
}

func (c *leaseClient) renew(ctx context.Context, id worker.ID, order worker.RenewalOrder, sent time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, order.MaxWait+renewalSlack)
	defer cancel()
	reply, err := c.runner.host.platform.Workers.RenewLease(ctx, *c.target.Load(), order)
	now := c.runner.host.now()
	if err != nil {
		c.runner.pool.RenewalFailed(id, sent, now, err)
		return false
	}
	c.runner.pool.ApplyRenewal(id, order, sent, now, reply)
	if len(reply.Ended) > 0 {
		c.runner.signalRecorder()
	}
	c.runner.signal()
	return !reply.Fenced
}

// awaitRecord waits, within a bound, while ended runs of the host are being recorded.
func (c *leaseClient) awaitRecord(ctx context.Context, id worker.ID) {
	if !c.runner.pool.HasUnrecordedEnds(id) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxRecordWait)
	defer cancel()
	for {
		recorded := c.runner.recorded.changed()
		if !c.runner.pool.HasUnrecordedEnds(id) {
			return
		}
		select {
		case <-recorded:
		case <-ctx.Done():
			return
		}
	}
}

// query has the host's runs read soon. Queries made while one waits share its answer.
func (c *leaseClient) query() {
	select {
	case c.queries <- struct{}{}:
	default:
	}
}

// answerQueries reads the host's runs after each query until ctx ends.
func (c *leaseClient) answerQueries(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.queries:
			c.runner.queryRuns(ctx, *c.target.Load())
			c.runner.signal()
		}
	}
}
