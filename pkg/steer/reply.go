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

// statusOf returns the HTTP status for err. Statuses 408, 421, 429 and 503
// promise that the request was not run, so only such errors get them.
func statusOf(err *result.Error) int {
	status := err.Code.HTTPStatus()
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if err.Run != result.NotRun {
			return http.StatusBadGateway
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		if err.Run == result.NotRun {
			return http.StatusServiceUnavailable
		}
	}
	return status
}
