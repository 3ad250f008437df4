package steer

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// registryTick is how often lapsed servers are looked at.
const registryTick = 200 * time.Millisecond

// applyTable puts a version in force. Older versions are ignored: within a
// process versions only grow.
func (h *Host) applyTable(t *fleet.Table) {
	h.tableMu.Lock()
	defer h.tableMu.Unlock()
	old := h.table.Load()
	if old != nil && old.Version >= t.Version {
		return
	}
	t.Index()
	h.table.Store(t)
	h.log.tableApplied(old, t)
	h.updatePools()
}

// applyServers takes the backend servers that the store lists.
func (h *Host) applyServers(list []fleet.Server) {
	h.registryMu.Lock()
	h.registry.Set(time.Now(), list)
	n, lapsed := h.registry.Counts()
	h.registryMu.Unlock()
	h.log.serversListed(len(list), n, lapsed)
	h.updatePools()
}

// applyEvacuated takes the failure domains whose servers get no requests.
func (h *Host) applyEvacuated(domains []string) {
	set := make(map[string]bool, len(domains))
	for _, d := range domains {
		set[d] = true
	}
	old := h.evacuated.Swap(&set)
	if !maps.Equal(*old, set) {
		h.log.evacuated(slices.Sorted(maps.Keys(set)))
	}
	h.updatePools()
}

// expireServers removes servers whose entry lapsed and did not come back.
func (h *Host) expireServers(now time.Time) {
	age, behind := h.follow.age(now), h.guard.Behind(now)
	h.registryMu.Lock()
	if !behind { // otherwise the copy may be old because this host is late
		h.registry.Observe(now, age)
	}
	changed := h.registry.Expire(now)
	h.registryMu.Unlock()
	if changed {
		h.log.serversExpired()
		h.updatePools()
	}
}

// updatePools gives every pool its servers.
func (h *Host) updatePools() {
	t := h.table.Load()
	if t == nil {
		return
	}
	now := time.Now()
	h.poolsMu.Lock()
	defer h.poolsMu.Unlock()
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	var servers map[string][]fleet.Server // made for the first pool that changed
	update := func(p *pool, row fleet.Pool) {
		state := poolState{h.registry.Version(row.Name), row, h.cfg()}
		if p.applied == state {
			p.wake(now)
			return
		}
		if servers == nil {
			servers = h.registry.Servers()
		}
		p.update(now, servers[row.Name], row)
		p.applied = state
	}
	for _, row := range t.Pools {
		p := h.pools[row.Name]
		if p == nil {
			p = newPool(h, row.Name)
			h.pools[row.Name] = p
		}
		update(p, row)
	}
	for name, p := range h.pools {
		if t.Pool(name) == nil {
			update(p, fleet.Pool{Name: name})
		}
	}
}

// pool returns the pool of that name, or nil.
func (h *Host) pool(name string) *pool {
	h.poolsMu.RLock()
	defer h.poolsMu.RUnlock()
	return h.pools[name]
}

func (h *Host) eachPool(fn func(*pool)) {
	h.poolsMu.RLock()
	defer h.poolsMu.RUnlock()
	for _, p := range h.pools {
		fn(p)
	}
}

func (h *Host) regionOf(domain string) string { return h.cfg().Regions[domain] }

func (h *Host) isEvacuated(domain string) bool { return (*h.evacuated.Load())[domain] }
