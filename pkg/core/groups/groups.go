// Package groups partitions the entry hosts of a large region into groups, so
// that the membership traffic of a host does not grow with the region. Members of
// a group send their state to each other directly; hosts outside the group get
// digests that list its live members. The package performs no I/O.
package groups

import (
	"fmt"
	"slices"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
)

const (
	// maxUndividedHosts is the number of hosts up to which a region forms a single
	// group.
	maxUndividedHosts = 48
	// maxMeanGroupHosts bounds the mean number of hosts per group in larger
	// regions, where each group lies within one failure domain.
	maxMeanGroupHosts = 24
	// groupHashKey makes the hash that selects a host's group independent of other
	// hashes of the host's name.
	groupHashKey = "group"
)

// Host is an entry host of the region with its failure domain.
type Host struct {
	Name, Domain string
}

// Members returns the names of the other hosts in the group of self. hosts are the
// hosts of the region without self.
func Members(self Host, hosts []Host) map[string]bool {
	domainHosts := map[string]int{self.Domain: 1}
	for _, h := range hosts {
		domainHosts[h.Domain]++
	}
	groupOf := func(h Host) string {
		if len(hosts)+1 <= maxUndividedHosts {
			return ""
		}
		groupsInDomain := (domainHosts[h.Domain] + maxMeanGroupHosts - 1) / maxMeanGroupHosts
		return fmt.Sprintf("%s/%d", h.Domain, rendezvous.Weight(groupHashKey, h.Name)%uint64(groupsInDomain))
	}
	ownGroup := groupOf(self)
	members := map[string]bool{}
	for _, h := range hosts {
		if groupOf(h) == ownGroup {
			members[h.Name] = true
		}
	}
	return members
}

// DigestReceivers returns the hosts outside the group to which self sends the group's
// digest. members are the other live hosts of the group. The hosts outside are
// divided evenly among self and members, so that each gets the digest once.
// DigestReceivers sorts outside in place.
func DigestReceivers(self string, members, outside []string) []string {
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
