package steer

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// minRetryAfter is the shortest Retry-After time sent to callers.
const minRetryAfter = 100 * time.Millisecond

// retryAfter returns the Retry-After time for a rejected caller. It is spread at
// random over the target latency, in which a pool answers the requests that it
// holds, so that rejected callers do not retry at the same moment.
func retryAfter(targetLatency time.Duration) time.Duration {
	return minRetryAfter + rand.N(max(targetLatency, minRetryAfter))
}

// reject answers the caller with an error of this host.
func (h *Host) reject(x *exchange, err *result.Error) {
	status := statusOf(err)
	h.logRequest(x, status, err)
	h.metrics.observe(x, status, err.Code)
	if err.Code == result.CallerGone {
		// The caller has disconnected or its body is malformed: abort without an answer.
		panic(http.ErrAbortHandler)
	}
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	if err.Run == result.NotRun && err.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 3, 64))
	}
	// The error is nil because strings and numbers can always be encoded.
	body, _ := json.Marshal(struct {
		Code int             `json:"code"`
		Name string          `json:"name"`
		Run  result.RunState `json:"run"`
	}{int(err.Code), err.Code.Name(), err.Run})
	body = append(body, '\n')
	// net/http sets the length itself, unless the answer is sent before the rest of the
	// caller's body is read.
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body) // an error means that the caller closed its connection
}

// promisesNotRun reports whether callers may conclude from the HTTP status that
// the request was not run and is safe to repeat.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// statusOf returns the HTTP status for err. If the request may have run, a status
// that promises that it was not run is replaced by 502. If the request was not run,
// 502 and 504 are replaced by 503, which promises so.
func statusOf(err *result.Error) int {
	status := err.Code.HTTPStatus()
	switch {
	case promisesNotRun(status) && err.Run != result.NotRun:
		return http.StatusBadGateway
	case (status == http.StatusBadGateway || status == http.StatusGatewayTimeout) && err.Run == result.NotRun:
		return http.StatusServiceUnavailable
	}
	return status
}
