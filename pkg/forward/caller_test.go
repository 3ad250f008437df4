package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/backend"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/pipenet"
)

// captureRequests serves "b" and sends each request, with its whole body, to
// the returned channel. Its answers have headers that must not reach the
// caller.
func (env *testEnv) captureRequests() chan *http.Request {
	got := make(chan *http.Request, 16)
	env.serve("b", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(b)))
		got <- r
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Set("Keep-Alive", "timeout=1")
		w.Header().Set(HeaderRun, "run")
	})})
	return got
}

// Guards against forwarding hop-by-hop headers or headers that only entry hosts
// may set, and against losing the caller's address or the Host header.
func TestRequestAndAnswerHeaders(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		got := env.captureRequests()
		env.entry(Limits{}, 0)
		c := env.sendRaw("GET /a%2Fb?q=1;2 HTTP/1.1\r\nHost: shop.example\r\nConnection: keep-alive, X-Hop, Forwarded\r\nX-Hop: 1\r\n" +
			"Keep-Alive: 1\r\nTE: trailers\r\nUpgrade: x\r\nProxy-Authorization: x\r\nX-Keep: 1\r\nX-Keep: 2\r\nForwarded: for=evil\r\n" +
			"X-Forwarded-For: 10.0.0.1\r\n" + HeaderRelay + ": x\r\n" + HeaderRun + ": run\r\n" + HeaderRequestID + ": forged\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		r := <-got
		require.Equal(t, "/a%2Fb?q=1;2", r.RequestURI)
		require.Equal(t, "shop.example", r.Host)
		require.Equal(t, http.Header{
			"X-Keep": {"1", "2"}, "X-Forwarded-For": {"10.0.0.1, 127.0.0.1"},
			"Forwarded": {`for=127.0.0.1;proto=http;host="shop.example"`}, HeaderRequestID: {"r1"},
		}, r.Header)
		for _, k := range []string{"X-Private", "Keep-Alive", HeaderRun} {
			require.Empty(t, resp.Header[k], k)
		}
		in := request("GET", "/", "")
		in.Header.Set(HeaderDeadline, "99999")
		_, rerr := env.do(Request{In: in, DeadlineAt: time.Now().Add(1500 * time.Millisecond)})
		require.Nil(t, rerr)
		require.Equal(t, []string{"1500"}, (<-got).Header[HeaderDeadline], "the remaining time, not what the caller wrote")
	})
}

// Guards against request smuggling, where caller and server disagree on where a
// request ends, and against heads and bodies without a limit. Each case has its
// exact code and run state.
func TestFramingAndLimits(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: b\r\n"
	long := strings.Repeat("x", 100_000)
	chunked := func(n int) string {
		return post + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(n), 16) + "\r\n" + long[:n] + "\r\n0\r\n\r\n"
	}
	for name, tc := range map[string]struct {
		raw    string
		status int
		code   result.Code
		run    result.RunState
		runs   int
	}{
		"two lengths":             {post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, 0, "", 0},
		"signed length":           {post + "Content-Length: +1\r\n\r\na", 400, 0, "", 0},
		"unknown encoding":        {post + "Transfer-Encoding: gzip\r\n\r\n", 501, 0, "", 0},
		"space before colon":      {post + "Content-Length : 1\r\n\r\na", 400, 0, "", 0},
		"bad line":                {post + "nonsense\r\n\r\n", 400, 0, "", 0},
		"no host":                 {"GET / HTTP/1.1\r\n\r\n", 400, 0, "", 0},
		"same length twice":       {post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", 200, 0, "", 1},
		"length and chunked":      {post + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", 200, 0, "", 1},
		"HTTP/1.0":                {"GET / HTTP/1.0\r\n\r\n", 200, 0, "", 1},
		"head over the limit":     {post + "A: " + long[:5000] + "\r\n\r\n", 431, result.HeadTooLarge, result.NotRun, 0},
		"head far over the limit": {post + "A: " + long + "\r\n\r\n", 431, 0, "", 0},
		"body over the limit":     {post + "Content-Length: 60001\r\n\r\n", 413, result.BodyTooLarge, result.NotRun, 0},
		"chunked, buffered":       {chunked(20_000), 200, 0, "", 1},
		"chunks over the limit":   {chunked(60_001), 413, result.BodyTooLarge, result.Unknown, 0},
		"malformed chunk":         {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 499, result.CallerGone, result.NotRun, 0},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, Config{}, func(t *testing.T, env *testEnv) {
				b := env.backend(backend.Config{})
				env.entry(Limits{HeadBytes: 4096}, 60_000)
				resp, err := http.ReadResponse(bufio.NewReader(env.sendRaw(tc.raw)), nil)
				require.NoError(t, err)
				require.Equal(t, tc.status, resp.StatusCode)
				if tc.code != 0 {
					require.Equal(t, tc.code.Name(), resp.Header.Get(HeaderCode))
					require.Equal(t, string(tc.run), resp.Header.Get(HeaderRun))
				}
				require.Equal(t, tc.runs, b.Counts().Completed)
			})
		})
	}
}

// Guards against callers that hold resources by sending slowly, and against a
// read deadline that also cuts off a request whose server takes long.
func TestSlowSenders(t *testing.T) {
	limits := Limits{HeadTimeout: 2 * time.Second, BodyStall: 3 * time.Second, BodyRate: 1000}
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		b := env.backend(backend.Config{Service: 20 * time.Second})
		env.entry(limits, 0)
		start := time.Now()
		c := env.sendRaw("GET / HTTP/1.1\r\nHost")
		_, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Equal(t, 2*time.Second, time.Since(start))

		start = time.Now()
		c = env.sendRaw("POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 9000\r\n\r\nx")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, 408, resp.StatusCode)
		require.Equal(t, "slow-sender", resp.Header.Get(HeaderCode))
		require.Equal(t, string(result.NotRun), resp.Header.Get(HeaderRun))
		require.Equal(t, 3*time.Second, time.Since(start))

		// With one byte per second the body never stalls, but its mean rate is
		// too low.
		start = time.Now()
		c = env.sendRaw("POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 9000\r\n\r\n")
		go func(c net.Conn) {
			for {
				if _, err := c.Write([]byte("x")); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		}(c)
		resp, err = http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, "slow-sender", resp.Header.Get(HeaderCode))
		require.Less(t, time.Since(start), 4*time.Second)
		require.NoError(t, c.Close())
		require.Empty(t, b.Counts().Runs)

		c = env.sendRaw("POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 1\r\n\r\nx")
		resp, err = http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, 1, b.Counts().Completed)
	})
}

// Guards against an answer that looks complete to the caller although the
// server closed the connection early: with Content-Length, with chunks, and
// over HTTP/2.
func TestTruncatedAnswersAbortTheCaller(t *testing.T) {
	half := strings.Repeat("x", 2*BufferBytes)
	for name, head := range map[string]string{
		"length": "Content-Length: 99999", "chunked": "Transfer-Encoding: chunked\r\n\r\n1ffff",
	} {
		for _, h2 := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				bubble(t, Config{}, func(t *testing.T, env *testEnv) {
					sep := "\r\n\r\n"
					if name == "chunked" {
						sep = "\r\n"
					}
					env.script("b", pipenet.Answer("HTTP/1.1 200 OK\r\n"+head+sep+half))
					env.entry(Limits{}, 0)
					resp, err := env.client(h2).Get("http://entry:80/")
					require.NoError(t, err)
					require.Equal(t, 200, resp.StatusCode)
					body, err := io.ReadAll(resp.Body)
					require.Error(t, err, "%d bytes looked like a complete answer", len(body))
					require.NoError(t, resp.Body.Close())
				})
			})
		}
	}
}

// Guards against answers that are changed while they are forwarded: bodies
// around the size of the buffer, trailers, HEAD, statuses without a body, and
// HTTP/2 callers.
func TestAnswersArriveUnchanged(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		status, _ := strconv.Atoi(r.URL.Query().Get("status"))
		w.Header().Set("Trailer", "T-Known")
		if status > 0 {
			w.WriteHeader(status)
			return
		}
		if r.URL.Query().Has("length") {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		_, _ = w.Write(body)
		w.Header().Set("T-Known", r.Trailer.Get("Up"))
		w.Header().Set(http.TrailerPrefix+"T-Late", "2")
	}
	for _, h2 := range []bool{false, true} {
		bubble(t, Config{}, func(t *testing.T, env *testEnv) {
			env.serve("b", &http.Server{Handler: http.HandlerFunc(handler)})
			env.entry(Limits{}, 0)
			client := env.client(h2)
			for _, n := range []int{0, 1, smallBytes - 1, smallBytes, smallBytes + 1, BufferBytes - 1, BufferBytes, BufferBytes + 1, 10 * BufferBytes} {
				for _, q := range []string{"", "?length"} {
					want := strings.Repeat("x", n)
					req, _ := http.NewRequest("PUT", "http://entry:80/"+q, io.MultiReader(strings.NewReader(want)))
					req.Trailer = http.Header{"Up": {"1"}}
					resp, err := client.Do(req)
					require.NoError(t, err)
					got, err := io.ReadAll(resp.Body)
					require.NoError(t, err)
					require.Equal(t, len(want), len(got))
					require.Equal(t, want, string(got))
					require.NoError(t, resp.Body.Close())
					if q == "" {
						require.Equal(t, http.Header{"T-Known": {"1"}, "T-Late": {"2"}}, resp.Trailer, "%d bytes", n)
					}
				}
			}
			for _, tc := range []struct{ method, query string }{{"HEAD", "?length"}, {"GET", "?status=204"}, {"GET", "?status=304"}, {"OPTIONS", "?status=500"}, {"GET", "?empty"}} {
				req, _ := http.NewRequest(tc.method, "http://entry:80/"+tc.query, nil)
				resp, err := client.Do(req)
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Empty(t, body)
				require.NoError(t, resp.Body.Close())
			}
		})
	}
}

// Guards against holding back a part of a streamed answer until the server
// sends the next one.
func TestStreamedPartsArriveAtOnce(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		env.serve("b", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "one")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Minute)
		})})
		env.entry(Limits{}, 0)
		start := time.Now()
		resp, err := env.client(false).Get("http://entry:80/")
		require.NoError(t, err)
		_, err = io.ReadFull(resp.Body, make([]byte, 3))
		require.NoError(t, err)
		require.Zero(t, time.Since(start))
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
	})
}

// Guards against asking the caller for the body of a request that is refused by
// its Content-Length, and against a caller that waits in vain for 100 Continue.
func TestExpectContinue(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		got := env.captureRequests()
		env.entry(Limits{}, 10)
		c := env.sendRaw("POST / HTTP/1.1\r\nHost: b\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.Equal(t, 100, resp.StatusCode)
		_, _ = io.WriteString(c, "ok")
		resp, err = http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.Equal(t, 200, resp.StatusCode)
		in := <-got
		require.Empty(t, in.Header["Expect"])
		require.EqualValues(t, 2, in.ContentLength)
		c = env.sendRaw("POST / HTTP/1.1\r\nHost: b\r\nExpect: 100-continue\r\nContent-Length: 11\r\n\r\n")
		resp, err = http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, 413, resp.StatusCode, "refused without asking for the body")
	})
}

// Guards against a caller that does not read its answer and so holds a slot
// past the deadline.
func TestCallerThatDoesNotRead(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		env.backend(backend.Config{})
		done := make(chan *result.Error, 1)
		env.serve("entry", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			a, err := env.f.Do(r.Context(), Request{In: r, Server: "b:80", RequestID: "r1", DeadlineAt: time.Now().Add(5 * time.Second)})
			if err == nil {
				_, err = a.CopyTo(w)
			}
			done <- err
			panic(http.ErrAbortHandler)
		})})
		var c net.Conn = env.sendRaw("GET /?pad=60000000 HTTP/1.1\r\nHost: b\r\n\r\n")
		start := time.Now()
		err := <-done
		require.NotNil(t, err)
		require.Equal(t, 5*time.Second, time.Since(start))
		require.Zero(t, env.f.Dump()[0].Open)
		require.NoError(t, c.Close())
	})
}

// Guards against a read deadline that ends the body of a caller while its server does not read:
// over HTTP/2 a deadline also ends a body that nothing reads from. And guards against counting
// the server's pause as the caller's.
func TestServerPausesInLongBody(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 512<<10) // more than the connections buffer
	for _, h2 := range []bool{false, true} {
		for _, early := range []bool{false, true} {
			bubble(t, Config{}, func(t *testing.T, env *testEnv) {
				env.serve("b", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					rc := http.NewResponseController(w)
					_ = rc.EnableFullDuplex()
					if early {
						_ = rc.Flush()
					}
					_, _ = io.CopyN(w, r.Body, 40<<10)
					time.Sleep(3 * time.Minute)
					_, _ = io.Copy(w, r.Body)
				})})
				env.entry(Limits{}, 0)
				req, _ := http.NewRequest("POST", "http://entry:80/", io.MultiReader(strings.NewReader(body)))
				resp, err := env.client(h2).Do(req)
				require.NoError(t, err)
				got, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, 200, resp.StatusCode)
				require.True(t, body == string(got), "%d bytes, HTTP/2 %v, early answer %v", len(got), h2, early)
				require.NoError(t, resp.Body.Close())
			})
		}
	}
}
