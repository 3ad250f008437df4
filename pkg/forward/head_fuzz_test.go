package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fuzzEnv is an entry host between a caller that sends raw bytes and a server
// that records what it receives.
type fuzzEnv struct {
	f      *Forwarder
	entry  *httptest.Server
	server *httptest.Server

	mu       sync.Mutex
	lastID   int
	sent     map[string]string // method by request id
	heads    []string          // heads as the server received them
	faults   []string
	received int
}

// wireTap is a listener that records the heads of requests in env.
type wireTap struct {
	net.Listener
	env *fuzzEnv
}

func (w wireTap) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	return &tapConn{Conn: c, env: w.env}, err
}

type tapConn struct {
	net.Conn
	env *fuzzEnv
}

// Read records the head at the start of what was read. The forwarder writes
// each head with a flush of its own or together with the body.
func (c *tapConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if head, _, ok := strings.Cut(string(p[:n]), "\r\n\r\n"); ok {
		c.env.mu.Lock()
		c.env.heads = append(c.env.heads, head)
		c.env.mu.Unlock()
	}
	return n, err
}

const fuzzHeadBytes = 2048

func newFuzzEnv() *fuzzEnv {
	env := &fuzzEnv{sent: map[string]string{}, f: New(Config{})}
	env.server = httptest.NewUnstartedServer(http.HandlerFunc(env.receive))
	env.server.Listener = wireTap{env.server.Listener, env}
	env.server.Start()
	// With short limits the entry host closes the connection soon after each
	// input. No check depends on their values.
	limits := Limits{
		HeadBytes: fuzzHeadBytes, HeadTimeout: 100 * time.Millisecond, BodyStall: 100 * time.Millisecond,
		KeepAlive: 5 * time.Millisecond,
	}
	srv := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { env.handle(w, r, limits) }), limits)
	env.entry = httptest.NewUnstartedServer(nil)
	env.entry.Config = srv
	env.entry.Start()
	return env
}

// receive checks that each request was forwarded by handle, and only once.
func (env *fuzzEnv) receive(w http.ResponseWriter, r *http.Request) {
	ids := r.Header[HeaderRequestID]
	env.mu.Lock()
	env.received++
	if len(ids) != 1 || env.sent[ids[0]] != r.Method {
		env.faults = append(env.faults, "unknown request "+r.Method+" "+strings.Join(ids, ","))
	} else {
		delete(env.sent, ids[0])
	}
	env.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header()[HeaderRequestID] = ids
}

func (env *fuzzEnv) handle(w http.ResponseWriter, r *http.Request, limits Limits) {
	if err := CheckHead(r, limits.HeadBytes); err != nil {
		w.WriteHeader(err.Code.HTTPStatus())
		return
	}
	env.mu.Lock()
	env.lastID++
	id := "id-" + strconv.Itoa(env.lastID)
	env.sent[id] = r.Method
	env.mu.Unlock()
	a, err := env.f.Do(r.Context(), Request{In: r, Server: env.server.Listener.Addr().String(), RequestID: id, BodyLimit: 4096})
	if err != nil {
		w.WriteHeader(err.Code.HTTPStatus())
		return
	}
	a.Reply(w)
}

// send writes raw as a caller and reads the answers until the entry host closes
// the connection.
func (env *fuzzEnv) send(t *testing.T, raw []byte) {
	c, err := net.Dial("tcp", env.entry.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = c.Write(raw)
	_, _ = io.Copy(io.Discard, c)
}

// check inspects the heads that reached the server since the last check.
func (env *fuzzEnv) check(t *testing.T) {
	env.mu.Lock()
	defer env.mu.Unlock()
	require.Empty(t, env.faults)
	for _, head := range env.heads {
		lengths, chunked := 0, 0
		for _, line := range strings.Split(head, "\r\n")[1:] {
			name, _, _ := strings.Cut(line, ":")
			require.NotContains(t, line, "\n", "a bare line feed was forwarded")
			require.NotContains(t, line, "\x00")
			switch strings.ToLower(name) {
			case "content-length":
				lengths++
			case "transfer-encoding":
				chunked++
			case "connection", "keep-alive", "upgrade", "proxy-connection", "expect":
				require.Fail(t, "hop-by-hop header forwarded", line)
			}
		}
		require.LessOrEqual(t, lengths+chunked, 1, "two framings in %q", head)
		require.LessOrEqual(t, len(head), fuzzHeadBytes+1024)
	}
	env.heads, env.faults = nil, nil
}

// Guards against request smuggling: whatever bytes a caller sends, the server
// sees only requests that the entry host forwarded, each with one framing and
// without headers of the caller's connection.
func FuzzRequestHead(f *testing.F) {
	const host = "Host: b\r\n"
	for _, s := range []string{
		"GET / HTTP/1.1\r\n" + host + "\r\n",
		"POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
		"POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n" + host + "\r\n",
		"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding:\x0bchunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\n" + host + "Connection: Content-Length, close\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n5;ext=\"a\r\nb\"\r\nabcde\r\n0\r\nTrailer: x\r\n\r\n",
		"GET http://other/ HTTP/1.1\r\n" + host + "\r\nGET /2 HTTP/1.1\r\n" + host + "\r\n",
		"GET /%0d%0aX:1 HTTP/1.1\r\n" + host + "X: a\r\n b\r\n\r\n",
		"GET / HTTP/1.1\n" + "Host: b\nExpect: 100-continue\nContent-Length: 1\n\nx",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"GET / HTTP/1.1\r\n" + host + HeaderRequestID + ": id-1\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\n" + host + "\r\n",
		"GET / HTTP/1.1\r\nHost: b\r\nHost: c\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	env := newFuzzEnv()
	f.Cleanup(func() { env.entry.Close(); env.f.Close(); env.server.Close() })
	f.Fuzz(func(t *testing.T, raw []byte) {
		if len(raw) > 8192 || bytes.HasPrefix(raw, []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")) && len(raw) > 24 {
			return // only net/http parses HTTP/2 frames
		}
		env.send(t, raw)
		env.check(t)
	})
}

// Guards against a fuzz test that checks nothing because its inputs never reach
// the server.
func TestHeadLabSeesRequests(t *testing.T) {
	env := newFuzzEnv()
	defer func() { env.entry.Close(); env.f.Close(); env.server.Close() }()
	env.send(t, []byte("GET / HTTP/1.1\r\nHost: b\r\n\r\n"))
	require.Equal(t, 1, env.received)
	require.Len(t, env.heads, 1)
}

// Guards against a forwarded request that never ends because the caller's
// connection was closed before: Do must not block if its context is already
// cancelled.
func TestCancelledBeforeDo(t *testing.T) {
	env := newFuzzEnv()
	defer func() { env.entry.Close(); env.f.Close(); env.server.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := env.f.Do(ctx, Request{In: request("GET", "/", ""), Server: env.server.Listener.Addr().String(), RequestID: "x"})
	require.NotNil(t, err)
}
