package steer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
)

// distinctBytes returns up to 1 MiB without a repeated stretch, so that a missing part shows.
func distinctBytes(n int) []byte { return distinct()[:n:n] }

var distinct = sync.OnceValue(func() []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < 1<<20; i++ {
		fmt.Fprintf(&b, "%07x\n", i)
	}
	return b.Bytes()
})

// dialCaller opens a connection to the host's caller address.
func dialCaller(t *testing.T, h *Host) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", h.self.CallerAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	return c
}

// Guards against two readers of a caller's body: if a server begins its answer before it has
// read the body, net/http would read the rest itself, and the server would get the body with
// parts missing, in chunks even as a whole one.
func TestBodyReachesServerThatAnswersEarly(t *testing.T) {
	const pieceBytes, pieces = 8 << 10, 24
	body := distinctBytes(pieces * pieceBytes)
	for name, framing := range map[string]string{"length": fmt.Sprintf("Content-Length: %d", len(body)), "chunked": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			received := make(chan []byte, 1)
			h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": func(w http.ResponseWriter, r *http.Request) {
				rc := http.NewResponseController(w)
				_ = rc.EnableFullDuplex()
				head, _ := io.ReadAll(io.LimitReader(r.Body, 40<<10))
				_, _ = io.WriteString(w, "received")
				_ = rc.Flush()
				rest, _ := io.ReadAll(r.Body)
				received <- append(head, rest...)
			}})
			c := dialCaller(t, h)
			_, err := fmt.Fprintf(c, "POST /long-once/x HTTP/1.1\r\nHost: a.example\r\nReq-Id: r1\r\n%s\r\n\r\n", framing)
			require.NoError(t, err)
			for i := range pieces {
				piece := body[i*pieceBytes:][:pieceBytes]
				if name == "chunked" {
					piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
				}
				_, err := c.Write(piece)
				require.NoError(t, err)
				time.Sleep(10 * time.Millisecond)
			}
			if name == "chunked" {
				_, err := io.WriteString(c, "0\r\n\r\n")
				require.NoError(t, err)
			}
			require.True(t, bytes.Equal(body, <-received), "the server got another body")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			answer, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, "received", string(answer))
		})
	}
}

// Guards against a server that is cut off because it does not read for a while: Linux ends a
// connection whose peer's receive window stays full for TCP_USER_TIMEOUT, although the peer
// acknowledges everything.
func TestServerThatPausesReading(t *testing.T) {
	body := distinctBytes(1 << 20)
	for name, pause := range map[string]time.Duration{
		"before its answer": lateness,
		"after its answer":  forward.DefaultUploadStall - time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := make(chan []byte, 1)
			h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					answerOK(w, r)
					return
				}
				rc := http.NewResponseController(w)
				_ = rc.EnableFullDuplex()
				head, _ := io.ReadAll(io.LimitReader(r.Body, 40<<10))
				if name == "after its answer" {
					w.Header().Set("Content-Length", "6")
					answerOK(w, r)
					_ = rc.Flush()
				}
				time.Sleep(pause)
				rest, rerr := io.ReadAll(r.Body)
				println(name, len(head), len(rest), fmt.Sprint(rerr))
				received <- append(head, rest...)
				if name == "before its answer" {
					answerOK(w, r)
				}
			}})
			c := dialCaller(t, h)
			go func() {
				_, _ = io.WriteString(c, post("/long-once/x", fmt.Sprintf("Content-Length: %d", len(body)))+string(body)+nextRequest)
			}()
			r := bufio.NewReader(c)
			require.NoError(t, expectAnswer(r, "answer"))
			require.True(t, bytes.Equal(body, <-received))
			require.NoError(t, expectAnswer(r, "answer"), "the connection was not kept")
		})
	}
}

// Guards against losing the answer of a server that refuses a long body and closes the
// connection: the failed write of the body must not hide the answer.
func TestServerRefusesLongBodyAndCloses(t *testing.T) {
	const refusal = "HTTP/1.1 413 Too Large\r\nReq-Id: r1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nlong"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, refusal)
			_ = c.Close() // resets the connection, because the body has not been read
		}
	}()
	source := newSource()
	putTable(source, 3)
	source.put(feed.Servers, feed.Item{Name: "s1", Server: &fleet.Server{ID: "s1", Pool: "p", Address: l.Addr().String(), Domain: "a-1", Slots: 4, StartedMS: 1}})
	h := startHost(t, source, "h1", "a-1")
	ready(t, h, 1)
	for range 100 {
		c := dialCaller(t, h)
		go func() {
			_, _ = io.WriteString(c, post("/long-once/x", "Content-Length: 1048576")+string(distinctBytes(1<<20)))
		}()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
		_ = c.Close()
	}
}
