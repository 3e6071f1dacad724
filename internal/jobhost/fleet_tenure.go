package jobhost

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// keyTenure is the key of the last tenure over machines.
const keyTenure = "tenure"

// renewRecord is how often the record is written again while it names machines, so that
// the next owner does not take their orders for newer than they are.
const renewRecord = time.Second

// tenureRecord is what an owner of machines leaves to the next one. A machine is
// ordered only after the record names it: the log refuses an owner that has a
// successor, so that the successor knows of each machine that was ordered before it.
type tenureRecord struct {
	appender *appender
	wake     chan struct{}
	// recent is when machines were last ordered by this owner.
	recent map[string]time.Time
	// barred are machines that an earlier owner may have ordered, with the time from
	// which they may be ordered here.
	barred    map[string]time.Time
	writtenAt time.Time
	// announced are the orders that wait for the record.
	announced []*announcement
}

// announcement is an order that waits for the record.
type announcement struct {
	machine string
	done    chan struct{}
}

func newTenureRecord(partition keyedlog.Partition, h *JobHost, token int64) tenureRecord {
	return tenureRecord{
		appender: newAppender(h, partition, token), wake: make(chan struct{}, 1),
		recent: map[string]time.Time{}, barred: map[string]time.Time{},
	}
}

// claim refuses the records of earlier owners from here on; it fails when a later
// owner did the same, or ctx ends.
func (t *tenureRecord) claim(ctx context.Context) error { return t.appender.append(ctx, nil) }

// signal asks for the record to be written.
func (t *tenureRecord) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// succeed takes what earlier owners left: the machines that they may have ordered
// lately wait, and waves go on as they were first seen.
func (f *fleetOwner) succeed(record keyedlog.Record) {
	last := &wire.FleetTenure{}
	if err := proto.Unmarshal(record.Value, last); err != nil {
		f.host.events.Event("record-unreadable", "topic", TopicFleet, "key", record.Key, "offset", record.Offset, "error", err)
		return
	}
	now := f.host.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range last.GetRecent() {
		age := time.Duration(o.GetAgeMs()) * time.Millisecond
		if from := now.Add(f.barTime() - age); from.After(now) {
			f.tenure.barred[o.GetMachine()] = from
		}
	}
	for _, w := range last.GetWaves() {
		seen := time.UnixMilli(w.GetSeenMs())
		if seen.After(now) {
			// The clocks of two entry hosts differ.
			seen = now
		}
		f.waves[w.GetNumber()] = &waveState{seenAt: seen}
	}
}

// barTime is how long a machine waits after an earlier owner's order: two holders must
// not take turns within the lease, and one that does not know yet that it has a
// successor may send what it announced until its membership runs out.
func (f *fleetOwner) barTime() time.Duration {
	return f.host.settings.Capacity.HolderLease + f.host.settings.GroupTTL
}

// announce writes that a machine is about to be ordered; false means that the tenure
// has ended.
func (f *fleetOwner) announce(ctx context.Context, name string) bool {
	a := &announcement{machine: name, done: make(chan struct{})}
	f.mu.Lock()
	f.tenure.announced = append(f.tenure.announced, a)
	f.mu.Unlock()
	f.tenure.signal()
	select {
	case <-a.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// renewTenure writes the record again if it grows old.
func (f *fleetOwner) renewTenure(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.tenure.recent)+len(f.tenure.barred) > 0 && now.Sub(f.tenure.writtenAt) >= renewRecord {
		f.tenure.signal()
	}
}

// writeTenure keeps the record until ctx ends or a later owner is seen: one append for
// all that was announced meanwhile.
func (f *fleetOwner) writeTenure(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.tenure.wake:
		}
		taken, value, err := f.nextRecord()
		if err != nil {
			f.host.events.Event("record-failed", "key", keyTenure, "token", f.token, "error", err)
			continue
		}
		err = f.tenure.appender.append(ctx, []keyedlog.Record{{Key: keyTenure, Value: value}})
		if errors.Is(err, keyedlog.ErrFenced) {
			f.lost()
			return
		}
		if err != nil {
			return
		}
		for _, a := range taken {
			f.noteOrdered(a.machine)
			close(a.done)
		}
	}
}

// noteOrdered keeps that a machine may be ordered now, or just was.
func (f *fleetOwner) noteOrdered(name string) {
	now := f.host.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tenure.recent[name] = now
}

// nextRecord gives the record to write, and the orders that it announces.
func (f *fleetOwner) nextRecord() ([]*announcement, []byte, error) {
	now := f.host.now()
	m := &wire.FleetTenure{Token: f.token}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tenure.writtenAt = now
	taken := f.tenure.announced
	f.tenure.announced = nil
	for _, a := range taken {
		f.tenure.recent[a.machine] = now
	}
	for name, from := range f.tenure.barred {
		if now.Before(from) {
			m.Recent = append(m.Recent, &wire.RecentOrder{Machine: name, AgeMs: (f.barTime() - from.Sub(now)).Milliseconds()})
		} else {
			delete(f.tenure.barred, name)
		}
	}
	for name, at := range f.tenure.recent {
		if age := now.Sub(at); age < f.barTime() {
			m.Recent = append(m.Recent, &wire.RecentOrder{Machine: name, AgeMs: age.Milliseconds()})
		} else {
			delete(f.tenure.recent, name)
		}
	}
	for number, state := range f.waves {
		m.Waves = append(m.Waves, &wire.WaveSeen{Number: number, SeenMs: state.seenAt.UnixMilli()})
	}
	value, err := proto.Marshal(m)
	return taken, value, err
}
