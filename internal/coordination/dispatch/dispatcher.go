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

// Dispatcher admits, dispatches and answers the requests of one entry host.
type Dispatcher struct {
	self     string
	upstream Upstream
	claimer  Claimer
	joiner   Joiner
	pools    *pools
	table    *balance.Table
	flights  *flights
	counters *Counters

	// closed is set when the entry host shuts down and is never cleared.
	closed atomic.Bool
	// refusal is the reason why nothing is dispatched, nil while requests are served.
	refusal atomic.Pointer[string]
	// lease is the time at which the right to dispatch expires, nil before the first lease.
	lease atomic.Pointer[time.Time]
	// running counts requests that hold a slot.
	running sync.WaitGroup
}

// New returns the dispatcher of an entry host. It refuses all requests until
// StartServing is called.
func New(self string, table *balance.Table, upstream Upstream, claimer Claimer, joiner Joiner) *Dispatcher {
	d := &Dispatcher{
		self: self, upstream: upstream, claimer: claimer, joiner: joiner,
		pools: newPools(table), table: table, flights: newFlights(), counters: newCounters(),
	}
	d.StopServing("the configuration has not been read yet")
	return d
}

// Update applies a new state. Its hosts must be in the table already.
func (d *Dispatcher) Update(s *state.State) {
	d.pools.update(s)
	d.DispatchQueued()
}

// DispatchQueued dispatches queued requests to slots that became free without a call to
// the queue, for example at the end of an ejection.
func (d *Dispatcher) DispatchQueued() {
	now := time.Now()
	for _, p := range d.pools.all() {
		p.queue.GrantFreeSlots(now)
	}
}

// StartServing starts or resumes dispatching.
func (d *Dispatcher) StartServing() { d.refusal.Store(nil) }

// StopServing refuses all requests that are not dispatched yet, with the given
// reason, until StartServing is called.
func (d *Dispatcher) StopServing(reason string) { d.refusal.Store(&reason) }

// Close permanently refuses all requests that are not dispatched yet.
func (d *Dispatcher) Close(reason string) {
	d.closed.Store(true)
	d.StopServing(reason)
}

// Closed reports whether Close was called.
func (d *Dispatcher) Closed() bool { return d.closed.Load() }

// RefusalReason returns the reason why nothing is dispatched, or "" while requests
// are served.
func (d *Dispatcher) RefusalReason() string {
	if reason := d.refusal.Load(); reason != nil {
		return *reason
	}
	return ""
}

// SetLease lets the entry host to dispatch until the given time. The lease is
// checked against the monotonic clock before each send, so a process that was
// paused past its expiry sends nothing.
func (d *Dispatcher) SetLease(until time.Time) { d.lease.Store(&until) }

func (d *Dispatcher) checkLease() error {
	if until := d.lease.Load(); until != nil && !time.Now().Before(*until) {
		return verdict.NotRunError(verdict.CauseNotServing, "the lease of this entry host has expired because it has lost contact with the platform; try another entry host")
	}
	return nil
}

func (d *Dispatcher) checkServing() error {
	if reason := d.RefusalReason(); reason != "" {
		return verdict.NotRunError(verdict.CauseNotServing, reason)
	}
	return d.checkLease()
}

// Wait blocks until no request holds a slot.
func (d *Dispatcher) Wait() { d.running.Wait() }

// Serve returns the complete answer to a request or an error that carries its
// verdict. ctx is cancelled when the caller disconnects.
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
	return d.serveNonIdempotent(ctx, r, candidates)
}

// serveNonIdempotent claims the key of a non-idempotent request before it runs it.
func (d *Dispatcher) serveNonIdempotent(ctx context.Context, r *Request, candidates []*pool) (Answer, error) {
	issued, err := IssuedAt(r.ID)
	if err != nil {
		return Answer{}, err
	}
	if err := checkAge(issued, time.Now(), d.claimer.Window()); err != nil {
		return Answer{}, err
	}
	key := claim.KeyOf(r.Team, r.ID)
	fl, first := d.flights.begin(key)
	if !first {
		return joinFlight(ctx, fl)
	}
	return d.claimAndRun(ctx, r, key, issued, candidates, fl)
}

// joinFlight waits for the answer of a request that this entry host has in flight.
func joinFlight(ctx context.Context, fl *flight) (Answer, error) {
	select {
	case <-fl.done:
		answer := fl.answer
		answer.Joined = true
		return answer, fl.err
	case <-ctx.Done():
		return Answer{}, verdict.MayHaveRunError(verdict.CauseDuplicate, "a request with the same id is still in flight")
	}
}

func (d *Dispatcher) claimAndRun(ctx context.Context, r *Request, key claim.Key, issued time.Time, candidates []*pool, fl *flight) (Answer, error) {
	handle, result, err := d.claimer.Claim(ctx, key, issued)
	switch {
	case err != nil:
		handle.Abandon()
		err = verdict.NotRunError(verdict.CauseClaimFailed, "the log did not confirm the claim in time, and the claim was abandoned; try again later")
	case result.Status == claim.Unknown:
		handle.Abandon()
		err = verdict.NotRunError(verdict.CauseClaimFailed, "the log shows no holder of the claimed key; try again")
	case result.Status != claim.Won:
		answer, err := d.joinHolder(ctx, key, result)
		d.flights.finish(key, fl, answer, err)
		return answer, err
	}
	if err != nil {
		d.flights.finish(key, fl, Answer{}, err)
		return Answer{}, err
	}
	claimed := &heldClaim{key: key, handle: handle, flight: fl}
	return d.admitAndRun(ctx, r, candidates, claimed)
}

// joinHolder answers a duplicate with the answer of the request that holds the
// key, which it gets from the entry host that won the claim.
func (d *Dispatcher) joinHolder(ctx context.Context, key claim.Key, result claim.Result) (Answer, error) {
	if result.Holder != d.self {
		if answer, v, ok := d.joiner.Join(ctx, result.Holder, key); ok {
			answer.Joined = true
			if v == verdict.Ran {
				return answer, nil
			}
		}
	}
	if result.Status == claim.Done {
		return Answer{}, verdict.New(verdict.Ran, verdict.CauseDuplicate, "a request with this id has already run to completion; its answer is no longer kept")
	}
	return Answer{}, verdict.MayHaveRunError(verdict.CauseDuplicate, "a request with this id was claimed by entry host "+result.Holder+"; it may have run")
}

// heldClaim is the claim of a non-idempotent request and the flight that its
// duplicates wait for.
type heldClaim struct {
	key    claim.Key
	handle *claim.Handle
	flight *flight
}

// finishClaim records the outcome of the request in the log and passes it to its
// duplicates. A request that may have run keeps its claim.
func (d *Dispatcher) finishClaim(c *heldClaim, answer Answer, err error) {
	if c == nil {
		return
	}
	switch {
	case err == nil:
		c.handle.MarkDone()
	case verdict.FromError(err).Verdict == verdict.NotRun:
		c.handle.Abandon()
	}
	d.flights.finish(c.key, c.flight, answer, err)
}

// admitAndRun waits for a slot and runs the request in it. The run outlives ctx,
// so that its slot and its claim are released only when the work has ended.
func (d *Dispatcher) admitAndRun(ctx context.Context, r *Request, candidates []*pool, c *heldClaim) (Answer, error) {
	p, ticket, err := d.admit(r, candidates)
	if err == nil {
		err = d.awaitSlot(ctx, p, ticket)
	}
	if err != nil {
		d.finishClaim(c, Answer{}, err)
		return Answer{}, err
	}
	done := make(chan outcome, 1)
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		answer, err := d.run(context.WithoutCancel(ctx), r, p, ticket)
		d.finishClaim(c, answer, err)
		done <- outcome{answer, err}
	}()
	select {
	case o := <-done:
		return o.answer, o.err
	case <-ctx.Done():
		return answerAbandoned(ctx, done)
	}
}

type outcome struct {
	answer Answer
	err    error
}

// answerAbandoned answers a request whose deadline passed or whose caller
// disconnected while it was running.
func answerAbandoned(ctx context.Context, done <-chan outcome) (Answer, error) {
	select {
	case o := <-done:
		return o.answer, o.err
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Answer{}, verdict.MayHaveRunError(verdict.CauseDeadline, "the upstream host did not answer before the deadline")
	}
	return Answer{}, verdict.MayHaveRunError(verdict.CauseCancelled, "the caller disconnected while an upstream host had the request")
}

// admit queues the request in the first candidate pool that accepts it. If all
// refuse, it returns the error of the first.
func (d *Dispatcher) admit(r *Request, candidates []*pool) (*pool, *admission.Ticket, error) {
	request := admission.Request{Kind: r.Kind, Team: r.Team, Deadline: r.Deadline, Bytes: len(r.Body)}
	var refusal error
	for _, p := range candidates {
		ticket, err := p.queue.Admit(request, d.pools.quota(r.Team), time.Now())
		if err == nil {
			return p, ticket, nil
		}
		if refusal == nil {
			refusal = err
		}
	}
	return nil, nil, refusal
}

// awaitSlot waits until the ticket has a slot. It releases the slot if the request
// can no longer be started by then.
func (d *Dispatcher) awaitSlot(ctx context.Context, p *pool, ticket *admission.Ticket) error {
	select {
	case <-ticket.Ready():
	case <-ctx.Done():
		if p.queue.Cancel(ticket) {
			return notStartedError(ctx)
		}
		<-ticket.Ready()
	}
	err := d.checkServing()
	if err == nil && ctx.Err() != nil {
		err = notStartedError(ctx)
	}
	if err != nil {
		p.queue.Finish(ticket, 0, time.Now())
	}
	return err
}

func notStartedError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.NotRunError(verdict.CauseDeadline, "no slot became free before the deadline")
	}
	return verdict.NotRunError(verdict.CauseCancelled, "the caller disconnected before the request was started")
}

// Join waits for the answer of a request that this entry host has in flight, or
// returns a kept answer. It reports false if the key is not known here.
func (d *Dispatcher) Join(ctx context.Context, key claim.Key) (Answer, error, bool) { //nolint:revive // The error belongs to the answer that was found.
	fl, ok := d.flights.find(key)
	if !ok {
		return Answer{}, nil, false
	}
	answer, err := joinFlight(ctx, fl)
	return answer, err, true
}

// QueueStats returns the queue statistics of each pool by name.
func (d *Dispatcher) QueueStats() map[string][]admission.KindStats {
	rows := map[string][]admission.KindStats{}
	for _, p := range d.pools.all() {
		rows[p.name] = p.queue.Stats()
	}
	return rows
}
