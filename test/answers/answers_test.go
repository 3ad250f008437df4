// Package answers tests that an answer that is not sound is not taken for one, wherever
// answers are read: from backend servers, from other entry hosts and from the stores.
package answers

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/client"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/httpanswer"
	storeclient "github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/platform"
)

// timeout bounds each exchange. Only an answer that never ends takes as long.
const timeout = 2 * time.Second

// server answers each request with the text of answer and closes the connection. With reset,
// it resets the connection without having read the rest of the request.
type server struct {
	answer string
	reset  bool
}

func (s server) start(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func (s server) serve(c *net.TCPConn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if !s.reset {
		_, _ = io.Copy(io.Discard, req.Body) // an error means that the host has closed the connection
	}
	_, _ = io.WriteString(c, s.answer)
	if s.reset {
		time.Sleep(20 * time.Millisecond) // the host reads what was sent, and goes on sending
		_ = c.SetLinger(0)
	}
}

// reader reads an answer from the server at address. It returns nil if it takes it for a
// complete one.
type reader struct {
	body string // of an answer that it expects
	read func(address string) error
}

// readers are the places where answers are read.
var readers = map[string]reader{
	"server":            {"answer", func(address string) error { return send(address, "", nil) }},
	"server, body":      {"answer", func(address string) error { return send(address, strings.Repeat("x", 20<<10), nil) }},
	"server, long body": {"answer", func(address string) error { return send(address, strings.Repeat("x", 4<<20), nil) }},
	"entry host": {"answer", func(address string) error {
		return send(address, "", forward.NewSigner([]byte(strings.Repeat("k", 32)), "origin", time.Now))
	}},
	"platform's store": {`{"items":[],"hasMore":false,"currentRev":1}`, func(address string) error {
		_, _, err := platform.NewSource(address).Hosts(context.Background())
		return err
	}},
	"watch of the platform's store": {`{"events":[],"currentRev":2}`, func(address string) error {
		_, err := platform.NewSource(address).Watch(context.Background(), feed.Servers, feed.Position{Revision: 1}, time.Second)
		return err
	}},
	"object store": {`{"objects":[]}`, func(address string) error {
		c, err := storeclient.NewClient(storeclient.ClientOptions{Address: "http://" + address, Timeout: timeout})
		if err != nil {
			return err
		}
		defer c.Close()
		_, err = c.List(context.Background(), "")
		return err
	}},
	"caller": {"answer", func(address string) error {
		lookups := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(api.LookupAnswer{Hosts: []api.LookupHost{{Name: "h", Address: address}}})
		}))
		defer lookups.Close()
		c := client.New(client.Config{Seeds: []string{strings.TrimPrefix(lookups.URL, "http://")}, Tries: 1})
		_, err := c.Do(context.Background(), client.Request{Method: http.MethodGet, Path: "/a", Deadline: timeout})
		return err
	}},
	"probes and feeds of entry hosts": {"answer", func(address string) error {
		c := http.Client{Timeout: timeout, Transport: httpanswer.NewTransport(&http.Transport{})}
		resp, err := c.Get("http://" + address + "/health")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		return err
	}},
}

// send forwards a request to a server, or with a signer to another entry host, and passes
// the answer on to a caller.
func send(address, body string, signer *forward.Signer) (err error) {
	f := forward.New(forward.Config{})
	defer f.Close()
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	in := httptest.NewRequest(method, "/a", strings.NewReader(body))
	if body == "" {
		in.Body, in.ContentLength = http.NoBody, 0
	}
	req := forward.Request{In: in, Server: address, RequestID: "r", DeadlineAt: time.Now().Add(timeout)}
	var answer *forward.Answer
	var failure *result.Error
	if signer != nil {
		answer, failure = f.Relay(context.Background(), signer, forward.RelayRequest{Request: req, To: "h", Purpose: forward.ForKey})
	} else {
		answer, failure = f.Do(context.Background(), req)
	}
	if failure != nil {
		return failure
	}
	defer answer.Close()
	w := httptest.NewRecorder()
	if _, failure := answer.CopyTo(w); failure != nil {
		return failure
	}
	if w.Code != http.StatusOK {
		return fmt.Errorf("status %d", w.Code)
	}
	return nil
}

// framed is an answer with the given start of its head and a body with a length.
func framed(head, body string) string {
	return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// chunked is an answer in chunks with the given trailers.
func chunked(body, trailers string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, trailers)
}

const okHead = "HTTP/1.1 200 OK\r\n"

// sound are answers that must be taken.
var sound = map[string]func(body string) server{
	"length":        func(body string) server { return server{answer: framed(okHead+"X-Sound: v\r\n", body)} },
	"chunks":        func(body string) server { return server{answer: chunked(body, "X-T: v\r\n")} },
	"end of stream": func(body string) server { return server{answer: okHead + "\r\n" + body} },
	"interim answer": func(body string) server {
		return server{answer: "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" + framed(okHead, body)}
	},
	"unusual letters": func(body string) server {
		return server{answer: framed(okHead+"x!#$%&'*+-.^_`|~9: \"v\"\tw\r\n", body)}
	},
}

// odd are answers that must not be taken.
var odd = map[string]func(body string) server{
	"short of its length": func(body string) server {
		return server{answer: okHead + "Content-Length: " + strconv.Itoa(len(body)+1) + "\r\n\r\n" + body}
	},
	"no last chunk": func(body string) server { return server{answer: strings.TrimSuffix(chunked(body, ""), "0\r\n\r\n")} },
	"bad chunk": func(body string) server {
		return server{answer: okHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + body + "\r\n0\r\n\r\n"}
	},
	"two lengths": func(body string) server { return server{answer: framed(okHead+"Content-Length: 1\r\n", body)} },
	"reset before end": func(body string) server {
		return server{answer: okHead + "Content-Length: 100000\r\n\r\n" + body, reset: true}
	},
	"trailer with blank": func(body string) server { return server{answer: chunked(body, "X T: v\r\n")} },
	"trailer, blank before colon": func(body string) server {
		return server{answer: chunked(body, "X-T : v\r\n")}
	},
}

func init() {
	for _, status := range []string{"000", "001", "020", "099", "600", "999", "-20", "+20", "2 0", "20", "2000", "abc", "２００"} {
		odd["status "+status] = func(body string) server { return server{answer: framed("HTTP/1.1 "+status+" OK\r\n", body)} }
	}
	for _, version := range []string{"HTTP/2.0", "HTTP/0.9", "HTTP/3.1", "HTTP/1.10", "http/1.1", "HTTPS/1.1", "ICY"} {
		odd["version "+version] = func(body string) server { return server{answer: framed(version+" 200 OK\r\n", body)} }
	}
	for _, line := range []string{
		"X Odd: v", "X-Odd : v", "X-Odd\t: v", " X-Odd: v", "X\x01Odd: v", "X\x00Odd: v", "X\x7fOdd: v", "X\rOdd: v", "X\vOdd: v", ": v", "X-Ödd: v", "X(Odd): v", "X-Odd",
		"Content-Length : 3", "Transfer-Encoding : chunked", "X-Odd: a\x00b", "X-Odd: a\rb", "X-Odd: a\x1bb", "X-Odd: a\x7fb",
	} {
		odd[fmt.Sprintf("line %q", line)] = func(body string) server { return server{answer: framed(okHead+line+"\r\n", body)} }
	}
}

// TestOddAnswers guards against answers of a server in trouble that reach a caller as sound:
// with a status or a field name that HTTP does not know, with a body that is framed by
// something else than its server meant, or without their end.
func TestOddAnswers(t *testing.T) {
	for place, r := range readers {
		t.Run(place, func(t *testing.T) {
			t.Parallel()
			for name, answer := range sound {
				require.NoError(t, r.read(answer(r.body).start(t)), "sound answer: %s", name)
			}
			for name, answer := range odd {
				if err := r.read(answer(r.body).start(t)); err == nil {
					t.Errorf("taken for sound: %s", name)
				}
			}
		})
	}
}

// TestResetDuringUpload guards against a part of an answer that reaches the caller as
// complete: the server sends an answer without a length and resets the connection while the
// body of the request is still being sent. The failed write consumes the error, and a read
// then sees what looks like the end of the answer.
func TestResetDuringUpload(t *testing.T) {
	for _, place := range []string{"server, body", "server, long body"} {
		r := readers[place]
		for range 30 {
			address := server{answer: okHead + "\r\n" + r.body, reset: true}.start(t)
			require.Error(t, r.read(address), place)
		}
	}
}
