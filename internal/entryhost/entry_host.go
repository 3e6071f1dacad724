// Package entryhost assembles and runs the components of one entry host.
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

// Events writes events to the event log.
type Events interface {
	Event(name string, pairs ...any)
}

// EntryHost is a running entry host.
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
	claimer    *claim.Claimer
	table      *balance.Table
	dispatcher *dispatch.Dispatcher
	reporter   *member.Reporter
	executor   *maintenance.Executor
	history    *history
	lease      *lease
	// announced is the start time of the last announcement that the platform accepted.
	announced atomic.Pointer[time.Time]
	// applied is the view that the tables were last built from, guarded by lease.mu.
	applied appliedView

	cancel context.CancelFunc
	loops  sync.WaitGroup
	fatal  chan error
}

// Start starts an entry host. It serves requests once it has read the
// configuration and is a member of its data centre.
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
	e.claimer = claim.New(ctx, e.platform, e.directory, e.peers, s.Name, e.incarnation,
		claim.WithStreams(s.Claims.Streams), claim.WithWindow(s.Claims.Window.Std()), claim.WithBatchDelay(s.Claims.BatchDelay.Std()))
	e.table = balance.NewTable(uint64(e.began.UnixNano())) //nolint:gosec // Any seed will do.
	e.dispatcher = dispatch.New(s.Name, e.table, upstream.New(e.upstreamHTTP), e.claimer, joiner{e.peers})
	e.lease = newLease(e.dispatcher, s.Members.IsolationBound.Std(), e.began)
	e.reporter = member.NewReporter(e.directory, e.follower, positionReader{e},
		member.WithRemovalBound(s.Members.RemovalBound.Std()), member.WithReportInterval(s.Members.ReportInterval.Std()))
	e.executor = maintenance.NewExecutor(e.follower, e.platform, e.directory, e.events, s.DataCentre,
		maintenance.WithFailBound(s.Members.FailBound.Std()), maintenance.WithLostBound(s.Members.LostBound.Std()))
	return e.buildServers()
}

// contactTime returns how long the log counts as reachable after its last answer.
// It is well below the isolation bound, so that the members of a data centre that
// is cut off from the log agree on this before their leases expire.
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
		Events: e.events,
	})
	return err
}

// CallerAddress returns the address of the callers' port.
func (e *EntryHost) CallerAddress() netip.AddrPort { return e.callers.Address() }

// OperatorAddress returns the address of the operators' port.
func (e *EntryHost) OperatorAddress() netip.AddrPort { return e.operators.Address() }

// PeerAddress returns the address of the port for other entry hosts.
func (e *EntryHost) PeerAddress() netip.AddrPort { return e.peerServer.Address() }

// Fatal returns a channel that receives an error after which the entry host can't
// continue.
func (e *EntryHost) Fatal() <-chan error { return e.fatal }

// Shutdown refuses queued and new requests, waits for the requests in flight until
// ctx ends, and stops the entry host.
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
		err = errors.New("requests were still in flight when the shutdown grace period ended")
	}
	e.closeTransports(ctx)
	e.cancel()
	e.loops.Wait()
	e.events.Event("shutdown-finished", "error", err)
	return err
}

// Kill stops the entry host at once without finishing requests, as a crash would.
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
