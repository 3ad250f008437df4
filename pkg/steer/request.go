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

// Limits of callers' connections. They apply from the start, before a table is
// loaded. A table may set a smaller limit for the request head.
const (
	// maxHeadBytes bounds the request line and headers.
	maxHeadBytes = 64 << 10
	// headTimeout is the time in which a caller must send the request line and
	// headers.
	headTimeout = 5 * time.Second
	// callerIdleTimeout is longer than any idle timeout in the tables, so that the
	// host does not close a keep-alive connection that a caller may still reuse.
	callerIdleTimeout = 60 * time.Second
	// deadlineAnswerSlack is how long after the deadline the host still waits for
	// the server, which is given the same deadline and answers when it expires.
	deadlineAnswerSlack = 60 * time.Millisecond
)

// exchange is the state of one caller request while it is processed.
type exchange struct {
	w             http.ResponseWriter
	callerRequest *http.Request
	requestID     string
	started       time.Time
	table         *fleet.Table
	// latestVersion is the version of the tables in force when the request ended.
	latestVersion int64
	host          string // without the port
	route         *fleet.Route
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	pool     *pool
	need     placing.Need
	body     *forward.Body // nil before it is read

	reservation reservation
	attempts    int           // sends to backend servers
	trace       forward.Trace // of the last send
	// waited is the time spent waiting for slots, summed over all attempts.
	waited time.Duration
	// mayHaveRun is set once a failed attempt may have run the request.
	mayHaveRun bool
}

// serveRequest handles a caller's request: it checks and routes it, reserves a
// slot at a backend server, forwards the request and relays the answer.
func (h *Host) serveRequest(w http.ResponseWriter, r *http.Request) {
	x := &exchange{w: w, callerRequest: r, started: time.Now()}
	h.held.Add(1)
	defer h.held.Add(-1)
	defer func() {
		if x.body != nil {
			x.body.Close()
		}
	}()
	answer, err := h.handle(x)
	if t := h.table.Load(); t != nil {
		x.latestVersion = t.Version
	}
	if h.leaving.Load() {
		// Also on answers to requests that were read before the shutdown began: the
		// caller opens its next connection to another host.
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		h.reject(x, err)
		return
	}
	defer answer.Close()
	if _, err := answer.CopyTo(w); err != nil {
		h.logRequest(x, http.StatusOK, err)
		// Abort the connection, so that the caller does not take the truncated answer
		// for a complete one.
		panic(http.ErrAbortHandler)
	}
	h.logRequest(x, answer.Status, nil)
	h.metrics.observe(x, answer.Status, result.OK)
}

// handle runs the checks on a request in order, up to the first that fails, and
// sends the request if all pass.
func (h *Host) handle(x *exchange) (*forward.Answer, *result.Error) {
	for _, filter := range []func(*exchange) *result.Error{h.checkHead, h.routeRequest, h.checkOverload, h.checkShutdown, h.readBody} {
		if err := filter(x); err != nil {
			return nil, err
		}
	}
	return h.send(x)
}

// checkHead checks that a table is loaded and that the request head is within the
// table's limit.
func (h *Host) checkHead(x *exchange) *result.Error {
	x.requestID = x.callerRequest.Header.Get(h.names.Headers.RequestID)
	if x.table = h.table.Load(); x.table == nil {
		return result.New(result.TableNotLoaded, "no tables are in force yet").WithRetryAfter(retryAfter(time.Second))
	}
	if limit := x.table.Limits.HeadBytes; limit > 0 {
		if err := forward.CheckHead(x.callerRequest, limit); err != nil {
			return err
		}
	}
	return nil
}

// routeRequest determines the request's route, deadline and pool.
func (h *Host) routeRequest(x *exchange) *result.Error {
	host := x.callerRequest.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	x.host = host
	if x.route = x.table.Match(host, x.callerRequest.URL.Path); x.route == nil {
		return result.New(result.NoRoute, "no route of table version %d matches %q", x.table.Version, host+x.callerRequest.URL.Path)
	}
	timeout := x.route.Timeout
	if text := x.callerRequest.Header.Get(h.names.Headers.Deadline); text != "" {
		ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		if err != nil || ms <= 0 {
			return result.New(result.BadDeadline, "%s: %q is not a positive number of milliseconds", h.names.Headers.Deadline, text)
		}
		if callerTimeout := time.Duration(ms) * time.Millisecond; timeout <= 0 || callerTimeout < timeout {
			timeout = callerTimeout
		}
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.deadline = x.started.Add(timeout)
	poolName := h.splits.next(x.route)
	if x.pool = h.pool(poolName); x.pool == nil {
		return result.New(result.NoHealthyServer, "the pools table has no pool %q", poolName).WithRetryAfter(retryAfter(x.route.TargetLatency))
	}
	key := ""
	if x.route.Sticky {
		key = h.names.AffinityKey(x.callerRequest)
	}
	if key == "" {
		key = x.requestID
	}
	x.need = placing.Need{
		Key: key, Route: x.route.Name, Idempotent: x.route.Idempotent, Target: x.route.TargetLatency,
		Priority: x.route.Priority, Regions: x.route.HomeRegions, Host: h.self.Name,
	}
	return nil
}

// checkShutdown rejects a request that a shutdown in progress might cut off. Another
// host can serve it at once.
func (h *Host) checkShutdown(x *exchange) *result.Error {
	plan := h.shutdownPlan.Load()
	if plan == nil || plan.Takes(x.started, x.deadline, x.route.Idempotent) {
		return nil
	}
	return result.New(result.ShuttingDown, "this host stops in %d ms, before the request's deadline", time.Until(plan.End).Milliseconds()).
		WithRetryAfter(retryAfter(0))
}

// waitUntil returns how long a request may wait for a slot: until its deadline, or
// until a shutdown in progress needs its rejection.
func (h *Host) waitUntil(deadline time.Time) time.Time {
	if plan := h.shutdownPlan.Load(); plan != nil {
		return plan.WaitUntil(deadline)
	}
	return deadline
}

// defaultTimeout applies if neither the caller nor the route sets a limit.
const defaultTimeout = 30 * time.Second

// readBody buffers the first part of the body before a server is chosen, so that
// a slow caller does not occupy a slot while it sends. The rest is read while it is sent on.
func (h *Host) readBody(x *exchange) *result.Error {
	body, err := forward.OpenBody(x.callerRequest, x.table.Limits.BodyBytes)
	if err != nil {
		return err
	}
	x.body = body
	return nil
}

// mayRunAgain reports whether the request may run more than once: both by the tables in
// force when it arrived and by those in force now. Operators may have withdrawn that
// meanwhile. A route that is gone says nothing, so that the earlier version still holds.
func (h *Host) mayRunAgain(x *exchange) bool {
	latest := h.table.Load()
	if !x.route.Idempotent || latest == x.table {
		return x.route.Idempotent
	}
	route := latest.Match(x.host, x.callerRequest.URL.Path)
	return route == nil || route.Idempotent
}

// send reserves a slot and forwards the request. It retries at another server if
// the first one did not run the request, or if it failed and the request may run again.
func (h *Host) send(x *exchange) (*forward.Answer, *result.Error) {
	x.pool.countRequest(x.need, h.peers.count())
	var previousErr *result.Error // of the previous attempt
	for {
		reserved, err := h.acquire(x.callerRequest.Context(), x.pool, x.need, h.waitUntil(x.deadline), x.attempts == 0)
		x.waited += reserved.waited
		if err != nil {
			return nil, x.finalError(err, previousErr)
		}
		x.reservation = reserved
		answer, err := h.attempt(x)
		mayRunAgain := h.mayRunAgain(x)
		if err == nil && !mayRunAgain && promisesNotRun(answer.Status) {
			// The server did not mark the answer as not run, so it ran the request. Its
			// status would tell the caller that the request was not run.
			answer.Close()
			return nil, result.New(result.BadAnswer, "server %s answered with status %d although it ran the request", reserved.choice.Server.ID, answer.Status).
				WithRun(result.Run)
		}
		if err == nil && !(mayRunAgain && answer.Status >= http.StatusInternalServerError) {
			return answer, nil
		}
		if !h.mayRetry(x, err, mayRunAgain) {
			if err == nil {
				return answer, nil
			}
			return nil, x.finalError(err, nil)
		}
		if err == nil {
			err = result.New(result.BadAnswer, "server %s answered with status %d", reserved.choice.Server.ID, answer.Status).WithRun(result.Run)
			answer.Close()
		}
		x.mayHaveRun = x.mayHaveRun || err.Run != result.NotRun
		x.need.Exclude = append(x.need.Exclude, reserved.choice.Server.ID)
		previousErr = err
	}
}

// attempt sends the request to the reserved server and releases the reservation
// once the answer begins or the attempt fails.
func (h *Host) attempt(x *exchange) (*forward.Answer, *result.Error) {
	x.attempts++
	sent := time.Now()
	var notice forward.Notice
	mayHaveRun, mayRunAgain := x.mayHaveRun, h.mayRunAgain(x)
	answer, err := h.forward.Do(x.callerRequest.Context(), forward.Request{
		In: x.callerRequest, Server: x.reservation.choice.Server.Address, Once: !mayRunAgain, Idempotent: mayRunAgain,
		RequestID: x.requestID, ExpectServer: x.reservation.choice.Server.ID, DeadlineAt: x.deadline, AnswerSlack: deadlineAnswerSlack, Body: x.body,
		Notice: &notice, Trace: &x.trace,
		// The tables may have changed while the request waited for a slot.
		Valid: func() bool { return !mayHaveRun || h.mayRunAgain(x) },
	})
	took := time.Since(sent)
	completion := h.completionOf(answer, err, took)
	completion.Notice = placing.ServerNotice{StartedMS: x.reservation.choice.Server.StartedMS, Leaving: notice.Leaving, Pause: notice.Pause}
	h.recordNotice(x, completion.Notice)
	h.release(x.pool, x.reservation, x.need, completion)
	h.metrics.sends.WithLabelValues(x.route.Name, codeName(err)).Inc()
	if x.trace.Basis != "" {
		h.metrics.refusals.WithLabelValues(string(x.trace.Basis)).Inc()
	}
	if err != nil {
		h.log.attempt(x, took, err)
		return nil, err
	}
	return answer, nil
}

// recordNotice logs and counts what a server said of itself. A server that leaves
// says so in every answer, so only the first one counts. The pool learns it when the
// reservation is released.
func (h *Host) recordNotice(x *exchange, said placing.ServerNotice) {
	s := x.reservation.choice.Server
	if known := x.pool.notice(s.ID); said.Leaving && !known.Leaving {
		h.metrics.notices.WithLabelValues("leaving").Inc()
		h.log.serverLeaving(x)
	}
	if said.Pause > 0 {
		h.metrics.notices.WithLabelValues("pause").Inc()
		h.log.serverPause(x, said.Pause)
	}
}

// completionOf describes how an attempt ended, with the load that the server
// reported in its answer.
func (h *Host) completionOf(a *forward.Answer, err *result.Error, took time.Duration) placing.Completion {
	c := placing.Completion{Outcome: outcomeOf(a, err), Took: took}
	if err == nil {
		// A malformed load header counts as a missing one.
		c.Running, c.Waiting, c.WorkPercent, c.LoadReported = parseLoad(a.Header.Get(h.names.ServerLoad))
	}
	return c
}

// maxLoadFigure is the largest figure in a load header that is not taken for a
// malformed one.
const maxLoadFigure = 1 << 20

// parseLoad parses the load header, "running,waiting,slots,work". The slots are not
// used. work is how long work takes at the moment, in percent of its usual time;
// workPercent is 0 if it is missing or malformed.
func parseLoad(text string) (running, waiting, workPercent int, ok bool) {
	parts := strings.SplitN(text, ",", 5)
	figure := func(i int) (int, bool) {
		if i >= len(parts) {
			return 0, false
		}
		n, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		return n, err == nil && n >= 0 && n <= maxLoadFigure
	}
	running, ok1 := figure(0)
	waiting, ok2 := figure(1)
	if !ok1 || !ok2 {
		return 0, 0, 0, false
	}
	if n, known := figure(3); known {
		workPercent = n
	}
	return running, waiting, workPercent, true
}

// mayRetry decides whether the request is sent to another server after err, or
// after an answer with a server error if err is nil. If so, it takes one retry from the
// pool's retry budget.
func (h *Host) mayRetry(x *exchange, err *result.Error, mayRunAgain bool) bool {
	notRun := err != nil && err.Run == result.NotRun
	switch {
	case x.callerRequest.Context().Err() != nil || x.attempts >= x.route.MaxAttempts || time.Now().After(x.deadline):
		return false
	case err != nil && (err.Code == result.CallerGone || err.Code == result.BodyTooLarge || err.Code == result.SlowSender || err.Code == result.BadRequest || err.Code == result.DeadlineExpired):
		return false
	case !notRun && !mayRunAgain:
		return false
	case !x.body.Sendable():
		return false
	}
	return x.pool.takeRetry(h.peers.count())
}

// outcomeOf maps the answer or error of an attempt to an outcome.
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
	case result.CallerGone, result.SlowSender, result.BodyTooLarge, result.BadRequest, result.ConnsInUse:
		// The reason is the caller, or this host: it says nothing of the server.
		return placing.Abandoned
	}
	return placing.Failed
}

// finalError returns the error for the caller, with a run state that covers all
// attempts. err is the latest error. If err is that a retry got no slot,
// previousErr is the error of the attempt before it, and the caller gets that one
// instead.
func (x *exchange) finalError(err, previousErr *result.Error) *result.Error {
	if previousErr != nil && err.Code != result.CallerGone {
		err = previousErr
	}
	if x.mayHaveRun && err.Run == result.NotRun {
		err = err.WithRun(result.Unknown)
	}
	// The time that a server asks for concerns that server alone; another one may
	// serve the request sooner.
	if err.Run == result.NotRun && (err.RetryAfter == 0 || err.Code == result.ServerShed) {
		err = err.WithRetryAfter(retryAfter(x.route.TargetLatency))
	}
	return err
}

func codeName(err *result.Error) string {
	if err == nil {
		return result.OK.Name()
	}
	return err.Code.Name()
}
