// Package lab runs entry hosts as separate processes on loopback, next to a stand-in of
// the platform's store and backend servers, for the cases of the second review. A case
// records what was sent, answered and run, and says whether the rule that it checks was
// broken.
package lab

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

// Exit codes of a case.
const (
	ExitHeld      = 0
	ExitBroken    = 1
	ExitCannotRun = 2
)

const (
	// caseLimit ends a case that hangs, within the 120 s that a script may take.
	caseLimit = 110 * time.Second
	// readyLimit is how long a host may take to load its tables.
	readyLimit = 15 * time.Second
)

// Lab is the environment of one case.
type Lab struct {
	// Trouble is unset if the case is to run without its disruption.
	Trouble bool
	Store   *standin.Store
	Hosts   []*Host

	dir          string
	storeAddress string
	started      time.Time

	mu     sync.Mutex
	record *os.File
}

// Run runs a case and ends the process with its exit code. The first argument of the
// process is the path of the record.
func Run(play func(l *Lab) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "the path of the record is missing")
		os.Exit(ExitCannotRun)
	}
	os.Exit(run(os.Args[1], play))
}

func run(recordPath string, play func(l *Lab) (bool, error)) int {
	l, err := newLab(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitCannotRun
	}
	defer l.close()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(l)
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			l.Note("the case could not run: %v", o.err)
			return ExitCannotRun
		case o.broken:
			l.Note("RESULT: the rule was broken")
			return ExitBroken
		}
		l.Note("RESULT: the rule held")
		return ExitHeld
	case <-time.After(caseLimit):
		l.Note("the case did not end in %s", caseLimit)
		return ExitCannotRun
	}
}

func newLab(recordPath string) (*Lab, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", Store: standin.NewStore(), dir: dir, started: time.Now(), record: record}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, l.Store) }() // until the process ends
	l.Note("trouble: %t", l.Trouble)
	return l, nil
}

func (l *Lab) close() {
	for _, h := range l.Hosts {
		h.end()
	}
	_ = os.RemoveAll(l.dir)
	_ = l.record.Close()
}

// Note writes a line with the time since the start to the record and to the output.
func (l *Lab) Note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.record.WriteString(line)
	fmt.Print(line)
}

// Host is one entry host.
type Host struct {
	Name, Caller, Ready, Metrics string

	log string
	cmd *exec.Cmd
}

// settings has the fields that deploy/entry.toml.tmpl yields, with the bounds of a small
// site.
const settings = `name = %q
domain = %q

[regions]
"alm-a" = "almaty"
"alm-b" = "almaty"

[listen]
caller = %q
ready = %q
lookup = %q
control = %q
peer = %q
metrics = %q

[platform]
address = %q

[bounds]
grace = "6s"
lookup_life = "5s"
retry_ratio = 0.2
retry_extra = 133
retry_window = "10s"

[limits]
cpu_share = 1
cores = 1
`

// StartHost starts an entry host in a failure domain with the command of the deploy file
// and waits until it is ready.
func (l *Lab) StartHost(name, domain string) (*Host, error) {
	addresses, err := freeAddresses(6)
	if err != nil {
		return nil, err
	}
	h := &Host{Name: name, Caller: addresses[0], Ready: addresses[1], Metrics: addresses[5], log: filepath.Join(l.dir, name+".log")}
	file := filepath.Join(l.dir, name+".toml")
	text := fmt.Sprintf(settings, name, domain, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], addresses[5], l.storeAddress)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(h.log)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	h.cmd = exec.Command("target/tamarackswitch", "steer", "--settings-env", "TAMARACKSWITCH_NODE_FILE")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TAMARACKSWITCH_NODE_FILE=" + file}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	if err := h.cmd.Start(); err != nil {
		return nil, err
	}
	l.Hosts = append(l.Hosts, h)
	for deadline := time.Now().Add(readyLimit); !standin.Ready(h.Ready); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("%s was not ready after %s", name, readyLimit)
		}
	}
	l.Note("host %s is ready at %s", name, h.Caller)
	return h, nil
}

// Signal sends a signal to the host.
func (h *Host) Signal(sig os.Signal) error { return h.cmd.Process.Signal(sig) }

func (h *Host) end() {
	_ = h.cmd.Process.Kill() // an error means that it has ended
	_ = h.cmd.Wait()
}

// Log returns the lines of the host's log that contain text, at most limit.
func (h *Host) Log(text string, limit int) []string {
	raw, err := os.ReadFile(h.log)
	if err != nil {
		return []string{err.Error()}
	}
	var out []string
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, text) && len(out) < limit {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}

// freeAddresses returns loopback addresses whose ports are free for TCP and UDP.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < n && tries < 20*n; tries++ {
		tcp, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer tcp.Close()
		udp, err := net.ListenPacket("udp4", tcp.Addr().String())
		if err != nil {
			continue
		}
		defer udp.Close()
		out = append(out, tcp.Addr().String())
	}
	if len(out) < n {
		return nil, errors.New("too few free ports")
	}
	return out, nil
}

// Route is a route of the operator's configuration.
type Route struct {
	Name, Host, Prefix, Service string
	Safe                        bool
	Timeout, Target             time.Duration
	MaxAttempts                 int
}

// Configure writes a version of the operator's configuration, with the limits that the
// pages show.
func (l *Lab) Configure(version int, routes ...Route) {
	milliseconds := func(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
	var resources []any
	services := map[string]bool{}
	for _, r := range routes {
		kind := "unsafe"
		if r.Safe {
			kind = "safe"
		}
		resources = append(resources, map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": r.Name}, "spec": map[string]any{
			"host": r.Host, "pathPrefix": r.Prefix, "kind": kind, "timeout": milliseconds(r.Timeout), "targetLatency": milliseconds(r.Target),
			"priority": 1, "service": r.Service, "maxAttempts": r.MaxAttempts, "stickySessions": false, "homeRegions": []string{},
		}})
		if !services[r.Service] {
			services[r.Service] = true
			resources = append(resources, map[string]any{"resourceKind": "services", "metadata": map[string]any{"name": r.Service}, "spec": map[string]any{
				"healthPath": "/healthz", "maxConns": 813, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 4.3,
			}})
		}
	}
	resources = append(resources, map[string]any{"resourceKind": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms",
	}})
	l.Store.Put("config", "main", map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources}, nil)
	l.Note("configuration r%d is written", version)
}

// Server is a backend server of the platform with a listener of its own.
type Server struct {
	ID, Service, Domain string
	Slots               int
	// Serve handles one accepted connection and closes it.
	Serve func(c net.Conn)

	address string
	born    int64
}

// StartServer opens the listener of a server and publishes its entry as ready.
func (l *Lab) StartServer(s *Server) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.born = listener.Addr().String(), time.Now().UnixMilli()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.Serve(c)
		}
	}()
	l.Publish(s, "ready")
	l.Note("server %s of %s runs at %s", s.ID, s.Service, s.address)
	return nil
}

// Publish writes the entry of a server with a state.
func (l *Lab) Publish(s *Server, state string) {
	l.Store.Publish(standin.ServerEntry{ID: s.ID, Pool: s.Service, Address: s.address, Domain: s.Domain, Slots: s.Slots, StartedMS: s.born}, state)
}
