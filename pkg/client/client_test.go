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

// world is a client and scripted entry hosts in virtual time. Hosts "a" and "b"
// are in the look-up answer of every host that answers look-ups.
type world struct {
	t       *testing.T
	net     *pipenet.Network
	client  *Client
	lookups int
	// got are the requests that arrived, without look-ups.
	got []*http.Request
}

const cacheTime = 10 * time.Second

func run(t *testing.T, body func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, net: pipenet.New()}
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

// host serves look-ups and gives all other requests to handle.
func (w *world) host(name string, handle http.HandlerFunc) (stop func()) {
	mux := http.NewServeMux()
	mux.HandleFunc(api.LookupPath, func(rw http.ResponseWriter, r *http.Request) {
		w.lookups++
		api.WriteJSON(rw, http.StatusOK, api.LookupAnswer{Domain: "d", CacheMS: cacheTime.Milliseconds(), Hosts: []api.LookupHost{
			{Name: "a", Address: "a:1", KeyPrefix: "k1.d.a.1.0."}, {Name: "b", Address: "b:1", KeyPrefix: "k1.d.b.1.0."},
		}})
	})
	mux.HandleFunc("/", func(rw http.ResponseWriter, r *http.Request) {
		w.got = append(w.got, r)
		handle(rw, r)
	})
	return w.net.Serve(name, &http.Server{Handler: mux})
}

func ok(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "fine") }

func refuse(err *result.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { api.WriteRefusal(w, "id", err) }
}

// hangUp closes the connection without an answer.
func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// fails sends r and returns its error.
func (w *world) fails(r Request) *result.Error {
	_, err := w.client.Do(w.t.Context(), r)
	var e *result.Error
	require.True(w.t, errors.As(err, &e), "%v", err)
	return e
}

func (w *world) succeeds(r Request) *Response {
	resp, err := w.client.Do(w.t.Context(), r)
	require.NoError(w.t, err)
	require.Equal(w.t, "fine", string(resp.Body))
	return resp
}

var (
	lookUp = Request{Method: http.MethodGet, Path: "/catalog/1", Route: "catalog", Idempotent: true}
	order  = Request{Method: http.MethodPost, Path: "/orders/1", Route: "orders", Body: []byte("item")}
)

func keyed(r Request, key string) Request {
	r.Key = key
	return r
}

// Guards against look-ups for every request, and against a cached answer that
// is used for longer than it may be.
func TestLookupIsCached(t *testing.T) {
	run(t, func(w *world) {
		defer w.host("a", ok)()
		w.succeeds(lookUp)
		time.Sleep(cacheTime - time.Millisecond)
		w.succeeds(lookUp)
		require.Equal(t, 1, w.lookups)
		time.Sleep(time.Millisecond)
		w.succeeds(lookUp)
		require.Equal(t, 2, w.lookups)
	})
}

// Guards against callers that fail because no host answers look-ups while the
// hosts that they know still work.
func TestStaleLookupIsUsed(t *testing.T) {
	run(t, func(w *world) {
		stop := w.host("a", ok)
		w.succeeds(lookUp)
		stop()
		time.Sleep(cacheTime)
		_, err := w.client.Lookup(w.t.Context(), "other")
		require.Equal(t, result.NoEntryHost, result.CodeOf(err))
		a, err := w.client.Lookup(w.t.Context(), "catalog")
		require.NoError(t, err)
		require.Len(t, a.Hosts, 2)
	})
}

// Guards against a request that fails with the first host, and against a host
// that refused a connection and is tried first again.
func TestNextHostAfterRefusedConnection(t *testing.T) {
	run(t, func(w *world) {
		stop := w.host("a", ok)
		defer w.host("b", ok)()
		require.Equal(t, 1, w.succeeds(order).Tries)
		stop()
		require.Equal(t, 2, w.succeeds(order).Tries)
		require.Equal(t, 1, w.succeeds(order).Tries)
		require.Len(t, w.got, 3)
	})
}

// Guards against a key of a host that no longer runs while no attempt has run
// and another key is possible.
func TestFreshKeyOfNextHost(t *testing.T) {
	run(t, func(w *world) {
		stop := w.host("a", ok)
		defer w.host("b", ok)()
		w.succeeds(order)
		stop()
		r := w.succeeds(keyed(order, NewKey))
		require.Equal(t, 2, r.Tries)
		require.True(t, strings.HasPrefix(r.Key, "k1.d.b.1.0."), r.Key)
	})
}

// Guards against work that runs twice because its first outcome was unknown,
// and against look-ups and keyed work that are given up too soon.
func TestUnknownOutcome(t *testing.T) {
	for _, x := range []struct {
		name    string
		request Request
		broken  http.HandlerFunc
		code    result.Code
		run     result.RunState
		repeat  bool
	}{
		{"write", order, hangUp, result.NoAnswer, result.Unknown, false},
		{"write with key", keyed(order, "k1.d.a.1.0.x"), hangUp, 0, "", true},
		{"look-up", lookUp, hangUp, 0, "", true},
		{"truncated write", order, truncate, result.TruncatedAnswer, result.Run, false},
		{"truncated write with key", keyed(order, "k1.d.a.1.0.x"), truncate, 0, "", true},
		{"truncated look-up", lookUp, truncate, 0, "", true},
		{"refused as unknown", order, refuse(result.New(result.NoAnswer, "lost").WithRun(result.Unknown)), result.NoAnswer, result.Unknown, false},
		{"refusal without run state", order, refuse(result.New(result.NoAnswer, "lost").WithRun("")), result.NoAnswer, result.Unknown, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			run(t, func(w *world) {
				defer w.host("a", x.broken)()
				defer w.host("b", ok)()
				if x.repeat {
					require.Equal(t, 2, w.succeeds(x.request).Tries)
					require.Equal(t, w.got[0].Header.Get(api.HeaderKey), w.got[1].Header.Get(api.HeaderKey))
					return
				}
				e := w.fails(x.request)
				require.Equal(t, x.code, e.Code)
				require.Equal(t, x.run, e.Run)
				require.Len(t, w.got, 1)
			})
		})
	}
}

// Guards against a second key for work that may have run under the first one.
func TestFreshKeyOnlyBeforeAnyRun(t *testing.T) {
	run(t, func(w *world) {
		defer w.host("a", hangUp)()
		defer w.host("b", ok)()
		r := w.succeeds(keyed(order, NewKey))
		require.True(t, strings.HasPrefix(r.Key, "k1.d.a.1.0."), r.Key)
		require.Equal(t, r.Key, w.got[0].Header.Get(api.HeaderKey))
		require.Equal(t, r.Key, w.got[1].Header.Get(api.HeaderKey))
	})
}

// Guards against a failed request that is called not-run after an earlier
// attempt may have run.
func TestRunStateOverAllAttempts(t *testing.T) {
	run(t, func(w *world) {
		defer w.host("a", hangUp)()
		defer w.host("b", refuse(result.New(result.BadIdempotencyKey, "bad")))()
		e := w.fails(keyed(order, "k1.d.a.1.0.x"))
		require.Equal(t, result.BadIdempotencyKey, e.Code)
		require.Equal(t, result.Unknown, e.Run)
	})
}

// Guards against attempts before the time that a refusal names, against a wait
// that cannot help, and against a wrong deadline header of later attempts.
func TestRetryAfterAndDeadlineHeader(t *testing.T) {
	run(t, func(w *world) {
		defer w.host("a", refuse(result.New(result.QueueFull, "full").WithRetryAfter(300*time.Millisecond)))()
		defer w.host("b", ok)()
		start := time.Now()
		r := order
		r.Deadline = time.Second
		require.Equal(t, 2, w.succeeds(r).Tries)
		require.Equal(t, 300*time.Millisecond, time.Since(start))
		require.Equal(t, "1000", w.got[0].Header.Get(api.HeaderDeadline))
		require.Equal(t, "700", w.got[1].Header.Get(api.HeaderDeadline))
		r.Deadline = 200 * time.Millisecond
		start = time.Now()
		e := w.fails(r)
		require.Equal(t, result.QueueFull, e.Code)
		require.Equal(t, result.NotRun, e.Run)
		require.Equal(t, 300*time.Millisecond, e.RetryAfter)
		require.Zero(t, time.Since(start), "no attempt fits before the deadline")
	})
}

// Guards against a bounded number of attempts that ends with one more wait.
func TestNoWaitAfterLastTry(t *testing.T) {
	run(t, func(w *world) {
		full := refuse(result.New(result.QueueFull, "full").WithRetryAfter(100 * time.Millisecond))
		defer w.host("a", full)()
		defer w.host("b", full)()
		start := time.Now()
		w.fails(order)
		require.Len(t, w.got, DefaultTries)
		require.Equal(t, (DefaultTries-1)*100*time.Millisecond, time.Since(start))
	})
}

// Guards against net/http, which by itself repeats a GET request whose reused
// connection broke. Work that is not idempotent would run twice, and work at a
// host that died would be called not-run because its repetition found no host.
func TestNoHiddenRepetition(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		run(t, func(w *world) {
			seen := 0
			body := fmt.Sprintf(`{"cache_ms":%d,"hosts":[{"name":"a","address":"a:1"}]}`, cacheTime.Milliseconds())
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
			e := w.fails(Request{Method: http.MethodGet, Path: "/pledge", Route: "pledge", Idempotent: idempotent})
			require.Equal(t, result.Unknown, e.Run, "idempotent: %v", idempotent)
			require.Equal(t, 1, seen)
		})
	}
}
