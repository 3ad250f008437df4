//go:build !linux

package forward

import (
	"context"
	"syscall"
)

// setSocketOptions leaves the options to the system.
func setSocketOptions(context.Context, string, string, syscall.RawConn) error { return nil }
