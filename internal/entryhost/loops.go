package entryhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/slot"
	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

const (
	// shortestListInterval and longestListInterval bound how often the live list is read.
	shortestListInterval = 500 * time.Millisecond
	longestListInterval  = 5 * time.Second
	// listBytesPerSecond is what the live list may cost; each host in it takes
	// about listBytesPerHost.
	listBytesPerSecond = 8000
	listBytesPerHost   = 48
	// announceInterval is how often the entry host tells the platform that it lives.
	announceInterval = time.Second
	// stepInterval is how often reports, maintenance and snapshots are looked at.
	stepInterval = 250 * time.Millisecond
	// kickInterval is how often slots that came free by themselves are handed out.
	kickInterval = 100 * time.Millisecond
	// snapshotInterval is how often the age of the newest snapshot is checked.
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
	e.everyAfter(ctx, e.listInterval, e.refreshList)
	e.every(ctx, stepInterval, e.report)
	e.every(ctx, stepInterval, e.maintain)
	e.every(ctx, stepInterval, e.restore)
	e.every(ctx, snapshotInterval, e.snapshot)
	e.every(ctx, kickInterval, func(context.Context) { e.dispatcher.Kick() })
	e.every(ctx, stepInterval, e.renewLease)
	e.every(ctx, planInterval, e.carryOut)
}

func (e *EntryHost) loop(run func()) {
	e.loops.Add(1)
	go func() {
		defer e.loops.Done()
		run()
	}()
}

// every runs a step now and then again after each interval.
func (e *EntryHost) every(ctx context.Context, interval time.Duration, step func(context.Context)) {
	e.everyAfter(ctx, func() time.Duration { return interval }, step)
}

// everyAfter asks for the interval anew after each step.
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

// listInterval grows with the list, so that reading it keeps to its bytes a second.
func (e *EntryHost) listInterval() time.Duration {
	cost := time.Duration(e.directory.HostCount()) * listBytesPerHost * time.Second / listBytesPerSecond
	return min(max(cost, shortestListInterval), longestListInterval)
}

// applyStates brings each new state into force for requests.
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

func (e *EntryHost) apply() {
	e.lease.mu.Lock()
	defer e.lease.mu.Unlock()
	s := e.follower.State()
	if view := (appliedView{s, e.directory.Changes()}); view != e.applied {
		e.applied = view
		e.history.note(s)
		e.table.Update(slot.Views(s, e.settings.DataCentre, e.settings.Name, e.directory), s.Position)
		e.dispatcher.Update(s)
	}
	e.lease.judge(s, e.settings.DataCentre, e.settings.Name, e.follower.Ready())
}

// appliedView is what the tables in force were made from.
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

func (e *EntryHost) refreshList(ctx context.Context) {
	list, err := e.platform.List(ctx)
	if err != nil {
		e.learnPeers(ctx)
		return
	}
	e.directory.Update(list, time.Now())
	e.apply()
}

// learnPeers asks the peers of the settings while the platform has never answered.
func (e *EntryHost) learnPeers(ctx context.Context) {
	if !e.directory.Refreshed().IsZero() {
		return
	}
	for _, address := range e.settings.Peers {
		known, err := e.peers.Learn(ctx, address)
		if err == nil {
			e.directory.Learn(known)
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

// maintain starts nothing while the entry host is cut off from the log.
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

// renewLease extends the right to dispatch. The platform must have heard of
// this entry host, so that nobody removes it before the lease ends, and the
// tables in force must have all that the log held then: apply makes them from
// the newest state before it lets the dispatcher know of the lease.
func (e *EntryHost) renewLease(ctx context.Context) {
	heard := *e.announced.Load()
	if caughtUp := e.follower.CaughtUp(); caughtUp.Before(heard) {
		heard = caughtUp
	}
	began := time.Now()
	if !e.follower.InContact() && e.allCutOff(ctx) {
		heard = began
	}
	e.lease.renew(heard)
	e.apply()
}

// allCutOff tells whether every other member of the data centre answers, has
// lost the log too and knows nothing newer: then none of them can have changed
// the members, before or after it lost the log.
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
