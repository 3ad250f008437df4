package forward

import (
	"bufio"
	"fmt"
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
)

// Guards against a server that sends without end: in bytes that are no answer, in a
// head, in interim answers, between chunks or in the body of a refusal. The request
// has to end by its deadline, with little read and the connection closed.
func TestEndlessBytesAreCutOff(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": r1\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
		maxRead = 1 << 20
	)
	for name, tc := range map[string]struct {
		begin, repeat string
		code          result.Code
		run           result.RunState
	}{
		"no answer":          {"", strings.Repeat("x", 1000), result.BadAnswer, result.Unknown},
		"empty lines":        {"", "\r\n", result.BadAnswer, result.Unknown},
		"status line":        {"HTTP/1.1 200 ", "OK", result.BadAnswer, result.Unknown},
		"header lines":       {ok, "A: b\r\n", result.BadAnswer, result.Unknown},
		"one header":         {ok + "A: ", strings.Repeat("b", 1000), result.BadAnswer, result.Unknown},
		"interim answers":    {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", result.BadAnswer, result.Unknown},
		"body of a refusal":  {"HTTP/1.1 503 S\r\n" + HeaderRun + ": not-run\r\n\r\n", strings.Repeat("x", 1000), result.ServerShed, result.NotRun},
		"chunks, refusal":    {"HTTP/1.1 503 S\r\n" + HeaderRun + ": not-run\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n", result.ServerShed, result.NotRun},
		"another's answer":   {"HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": r2\r\n\r\n", strings.Repeat("x", 1000), result.BadAnswer, result.Unknown},
		"body":               {ok + "\r\n", strings.Repeat("x", 1000), result.OK, result.Run},
		"body with a length": {ok + "Content-Length: 99999999999\r\n\r\n", strings.Repeat("x", 1000), result.OK, result.Run},
		"chunks":             {chunked, "3\r\nabc\r\n", result.OK, result.Run},
		"chunk extension":    {chunked + "3;", strings.Repeat("a", 1000), result.OK, result.Run},
		"chunk size":         {chunked, "0", result.OK, result.Run},
		"trailers":           {chunked + "0\r\n", "A: b\r\n", result.OK, result.Run},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, Config{}, func(t *testing.T, env *testEnv) {
				var written, closed atomic.Int64
				env.script("b", func(_ int, c net.Conn, r *bufio.Reader) {
					_, _ = http.ReadRequest(r)
					n, err := io.WriteString(c, tc.begin)
					for written.Add(int64(n)); err == nil; written.Add(int64(n)) {
						n, err = io.WriteString(c, tc.repeat)
						if tc.code == result.OK {
							time.Sleep(time.Millisecond) // a caller reads no faster
						}
					}
					closed.Add(1)
				})
				start := time.Now()
				a, err := env.get("/", 2*time.Second)
				if tc.code == result.OK && err == nil {
					w := httptest.NewRecorder()
					_, err = a.CopyTo(w)
					require.NotNil(t, err, "the answer looks complete")
				} else {
					env.requireError(tc.code, tc.run, err)
				}
				require.LessOrEqual(t, time.Since(start), 2*time.Second+DefaultConnectTimeout)
				time.Sleep(time.Second)
				require.Equal(t, int64(1), closed.Load(), "the server was cut off")
				if tc.code != result.OK {
					require.Less(t, written.Load(), int64(maxRead))
				}
				require.Zero(t, env.f.Dump()[0].Open)
			})
		})
	}
}

// Guards against a second copy of an answer that is taken for the answer to the next
// request: right behind the first, later on the idle connection, and while the next
// request is in progress, with and without the id of its request.
func TestSecondCopiesReachNobody(t *testing.T) {
	answer := func(id, body string) string {
		head := ""
		if id != "" {
			head = HeaderRequestID + ": " + id + "\r\n"
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	for name, copyID := range map[string]string{"with the id": "r0", "without an id": ""} {
		for _, when := range []string{"at once", "idle", "in use"} {
			t.Run(name+" "+when, func(t *testing.T) {
				bubble(t, Config{}, func(t *testing.T, env *testEnv) {
					env.script("b", func(i int, c net.Conn, r *bufio.Reader) {
						for n := 0; ; n++ {
							req, err := http.ReadRequest(r)
							if err != nil {
								return
							}
							id := req.Header.Get(HeaderRequestID)
							text := answer(id, "answer to "+id)
							first := i == 0 && n == 0
							switch {
							case first && when == "at once":
								text += answer(copyID, "answer to r0")
							case first && when == "idle":
								time.AfterFunc(50*time.Millisecond, func() { _, _ = io.WriteString(c, answer(copyID, "answer to r0")) })
							case i == 0 && n == 1 && when == "in use":
								text = answer(copyID, "answer to r0") + text
							}
							_, _ = io.WriteString(c, text)
						}
					})
					send := func(id string) (string, *result.Error) {
						a, err := env.f.Do(t.Context(), Request{In: request("GET", "/", ""), Server: "b:80", RequestID: id, Idempotent: true, DeadlineAt: time.Now().Add(time.Second)})
						if err != nil {
							return "", err
						}
						w := httptest.NewRecorder()
						_, err = a.CopyTo(w)
						return w.Body.String(), err
					}
					for i := range 6 {
						id := fmt.Sprint("r", i)
						got, err := send(id)
						if err != nil {
							require.Equal(t, result.BadAnswer, err.Code)
							require.Equal(t, "in use", when)
							got, err = send(id)
							require.Nil(t, err)
						}
						require.Equal(t, "answer to "+id, got)
						time.Sleep(100 * time.Millisecond)
					}
				})
			})
		}
	}
}
