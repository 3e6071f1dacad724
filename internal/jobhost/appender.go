package jobhost

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

const (
	// appendTimeout bounds an append; beyond it the same one is sent again.
	appendTimeout = 1500 * time.Millisecond
	// appendTimeoutLeast is the shortest time after which an answer counts as lost; the
	// log answers within some milliseconds.
	appendTimeoutLeast = 250 * time.Millisecond
	// latencyFactor times what the log took last is the time for the first try; appends
	// of others to the partition may stand before it.
	latencyFactor = 8
	// producerName marks the appends of owners.
	producerName = "owner"
)

// appender writes the records of one tenure to a partition, one append at a time and
// each of them once.
type appender struct {
	host      *JobHost
	partition keyedlog.Partition
	token     int64
	sequence  int64
	// latency is how long the last append that succeeded took.
	latency time.Duration
}

func newAppender(h *JobHost, partition keyedlog.Partition, token int64) *appender {
	return &appender{host: h, partition: partition, token: token}
}

// append writes records until they are certainly there. It fails with
// keyedlog.ErrFenced when a later owner has written, or when ctx ends. Without records
// it refuses the appends of earlier owners.
func (a *appender) append(ctx context.Context, records []keyedlog.Record) error {
	healthy := true
	timeout := a.timeout()
	for ctx.Err() == nil {
		began := time.Now()
		err := a.once(ctx, records, timeout)
		timeout = min(appendTimeout, timeout*3/2)
		if err == nil {
			a.sequence++
			return nil
		}
		if errors.Is(err, keyedlog.ErrFenced) {
			return err
		}
		if healthy {
			a.host.events.Event("record-delayed", "topic", a.partition.Topic, "partition", a.partition.Number, "records", len(records),
				"sequence", a.sequence, "verdict", verdict.Of(err).Verdict, "error", err)
			healthy = false
		}
		var sequence *keyedlog.SequenceError
		if errors.As(err, &sequence) {
			a.sequence = sequence.Expected
			continue
		}
		// One that was not answered has waited already.
		wait(ctx, retryPause-time.Since(began))
	}
	return errors.WithStack(ctx.Err())
}

// timeout is how long the first try may take. Another try of the same append is safe, so
// that a lost answer need not hold up all that waits for the next one.
func (a *appender) timeout() time.Duration {
	latency := max(a.latency, a.host.keeper.Latency())
	return min(appendTimeout, max(appendTimeoutLeast, latencyFactor*latency))
}

func (a *appender) once(ctx context.Context, records []keyedlog.Record, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	err := a.host.platform.Log.Append(ctx, a.partition, records, &keyedlog.Producer{Name: producerName, Epoch: a.token, Sequence: a.sequence})
	took := time.Since(began)
	a.host.metrics.record.observe(took, err)
	if err == nil {
		a.latency = took
	}
	return err
}
