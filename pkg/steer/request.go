package steer

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/placing"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Limits of callers until the tables are known, and where the tables set none.
const (
	maxHead     = 64 << 10
	headTimeout = 5 * time.Second
	// callerIdle is longer than any idle timeout of the tables, so that a
	// connection is not closed while a caller still counts on it.
	callerIdle = 60 * time.Second
	// answerSlack is how long after the deadline that the server was given its
	// own answer is awaited.
	answerSlack = 60 * time.Millisecond
)

// exchange is one request on its way through the filters.
type exchange struct {
	w       http.ResponseWriter
	in      *http.Request
	id      string
	started time.Time
	table   *fleet.Table
	route   *fleet.Route
	// deadline is when the answer is due: the sooner of the caller's deadline
	// and the route's timeout.
	deadline time.Time
	pool     *pool
	need     placing.Need
	body     *forward.Body

	placed   placed
	attempts int
	waited   time.Duration
	// failed is set once an attempt may have run without an answer for the caller.
	failed bool
}

// serveRequest is the handler of callers' requests: receive, route, place,
// forward, reply.
func (h *Host) serveRequest(w http.ResponseWriter, r *http.Request) {
	x := &exchange{w: w, in: r, started: time.Now()}
	h.held.Add(1)
	defer h.held.Add(-1)
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	answer, err := h.handle(x)
	if err != nil {
		h.reject(x, err)
		return
	}
	defer answer.Close()
	if _, err := answer.CopyTo(w); err != nil {
		h.log.request(x, http.StatusOK, err)
		// The answer must not look complete.
		panic(http.ErrAbortHandler)
	}
	h.log.request(x, answer.Status, nil)
	h.metrics.observe(x, answer.Status, result.OK)
}

func (h *Host) handle(x *exchange) (*forward.Answer, *result.Error) {
	for _, filter := range []func(*exchange) *result.Error{h.receive, h.routeRequest, h.checkOverload, h.checkEnd, h.readBody} {
		if err := filter(x); err != nil {
			return nil, err
		}
	}
	defer x.body.Close()
	return h.send(x)
}

// receive checks the head of the request.
func (h *Host) receive(x *exchange) *result.Error {
	x.id = x.in.Header.Get(h.names.Headers.RequestID)
	if x.table = h.table.Load(); x.table == nil {
		return result.New(result.TableNotLoadedYet, "no tables are in force yet").WithRetryAfter(returnAfter(time.Second))
	}
	if limit := x.table.Limits.HeadBytes; limit > 0 {
		if err := forward.CheckHead(x.in, limit); err != nil {
			return err
		}
	}
	return nil
}

// routeRequest finds route, pool and deadline.
func (h *Host) routeRequest(x *exchange) *result.Error {
	host := x.in.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if x.route = x.table.Match(host, x.in.URL.Path); x.route == nil {
		return result.New(result.NoRoute, "no route of version %d matches %q", x.table.Version, host+x.in.URL.Path)
	}
	left := x.route.Timeout
	if text := x.in.Header.Get(h.names.Headers.Deadline); text != "" {
		ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		if err != nil || ms <= 0 {
			return result.New(result.BadDeadline, "%s: %q is not a positive number of milliseconds", h.names.Headers.Deadline, text)
		}
		if own := time.Duration(ms) * time.Millisecond; left <= 0 || own < left {
			left = own
		}
	}
	if left <= 0 {
		left = defaultTimeout
	}
	x.deadline = x.started.Add(left)
	target := h.splits.next(x.route)
	if x.pool = h.pool(target); x.pool == nil {
		return result.New(result.NoHealthyServer, "pool %q is not known", target).WithRetryAfter(returnAfter(x.route.TargetLatency))
	}
	key := ""
	if x.route.Sticky {
		key = h.names.AffinityKey(x.in)
	}
	if key == "" {
		key = x.id
	}
	x.need = placing.Need{
		Key: key, Route: x.route.Name, Idempotent: x.route.Idempotent, Target: x.route.TargetLatency,
		Priority: x.route.Priority, Regions: x.route.Homes,
	}
	return nil
}

// checkEnd rejects a request that may outlast this process.
func (h *Host) checkEnd(x *exchange) *result.Error {
	if ends := h.ends.Load(); ends != nil && x.deadline.After(*ends) {
		return result.New(result.ShuttingDown, "this host stops before the request's deadline").WithRetryAfter(returnAfter(acceptTime))
	}
	return nil
}

// defaultTimeout applies to requests without any deadline.
const defaultTimeout = 30 * time.Second

// readBody reads the first part of the body before a server is chosen, so that
// a slow caller holds no slot.
func (h *Host) readBody(x *exchange) *result.Error {
	limit := x.table.Limits.BodyBytes
	defer forward.GuardBody(x.w, x.in, forward.Limits{})()
	body, err := forward.OpenBody(x.in, limit)
	if err != nil {
		return err
	}
	x.body = body
	return nil
}

// send places the request and forwards it, to another server if the first did
// not run it, or failed and the request may run again.
func (h *Host) send(x *exchange) (*forward.Answer, *result.Error) {
	x.pool.countRequest(x.need, h.peers.count())
	var last *result.Error // of the send before
	for {
		got, err := h.acquire(x.in.Context(), x.pool, x.need, x.deadline, x.attempts == 0)
		x.waited += got.waited
		if err != nil {
			return nil, x.final(err, last)
		}
		x.placed = got
		answer, err := h.attempt(x)
		if err == nil && !x.route.Idempotent && promisesNotRun(answer.Status) {
			// The server ran the request and did not say otherwise.
			answer.Close()
			return nil, result.New(result.BadAnswer, "server %s ran the request and answered with status %d", got.choice.Server.ID, answer.Status).
				WithRun(result.Run)
		}
		if err == nil && !h.repeatable(x, answer) {
			return answer, nil
		}
		if !h.mayRepeat(x, err) {
			if err == nil {
				return answer, nil
			}
			return nil, x.final(err, nil)
		}
		if err == nil {
			err = result.New(result.BadAnswer, "server %s answered with status %d", got.choice.Server.ID, answer.Status).WithRun(result.Run)
			answer.Close()
		}
		x.failed = x.failed || err.Run != result.NotRun
		x.need.Exclude = append(x.need.Exclude, got.choice.Server.ID)
		last = err
	}
}

// attempt sends the request to the chosen server.
func (h *Host) attempt(x *exchange) (*forward.Answer, *result.Error) {
	x.attempts++
	sent := time.Now()
	answer, err := h.forward.Do(x.in.Context(), forward.Request{
		In: x.in, Server: x.placed.choice.Server.Address, Once: !x.route.Idempotent, Idempotent: x.route.Idempotent,
		RequestID: x.id, ExpectServer: x.placed.choice.Server.ID, DeadlineAt: x.deadline, AnswerSlack: answerSlack, Body: x.body,
	})
	took := time.Since(sent)
	h.release(x.pool, x.placed, x.need, h.endingOf(answer, err, took))
	h.metrics.sends.WithLabelValues(x.route.Name, codeName(err)).Inc()
	if err != nil {
		h.log.attempt(x, took, err)
		return nil, err
	}
	return answer, nil
}

// endingOf describes the end of a send, with the load that the server told.
func (h *Host) endingOf(a *forward.Answer, err *result.Error, took time.Duration) placing.Ending {
	e := placing.Ending{Outcome: outcomeOf(a, err), Took: took}
	if err == nil {
		// A malformed load is worth as much as none.
		e.Running, e.Waiting, e.Loaded = parseLoad(a.Header.Get(h.names.ServerLoad))
	}
	return e
}

// parseLoad reads "running,waiting,slots".
func parseLoad(text string) (running, waiting int, ok bool) {
	parts := strings.Split(text, ",")
	if len(parts) < 2 {
		return 0, 0, false
	}
	running, err1 := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(parts[1]))
	return running, waiting, err1 == nil && err2 == nil
}

// repeatable reports whether an answer is a failure of the server that another
// server may do better.
func (h *Host) repeatable(x *exchange, a *forward.Answer) bool {
	return x.route.Idempotent && a.Status >= http.StatusInternalServerError
}

// mayRepeat decides whether the request goes to another server after err, or
// after a failed answer if err is nil.
func (h *Host) mayRepeat(x *exchange, err *result.Error) bool {
	notRun := err != nil && err.Run == result.NotRun
	switch {
	case x.in.Context().Err() != nil || x.attempts >= x.route.MaxAttempts || time.Now().After(x.deadline):
		return false
	case err != nil && (err.Code == result.CallerGone || err.Code == result.BodyTooLarge || err.Code == result.BadRequest || err.Code == result.DeadlineExpired):
		return false
	case !notRun && !x.route.Idempotent:
		return false
	case !x.body.Replayable():
		return false
	}
	return x.pool.takeRepeat(h.peers.count())
}

// outcomeOf translates the end of an attempt.
func outcomeOf(a *forward.Answer, err *result.Error) placing.Outcome {
	switch {
	case err == nil && a.Status >= http.StatusInternalServerError:
		return placing.Failed
	case err == nil:
		return placing.Answered
	}
	switch err.Code {
	case result.ServerShed:
		return placing.Shed
	case result.WrongServer:
		return placing.Misdirected
	case result.ConnectFailed:
		return placing.Unreachable
	case result.CallerGone:
		return placing.Abandoned
	}
	return placing.Failed
}

// final returns the error for the caller: that of the last send, if the request
// could not be placed again, with a run state that covers all sends.
func (x *exchange) final(err, last *result.Error) *result.Error {
	if last != nil && err.Code != result.CallerGone {
		err = last
	}
	if x.failed && err.Run == result.NotRun {
		err = err.WithRun(result.Unknown)
	}
	if err.Run == result.NotRun && err.RetryAfter == 0 {
		err = err.WithRetryAfter(returnAfter(x.route.TargetLatency))
	}
	return err
}

func codeName(err *result.Error) string {
	if err == nil {
		return result.OK.Name()
	}
	return err.Code.Name()
}
