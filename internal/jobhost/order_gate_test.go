package jobhost

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// openOrders counts the orders that are open at a time.
type openOrders struct {
	mu         sync.Mutex
	open, most int
}

func (o *openOrders) carryOut(took time.Duration) {
	o.mu.Lock()
	o.open++
	o.most = max(o.most, o.open)
	o.mu.Unlock()
	time.Sleep(took)
	o.mu.Lock()
	o.open--
	o.mu.Unlock()
}

func TestOrdersToManyHostsAreNotOpenAllAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunnerTest(t).runner
		r.wake, r.leaseClients = make(chan struct{}, 1), map[worker.ID]*leaseClient{}
		orders := &openOrders{}
		began := time.Now()
		for n := range 1000 {
			target := worker.Target{ID: worker.ID(fmt.Sprint(n))}
			r.send(t.Context(), target, startOrders, func(context.Context) { orders.carryOut(2 * time.Millisecond) })
		}
		r.loops.Wait()
		if orders.most > 64 {
			t.Errorf("%d orders were open at a time", orders.most)
		}
		if took := time.Since(began); took > 50*time.Millisecond {
			t.Errorf("orders that take 2 ms took %s in all", took)
		}
	})
}

func TestSilentHostsHoldUpNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunnerTest(t).runner
		r.wake, r.leaseClients = make(chan struct{}, 1), map[worker.ID]*leaseClient{}
		orders := &openOrders{}
		began, answered := time.Now(), time.Duration(0)
		for n := range 200 {
			r.send(t.Context(), worker.Target{ID: worker.ID(fmt.Sprint("silent", n))}, startOrders, func(context.Context) { orders.carryOut(startTimeout) })
		}
		synctest.Wait()
		r.send(t.Context(), worker.Target{ID: "h1"}, startOrders, func(context.Context) { answered = time.Since(began) })
		r.loops.Wait()
		if answered >= startTimeout {
			t.Errorf("an order waited for %s", answered)
		}
	})
}
