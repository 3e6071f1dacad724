package jobhost

import (
	"context"
	"time"
)

const (
	// maxHostOrders is how many orders of a kind are open to a host that answers them. Each needs a
	// connection of its own.
	maxHostOrders = 2
	// maxSpareOrders is how many more are open to a host that does not.
	maxSpareOrders = 2
	// orderAnswerTime is how long an order waits for the answers to others before it is sent beside them. A
	// worker answers within milliseconds.
	orderAnswerTime = 20 * time.Millisecond
)

// hostOrders bounds the open orders of one kind to one host.
type hostOrders struct{ slots, spare chan struct{} }

func newHostOrders() hostOrders {
	return hostOrders{make(chan struct{}, maxHostOrders), make(chan struct{}, maxSpareOrders)}
}

// begin waits for the turn of an order and returns a function that must be called at its end; it returns
// nil if ctx ends before.
func (o hostOrders) begin(ctx context.Context) (end func()) {
	select {
	case o.slots <- struct{}{}:
		return func() { <-o.slots }
	default:
	}
	timer := time.NewTimer(orderAnswerTime)
	defer timer.Stop()
	var spare chan struct{}
	for {
		select {
		case o.slots <- struct{}{}:
			return func() { <-o.slots }
		case spare <- struct{}{}:
			return func() { <-spare }
		case <-timer.C:
			spare = o.spare
		case <-ctx.Done():
			return nil
		}
	}
}
