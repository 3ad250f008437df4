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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/registry"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/units"
)

// Guards against a table version that decreases, a host that reports ready without
// tables, and tables that are lost during an outage of the store.
func TestTablesInForce(t *testing.T) {
	source := newSource()
	server := newTestServer(t, "s1", answerOK)
	putServer(source, server, "a-1")
	h := startHost(t, source, "h1", "a-1")
	status, _, _ := sendRequest(t, h, "GET", "/safe/")
	require.Equal(t, http.StatusServiceUnavailable, status, "a host without tables answers with a status that promises that the request was not run")
	require.False(t, h.ready())
	putTable(source, 5)
	ready(t, h, 1)
	source.setDown(true)
	status, _, _ = sendRequest(t, h, "GET", "/safe/")
	require.Equal(t, http.StatusOK, status)
	source.setDown(false)
	putTable(source, 4)
	putTable(source, 6)
	require.Eventually(t, func() bool { return h.Dump().TableVersion == 6 }, waitTimeout, 5*time.Millisecond)
	h.applyTable(&fleet.Table{Version: 5})
	require.Equal(t, int64(6), h.Dump().TableVersion)
}

// Guards against look-up answers with hosts that are shutting down or have stopped,
// and against a shutdown that aborts a request in progress.
func TestShutdown(t *testing.T) {
	release := make(chan struct{})
	source := newSource()
	putTable(source, 1)
	putServer(source, newTestServer(t, "s1", func(w http.ResponseWriter, r *http.Request) {
		<-release
		answerOK(w, r)
	}), "a-1")
	h1, h2 := startHost(t, source, "h1", "a-1"), startHost(t, source, "h2", "a-1")
	both := func() bool { return len(h1.lookup("a-1")) == 2 && len(h2.lookup("a-1")) == 2 }
	require.Eventually(t, both, waitTimeout, 5*time.Millisecond)
	require.Eventually(t, func() bool { return h1.Dump().Servers["p"] == 1 && h2.Dump().Servers["p"] == 1 }, waitTimeout, 5*time.Millisecond)

	answers := make(chan int, 1)
	go func() {
		status, _, _ := sendRequest(t, h1, "GET", "/safe/")
		answers <- status
	}()
	require.Eventually(t, func() bool { return h1.held.Load() == 1 }, waitTimeout, time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- h1.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool { return len(h2.lookup("a-1")) == 1 }, waitTimeout, 5*time.Millisecond)
	require.False(t, h1.ready())
	close(release)
	require.Equal(t, http.StatusOK, <-answers)
	require.NoError(t, <-stopped)
	require.Equal(t, []string{h2.self.CallerAddress}, h2.lookup("a-1"))
}

// Guards against several hosts that use the same free slot of a server at once, and
// against requests that fail because the dispatcher has stopped.
func TestDispatcher(t *testing.T) {
	source := newSource()
	putTable(source, 1)
	var running, maxRunning atomic.Int64
	putServer(source, newTestServer(t, "s1", func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		for {
			m := maxRunning.Load()
			if n <= m || maxRunning.CompareAndSwap(m, n) {
				break
			}
		}
		time.Sleep(20 * time.Millisecond)
		answerOK(w, r)
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
	require.Eventually(t, agreed, waitTimeout, 5*time.Millisecond)
	sendBurst := func() (served, rejected int) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, h := range hosts {
			for range 8 {
				wg.Go(func() {
					status, _, _ := sendRequest(t, h, "GET", "/safe/")
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
	served, rejected := sendBurst()
	require.Equal(t, 32, served+rejected)
	require.GreaterOrEqual(t, served, 4)
	// The server has 4 slots and a short queue; 32 requests arrive at once.
	require.LessOrEqual(t, maxRunning.Load(), int64(7))
	require.Eventually(t, func() bool {
		for _, h := range hosts {
			if len(h.Dump().Loads) != 0 {
				return false
			}
		}
		return true
	}, waitTimeout, 5*time.Millisecond)

	dead := hosts[hosts["h0"].view.Load().dispatchers["p"]]
	delete(hosts, dead.self.Name)
	require.NoError(t, dead.Stop())
	served, _ = sendBurst()
	require.Positive(t, served, "before the other hosts notice that the dispatcher stopped")
	for _, h := range hosts {
		require.Eventually(t, func() bool {
			d := h.view.Load().dispatchers["p"]
			return d != "" && d != dead.self.Name
		}, waitTimeout, 5*time.Millisecond)
	}
	served, _ = sendBurst()
	require.Positive(t, served)
}

// Guards against a region in which more than one host watches the store, and
// against one in which no host takes over from a watcher that stopped.
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
			h.feeds.mu.Lock()
			if h.feeds.role.Watch {
				n++
			}
			h.feeds.mu.Unlock()
		}
		return n
	}
	require.Eventually(t, func() bool { return watchers() == 1 }, waitTimeout, 5*time.Millisecond)
	putTable(source, 2)
	for _, h := range hosts {
		require.Eventually(t, func() bool { return h.Dump().TableVersion == 2 }, waitTimeout, 5*time.Millisecond)
	}
	// The watcher stops, and another host takes over.
	for i, h := range hosts {
		h.feeds.mu.Lock()
		watches := h.feeds.role.Watch
		h.feeds.mu.Unlock()
		if watches {
			require.NoError(t, h.Stop())
			hosts = append(hosts[:i], hosts[i+1:]...)
			break
		}
	}
	putTable(source, 3)
	for _, h := range hosts {
		require.Eventually(t, func() bool { return h.Dump().TableVersion == 3 }, waitTimeout, 5*time.Millisecond)
	}
}

// Guards against a server that still gets requests after its removal from the store,
// on a follower that was stalled: the follower mistakes the age of its copy for an
// outage of the store, after which removed servers count as lapsed for a while.
func TestLateHostDropsServersThatLeft(t *testing.T) {
	source := newSource()
	putTable(source, 1)
	for _, id := range []string{"s1", "s2"} {
		putServer(source, newTestServer(t, id, answerOK), "a-1")
	}
	watcher, follower := startHost(t, source, "h1", "a-1"), startHost(t, source, "h2", "a-1")
	require.Eventually(t, func() bool {
		return watcher.feeds.follows("h2") || follower.feeds.follows("h1")
	}, waitTimeout, time.Millisecond)
	if watcher.feeds.follows("h2") {
		watcher, follower = follower, watcher
	}
	withRegistry := func(h *Host, fn func(*registry.Registry)) {
		h.registryMu.Lock()
		defer h.registryMu.Unlock()
		fn(h.registry)
	}
	// The watcher has reached the store for longer than the time that servers have
	// to register again after an outage.
	require.Eventually(t, func() bool {
		var since time.Duration
		withRegistry(watcher, func(r *registry.Registry) { since = r.SinceOutage(time.Now()) })
		return since > 3*time.Second
	}, waitTimeout, 10*time.Millisecond)
	withRegistry(follower, func(r *registry.Registry) { r.Observe(time.Now(), 10*time.Second) })
	source.put(feed.Servers, feed.Item{Name: "s2", Deleted: true})
	known, lapsed := 2, 0
	require.Eventually(t, func() bool {
		withRegistry(follower, func(r *registry.Registry) { known, lapsed = r.Counts() })
		return known == 1 || lapsed == 1
	}, waitTimeout, time.Millisecond)
	require.Zero(t, lapsed)
}

// Guards against a server that still gets requests after its removal from the store,
// on a host that watches the store itself and was stalled: its old copy does not
// mean that there was an outage.
func TestLateHostSeesNoOutage(t *testing.T) {
	h, _, source := startTestHost(t, map[string]http.HandlerFunc{"s1": answerOK, "s2": answerOK})
	source.setDown(true)
	require.Eventually(t, func() bool {
		h.guard.Measure(time.Now(), time.Second)
		return h.feeds.age(time.Now()) > 3*time.Second
	}, waitTimeout, 10*time.Millisecond)
	source.setDown(false)
	source.put(feed.Servers, feed.Item{Name: "s2", Deleted: true})
	known, lapsed := 2, 0
	require.Eventually(t, func() bool {
		// The next call to the store may come more than 4 s after the last one, for which
		// a host remembers that it was late.
		h.guard.Measure(time.Now(), time.Second)
		h.registryMu.Lock()
		defer h.registryMu.Unlock()
		known, lapsed = h.registry.Counts()
		return known == 1 || lapsed == 1
	}, waitTimeout, time.Millisecond)
	require.Zero(t, lapsed)
}

// Guards against a reload that changes settings which need a restart, and against
// one that does not change the others.
func TestReload(t *testing.T) {
	h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": answerOK})
	next := *h.cfg()
	next.Name, next.Bounds.Grace = "other", units.Duration(9*time.Second)
	h.Reload(&next)
	require.Equal(t, "h1", h.cfg().Name)
	require.Equal(t, 9*time.Second, h.cfg().Bounds.Grace.Std())
	status, _, _ := sendRequest(t, h, "GET", "/safe/")
	require.Equal(t, http.StatusOK, status)
}

// Guards against look-up answers with hosts of other failure domains although the
// caller's domain has enough hosts, and against answers without any of them if it
// has too few.
func TestLookups(t *testing.T) {
	host := func(name, domain string) fleet.EntryHost {
		return fleet.EntryHost{Name: name, Domain: domain, CallerAddress: name}
	}
	hosts := []fleet.EntryHost{host("1", "a-1"), host("2", "a-1"), host("3", "a-2")}
	require.ElementsMatch(t, []string{"1", "2"}, chooseHosts(hosts, "a-1"))
	require.ElementsMatch(t, []string{"1", "2", "3"}, chooseHosts(hosts, "a-2"), "one host is not enough")
	require.ElementsMatch(t, []string{"1", "2", "3"}, chooseHosts(hosts, "b-1"), "callers of a region without hosts")
	for i := range 100 {
		hosts = append(hosts, host(fmt.Sprint(10+i), "a-1"))
	}
	require.Len(t, chooseHosts(hosts, "a-1"), maxLookupHosts)

	h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": answerOK})
	resp, err := http.Get("http://" + h.cfg().Listen.Lookup + "/lookup?domain=a-1")
	require.NoError(t, err)
	defer resp.Body.Close()
	var got struct {
		Hosts []string `json:"hosts"`
		Life  float64  `json:"life"`
	}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&got))
	require.Equal(t, []string{h.self.CallerAddress}, got.Hosts)
	require.InDelta(t, 2, got.Life, 0.1)
}

// Guards against a shutdown that drops a request which arrives after the listener
// was closed, on a connection that was accepted before.
func TestShutdownAnswersAcceptedConnections(t *testing.T) {
	h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": answerOK})
	conn, err := net.Dial("tcp4", h.self.CallerAddress)
	require.NoError(t, err)
	defer conn.Close()
	require.Eventually(t, func() bool { return busyConns(h) == 1 }, waitTimeout, time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- h.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp4", h.self.CallerAddress)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, waitTimeout, 20*time.Millisecond)
	_, err = io.WriteString(conn, "GET /safe/ HTTP/1.1\r\nHost: a.example\r\nReq-Id: 1\r\n\r\n")
	require.NoError(t, err)
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(answer), "200 OK")
	require.NoError(t, <-stopped)
}

// Guards against a shutdown that keeps idle connections open: a caller could send a
// request on such a connection shortly before the process stops, and the request
// would be aborted.
func TestShutdownClosesIdleConnections(t *testing.T) {
	release := make(chan struct{})
	h, servers, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/slow" {
			<-release
		}
		answerOK(w, r)
	}})
	defer close(release)
	const request = "GET /safe/%s HTTP/1.1\r\nHost: a.example\r\nReq-Id: %s\r\nLeft-Ms: 9000\r\n\r\n"
	dial := func() net.Conn {
		conn, err := net.Dial("tcp4", h.self.CallerAddress)
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
	// This request is in progress when the listener is closed, and runs until the
	// route's timeout.
	require.Eventually(t, func() bool { return h.shutdownPlan.Load() != nil }, waitTimeout, time.Millisecond)
	time.Sleep(time.Until(h.shutdownPlan.Load().WithdrawnAt) - 1500*time.Millisecond)
	_, err = fmt.Fprintf(busy, request, "slow", "2")
	require.NoError(t, err)
	require.NoError(t, idle.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, 1, busyConns(h), "the connection with a request in progress stays open")
	// Requests that are read while connections are being closed, and whose
	// deadline may be after the exit of the process.
	w := httptest.NewRecorder()
	r := httptest.NewRequest("GET", "/short/quick", nil)
	r.Host = "a.example"
	r.Header.Set("Req-Id", "3")
	r.Header.Set("Left-Ms", "9000")
	h.serveRequest(w, r)
	// Accepted, because the route's timeout of 300 ms ends before the process exits.
	require.Equal(t, http.StatusOK, w.Code)
	require.Eventually(t, func() bool { return time.Until(h.shutdownPlan.Load().End) < 2*time.Second }, waitTimeout, 10*time.Millisecond)
	w = httptest.NewRecorder()
	r.URL.Path = "/safe/quick" // of which the route's timeout is 2 s
	r.Header.Set("Req-Id", "4")
	h.serveRequest(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	require.Equal(t, 3, servers["s1"].count())
}

// Guards against a host that is restarted during a long outage of the store and
// waits for the store, although its peers have the tables.
func TestRestartDuringAnOutage(t *testing.T) {
	source := newSource()
	putTable(source, 7)
	putServer(source, newTestServer(t, "s1", answerOK), "a-1")
	h1 := startHost(t, source, "h1", "a-1")
	ready(t, h1, 1)
	source.setDown(true)
	require.Eventually(t, func() bool { return h1.feeds.age(time.Now()) > 2*feed.StaleAfter }, waitTimeout, 20*time.Millisecond)
	// Several names, because the names decide which host ranks first as watcher.
	for _, name := range []string{"h2", "h3", "h4"} {
		h := startHost(t, source, name, "a-1")
		require.Eventually(t, func() bool { return h.ready() && h.Dump().Servers["p"] == 1 }, 3*time.Second, 5*time.Millisecond, name)
		status, _, _ := sendRequest(t, h, "GET", "/safe/")
		require.Equal(t, http.StatusOK, status)
	}
}

// Guards against a deployment that has no tables after a rolling restart during an
// outage of the store: the last host with tables is shutting down and must still
// serve them.
func TestHostThatLeavesPassesItsTablesOn(t *testing.T) {
	source := newSource()
	putTable(source, 7)
	putServer(source, newTestServer(t, "s1", answerOK), "a-1")
	h1, h2 := startHost(t, source, "h1", "a-1"), startHost(t, source, "h2", "a-1")
	startHost(t, source, "h3", "b-1")
	ready(t, h1, 1)
	require.Eventually(t, func() bool {
		_, known := h1.peers.get("h3")
		return known && len(h1.peers.live(time.Now())) == 1
	}, waitTimeout, 5*time.Millisecond)
	require.NoError(t, h2.Stop())
	source.hostsUnavailable = true
	source.setDown(true)
	require.Eventually(t, func() bool { return h1.feeds.age(time.Now()) > 2*feed.StaleAfter }, waitTimeout, 20*time.Millisecond)
	shutdownResult := make(chan error, 1)
	go func() { shutdownResult <- h1.Shutdown(t.Context()) }()
	restarted := New(h2.cfg(), testNames, source, &log.Logger{Level: log.WarnLevel, Writer: log.IOWriter{Writer: io.Discard}})
	require.NoError(t, restarted.Start())
	t.Cleanup(func() { _ = restarted.Stop() })
	require.NoError(t, <-shutdownResult)
	require.True(t, restarted.ready())
	require.Equal(t, 1, restarted.Dump().Servers["p"])
	_, known := restarted.peers.get("h3")
	require.True(t, known, "the host of another region is learned from the peer, not from the store")
}

// Guards against a region that waits for the store after all of its hosts were
// restarted during an outage, although another region has the tables.
func TestRegionRestartDuringAnOutage(t *testing.T) {
	source := newSource()
	source.hostsUnavailable = true
	putTable(source, 7)
	putServer(source, newTestServer(t, "s1", answerOK), "a-1")
	h1 := startHost(t, source, "h1", "a-1")
	ready(t, h1, 1)
	h2 := startHost(t, source, "h2", "b-1")
	ready(t, h2, 1)
	require.Eventually(t, func() bool { return len(h1.peers.reportTargets("p", 1, nil)) == 1 }, waitTimeout, 5*time.Millisecond)
	require.NoError(t, h2.Stop())
	source.setDown(true)
	require.Eventually(t, func() bool { return h1.feeds.age(time.Now()) > 2*feed.StaleAfter }, waitTimeout, 20*time.Millisecond)
	restarted := New(h2.cfg(), testNames, source, &log.Logger{Level: log.WarnLevel, Writer: log.IOWriter{Writer: io.Discard}})
	require.NoError(t, restarted.Start())
	t.Cleanup(func() { _ = restarted.Stop() })
	require.Eventually(t, func() bool { return restarted.ready() && restarted.Dump().Servers["p"] == 1 }, 3*time.Second, 5*time.Millisecond)
	require.Empty(t, restarted.peers.live(time.Now()), "live lists no hosts of other regions")
	require.Empty(t, h1.peers.live(time.Now()), "live lists no hosts of other regions")
}
