package forward

import (
	"context"
	"syscall"
)

const (
	// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, in milliseconds.
	tcpUserTimeout = 0x12
	// serverReceiveBytes bounds what a server may send ahead of a caller that reads slowly;
	// the kernel doubles it. It counts as memory of the process.
	serverReceiveBytes = 64 << 10
)

// setSocketOptions bounds the receive buffer and sets TCP_USER_TIMEOUT, which bounds how long
// sent data may stay unacknowledged, unless the connection is for an upload. Linux applies it
// to a peer whose receive window is full, too, although that acknowledges what it is sent.
func setSocketOptions(ctx context.Context, _, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		// An error leaves the system's size.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, serverReceiveBytes)
		if conn, ok := ctx.Value(connContextKey{}).(*conn); ok && conn.upload {
			return
		}
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
