package jobhost

import (
	"context"
	"time"
)

const (
	// maxAnsweredOrders is how many orders of a kind are open to a host that answers them. Each needs a
	// connection of its own.
	maxAnsweredOrders = 2
	// maxUnansweredOrders is how many more are open to a host that does not.
	maxUnansweredOrders = 2
	// orderAnswerTime is how long an order waits for the answers to others before it is sent beside them. A
	// worker answers within milliseconds.
	orderAnswerTime = 20 * time.Millisecond
)

// hostOrders bounds the open orders of one kind to one host.
type hostOrders struct{ answered, unanswered chan struct{} }

func newHostOrders() hostOrders {
	return hostOrders{make(chan struct{}, maxAnsweredOrders), make(chan struct{}, maxUnansweredOrders)}
}

// begin waits for the turn of an order and returns a function that must be called at its end; it returns
// nil if ctx ends before.
func (o hostOrders) begin(ctx context.Context) (end func()) {
	select {
	case o.answered <- struct{}{}:
		return func() { <-o.answered }
	default:
	}
	timer := time.NewTimer(orderAnswerTime)
	defer timer.Stop()
	var unanswered chan struct{}
	for {
		select {
		case o.answered <- struct{}{}:
			return func() { <-o.answered }
		case unanswered <- struct{}{}:
			return func() { <-unanswered }
		case <-timer.C:
			unanswered = o.unanswered
		case <-ctx.Done():
			return nil
		}
	}
}
