package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

const (
	// probeInterval is the pause between the probes of one host.
	probeInterval = 40 * time.Millisecond
	newsHosts     = 6
	// leavingServers of pool p leave in the course of a case, two with each news;
	// the others stay.
	leavingServers, stayingServers = 6, 2
)

// newsRound is what the latest acknowledged configuration allows: the route of the
// round itself, not the one of the round before, and one pool of the moved route.
type newsRound struct {
	number int
	phase  string
	acked  time.Time
}

// leavingServer is a server that reports draining or whose entry is withdrawn.
type leavingServer struct {
	newsRound
	withdrawn bool
}

func (r *newsRound) pool() string { return []string{"p", "q"}[r.number%2] }

func roundPath(number int) string { return fmt.Sprintf("/new-%d/", number) }

// lateness is the worst lateness of the hosts with news of one phase.
type lateness struct{ config, drain, withdrawal time.Duration }

func (l lateness) String() string {
	return fmt.Sprintf("%d/%d/%d", l.config.Milliseconds(), l.drain.Milliseconds(), l.withdrawal.Milliseconds())
}

// max returns the worse lateness of each kind.
func (l lateness) max(o lateness) lateness {
	return lateness{max(l.config, o.config), max(l.drain, o.drain), max(l.withdrawal, o.withdrawal)}
}

// news plays one case: six hosts in two failure domains, each with a store proxy and
// a gate of its own, whose probes say which configuration a host obeys.
type news struct {
	*soak
	rng         *rand.Rand
	gates       []*storeGate
	stores      []*tcpProxy
	transports  []*http.Transport
	round       atomic.Pointer[newsRound] // nil while a configuration is being written
	lastRound   int
	lastVersion int
	extraRoutes int
	left        int // servers of pool p that have left

	mu sync.Mutex
	// excused holds the hosts to which a disruption applies, from disruptedFrom on
	// until stableWindow after disruptedUntil.
	excused                       map[int]bool
	disruptedFrom, disruptedUntil time.Time
	leaving                       map[string]*leavingServer // by ID of the server
	worst                         map[string]map[int]lateness
	late                          []string
	judged                        map[string]map[int]int // probes of the new route that were served
	dumps                         map[string]string      // of late hosts, by host and phase
}

func newNews(t *testing.T, seed uint64) *news {
	n := &news{
		soak: newEmptySoak(t), rng: rand.New(rand.NewPCG(seed, 79)), lastVersion: 5, excused: map[int]bool{}, leaving: map[string]*leavingServer{},
		worst: map[string]map[int]lateness{}, judged: map[string]map[int]int{}, dumps: map[string]string{},
	}
	for i := range leavingServers + stayingServers + 2 {
		pool := "p"
		if i >= leavingServers+stayingServers {
			pool = "q"
		}
		server := &standin.Server{
			ServerEntry: standin.ServerEntry{
				ID: fmt.Sprintf("%s-%d", pool, i), Pool: pool, Address: freeAddress(t), Domain: domains[i%len(domains)], Slots: 8,
				StartedMS: time.Now().Add(-time.Minute).UnixMilli(),
			},
			ServiceTime: 2 * time.Millisecond,
		}
		server.OnRun = func(id string) { n.recordRun(server.ID, id) }
		require.NoError(t, server.Start())
		t.Cleanup(server.Stop)
		n.store.Publish(server.ServerEntry, "ready")
		n.backends = append(n.backends, &backend{domain: server.Domain})
		n.backends[i].server.Store(server)
	}
	n.configure("start", nil)
	for i := range newsHosts {
		gate := &storeGate{store: n.store}
		server := httptest.NewServer(gate)
		t.Cleanup(server.Close)
		proxy, err := newTCPProxy(freeAddress(t), strings.TrimPrefix(server.URL, "http://"))
		require.NoError(t, err)
		t.Cleanup(proxy.close)
		n.gates, n.stores = append(n.gates, gate), append(n.stores, proxy)
		n.transports = append(n.transports, &http.Transport{})
		n.hosts = append(n.hosts, newHost(t, fmt.Sprintf("h%d", i), domains[i%len(domains)], proxy.address(), func(name string, err error) {
			n.recorder.addViolation("%s ended by itself: %v", name, err)
		}))
	}
	n.tablesVersion = n.lastVersion
	n.awaitTables(waitTimeout, "at the start")
	return n
}

// spec returns the configuration of a round.
func (n *news) spec(version, round int) map[string]any {
	var resources []any
	route := func(name, prefix, pool string) {
		resources = append(resources, map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
			"host": "a.example", "pathPrefix": prefix, "kind": "safe", "timeout": "1s", "targetLatency": "200ms", "priority": 1, "service": pool, "maxAttempts": 2,
		}})
	}
	route("moved", "/moved/", (&newsRound{number: round}).pool())
	route("fixed", "/fixed/", "p")
	route(fmt.Sprintf("new-%d", round), roundPath(round), "p")
	for i := range n.extraRoutes {
		route(fmt.Sprintf("extra-%d", i), fmt.Sprintf("/extra-%d/", i), "q")
	}
	for _, pool := range []string{"p", "q"} {
		resources = append(resources, map[string]any{"resourceKind": "services", "metadata": map[string]any{"name": pool}, "spec": map[string]any{"coldPerS": 1000}})
	}
	return map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources}
}

func (n *news) nextVersion() int {
	n.lastVersion += []int{1, 2, 9, 29}[n.rng.IntN(4)]
	return n.lastVersion
}

// configure writes the configuration of the next round. change may alter it.
func (n *news) configure(phase string, change func(spec map[string]any)) {
	n.round.Store(nil)
	n.lastRound++
	spec := n.spec(n.nextVersion(), n.lastRound)
	if change != nil {
		change(spec)
	}
	n.store.Put("config", "main", spec, nil)
	n.round.Store(&newsRound{number: n.lastRound, phase: phase, acked: time.Now()})
}

// announce writes a configuration, lets a server report draining and withdraws the
// entry of another one.
func (n *news) announce(phase string) {
	n.configure(phase, nil)
	n.letServersLeave(phase)
}

func (n *news) letServersLeave(phase string) {
	drained, withdrawn := n.backends[n.left].server.Load(), n.backends[n.left+1].server.Load()
	n.left += 2
	n.store.Publish(drained.ServerEntry, "draining")
	n.markLeaving(drained.ID, phase, false)
	n.store.Withdraw(withdrawn.ID)
	n.markLeaving(withdrawn.ID, phase, true)
}

func (n *news) markLeaving(id, phase string, withdrawn bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving[id] = &leavingServer{newsRound{phase: phase, acked: time.Now()}, withdrawn}
}

// disrupt begins a disruption that applies to the given hosts, to all if none is
// given.
func (n *news) disrupt(hosts ...int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range n.hosts {
		n.excused[i] = len(hosts) == 0 || slices.Contains(hosts, i)
	}
	n.disruptedFrom, n.disruptedUntil = time.Now(), time.Now().Add(time.Hour)
}

func (n *news) endDisruption() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disruptedUntil = time.Now()
}

// observe records that host did not obey news at time at, which late turns into a
// lateness with the given bound. The caller holds mu.
func (n *news) observe(host int, news *newsRound, at time.Time, late func(since time.Duration) lateness, bound time.Duration, what string) {
	since := at.Sub(news.acked)
	if since < 0 {
		return
	}
	if n.worst[news.phase] == nil {
		n.worst[news.phase] = map[int]lateness{}
	}
	n.worst[news.phase][host] = n.worst[news.phase][host].max(late(since))
	if since <= bound || n.excused[host] && at.After(n.disruptedFrom) && at.Before(n.disruptedUntil.Add(stableWindow)) {
		return
	}
	n.late = append(n.late, fmt.Sprintf("h%d %s: %s %s after its acknowledgement", host, news.phase, what, since))
	key := fmt.Sprintf("h%d %s", host, news.phase)
	if _, ok := n.dumps[key]; !ok {
		n.dumps[key] = ""
		go func() {
			dump := n.dump(host)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.dumps[key] = dump
		}()
	}
}

// recordRun records that a server runs a request, whose id names the host.
func (n *news) recordRun(server, id string) {
	var host int
	if _, err := fmt.Sscanf(id, "h%d-", &host); err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if left := n.leaving[server]; left != nil {
		late := func(since time.Duration) lateness {
			if left.withdrawn {
				return lateness{withdrawal: since}
			}
			return lateness{drain: since}
		}
		n.observe(host, &left.newsRound, time.Now(), late, drainBound, fmt.Sprintf("request %s reached %s (withdrawn: %t)", id, server, left.withdrawn))
	}
}

// probe sends requests through a host until ctx ends and records which of them are
// handled as only an older configuration allows.
func (n *news) probe(ctx context.Context, host int) {
	for count := 0; ctx.Err() == nil; count++ {
		round := n.round.Load()
		if round == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		path := []string{"/moved/", roundPath(round.number), roundPath(round.number - 1), "/fixed/"}[count%4]
		sent := time.Now()
		answer, err := n.ask(ctx, host, path, count)
		if n.round.Load() == round && err == nil {
			n.judge(host, round, path, sent, answer)
		}
		if count%4 == 3 {
			time.Sleep(probeInterval)
		}
	}
}

func (n *news) ask(ctx context.Context, host int, path string, count int) (standin.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return standin.Send(ctx, n.transports[host], standin.Request{
		Address: n.hosts[host].callerAddress, Host: "a.example", Method: http.MethodGet, Path: path, ID: fmt.Sprintf("h%d-%d", host, count),
		Key: fmt.Sprint(count % 13), Deadline: 800 * time.Millisecond,
	})
}

func (n *news) judge(host int, round *newsRound, path string, sent time.Time, answer standin.Answer) {
	what := ""
	switch ran := answer.Stamp != ""; {
	case answer.Defect != "":
		n.recorder.addViolation("h%d: %s", host, answer.Defect)
	case path == roundPath(round.number-1) && ran:
		what = "the removed route ran"
	case path != roundPath(round.number-1) && answer.Status == http.StatusNotFound:
		what = "404 on " + path
	case path == "/moved/" && ran && !strings.HasPrefix(answer.Stamp, round.pool()+"-"):
		what = "the moved route ran at " + answer.Stamp
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if path == roundPath(round.number) && answer.Status == http.StatusOK {
		if n.judged[round.phase] == nil {
			n.judged[round.phase] = map[int]int{}
		}
		n.judged[round.phase][host]++
	}
	if what != "" {
		n.observe(host, round, sent, func(since time.Duration) lateness { return lateness{config: since} }, applyBound, what)
	}
}

func (n *news) dump(host int) string {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + n.hosts[host].metricsAddress + "/dump")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

type newsDump struct {
	TableVersion int64  `json:"table_version"`
	Watching     bool   `json:"watching"`
	Following    string `json:"following"`
}

func (n *news) role(host int) newsDump {
	var d newsDump
	_ = json.Unmarshal([]byte(n.dump(host)), &d) // a host without an answer has the zero value
	return d
}

// watchers returns the hosts that watch the store themselves, or those that do not.
func (n *news) watchers(watching bool) (hosts []int) {
	for i := range n.hosts {
		if n.role(i).Watching == watching {
			hosts = append(hosts, i)
		}
	}
	return hosts
}

// newsCase is a case of TestNewsReachesAllHosts.
type newsCase struct {
	name string
	// quick cases are played in every run, the others with NEWS_CASES=all.
	quick bool
	// play makes the disruption with the news "during" in it.
	play func(n *news)
}

// storeFaults is a disruption of the whole store.
func storeFaults(f standin.Faults) func(*news) {
	return func(n *news) {
		n.disrupt()
		n.store.SetFaults(f)
		time.Sleep(time.Second)
		n.announce("during")
		time.Sleep(3 * time.Second)
		n.store.SetFaults(standin.Faults{})
		n.endDisruption()
	}
}

// cutStores cuts the ways of the given hosts to the store, or of all.
func cutStores(f linkFaults, resets bool, choose func(*news) []int) func(*news) {
	return func(n *news) {
		hosts := choose(n)
		n.disrupt(hosts...)
		for _, i := range hosts {
			n.stores[i].setFaults(f)
		}
		for range 10 {
			if resets {
				for _, i := range hosts {
					n.stores[i].reset()
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		n.announce("during")
		for range 30 {
			if resets {
				for _, i := range hosts {
					n.stores[i].reset()
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		for _, i := range hosts {
			n.stores[i].setFaults(linkFaults{})
			n.stores[i].reset()
		}
		n.endDisruption()
	}
}

func allHosts(*news) []int         { return []int{0, 1, 2, 3, 4, 5} }
func watchingHosts(n *news) []int  { return n.watchers(true) }
func followingHosts(n *news) []int { return n.watchers(false) }

// turnAway refuses the calls of some hosts while the store serves the others.
func turnAway(status int32, choose func(*news) []int) func(*news) {
	return func(n *news) {
		hosts := choose(n)
		n.disrupt(hosts...)
		for _, i := range hosts {
			n.gates[i].status.Store(status)
			n.stores[i].reset() // ends the waiting watches, too
		}
		time.Sleep(500 * time.Millisecond)
		n.announce("during")
		time.Sleep(4 * time.Second)
		for _, i := range hosts {
			n.gates[i].status.Store(0)
		}
		n.endDisruption()
	}
}

// silencePeers drops the control connections to hosts and their datagrams.
func silencePeers(control, datagrams linkFaults, choose func(*news) []int) func(*news) {
	return func(n *news) {
		hosts := choose(n)
		n.disrupt(hosts...)
		for _, i := range hosts {
			n.hosts[i].control.setFaults(control)
			n.hosts[i].peer.setFaults(datagrams)
		}
		n.announce("during")
		time.Sleep(4 * time.Second)
		for _, i := range hosts {
			n.hosts[i].control.setFaults(linkFaults{})
			n.hosts[i].peer.setFaults(linkFaults{})
		}
		n.endDisruption()
	}
}

// hangups sends a series of SIGHUP to all hosts around the news, which is no
// disruption.
func hangups(change func(i int, text string) string) func(*news) {
	return func(n *news) {
		for round := range 8 {
			for _, h := range n.hosts {
				if change != nil {
					text, err := os.ReadFile(h.settingsFile)
					require.NoError(n.t, err)
					require.NoError(n.t, os.WriteFile(h.settingsFile, []byte(change(round, string(text))), 0o600))
				}
				h.signal(syscall.SIGHUP)
			}
			if round == 4 {
				n.announce("during")
			}
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
	}
}

// unreadable writes a configuration that is altered, starts a host while it is the
// newest, and a good one after it.
func unreadable(change func(spec map[string]any)) func(*news) {
	return func(n *news) {
		last := len(n.hosts) - 1
		n.disrupt(last)
		n.configure("unreadable", change)
		n.round.Store(nil)
		if err := n.hosts[last].restart(0, syscall.SIGKILL); err != nil {
			n.recorder.addViolation("%v", err)
		}
		n.endDisruption()
		time.Sleep(time.Second)
		n.announce("during")
		time.Sleep(4 * time.Second)
	}
}

// readable alters a configuration in a way that hosts must accept.
func readable(change func(spec map[string]any)) func(*news) {
	return func(n *news) {
		n.configure("during", change)
		n.letServersLeave("during")
		time.Sleep(4 * time.Second)
	}
}

func addResource(resource any) func(map[string]any) {
	return func(spec map[string]any) { spec["resources"] = append(spec["resources"].([]any), resource) }
}

// nested returns JSON that is nested deeper than encoding/json reads.
func nested() json.RawMessage {
	return json.RawMessage(strings.Repeat("[", 20000) + strings.Repeat("]", 20000))
}

// deep writes a configuration with a deeply nested field in raw form, because
// encoding/json does not write it.
func deep(n *news) {
	last := len(n.hosts) - 1
	n.disrupt(last)
	n.round.Store(nil)
	n.lastRound++
	raw, err := json.Marshal(n.spec(n.nextVersion(), n.lastRound))
	require.NoError(n.t, err)
	n.store.Put("config", "main", json.RawMessage(`{"odd":`+string(nested())+`,`+string(raw[1:])), nil)
	if err := n.hosts[last].restart(0, syscall.SIGKILL); err != nil {
		n.recorder.addViolation("%v", err)
	}
	n.endDisruption()
	time.Sleep(time.Second)
	n.announce("during")
	time.Sleep(4 * time.Second)
}

func restartDuring(faults *standin.Faults, hosts ...int) func(*news) {
	return func(n *news) {
		if faults != nil {
			n.disrupt()
			n.store.SetFaults(*faults)
			time.Sleep(500 * time.Millisecond)
		} else {
			n.disrupt(hosts...)
		}
		var wg sync.WaitGroup
		for _, i := range hosts {
			wg.Go(func() {
				if err := n.hosts[i].restart(0, syscall.SIGKILL); err != nil {
					n.recorder.addViolation("%v", err)
				}
			})
		}
		if faults == nil {
			time.Sleep(time.Duration(n.rng.IntN(150)) * time.Millisecond)
		}
		n.announce("during")
		wg.Wait()
		if faults != nil {
			time.Sleep(2 * time.Second)
			n.store.SetFaults(standin.Faults{})
		}
		n.endDisruption()
		time.Sleep(time.Second)
	}
}

func paused(choose func(*news) []int) func(*news) {
	return func(n *news) {
		hosts := choose(n)
		n.disrupt(hosts...)
		for _, i := range hosts {
			n.hosts[i].signal(syscall.SIGSTOP)
		}
		time.Sleep(100 * time.Millisecond)
		n.announce("during")
		time.Sleep(3500 * time.Millisecond)
		for _, i := range hosts {
			n.hosts[i].signal(syscall.SIGCONT)
		}
		n.endDisruption()
	}
}

var down = linkFaults{dropForward: true, dropBackward: true}

var newsCases = []newsCase{
	{"calm", true, func(n *news) { n.announce("during"); time.Sleep(4 * time.Second) }},
	{"silent", true, storeFaults(standin.Faults{Silent: true})},
	{"503", false, storeFaults(standin.Faults{Status: http.StatusServiceUnavailable})},
	{"429", false, storeFaults(standin.Faults{Status: http.StatusTooManyRequests})},
	{"slow 200 ms", false, storeFaults(standin.Faults{Delay: 200 * time.Millisecond})},
	{"slow 1 s", false, storeFaults(standin.Faults{Delay: time.Second})},
	{"store silent on connections", false, cutStores(down, false, allHosts)},
	{"resets", false, cutStores(linkFaults{}, true, allHosts)},
	{"no answers one way", false, cutStores(linkFaults{dropBackward: true}, false, allHosts)},
	{"no calls one way", false, cutStores(linkFaults{dropForward: true}, false, allHosts)},
	{"history lost with the news", true, func(n *news) {
		n.disrupt()
		n.store.SetFaults(standin.Faults{DropNotifications: true})
		n.announce("during")
		n.store.Compact()
		n.store.SetFaults(standin.Faults{})
		n.endDisruption()
		time.Sleep(time.Second)
	}},
	{"history lost while silent", false, func(n *news) {
		n.disrupt()
		n.store.SetFaults(standin.Faults{Silent: true, DropNotifications: true})
		time.Sleep(500 * time.Millisecond)
		n.announce("during")
		time.Sleep(2 * time.Second)
		n.store.Compact()
		n.store.SetFaults(standin.Faults{})
		n.endDisruption()
	}},
	{"answers of writes lost", false, storeFaults(standin.Faults{LoseAnswers: true, WriteDelay: 500 * time.Millisecond})},
	{"watchers turned away 503", true, turnAway(503, watchingHosts)},
	{"watchers turned away 429", false, turnAway(429, watchingHosts)},
	{"followers turned away 503", false, turnAway(503, followingHosts)},
	{"half turned away 503", false, turnAway(503, func(*news) []int { return []int{0, 1, 2} })},
	{"one domain turned away 503", false, turnAway(503, func(*news) []int { return []int{0, 2, 4} })},
	{"watchers cut off from the store", true, cutStores(down, false, watchingHosts)},
	{"watchers hear nothing from the store", false, cutStores(linkFaults{dropBackward: true}, false, watchingHosts)},
	{"watchers reset by the store", false, cutStores(linkFaults{}, true, watchingHosts)},
	{"followers miss beacons", true, silencePeers(linkFaults{}, down, followingHosts)},
	{"one follower misses beacons", false, silencePeers(linkFaults{}, down, func(n *news) []int { return n.watchers(false)[:1] })},
	{"hosts start with the news", true, restartDuring(nil, 4, 5)},
	{"watchers start with the news", false, func(n *news) { restartDuring(nil, n.watchers(true)...)(n) }},
	{"hosts start while the store is silent", false, restartDuring(&standin.Faults{Silent: true}, 4, 5)},
	{"hosts start while the store refuses", false, restartDuring(&standin.Faults{Status: 503}, 0, 3)},
	{"all start while the store is silent", false, restartDuring(&standin.Faults{Silent: true}, 0, 1, 2, 3, 4, 5)},
	{"hangups", true, hangups(nil)},
	{"hangups with changed settings", false, hangups(func(round int, text string) string {
		return strings.Replace(strings.Replace(text, `lookup_life = "5s"`, `lookup_life = "6s"`, 1), "retry_extra = 100", fmt.Sprintf("retry_extra = 100%s", strings.Repeat(" ", round%3)), 1)
	})},
	{"hangups with broken settings", false, hangups(func(round int, text string) string {
		text = strings.TrimSuffix(text, "broken")
		if round%2 == 0 {
			text += "broken"
		}
		return text
	})},
	{"watchers paused", true, paused(watchingHosts)},
	{"followers paused", false, paused(followingHosts)},
	{"bad route", false, unreadable(addResource(map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": "odd"}, "spec": map[string]any{"host": 7}}))},
	{"route is a text", false, unreadable(addResource("odd"))},
	{"version is a number", true, unreadable(func(spec map[string]any) { spec["version"] = 7 })},
	{"resources is a text", false, unreadable(func(spec map[string]any) { spec["resources"] = "odd" })},
	{"too deep", false, deep},
	{"unknown kind", false, readable(addResource(map[string]any{"resourceKind": "odd", "metadata": map[string]any{"name": "odd"}, "spec": map[string]any{"a": []int{1}}}))},
	{"unknown fields", true, readable(func(spec map[string]any) {
		spec["odd"] = map[string]any{"a": 1}
		for _, r := range spec["resources"].([]any) {
			r.(map[string]any)["odd"] = 1.5
			r.(map[string]any)["spec"].(map[string]any)["odd"] = []string{"a"}
		}
	})},
	{"odd server entries", false, func(n *news) {
		n.store.Put("servers", "odd-1", nested(), nil)
		n.store.Put("servers", "odd-2", map[string]any{"address": 7, "info": "text"}, "text")
		n.store.Put("servers", "odd-3", nil, nil)
		n.store.Put("servers", "odd-4", map[string]any{"address": "127.0.0.1:99999", "born": 1e300, "info": map[string]any{"service": "p", "zone": "a-1", "slots": -1}}, map[string]any{"state": "odd", "seq": 1e300})
		n.announce("during")
		n.store.Put("servers", "odd-5", nested(), nested())
		time.Sleep(4 * time.Second)
	}},
	{"3000 routes", false, func(n *news) {
		n.extraRoutes = 3000
		n.announce("during")
		time.Sleep(4 * time.Second)
	}},
	{"storm of 30 versions", true, func(n *news) {
		for range 29 {
			n.configure("storm", nil)
			time.Sleep(20 * time.Millisecond)
		}
		n.announce("during")
		time.Sleep(4 * time.Second)
	}},
	{"storm of 30 versions of 2000 routes", false, func(n *news) {
		n.extraRoutes = 2000
		for range 29 {
			n.configure("storm", nil)
			time.Sleep(20 * time.Millisecond)
		}
		n.announce("during")
		time.Sleep(4 * time.Second)
	}},
	{"versions beyond 2^31", false, func(n *news) { n.lastVersion = 1<<31 - 2; n.announce("during"); time.Sleep(4 * time.Second) }},
	{"versions beyond 2^53", false, func(n *news) { n.lastVersion = 1<<53 - 1; n.announce("during"); time.Sleep(4 * time.Second) }},
	{"deleted and created again", false, func(n *news) {
		n.round.Store(nil)
		n.store.Delete("config", "main")
		n.announce("during")
		time.Sleep(4 * time.Second)
	}},
}

// mutedWatcherCases are disruptions of the host that watches the store, in which its
// followers hear its beacons and get no changes from it.
var mutedWatcherCases = []newsCase{
	{"watchers cut off from followers", true, silencePeers(down, down, watchingHosts)},
	{"watchers' control silent, beacons sent", false, silencePeers(down, linkFaults{}, watchingHosts)},
	{"watchers' control one way", false, silencePeers(linkFaults{dropBackward: true}, linkFaults{}, watchingHosts)},
}

// TestNewsReachesAllHosts guards against hosts that stay at an older configuration, or
// go on sending to servers that left, after the store has acknowledged news, although
// nothing disturbs them or the store any more.
//
// NEWS_CASES=all plays all cases, NEWS_SEED and NEWS_PARALLEL set the seed and the
// number of cases at a time, NEWS_OUT the directory for what was seen of late hosts.
func TestNewsReachesAllHosts(t *testing.T) { playNews(t, newsCases) }

// TestNewsReachesFollowersOfMutedWatcher guards against followers that wait for a
// watcher whose control connections are silent, only because its beacons say that its
// copy is up to date: they are in touch with the store and with other hosts.
func TestNewsReachesFollowersOfMutedWatcher(t *testing.T) { playNews(t, mutedWatcherCases) }

func playNews(t *testing.T, cases []newsCase) {
	all := os.Getenv("NEWS_CASES") == "all"
	semaphore := make(chan struct{}, intFromEnv(t, "NEWS_PARALLEL", 6))
	seed := uint64(intFromEnv(t, "NEWS_SEED", 1))
	for _, c := range cases {
		if !all && !c.quick {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			newNews(t, seed).run(c)
		})
	}
}

func (n *news) run(c newsCase) {
	ctx, cancel := context.WithCancel(context.Background())
	var probes sync.WaitGroup
	for i := range n.hosts {
		probes.Go(func() { n.probe(ctx, i) })
	}
	time.Sleep(stableWindow)
	roles := n.watchers(true)
	c.play(n)
	end := time.Now()
	time.Sleep(300 * time.Millisecond)
	n.announce("after")
	time.Sleep(time.Until(end.Add(stableWindow + time.Second)))
	n.announce("steady")
	time.Sleep(applyBound + 700*time.Millisecond)
	n.tablesVersion = n.lastVersion
	for i := range n.hosts {
		if d := n.role(i); d.TableVersion != int64(n.lastVersion) {
			n.recorder.addViolation("h%d ends with version %d instead of %d", i, d.TableVersion, n.lastVersion)
		}
		path := roundPath(n.lastRound)
		if a, err := n.ask(ctx, i, path, 1000000); err != nil || a.Status != http.StatusOK {
			n.recorder.addViolation("h%d does not serve the new route at the end: status %d, %v", i, a.Status, err)
		}
	}
	cancel()
	probes.Wait()
	n.conclude(c.name, roles)
}

// conclude prints the worst lateness of the hosts and reports what was late.
func (n *news) conclude(name string, roles []int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var row strings.Builder
	for _, phase := range []string{"during", "after", "steady"} {
		var disturbed, calm lateness
		for host, w := range n.worst[phase] {
			l := &calm
			if n.excused[host] {
				l = &disturbed
			}
			*l = l.max(w)
		}
		fmt.Fprintf(&row, " | %s: calm hosts %s, disturbed %s", phase, calm, disturbed)
	}
	for i := range n.hosts {
		if n.judged["steady"][i] < minConsecutiveServed {
			n.recorder.addViolation("h%d: only %d requests on the new route were served in the steady state", i, n.judged["steady"][i])
		}
	}
	n.t.Logf("NEWS %s (watchers %v), worst lateness configuration/draining/withdrawal in ms%s | %d late, violations %v", name, roles, row.String(), len(n.late), n.recorder.violations)
	if len(n.late) > 0 || len(n.recorder.violations) > 0 {
		n.keepEvidence(name)
	}
	require.Empty(n.t, n.late[:min(len(n.late), 20)])
	require.Empty(n.t, n.recorder.violations)
}

// keepEvidence writes what was late, the dumps of the late hosts and the logs to a
// file in the directory NEWS_OUT, or to the log of the test.
func (n *news) keepEvidence(name string) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n%s\n%v\n", name, strings.Join(n.late, "\n"), n.recorder.violations)
	for key, dump := range n.dumps {
		fmt.Fprintf(&b, "dump of %s: %s\n", key, dump)
	}
	for i, h := range n.hosts {
		fmt.Fprintf(&b, "dump of h%d at the end: %s\n", i, n.dump(i))
		for line := range strings.Lines(h.log.String()) {
			if !strings.Contains(line, `"message":"request"`) {
				fmt.Fprintf(&b, "h%d %s", i, line)
			}
		}
	}
	dir := os.Getenv("NEWS_OUT")
	if dir == "" {
		n.t.Log(b.String())
		return
	}
	file := filepath.Join(dir, strings.ReplaceAll(name, " ", "-")+time.Now().Format("-150405.txt"))
	require.NoError(n.t, os.WriteFile(file, []byte(b.String()), 0o600))
}
