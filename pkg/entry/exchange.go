// Package entry is the entry host daemon. A request passes through a chain of
// filters, each in a file of its name: reply, receive, route, once, retry,
// hedge, admit, domain, server, forward and verify. Control work shared with
// other entry hosts is in the other files.
package entry

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/retry"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/slots"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// Exchange is one request on its way through the filters.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request
	// ID identifies the request in logs and towards the backend server.
	ID      string
	Started time.Time
	// Relay is set if the request came from another entry host.
	Relay *forward.RelayInfo
	// Route, Rank, Group and Deadline are set by the route filter.
	Route    tables.Route
	Rank     int
	Group    string
	Deadline time.Time
	// Keyed is set by the once filter when the request has an idempotency key.
	Keyed bool
	// Tries counts the attempts; tried lists the servers that failed.
	Tries int
	tried []string
	// body is the caller's body, opened by the retry filter.
	body *forward.Body
	// Answered is set once the head of an answer was written to the caller.
	Answered bool
	Status   int
	// attempt is the present attempt, or the last one.
	*attempt
}

// attempt is the state of one attempt to run a request.
type attempt struct {
	// verdict is the dispatcher's decision.
	verdict verdict
	slotID  uint64
	pool    *pool
	// Domain and Server say where the attempt runs.
	Domain string
	Server string
	answer *forward.Answer
	// sentAt is when the attempt was sent to the server.
	sentAt      time.Time
	answerBytes int64
	// again is the decision about the next attempt, once it was taken.
	again *retry.Decision
	// beside is set in a hedge: the server that has the request already.
	beside string
	// onSend, if set, is called right before the attempt is sent to a backend
	// server.
	onSend func()
	// claim, if set, reports whether the attempt may answer the caller.
	claim func() bool
	// overtaken is set when a hedge of this attempt answers the caller.
	overtaken atomic.Bool
}

func newExchange(w http.ResponseWriter, r *http.Request) *Exchange {
	return &Exchange{Writer: w, Request: r, ID: newRequestID(), Started: time.Now(), attempt: &attempt{}}
}

// fork returns an exchange of the same request for another attempt.
func (ex *Exchange) fork() *Exchange {
	x := *ex
	x.attempt = &attempt{}
	x.tried = slices.Clone(ex.tried)
	return &x
}

// adopt takes over the end of a forked exchange.
func (ex *Exchange) adopt(x *Exchange) {
	ex.attempt, ex.Answered, ex.Status = x.attempt, x.Answered, x.Status
}

// relayed reports whether the request came from another entry host.
func (ex *Exchange) relayed() bool { return ex.Relay != nil }

// Handler processes an exchange. The error is a *result.Error.
type Handler func(context.Context, *Exchange) error

// Filter wraps the next handler of the chain.
type Filter func(next Handler) Handler

// chain joins filters; the first one sees the request first.
func chain(filters ...Filter) Handler {
	h := Handler(func(context.Context, *Exchange) error { return nil })
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// outcome describes the end of an attempt for the dispatcher.
func (ex *Exchange) outcome(err *result.Error, now time.Time) slots.Outcome {
	o := slots.Outcome{Kind: slots.OK}
	if !ex.sentAt.IsZero() {
		o.Service = now.Sub(ex.sentAt)
	}
	switch {
	case err == nil && ex.Status >= http.StatusInternalServerError:
		o.Kind = slots.Failed
	case err == nil:
	case ex.overtaken.Load() && ex.answer == nil:
		// Otherwise a server that hangs would never be ejected, because all its
		// requests end by cancellation.
		o.Kind = slots.Timeout
	case err.Code == result.ServerShed:
		o.Kind = slots.Shed
	case err.Code == result.DeadlineRunning:
		o.Kind = slots.Timeout
	case isServerFault(err.Code):
		o.Kind = slots.Failed
	default:
		o.Kind = slots.Unused
	}
	return o
}

// isServerFault reports whether a code speaks against the backend server.
func isServerFault(c result.Code) bool {
	switch c {
	case result.ConnectFailed, result.NoAnswer, result.TruncatedAnswer, result.BadAnswer:
		return true
	}
	return false
}
