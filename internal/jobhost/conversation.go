package jobhost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// holdSlack is what a hold may take beyond its wait.
	holdSlack = 700 * time.Millisecond
	// holdRetry is the first pause after a hold without an answer, doubled up to
	// holdRetryMost while the host is silent.
	holdRetry     = 50 * time.Millisecond
	holdRetryMost = 800 * time.Millisecond
	// noteCheck and noteChecks bound how long the next hold waits for the record of
	// the ends that the last one brought; without it the host would answer at once.
	noteCheck  = 4 * time.Millisecond
	noteChecks = 50
)

// conversation keeps the lease of one host and reads its lists.
type conversation struct {
	runner *poolRunner
	target atomic.Pointer[worker.Target]
	// slots bounds the orders on their way.
	slots chan struct{}
}

func (c *conversation) run(ctx context.Context, id worker.ID) {
	defer c.runner.forget(id)
	retry := holdRetry
	for ctx.Err() == nil {
		now := c.runner.host.now()
		if !c.runner.host.mayAct(now) {
			wait(ctx, planInterval)
			continue
		}
		order, ok := c.runner.pool.HoldOrder(id, now)
		if !ok {
			return
		}
		if !c.hold(ctx, id, order, now) {
			wait(ctx, retry)
			retry = min(holdRetryMost, 2*retry)
			continue
		}
		retry = holdRetry
		c.awaitRecord(ctx, id)
	}
}

func (c *conversation) hold(ctx context.Context, id worker.ID, order worker.HoldOrder, sent time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, order.Wait+holdSlack)
	defer cancel()
	reply, err := c.runner.host.platform.Workers.Hold(ctx, *c.target.Load(), order)
	now := c.runner.host.now()
	if err != nil {
		c.runner.pool.HoldFailed(id, err)
		return false
	}
	c.runner.pool.Held(id, sent, now, reply)
	if len(reply.Ended) > 0 {
		c.runner.record()
	}
	c.runner.signal()
	return !reply.Fenced
}

// awaitRecord waits a little while ends are being recorded.
func (c *conversation) awaitRecord(ctx context.Context, id worker.ID) {
	for range noteChecks {
		if ctx.Err() != nil || !c.runner.pool.EndsPending(id) {
			return
		}
		wait(ctx, noteCheck)
	}
}
