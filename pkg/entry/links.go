package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/links"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/settings"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// linkName names a directed link.
func linkName(from, to string) string { return from + ">" + to }

// directedLink is one direction of a link at this host.
type directedLink struct {
	from, to string
	capacity float64
	bucket   *links.Bucket
	// allocator is used while other hosts take this one for the allocator.
	allocator *links.Allocator
}

func newLinks(now time.Time, cfg *settings.Settings) map[string]*directedLink {
	out := map[string]*directedLink{}
	for _, l := range cfg.Topology.Links {
		for _, pair := range [][2]string{{l.From, l.To}, {l.To, l.From}} {
			capacity := l.Capacity.BytesPerSecond()
			out[linkName(pair[0], pair[1])] = &directedLink{
				from: pair[0], to: pair[1], capacity: capacity,
				bucket:    links.NewBucket(now, cfg.Host.Name, links.Floor(capacity, cfg.Topology.MaxHosts)),
				allocator: links.NewAllocator(capacity, cfg.Topology.MaxHosts, rand.Uint64()),
			}
		}
	}
	return out
}

// takeLink takes the bytes of a request to region and of its answer from the
// budgets of both directions, or from neither.
func (h *Host) takeLink(now time.Time, region string, rank tables.Rank, request, answer float64) bool {
	out, back := h.links[linkName(h.region, region)], h.links[linkName(region, h.region)]
	if out == nil || back == nil {
		return true // no cap is configured for this pair
	}
	if !out.bucket.Take(now, rank, request) {
		return false
	}
	if !back.bucket.Take(now, rank, answer) {
		out.bucket.Settle(now, request, 0)
		return false
	}
	return true
}

// settleLink corrects the budgets by what really crossed the link.
func (h *Host) settleLink(now time.Time, region string, requestTaken, request, answerTaken, answer float64) {
	if out := h.links[linkName(h.region, region)]; out != nil {
		out.bucket.Settle(now, requestTaken, request)
	}
	if back := h.links[linkName(region, h.region)]; back != nil {
		back.bucket.Settle(now, answerTaken, answer)
	}
}

// tickLinks sends the lease requests that are due.
func (h *Host) tickLinks(now time.Time) {
	for name, l := range h.links {
		if l.from != h.region && l.to != h.region {
			continue
		}
		who := h.allocatorOf(now, l)
		if who == "" {
			continue
		}
		req, due := l.bucket.NextRequest(now, who)
		if !due {
			continue
		}
		if who == h.cfg.Host.Name {
			l.bucket.Apply(now, who, l.allocator.Grant(now, req))
			continue
		}
		h.sendPeer(who, kindLinkRequest, linkRequest{Link: name, Request: req})
	}
}

// allocatorOf picks the allocator of a link: a host of the first domain of the
// sending region that has live hosts, by rendezvous hashing.
func (h *Host) allocatorOf(now time.Time, l *directedLink) string {
	foreign := h.foreignHosts(now)
	for _, d := range h.domainsOf(l.from) {
		var names []string
		if d == h.cfg.Host.Domain {
			names, _ = h.domainHosts(now)
		}
		for _, e := range foreign[d] {
			names = append(names, e.Name)
		}
		if len(names) > 0 {
			return rendezvous.Pick(linkName(l.from, l.to), names)
		}
	}
	return ""
}

// domainsOf returns the domains of a region, sorted.
func (h *Host) domainsOf(region string) []string {
	var out []string
	for _, d := range h.cfg.Topology.Domains {
		if d.Region == region {
			out = append(out, d.Name)
		}
	}
	slices.Sort(out)
	return out
}

func (h *Host) onLinkRequest(now time.Time, from string, m linkRequest) {
	if l := h.links[m.Link]; l != nil && m.Request.Host == from {
		h.sendPeer(from, kindLinkLease, linkLease{Link: m.Link, Lease: l.allocator.Grant(now, m.Request)})
	}
}

func (h *Host) onLinkLease(now time.Time, from string, m linkLease) {
	if l := h.links[m.Link]; l != nil {
		l.bucket.Apply(now, from, m.Lease)
	}
}
