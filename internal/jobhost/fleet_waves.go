package jobhost

import (
	"context"
	"strconv"

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

// reportWaves writes the status of each wave whose status has changed.
func (f *fleetOwner) reportWaves(ctx context.Context, waves []capacity.Wave) {
	for n := range waves {
		w := &waves[n]
		done := w.Done(f.machines)
		state := "running"
		if done {
			state = "done"
		}
		f.mu.Lock()
		written := f.waves[w.Number].written
		f.mu.Unlock()
		if written == state {
			continue
		}
		if f.writeStatus(ctx, w.Number, done) {
			f.mu.Lock()
			f.waves[w.Number].written = state
			f.mu.Unlock()
		}
	}
}

func (f *fleetOwner) writeStatus(ctx context.Context, number int64, done bool) bool {
	ctx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
	defer cancel()
	record, err := f.host.platform.Records.WaveStatus(number, done)
	if err == nil {
		err = f.host.platform.Log.Append(ctx, f.host.platform.Records.WaveStatusPartition(), []keyedlog.Record{record}, nil)
	}
	f.host.events.Event("wave-reported", "wave", number, "done", done, "error", err)
	return err == nil
}
