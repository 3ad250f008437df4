package forward

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a connection without the socket options that detect a silent
// peer, for example after the network has lost the state of the connection: only
// the deadline of a request would end its wait for an answer.
func TestSocketOptions(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	c, err := New(Config{}).cfg.Dial(t.Context(), "tcp", ln.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	rc, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, rc.Control(func(fd uintptr) {
		for _, o := range []struct{ option, want int }{
			{tcpUserTimeout, int(UserTimeout.Milliseconds())}, {syscall.TCP_KEEPIDLE, int(KeepAliveIdle.Seconds())},
			{syscall.TCP_KEEPINTVL, int(KeepAliveInterval.Seconds())}, {syscall.TCP_KEEPCNT, KeepAliveCount},
		} {
			got, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, o.option)
			require.NoError(t, err)
			require.Equal(t, o.want, got)
		}
	}))
}
