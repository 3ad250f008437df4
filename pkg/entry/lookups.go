package entry

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/lookup"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/spill"
	"github.com/tamarackswitch/tamarackswitch/pkg/settings"
)

// lookupRefresh is the longest time between two rebuilds of the answers to
// look-ups. The windows of the key prefixes lag by as much, which is little
// beside the retention of key records (10 min). With a rebuild at each new
// window, 76 hosts that started at different times would cause one per second.
const lookupRefresh = 15 * time.Second

// lookupInputs is what the answers to look-ups were built from.
type lookupInputs struct {
	tables *Tables
	blocks *clientBlocks
	hosts  []lookup.Host
	at     time.Time
}

// isCurrent reports whether a build from x would differ by key windows only.
func (in *lookupInputs) isCurrent(x *lookupInputs) bool {
	return in.tables == x.tables && in.blocks == x.blocks && slices.EqualFunc(in.hosts, x.hosts, sameProcess)
}

// sameProcess compares hosts without the windows of their key prefixes.
func sameProcess(a, b lookup.Host) bool {
	ownerA, ownerB := prefixOwner(a.KeyPrefix), prefixOwner(b.KeyPrefix)
	a.KeyPrefix, b.KeyPrefix = "", ""
	return a == b && ownerA == ownerB
}

// prefixOwner returns the part of a key prefix before the window.
func prefixOwner(prefix string) string {
	prefix = strings.TrimSuffix(prefix, ".")
	return prefix[:max(0, strings.LastIndexByte(prefix, '.'))]
}

// rebuildLookups prepares the answers to look-ups for the hosts and tables that
// are known now, if these changed or lookupRefresh has passed.
func (h *Host) rebuildLookups(now time.Time) {
	// One at a time, so that an older view never replaces a newer one.
	h.lookupMu.Lock()
	defer h.lookupMu.Unlock()
	x := lookupInputs{tables: h.tables.Load(), blocks: h.blocks.Load(), hosts: h.lookupHosts(now), at: now}
	if x.tables == nil {
		return
	}
	share := h.returnShares(now, x.tables)
	// While a domain's callers return, their share grows with time.
	returning := slices.ContainsFunc(h.cfg.Topology.Domains, func(d settings.Domain) bool { return share("", d.Name) < 1 })
	if !returning && h.built.isCurrent(&x) && now.Sub(h.built.at) < lookupRefresh {
		return
	}
	in := lookup.Input{Served: servedBy(x.tables), Share: share, Hosts: x.hosts}
	for _, d := range h.cfg.Topology.Domains {
		in.Domains = append(in.Domains, lookup.Domain{Name: d.Name, Region: d.Region})
	}
	for _, r := range x.tables.Routes.Routes {
		in.Routes = append(in.Routes, lookup.Route{Name: r.Name, Pool: r.Pool})
	}
	if x.blocks != nil {
		in.Sites, in.Blocks = x.blocks.sites, x.blocks.table
	}
	h.lookups.Store(lookup.Build(in))
	h.built = x
}

// returnShares tells which fraction of a domain's callers look-ups send to it,
// by pool; the smallest cap holds for callers that name no route.
func (h *Host) returnShares(now time.Time, t *Tables) func(pool, domain string) float64 {
	for _, s := range h.summaries.List(now) {
		h.returns.Observe(now, s.Domain, !s.Expired)
	}
	caps, smallest := map[string]float64{}, 1.0
	for _, p := range t.Pools.Pools {
		caps[p.Name] = p.WithDefaults().ShiftCap
		smallest = min(smallest, caps[p.Name])
	}
	return func(pool, domain string) float64 {
		back, returned := h.returns.Back(now, domain)
		if !returned {
			return 1
		}
		if c, ok := caps[pool]; ok {
			return spill.ReturnShare(back, c)
		}
		return spill.ReturnShare(back, smallest)
	}
}

// lookupHosts returns the hosts that answers may name, sorted.
func (h *Host) lookupHosts(now time.Time) []lookup.Host {
	var hosts []lookup.Host
	for _, m := range h.members.Live(now) {
		if m.IsUsable() {
			hosts = appendHost(hosts, m.Name, h.cfg.Host.Domain, m.Address, h.keyPrefix(now, m))
		}
	}
	for domain, list := range h.foreignHosts(now) {
		for _, e := range list {
			hosts = appendHost(hosts, e.Name, domain, e.Address, e.KeyPrefix)
		}
	}
	slices.SortFunc(hosts, func(a, b lookup.Host) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Name, b.Name))
	})
	return hosts
}

func appendHost(hosts []lookup.Host, name, domain, addr, prefix string) []lookup.Host {
	a, err := parseAddress(addr)
	if err != nil || a.Caller == (netip.AddrPort{}) {
		return hosts
	}
	return append(hosts, lookup.Host{Name: name, Domain: domain, Address: a.Caller, KeyPrefix: prefix})
}

// servedBy tells whether a domain has servers of a pool that accept work.
func servedBy(t *Tables) func(pool, domain string) bool {
	type key struct{ pool, domain string }
	served := map[key]bool{}
	for _, p := range t.Pools.Pools {
		for _, s := range p.Servers {
			if !s.Drain {
				served[key{p.Name, s.Domain}] = true
			}
		}
	}
	return func(pool, domain string) bool { return served[key{pool, domain}] }
}
