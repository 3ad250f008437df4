// Package groups splits the entry hosts of a large region into groups, so that
// what a host sends does not grow with the region. Members of a group hear each
// other directly; a group tells the others in digests which of its members
// live. It is free of I/O.
package groups

import (
	"fmt"
	"slices"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
)

const (
	// wholeMost is the number of hosts up to which a region is one group.
	wholeMost = 48
	// groupMost is the mean number of hosts of a group in larger regions, whose
	// groups are parts of failure domains.
	groupMost = 24
	// groupKey keeps the choice of a group apart from other hashes of the name.
	groupKey = "group"
)

// Host is a host of the region.
type Host struct {
	Name, Domain string
}

// Of returns the names of the hosts in the group of self, without self. hosts
// are the other hosts of the region.
func Of(self Host, hosts []Host) map[string]bool {
	domains := map[string]int{self.Domain: 1}
	for _, h := range hosts {
		domains[h.Domain]++
	}
	of := func(h Host) string {
		if len(hosts)+1 <= wholeMost {
			return ""
		}
		parts := (domains[h.Domain] + groupMost - 1) / groupMost
		return fmt.Sprintf("%s/%d", h.Domain, rendezvous.Weight(groupKey, h.Name)%uint64(parts))
	}
	own := of(self)
	members := map[string]bool{}
	for _, h := range hosts {
		if of(h) == own {
			members[h.Name] = true
		}
	}
	return members
}

// Receivers returns the hosts outside the group to which self sends the group's
// digest. members are the live hosts of the group without self; together they
// reach each host outside once.
func Receivers(self string, members, outside []string) []string {
	senders := append(slices.Clone(members), self)
	slices.Sort(senders)
	slices.Sort(outside)
	var out []string
	for i, host := range outside {
		if senders[i%len(senders)] == self {
			out = append(out, host)
		}
	}
	return out
}
