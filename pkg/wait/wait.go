// Package wait provides a delay that ends early when a context is done.
package wait

import (
	"context"
	"time"
)

// For waits until d has passed or ctx is done, and reports whether d passed
// first.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
