// Package lookup answers which entry hosts a caller should use. A Snapshot is
// immutable: the entry host builds a new one when hosts, tables or client blocks
// change, and replaces the current one atomically.
package lookup

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
)

// Host is an entry host that may be named in an answer.
type Host struct {
	Name    string
	Domain  string
	Address netip.AddrPort
	// KeyPrefix is the common prefix of the idempotency keys that this host owns.
	KeyPrefix string
}

// Site is a client location and the failure domain that serves its clients.
type Site struct {
	Name   string
	Domain string
}

// Route is the name of a route with the pool that serves it.
type Route struct {
	Name string
	Pool string
}

// Domain is a failure domain with its region.
type Domain struct {
	Name   string
	Region string
}

// Blocks maps client address prefixes to indexes into Input.Sites. The longest
// matching prefix applies.
type Blocks = bart.Table[uint16]

// Input is the data from which Build makes a Snapshot.
type Input struct {
	Domains []Domain
	Sites   []Site
	// Blocks may be nil. The Snapshot keeps it, so it must not be changed after
	// Build.
	Blocks *Blocks
	Routes []Route
	// Hosts are the live entry hosts, without those that are leaving.
	Hosts []Host
	// Served reports whether a domain has servers for a pool; nil means yes.
	Served func(pool, domain string) bool
	// Share returns the fraction of a domain's callers that are sent to the
	// domain. It is less than 1 during the slow start of a domain that has
	// just returned. A nil func means 1. The pool is "" for callers that name
	// no route.
	Share func(pool, domain string) float64
}

func (in Input) share(pool string, d int) float64 {
	if in.Share == nil {
		return 1
	}
	return in.Share(pool, in.Domains[d].Name)
}

func (in Input) served(pool string, d int) bool {
	return pool == "" || in.Served == nil || in.Served(pool, in.Domains[d].Name)
}

// Answer is a list of entry hosts in order of preference. If the route is known,
// the first host is the dispatcher of the route's pool in the domain of that
// host.
type Answer struct {
	// Domain is the caller's domain, even if the first host is in another one.
	Domain string
	Hosts  []Host
}

const (
	// localHosts is the number of hosts that an answer lists in the caller's
	// domain, if the domain has that many.
	localHosts = 2
	// remoteDomains is the number of other domains whose hosts an answer lists, if
	// there are that many. Each contributes one host, or up to localHosts if the
	// answer does not begin with hosts of the caller's domain.
	remoteDomains = 2
)

// Snapshot holds the prepared answers of all domains and routes. It is safe for
// concurrent use.
type Snapshot struct {
	blocks      *Blocks
	siteDomain  []int // index of the domain by site; -1 if the domain is unknown
	domains     []Domain
	routes      map[string]int // index of the route by name
	answers     [][]prepared   // by domain, then route; the last entry is for callers without a known route
	liveDomains []int          // domains with at least one host
}

// prepared holds the answers for one domain and route.
type prepared struct {
	regularAnswer Answer
	// divertedAnswer is for the callers outside share during the slow start of
	// the domain; nil if no callers are diverted.
	divertedAnswer *Answer
	share          float64
}

// DispatcherKey is the rendezvous key for the dispatcher of a pool in a domain.
func DispatcherKey(pool, domain string) string { return pool + "@" + domain }

// Build prepares the answers for every domain and route.
func Build(in Input) *Snapshot {
	s := &Snapshot{blocks: in.Blocks, domains: in.Domains, routes: make(map[string]int, len(in.Routes))}
	domainIndex := make(map[string]int, len(in.Domains))
	for i, d := range in.Domains {
		domainIndex[d.Name] = i
	}
	s.siteDomain = make([]int, len(in.Sites))
	for i, site := range in.Sites {
		d, ok := domainIndex[site.Domain]
		if !ok {
			d = -1
		}
		s.siteDomain[i] = d
	}
	hostsByDomain := make([][]Host, len(in.Domains))
	for _, h := range in.Hosts {
		if d, ok := domainIndex[h.Domain]; ok {
			hostsByDomain[d] = append(hostsByDomain[d], h)
		}
	}
	for d := range hostsByDomain {
		slices.SortFunc(hostsByDomain[d], func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
		if len(hostsByDomain[d]) > 0 {
			s.liveDomains = append(s.liveDomains, d)
		}
	}
	for i, r := range in.Routes {
		s.routes[r.Name] = i
	}
	b := newBuilder(in, hostsByDomain)
	s.answers = make([][]prepared, len(in.Domains))
	for d := range in.Domains {
		s.answers[d] = make([]prepared, len(in.Routes)+1)
		byPool := map[string]prepared{}
		for i, r := range in.Routes {
			p, ok := byPool[r.Pool]
			if !ok {
				p = b.prepare(d, r.Pool)
				byPool[r.Pool] = p
			}
			s.answers[d][i] = p
		}
		s.answers[d][len(in.Routes)] = b.prepare(d, "")
	}
	return s
}

// builder holds the data that all answers of one Build are made from.
type builder struct {
	in            Input
	hostsByDomain [][]Host   // sorted by name
	hostNames     [][]string // by domain, in the order of hostsByDomain
	// failoverOrders holds the result of failoverOrder for each domain.
	failoverOrders [][]int
	// topHosts caches the first localHosts hosts of a pool in a domain in
	// rendezvous order. Without the cache they would be computed again for every
	// caller's domain, and the rendezvous weights would be most of the cost of a
	// Build.
	topHosts map[topHostsKey][]Host
}

type topHostsKey struct {
	pool   string
	domain int
}

func newBuilder(in Input, hostsByDomain [][]Host) *builder {
	b := &builder{in: in, hostsByDomain: hostsByDomain, topHosts: map[topHostsKey][]Host{}}
	for d, hosts := range hostsByDomain {
		hostNames := make([]string, len(hosts))
		for i, h := range hosts {
			hostNames[i] = h.Name
		}
		b.hostNames = append(b.hostNames, hostNames)
		b.failoverOrders = append(b.failoverOrders, failoverOrder(in.Domains, d))
	}
	return b
}

// prepare makes the answers for callers of domain d that ask for a pool.
func (b *builder) prepare(d int, pool string) prepared {
	p := prepared{regularAnswer: b.answer(d, pool), share: b.in.share(pool, d)}
	if p.share < 1 && b.in.served(pool, d) && len(b.hostsByDomain[d]) > 0 {
		p.divertedAnswer = b.divertedAnswer(d, pool)
	}
	return p
}

// answer lists hosts of domain d first and then hosts of its failover domains.
// If d has no servers for the pool, one host of d comes last.
func (b *builder) answer(d int, pool string) Answer {
	a := Answer{Domain: b.in.Domains[d].Name}
	if b.in.served(pool, d) {
		a.Hosts = append(a.Hosts, b.hosts(d, pool, localHosts)...)
	}
	// If no host of d is listed so far, each failover domain contributes two, so
	// that the answer still holds a usable host after the loss of one.
	perDomain := 1
	if len(a.Hosts) == 0 {
		perDomain = localHosts
	}
	candidates, _ := b.failoverDomains(d, pool)
	for _, i := range spreadRegions(b.in.Domains, d, candidates) {
		a.Hosts = append(a.Hosts, b.hosts(i, pool, perDomain)...)
	}
	if !b.in.served(pool, d) {
		a.Hosts = append(a.Hosts, b.hosts(d, pool, 1)...)
	}
	return a
}

// divertedAnswer lists hosts of the failover domains of d first and one host of
// d last. It returns nil if all failover domains are in slow start themselves or
// there are none.
func (b *builder) divertedAnswer(d int, pool string) *Answer {
	candidates, steady := b.failoverDomains(d, pool)
	if !steady {
		return nil
	}
	a := &Answer{Domain: b.in.Domains[d].Name}
	for n, i := range spreadRegions(b.in.Domains, d, candidates) {
		count := 1
		if n == 0 {
			count = localHosts
		}
		a.Hosts = append(a.Hosts, b.hosts(i, pool, count)...)
	}
	a.Hosts = append(a.Hosts, b.hosts(d, pool, 1)...)
	return a
}

// failoverDomains lists the domains that can take callers of domain d, in the
// order of failoverOrder. Domains in slow start are left out, unless there are
// no others. steady is true if the list holds at least one domain and none of
// them is in slow start.
func (b *builder) failoverDomains(d int, pool string) (candidates []int, steady bool) {
	var returning []int
	for _, i := range b.failoverOrders[d] {
		switch {
		case !b.in.served(pool, i) || len(b.hostsByDomain[i]) == 0:
		case b.in.share(pool, i) < 1:
			returning = append(returning, i)
		default:
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return returning, false
	}
	return candidates, true
}

// spreadRegions picks up to remoteDomains of the candidates, which are in order
// of preference: the first one, and then one whose region differs from those of
// domain d and of the first candidate, so that an answer still holds a usable
// host after the loss of a region. If there is no such domain, the next
// candidate is picked.
func spreadRegions(domains []Domain, d int, candidates []int) []int {
	if len(candidates) <= 1 {
		return candidates
	}
	preferred := candidates[0]
	out := []int{preferred}
	for _, i := range candidates[1:] {
		if len(out) < remoteDomains && domains[i].Region != domains[d].Region && domains[i].Region != domains[preferred].Region {
			out = append(out, i)
		}
	}
	for _, i := range candidates[1:] {
		if len(out) < remoteDomains && !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}

// failoverOrder lists the domains other than d, those of the same region first.
// Within each group the order is by rendezvous weight, which differs by d, so
// that the callers of several lost domains spread over the remaining ones.
func failoverOrder(domains []Domain, d int) []int {
	var out []int
	for i := range domains {
		if i != d {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b int) int {
		otherRegionA, otherRegionB := domains[a].Region != domains[d].Region, domains[b].Region != domains[d].Region
		if otherRegionA != otherRegionB {
			if otherRegionB {
				return -1
			}
			return 1
		}
		return cmp.Compare(
			rendezvous.Weight(domains[d].Name, domains[a].Name),
			rendezvous.Weight(domains[d].Name, domains[b].Name))
	})
	return out
}

// hosts returns up to n hosts of domain d, at most localHosts, in the rendezvous
// order of the pool. The first one is the pool's dispatcher.
func (b *builder) hosts(d int, pool string, n int) []Host {
	k := topHostsKey{pool, d}
	out, ok := b.topHosts[k]
	if !ok {
		for _, name := range rendezvous.Top(DispatcherKey(pool, b.in.Domains[d].Name), b.hostNames[d], localHosts) {
			i, _ := slices.BinarySearch(b.hostNames[d], name)
			out = append(out, b.hostsByDomain[d][i])
		}
		b.topHosts[k] = out
	}
	return out[:min(n, len(out))]
}

// Lookup returns the answer for a client address and a route. Callers with an
// empty or unknown route get the answer for no particular pool. Lookup reports
// false if there is no host to list, for example because no entry host is live.
// It does not allocate. The Answer must not be changed.
func (s *Snapshot) Lookup(client netip.Addr, route string) (*Answer, bool) {
	d := s.domainOf(client)
	if d < 0 {
		return nil, false
	}
	r, ok := s.routes[route]
	if !ok {
		r = len(s.routes)
	}
	p := &s.answers[d][r]
	a := &p.regularAnswer
	if p.divertedAnswer != nil && fractionOf(client.Unmap()) >= p.share {
		a = p.divertedAnswer
	}
	return a, len(a.Hosts) > 0
}

// domainOf returns the index of the client's domain. Clients outside all blocks,
// or in a block without a known domain, are spread over the live domains by
// their address. It returns -1 for these if no domain is live.
func (s *Snapshot) domainOf(client netip.Addr) int {
	client = client.Unmap()
	if s.blocks != nil {
		if site, ok := s.blocks.Lookup(client); ok && int(site) < len(s.siteDomain) && s.siteDomain[site] >= 0 {
			return s.siteDomain[site]
		}
	}
	if len(s.liveDomains) == 0 {
		return -1
	}
	return s.liveDomains[networkHash(client)%uint64(len(s.liveDomains))]
}

// Home returns the domain of the block that contains a client address. It
// reports false for addresses outside all blocks and for blocks without a known
// domain.
func (s *Snapshot) Home(client netip.Addr) (string, bool) {
	if s.blocks == nil {
		return "", false
	}
	site, ok := s.blocks.Lookup(client.Unmap())
	if !ok || int(site) >= len(s.siteDomain) || s.siteDomain[site] < 0 {
		return "", false
	}
	return s.domains[s.siteDomain[site]].Name, true
}

// networkHash returns the FNV-1a hash of the network part of an address (24 bits
// of IPv4, 48 bits of IPv6), with its upper half folded into the lower one.
// Clients of the same network are thus sent to the same domain and share its
// caches.
func networkHash(a netip.Addr) uint64 {
	b := a.As16()
	var h uint64 = 14695981039346656037
	network := b[:6]
	if a.Is4() {
		network = b[12:15]
	}
	for _, x := range network {
		h = (h ^ uint64(x)) * 1099511628211
	}
	return h ^ h>>32
}

// fractionOf maps addresses uniformly to [0, 1). The value of an address is
// fixed, so a caller that is inside a share stays inside while the share grows.
func fractionOf(a netip.Addr) float64 {
	b := a.As16()
	var h uint64 = 14695981039346656037
	for _, x := range b {
		h = (h ^ uint64(x)) * 1099511628211
	}
	// The upper bits of an FNV-1a hash depend little on the last bytes of the
	// input, so the bits are mixed again before the upper ones are used.
	h = (h ^ h>>32) * 0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return float64(h>>11) / (1 << 53)
}
