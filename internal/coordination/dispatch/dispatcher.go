package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/coordination/admission"
	"github.com/hornbeammast/hornbeammast/internal/coordination/balance"
	"github.com/hornbeammast/hornbeammast/internal/coordination/claim"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// Dispatcher serves the requests of one entry host.
type Dispatcher struct {
	self     string
	upstream Upstream
	claims   Claims
	joiner   Joiner
	pools    *pools
	table    *balance.Table
	flights  *flights
	counters *Counters

	// closed is set for good once the entry host shuts down.
	closed atomic.Bool
	// refusal is why nothing is dispatched, nil while it serves.
	refusal atomic.Pointer[string]
	// lease is until when the entry host may dispatch; nil before the first.
	lease atomic.Pointer[time.Time]
	// work counts requests that hold a slot.
	work sync.WaitGroup
}

// New makes the dispatcher of an entry host.
func New(self string, table *balance.Table, upstream Upstream, claims Claims, joiner Joiner) *Dispatcher {
	d := &Dispatcher{
		self: self, upstream: upstream, claims: claims, joiner: joiner,
		pools: newPools(table), table: table, flights: newFlights(), counters: newCounters(),
	}
	d.StopServing("the configuration has not been read yet")
	return d
}

// Update takes a new state whose hosts are in the table already.
func (d *Dispatcher) Update(s *state.State) {
	d.pools.update(s)
	d.Kick()
}

// Kick hands out slots that came free by themselves.
func (d *Dispatcher) Kick() {
	now := time.Now()
	for _, p := range d.pools.all() {
		p.queue.Kick(now)
	}
}

// Serving begins or goes on to dispatch.
func (d *Dispatcher) Serving() { d.refusal.Store(nil) }

// StopServing refuses all that is not dispatched yet.
func (d *Dispatcher) StopServing(reason string) { d.refusal.Store(&reason) }

// Close refuses for good all that is not dispatched yet.
func (d *Dispatcher) Close(reason string) {
	d.closed.Store(true)
	d.StopServing(reason)
}

// Closed tells whether the dispatcher was closed.
func (d *Dispatcher) Closed() bool { return d.closed.Load() }

// Refusing tells why nothing is dispatched, "" while it serves.
func (d *Dispatcher) Refusing() string {
	if reason := d.refusal.Load(); reason != nil {
		return *reason
	}
	return ""
}

// Lease lets the entry host dispatch until a time by its monotonic clock. A
// process that was paused past its lease finds out before it sends anything.
func (d *Dispatcher) Lease(until time.Time) { d.lease.Store(&until) }

func (d *Dispatcher) checkLease() error {
	if until := d.lease.Load(); until != nil && !time.Now().Before(*until) {
		return verdict.Refuse(verdict.CauseNotServing, "this entry host has lost the platform and may not dispatch any more; try another")
	}
	return nil
}

func (d *Dispatcher) checkServing() error {
	if reason := d.Refusing(); reason != "" {
		return verdict.Refuse(verdict.CauseNotServing, reason)
	}
	return d.checkLease()
}

// Wait waits until no request holds a slot.
func (d *Dispatcher) Wait() { d.work.Wait() }

// Serve gives a request's whole answer or an error with its verdict. ctx ends
// when the caller has gone.
func (d *Dispatcher) Serve(ctx context.Context, r *Request) (Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	answer, err := d.serve(ctx, r)
	d.counters.count(answer, err)
	return answer, err
}

func (d *Dispatcher) serve(ctx context.Context, r *Request) (Answer, error) {
	if err := d.checkServing(); err != nil {
		return Answer{}, err
	}
	candidates, err := d.pools.choose(r.Kind)
	if err != nil {
		return Answer{}, err
	}
	if r.Idempotent {
		return d.admitAndRun(ctx, r, candidates, nil)
	}
	return d.serveOnce(ctx, r, candidates)
}

// serveOnce serves a non-idempotent request under a claim of its key.
func (d *Dispatcher) serveOnce(ctx context.Context, r *Request, candidates []*pool) (Answer, error) {
	issued, err := IssuedAt(r.ID)
	if err != nil {
		return Answer{}, err
	}
	if err := checkAge(issued, time.Now(), d.claims.Window()); err != nil {
		return Answer{}, err
	}
	key := claim.KeyOf(r.Team, r.ID)
	fl, first := d.flights.begin(key)
	if !first {
		return waitFor(ctx, fl)
	}
	return d.claimAndRun(ctx, r, key, issued, candidates, fl)
}

// waitFor joins a request that is in flight here.
func waitFor(ctx context.Context, fl *flight) (Answer, error) {
	select {
	case <-fl.done:
		answer := fl.answer
		answer.Joined = true
		return answer, fl.err
	case <-ctx.Done():
		return Answer{}, verdict.Doubt(verdict.CauseDuplicate, "the same request is still in flight")
	}
}

func (d *Dispatcher) claimAndRun(ctx context.Context, r *Request, key claim.Key, issued time.Time, candidates []*pool, fl *flight) (Answer, error) {
	handle, result, err := d.claims.Ask(ctx, key, issued)
	switch {
	case err != nil:
		handle.GiveUp()
		err = verdict.Refuse(verdict.CauseClaimFailed, "the claim was not confirmed by the log in time and is given up; try again later")
	case result.Standing == claim.Unknown:
		handle.GiveUp()
		err = verdict.Refuse(verdict.CauseClaimFailed, "the claim was overtaken; try again")
	case result.Standing != claim.Won:
		answer, err := d.joinElsewhere(ctx, key, result)
		d.flights.finish(key, fl, answer, err)
		return answer, err
	}
	if err != nil {
		d.flights.finish(key, fl, Answer{}, err)
		return Answer{}, err
	}
	claimed := &claimed{key: key, handle: handle, flight: fl}
	return d.admitAndRun(ctx, r, candidates, claimed)
}

// joinElsewhere gives a duplicate the answer of the request that holds the key.
func (d *Dispatcher) joinElsewhere(ctx context.Context, key claim.Key, result claim.Result) (Answer, error) {
	if result.Holder != d.self {
		if answer, v, ok := d.joiner.Join(ctx, result.Holder, key); ok {
			answer.Joined = true
			if v == verdict.Ran {
				return answer, nil
			}
		}
	}
	if result.Standing == claim.Done {
		return Answer{}, verdict.New(verdict.Ran, verdict.CauseDuplicate, "a request with this id ran to its end; its answer is not kept any more")
	}
	return Answer{}, verdict.Doubt(verdict.CauseDuplicate, "a request with this id was claimed by entry host "+result.Holder+"; it may have run")
}

// claimed is what a non-idempotent request has to settle when it ends.
type claimed struct {
	key    claim.Key
	handle *claim.Handle
	flight *flight
}

// settle tells the log and the duplicates how the request ended.
func (d *Dispatcher) settle(c *claimed, answer Answer, err error) {
	if c == nil {
		return
	}
	switch {
	case err == nil:
		c.handle.Done()
	case verdict.Of(err).Verdict == verdict.NotRun:
		c.handle.GiveUp()
	}
	d.flights.finish(c.key, c.flight, answer, err)
}

// admitAndRun waits for a slot and runs the request in it.
func (d *Dispatcher) admitAndRun(ctx context.Context, r *Request, candidates []*pool, c *claimed) (Answer, error) {
	p, ticket, err := d.admit(r, candidates)
	if err == nil {
		err = d.awaitSlot(ctx, p, ticket)
	}
	if err != nil {
		d.settle(c, Answer{}, err)
		return Answer{}, err
	}
	done := make(chan outcome, 1)
	d.work.Add(1)
	go func() {
		defer d.work.Done()
		answer, err := d.run(context.WithoutCancel(ctx), r, p, ticket)
		d.settle(c, answer, err)
		done <- outcome{answer, err}
	}()
	select {
	case o := <-done:
		return o.answer, o.err
	case <-ctx.Done():
		return gone(ctx, done)
	}
}

type outcome struct {
	answer Answer
	err    error
}

// gone answers a request whose caller's time is over while an upstream has it.
func gone(ctx context.Context, done <-chan outcome) (Answer, error) {
	select {
	case o := <-done:
		return o.answer, o.err
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Answer{}, verdict.Doubt(verdict.CauseDeadline, "the upstream has not answered by the deadline")
	}
	return Answer{}, verdict.Doubt(verdict.CauseCancelled, "the caller has gone while an upstream had the request")
}

// admit takes the first pool that does not refuse.
func (d *Dispatcher) admit(r *Request, candidates []*pool) (*pool, *admission.Ticket, error) {
	w := admission.Work{Kind: r.Kind, Team: r.Team, Deadline: r.Deadline, Bytes: len(r.Body)}
	var refusal error
	for _, p := range candidates {
		ticket, err := p.queue.Admit(w, d.pools.quota(r.Team), time.Now())
		if err == nil {
			return p, ticket, nil
		}
		if refusal == nil {
			refusal = err
		}
	}
	return nil, nil, refusal
}

func (d *Dispatcher) awaitSlot(ctx context.Context, p *pool, ticket *admission.Ticket) error {
	select {
	case <-ticket.Ready():
	case <-ctx.Done():
		if p.queue.Cancel(ticket) {
			return notStarted(ctx)
		}
		<-ticket.Ready()
	}
	err := d.checkServing()
	if err == nil && ctx.Err() != nil {
		err = notStarted(ctx)
	}
	if err != nil {
		p.queue.Finish(ticket, 0, time.Now())
	}
	return err
}

func notStarted(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Refuse(verdict.CauseDeadline, "no slot came free by the deadline")
	}
	return verdict.Refuse(verdict.CauseCancelled, "the caller has gone before the request was started")
}

// Join waits for a request in flight here, or gives the answer that is still kept.
func (d *Dispatcher) Join(ctx context.Context, key claim.Key) (Answer, error, bool) { //nolint:revive // The error is part of what is found.
	fl, ok := d.flights.find(key)
	if !ok {
		return Answer{}, nil, false
	}
	answer, err := waitFor(ctx, fl)
	return answer, err, true
}

// QueueStats gives the queues by pool.
func (d *Dispatcher) QueueStats() map[string][]admission.KindStats {
	rows := map[string][]admission.KindStats{}
	for _, p := range d.pools.all() {
		rows[p.name] = p.queue.Stats()
	}
	return rows
}
