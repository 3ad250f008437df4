package entry

import (
	"net/http"
	"net/netip"

	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// serveLookup answers which entry hosts to use.
func (h *Host) serveLookup(w http.ResponseWriter, r *http.Request) {
	client, err := clientAddress(r)
	if err != nil {
		api.WriteRefusal(w, "", err)
		return
	}
	snapshot, t := h.lookups.Load(), h.tables.Load()
	if snapshot == nil || t == nil {
		api.WriteRefusal(w, "", result.New(result.TableNotLoaded, "no tables are in force yet").WithRetryAfter(h.retryAfter()))
		return
	}
	a, ok := snapshot.Lookup(client, r.URL.Query().Get("route"))
	if !ok {
		api.WriteRefusal(w, "", result.New(result.NoEntryHost, "no live entry host is known").WithRetryAfter(h.retryAfter()))
		return
	}
	h.metrics.lookups.Inc()
	answer := api.LookupAnswer{
		Domain: a.Domain, CacheMS: h.cfg.Limits.LookupCacheTTL.Std().Milliseconds(),
		RoutesVersion: t.RoutesVersion, PoolsVersion: t.PoolsVersion, Hosts: make([]api.LookupHost, 0, len(a.Hosts)),
	}
	for _, host := range a.Hosts {
		answer.Hosts = append(answer.Hosts, api.LookupHost{
			Name: host.Name, Domain: host.Domain, Address: host.Address.String(), KeyPrefix: host.KeyPrefix,
		})
	}
	api.WriteJSON(w, http.StatusOK, answer)
}

// clientAddress returns the "client" parameter or the connection's address.
func clientAddress(r *http.Request) (netip.Addr, *result.Error) {
	if text := r.URL.Query().Get("client"); text != "" {
		a, err := netip.ParseAddr(text)
		if err != nil {
			return netip.Addr{}, result.New(result.UnknownClientBlock, "client: %q is not an IP number", text)
		}
		return a, nil
	}
	ap, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, result.New(result.UnknownClientBlock, "the connection has no IP address")
	}
	return ap.Addr(), nil
}
