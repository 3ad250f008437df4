package placing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
)

// Settings of Share.
const (
	// shareRate is the largest change of a fraction per second. Two adjacent
	// windows of 2 s then differ by at most 0.05 in the mean, which leaves room
	// for chance and for the overflow below the platform's cap of 0.15.
	shareRate = 0.025
	// returnRate is the largest change per second by which keys come back. It is
	// slower, because work that stays away only takes a longer way.
	returnRate = 0.01
	// pressureHigh and pressureLow are the shares of taken slots above which
	// keys move to other regions, and below which they come back.
	pressureHigh, pressureLow = 0.75, 0.5
	// pressureGap is how much fuller than the others a region has to be for keys
	// to move away, and pressureBack below which they come back.
	pressureGap, pressureBack = 0.2, 0.0
	shareMost                 = 0.8
	// overflowShare is the part of the requests that may leave their key's
	// region because it is full at the moment.
	overflowShare = 0.03
	overflowBurst = 2
	// usualLoad is the share of all slots that is taken on an ordinary day; it
	// sets the share with which a process starts.
	usualLoad = 0.6
	// firstTime is how long after its first request a route takes its fraction
	// at once: there is no earlier traffic to shift.
	firstTime = time.Second
	// shareHalf is the time in which past requests lose half of their weight.
	shareHalf = 8 * time.Second
	// awayKey keeps the order of keys in Away apart from that of servers.
	awayKey = "away"
)

// Share is the fraction of a pool's slot time that runs in other regions. It
// moves slowly, so that a wave of load does not throw the work between regions.
// Routes with much time for their answer go first, because the way there
// matters least to them.
type Share struct {
	fraction float64
	updated  time.Time
	overflow float64
	routes   map[string]*routeShare
}

// routeShare is the fraction of a route's keys that belong to other regions.
type routeShare struct {
	name     string
	target   time.Duration
	first    time.Time
	seconds  float64 // recent slot time
	fraction float64
}

// Start sets the first value from the slots of the own region and of all
// regions, as if each region had the same demand. It has no effect after the
// first request.
func (s *Share) Start(own, all, regions int) {
	if !s.updated.IsZero() || all == 0 {
		return
	}
	demand := usualLoad * float64(all) / float64(regions)
	s.fraction = min(max(1-pressureHigh*float64(own)/demand, 0), shareMost)
}

// Request counts a request that takes service seconds.
func (s *Share) Request(now time.Time, n Need, service float64) {
	r := s.routes[n.Route]
	if r == nil {
		if s.routes == nil {
			s.routes = map[string]*routeShare{}
		}
		r = &routeShare{name: n.Route, first: now}
		s.routes[n.Route] = r
	}
	r.target = n.Target
	r.seconds += service
	s.overflow = min(s.overflow+overflowShare, overflowBurst)
}

// Update moves the fraction by the shares of taken slots of the own region and
// of the others. known is false if the own region has no slots.
func (s *Share) Update(now time.Time, local, remote float64, known bool) {
	elapsed := min(now.Sub(s.updated).Seconds(), 1)
	if s.updated.IsZero() {
		elapsed = 0
	}
	s.updated = now
	switch {
	case !known:
	case local > pressureHigh && local > remote+pressureGap:
		s.fraction = min(s.fraction+shareRate*elapsed, shareMost)
	case local < pressureLow || local < remote+pressureBack:
		s.fraction = max(s.fraction-returnRate*elapsed, 0)
	}
	s.spread(now, elapsed)
}

// spread gives the fraction to the routes.
func (s *Share) spread(now time.Time, elapsed float64) {
	keep := math.Exp2(-elapsed / shareHalf.Seconds())
	order := make([]*routeShare, 0, len(s.routes))
	total := 0.0
	for name, r := range s.routes {
		if r.seconds *= keep; r.seconds < 1e-6 {
			delete(s.routes, name)
			continue
		}
		total += r.seconds
		order = append(order, r)
	}
	slices.SortFunc(order, func(a, b *routeShare) int {
		return cmp.Or(cmp.Compare(b.target, a.target), cmp.Compare(a.name, b.name))
	})
	left := s.fraction * total
	for _, r := range order {
		want := min(left/r.seconds, shareMost)
		left -= want * r.seconds
		if now.Sub(r.first) < firstTime {
			r.fraction = want
			continue
		}
		step := shareRate * elapsed
		r.fraction = min(max(want, r.fraction-step), r.fraction+step)
	}
}

// Away reports whether a key of a route belongs to other regions. As the
// fraction grows, keys join those that belong there already.
func (s *Share) Away(route, key string) bool {
	r := s.routes[route]
	return r != nil && float64(rendezvous.Weight(key, awayKey))/math.MaxUint64 < r.fraction
}

// Overflow takes one request that may leave its key's region, if there is one.
func (s *Share) Overflow() bool {
	if s.overflow < 1 {
		return false
	}
	s.overflow--
	return true
}

// Fraction returns the fraction of the slot time that runs in other regions.
func (s *Share) Fraction() float64 { return s.fraction }
