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
	age := h.follow.age(now)
	h.registryMu.Lock()
	h.registry.Observe(now, age)
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
	h.registryMu.Lock()
	servers := h.registry.Servers()
	h.registryMu.Unlock()
	now := time.Now()
	h.poolsMu.Lock()
	defer h.poolsMu.Unlock()
	for _, row := range t.Pools {
		p := h.pools[row.Name]
		if p == nil {
			p = newPool(h, row.Name)
			h.pools[row.Name] = p
		}
		p.update(now, servers[row.Name], row)
	}
	for name, p := range h.pools {
		if t.Pool(name) == nil {
			p.update(now, servers[name], fleet.Pool{Name: name})
		}
	}
}

// pool returns the pool of that name, or nil.
func (h *Host) pool(name string) *pool {
	h.poolsMu.RLock()
	defer h.poolsMu.RUnlock()
	return h.pools[name]
}

func (h *Host) regionOf(domain string) string { return h.cfg().Regions[domain] }

func (h *Host) isEvacuated(domain string) bool { return (*h.evacuated.Load())[domain] }
