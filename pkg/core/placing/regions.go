package placing

import "time"

// Report is what the hosts of one region report to those of another about a
// pool.
type Report struct {
	// Loads are the requests at the servers of the reporting region, Sent
	// those that the reporting region sent to servers of other regions, both
	// by server ID.
	Loads map[string]int `cbor:"1,keyasint,omitempty"`
	Sent  map[string]int `cbor:"2,keyasint,omitempty"`
	// Pressure is the pressure of the reporting region (see Pool.pressure),
	// and Slots the number of its usable slots.
	Pressure float64 `cbor:"3,keyasint"`
	Slots    int     `cbor:"4,keyasint"`
	// Leaving holds the servers of all regions that said recently that they leave:
	// their start times in Unix milliseconds, by server ID.
	Leaving map[string]int64 `cbor:"5,keyasint,omitempty"`
}

// LocalServerCount returns the number of servers of the own region.
func (p *Pool) LocalServerCount() int { return len(p.localServers) }

// regionReport is the pressure that another region reported, and the number
// of its usable slots.
type regionReport struct {
	pressure   float64
	slots      int
	receivedAt time.Time
}

// Report returns the report of the own region to the others.
func (p *Pool) Report(now time.Time) Report {
	out := Report{Loads: map[string]int{}, Sent: map[string]int{}, Leaving: p.recentlyLeaving(now)}
	for _, s := range p.sortedServers {
		if s.region == p.region {
			out.Loads[s.ID] = int(s.load(now) + 0.5)
			if p.usable(now, s, Need{}) {
				out.Slots += s.Slots
			}
		} else if n := s.running + s.peerRequests; n > 0 {
			out.Sent[s.ID] = n
		}
	}
	out.Pressure, _ = p.pressure(now)
	return out
}

// RecordRegionReport records the report of another region.
func (p *Pool) RecordRegionReport(now time.Time, region string, r Report) {
	for _, s := range p.sortedServers {
		switch s.region {
		case p.region:
			if s.sentByRegion == nil {
				s.sentByRegion = map[string]int{}
			}
			s.sentByRegion[region], s.sentByRegionAt = r.Sent[s.ID], now
		case region:
			if n, ok := r.Loads[s.ID]; ok {
				s.regionLoad, s.regionLoadAt, s.runningAtRegionLoad = n, now, s.running
			}
		}
	}
	p.RecordLeaving(now, r.Leaving)
	p.regions[region] = regionReport{pressure: r.Pressure, slots: r.Slots, receivedAt: now}
}

// remotePressure returns the pressure of the other regions from their recent
// reports, or from the loads that their servers reported if there are none.
func (p *Pool) remotePressure(now time.Time) float64 {
	load, slots := 0.0, 0.0
	for _, r := range p.regions {
		if now.Sub(r.receivedAt) < regionReportTTL {
			load += r.pressure * float64(r.slots)
			slots += float64(r.slots)
		}
	}
	if slots == 0 {
		return p.remoteLoadRatio
	}
	return load / slots
}

// pressure returns the utilization of the own region: the requests at its
// usable servers and those that wait for a slot, divided by the slots of these
// servers. It can exceed 1. Cold servers are left out, and the load of a server
// counts up to twice its slots. The result is false if there are no such slots.
func (p *Pool) pressure(now time.Time) (float64, bool) {
	load, slots := float64(p.waiting), 0
	for _, s := range p.localServers {
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

// capacity returns the slots of the own region and of all regions, and the
// number of regions.
func (p *Pool) capacity() (ownSlots, allSlots, regions int) {
	seen := map[string]bool{p.region: true}
	for _, s := range p.sortedServers {
		seen[s.region] = true
		allSlots += s.Slots
		if s.region == p.region {
			ownSlots += s.Slots
		}
	}
	return ownSlots, allSlots, len(seen)
}
