package hedge

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

const wait = 60 * time.Millisecond

var errRefused = errors.New("refused")

// answer is what becomes of one call; a call without a delay gets no answer.
type answer struct {
	delay time.Duration
	err   error
}

// outcome is what Do returned and when, and when each call began.
type outcome struct {
	Number int
	Failed bool
	Took   time.Duration
	Began  []time.Duration
	// Open is how many calls ran when Do returned.
	Open int
}

func play(ctx context.Context, answers ...answer) outcome {
	began := time.Now()
	var o outcome
	var mu sync.Mutex
	open := func(change int) {
		mu.Lock()
		defer mu.Unlock()
		if o.Open += change; change > 0 {
			o.Began = append(o.Began, time.Since(began))
		}
	}
	number, err := Do(ctx, wait, func(ctx context.Context, number int) (int, error) {
		open(1)
		defer open(-1)
		if a := answers[number]; a.delay > 0 {
			select {
			case <-time.After(a.delay):
				return number, a.err
			case <-ctx.Done():
			}
		}
		<-ctx.Done()
		return 0, ctx.Err()
	})
	o.Number, o.Failed, o.Took = number, err != nil, time.Since(began)
	return o
}

func TestDo(t *testing.T) {
	const soon, ms = 4 * time.Millisecond, time.Millisecond
	lost := answer{}
	for name, c := range map[string]struct {
		answers []answer
		want    outcome
	}{
		"an answer in time":             {[]answer{{delay: soon}}, outcome{Took: soon, Began: []time.Duration{0}}},
		"a failure is not repeated":     {[]answer{{soon, errRefused}}, outcome{Took: soon, Failed: true, Began: []time.Duration{0}}},
		"one lost answer":               {[]answer{lost, {delay: soon}}, outcome{Number: 1, Took: 64 * ms, Began: []time.Duration{0, 60 * ms}}},
		"two lost answers":              {[]answer{lost, lost, {delay: soon}}, outcome{Number: 2, Took: 184 * ms, Began: []time.Duration{0, 60 * ms, 180 * ms}}},
		"a slow answer counts":          {[]answer{{delay: 200 * ms}, {delay: 200 * ms}, lost}, outcome{Took: 200 * ms, Began: []time.Duration{0, 60 * ms, 180 * ms}}},
		"a failure ends the other call": {[]answer{lost, {soon, errRefused}}, outcome{Number: 1, Failed: true, Took: 64 * ms, Began: []time.Duration{0, 60 * ms}}},
		"all answers lost":              {[]answer{lost, lost, lost, lost}, outcome{Failed: true, Took: 500 * ms, Began: []time.Duration{0, 60 * ms, 180 * ms, 360 * ms}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 500*ms)
				defer cancel()
				if diff := cmp.Diff(c.want, play(ctx, c.answers...)); diff != "" {
					t.Errorf("outcome (-want +got):\n%s", diff)
				}
			})
		})
	}
}
