// Package forward sends requests to backend servers and to other entry hosts
// over HTTP/1.1 and reports truthfully whether a failed request may have run.
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

// Defaults of Config and fixed limits.
const (
	DefaultConnsPerServer = 32
	DefaultIdlePerServer  = 16
	DefaultIdleTimeout    = 30 * time.Second
	DefaultConnectTimeout = 500 * time.Millisecond
	DefaultAnswerHead     = 64 << 10
	// WriteFreshness is how recently a connection must have carried an answer
	// to be used for a write (design 3.6).
	WriteFreshness = time.Second
	// KeepAliveIdle and KeepAliveInterval find a silent peer of a connection
	// that waits for an answer after 5 + 3 x 2 = 11 s, if the deadline has not
	// passed before.
	KeepAliveIdle     = 5 * time.Second
	KeepAliveInterval = 2 * time.Second
	KeepAliveCount    = 3
	// UserTimeout closes a connection whose sent data stays unacknowledged for
	// this long. Within a failure domain that is several retransmissions.
	UserTimeout = 2 * time.Second
)

// Config holds the limits of a Forwarder; zero fields take the defaults.
type Config struct {
	// ConnsPerServer bounds open connections to one server.
	ConnsPerServer int
	// IdlePerServer bounds the idle connections among them.
	IdlePerServer int
	// IdleTimeout closes idle connections.
	IdleTimeout time.Duration
	// ConnectTimeout bounds the opening of one connection.
	ConnectTimeout time.Duration
	// AnswerHead bounds the head of an answer in bytes.
	AnswerHead int64
	// Headers names the headers of the exchange; default OwnHeaders.
	Headers Headers
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
	rest      restLimit

	mu    sync.Mutex
	pools map[string]*pool
}

// New returns a Forwarder without connections.
func New(cfg Config) *Forwarder {
	if cfg.ConnsPerServer <= 0 {
		cfg.ConnsPerServer = DefaultConnsPerServer
	}
	if cfg.IdlePerServer <= 0 {
		cfg.IdlePerServer = DefaultIdlePerServer
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.ConnectTimeout <= 0 {
		cfg.ConnectTimeout = DefaultConnectTimeout
	}
	if cfg.AnswerHead <= 0 {
		cfg.AnswerHead = DefaultAnswerHead
	}
	if cfg.Headers.RequestID == "" {
		cfg.Headers = OwnHeaders
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: KeepAliveIdle, Interval: KeepAliveInterval, Count: KeepAliveCount,
			},
			Control: setUserTimeout,
		}).DialContext
	}
	f := &Forwarder{cfg: cfg, now: cfg.Now, pools: map[string]*pool{}}
	f.transport = &http.Transport{
		DialContext:            f.dialRaw,
		DisableCompression:     true,
		MaxResponseHeaderBytes: cfg.AnswerHead,
	}
	return f
}

// Request is one request to forward.
type Request struct {
	// In is the caller's request; its body is read and its context watched.
	In *http.Request
	// Server is the IP address and port of the backend server.
	Server string
	// Once marks a write that must not run twice.
	Once bool
	// Idempotent requests may be repeated by the caller of Do; Do itself
	// repeats only requests of which no byte was written.
	Idempotent bool
	RequestID  string
	// ExpectServer is the id of the server that may run the request, if the
	// exchange has a header for it.
	ExpectServer string
	// DeadlineAt is passed on to the server; zero means none.
	DeadlineAt time.Time
	// AnswerSlack is how long after DeadlineAt the server's own answer to the
	// expired deadline is awaited.
	AnswerSlack time.Duration
	// BodyLimit bounds the body in bytes; zero means none.
	BodyLimit int64
	// Body, if set, is the opened body of In, so that several attempts can
	// send it. Otherwise Do opens and closes it.
	Body *Body
	// Valid is asked right before the first byte is written; false means that
	// the request must not start any more. Nil means valid.
	Valid func() bool
}

func (f *Forwarder) pool(addr string) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[addr]
	if p == nil {
		p = &pool{f: f, addr: addr, used: f.now()}
		f.pools[addr] = p
		time.AfterFunc(f.cfg.IdleTimeout, p.sweep)
	}
	return p
}

// Do forwards one request. The error says truthfully whether the request may
// have run. The caller must Close the answer.
func (f *Forwarder) Do(ctx context.Context, req Request) (*Answer, *result.Error) {
	return f.do(ctx, &exchange{f: f, req: &req, connectionLost: result.NoAnswer})
}

// exchange is one request on its way to a server.
type exchange struct {
	f           *Forwarder
	req         *Request
	ctx         context.Context
	cancel      context.CancelFunc
	body        *Body
	reader      *bodyReader
	pool        *pool
	conn        *conn
	at          *attempt
	start       time.Time
	relayHeader string
	// connectionLost is the code for a failure after the first byte.
	connectionLost result.Code
	relay          bool
}

func (f *Forwarder) do(ctx context.Context, x *exchange) (*Answer, *result.Error) {
	if x.req.In.Method == http.MethodConnect {
		return nil, result.New(result.MethodNotAllowed, "CONNECT is not forwarded")
	}
	x.start = f.now()
	x.open(ctx)
	if err := x.openBody(); err != nil {
		x.cancel()
		return nil, err
	}
	x.pool = f.pool(x.req.Server)
	for {
		a, err, again := x.try()
		if again {
			continue
		}
		if err != nil {
			x.end()
		}
		return a, err
	}
}

// open derives the context of the exchange: the deadline and the caller's
// departure end it.
func (x *exchange) open(ctx context.Context) {
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

// openBody takes or opens the body.
func (x *exchange) openBody() (err *result.Error) {
	if x.body = x.req.Body; x.body == nil {
		x.body, err = OpenBody(x.req.In, x.req.BodyLimit)
		return err
	}
	if x.body.used() {
		return result.Wrap(errBodyUsed, result.Internal, "request %s", x.req.RequestID)
	}
	return nil
}

// end frees what the exchange holds.
func (x *exchange) end() {
	x.cancel()
	x.reader.end()
	if x.req.Body == nil {
		x.body.Close()
	}
}

// try makes one attempt. again is true if no byte was written because an idle
// connection turned out to be unusable, and the body can be sent again.
func (x *exchange) try() (_ *Answer, _ *result.Error, again bool) {
	maxAge := x.f.cfg.IdleTimeout
	if x.req.Once {
		maxAge = min(maxAge, WriteFreshness)
	}
	maxAge = x.f.rest.atMost(x.f.now(), maxAge)
	x.at = &attempt{valid: x.req.Valid}
	c, err := x.pool.get(x.ctx, maxAge)
	if err != nil {
		return nil, x.failure(err), false
	}
	x.conn = c
	if x.req.Once && c.reused {
		last := c.lastAnswer
		x.at.fresh = func() bool { return age(x.f.now(), last) <= WriteFreshness }
	}
	c.raw.attempt.Store(x.at)
	received, sent := c.raw.received.Load(), x.f.now()
	resp, err := c.cc.RoundTrip(x.outbound())
	if err == nil {
		a, rerr := x.accept(resp)
		return a, rerr, false
	}
	untouched := x.at.seal()
	c.close()
	x.reader.end()
	if untouched && c.reused && x.body.Replayable() && x.ctx.Err() == nil && !x.at.stopped(errInvalid) {
		return nil, nil, true
	}
	if !untouched && c.raw.received.Load() == received {
		x.pool.suspect(x.start)
		if c.reused && x.ctx.Err() == nil && x.f.now().Sub(sent) < 2*c.dialed+resetSlack {
			x.f.rest.forgotten(sent, age(sent, c.lastAnswer))
		}
	}
	return nil, x.failure(err), false
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
		Header: outHeader(x.req, x.f.cfg.Headers, x.f.now()),
		Host:   in.Host,
	}
	if x.relay {
		out.Header[HeaderRelay] = []string{x.relayHeader}
	}
	x.reader = x.body.attach(out)
	return out.WithContext(x.ctx)
}

// failure describes a failed attempt, which it seals.
func (x *exchange) failure(err error) *result.Error {
	run := result.Unknown
	if x.at.seal() {
		run = result.NotRun
	}
	if berr := x.body.failure(); berr != nil {
		return berr.WithRun(run)
	}
	server := x.req.Server
	switch {
	case x.at.stopped(errInvalid):
		return result.Wrap(err, result.DeadlineExpired, "the grant for %s expired before the first byte", server)
	case x.ended() == result.CallerGone:
		return result.Wrap(err, result.CallerGone, "the caller left before the answer of %s", server).WithRun(run)
	case x.ended() != result.OK && run == result.NotRun:
		return result.Wrap(err, result.DeadlineExpired, "no request could be sent to %s in time", server)
	case x.ended() != result.OK:
		return result.Wrap(err, result.DeadlineRunning, "%s did not answer in time", server).WithRun(run)
	case strings.HasPrefix(err.Error(), "http: invalid"):
		return result.Wrap(err, result.BadRequest, "the request cannot be forwarded").WithRun(run)
	case run == result.NotRun:
		return result.Wrap(err, result.ConnectFailed, "no connection to %s", server)
	case malformed(err):
		return result.Wrap(err, result.BadAnswer, "%s sent a malformed answer", server).WithRun(run)
	}
	return result.Wrap(err, x.connectionLost, "the connection to %s failed", server).WithRun(run)
}

// malformed tells a wrong answer from a failed connection. net/http has no
// exported errors for this; TestFailingServers notices if the texts change.
func malformed(err error) bool {
	var netErr net.Error
	if stderrors.Is(err, io.EOF) || stderrors.Is(err, io.ErrUnexpectedEOF) || stderrors.As(err, &netErr) {
		return false
	}
	text := err.Error()
	return strings.Contains(text, "transport connection broken: ") || strings.Contains(text, "response headers exceeded")
}

// ended says why the exchange was ended early: CallerGone, DeadlineRunning, or
// OK if it was not.
func (x *exchange) ended() result.Code {
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

// Close closes all idle connections; connections in use are closed when their
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
