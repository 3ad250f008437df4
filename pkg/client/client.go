// Package client is the caller's side of tamarackswitch: it looks up entry
// hosts, caches the answers, sends requests with deadlines and idempotency
// keys, and retries where that is safe.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/wait"
)

// Defaults of a Client.
const (
	DefaultDeadline = 2 * time.Second
	DefaultTries    = 3
	lookupTimeout   = time.Second
	maxAnswer       = 16 << 20
	// refusalGrace is how long after the deadline a refusal is waited for. The
	// entry host refuses at the deadline and knows whether the request was run.
	refusalGrace = 100 * time.Millisecond
	// checkAfter is how long an answer may take before the entry host is asked
	// whether it is alive, and checkTimeout bounds that question.
	checkAfter   = 300 * time.Millisecond
	checkTimeout = 300 * time.Millisecond
	// avoidFor is how long a host that did not answer is tried last.
	avoidFor   = 5 * time.Second
	minBackoff = 20 * time.Millisecond
)

// Config describes a Client.
type Config struct {
	// Seeds are addresses of entry hosts for the first look-up, IP:port.
	Seeds []string
	// ClientAddress is the address sent with look-ups; empty means the
	// connection's own.
	ClientAddress string
	// Group is the caller group for fair queueing.
	Group string
	// Tries bounds the attempts of one request; default 3.
	Tries int
	// HTTP sends the requests; default is a client of its own.
	HTTP *http.Client
}

// Client sends requests through entry hosts. It is safe for concurrent use.
type Client struct {
	cfg   Config
	mu    sync.Mutex
	cache map[string]cached
	// avoid holds addresses of hosts that did not answer, until a time.
	avoid map[string]time.Time
}

type cached struct {
	answer  api.LookupAnswer
	expires time.Time
}

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.Tries == 0 {
		cfg.Tries = DefaultTries
	}
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
			DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext,
		}}
	}
	return &Client{cfg: cfg, cache: map[string]cached{}, avoid: map[string]time.Time{}}
}

// Request is one request of a caller.
type Request struct {
	Method string
	// Path of the route, with an optional query.
	Path string
	// Route is the route's name for the look-up; empty means any.
	Route string
	Body  []byte
	// Deadline is the time to an answer; default 2 s.
	Deadline time.Duration
	// Idempotent requests are repeated when their outcome is unknown.
	Idempotent bool
	// Key is an idempotency key; "new" asks for a fresh key that the entry host
	// of the first attempt owns. With a key, a request that is not idempotent is
	// also repeated when its outcome is unknown.
	Key string
	// Header holds further request headers.
	Header http.Header
}

// NewKey asks for a fresh idempotency key.
const NewKey = "new"

// Response is the whole answer of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Key is the idempotency key that was used.
	Key string
	// Tries counts the attempts.
	Tries int
}

// Lookup returns the entry hosts for a route, from the cache while it is fresh.
// If no entry host answers, a stale answer is returned rather than none.
func (c *Client) Lookup(ctx context.Context, route string) (api.LookupAnswer, error) {
	c.mu.Lock()
	hit, ok := c.cache[route]
	c.mu.Unlock()
	if ok && time.Now().Before(hit.expires) {
		return hit.answer, nil
	}
	hosts := slices.Clone(hit.answer.Hosts)
	for _, seed := range c.cfg.Seeds {
		hosts = append(hosts, api.LookupHost{Address: seed})
	}
	var last error
	for _, host := range answeringFirst(c, hosts, processOf) {
		a, err := c.lookupAt(ctx, host.Address, route)
		if err != nil {
			if !isRefusal(err) {
				c.avoidHost(host)
			}
			last = err
			continue
		}
		c.mu.Lock()
		c.cache[route] = cached{a, time.Now().Add(time.Duration(a.CacheMS) * time.Millisecond)}
		c.mu.Unlock()
		return a, nil
	}
	if ok {
		return hit.answer, nil
	}
	if last == nil {
		last = errors.New("no seed addresses")
	}
	return api.LookupAnswer{}, result.Wrap(last, result.NoEntryHost, "look-up of route %q", route)
}

func (c *Client) lookupAt(ctx context.Context, addr, route string) (api.LookupAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	q := url.Values{"route": {route}}
	if c.cfg.ClientAddress != "" {
		q.Set("client", c.cfg.ClientAddress)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+api.LookupPath+"?"+q.Encode(), nil)
	if err != nil {
		return api.LookupAnswer{}, errors.Trace(err)
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return api.LookupAnswer{}, errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return api.LookupAnswer{}, decodeRefusal(resp)
	}
	var a api.LookupAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&a); err != nil {
		return api.LookupAnswer{}, errors.Annotate(err, "decode look-up answer")
	}
	if len(a.Hosts) == 0 {
		return api.LookupAnswer{}, errors.New("look-up answer without entry hosts")
	}
	return a, nil
}

// forget drops a cached answer, after a host in it failed.
func (c *Client) forget(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hit, ok := c.cache[route]; ok {
		hit.expires = time.Time{}
		c.cache[route] = hit
	}
}

// Do sends a request and returns the backend server's whole answer, or a
// *result.Error whose run state says whether the request was run. An attempt
// is repeated at the next entry host if it was not run, or if the request is
// idempotent or has a key.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	if r.Deadline == 0 {
		r.Deadline = DefaultDeadline
	}
	deadline := time.Now().Add(r.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(refusalGrace))
	defer cancel()
	run, fresh := result.NotRun, r.Key == NewKey
	tried, full := map[string]int{}, map[string]bool{}
	var last *result.Error
	for try := 0; try < c.cfg.Tries && ctx.Err() == nil && time.Now().Before(deadline); try++ {
		a, err := c.Lookup(ctx, r.Route)
		if err != nil {
			return nil, result.From(err).WithRun(run)
		}
		host := c.nextHost(a.Hosts, tried, full)
		tried[host.Address]++
		// No attempt has run, so the old key can be dropped for one that this
		// host owns; the first owner may be the host that just failed.
		if fresh && run == result.NotRun {
			if r.Key, err = freshKey(c.keyPrefix(ctx, r.Route, host)); err != nil {
				last = result.From(err)
				if !c.pause(ctx, last, try, deadline) {
					break
				}
				continue
			}
		}
		resp, attempt := c.checkedAttempt(ctx, host, r, deadline)
		if attempt == nil {
			resp.Key, resp.Tries = r.Key, try+1
			return resp, nil
		}
		last = attempt
		full[host.Domain] = full[host.Domain] || isFull(attempt.Code)
		run = result.MergeRunStates(run, attempt.Run)
		if !repeatable(r, attempt) {
			break
		}
		if attempt.Code == result.NoEntryHost || attempt.Code == result.NoAnswer {
			c.forget(r.Route)
		}
		if !c.pause(ctx, attempt, try, deadline) {
			break
		}
	}
	if last == nil {
		last = result.New(result.DeadlineExpired, "deadline of %s passed", r.Deadline)
	}
	last.Run = run
	return nil, last
}

// repeatable reports whether another attempt is safe and can help.
func repeatable(r Request, err *result.Error) bool {
	switch err.Code {
	case result.KeyOwnerGone, result.KeyExpired, result.KeyAlreadyRun, result.KeyOutcomeUnknown:
		return false
	}
	family := err.Code / 1000
	if family == 1 && err.Code != result.SlowSender {
		return false
	}
	// A truncated answer has run, but only another attempt gives the caller the
	// whole answer.
	mayRepeat := err.Run == result.Unknown || err.Code == result.TruncatedAnswer
	return err.Run == result.NotRun || (mayRepeat && (r.Idempotent || r.Key != ""))
}

// pause waits before the next attempt. It reports false at once if there is no
// attempt or no time left, so that the caller hears of the failure early.
func (c *Client) pause(ctx context.Context, err *result.Error, try int, deadline time.Time) bool {
	d := max(err.RetryAfter, minBackoff<<try)
	if try+1 >= c.cfg.Tries || time.Until(deadline) <= d {
		return false
	}
	return wait.For(ctx, d)
}

// keyPrefix returns the prefix of keys that a host owns. An entry host that has
// just started does not know the prefixes of other failure domains yet, so the
// host itself is asked.
func (c *Client) keyPrefix(ctx context.Context, route string, host api.LookupHost) string {
	if host.KeyPrefix != "" {
		return host.KeyPrefix
	}
	a, err := c.lookupAt(ctx, host.Address, route)
	if err != nil {
		return ""
	}
	for _, h := range a.Hosts {
		if h.Name == host.Name {
			return h.KeyPrefix
		}
	}
	return ""
}

func freshKey(prefix string) (string, error) {
	if prefix == "" {
		return "", result.New(result.NoEntryHost, "no key prefix of the entry host is known").WithRetryAfter(minBackoff)
	}
	b := make([]byte, 18)
	if _, err := rand.Read(b); err != nil {
		return "", errors.Trace(err)
	}
	return prefix + base64.RawURLEncoding.EncodeToString(b), nil
}

// checkedAttempt gives an attempt up whose entry host no longer answers at all.
// A host that was frozen or lost without a trace would otherwise use up the
// whole deadline; slow work at a live host is waited for.
func (c *Client) checkedAttempt(ctx context.Context, host api.LookupHost, r Request, deadline time.Time) (*Response, *result.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.Idempotent || r.Key != "" {
		go func() {
			for wait.For(ctx, checkAfter) {
				check, end := context.WithTimeout(ctx, checkTimeout)
				_, err := c.lookupAt(check, host.Address, "")
				end()
				if err != nil && ctx.Err() == nil && !isRefusal(err) {
					c.avoidHost(host)
					cancel()
				}
			}
		}()
	}
	resp, err := c.attempt(ctx, host.Address, r, deadline)
	if err != nil && err.Code == result.NoEntryHost {
		c.avoidHost(host)
	}
	return resp, err
}

// isRefusal reports whether an error is an answer of an entry host.
func isRefusal(err error) bool {
	var refusal *result.Error
	return stderrors.As(err, &refusal)
}

// attempt sends the request to one entry host. The whole body is read before
// the answer counts, so a truncated answer is an error.
func (c *Client) attempt(ctx context.Context, addr string, r Request, deadline time.Time) (*Response, *result.Error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, result.Wrap(err, result.BadRequest, "build request")
	}
	// net/http may resend a request by itself on a new connection, and would
	// then report the first attempt, which may have run, as one whose connection
	// could not be opened. It does so for requests with a GetBody function, and
	// for GET requests without a body by their method.
	req.GetBody = nil
	if len(r.Body) == 0 && isSafeMethod(r.Method) {
		req.Body = io.NopCloser(bytes.NewReader(nil))
	}
	for k, v := range r.Header {
		req.Header[k] = v
	}
	if c.cfg.Group != "" {
		req.Header.Set("Tamarackswitch-Group", c.cfg.Group)
	}
	if r.Key != "" {
		req.Header.Set(api.HeaderKey, r.Key)
	}
	req.Header.Set(api.HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return nil, transportError(err, addr)
	}
	defer resp.Body.Close()
	if resp.Header.Get(api.HeaderCode) != "" {
		return nil, decodeRefusal(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, result.Wrap(err, result.TruncatedAnswer, "answer from %s", addr).WithRun(result.Run)
	}
	if len(body) > maxAnswer {
		return nil, result.New(result.BadAnswer, "answer from %s is larger than %d bytes", addr, maxAnswer).WithRun(result.Run)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// isSafeMethod reports whether net/http takes a method for repeatable.
func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// transportError is not-run only if no connection could be opened.
func transportError(err error, addr string) *result.Error {
	var op *net.OpError
	if stderrors.As(err, &op) && op.Op == "dial" {
		return result.Wrap(err, result.NoEntryHost, "entry host %s", addr)
	}
	return result.Wrap(err, result.NoAnswer, "entry host %s", addr).WithRun(result.Unknown)
}

func decodeRefusal(resp *http.Response) *result.Error {
	var r api.Refusal
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&r); err != nil {
		return result.Wrap(err, result.BadAnswer, "%s", fmt.Sprintf("refusal with status %d", resp.StatusCode)).WithRun(result.Unknown)
	}
	e := r.Err()
	switch e.Run {
	case result.NotRun, result.Unknown, result.Run:
	default:
		e.Run = result.Unknown
	}
	return e
}
