package steer

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// returnLeast is the shortest advice to come back.
const returnLeast = 100 * time.Millisecond

// returnAfter returns when a rejected caller may come back: within the time in
// which a pool answers the requests that it holds, spread so that callers do
// not return together.
func returnAfter(target time.Duration) time.Duration {
	return returnLeast + rand.N(max(target, returnLeast))
}

// reject answers with an error of this host.
func (h *Host) reject(x *exchange, err *result.Error) {
	status := statusOf(err)
	h.log.request(x, status, err)
	h.metrics.observe(x, status, err.Code)
	if err.Code == result.CallerGone {
		panic(http.ErrAbortHandler)
	}
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	if err.Run == result.NotRun && err.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 3, 64))
	}
	x.w.WriteHeader(status)
	body := struct {
		Code int             `json:"code"`
		Name string          `json:"name"`
		Run  result.RunState `json:"run"`
	}{int(err.Code), err.Code.Name(), err.Run}
	// An error means that the caller left; there is nobody to tell.
	_ = json.NewEncoder(x.w).Encode(body)
}

// promisesNotRun reports whether a status tells callers that the request was not
// run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// statusOf returns the HTTP status for err. Only errors of requests that were
// not run get a status that promises it.
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
