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

// Limits of look-up answers.
const (
	// lookupLife is how long callers keep an answer; shorter means that callers
	// leave a lost host sooner, longer means fewer look-ups.
	lookupLife = 2 * time.Second
	// lookupLeast is the number of hosts below which hosts of the region's other
	// domains are named too.
	lookupLeast = 2
	lookupMost  = 64
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
		// An error means that the caller left; there is nobody to tell.
		_ = json.NewEncoder(w).Encode(h.names.LookupAnswer(addresses, life))
	})
	return r
}

// lookup returns the caller addresses of the hosts for callers in domain.
// Callers from another region are here because their own has no host left.
func (h *Host) lookup(domain string) []string {
	hosts := slices.Clone(h.view.Load().hosts)
	if h.ready() {
		hosts = append(hosts, h.self)
	}
	return chooseHosts(hosts, domain)
}

// chooseHosts prefers hosts of the caller's failure domain.
func chooseHosts(hosts []fleet.EntryHost, domain string) []string {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var near, far []string
	for _, host := range hosts {
		if host.Domain == domain {
			near = append(near, host.Caller)
		} else {
			far = append(far, host.Caller)
		}
	}
	if len(near) < lookupLeast {
		near = append(near, far...)
	}
	return near[:min(len(near), lookupMost)]
}
