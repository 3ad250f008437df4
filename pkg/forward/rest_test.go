package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// forgetful answers requests after work and drops, after the time reset, the
// first request on a connection that has rested for at least rest.
func forgetful(rest, work, reset time.Duration) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, r *bufio.Reader) {
		for last := time.Now(); ; last = time.Now() {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if time.Since(last) >= rest {
				time.Sleep(reset)
				return
			}
			time.Sleep(work)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// TestWritesAvoidForgottenConnections guards against writes that are lost, one
// after the other, on connections that servers have forgotten.
func TestWritesAvoidForgottenConnections(t *testing.T) {
	const rest = 300 * time.Millisecond
	bubble(t, Config{}, func(t *testing.T, l *lab) {
		l.script("b", forgetful(rest, 20*time.Millisecond, 0))
		_, err := l.get("/", time.Second)
		require.Nil(t, err)
		time.Sleep(rest)
		_, err = l.get("/", time.Second)
		require.NotNil(t, err, "the connection was forgotten")
		for range 10 {
			_, err = l.post()
			require.Nil(t, err)
			time.Sleep(rest)
		}
	})
	// A server that loses answers after its work has not forgotten connections.
	bubble(t, Config{}, func(t *testing.T, l *lab) {
		l.script("b", forgetful(rest, 20*time.Millisecond, 100*time.Millisecond))
		_, err := l.get("/", time.Second)
		require.Nil(t, err)
		time.Sleep(rest)
		_, err = l.get("/", time.Second)
		require.NotNil(t, err, "the answer was lost")
		_, err = l.post()
		require.Nil(t, err)
		time.Sleep(rest - time.Millisecond)
		a, err := l.post()
		require.Nil(t, err)
		require.True(t, a.Reused)
	})
}

// TestRestLimitEnds guards against a limit that stays after its cause.
func TestRestLimitEnds(t *testing.T) {
	var l restLimit
	now := time.Unix(0, 0)
	require.Equal(t, time.Second, l.atMost(now, time.Second))
	l.forgotten(now, restLeast-1)
	require.Equal(t, time.Second, l.atMost(now, time.Second), "the rest was too short to be the reason")
	l.forgotten(now, 400*time.Millisecond)
	l.forgotten(now, 900*time.Millisecond)
	require.Equal(t, 200*time.Millisecond, l.atMost(now.Add(restMemory-1), time.Second))
	require.Equal(t, time.Second, l.atMost(now.Add(restMemory), time.Second))
}
