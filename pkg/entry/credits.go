package entry

import (
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/spill"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// Constants of lending between domains.
const (
	// lendReserve is the fraction of a pool's slots that is not lent, at least
	// one slot, so that the next local request does not wait.
	lendReserve = 0.1
	// sameRegionRTT is the round-trip time between domains of one region.
	sameRegionRTT = 500 * time.Microsecond
)

// spillPeers lists the other domains that have servers of a pool.
func (h *Host) spillPeers(row tables.Pool) []spill.PeerDomain {
	var out []spill.PeerDomain
	for _, d := range h.cfg.Topology.Domains {
		if d.Name == h.cfg.Host.Domain || len(row.InDomain(d.Name)) == 0 {
			continue
		}
		out = append(out, spill.PeerDomain{Domain: d.Name, Region: d.Region, RTT: h.roundTrip(d.Region)})
	}
	return out
}

func (h *Host) roundTrip(region string) time.Duration {
	if region == h.region {
		return sameRegionRTT
	}
	for _, l := range h.cfg.Topology.Links {
		if (l.From == region && l.To == h.region) || (l.To == region && l.From == h.region) {
			return l.RoundTrip.Std()
		}
	}
	return 0
}

// lendable is what other domains may use in total now: all slots less those of
// local work less the reserve.
func (d *dispatching) lendable(now time.Time) int {
	room := d.slots.Headroom(now)
	if room.Recovering || d.active.Load() == 0 {
		return 0
	}
	reserve := max(1, int(float64(room.Slots)*lendReserve))
	local := room.Running + room.Held - d.lentRunning(now)
	for _, n := range room.Queued {
		local += n
	}
	return max(0, room.Slots-local-reserve)
}

// lentRunning counts the running requests of other domains.
func (d *dispatching) lentRunning(now time.Time) int {
	n := 0
	for _, l := range d.lender.Dump(now).Loans {
		n += l.Running
	}
	return n
}

// askCredits sends the requests for credit that are due.
func (h *Host) askCredits(now time.Time) {
	for _, p := range h.poolList() {
		p.mu.Lock()
		d := p.dispatching
		p.mu.Unlock()
		if d == nil {
			continue
		}
		for _, ask := range d.borrower.CreditRequests(now) {
			to, ok := h.hostOfDomain(now, ask.To, p.name)
			if !ok {
				continue
			}
			h.sendPeer(to, kindCreditRequest, creditRequest{
				Request: ask.Request, Origin: origin{h.cfg.Host.Name, h.address},
			})
		}
	}
}

// hostOfDomain picks an entry host of another domain for a pool: the host that
// would dispatch the pool if the summary's hosts were all.
func (h *Host) hostOfDomain(now time.Time, domain, pool string) (string, bool) {
	var names []string
	for _, e := range h.foreignHosts(now)[domain] {
		names = append(names, e.Name)
	}
	who := rendezvous.Pick(pool+"@"+domain, names)
	return who, who != ""
}

// onCreditRequest grants credit as the dispatcher, or passes the request on.
func (h *Host) onCreditRequest(now time.Time, m creditRequest) {
	p := h.pool(m.Request.Pool)
	if p == nil {
		return
	}
	p.mu.Lock()
	current, d := p.current, p.dispatching
	p.mu.Unlock()
	if d == nil {
		if !m.Passed && current != "" {
			m.Passed = true
			h.sendPeer(current, kindCreditRequest, m)
		}
		return
	}
	lendable := d.lendable(now)
	// The time is read here for the reason given at chooseDomain.
	credit, ok := d.lender.Grant(time.Now(), m.Request, lendable)
	if !ok {
		return
	}
	h.rememberPeer(now, m.Origin)
	h.sendPeer(m.Origin.Name, kindCreditGrant, creditGrant{Credit: credit, Address: h.cfg.Listen.Caller})
}

// onCreditGrant takes a credit of another domain.
func (h *Host) onCreditGrant(now time.Time, from string, m creditGrant) {
	p := h.pool(m.Credit.Pool)
	if p == nil {
		return
	}
	p.mu.Lock()
	d := p.dispatching
	p.mu.Unlock()
	if d == nil || !d.borrower.StoreCredit(now, m.Credit) {
		return
	}
	p.mu.Lock()
	d.lenders[m.Credit.To] = origin{from, m.Address}
	p.mu.Unlock()
	h.unpark(now, p, d, true)
}
