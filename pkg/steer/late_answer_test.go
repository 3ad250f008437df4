package steer

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
)

// Guards against a read deadline that stays on the caller's connection after the end of the
// body: net/http then takes the caller for gone when it passes, and the request is cut while
// its server is at work. The transport reads once more after a body with a length or with
// trailers, which set the deadline again.
func TestLateAnswerToLongBody(t *testing.T) {
	body := distinctBytes(48 << 10)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	for name, request := range map[string]string{
		"length":             "HTTP/1.1\r\n" + length,
		"length, HTTP/1.0":   "HTTP/1.0\r\nConnection: keep-alive\r\n" + length,
		"length, continue":   "HTTP/1.1\r\nExpect: 100-continue\r\n" + length,
		"one buffer":         fmt.Sprintf("HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", forward.BufferBytes, body[:forward.BufferBytes]),
		"chunked":            fmt.Sprintf("HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"chunked, trailers":  "HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n4\r\nbody\r\n0\r\nT: 1\r\n\r\n",
		"followed by a next": "HTTP/1.1\r\n" + length + "GET /safe/y HTTP/1.1\r\nHost: a.example\r\nReq-Id: r2\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": func(w http.ResponseWriter, r *http.Request) {
				n, _ := io.Copy(io.Discard, r.Body)
				if n > 0 {
					time.Sleep(forward.DefaultBodyStall + time.Second/2)
				}
				answerOK(w, r)
			}})
			c := dialCaller(t, h)
			version, rest, _ := strings.Cut(request, "\r\n")
			_, err := fmt.Fprintf(c, "POST /long-once/x %s\r\nHost: a.example\r\nReq-Id: r1\r\n%s", version, rest)
			require.NoError(t, err)
			answers := bufio.NewReader(c)
			next := func() {
				for {
					resp, err := http.ReadResponse(answers, nil)
					require.NoError(t, err, "the connection ended without an answer")
					if resp.StatusCode == http.StatusContinue {
						continue
					}
					require.Equal(t, http.StatusOK, resp.StatusCode)
					answer, err := io.ReadAll(resp.Body)
					require.NoError(t, err)
					require.Equal(t, "answer", string(answer))
					return
				}
			}
			next()
			if name != "followed by a next" {
				_, err = io.WriteString(c, "GET /safe/y HTTP/1.1\r\nHost: a.example\r\nReq-Id: r2\r\n\r\n")
				require.NoError(t, err, "the connection was not kept")
			}
			next()
		})
	}
}
