package jobhost

import (
	"context"
	"sync"
	"time"
)

const (
	// maxOpenOrders bounds the starts and other orders to workers that a process has open at a time. What
	// it can't carry out at once waits here, where it holds up no renewal of the membership.
	maxOpenOrders = 64
	// maxOrderHold bounds how long an order counts as open, so that workers which don't answer hold up no
	// others.
	maxOrderHold = 100 * time.Millisecond
)

// orderGate bounds the open orders of all pools of a process.
type orderGate chan struct{}

func newOrderGate() orderGate { return make(orderGate, maxOpenOrders) }

// enter waits for its turn and returns a function that must be called once the order is carried out; it
// returns nil if ctx ends before.
func (g orderGate) enter(ctx context.Context) (leave func()) {
	select {
	case g <- struct{}{}:
	case <-ctx.Done():
		return nil
	}
	release := sync.OnceFunc(func() { <-g })
	timer := time.AfterFunc(maxOrderHold, release)
	return func() {
		timer.Stop()
		release()
	}
}
