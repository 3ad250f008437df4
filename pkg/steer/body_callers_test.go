package steer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a body that is read twice, or a connection that is kept by mistake, where
// net/http treats the connection differently: with HTTP/1.0, when the caller asks for the
// connection to be closed, and after 100 Continue.
func TestEarlyAnswerToOtherCallers(t *testing.T) {
	body := distinctBytes(200 << 10)
	for name, tc := range map[string]struct {
		version, headers string
		kept             bool
	}{
		"HTTP/1.0":             {version: "1.0"},
		"HTTP/1.0, keep-alive": {version: "1.0", headers: "Connection: keep-alive\r\n"},
		"close":                {version: "1.1", headers: "Connection: close\r\n"},
		"100 Continue":         {version: "1.1", headers: "Expect: 100-continue\r\n", kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan []byte, 1)
			h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": func(w http.ResponseWriter, r *http.Request) {
				rc := http.NewResponseController(w)
				_ = rc.EnableFullDuplex()
				_, _ = io.WriteString(w, "early, ")
				_ = rc.Flush()
				got, _ := io.ReadAll(r.Body)
				received <- got
				_, _ = io.WriteString(w, "late")
			}})
			c := dialCaller(t, h)
			_, err := fmt.Fprintf(c, "POST /long-once/x HTTP/%s\r\nHost: a.example\r\nReq-Id: r1\r\n%sContent-Length: %d\r\n\r\n", tc.version, tc.headers, len(body))
			require.NoError(t, err)
			r := bufio.NewReader(c)
			if name == "100 Continue" {
				resp, err := http.ReadResponse(r, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusContinue, resp.StatusCode)
			}
			go func() {
				for rest := body; len(rest) > 0; rest = rest[min(len(rest), 8<<10):] {
					_, _ = c.Write(rest[:min(len(rest), 8<<10)])
					time.Sleep(5 * time.Millisecond)
				}
			}()
			require.NoError(t, expectAnswer(r, "early, late"))
			require.True(t, bytes.Equal(body, <-received), "the server got another body")
			_, _ = io.WriteString(c, nextRequest)
			_, err = http.ReadResponse(r, nil)
			require.Equal(t, tc.kept, err == nil, "%v", err)
		})
	}
}

// Guards against work for a caller that has left in the middle of its body or before the
// answer, and against a body without its end that a server takes for a whole one. A caller that
// closes its sending side counts as gone, because both look the same.
func TestCallerLeavesDuringBody(t *testing.T) {
	closeAll := func(c net.Conn) { _ = c.Close() }
	closeWrite := func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }
	reset := func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }
	for name, leave := range map[string]func(net.Conn){"close": closeAll, "half-close": closeWrite, "reset": reset} {
		for _, answers := range []bool{false, true} {
			for _, whole := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, answer begun %v, body whole %v", name, answers, whole), func(t *testing.T) {
					t.Parallel()
					got, gone := make(chan error, 1), make(chan struct{})
					h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": func(w http.ResponseWriter, r *http.Request) {
						rc := http.NewResponseController(w)
						_ = rc.EnableFullDuplex()
						if answers {
							_, _ = io.WriteString(w, "early")
							_ = rc.Flush()
						}
						_, err := io.Copy(io.Discard, r.Body)
						got <- err
						if err == nil {
							<-r.Context().Done()
						}
						close(gone)
					}})
					c := dialCaller(t, h)
					body := string(distinctBytes(100 << 10))
					if !whole {
						body = body[:60<<10]
					}
					_, err := io.WriteString(c, post("/long-once/x", fmt.Sprintf("Content-Length: %d", 100<<10))+body)
					require.NoError(t, err)
					require.Eventually(t, func() bool { return openUploads(h) > 0 }, waitTimeout, time.Millisecond)
					time.Sleep(100 * time.Millisecond)
					leave(c)
					start := time.Now()
					select {
					case <-gone:
					case <-time.After(waitTimeout):
						t.Fatal("the server is still at work")
					}
					require.Less(t, time.Since(start), limitMargin)
					require.Equal(t, whole, <-got == nil)
					require.Eventually(t, func() bool { return h.held.Load() == 0 && openUploads(h) == 0 }, waitTimeout, time.Millisecond)
				})
			}
		}
	}
}

// Guards against a caller that sends one request after the other and reads no answers: the
// write of a short answer had no limit, so that the host held the connection for ever.
func TestCallerThatReadsNoAnswers(t *testing.T) {
	answer := strings.Repeat("x", 30_000)
	for name, request := range map[string]string{"answers": nextRequest, "rejections": strings.Replace(nextRequest, "/safe/", "/none/", 1)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testCallerThatReadsNoAnswers(t, request, answer)
		})
	}
}

func testCallerThatReadsNoAnswers(t *testing.T, request, answer string) {
	h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = io.WriteString(w, answer)
	}})
	c := dialCaller(t, h)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for requests := strings.Repeat(request, 1000); ; {
			if _, err := io.WriteString(c, requests); err != nil {
				return
			}
		}
	}()
	_ = c.SetDeadline(time.Now().Add(2 * waitTimeout)) // the caller's kernel takes some MB of answers
	<-ended
	require.Eventually(t, func() bool {
		return h.held.Load() == 0 && h.callers.Count().Open == 0
	}, waitTimeout, 10*time.Millisecond, "the host holds a connection whose answers nobody reads")
}
