package follower

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// adoptSnapshots adopts the highest snapshot in the log.
func (f *Follower) adoptSnapshots(ctx context.Context) {
	batch, err := f.log.Read(ctx, SnapshotsStream, 0, 0)
	if err != nil {
		return
	}
	for len(batch.Entries) > 0 {
		for _, entry := range batch.Entries {
			snapshot := &wire.Snapshot{}
			if proto.Unmarshal(entry.Data, snapshot) == nil {
				f.adopt(snapshot, "snapshot")
			}
		}
		last := batch.Entries[len(batch.Entries)-1].Offset
		if last+1 >= batch.Next {
			return
		}
		if batch, err = f.log.Read(ctx, SnapshotsStream, last+1, 0); err != nil {
			return
		}
	}
}

// adoptPeers adopts the highest state of the peers that is above a position and
// reports whether it adopted one.
func (f *Follower) adoptPeers(ctx context.Context, above uint64, onlyOwnDataCentre bool) bool {
	adopted := false
	for _, snapshot := range f.peers.Snapshots(ctx, above, onlyOwnDataCentre) {
		adopted = f.adopt(snapshot, "peer") || adopted
	}
	return adopted
}

// adopt makes a snapshot current if its position is higher than the current one
// and its version is not lower. It reports whether it did so.
func (f *Follower) adopt(snapshot *wire.Snapshot, source string) bool {
	current := f.State()
	if current.Restoring || snapshot.GetPosition() <= current.Position || snapshot.GetVersion() < current.Version {
		return false
	}
	next, err := state.FromSnapshot(snapshot)
	if err != nil {
		f.events.Event("snapshot-unreadable", "source", source, "error", err)
		return false
	}
	f.publish(next)
	f.notifyKnownOutcomes()
	f.events.Event("snapshot-adopted", "source", source, "position", next.Position, "version", next.Version)
	return true
}

// bridgeGap replaces the records that the log no longer keeps by a snapshot or a
// state of a peer. If neither covers the gap within restoreWait, it begins a
// restore.
func (f *Follower) bridgeGap(ctx context.Context, first uint64) {
	f.adoptSnapshots(ctx)
	if !f.State().Includes(first) {
		f.adoptPeers(ctx, first-1, false)
	}
	if f.State().Includes(first) {
		f.gapSince = time.Time{}
		return
	}
	if f.gapSince.IsZero() {
		f.gapSince = time.Now()
		f.events.Event("log-gap", "position", f.State().Position, "first", first)
	}
	if time.Since(f.gapSince) < f.restoreWait {
		_ = pause.For(ctx, f.retryPause)
		return
	}
	f.gapSince = time.Time{}
	f.events.Event("restore-begun", "position", f.State().Position, "first", first)
	f.publish(f.State().BeginRestore(first))
}

// Restore submits an offer or closes the collection of offers if the state
// requires it. absent names the entry hosts that have been missing from the live
// list for longer than the removal bound.
func (f *Follower) Restore(ctx context.Context, absent map[string]bool) error {
	s := f.State()
	if s.NeedsOffer(f.self.Name) {
		record := &wire.Record{Body: &wire.Record_Offer{Offer: s.Offer()}}
		_, err := f.Submit(ctx, record)
		return err
	}
	if !s.ReadyToClose(absent) {
		return nil
	}
	names := make([]string, 0, len(absent))
	for name := range absent {
		names = append(names, name)
	}
	record := &wire.Record{Body: &wire.Record_Close{Close: s.CloseRecord(names)}}
	_, err := f.Submit(ctx, record)
	return err
}

// SnapshotDue reports whether the log needs a new snapshot: the newest one is
// older than a quarter of the retention, or its age is unknown and its position
// is behind the state.
func (f *Follower) SnapshotDue(ctx context.Context) bool {
	s := f.State()
	if !f.Ready() || s.Restoring || s.Sequence == 0 {
		return false
	}
	batch, err := f.log.Read(ctx, SnapshotsStream, f.snapshots.next, 0)
	if err != nil {
		return false
	}
	newest := newestPosition(batch)
	switch {
	case f.snapshots.seen.IsZero() && newest < s.Position:
		return true
	case f.snapshots.seen.IsZero() || batch.Next > f.snapshots.next:
		f.snapshots = snapshotAge{next: batch.Next, seen: time.Now()}
		return false
	default:
		return time.Since(f.snapshots.seen) > f.retention/4
	}
}

// snapshotAge records the offset after the newest snapshot in the log and when
// that snapshot was first seen.
type snapshotAge struct {
	next uint64
	seen time.Time
}

// newestPosition returns the highest position of the snapshots in a batch.
func newestPosition(batch platformapi.Batch) uint64 {
	newest := uint64(0)
	for _, entry := range batch.Entries {
		snapshot := &wire.Snapshot{}
		if proto.Unmarshal(entry.Data, snapshot) == nil {
			newest = max(newest, snapshot.GetPosition())
		}
	}
	return newest
}

// AppendSnapshot appends a snapshot of the current state to the log.
func (f *Follower) AppendSnapshot(ctx context.Context) error {
	s := f.State()
	data, err := state.MarshalSnapshot(s.Snapshot())
	if err != nil {
		return err
	}
	offset, err := f.log.Append(ctx, SnapshotsStream, data)
	if err != nil {
		return err
	}
	f.snapshots = snapshotAge{next: offset + 1, seen: time.Now()}
	f.events.Event("snapshot-appended", "position", s.Position, "version", s.Version, "bytes", len(data))
	return nil
}
