package placing

import (
	"slices"
	"time"
)

// candidate is a server under consideration for a request.
type candidate struct {
	*server
	// load is the estimated number of requests at the server. cost is what a
	// choice minimizes and wait the expected wait for a slot, both in
	// seconds.
	load, cost float64
	wait       float64
	class      ReuseClass
	// nominal is the expected service time at a server of average speed and
	// service the one at this server, both in seconds. service includes the
	// network round trip if the server is in another region.
	nominal, service float64
	// learnedService is the learned service time of the class in seconds, 0
	// if there is none.
	learnedService float64
}

// Pick chooses a server. If the verdict is Send, the caller must call
// Started.
//
// Each key is assigned to the own region or, for the share of keys that the
// region has no capacity for, to the others, so that requests for a key keep
// going to the same servers.
func (p *Pool) Pick(now time.Time, n Need) Choice {
	remote := p.share.IsRemote(n.Route, n.Key)
	assigned := p.best(now, n, !remote)
	if assigned != nil {
		choice := p.decide(n, assigned, remote)
		if choice.Verdict == Send && choice.Expected <= n.Target {
			return choice
		}
		alternative := p.best(now, n, remote)
		if alternative == nil {
			return choice
		}
		fallback := p.decide(n, alternative, !remote)
		if fallback.Verdict == Send && (choice.Verdict != Send || fallback.Expected <= n.Target) && p.share.TakeOverflow() {
			return fallback
		}
		return choice
	}
	if alternative := p.best(now, n, remote); alternative != nil {
		return p.decide(n, alternative, !remote)
	}
	return Choice{Verdict: NoServer}
}

// decide returns the choice of a candidate with its verdict.
func (p *Pool) decide(n Need, c *candidate, remote bool) Choice {
	choice := Choice{
		Server: c.Server, Remote: remote, Expected: secondsToDuration(c.wait + c.service), Load: c.load,
		Class: c.class, Service: secondsToDuration(c.nominal),
	}
	switch {
	case c.wait+c.learnedService*minServiceShare > n.TimeLeft.Seconds():
		choice.Verdict = TooLate
	case c.load >= p.limits(n).of(c.Slots):
		choice.Verdict = Wait
	}
	return choice
}

// regionServers returns the servers inside (local) or outside the own region.
func (p *Pool) regionServers(local bool) []*server {
	if local {
		return p.localServers
	}
	return p.remoteServers
}

// best returns the cheapest usable server inside (local) or outside the own
// region, nil if there is none. Servers below their load limit come first.
// Among these, the preferred server of the key wins regardless of cost if it
// does not have the object cached and there is a token for it (see
// adoptShare). Otherwise, while the pool has no spare capacity, servers that
// have the object cached come before those that do not, and the latter need
// enough exploration budget for the longer service time. If no server
// qualifies, the cheapest of all usable ones is returned. The candidate is
// valid until the next call.
func (p *Pool) best(now time.Time, n Need, local bool) *candidate {
	service := p.estimates(n)
	preferred := p.preferredServer(n, local)
	key := n.Route + "\x00" + n.Key
	var best, eligible, uncached, uncachedPreferred *candidate
	servers := p.regionServers(local)
	// With enough capacity, append below does not move the candidates that
	// are pointed to.
	p.scratch = slices.Grow(p.scratch[:0], len(servers))
	limits, meanService := p.limits(n), p.meanService(service)
	recentlyStarted := now.Sub(p.firstRequestAt) < assumeCachedTime
	for _, s := range servers {
		if !p.usable(now, s, n) {
			continue
		}
		p.scratch = append(p.scratch, candidate{server: s, load: s.load(now), class: s.keys.class(key)})
		c := &p.scratch[len(p.scratch)-1]
		if s == preferred && c.class == notCached && recentlyStarted {
			c.class = assumedCached
		}
		c.nominal, c.learnedService = service[c.class], p.learned(n.Route, c.class)
		slowness := s.slowdown * s.currentWorkFactor(now)
		c.service = c.nominal * slowness
		// Slots become free at a rate of one per slot and mean service time;
		// the request waits for those beyond the slots, including itself.
		if over := c.load - float64(s.Slots) + 1; over > 0 {
			c.wait = over / float64(s.Slots) * meanService * slowness
		}
		c.cost = c.wait + c.service + s.failureRatio(now)*failureCostShare*n.TimeLeft.Seconds()
		if c.class == notCached && s.workFactor != 0 {
			// A slow episode elsewhere is over before it pays to cache the object
			// here too.
			c.cost += c.nominal
		}
		if s != preferred {
			c.cost += moveMargin * c.nominal
		}
		// Among otherwise equal servers the one with fewer requests is
		// better.
		c.cost += 0.1 * c.nominal * c.load / float64(s.Slots)
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
		if s == preferred && c.class == notCached && p.adoptTokens >= 1 {
			uncachedPreferred = c
		}
		if c.class == notCached && !p.spareCapacity {
			if uncached == nil || c.cost < uncached.cost {
				uncached = c
			}
		} else if eligible == nil || c.cost < eligible.cost {
			eligible = c
		}
	}
	switch {
	case uncachedPreferred != nil:
		return uncachedPreferred
	case eligible != nil:
		return eligible
	case uncached != nil && p.exploreBudget >= uncached.nominal-service[0]:
		return uncached
	}
	return best
}

// meanService returns the mean service time of the pool's recent requests in
// seconds, or, before there are any, the estimate for the route of the
// request at hand.
func (p *Pool) meanService(service [numClasses]float64) float64 {
	if mean := p.demand.service(); mean > 0 {
		return mean
	}
	return service[0]
}

// limits computes the number of requests at a server from which on requests
// of a priority have to wait.
type limits struct {
	p        *Pool
	priority int
	slots    int
	limit    float64
}

func (p *Pool) limits(n Need) *limits { return &limits{p: p, priority: n.Priority} }

// of returns the limit of a server with that many slots. The servers of a
// pool mostly have the same number of slots, so the last result is cached.
func (l *limits) of(slots int) float64 {
	if l.slots != slots {
		l.slots, l.limit = slots, l.p.demand.limit(l.priority, l.p.Hosts(), slots, l.p.ownSlots)
	}
	return l.limit
}

// usable reports whether the request may be sent to the server now.
func (p *Pool) usable(now time.Time, s *server, n Need) bool {
	switch {
	case s.leaves() || s.notices.paused(now, n.Host) || p.Evacuated(s.Domain) || now.Before(s.backoffUntil) || s.halfOpen && s.running > 0:
		return false
	case s.isCold(now) && (!p.OwnsCold(s.Server) || !s.coldBucket.ready(now, p.coldRate)):
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

// maxPreferences bounds the preferred servers that are cached.
const maxPreferences = 8192

// preferenceKey identifies a key inside (local) or outside the own region.
type preferenceKey struct {
	key   string
	local bool
}

// preferredServer returns the first server in the key's order of preference,
// inside (local) or outside the own region, whether it is usable now or not,
// so that a short failure does not move other keys.
func (p *Pool) preferredServer(n Need, local bool) *server {
	cached, ok := p.preferences[preferenceKey{n.Key, local}]
	if ok {
		return cached
	}
	var preferred *server
	var maxWeight uint64
	for _, s := range p.regionServers(local) {
		if s.leaves() {
			continue
		}
		if w := s.weight(n.Key); preferred == nil || w > maxWeight {
			preferred, maxWeight = s, w
		}
	}
	if len(p.preferences) >= maxPreferences {
		clear(p.preferences)
	}
	p.preferences[preferenceKey{n.Key, local}] = preferred
	return preferred
}

// refillExplore adds the share of the slot time since the last call to the
// exploration budget.
func (p *Pool) refillExplore(now time.Time) {
	rate := exploreShare * float64(p.ownSlots)
	if !p.exploreRefilledAt.IsZero() {
		p.exploreBudget = min(p.exploreBudget+rate*now.Sub(p.exploreRefilledAt).Seconds(), rate*exploreBurstSeconds)
	}
	p.exploreRefilledAt = now
}
