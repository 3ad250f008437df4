package placing

import (
	"slices"
	"time"
)

// candidate is a server under consideration.
type candidate struct {
	*server
	load, cost float64
	wait       float64
	class      Class
	// plain is the expected service time of a server of usual speed, service
	// that of this one with the way there.
	plain, service float64
	// least is the learned service time of the class, 0 if there is none.
	least float64
}

// Pick chooses a server. The caller must report Started after a Send.
//
// A key belongs to the own region or, for the share of keys that the region has
// no room for, to the others, so that each server sees the same keys again.
func (p *Pool) Pick(now time.Time, n Need) Choice {
	away := p.share.Away(n.Route, n.Key)
	home := p.best(now, n, !away)
	if home != nil {
		choice := p.decide(n, home, away)
		if choice.Verdict == Send && choice.Expected <= n.Target {
			return choice
		}
		other := p.best(now, n, away)
		if other == nil {
			return choice
		}
		second := p.decide(n, other, !away)
		if second.Verdict == Send && (choice.Verdict != Send || second.Expected <= n.Target) && p.share.Overflow() {
			return second
		}
		return choice
	}
	if other := p.best(now, n, away); other != nil {
		return p.decide(n, other, !away)
	}
	return Choice{Verdict: NoServer}
}

func (p *Pool) decide(n Need, c *candidate, remote bool) Choice {
	choice := Choice{
		Server: c.Server, Remote: remote, Expected: seconds(c.wait + c.service), Load: c.load,
		Class: c.class, Service: seconds(c.plain),
	}
	switch {
	case c.wait+c.least*hopeful > n.Left.Seconds():
		choice.Verdict = TooLate
	case c.load >= p.limits(n).of(c.Slots):
		choice.Verdict = Wait
	}
	return choice
}

// side returns the servers inside or outside the own region.
func (p *Pool) side(local bool) []*server {
	if local {
		return p.inside
	}
	return p.outside
}

// best returns the cheapest usable server inside or outside the own region. The
// candidate is valid until the next call.
func (p *Pool) best(now time.Time, n Need, local bool) *candidate {
	service := p.estimates(n)
	first := p.preferred(n, local)
	key := n.Route + "\x00" + n.Key
	var best, open, fresh, adopt *candidate
	servers := p.side(local)
	p.scratch = slices.Grow(p.scratch[:0], len(servers))
	limits, usual := p.limits(n), p.usual(service)
	recalling := now.Sub(p.firstAt) < recallTime
	for _, s := range servers {
		if !p.usable(now, s, n) {
			continue
		}
		p.scratch = append(p.scratch, candidate{server: s, load: s.load(now), class: s.keys.class(key)})
		c := &p.scratch[len(p.scratch)-1]
		if s == first && c.class == unknown && recalling {
			c.class = assumed
		}
		c.plain, c.least = service[c.class], p.learned(n.Route, c.class)
		c.service = c.plain * s.slow
		if over := c.load - float64(s.Slots) + 1; over > 0 {
			c.wait = over / float64(s.Slots) * usual * s.slow
		}
		c.cost = c.wait + c.service + s.failureRatio(now)*failureCost*n.Left.Seconds()
		if s != first {
			c.cost += moveMargin * c.plain
		}
		// Between equal servers the one with fewer requests is better.
		c.cost += 0.1 * c.plain * c.load / float64(s.Slots)
		if !local {
			c.service += RemoteTime.Seconds()
			c.cost += RemoteTime.Seconds()
		}
		if best == nil || c.cost < best.cost {
			best = c
		}
		if c.load >= limits.of(s.Slots) {
			continue
		}
		if s == first && c.class == unknown && p.adopt >= 1 {
			adopt = c
		}
		if c.class == unknown && !p.room {
			if fresh == nil || c.cost < fresh.cost {
				fresh = c
			}
		} else if open == nil || c.cost < open.cost {
			open = c
		}
	}
	switch {
	case adopt != nil:
		return adopt
	case open != nil:
		return open
	case fresh != nil && p.explore >= fresh.plain-service[0]:
		return fresh
	}
	return best
}

// usual is the service time of the pool's requests in seconds, or that of the
// request's route until it is known.
func (p *Pool) usual(service [classes]float64) float64 {
	if mean := p.demand.service(); mean > 0 {
		return mean
	}
	return service[0]
}

// limits gives the number of requests at a server from which on a request has
// to wait.
type limits struct {
	p        *Pool
	priority int
	slots    int
	limit    float64
}

func (p *Pool) limits(n Need) *limits { return &limits{p: p, priority: n.Priority} }

// of returns the limit of a server. Servers of a pool mostly have the same
// number of slots, so the last one is kept.
func (l *limits) of(slots int) float64 {
	if l.slots != slots {
		l.slots, l.limit = slots, l.p.demand.limit(l.priority, l.p.Hosts(), slots, l.p.own)
	}
	return l.limit
}

func (p *Pool) usable(now time.Time, s *server, n Need) bool {
	switch {
	case s.Draining || p.Evacuated(s.Domain) || now.Before(s.restUntil) || s.trial && s.running > 0:
		return false
	case s.isCold(now) && (!p.OwnsCold(s.Server) || !s.cold.ready(now, p.coldRate)):
		return false
	}
	for _, id := range n.Exclude {
		if id == s.ID {
			return false
		}
	}
	if len(n.Regions) == 0 {
		return true
	}
	for _, r := range n.Regions {
		if r == s.region {
			return true
		}
	}
	return false
}

// firstsMost bounds the remembered first servers.
const firstsMost = 8192

// firstKey names a key inside or outside the own region.
type firstKey struct {
	key   string
	local bool
}

// preferred returns the first server of the key, whether usable or not at this
// moment, so that a short failure does not move other keys.
func (p *Pool) preferred(n Need, local bool) *server {
	known, ok := p.firsts[firstKey{n.Key, local}]
	if ok {
		return known
	}
	var first *server
	var most uint64
	for _, s := range p.side(local) {
		if s.Draining {
			continue
		}
		if w := s.weight(n.Key); first == nil || w > most {
			first, most = s, w
		}
	}
	if len(p.firsts) >= firstsMost {
		clear(p.firsts)
	}
	p.firsts[firstKey{n.Key, local}] = first
	return first
}

func (p *Pool) refillExplore(now time.Time) {
	rate := exploreShare * float64(p.own)
	if !p.exploreAt.IsZero() {
		p.explore = min(p.explore+rate*now.Sub(p.exploreAt).Seconds(), rate*exploreBurst)
	}
	p.exploreAt = now
}
