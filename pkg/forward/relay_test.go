package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/backend"
)

var relayKey = []byte("0123456789abcdef")

// relayedRequest returns a request as host "b" receives it from host "a".
func relayedRequest(at time.Time, method, target string) *http.Request {
	s := NewSigner(relayKey, "a", func() time.Time { return at })
	in := httptest.NewRequest(method, target, nil)
	in.Header.Set("Idempotency-Key", "k")
	in.Header.Set(HeaderRequestID, "r1")
	in.Header.Set(HeaderRelay, s.header(in, RelayInfo{To: "b", RequestID: "r1", Purpose: ForSpill, Credit: "c1"}))
	return in
}

// Guards against accepting forged, altered or malformed relay headers.
func TestRelayHeader(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	const path = "/orders?x=%2F;1"
	for name, tc := range map[string]struct {
		change func(*http.Request)
		ok     bool
	}{
		"unchanged":  {func(*http.Request) {}, true},
		"method":     {func(r *http.Request) { r.Method = "PUT" }, false},
		"target":     {func(r *http.Request) { r.RequestURI = "/pledges" }, false},
		"key":        {func(r *http.Request) { r.Header.Set("Idempotency-Key", "other") }, false},
		"request id": {func(r *http.Request) { r.Header.Set(HeaderRequestID, "r2") }, false},
		"second":     {func(r *http.Request) { r.Header.Add(HeaderRelay, "x") }, false},
		"empty":      {func(r *http.Request) { r.Header.Set(HeaderRelay, "") }, false},
		"extra":      {func(r *http.Request) { editRelayHeader(r, "sum=", "more=1&sum=") }, false},
		"origin":     {func(r *http.Request) { editRelayHeader(r, "origin=a", "origin=c") }, false},
		"to":         {func(r *http.Request) { editRelayHeader(r, "to=b", "to=c") }, false},
		"purpose":    {func(r *http.Request) { editRelayHeader(r, "spill", "key") }, false},
		"credit":     {func(r *http.Request) { editRelayHeader(r, "credit=c1", "credit=c2") }, false},
		"time":       {func(r *http.Request) { editRelayHeader(r, "at=1800000000000", "at=1800000000001") }, false},
		"no sum":     {func(r *http.Request) { editRelayHeader(r, "sum=", "sum=&x=") }, false},
	} {
		r := relayedRequest(now, "POST", path)
		tc.change(r)
		info, err := NewVerifier(relayKey, "b", func() time.Time { return now }).Verify(r)
		if !tc.ok {
			require.NotNil(t, err, name)
			require.Equal(t, result.BadRelay, err.Code, name)
			require.Equal(t, result.NotRun, err.Run, name)
			continue
		}
		require.Nil(t, err, name)
		require.Equal(t, &RelayInfo{"a", "b", "r1", ForSpill, "c1", now.UnixMilli()}, info)
	}
	r := relayedRequest(now, "POST", path)
	_, err := NewVerifier(relayKey, "c", func() time.Time { return now }).Verify(r)
	require.NotNil(t, err, "a header for another host")
	_, err = NewVerifier([]byte("another key of 16"), "b", func() time.Time { return now }).Verify(r)
	require.NotNil(t, err, "another key")
	info, err := NewVerifier(relayKey, "b", time.Now).Verify(httptest.NewRequest("GET", "/", nil))
	require.Nil(t, info)
	require.Nil(t, err)
}

// editRelayHeader replaces from by to in the relay header, which must contain
// from.
func editRelayHeader(r *http.Request, from, to string) {
	h := r.Header.Get(HeaderRelay)
	if !strings.Contains(h, from) {
		panic(fmt.Sprintf("%q is not in %q", from, h))
	}
	r.Header.Set(HeaderRelay, strings.Replace(h, from, to, 1))
}

// Guards against accepting a header whose time is outside the tolerance, and
// against accepting a replay while the header is valid, also after a change of
// the period. Also guards against a replay guard whose memory has no bound.
func TestRelayReplaysAndClocks(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	now := start
	v := NewVerifier(relayKey, "b", func() time.Time { return now })
	for _, d := range []time.Duration{-RelayTolerance - time.Millisecond, RelayTolerance + time.Millisecond} {
		_, err := v.Verify(relayedRequest(now.Add(d), "GET", "/"))
		require.NotNil(t, err)
	}
	early, late := relayedRequest(now.Add(RelayTolerance), "GET", "/"), relayedRequest(now.Add(-RelayTolerance), "GET", "/")
	for _, r := range []*http.Request{early, late} {
		_, err := v.Verify(r)
		require.Nil(t, err)
		_, err = v.Verify(r)
		require.NotNil(t, err)
	}
	for now.Before(start.Add(5 * RelayTolerance)) {
		now = now.Add(time.Second)
		_, err := v.Verify(relayedRequest(now, "GET", "/"))
		require.Nil(t, err)
		_, err = v.Verify(early)
		require.NotNil(t, err, "replayed after %s", now.Sub(start))
	}
	require.LessOrEqual(t, len(v.seen), 60)
	for i := range maxRelaysPerPeriod {
		v.seen[[8]byte{1, byte(i), byte(i >> 8), byte(i >> 16)}] = struct{}{}
	}
	_, err := v.Verify(relayedRequest(now, "GET", "/"))
	require.NotNil(t, err, "a Verifier that cannot remember more must refuse")
}

// Guards against changing the result that the other entry host reported, against
// relaying a request twice, and against a wrong run state when the connection
// fails.
func TestRelay(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		v := NewVerifier(relayKey, "b", time.Now)
		env.serve("b", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			info, err := v.Verify(r)
			if err == nil && info.Purpose == ForKey {
				err = result.New(result.KeyInProgress, "in progress").WithRun(result.Unknown)
			}
			w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
			if err != nil {
				w.Header().Set(HeaderCode, fmt.Sprint(int(err.Code)))
				w.Header().Set(HeaderRun, string(err.Run))
				w.Header().Set("Retry-After", "2")
				w.WriteHeader(err.Code.HTTPStatus())
			}
		})})
		s := NewSigner(relayKey, "a", time.Now)
		relay := func(in *http.Request, to string, p Purpose) (*Answer, *result.Error) {
			r := Request{In: in, Server: "b:80", RequestID: "r1", DeadlineAt: time.Now().Add(time.Second)}
			return env.f.Relay(t.Context(), s, RelayRequest{Request: r, To: to, Purpose: p, Credit: "c"})
		}
		a, err := relay(request("POST", "/a%2Fb?x=1", "body"), "b", ForSpill)
		require.Nil(t, err)
		require.Nil(t, a.Refusal())
		a, err = relay(request("POST", "/", "body"), "b", ForKey)
		require.Nil(t, err)
		require.Equal(t, 409, a.Status)
		require.Equal(t, "unknown", a.Header.Get(HeaderRun))
		require.Equal(t, result.KeyInProgress, a.Refusal().Code)
		require.Equal(t, result.Unknown, a.Refusal().Run)
		require.Equal(t, 2*time.Second, a.Refusal().RetryAfter)
		a, err = relay(request("POST", "/", "body"), "c", ForSpill)
		require.Nil(t, err)
		require.Equal(t, result.BadRelay, a.Refusal().Code)
		require.Equal(t, result.NotRun, a.Refusal().Run)
		_, err = relay(relayedRequest(time.Now(), "POST", "/"), "b", ForSpill)
		env.requireError(result.BadRelay, result.NotRun, err)
		env.f.Close()
		env.script("b", func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) })
		_, err = relay(request("GET", "/", ""), "b", ForSpill)
		env.requireError(result.RelayFailed, result.Unknown, err)
	})
}

// Guards against errors of the stand-in backend in counting, refusing and
// cancelling requests, on which other tests rely.
func TestStandInBackend(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		b := env.backend(backend.Config{Name: "b1", Slots: 1, Service: time.Second, Paths: map[string]time.Duration{"/slow": 9 * time.Second}})
		done := make(chan *result.Error)
		go func() { _, err := env.get("/slow/x", time.Minute); done <- err }()
		time.Sleep(time.Second)
		_, err := env.get("/", time.Second)
		env.requireError(result.ServerShed, result.NotRun, err)
		require.Contains(t, env.fetchFromBackend("GET", "/load", ""), `"running":1,"slots":1`)
		require.Nil(t, <-done)
		_, err = env.get("/slow", 3*time.Second)
		env.requireError(result.DeadlineRunning, result.Unknown, err)
		time.Sleep(time.Second)
		counts := b.Counts()
		require.Equal(t, []int{1, 1, 0, 1}, []int{counts.Completed, counts.Refused, counts.Running, counts.MaxRunning})
		require.Equal(t, 1, counts.Cancelled+counts.Expired)

		require.Contains(t, env.fetchFromBackend("GET", "/health", ""), "ok")
		require.Contains(t, env.fetchFromBackend("POST", "/control", `{"drain":true,"lag_ms":5000,"lie_load":7}`), "drain")
		require.Contains(t, env.fetchFromBackend("GET", "/health", ""), "ok", "the reported health lags by lag_ms")
		require.Contains(t, env.fetchFromBackend("GET", "/load", ""), `"running":7`)
		_, err = env.get("/", time.Second)
		env.requireError(result.ServerShed, result.NotRun, err)
		time.Sleep(6 * time.Second)
		require.Contains(t, env.fetchFromBackend("GET", "/health", ""), "draining")
		require.Contains(t, env.fetchFromBackend("POST", "/control", `{"lie_health":true,"fast_fail":true}`), "lie_health")
		require.Contains(t, env.fetchFromBackend("GET", "/health", ""), "draining")
		a, err := env.get("/", time.Second)
		require.Nil(t, err)
		require.Equal(t, 500, a.Status)
		require.Contains(t, env.fetchFromBackend("POST", "/control", `{"unknown":1}`), "unknown field")
		require.Contains(t, env.fetchFromBackend("GET", "/control/counts", ""), `"after_drain":1`)
		env.fetchFromBackend("POST", "/control", `{"truncate":true}`)
		_, err = env.get("/", 2*time.Second)
		env.requireError(result.TruncatedAnswer, result.Unknown, err)
		env.fetchFromBackend("POST", "/control", `{"hang":true}`)
		_, err = env.get("/", 2*time.Second)
		env.requireError(result.DeadlineRunning, result.Unknown, err)
		env.fetchFromBackend("POST", "/control", `{"wrong_id":true}`)
		time.Sleep(time.Second)
		_, err = env.get("/", 2*time.Second)
		env.requireError(result.BadAnswer, result.Unknown, err)
	})
	bubble(t, Config{}, func(t *testing.T, _ *testEnv) {
		cold := backend.New(backend.Config{Service: time.Second, ColdStart: time.Hour, Seed: 3})
		start := time.Now()
		cold.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/", nil))
		require.GreaterOrEqual(t, time.Since(start), 2*time.Second, "a cold server is slower")
	})
}

// fetchFromBackend sends a request directly to the stand-in backend and returns
// the body of the answer.
func (env *testEnv) fetchFromBackend(method, path, body string) string {
	tr := &http.Transport{DialContext: env.Dial, DisableKeepAlives: true}
	req, _ := http.NewRequest(method, "http://b:80"+path, strings.NewReader(body))
	resp, err := tr.RoundTrip(req)
	require.NoError(env.t, err)
	b, err := io.ReadAll(resp.Body)
	require.NoError(env.t, err)
	require.NoError(env.t, resp.Body.Close())
	return string(b)
}

// Guards against a long body that is changed or cut on the way through a second entry host,
// if the server answers before it has read it, for methods with and without a usual body.
func TestRelayedBodyWithEarlyAnswer(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 16<<10)
	for _, method := range []string{"POST", "PUT", "DELETE", "GET", "OPTIONS"} {
		bubble(t, Config{}, func(t *testing.T, env *testEnv) {
			received := make(chan string, 1)
			env.serve("b", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				rc := http.NewResponseController(w)
				_ = rc.EnableFullDuplex()
				_, _ = io.WriteString(w, "whole")
				_ = rc.Flush()
				got, _ := io.ReadAll(r.Body)
				received <- r.Method + string(got)
			})})
			env.entry(Limits{}, 0)
			signer := NewSigner(relayKey, "a", time.Now)
			env.serve("first", NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				a, err := env.f.Relay(r.Context(), signer, RelayRequest{Request: Request{In: r, Server: "entry:80", RequestID: "r1"}, To: "entry", Purpose: ForSpill})
				if err != nil {
					panic(http.ErrAbortHandler)
				}
				a.Reply(w)
			}), Limits{}))
			for _, name := range []string{"entry", "first"} {
				req, _ := http.NewRequest(method, "http://"+name+":80/", io.MultiReader(strings.NewReader(body)))
				resp, err := env.client(false).Do(req)
				require.NoError(t, err)
				got, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, "whole", string(got))
				require.True(t, method+body == <-received, "%s through %s", method, name)
				require.NoError(t, resp.Body.Close())
			}
		})
	}
}
