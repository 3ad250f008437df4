package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a log that does not tell why a request was reported as not run: by a
// refusal of which kind, on which connection, or because nothing was sent.
func TestTraceTellsRefusalsApart(t *testing.T) {
	headers := signedHeaders()
	headers.ExpectServer = "Expect"
	for basis, refusal := range map[Basis]string{
		BasisMarked:      refusalOf("r1"),
		BasisOtherServer: "HTTP/1.1 421 M\r\n" + HeaderRequestID + ": r1\r\nServer: i-2\r\nContent-Length: 0\r\n\r\n",
		BasisFirst:       refusalOf(""),
	} {
		t.Run(string(basis), func(t *testing.T) {
			bubble(t, Config{Headers: headers}, func(t *testing.T, env *testEnv) {
				env.script("b", func(_ int, c net.Conn, r *bufio.Reader) {
					for {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body)
						text := answerTo("r0")
						if req.Header.Get(HeaderRequestID) == "r1" {
							text = refusal
						}
						_, _ = io.WriteString(c, text)
					}
				})
				earlier := 0
				if basis != BasisFirst {
					_, err := env.write("r0")
					require.Nil(t, err)
					earlier = 1
				}
				var trace Trace
				_, err := env.do(Request{In: request("POST", "/orders", "kit"), Once: true, RequestID: "r1", ExpectServer: "i-1", DeadlineAt: time.Now().Add(time.Second), Trace: &trace})
				require.NotNil(t, err)
				require.Equal(t, basis, trace.Basis)
				require.Equal(t, int64(1), trace.Conn)
				require.Equal(t, earlier, trace.EarlierAnswers)
				require.Positive(t, trace.Written)
			})
		})
	}
	t.Run("nothing sent", func(t *testing.T) {
		bubble(t, Config{}, func(t *testing.T, env *testEnv) {
			trace := Trace{Written: 1}
			_, err := env.do(Request{In: request("POST", "/orders", strings.Repeat("k", 10)), Once: true, DeadlineAt: time.Now().Add(time.Second), Trace: &trace})
			require.NotNil(t, err)
			require.Equal(t, Trace{}, trace)
		})
	})
}
