package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

// spoiling says how a server spoils its answers. Each field is the share of the answers,
// or of the requests, that it concerns.
type spoiling struct {
	// copyAtOnce writes the answer a second time, copyLate at the place of the next one.
	copyAtOnce, copyLate float64
	// partLate writes a part of an answer once more directly before the next one.
	partLate float64
	// breakOff ends an answer anywhere, also in its head, and closes the connection,
	// half of it, or keeps it.
	breakOff float64
	// garbage writes bytes that are no answer instead of one.
	garbage float64
	// unframed sends an answer without a length, which ends with the connection.
	unframed float64
	// loseAnswer closes the connection instead of answering a request that ran.
	loseAnswer float64
	// shed refuses requests, early refuses those with a body before it has been read.
	shed, early float64
	// fail answers requests that ran with 500, unsigned without a stamp.
	fail, unsigned float64
	// reset resets the connection while a request runs.
	reset float64
	// withoutID leaves the id out of refusals.
	withoutID float64
	// forgetIdle is the time after which idle connections are reset; 0 keeps them.
	forgetIdle time.Duration
}

// spoilings are the kinds and doses of misbehaviour that are common in operation. share
// is the share of the servers that misbehave at the same time.
var spoilings = []struct {
	share float64
	spoiling
}{
	{0.35, spoiling{copyAtOnce: 0.02, breakOff: 0.02}},
	{0.60, spoiling{copyLate: 0.03}},
	{0.60, spoiling{copyLate: 0.03, withoutID: 1, shed: 0.45}},
	{0.27, spoiling{breakOff: 0.03, garbage: 0.03}},
	{0.50, spoiling{partLate: 0.05}},
	{1.00, spoiling{unframed: 0.05, breakOff: 0.05}},
	{0.45, spoiling{loseAnswer: 0.025}},
	{0.60, spoiling{loseAnswer: 0.4}},
	{0.50, spoiling{reset: 0.05}},
	{0.14, spoiling{shed: 0.45}},
	{1.00, spoiling{shed: 0.55, partLate: 0.05}},
	{0.14, spoiling{fail: 0.45, unsigned: 0.2, partLate: 0.05}},
	{0.09, spoiling{reset: 0.44}},
	{0.50, spoiling{early: 0.2, shed: 0.2}},
	{0.50, spoiling{forgetIdle: 210 * time.Millisecond}},
}

// times returns s with all shares multiplied, up to nine tenths.
func (s spoiling) times(x float64) spoiling {
	for _, f := range []*float64{
		&s.copyAtOnce, &s.copyLate, &s.partLate, &s.breakOff, &s.garbage, &s.unframed, &s.loseAnswer, &s.shed, &s.early, &s.fail, &s.unsigned, &s.reset,
	} {
		*f = min(*f*x, 0.9)
	}
	return s
}

// plus adds the shares of t to those of s.
func (s spoiling) plus(t spoiling) spoiling {
	s.copyAtOnce += t.copyAtOnce
	s.copyLate += t.copyLate
	s.partLate += t.partLate
	s.breakOff += t.breakOff
	s.garbage += t.garbage
	s.unframed += t.unframed
	s.loseAnswer += t.loseAnswer
	s.shed += t.shed
	s.early += t.early
	s.fail += t.fail
	s.unsigned += t.unsigned
	s.reset += t.reset
	s.withoutID = max(s.withoutID, t.withoutID)
	s.forgetIdle = max(s.forgetIdle, t.forgetIdle)
	return s
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
	if idle := s.v.current().forgetIdle; idle > 0 && s.earlier != "" {
		_ = s.SetReadDeadline(time.Now().Add(idle))
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
	if req.ContentLength != 0 && s.v.draw(spoils.early) {
		ok := s.refuse(spoils, id, http.StatusServiceUnavailable)
		time.Sleep(time.Duration(s.v.intN(20)) * time.Millisecond)
		return s.v.readBody(req) && ok
	}
	if !s.v.readBody(req) {
		return false
	}
	if s.v.draw(spoils.shed) || !s.v.takeSlot() {
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
	if s.v.draw(spoils.withoutID) {
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
	case s.v.draw(spoils.loseAnswer):
		return false
	case s.v.draw(spoils.reset):
		reset(s.Conn)
		return false
	case s.v.draw(spoils.fail):
		status = http.StatusInternalServerError
	case s.v.draw(spoils.unsigned):
		status, stamp = http.StatusGatewayTimeout, ""
	}
	s.v.given.record(id, status)
	body := standin.Body(id)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\n%s", status, http.StatusText(status), id, stamp)
	if s.v.draw(spoils.unframed) {
		_ = s.send(id, s.late+head+"Connection: close\r\n\r\n"+body)
		return false
	}
	return s.write(spoils, id, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
}

// write writes an answer and spoils it. It reports whether the connection goes on.
func (s *serverConn) write(spoils spoiling, id, text string) bool {
	before := s.late
	s.late = ""
	if s.earlier != "" && s.v.draw(spoils.partLate) {
		before += partOf(s.earlier, s.v.intN)
	}
	s.earlier = text
	switch {
	case s.v.draw(spoils.breakOff):
		_ = s.send(id, before+text[:s.v.intN(len(text))])
		return s.endHalfway()
	case s.v.draw(spoils.garbage):
		text = "\x00\x01 not an answer\r\n\r\n"
	case s.v.draw(spoils.copyAtOnce):
		text += text
	case s.v.draw(spoils.copyLate):
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

// bodyLengthHeader tells the servers how long the body of the caller is.
const bodyLengthHeader = "X-Body-Length"

// newSpoiledSoak returns a soak with spoiling servers in two pools and a route of each
// kind to each of them.
func newSpoiledSoak(t *testing.T, seed uint64, hosts, servers int) (*soak, []*spoilingServer, *givenAnswers) {
	s := newEmptySoak(t)
	s.rng = rand.New(rand.NewPCG(seed, 78))
	given := &givenAnswers{statuses: map[string][]int{}, written: map[string][]string{}}
	var err error
	s.storeProxy, err = newTCPProxy(freeAddress(t), s.storeAddress)
	require.NoError(t, err)
	t.Cleanup(s.storeProxy.close)
	s.writeSpoiledTables()
	var list []*spoilingServer
	for i := range servers {
		v := &spoilingServer{soak: s, given: given, rng: rand.New(rand.NewPCG(seed, uint64(i)))}
		require.NoError(t, v.start(standin.ServerEntry{
			ID: fmt.Sprintf("i-%d", i), Pool: []string{"p", "q"}[i%2], Address: freeAddress(t), Domain: domains[i/2%len(domains)], Slots: 3, StartedMS: time.Now().UnixMilli(),
		}))
		t.Cleanup(v.stop)
		list = append(list, v)
	}
	for i := range hosts {
		s.hosts = append(s.hosts, newHost(t, fmt.Sprintf("h%d", i), domains[i%len(domains)], s.storeProxy.address(), func(name string, err error) {
			s.recorder.addViolation("%s ended by itself: %v", name, err)
		}))
	}
	s.awaitTables(waitTimeout, "at the start")
	return s, list, given
}

func (s *soak) writeSpoiledTables() {
	s.tablesVersion += 1 + s.rng.IntN(3)
	var routes []standin.Route
	for _, pool := range []string{"p", "q"} {
		r := standin.Route{Host: "a.example", Pool: pool, Timeout: time.Second, Target: 200 * time.Millisecond}
		safe, once := r, r
		safe.Name, safe.Prefix, safe.Idempotent = "safe-"+pool, "/"+pool+"/safe/", true
		once.Name, once.Prefix = "once-"+pool, "/"+pool+"/once/"
		routes = append(routes, safe, once)
	}
	s.store.Configure(s.tablesVersion, 1000, []string{"p", "q"}, routes)
}

// TestNoFalseRefusalUnderFaults guards against "not run" for a request that ran, a second
// run of a write, answers with another status or body than a server gave, changed bodies
// requests at servers of another pool and answers without a request, while servers repeat, break off and lose
// answers, are full, crash and start again under the same id, another one or in another
// pool, and hosts are stopped, paused, killed and short of processor time. SPOIL_SEEDS, SPOIL_SECONDS and
// SPOIL_DOSE (a factor of the shares) make it longer and harder.
func TestNoFalseRefusalUnderFaults(t *testing.T) {
	first, last := 1, 4
	if text := os.Getenv("SPOIL_SEEDS"); text != "" {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &last)
		require.NoError(t, err)
	}
	duration := time.Duration(intFromEnv(t, "SPOIL_SECONDS", 6)) * time.Second
	semaphore := make(chan struct{}, intFromEnv(t, "SOAK_PARALLEL", 4))
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			// Every second seed has the shares that are common in operation.
			factor := float64(intFromEnv(t, "SPOIL_DOSE", 8))
			if seed%2 == 0 {
				factor = 1
			}
			s, servers, given := newSpoiledSoak(t, uint64(seed), 3, 8)
			s.runSpoiled(servers, given, duration, factor)
		})
	}
}

// runSpoiled spoils answers, restarts servers and disturbs hosts while callers send
// requests, and checks what callers were told.
func (s *soak) runSpoiled(servers []*spoilingServer, given *givenAnswers, duration time.Duration, factor float64) {
	done := make(chan struct{})
	var callers sync.WaitGroup
	statuses := make([]map[int]int, 16)
	for i := range statuses {
		statuses[i] = map[int]int{}
		callers.Go(func() { s.callSpoiled(done, i, given, statuses[i]) })
	}
	var faults sync.WaitGroup
	for until := time.Now().Add(duration); time.Now().Before(until); {
		length := time.Duration(100+s.rng.IntN(1200)) * time.Millisecond
		switch kind := s.rng.IntN(11); {
		case kind < 4:
			s.spoil(servers, factor)
		case kind < 7:
			s.restartServers(&faults, servers, length/4)
		case kind < 8:
			s.injectHostFault(&faults, length)
		case kind < 9:
			s.injectStoreFault(&faults, length)
		case kind < 10:
			stop := throttle(s.hosts[s.rng.IntN(len(s.hosts))], 25*time.Millisecond)
			faults.Go(func() {
				time.Sleep(length)
				stop()
			})
		default:
			s.writeSpoiledTables()
		}
		time.Sleep(time.Duration(30+s.rng.IntN(200)) * time.Millisecond)
	}
	faults.Wait()
	s.store.SetFaults(standin.Faults{})
	close(done)
	callers.Wait()
	time.Sleep(200 * time.Millisecond) // for requests that may still begin to run
	s.recorder.checkRuns()
	total := map[int]int{}
	for _, m := range statuses {
		for status, n := range m {
			total[status] += n
			s.recorder.served += n * boolInt(status == http.StatusOK)
		}
	}
	s.t.Logf("answers by status, 0 without one: %v", total)
	if len(s.recorder.violations) > 0 {
		s.t.Logf("what servers wrote:\n%s", given.transcript(s.recorder.violations))
	}
	s.report()
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// spoil draws new spoilings for the servers: one or two kinds, each for a share of them.
func (s *soak) spoil(servers []*spoilingServer, factor float64) {
	drawn := make([]spoiling, len(servers))
	for range 1 + s.rng.IntN(2) {
		kind := spoilings[s.rng.IntN(len(spoilings))]
		for i := range servers {
			if s.rng.Float64() < kind.share {
				drawn[i] = drawn[i].plus(kind.times(factor))
			}
		}
	}
	for i, v := range servers {
		v.setSpoiling(drawn[i])
	}
}

// restartServers crashes one or two servers and starts them again after a while at their
// addresses: under the same id, under another one, or with their pools exchanged.
func (s *soak) restartServers(wg *sync.WaitGroup, servers []*spoilingServer, length time.Duration) {
	first := s.rng.IntN(len(servers) / 2)
	pair := []*spoilingServer{servers[2*first], servers[2*first+1]}
	kind, withdraw := s.rng.IntN(4), s.rng.IntN(2) == 0
	if kind < 2 {
		pair = pair[:1]
	}
	s.deployments++
	n := s.deployments
	wg.Go(func() {
		var entries []standin.ServerEntry
		for _, v := range pair {
			v.mu.Lock()
			crashed := v.listener == nil
			entries = append(entries, v.entry)
			v.mu.Unlock()
			if crashed {
				return // another restart is in progress
			}
		}
		for i, v := range pair {
			v.crash()
			if kind > 0 && withdraw {
				s.store.Withdraw(entries[i].ID)
			}
		}
		time.Sleep(length)
		for i, v := range pair {
			entry := entries[i]
			entry.StartedMS = time.Now().UnixMilli()
			old := entry.ID
			if kind > 0 {
				entry.ID = fmt.Sprintf("i-%d-%d", n, i)
			}
			if kind > 1 {
				entry.Pool = entries[1-i].Pool
			}
			if err := v.start(entry); err != nil {
				s.recorder.addViolation("backend server did not start: %v", err)
			}
			if kind > 0 && !withdraw {
				time.AfterFunc(length, func() { s.store.Withdraw(old) })
			}
		}
	})
}

// callSpoiled sends requests of both kinds, with and without bodies, until done is
// closed, and checks the answers.
func (s *soak) callSpoiled(done <-chan struct{}, caller int, given *givenAnswers, statuses map[int]int) {
	pooled := &http.Transport{}
	defer pooled.CloseIdleConnections()
	var transport http.RoundTripper = pooled
	if caller%2 == 1 {
		strict := &strictTransport{soak: s, conns: map[string]*keptConn{}}
		defer strict.close()
		transport = strict
	}
	rng := rand.New(rand.NewPCG(uint64(caller), 3))
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		id := fmt.Sprintf("%s-%d-%d", filepath.Base(s.t.Name()), caller, n)
		once := n%4 != 0
		answer, err := s.sendSpoiled(transport, rng, id, once)
		statuses[answer.Status]++
		s.recorder.mu.Lock()
		runs := s.recorder.runs[id]
		if once && err == nil && answer.PromisesNotRun() {
			s.recorder.reportedNotRun[id] = true
		}
		s.recorder.mu.Unlock()
		switch {
		case once && runs > 1:
			s.recorder.addViolation("request %s ran %d times", id, runs)
		case err != nil:
		case answer.Defect != "":
			s.recorder.addViolation("request %s: %s", id, answer.Defect)
		case (answer.Status == http.StatusOK || answer.Stamp != "") && !given.gave(id, answer.Status):
			s.recorder.addViolation("request %s: status %d with stamp %q, which no server gave", id, answer.Status, answer.Stamp)
		}
		if rng.IntN(3) == 0 {
			time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
		}
	}
}

// strictTransport keeps one connection to each host and reports what arrives on it while
// no request waits for an answer: a caller would take it for the answer to its next one.
type strictTransport struct {
	*soak
	conns map[string]*keptConn
}

func (t *strictTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	address := req.URL.Host
	if k := t.conns[address]; k != nil && !t.isQuiet(k) {
		t.drop(address)
	}
	k := t.conns[address]
	if k == nil {
		c, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			return nil, err
		}
		k = &keptConn{Conn: c, r: bufio.NewReader(c)}
		t.conns[address] = k
	}
	resp, err := k.RoundTrip(req)
	if err != nil {
		t.drop(address)
	}
	return resp, err
}

// isQuiet reports whether an idle connection is open and nothing has arrived on it.
func (t *strictTransport) isQuiet(k *keptConn) bool {
	_ = k.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
	more, err := k.r.Peek(1)
	if len(more) > 0 {
		more, _ = k.r.Peek(k.r.Buffered())
		t.recorder.addViolation("%q arrived on a connection of a caller without a request", more)
	}
	return len(more) == 0 && errors.Is(err, os.ErrDeadlineExceeded)
}

func (t *strictTransport) drop(address string) {
	_ = t.conns[address].Close()
	delete(t.conns, address)
}

func (t *strictTransport) close() {
	for address := range t.conns {
		t.drop(address)
	}
}

func (s *soak) sendSpoiled(transport http.RoundTripper, rng *rand.Rand, id string, once bool) (standin.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	s.recorder.mu.Lock()
	s.recorder.sent[id] = true
	s.recorder.mu.Unlock()
	body := strings.Repeat("b", bodySizes[rng.IntN(len(bodySizes))])
	request := standin.Request{
		Address: s.hosts[rng.IntN(len(s.hosts))].callerAddress, Host: "a.example", Method: http.MethodGet, ID: id, Key: strconv.Itoa(rng.IntN(7)), Deadline: time.Second,
		Header: map[string]string{bodyLengthHeader: strconv.Itoa(len(body))},
	}
	pool := []string{"p", "q"}[rng.IntN(2)]
	request.Path = "/" + pool + "/safe/"
	if once {
		request.Method, request.Path = http.MethodPut, "/"+pool+"/once/"
		request.Body, request.Chunked = body, len(body)%2 == 1
	} else {
		request.Header[bodyLengthHeader] = "0"
	}
	return standin.Send(ctx, transport, request)
}
