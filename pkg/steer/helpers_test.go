package steer

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/freeport"
	"github.com/tamarackswitch/tamarackswitch/pkg/units"
)

// waitTimeout is the time-out of waits in tests. It is long for the sake of slow
// machines; no test result depends on its length.
const waitTimeout = 20 * time.Second

// memorySource is an in-memory Source.
type memorySource struct {
	mu       sync.Mutex
	eras     *feed.Eras
	era      int64
	revision int64
	replicas [feed.NumKinds]*feed.Replica
	hosts    map[string]fleet.EntryHost
	changed  chan struct{} // closed and replaced at each change
	down     bool          // List and Watch fail
	// hostsUnavailable makes Hosts fail as well while the source is down.
	hostsUnavailable bool
	calls            atomic.Int64
}

func newSource() *memorySource {
	s := &memorySource{eras: feed.NewEras(), revision: 1, hosts: map[string]fleet.EntryHost{}, changed: make(chan struct{})}
	for k := range s.replicas {
		s.replicas[k] = feed.NewReplica()
		s.replicas[k].Apply(feed.Changes{Revision: 1, Complete: true})
	}
	return s
}

func (s *memorySource) put(kind feed.Kind, item feed.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision = s.revision
	s.replicas[kind].Apply(feed.Changes{Era: s.era, Revision: s.revision, Items: []feed.Item{item}})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memorySource) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *memorySource) Era() (int64, <-chan struct{}) { return s.eras.Latest() }

func (s *memorySource) LastEra() int64 { return s.eras.Last() }

func (s *memorySource) read(kind feed.Kind, after feed.Position) (feed.Changes, chan struct{}, error) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return feed.Changes{}, nil, io.ErrUnexpectedEOF
	}
	c := s.replicas[kind].Since(after)
	c.Revision = s.revision
	if after.Known() && after.Era != c.Era {
		return feed.Changes{}, nil, ErrEraChanged
	}
	return c, s.changed, nil
}

// takeCopy returns a function with which the store comes back from a copy of its present
// state.
func (s *memorySource) takeCopy() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.revision
	var items [feed.NumKinds][]feed.Item
	for kind, replica := range s.replicas {
		items[kind] = slices.Collect(maps.Values(replica.Items()))
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revision = revision
		s.era++
		for kind := range s.replicas {
			s.replicas[kind] = feed.NewReplica()
			s.replicas[kind].Apply(feed.Changes{Era: s.era, Revision: revision, Complete: true, Items: items[kind]})
		}
		s.hosts = map[string]fleet.EntryHost{}
		_, _ = s.eras.Observe(strconv.FormatInt(s.era, 10)) // it increases
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *memorySource) List(_ context.Context, kind feed.Kind) (feed.Changes, error) {
	c, _, err := s.read(kind, feed.Position{})
	return c, err
}

func (s *memorySource) Watch(ctx context.Context, kind feed.Kind, after feed.Position, wait time.Duration) (feed.Changes, error) {
	deadline := time.After(wait)
	for {
		c, changed, err := s.read(kind, after)
		if err != nil || len(c.Items) > 0 {
			return c, err
		}
		select {
		case <-changed:
		case <-deadline:
			return c, nil
		case <-ctx.Done():
			return c, ctx.Err()
		}
	}
}

func (s *memorySource) Register(_ context.Context, h fleet.EntryHost) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[h.Name] = h
	era, _ := s.eras.Latest()
	return era, nil
}

func (s *memorySource) Hosts(context.Context) ([]fleet.EntryHost, []feed.Unreadable, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && s.hostsUnavailable {
		return nil, nil, io.ErrUnexpectedEOF
	}
	var out []fleet.EntryHost
	for _, h := range s.hosts {
		out = append(out, h)
	}
	return out, nil, nil
}

var testNames = Names{
	LookupPath: "/lookup", ReadyPath: "/ready",
	LookupDomain: func(r *http.Request) string { return r.URL.Query().Get("domain") },
	LookupAnswer: func(addresses []string, life time.Duration) any {
		return map[string]any{"hosts": addresses, "life": life.Seconds()}
	},
	Headers:     forward.Headers{RequestID: "Req-Id", Deadline: "Left-Ms", NotRun: "Not-Run", ExpectServer: "Expect-Server", Leaving: "Leaving", LeavingValue: "1"},
	ServerLoad:  "Load",
	AffinityKey: func(r *http.Request) string { return r.Header.Get("Key") },
}

// testServer is a backend server with a handler that the test chooses.
type testServer struct {
	id      string
	address string // host:port
	mu      sync.Mutex
	ids     []string // Req-Id of each request that ran
	answer  http.HandlerFunc
}

func newTestServer(t *testing.T, id string, answer http.HandlerFunc) *testServer {
	t.Helper()
	s := &testServer{id: id, answer: answer}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Expect-Server") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		s.mu.Lock()
		s.ids = append(s.ids, r.Header.Get("Req-Id"))
		s.mu.Unlock()
		w.Header().Set("Req-Id", r.Header.Get("Req-Id"))
		w.Header().Set("Stamp", "stamp-"+id)
		w.Header().Set("Load", "1,0,4")
		s.answer(w, r)
	}))
	t.Cleanup(srv.Close)
	s.address = strings.TrimPrefix(srv.URL, "http://")
	return s
}

// count returns the number of requests that ran.
func (s *testServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ids)
}

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }

func answerShed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func answerUnmarked503(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

func abortConnection(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

func answer500(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

func hangUntilCancelled(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// freeAddress returns a loopback address whose port no other test uses.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	require.NoError(t, err)
	return address
}

func startHost(t *testing.T, source Source, name, domain string) *Host {
	t.Helper()
	return startHostWith(t, source, name, domain, io.Discard, func(*Settings) {})
}

// startHostWith is startHost with a writer for the log and changes to the settings.
func startHostWith(t *testing.T, source Source, name, domain string, out io.Writer, change func(*Settings)) *Host {
	t.Helper()
	cfg := &Settings{
		Name: name, Domain: domain, Regions: map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"},
		Listen: Listen{
			Caller: freeAddress(t), Ready: freeAddress(t), Lookup: freeAddress(t), Control: freeAddress(t), Peer: freeAddress(t), Metrics: freeAddress(t),
		},
		// The limit on lateness is high, so that a host does not reject requests because
		// of the load of other tests on the machine.
		Limits: Limits{CPUShare: 1, Cores: 1, Lateness: units.Duration(waitTimeout)},
		Bounds: Bounds{
			Grace: units.Duration(6 * time.Second), LookupLife: units.Duration(5 * time.Second), RetryRatio: 0.2, RetryExtra: 100,
			RetryWindow: units.Duration(10 * time.Second),
		},
		Log: Log{Level: "warn", LinesPerSecond: 100},
	}
	change(cfg)
	h := New(cfg, testNames, source, &log.Logger{Level: log.ParseLevel(cfg.Log.Level), Writer: log.IOWriter{Writer: out}})
	require.NoError(t, h.Start())
	t.Cleanup(func() { _ = h.Stop() })
	return h
}

func putTable(s *memorySource, version int64) {
	route := fleet.Route{
		Name: "safe", Host: "a.example", Prefix: "/safe/", Targets: []fleet.Target{{Pool: "p", Weight: 1}}, Idempotent: true,
		Timeout: 2 * time.Second, TargetLatency: 200 * time.Millisecond, MaxAttempts: 2, Sticky: true,
	}
	once := route
	once.Name, once.Prefix, once.Idempotent = "once", "/once/", false
	short := route
	short.Name, short.Prefix, short.Timeout = "short", "/short/", 300*time.Millisecond
	long, longOnce := route, once
	long.Name, long.Prefix, long.Timeout = "long", "/long/", 10*time.Second
	longOnce.Name, longOnce.Prefix, longOnce.Timeout = "long-once", "/long-once/", 10*time.Second
	s.put(feed.Tables, feed.Item{Name: "main", Table: &fleet.Table{
		Version: version, Routes: []fleet.Route{route, once, short, long, longOnce}, Pools: []fleet.Pool{{Name: "p", ColdRate: 5}},
	}})
}

func putServer(s *memorySource, server *testServer, domain string) {
	s.put(feed.Servers, feed.Item{Name: server.id, Server: &fleet.Server{
		ID: server.id, Pool: "p", Address: server.address, Domain: domain, Slots: 4, StartedMS: 1,
	}})
}

// startTestHost starts one host with a backend server for each handler, and waits until the
// host dispatches the pool with all of them.
func startTestHost(t *testing.T, answers map[string]http.HandlerFunc) (*Host, map[string]*testServer, *memorySource) {
	t.Helper()
	source := newSource()
	putTable(source, 3)
	servers := map[string]*testServer{}
	for id, answer := range answers {
		servers[id] = newTestServer(t, id, answer)
		putServer(source, servers[id], "a-1")
	}
	h := startHost(t, source, "h1", "a-1")
	ready(t, h, len(answers))
	return h, servers, source
}

// ready waits until the host accepts callers and dispatches pool p with that many
// servers.
func ready(t *testing.T, h *Host, servers int) {
	t.Helper()
	require.Eventually(t, func() bool { return h.ready() && h.Dump().Servers["p"] == servers && h.dispatches("p") }, waitTimeout, 5*time.Millisecond)
}

// sendRequest sends a request without a body to the host's caller address. header holds
// names and values in turn. If no answer arrives, the status is 0 and the last result
// is the error.
func sendRequest(t *testing.T, h *Host, method, path string, header ...string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+h.self.CallerAddress+path, nil)
	require.NoError(t, err)
	req.Host = "a.example"
	req.Header.Set("Req-Id", fmt.Sprint(time.Now().UnixNano()))
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, resp.Header, string(body)
}

// busyConns returns the number of callers' connections that are not idle: those that have
// sent nothing yet, and those with a request in progress.
func busyConns(h *Host) int {
	n := h.callers.Count()
	return n.Open - n.Idle - n.Closing
}
