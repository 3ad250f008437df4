package feed

import (
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
)

// Times of the decision who asks the store.
const (
	// StaleAfter is the age of a host's copy from which on it does not count as
	// up to date. A watcher asks the store again within WatchWait.
	StaleAfter = 1600 * time.Millisecond
	// WatchWait is how long one watch call waits. The store may fail to tell a
	// waiting watch of a change, which the next call then finds.
	WatchWait = time.Second
	// turn is the time by which the hosts of a region that take over for a
	// watcher follow each other, so that not all of them ask at once.
	turn = 200 * time.Millisecond
	// turnsMost bounds the turns that the last host of a large group waits.
	turnsMost = 24
	// firstRanks is the number of hosts that ask a failing store often.
	firstRanks      = 2
	retrySoon       = 100 * time.Millisecond
	retryFirstRanks = time.Second
	retryOtherRanks = 4 * time.Second
	// watcherShare is the share of the largest host's processor time from which
	// on a host is among the first to ask: all others fetch from it.
	watcherShare = 0.5
	// watchName is the key by which the hosts of a region are ordered.
	watchName = "watch"
)

// Copy tells how old another host's copy of the store is.
type Copy struct {
	Host string
	// Capacity is the processor time of the host in cores.
	Capacity float64
	// Watching is set if the host asks the store itself.
	Watching bool
	Age      time.Duration
}

// Role says what this host does to stay up to date.
type Role struct {
	// Watch is set if this host asks the store.
	Watch bool
	// Follow is the host whose copy is taken instead, if any.
	Follow string
	// Rank is the place of this host in the order of its region, 0 for the first.
	Rank int
}

// RetryFirst is the pause after the first failed call of a watcher, which doubles
// with each failure up to RetryMost. answered tells whether the store has
// answered this watcher: hosts behind in the order that it never answered take
// it that it is away for all.
func (r Role) RetryFirst(answered bool) time.Duration {
	if r.Rank < firstRanks || answered {
		return retrySoon
	}
	return r.RetryMost()
}

// RetryMost is the longest pause between calls of a watcher to a store that
// fails. The first hosts of a region ask often; the others only make sure that
// a store which turns the first ones away is found.
func (r Role) RetryMost() time.Duration {
	if r.Rank < firstRanks {
		return retryFirstRanks
	}
	return retryOtherRanks
}

// Choose decides whether self asks the store or follows another host of its
// group. Strong hosts come first, in the order of rendezvous hashing; the first
// watcher whose copy is up to date is followed. Without any, the hosts ask the
// store in turn.
func Choose(self Copy, others []Copy) Role {
	fresh := map[string]bool{}
	for _, c := range others {
		fresh[c.Host] = c.Watching && c.Age < StaleAfter
	}
	order := inOrder(append(slices.Clone(others), self))
	mine := slices.Index(order, self.Host)
	for _, name := range order[:mine] {
		if fresh[name] {
			return Role{Follow: name, Rank: mine}
		}
	}
	if mine == 0 || self.Watching {
		return Role{Watch: true, Rank: mine}
	}
	// A host behind in the order has taken over.
	for _, name := range order[mine+1:] {
		if fresh[name] {
			return Role{Follow: name, Rank: mine}
		}
	}
	return Role{Rank: mine, Watch: self.Age >= StaleAfter+time.Duration(min(mine-1, turnsMost))*turn}
}

// inOrder returns the names of the hosts in the order in which they ask.
func inOrder(hosts []Copy) []string {
	most := 0.0
	for _, c := range hosts {
		most = max(most, c.Capacity)
	}
	var strong, weak []string
	for _, c := range hosts {
		if c.Capacity >= watcherShare*most {
			strong = append(strong, c.Host)
		} else {
			weak = append(weak, c.Host)
		}
	}
	return append(rendezvous.Top(watchName, strong, len(strong)), rendezvous.Top(watchName, weak, len(weak))...)
}
