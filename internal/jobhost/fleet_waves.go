package jobhost

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/coordination/capacity"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
)

// fillView adds machines, waves and pending orders to a view. Machines that an earlier owner
// may have ordered are added as orders of kind OrderedByFormerOwner, so that the planner
// does not order them.
func (f *fleetOwner) fillView(view *capacity.View) {
	waves := f.host.operators.allWaves()
	f.mu.Lock()
	defer f.mu.Unlock()
	view.Machines, view.ListedAt = f.machines, f.listedAt
	view.Ordered = make(map[string]capacity.Order, len(f.ordered))
	for name, from := range f.tenure.formerOrders {
		if view.Now.Before(from) {
			view.Ordered[name] = capacity.Order{Action: capacity.Action{Kind: capacity.OrderedByFormerOwner, Machine: name}, SentAt: f.began}
		}
	}
	for name, o := range f.ordered {
		view.Ordered[name] = capacity.Order{Action: o.action, SentAt: o.decidedAt}
	}
	for _, w := range waves {
		state, ok := f.waves[w.Number]
		if !ok {
			state = &waveState{seenAt: view.Now}
			f.waves[w.Number] = state
			f.tenure.signal()
		}
		started := make(map[string]bool, len(f.started[w.Number]))
		for name := range f.started[w.Number] {
			started[name] = true
		}
		view.Waves = append(view.Waves, capacity.Wave{Wave: w, SeenAt: state.seenAt, Started: started})
	}
}

// recordStarted records for later owners that a machine's maintenance in a wave has
// started. If the record is lost, a later owner orders the maintenance again, which has no
// effect.
func (f *fleetOwner) recordStarted(ctx context.Context, a capacity.Action) {
	ctx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
	defer cancel()
	key := keyWave + strconv.FormatInt(a.Wave, 10) + "/" + a.Machine
	if err := f.host.platform.Log.Append(ctx, f.tenurePartition(), []keyedlog.Record{{Key: key, Value: []byte{1}}}, nil); err != nil {
		f.host.events.Event("record-delayed", "key", key, "error", err)
	}
}

// reportWaves has the status of each wave written if it has changed.
func (f *fleetOwner) reportWaves(waves []capacity.Wave) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for n := range waves {
		w := &waves[n]
		state := f.waves[w.Number]
		state.status = statusRunning
		if w.Done(f.machines) {
			state.status = statusDone
		}
		changed = changed || state.status != state.written
	}
	if !changed {
		return
	}
	select {
	case f.statusChanged <- struct{}{}:
	default:
	}
}

// writeStatuses writes the changed statuses on each signal until ctx ends or a later owner is
// seen. Each append is repeated until the log confirms it, so that none takes effect after the
// next one, or after one of a later owner.
func (f *fleetOwner) writeStatuses(ctx context.Context) {
	a := newAppender(f.host, f.host.platform.Records.WaveStatusPartition(), f.token)
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.statusChanged:
		}
		// Time may have passed since the plan; the next one repeats the signal.
		if !f.confirmed(f.host.now()) {
			continue
		}
		statuses, records := f.changedStatuses()
		if len(records) == 0 {
			continue
		}
		err := a.append(ctx, records)
		for number, status := range statuses {
			f.host.events.Event("wave-reported", "wave", number, "done", status == statusDone, "error", err)
		}
		if errors.Is(err, keyedlog.ErrFenced) {
			f.reacquire()
		}
		if err != nil {
			return
		}
		f.markWritten(statuses)
	}
}

// changedStatuses returns the statuses to write, by the number of the wave, and their records.
func (f *fleetOwner) changedStatuses() (map[int64]string, []keyedlog.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	statuses := map[int64]string{}
	var records []keyedlog.Record
	for number, w := range f.waves {
		if w.status == w.written {
			continue
		}
		record, err := f.host.platform.Records.WaveStatus(number, w.status == statusDone)
		if err != nil {
			f.host.events.Event("record-failed", "wave", number, "token", f.token, "error", err)
			continue
		}
		statuses[number] = w.status
		records = append(records, record)
	}
	return statuses, records
}

func (f *fleetOwner) markWritten(statuses map[int64]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for number, status := range statuses {
		f.waves[number].written = status
	}
}
