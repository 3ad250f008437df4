package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

const (
	// stableWindow is the time without disturbance after which bounds hold again.
	stableWindow = 4 * time.Second
	// missingLife is the time after the return of the store within which the entries
	// of live servers are back.
	missingLife = 2 * time.Second
	// awayTime is how long the store is away before it returns from a copy.
	awayTime = 800 * time.Millisecond
)

// storeGate stands between the store and one host. It can refuse the host's calls and
// records the times of its writes.
type storeGate struct {
	store  *standin.Store
	status atomic.Int32 // refuses every call if not 0

	mu     sync.Mutex
	writes []storeWrite
}

type storeWrite struct {
	at   time.Time
	call string // method and kind
}

func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/tamarackswitch/objects/"), "/")
		g.mu.Lock()
		g.writes = append(g.writes, storeWrite{time.Now(), r.Method + " " + kind})
		g.mu.Unlock()
	}
	if status := g.status.Load(); status != 0 {
		era, _ := g.store.Era()
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		w.WriteHeader(int(status))
		return
	}
	g.store.ServeHTTP(w, r)
}

// sample is the outcome of one request of a caller.
type sample struct {
	host   int
	path   string
	sent   time.Time
	status int // 0 if there was no answer
}

// serverRun is a request that a server began to run.
type serverRun struct {
	host   int // that sent it
	server string
	at     time.Time
}

// hostState is a part of a host's dump.
type hostState struct {
	TableVersion int `json:"table_version"`
	Peers        []struct {
		Name string `json:"name"`
	} `json:"peers"`
	Dispatchers map[string]string `json:"dispatchers"`

	host int
	at   time.Time
}

// drill runs hosts beside a store that returns from an older copy and records what
// callers, servers and the store observe.
type drill struct {
	*soak
	gates   []*storeGate
	proxies []*tcpProxy
	entries map[string]standin.ServerEntry
	// backInTouch holds, for hosts that were disturbed, when that ended.
	backInTouch map[int]time.Time
	copied      time.Time // state to which the store returns

	mu      sync.Mutex
	watched []string // paths that are requested at every host
	samples []sample
	runs    []serverRun
	states  []hostState
	lapsed  []string // violations of the bounds
}

const drillHosts = 6

func newDrill(t *testing.T) *drill {
	t.Helper()
	return &drill{soak: newEmptySoak(t), entries: map[string]standin.ServerEntry{}, backInTouch: map[int]time.Time{}}
}

// configure writes a configuration whose version alone has the route onlyIn(version).
func (d *drill) configure(version int) time.Time {
	route := standin.Route{Host: "a.example", Pool: "p", Timeout: 3 * time.Second, Target: 200 * time.Millisecond}
	safe, once, only := route, route, route
	safe.Name, safe.Prefix, safe.Idempotent = "safe", "/safe/", true
	once.Name, once.Prefix = "once", "/once/"
	only.Name, only.Prefix, only.Idempotent = fmt.Sprint("only-", version), onlyIn(version), true
	d.store.Configure(version, 1000, []string{"p"}, []standin.Route{safe, once, only})
	d.mu.Lock()
	if !slices.Contains(d.watched, onlyIn(version)) {
		d.watched = append(d.watched, onlyIn(version))
	}
	d.mu.Unlock()
	d.tablesVersion = version
	return time.Now()
}

func onlyIn(version int) string { return fmt.Sprintf("/only-%d/", version) }

// addServer starts a server and publishes it.
func (d *drill) addServer(id, domain string) {
	d.t.Helper()
	server := &standin.Server{
		ServerEntry: standin.ServerEntry{ID: id, Pool: "p", Address: freeAddress(d.t), Domain: domain, Slots: 16, StartedMS: time.Now().UnixMilli()},
		ServiceTime: 10 * time.Millisecond,
	}
	server.OnRun = func(request string) {
		d.recorder.recordRun(request)
		host, _, _ := strings.Cut(request, "-")
		n, _ := strconv.Atoi(host) // every id begins with the number of its host
		d.mu.Lock()
		defer d.mu.Unlock()
		d.runs = append(d.runs, serverRun{n, id, time.Now()})
	}
	require.NoError(d.t, server.Start())
	d.t.Cleanup(server.Stop)
	d.entries[id] = server.ServerEntry
	d.publish(id, "ready")
}

func (d *drill) publish(id, state string) time.Time {
	d.store.Publish(d.entries[id], state)
	return time.Now()
}

// addHost starts a host with a gate and a proxy of its own before the store.
func (d *drill) addHost() int {
	d.t.Helper()
	n := len(d.gates)
	gate := &storeGate{store: d.store}
	server := httptest.NewServer(gate)
	d.t.Cleanup(server.Close)
	proxy, err := newTCPProxy(freeAddress(d.t), strings.TrimPrefix(server.URL, "http://"))
	require.NoError(d.t, err)
	d.t.Cleanup(proxy.close)
	h := newHost(d.t, fmt.Sprint("h", n), domains[n%len(domains)], proxy.address(), func(name string, err error) {
		d.recorder.addViolation("%s ended by itself: %v", name, err)
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gates, d.proxies, d.hosts = append(d.gates, gate), append(d.proxies, proxy), append(d.hosts, h)
	return n
}

// startHosts starts the hosts and waits until they are ready and know each other.
func (d *drill) startHosts() {
	d.t.Helper()
	for range drillHosts {
		d.addHost()
	}
	d.awaitSteadyState(waitTimeout, "at the start")
	require.Empty(d.t, d.recorder.violations)
	require.Eventually(d.t, func() bool {
		for n := range d.hosts {
			if s, ok := d.state(n, d.hosts[n]); !ok || len(s.Peers) != drillHosts-1 {
				return false
			}
		}
		return true
	}, waitTimeout, 20*time.Millisecond, "the hosts do not know each other")
}

// state reads the state of host n.
func (d *drill) state(n int, h *host) (s hostState, ok bool) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.metricsAddress + "/dump")
	if err != nil {
		return s, false
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&s)
	s.host, s.at = n, time.Now()
	return s, err == nil
}

// send sends a request to a host and records its outcome.
func (d *drill) send(transport http.RoundTripper, host int, address, path, id string, key int) {
	method := http.MethodGet
	if path == "/once/" {
		method = http.MethodPut
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	d.recorder.mu.Lock()
	d.recorder.sent[id] = true
	d.recorder.mu.Unlock()
	sent := time.Now()
	answer, err := standin.Send(ctx, transport, standin.Request{
		Address: address, Host: "a.example", Method: method, Path: path, ID: id, Key: strconv.Itoa(key), Deadline: 2 * time.Second,
	})
	d.recorder.mu.Lock()
	if method == http.MethodPut && d.recorder.runs[id] > 1 {
		d.recorder.violations = append(d.recorder.violations, "non-idempotent request "+id+" ran twice")
	}
	if method == http.MethodPut && err == nil && answer.PromisesNotRun() {
		d.recorder.reportedNotRun[id] = true
	}
	if answer.Defect != "" {
		d.recorder.violations = append(d.recorder.violations, "request "+id+": "+answer.Defect)
	}
	d.recorder.mu.Unlock()
	if err != nil {
		answer.Status = 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.samples = append(d.samples, sample{host, path, sent, answer.Status})
}

// startTraffic sends requests to a host and reads its state until stop is called.
func (d *drill) startTraffic(ctx context.Context, wg *sync.WaitGroup, host int) {
	h := d.hosts[host]
	wg.Go(func() {
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		for n := 0; ctx.Err() == nil; n++ {
			d.send(transport, host, h.callerAddress, []string{"/safe/", "/once/"}[n%2], fmt.Sprintf("%d-t-%d", host, n), n%97)
			time.Sleep(5 * time.Millisecond)
		}
	})
	wg.Go(func() {
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		for n := 0; ctx.Err() == nil; n++ {
			d.mu.Lock()
			watched := slices.Clone(d.watched)
			d.mu.Unlock()
			for i, path := range watched {
				d.send(transport, host, h.callerAddress, path, fmt.Sprintf("%d-p-%d-%d", host, n, i), n%97)
			}
			if s, ok := d.state(host, h); ok {
				d.mu.Lock()
				d.states = append(d.states, s)
				d.mu.Unlock()
			}
			time.Sleep(25 * time.Millisecond)
		}
	})
}

// startAllTraffic sends requests to all hosts. The returned function ends them.
func (d *drill) startAllTraffic() (add func(host int), stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	wg := &sync.WaitGroup{}
	add = func(host int) { d.startTraffic(ctx, wg, host) }
	for n := range d.hosts {
		add(n)
	}
	stop = sync.OnceFunc(func() { cancel(); wg.Wait() })
	d.t.Cleanup(stop)
	return add, stop
}

// raiseRevision writes as many times as hosts and servers do in some seconds.
func (d *drill) raiseRevision() {
	for i := range 200 {
		d.store.Put("elsewhere", "o", i, nil)
	}
}

// restore returns the store from its copy after awayTime, during which it has faults.
func (d *drill) restore(away standin.Faults) (returned time.Time) {
	_, before := d.store.Era()
	d.store.SetFaults(away)
	time.Sleep(awayTime)
	d.store.Restore(time.Since(d.copied))
	d.store.SetFaults(standin.Faults{})
	returned = time.Now()
	era, after := d.store.Era()
	d.t.Logf("the store returned in era %d at revision %d after %d", era, after, before)
	return returned
}

func until(t time.Time, d time.Duration) { time.Sleep(time.Until(t.Add(d))) }

func (d *drill) lapse(format string, args ...any) {
	d.lapsed = append(d.lapsed, fmt.Sprintf(format, args...))
}

// bound returns from when a host is held to what was acknowledged at a time.
func (d *drill) bound(host int, acknowledged time.Time, limit time.Duration) time.Time {
	from := acknowledged.Add(limit)
	if back, ok := d.backInTouch[host]; ok && back.Add(stableWindow).After(from) {
		return back.Add(stableWindow)
	}
	return from
}

// checkRoute reports requests that were handled as before an acknowledged
// configuration: with 404 on a route that it has, or with another answer on one that it
// does not have. It logs when that ended on the last host.
func (d *drill) checkRoute(what, path string, has bool, acknowledged time.Time, limit time.Duration, end time.Time) {
	var last time.Duration
	wrong, late := map[int]int{}, map[int]int{}
	for _, s := range d.samples {
		if s.path != path || s.status == 0 || s.status == http.StatusServiceUnavailable || (s.status == http.StatusNotFound) != has || s.sent.Before(acknowledged) || s.sent.After(end) {
			continue
		}
		wrong[s.host]++
		last = max(last, s.sent.Sub(acknowledged))
		if s.sent.After(d.bound(s.host, acknowledged, limit)) {
			late[s.host]++
		}
	}
	d.t.Logf("%s: last handled otherwise %s after the acknowledgement, requests by host: %v", what, last.Round(time.Millisecond), wrong)
	if len(late) > 0 {
		d.lapse("%s: requests handled otherwise later than %s, by host: %v, last after %s", what, limit, late, last.Round(time.Millisecond))
	}
	for n := range d.hosts {
		if !slices.ContainsFunc(d.samples, func(s sample) bool {
			return s.path == path && s.host == n && s.status != 0 && s.sent.After(acknowledged) && s.sent.Before(end)
		}) {
			d.lapse("%s: host %d answered nothing", what, n)
		}
	}
}

// checkNoRuns reports requests that reached a server after it had to get none.
func (d *drill) checkNoRuns(what, server string, acknowledged time.Time, limit time.Duration, end time.Time) {
	var last time.Duration
	late := map[int]int{}
	total := 0
	for _, r := range d.runs {
		if r.server != server || r.at.Before(acknowledged) || r.at.After(end) {
			continue
		}
		total++
		last = max(last, r.at.Sub(acknowledged))
		if r.at.After(d.bound(r.host, acknowledged, limit)) {
			late[r.host]++
		}
	}
	d.t.Logf("%s: %s got %d requests, the last %s after", what, server, total, last.Round(time.Millisecond))
	if len(late) > 0 {
		d.lapse("%s: %s got requests later than %s, by host: %v, last after %s", what, server, limit, late, last.Round(time.Millisecond))
	}
}

// checkRuns reports a server that got no requests in a time.
func (d *drill) checkRuns(what, server string, from, to time.Time) {
	n := 0
	for _, r := range d.runs {
		if r.server == server && r.at.After(from) && r.at.Before(to) {
			n++
		}
	}
	d.t.Logf("%s: %s got %d requests in %s", what, server, n, to.Sub(from).Round(time.Millisecond))
	if n == 0 {
		d.lapse("%s: %s got no request in %s", what, server, to.Sub(from).Round(time.Millisecond))
	}
}

// checkVersions reports hosts whose tables went back. Hosts that were started or killed
// since from are passed in fresh.
func (d *drill) checkVersions(from time.Time, fresh ...int) {
	highest, before := map[int]int{}, map[int][]string{}
	for _, s := range d.states {
		if slices.Contains(fresh, s.host) {
			continue
		}
		if s.TableVersion < highest[s.host] {
			before[s.host] = append(before[s.host], fmt.Sprintf("%d after %d at %s", s.TableVersion, highest[s.host], s.at.Sub(from).Round(time.Millisecond)))
		}
		highest[s.host] = max(highest[s.host], s.TableVersion)
	}
	for n, list := range before {
		d.lapse("host %d went back to an older version of the tables: %d times, first %s", n, len(list), list[0])
	}
}

// finish logs what was measured and fails the test if a bound was broken.
func (d *drill) finish(returned time.Time) {
	writes, total := map[string]int{}, 0
	for _, g := range d.gates {
		g.mu.Lock()
		for _, w := range g.writes {
			if w.at.After(returned) && w.at.Before(returned.Add(2*time.Second)) {
				writes[w.call]++
				total++
			}
		}
		g.mu.Unlock()
	}
	outcomes, undisturbed := map[int]int{}, 0
	for _, s := range d.samples {
		if !strings.HasPrefix(s.path, "/only-") && s.sent.After(returned.Add(-awayTime)) {
			if _, disturbed := d.backInTouch[s.host]; !disturbed && s.status != http.StatusOK {
				undisturbed++
			}
			outcomes[s.status]++
		}
	}
	d.t.Logf("writes of the hosts in the first 2 s after the return: %d %v", total, writes)
	d.t.Logf("requests since the store was away, by status: %v; failed at hosts that were not disturbed themselves: %d", outcomes, undisturbed)
	d.recorder.checkRuns()
	if d.t.Failed() || len(d.lapsed) > 0 || len(d.recorder.violations) > 0 {
		for _, h := range d.hosts {
			d.t.Logf("log of %s:\n%s", h.name, logLines(h))
		}
	}
	require.Empty(d.t, d.recorder.violations)
	require.Empty(d.t, d.lapsed)
}

// logLines returns the lines of a host's log that do not concern a single request.
func logLines(h *host) string {
	var lines []string
	for line := range strings.Lines(h.log.String()) {
		if !strings.Contains(line, `"id":`) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines[max(0, len(lines)-60):], "")
}

// TestRestoredStoreNewsInForce guards against hosts whose copy stands still after the
// store returned from an older copy, because its revisions are below theirs, and
// against hosts that undo what was acknowledged before it is written again.
func TestRestoredStoreNewsInForce(t *testing.T) {
	t.Parallel()
	d := newDrill(t)
	d.configure(2)
	for _, id := range []string{"stays-1", "stays-2", "drained", "left", "drains"} {
		d.addServer(id, "a-1")
	}
	for _, id := range []string{"evacuated-1", "evacuated-2"} {
		d.addServer(id, "a-2")
	}
	d.startHosts()
	_, stop := d.startAllTraffic()
	time.Sleep(time.Second)
	d.copied = time.Now()
	d.raiseRevision()
	d.addServer("lost", "a-1")
	d.addServer("ended", "a-1")
	before := d.configure(5)
	d.store.Evacuate("a-2")
	drained := d.publish("drained", "draining")
	d.store.Withdraw("left")
	until(drained, evacuateBound)

	returned := d.restore(standin.Faults{Status: http.StatusServiceUnavailable})
	until(returned, time.Second)
	d.configure(5)
	d.store.Evacuate("a-2")
	d.publish("drained", "draining")
	until(returned, 1500*time.Millisecond)
	d.store.Withdraw("left")
	published := d.publish("lost", "ready")
	until(returned, missingLife)
	written := d.configure(9)
	drains := d.publish("drains", "draining")
	until(written, applyBound+1500*time.Millisecond)
	end := time.Now()
	d.store.EndEvacuation("a-2")
	again := d.entries["drained"]
	again.StartedMS = end.UnixMilli()
	d.entries["drained"] = again
	d.publish("drained", "ready")
	until(end, evacuateBound)
	stop()

	d.checkRuns("before it drains", "drained", d.copied.Add(-time.Second), drained)
	d.checkRoute("configuration before the restore", onlyIn(5), true, before, applyBound, written)
	d.checkRoute("new configuration, route added", onlyIn(9), true, written, applyBound, end)
	d.checkRoute("new configuration, route dropped", onlyIn(5), false, written, applyBound, end)
	d.checkRoute("route that stays", "/safe/", true, before, 0, end)
	d.checkVersions(returned)
	d.checkNoRuns("draining before the restore", "drained", drained, drainBound, end)
	d.checkRuns("started again under its id", "drained", end, end.Add(evacuateBound))
	d.checkNoRuns("left before the restore", "left", drained, drainBound, end)
	for _, id := range []string{"evacuated-1", "evacuated-2"} {
		d.checkNoRuns("evacuation before the restore", id, drained, evacuateBound, end)
		d.checkRuns("after the evacuation", id, end, end.Add(evacuateBound))
	}
	d.checkNoRuns("draining after the restore", "drains", drains, drainBound, end)
	d.checkRuns("missing in the copy", "lost", returned, published)
	d.checkRuns("published again", "lost", published, end)
	d.checkNoRuns("missing in the copy, not published again", "ended", returned.Add(missingLife), drainBound, end)
	d.finish(returned)
}

// TestRestoredStoreTwice guards against hosts that take the same revision of two eras
// for the same state when the store returns from a copy a second time within seconds.
func TestRestoredStoreTwice(t *testing.T) {
	t.Parallel()
	d := newDrill(t)
	d.configure(2)
	for _, id := range []string{"stays-1", "stays-2", "drained", "drains"} {
		d.addServer(id, "a-1")
	}
	d.copied = time.Now()
	d.startHosts()
	_, stop := d.startAllTraffic()
	time.Sleep(time.Second)
	d.raiseRevision()
	before := d.configure(5)
	drained := d.publish("drained", "draining")
	until(drained, drainBound)

	first := d.restore(standin.Faults{Silent: true})
	until(first, 500*time.Millisecond)
	d.configure(5)
	d.publish("drained", "draining")
	until(first, time.Second)
	returned := d.restore(standin.Faults{Status: http.StatusServiceUnavailable})
	until(returned, time.Second)
	d.configure(5)
	d.publish("drained", "draining")
	until(returned, missingLife)
	written := d.configure(9)
	drains := d.publish("drains", "draining")
	until(written, applyBound+1500*time.Millisecond)
	end := time.Now()
	stop()

	d.checkRoute("configuration before the restores", onlyIn(5), true, before, applyBound, written)
	d.checkRoute("new configuration, route added", onlyIn(9), true, written, applyBound, end)
	d.checkRoute("new configuration, route dropped", onlyIn(5), false, written, applyBound, end)
	d.checkVersions(returned)
	d.checkNoRuns("draining before the restores", "drained", drained, drainBound, end)
	d.checkNoRuns("draining after the restores", "drains", drains, drainBound, end)
	d.finish(returned)
}

// TestRestoredStoreRevisionsPassed guards against hosts that go on watching from a
// revision of the lost state, because the store has passed it again when they reach it:
// the watch succeeds and lacks what was written between the copy and that revision.
func TestRestoredStoreRevisionsPassed(t *testing.T) {
	t.Parallel()
	d := newDrill(t)
	d.configure(2)
	for _, id := range []string{"stays-1", "stays-2", "drains"} {
		d.addServer(id, "a-1")
	}
	d.startHosts()
	_, stop := d.startAllTraffic()
	time.Sleep(time.Second)
	d.copied = time.Now()
	d.raiseRevision()
	before := d.configure(5)
	until(before, applyBound)

	away := standin.Faults{Status: http.StatusServiceUnavailable}
	d.store.SetFaults(away)
	time.Sleep(awayTime / 2)
	_, revision := d.store.Era()
	d.store.Restore(time.Since(d.copied))
	written, drains := d.configure(9), d.publish("drains", "draining")
	d.raiseRevision()
	d.raiseRevision()
	_, passed := d.store.Era()
	require.Greater(t, passed, revision)
	time.Sleep(awayTime / 2)
	d.store.SetFaults(standin.Faults{})
	returned := time.Now()
	for n := range d.hosts {
		d.backInTouch[n] = returned
	}
	until(returned, stableWindow+1500*time.Millisecond)
	end := time.Now()
	stop()

	d.checkRoute("configuration before the restore", onlyIn(5), true, before, applyBound, written)
	d.checkRoute("new configuration, route added", onlyIn(9), true, written, applyBound, end)
	d.checkRoute("new configuration, route dropped", onlyIn(5), false, written, applyBound, end)
	d.checkVersions(returned)
	d.checkNoRuns("draining after the restore", "drains", drains, drainBound, end)
	d.finish(returned)
}

// TestRestoredStoreHostsOutOfReach guards against hosts that stay at an earlier era, or
// bring it back to others, because they were cut off from the store, turned away,
// started, killed or stopped while it returned from a copy.
func TestRestoredStoreHostsOutOfReach(t *testing.T) {
	t.Parallel()
	const cut, turnedAway, killed, stopped = 2, 3, 4, 5
	d := newDrill(t)
	d.configure(2)
	for _, id := range []string{"stays-1", "stays-2", "drained", "drains"} {
		d.addServer(id, "a-1")
	}
	d.startHosts()
	addTraffic, stop := d.startAllTraffic()
	time.Sleep(time.Second)
	d.copied = time.Now()
	d.raiseRevision()
	before := d.configure(5)
	drained := d.publish("drained", "draining")
	until(drained, drainBound)

	d.proxies[cut].setFaults(linkFaults{dropForward: true, dropBackward: true})
	d.gates[turnedAway].status.Store(http.StatusServiceUnavailable) // to the end
	d.hosts[stopped].signal(syscall.SIGSTOP)
	restarted := make(chan error, 1)
	time.AfterFunc(awayTime/2, func() { restarted <- d.hosts[killed].restart(0, syscall.SIGKILL) })
	returned := d.restore(standin.Faults{Status: http.StatusServiceUnavailable})
	require.NoError(t, <-restarted)
	started := d.addHost()
	d.backInTouch[killed], d.backInTouch[started] = returned, time.Now()
	addTraffic(started)
	until(returned, time.Second)
	d.configure(5)
	d.publish("drained", "draining")
	d.proxies[cut].setFaults(linkFaults{})
	d.proxies[cut].reset()
	d.hosts[stopped].signal(syscall.SIGCONT)
	d.backInTouch[cut], d.backInTouch[stopped], d.backInTouch[turnedAway] = time.Now(), time.Now(), returned
	until(returned, missingLife)
	written := d.configure(9)
	drains := d.publish("drains", "draining")
	until(d.backInTouch[cut], stableWindow+1500*time.Millisecond)
	end := time.Now()
	stop()

	d.checkRoute("configuration before the restore", onlyIn(5), true, before, applyBound, written)
	d.checkRoute("new configuration, route added", onlyIn(9), true, written, applyBound, end)
	d.checkRoute("new configuration, route dropped", onlyIn(5), false, written, applyBound, end)
	d.checkVersions(returned, killed, started)
	d.checkNoRuns("draining before the restore", "drained", drained, drainBound, end)
	d.checkNoRuns("draining after the restore", "drains", drains, drainBound, end)
	d.finish(returned)
}

// TestRestoredStoreHostEntries guards against entries of hosts that the copy lacks and
// that nobody writes again, and against hosts that take the missing entry of another
// one for its end.
func TestRestoredStoreHostEntries(t *testing.T) {
	t.Parallel()
	d := newDrill(t)
	d.configure(2)
	d.addServer("stays-1", "a-1")
	d.addServer("stays-2", "a-2")
	d.copied = time.Now()
	d.startHosts()
	_, stop := d.startAllTraffic()
	d.raiseRevision()
	time.Sleep(time.Second)
	require.Len(t, d.hostEntries(), drillHosts)
	away := time.Now()
	returned := d.restore(standin.Faults{Status: http.StatusServiceUnavailable})
	missing := drillHosts - len(d.hostEntries())
	var back time.Duration
	for time.Since(returned) < stableWindow && len(d.hostEntries()) < drillHosts {
		time.Sleep(10 * time.Millisecond)
	}
	back = time.Since(returned)
	until(returned, stableWindow+2*time.Second)
	end := time.Now()
	stop()

	t.Logf("%d entries of hosts were missing at the return; after %s there are %v", missing, back.Round(time.Millisecond), d.hostEntries())
	if len(d.hostEntries()) < drillHosts {
		d.lapse("%s after the return, the store has the entries of the hosts %v alone", end.Sub(returned).Round(time.Millisecond), d.hostEntries())
	}
	dispatcher := ""
	for _, s := range d.states {
		if s.at.Before(away) {
			dispatcher = s.Dispatchers["p"]
		}
	}
	shrunk, moved := map[int]int{}, map[string]int{}
	for _, s := range d.states {
		if s.at.Before(away) {
			continue
		}
		if len(s.Peers) < drillHosts-1 {
			shrunk[s.host]++
		}
		if s.Dispatchers["p"] != dispatcher {
			moved[s.Dispatchers["p"]]++
		}
	}
	if len(shrunk) > 0 {
		d.lapse("hosts took others for ended, times by host: %v", shrunk)
	}
	if len(moved) > 0 {
		d.lapse("the pool had another dispatcher than %s: %v", dispatcher, moved)
	}
	d.finish(returned)
}

// hostEntries returns the names of the hosts that have an entry in the store.
func (d *drill) hostEntries() []string {
	resp, err := http.Get("http://" + d.storeAddress + "/tamarackswitch/objects/entryhosts")
	require.NoError(d.t, err)
	defer resp.Body.Close()
	var page struct {
		Items []standin.Object `json:"items"`
	}
	require.NoError(d.t, json.NewDecoder(resp.Body).Decode(&page))
	names := map[string]bool{}
	for _, o := range page.Items {
		names[o.Metadata.Name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// eraRefused finds warnings that news was not taken because of its era.
var eraRefused = regexp.MustCompile(`"level":"warn".*"reason":"[^"]*\bera\b[^"]*"`)

// TestRestoredStoreOddEras guards against hosts that stop, forget their tables or say
// nothing when the era in the answers of the store is missing, no number, or lower than
// before, and against hosts that do not follow again when it is right.
func TestRestoredStoreOddEras(t *testing.T) {
	t.Parallel()
	for name, odd := range map[string]string{"missing": "", "text": "x", "lower": "2"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDrill(t)
			d.store.Restore(0)
			d.store.Restore(0)
			d.configure(2)
			d.addServer("stays-1", "a-1")
			d.addServer("stays-2", "a-2")
			d.addServer("drains", "a-2")
			for range 2 {
				d.addHost()
			}
			d.awaitSteadyState(waitTimeout, "at the start")
			_, stop := d.startAllTraffic()
			before := time.Now()
			time.Sleep(500 * time.Millisecond)
			d.store.SetFaults(standin.Faults{Era: &odd})
			time.Sleep(200 * time.Millisecond)
			written := d.configure(5)
			drains := d.publish("drains", "draining")
			for n, h := range d.hosts {
				warned := func() bool { return eraRefused.MatchString(h.log.String()) }
				assert.Eventually(t, warned, time.Second, 20*time.Millisecond, "host %d did not warn that it takes nothing of this era", n)
			}
			time.Sleep(time.Until(written.Add(1800 * time.Millisecond)))
			d.store.SetFaults(standin.Faults{})
			right := time.Now()
			d.backInTouch[0], d.backInTouch[1] = right, right
			until(right, time.Second)
			next := d.configure(9)
			until(right, stableWindow+time.Second)
			end := time.Now()
			stop()

			d.checkRoute("route that stays", "/safe/", true, before, 0, end)
			d.checkRoute("configuration written meanwhile", onlyIn(5), true, written, applyBound, next)
			d.checkRoute("configuration after the era is right", onlyIn(9), true, next, applyBound, end)
			d.checkNoRuns("draining meanwhile", "drains", drains, drainBound, end)
			d.checkVersions(right)
			d.finish(right)
		})
	}
}
