//go:build !linux

package forward

import (
	"context"
	"syscall"
)

// setUserTimeout does nothing: TCP_USER_TIMEOUT exists on Linux only.
func setUserTimeout(context.Context, string, string, syscall.RawConn) error { return nil }
