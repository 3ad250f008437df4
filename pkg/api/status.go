package api

import (
	"slices"
	"strings"
	"time"
)

// Problem says why a version of a table could not be put in force.
type Problem struct {
	// Table is the name of a table, or one of two values for both tables together:
	// "join" if they are valid only separately, and "content" if a peer has other
	// rows at the same versions.
	Table   string `json:"table"`
	Version int64  `json:"version"`
	Error   string `json:"error"`
}

// PoolStatus is the state of a pool at its dispatcher in one failure domain.
type PoolStatus struct {
	Pool string `json:"pool"`
	// Slots is the number of requests that the servers may run now, and Running
	// the number of granted requests.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	// Free is the number of slots that can be granted now. Slots are not free while
	// they are in use, in cooldown after a fast failure, lent, or withheld for
	// hosts that may still hold them.
	Free int `json:"free"`
	// Lent is the number of slots that other failure domains may hold now.
	Lent int `json:"lent"`
	// Queued counts waiting requests by rank.
	Queued map[string]int `json:"queued"`
	// Draining lists the addresses of the servers in the failure domain that the
	// pools table marks as draining: they get no new requests.
	Draining []string `json:"draining,omitempty"`
	// Recovering is true during a recovery, in which the dispatcher asks hosts which
	// grants they hold. It follows a handover of the pool to this dispatcher or a
	// pause of its process.
	Recovering bool `json:"recovering,omitempty"`
}

// HostStatus is the state of one entry host.
type HostStatus struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Incarnation is the start time of the process, in Unix milliseconds.
	Incarnation int64 `json:"incarnation"`
	// RoutesVersion and PoolsVersion are the versions of the tables in force at
	// this host.
	RoutesVersion int64 `json:"routes_version"`
	PoolsVersion  int64 `json:"pools_version"`
	// Source says where the tables in force came from: "platform", "peer" or
	// "none". SourceHost is the name of the peer.
	Source     string `json:"source"`
	SourceHost string `json:"source_host,omitempty"`
	// AgeMS is the time since the tables came into force, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// UnconfirmedMS is the time, in milliseconds, since the platform was last known
	// to have no newer valid tables; -1 means that it never was. It grows during a
	// partition or an outage.
	UnconfirmedMS int64 `json:"unconfirmed_ms"`
	// Watching is true if this host watches the platform for its failure domain.
	Watching bool `json:"watching"`
	Leaving  bool `json:"leaving,omitempty"`
	// Requests is the number of requests that the host is handling now.
	Requests int64     `json:"requests"`
	Problems []Problem `json:"problems,omitempty"`
	// Pools lists the pools that the host dispatches.
	Pools []PoolStatus `json:"pools,omitempty"`
}

// DomainStatus groups the hosts of a failure domain.
type DomainStatus struct {
	Domain string       `json:"domain"`
	Region string       `json:"region"`
	Hosts  []HostStatus `json:"hosts"`
	// Unreachable names hosts whose state could not be fetched.
	Unreachable []string `json:"unreachable,omitempty"`
	// Behind names hosts whose routes or pools table is older than the newest one in
	// force at any host.
	Behind []string `json:"behind,omitempty"`
	// Draining lists the addresses of servers of any pool that get no new requests.
	Draining []string `json:"draining,omitempty"`
	// Headroom is the number of free slots by pool name.
	Headroom map[string]int `json:"headroom,omitempty"`
}

// Status is the state of the whole system, collected by one entry host.
type Status struct {
	// Asked is the name of the entry host that collected the status.
	Asked string `json:"asked"`
	// RoutesVersion and PoolsVersion are the newest versions in force at any host.
	RoutesVersion int64          `json:"routes_version"`
	PoolsVersion  int64          `json:"pools_version"`
	Domains       []DomainStatus `json:"domains"`
}

// Summarize computes the newest versions and the totals of each failure domain
// from the states of the hosts. It must be called only once for a Status, since it
// adds to the totals.
func (s *Status) Summarize() {
	for _, d := range s.Domains {
		for _, h := range d.Hosts {
			s.RoutesVersion = max(s.RoutesVersion, h.RoutesVersion)
			s.PoolsVersion = max(s.PoolsVersion, h.PoolsVersion)
		}
	}
	for i := range s.Domains {
		s.Domains[i].summarize(s.RoutesVersion, s.PoolsVersion)
	}
}

// summarize sorts the hosts and adds up their states, given the newest versions of
// the tables.
func (d *DomainStatus) summarize(newestRoutes, newestPools int64) {
	slices.SortFunc(d.Hosts, func(a, b HostStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.Sort(d.Unreachable)
	for _, h := range d.Hosts {
		if h.RoutesVersion < newestRoutes || h.PoolsVersion < newestPools {
			d.Behind = append(d.Behind, h.Name)
		}
		for _, p := range h.Pools {
			if d.Headroom == nil {
				d.Headroom = map[string]int{}
			}
			d.Headroom[p.Pool] += p.Free
			d.Draining = append(d.Draining, p.Draining...)
		}
	}
	slices.Sort(d.Draining)
	d.Draining = slices.Compact(d.Draining)
}

// StoredStatus is the object that each failure domain stores on the platform.
type StoredStatus struct {
	// Writer is the name of the host that wrote the object.
	Writer string    `json:"writer"`
	At     time.Time `json:"at"`
	// Live names the hosts of the failure domain that the writer considers usable
	// for roles such as dispatcher. If there is none, it names only the writer.
	Live []string `json:"live"`
	// Host is the state of the host that wrote the object.
	Host HostStatus `json:"host"`
}
