package placing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
)

const (
	// maxFractionChangePerSecond is the largest change per second of the
	// fraction of a pool or a route that runs in other regions. Two adjacent
	// windows of 2 s then differ by at most 0.05 in the mean, which leaves
	// room for random variation and for the overflow below the platform's cap
	// of 0.15.
	maxFractionChangePerSecond = 0.025
	// maxReturnPerSecond is the largest decrease per second of a pool's
	// fraction, when keys return to the own region. It is lower than the
	// largest increase, because work that stays in another region only takes
	// a longer network path.
	maxReturnPerSecond = 0.01
	// offloadPressure and returnPressure are the pressures of the own region
	// above which keys move to other regions, and below which they return
	// (hysteresis).
	offloadPressure, returnPressure = 0.75, 0.5
	// offloadGap is how far the pressure of the own region has to exceed that
	// of the others for keys to move away. They also return below the
	// pressure of the others plus returnGap.
	offloadGap, returnGap = 0.2, 0.0
	// maxFraction bounds the fraction of the pool and that of each route.
	maxFraction = 0.8
	// overflowShare is the share of the requests that may leave the region of
	// their key because it is full at the moment.
	overflowShare = 0.03
	// overflowBurst bounds the tokens that accumulate for such requests.
	overflowBurst = 2
	// typicalPressure is the share of all slots that is taken on an ordinary
	// day; it determines the fraction with which a process starts.
	typicalPressure = 0.6
	// newRoutePeriod is how long after its first request a route takes its
	// fraction at once instead of gradually: there is no earlier traffic to
	// shift.
	newRoutePeriod = time.Second
	// shareHalfLife is the half-life of the weight of past requests.
	shareHalfLife = 8 * time.Second
	// remoteSalt is hashed with a key in IsRemote, so that the result is
	// independent of the key's order of servers.
	remoteSalt = "away"
)

// RemoteShare is the fraction of a pool's slot time that runs in other
// regions. It changes slowly, so that oscillating load does not move work back
// and forth between regions. Routes with a long target latency go first,
// because the network round trip matters least to them.
type RemoteShare struct {
	fraction       float64
	updated        time.Time
	overflowTokens float64 // requests that may currently leave the region of their key
	routes         map[string]*routeShare
}

// routeShare is the fraction of a route's keys that are assigned to other
// regions.
type routeShare struct {
	name           string
	target         time.Duration
	firstRequestAt time.Time
	slotSeconds    float64 // recent slot time, decayed
	fraction       float64
}

// Start sets the initial fraction from the slots of the own region and of all
// regions, assuming the same demand in each region. It has no effect after
// the first Update.
func (s *RemoteShare) Start(ownSlots, allSlots, regions int) {
	if !s.updated.IsZero() || allSlots == 0 {
		return
	}
	demand := typicalPressure * float64(allSlots) / float64(regions)
	s.fraction = min(max(1-offloadPressure*float64(ownSlots)/demand, 0), maxFraction)
}

// RecordRequest records a request with its expected service time in seconds.
func (s *RemoteShare) RecordRequest(now time.Time, n Need, service float64) {
	r := s.routes[n.Route]
	if r == nil {
		if s.routes == nil {
			s.routes = map[string]*routeShare{}
		}
		r = &routeShare{name: n.Route, firstRequestAt: now}
		s.routes[n.Route] = r
	}
	r.target = n.Target
	r.slotSeconds += service
	s.overflowTokens = min(s.overflowTokens+overflowShare, overflowBurst)
}

// Update adjusts the fraction to the pressure of the own region (local) and
// of the others (remote). known is false if the own region has no slots.
func (s *RemoteShare) Update(now time.Time, local, remote float64, known bool) {
	elapsed := min(now.Sub(s.updated).Seconds(), 1)
	if s.updated.IsZero() {
		elapsed = 0
	}
	s.updated = now
	switch {
	case !known:
	case local > offloadPressure && local > remote+offloadGap:
		s.fraction = min(s.fraction+maxFractionChangePerSecond*elapsed, maxFraction)
	case local < returnPressure || local < remote+returnGap:
		s.fraction = max(s.fraction-maxReturnPerSecond*elapsed, 0)
	}
	s.allocate(now, elapsed)
}

// allocate distributes the fraction over the routes, those with the longest
// target latency first, and decays their recent slot time.
func (s *RemoteShare) allocate(now time.Time, elapsed float64) {
	keep := math.Exp2(-elapsed / shareHalfLife.Seconds())
	order := make([]*routeShare, 0, len(s.routes))
	total := 0.0
	for name, r := range s.routes {
		if r.slotSeconds *= keep; r.slotSeconds < 1e-6 {
			delete(s.routes, name)
			continue
		}
		total += r.slotSeconds
		order = append(order, r)
	}
	slices.SortFunc(order, func(a, b *routeShare) int {
		return cmp.Or(cmp.Compare(b.target, a.target), cmp.Compare(a.name, b.name))
	})
	remaining := s.fraction * total
	for _, r := range order {
		want := min(remaining/r.slotSeconds, maxFraction)
		remaining -= want * r.slotSeconds
		if now.Sub(r.firstRequestAt) < newRoutePeriod {
			r.fraction = want
			continue
		}
		step := maxFractionChangePerSecond * elapsed
		r.fraction = min(max(want, r.fraction-step), r.fraction+step)
	}
}

// IsRemote reports whether a key of a route is assigned to other regions. As
// the fraction grows, keys are added and those already assigned stay.
func (s *RemoteShare) IsRemote(route, key string) bool {
	r := s.routes[route]
	return r != nil && float64(rendezvous.Weight(key, remoteSalt))/math.MaxUint64 < r.fraction
}

// TakeOverflow reports whether a request may leave the region of its key now
// and, if so, uses up a token.
func (s *RemoteShare) TakeOverflow() bool {
	if s.overflowTokens < 1 {
		return false
	}
	s.overflowTokens--
	return true
}

// Fraction returns the fraction of the slot time that runs in other regions.
func (s *RemoteShare) Fraction() float64 { return s.fraction }
