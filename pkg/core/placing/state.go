package placing

import "time"

// State summarizes a pool for logs and dumps.
type State struct {
	Servers int `json:"servers"`
	// Usable is the number of servers of the own region that take requests, Slots
	// that of their slots, and Load that of the requests at them.
	Usable int     `json:"usable"`
	Slots  int     `json:"slots"`
	Load   float64 `json:"load"`
	// Pressure and Remote are the shares of taken slots of the own region and of
	// the others.
	Pressure float64 `json:"pressure"`
	Remote   float64 `json:"remote"`
	// Away is the share of the slot time that belongs to other regions.
	Away float64 `json:"away"`
	// Limits are the requests that one server takes, by priority.
	Limits map[int]float64 `json:"limits"`
}

// State returns the state of the pool.
func (p *Pool) State(now time.Time) State {
	out := State{Servers: len(p.order), Away: p.share.Fraction(), Remote: p.remotePressure(now), Limits: map[int]float64{}}
	slots := 0
	for _, s := range p.order {
		slots = max(slots, s.Slots)
		if s.region == p.region && p.usable(now, s, Need{}) {
			out.Usable++
			out.Slots += s.Slots
			out.Load += s.load(now)
		}
	}
	out.Pressure, _ = p.pressure(now)
	for _, r := range p.demand.routes {
		out.Limits[r.priority] = p.demand.limit(r.priority, p.Hosts(), slots, p.own)
	}
	return out
}
