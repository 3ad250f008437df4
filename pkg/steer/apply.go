package steer

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// registryExpireInterval is how often servers whose entry lapsed are checked for
// removal.
const registryExpireInterval = 200 * time.Millisecond

// applyTable puts a version of the tables in force. Versions that are not newer
// than the current one are ignored, so that the version never decreases within a
// process. It reports whether the version is in force.
func (h *Host) applyTable(t *fleet.Table) bool {
	h.tableMu.Lock()
	defer h.tableMu.Unlock()
	old := h.table.Load()
	if old != nil && old.Version >= t.Version {
		return old.Version == t.Version
	}
	t.Index()
	h.table.Store(t)
	h.log.tableApplied(old, t)
	h.updatePools()
	return true
}

// applyServers updates the registry with the backend servers in force. returnedAt is when
// the store came back from an older copy, if the list is the first since, or zero.
func (h *Host) applyServers(list []fleet.Server, returnedAt time.Time) {
	knownServers, lapsed := h.setServers(list, returnedAt)
	h.log.serversListed(len(list), knownServers, lapsed)
	h.updatePools()
}

func (h *Host) setServers(list []fleet.Server, returnedAt time.Time) (known, lapsed int) {
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	if !returnedAt.IsZero() {
		h.registry.Restored(returnedAt)
	}
	h.registry.Set(time.Now(), list)
	return h.registry.Counts()
}

// applyEvacuated sets the evacuated failure domains, whose servers get no
// requests.
func (h *Host) applyEvacuated(domains []string) {
	domainSet := make(map[string]bool, len(domains))
	for _, d := range domains {
		domainSet[d] = true
	}
	old := h.evacuated.Swap(&domainSet)
	if !maps.Equal(*old, domainSet) {
		h.log.evacuated(slices.Sorted(maps.Keys(domainSet)))
	}
	h.updatePools()
}

// expireServers removes servers whose entry lapsed and that did not register
// again in time.
func (h *Host) expireServers(now time.Time) {
	age, behind := h.feeds.age(now), h.guard.Behind(now)
	h.registryMu.Lock()
	if !behind { // otherwise the copy may be old because this process was stalled
		h.registry.Observe(now, age)
	}
	changed := h.registry.Expire(now)
	h.registryMu.Unlock()
	if changed {
		h.log.serversExpired()
		h.updatePools()
	}
	if h.feeds.expireHolds(now) {
		h.applyHolds()
	}
}

// updatePools creates the pools of the current tables and updates the servers of
// every pool. A pool that the tables no longer contain keeps its servers; its row
// then has only a name. Pools whose inputs did not change only wake their waiting
// requests.
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
	var serversByPool map[string][]fleet.Server // built when the first changed pool needs it
	update := func(p *pool, row fleet.Pool) {
		inputs := poolInput{h.registry.Version(row.Name), row, h.cfg()}
		if p.applied == inputs {
			p.wake(now)
			return
		}
		if serversByPool == nil {
			serversByPool = h.registry.Servers()
		}
		p.update(now, serversByPool[row.Name], row)
		p.applied = inputs
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

// pool returns the pool with the given name, or nil.
func (h *Host) pool(name string) *pool {
	h.poolsMu.RLock()
	defer h.poolsMu.RUnlock()
	return h.pools[name]
}

// eachPool calls fn for every pool, with the set of pools locked for reading.
func (h *Host) eachPool(fn func(*pool)) {
	h.poolsMu.RLock()
	defer h.poolsMu.RUnlock()
	for _, p := range h.pools {
		fn(p)
	}
}

// regionOf returns the region of a failure domain, or "" if the settings do not
// list the domain.
func (h *Host) regionOf(domain string) string { return h.cfg().Regions[domain] }

// tableVersion returns the version of the tables in force, or 0.
func (h *Host) tableVersion() int64 {
	if t := h.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

func (h *Host) isEvacuated(domain string) bool { return (*h.evacuated.Load())[domain] }
