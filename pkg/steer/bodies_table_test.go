package steer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
)

// bodyCase is a request with a body and the way in which its server answers it.
type bodyCase struct {
	size    int
	chunked bool
	slowly  bool // in pieces with pauses
	begin   string
	answer  string
	// next makes the caller send its next request at once after the body.
	next bool
}

func (tc bodyCase) String() string {
	framing, pace, next := "length", "at once", "next later"
	if tc.chunked {
		framing = "chunked"
	}
	if tc.slowly {
		pace = "slowly"
	}
	if tc.next {
		next = "next sent"
	}
	return fmt.Sprintf("%d bytes, %s, %s; answer %s, %s; %s", tc.size, framing, pace, tc.begin, tc.answer, next)
}

// Moments at which a server begins its answer.
const (
	beforeBody = "before the body"
	amidBody   = "amid the body"
	afterBody  = "after the body"
	// late is later than every fixed time for bodies and connections to servers.
	late = "late"
)

const lateness = max(forward.DefaultBodyStall, forward.DefaultUploadStall, forward.UserTimeout) + time.Second/2

// Kinds of answers.
const (
	emptyAnswer    = "empty"
	shortAnswer    = "short"
	longAnswer     = "long"
	chunkedAnswer  = "in chunks"
	streamedAnswer = "streamed until the body has ended"
	closedAnswer   = "without a length"
)

// answerBody returns the whole body of an answer of that kind.
func answerBody(kind string) string {
	switch kind {
	case emptyAnswer:
		return ""
	case longAnswer:
		return string(distinctBytes(300_000))
	case chunkedAnswer, streamedAnswer, closedAnswer:
		return string(distinctBytes(9_000))
	}
	return "received"
}

// bodyServer is a backend server that answers each case as it says.
type bodyServer struct {
	cases []bodyCase
	mu    sync.Mutex
	runs  map[string][]string // the faults of each run, "" if the whole body arrived unchanged
}

// listen accepts connections until the test ends, and returns the address.
func (s *bodyServer) listen(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return l.Addr().String()
}

func (s *bodyServer) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Req-Id")
		if req.Method == http.MethodGet {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nReq-Id: %s\r\nContent-Length: 4\r\n\r\nnext", id)
			continue
		}
		n, _ := strconv.Atoi(strings.TrimPrefix(id, "case-"))
		fault, keep := s.play(c, req, id, s.cases[n])
		s.mu.Lock()
		s.runs[id] = append(s.runs[id], fault)
		s.mu.Unlock()
		if !keep {
			return
		}
	}
}

// play reads the body of a request and answers it. It returns what is wrong with the body.
func (s *bodyServer) play(c net.Conn, req *http.Request, id string, tc bodyCase) (fault string, keep bool) {
	var got bytes.Buffer
	readTo := func(n int) {
		if _, err := io.CopyN(&got, req.Body, int64(n-got.Len())); err != nil && err != io.EOF {
			fault = fmt.Sprintf("the body ends after %d bytes: %v", got.Len(), err)
		}
	}
	switch tc.begin {
	case amidBody:
		readTo(tc.size / 2)
	case afterBody, late:
		readTo(tc.size + 1)
	}
	if tc.begin == late {
		time.Sleep(lateness)
	}
	body := answerBody(tc.answer)
	head := "HTTP/1.1 200 OK\r\nReq-Id: " + id + "\r\n"
	chunk := func(part string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part) }
	switch tc.answer {
	case chunkedAnswer, streamedAnswer:
		fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", head)
		for len(body) > 3000 {
			chunk(body[:3000])
			body = body[3000:]
			time.Sleep(5 * time.Millisecond)
		}
		if tc.answer == streamedAnswer {
			readTo(tc.size + 1)
		}
		chunk(body)
		_, _ = io.WriteString(c, "0\r\n\r\n")
	case closedAnswer:
		fmt.Fprintf(c, "%sConnection: close\r\n\r\n%s", head, body)
	default:
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	readTo(tc.size + 1)
	if fault == "" && !bytes.Equal(got.Bytes(), distinctBytes(tc.size)) {
		fault = fmt.Sprintf("another body of %d bytes arrived", got.Len())
	}
	return fault, tc.answer != closedAnswer
}

const nextRequest = "GET /safe/next HTTP/1.1\r\nHost: a.example\r\nReq-Id: next\r\n\r\n"

// send sends the request of the case with number n.
func (tc bodyCase) send(c net.Conn, n int) error {
	framing := fmt.Sprintf("Content-Length: %d", tc.size)
	if tc.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	if _, err := fmt.Fprintf(c, "POST /long-once/x HTTP/1.1\r\nHost: a.example\r\nReq-Id: case-%d\r\n%s\r\n\r\n", n, framing); err != nil {
		return err
	}
	piece := max(tc.size, 1)
	if tc.slowly {
		piece = tc.size/8 + 1
	}
	for rest := distinctBytes(tc.size); len(rest) > 0; {
		part := rest[:min(piece, len(rest))]
		rest = rest[len(part):]
		if tc.chunked {
			part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
		}
		if _, err := c.Write(part); err != nil {
			return err
		}
		if tc.slowly {
			time.Sleep(15 * time.Millisecond)
		}
	}
	end := ""
	if tc.chunked {
		end = "0\r\n\r\n"
	}
	if tc.next {
		end += nextRequest
	}
	_, err := io.WriteString(c, end)
	return err
}

// play sends the request, and one more on the same connection, and checks the answers.
func (tc bodyCase) play(address string, n int) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	sent := make(chan error, 1)
	go func() { sent <- tc.send(c, n) }()
	r := bufio.NewReader(c)
	if err := expectAnswer(r, answerBody(tc.answer)); err != nil {
		return err
	}
	if err := <-sent; err != nil {
		return fmt.Errorf("the body cannot be sent: %w", err)
	}
	if !tc.next {
		if _, err := io.WriteString(c, nextRequest); err != nil {
			return err
		}
	}
	if err := expectAnswer(r, "next"); err != nil {
		return fmt.Errorf("next request: %w", err)
	}
	return nil
}

// expectAnswer reads an answer with status 200 and the given body.
func expectAnswer(r *bufio.Reader, body string) error {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	got, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return fmt.Errorf("the answer ends after %d bytes: %w", len(got), err)
	case resp.StatusCode != http.StatusOK || string(got) != body:
		return fmt.Errorf("status %d, %d bytes that begin with %.60q", resp.StatusCode, len(got), got)
	}
	return nil
}

// bodySizes are the sizes around the buffers of the host and of net/http, and around the part
// of a body that is dropped after an answer.
var bodySizes = []int{
	0, 1, 2<<10 - 1, 2 << 10, 2<<10 + 1, 4<<10 - 1, 4 << 10, 4<<10 + 1,
	forward.BufferBytes - 1, forward.BufferBytes, forward.BufferBytes + 1,
	2*forward.BufferBytes - 1, 2 * forward.BufferBytes, 2*forward.BufferBytes + 1, 256<<10 - 1, 256 << 10, 256<<10 + 1, 1 << 20,
}

// lateBodySizes are the sizes for late answers, which take long to play.
var lateBodySizes = []int{0, forward.BufferBytes - 1, forward.BufferBytes, forward.BufferBytes + 1, 1 << 20}

// Guards against bodies and answers that depend on each other: whenever a server answers, and
// however caller and server send and read, the server gets the body once and unchanged, the
// caller gets the whole answer, and its connection serves the next request.
func TestBodiesAndAnswers(t *testing.T) {
	var cases []bodyCase
	for i, size := range bodySizes {
		if testing.Short() && i%3 != 0 && size < 1<<20 {
			continue
		}
		for _, begin := range []string{beforeBody, amidBody, afterBody, late} {
			if begin == late && !slices.Contains(lateBodySizes, size) {
				continue
			}
			for _, answer := range []string{emptyAnswer, shortAnswer, longAnswer, chunkedAnswer, streamedAnswer, closedAnswer} {
				for flags := range 8 {
					cases = append(cases, bodyCase{size: size, chunked: flags&1 > 0, slowly: flags&2 > 0, next: flags&4 > 0, begin: begin, answer: answer})
				}
			}
		}
	}
	const servers = 24 // each has a bounded number of connections
	s := &bodyServer{cases: cases, runs: map[string][]string{}}
	source := newSource()
	putTable(source, 3)
	for i := range servers {
		id := fmt.Sprintf("s%d", i)
		source.put(feed.Servers, feed.Item{Name: id, Server: &fleet.Server{
			ID: id, Pool: "p", Address: s.listen(t), Domain: "a-1", Slots: 12, StartedMS: 1,
		}})
	}
	h := startHost(t, source, "h1", "a-1")
	ready(t, h, servers)

	// Late answers are played beside each other, because they only wait.
	quick, slow := make(chan struct{}, 16), make(chan struct{}, 96)
	var players sync.WaitGroup
	for n, tc := range cases {
		places := quick
		if tc.begin == late {
			places = slow
		}
		players.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			if err := tc.play(h.self.CallerAddress, n); err != nil {
				t.Errorf("%v: %v", tc, err)
			}
		})
	}
	players.Wait()
	runs := func(n int) []string {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.runs[fmt.Sprintf("case-%d", n)]
	}
	for n, tc := range cases {
		// A server may still read the body when the answer has reached the caller.
		require.Eventually(t, func() bool { return len(runs(n)) > 0 }, waitTimeout, time.Millisecond, "%v", tc)
		if got := runs(n); len(got) != 1 || got[0] != "" {
			t.Errorf("%v: runs %q", tc, got)
		}
	}
}
