package steer

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/placing"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/freeport"
	"github.com/tamarackswitch/tamarackswitch/pkg/units"
)

// patience is a safety net for slow machines; no verdict depends on its length.
const patience = 20 * time.Second

// memorySource is a Source without a wire.
type memorySource struct {
	mu       sync.Mutex
	revision int64
	logs     [feed.Kinds]*feed.Log
	hosts    map[string]fleet.EntryHost
	changed  chan struct{}
	down     bool
	// hidden leaves the published hosts unread while the source is down.
	hidden bool
	calls  atomic.Int64
}

func newSource() *memorySource {
	s := &memorySource{revision: 1, hosts: map[string]fleet.EntryHost{}, changed: make(chan struct{})}
	for k := range s.logs {
		s.logs[k] = feed.NewLog()
		s.logs[k].Apply(feed.Changes{Revision: 1, Whole: true})
	}
	return s
}

func (s *memorySource) put(kind feed.Kind, item feed.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision = s.revision
	s.logs[kind].Apply(feed.Changes{Revision: s.revision, Items: []feed.Item{item}})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memorySource) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *memorySource) read(kind feed.Kind, after int64) (feed.Changes, chan struct{}, error) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return feed.Changes{}, nil, io.ErrUnexpectedEOF
	}
	c := s.logs[kind].Since(after)
	c.Revision = s.revision
	return c, s.changed, nil
}

func (s *memorySource) List(_ context.Context, kind feed.Kind) (feed.Changes, error) {
	c, _, err := s.read(kind, 0)
	return c, err
}

func (s *memorySource) Watch(ctx context.Context, kind feed.Kind, after int64, wait time.Duration) (feed.Changes, error) {
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

func (s *memorySource) Register(_ context.Context, h fleet.EntryHost) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[h.Name] = h
	return nil
}

func (s *memorySource) Hosts(context.Context) ([]fleet.EntryHost, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && s.hidden {
		return nil, io.ErrUnexpectedEOF
	}
	var out []fleet.EntryHost
	for _, h := range s.hosts {
		out = append(out, h)
	}
	return out, nil
}

var testNames = Names{
	LookupPath: "/lookup", ReadyPath: "/ready",
	LookupDomain: func(r *http.Request) string { return r.URL.Query().Get("domain") },
	LookupAnswer: func(addresses []string, life time.Duration) any {
		return map[string]any{"hosts": addresses, "life": life.Seconds()}
	},
	Headers:     forward.Headers{RequestID: "Req-Id", Deadline: "Left-Ms", NotRun: "Not-Run", ExpectServer: "Expect-Server"},
	ServerLoad:  "Load",
	AffinityKey: func(r *http.Request) string { return r.Header.Get("Key") },
}

// testServer is a backend server whose answers a test chooses.
type testServer struct {
	id     string
	url    string
	mu     sync.Mutex
	ids    []string // requests that ran
	answer http.HandlerFunc
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
	s.url = strings.TrimPrefix(srv.URL, "http://")
	return s
}

func (s *testServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ids)
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }

func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func unmarked(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

func broken(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

func failing(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

func hanging(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// freeAddress returns a loopback address that no other test gets.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	require.NoError(t, err)
	return address
}

func startHost(t *testing.T, source Source, name, domain string) *Host {
	t.Helper()
	cfg := &Settings{
		Name: name, Domain: domain, Regions: map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"},
		Listen: Listen{
			Caller: freeAddress(t), Ready: freeAddress(t), Lookup: freeAddress(t), Control: freeAddress(t), Peer: freeAddress(t), Metrics: freeAddress(t),
		},
		// Other tests on the machine must not make a host reject requests.
		Limits: Limits{CPUShare: 1, Cores: 1, Lateness: units.Duration(patience)},
		Bounds: Bounds{
			Grace: units.Duration(6 * time.Second), LookupLife: units.Duration(5 * time.Second), RetryRatio: 0.2, RetryExtra: 100,
			RetryWindow: units.Duration(10 * time.Second),
		},
		Log: Log{Level: "warn", Rate: 100},
	}
	h := New(cfg, testNames, source, &log.Logger{Level: log.WarnLevel, Writer: log.IOWriter{Writer: io.Discard}})
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
	s.put(feed.Tables, feed.Item{Name: "main", Table: &fleet.Table{
		Version: version, Routes: []fleet.Route{route, once, short}, Pools: []fleet.Pool{{Name: "p", ColdRate: 5}},
	}})
}

func putServer(s *memorySource, server *testServer, domain string) {
	s.put(feed.Servers, feed.Item{Name: server.id, Server: &fleet.Server{
		ID: server.id, Pool: "p", Address: server.url, Domain: domain, Slots: 4, Born: 1,
	}})
}

// lab is one host with its servers.
func lab(t *testing.T, answers map[string]http.HandlerFunc) (*Host, map[string]*testServer, *memorySource) {
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

func ready(t *testing.T, h *Host, servers int) {
	t.Helper()
	require.Eventually(t, func() bool { return h.ready() && h.Dump().Servers["p"] == servers && h.dispatches("p") }, patience, 5*time.Millisecond)
}

func get(t *testing.T, h *Host, method, path string, header ...string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+h.self.Caller+path, nil)
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

// Guards against an answer that loses the server's body or stamp.
func TestAnswerIsPassedOn(t *testing.T) {
	h, servers, _ := lab(t, map[string]http.HandlerFunc{"s1": ok})
	status, header, body := get(t, h, "GET", "/safe/x")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "stamp-s1", header.Get("Stamp"))
	require.Equal(t, "answer", body)
	require.Equal(t, 1, servers["s1"].count())
}

// Guards against refusals that are wrong or promise what is not true.
func TestRefusals(t *testing.T) {
	for name, tc := range map[string]struct {
		method, path string
		answer       http.HandlerFunc
		header       []string
		status       int
		code         int
		run          string
		returns      bool
	}{
		"no route":              {"GET", "/other", ok, nil, 404, 1001, "not-run", false},
		"bad deadline":          {"GET", "/safe/", ok, []string{"Left-Ms", "soon"}, 400, 1004, "not-run", false},
		"all shed":              {"GET", "/safe/", shed, nil, 503, 3005, "not-run", true},
		"once, shed":            {"POST", "/once/", shed, nil, 503, 3005, "not-run", true},
		"once, connection lost": {"POST", "/once/", broken, nil, 502, 3002, "unknown", false},
		"once, no answer":       {"POST", "/once/", hanging, []string{"Left-Ms", "200"}, 504, 3004, "unknown", false},
		"once, 503 after a run": {"POST", "/once/", unmarked, nil, 502, 3007, "run", false},
		"timeout of the route":  {"GET", "/short/", hanging, nil, 504, 3004, "unknown", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, _, _ := lab(t, map[string]http.HandlerFunc{"s1": tc.answer})
			status, header, body := get(t, h, tc.method, tc.path, tc.header...)
			require.Equal(t, tc.status, status, body)
			var got struct {
				Code int    `json:"code"`
				Run  string `json:"run"`
			}
			require.NoError(t, json.Unmarshal([]byte(body), &got))
			require.Equal(t, tc.code, got.Code, body)
			require.Equal(t, tc.run, got.Run)
			require.Equal(t, tc.returns, header.Get("Retry-After") != "")
		})
	}
}

// Guards against a server's own answer that looks like a promise that a request
// was not run, although it ran.
func TestFailureOfTheServerIsPassedOn(t *testing.T) {
	h, _, _ := lab(t, map[string]http.HandlerFunc{"s1": failing})
	status, header, _ := get(t, h, "POST", "/once/x")
	require.Equal(t, http.StatusInternalServerError, status)
	require.Equal(t, "stamp-s1", header.Get("Stamp"))
}

// Guards against running a request twice that may run once, and against giving
// up on one that may be repeated.
func TestRepeats(t *testing.T) {
	for name, tc := range map[string]struct {
		path   string
		bad    http.HandlerFunc
		served bool
	}{
		"safe, shed":             {"/safe/", shed, true},
		"safe, failure":          {"/safe/", failing, true},
		"safe, connection lost":  {"/safe/", broken, true},
		"once, shed":             {"/once/", shed, true},
		"once, failure":          {"/once/", failing, false},
		"once, connection lost":  {"/once/", broken, false},
		"safe, wrong server":     {"/safe/", nil, true},
		"once, wrong server":     {"/once/", nil, true},
		"safe, server not there": {"/safe/", nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := tc.bad
			if bad == nil {
				bad = ok
			}
			h, servers, source := lab(t, map[string]http.HandlerFunc{"s1": ok, "s2": bad})
			switch {
			case strings.HasSuffix(name, "wrong server"):
				source.put(feed.Servers, feed.Item{Name: "s2", Server: &fleet.Server{
					ID: "other", Pool: "p", Address: servers["s2"].url, Domain: "a-1", Slots: 4, Born: 2,
				}})
			case strings.HasSuffix(name, "not there"):
				source.put(feed.Servers, feed.Item{Name: "s2", Server: &fleet.Server{
					ID: "s2", Pool: "p", Address: freeAddress(t), Domain: "a-1", Slots: 4, Born: 2,
				}})
			}
			served := 0
			for i := range 40 {
				status, _, _ := get(t, h, "POST", tc.path, "Key", fmt.Sprint(i))
				if status == http.StatusOK {
					served++
				}
			}
			if tc.served {
				require.Equal(t, 40, served)
			} else {
				require.Less(t, served, 40)
			}
			ids := map[string]int{}
			for _, s := range servers {
				for _, id := range s.ids {
					ids[id]++
				}
			}
			if !tc.served {
				for id, n := range ids {
					require.Equal(t, 1, n, id)
				}
			}
		})
	}
}

// Guards against work that goes on for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	h, _, _ := lab(t, map[string]http.HandlerFunc{"s1": func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	}})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+h.self.Caller+"/safe/", nil)
	require.NoError(t, err)
	req.Host = "a.example"
	_, err = http.DefaultTransport.RoundTrip(req)
	require.Error(t, err)
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the server goes on working")
	}
	require.Eventually(t, func() bool { return len(h.Dump().Loads) == 0 }, patience, 5*time.Millisecond)
}

// Guards against a version that goes back, a host that is ready without tables,
// and a table that is lost in an outage.
func TestTablesInForce(t *testing.T) {
	source := newSource()
	server := newTestServer(t, "s1", ok)
	putServer(source, server, "a-1")
	h := startHost(t, source, "h1", "a-1")
	status, _, _ := get(t, h, "GET", "/safe/")
	require.Equal(t, http.StatusServiceUnavailable, status, "a host without tables promises that nothing ran")
	require.False(t, h.ready())
	putTable(source, 5)
	ready(t, h, 1)
	source.setDown(true)
	status, _, _ = get(t, h, "GET", "/safe/")
	require.Equal(t, http.StatusOK, status)
	source.setDown(false)
	putTable(source, 4)
	putTable(source, 6)
	require.Eventually(t, func() bool { return h.Dump().TableVersion == 6 }, patience, 5*time.Millisecond)
	h.applyTable(&fleet.Table{Version: 5})
	require.Equal(t, int64(6), h.Dump().TableVersion)
}

// Guards against look-ups that name hosts which leave or are gone, and against a
// shutdown that cuts a request.
func TestShutdown(t *testing.T) {
	release := make(chan struct{})
	source := newSource()
	putTable(source, 1)
	putServer(source, newTestServer(t, "s1", func(w http.ResponseWriter, r *http.Request) {
		<-release
		ok(w, r)
	}), "a-1")
	h1, h2 := startHost(t, source, "h1", "a-1"), startHost(t, source, "h2", "a-1")
	both := func() bool { return len(h1.lookup("a-1")) == 2 && len(h2.lookup("a-1")) == 2 }
	require.Eventually(t, both, patience, 5*time.Millisecond)
	require.Eventually(t, func() bool { return h1.Dump().Servers["p"] == 1 && h2.Dump().Servers["p"] == 1 }, patience, 5*time.Millisecond)

	answers := make(chan int, 1)
	go func() {
		status, _, _ := get(t, h1, "GET", "/safe/")
		answers <- status
	}()
	require.Eventually(t, func() bool { return h1.held.Load() == 1 }, patience, time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- h1.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool { return len(h2.lookup("a-1")) == 1 }, patience, 5*time.Millisecond)
	require.False(t, h1.ready())
	close(release)
	require.Equal(t, http.StatusOK, <-answers)
	require.NoError(t, <-stopped)
	require.Equal(t, []string{h2.self.Caller}, h2.lookup("a-1"))
}

// Guards against hosts that each take the same free slot, and against requests
// that fail because the dispatcher has died.
func TestDispatcher(t *testing.T) {
	source := newSource()
	putTable(source, 1)
	var running, most atomic.Int64
	putServer(source, newTestServer(t, "s1", func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		for {
			m := most.Load()
			if n <= m || most.CompareAndSwap(m, n) {
				break
			}
		}
		time.Sleep(20 * time.Millisecond)
		ok(w, r)
	}), "a-1")
	hosts := map[string]*Host{}
	for i := range 4 {
		name := fmt.Sprintf("h%d", i)
		hosts[name] = startHost(t, source, name, "a-1")
	}
	agreed := func() bool {
		for _, h := range hosts {
			if h.Dump().Servers["p"] != 1 || len(h.view.Load().hosts) != len(hosts)-1 || h.view.Load().dispatchers["p"] != hosts["h0"].view.Load().dispatchers["p"] {
				return false
			}
		}
		return true
	}
	require.Eventually(t, agreed, patience, 5*time.Millisecond)
	play := func() (served, rejected int) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, h := range hosts {
			for range 8 {
				wg.Go(func() {
					status, _, _ := get(t, h, "GET", "/safe/")
					mu.Lock()
					defer mu.Unlock()
					if status == http.StatusOK {
						served++
					} else {
						rejected++
					}
				})
			}
		}
		wg.Wait()
		return served, rejected
	}
	served, rejected := play()
	require.Equal(t, 32, served+rejected)
	require.GreaterOrEqual(t, served, 4)
	// The server has 4 slots and a short queue; 32 requests come at once.
	require.LessOrEqual(t, most.Load(), int64(7))
	require.Eventually(t, func() bool {
		for _, h := range hosts {
			if len(h.Dump().Loads) != 0 {
				return false
			}
		}
		return true
	}, patience, 5*time.Millisecond)

	dead := hosts[hosts["h0"].view.Load().dispatchers["p"]]
	delete(hosts, dead.self.Name)
	require.NoError(t, dead.Stop())
	served, _ = play()
	require.Positive(t, served, "before its death is noticed")
	for _, h := range hosts {
		require.Eventually(t, func() bool {
			d := h.view.Load().dispatchers["p"]
			return d != "" && d != dead.self.Name
		}, patience, 5*time.Millisecond)
	}
	served, _ = play()
	require.Positive(t, served)
}

// Guards against a region whose hosts all ask the store.
func TestOneHostAsksTheStore(t *testing.T) {
	source := newSource()
	putTable(source, 1)
	var hosts []*Host
	for i := range 4 {
		hosts = append(hosts, startHost(t, source, fmt.Sprintf("h%d", i), "a-1"))
	}
	watchers := func() int {
		n := 0
		for _, h := range hosts {
			h.follow.mu.Lock()
			if h.follow.role.Watch {
				n++
			}
			h.follow.mu.Unlock()
		}
		return n
	}
	require.Eventually(t, func() bool { return watchers() == 1 }, patience, 5*time.Millisecond)
	putTable(source, 2)
	for _, h := range hosts {
		require.Eventually(t, func() bool { return h.Dump().TableVersion == 2 }, patience, 5*time.Millisecond)
	}
	// The watcher dies: another host takes over.
	for i, h := range hosts {
		h.follow.mu.Lock()
		watches := h.follow.role.Watch
		h.follow.mu.Unlock()
		if watches {
			require.NoError(t, h.Stop())
			hosts = append(hosts[:i], hosts[i+1:]...)
			break
		}
	}
	putTable(source, 3)
	for _, h := range hosts {
		require.Eventually(t, func() bool { return h.Dump().TableVersion == 3 }, patience, 5*time.Millisecond)
	}
}

// Guards against new settings that change what a running process cannot change.
func TestReload(t *testing.T) {
	h, _, _ := lab(t, map[string]http.HandlerFunc{"s1": ok})
	next := *h.cfg()
	next.Name, next.Bounds.Grace = "other", units.Duration(9*time.Second)
	h.Reload(&next)
	require.Equal(t, "h1", h.cfg().Name)
	require.Equal(t, 9*time.Second, h.cfg().Bounds.Grace.Std())
	status, _, _ := get(t, h, "GET", "/safe/")
	require.Equal(t, http.StatusOK, status)
}

// Guards against statuses that promise that a request was not run, although
// nobody knows.
func TestMalformedLoadIsIgnored(t *testing.T) {
	for _, text := range []string{"", "1", "a,b,c", "1,x,3"} {
		_, _, ok := parseLoad(text)
		require.False(t, ok, text)
	}
	running, waiting, ok := parseLoad("3, 2,8")
	require.True(t, ok)
	require.Equal(t, []int{3, 2}, []int{running, waiting})
	require.Equal(t, placing.Answered, placing.Outcome(0))
}

// Guards against look-ups that name hosts of another failure domain although the
// caller's has enough, and against none at all if it has not.
func TestLookups(t *testing.T) {
	host := func(name, domain string) fleet.EntryHost {
		return fleet.EntryHost{Name: name, Domain: domain, Caller: name}
	}
	hosts := []fleet.EntryHost{host("1", "a-1"), host("2", "a-1"), host("3", "a-2")}
	require.ElementsMatch(t, []string{"1", "2"}, chooseHosts(hosts, "a-1"))
	require.ElementsMatch(t, []string{"1", "2", "3"}, chooseHosts(hosts, "a-2"), "one host is not enough")
	require.ElementsMatch(t, []string{"1", "2", "3"}, chooseHosts(hosts, "b-1"), "callers of a region that has no host")
	for i := range 100 {
		hosts = append(hosts, host(fmt.Sprint(10+i), "a-1"))
	}
	require.Len(t, chooseHosts(hosts, "a-1"), lookupMost)

	h, _, _ := lab(t, map[string]http.HandlerFunc{"s1": ok})
	resp, err := http.Get("http://" + h.cfg().Listen.Lookup + "/lookup?domain=a-1")
	require.NoError(t, err)
	defer resp.Body.Close()
	var got struct {
		Hosts []string `json:"hosts"`
		Life  float64  `json:"life"`
	}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&got))
	require.Equal(t, []string{h.self.Caller}, got.Hosts)
	require.InDelta(t, 2, got.Life, 0.1)
}

// Guards against a shutdown that drops a request whose connection was accepted
// before the listener closed, and which arrives after that.
func TestShutdownAnswersAcceptedConnections(t *testing.T) {
	h, _, _ := lab(t, map[string]http.HandlerFunc{"s1": ok})
	conn, err := net.Dial("tcp4", h.self.Caller)
	require.NoError(t, err)
	defer conn.Close()
	require.Eventually(t, func() bool { return h.conns.busy() == 1 }, patience, time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- h.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp4", h.self.Caller)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, patience, 20*time.Millisecond)
	_, err = io.WriteString(conn, "GET /safe/ HTTP/1.1\r\nHost: a.example\r\nReq-Id: 1\r\n\r\n")
	require.NoError(t, err)
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(answer), "200 OK")
	require.NoError(t, <-stopped)
}

// Guards against a kept connection whose caller sends a request that the process
// cannot answer before it stops: the request would be cut.
func TestShutdownClosesIdleConnections(t *testing.T) {
	release := make(chan struct{})
	h, servers, _ := lab(t, map[string]http.HandlerFunc{"s1": func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/slow" {
			<-release
		}
		ok(w, r)
	}})
	defer close(release)
	const request = "GET /safe/%s HTTP/1.1\r\nHost: a.example\r\nReq-Id: %s\r\nLeft-Ms: 9000\r\n\r\n"
	dial := func() net.Conn {
		conn, err := net.Dial("tcp4", h.self.Caller)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	idle, busy := dial(), dial()
	_, err := fmt.Fprintf(idle, request, "quick", "1")
	require.NoError(t, err)
	first, err := http.ReadResponse(bufio.NewReader(idle), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, first.Body)
	require.NoError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- h.Shutdown(context.Background()) }()
	// In progress when the listener is closed, and until the route's timeout.
	time.Sleep(withdrawTime - 1500*time.Millisecond)
	_, err = fmt.Fprintf(busy, request, "slow", "2")
	require.NoError(t, err)
	require.NoError(t, idle.SetReadDeadline(time.Now().Add(patience)))
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, 1, h.conns.busy(), "the other request is awaited")
	// A request that came with the close and could outlast the process.
	w := httptest.NewRecorder()
	r := httptest.NewRequest("GET", "/safe/quick", nil)
	r.Host = "a.example"
	r.Header.Set("Req-Id", "3")
	r.Header.Set("Left-Ms", "9000")
	h.serveRequest(w, r)
	// The route's timeout of 2 s ends before the process does.
	require.Equal(t, http.StatusOK, w.Code)
	require.Eventually(t, func() bool { return time.Until(*h.ends.Load()) < 2*time.Second }, patience, 10*time.Millisecond)
	w = httptest.NewRecorder()
	r.Header.Set("Req-Id", "4")
	h.serveRequest(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	require.Equal(t, 3, servers["s1"].count())
}

// Guards against a host that is restarted while the store is away for long and
// waits for the store, although its peers have the tables.
func TestRestartDuringAnOutage(t *testing.T) {
	source := newSource()
	putTable(source, 7)
	putServer(source, newTestServer(t, "s1", ok), "a-1")
	h1 := startHost(t, source, "h1", "a-1")
	ready(t, h1, 1)
	source.setDown(true)
	require.Eventually(t, func() bool { return h1.follow.age(time.Now()) > 2*feed.StaleAfter }, patience, 20*time.Millisecond)
	// Whichever of them comes first in the order.
	for _, name := range []string{"h2", "h3", "h4"} {
		h := startHost(t, source, name, "a-1")
		require.Eventually(t, func() bool { return h.ready() && h.Dump().Servers["p"] == 1 }, 3*time.Second, 5*time.Millisecond, name)
		status, _, _ := get(t, h, "GET", "/safe/")
		require.Equal(t, http.StatusOK, status)
	}
}

// Guards against a region that waits for the store after all of its hosts were
// restarted, although another region has the tables.
func TestRegionRestartDuringAnOutage(t *testing.T) {
	source := newSource()
	source.hidden = true
	putTable(source, 7)
	putServer(source, newTestServer(t, "s1", ok), "a-1")
	h1 := startHost(t, source, "h1", "a-1")
	ready(t, h1, 1)
	h2 := startHost(t, source, "h2", "b-1")
	ready(t, h2, 1)
	require.Eventually(t, func() bool { return len(h1.peers.elsewhere("p", 1, nil)) == 1 }, patience, 5*time.Millisecond)
	require.NoError(t, h2.Stop())
	source.setDown(true)
	require.Eventually(t, func() bool { return h1.follow.age(time.Now()) > 2*feed.StaleAfter }, patience, 20*time.Millisecond)
	again := New(h2.cfg(), testNames, source, &log.Logger{Level: log.WarnLevel, Writer: log.IOWriter{Writer: io.Discard}})
	require.NoError(t, again.Start())
	t.Cleanup(func() { _ = again.Stop() })
	require.Eventually(t, func() bool { return again.ready() && again.Dump().Servers["p"] == 1 }, 3*time.Second, 5*time.Millisecond)
	require.Empty(t, again.peers.live(time.Now()), "hosts of another region are no peers")
	require.Empty(t, h1.peers.live(time.Now()), "hosts of another region are no peers")
}

// Guards against tables with many routes that do not reach the hosts of a group
// or whose routes are not found.
func TestManyRoutes(t *testing.T) {
	const routes = 3000
	source := newSource()
	putTable(source, 1)
	putServer(source, newTestServer(t, "s1", ok), "a-1")
	h1, h2 := startHost(t, source, "h1", "a-1"), startHost(t, source, "h2", "a-1")
	ready(t, h1, 1)
	table := fleet.Table{Version: 2, Pools: []fleet.Pool{{Name: "p"}}}
	for i := range routes {
		table.Routes = append(table.Routes, fleet.Route{
			Name: fmt.Sprintf("r-%d", i), Host: "a.example", Prefix: fmt.Sprintf("/r%d/", i), Targets: []fleet.Target{{Pool: "p", Weight: 1}},
			Timeout: time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 1,
		})
	}
	source.put(feed.Tables, feed.Item{Name: "main", Table: &table})
	for _, h := range []*Host{h1, h2} {
		require.Eventually(t, func() bool { return h.Dump().TableVersion == 2 && h.Dump().Servers["p"] == 1 }, patience, 5*time.Millisecond)
		for _, i := range []int{0, 1, routes - 1} {
			status, _, _ := get(t, h, "GET", fmt.Sprintf("/r%d/x", i))
			require.Equal(t, http.StatusOK, status)
		}
		status, _, _ := get(t, h, "GET", fmt.Sprintf("/r%d/x", routes))
		require.Equal(t, http.StatusNotFound, status)
	}
}
