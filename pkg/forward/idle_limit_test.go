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

// dropAfterIdle answers each request after workTime. A request on a connection
// that was idle for at least minIdle gets no answer: the connection is closed
// after dropDelay.
func dropAfterIdle(minIdle, workTime, dropDelay time.Duration) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, r *bufio.Reader) {
		for last := time.Now(); ; last = time.Now() {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if time.Since(last) >= minIdle {
				time.Sleep(dropDelay)
				return
			}
			time.Sleep(workTime)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// Guards against writes that are lost, one after another, on connections that
// servers have dropped without notice.
func TestWritesAvoidForgottenConnections(t *testing.T) {
	const idle = 300 * time.Millisecond
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		env.script("b", dropAfterIdle(idle, 20*time.Millisecond, 0))
		_, err := env.get("/", time.Second)
		require.Nil(t, err)
		time.Sleep(idle)
		_, err = env.get("/", time.Second)
		require.NotNil(t, err, "the connection was dropped")
		for range 10 {
			_, err = env.post()
			require.Nil(t, err)
			time.Sleep(idle)
		}
	})
	// A server that loses an answer after running the request has not dropped
	// idle connections, so the limit stays as it is.
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		env.script("b", dropAfterIdle(idle, 20*time.Millisecond, 100*time.Millisecond))
		_, err := env.get("/", time.Second)
		require.Nil(t, err)
		time.Sleep(idle)
		_, err = env.get("/", time.Second)
		require.NotNil(t, err, "the answer was lost")
		_, err = env.post()
		require.Nil(t, err)
		time.Sleep(idle - time.Millisecond)
		a, err := env.post()
		require.Nil(t, err)
		require.True(t, a.Reused)
	})
}

// Guards against a lowered limit that never expires.
func TestRestLimitEnds(t *testing.T) {
	var l learnedIdleLimit
	now := time.Unix(0, 0)
	require.Equal(t, time.Second, l.clamp(now, time.Second))
	l.recordDropped(now, minIdleLimit-1)
	require.Equal(t, time.Second, l.clamp(now, time.Second), "the idle time was too short to be the cause")
	l.recordDropped(now, 400*time.Millisecond)
	l.recordDropped(now, 900*time.Millisecond)
	require.Equal(t, 200*time.Millisecond, l.clamp(now.Add(idleLimitLifetime-1), time.Second))
	require.Equal(t, time.Second, l.clamp(now.Add(idleLimitLifetime), time.Second))
}
