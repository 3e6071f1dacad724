package jobhost

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// planInterval is how often a pool is planned without any event, so that time-based
	// decisions are not late.
	planInterval = 100 * time.Millisecond
	// startTimeout bounds a start order. Workers answer within milliseconds; one that does
	// not is queried for what it runs.
	startTimeout = 400 * time.Millisecond
	// stopTimeout bounds a stop or throttle order.
	stopTimeout = 500 * time.Millisecond
	// placementTimeout bounds a placement check; it is long because the service answers
	// queries one after another.
	placementTimeout = 8 * time.Second
)

// poolRunner plans one pool and carries out its scheduler's orders during one tenure.
type poolRunner struct {
	host  *JobHost
	pool  *schedule.Pool
	wake  chan struct{}
	loops sync.WaitGroup
	pacer schedule.Pacer
	// planned is how long all plans took, in nanoseconds.
	planned atomic.Int64
	// started is set once the pool is planned; the partition's lock guards it.
	started bool
	// organisationsOf is the configuration whose organisations the pool has; the partition's lock
	// guards it.
	organisationsOf *queue.Configuration
	// recorded is notified after each record of the pool's changes.
	recorded broadcast
	// signalRecorder notifies the partition's recorder of changes to be recorded.
	signalRecorder func()
	// onFenced notifies the partition that a later owner was seen.
	onFenced func()

	mu           sync.Mutex
	leaseClients map[worker.ID]*leaseClient
}

func (r *poolRunner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run plans the pool after every signal, as soon as its pacer allows, and every planInterval
// until ctx ends.
func (r *poolRunner) run(ctx context.Context) {
	timer := time.NewTimer(planInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		timer.Reset(planInterval)
		if pause := r.pacer.Due(r.host.now()); pause > 0 {
			wait(ctx, pause)
		}
		r.planIfDue(ctx)
	}
}

// planIfDue plans the pool and sends the orders, unless it was planned too recently.
func (r *poolRunner) planIfDue(ctx context.Context) {
	if r.pacer.Due(r.host.now()) > 0 {
		return
	}
	r.plan(ctx)
}

func (r *poolRunner) plan(ctx context.Context) {
	r.startRenewals(ctx)
	now := r.host.now()
	if !r.host.mayAct(now) {
		return
	}
	if r.pool.Fenced() {
		r.onFenced()
		return
	}
	if r.host.versions.lacking(now) {
		return
	}
	orders := r.pool.Plan(now)
	ended := r.host.now()
	r.pacer.Planned(now, ended)
	r.planned.Add(int64(ended.Sub(now)))
	if orders.HasPlacements || orders.HasGivenUp {
		r.signalRecorder()
	}
	for _, order := range orders.Stops {
		r.send(ctx, order.Target, otherOrders, func(ctx context.Context) { r.stop(ctx, order) })
	}
	for _, order := range orders.Throttles {
		r.send(ctx, order.Target, otherOrders, func(ctx context.Context) { r.throttle(ctx, order) })
	}
	for _, target := range orders.RunQueries {
		r.query(target.ID)
	}
	for _, query := range orders.PlacementQueries {
		r.loops.Go(func() { r.checkPlacement(ctx, query) })
	}
}

// startRenewals starts a lease-renewal loop for each host that has none.
func (r *poolRunner) startRenewals(ctx context.Context) {
	for _, target := range r.pool.Hosts() {
		r.mu.Lock()
		client, ok := r.leaseClients[target.ID]
		if !ok {
			client = newLeaseClient(r)
			r.leaseClients[target.ID] = client
		}
		r.mu.Unlock()
		client.target.Store(&target)
		if !ok {
			r.loops.Go(func() { client.run(ctx, target.ID) })
		}
	}
}

func startOrders(c *leaseClient) hostOrders { return c.starts }

func otherOrders(c *leaseClient) hostOrders { return c.others }

// client returns the lease client of a host, or nil.
func (r *poolRunner) client(id worker.ID) *leaseClient {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaseClients[id]
}

// send carries out an order in its own goroutine once the open ones of its kind to the host allow it. A
// host that has just left the pool has no bound.
func (r *poolRunner) send(ctx context.Context, target worker.Target, kind func(*leaseClient) hostOrders, carryOut func(context.Context)) {
	orders := newHostOrders()
	if client := r.client(target.ID); client != nil {
		orders = kind(client)
	}
	r.loops.Go(func() {
		end := orders.begin(ctx)
		if end == nil {
			return
		}
		defer end()
		leave := r.host.orders.enter(ctx)
		if leave == nil {
			return
		}
		defer leave()
		carryOut(ctx)
		r.signal()
	})
}

// startAll sends start orders whose placements are recorded.
func (r *poolRunner) startAll(ctx context.Context, starts []schedule.Start) {
	for _, order := range starts {
		r.send(ctx, order.Target, startOrders, func(ctx context.Context) { r.start(ctx, order) })
	}
}

func (r *poolRunner) start(ctx context.Context, start schedule.Start) {
	// The membership may have become unconfirmed while the order waited for a slot, or the run
	// unwanted.
	now := r.host.now()
	if !r.host.mayAct(now) {
		r.pool.Started(start.Target.ID, start.Order, now, worker.StartReply{}, true, errTenureOver)
		return
	}
	order, ok := r.pool.BeginStart(start.Target.ID, start.Order, now)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	began := time.Now()
	reply, err := r.host.platform.Workers.Start(ctx, start.Target, order)
	r.host.metrics.start.observe(time.Since(began), err)
	notSent := err != nil && verdict.FromError(err).Verdict == verdict.NotRun
	r.pool.Started(start.Target.ID, order, r.host.now(), reply, notSent, err)
	if err != nil && !notSent {
		r.query(start.Target.ID)
	}
}

// query has the runs of a host read outside its renewal loop.
func (r *poolRunner) query(id worker.ID) {
	if client := r.client(id); client != nil {
		client.query()
	}
}

// queryRuns reads the runs of a host, independently of its renewal loop.
func (r *poolRunner) queryRuns(ctx context.Context, target worker.Target) {
	now := r.host.now()
	order, ok := r.pool.ImmediateRenewal(target.ID, now)
	if !ok || !r.host.mayAct(now) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), renewalSlack)
	defer cancel()
	reply, err := r.host.platform.Workers.RenewLease(ctx, target, order)
	if err != nil {
		// The renewal loop detects an unresponsive host.
		return
	}
	r.pool.ApplyRenewal(target.ID, order, now, r.host.now(), reply)
	r.signalRecorder()
}

func (r *poolRunner) stop(ctx context.Context, stop schedule.Stop) {
	// What the stop rests on may have changed while it waited for its turn.
	now := r.host.now()
	if !r.host.mayAct(now) {
		r.pool.StopNotSent(stop.Target.ID, stop.Order)
		return
	}
	order, ok := r.pool.BeginStop(stop.Target.ID, stop.Order, now)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := r.host.platform.Workers.Stop(ctx, stop.Target, order)
	r.pool.Stopped(stop.Target.ID, order, now, r.host.now(), err)
	if err == nil && stop.MayBeAbsent {
		r.query(stop.Target.ID)
	}
}

func (r *poolRunner) throttle(ctx context.Context, throttle schedule.Throttle) {
	if now := r.host.now(); !r.host.mayAct(now) {
		r.pool.ApplyThrottle(throttle.Target.ID, throttle.Order, now, errTenureOver)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := r.host.platform.Workers.Throttle(ctx, throttle.Target, throttle.Order)
	r.pool.ApplyThrottle(throttle.Target.ID, throttle.Order, r.host.now(), err)
}

func (r *poolRunner) checkPlacement(ctx context.Context, query schedule.PlacementQuery) {
	sent := r.host.now()
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	tickets, validFor, err := r.host.platform.Placement.Tickets(ctx, query.Step, query.Workers)
	r.pool.ApplyPlacementCheck(query, tickets, validFor, sent, r.host.now(), err)
	r.signal()
}

// removeLeaseClient removes the lease client of a host that has left the pool.
func (r *poolRunner) removeLeaseClient(id worker.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.leaseClients, id)
}

// wait pauses for d, or until ctx ends.
func wait(ctx context.Context, d time.Duration) { _ = pause.For(ctx, d) }
