package jobhost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

const (
	// readWait is how long a read waits for new records. It is short, so that a dead
	// connection is noticed.
	readWait = time.Second
	// readSlack is how long a read may take beyond its wait. It is short enough for a
	// configuration to be in force within the required two seconds even if one answer is
	// lost.
	readSlack = 500 * time.Millisecond
	// retryPause is the pause after a failed call to the log.
	retryPause = 300 * time.Millisecond
)

// follower reads a partition: first the newest record of each key, then all later records
// as they arrive.
type follower struct {
	log       Log
	events    Events
	partition keyedlog.Partition
	now       func() time.Time
	// reset, if set, is called before the newest records of all keys are applied, which
	// happens again when the log has trimmed records that were not yet read.
	reset func()
	apply func(records []keyedlog.Record)
	// onLoaded, if set, is called after each load, once the records that were in the log
	// have been applied.
	onLoaded func()
	// onAnswer, if set, is called after each answer of the log to a read that was sent at sent.
	onAnswer func(sent time.Time)

	// onRefused, if set, is called after each call that the log refused.
	onRefused func()
	// onCurrent, if set, is called after each read that leaves nothing unread, with the time at
	// which it was sent and that of the answer.
	onCurrent func(sent, at time.Time)
	// onComplete, if set, is called after each such read, once its records have been applied, with a time
	// up to which all records are known.
	onComplete func(until time.Time)

	// adaptsTimeout is set if a read that got no answer is given more time when it is repeated: what it has to
	// transfer may be large and the link slow.
	adaptsTimeout bool
	// unanswered is how many of the last reads got no answer.
	unanswered int

	// gather is how long to wait after a read that returned records, so that the next one
	// returns several.
	gather time.Duration

	newest newestReader
	from   int64
	// position mirrors from for other goroutines.
	position atomic.Int64
	// begun is set once the newest records are applied, loaded once all that the log held then are.
	begun, loaded bool
	// loadBegan is when the load that has not ended began, keys how many keys it found.
	loadBegan time.Time
	keys      int
	// logReachable is whether the last call to the log succeeded.
	logReachable bool
}

// run reads the partition until ctx ends.
func (f *follower) run(ctx context.Context) {
	f.logReachable = true
	f.newest.log, f.newest.partition = f.log, f.partition
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != f.logReachable {
			f.logReachable = err == nil
			f.events.Event("log-"+map[bool]string{true: "regained", false: "lost"}[f.logReachable],
				"topic", f.partition.Topic, "partition", f.partition.Number, "offset", f.from, "error", err)
		}
		if err != nil {
			if f.onRefused != nil && verdict.FromError(err).Verdict == verdict.NotRun {
				f.onRefused()
			}
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
		f.begun, f.loaded = false, false
		return nil
	}
	return err
}

// load applies the newest record of each key, then the records added meanwhile. After an error it goes on
// where it was.
func (f *follower) load(ctx context.Context) error {
	if f.loadBegan.IsZero() {
		f.loadBegan = f.now()
	}
	if !f.begun {
		batch, err := f.newest.read(ctx)
		if err != nil {
			return err
		}
		if f.reset != nil {
			f.reset()
		}
		f.apply(batch.Records)
		f.moveTo(batch.Next)
		f.begun, f.keys = true, len(batch.Records)
	}
	for {
		more, err := f.read(ctx, 0)
		if errors.Is(err, keyedlog.ErrTrimmed) {
			f.begun = false
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
	f.events.Event("log-read", "topic", f.partition.Topic, "partition", f.partition.Number, "keys", f.keys,
		"offset", f.from, "took", f.now().Sub(f.loadBegan))
	f.loadBegan = time.Time{}
	if f.onLoaded != nil {
		f.onLoaded()
	}
	return nil
}

func (f *follower) read(ctx context.Context, wait time.Duration) (keyedlog.Batch, error) {
	// An answer that is not waited for may be as large as the log allows.
	limit := max(wait+readSlack, minPageTimeout)
	if f.adaptsTimeout && f.unanswered > 0 {
		wait, limit = 0, pageTimeout(f.unanswered)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := f.now()
	batch, err := f.log.Read(ctx, f.partition, f.from, wait)
	if err != nil {
		if verdict.FromError(err).Verdict != verdict.NotRun {
			f.unanswered++
		}
		return batch, err
	}
	f.unanswered = 0
	if batch.Unreadable > 0 {
		f.events.Event("records-unreadable", "topic", f.partition.Topic, "partition", f.partition.Number, "count", batch.Unreadable)
	}
	answeredAt := f.now()
	if f.onAnswer != nil {
		f.onAnswer(sent)
	}
	f.apply(batch.Records)
	f.moveTo(batch.Next)
	if batch.Next < batch.End {
		return batch, nil
	}
	if f.onCurrent != nil {
		f.onCurrent(sent, answeredAt)
	}
	if f.onComplete != nil {
		f.onComplete(completeUntil(&batch, sent, answeredAt, wait))
	}
	return batch, nil
}

// completeUntil returns the time up to which a read that leaves nothing unread has all records. How long an
// answer was under way is not known, but the log gives one without records only once the wait is over.
func completeUntil(batch *keyedlog.Batch, sent, answeredAt time.Time, wait time.Duration) time.Time {
	if len(batch.Records) == 0 && answeredAt.Sub(sent) >= wait {
		return sent.Add(wait)
	}
	return sent
}

func (f *follower) moveTo(offset int64) {
	f.from = offset
	f.position.Store(offset)
}
