package steer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
)

const (
	// unsentBytes is more than the kernel takes for a server that does not read.
	unsentBytes = 32 << 20
	// limitDeadline is the deadline of requests that end at it.
	limitDeadline = 2 * time.Second
	// limitMargin is what a limit may be exceeded by on a busy machine.
	limitMargin = 3 * time.Second
)

// limitCase is a request whose caller or server stops in the middle of the body, so that the
// caller's connection cannot be kept.
type limitCase struct {
	// serverAnswer is sent before the body is read.
	serverAnswer string
	// stops means that the server reads the body only when the caller's connection has
	// ended.
	stops bool
	// resets means that the server resets the connection instead of reading the body.
	resets bool
	// request is sent at once; then comes body, if it is set.
	request string
	body    io.Reader
	// status and answer are what the caller gets; cut means that the answer breaks off.
	status int
	answer string
	cut    bool
	// after and closed are when the answer and the caller's connection end.
	after, closed time.Duration
}

// post returns the head of a request with the given headers.
func post(path, headers string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nReq-Id: r1\r\n" + headers + "\r\n\r\n"
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nReq-Id: r1\r\nContent-Length: 4\r\n\r\ndone"

// Guards against a hang in place of a cut: a caller that stops sending and a server that stops
// reading meet their limits, before, amid and after the answer; nothing is held afterwards, and
// what the caller sends later is not taken for a request.
func TestLimitsOfBodies(t *testing.T) {
	long := fmt.Sprintf("Content-Length: %d", unsentBytes)
	streamed := "HTTP/1.1 200 OK\r\nReq-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"
	deadline := fmt.Sprintf("\r\nLeft-Ms: %d", limitDeadline.Milliseconds())
	zeros := func() io.Reader { return io.LimitReader(zeroReader{}, unsentBytes) }
	beginning := string(distinctBytes(60 << 10))
	stall := forward.DefaultBodyStall
	for name, tc := range map[string]limitCase{
		"caller stops, no answer":                        {request: post("/long-once/x", long) + beginning, status: 502, after: stall, closed: stall},
		"caller stops in the buffer, no answer":          {request: post("/long-once/x", long) + "x", status: 408, after: stall, closed: stall},
		"caller stops, server resets":                    {resets: true, request: post("/long-once/x", long) + beginning, status: 502, closed: time.Nanosecond},
		"caller stops, deadline first":                   {request: post("/long-once/x", long+deadline) + beginning, status: 504, after: limitDeadline, closed: limitDeadline},
		"caller stops, answer begun":                     {serverAnswer: streamed, request: post("/long-once/x", long) + beginning, status: 200, answer: "done", cut: true, after: stall, closed: stall},
		"caller stops, answer whole":                     {serverAnswer: wholeAnswer, request: post("/long-once/x", long) + beginning, status: 200, answer: "done", closed: stall},
		"caller stops, answer in chunks whole":           {serverAnswer: streamed + "0\r\n\r\n", request: post("/long-once/x", long) + beginning, status: 200, answer: "done", after: stall, closed: stall},
		"caller stops in chunks, answer whole":           {serverAnswer: wholeAnswer, request: post("/long-once/x", "Transfer-Encoding: chunked") + "ffff\r\n" + beginning, status: 200, answer: "done", closed: stall},
		"server stops, no answer":                        {stops: true, request: post("/long-once/x", long+deadline), body: zeros(), status: 504, after: limitDeadline, closed: limitDeadline},
		"server stops, answer begun":                     {serverAnswer: streamed, stops: true, request: post("/long-once/x", long+deadline), body: zeros(), status: 200, answer: "done", cut: true, after: limitDeadline, closed: limitDeadline},
		"server stops, answer whole":                     {serverAnswer: wholeAnswer, stops: true, request: post("/long-once/x", long), body: zeros(), status: 200, answer: "done", closed: forward.DefaultUploadStall},
		"server stops, answer whole, until the deadline": {serverAnswer: wholeAnswer, stops: true, request: post("/long-once/x", long+deadline), body: zeros(), status: 200, answer: "done", closed: limitDeadline},
		"server stops, error whole":                      {serverAnswer: strings.Replace(wholeAnswer, "200 OK", "500 Failed", 1), stops: true, request: post("/long-once/x", long), body: zeros(), status: 500, answer: "done", closed: time.Nanosecond},
		"no route, caller sends no body":                 {request: post("/none/x", "Content-Length: 10"), status: 404, closed: time.Nanosecond},
		"no route, caller sends a long body":             {request: post("/none/x", long), body: zeros(), status: 404, closed: time.Nanosecond},
		"no route, caller waits for 100 Continue":        {request: post("/none/x", "Content-Length: 10\r\nExpect: 100-continue"), status: 404, closed: time.Nanosecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tc.play(t)
		})
	}
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func (tc limitCase) play(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	requests, bodies, callerEnded := make(chan string, 16), make(chan error, 16), make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReaderSize(c, 16))
				if err != nil {
					return
				}
				requests <- r.URL.Path
				_, _ = io.WriteString(c, tc.serverAnswer)
				if tc.resets {
					_ = c.(*net.TCPConn).SetLinger(0)
					bodies <- io.ErrUnexpectedEOF
					return
				}
				if tc.stops {
					<-callerEnded
				}
				_, err = io.Copy(io.Discard, r.Body)
				bodies <- err
			}()
		}
	}()
	source := newSource()
	putTable(source, 3)
	source.put(feed.Servers, feed.Item{Name: "s1", Server: &fleet.Server{ID: "s1", Pool: "p", Address: l.Addr().String(), Domain: "a-1", Slots: 4, StartedMS: 1}})
	h := startHost(t, source, "h1", "a-1")
	ready(t, h, 1)

	c := dialCaller(t, h)
	start := time.Now()
	_, err = io.WriteString(c, tc.request)
	require.NoError(t, err)
	if tc.body != nil {
		go func() { _, _ = io.Copy(c, tc.body) }()
	}
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, tc.status, resp.StatusCode)
	answer, err := io.ReadAll(resp.Body)
	took := time.Since(start)
	require.Equal(t, tc.cut, err != nil, "%v", err)
	if tc.answer != "" {
		require.Equal(t, tc.answer, string(answer))
	}
	require.Greater(t, took, tc.after-limitMargin/10)
	require.Less(t, took, tc.after+limitMargin)
	if tc.body == nil {
		// What comes after the limit must not be taken for the next request.
		_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
		go func() {
			time.Sleep(time.Until(start.Add(tc.closed + limitMargin/2)))
			_, _ = io.WriteString(c, strings.Repeat("GET /safe/smuggled HTTP/1.1\r\nHost: a.example\r\nReq-Id: r2\r\n\r\n", 4))
		}()
	}
	rest, _ := io.ReadAll(r)
	require.Empty(t, string(rest), "another answer")
	require.Less(t, time.Since(start), tc.closed+limitMargin)
	require.Eventually(t, func() bool { return h.held.Load() == 0 && openUploads(h) == 0 }, waitTimeout, time.Millisecond)
	close(callerEnded)
	if len(requests) > 0 {
		require.Equal(t, "/long-once/x", <-requests)
		require.Error(t, <-bodies, "the server took the body for a whole one")
	}
	require.Empty(t, requests, "the server got another request")
}

// openUploads returns the number of open connections to servers that are not idle.
func openUploads(h *Host) (n int) {
	for _, d := range h.forward.Dump() {
		n += d.Open - d.Idle
	}
	return n
}

// Guards against a listener that waits without a limit for a body that nothing asked for.
func TestListenersBoundBodies(t *testing.T) {
	h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": answerOK})
	l := h.cfg().Listen
	for _, address := range []string{l.Caller, l.Ready, l.Lookup, l.Control, l.Metrics} {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(waitTimeout))
		start := time.Now()
		_, err = io.WriteString(c, post("/none/x", "Content-Length: 10"))
		require.NoError(t, err)
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.GreaterOrEqual(t, resp.StatusCode, 400)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		_, err = r.ReadByte()
		require.Equal(t, io.EOF, err, "the connection was kept")
		require.Less(t, time.Since(start), limitMargin)
	}
}

// Guards against closing the connection of a caller whose request is rejected although its body
// arrives at once or a little later, and against taking the body for the next request.
func TestRejectionKeepsConnection(t *testing.T) {
	h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": answerOK})
	for _, size := range []int{1, 4 << 10, 100 << 10, 256 << 10} {
		for _, framing := range []string{fmt.Sprintf("Content-Length: %d", size), "Transfer-Encoding: chunked"} {
			for _, later := range []bool{false, true} {
				c := dialCaller(t, h)
				body := string(distinctBytes(size))
				if framing == "Transfer-Encoding: chunked" {
					body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
				}
				head, rest := post("/none/x", framing), body+nextRequest
				if !later {
					head, rest = head+rest, ""
				}
				_, err := io.WriteString(c, head)
				require.NoError(t, err)
				r := bufio.NewReader(c)
				resp, err := http.ReadResponse(r, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusNotFound, resp.StatusCode)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				_, err = io.WriteString(c, rest)
				require.NoError(t, err)
				require.NoError(t, expectAnswer(r, "answer"), "%d bytes, %s, later %v", size, framing, later)
			}
		}
	}
}
