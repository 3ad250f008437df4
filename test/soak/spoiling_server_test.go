package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

// spoilKind is a way in which a server spoils its answers or treats requests badly.
type spoilKind int

const (
	// copyAtOnce writes the answer a second time, copyLate at the place of the next one.
	copyAtOnce spoilKind = iota
	copyLate
	// partLate writes a part of an answer once more directly before the next one.
	partLate
	// breakOff ends an answer anywhere, also in its head, and closes the connection,
	// half of it, or keeps it.
	breakOff
	// garble writes bytes that are no answer instead of one.
	garble
	// unframed sends an answer without a length, which ends with the connection.
	unframed
	// loseAnswer closes the connection instead of answering a request that ran.
	loseAnswer
	// shed refuses requests, early refuses those with a body before it has been read.
	shed
	early
	// fail answers requests that ran with 500, unsigned with 504 and without a stamp.
	fail
	unsigned
	// resetRun resets the connection on which a request has run.
	resetRun
	// withoutID leaves the id out of refusals.
	withoutID
	// forgetIdle resets connections that were idle for forgetIdleAfter.
	forgetIdle
)

// forgetIdleAfter is the time after which a server forgets an idle connection.
const forgetIdleAfter = 210 * time.Millisecond

// spoiling says how often a server does what, as a share of its answers or requests.
type spoiling map[spoilKind]float64

// spoilings are the kinds and doses of misbehaviour that are common in operation. share
// is the share of the servers that misbehave at the same time.
var spoilings = []struct {
	share float64
	spoiling
}{
	{0.35, spoiling{copyAtOnce: 0.02, breakOff: 0.02}},
	{0.60, spoiling{copyLate: 0.03}},
	{0.60, spoiling{copyLate: 0.03, withoutID: 1, shed: 0.45}},
	{0.27, spoiling{breakOff: 0.03, garble: 0.03}},
	{0.50, spoiling{partLate: 0.05}},
	{1.00, spoiling{unframed: 0.05, breakOff: 0.05}},
	{0.45, spoiling{loseAnswer: 0.025}},
	{0.60, spoiling{loseAnswer: 0.4}},
	{0.50, spoiling{resetRun: 0.05}},
	{0.14, spoiling{shed: 0.45}},
	{1.00, spoiling{shed: 0.55, partLate: 0.05}},
	{0.14, spoiling{fail: 0.45, unsigned: 0.2, partLate: 0.05}},
	{0.09, spoiling{resetRun: 0.44}},
	{0.50, spoiling{early: 0.2, shed: 0.2}},
	{0.50, spoiling{forgetIdle: 1}},
}

// add adds the shares of t, multiplied by factor, up to nine tenths in all.
func (s spoiling) add(t spoiling, factor float64) {
	for kind, share := range t {
		s[kind] = min(s[kind]+share*factor, 0.9)
	}
}

// spoilingServer is a backend server that writes its answers itself, so that it can
// spoil them, and that may crash and start again.
type spoilingServer struct {
	*soak
	given *givenAnswers

	mu       sync.Mutex
	entry    standin.ServerEntry
	rng      *rand.Rand
	spoils   spoiling
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	waiting  int
}

// givenAnswers holds what servers answered to each request.
type givenAnswers struct {
	mu sync.Mutex
	// statuses are those of the answers to a request that ran.
	statuses map[string][]int
	// written lists what was written when the answer to a request was due.
	written map[string][]string
}

func (g *givenAnswers) record(id string, status int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.statuses[id] = append(g.statuses[id], status)
}

// recordWritten records what a server wrote when the answer to a request was due.
func (g *givenAnswers) recordWritten(server, id, text string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.written[id] = append(g.written[id], fmt.Sprintf("%s %s %q", time.Now().Format("15:04:05.000"), server, text))
}

// transcript returns what was written for the requests that the violations name.
func (g *givenAnswers) transcript(violations []string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out strings.Builder
	for _, v := range violations {
		for _, word := range strings.Fields(v) {
			if id := strings.TrimSuffix(word, ":"); len(g.written[id]) > 0 {
				fmt.Fprintf(&out, "%s:\n\t%s\n", id, strings.Join(g.written[id], "\n\t"))
			}
		}
	}
	return out.String()
}

// gave reports whether a server answered the request with the status.
func (g *givenAnswers) gave(id string, status int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Contains(g.statuses[id], status)
}

// queueLength is the number of requests that wait at a server with busy slots.
const queueLength = 2

// start opens the listener at the address of the entry and publishes it.
func (v *spoilingServer) start(entry standin.ServerEntry) error {
	l, err := net.Listen("tcp4", entry.Address)
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.entry, v.listener, v.conns, v.running, v.waiting = entry, l, map[net.Conn]bool{}, 0, 0
	v.mu.Unlock()
	v.store.Publish(entry, "ready")
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			v.mu.Lock()
			accepted := v.listener == l
			if accepted {
				v.conns[c] = true
			}
			v.mu.Unlock()
			if !accepted {
				reset(c)
				continue
			}
			go v.serve(c, entry)
		}
	}()
	return nil
}

// crash resets all connections and closes the listener.
func (v *spoilingServer) crash() {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.listener.Close()
	v.listener = nil
	for c := range v.conns {
		reset(c)
	}
}

func (v *spoilingServer) stop() {
	v.mu.Lock()
	running := v.listener != nil
	v.mu.Unlock()
	if running {
		v.crash()
	}
}

// draw reports whether something with the given share happens now.
func (v *spoilingServer) draw(share float64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return share > 0 && v.rng.Float64() < share
}

func (v *spoilingServer) intN(n int) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rng.IntN(n)
}

func (v *spoilingServer) current() spoiling {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.spoils
}

func (v *spoilingServer) setSpoiling(s spoiling) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.spoils = s
}

// serverConn is a connection of a caller of a spoilingServer.
type serverConn struct {
	net.Conn
	v *spoilingServer
	r *bufio.Reader
	// entry is that of the process that accepted the connection.
	entry standin.ServerEntry
	// earlier is the last answer on the connection, late what is still to be written
	// before the next one.
	earlier, late string
}

// serve answers the requests of one connection.
func (v *spoilingServer) serve(c net.Conn, entry standin.ServerEntry) {
	s := &serverConn{Conn: c, v: v, r: bufio.NewReader(c), entry: entry}
	defer func() {
		v.mu.Lock()
		delete(v.conns, c)
		v.mu.Unlock()
		_ = c.Close()
	}()
	for s.next() {
	}
}

// next reads and answers one request. It reports whether the connection goes on.
func (s *serverConn) next() bool {
	if s.v.current()[forgetIdle] > 0 && s.earlier != "" {
		_ = s.SetReadDeadline(time.Now().Add(forgetIdleAfter))
		if _, err := s.r.Peek(1); err != nil {
			reset(s.Conn)
			return false
		}
		_ = s.SetReadDeadline(time.Time{})
	}
	req, err := http.ReadRequest(s.r)
	if err != nil {
		return false
	}
	spoils := s.v.current()
	id := req.Header.Get("X-Request-Id")
	if expected := req.Header.Get("X-Expect-Instance"); expected != s.entry.ID {
		return s.v.readBody(req) && s.refuse(spoils, id, http.StatusMisdirectedRequest)
	}
	if req.ContentLength != 0 && s.v.draw(spoils[early]) {
		ok := s.refuse(spoils, id, http.StatusServiceUnavailable)
		time.Sleep(time.Duration(s.v.intN(20)) * time.Millisecond)
		return s.v.readBody(req) && ok
	}
	if !s.v.readBody(req) {
		return false
	}
	if s.v.draw(spoils[shed]) || !s.v.takeSlot() {
		return s.refuse(spoils, id, http.StatusServiceUnavailable)
	}
	s.v.runRequest(s.entry, req, id)
	time.Sleep(time.Duration(2+s.v.intN(12)) * time.Millisecond)
	s.v.endRun()
	return s.answer(spoils, id)
}

// readBody reads the body and checks that it is the caller's.
func (v *spoilingServer) readBody(req *http.Request) bool {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	want, _ := strconv.Atoi(req.Header.Get(bodyLengthHeader))
	if len(body) != want || strings.Trim(string(body), "b") != "" {
		v.recorder.addViolation("request %s came with %d other body bytes instead of %d", req.Header.Get("X-Request-Id"), len(body), want)
	}
	return true
}

// takeSlot waits for a slot, and reports false if the queue is full or moves too slowly.
func (v *spoilingServer) takeSlot() bool {
	for waited := 0; ; waited++ {
		v.mu.Lock()
		switch {
		case v.running < v.entry.Slots:
			v.running++
			if waited > 0 {
				v.waiting--
			}
			v.mu.Unlock()
			return true
		case waited == 0 && v.waiting >= queueLength:
			v.mu.Unlock()
			return false
		case waited == 0:
			v.waiting++
		case waited > 50:
			v.waiting--
			v.mu.Unlock()
			return false
		}
		v.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

func (v *spoilingServer) endRun() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.running = max(v.running-1, 0) // a start in between has set it to 0
}

// runRequest records that a server with the given entry runs a request.
func (v *spoilingServer) runRequest(entry standin.ServerEntry, req *http.Request, id string) {
	v.recorder.recordRun(id)
	if !strings.HasPrefix(req.URL.Path, "/"+entry.Pool+"/") {
		v.recorder.addViolation("request %s for %s was run by a server of pool %s", id, req.URL.Path, entry.Pool)
	}
}

// refuse writes a refusal, spoiled as answers are.
func (s *serverConn) refuse(spoils spoiling, id string, status int) bool {
	head := fmt.Sprintf("X-Request-Id: %s\r\n", id)
	if s.v.draw(spoils[withoutID]) {
		head = ""
	}
	if status == http.StatusMisdirectedRequest {
		head += fmt.Sprintf("X-Instance-Id: %s\r\n", s.entry.ID)
	} else {
		head += "X-Not-Executed: 1\r\nRetry-After: 0.05\r\n"
	}
	return s.write(spoils, id, fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), head))
}

// answer answers a request that ran.
func (s *serverConn) answer(spoils spoiling, id string) bool {
	status := http.StatusOK
	stamp := fmt.Sprintf("X-Server-Stamp: %s.%s\r\n", s.entry.ID, id)
	switch {
	case s.v.draw(spoils[loseAnswer]):
		return false
	case s.v.draw(spoils[resetRun]):
		reset(s.Conn)
		return false
	case s.v.draw(spoils[fail]):
		status = http.StatusInternalServerError
	case s.v.draw(spoils[unsigned]):
		status, stamp = http.StatusGatewayTimeout, ""
	}
	s.v.given.record(id, status)
	body := standin.Body(id)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\n%s", status, http.StatusText(status), id, stamp)
	if s.v.draw(spoils[unframed]) {
		_ = s.send(id, s.late+head+"Connection: close\r\n\r\n"+body)
		return false
	}
	return s.write(spoils, id, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
}

// write writes an answer and spoils it. It reports whether the connection goes on.
func (s *serverConn) write(spoils spoiling, id, text string) bool {
	before := s.late
	s.late = ""
	if s.earlier != "" && s.v.draw(spoils[partLate]) {
		before += partOf(s.earlier, s.v.intN)
	}
	s.earlier = text
	switch {
	case s.v.draw(spoils[breakOff]):
		_ = s.send(id, before+text[:s.v.intN(len(text))])
		return s.endHalfway()
	case s.v.draw(spoils[garble]):
		text = "\x00\x01 not an answer\r\n\r\n"
	case s.v.draw(spoils[copyAtOnce]):
		text += text
	case s.v.draw(spoils[copyLate]):
		s.late = text
	}
	return s.send(id, before+text)
}

// send writes what the server sends when the answer to a request is due.
func (s *serverConn) send(id, text string) bool {
	s.v.given.recordWritten(s.entry.ID, id, text)
	_, err := io.WriteString(s, text)
	return err == nil
}

// partOf returns a part of an answer: mostly its beginning.
func partOf(text string, intN func(int) int) string {
	i, j := 0, 1+intN(len(text))
	if intN(4) == 0 {
		i = intN(j)
	}
	return text[i:j]
}

// endHalfway goes on after an answer was broken off.
func (s *serverConn) endHalfway() bool {
	switch s.v.intN(3) {
	case 0:
		return false
	case 1:
		if tcp, ok := s.Conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, s.r)
		return false
	}
	return true // the next answer continues the head
}
