package jobhost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
)

const (
	// readWait is how long a read waits for news; short enough to notice a
	// connection that went silent.
	readWait = time.Second
	// readSlack is what a read may take beyond its wait; with it, a configuration is
	// in force within its two seconds even if the answer is lost.
	readSlack = 500 * time.Millisecond
	// newestTimeout bounds the reading of all keys.
	newestTimeout = 5 * time.Second
	// retryPause is the pause after a failed call of the log.
	retryPause = 300 * time.Millisecond
)

// follower reads a partition from the newest records of all keys on.
type follower struct {
	log       Log
	events    Events
	partition keyedlog.Partition
	now       func() time.Time
	// reset is called before the newest records of all keys are given again.
	reset func()
	take  func(records []keyedlog.Record)
	// ready is called once all records that were there at the start have been taken.
	ready func()

	// gather is how long to let records come together after a read that brought some.
	gather time.Duration

	from int64
	// position is from, for others to read.
	position atomic.Int64
	loaded   bool
	reached  bool
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	f.reached = true
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != f.reached {
			f.reached = err == nil
			f.events.Event("log-"+map[bool]string{true: "regained", false: "lost"}[f.reached],
				"topic", f.partition.Topic, "partition", f.partition.Number, "offset", f.from, "error", err)
		}
		if err != nil {
			_ = pause.For(ctx, retryPause)
		}
	}
}

func (f *follower) step(ctx context.Context) error {
	if !f.loaded {
		return f.load(ctx)
	}
	batch, err := f.read(ctx, readWait)
	if len(batch.Records) > 0 && f.gather > 0 {
		wait(ctx, f.gather)
	}
	if errors.Is(err, keyedlog.ErrTrimmed) {
		f.events.Event("log-trimmed", "topic", f.partition.Topic, "partition", f.partition.Number, "offset", f.from)
		f.loaded = false
		return nil
	}
	return err
}

// load takes the newest record of each key, then what came meanwhile.
func (f *follower) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	began := f.now()
	batch, err := f.log.Newest(ctx, f.partition)
	if err != nil {
		return err
	}
	if f.reset != nil {
		f.reset()
	}
	f.take(batch.Records)
	f.moveTo(batch.Next)
	for {
		more, err := f.read(ctx, 0)
		if errors.Is(err, keyedlog.ErrTrimmed) {
			return nil
		}
		if err != nil {
			return err
		}
		if f.from >= more.End {
			break
		}
	}
	f.loaded = true
	f.events.Event("log-read", "topic", f.partition.Topic, "partition", f.partition.Number, "keys", len(batch.Records),
		"unreadable", batch.Unreadable, "offset", f.from, "took", f.now().Sub(began))
	if f.ready != nil {
		f.ready()
	}
	return nil
}

func (f *follower) read(ctx context.Context, wait time.Duration) (keyedlog.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	batch, err := f.log.Read(ctx, f.partition, f.from, wait)
	if err != nil {
		return batch, err
	}
	if batch.Unreadable > 0 {
		f.events.Event("records-unreadable", "topic", f.partition.Topic, "partition", f.partition.Number, "count", batch.Unreadable)
	}
	f.take(batch.Records)
	f.moveTo(batch.Next)
	return batch, nil
}

func (f *follower) moveTo(offset int64) {
	f.from = offset
	f.position.Store(offset)
}
