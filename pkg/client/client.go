// Package client is the client library for callers of tamarackswitch: it looks
// up entry hosts, caches the look-up answers, sends requests with deadlines and
// idempotency keys, and retries requests where that is safe.
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
	"github.com/tamarackswitch/tamarackswitch/pkg/httpanswer"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/wait"
)

const (
	// DefaultDeadline is the time for all attempts of a request without a
	// deadline.
	DefaultDeadline = 2 * time.Second
	// DefaultTries is the largest number of attempts of one request, including the
	// first.
	DefaultTries = 3
	// lookupTimeout bounds a look-up at one entry host.
	lookupTimeout = time.Second
	// maxAnswerBytes bounds the body of an answer, which is held in memory.
	maxAnswerBytes = 16 << 20
	// refusalGrace is how long past the deadline the client waits for a refusal.
	// The entry host sends one at the deadline, and only the refusal says whether
	// the request was run.
	refusalGrace = 100 * time.Millisecond
	// livenessCheckInterval is the pause before each liveness check of an entry
	// host while an answer is outstanding.
	livenessCheckInterval = 300 * time.Millisecond
	// livenessCheckTimeout bounds one liveness check.
	livenessCheckTimeout = 300 * time.Millisecond
	// avoidFor is how long a host that did not answer is placed last in the order
	// of hosts to try.
	avoidFor = 5 * time.Second
	// minBackoff is the wait after the first attempt; it doubles with each attempt.
	minBackoff = 20 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	// Seeds are addresses of entry hosts, as IP:port. They are asked in the first
	// look-up, and in later ones after the hosts of the cached look-up answer.
	Seeds []string
	// ClientAddress is an IP address without a port. Entry hosts select the
	// failure domain of a look-up answer by it; if it is empty, they use the
	// source address of the connection.
	ClientAddress string
	// Group is the caller group for fair queueing, sent as the
	// Tamarackswitch-Group header; empty means that no header is added.
	Group string
	// Tries is the largest number of attempts of one request, including the
	// first; 0 means DefaultTries.
	Tries int
	// HTTP sends requests and look-ups; nil means a new http.Client with its own
	// connection pool and a dial timeout of 500 ms.
	HTTP *http.Client
}

// Client sends requests through entry hosts. It is safe for concurrent use.
type Client struct {
	cfg Config
	mu  sync.Mutex
	// cache holds look-up answers by route name. Expired entries stay as a fallback.
	cache map[string]cacheEntry
	// avoid holds hosts that did not answer, by processKey, and the time until
	// which each is placed last.
	avoid map[string]time.Time
}

type cacheEntry struct {
	answer  api.LookupAnswer
	expires time.Time
}

// New returns a Client with the defaults of Config filled in. It opens no
// connection.
func New(cfg Config) *Client {
	if cfg.Tries == 0 {
		cfg.Tries = DefaultTries
	}
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: httpanswer.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
			DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext,
		})}
	}
	return &Client{cfg: cfg, cache: map[string]cacheEntry{}, avoid: map[string]time.Time{}}
}

// Request is a request for Client.Do.
type Request struct {
	Method string
	// Path is the absolute path of the request URL, with an optional query.
	Path string
	// Route is the name of the route, sent with look-ups; empty means any route.
	Route string
	Body  []byte
	// Deadline is the time from the call of Do to the answer, for all attempts
	// together; 0 means DefaultDeadline.
	Deadline time.Duration
	// Idempotent says that the request may be run more than once. Do then also
	// repeats it after an unknown outcome or a truncated answer.
	Idempotent bool
	// Key is the idempotency key; empty means none. NewKey asks for a fresh key,
	// which the entry host of the attempt owns; Do replaces it at each attempt
	// until one may have run. With a key, Do also repeats a request that is not
	// idempotent after an unknown outcome or a truncated answer.
	Key string
	// Header holds additional request headers. The headers that the client sets
	// itself (key, deadline, group) take precedence.
	Header http.Header
}

// NewKey is the value of Request.Key that asks for a fresh idempotency key.
const NewKey = "new"

// Response is the complete answer of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Key is the idempotency key that was sent; empty if there was none.
	Key string
	// Tries is the number of attempts, including the successful one.
	Tries int
}

// Lookup returns the entry hosts for a route. It returns the cached answer until
// that expires, and afterwards asks the hosts of that answer and the seeds in
// turn. If all of them fail, it returns the expired answer. Without one, the
// error is a *result.Error with code NoEntryHost.
func (c *Client) Lookup(ctx context.Context, route string) (api.LookupAnswer, error) {
	c.mu.Lock()
	entry, ok := c.cache[route]
	c.mu.Unlock()
	if ok && time.Now().Before(entry.expires) {
		return entry.answer, nil
	}
	hosts := slices.Clone(entry.answer.Hosts)
	for _, seed := range c.cfg.Seeds {
		hosts = append(hosts, api.LookupHost{Address: seed})
	}
	var lastErr error
	for _, host := range unresponsiveLast(c, hosts, processKey) {
		a, err := c.lookupAt(ctx, host.Address, route)
		if err != nil {
			if !isRefusal(err) {
				c.avoidHost(host)
			}
			lastErr = err
			continue
		}
		c.mu.Lock()
		c.cache[route] = cacheEntry{a, time.Now().Add(time.Duration(a.CacheMS) * time.Millisecond)}
		c.mu.Unlock()
		return a, nil
	}
	if ok {
		return entry.answer, nil
	}
	if lastErr == nil {
		lastErr = errors.New("no seed addresses")
	}
	return api.LookupAnswer{}, result.Wrap(lastErr, result.NoEntryHost, "look-up of route %q", route)
}

// lookupAt sends a look-up to the entry host at addr. A refusal of the host is a
// *result.Error; all other errors are of another type.
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
		return api.LookupAnswer{}, errors.New("look-up answer contains no entry hosts")
	}
	return a, nil
}

// expireLookup marks a cached look-up answer as expired after a host in it
// failed. The answer stays as a fallback for Lookup.
func (c *Client) expireLookup(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entry, ok := c.cache[route]; ok {
		entry.expires = time.Time{}
		c.cache[route] = entry
	}
}

// Do sends a request and returns the backend server's complete answer, with any
// HTTP status. Its error is a *result.Error whose run state combines all
// attempts and says whether the request was run.
//
// After a failed attempt, Do repeats the request, preferably at an entry host
// that was not tried yet, as long as tries and time are left. It does so if the
// attempt was not run and, for a request that is idempotent or has a key, also if
// the outcome is unknown or the answer was truncated. Errors that would recur,
// such as a malformed request or an expired key, are returned at once.
//
// The error has the code of the refusal if the last attempt was refused.
// Otherwise it is NoEntryHost if no entry host could be found or connected to, or
// if the key prefix for a fresh key is unknown; NoAnswer if the connection failed
// later; TruncatedAnswer if the body could not be read to its end; BadAnswer for a
// body larger than 16 MiB or a malformed refusal; BadRequest if no HTTP request
// can be built; and DeadlineExpired if no attempt was made.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	if r.Deadline == 0 {
		r.Deadline = DefaultDeadline
	}
	deadline := time.Now().Add(r.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(refusalGrace))
	defer cancel()
	run, fresh := result.NotRun, r.Key == NewKey
	attempts, fullDomains := map[string]int{}, map[string]bool{}
	var lastErr *result.Error
	for try := 0; try < c.cfg.Tries && ctx.Err() == nil && time.Now().Before(deadline); try++ {
		a, err := c.Lookup(ctx, r.Route)
		if err != nil {
			return nil, result.From(err).WithRun(run)
		}
		host := c.nextHost(a.Hosts, attempts, fullDomains)
		attempts[host.Address]++
		// No attempt has run, so an earlier fresh key can be replaced by one that
		// this host owns. The owner of the earlier key may be the host that has
		// just failed.
		if fresh && run == result.NotRun {
			if r.Key, err = freshKey(c.keyPrefix(ctx, r.Route, host)); err != nil {
				lastErr = result.From(err)
				if !c.pause(ctx, lastErr, try, deadline) {
					break
				}
				continue
			}
		}
		resp, attemptErr := c.attemptWithLivenessCheck(ctx, host, r, deadline)
		if attemptErr == nil {
			resp.Key, resp.Tries = r.Key, try+1
			return resp, nil
		}
		lastErr = attemptErr
		fullDomains[host.Domain] = fullDomains[host.Domain] || isLoadRefusal(attemptErr.Code)
		run = result.MergeRunStates(run, attemptErr.Run)
		if !repeatable(r, attemptErr) {
			break
		}
		if attemptErr.Code == result.NoEntryHost || attemptErr.Code == result.NoAnswer {
			c.expireLookup(r.Route)
		}
		if !c.pause(ctx, attemptErr, try, deadline) {
			break
		}
	}
	if lastErr == nil {
		lastErr = result.New(result.DeadlineExpired, "deadline of %s passed", r.Deadline)
	}
	lastErr.Run = run
	return nil, lastErr
}

// repeatable reports whether another attempt is safe and may succeed.
func repeatable(r Request, err *result.Error) bool {
	switch err.Code {
	case result.KeyOwnerGone, result.KeyExpired, result.KeyAlreadyRun, result.KeyOutcomeUnknown:
		return false
	}
	// Codes from 1000 to 1999 are for requests that the caller has to correct.
	// SlowSender is the only one that may succeed at another attempt.
	codeFamily := err.Code / 1000
	if codeFamily == 1 && err.Code != result.SlowSender {
		return false
	}
	// A request with a truncated answer has run, but the caller gets the complete
	// answer only by another attempt.
	mayRepeat := err.Run == result.Unknown || err.Code == result.TruncatedAnswer
	return err.Run == result.NotRun || (mayRepeat && (r.Idempotent || r.Key != ""))
}

// pause waits before the next attempt, for the Retry-After time of err or an
// exponential backoff, whichever is longer, and reports whether the attempt may
// follow. If no attempt is left, or the wait would reach the deadline, it returns
// false at once, so that the caller gets the error without a useless wait.
func (c *Client) pause(ctx context.Context, err *result.Error, try int, deadline time.Time) bool {
	d := max(err.RetryAfter, minBackoff<<try)
	if try+1 >= c.cfg.Tries || time.Until(deadline) <= d {
		return false
	}
	return wait.For(ctx, d)
}

// keyPrefix returns the prefix of the idempotency keys that a host owns, or ""
// if it is unknown. An entry host that has just started does not know the
// prefixes of other failure domains yet, so its look-up answers lack them; in
// that case the owning host itself is asked.
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

// freshKey returns a random idempotency key with the prefix of its owner. An
// empty prefix is a NoEntryHost error, which the caller may retry.
func freshKey(prefix string) (string, error) {
	if prefix == "" {
		return "", result.New(result.NoEntryHost, "the key prefix of the entry host is unknown").WithRetryAfter(minBackoff)
	}
	b := make([]byte, 18)
	if _, err := rand.Read(b); err != nil {
		return "", errors.Trace(err)
	}
	return prefix + base64.RawURLEncoding.EncodeToString(b), nil
}

// attemptWithLivenessCheck makes one attempt. If the request may be repeated
// after an unknown outcome, it sends look-ups to the entry host as liveness checks
// while the answer is outstanding, and cancels the attempt when one of them gets
// no answer. A host that hangs, or whose connection is lost without a reset,
// would otherwise use up the whole deadline. A live host may take until the
// deadline.
func (c *Client) attemptWithLivenessCheck(ctx context.Context, host api.LookupHost, r Request, deadline time.Time) (*Response, *result.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.Idempotent || r.Key != "" {
		go func() {
			for wait.For(ctx, livenessCheckInterval) {
				checkCtx, cancelCheck := context.WithTimeout(ctx, livenessCheckTimeout)
				_, err := c.lookupAt(checkCtx, host.Address, "")
				cancelCheck()
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

// isRefusal reports whether an error of lookupAt is a refusal, which shows that
// the entry host is alive.
func isRefusal(err error) bool {
	var refusal *result.Error
	return stderrors.As(err, &refusal)
}

// attempt sends the request to one entry host. It reads the whole body before it
// returns, so that a truncated answer is an error.
func (c *Client) attempt(ctx context.Context, addr string, r Request, deadline time.Time) (*Response, *result.Error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, result.Wrap(err, result.BadRequest, "build request")
	}
	// net/http may resend a request on a new connection. If that connection
	// cannot be opened, it returns a dial error, although the first transmission
	// may have run. It resends requests with a GetBody function, and requests
	// without a body whose method is safe. Without GetBody and with a body that is
	// not nil, it does not resend.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, result.Wrap(err, result.TruncatedAnswer, "read answer from %s", addr).WithRun(result.Run)
	}
	if len(body) > maxAnswerBytes {
		return nil, result.New(result.BadAnswer, "answer from %s is larger than %d bytes", addr, maxAnswerBytes).WithRun(result.Run)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// isSafeMethod reports whether net/http resends requests of a method by itself.
func isSafeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// transportError converts an error of net/http. The run state is not-run only if
// no connection could be opened, and otherwise unknown.
func transportError(err error, addr string) *result.Error {
	var op *net.OpError
	if stderrors.As(err, &op) && op.Op == "dial" {
		return result.Wrap(err, result.NoEntryHost, "connect to entry host %s", addr)
	}
	return result.Wrap(err, result.NoAnswer, "request to entry host %s", addr).WithRun(result.Unknown)
}

// decodeRefusal returns the refusal in an answer as an error. A missing or
// unrecognized run state becomes unknown.
func decodeRefusal(resp *http.Response) *result.Error {
	var r api.Refusal
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&r); err != nil {
		return result.Wrap(err, result.BadAnswer, "%s", fmt.Sprintf("decode refusal with status %d", resp.StatusCode)).WithRun(result.Unknown)
	}
	e := r.Err()
	switch e.Run {
	case result.NotRun, result.Unknown, result.Run:
	default:
		e.Run = result.Unknown
	}
	return e
}
