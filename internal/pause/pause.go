// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// For sleeps for d. It returns the error of ctx as soon as ctx ends.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
