// Package follower folds the config stream of the platform's log into the state
// of an entry host and submits records to the stream.
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

// Peers returns the states that other entry hosts have folded.
type Peers interface {
	// Snapshots returns the states of peers that are above a position. When the log
	// can't be read, only peers of the same data centre are safe to use: a peer of
	// another one may lack records that this data centre has already confirmed.
	Snapshots(ctx context.Context, above uint64, onlyOwnDataCentre bool) []*wire.Snapshot
}

// Identity identifies the entry host that writes a record.
type Identity struct {
	Name        string
	Incarnation string
	DataCentre  string
}

// Events writes events to the event log.
type Events interface {
	Event(name string, pairs ...any)
}

// Follower reads the config stream and holds the newest state.
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
	// ready is set once the state may be acted on, see Ready.
	ready atomic.Bool
	// caughtUp is the time at which the last read began that brought the state to
	// the end of the log.
	caughtUp atomic.Pointer[time.Time]
	// snapshots is not locked: only one goroutine may call SnapshotDue and
	// AppendSnapshot.
	snapshots snapshotAge

	mu       sync.Mutex
	changed  chan struct{}
	waiters  map[string]chan state.Outcome
	gapSince time.Time
}

// Option configures a Follower.
type Option func(*Follower)

// WithReadWait sets how long a read waits for the next entry.
func WithReadWait(d time.Duration) Option { return func(f *Follower) { f.readWait = d } }

// WithRestoreWait sets how long a follower waits for a snapshot that covers the
// records that it can no longer read, before it begins a restore.
func WithRestoreWait(d time.Duration) Option { return func(f *Follower) { f.restoreWait = d } }

// WithContactTime sets how long the log counts as reachable after its last answer.
func WithContactTime(d time.Duration) Option { return func(f *Follower) { f.contactTime = d } }

// WithRetention sets how long the log keeps entries.
func WithRetention(d time.Duration) Option { return func(f *Follower) { f.retention = d } }

// WithEvents sets the receiver of events. By default they are discarded.
func WithEvents(e Events) Option { return func(f *Follower) { f.events = e } }

type noEvents struct{}

func (noEvents) Event(string, ...any) {}

// New returns a follower with an empty state.
func New(log Log, peers Peers, self Identity, opts ...Option) *Follower {
	f := &Follower{
		log: log, peers: peers, self: self, events: noEvents{},
		readWait: defaultReadWait, retryPause: defaultRetryPause, contactTime: defaultContactTime,
		restoreWait: defaultRestoreWait, retention: defaultRetention,
		changed: make(chan struct{}), waiters: map[string]chan state.Outcome{},
	}
	for _, apply := range opts {
		apply(f)
	}
	f.current.Store(state.New())
	f.caughtUp.Store(&time.Time{})
	return f
}

// State returns the newest state.
func (f *Follower) State() *state.State { return f.current.Load() }

// Ready reports whether the state may be acted on. It may once it has caught up
// with the log, or was adopted from a serving peer of the data centre, since the
// process started.
func (f *Follower) Ready() bool { return f.ready.Load() }

// InContact reports whether the log was recently read to its end.
func (f *Follower) InContact() bool {
	return time.Since(f.CaughtUp()) < f.contactTime+f.readWait
}

// CaughtUp returns the latest known time for which the state contains all that
// the log held at that time. The time has a monotonic clock reading.
func (f *Follower) CaughtUp() time.Time { return *f.caughtUp.Load() }

// Changed returns a channel that is closed at the next change of the state.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Run reads the log until ctx ends. It returns an error only if a record needs a
// newer version of the program.
func (f *Follower) Run(ctx context.Context) error {
	f.adoptSnapshots(ctx)
	for ctx.Err() == nil {
		began := time.Now()
		batch, err := f.log.Read(ctx, ConfigStream, f.State().Position, f.nextReadWait())
		if err != nil {
			f.handleLogFailure(ctx, err)
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

// nextReadWait returns how long the next read waits for an entry. Before the first
// catch-up it does not wait.
func (f *Follower) nextReadWait() time.Duration {
	if !f.Ready() {
		return 0
	}
	return f.readWait
}

// markReady sets ready and reports the source of the state the first time.
func (f *Follower) markReady(source string) {
	if f.ready.CompareAndSwap(false, true) {
		f.events.Event("config-ready", "source", source, "version", f.State().Version, "position", f.State().Position)
	}
}

// handleLogFailure adopts a newer state from the peers of the data centre while
// the log can't be read.
func (f *Follower) handleLogFailure(ctx context.Context, cause error) {
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

// foldEntry folds one entry. An entry that is not a valid record is skipped.
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
	f.notifyWaiter(record.GetId(), outcome)
	if record.GetPositions() == nil {
		f.events.Event("record-folded", "offset", entry.Offset, "id", record.GetId(), "author", record.GetAuthor(),
			"accepted", outcome.Accepted, "version", outcome.Version, "message", outcome.Message)
	}
	return nil
}

// publish makes a state current. Position and version must not decrease.
func (f *Follower) publish(next *state.State) {
	before := f.current.Load()
	if next.Version < before.Version || next.Position < before.Position {
		panic("follower: the new state has a lower version or position than the current one")
	}
	f.current.Store(next)
	f.mu.Lock()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
}
