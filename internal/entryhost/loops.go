package entryhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/slot"
	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

const (
	// minListInterval and maxListInterval bound the interval between reads of the
	// live list.
	minListInterval = 500 * time.Millisecond
	maxListInterval = 5 * time.Second
	// listBytesPerSecond is the target for the traffic that reading the live list
	// causes. Each host in the list takes about listBytesPerHost.
	listBytesPerSecond = 8000
	listBytesPerHost   = 48
	// announceInterval is the interval between announcements to the platform that the
	// entry host is alive.
	announceInterval = time.Second
	// stepInterval is the interval between checks for due reports, maintenance,
	// restores and lease renewals.
	stepInterval = 250 * time.Millisecond
	// dispatchInterval is the interval between checks for slots that became free without
	// a call to the queue.
	dispatchInterval = 100 * time.Millisecond
	// snapshotInterval is the interval between checks of the age of the newest snapshot.
	snapshotInterval = 5 * time.Second
)

func (e *EntryHost) startLoops(ctx context.Context) {
	e.loop(func() {
		if err := e.follower.Run(ctx); err != nil {
			e.dispatcher.Close(err.Error())
			e.fatal <- err
		}
	})
	e.loop(func() { e.applyStates(ctx) })
	e.every(ctx, announceInterval, e.announce)
	e.everyAfter(ctx, e.listInterval, e.refreshLiveList)
	e.every(ctx, stepInterval, e.report)
	e.every(ctx, stepInterval, e.maintain)
	e.every(ctx, stepInterval, e.restore)
	e.every(ctx, snapshotInterval, e.snapshot)
	e.every(ctx, dispatchInterval, func(context.Context) { e.dispatcher.DispatchQueued() })
	e.every(ctx, stepInterval, e.renewLease)
	e.every(ctx, planInterval, e.submitProposals)
}

func (e *EntryHost) loop(run func()) {
	e.loops.Add(1)
	go func() {
		defer e.loops.Done()
		run()
	}()
}

// every runs a step at once and again after each interval, until ctx ends.
func (e *EntryHost) every(ctx context.Context, interval time.Duration, step func(context.Context)) {
	e.everyAfter(ctx, func() time.Duration { return interval }, step)
}

// everyAfter is like every but computes the interval after each step.
func (e *EntryHost) everyAfter(ctx context.Context, interval func() time.Duration, step func(context.Context)) {
	e.loop(func() {
		for ctx.Err() == nil {
			step(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(interval()):
			}
		}
	})
}

// listInterval returns the interval between reads of the live list. It grows with
// the list, so that the reads stay near listBytesPerSecond.
func (e *EntryHost) listInterval() time.Duration {
	cost := time.Duration(e.directory.HostCount()) * listBytesPerHost * time.Second / listBytesPerSecond
	return min(max(cost, minListInterval), maxListInterval)
}

// applyStates applies each new state to the tables that requests use.
func (e *EntryHost) applyStates(ctx context.Context) {
	for {
		changed := e.follower.Changed()
		e.apply()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// apply updates the tables if the state or the live list has changed, and then the
// dispatcher's lease.
func (e *EntryHost) apply() {
	e.lease.mu.Lock()
	defer e.lease.mu.Unlock()
	s := e.follower.State()
	if view := (appliedView{s, e.directory.ChangeCount()}); view != e.applied {
		e.applied = view
		e.history.add(s)
		e.table.Update(slot.HostViews(s, e.settings.DataCentre, e.settings.Name, e.directory), s.Position)
		e.dispatcher.Update(s)
	}
	e.lease.updateDispatcher(s, e.settings.DataCentre, e.settings.Name, e.follower.Ready())
}

// appliedView identifies the state and the live list that the tables were built from.
type appliedView struct {
	state       *state.State
	listChanges int
}

func (e *EntryHost) announce(ctx context.Context) {
	began := time.Now()
	err := e.platform.Announce(ctx, platformapi.EntryHost{
		Name: e.settings.Name, Incarnation: e.incarnation, DataCentre: e.settings.DataCentre,
		PeerAddress: e.peerServer.Address(), State: e.liveness(),
	})
	if err == nil {
		e.announced.Store(&began)
		return
	}
	if ctx.Err() == nil {
		e.events.Event("announce-failed", "error", err)
	}
}

func (e *EntryHost) liveness() platformapi.Liveness {
	if e.callers.Draining() {
		return platformapi.Leaving
	}
	return platformapi.Live
}

func (e *EntryHost) refreshLiveList(ctx context.Context) {
	list, err := e.platform.LiveList(ctx)
	if err != nil {
		e.discoverPeers(ctx)
		return
	}
	e.directory.Update(list, time.Now())
	e.apply()
}

// discoverPeers asks the peers from the settings for the entry hosts that they know,
// as long as the platform has never answered.
func (e *EntryHost) discoverPeers(ctx context.Context) {
	if !e.directory.RefreshedAt().IsZero() {
		return
	}
	for _, address := range e.settings.Peers {
		known, err := e.peers.Discover(ctx, address)
		if err == nil {
			e.directory.ApplyFromPeer(known)
			return
		}
		e.events.Event("peer-unreachable", "address", address, "error", err)
	}
}

func (e *EntryHost) report(ctx context.Context) {
	if !e.follower.Ready() || !e.follower.InContact() {
		return
	}
	if err := e.reporter.Step(ctx, time.Now()); err != nil && ctx.Err() == nil {
		e.events.Event("report-unconfirmed", "error", err)
	}
}

// maintain runs a step of the maintenance executor unless the entry host is cut off
// from the log.
func (e *EntryHost) maintain(ctx context.Context) {
	if !e.follower.Ready() || !e.follower.InContact() {
		return
	}
	e.executor.Step(ctx, time.Now())
}

func (e *EntryHost) restore(ctx context.Context) {
	s := e.follower.State()
	if !s.Restoring {
		return
	}
	absent := map[string]bool{}
	for _, name := range s.OfferMembers() {
		if e.directory.Absent(name, e.settings.Members.RemovalBound.Std(), time.Now()) {
			absent[name] = true
		}
	}
	if err := e.follower.Restore(ctx, absent); err != nil && ctx.Err() == nil {
		e.events.Event("restore-unconfirmed", "error", err)
	}
}

func (e *EntryHost) snapshot(ctx context.Context) {
	if !e.directory.Owns("snapshot") || !e.follower.SnapshotDue(ctx) {
		return
	}
	if err := e.follower.AppendSnapshot(ctx); err != nil && ctx.Err() == nil {
		e.events.Event("snapshot-failed", "error", err)
	}
}

// renewLease extends the right to dispatch. The new lease starts at the earlier of
// two times: when the platform last received an announcement, so that no other
// entry host removes this one before the lease expires, and when the state last
// contained all records of the log. If all members of the data centre are cut off
// from the log, it starts now. apply builds the tables from the newest state before
// it passes the lease to the dispatcher.
func (e *EntryHost) renewLease(ctx context.Context) {
	leaseStart := *e.announced.Load()
	if caughtUp := e.follower.CaughtUp(); caughtUp.Before(leaseStart) {
		leaseStart = caughtUp
	}
	began := time.Now()
	if !e.follower.InContact() && e.allCutOff(ctx) {
		leaseStart = began
	}
	e.lease.renew(leaseStart)
	e.apply()
}

// allCutOff reports whether every other member of the data centre answers, is out
// of contact with the log too and has no newer state. In that case none of them can
// have changed the members, before or after it lost contact.
func (e *EntryHost) allCutOff(ctx context.Context) bool {
	if !e.follower.Ready() {
		return false
	}
	for _, name := range e.follower.State().DataCentres[e.settings.DataCentre].Members {
		if name == e.settings.Name {
			continue
		}
		reply, err := e.peers.Report(ctx, name)
		if err != nil || reply.GetInContact() || reply.GetPosition().GetOffset() > e.table.Position() {
			return false
		}
	}
	return true
}
