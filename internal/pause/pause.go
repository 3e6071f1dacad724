// Package pause waits for a time or for the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits for d, or fails as soon as ctx ends.
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
