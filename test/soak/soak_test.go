// Package soak runs the real program as separate processes on loopback, injects
// faults from outside and checks the promises from what callers and backend
// servers see. SOAK_SEEDS=first-last chooses the seeds, SOAK_SECONDS the time in
// which faults are injected.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/standin/freeport"
	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

// patience is a safety net for slow machines; no verdict depends on its length.
const patience = 20 * time.Second

var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "tamarackswitch-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "tamarackswitch")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/tamarackswitch").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// regressions are seeds that failed once.
var regressions = []int{
	// http.Server.Shutdown dropped requests that it read meanwhile.
	15, 35, 55,
}

// TestSoak plays seeds of random faults. Guards against requests that run twice,
// refusals that are not true, answers that are not whole, hosts that do not come
// back, and shutdowns that cut requests.
func TestSoak(t *testing.T) {
	first, last := 1, 3
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &last)
		require.NoError(t, err)
	}
	length := 5 * time.Second
	if text := os.Getenv("SOAK_SECONDS"); text != "" {
		s, err := strconv.Atoi(text)
		require.NoError(t, err)
		length = time.Duration(s) * time.Second
	}
	seeds := append([]int(nil), regressions...)
	for seed := first; seed <= last; seed++ {
		if !slices.Contains(seeds, seed) {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			newSoak(t, uint64(seed)).play(length)
		})
	}
}

var domains = []string{"a-1", "a-2"}

// host is one entry host process.
type host struct {
	name, domain, file string
	caller, lookup     string
	ready, metrics     string
	log                tail

	// ended is called if the process ends without a signal that ends it.
	ended func(name string, err error)

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// told is set once the running process got a signal that ends it.
	told bool
}

type soak struct {
	t   *testing.T
	rng *rand.Rand
	// planned seeds have no fault but planned work, and then nothing may be cut.
	planned bool
	store   *standin.Store
	proxy   *proxy
	hosts   []*host
	version int

	mu      sync.Mutex
	servers []*standin.Server
	runs    map[string]int
	failed  []string
	served  int
	asked   int
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		t: t, rng: rand.New(rand.NewPCG(seed, 77)), planned: seed%5 == 0, store: standin.NewStore(), runs: map[string]int{}, version: 1,
	}
	web := httptest.NewServer(s.store)
	t.Cleanup(web.Close)
	var err error
	s.proxy, err = newProxy(strings.TrimPrefix(web.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(s.proxy.close)
	s.configure()
	for i := range 6 {
		s.addServer(fmt.Sprintf("i-%d", i), freeAddress(t), domains[i%2])
	}
	for i := range 4 {
		s.addHost(i)
	}
	return s
}

func (s *soak) violation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = append(s.failed, fmt.Sprintf(format, args...))
}

// configure writes the next version of the tables.
func (s *soak) configure() {
	s.version += 1 + s.rng.IntN(3)
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
			"host": "a.example", "pathPrefix": prefix, "kind": kind, "timeout": "3s", "targetLatency": "200ms", "priority": 1, "service": "p",
			"maxAttempts": 2, "stickySessions": true,
		}}
	}
	s.store.Put("config", "main", map[string]any{"version": fmt.Sprintf("r%d", s.version), "resources": []any{
		route("safe", "/safe/", "safe"), route("once", "/once/", "unsafe"),
		map[string]any{"resourceKind": "services", "metadata": map[string]any{"name": "p"}, "spec": map[string]any{"coldPerS": 5.0}},
	}}, nil)
}

// freeAddress returns a loopback address that no other test gets.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	require.NoError(t, err)
	return address
}

func (s *soak) addServer(id, address, domain string) {
	server := &standin.Server{
		Deployed: standin.Deployed{ID: id, Pool: "p", Address: address, Domain: domain, Slots: 4, Born: time.Now().UnixMilli()},
		Work:     15 * time.Millisecond,
		OnRun: func(id string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.runs[id]++
		},
	}
	if err := server.Start(); err != nil {
		return // another process took the address; the fault then has no effect
	}
	s.t.Cleanup(server.Stop)
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	s.store.Publish(server.Deployed, "ready")
}

func (s *soak) addHost(i int) {
	t := s.t
	h := &host{
		name: fmt.Sprintf("h%d", i), domain: domains[i%2], file: filepath.Join(t.TempDir(), "entry.toml"),
		caller: freeAddress(t), lookup: freeAddress(t), ready: freeAddress(t), metrics: freeAddress(t),
		ended: func(name string, err error) { s.violation("%s ended by itself: %v", name, err) },
	}
	text := fmt.Sprintf(`name = %q
domain = %q
[regions]
"a-1" = "a"
"a-2" = "a"
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
[bounds]
grace = "6s"
lookup_life = "5s"
retry_ratio = 0.2
retry_extra = 100
retry_window = "10s"
`, h.name, h.domain, h.caller, h.ready, h.lookup, freeAddress(t), freeAddress(t), h.metrics, s.proxy.address())
	require.NoError(t, os.WriteFile(h.file, []byte(text), 0o600))
	s.hosts = append(s.hosts, h)
	require.NoError(t, h.start())
	t.Cleanup(h.end)
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = exec.Command(binary, "steer", "--settings", h.file)
	h.cmd.Stdout, h.cmd.Stderr = &h.log, &h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	done, cmd := make(chan struct{}), h.cmd
	h.done, h.told = done, false
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		told := h.told
		h.mu.Unlock()
		if !told {
			h.ended(h.name, err)
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to the running process.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.done:
	default:
		h.told = h.told || sig == syscall.SIGTERM || sig == syscall.SIGKILL
		_ = h.cmd.Process.Signal(sig) // it may have ended meanwhile
	}
}

// replace ends the process with a signal and starts it again.
func (h *host) replace(sig syscall.Signal, pause time.Duration) error {
	h.signal(sig)
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	select {
	case <-done:
	case <-time.After(patience):
		return fmt.Errorf("%s does not end after %v", h.name, sig)
	}
	time.Sleep(pause)
	return h.start()
}

func (h *host) end() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	<-done
}

// play runs callers and faults, then checks what they saw.
func (s *soak) play(length time.Duration) {
	s.settle("at the start")
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() { s.call(ctx, i) })
	}
	s.faults(length)
	s.settle("after the faults")
	cancel()
	callers.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("asked %d, served %d", s.asked, s.served)
	if len(s.failed) > 0 {
		for _, h := range s.hosts {
			s.t.Logf("log of %s:\n%s", h.name, h.log.String())
		}
	}
	require.Empty(s.t, s.failed)
	require.Positive(s.t, s.served)
}

// faults injects random faults that come in series and overlap.
func (s *soak) faults(length time.Duration) {
	var wg sync.WaitGroup
	until := time.Now().Add(length)
	busy := map[*host]*sync.Mutex{}
	for _, h := range s.hosts {
		busy[h] = &sync.Mutex{}
	}
	turn := 0
	for time.Now().Before(until) {
		h, span := s.hosts[s.rng.IntN(len(s.hosts))], time.Duration(100+s.rng.IntN(1500))*time.Millisecond
		kind := s.rng.IntN(16)
		turn++
		if s.planned {
			// One host at a time is stopped, and the tables change.
			s.configure()
			if err := s.hosts[turn%len(s.hosts)].replace(syscall.SIGTERM, 100*time.Millisecond); err != nil {
				s.violation("%v", err)
			}
			s.settle("between planned restarts")
			continue
		}
		s.mu.Lock()
		server := s.servers[s.rng.IntN(len(s.servers))]
		s.mu.Unlock()
		onHost := func(do func() error) {
			wg.Go(func() {
				busy[h].Lock()
				defer busy[h].Unlock()
				if err := do(); err != nil {
					s.violation("%v", err)
				}
			})
		}
		onServer := func(f standin.ServerFaults) {
			wg.Go(func() {
				server.SetFaults(f)
				time.Sleep(span)
				server.SetFaults(standin.ServerFaults{})
			})
		}
		onStore := func(f standin.Faults) {
			wg.Go(func() {
				s.store.SetFaults(f)
				time.Sleep(span)
				s.store.SetFaults(standin.Faults{})
			})
		}
		switch kind {
		case 0:
			onHost(func() error { return h.replace(syscall.SIGKILL, span/4) })
		case 1:
			onHost(func() error { return h.replace(syscall.SIGTERM, span/4) })
		case 2:
			onHost(func() error {
				h.signal(syscall.SIGSTOP)
				time.Sleep(span)
				h.signal(syscall.SIGCONT)
				return nil
			})
		case 3:
			h.signal(syscall.SIGHUP)
		case 4:
			onStore(standin.Faults{Status: http.StatusServiceUnavailable})
		case 5:
			onStore(standin.Faults{Silent: true})
		case 6:
			onStore(standin.Faults{LoseAnswers: true, Late: span / 2, DeafWatches: true})
		case 7:
			s.store.Compact()
			s.proxy.reset()
		case 8:
			wg.Go(func() {
				s.proxy.set(s.rng.IntN(2) == 0, true, 0)
				time.Sleep(span)
				s.proxy.set(false, false, 0)
				s.proxy.reset()
			})
		case 9:
			onServer(standin.ServerFaults{LoseAnswers: true})
		case 10:
			onServer(standin.ServerFaults{Shed: true})
		case 11:
			onServer(standin.ServerFaults{Truncate: true})
		case 12:
			onServer(standin.ServerFaults{Fail: true, Delay: 50 * time.Millisecond})
		case 13:
			// A server ends, and another one gets its address.
			server.Stop()
			s.store.Delete("servers", server.ID)
			s.addServer(fmt.Sprintf("i-r%d", turn), server.Address, server.Domain)
		case 14:
			s.configure()
		case 15:
			wg.Go(func() {
				s.store.Put("evacuations", domains[0], struct{}{}, nil)
				time.Sleep(span)
				s.store.Delete("evacuations", domains[0])
			})
		}
		time.Sleep(time.Duration(50+s.rng.IntN(350)) * time.Millisecond)
	}
	wg.Wait()
	s.store.SetFaults(standin.Faults{})
	s.proxy.set(false, false, 0)
	s.store.Delete("evacuations", domains[0])
}

// settle waits until every host is ready, has the latest tables and serves.
func (s *soak) settle(when string) {
	for _, h := range s.hosts {
		ok := false
		for deadline := time.Now().Add(patience); time.Now().Before(deadline) && !ok; time.Sleep(20 * time.Millisecond) {
			ok = h.inForce(s.version)
		}
		if !ok {
			s.violation("%s: %s does not have version %d in force", when, h.name, s.version)
		}
	}
	served := 0
	for deadline := time.Now().Add(patience); time.Now().Before(deadline) && served < 20; {
		if status, _ := s.ask(http.DefaultTransport, s.hosts[served%len(s.hosts)], "GET", "/safe/", fmt.Sprintf("settle-%s-%d", when, time.Now().UnixNano())); status == http.StatusOK {
			served++
		} else {
			served = 0
			time.Sleep(20 * time.Millisecond)
		}
	}
	if served < 20 {
		s.violation("%s: requests are not served", when)
	}
}

func (h *host) inForce(version int) bool {
	resp, err := http.Get("http://" + h.ready + "/tamarackswitch/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	resp, err = http.Get("http://" + h.metrics + "/dump")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return err == nil && strings.Contains(string(raw), fmt.Sprintf(`"table_version":%d,`, version))
}

// call sends requests of one caller. It keeps its connections, but in planned
// seeds: there a connection that ends without an answer must not be one that
// was idle.
func (s *soak) call(ctx context.Context, caller int) {
	transport := &http.Transport{DisableKeepAlives: s.planned}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		h := s.hosts[(caller+n)%len(s.hosts)]
		method, path := "GET", "/safe/"
		if n%2 == 0 {
			method, path = "PUT", "/once/"
		}
		id := fmt.Sprintf("%d-%d", caller, n)
		status, err := s.ask(transport, h, method, path, id)
		s.mu.Lock()
		s.asked++
		ran := s.runs[id]
		if status == http.StatusOK {
			s.served++
		}
		s.mu.Unlock()
		switch {
		case method == "PUT" && ran > 1:
			s.violation("request %s ran %d times", id, ran)
		case status == http.StatusServiceUnavailable && method == "PUT" && ran > 0:
			s.violation("request %s was refused as not run by %s and ran", id, h.name)
		case s.planned && err != nil && !strings.Contains(err.Error(), "refused"):
			s.violation("request %s was cut by %s: %v", id, h.name, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// ask sends one request and checks a success.
func (s *soak) ask(transport http.RoundTripper, h *host, method, path, id string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.caller+path, nil)
	if err != nil {
		return 0, err
	}
	req.Host = "a.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "2000")
	req.AddCookie(&http.Cookie{Name: "X-Affinity-Key", Value: strconv.Itoa(len(id) % 7)})
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode == http.StatusOK && (string(body) != standin.Body(id) || !strings.HasSuffix(resp.Header.Get("X-Server-Stamp"), "."+id)) {
		s.violation("request %s got the answer %q with the stamp %q", id, body, resp.Header.Get("X-Server-Stamp"))
	}
	return resp.StatusCode, nil
}
