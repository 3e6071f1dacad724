package jobhost

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/coordination/hedge"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

const (
	// maxAppendTimeout is the longest time after which an unanswered append is sent again.
	maxAppendTimeout = 1500 * time.Millisecond
	// minAppendTimeout is the shortest time after which an attempt without an answer has failed.
	minAppendTimeout = 250 * time.Millisecond
	// minAppendWait is the shortest time after which an append without an answer is repeated; the
	// log usually answers within a few milliseconds.
	minAppendWait = 30 * time.Millisecond
	// latencyFactor is the wait before an append is repeated, and the timeout of its first
	// attempt, as a multiple of the log's last latency; it leaves time for appends of others that
	// are queued before it.
	latencyFactor = 8
	// producerName identifies owners to the log as producers of a partition.
	producerName = "owner"
)

// appender writes the records of one tenure to a partition, one append at a time. Sequence
// numbers let the log add each append only once, however often it is sent.
type appender struct {
	host      *JobHost
	partition keyedlog.Partition
	token     int64
	sequence  int64
	// latency is the duration of the last successful append.
	latency time.Duration
}

func newAppender(h *JobHost, partition keyedlog.Partition, token int64) *appender {
	return &appender{host: h, partition: partition, token: token}
}

// refused reports whether the log refuses records for good, so that sending them again is of no use.
func refused(err error) bool {
	return err != nil && verdict.FromError(err).Cause == verdict.CauseTooLarge
}

// append retries until the log confirms the records. It fails with keyedlog.ErrFenced if a
// later owner has written, with a refused error, or with the error of ctx if that ends. An append without records
// still makes the log refuse the appends of earlier owners.
func (a *appender) append(ctx context.Context, records []keyedlog.Record) error {
	delayUnlogged := true
	timeout := a.timeout()
	for ctx.Err() == nil {
		began := time.Now()
		err := a.tryAppend(ctx, records, timeout)
		timeout = min(maxAppendTimeout, timeout*3/2)
		if err == nil {
			a.sequence++
			return nil
		}
		if errors.Is(err, keyedlog.ErrFenced) || refused(err) {
			return err
		}
		if delayUnlogged {
			a.host.events.Event("record-delayed", "topic", a.partition.Topic, "partition", a.partition.Number, "records", len(records),
				"sequence", a.sequence, "verdict", verdict.FromError(err).Verdict, "error", err)
			delayUnlogged = false
		}
		var sequenceErr *keyedlog.SequenceError
		if errors.As(err, &sequenceErr) {
			a.sequence = sequenceErr.Expected
			continue
		}
		// The time already spent waiting for an answer counts towards the pause.
		wait(ctx, retryPause-time.Since(began))
	}
	return errors.WithStack(ctx.Err())
}

// timeout returns the timeout of an append's first attempt. It is short because repeating
// an append is safe, and later records wait while one answer is lost.
func (a *appender) timeout() time.Duration {
	return min(maxAppendTimeout, max(minAppendTimeout, latencyFactor*a.logLatency()))
}

func (a *appender) logLatency() time.Duration {
	return max(a.latency, a.host.logLatency())
}

// tryAppend appends the records under one sequence number until a call is answered.
func (a *appender) tryAppend(ctx context.Context, records []keyedlog.Record, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	producer := &keyedlog.Producer{Name: producerName, Epoch: a.token, Sequence: a.sequence}
	took, err := hedge.Do(ctx, max(minAppendWait, latencyFactor*a.logLatency()), func(ctx context.Context, number int) (time.Duration, error) {
		if number > 0 {
			a.host.events.Event("append-repeated", "topic", a.partition.Topic, "partition", a.partition.Number,
				"records", len(records), "sequence", producer.Sequence, "repeat", number)
		}
		began := time.Now()
		err := a.host.platform.Log.Append(ctx, a.partition, records, producer)
		took := time.Since(began)
		a.host.metrics.record.observe(took, err)
		return took, err
	})
	if err == nil {
		a.latency = took
	}
	return err
}
