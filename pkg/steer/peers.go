package steer

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/groups"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// Times after which a host counts as gone.
const (
	// peerLife is the time without a beacon after which a host counts as gone,
	// digestLife that for a host of another group: its last beacon was heard up to
	// beaconMost before the digest, and digests are lost.
	peerLife   = 1200 * time.Millisecond
	digestLife = 2500 * time.Millisecond
	// forgetAfter is how long a silent host is kept in the list.
	forgetAfter = 30 * time.Second
	// processGap is longer than datagrams are late, and than the interval of any
	// beacons.
	processGap = 500 * time.Millisecond
	// joinedTime is how long beacons and digests describe hosts because one is
	// new.
	joinedTime = 2 * time.Second
)

// peerState is what is known of another host.
type peerState struct {
	host  fleet.EntryHost
	addr  netip.AddrPort
	heard time.Time // zero until a beacon or a digest arrived
	// far is set if the host was last heard of by a digest.
	far bool
	// known is when its process was first heard of.
	known   time.Time
	leaving bool
	ready   bool
	// watching, age and versions describe its copy of the store when heard.
	watching bool
	age      time.Duration
	versions [feed.Kinds]int64
}

// follows reports whether a process with an earlier start than the known one is
// the one after it, because the time of day went back meanwhile: the known one
// has been silent.
func (p *peerState) follows(now time.Time, started int64) bool {
	return started < p.host.Started && now.Sub(p.heard) > processGap
}

// life is the time without news after which the host counts as gone.
func (p *peerState) life() time.Duration {
	if p.far {
		return digestLife
	}
	return peerLife
}

func (p *peerState) alive(now time.Time) bool { return now.Sub(p.heard) < p.life() }

// peers is the list of entry hosts.
type peers struct {
	self    fleet.EntryHost
	started time.Time

	mu    sync.RWMutex
	hosts map[string]*peerState
	// ids are the names of the hosts by sightingID.
	ids map[uint32]string
	// group are the names of the other hosts of the own group. It is found anew
	// by targets once regroup is set.
	group   map[string]bool
	regroup bool
	// newest is when a process of the region was last heard of for the first time.
	newest time.Time
}

func newPeers(self fleet.EntryHost) *peers {
	return &peers{self: self, started: time.Now(), newest: time.Now(), hosts: map[string]*peerState{}, ids: map[uint32]string{}, group: map[string]bool{}}
}

// add records a host that was published. The error says that its entry cannot
// be used.
func (p *peers) add(h fleet.EntryHost) error { return p.record(h, time.Time{}) }

// meet records a host that described itself, or that a member of its group
// described.
func (p *peers) meet(now time.Time, h fleet.EntryHost) error { return p.record(h, now) }

// record records a host. met is zero for published hosts.
func (p *peers) record(h fleet.EntryHost, met time.Time) error {
	if h.Name == p.self.Name {
		return nil
	}
	addr, err := netip.ParseAddrPort(h.Peer)
	if err != nil {
		return errors.Annotatef(err, "entry host %q", h.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.hosts[h.Name]
	if known == nil || known.host.Started < h.Started || !met.IsZero() && known.follows(met, h.Started) {
		if known != nil {
			delete(p.ids, sightingID(known.host))
		}
		p.hosts[h.Name] = &peerState{host: h, addr: addr, known: time.Now()}
		p.ids[sightingID(h)] = h.Name
		if h.Region == p.self.Region {
			p.newest = time.Now()
			p.regroup = p.regroup || known == nil
		}
	}
	return nil
}

// findGroup finds the members of the own group if hosts came or went. The caller
// holds the lock.
func (p *peers) findGroup() {
	if !p.regroup {
		return
	}
	p.regroup = false
	var region []groups.Host
	for name, s := range p.hosts {
		if s.host.Region == p.self.Region {
			region = append(region, groups.Host{Name: name, Domain: s.host.Domain})
		}
	}
	p.group = groups.Of(groups.Host{Name: p.self.Name, Domain: p.self.Domain}, region)
}

// sight takes a digest and reports whether it names an unknown host.
func (p *peers) sight(now time.Time, digest []sighting) (unknown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range digest {
		s := p.hosts[p.ids[d.ID]]
		if s == nil {
			unknown = unknown || d.ID != sightingID(p.self)
			continue
		}
		if at := now.Add(-time.Duration(d.AgeMS) * time.Millisecond); at.After(s.heard) {
			s.heard, s.far, s.leaving, s.ready = at, !p.group[s.host.Name], d.Leaving, d.Ready
		}
	}
	return unknown
}

// digest returns the live members of the own group, those of them that came
// lately, and the addresses of the hosts of other groups that this one tells of
// them.
func (p *peers) digest(now time.Time, leaving, ready bool) (seen []sighting, joined []fleet.EntryHost, to []netip.AddrPort) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	seen = []sighting{{ID: sightingID(p.self), Leaving: leaving, Ready: ready}}
	if now.Sub(p.started) < joinedTime {
		joined = append(joined, p.self)
	}
	var members, outside []string
	for name, s := range p.hosts {
		switch {
		case s.host.Region != p.self.Region:
		case !p.group[name]:
			outside = append(outside, name)
		case s.alive(now) && !s.far:
			members = append(members, name)
			seen = append(seen, sighting{
				ID: sightingID(s.host), AgeMS: uint32(max(now.Sub(s.heard), 0).Milliseconds()), Leaving: s.leaving, Ready: s.ready,
			})
			if now.Sub(s.known) < joinedTime {
				joined = append(joined, s.host)
			}
		}
	}
	for _, name := range groups.Receivers(p.self.Name, members, outside) {
		to = append(to, p.hosts[name].addr)
	}
	return seen, joined, to
}

// hear records a beacon of a host's process. It reports whether the process is
// known: a beacon does not always describe its sender.
func (p *peers) hear(now time.Time, from string, started int64, b *beacon) (known bool, err error) {
	if b.Host != nil {
		if err := p.meet(now, *b.Host); err != nil {
			return false, err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.hosts[from]
	if s == nil || s.host.Started < started {
		return false, nil
	}
	if s.host.Started > started {
		// A late beacon of the process before, or the clock went back.
		return !s.follows(now, started), nil
	}
	s.heard, s.far, s.leaving, s.ready = now, false, b.Leaving, b.Ready
	s.watching, s.age, s.versions = b.Watching, time.Duration(b.AgeMS)*time.Millisecond, b.Versions
	return true, nil
}

// joining reports whether this host or another one of the region is new, so
// that beacons have to describe their senders.
func (p *peers) joining(now time.Time) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return now.Sub(p.newest) < joinedTime
}

// copies returns the copies of the store of the group's other hosts. At the
// start of the process hosts that were published and not heard yet have an old
// one.
func (p *peers) copies(now time.Time, starting bool) []feed.Copy {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []feed.Copy
	for name, s := range p.hosts {
		c := feed.Copy{Host: name, Capacity: s.host.Capacity}
		switch {
		case !p.group[name]:
			continue
		case s.alive(now) && !s.far && !s.leaving:
			c.Watching, c.Age = s.watching, s.age+now.Sub(s.heard)
		case !starting || !s.heard.IsZero():
			continue
		}
		out = append(out, c)
	}
	return out
}

// ahead returns the host whose copy of the store is the furthest ahead of the
// given revisions, or "" if there is none. A host without any copy takes that of
// another region, too. A host that leaves still has its copy.
func (p *peers) ahead(now time.Time, revisions [feed.Kinds]int64) string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	best, most := "", int64(0)
	for name, s := range p.hosts {
		abroad := s.host.Region != p.self.Region && revisions[feed.Tables] == 0
		if !p.group[name] && !abroad || !s.alive(now) || s.far {
			continue
		}
		lead := int64(0)
		for k, version := range s.versions {
			lead += max(version-revisions[k], 0)
		}
		if lead > most || lead == most && lead > 0 && name < best {
			best, most = name, lead
		}
	}
	return best
}

// get returns what is known of a host.
func (p *peers) get(name string) (peerState, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if s := p.hosts[name]; s != nil {
		return *s, true
	}
	return peerState{}, false
}

// all returns the known hosts of all regions and this one.
func (p *peers) all() []fleet.EntryHost {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := []fleet.EntryHost{p.self}
	for _, s := range p.hosts {
		out = append(out, s.host)
	}
	return out
}

// count returns the number of known hosts, this one included.
func (p *peers) count() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.hosts) + 1
}

// groupSize returns the number of hosts of the own group, this one included.
func (p *peers) groupSize() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.group) + 1
}

// live returns the hosts of the own region that were heard lately and take
// callers, this one not included.
func (p *peers) live(now time.Time) []fleet.EntryHost {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []fleet.EntryHost
	for _, s := range p.hosts {
		if s.host.Region == p.self.Region && s.alive(now) && s.ready && !s.leaving {
			out = append(out, s.host)
		}
	}
	return out
}

// elsewhere returns the address of the pool's dispatcher in each other region,
// or those of the n hosts that are first in line to dispatch it.
func (p *peers) elsewhere(pool string, n int, dispatchers map[string]string) []netip.AddrPort {
	p.mu.RLock()
	defer p.mu.RUnlock()
	regions := map[string][]rendezvous.Choice{}
	for name, s := range p.hosts {
		if s.host.Region != p.self.Region {
			regions[s.host.Region] = append(regions[s.host.Region], rendezvous.Choice{Host: name, Capacity: s.host.Capacity})
		}
	}
	var out []netip.AddrPort
	for region, list := range regions {
		if s := p.hosts[dispatchers[region]]; s != nil {
			out = append(out, s.addr)
			continue
		}
		list = rendezvous.Strong(list, minDispatcherShare)
		for range min(n, len(list)) {
			first := rendezvous.PickWeighted(pool, list)
			out = append(out, p.hosts[first].addr)
			list = slices.DeleteFunc(list, func(c rendezvous.Choice) bool { return c.Host == first })
		}
	}
	return out
}

// targets returns the addresses in the own group for the beacons of one kind.
func (p *peers) targets(now time.Time, near bool) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.findGroup()
	var out []netip.AddrPort
	for name, s := range p.hosts {
		if s.host.Region != p.self.Region || (s.host.Domain == p.self.Domain) != near {
			continue
		}
		if !s.heard.IsZero() && now.Sub(s.heard) > forgetAfter {
			delete(p.hosts, name)
			delete(p.ids, sightingID(s.host))
			p.regroup = true
			continue
		}
		if p.group[name] {
			out = append(out, s.addr)
		}
	}
	return out
}

// outside returns the addresses of those of the named hosts that are not in the
// own group.
func (p *peers) outside(names map[string]bool) []netip.AddrPort {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []netip.AddrPort
	for name := range names {
		if s := p.hosts[name]; s != nil && !p.group[name] {
			out = append(out, s.addr)
		}
	}
	return out
}

// silent returns the hosts that have just become silent.
func (p *peers) silent(now time.Time, since time.Duration) []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []string
	for name, s := range p.hosts {
		if silence := now.Sub(s.heard) - s.life(); !s.heard.IsZero() && silence >= 0 && silence < since {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
