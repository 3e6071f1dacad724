package jobhost

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// keyTenure is the key of the record of the last tenure over the machines.
const keyTenure = "tenure"

// recordRenewInterval is how often the record is rewritten while it names machines. It holds
// the ages of their orders, which the next owner would otherwise take for newer than they are.
const recordRenewInterval = time.Second

// tenureRecord is the state that an owner of the machines leaves to its successor. A
// machine is ordered only after the record in the log names it. Since the log refuses the
// appends of an owner that has a successor, the successor knows of each machine that was
// ordered before its own tenure.
type tenureRecord struct {
	appender *appender
	wake     chan struct{}
	// recent holds when this owner last ordered each machine.
	recent map[string]time.Time
	// formerOrders holds the machines that an earlier owner may have ordered, with the time
	// from which this owner may order them.
	formerOrders map[string]time.Time
	writtenAt    time.Time
	// announced holds the orders that wait for the next write of the record.
	announced []*announcement
}

// announcement is an order that waits until the record names its machine.
type announcement struct {
	machine string
	done    chan struct{}
}

func newTenureRecord(partition keyedlog.Partition, h *JobHost, token int64) tenureRecord {
	return tenureRecord{
		appender: newAppender(h, partition, token), wake: make(chan struct{}, 1),
		recent: map[string]time.Time{}, formerOrders: map[string]time.Time{},
	}
}

// claim makes the log refuse the records of earlier owners. It fails if a later owner has
// claimed the partition, or when ctx ends.
func (t *tenureRecord) claim(ctx context.Context) error { return t.appender.append(ctx, nil) }

// signal requests a write of the record.
func (t *tenureRecord) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// inherit applies the record of the earlier owner: machines that it may have ordered
// recently are not ordered for a time, and waves keep the time at which they were first
// seen.
func (f *fleetOwner) inherit(record keyedlog.Record) {
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
		if from := now.Add(f.formerOrderWait() - age); from.After(now) {
			f.tenure.formerOrders[o.GetMachine()] = from
		}
	}
	for _, w := range last.GetWaves() {
		seen := time.UnixMilli(w.GetSeenMs())
		if seen.After(now) {
			// The earlier owner's clock may have been ahead of this one.
			seen = now
		}
		f.waves[w.GetNumber()] = &waveState{seenAt: seen}
	}
}

// formerOrderWait is how long a machine may not be ordered after an earlier owner's order:
// the holder lease, within which no other holder may order it, and the group TTL, since an
// owner that does not know of its successor may send announced orders until its membership
// expires.
func (f *fleetOwner) formerOrderWait() time.Duration {
	return f.host.settings.Capacity.HolderLease + f.host.settings.GroupTTL
}

// announce waits until the record in the log names a machine that is about to be ordered. It
// returns false if the tenure ends first.
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

// renewTenure requests a rewrite of the record if it names machines and is
// recordRenewInterval old.
func (f *fleetOwner) renewTenure(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.tenure.recent)+len(f.tenure.formerOrders) > 0 && now.Sub(f.tenure.writtenAt) >= recordRenewInterval {
		f.tenure.signal()
	}
}

// writeTenure writes the record on each signal until ctx ends or a later owner is seen.
// One append covers all orders announced meanwhile.
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
			f.reacquire()
			return
		}
		if err != nil {
			return
		}
		for _, a := range taken {
			f.markOrdered(a.machine)
			close(a.done)
		}
	}
}

// markOrdered sets the time of a machine's last order, which is about to be sent or has
// just been sent.
func (f *fleetOwner) markOrdered(name string) {
	now := f.host.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tenure.recent[name] = now
}

// nextRecord returns the encoded record to write, and the orders that it announces. It
// drops machines whose orders are older than formerOrderWait.
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
	for name, from := range f.tenure.formerOrders {
		if now.Before(from) {
			m.Recent = append(m.Recent, &wire.RecentOrder{Machine: name, AgeMs: (f.formerOrderWait() - from.Sub(now)).Milliseconds()})
		} else {
			delete(f.tenure.formerOrders, name)
		}
	}
	for name, at := range f.tenure.recent {
		if age := now.Sub(at); age < f.formerOrderWait() {
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
