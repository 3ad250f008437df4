// Package api defines the HTTP headers and JSON documents that callers,
// operators, backend servers and entry hosts exchange.
package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Names of HTTP headers.
const (
	// HeaderRequestID identifies one request; backend servers echo it.
	HeaderRequestID = "Tamarackswitch-Request-Id"
	// HeaderDeadline holds the time left until the deadline, in milliseconds.
	HeaderDeadline = "Tamarackswitch-Deadline-Ms"
	// HeaderRun holds the run state of a refusal: whether the request was run.
	HeaderRun = "Tamarackswitch-Run"
	// HeaderCode holds the result code of a refusal.
	HeaderCode = "Tamarackswitch-Code"
	// HeaderKey holds the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderReplayed is "true" in a stored answer that is returned for a repeated
	// idempotency key.
	HeaderReplayed = "Tamarackswitch-Replayed"
	// HeaderVia holds the name of the entry host that answered.
	HeaderVia = "Tamarackswitch-Via"
)

// LookupPath is the path where callers ask which entry hosts to use.
const LookupPath = "/v1/lookup"

// LookupHost is an entry host in a look-up answer.
type LookupHost struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Address is where the host accepts look-ups and requests of callers, as
	// IP:port.
	Address string `json:"address"`
	// KeyPrefix is the prefix of the idempotency keys that this host owns; empty
	// if the answering host does not know it.
	KeyPrefix string `json:"key_prefix"`
}

// LookupAnswer is the answer to GET /v1/lookup.
type LookupAnswer struct {
	// Domain is the failure domain selected for the client by its address.
	Domain string `json:"domain"`
	// Hosts lists entry hosts in order of preference. Some may belong to other
	// failure domains than Domain.
	Hosts []LookupHost `json:"hosts"`
	// CacheMS is how long the answer may be cached, in milliseconds.
	CacheMS int64 `json:"cache_ms"`
	// RoutesVersion and PoolsVersion are the versions of the tables in force at the
	// answering host.
	RoutesVersion int64 `json:"routes_version"`
	PoolsVersion  int64 `json:"pools_version"`
}

// Refusal is the JSON body of an answer by which an entry host refuses a request
// or reports its failure.
type Refusal struct {
	Code result.Code `json:"code"`
	// Name is the short name of Code, such as "queue-full".
	Name    string `json:"name"`
	Message string `json:"message"`
	// Run says whether the request was run.
	Run result.RunState `json:"run"`
	// RetryAfterMS is the time to wait before another attempt, in milliseconds; 0
	// means that none is given.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
}

// Err returns the refusal as an error. It does not validate the run state.
func (r Refusal) Err() *result.Error {
	return result.New(r.Code, "%s", r.Message).WithRun(r.Run).
		WithRetryAfter(time.Duration(r.RetryAfterMS) * time.Millisecond)
}

// WriteRefusal answers a request with err as a Refusal and sets the matching
// headers. The Retry-After header is in seconds, rounded up. requestID may be
// empty.
func WriteRefusal(w http.ResponseWriter, requestID string, err *result.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCode, strconv.Itoa(int(err.Code)))
	h.Set(HeaderRun, string(err.Run))
	h.Del("Content-Length")
	if err.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((err.RetryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(err.Code.HTTPStatus())
	_ = json.NewEncoder(w).Encode(Refusal{
		Code: err.Code, Name: err.Code.Name(), Message: err.Message, Run: err.Run,
		RetryAfterMS: err.RetryAfter.Milliseconds(), RequestID: requestID,
	})
}

// WriteJSON answers a request with an HTTP status and a JSON document.
func WriteJSON(w http.ResponseWriter, status int, doc any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(doc)
}
