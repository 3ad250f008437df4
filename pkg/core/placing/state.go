package placing

import "time"

// State summarizes a pool for logs and dumps.
type State struct {
	Servers int `json:"servers"`
	// Usable is the number of servers of the own region that accept requests,
	// Slots the number of their slots, and Load the number of requests at
	// them.
	Usable int     `json:"usable"`
	Slots  int     `json:"slots"`
	Load   float64 `json:"load"`
	// Pressure is the pressure of the own region (see Pool.pressure), and
	// Remote that of the other regions.
	Pressure float64 `json:"pressure"`
	Remote   float64 `json:"remote"`
	// RemoteShare is the share of the slot time that runs in other regions.
	RemoteShare float64 `json:"away"`
	// Limits are the numbers of requests at one server from which on further
	// requests have to wait, by priority.
	Limits map[int]float64 `json:"limits"`
}

// State returns the state of the pool.
func (p *Pool) State(now time.Time) State {
	out := State{Servers: len(p.sortedServers), RemoteShare: p.share.Fraction(), Remote: p.remotePressure(now), Limits: map[int]float64{}}
	maxSlots := 0
	for _, s := range p.sortedServers {
		maxSlots = max(maxSlots, s.Slots)
		if s.region == p.region && p.usable(now, s, Need{}) {
			out.Usable++
			out.Slots += s.Slots
			out.Load += s.load(now)
		}
	}
	out.Pressure, _ = p.pressure(now)
	for _, r := range p.demand.routes {
		out.Limits[r.priority] = p.demand.limit(r.priority, p.Hosts(), maxSlots, p.ownSlots)
	}
	return out
}
