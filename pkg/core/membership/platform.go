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

// platformHosts holds the hosts to probe and the leaving hosts from the platform's
// list of hosts. Nothing else is taken from the list: it lags behind the real
// state, so a host that is missing from it is not removed.
type platformHosts struct {
	// candidates are the listed hosts that were not live members when the list
	// was received, sorted by name.
	candidates []PlatformHost
	cursor     int // index in candidates of the host considered last
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

// SetPlatformHosts replaces the platform's list of hosts of this domain.
func (n *Node) SetPlatformHosts(now time.Time, list []PlatformHost) {
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
		n.platform.cursor = (n.platform.cursor + 1) % len(n.platform.candidates)
		c := n.platform.candidates[n.platform.cursor]
		if m := n.members[c.Name]; m == nil || m.State == Dead {
			return n.ping(out, now, c.Name, c.Address, true)
		}
	}
	return out
}
