package feed

import (
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
)

const (
	// StaleAfter is the age from which on a host's copy no longer counts as up to
	// date. It is longer than WatchWait, within which a watcher calls the store
	// again.
	StaleAfter = 1600 * time.Millisecond
	// WatchWait is the long-poll timeout of one watch call. The store may fail to
	// notify a waiting watch of a change, which the next call then returns.
	WatchWait = time.Second
	// takeoverStagger is how much later each host of a group takes over from a
	// watcher than the host ranked before it, so that they do not all call the
	// store at once.
	takeoverStagger = 200 * time.Millisecond
	// maxStaggerSteps bounds the delay of the last hosts of a large group, in
	// multiples of takeoverStagger.
	maxStaggerSteps = 24
	// fastRetryRanks is the number of hosts of a group, those with the lowest
	// ranks, that retry often while the store fails.
	fastRetryRanks = 2
	// initialBackoff is the pause after the first failed call of a host with one
	// of the fastRetryRanks, and of any other host that the store answered before.
	initialBackoff = 100 * time.Millisecond
	// maxBackoffFastRanks bounds the backoff of hosts with one of the
	// fastRetryRanks.
	maxBackoffFastRanks = time.Second
	// maxBackoffOtherRanks bounds the backoff of all other hosts.
	maxBackoffOtherRanks = 4 * time.Second
	// strongFraction is the least capacity of a strong host, as a fraction of the
	// largest capacity in the group. Strong hosts are ranked before all others
	// because the whole group fetches its copies from the watcher.
	strongFraction = 0.5
	// rankingKey is the key of the rendezvous hashing that ranks the hosts.
	rankingKey = "watch"
)

// HostState describes one host and the state of its copy of the store.
type HostState struct {
	Host string
	// Capacity is the processor time of the host in cores.
	Capacity float64
	// Watching is set if the host watches the store itself.
	Watching bool
	// Age is the time since the copy was last known to be up to date.
	Age time.Duration
	// Era is the store's era of the copy.
	Era int64
}

// Role says how this host keeps its copy up to date. If it neither watches nor
// follows, it waits for its turn to take over.
type Role struct {
	// Watch is set if this host watches the store.
	Watch bool
	// Follow is the host from which this one fetches the changes instead, or "".
	Follow string
	// Rank is the position of this host in the ranking of its group, 0 for the
	// first.
	Rank int
}

// InitialBackoff returns the initial backoff of a watcher, which doubles with each
// failed call up to MaxBackoff. answered tells whether the store has answered this
// watcher before. A host beyond the fastRetryRanks that never got an answer
// assumes that the store is unavailable to all hosts, and starts with MaxBackoff.
func (r Role) InitialBackoff(answered bool) time.Duration {
	if r.Rank < fastRetryRanks || answered {
		return initialBackoff
	}
	return r.MaxBackoff()
}

// MaxBackoff returns the longest backoff of a watcher while the store fails. Hosts
// with one of the fastRetryRanks retry often; the others only make sure that the
// group notices if the store is available but rejects the calls of those hosts.
func (r Role) MaxBackoff() time.Duration {
	if r.Rank < fastRetryRanks {
		return maxBackoffFastRanks
	}
	return maxBackoffOtherRanks
}

// ChooseRole decides whether self watches the store or follows another host of its
// group. The hosts are ranked by rendezvous hashing, those with a large capacity
// first. The first watcher in this ranking whose copy is up to date is followed;
// a host that watches already only gives way to one with a lower rank. A watcher whose
// copy is of an earlier era than that of self is not followed. If no copy is up to date,
// the hosts take over one after another in the order of the ranks.
func ChooseRole(self HostState, others []HostState) Role {
	freshWatcher := map[string]bool{}
	for _, c := range others {
		freshWatcher[c.Host] = c.Watching && c.Age < StaleAfter && c.Era >= self.Era
	}
	order := rankHosts(append(slices.Clone(others), self))
	rank := slices.Index(order, self.Host)
	for _, name := range order[:rank] {
		if freshWatcher[name] {
			return Role{Follow: name, Rank: rank}
		}
	}
	if rank == 0 || self.Watching {
		return Role{Watch: true, Rank: rank}
	}
	// A host with a higher rank may have taken over.
	for _, name := range order[rank+1:] {
		if freshWatcher[name] {
			return Role{Follow: name, Rank: rank}
		}
	}
	return Role{Rank: rank, Watch: self.Age >= StaleAfter+time.Duration(min(rank-1, maxStaggerSteps))*takeoverStagger}
}

// rankHosts returns the names of the hosts in the order of their ranks: first the
// strong ones, then the weak ones, each in the order of rendezvous hashing.
func rankHosts(hosts []HostState) []string {
	maxCapacity := 0.0
	for _, c := range hosts {
		maxCapacity = max(maxCapacity, c.Capacity)
	}
	var strong, weak []string
	for _, c := range hosts {
		if c.Capacity >= strongFraction*maxCapacity {
			strong = append(strong, c.Host)
		} else {
			weak = append(weak, c.Host)
		}
	}
	return append(rendezvous.Top(rankingKey, strong, len(strong)), rendezvous.Top(rankingKey, weak, len(weak))...)
}
