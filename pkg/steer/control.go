package steer

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// controlHandler serves the HTTP calls of other entry hosts.
func (h *Host) controlHandler() http.Handler {
	r := bunrouter.New()
	r.Compat().GET(feedPath, h.serveFeed)
	return r
}

// metricsHandler serves the metrics and the dump of the host's state.
func (h *Host) metricsHandler() http.Handler {
	r := bunrouter.New()
	r.Compat().GET("/metrics", promhttp.HandlerFor(h.metrics.registry, promhttp.HandlerOpts{}).ServeHTTP)
	r.Compat().GET("/dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(h.Dump()) // an error means that the client disconnected
	})
	return r
}

// Dump is a snapshot of a host's state for diagnosis.
type Dump struct {
	Host         fleet.EntryHost `json:"host"`
	TableVersion int64           `json:"table_version"`
	Leaving      bool            `json:"leaving"`
	// Held is the number of requests that were read and not answered yet.
	Held int64 `json:"held"`
	// Peers are the other live entry hosts of the region that take callers.
	Peers []fleet.EntryHost `json:"peers"`
	// Servers is the number of registered backend servers by pool.
	Servers map[string]int `json:"servers"`
	// Loads is the number of this host's requests in progress by backend server.
	Loads map[string]int `json:"loads"`
	// Evacuated is the set of evacuated failure domains.
	Evacuated map[string]bool `json:"evacuated"`
	// Copies describes this host's copy of the store by kind of objects.
	Copies map[string]copyStatus `json:"copies"`
	// Watching is set if this host watches the store itself; otherwise Following is
	// the host from which it fetches the changes, if there is one.
	Watching  bool   `json:"watching"`
	Following string `json:"following"`
	// Dispatchers is the name of the dispatching entry host by pool.
	Dispatchers map[string]string `json:"dispatchers"`
}

// Dump returns a snapshot of the host's state.
func (h *Host) Dump() Dump {
	d := Dump{
		Host: h.self, Leaving: h.leaving.Load(), Held: h.held.Load(), Peers: h.view.Load().hosts, Dispatchers: h.view.Load().dispatchers,
		Servers: map[string]int{}, Loads: map[string]int{}, Evacuated: *h.evacuated.Load(), Copies: map[string]copyStatus{},
	}
	role := h.feeds.currentRole()
	d.Watching, d.Following = role.Watch, role.Follow
	for kind := range feed.NumKinds {
		d.Copies[kind.String()] = h.copyStatus(time.Now(), kind)
	}
	if t := h.table.Load(); t != nil {
		d.TableVersion = t.Version
	}
	h.eachPool(func(p *pool) { p.addLoads("", d.Loads) })
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	for pool, list := range h.registry.Servers() {
		d.Servers[pool] = len(list)
	}
	return d
}
