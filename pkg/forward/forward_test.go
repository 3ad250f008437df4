package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/backend"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/pipenet"
)

// Guards against losing the request id or the body, and against running a
// request more often than it was sent.
func TestForwardsAndCounts(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		b := env.backend(backend.Config{Name: "b1"})
		for range 2 {
			a, err := env.f.Do(t.Context(), Request{In: request("POST", "/orders?pad=3", "kit"), Server: "b:80", RequestID: "r1"})
			require.Nil(t, err)
			rec := httptest.NewRecorder()
			a.Reply(rec)
			require.Equal(t, 200, rec.Code)
			require.Equal(t, "r1", rec.Header().Get(HeaderRequestID))
			require.JSONEq(t, `{"server":"b1","path":"/orders","work":"r1","request":"r1","pad":"xxx"}`, rec.Body.String())
		}
		require.Equal(t, 2, b.Counts().Runs["r1"])
		require.Equal(t, []ServerDump{{Server: "b:80", Open: 1, Idle: 1, IdleMs: []int64{0}}}, env.f.Dump())
	})
}

// Guards against a wrong result code or run state for each way in which a
// server can fail.
func TestFailingServers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, tc := range map[string]struct {
		script func(int, net.Conn, *bufio.Reader)
		code   result.Code
		run    result.RunState
	}{
		"closes after the head": {pipenet.Answer(""), result.NoAnswer, result.Unknown},
		"closes in the head":    {pipenet.Answer(ok + "A: b\r\n"), result.NoAnswer, result.Unknown},
		"never answers":         {func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) }, result.DeadlineRunning, result.Unknown},
		"never reads":           {func(int, net.Conn, *bufio.Reader) {}, result.DeadlineRunning, result.Unknown},
		"malformed answer":      {pipenet.Answer("SSH-2.0\r\n\r\n"), result.BadAnswer, result.Unknown},
		"malformed header":      {pipenet.Answer(ok + "a b c\r\n\r\n"), result.BadAnswer, result.Unknown},
		"endless head":          {pipenet.Answer(ok + "A: " + strings.Repeat("x", DefaultAnswerHeadBytes) + "\r\n\r\n"), result.BadAnswer, result.Unknown},
		"two lengths":           {pipenet.Answer(ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"), result.BadAnswer, result.Unknown},
		"switches protocols":    {pipenet.Answer("HTTP/1.1 101 S\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"), result.BadAnswer, result.Unknown},
		"other request's id":    {pipenet.Answer(ok + HeaderRequestID + ": r2\r\nContent-Length: 0\r\n\r\n"), result.BadAnswer, result.Unknown},
		"two ids":               {pipenet.Answer(ok + HeaderRequestID + ": r1\r\n" + HeaderRequestID + ": r2\r\nContent-Length: 0\r\n\r\n"), result.BadAnswer, result.Unknown},
		"truncated":             {pipenet.Answer(ok + "Content-Length: 9\r\n\r\nhalf"), result.TruncatedAnswer, result.Unknown},
		"stalls in the body": {func(i int, c net.Conn, r *bufio.Reader) {
			pipenet.Answer(ok+"Content-Length: 9\r\n\r\nhalf")(i, c, r)
			_, _ = io.Copy(io.Discard, r)
		}, result.DeadlineRunning, result.Unknown},
		"sheds":                 {pipenet.Answer("HTTP/1.1 503 S\r\n" + HeaderRun + ": not-run\r\nContent-Length: 0\r\n\r\n"), result.ServerShed, result.NotRun},
		"503 without run state": {pipenet.Answer("HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n"), result.OK, result.Run},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, Config{}, func(t *testing.T, env *testEnv) {
				env.script("b", func(i int, c net.Conn, r *bufio.Reader) {
					tc.script(i, c, r)
					if name == "never reads" {
						<-t.Context().Done()
					}
				})
				start := time.Now()
				a, err := env.get("/", 2*time.Second)
				if tc.code == result.OK {
					require.Nil(t, err)
					require.Equal(t, tc.run, a.Run)
					return
				}
				env.requireError(tc.code, tc.run, err)
				require.LessOrEqual(t, time.Since(start), 2*time.Second)
				if tc.code != result.ServerShed {
					require.Zero(t, env.f.Dump()[0].Open, "a connection stayed open")
				}
			})
		})
	}
}

// Guards against reporting the run state unknown for a request that certainly
// did not run, or not-run for one that may have run.
func TestRequestsThatDoNotStart(t *testing.T) {
	bubble(t, Config{ConnectTimeout: time.Second}, func(t *testing.T, env *testEnv) {
		_, err := env.get("/", 5*time.Second)
		env.requireError(result.ConnectFailed, result.NotRun, err)
		ln := env.Listen("b") // never accepts a connection
		_, err = env.get("/", 5*time.Second)
		env.requireError(result.ConnectFailed, result.NotRun, err)
		_, err = env.get("/", time.Second/2)
		env.requireError(result.DeadlineExpired, result.NotRun, err)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = env.do(Request{In: request("GET", "/", "").WithContext(ctx)})
		env.requireError(result.CallerGone, result.NotRun, err)
		_, err = env.do(Request{In: request("CONNECT", "/", "")})
		env.requireError(result.MethodNotAllowed, result.NotRun, err)
		require.NoError(t, ln.Close())
	})
}

// Guards against sending a request whose grant expired while the process was
// paused. No byte may reach the server, on a new and on a reused connection.
func TestValidIsAskedBeforeTheFirstByte(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		b := env.backend(backend.Config{})
		for range 2 {
			_, err := env.do(Request{In: request("POST", "/", "x"), Once: true, RequestID: "late", Valid: func() bool { return false }})
			env.requireError(result.DeadlineExpired, result.NotRun, err)
			_, err = env.post()
			require.Nil(t, err)
		}
		require.Zero(t, b.Counts().Runs["late"])
		require.Equal(t, 2, b.Counts().Runs["k"])
	})
	a := &attempt{requestValid: func() bool { return true }}
	require.NoError(t, a.allowWrite())
	require.False(t, a.cancelUnsent(), "bytes may have been written")
	a = &attempt{}
	require.True(t, a.cancelUnsent())
	require.ErrorIs(t, a.allowWrite(), errAttemptEnded, "a cancelled attempt must not write")
}

// Guards against a server that keeps working for a caller that has
// disconnected.
func TestCallerGoneCancelsServer(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		b := env.backend(backend.Config{Service: time.Minute})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		start := time.Now()
		_, err := env.do(Request{In: request("GET", "/", "").WithContext(ctx)})
		env.requireError(result.CallerGone, result.Unknown, err)
		require.Equal(t, time.Second, time.Since(start))
		time.Sleep(time.Second)
		require.Equal(t, 1, b.Counts().Cancelled)
		require.Zero(t, b.Counts().Running)

		// The context of the caller's request cancels as well as that of Do.
		inCtx, cancelIn := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancelIn)
		_, err = env.f.Do(t.Context(), Request{In: request("GET", "/", "").WithContext(inCtx), Server: "b:80", RequestID: "r1"})
		env.requireError(result.CallerGone, result.Unknown, err)
	})
}

// Guards against an answer that arrives after its deadline and is taken for the
// answer to the next request on the connection.
func TestLateAnswerReachesNobody(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		b := env.backend(backend.Config{})
		b.SetModes(backend.Modes{LateMs: 3000})
		_, err := env.do(Request{In: request("GET", "/", ""), RequestID: "old", DeadlineAt: time.Now().Add(time.Second)})
		env.requireError(result.DeadlineRunning, result.Unknown, err)
		require.Zero(t, env.f.Dump()[0].Open)
		b.SetModes(backend.Modes{})
		time.Sleep(2500 * time.Millisecond)
		a, err := env.get("/", 5*time.Second)
		require.Nil(t, err)
		require.Equal(t, "r1", a.Header.Get(HeaderRequestID))
		require.False(t, a.Reused)
	})
}

// Guards against writes on connections whose state may have been lost: a write
// uses a connection only within WriteFreshness of its last answer.
func TestWritesNeedFreshConnections(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		env.backend(backend.Config{})
		for _, step := range []struct {
			wait   time.Duration
			reused bool
		}{{0, false}, {WriteFreshness, true}, {WriteFreshness + 1, false}} {
			time.Sleep(step.wait)
			a, err := env.post()
			require.Nil(t, err)
			require.Equal(t, step.reused, a.Reused)
		}
		time.Sleep(10 * time.Second)
		a, err := env.get("/", time.Second)
		require.Nil(t, err)
		require.True(t, a.Reused, "a read may use an older connection")
		env.LoseState()
		time.Sleep(WriteFreshness + 1)
		_, err = env.post()
		require.Nil(t, err)
	})
	// Each reading advances the clock by 0.4 s, so a connection that is fresh
	// when it is chosen is stale when the first byte is to be written.
	var clockReads atomic.Int64
	bubble(t, Config{Now: func() time.Time {
		return time.Unix(0, 0).Add(time.Duration(clockReads.Add(1)) * 400 * time.Millisecond)
	}}, func(t *testing.T, env *testEnv) {
		b := env.backend(backend.Config{})
		for range 2 {
			in := request("POST", "/", "kit")
			a, err := env.do(Request{In: in, Once: true})
			require.Nil(t, err)
			require.False(t, a.Reused)
		}
		require.Equal(t, 2, b.Counts().Runs["r1"])
	})
}

// Guards against requests that time out one after another on idle connections
// whose state was lost together: after the first has timed out, the idle
// connections without a later answer must be closed.
func TestSilentConnectionsAreFoundByTheDeadline(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		b := env.backend(backend.Config{Slots: 3, Service: time.Second})
		done := make(chan *result.Error)
		for range 3 {
			go func() { _, err := env.get("/", 9*time.Second); done <- err }()
		}
		for range 3 {
			require.Nil(t, <-done)
		}
		require.Equal(t, 3, env.f.Dump()[0].Idle)
		env.LoseState()
		start := time.Now()
		_, err := env.get("/", 2*time.Second)
		env.requireError(result.DeadlineRunning, result.Unknown, err)
		require.Equal(t, 2*time.Second, time.Since(start))
		require.Zero(t, env.f.Dump()[0].Open)
		_, err = env.get("/", 2*time.Second)
		require.Nil(t, err)
		require.Equal(t, 4, b.Counts().Completed)
	})
}

// dropSecondRequest closes the first connection without an answer after its
// second request and answers all other requests. It counts the requests.
func dropSecondRequest(requests *atomic.Int64) func(int, net.Conn, *bufio.Reader) {
	return func(i int, c net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			requests.Add(1)
			if i == 0 && n == 1 {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// Guards against the automatic retry of net/http, which repeats a POST with an
// Idempotency-Key on another connection. The first half shows that the retry
// exists. http.ClientConn, which is bound to one connection, does not retry.
func TestLostWriteIsNotRepeated(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		var requests atomic.Int64
		env.script("b", dropSecondRequest(&requests))
		tr := &http.Transport{DialContext: env.Dial}
		t.Cleanup(tr.CloseIdleConnections)
		for range 2 {
			req, _ := http.NewRequest("POST", "http://b:80/orders", strings.NewReader("kit"))
			req.Header.Set("Idempotency-Key", "k")
			resp, err := tr.RoundTrip(req)
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		require.EqualValues(t, 3, requests.Load(), "net/http repeats the second request")
	})
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		var requests atomic.Int64
		env.script("b", dropSecondRequest(&requests))
		_, err := env.post()
		require.Nil(t, err)
		_, err = env.post()
		env.requireError(result.NoAnswer, result.Unknown, err)
		require.EqualValues(t, 2, requests.Load())
	})
}

// Guards against connections without a limit, and against pools that remain
// after their servers were removed from the tables.
func TestPoolIsBoundedAndSwept(t *testing.T) {
	bubble(t, Config{ConnsPerServer: 2}, func(t *testing.T, env *testEnv) {
		env.backend(backend.Config{Slots: 9, Service: 2 * time.Second})
		errs := make(chan *result.Error, 3)
		for range 3 {
			go func() { _, err := env.get("/", 9*time.Second); errs <- err }()
		}
		env.requireError(result.ConnsInUse, result.NotRun, <-errs)
		require.Nil(t, <-errs)
		require.Nil(t, <-errs)
		require.Equal(t, 2, env.f.Dump()[0].Idle)
		time.Sleep(WriteFreshness + 1)
		_, err := env.post()
		require.Nil(t, err, "an old idle connection makes room")
		require.Equal(t, 2, env.f.Dump()[0].Open)
		time.Sleep(3 * DefaultIdleTimeout)
		require.Empty(t, env.f.Dump())
	})
}

// Guards against a retry that sends an empty or a different body.
func TestBodyIsSentAgain(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		var got []string
		env.serve("b", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			got = append(got, string(b))
			if len(got) == 1 {
				panic(http.ErrAbortHandler)
			}
		})})
		in := request("PUT", "/", "same body")
		body, err := OpenBody(in, 0)
		require.Nil(t, err)
		defer body.Close()
		require.True(t, body.Replayable())
		r := Request{In: in, Body: body, Idempotent: true}
		_, err = env.do(r)
		env.requireError(result.NoAnswer, result.Unknown, err)
		_, err = env.do(r)
		require.Nil(t, err)
		require.Equal(t, []string{"same body", "same body"}, got)
		big := request("PUT", "/", strings.Repeat("x", BufferBytes+1))
		stream, err := OpenBody(big, 0)
		require.Nil(t, err)
		defer stream.Close()
		require.False(t, stream.Replayable())
		_, err = env.do(Request{In: big, Body: stream})
		require.Nil(t, err)
		require.Len(t, got[2], BufferBytes+1)
		_, err = env.do(Request{In: big, Body: stream})
		env.requireError(result.Internal, result.NotRun, err)
	})
}
