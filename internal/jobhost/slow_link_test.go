package jobhost

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// slowLog has one record, which takes a time to transfer.
type slowLog struct {
	Log
	transfer time.Duration
}

func (l slowLog) Newest(context.Context, keyedlog.Partition, string) (keyedlog.Page, error) {
	return keyedlog.Page{}, nil
}

func (l slowLog) Read(ctx context.Context, _ keyedlog.Partition, from int64, wait time.Duration) (keyedlog.Batch, error) {
	if from > 0 {
		return keyedlog.Batch{Next: from, End: from}, pause.For(ctx, wait)
	}
	if err := pause.For(ctx, l.transfer); err != nil {
		return keyedlog.Batch{}, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the log did not answer in time")
	}
	return keyedlog.Batch{Records: []keyedlog.Record{{Key: "config", Value: []byte("1")}}, Next: 1, End: 1}, nil
}

func TestLargeVersionIsReadOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, read := time.Now(), time.Duration(0)
		f := &follower{
			log: slowLog{transfer: 1800 * time.Millisecond}, events: noEvents{}, now: time.Now, adaptsTimeout: true,
			apply: func(records []keyedlog.Record) {
				if len(records) > 0 {
					read = time.Since(began)
				}
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		f.run(ctx)
		if read == 0 || read > 4*time.Second {
			t.Errorf("a record of 1.8 s was read after %s", read)
		}
	})
}
