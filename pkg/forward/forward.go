// Package forward sends requests to backend servers and to other entry hosts
// over HTTP/1.1 and reports for each failed request whether it may have run.
package forward

import (
	"context"
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const (
	// DefaultConnsPerServer is the number of connections that may be open to
	// one server.
	DefaultConnsPerServer = 32
	// DefaultIdlePerServer is how many of them may be idle.
	DefaultIdlePerServer = 16
	// DefaultIdleTimeout is how long an idle connection is kept open.
	DefaultIdleTimeout = 30 * time.Second
	// DefaultConnectTimeout bounds the time to open a connection.
	DefaultConnectTimeout = 500 * time.Millisecond
	// DefaultAnswerHeadBytes bounds the head of an answer.
	DefaultAnswerHeadBytes = 64 << 10
	// WriteFreshness is how long after its last answer a connection may still
	// carry a write (design 3.6). The longer a connection is idle, the more
	// likely the server or the network has lost its state. What is sent on it
	// is then lost, and a lost write must not be repeated.
	WriteFreshness = time.Second
	// KeepAliveIdle is how long a connection is silent before TCP keep-alive
	// probes are sent. Together with KeepAliveInterval and KeepAliveCount it
	// bounds how long a request waits for the answer of a server that no longer
	// responds: to 5 s + 3 x 2 s = 11 s, if the deadline has not passed before.
	KeepAliveIdle = 5 * time.Second
	// KeepAliveInterval is the time between two probes.
	KeepAliveInterval = 2 * time.Second
	// KeepAliveCount is the number of unanswered probes that closes a
	// connection.
	KeepAliveCount = 3
	// UserTimeout closes a connection whose sent data stays unacknowledged for
	// this long. Within a failure domain this leaves time for several
	// retransmissions. Connections for uploads have no such limit, because it
	// also ends one to a server that does not read for this long.
	UserTimeout = 2 * time.Second
)

// Config holds the limits of a Forwarder; zero fields take the defaults.
type Config struct {
	// ConnsPerServer bounds the open connections to one server.
	ConnsPerServer int
	// IdlePerServer bounds the idle connections among them.
	IdlePerServer int
	// UploadsPerServer bounds the connections to one server that carry an upload, so that
	// some are left for other requests while the server does not read; default three
	// quarters of ConnsPerServer.
	UploadsPerServer int
	// MaxConns bounds the open connections to all servers; 0 means no limit. At the limit
	// the connection that was idle for the longest is closed for a new one.
	MaxConns int
	// MaxStreams bounds the answers that are passed on while they arrive; 0 means no limit.
	MaxStreams int
	// OnSlowReader, if set, is called when an answer is cut off because its caller reads it
	// slowly and another request needs the connection to the server.
	OnSlowReader func()
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// ConnectTimeout bounds the time to open one connection.
	ConnectTimeout time.Duration
	// AnswerHeadBytes bounds the head of an answer.
	AnswerHeadBytes int64
	// Headers names the headers that are exchanged with servers; default
	// DefaultHeaders.
	Headers Headers
	// OnDoubt, if set, is called for each answer that was not taken for the answer to
	// its request, from the goroutine that sent the request.
	OnDoubt func(Doubt)
	// Now is the clock; default time.Now.
	Now func() time.Time
	// Dial opens connections; default a net.Dialer with keep-alive probes and
	// UserTimeout.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	cfg       Config
	now       func() time.Time
	transport *http.Transport
	stopped   atomic.Bool
	idleLimit learnedIdleLimit
	// lastConnID is the id of the connection that was opened last.
	lastConnID atomic.Int64

	streams streams
	// open counts the open connections to all servers, including those being opened.
	open atomic.Int64

	mu    sync.Mutex
	pools map[string]*pool
}

// New returns a Forwarder without open connections.
func New(cfg Config) *Forwarder {
	if cfg.ConnsPerServer <= 0 {
		cfg.ConnsPerServer = DefaultConnsPerServer
	}
	if cfg.IdlePerServer <= 0 {
		cfg.IdlePerServer = DefaultIdlePerServer
	}
	if cfg.UploadsPerServer <= 0 {
		cfg.UploadsPerServer = max(cfg.ConnsPerServer*3/4, 1)
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.ConnectTimeout <= 0 {
		cfg.ConnectTimeout = DefaultConnectTimeout
	}
	if cfg.AnswerHeadBytes <= 0 {
		cfg.AnswerHeadBytes = DefaultAnswerHeadBytes
	}
	if cfg.Headers.RequestID == "" {
		cfg.Headers = DefaultHeaders
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: KeepAliveIdle, Interval: KeepAliveInterval, Count: KeepAliveCount,
			},
			ControlContext: setSocketOptions,
		}).DialContext
	}
	f := &Forwarder{cfg: cfg, now: cfg.Now, pools: map[string]*pool{}, streams: streams{all: map[*stream]struct{}{}}}
	f.transport = &http.Transport{
		DialContext:            f.dialRaw,
		DisableCompression:     true,
		MaxResponseHeaderBytes: cfg.AnswerHeadBytes,
	}
	return f
}

// Request is one request to forward.
type Request struct {
	// In is the caller's request. Its body is read, and the end of its context
	// cancels the exchange.
	In *http.Request
	// Server is the IP address and port of the backend server.
	Server string
	// Once marks a write that must not run twice.
	Once bool
	// Idempotent marks a request that the code calling Do may send again after
	// a failure. Do itself retries only if no byte of the request was written.
	Idempotent bool
	RequestID  string
	// ExpectServer is the id of the only server that may run the request. It is
	// sent if Headers.ExpectServer names a header for it.
	ExpectServer string
	// DeadlineAt is sent to the server as the remaining time; zero means no
	// deadline.
	DeadlineAt time.Time
	// AnswerSlack is how long after DeadlineAt Do still waits for an answer, so
	// that the server's own answer to the expired deadline can arrive.
	AnswerSlack time.Duration
	// BodyLimit bounds the body in bytes; zero means no limit.
	BodyLimit int64
	// Body, if set, is the opened body of In, so that several attempts can
	// send it. Otherwise Do opens and closes it.
	Body *Body
	// Valid is called right before the first byte is written. If it returns
	// false, the grant under which the request may be sent has expired, and
	// nothing is written. Nil counts as true.
	Valid func() bool
	// Notice, if set, receives what the server said of itself in the answer to
	// this request, also if Do returns an error.
	Notice *Notice
	// Trace, if set, receives what happened on the connection.
	Trace *Trace
}

// pool returns the connection pool of the server at addr and creates it if
// there is none.
func (f *Forwarder) pool(addr string) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[addr]
	if p == nil {
		p = &pool{f: f, addr: addr, lastRequested: f.now()}
		f.pools[addr] = p
		time.AfterFunc(f.cfg.IdleTimeout, p.sweep)
	}
	return p
}

// Do forwards one request. The run state of an error tells whether the request
// may have run. The answer must be closed.
func (f *Forwarder) Do(ctx context.Context, req Request) (*Answer, *result.Error) {
	return f.do(ctx, &exchange{f: f, req: &req, connLostCode: result.NoAnswer})
}

// exchange is the forwarding of one request to a server, with all its attempts.
type exchange struct {
	f           *Forwarder
	req         *Request
	ctx         context.Context
	cancel      context.CancelFunc
	body        *Body
	reader      *bodyReader
	pool        *pool
	conn        *conn
	curAttempt  *attempt
	start       time.Time
	relayHeader string
	// connLostCode is the result code if the connection fails after the first
	// byte was written.
	connLostCode result.Code
	relay        bool
	// writtenBefore is the number of bytes that were written to conn before.
	writtenBefore int64
	// upload is set if the body is not fully buffered.
	upload *upload
}

func (f *Forwarder) do(ctx context.Context, x *exchange) (*Answer, *result.Error) {
	if x.req.In.Method == http.MethodConnect {
		return nil, result.New(result.MethodNotAllowed, "CONNECT is not forwarded")
	}
	x.start = f.now()
	if x.req.Trace != nil {
		*x.req.Trace = Trace{}
	}
	x.deriveContext(ctx)
	if err := x.openBody(); err != nil {
		x.cancel()
		return nil, err
	}
	x.pool = f.pool(x.req.Server)
	for {
		a, err, retry := x.try()
		if retry {
			continue
		}
		if err != nil {
			x.end()
		}
		return a, err
	}
}

// deriveContext sets the context of the exchange. It ends with ctx, with the
// context of the caller's request, or AnswerSlack after the deadline.
func (x *exchange) deriveContext(ctx context.Context) {
	if x.req.DeadlineAt.IsZero() {
		x.ctx, x.cancel = context.WithCancel(ctx)
	} else {
		x.ctx, x.cancel = context.WithDeadline(ctx, x.req.DeadlineAt.Add(x.req.AnswerSlack))
	}
	if in := x.req.In.Context(); in != ctx {
		cancel := x.cancel
		stop := context.AfterFunc(in, cancel)
		x.cancel = func() { stop(); cancel() }
	}
}

// openBody sets the body of the exchange to that of the request, or opens one
// if the request has none.
func (x *exchange) openBody() (err *result.Error) {
	if x.body = x.req.Body; x.body == nil {
		x.body, err = OpenBody(x.req.In, x.req.BodyLimit)
		return err
	}
	if !x.body.Sendable() {
		return result.Wrap(errBodyConsumed, result.Internal, "request %s", x.req.RequestID)
	}
	return nil
}

// end releases the resources of the exchange.
func (x *exchange) end() {
	x.cancel()
	x.reader.end()
	if x.req.Body == nil {
		x.body.Close()
	}
}

// try makes one attempt. retry is true if no byte was written because an idle
// connection turned out to be unusable, and the body can be sent again.
func (x *exchange) try() (_ *Answer, _ *result.Error, retry bool) {
	maxAge := x.f.cfg.IdleTimeout
	if x.req.Once {
		maxAge = min(maxAge, WriteFreshness)
	}
	maxAge = x.f.idleLimit.clamp(x.f.now(), maxAge)
	x.curAttempt = &attempt{requestValid: x.req.Valid}
	c, err := x.getConn(maxAge)
	if err != nil {
		return nil, x.failure(err), false
	}
	x.conn = c
	x.beginTrace()
	if x.req.Once && c.reused {
		last := c.lastAnswer
		x.curAttempt.connFresh = func() bool { return age(x.f.now(), last) <= WriteFreshness }
	}
	c.raw.attempt.Store(x.curAttempt)
	received, sentAt := c.raw.received.Load(), x.f.now()
	resp, err := x.roundTrip()
	x.traceWritten()
	if err == nil {
		a, rerr := x.handleResponse(resp)
		return a, rerr, false
	}
	unsent := x.curAttempt.cancelUnsent()
	c.close()
	x.reader.end()
	if unsent && c.reused && x.body.Replayable() && x.ctx.Err() == nil && !x.curAttempt.cancelledBy(errNoLongerValid) {
		return nil, nil, true
	}
	// No byte of an answer arrived: the state of the connection may have been
	// lost between its two ends, and that of other idle connections as well. A
	// server that does not know a connection resets it at once, so a failure
	// within about two dial times means that the connection had been idle for
	// too long.
	if !unsent && c.raw.received.Load() == received {
		x.pool.closeIdleSilentSince(x.start)
		if c.reused && x.ctx.Err() == nil && x.f.now().Sub(sentAt) < 2*c.dialTime+resetMargin {
			x.f.idleLimit.recordDropped(sentAt, age(sentAt, c.lastAnswer))
		}
	}
	return nil, x.failure(err), false
}

// getConn returns a connection for the request. One from the pool had its last answer at
// most maxAge ago.
func (x *exchange) getConn(maxAge time.Duration) (*conn, error) {
	if x.body.Replayable() {
		return x.pool.get(x.ctx, maxAge, x.req.RequestID)
	}
	return x.pool.getForUpload(x.ctx)
}

// roundTrip sends the request and returns the answer when its head has arrived.
func (x *exchange) roundTrip() (*http.Response, error) {
	out := x.outbound()
	if !x.conn.upload {
		return x.conn.cc.RoundTrip(out)
	}
	x.upload = &upload{raw: x.conn.raw, sent: make(chan struct{})}
	return x.upload.roundTrip(x.ctx, out, x.f.cfg.AnswerHeadBytes, func() bool { return x.body.failure() != nil })
}

// outbound builds the request to the server.
func (x *exchange) outbound() *http.Request {
	in := x.req.In
	out := &http.Request{
		Method: in.Method,
		URL: &url.URL{
			Scheme: "http", Host: x.req.Server, Path: in.URL.Path, RawPath: in.URL.RawPath,
			RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery,
		},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: outboundHeader(x.req, x.f.cfg.Headers, x.f.now()),
		Host:   in.Host,
	}
	if x.relay {
		out.Header[HeaderRelay] = []string{x.relayHeader}
	}
	x.reader = x.body.attach(out)
	return out.WithContext(x.ctx)
}

// failure cancels the attempt if it has not started, and returns the result for
// err.
func (x *exchange) failure(err error) *result.Error {
	run := result.Unknown
	if x.curAttempt.cancelUnsent() {
		run = result.NotRun
	}
	if berr := x.bodyFailure(); berr != nil {
		return berr.WithRun(run)
	}
	server := x.req.Server
	switch {
	case x.curAttempt.cancelledBy(errNoLongerValid):
		return result.Wrap(err, result.DeadlineExpired, "the grant for %s expired before the first byte", server)
	case x.cancelCode() == result.CallerGone:
		return result.Wrap(err, result.CallerGone, "the caller left before the answer of %s", server).WithRun(run)
	case x.cancelCode() != result.OK && run == result.NotRun:
		return result.Wrap(err, result.DeadlineExpired, "no request could be sent to %s in time", server)
	case x.cancelCode() != result.OK:
		return result.Wrap(err, result.DeadlineRunning, "%s did not answer in time", server).WithRun(run)
	case strings.HasPrefix(err.Error(), "http: invalid"):
		// net/http found an invalid method, header or trailer in the request.
		return result.Wrap(err, result.BadRequest, "the request cannot be forwarded").WithRun(run)
	case stderrors.Is(err, errTooManyConns) || stderrors.Is(err, errTooManyUploads):
		return result.Wrap(err, result.ConnsInUse, "no connection to %s is free", server)
	case run == result.NotRun:
		return result.Wrap(err, result.ConnectFailed, "no connection to %s", server)
	case malformed(err):
		return result.Wrap(err, result.BadAnswer, "%s sent a malformed answer", server).WithRun(run)
	}
	return result.Wrap(err, x.connLostCode, "the connection to %s failed", server).WithRun(run)
}

// bodyFailure returns why the caller's body could not be read, or nil. If a read from the
// caller fails, net/http ends the context of the request before the read returns.
func (x *exchange) bodyFailure() *result.Error {
	if x.upload != nil && x.req.In.Context().Err() != nil {
		x.upload.waitSent(failedReadTimeout)
	}
	return x.body.failure()
}

// malformed reports whether err is due to a malformed answer rather than a
// failed connection. net/http exports no errors for this, so the texts are
// compared; TestFailingServers fails if they change.
func malformed(err error) bool {
	if stderrors.Is(err, errMalformedAnswer) {
		return true
	}
	var netErr net.Error
	if stderrors.Is(err, io.EOF) || stderrors.Is(err, io.ErrUnexpectedEOF) || stderrors.As(err, &netErr) {
		return false
	}
	text := err.Error()
	return strings.Contains(text, "transport connection broken: ") || strings.Contains(text, "response headers exceeded")
}

// cancelCode returns why the exchange was ended early: CallerGone,
// DeadlineRunning, or OK if it was not.
func (x *exchange) cancelCode() result.Code {
	err := x.req.In.Context().Err()
	if err == nil {
		err = x.ctx.Err()
	}
	switch {
	case err == nil:
		return result.OK
	case stderrors.Is(err, context.DeadlineExceeded):
		return result.DeadlineRunning
	}
	return result.CallerGone
}

// Close closes all idle connections. Connections in use are closed when their
// answer has been read.
func (f *Forwarder) Close() {
	f.stopped.Store(true)
	for _, p := range f.allPools() {
		p.closeIdle(func(*conn, time.Time) bool { return true })
	}
}

func (f *Forwarder) allPools() []*pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*pool, 0, len(f.pools))
	for _, p := range f.pools {
		out = append(out, p)
	}
	return out
}
