// Package registry decides which backend servers exist, based on the lists of
// servers in the platform's store. The entries of running servers lapse while the
// store is unavailable, so a server that is missing from a list after an outage
// may still run. The package performs no I/O.
package registry

import (
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

const (
	// outageAge is the age of this host's copy of the store above which the store
	// counts as unavailable.
	outageAge = 2500 * time.Millisecond
	// reannounceGrace is how long servers have after an outage of the store to
	// publish their entries again. The platform states that they need about 2 s.
	reannounceGrace = 2 * time.Second
	// massLossGrace is how long servers are kept that vanish from the list
	// together. It is below the platform's drain bound of 2.5 s, after which a
	// leaving server must get no requests.
	massLossGrace = 1500 * time.Millisecond
	// massLossFraction is the least fraction of a pool's servers that have to
	// vanish at once for the registry to assume that their entries lapsed, and not
	// that the servers left.
	massLossFraction = 0.4
	// massLossMinServers is the least number of servers of a pool that have to
	// vanish at once for massLossFraction to apply.
	massLossMinServers = 3
)

// Registry holds the backend servers. It is not safe for concurrent use.
type Registry struct {
	servers map[string]fleet.Server // by ID
	// lapsed maps the servers whose entries are missing to the end of their grace
	// period, until which they are kept in servers.
	lapsed map[string]time.Time
	// versions counts the changes to the servers of each pool.
	versions map[string]int
	// down is set while the store is unavailable; outageEnd is the end of its last
	// outage.
	down      bool
	outageEnd time.Time
	started   time.Time // start of this process
}

// New returns an empty registry.
func New(now time.Time) *Registry {
	return &Registry{servers: map[string]fleet.Server{}, lapsed: map[string]time.Time{}, versions: map[string]int{}, started: now}
}

// Observe detects the beginning and the end of an outage from the age of this
// host's copy of the store: an old copy means that the store is unavailable.
func (r *Registry) Observe(now time.Time, age time.Duration) {
	switch down := age > outageAge; {
	case r.down && !down:
		r.down, r.outageEnd = false, now
	case down:
		r.down = true
	}
}

// SinceOutage returns the time since the end of the store's last outage, or 0
// during one. What happened before the start of this process is unknown; the
// store is assumed to have been unavailable until then.
func (r *Registry) SinceOutage(now time.Time) time.Duration {
	switch {
	case r.down:
		return 0
	case r.outageEnd.Before(r.started):
		return now.Sub(r.started)
	}
	return now.Sub(r.outageEnd)
}

// AdoptSinceOutage adopts the SinceOutage of another host that has a current copy. The copy
// of this host may be old because the host itself was late, and not the store.
func (r *Registry) AdoptSinceOutage(now time.Time, sinceReturn time.Duration) {
	r.down, r.outageEnd = false, now.Add(-sinceReturn)
}

// OutageEnd returns the end of the store's last outage, as far as this host knows.
func (r *Registry) OutageEnd() time.Time { return r.outageEnd }

// Restored records that the store has come back from an older copy at returnedAt. Servers
// that the copy lacks are kept for as long as after an outage, also those that an earlier
// copy or list lacked.
func (r *Registry) Restored(returnedAt time.Time) {
	r.down, r.outageEnd = false, returnedAt
	for id, until := range r.lapsed {
		if end := returnedAt.Add(reannounceGrace); end.After(until) {
			r.lapsed[id] = end
		}
	}
}

// Lapsed returns the servers that are in their grace period.
func (r *Registry) Lapsed() map[string]bool {
	out := make(map[string]bool, len(r.lapsed))
	for id := range r.lapsed {
		out[id] = true
	}
	return out
}

// Set takes the current list of servers in the store. Servers that are missing
// from it are removed at once, with two exceptions: shortly after an outage, and
// when a large part of a pool vanishes together, they are kept for a grace period
// in which they can publish their entries again. Servers that are draining, or
// whose address another server has now, get no grace period.
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
	missing, poolSizes := map[string]int{}, map[string]int{}
	for id, s := range r.servers {
		poolSizes[s.Pool]++
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
		massLoss := missing[s.Pool] >= massLossMinServers && float64(missing[s.Pool]) >= massLossFraction*float64(poolSizes[s.Pool])
		switch {
		case s.Draining || addresses[s.Address]:
			r.remove(s)
		case now.Sub(r.outageEnd) < reannounceGrace:
			r.lapsed[id] = r.outageEnd.Add(reannounceGrace)
		case massLoss:
			r.lapsed[id] = now.Add(massLossGrace)
		default:
			r.remove(s)
		}
	}
}

func (r *Registry) remove(s fleet.Server) {
	delete(r.servers, s.ID)
	r.versions[s.Pool]++
}

// Expire removes the servers whose grace period has ended and reports whether
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

// Version returns a number that increases with each change to the servers of a
// pool.
func (r *Registry) Version(pool string) int { return r.versions[pool] }

// Servers returns the servers by pool.
func (r *Registry) Servers() map[string][]fleet.Server {
	out := map[string][]fleet.Server{}
	for _, s := range r.servers {
		out[s.Pool] = append(out[s.Pool], s)
	}
	return out
}

// Counts returns the number of all servers, and the number of servers in their
// grace period.
func (r *Registry) Counts() (servers, lapsed int) { return len(r.servers), len(r.lapsed) }
