package membership

import (
	"slices"
	"strings"
	"time"
)

// PlatformHost is an entry of the platform's list of hosts of this domain.
type PlatformHost struct {
	Name, Address string
	Leaving       bool
}

// platformHosts is what is used of the platform's list of hosts. The list lags
// behind the real state, so a host that is missing from it is not removed: the
// list only provides hosts to probe and hosts that are leaving.
type platformHosts struct {
	candidates []PlatformHost
	next       int
	// leaving is when the list first marked each host as leaving.
	leaving map[string]time.Time
}

// isLeaving reports whether the list marks the process of u as leaving. A
// process that started after the mark was first seen is a replacement that the
// list does not show yet, so the mark does not apply to it.
func (p *platformHosts) isLeaving(u Update) bool {
	at, ok := p.leaving[u.Name]
	return ok && u.Incarnation <= at.UnixMilli()
}

// SetHosts replaces the platform's list of hosts of this domain.
func (n *Node) SetHosts(now time.Time, list []PlatformHost) {
	n.mu.Lock()
	defer n.mu.Unlock()
	leaving := map[string]time.Time{}
	n.platform.candidates = nil
	for _, h := range list {
		if h.Leaving {
			leaving[h.Name] = now
			if at, ok := n.platform.leaving[h.Name]; ok {
				leaving[h.Name] = at
			}
		}
		if m := n.members[h.Name]; h.Name != n.self.Name && (m == nil || m.State == Dead) {
			n.platform.candidates = append(n.platform.candidates, h)
		}
	}
	slices.SortFunc(n.platform.candidates, func(a, b PlatformHost) int { return strings.Compare(a.Name, b.Name) })
	n.platform.leaving = leaving
	n.view = nil
}

// probeCandidate probes the next listed host that is not a live member.
func (n *Node) probeCandidate(out []Outgoing, now time.Time) []Outgoing {
	for range n.platform.candidates {
		n.platform.next = (n.platform.next + 1) % len(n.platform.candidates)
		c := n.platform.candidates[n.platform.next]
		if m := n.members[c.Name]; m == nil || m.State == Dead {
			return n.ping(out, now, c.Name, c.Address, true)
		}
	}
	return out
}
