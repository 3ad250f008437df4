//go:build !linux

package forward

import "syscall"

// setUserTimeout does nothing: TCP_USER_TIMEOUT exists on Linux only.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
