package jobhost

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// pagedLog has pages of one key, each of which takes a time to transfer.
type pagedLog struct {
	Log
	pages    int
	transfer time.Duration
	// lost is the call that gets no answer.
	lost  int
	calls int
}

func (l *pagedLog) Newest(ctx context.Context, _ keyedlog.Partition, after string) (keyedlog.Page, error) {
	l.calls++
	transfer := l.transfer
	if l.calls == l.lost {
		transfer = time.Hour
	}
	if err := pause.For(ctx, transfer); err != nil {
		return keyedlog.Page{}, verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the log did not answer in time")
	}
	number := 0
	if after != "" {
		_, _ = fmt.Sscanf(after, "key-%d", &number)
	}
	return keyedlog.Page{Records: []keyedlog.Record{{Key: fmt.Sprintf("key-%02d", number+1)}}, More: number+1 < l.pages, End: int64(l.calls)}, nil
}

func TestLargePartitionIsReadOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pages, transfer, lost = 8, time.Second, 5
		log, began := &pagedLog{pages: pages, transfer: transfer, lost: lost}, time.Now()
		r := &newestReader{log: log}
		batch, err := r.read(t.Context())
		for err != nil && time.Since(began) < time.Minute {
			batch, err = r.read(t.Context())
		}
		if len(batch.Records) != pages || batch.Next != 1 || log.calls != pages+1 {
			t.Errorf("%d records to be continued at %d after %d calls, %v; want %d, 1, %d", len(batch.Records), batch.Next, log.calls, err, pages, pages+1)
		}
		if took, want := time.Since(began), pages*transfer+minPageTimeout; took != want {
			t.Errorf("the load took %s; want %s", took, want)
		}
	})
}
