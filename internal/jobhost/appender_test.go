package jobhost

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/coordination/owner"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// lossyLog accepts appends but does not answer the next lose of them.
type lossyLog struct {
	Log
	fenced bool

	mu        sync.Mutex
	lose      int
	sequences []int64
}

func (l *lossyLog) Append(ctx context.Context, _ keyedlog.Partition, _ []keyedlog.Record, producer *keyedlog.Producer) error {
	l.mu.Lock()
	l.sequences = append(l.sequences, producer.Sequence)
	loses := l.lose > 0
	if loses {
		l.lose--
	}
	l.mu.Unlock()
	if l.fenced {
		return keyedlog.ErrFenced
	}
	if loses {
		<-ctx.Done()
		return verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "no answer")
	}
	time.Sleep(4 * time.Millisecond)
	return nil
}

type noEvents struct{}

func (noEvents) Event(string, ...any) {}

func newTestAppender(log Log) *appender {
	h := &JobHost{platform: Platform{Log: log}, metrics: newMetrics(), events: noEvents{}}
	h.keeper = owner.New(nil, nil, noEvents{}, time.Now, keyedlog.JoinRequest{})
	return newAppender(h, keyedlog.Partition{Topic: TopicJobs}, 1)
}

// TestLostAnswerHoldsUpLittle guards against a lost answer delaying later appends: after
// one lost answer, and after two, the same append must be sent again soon, under the same
// sequence number.
func TestLostAnswerHoldsUpLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &lossyLog{lose: 1}
		a := newTestAppender(log)
		for _, limit := range []time.Duration{100 * time.Millisecond, 10 * time.Millisecond, 200 * time.Millisecond} {
			began := time.Now()
			if err := a.append(t.Context(), nil); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(began); took > limit {
				t.Errorf("an append took %s; want at most %s", took, limit)
			}
			if limit == 10*time.Millisecond {
				log.lose = 2
			}
		}
		if diff := cmp.Diff([]int64{0, 0, 1, 2, 2, 2}, log.sequences); diff != "" {
			t.Errorf("sequence numbers (-want +got):\n%s", diff)
		}
	})
}

// TestFencedAppend checks that an append fails at once with ErrFenced when a later owner
// has written, and is not retried.
func TestFencedAppend(t *testing.T) {
	a := newTestAppender(&lossyLog{fenced: true})
	if err := a.append(t.Context(), nil); !errors.Is(err, keyedlog.ErrFenced) {
		t.Errorf("error %v; want %v", err, keyedlog.ErrFenced)
	}
}
