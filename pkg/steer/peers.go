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

const (
	// peerTimeout is the time without a beacon after which a host of the same group
	// counts as gone.
	peerTimeout = 1200 * time.Millisecond
	// digestPeerTimeout is the time without a beacon, as reported by digests, after
	// which a host of another group counts as gone. It is longer than peerTimeout
	// because the host's last beacon is up to maxBeaconInterval older than the
	// digest that reports it, and because digests may be lost.
	digestPeerTimeout = 2500 * time.Millisecond
	// forgetAfter is how long a silent host stays in the list.
	forgetAfter = 30 * time.Second
	// minRestartGap is the time without a beacon of the known process after which
	// a process with an earlier start time is taken for its successor; see
	// supersededBy. It is longer than the delay of datagrams in the network and
	// than any beacon interval.
	minRestartGap = 500 * time.Millisecond
	// minFetchPause is how long no changes are fetched from a host after one failed
	// transfer; others take over meanwhile. It doubles up to maxFetchPauseDoublings times.
	minFetchPause          = 5 * time.Second
	maxFetchPauseDoublings = 3
	// maxAgeWithoutFetch is the age of the copy from which on a host asks also those from
	// which a transfer has just failed. The others have taken over before, if they can.
	maxAgeWithoutFetch = 3 * time.Second
	// maxUnpublished bounds the hosts that describe themselves in datagrams and are not in
	// the list of published hosts. It is above the number of hosts that start together.
	maxUnpublished = 1024
	// joinPeriod is how long beacons and digests include descriptions after a host
	// has become known for the first time.
	joinPeriod = 2 * time.Second
)

// peerState is what this host knows of another entry host.
type peerState struct {
	host fleet.EntryHost
	addr netip.AddrPort
	// published is set if the host is in the list of published hosts.
	published bool
	// heardAt is when a beacon of the host last reached this host or the sender of
	// a digest. It is zero until a beacon or a digest has arrived.
	heardAt time.Time
	// viaDigest is set if heardAt comes from a digest and the host is of another
	// group.
	viaDigest bool
	// replacedMS is the start time of the process that this one has replaced, 0 if none is
	// known. The store may list that process again.
	replacedMS int64
	// knownSince is when this host first learned of the process.
	knownSince time.Time
	leaving    bool
	ready      bool
	// watching is set if the host watched the store at its last beacon.
	watching bool
	// copyAge is the age of the host's copy of the store at that time.
	copyAge time.Duration
	// changePositions are the positions at which objects of each kind last changed
	// in that copy.
	changePositions [feed.NumKinds]feed.Position
	// held is set if the host knows something from before the store came back from an
	// older copy.
	held bool
	// failedFetches is the number of failed transfers from the host since the last one
	// that succeeded, and failedAt when the last one failed.
	failedFetches int
	failedAt      time.Time
}

// fetchable reports whether changes may be fetched from the host. Its beacons may arrive
// although transfers from it fail; the pause after a failed one doubles with each.
func (p *peerState) fetchable(now time.Time) bool {
	if p.failedFetches == 0 {
		return true
	}
	pause := minFetchPause << min(p.failedFetches-1, maxFetchPauseDoublings)
	return now.Sub(p.failedAt) >= pause
}

// era returns the earliest era of the host's copies.
func (p *peerState) era() int64 { return earliestEra(p.changePositions) }

func earliestEra(positions [feed.NumKinds]feed.Position) int64 {
	era := positions[0].Era
	for _, at := range positions {
		era = min(era, at.Era)
	}
	return era
}

// supersededBy reports whether a process of the host with the start time startedMS,
// in Unix milliseconds, is the successor of the known process although its start
// time is earlier. That is so if the known process has been silent for longer than
// minRestartGap: the wall clock was then set back between the two starts.
func (p *peerState) supersededBy(now time.Time, startedMS int64) bool {
	return startedMS < p.host.StartedMS && now.Sub(p.heardAt) > minRestartGap
}

// timeout returns the time without news after which the host counts as gone.
func (p *peerState) timeout() time.Duration {
	if p.viaDigest {
		return digestPeerTimeout
	}
	return peerTimeout
}

func (p *peerState) alive(now time.Time) bool { return now.Sub(p.heardAt) < p.timeout() }

// lastNews returns when the host was last heard of, or when it became known.
func (p *peerState) lastNews() time.Time {
	if p.heardAt.After(p.knownSince) {
		return p.heardAt
	}
	return p.knownSince
}

// peers is the list of the other entry hosts of all regions.
type peers struct {
	self    fleet.EntryHost
	started time.Time

	mu    sync.RWMutex
	hosts map[string]*peerState
	// unpublished is the number of hosts that are not published.
	unpublished int
	// nameByID maps the sightingID of each host to its name.
	nameByID map[uint32]string
	// group is the set of names of the other hosts of this host's group.
	// beaconTargets computes it again once groupOutdated is set.
	group         map[string]bool
	groupOutdated bool
	// lastJoin is when a new process of the region last became known.
	lastJoin time.Time
}

func newPeers(self fleet.EntryHost) *peers {
	return &peers{self: self, started: time.Now(), lastJoin: time.Now(), hosts: map[string]*peerState{}, nameByID: map[uint32]string{}, group: map[string]bool{}}
}

// addPublished records a host from the list of published hosts. The error means
// that its peer address is invalid.
func (p *peers) addPublished(h fleet.EntryHost) error { return p.addOrReplace(h, time.Time{}) }

// addDescribed records a host from a beacon, in which it describes itself, or from
// a digest, in which a member of its group describes it.
func (p *peers) addDescribed(now time.Time, h fleet.EntryHost) error { return p.addOrReplace(h, now) }

// addOrReplace records a host. If it is known already, only a newer process replaces
// the known one. describedAt is when the description arrived, and zero for published
// hosts, whose entries may be old.
func (p *peers) addOrReplace(h fleet.EntryHost, describedAt time.Time) error {
	if h.Name == p.self.Name {
		return nil
	}
	addr, err := netip.ParseAddrPort(h.PeerAddress)
	if err != nil {
		return errors.Annotatef(err, "entry host %q", h.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.hosts[h.Name]
	published := describedAt.IsZero() || known != nil && known.published
	if known != nil && published && !known.published {
		known.published = true
		p.unpublished--
	}
	if known == nil && !published {
		if p.unpublished >= maxUnpublished {
			p.forgetSilent(describedAt)
		}
		if p.unpublished >= maxUnpublished {
			return errors.Errorf("entry host %.64q ignored: %d hosts are not in the published list", h.Name, p.unpublished)
		}
		p.unpublished++
	}
	if known == nil || known.host.StartedMS < h.StartedMS && h.StartedMS != known.replacedMS || !describedAt.IsZero() && known.supersededBy(describedAt, h.StartedMS) {
		replacedMS := int64(0)
		if known != nil {
			replacedMS = known.host.StartedMS
			delete(p.nameByID, sightingID(known.host))
		}
		p.hosts[h.Name] = &peerState{host: h, addr: addr, published: published, replacedMS: replacedMS, knownSince: time.Now()}
		p.nameByID[sightingID(h)] = h.Name
		if h.Region == p.self.Region {
			p.lastJoin = time.Now()
			p.groupOutdated = p.groupOutdated || known == nil
		}
	}
	return nil
}

// forgetSilent removes the unpublished hosts that have been silent for forgetAfter. The
// caller holds the lock.
func (p *peers) forgetSilent(now time.Time) {
	for name, s := range p.hosts {
		if !s.published && now.Sub(s.lastNews()) > forgetAfter {
			p.remove(name, s)
		}
	}
}

// remove removes a host. The caller holds the lock.
func (p *peers) remove(name string, s *peerState) {
	delete(p.hosts, name)
	delete(p.nameByID, sightingID(s.host))
	p.groupOutdated = true
	if !s.published {
		p.unpublished--
	}
}

// updateGroup computes the members of this host's group again if hosts came or
// went. The caller holds the lock.
func (p *peers) updateGroup() {
	if !p.groupOutdated {
		return
	}
	p.groupOutdated = false
	var region []groups.Host
	for name, s := range p.hosts {
		if s.host.Region == p.self.Region {
			region = append(region, groups.Host{Name: name, Domain: s.host.Domain})
		}
	}
	p.group = groups.Members(groups.Host{Name: p.self.Name, Domain: p.self.Domain}, region)
}

// applyDigest updates the hosts that a digest lists and reports whether it lists an
// unknown host.
func (p *peers) applyDigest(now time.Time, digest []sighting) (unknown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range digest {
		s := p.hosts[p.nameByID[d.ID]]
		if s == nil {
			unknown = unknown || d.ID != sightingID(p.self)
			continue
		}
		if at := now.Add(-time.Duration(d.AgeMS) * time.Millisecond); at.After(s.heardAt) {
			s.heardAt, s.viaDigest, s.leaving, s.ready = at, !p.group[s.host.Name], d.Leaving, d.Ready
		}
	}
	return unknown
}

// digest returns the live members of this host's group, the descriptions of those
// that joined recently, and the addresses of the hosts of other groups to which
// this host sends them.
func (p *peers) digest(now time.Time, leaving, ready bool) (sightings []sighting, joined []fleet.EntryHost, receivers []netip.AddrPort) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	sightings = []sighting{{ID: sightingID(p.self), Leaving: leaving, Ready: ready}}
	if now.Sub(p.started) < joinPeriod {
		joined = append(joined, p.self)
	}
	var members, outside []string
	for name, s := range p.hosts {
		switch {
		case s.host.Region != p.self.Region:
		case !p.group[name]:
			outside = append(outside, name)
		case s.alive(now) && !s.viaDigest:
			members = append(members, name)
			sightings = append(sightings, sighting{
				ID: sightingID(s.host), AgeMS: uint32(max(now.Sub(s.heardAt), 0).Milliseconds()), Leaving: s.leaving, Ready: s.ready,
			})
			if now.Sub(s.knownSince) < joinPeriod {
				joined = append(joined, s.host)
			}
		}
	}
	for _, name := range groups.DigestReceivers(p.self.Name, members, outside) {
		receivers = append(receivers, p.hosts[name].addr)
	}
	return sightings, joined, receivers
}

// recordBeacon records a beacon of a host's process. It reports whether the process
// is known; it may not be, because not every beacon describes its sender.
func (p *peers) recordBeacon(now time.Time, from string, startedMS int64, b *beacon) (known bool, err error) {
	if b.Host != nil {
		if err := p.addDescribed(now, *b.Host); err != nil {
			return false, err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.hosts[from]
	if s == nil || s.host.StartedMS < startedMS {
		return false, nil
	}
	if s.host.StartedMS > startedMS {
		// Either a delayed beacon of the previous process, or a new process that
		// started after the clock was set back.
		return !s.supersededBy(now, startedMS), nil
	}
	s.heardAt, s.viaDigest, s.leaving, s.ready = now, false, b.Leaving, b.Ready
	s.watching, s.copyAge, s.changePositions, s.held = b.Watching, time.Duration(b.AgeMS)*time.Millisecond, b.changePositions(), b.Held > 0
	return true, nil
}

// recentJoin reports whether this host or another one of the region joined
// recently, so that beacons must describe their senders.
func (p *peers) recentJoin(now time.Time) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return now.Sub(p.lastJoin) < joinPeriod
}

// hostStates returns the states of the other live hosts of the group that are not
// shutting down, as input to feed.ChooseRole. If starting is set, it includes
// published hosts that no beacon or digest has reported yet, as hosts that do not
// watch the store.
func (p *peers) hostStates(now time.Time, starting bool) []feed.HostState {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []feed.HostState
	for name, s := range p.hosts {
		state := feed.HostState{Host: name, Capacity: s.host.Capacity}
		switch {
		case !p.group[name]:
			continue
		case s.alive(now) && !s.viaDigest && !s.leaving:
			state.Watching, state.Age, state.Era = s.watching && s.fetchable(now), s.copyAge+now.Sub(s.heardAt), s.era()
		case !starting || !s.heardAt.IsZero():
			continue
		}
		out = append(out, state)
	}
	return out
}

// furthestAhead returns the host of the group whose copy of the store is the
// furthest ahead of this host's positions, or "" if none is ahead. A later era goes
// before any lead in revisions. If this host has no tables yet, hosts of other regions
// are considered too. Hosts from which a transfer has just failed are considered if there
// is no other, and this host has no tables or a copy that is old. Hosts that are shutting
// down are considered because they still serve their copies.
func (p *peers) furthestAhead(now time.Time, own [feed.NumKinds]feed.Position, age time.Duration) string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	best, bestLead, bestFetchable := "", feed.Position{}, false
	noTables := !own[feed.Tables].Known()
	anyFetchable := noTables || age >= maxAgeWithoutFetch
	for name, s := range p.hosts {
		otherRegion := s.host.Region != p.self.Region && noTables
		fetchable := s.fetchable(now)
		if !p.group[name] && !otherRegion || !s.alive(now) || s.viaDigest || !fetchable && (bestFetchable || !anyFetchable) {
			continue
		}
		lead := feed.Position{} // sums over the kinds
		for k, at := range s.changePositions {
			switch {
			case !own[k].Before(at):
			case at.Era > own[k].Era:
				lead.Era += at.Era - own[k].Era
				lead.Revision += at.Revision
			default:
				lead.Revision += at.Revision - own[k].Revision
			}
		}
		firstFetchable := fetchable && !bestFetchable && lead.Known()
		if firstFetchable || bestLead.Before(lead) || lead == bestLead && lead.Known() && name < best {
			best, bestLead, bestFetchable = name, lead, fetchable
		}
	}
	return best
}

// pickHolder returns a live host of the group that knows something from before the store
// came back from an older copy, whose copies are of the era or a later one, and that is
// not in asked; or "".
func (p *peers) pickHolder(now time.Time, era int64, asked map[string]bool) string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	first := ""
	for name, s := range p.hosts {
		if p.group[name] && s.held && !asked[name] && s.alive(now) && !s.viaDigest && s.fetchable(now) && s.era() >= era && (first == "" || name < first) {
			first = name
		}
	}
	return first
}

// recordFetch records the outcome of a transfer of changes from a host.
func (p *peers) recordFetch(now time.Time, name string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s := p.hosts[name]; {
	case s == nil:
	case ok:
		s.failedFetches = 0
	default:
		s.failedFetches++
		s.failedAt = now
	}
}

// get returns the state of a host, and whether the host is known.
func (p *peers) get(name string) (peerState, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if s := p.hosts[name]; s != nil {
		return *s, true
	}
	return peerState{}, false
}

// all returns the known hosts of all regions, including this one.
func (p *peers) all() []fleet.EntryHost {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := []fleet.EntryHost{p.self}
	for _, s := range p.hosts {
		out = append(out, s.host)
	}
	return out
}

// count returns the number of known hosts of all regions, including this one.
func (p *peers) count() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.hosts) + 1
}

// groupSize returns the number of hosts in this host's group, including this one.
func (p *peers) groupSize() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.group) + 1
}

// live returns the live hosts of this host's region that take callers, without
// this one.
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

// reportTargets returns the addresses for reports about a pool in the other regions:
// the pool's dispatcher in each region that dispatchers lists, and in each other
// region the n hosts that rank first for dispatching the pool.
func (p *peers) reportTargets(pool string, n int, dispatchers map[string]string) []netip.AddrPort {
	p.mu.RLock()
	defer p.mu.RUnlock()
	regions := map[string][]rendezvous.WeightedHost{}
	for name, s := range p.hosts {
		if s.host.Region != p.self.Region {
			regions[s.host.Region] = append(regions[s.host.Region], rendezvous.WeightedHost{Host: name, Capacity: s.host.Capacity})
		}
	}
	var out []netip.AddrPort
	for region, candidates := range regions {
		if s := p.hosts[dispatchers[region]]; s != nil {
			out = append(out, s.addr)
			continue
		}
		candidates = rendezvous.WithMinCapacity(candidates, minDispatcherShare)
		for range min(n, len(candidates)) {
			first := rendezvous.PickWeighted(pool, candidates)
			out = append(out, p.hosts[first].addr)
			candidates = slices.DeleteFunc(candidates, func(c rendezvous.WeightedHost) bool { return c.Host == first })
		}
	}
	return out
}

// beaconTargets returns the addresses of the members of the group in the same
// failure domain as this host if near is set, and otherwise of those in other
// domains. It also removes the hosts of these domains that have been silent for
// forgetAfter.
func (p *peers) beaconTargets(now time.Time, near bool) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateGroup()
	var out []netip.AddrPort
	for name, s := range p.hosts {
		if s.host.Region != p.self.Region || (s.host.Domain == p.self.Domain) != near {
			continue
		}
		if !s.heardAt.IsZero() && now.Sub(s.heardAt) > forgetAfter {
			p.remove(name, s)
			continue
		}
		if p.group[name] {
			out = append(out, s.addr)
		}
	}
	return out
}

// addressesOutsideGroup returns the addresses of the named hosts that are not in
// this host's group.
func (p *peers) addressesOutsideGroup(names map[string]bool) []netip.AddrPort {
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

// newlySilent returns the names of the hosts that exceeded their timeout within the
// last interval.
func (p *peers) newlySilent(now time.Time, interval time.Duration) []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []string
	for name, s := range p.hosts {
		if overdue := now.Sub(s.heardAt) - s.timeout(); !s.heardAt.IsZero() && overdue >= 0 && overdue < interval {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
