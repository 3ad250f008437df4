// Package crowd tests entry hosts, as processes of their own, against crowds of clients
// that do not keep to the limits: they send requests ahead and read nothing, stall, open
// many connections, or misuse HTTP/2. Each test checks that the process lives, that its
// memory and open descriptors stay under a bound, and that ordinary requests are answered.
package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/standin/freeport"
	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

const (
	// descriptorLimit is the limit of the process on open descriptors. Under
	// descriptorBound, some are left for servers, other hosts and the store.
	descriptorLimit = 600
	descriptorBound = 540
	// memoryBoundMB bounds the memory of the process together with the bytes that it
	// has received and not read.
	memoryBoundMB = 80
	// logBoundBytes bounds what the process writes to its log.
	logBoundBytes = 2 << 20
	// answerTimeout is how long an ordinary caller goes on trying.
	answerTimeout = 30 * time.Second
	// longAnswerBytes is the length of a long answer.
	longAnswerBytes = 8 << 20
	uploadTimeout   = 60 * time.Second
)

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "tamarackswitch-crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "tamarackswitch")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/tamarackswitch").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const settingsText = `name = "h0"
domain = "a-1"
[regions]
"a-1" = "a"
[listen]
caller = %q
ready = %q
lookup = %q
control = %q
peer = %q
metrics = %q
[platform]
address = %q
[limits]
cpu_share = 1.0
cores = 1.0
memory_mb = 80
descriptors = 600
[bounds]
grace = "6s"
lookup_life = "5s"
retry_ratio = 0.2
retry_extra = 100
retry_window = "10s"
`

// system is one entry host with a store and backend servers.
type system struct {
	t *testing.T
	// listeners are the addresses of the host's listeners by name; peer is that for datagrams.
	listeners map[string]string
	peer      string
	// ordinary are the requests by which the test sees that the host serves, by listener.
	ordinary map[string]string
	// callerID is the id of the ordinary request of a caller that reaches the server.
	callerID string
	cmd      *exec.Cmd
	exited   chan struct{}
	log      logBuffer

	mu          sync.Mutex // guards the fields below
	memoryMB    int        // peak of the memory with the unread bytes
	unreadMB    int        // unread bytes at that time
	descriptors int        // peak of the open descriptors
}

// logBuffer keeps what a process writes, up to a limit.
type logBuffer struct {
	mu    sync.Mutex
	text  bytes.Buffer
	bytes int
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += len(p)
	if l.text.Len() < 1<<20 {
		l.text.Write(p)
	}
	return len(p), nil
}

// written returns how many bytes the process has logged.
func (l *logBuffer) written() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	require.NoError(t, err)
	return address
}

// start starts a store, two backend servers and an entry host whose process has a low
// limit on descriptors, and waits until it answers an ordinary request.
func start(t *testing.T) *system {
	t.Helper()
	store := standin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	route := standin.Route{Host: "a.example", Pool: "p", Timeout: uploadTimeout, Target: 200 * time.Millisecond, Idempotent: true}
	ordinaryRoute, longRoute := route, route
	ordinaryRoute.Name, ordinaryRoute.Prefix = "ordinary", "/ordinary/"
	longRoute.Name, longRoute.Prefix = "long", "/long/"
	store.Configure(1, 1000, []string{"p"}, []standin.Route{ordinaryRoute, longRoute})
	for i := range 2 {
		entry := standin.ServerEntry{ID: fmt.Sprintf("s%d", i), Pool: "p", Address: freeAddress(t), Domain: "a-1", Slots: 64, StartedMS: 1}
		startServer(t, entry)
		store.Publish(entry, "ready")
	}
	s := &system{t: t, listeners: map[string]string{}, peer: freeAddress(t), ordinary: ordinary, callerID: "ordinary"}
	for _, name := range []string{"caller", "ready", "lookup", "control", "metrics"} {
		s.listeners[name] = freeAddress(t)
	}
	text := fmt.Sprintf(settingsText, s.listeners["caller"], s.listeners["ready"], s.listeners["lookup"], s.listeners["control"], s.peer, s.listeners["metrics"],
		strings.TrimPrefix(storeServer.URL, "http://"))
	s.run("steer", text)
	return s
}

// run starts the program with a command and its settings, and waits until it answers.
func (s *system) run(command, settings string) {
	s.t.Helper()
	file := filepath.Join(s.t.TempDir(), "entry.toml")
	require.NoError(s.t, os.WriteFile(file, []byte(settings), 0o600))
	s.exited = make(chan struct{})
	s.cmd = exec.Command("/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(descriptorLimit), program, command, "--settings", file)
	s.cmd.Stdout, s.cmd.Stderr = &s.log, &s.log
	require.NoError(s.t, s.cmd.Start())
	go func() {
		_ = s.cmd.Wait()
		close(s.exited)
	}()
	s.t.Cleanup(func() {
		_ = s.cmd.Process.Signal(syscall.SIGKILL) // an error means that it has ended
		<-s.exited
	})
	s.requireAnswers("at the start")
}

// startServer starts a backend server. It answers a request for a long answer with
// longAnswerBytes, and does not read the body of a request whose path contains "unread".
func startServer(t *testing.T, entry standin.ServerEntry) {
	t.Helper()
	l, err := net.Listen("tcp4", entry.Address)
	require.NoError(t, err)
	chunk := make([]byte, 32<<10)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Server-Stamp", entry.ID+"."+id)
		switch {
		case strings.HasPrefix(r.URL.Path, "/long/"):
			w.Header().Set("Content-Length", strconv.Itoa(longAnswerBytes))
			for n := 0; n < longAnswerBytes; n += len(chunk) {
				if _, err := w.Write(chunk); err != nil {
					return
				}
			}
		case strings.Contains(r.URL.Path, "unread"):
			select {
			case <-r.Context().Done():
			case <-time.After(uploadTimeout):
			}
		default:
			_, _ = io.Copy(io.Discard, r.Body) // an error means that the client has disconnected
			_, _ = io.WriteString(w, standin.Body(id))
		}
	})}
	t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(l) }() // returns after Close
}

// ordinary are the ordinary requests to a host that runs as "steer".
var ordinary = map[string]string{
	"caller":  "GET /ordinary/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: ordinary\r\nX-Deadline-Ms: 2000\r\n",
	"lookup":  "GET /tamarackswitch/resolve?name=a.example&region=a&zone=a-1 HTTP/1.1\r\nHost: h\r\n",
	"ready":   "GET /tamarackswitch/readyz HTTP/1.1\r\nHost: h\r\n",
	"metrics": "GET /metrics HTTP/1.1\r\nHost: h\r\n",
}

// answers sends one ordinary request on a new connection and reports whether the host
// answers it.
func (s *system) answers(listener string) error {
	c, err := net.DialTimeout("tcp4", s.listeners[listener], 2*time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(c, s.ordinary[listener]+"Connection: close\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d: %s", resp.StatusCode, body)
	case listener == "caller" && string(body) != standin.Body(s.callerID):
		return fmt.Errorf("another answer: %q", body)
	}
	return nil
}

// requireAnswers checks that the host answers an ordinary request on each listener. The
// caller tries again like any caller whose request was rejected.
func (s *system) requireAnswers(when string) {
	s.t.Helper()
	for listener := range s.ordinary {
		var err error
		for until := time.Now().Add(answerTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			if err = s.answers(listener); err == nil || !s.alive() {
				break
			}
		}
		require.True(s.t, s.alive(), "the process has ended %s: %s", when, s.log.text.String())
		require.NoError(s.t, err, "ordinary request to %s %s; the log ends with %s", listener, when, s.log.tail())
	}
}

func (s *system) alive() bool {
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// watch measures the process until the returned function is called.
func (s *system) watch() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			s.measure()
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

func (s *system) measure() {
	unread := s.unreadBytes()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		return // the process has ended
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	var kb int
	_, _ = fmt.Sscan(rest, &kb) // missing once the process has ended
	descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.descriptors = max(s.descriptors, len(descriptors))
	if mb := kb>>10 + unread>>20; mb > s.memoryMB {
		s.memoryMB, s.unreadMB = mb, unread>>20
	}
}

// unreadBytes sums the bytes that the host's connections have received and not read: those
// of callers, also of connections that the process has not accepted yet, and those that the
// process has opened.
func (s *system) unreadBytes() int {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ports, opened := map[string]bool{}, s.openSockets()
	for _, address := range s.listeners {
		_, port, _ := net.SplitHostPort(address)
		n, _ := strconv.Atoi(port)
		ports[fmt.Sprintf("%04X", n)] = true
	}
	const listening = "0A"
	sum := 0
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[3] == listening {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		_, queue, _ := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil && (ports[port] || opened[fields[9]]) {
			sum += int(n)
		}
	}
	return sum
}

// openSockets returns the inodes of the sockets of the process.
func (s *system) openSockets() map[string]bool {
	dir := fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid)
	entries, _ := os.ReadDir(dir) // empty once the process has ended
	inodes := map[string]bool{}
	for _, e := range entries {
		if link, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(link, "socket:[") {
			inodes[strings.TrimSuffix(strings.TrimPrefix(link, "socket:["), "]")] = true
		}
	}
	return inodes
}

// checkBounds checks the bounds.
func (s *system) checkBounds() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("peak memory %d MB, of it %d MB unread; peak of open descriptors %d; %d KB logged", s.memoryMB, s.unreadMB, s.descriptors, s.log.written()>>10)
	assert.Less(s.t, s.memoryMB, memoryBoundMB, "memory in MB")
	assert.Less(s.t, s.descriptors, descriptorBound, "open descriptors")
	assert.Less(s.t, s.log.written(), logBoundBytes, "bytes logged")
}

// tail returns the end of the log.
func (l *logBuffer) tail() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := l.text.String()
	return text[max(0, len(text)-4<<10):]
}
