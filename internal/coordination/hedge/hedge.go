// Package hedge repeats calls that have no answer yet without giving up the earlier ones, so that
// a lost answer delays little and a slow one still counts. The calls must be idempotent.
package hedge

import (
	"context"
	"sync"
	"time"
)

// repeats is how many times a call without an answer is repeated.
const repeats = 3

type result[T any] struct {
	value T
	err   error
}

// Do makes a call with the number 0. As long as no call has returned, it makes the next one, with the
// next number: the first repeat after wait, and each later one after a pause that is longer by wait.
// It returns the first result and cancels the other calls; none of them runs any more then.
func Do[T any](ctx context.Context, wait time.Duration, call func(ctx context.Context, number int) (T, error)) (T, error) {
	results := make(chan result[T], 1+repeats)
	var open sync.WaitGroup
	defer open.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for number := 0; ; number++ {
		open.Go(func() {
			value, err := call(ctx, number)
			results <- result[T]{value, err}
		})
		var repeat <-chan time.Time
		if number < repeats {
			repeat = time.After(time.Duration(number+1) * wait)
		}
		select {
		case r := <-results:
			return r.value, r.err
		case <-repeat:
		}
	}
}
