package forward

import (
	"context"
	"syscall"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, in milliseconds.
const tcpUserTimeout = 0x12

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent data may
// stay unacknowledged, unless the connection is for an upload. Linux applies it to a
// peer whose receive window is full, too, although that acknowledges what it is sent.
func setUserTimeout(ctx context.Context, _, _ string, c syscall.RawConn) error {
	if conn, ok := ctx.Value(connContextKey{}).(*conn); ok && conn.upload {
		return nil
	}
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
