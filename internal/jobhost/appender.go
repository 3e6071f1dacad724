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
}

func newAppender(h *JobHost, partition keyedlog.Partition, token int64) *appender {
	return &appender{host: h, partition: partition, token: token}
}

// append writes records until they are certainly there. It fails with
// keyedlog.ErrFenced when a later owner has written, or when ctx ends. Without records
// it refuses the appends of earlier owners.
func (a *appender) append(ctx context.Context, records []keyedlog.Record) error {
	healthy := true
	for ctx.Err() == nil {
		err := a.once(ctx, records)
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
		wait(ctx, retryPause)
	}
	return errors.WithStack(ctx.Err())
}

func (a *appender) once(ctx context.Context, records []keyedlog.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	began := time.Now()
	err := a.host.platform.Log.Append(ctx, a.partition, records, &keyedlog.Producer{Name: producerName, Epoch: a.token, Sequence: a.sequence})
	a.host.metrics.record.observe(time.Since(began), err)
	return err
}
