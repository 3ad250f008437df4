package steer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a limit on the time for a long body as a whole: a caller that sends it
// slowly, but steadily, has to be served, by a host that holds only its beginning.
func TestLongBodyThatArrivesSlowly(t *testing.T) {
	const parts, part = 10, 10_000
	received := make(chan int, 1)
	h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received <- len(body)
		answerOK(w, r)
	}})
	c, err := net.Dial("tcp4", h.cfg().Listen.Caller)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /long-once/x HTTP/1.1\r\nHost: a.example\r\nReq-Id: r1\r\nContent-Length: %d\r\n\r\n", parts*part)
	require.NoError(t, err)
	for range parts {
		_, err = io.WriteString(c, strings.Repeat("b", part))
		require.NoError(t, err)
		time.Sleep(150 * time.Millisecond)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer := make([]byte, len("HTTP/1.1 200"))
	_, err = io.ReadFull(c, answer)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200", string(answer))
	require.Equal(t, parts*part, <-received)
}
