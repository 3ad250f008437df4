// Package wait has waits that a context can end.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx was still live at its end.
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
