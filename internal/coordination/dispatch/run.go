package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/admission"
	"github.com/hornbeammast/hornbeammast/internal/coordination/balance"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// run sends a request that has a slot, retries it where that is safe, and
// releases the slot once the work in it has stopped.
func (d *Dispatcher) run(ctx context.Context, r *Request, p *pool, ticket *admission.Ticket) (Answer, error) {
	p.retries.earn()
	var failures attempts
	for attempt := 1; ; attempt++ {
		began := time.Now()
		reply, err := d.attempt(ctx, r, p, ticket, attempt > 1)
		if err == nil && !failed(reply, nil) {
			p.queue.Finish(ticket, time.Since(began), time.Now())
			return reply.Answer, nil
		}
		failures.add(reply, err)
		if attempt < maxAttempts && mayRetry(r, err) && d.moveForRetry(r, p, ticket, err) {
			continue
		}
		d.releaseSlot(p, ticket, err)
		return failures.verdict()
	}
}

// attempts combines the outcomes of the failed attempts of one request. An
// attempt that did not run does not override an earlier one that may have run.
type attempts struct {
	answer   Answer
	answered bool
	err      error
}

func (t *attempts) add(reply Reply, err error) {
	if err == nil {
		t.answer, t.answered = reply.Answer, true
		return
	}
	if t.err == nil || verdict.FromError(t.err).Verdict == verdict.NotRun {
		t.err = err
	}
}

// verdict returns a complete answer if there is one, even one with an error
// status. Otherwise an error that says "may have run" takes precedence over a
// refusal.
func (t *attempts) verdict() (Answer, error) {
	if t.answered {
		return t.answer, nil
	}
	return Answer{}, t.err
}

// mayRetry reports whether a retry is safe: the request is idempotent, or the
// attempt did not run.
func mayRetry(r *Request, err error) bool {
	return r.Idempotent || err != nil && verdict.FromError(err).Verdict == verdict.NotRun
}

// moveForRetry moves the ticket to another host if the deadline and the retry
// budget allow another attempt.
func (d *Dispatcher) moveForRetry(r *Request, p *pool, ticket *admission.Ticket, err error) bool {
	if !time.Now().Before(r.Deadline) || !p.retries.spend() {
		return false
	}
	old, ok := p.queue.Reassign(ticket, time.Now())
	if !ok {
		return false
	}
	d.counters.retries.Add(1)
	d.afterStop(p, ticket, err, func() {
		old.Release()
		p.queue.GrantFreeSlots(time.Now())
	})
	return true
}

// releaseSlot releases the ticket's slot once the attempt has stopped.
func (d *Dispatcher) releaseSlot(p *pool, ticket *admission.Ticket, err error) {
	d.afterStop(p, ticket, err, func() { p.queue.Finish(ticket, 0, time.Now()) })
}

// afterStop calls release at once if nothing runs in the slot, otherwise after
// the abandoned work has had time to stop.
func (d *Dispatcher) afterStop(p *pool, ticket *admission.Ticket, err error, release func()) {
	if err == nil || verdict.FromError(err).Verdict == verdict.NotRun {
		release()
		return
	}
	time.AfterFunc(abandonedSlotDelay(p.queue.RunTime(ticket.Kind())), release)
}

// attempt sends the request once. An idempotent request is cancelled if its
// connection is unresponsive.
func (d *Dispatcher) attempt(ctx context.Context, r *Request, p *pool, ticket *admission.Ticket, newConn bool) (Reply, error) {
	if err := d.checkLease(); err != nil {
		return Reply{}, err
	}
	host := ticket.Host()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if r.Idempotent {
		stop := d.cancelIfUnresponsive(cancel, host, responseTimeout(p.queue.RunTime(r.Kind)))
		defer stop()
	}
	reply, err := d.upstream.Send(ctx, host.Address, r, newConn)
	now := time.Now()
	if reply.Leaving {
		host.MarkLeaving(now)
	}
	if host.RecordResult(failed(reply, err), now) {
		d.counters.ejections.Add(1)
	}
	if err == nil && reply.Busy {
		return reply, verdict.NotRunError(verdict.CauseUpstreamBusy, "the upstream host had no free slot")
	}
	return reply, err
}

// failed reports whether an attempt counts as a failure of the host. A status
// below 500 does not, since the host answered as it should, and neither does a
// busy host.
func failed(reply Reply, err error) bool {
	if err != nil {
		return true
	}
	return !reply.Busy && reply.Status >= http.StatusInternalServerError
}

// cancelIfUnresponsive cancels an attempt that has no answer after the bound
// if, since it began, another attempt on its host has ended, with or without an
// answer.
func (d *Dispatcher) cancelIfUnresponsive(cancel context.CancelFunc, host *balance.Host, bound time.Duration) (stop func()) {
	began := time.Now()
	timer := time.AfterFunc(bound, func() {
		if host.AnsweredSince(began) {
			d.counters.unresponsive.Add(1)
			cancel()
		}
	})
	return func() { timer.Stop() }
}
