package steer

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that wait unread at a host without processor time
// until their callers have left: while it reads late, they are rejected, and
// once it does not, they are served again.
func TestOverloadedHostRejects(t *testing.T) {
	h, servers, _ := lab(t, map[string]http.HandlerFunc{"s1": ok})
	late := func() {
		for range 50 {
			h.guard.Measure(time.Now(), time.Second)
		}
	}
	h.guard.SetFull(time.Millisecond)
	late()
	status, header, body := get(t, h, "GET", "/safe/x")
	require.Equal(t, http.StatusServiceUnavailable, status, body)
	require.Contains(t, body, `"code":2009`)
	require.Contains(t, body, `"run":"not-run"`)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Zero(t, servers["s1"].count())
	require.True(t, h.ready(), "callers come back")

	h.guard.SetFull(patience)
	late()
	status, _, body = get(t, h, "GET", "/safe/x")
	require.Equal(t, http.StatusOK, status, body)
}

// Guards against a measurement that stops, and against one that does not see
// the time that a read takes.
func TestLatenessIsMeasured(t *testing.T) {
	h, _, _ := lab(t, map[string]http.HandlerFunc{"s1": ok})
	for range 50 {
		h.guard.Measure(time.Now(), time.Second)
	}
	before := h.guard.Late()
	require.Eventually(t, func() bool { return h.guard.Late() < before/4 }, patience, time.Millisecond)
}
