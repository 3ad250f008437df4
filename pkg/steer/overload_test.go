package steer

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a host with too little processor time whose requests wait unread
// until their callers have left. The host must reject requests while its lateness
// is over the limit, and serve them again once it is not.
func TestOverloadedHostRejects(t *testing.T) {
	h, servers, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": answerOK})
	recordLateReads := func() {
		for range 50 {
			h.guard.Measure(time.Now(), time.Second)
		}
	}
	h.guard.SetFull(time.Millisecond)
	recordLateReads()
	status, header, body := sendRequest(t, h, "GET", "/safe/x")
	require.Equal(t, http.StatusServiceUnavailable, status, body)
	require.Contains(t, body, `"code":2009`)
	require.Contains(t, body, `"run":"not-run"`)
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Zero(t, servers["s1"].count())
	require.True(t, h.ready(), "an overloaded host stays ready, so that callers come back")

	h.guard.SetFull(waitTimeout)
	recordLateReads()
	status, _, body = sendRequest(t, h, "GET", "/safe/x")
	require.Equal(t, http.StatusOK, status, body)
}

// Guards against a lateness measurement that stops, so that the mean keeps an old
// value, and against one that does not follow the actual read latency.
func TestLatenessIsMeasured(t *testing.T) {
	h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": answerOK})
	for range 50 {
		h.guard.Measure(time.Now(), time.Second)
	}
	before := h.guard.Lateness()
	require.Eventually(t, func() bool { return h.guard.Lateness() < before/4 }, waitTimeout, time.Millisecond)
}
