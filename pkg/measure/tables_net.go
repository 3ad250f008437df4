package measure

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/admin"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/tablesync"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
	"github.com/tamarackswitch/tamarackswitch/pkg/invariant"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform/memstore"
)

// Timing and sizes of the fakes around tablesync.
const (
	tableProbePeriod   = time.Second
	tableSummaryPeriod = 2 * time.Second
	// tableDeathSeen is the time until membership removes a dead host: a probe
	// period, the ack timeout and the suspicion time.
	tableDeathSeen = 4500 * time.Millisecond
	tableJoinSeen  = time.Second
	tableRetry     = time.Second // after a failed call of the platform
	nearDelay      = 250 * time.Microsecond
	farDelay       = 17500 * time.Microsecond
	// messageOverhead is the size of the TCP, IP and WebSocket headers and of
	// the common fields of a message in bytes.
	messageOverhead = 100
	// callOverhead is the size of the HTTP heads of one platform call in bytes.
	callOverhead = 400
)

// tableConfig describes one run.
type tableConfig struct {
	hosts, domains, regions int
	// loss and duplicate are probabilities per message between hosts; reorder
	// is the largest extra delay.
	loss, duplicate float64
	reorder         time.Duration
	// everyHostWatches is the baseline: all hosts read the platform and send
	// each other nothing.
	everyHostWatches bool
	// silentWatch means that the platform never answers a waiting watch.
	silentWatch bool
}

// tableHost is one entry host with a fake membership and transport.
type tableHost struct {
	name, domain string
	region       int
	incarnation  int
	alive        bool
	sync         *tablesync.Sync
	watching     bool
	watch        int   // number of the current watch loop
	after        int64 // store version up to which the host has read
	ring         []string
	inForce      [2]int64
}

func (h *tableHost) process() string { return fmt.Sprintf("%s#%d", h.name, h.incarnation) }

// tableNet runs the hosts, the platform and the faults of one run.
type tableNet struct {
	cfg     tableConfig
	sched   *vtime.Scheduler
	check   *invariant.Checker
	store   *memstore.Store
	admin   *admin.Tables
	hosts   []*tableHost
	byName  map[string]*tableHost
	domains []string
	// seen is the membership view that all hosts of a domain share.
	seen    map[string][]string
	cut     map[string]bool // domains that reach neither others nor the platform
	waiting map[*tableHost]int
	edits   []*tableEdit
	latest  [2]int64
	traffic map[string]int
	calls   map[int64]int
	from    time.Time // start of the measurement of traffic and calls
	log     []string
	// loseAnswers is the probability that the answer to a put is lost.
	loseAnswers float64
	// problems are faults that no invariant of the checker covers.
	problems []string
}

// tableEdit is an accepted change and the time until it was in force.
type tableEdit struct {
	table   int
	version int64
	at      time.Time
	took    time.Duration
	done    bool
}

func newTableNet(cfg tableConfig, seed uint64) *tableNet {
	n := &tableNet{
		cfg: cfg, sched: vtime.New(seed), check: invariant.New(), byName: map[string]*tableHost{},
		seen: map[string][]string{}, cut: map[string]bool{}, waiting: map[*tableHost]int{},
		traffic: map[string]int{}, calls: map[int64]int{},
	}
	n.store = memstore.New(n.sched.Now)
	n.admin = &admin.Tables{Store: tableStore{n.store, n}, Clock: n.sched.Now}
	for i := range cfg.domains {
		n.domains = append(n.domains, fmt.Sprintf("d%d", i+1))
	}
	for i := range cfg.hosts {
		d := i % cfg.domains
		h := &tableHost{name: fmt.Sprintf("e%03d", i+1), domain: n.domains[d], region: d % cfg.regions}
		n.hosts = append(n.hosts, h)
		n.byName[h.name] = h
		n.seen[h.domain] = append(n.seen[h.domain], h.name)
		n.sched.After(n.random(2*time.Second), func() { n.start(h) })
	}
	for _, d := range n.domains {
		n.sched.After(n.random(tableSummaryPeriod), func() { n.summaries(d) })
	}
	n.sched.Every(time.Second, func() { n.check.CheckConfig(n.sched.Now()) })
	return n
}

func (n *tableNet) random(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(n.sched.Rand.Int64N(int64(most)))
}

// start begins a new incarnation of a host.
func (n *tableNet) start(h *tableHost) {
	h.incarnation++
	h.alive, h.watching, h.after, h.inForce, h.ring = true, false, 0, [2]int64{}, nil
	h.sync = tablesync.New(tablesync.Config{Self: h.name, Domain: h.domain, Rand: n.sched.Rand})
	process, incarnation := h.process(), h.incarnation
	n.sched.After(invariant.ConfigDelay, func() { n.check.Require(process, h.incarnation == incarnation && h.alive && !n.cut[h.domain]) })
	n.refresh(h)
	n.repeat(h, tablesync.TickPeriod, func() { n.sendAll(h, h.sync.Tick(n.sched.Now())) })
	if !n.cfg.everyHostWatches {
		n.repeat(h, tableProbePeriod, func() { n.probe(h) })
	}
	n.repeat(h, tablesync.PollPeriod, func() {
		if h.watching {
			n.poll(h)
		}
	})
}

// repeat runs fn with a random phase while the incarnation lives.
func (n *tableNet) repeat(h *tableHost, period time.Duration, fn func()) {
	incarnation := h.incarnation
	var tick func()
	tick = func() {
		if h.alive && h.incarnation == incarnation {
			fn()
			n.sched.After(period, tick)
		}
	}
	n.sched.After(n.random(period), tick)
}

// kill ends a host; its domain notices later.
func (n *tableNet) kill(h *tableHost) {
	h.alive = false
	n.check.Require(h.process(), false)
	n.sched.After(tableDeathSeen, func() { n.member(h, h.alive) })
}

func (n *tableNet) restart(h *tableHost) {
	n.start(h)
	n.sched.After(tableJoinSeen, func() { n.member(h, h.alive) })
}

// member changes the view of a domain.
func (n *tableNet) member(h *tableHost, live bool) {
	names := slices.DeleteFunc(slices.Clone(n.seen[h.domain]), func(name string) bool { return name == h.name })
	if live {
		names = append(names, h.name)
	}
	n.seen[h.domain] = names
	for _, other := range n.hosts {
		if other.domain == h.domain && other.alive {
			n.refresh(other)
		}
	}
}

// refresh gives a host the membership view and starts or stops its watch.
func (n *tableNet) refresh(h *tableHost) {
	live := n.seen[h.domain]
	if !slices.Contains(live, h.name) {
		live = append(slices.Clone(live), h.name)
	}
	h.sync.SetLive(live)
	watching := h.sync.Watching() || n.cfg.everyHostWatches
	if watching == h.watching {
		return
	}
	h.watching = watching
	h.watch++
	if watching {
		n.watchLoop(h, h.watch)
	}
}

// observe reports a change of what a host has in force.
func (n *tableNet) observe(h *tableHost) {
	v := h.sync.Versions(n.sched.Now())
	now := [2]int64{v.Routes, v.Pools}
	if now == h.inForce {
		return
	}
	h.inForce = now
	n.check.InForce(h.process(), tableNames[0], now[0])
	n.check.InForce(h.process(), tableNames[1], now[1])
	n.finishEdits()
}

// finishEdits notes the time of edits that are now in force at every host that
// can be reached.
func (n *tableNet) finishEdits() {
	for _, e := range n.edits {
		if !e.done && n.everywhere(e.table, e.version, func(h *tableHost) bool { return !n.cut[h.domain] }) {
			e.done, e.took = true, n.sched.Now().Sub(e.at)
		}
	}
}

// everywhere reports whether a version is in force at all live hosts that match.
func (n *tableNet) everywhere(table int, version int64, match func(*tableHost) bool) bool {
	for _, h := range n.hosts {
		if h.alive && match(h) && h.inForce[table] < version {
			return false
		}
	}
	return true
}

// count adds control bytes of a host.
func (n *tableNet) count(h *tableHost, bytes int) {
	n.check.ControlTraffic(n.sched.Now(), h.name, bytes)
	if !n.from.IsZero() {
		n.traffic[h.name] += bytes
	}
}

func (n *tableNet) delay(a, b *tableHost) time.Duration {
	d := nearDelay
	if a.region != b.region {
		d = farDelay
	}
	return d + n.random(n.cfg.reorder)
}

// send delivers a message of a size to another host, subject to faults.
func (n *tableNet) send(from *tableHost, to string, size int, deliver func(*tableHost)) {
	h := n.byName[to]
	n.count(from, size+messageOverhead)
	copies := 1
	if n.sched.Rand.Float64() < n.cfg.duplicate {
		copies = 2
	}
	for range copies {
		if n.sched.Rand.Float64() < n.cfg.loss {
			continue
		}
		n.sched.After(n.delay(from, h), func() {
			if h.alive && (from.domain == h.domain || !(n.cut[from.domain] || n.cut[h.domain])) {
				n.count(h, size+messageOverhead)
				deliver(h)
				n.observe(h)
			}
		})
	}
}

// sendAll sends what a decision returned.
func (n *tableNet) sendAll(h *tableHost, out []tablesync.Outgoing) {
	if n.cfg.everyHostWatches {
		return
	}
	for _, o := range out {
		switch {
		case o.Announce != nil:
			n.send(h, o.To, sizeOf(o.Announce), func(to *tableHost) { n.versions(to, h.name, *o.Announce) })
		case o.Pull != nil:
			n.send(h, o.To, sizeOf(o.Pull), func(to *tableHost) {
				n.sendAll(to, to.sync.OnPull(n.sched.Now(), h.name, *o.Pull))
			})
		case o.Delta != nil:
			n.send(h, o.To, sizeOf(o.Delta), func(to *tableHost) {
				more, _ := to.sync.OnDelta(n.sched.Now(), h.name, *o.Delta)
				n.sendAll(to, more)
			})
		}
	}
}

func (n *tableNet) versions(h *tableHost, from string, v tablesync.Versions) {
	n.sendAll(h, h.sync.OnVersions(n.sched.Now(), from, v))
}

// probe sends the versions to the next host of a shuffled ring and gets an ack.
func (n *tableNet) probe(h *tableHost) {
	if len(h.ring) == 0 {
		for _, name := range n.seen[h.domain] {
			if name != h.name {
				h.ring = append(h.ring, name)
			}
		}
		n.sched.Rand.Shuffle(len(h.ring), func(i, j int) { h.ring[i], h.ring[j] = h.ring[j], h.ring[i] })
	}
	if len(h.ring) == 0 {
		return
	}
	to := h.ring[0]
	h.ring = h.ring[1:]
	v := h.sync.Versions(n.sched.Now())
	n.send(h, to, sizeOf(v), func(peer *tableHost) {
		n.versions(peer, h.name, v)
		ack := peer.sync.Versions(n.sched.Now())
		n.send(peer, h.name, sizeOf(ack), func(h *tableHost) { n.versions(h, peer.name, ack) })
	})
}

// summaries sends the versions of a domain's reporters to the other domains.
func (n *tableNet) summaries(domain string) {
	n.sched.After(tableSummaryPeriod, func() { n.summaries(domain) })
	if n.cfg.everyHostWatches {
		return
	}
	for _, name := range rendezvous.Top("reporters/"+domain, n.seen[domain], 2) {
		h := n.byName[name]
		if !h.alive {
			continue
		}
		for _, other := range n.domains {
			if other == domain {
				continue
			}
			v := h.sync.Versions(n.sched.Now())
			for _, to := range rendezvous.Top("receivers/"+domain+other, n.seen[other], 2) {
				n.send(h, to, sizeOf(v), func(to *tableHost) { n.versions(to, name, v) })
			}
		}
	}
}

func sizeOf(v any) int {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // messages hold only encodable types
	}
	return len(b)
}

// tableStore is the platform as operators reach it: it counts calls and wakes
// watches.
type tableStore struct {
	platform.Store
	n *tableNet
}

func (s tableStore) Get(ctx context.Context, key string) (platform.Object, error) {
	s.n.platformCall(false)
	return s.Store.Get(ctx, key)
}

func (s tableStore) Put(ctx context.Context, key string, value []byte, ifVersion int64) (platform.Object, error) {
	s.n.platformCall(true)
	if s.n.sched.Rand.Float64() < s.n.loseAnswers {
		s.n.store.LoseAnswers(1)
	}
	o, err := s.Store.Put(ctx, key, value, ifVersion)
	s.n.changed()
	return o, err
}
