package jobhost

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// planInterval is how often a pool is planned while nothing happens, so that
	// what is due by time alone is not late.
	planInterval = 100 * time.Millisecond
	// startTimeout bounds a start; a worker answers within milliseconds, and one that
	// does not is asked what it runs.
	startTimeout = 400 * time.Millisecond
	// stopTimeout bounds a stop or a change of pace.
	stopTimeout = 500 * time.Millisecond
	// adviceTimeout bounds a question; the service answers its askers in turn.
	adviceTimeout = 8 * time.Second
	// ordersAtOnce is how many orders to one host are on their way at a time.
	ordersAtOnce = 4
)

// poolRunner carries out the orders of one pool's scheduler for one tenure.
type poolRunner struct {
	host  *JobHost
	pool  *schedule.Pool
	wake  chan struct{}
	loops sync.WaitGroup
	// record tells the partition's recorder that there is something to record.
	record func()
	// fenced tells the partition that a later owner has been seen.
	fenced func()

	mu      sync.Mutex
	talking map[worker.ID]*conversation
}

func (r *poolRunner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run plans until ctx ends.
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
		r.plan(ctx)
	}
}

func (r *poolRunner) plan(ctx context.Context) {
	r.converse(ctx)
	now := r.host.now()
	if !r.host.mayAct(now) {
		return
	}
	if r.pool.Fenced() {
		r.fenced()
		return
	}
	orders := r.pool.Plan(now)
	if orders.Placed {
		r.record()
	}
	for _, order := range orders.Stops {
		r.send(ctx, order.Target, func(ctx context.Context) { r.stop(ctx, order) })
	}
	for _, order := range orders.Paces {
		r.send(ctx, order.Target, func(ctx context.Context) { r.pace(ctx, order) })
	}
	for _, question := range orders.Questions {
		r.loops.Go(func() { r.ask(ctx, question) })
	}
}

// converse begins a conversation with each host that has none.
func (r *poolRunner) converse(ctx context.Context) {
	for _, target := range r.pool.Hosts() {
		r.mu.Lock()
		c, ok := r.talking[target.ID]
		if !ok {
			c = &conversation{runner: r, slots: make(chan struct{}, ordersAtOnce)}
			r.talking[target.ID] = c
		}
		r.mu.Unlock()
		c.target.Store(&target)
		if !ok {
			r.loops.Go(func() { c.run(ctx, target.ID) })
		}
	}
}

// send carries an order out beside the others to its host.
func (r *poolRunner) send(ctx context.Context, target worker.Target, carry func(context.Context)) {
	r.mu.Lock()
	c := r.talking[target.ID]
	r.mu.Unlock()
	if c == nil {
		return
	}
	r.loops.Go(func() {
		select {
		case c.slots <- struct{}{}:
			defer func() { <-c.slots }()
		case <-ctx.Done():
			return
		}
		carry(ctx)
		r.signal()
	})
}

// startAll sends the starts whose placement is recorded.
func (r *poolRunner) startAll(ctx context.Context, starts []schedule.Start) {
	for _, order := range starts {
		r.send(ctx, order.Target, func(ctx context.Context) { r.start(ctx, order) })
	}
}

func (r *poolRunner) start(ctx context.Context, start schedule.Start) {
	// The tenure may have run out while the order waited for its turn.
	if !r.host.mayAct(r.host.now()) {
		r.pool.Started(start.Target.ID, start.Order, r.host.now(), worker.StartReply{}, true, errTenureOver)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	began := time.Now()
	reply, err := r.host.platform.Workers.Start(ctx, start.Target, start.Order)
	r.host.metrics.start.observe(time.Since(began), err)
	notSent := err != nil && verdict.Of(err).Verdict == verdict.NotRun
	r.pool.Started(start.Target.ID, start.Order, r.host.now(), reply, notSent, err)
	if err != nil && !notSent {
		r.look(ctx, start.Target)
	}
}

// look asks a host what runs there, beside its conversation.
func (r *poolRunner) look(ctx context.Context, target worker.Target) {
	now := r.host.now()
	order, ok := r.pool.LookOrder(target.ID, now)
	if !ok || !r.host.mayAct(now) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), holdSlack)
	defer cancel()
	reply, err := r.host.platform.Workers.Hold(ctx, target, order)
	if err != nil {
		// The conversation finds out whether the host is silent.
		return
	}
	r.pool.Held(target.ID, now, r.host.now(), reply)
	r.record()
}

func (r *poolRunner) stop(ctx context.Context, stop schedule.Stop) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := r.host.platform.Workers.Stop(ctx, stop.Target, stop.Order)
	r.pool.Stopped(stop.Target.ID, stop.Order, r.host.now(), err)
	if err == nil && stop.Absent {
		r.look(ctx, stop.Target)
	}
}

func (r *poolRunner) pace(ctx context.Context, pace schedule.Pace) {
	if !r.host.mayAct(r.host.now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	r.pool.Paced(pace.Target.ID, pace.Order, r.host.platform.Workers.Pace(ctx, pace.Target, pace.Order))
}

func (r *poolRunner) ask(ctx context.Context, question schedule.Question) {
	sent := r.host.now()
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	good, valid, err := r.host.platform.Advice.Advise(ctx, question.Step, question.Workers)
	r.pool.Advised(question, good, valid, sent, r.host.now(), err)
	r.signal()
}

// forget drops the conversation of a host that is gone.
func (r *poolRunner) forget(id worker.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.talking, id)
}

// wait is a pause that ends early when ctx does.
func wait(ctx context.Context, d time.Duration) { _ = pause.For(ctx, d) }
