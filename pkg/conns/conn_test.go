package conns

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waitTimeout is longer than any step of a test takes.
const waitTimeout = 10 * time.Second

// acceptCaller returns both ends of a connection, as the host accepts it and as the
// caller has it.
func acceptCaller(t *testing.T) (accepted, caller net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	caller, err = net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err = NewListener(l, Config{MaxConns: 1}).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return accepted, caller
}

// Guards against a wrapped connection that net/http cannot half-close: a caller that is
// still sending its body would have its connection reset before it has read the answer.
func TestConnHalfCloses(t *testing.T) {
	accepted, caller := acceptCaller(t)
	require.NoError(t, accepted.(interface{ CloseWrite() error }).CloseWrite())
	require.NoError(t, caller.SetDeadline(time.Now().Add(waitTimeout)))
	_, err := caller.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	_, err = io.WriteString(caller, "still open")
	require.NoError(t, err)
	n, err := accepted.Read(make([]byte, 100))
	require.NoError(t, err)
	require.Equal(t, len("still open"), n)
}

// Guards against a close of an idle connection that is not called off when a request
// has arrived that nobody has read yet, and against a read deadline that outlasts the
// close that was called off.
func TestRequestThatCrossesAClose(t *testing.T) {
	accepted, caller := acceptCaller(t)
	c := accepted.(*Conn)
	require.False(t, c.closeIfIdle(), "nothing has arrived yet")
	c.setIdle()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err := io.WriteString(caller, "first")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return hasUnreadData(c.Conn) }, waitTimeout, time.Millisecond)
	require.True(t, c.closeIfIdle())
	b := make([]byte, 100)
	n, err := c.Read(b)
	require.NoError(t, err)
	require.Equal(t, "first", string(b[:n]))
	require.False(t, c.closeIfIdle(), "a request is in progress")
	// The deadline of the close no longer holds.
	time.AfterFunc(20*time.Millisecond, func() { _, _ = io.WriteString(caller, "second") })
	n, err = c.Read(b)
	require.NoError(t, err)
	require.Equal(t, "second", string(b[:n]))
	c.setIdle()
	require.True(t, c.closeIfIdle())
	_, err = c.Read(b)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
