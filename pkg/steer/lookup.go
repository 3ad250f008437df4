package steer

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

const (
	// lookupLife is how long callers may cache a look-up answer. A shorter time lets
	// callers leave a lost host sooner, a longer one means fewer look-ups.
	lookupLife = 2 * time.Second
	// minDomainHosts is the number of hosts in the caller's failure domain below
	// which the answer also names the region's hosts in other domains.
	minDomainHosts = 2
	// maxLookupHosts is the largest number of hosts in an answer.
	maxLookupHosts = 64
)

// lookupHandler answers callers that ask for entry hosts.
func (h *Host) lookupHandler() http.Handler {
	r := bunrouter.New()
	r.Compat().GET(h.names.LookupPath, func(w http.ResponseWriter, req *http.Request) {
		addresses := h.lookup(h.names.LookupDomain(req))
		if len(addresses) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		life := min(lookupLife, h.cfg().Bounds.LookupLife.Std())
		// An error means that the caller closed its connection.
		_ = json.NewEncoder(w).Encode(h.names.LookupAnswer(addresses, life))
	})
	return r
}

// lookup returns the addresses of entry hosts for a caller in the failure domain.
// Callers from another region get hosts of this one too: they ask here because
// their own region has no host left.
func (h *Host) lookup(domain string) []string {
	hosts := slices.Clone(h.view.Load().hosts)
	if h.ready() {
		hosts = append(hosts, h.self)
	}
	return chooseHosts(hosts, domain)
}

// chooseHosts returns the caller addresses of hosts in the caller's failure
// domain, in random order. If these are fewer than minDomainHosts, the hosts in
// other domains follow, in random order too.
func chooseHosts(hosts []fleet.EntryHost, domain string) []string {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var sameDomain, otherDomains []string
	for _, host := range hosts {
		if host.Domain == domain {
			sameDomain = append(sameDomain, host.CallerAddress)
		} else {
			otherDomains = append(otherDomains, host.CallerAddress)
		}
	}
	if len(sameDomain) < minDomainHosts {
		sameDomain = append(sameDomain, otherDomains...)
	}
	return sameDomain[:min(len(sameDomain), maxLookupHosts)]
}
