package site

import (
	"context"
	"net/netip"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// linkLatency is the one-way latency between an entry host and a worker.
	linkLatency = 500 * time.Microsecond
	// minLateDelay and maxLateDelay bound the delay with which an order that gets no
	// answer is carried out.
	minLateDelay, maxLateDelay = 2 * time.Second, 12 * time.Second
	// reachTime is the time within which an owner has stopped what it must on a worker that it
	// knows, beside lost orders.
	reachTime = 5 * time.Second
)

// workerAccess is an entry host's client of the workers.
type workerAccess struct {
	site *Site
	host *EntryHost
}

// reach waits for the latency and returns the worker that an order is addressed to.
func (a *workerAccess) reach(ctx context.Context, target worker.Target) (*Worker, error) {
	if err := pause.For(ctx, linkLatency); err != nil {
		return nil, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the worker was not reached in time")
	}
	w := a.site.worker(target.ID)
	switch {
	case w == nil || !w.alive():
		return nil, verdict.NotRunError(verdict.CauseUpstreamDial, "no worker listens at the address")
	case !a.site.connected(a.host, w):
		<-ctx.Done()
		return nil, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the worker does not answer")
	}
	return w, nil
}

// losesAnswer decides at random whether an order gets no answer, and reports that. It
// then schedules the order's late delivery and blocks until ctx ends. A late stop reaches the
// incarnation that then has the worker's ID, a late start as well once an owner has known that for
// reachTime: sooner, nobody can prevent it.
func (a *workerAccess) losesAnswer(ctx context.Context, w *Worker, deliver func()) bool {
	if !a.site.chance(a.site.lostOrderShare(w.machine)) {
		return false
	}
	late := minLateDelay + time.Duration(a.site.random()*float64(maxLateDelay-minLateDelay))
	time.AfterFunc(late, deliver)
	<-ctx.Done()
	return true
}

func (a *workerAccess) Start(ctx context.Context, target worker.Target, o worker.StartOrder) (worker.StartReply, error) {
	w, err := a.reach(ctx, target)
	if err != nil {
		return worker.StartReply{}, err
	}
	if a.losesAnswer(ctx, w, func() {
		if last := a.site.worker(target.ID); last.alive() && (last == w || last.contactedFor() > reachTime) {
			last.start(o, a.host.Name, true)
		}
	}) {
		return worker.StartReply{}, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the worker's answer is lost")
	}
	return w.start(o, a.host.Name, false), nil
}

func (a *workerAccess) Stop(ctx context.Context, target worker.Target, o worker.StopOrder) error {
	w, err := a.reach(ctx, target)
	if err != nil {
		return err
	}
	if a.losesAnswer(ctx, w, func() { a.site.worker(target.ID).stop(o) }) {
		return verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the worker's answer is lost")
	}
	if !w.stop(o) {
		return verdict.NotRunError(verdict.CauseUpstreamBusy, "the worker has seen a higher fencing token")
	}
	return nil
}

func (a *workerAccess) Throttle(ctx context.Context, target worker.Target, _ worker.ThrottleOrder) error {
	_, err := a.reach(ctx, target)
	return err
}

func (a *workerAccess) RenewLease(ctx context.Context, target worker.Target, o worker.RenewalOrder) (worker.RenewalReply, error) {
	w, err := a.reach(ctx, target)
	if err != nil {
		return worker.RenewalReply{}, err
	}
	if a.losesAnswer(ctx, w, func() {
		if w.alive() {
			w.renewLease(o, true)
		}
	}) {
		return worker.RenewalReply{}, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the worker's answer is lost")
	}
	reply, changed := w.renewLease(o, false)
	if changed == nil {
		return reply, nil
	}
	select {
	case <-changed:
	case <-time.After(o.MaxWait):
	case <-ctx.Done():
		return worker.RenewalReply{}, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the lease renewal was cancelled")
	}
	if !w.alive() {
		return worker.RenewalReply{}, verdict.MayHaveRunError(verdict.CauseUpstreamBroken, "the worker has ended")
	}
	if !a.site.connected(a.host, w) {
		<-ctx.Done()
		return worker.RenewalReply{}, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the worker does not answer")
	}
	reply, _ = w.renewLease(o, true)
	return reply, nil
}

// addressOf returns a worker's address, which is the same for all: the emulated network
// finds workers by their ID.
func addressOf(worker.ID) netip.AddrPort { return netip.MustParseAddrPort("10.128.0.1:8080") }
