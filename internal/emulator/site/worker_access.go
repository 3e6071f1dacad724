package site

import (
	"context"
	"net/netip"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// linkLatency is the one-way latency between an entry host and a worker.
const linkLatency = 500 * time.Microsecond

// workerAccess is an entry host's client of the workers.
type workerAccess struct {
	site *Site
	host *EntryHost
}

// reach waits for the latency and returns the worker that an order is addressed to. An order that
// gets no answer may be carried out late.
func (a *workerAccess) reach(ctx context.Context, o lateOrder) (*Worker, error) {
	o.from, o.sent, o.arrived = a.host, time.Now(), false
	if err := pause.For(ctx, linkLatency); err != nil {
		return nil, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the worker was not reached in time")
	}
	w := a.site.worker(o.id)
	switch {
	case w == nil || (!w.alive() && !w.isDark()):
		return nil, verdict.NotRunError(verdict.CauseUpstreamDial, "no worker listens at the address")
	case !a.site.isRunning(a.host):
		<-ctx.Done()
		return nil, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the entry host has crashed")
	case w.isDark():
		o.arrived = true
		a.site.hold(o)
		<-ctx.Done()
		return nil, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the worker does not answer")
	case a.site.separated(a.host, w):
		a.site.hold(o)
		<-ctx.Done()
		return nil, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the worker does not answer")
	case a.site.chance(a.site.lostOrderShare(w.machine)):
		o.arrived = true
		a.site.deliverLate(o)
		<-ctx.Done()
		return nil, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the worker's answer is lost")
	}
	return w, nil
}

func (a *workerAccess) Start(ctx context.Context, target worker.Target, o worker.StartOrder) (worker.StartReply, error) {
	w, err := a.reach(ctx, lateOrder{
		name: "start", details: []any{"task", o.Task, "run", o.Run, "fence", int64(o.Token), "lease-end", o.LeaseEnd}, id: target.ID,
		carryOut: func(w *Worker) string { return refusalNames[w.start(o, a.host.Name, true).Refusal] },
	})
	if err != nil {
		return worker.StartReply{}, err
	}
	return w.start(o, a.host.Name, false), nil
}

// refusalNames name the results of late starts in the log.
var refusalNames = map[worker.Refusal]string{
	worker.Accepted: "accepted", worker.RefusedFenced: "fenced", worker.RefusedStale: "stale",
	worker.RefusedLeaseExpired: "lease-expired", worker.RefusedCapacity: "capacity", worker.RefusedInvalid: "invalid",
}

// resultOf names the result of another late order in the log.
func resultOf(accepted bool) string {
	if accepted {
		return "accepted"
	}
	return "fenced"
}

func (a *workerAccess) Stop(ctx context.Context, target worker.Target, o worker.StopOrder) error {
	w, err := a.reach(ctx, lateOrder{
		name: "stop", details: []any{"task", o.Task, "run", o.Run, "fence", int64(o.Token)}, id: target.ID,
		carryOut: func(w *Worker) string { return resultOf(w.stop(o)) },
	})
	if err != nil {
		return err
	}
	if !w.stop(o) {
		return verdict.NotRunError(verdict.CauseUpstreamBusy, "the worker has seen a higher fencing token")
	}
	return nil
}

func (a *workerAccess) Throttle(ctx context.Context, target worker.Target, o worker.ThrottleOrder) error {
	w, err := a.reach(ctx, lateOrder{
		name: "throttle", details: []any{"task", o.Task, "run", o.Run, "percent", o.Percent, "fence", int64(o.Token)}, id: target.ID,
		carryOut: func(w *Worker) string { return resultOf(w.throttle(o)) },
	})
	if err != nil {
		return err
	}
	if !w.throttle(o) {
		return verdict.NotRunError(verdict.CauseUpstreamBusy, "the worker has seen a higher fencing token")
	}
	return nil
}

func (a *workerAccess) RenewLease(ctx context.Context, target worker.Target, o worker.RenewalOrder) (worker.RenewalReply, error) {
	late := lateOrder{
		name: "renewal", details: []any{"fence", int64(o.Token), "lease-end", o.LeaseEnd, "acknowledged", o.Acknowledged}, id: target.ID,
		from: a.host, sent: time.Now(), arrived: true,
		carryOut: func(w *Worker) string {
			reply, _ := w.renewLease(o, true)
			return resultOf(!reply.Fenced)
		},
	}
	w, err := a.reach(ctx, late)
	if err != nil {
		return worker.RenewalReply{}, err
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
	switch {
	case w.isDark():
		a.site.hold(late)
		<-ctx.Done()
		return worker.RenewalReply{}, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the worker does not answer")
	case !w.alive():
		return worker.RenewalReply{}, verdict.MayHaveRunError(verdict.CauseUpstreamBroken, "the worker has ended")
	case !a.site.isRunning(a.host) || a.site.separated(a.host, w):
		<-ctx.Done()
		return worker.RenewalReply{}, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the worker does not answer")
	}
	reply, _ = w.renewLease(o, true)
	return reply, nil
}

// addressOf returns a worker's address, which is the same for all: the emulated network
// finds workers by their ID.
func addressOf(worker.ID) netip.AddrPort { return netip.MustParseAddrPort("10.128.0.1:8080") }
