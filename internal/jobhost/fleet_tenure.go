package jobhost

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

const (
	// keyTenure is the key of the last tenure over machines.
	keyTenure = "tenure"
	// releaseTimeout bounds the record of a tenure's end.
	releaseTimeout = 400 * time.Millisecond
)

// succeed takes what the last owner left. One that gave its tenure up orders nothing
// any more, so that only the machines which it ordered last have to wait; after one
// that did not, all have.
func (f *fleetOwner) succeed(record keyedlog.Record) {
	last := &wire.FleetTenure{}
	if err := proto.Unmarshal(record.Value, last); err != nil {
		f.host.events.Event("record-unreadable", "topic", TopicFleet, "key", record.Key, "offset", record.Offset, "error", err)
		return
	}
	if !last.GetReleased() {
		return
	}
	now, lease := f.host.now(), f.host.settings.Capacity.HolderLease
	f.mu.Lock()
	defer f.mu.Unlock()
	f.allFrom = now
	for _, o := range last.GetRecent() {
		f.barred[o.GetMachine()] = now.Add(lease - time.Duration(o.GetAgeMs())*time.Millisecond)
	}
}

// writeTenure records that the tenure lasts, or how it ended.
func (f *fleetOwner) writeTenure(ctx context.Context, released bool) bool {
	now, lease := f.host.now(), f.host.settings.Capacity.HolderLease
	m := &wire.FleetTenure{Token: f.token, Released: released}
	f.mu.Lock()
	// What an earlier owner ordered is passed on.
	for name, from := range f.barred {
		if now.Before(from) {
			m.Recent = append(m.Recent, &wire.RecentOrder{Machine: name, AgeMs: (lease - from.Sub(now)).Milliseconds()})
		}
	}
	for name, at := range f.recent {
		if now.Sub(at) < lease {
			m.Recent = append(m.Recent, &wire.RecentOrder{Machine: name, AgeMs: now.Sub(at).Milliseconds()})
		}
	}
	// An owner that still waits for the end of an unfinished tenure does not know
	// what was ordered in it.
	waits := now.Before(f.allFrom)
	f.mu.Unlock()
	m.Released = released && !waits
	data, err := proto.Marshal(m)
	if err == nil {
		err = f.host.platform.Log.Append(ctx, f.partition(), []keyedlog.Record{{Key: keyTenure, Value: data}},
			&keyedlog.Producer{Name: producerName, Epoch: f.token, Sequence: f.sequence})
	}
	f.sequence++
	if err != nil {
		f.host.events.Event("record-failed", "key", keyTenure, "token", f.token, "released", released, "error", err)
	}
	return err == nil
}
