// Package entryhost puts the parts of one entry host together.
package entryhost

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/hornbeammast/hornbeammast/internal/coordination/balance"
	"github.com/hornbeammast/hornbeammast/internal/coordination/claim"
	"github.com/hornbeammast/hornbeammast/internal/coordination/dispatch"
	"github.com/hornbeammast/hornbeammast/internal/coordination/follower"
	"github.com/hornbeammast/hornbeammast/internal/coordination/maintenance"
	"github.com/hornbeammast/hornbeammast/internal/coordination/member"
	"github.com/hornbeammast/hornbeammast/internal/protocol/settings"
	"github.com/hornbeammast/hornbeammast/internal/transport/caller"
	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
	"github.com/hornbeammast/hornbeammast/internal/transport/operator"
	"github.com/hornbeammast/hornbeammast/internal/transport/peer"
	"github.com/hornbeammast/hornbeammast/internal/transport/platform"
	"github.com/hornbeammast/hornbeammast/internal/transport/upstream"
)

// Events takes what happened, for the log.
type Events interface {
	Event(name string, pairs ...any)
}

// EntryHost is one running entry host.
type EntryHost struct {
	settings    settings.Settings
	incarnation string
	events      Events
	began       time.Time

	platformHTTP *httpconn.Client
	upstreamHTTP *httpconn.Client
	platform     *platform.Client
	peers        *peer.Client
	peerServer   *peer.Server
	callers      *caller.Server
	operators    *operator.Server

	directory  *member.Directory
	follower   *follower.Follower
	claims     *claim.Claims
	table      *balance.Table
	dispatcher *dispatch.Dispatcher
	reporter   *member.Reporter
	executor   *maintenance.Executor
	history    *history
	lease      *lease
	// announced is when the last announcement that the platform took began.
	announced atomic.Pointer[time.Time]
	// applied is guarded by the lease's lock.
	applied appliedView

	cancel context.CancelFunc
	loops  sync.WaitGroup
	fatal  chan error
}

// Start starts an entry host; it serves once it has read the configuration.
func Start(s settings.Settings, events Events) (*EntryHost, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &EntryHost{
		settings: s, incarnation: uuid.NewString(), events: events, began: time.Now(),
		cancel: cancel, fatal: make(chan error, 1), history: newHistory(),
	}
	e.announced.Store(&time.Time{})
	if err := e.build(ctx); err != nil {
		e.closeTransports(context.Background())
		cancel()
		return nil, err
	}
	e.startLoops(ctx)
	e.events.Event("entry-host-started", "name", s.Name, "data-centre", s.DataCentre, "incarnation", e.incarnation,
		"caller", e.callers.Address(), "operator", e.operators.Address(), "peer", e.peerServer.Address())
	return e, nil
}

func (e *EntryHost) build(ctx context.Context) error {
	if err := e.buildClients(); err != nil {
		return err
	}
	s := e.settings
	e.directory = member.NewDirectory(s.Name, s.DataCentre, e.began)
	e.peers = peer.NewClient(e.directory, s.Name, s.DataCentre)
	self := follower.Identity{Name: s.Name, Incarnation: e.incarnation, DataCentre: s.DataCentre}
	e.follower = follower.New(e.platform, e.peers, self, follower.WithEvents(e.events),
		follower.WithContactTime(contactTime(s.Members.IsolationBound.Std())),
		follower.WithRetention(s.Log.Retention.Std()), follower.WithRestoreWait(s.Log.RestoreWait.Std()))
	e.claims = claim.New(ctx, e.platform, e.directory, e.peers, s.Name, e.incarnation,
		claim.WithStreams(s.Claims.Streams), claim.WithWindow(s.Claims.Window.Std()), claim.WithGroupWait(s.Claims.GroupWait.Std()))
	e.table = balance.NewTable(uint64(e.began.UnixNano())) //nolint:gosec // Any seed will do.
	e.dispatcher = dispatch.New(s.Name, e.table, upstream.New(e.upstreamHTTP), e.claims, joiner{e.peers})
	e.lease = newLease(e.dispatcher, s.Members.IsolationBound.Std(), e.began)
	e.reporter = member.NewReporter(e.directory, e.follower, positions{e},
		member.WithRemovalBound(s.Members.RemovalBound.Std()), member.WithReportInterval(s.Members.ReportInterval.Std()))
	e.executor = maintenance.NewExecutor(e.follower, e.platform, e.directory, e.events, s.DataCentre,
		maintenance.WithFailBound(s.Members.FailBound.Std()), maintenance.WithLostBound(s.Members.LostBound.Std()))
	return e.buildServers()
}

// contactTime is how long after its last answer the log counts as reached: well
// below the lease, so that a cut-off data centre agrees in time that it is one.
func contactTime(isolationBound time.Duration) time.Duration {
	return min(isolationBound/4, 4*time.Second)
}

func (e *EntryHost) buildClients() error {
	var err error
	if e.platformHTTP, err = httpconn.New(httpconn.WithMaxAnswer(maxPlatformAnswer)); err != nil {
		return err
	}
	limits := e.settings.Limits
	e.upstreamHTTP, err = httpconn.New(httpconn.WithMaxAnswer(limits.MaxAnswerBytes), httpconn.WithMaxConns(limits.UpstreamConns))
	if err != nil {
		return err
	}
	e.platform = platform.New(e.platformHTTP, e.settings.PlatformAddress)
	return nil
}

// maxPlatformAnswer bounds one answer of the platform, in bytes.
const maxPlatformAnswer = 32 << 20

func (e *EntryHost) buildServers() error {
	s := e.settings
	var err error
	if e.peerServer, err = peer.Listen(s.PeerAddress, peerHandler{e}); err != nil {
		return err
	}
	if e.operators, err = operator.Listen(s.OperatorAddress, operatorHandler{e}); err != nil {
		return err
	}
	e.callers, err = caller.Listen(s.CallerAddress, e.dispatcher, e.follower.InContact, caller.Limits{
		MaxBodyBytes: s.Limits.MaxBodyBytes, MaxConns: s.Limits.MaxConnections, MaxHeld: s.Limits.MaxHeldRequests,
		MaxHeaders: s.Limits.MaxHeaders, DefaultTimeout: s.Limits.DefaultTimeout.Std(), MaxTimeout: s.Limits.MaxTimeout.Std(),
	})
	return err
}

// CallerAddress is where callers reach the entry host.
func (e *EntryHost) CallerAddress() netip.AddrPort { return e.callers.Address() }

// OperatorAddress is where operators reach the entry host.
func (e *EntryHost) OperatorAddress() netip.AddrPort { return e.operators.Address() }

// PeerAddress is where other entry hosts reach it.
func (e *EntryHost) PeerAddress() netip.AddrPort { return e.peerServer.Address() }

// Fatal gives the error that the entry host can't go on after.
func (e *EntryHost) Fatal() <-chan error { return e.fatal }

// Shutdown finishes all requests in flight, refuses the rest, and stops.
func (e *EntryHost) Shutdown(ctx context.Context) error {
	e.events.Event("shutdown-begun", "held", e.callers.Held())
	e.callers.Drain()
	e.dispatcher.Close("this entry host is shutting down; try another")
	finished := make(chan struct{})
	go func() {
		e.dispatcher.Wait()
		close(finished)
	}()
	var err error
	select {
	case <-finished:
	case <-ctx.Done():
		err = errors.New("requests were still in flight when the grace ended")
	}
	e.closeTransports(ctx)
	e.cancel()
	e.loops.Wait()
	e.events.Event("shutdown-finished", "error", err)
	return err
}

// Kill stops at once, as a crash would.
func (e *EntryHost) Kill() {
	done, cancel := context.WithCancel(context.Background())
	cancel()
	e.cancel()
	e.closeTransports(done)
	e.loops.Wait()
}

func (e *EntryHost) closeTransports(ctx context.Context) {
	if e.callers != nil {
		e.callers.Close(ctx)
	}
	if e.operators != nil {
		e.operators.Close()
	}
	if e.peerServer != nil {
		e.peerServer.Close()
	}
	if e.peers != nil {
		e.peers.Close()
	}
	for _, client := range []*httpconn.Client{e.upstreamHTTP, e.platformHTTP} {
		if client != nil {
			client.Close()
		}
	}
}
