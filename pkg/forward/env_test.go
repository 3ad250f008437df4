package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/backend"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/pipenet"
)

// testEnv is a Forwarder with backend servers on an in-memory network.
type testEnv struct {
	*pipenet.Network
	t *testing.T
	f *Forwarder
}

// bubble runs test in a bubble of testing/synctest, where time is virtual.
func bubble(t *testing.T, cfg Config, test func(t *testing.T, env *testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		env := &testEnv{Network: pipenet.New(), t: t}
		cfg.Dial = env.Dial
		env.f = New(cfg)
		t.Cleanup(env.f.Close)
		test(t, env)
	})
}

// serve runs s at name until the test ends.
func (env *testEnv) serve(name string, s *http.Server) { env.t.Cleanup(env.Serve(name, s)) }

// script calls f for each connection to name; i counts connections from 0.
func (env *testEnv) script(name string, f func(i int, c net.Conn, r *bufio.Reader)) {
	env.t.Cleanup(env.Script(name, f))
}

// backend starts a stand-in backend server as "b".
func (env *testEnv) backend(cfg backend.Config) *backend.Server {
	b := backend.New(cfg)
	env.serve("b", &http.Server{Handler: b})
	return b
}

func request(method, path, body string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if body == "" {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	return r
}

// get forwards a GET to server "b" with a deadline d from now.
func (env *testEnv) get(path string, d time.Duration) (*Answer, *result.Error) {
	return env.do(Request{In: request("GET", path, ""), Idempotent: true, DeadlineAt: time.Now().Add(d)})
}

// post forwards a write to server "b".
func (env *testEnv) post() (*Answer, *result.Error) {
	in := request("POST", "/orders", "kit")
	in.Header.Set("Idempotency-Key", "k")
	return env.do(Request{In: in, Once: true, DeadlineAt: time.Now().Add(5 * time.Second)})
}

// do forwards r to server "b" and closes an answer whose body was read
// completely.
func (env *testEnv) do(r Request) (*Answer, *result.Error) {
	r.Server = "b:80"
	if r.RequestID == "" {
		r.RequestID = "r1"
	}
	a, err := env.f.Do(r.In.Context(), r)
	if a != nil && a.complete {
		a.Close()
	}
	return a, err
}

// requireError checks the result code and the run state of err.
func (env *testEnv) requireError(code result.Code, run result.RunState, err *result.Error) {
	env.t.Helper()
	require.NotNil(env.t, err)
	require.Equal(env.t, code.Name(), err.Code.Name(), err.Error())
	require.Equal(env.t, run, err.Run)
}

// entry starts an entry host that forwards every request to server "b" and
// reports errors by status, code and run state.
func (env *testEnv) entry(limits Limits, bodyLimit int64) {
	env.serve("entry", NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := CheckHead(r, limits.WithDefaults().HeadBytes)
		var a *Answer
		if err == nil {
			a, err = env.f.Do(r.Context(), Request{In: r, Server: "b:80", RequestID: "r1", BodyLimit: bodyLimit})
		}
		if err != nil {
			w.Header().Set(HeaderCode, err.Code.Name())
			w.Header().Set(HeaderRun, string(err.Run))
			w.WriteHeader(err.Code.HTTPStatus())
			return
		}
		a.Reply(w)
	}), limits))
}

// sendRaw connects to the entry host, writes raw and returns the connection.
func (env *testEnv) sendRaw(raw string) net.Conn {
	c, err := env.Dial(context.Background(), "tcp", "entry:80")
	require.NoError(env.t, err)
	env.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, raw)
	require.NoError(env.t, err)
	return c
}

// client returns an HTTP client for the entry host, for HTTP/2 if h2 is true.
func (env *testEnv) client(h2 bool) *http.Client {
	p := new(http.Protocols)
	p.SetHTTP1(!h2)
	p.SetUnencryptedHTTP2(h2)
	tr := &http.Transport{DialContext: env.Dial, Protocols: p}
	env.t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}
