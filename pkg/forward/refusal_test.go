package forward

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

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// signedHeaders are DefaultHeaders with a header that servers sign their answers in.
func signedHeaders() Headers {
	h := DefaultHeaders
	h.Stamp = "Stamp"
	return h
}

// refusalOf is the text of a refusal of a request; without its id if id is empty.
func refusalOf(id string) string {
	text := "HTTP/1.1 503 S\r\n" + HeaderRun + ": not-run\r\n"
	if id != "" {
		text += HeaderRequestID + ": " + id + "\r\n"
	}
	return text + "Content-Length: 0\r\n\r\n"
}

// answerTo is the text of an answer to a request that ran.
func answerTo(id string) string {
	return "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": " + id + "\r\nStamp: s\r\nContent-Length: 0\r\n\r\n"
}

// write sends a write with the given id.
func (env *testEnv) write(id string) (*Answer, *result.Error) {
	return env.do(Request{In: request("POST", "/orders", "kit"), Once: true, RequestID: id, DeadlineAt: time.Now().Add(time.Second)})
}

// Guards against a refusal that a server sends once more, when the next request on the
// connection is running: that request is not refused. The server refuses r0 and answers
// r1 after more, the copy and what follows it.
func TestCopiesOfRefusalsAreNotBelieved(t *testing.T) {
	for name, tc := range map[string]struct {
		refusalID string // of r0 and its copy
		copied    func(refusal string) string
	}{
		"with the id":    {"r0", strings.Clone},
		"without an id":  {"", strings.Clone},
		"id left out":    {"r0", func(string) string { return refusalOf("") }},
		"with the wrong": {"", func(string) string { return refusalOf("r7") }},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, Config{Headers: signedHeaders()}, func(t *testing.T, env *testEnv) {
				ran := 0
				env.script("b", func(_ int, c net.Conn, r *bufio.Reader) {
					refused := ""
					for {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body)
						id := req.Header.Get(HeaderRequestID)
						if id == "r0" {
							refused = refusalOf(tc.refusalID)
							_, _ = io.WriteString(c, refused)
							continue
						}
						ran++
						if refused != "" {
							_, _ = io.WriteString(c, tc.copied(refused))
						}
						_, _ = io.WriteString(c, answerTo(id))
					}
				})
				_, err := env.write("r0")
				env.requireError(result.ServerShed, result.NotRun, err)
				_, err = env.write("r1")
				require.Equal(t, 1, ran)
				if err != nil {
					env.requireError(result.BadAnswer, result.Unknown, err)
				}
			})
		})
	}
}

// Guards against sending a write again on the connection on which it was refused, for
// example because a server that has started anew answers for its old id first: a copy of
// the refusal has the id of this request.
func TestRefusedWriteLeavesItsConnection(t *testing.T) {
	bubble(t, Config{Headers: signedHeaders()}, func(t *testing.T, env *testEnv) {
		ran := 0
		env.script("b", func(i int, c net.Conn, r *bufio.Reader) {
			for n := 0; ; n++ {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				id := req.Header.Get(HeaderRequestID)
				if i == 0 && n == 0 {
					_, _ = io.WriteString(c, refusalOf(id))
					continue
				}
				ran++
				if i == 0 {
					_, _ = io.WriteString(c, refusalOf("r0"))
				}
				_, _ = io.WriteString(c, answerTo(id))
			}
		})
		_, err := env.write("r0")
		env.requireError(result.ServerShed, result.NotRun, err)
		a, err := env.write("r0")
		require.Equal(t, 1, ran)
		require.Nil(t, err)
		require.Equal(t, http.StatusOK, a.Status)
	})
}

// Guards against a connection that keeps the ids of ever more refused writes, and
// against one that forgets them.
func TestRefusedWritesAreBounded(t *testing.T) {
	bubble(t, Config{Headers: signedHeaders()}, func(t *testing.T, env *testEnv) {
		opened := 0
		env.script("b", func(i int, c net.Conn, r *bufio.Reader) {
			opened = i + 1
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, refusalOf(req.Header.Get(HeaderRequestID)))
			}
		})
		for i := range 2*maxRefusedWrites + 1 {
			_, err := env.write(fmt.Sprint("r", i))
			env.requireError(result.ServerShed, result.NotRun, err)
		}
		require.Equal(t, 3, opened)
	})
}

// Guards against the head of a refusal that a server breaks off, while it keeps the
// connection, so that the head of the next answer becomes a part of it: the next request
// ran, but the head says that it did not, with its id.
func TestHeadsThatRunTogether(t *testing.T) {
	for name, begin := range map[string]string{
		"in the header":           "HTTP/1.1 503 S\r\n" + HeaderRun + ": not-run",
		"in another header":       "HTTP/1.1 503 S\r\n" + HeaderRun + ": not-run\r\nDate: Sat",
		"before a continued line": "HTTP/1.1 503 S\r\n" + HeaderRun + ": not-run\r\nDate: Sat\r\n ",
		"a successful answer":     "HTTP/1.1 200 OK\r\nDate: Sat",
	} {
		for _, run := range []string{answerTo("r1"), strings.Replace(answerTo("r1"), "Stamp: s\r\n", "", 1)} {
			t.Run(name, func(t *testing.T) {
				bubble(t, Config{Headers: Headers{RequestID: HeaderRequestID, Deadline: HeaderDeadline, NotRun: HeaderRun, Stamp: "Stamp"}}, func(t *testing.T, env *testEnv) {
					env.script("b", func(_ int, c net.Conn, r *bufio.Reader) {
						_, _ = http.ReadRequest(r)
						_, _ = io.WriteString(c, begin+run)
					})
					_, err := env.write("r1")
					env.requireError(result.BadAnswer, result.Unknown, err)
				})
			})
		}
	}
}

// Guards against an answer that is not taken for that of its request and of which the
// operators see nothing, or the wrong reason.
func TestDoubtsAreReported(t *testing.T) {
	for want, text := range map[Doubt]string{
		DoubtOtherID:     answerTo("r0"),
		DoubtNoID:        strings.Replace(answerTo("r1"), HeaderRequestID+": r1\r\n", "", 1),
		DoubtRunTogether: "HTTP/1.1 503 S\r\nDate: Sat" + answerTo("r1"),
		DoubtNoStamp:     strings.Replace(answerTo("r1"), "Stamp: s\r\n", "", 1),
		DoubtRefusal:     strings.Replace(refusalOf("r1"), "Content", "Stamp: s\r\nContent", 1),
	} {
		t.Run(string(want), func(t *testing.T) {
			var got []Doubt
			bubble(t, Config{Headers: signedHeaders(), OnDoubt: func(d Doubt) { got = append(got, d) }}, func(t *testing.T, env *testEnv) {
				env.script("b", func(_ int, c net.Conn, r *bufio.Reader) {
					for n := 0; ; n++ {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body)
						if n == 0 {
							_, _ = io.WriteString(c, answerTo("first"))
							continue
						}
						_, _ = io.WriteString(c, text)
					}
				})
				_, err := env.write("first")
				require.Nil(t, err)
				_, err = env.write("r1")
				env.requireError(result.BadAnswer, result.Unknown, err)
				require.Equal(t, []Doubt{want}, got)
			})
		})
	}
}

// Guards against refusing an answer that names the protocol in a header.
func TestHeadersMayNameTheProtocol(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		env.script("b", func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, strings.Replace(answerTo("r1"), "Stamp: s", "Via: HTTP/1.1 192.0.2.1, HTTP/1.1 gate", 1))
		})
		a, err := env.write("r1")
		require.Nil(t, err)
		require.Equal(t, http.StatusOK, a.Status)
	})
}

// Guards against an answer that is signed, as only those to requests that ran are, and
// says nevertheless that the request was not run.
func TestSignedRefusalIsNotBelieved(t *testing.T) {
	bubble(t, Config{Headers: signedHeaders()}, func(t *testing.T, env *testEnv) {
		env.script("b", func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, strings.Replace(refusalOf("r1"), "Content", "Stamp: s\r\nContent", 1))
		})
		_, err := env.write("r1")
		env.requireError(result.BadAnswer, result.Unknown, err)
	})
}

// Guards against a refusal whose body does not come to its end and holds up the request
// until its deadline, although it could be sent to another server at once.
func TestRefusalWithoutItsBody(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		env.script("b", func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, strings.Replace(refusalOf("r1"), "Length: 0", "Length: 10", 1)+"begin")
			_, _ = r.ReadByte()
		})
		start := time.Now()
		_, err := env.write("r1")
		env.requireError(result.ServerShed, result.NotRun, err)
		require.LessOrEqual(t, time.Since(start), refusalBodyTimeout)
		require.Zero(t, env.f.Dump()[0].Open)
	})
}

// Guards against another entry host whose "not run" is believed although nothing says
// that it belongs to this request.
func TestRelayedRefusalNeedsTheID(t *testing.T) {
	bubble(t, Config{}, func(t *testing.T, env *testEnv) {
		env.script("b", func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, refusalOf(""))
			}
		})
		s := NewSigner(relayKey, "a", time.Now)
		relay := func() (*Answer, *result.Error) {
			r := Request{In: request("GET", "/", ""), Server: "b:80", RequestID: "r1", DeadlineAt: time.Now().Add(time.Second)}
			return env.f.Relay(t.Context(), s, RelayRequest{Request: r, To: "b", Purpose: ForSpill})
		}
		a, err := relay()
		require.Nil(t, err)
		require.Equal(t, result.NotRun, a.Run, "the first answer on the connection")
		a.Close()
		_, err = relay()
		env.requireError(result.BadAnswer, result.Unknown, err)
	})
}
