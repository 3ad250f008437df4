// Package registry decides which backend servers exist, from the lists of a
// store that may have been away. It is free of I/O.
package registry

import (
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// Times of an outage of the store.
const (
	// downAfter is the age of the copy above which the store counts as away.
	downAfter = 2500 * time.Millisecond
	// returnTime is how long servers have after the store's return to announce
	// themselves again (platform: about 2 s).
	returnTime = 2 * time.Second
	// massTime is how long servers that vanish together still count. It is below
	// the platform's drain bound of 2.5 s.
	massTime = 1500 * time.Millisecond
	// massShare is the share of a pool's servers that have to vanish at once to
	// be taken for entries that lapsed instead of servers that left.
	massShare = 0.4
	massLeast = 3
)

// Registry holds the backend servers. It is not safe for concurrent use.
type Registry struct {
	servers map[string]fleet.Server
	// lapsed are servers whose entry vanished and that still count until the
	// given time.
	lapsed map[string]time.Time
	// versions count the changes of each pool's servers.
	versions map[string]int
	// down is set while the store does not answer; returned is when it last
	// answered again.
	down     bool
	returned time.Time
	started  time.Time // of this process
}

// New returns an empty registry.
func New(now time.Time) *Registry {
	return &Registry{servers: map[string]fleet.Server{}, lapsed: map[string]time.Time{}, versions: map[string]int{}, started: now}
}

// Observe takes the age of what is known of the store: an old copy means that
// the store is away.
func (r *Registry) Observe(now time.Time, age time.Duration) {
	switch down := age > downAfter; {
	case r.down && !down:
		r.down, r.returned = false, now
	case down:
		r.down = true
	}
}

// SinceReturn returns the time since the store was last away, 0 while it is.
// What was before this process started is not known: the store may have been
// away until then.
func (r *Registry) SinceReturn(now time.Time) time.Duration {
	switch {
	case r.down:
		return 0
	case r.returned.Before(r.started):
		return now.Sub(r.started)
	}
	return now.Sub(r.returned)
}

// Trust takes the word of a host with a current copy on when the store was last
// away. The own copy may be old because this host was late, not the store.
func (r *Registry) Trust(now time.Time, sinceReturn time.Duration) {
	r.down, r.returned = false, now.Add(-sinceReturn)
}

// Set takes the servers that the store lists now. Servers that are missing
// leave at once, unless the store was away: then they stay until they had the
// time to announce themselves again.
func (r *Registry) Set(now time.Time, list []fleet.Server) {
	r.Observe(now, 0)
	listed := make(map[string]bool, len(list))
	addresses := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		addresses[s.Address] = true
		if old, ok := r.servers[s.ID]; !ok || old != s {
			r.servers[s.ID] = s
			r.versions[old.Pool]++
			r.versions[s.Pool]++
		}
		delete(r.lapsed, s.ID)
	}
	missing, pools := map[string]int{}, map[string]int{}
	for id, s := range r.servers {
		pools[s.Pool]++
		if _, lapsed := r.lapsed[id]; !listed[id] && !lapsed {
			missing[s.Pool]++
		}
	}
	for id, s := range r.servers {
		if listed[id] {
			continue
		}
		if _, ok := r.lapsed[id]; ok {
			continue
		}
		mass := missing[s.Pool] >= massLeast && float64(missing[s.Pool]) >= massShare*float64(pools[s.Pool])
		switch {
		case s.Draining || addresses[s.Address]:
			r.remove(s)
		case now.Sub(r.returned) < returnTime:
			r.lapsed[id] = r.returned.Add(returnTime)
		case mass:
			r.lapsed[id] = now.Add(massTime)
		default:
			r.remove(s)
		}
	}
}

func (r *Registry) remove(s fleet.Server) {
	delete(r.servers, s.ID)
	r.versions[s.Pool]++
}

// Expire removes servers that did not come back in time and reports whether
// there were any.
func (r *Registry) Expire(now time.Time) bool {
	changed := false
	for id, until := range r.lapsed {
		if !now.Before(until) {
			delete(r.lapsed, id)
			r.remove(r.servers[id])
			changed = true
		}
	}
	return changed
}

// Version changes with the servers of a pool.
func (r *Registry) Version(pool string) int { return r.versions[pool] }

// Servers returns the servers by pool.
func (r *Registry) Servers() map[string][]fleet.Server {
	out := map[string][]fleet.Server{}
	for _, s := range r.servers {
		out[s.Pool] = append(out[s.Pool], s)
	}
	return out
}

// Counts returns the number of servers and of those whose entry lapsed.
func (r *Registry) Counts() (servers, lapsed int) { return len(r.servers), len(r.lapsed) }
