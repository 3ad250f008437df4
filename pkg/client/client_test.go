package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/pipenet"
)

// testNet is a client and an in-memory network of entry hosts in virtual time.
// Each host that serves look-ups answers them with the hosts "a" and "b".
type testNet struct {
	t      *testing.T
	net    *pipenet.Network
	client *Client
	// lookups counts the look-ups that arrived.
	lookups int
	// requests holds the requests that arrived, without look-ups.
	requests []*http.Request
}

const lookupCacheTime = 10 * time.Second

func runInVirtualTime(t *testing.T, body func(w *testNet)) {
	synctest.Test(t, func(t *testing.T) {
		w := &testNet{t: t, net: pipenet.New()}
		tr := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := w.net.Dial(ctx, network, addr)
			if err != nil {
				return nil, &net.OpError{Op: "dial", Net: network, Err: err}
			}
			return c, nil
		}}
		defer tr.CloseIdleConnections()
		w.client = New(Config{Seeds: []string{"a:1", "b:1"}, HTTP: &http.Client{Transport: tr}})
		body(w)
	})
}

// serveHost starts a host that answers look-ups and passes other requests to
// handle.
func (w *testNet) serveHost(name string, handle http.HandlerFunc) (stop func()) {
	mux := http.NewServeMux()
	mux.HandleFunc(api.LookupPath, func(rw http.ResponseWriter, r *http.Request) {
		w.lookups++
		api.WriteJSON(rw, http.StatusOK, api.LookupAnswer{Domain: "d", CacheMS: lookupCacheTime.Milliseconds(), Hosts: []api.LookupHost{
			{Name: "a", Address: "a:1", KeyPrefix: "k1.d.a.1.0."}, {Name: "b", Address: "b:1", KeyPrefix: "k1.d.b.1.0."},
		}})
	})
	mux.HandleFunc("/", func(rw http.ResponseWriter, r *http.Request) {
		w.requests = append(w.requests, r)
		handle(rw, r)
	})
	return w.net.Serve(name, &http.Server{Handler: mux})
}

func answerFine(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "fine") }

// refuse returns a handler that answers each request with err as a refusal.
func refuse(err *result.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { api.WriteRefusal(w, "id", err) }
}

// hangUp closes the connection without sending an answer.
func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// truncate closes the connection after a part of the announced body.
func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// requireFailure sends r, which must fail with a *result.Error, and returns that.
func (w *testNet) requireFailure(r Request) *result.Error {
	_, err := w.client.Do(w.t.Context(), r)
	var e *result.Error
	require.True(w.t, errors.As(err, &e), "%v", err)
	return e
}

// requireSuccess sends r, which must get the answer of answerFine.
func (w *testNet) requireSuccess(r Request) *Response {
	resp, err := w.client.Do(w.t.Context(), r)
	require.NoError(w.t, err)
	require.Equal(w.t, "fine", string(resp.Body))
	return resp
}

var (
	catalogRead = Request{Method: http.MethodGet, Path: "/catalog/1", Route: "catalog", Idempotent: true}
	orderWrite  = Request{Method: http.MethodPost, Path: "/orders/1", Route: "orders", Body: []byte("item")}
)

func keyed(r Request, key string) Request {
	r.Key = key
	return r
}

// Guards against a look-up for every request, and against the use of a cached
// answer after its expiry.
func TestLookupIsCached(t *testing.T) {
	runInVirtualTime(t, func(w *testNet) {
		defer w.serveHost("a", answerFine)()
		w.requireSuccess(catalogRead)
		time.Sleep(lookupCacheTime - time.Millisecond)
		w.requireSuccess(catalogRead)
		require.Equal(t, 1, w.lookups)
		time.Sleep(time.Millisecond)
		w.requireSuccess(catalogRead)
		require.Equal(t, 2, w.lookups)
	})
}

// Guards against requests that fail because no host answers look-ups, although
// the hosts in the expired answer may still work.
func TestStaleLookupIsUsed(t *testing.T) {
	runInVirtualTime(t, func(w *testNet) {
		stop := w.serveHost("a", answerFine)
		w.requireSuccess(catalogRead)
		stop()
		time.Sleep(lookupCacheTime)
		_, err := w.client.Lookup(w.t.Context(), "other")
		require.Equal(t, result.NoEntryHost, result.CodeOf(err))
		a, err := w.client.Lookup(w.t.Context(), "catalog")
		require.NoError(t, err)
		require.Len(t, a.Hosts, 2)
	})
}

// Guards against a request that fails because its first host refuses the
// connection, and against the next request trying that host first again.
func TestNextHostAfterRefusedConnection(t *testing.T) {
	runInVirtualTime(t, func(w *testNet) {
		stop := w.serveHost("a", answerFine)
		defer w.serveHost("b", answerFine)()
		require.Equal(t, 1, w.requireSuccess(orderWrite).Tries)
		stop()
		require.Equal(t, 2, w.requireSuccess(orderWrite).Tries)
		require.Equal(t, 1, w.requireSuccess(orderWrite).Tries)
		require.Len(t, w.requests, 3)
	})
}

// Guards against keeping a fresh key whose owner is down, although no attempt has
// run and the next host can own a new key.
func TestFreshKeyOfNextHost(t *testing.T) {
	runInVirtualTime(t, func(w *testNet) {
		stop := w.serveHost("a", answerFine)
		defer w.serveHost("b", answerFine)()
		w.requireSuccess(orderWrite)
		stop()
		r := w.requireSuccess(keyed(orderWrite, NewKey))
		require.Equal(t, 2, r.Tries)
		require.True(t, strings.HasPrefix(r.Key, "k1.d.b.1.0."), r.Key)
	})
}

// Guards against a request that runs twice because its first outcome was unknown,
// and against idempotent or keyed requests that are not repeated.
func TestUnknownOutcome(t *testing.T) {
	for _, tc := range []struct {
		name        string
		request     Request
		firstAnswer http.HandlerFunc
		code        result.Code
		run         result.RunState
		repeated    bool
	}{
		{"write", orderWrite, hangUp, result.NoAnswer, result.Unknown, false},
		{"write with key", keyed(orderWrite, "k1.d.a.1.0.x"), hangUp, 0, "", true},
		{"read", catalogRead, hangUp, 0, "", true},
		{"truncated write", orderWrite, truncate, result.TruncatedAnswer, result.Run, false},
		{"truncated write with key", keyed(orderWrite, "k1.d.a.1.0.x"), truncate, 0, "", true},
		{"truncated read", catalogRead, truncate, 0, "", true},
		{"refused as unknown", orderWrite, refuse(result.New(result.NoAnswer, "lost").WithRun(result.Unknown)), result.NoAnswer, result.Unknown, false},
		{"refusal without run state", orderWrite, refuse(result.New(result.NoAnswer, "lost").WithRun("")), result.NoAnswer, result.Unknown, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runInVirtualTime(t, func(w *testNet) {
				defer w.serveHost("a", tc.firstAnswer)()
				defer w.serveHost("b", answerFine)()
				if tc.repeated {
					require.Equal(t, 2, w.requireSuccess(tc.request).Tries)
					require.Equal(t, w.requests[0].Header.Get(api.HeaderKey), w.requests[1].Header.Get(api.HeaderKey))
					return
				}
				e := w.requireFailure(tc.request)
				require.Equal(t, tc.code, e.Code)
				require.Equal(t, tc.run, e.Run)
				require.Len(t, w.requests, 1)
			})
		})
	}
}

// Guards against a second fresh key for a request that may have run under the
// first one.
func TestFreshKeyOnlyBeforeAnyRun(t *testing.T) {
	runInVirtualTime(t, func(w *testNet) {
		defer w.serveHost("a", hangUp)()
		defer w.serveHost("b", answerFine)()
		r := w.requireSuccess(keyed(orderWrite, NewKey))
		require.True(t, strings.HasPrefix(r.Key, "k1.d.a.1.0."), r.Key)
		require.Equal(t, r.Key, w.requests[0].Header.Get(api.HeaderKey))
		require.Equal(t, r.Key, w.requests[1].Header.Get(api.HeaderKey))
	})
}

// Guards against a failed request that is reported as not-run, from its last
// attempt, although an earlier attempt may have run.
func TestRunStateOverAllAttempts(t *testing.T) {
	runInVirtualTime(t, func(w *testNet) {
		defer w.serveHost("a", hangUp)()
		defer w.serveHost("b", refuse(result.New(result.BadIdempotencyKey, "bad")))()
		e := w.requireFailure(keyed(orderWrite, "k1.d.a.1.0.x"))
		require.Equal(t, result.BadIdempotencyKey, e.Code)
		require.Equal(t, result.Unknown, e.Run)
	})
}

// Guards against attempts before the retry time of a refusal, against a wait that
// would end after the deadline, and against later attempts whose deadline header
// does not hold the remaining time.
func TestRetryAfterAndDeadlineHeader(t *testing.T) {
	runInVirtualTime(t, func(w *testNet) {
		defer w.serveHost("a", refuse(result.New(result.QueueFull, "full").WithRetryAfter(300*time.Millisecond)))()
		defer w.serveHost("b", answerFine)()
		start := time.Now()
		r := orderWrite
		r.Deadline = time.Second
		require.Equal(t, 2, w.requireSuccess(r).Tries)
		require.Equal(t, 300*time.Millisecond, time.Since(start))
		require.Equal(t, "1000", w.requests[0].Header.Get(api.HeaderDeadline))
		require.Equal(t, "700", w.requests[1].Header.Get(api.HeaderDeadline))
		r.Deadline = 200 * time.Millisecond
		start = time.Now()
		e := w.requireFailure(r)
		require.Equal(t, result.QueueFull, e.Code)
		require.Equal(t, result.NotRun, e.Run)
		require.Equal(t, 300*time.Millisecond, e.RetryAfter)
		require.Zero(t, time.Since(start), "no attempt fits before the deadline")
	})
}

// Guards against a backoff after the last attempt.
func TestNoWaitAfterLastTry(t *testing.T) {
	runInVirtualTime(t, func(w *testNet) {
		full := refuse(result.New(result.QueueFull, "full").WithRetryAfter(100 * time.Millisecond))
		defer w.serveHost("a", full)()
		defer w.serveHost("b", full)()
		start := time.Now()
		w.requireFailure(orderWrite)
		require.Len(t, w.requests, DefaultTries)
		require.Equal(t, (DefaultTries-1)*100*time.Millisecond, time.Since(start))
	})
}

// Guards against a resend by net/http, which repeats a GET request when its reused
// connection breaks. A request that is not idempotent would run twice, and a
// request to a host that crashed would be reported as not-run, because the resend
// fails with a dial error.
func TestNoHiddenRepetition(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		runInVirtualTime(t, func(w *testNet) {
			seen := 0
			body := fmt.Sprintf(`{"cache_ms":%d,"hosts":[{"name":"a","address":"a:1"}]}`, lookupCacheTime.Milliseconds())
			stop := w.net.Script("a", func(_ int, c net.Conn, r *bufio.Reader) {
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if req.URL.Path != api.LookupPath {
						seen++
						_ = w.net.Listen("a").Close() // refuses new connections
						return
					}
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
			})
			defer stop()
			e := w.requireFailure(Request{Method: http.MethodGet, Path: "/pledge", Route: "pledge", Idempotent: idempotent})
			require.Equal(t, result.Unknown, e.Run, "idempotent: %v", idempotent)
			require.Equal(t, 1, seen)
		})
	}
}
