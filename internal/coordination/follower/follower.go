// Package follower keeps an entry host's fold of the config stream up to date
// and submits records to it.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// Names of the streams in the platform's log.
const (
	ConfigStream    = "config"
	SnapshotsStream = "snapshots"
)

const (
	defaultReadWait    = time.Second
	defaultRetryPause  = 200 * time.Millisecond
	defaultContactTime = 4 * time.Second
	defaultRestoreWait = 15 * time.Second
	defaultRetention   = time.Hour
)

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (platformapi.Batch, error)
}

// Peers gives the folded states of other entry hosts.
type Peers interface {
	// States asks for states above a position. When the log can't be read, only
	// peers of the own data centre may be trusted not to be behind a confirmation.
	States(ctx context.Context, above uint64, onlyOwnDataCentre bool) []*wire.Snapshot
}

// Identity is who writes the records.
type Identity struct {
	Name        string
	Incarnation string
	DataCentre  string
}

// Events takes what happened, for the log.
type Events interface {
	Event(name string, pairs ...any)
}

// Follower follows the config stream.
type Follower struct {
	log    Log
	peers  Peers
	events Events
	self   Identity

	readWait    time.Duration
	retryPause  time.Duration
	contactTime time.Duration
	restoreWait time.Duration
	retention   time.Duration

	current atomic.Pointer[state.State]
	// ready is set once the state is fit to act on.
	ready atomic.Bool
	// caughtUp is when the last read began after which the state lacked nothing.
	caughtUp atomic.Pointer[time.Time]
	// snapshots belongs to the caller of SnapshotDue and AppendSnapshot.
	snapshots snapshotAge

	mu       sync.Mutex
	changed  chan struct{}
	outcomes map[string]chan state.Outcome
	gapSince time.Time
}

// Option changes a Follower.
type Option func(*Follower)

// WithReadWait sets how long a read waits for the next entry.
func WithReadWait(d time.Duration) Option { return func(f *Follower) { f.readWait = d } }

// WithRestoreWait sets how long a follower that lost records waits for a snapshot.
func WithRestoreWait(d time.Duration) Option { return func(f *Follower) { f.restoreWait = d } }

// WithContactTime sets how long after its last answer the log counts as reached.
func WithContactTime(d time.Duration) Option { return func(f *Follower) { f.contactTime = d } }

// WithRetention tells how long the log keeps entries.
func WithRetention(d time.Duration) Option { return func(f *Follower) { f.retention = d } }

// WithEvents sets where events go.
func WithEvents(e Events) Option { return func(f *Follower) { f.events = e } }

type noEvents struct{}

func (noEvents) Event(string, ...any) {}

// New makes a follower that knows nothing yet.
func New(log Log, peers Peers, self Identity, opts ...Option) *Follower {
	f := &Follower{
		log: log, peers: peers, self: self, events: noEvents{},
		readWait: defaultReadWait, retryPause: defaultRetryPause, contactTime: defaultContactTime,
		restoreWait: defaultRestoreWait, retention: defaultRetention,
		changed: make(chan struct{}), outcomes: map[string]chan state.Outcome{},
	}
	for _, apply := range opts {
		apply(f)
	}
	f.current.Store(state.New())
	f.caughtUp.Store(&time.Time{})
	return f
}

// State is the newest folded state.
func (f *Follower) State() *state.State { return f.current.Load() }

// Ready tells whether the state may be acted on: it was caught up with the
// log, or taken from a serving peer of the data centre, since the start.
func (f *Follower) Ready() bool { return f.ready.Load() }

// InContact tells whether the log was read to its end lately.
func (f *Follower) InContact() bool {
	return time.Since(f.CaughtUp()) < f.contactTime+f.readWait
}

// CaughtUp is a time such that the state has all that the log held then. It
// carries the monotonic clock.
func (f *Follower) CaughtUp() time.Time { return *f.caughtUp.Load() }

// Changed closes when the state changes next.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Run follows the log until ctx ends. It fails only when the log needs a newer program.
func (f *Follower) Run(ctx context.Context) error {
	f.adoptSnapshots(ctx)
	for ctx.Err() == nil {
		began := time.Now()
		batch, err := f.log.Read(ctx, ConfigStream, f.State().Position, f.waitFor())
		if err != nil {
			f.withoutLog(ctx, err)
			continue
		}
		if batch.First > f.State().Position {
			f.bridgeGap(ctx, batch.First)
			continue
		}
		if err := f.foldBatch(batch); err != nil {
			return err
		}
		if f.State().Position >= batch.Next {
			f.caughtUp.Store(&began)
			f.markReady("log")
		}
	}
	return nil
}

// waitFor avoids waiting at the log before the first catch-up.
func (f *Follower) waitFor() time.Duration {
	if !f.Ready() {
		return 0
	}
	return f.readWait
}

func (f *Follower) markReady(source string) {
	if f.ready.CompareAndSwap(false, true) {
		f.events.Event("config-ready", "source", source, "version", f.State().Version, "position", f.State().Position)
	}
}

// withoutLog takes a newer state from the data centre's peers while the log can't be read.
func (f *Follower) withoutLog(ctx context.Context, cause error) {
	if ctx.Err() != nil {
		return
	}
	f.events.Event("log-unreachable", "error", cause)
	if f.adoptPeers(ctx, f.State().Position, true) {
		f.markReady("peer")
	}
	_ = pause.For(ctx, f.retryPause)
}

func (f *Follower) foldBatch(batch platformapi.Batch) error {
	for _, entry := range batch.Entries {
		if entry.Offset < f.State().Position {
			continue
		}
		if err := f.foldEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

func (f *Follower) foldEntry(entry platformapi.Entry) error {
	record := &wire.Record{}
	if err := proto.Unmarshal(entry.Data, record); err != nil {
		f.events.Event("record-unreadable", "offset", entry.Offset, "error", err)
		f.publish(state.Skip(f.State(), entry.Offset))
		return nil
	}
	next, outcome, err := state.Apply(f.State(), entry.Offset, record)
	if err != nil {
		return errors.Wrap(err, "fold the config stream")
	}
	f.publish(next)
	f.settle(record.GetId(), outcome)
	if record.GetPositions() == nil {
		f.events.Event("record-folded", "offset", entry.Offset, "id", record.GetId(), "author", record.GetAuthor(),
			"accepted", outcome.Accepted, "version", outcome.Version, "message", outcome.Message)
	}
	return nil
}

// publish makes a state current; a position and a version only rise.
func (f *Follower) publish(next *state.State) {
	before := f.current.Load()
	if next.Version < before.Version || next.Position < before.Position {
		panic("the configuration must not go back")
	}
	f.current.Store(next)
	f.mu.Lock()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
}
