package entry

import (
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/membership"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/once"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/slots"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/tablesync"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
)

// transientPeerTime is how long a host outside the own domain that asked for
// something stays an address of the mesh.
const transientPeerTime = 30 * time.Second

// Keys of the table versions in membership messages and summaries.
const (
	versionRoutes      = "routes"
	versionPools       = "pools"
	versionHash        = "hash"
	versionUnconfirmed = "unconfirmed"
)

func versionMap(v tablesync.Versions) map[string]int64 {
	return map[string]int64{
		versionRoutes: v.Routes, versionPools: v.Pools, versionHash: int64(v.Hash), versionUnconfirmed: v.UnconfirmedMS,
	}
}

func versionsOf(m map[string]int64) tablesync.Versions {
	return tablesync.Versions{
		Routes: m[versionRoutes], Pools: m[versionPools], Hash: uint64(m[versionHash]), UnconfirmedMS: m[versionUnconfirmed],
	}
}

// transientPeer is a host that is known only because it sent a message.
type transientPeer struct {
	address string
	until   time.Time
}

// join starts the search for other hosts.
func (h *Host) join(now time.Time) {
	var own []string
	foreign := map[string][]string{}
	for _, s := range h.cfg.Peers.Seeds {
		a := joinAddress(s.Peer, s.Caller)
		if s.Domain == h.cfg.Host.Domain {
			own = append(own, a)
		} else {
			foreign[s.Domain] = append(foreign[s.Domain], a)
		}
	}
	h.summaries.SetSeeds(foreign)
	h.updatePeers(now)
	h.sendMembership(h.members.Join(now, own))
}

// tickMembers advances membership and what depends on it.
func (h *Host) tickMembers(now time.Time) {
	h.members.SetVersions(versionMap(h.sync.Versions(now)))
	h.sendMembership(h.members.Tick(now, h.rng))
	if events := h.members.TakeEvents(); len(events) > 0 {
		for _, e := range events {
			h.noteMember(now, e)
			h.log.Info().Str("event", string(e.Kind)).Str("member", e.Member.Name).Int64("incarnation", e.Member.Incarnation).Msg("membership changed")
		}
		h.membersChanged(now)
	}
	for _, s := range h.summaries.Tick(now, h.members.Live(now), h.buildSummary) {
		h.sendTo(s.Name, s.Address, kindSummary, s.Summary)
	}
}

// noteMember records which hosts are back, removed or replaced.
func (h *Host) noteMember(now time.Time, e membership.Event) {
	name := e.Member.Name
	h.peersMu.Lock()
	switch e.Kind {
	case membership.Joined, membership.Replaced, membership.Refuted:
		delete(h.ended, name)
		delete(h.removed, name)
		delete(h.withdrawn, name)
	case membership.Withdrawn:
		h.withdrawn[name] = true
	case membership.Removed:
		h.removed[name] = now
		if h.withdrawn[name] {
			// A graceful exit.
			h.ended[name] = now
			delete(h.withdrawn, name)
		}
	}
	h.peersMu.Unlock()
	if e.Kind == membership.Replaced {
		h.eachDispatcher(func(p *pool, d *dispatching) { h.deliver(p, d.slots.HostEnded(now, name)) })
	}
}

// lostHosts returns the hosts of the own domain, sorted by name, that were
// removed by timeout within slots.LostHold and may still be alive.
func (h *Host) lostHosts(now time.Time) []string {
	h.peersMu.Lock()
	var out []string
	for name, at := range h.removed {
		if now.Sub(at) >= slots.LostHold {
			delete(h.removed, name)
		} else {
			out = append(out, name)
		}
	}
	h.peersMu.Unlock()
	out = slices.DeleteFunc(out, h.hasEnded)
	slices.Sort(out)
	return out
}

// eachDispatcher calls fn for the pools that this host dispatches.
func (h *Host) eachDispatcher(fn func(*pool, *dispatching)) {
	for _, p := range h.poolList() {
		p.mu.Lock()
		d := p.dispatching
		p.mu.Unlock()
		if d != nil {
			fn(p, d)
		}
	}
}

// membersChanged passes the new view to everything that follows it.
func (h *Host) membersChanged(now time.Time) {
	h.updatePeers(now)
	candidates, _ := h.domainHosts(now)
	h.sync.SetLive(candidates)
	h.electDispatchers(now)
	for _, m := range h.members.Live(now) {
		h.eachDispatcher(func(_ *pool, d *dispatching) { d.slots.HostLive(m.Name) })
	}
	h.freeGone(now)
	h.rebuildLookups(now)
}

// hasEnded reports whether the last known process of a host has ended: its
// address refused a connection, or the platform's list, which lags, no longer
// names it.
func (h *Host) hasEnded(name string) bool {
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	if _, ok := h.ended[name]; ok {
		return true
	}
	list := h.platformList()
	return len(list) > 0 && !slices.ContainsFunc(list, func(p platform.Host) bool { return p.Name == name })
}

// freeGone lets the dispatchers of this host know which members are gone and
// which of them have ended.
func (h *Host) freeGone(now time.Time) {
	for _, m := range h.members.Members(now) {
		if m.State == membership.Dead {
			h.hostGone(now, m.Name)
		}
	}
}

// hostGone frees what a dead host held at the dispatchers of this host.
func (h *Host) hostGone(now time.Time, name string) {
	h.eachDispatcher(func(p *pool, d *dispatching) {
		for _, k := range p.placedBy(d, name) {
			h.unplace(p, k, slotRelease{})
		}
		if h.hasEnded(name) {
			h.deliver(p, d.slots.HostEnded(now, name))
			return
		}
		h.deliver(p, d.slots.HostGone(now, name))
	})
}

// placedBy returns the requests of a host that the dispatcher has placed.
func (p *pool) placedBy(d *dispatching, host string) []placedKey {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []placedKey
	for k := range d.placed {
		if k.host == host {
			keys = append(keys, k)
		}
	}
	return keys
}

// domainHosts returns the hosts of the own domain that may hold a role, and
// all that are not dead.
func (h *Host) domainHosts(now time.Time) (candidates, all []string) {
	for _, m := range h.members.Live(now) {
		all = append(all, m.Name)
		if m.IsUsable() {
			candidates = append(candidates, m.Name)
		}
	}
	if len(candidates) == 0 {
		candidates = []string{h.cfg.Host.Name}
	}
	return candidates, all
}

// foreignHosts returns the known entry hosts of other domains: those of fresh
// summaries, else the seeds.
func (h *Host) foreignHosts(now time.Time) map[string][]membership.EntryHost {
	out := map[string][]membership.EntryHost{}
	expired := map[string]bool{}
	for _, s := range h.summaries.List(now) {
		if s.Expired {
			expired[s.Domain] = true
			continue
		}
		out[s.Domain] = h.running(now, s.Hosts)
	}
	for _, s := range h.cfg.Peers.Seeds {
		// After a summary expired the domain is cut off or dead; before the
		// first one, the seeds are the best guess.
		if s.Domain == h.cfg.Host.Domain || len(out[s.Domain]) >= membership.MaxSummaryHosts || expired[s.Domain] || h.hasSummary(s.Domain) {
			continue
		}
		out[s.Domain] = append(out[s.Domain], membership.EntryHost{Name: s.Name, Address: joinAddress(s.Peer, s.Caller)})
	}
	return out
}

func (h *Host) hasSummary(domain string) bool {
	return slices.ContainsFunc(h.summaries.List(time.Now()), func(s membership.SummaryView) bool { return s.Domain == domain })
}

// running leaves out hosts whose address refused a connection lately; their
// domain's summary may name them until it expires.
func (h *Host) running(now time.Time, hosts []membership.EntryHost) []membership.EntryHost {
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	var out []membership.EntryHost
	for _, e := range hosts {
		if at, ok := h.ended[e.Name]; !ok || now.Sub(at) >= membership.SummaryExpiry {
			out = append(out, e)
		}
	}
	return out
}

// rememberPeer makes a host reachable that asked for something.
func (h *Host) rememberPeer(now time.Time, o origin) {
	if _, err := parseAddress(o.Address); err != nil {
		return
	}
	h.peersMu.Lock()
	_, known := h.transient[o.Name]
	h.transient[o.Name] = transientPeer{o.Address, now.Add(transientPeerTime)}
	h.peersMu.Unlock()
	if !known {
		h.updatePeers(now)
	}
}

// updatePeers gives the mesh the addresses of all known hosts.
func (h *Host) updatePeers(now time.Time) {
	full := map[string]string{}
	for _, s := range h.cfg.Peers.Seeds {
		full[s.Name] = joinAddress(s.Peer, s.Caller)
	}
	for _, host := range h.platformList() {
		full[host.Name] = host.Address
	}
	for _, hosts := range h.foreignHosts(now) {
		for _, e := range hosts {
			full[e.Name] = e.Address
		}
	}
	h.peersMu.Lock()
	for name, t := range h.transient {
		if now.After(t.until) {
			delete(h.transient, name)
			continue
		}
		full[name] = t.address
	}
	h.peersMu.Unlock()
	for _, m := range h.members.Live(now) {
		full[m.Name] = m.Address
	}
	delete(full, h.cfg.Host.Name)
	mesh := make(map[string]string, len(full))
	names := make(map[string]string, len(full))
	for name, text := range full {
		a, err := parseAddress(text)
		if err != nil {
			continue
		}
		mesh[name] = a.Peer.String()
		names[text] = name
	}
	h.peersMu.Lock()
	h.names, h.addresses = names, full
	h.peersMu.Unlock()
	h.mesh.SetPeers(mesh)
}

// platformList returns the platform's list of hosts as last read.
func (h *Host) platformList() []platform.Host {
	if l := h.hostList.Load(); l != nil {
		return *l
	}
	return nil
}

// buildSummary describes the own domain for the others.
func (h *Host) buildSummary(version int64) membership.Summary {
	now := time.Now()
	live := h.members.Live(now)
	s := membership.Summary{
		Versions: versionMap(h.sync.Versions(now)), Headroom: h.headroom(now),
	}
	for _, m := range membership.ChooseEntryHosts(h.cfg.Host.Domain, version, live) {
		s.Hosts = append(s.Hosts, membership.EntryHost{
			Name: m.Name, Address: m.Address, Incarnation: m.Incarnation, KeyPrefix: h.keyPrefix(now, m), Holds: m.Holds,
		})
	}
	return s
}

// keyPrefix returns the prefix of keys that a host of the own domain owns. The
// window is the time since its incarnation, which every host can compute.
func (h *Host) keyPrefix(now time.Time, m membership.Member) string {
	id := once.Identity{Domain: h.cfg.Host.Domain, Host: m.Name, Incarnation: m.Incarnation}
	window := max(0, int64(now.Sub(time.UnixMilli(m.Incarnation))/once.Window))
	return once.FormatPrefix(id, window) + "."
}

// headroom returns the free slots of the pools that this host dispatches.
func (h *Host) headroom(now time.Time) map[string]int64 {
	out := map[string]int64{}
	for _, p := range h.poolList() {
		p.mu.Lock()
		d := p.dispatching
		p.mu.Unlock()
		if d != nil {
			out[p.name] = int64(d.slots.Headroom(now).Free)
		}
	}
	return out
}
