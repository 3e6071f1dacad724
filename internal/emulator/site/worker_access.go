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
	// linkLatency is the time of one way between an entry host and a worker.
	linkLatency = 500 * time.Microsecond
	// lateLeast and lateMost bound when an order without an answer is carried out.
	lateLeast, lateMost = 2 * time.Second, 12 * time.Second
)

// workerAccess is one entry host's way to the workers.
type workerAccess struct {
	site *Site
	host *EntryHost
}

// reach finds the worker that an order goes to, after the way there.
func (a *workerAccess) reach(ctx context.Context, target worker.Target) (*Worker, error) {
	if err := pause.For(ctx, linkLatency); err != nil {
		return nil, verdict.Doubt(verdict.CauseUpstreamSilent, "the way to the worker is slow")
	}
	w := a.site.worker(target.ID)
	switch {
	case w == nil || !w.alive():
		return nil, verdict.Refuse(verdict.CauseUpstreamDial, "no worker listens there")
	case !a.site.connected(a.host, w):
		<-ctx.Done()
		return nil, verdict.Doubt(verdict.CauseUpstreamSilent, "the worker does not answer")
	}
	return w, nil
}

// loses tells whether an order gets no answer and is carried out late.
func (a *workerAccess) loses(ctx context.Context, carry func()) bool {
	if !a.site.chance(a.site.lateOrders()) {
		return false
	}
	late := lateLeast + time.Duration(a.site.random()*float64(lateMost-lateLeast))
	time.AfterFunc(late, carry)
	<-ctx.Done()
	return true
}

func (a *workerAccess) Start(ctx context.Context, target worker.Target, o worker.StartOrder) (worker.StartReply, error) {
	w, err := a.reach(ctx, target)
	if err != nil {
		return worker.StartReply{}, err
	}
	if a.loses(ctx, func() {
		if w.alive() {
			w.start(o, a.host.Name, true)
		}
	}) {
		return worker.StartReply{}, verdict.Doubt(verdict.CauseUpstreamSilent, "the worker's answer is lost")
	}
	return w.start(o, a.host.Name, false), nil
}

func (a *workerAccess) Stop(ctx context.Context, target worker.Target, o worker.StopOrder) error {
	w, err := a.reach(ctx, target)
	if err != nil {
		return err
	}
	if a.loses(ctx, func() { w.stop(o) }) {
		return verdict.Doubt(verdict.CauseUpstreamSilent, "the worker's answer is lost")
	}
	if !w.stop(o) {
		return verdict.Refuse(verdict.CauseUpstreamBusy, "the worker has seen a later owner")
	}
	return nil
}

func (a *workerAccess) Pace(ctx context.Context, target worker.Target, _ worker.PaceOrder) error {
	_, err := a.reach(ctx, target)
	return err
}

func (a *workerAccess) Hold(ctx context.Context, target worker.Target, o worker.HoldOrder) (worker.HoldReply, error) {
	w, err := a.reach(ctx, target)
	if err != nil {
		return worker.HoldReply{}, err
	}
	reply, changed := w.hold(o, false)
	if changed == nil {
		return reply, nil
	}
	select {
	case <-changed:
	case <-time.After(o.Wait):
	case <-ctx.Done():
		return worker.HoldReply{}, verdict.Doubt(verdict.CauseUpstreamSilent, "the hold was given up")
	}
	if !w.alive() {
		return worker.HoldReply{}, verdict.Doubt(verdict.CauseUpstreamBroken, "the worker has ended")
	}
	if !a.site.connected(a.host, w) {
		<-ctx.Done()
		return worker.HoldReply{}, verdict.Doubt(verdict.CauseUpstreamSilent, "the worker does not answer")
	}
	reply, _ = w.hold(o, true)
	return reply, nil
}

// addressOf gives each worker an address; the emulated network goes by the ID.
func addressOf(worker.ID) netip.AddrPort { return netip.MustParseAddrPort("10.128.0.1:8080") }
