package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config identifies this host.
type Config struct {
	Name, Address string
	// Incarnation is the start time of the process in milliseconds.
	Incarnation int64
}

// member is a known host other than this one.
type member struct {
	Update
	// since is when the host entered State, or when its process was replaced.
	since time.Time
	// suspectedHere is true if this node's own probe of the host failed.
	suspectedHere bool
	// reprobe is the time of the next probe of a host that is suspectedHere.
	reprobe time.Time
}

// Node is the membership protocol of one host. It is safe for concurrent use.
type Node struct {
	mu      sync.Mutex
	self    Update
	ended   bool
	members map[string]*member

	// ring is the sorted list of the names of all hosts that are not dead,
	// including this one; nil when it has to be rebuilt.
	ring []string
	// view is the list of all members, sorted by name; nil when it has to be
	// rebuilt.
	view   []Member
	digest uint64
	// suspects is the number of members with state Suspect.
	suspects int

	order probeOrder
	// probes and relays are keyed by the Seq of the Ping that this host sent; seq
	// is the last Seq used.
	probes   map[uint64]*probe
	relays   map[uint64]relay
	seq      uint64
	queue    []pendingUpdate
	versions map[string]int64
	seeds    []string
	platform platformHosts
	events   []Event

	lastTick, lastRemovedProbe, lastSync, lastJoin time.Time
	lastGossip, digestsDifferSince                 time.Time
	lastRound                                      int64
	counts                                         Counts
}

// Counts are totals since the start of the process.
type Counts struct {
	Sent       int `json:"sent"`
	Received   int `json:"received"`
	Malformed  int `json:"malformed"`
	Pauses     int `json:"pauses"`
	Suspicions int `json:"suspicions"`
	Removals   int `json:"removals"`
	Syncs      int `json:"syncs"`
}

// New returns a node that knows no other host.
func New(c Config) *Node {
	return &Node{
		self:    Update{Name: c.Name, Address: c.Address, Incarnation: c.Incarnation, State: Alive},
		members: map[string]*member{}, probes: map[uint64]*probe{}, relays: map[uint64]relay{},
		platform: platformHosts{leaving: map[string]time.Time{}},
	}
}

// Join asks hosts at the given addresses for their members. Tick repeats this
// until a host answers.
func (n *Node) Join(now time.Time, seeds []string) []Outgoing {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = n.seeds[:0]
	for _, s := range seeds {
		if s != n.self.Address && !slices.Contains(n.seeds, s) {
			n.seeds = append(n.seeds, s)
		}
	}
	n.lastJoin = now
	var out []Outgoing
	for _, s := range n.seeds[:min(maxJoinSeeds, len(n.seeds))] {
		out = n.send(out, "", s, Message{Kind: SyncRequest})
	}
	return out
}

// SetVersions sets the table versions that are sent with every message.
func (n *Node) SetVersions(v map[string]int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.versions = make(map[string]int64, len(v))
	for name, version := range v {
		n.versions[name] = version
	}
}

// SetHolds announces the processes of this domain whose idempotency keys this
// host answers for; the last MaxHolds of them are kept.
func (n *Node) SetHolds(now time.Time, holds []EndedProcess) []Outgoing {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.Holds = slices.Clone(holds[max(0, len(holds)-MaxHolds):])
	return n.announce()
}

// Leave announces the shutdown of this host to every member that is not dead.
// They stop naming it in lookups but keep it as a member while it drains.
func (n *Node) Leave(now time.Time) []Outgoing {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.Leaving = true
	return n.announce()
}

// Exit announces that this host has ended. The node does nothing afterwards.
func (n *Node) Exit(now time.Time) []Outgoing {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.State = Dead
	out := n.announce()
	n.ended = true
	return out
}

// announce raises the counter of this host and sends its state to every member
// that is not dead.
func (n *Node) announce() []Outgoing {
	n.self.Counter++
	n.invalidateCaches()
	n.enqueue(n.self.Name)
	var out []Outgoing
	for _, name := range n.ringNames() {
		if m := n.members[name]; m != nil {
			out = n.send(out, name, m.Address, Message{Kind: Gossip})
		}
	}
	return out
}

// Tick advances the protocol. The caller calls it every TickInterval. rng is
// used only to choose peers.
func (n *Node) Tick(now time.Time, rng *rand.Rand) []Outgoing {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return nil
	}
	if late := now.Sub(n.lastTick) - TickInterval; !n.lastTick.IsZero() && late > pauseThreshold {
		n.adjustForPause(now, late)
	}
	n.lastTick = now
	var out []Outgoing
	out = n.checkProbes(out, now, rng)
	out = n.checkSuspects(out, now)
	out = n.probeRound(out, now)
	out = n.probeRemoved(out, now, rng)
	out = n.retryJoin(out, now, rng)
	out = n.gossip(out, now, rng)
	return out
}

// adjustForPause extends the deadlines of probes and suspects by the time in
// which this process did not run, since answers may have arrived unread in that
// time. After a pause longer than PauseLimit, every suspect gets the full
// SuspectTimeout again and the probes in flight are dropped.
func (n *Node) adjustForPause(now time.Time, late time.Duration) {
	n.counts.Pauses++
	long := late > PauseLimit
	if long {
		clear(n.probes)
	}
	for _, p := range n.probes {
		p.sent = p.sent.Add(late)
	}
	for _, m := range n.members {
		switch {
		case m.State != Suspect:
		case long:
			m.since, m.reprobe = now, now
		default:
			m.since = m.since.Add(late)
		}
	}
}

// send appends m to out after adding the sender, the digest, the versions and
// the pending updates.
func (n *Node) send(out []Outgoing, name, address string, m Message) []Outgoing {
	m.From, m.Digest, m.Versions = n.self, n.currentDigest(), n.versions
	n.addUpdates(&m, name)
	n.counts.Sent++
	return append(out, Outgoing{Name: name, Address: address, Message: m})
}

// invalidateCaches drops the lists that are derived from the members; ringNames
// and Members rebuild them.
func (n *Node) invalidateCaches() { n.ring, n.view = nil, nil }

// ringNames returns the sorted names of all hosts that are not dead.
func (n *Node) ringNames() []string {
	if n.ring != nil {
		return n.ring
	}
	n.ring = make([]string, 0, len(n.members)+1)
	n.digest = hostDigest(&n.self)
	n.ring = append(n.ring, n.self.Name)
	for name, m := range n.members {
		if m.State != Dead {
			n.ring = append(n.ring, name)
			n.digest ^= hostDigest(&m.Update)
		}
	}
	slices.Sort(n.ring)
	return n.ring
}

// currentDigest returns the digest of the set of hosts that are not dead. It
// leaves out counters and suspicions, which differ between hosts all the time.
func (n *Node) currentDigest() uint64 {
	n.ringNames()
	return n.digest
}

func hostDigest(u *Update) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(u.Name)
	x := uint64(u.Incarnation) << 1
	if u.Leaving {
		x |= 1
	}
	return d.Sum64() ^ x*0x9e3779b97f4a7c15
}

func (n *Node) recordEvent(now time.Time, kind EventKind, u Update) {
	if len(n.events) < maxEvents {
		n.events = append(n.events, Event{At: now, Kind: kind, Member: n.memberOf(u)})
	}
}

// TakeEvents returns and clears the events since the last call. At most 1024 are
// kept and later ones are dropped, so a caller that needs every change compares
// the results of Members.
func (n *Node) TakeEvents() []Event {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.events
	n.events = nil
	return out
}

func (n *Node) memberOf(u Update) Member {
	m := Member{Name: u.Name, Address: u.Address, Incarnation: u.Incarnation, Counter: u.Counter, State: u.State, Holds: u.Holds}
	if m.State != Dead && (u.Leaving || n.platform.isLeaving(u)) {
		m.State = Leaving
	}
	return m
}

// Members returns all known hosts including this one, sorted by name. Removed
// hosts are listed for TombstoneRetention. The caller must not change the slice.
func (n *Node) Members(now time.Time) []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view == nil {
		n.view = make([]Member, 0, len(n.members)+1)
		n.view = append(n.view, n.memberOf(n.self))
		for _, m := range n.members {
			n.view = append(n.view, n.memberOf(m.Update))
		}
		slices.SortFunc(n.view, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	}
	return n.view
}

// Live returns the members that are not dead.
func (n *Node) Live(now time.Time) []Member {
	all := n.Members(now)
	out := make([]Member, 0, len(all))
	for _, m := range all {
		if m.State != Dead {
			out = append(out, m)
		}
	}
	return out
}

// Dump is the state of a node for the administration API.
type Dump struct {
	Members    []Member `json:"members"`
	Pending    int      `json:"pending_updates"`
	Probes     int      `json:"probes"`
	Candidates []string `json:"candidates"`
	Counts     Counts   `json:"counts"`
}

// Dump returns the state of the node for the administration API.
func (n *Node) Dump() Dump {
	members := n.Members(time.Time{})
	n.mu.Lock()
	defer n.mu.Unlock()
	d := Dump{Members: members, Pending: len(n.queue), Probes: len(n.probes), Counts: n.counts}
	for _, c := range n.platform.candidates {
		d.Candidates = append(d.Candidates, c.Name)
	}
	return d
}
