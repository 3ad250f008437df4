package placing

import "time"

// Report is what the hosts of one region tell those of another about a pool:
// the requests at their own servers, and those that they sent to the other's.
type Report struct {
	Loads map[string]int `cbor:"1,keyasint,omitempty"`
	Sent  map[string]int `cbor:"2,keyasint,omitempty"`
	// Pressure is the share of taken slots of the region, and Slots their number.
	Pressure float64 `cbor:"3,keyasint"`
	Slots    int     `cbor:"4,keyasint"`
}

// OwnServers returns the number of servers of the own region.
func (p *Pool) OwnServers() int { return len(p.inside) }

// regionLoad is what another region told.
type regionLoad struct {
	pressure float64
	slots    int
	at       time.Time
}

// Report returns what the own region tells the others.
func (p *Pool) Report(now time.Time) Report {
	out := Report{Loads: map[string]int{}, Sent: map[string]int{}}
	for _, s := range p.order {
		if s.region == p.region {
			out.Loads[s.ID] = int(s.load(now) + 0.5)
			if p.usable(now, s, Need{}) {
				out.Slots += s.Slots
			}
		} else if n := s.running + s.peers; n > 0 {
			out.Sent[s.ID] = n
		}
	}
	out.Pressure, _ = p.pressure(now)
	return out
}

// Told takes the report of another region.
func (p *Pool) Told(now time.Time, region string, r Report) {
	for _, s := range p.order {
		switch s.region {
		case p.region:
			if s.others == nil {
				s.others = map[string]int{}
			}
			s.others[region], s.othersAt = r.Sent[s.ID], now
		case region:
			if n, ok := r.Loads[s.ID]; ok {
				s.told, s.toldAt, s.toldRunning = n, now, s.running
			}
		}
	}
	p.regions[region] = regionLoad{pressure: r.Pressure, slots: r.Slots, at: now}
}

// remotePressure is the share of taken slots of the other regions.
func (p *Pool) remotePressure(now time.Time) float64 {
	load, slots := 0.0, 0.0
	for _, r := range p.regions {
		if now.Sub(r.at) < toldLife {
			load += r.pressure * float64(r.slots)
			slots += float64(r.slots)
		}
	}
	if slots == 0 {
		return p.remote
	}
	return load / slots
}

// pressure is the share of the usable slots of the own region that are taken or
// waited for.
func (p *Pool) pressure(now time.Time) (float64, bool) {
	load, slots := float64(p.waiting), 0
	for _, s := range p.inside {
		if p.usable(now, s, Need{}) && !s.isCold(now) {
			load += min(s.load(now), float64(2*s.Slots))
			slots += s.Slots
		}
	}
	if slots == 0 {
		return 0, false
	}
	return load / float64(slots), true
}

// capacity returns the slots of the own region, of all, and the number of
// regions.
func (p *Pool) capacity() (own, all, regions int) {
	seen := map[string]bool{p.region: true}
	for _, s := range p.order {
		seen[s.region] = true
		all += s.Slots
		if s.region == p.region {
			own += s.Slots
		}
	}
	return own, all, len(seen)
}
