// Package placing chooses a backend server for each request of one pool, or
// decides that the request has to wait or is rejected. It does no I/O.
//
// A server takes less time for a request if it handled the same object
// recently, because it then has the object cached. Each key therefore has an
// order of preference over the servers of a region (rendezvous hashing), and
// a request leaves its preferred server only for one that is expected to
// answer sooner. The expected time consists of the wait for a slot, which
// follows from the requests in progress, and the learned service time.
package placing

import (
	"slices"
	"strings"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

const (
	// RemoteTime is the expected round-trip time that a server of another
	// region adds (the requirements give 35 ms one way).
	RemoteTime = 70 * time.Millisecond
	// failureCostShare weighs failures in the cost of a server: for one that
	// fails every request, this share of the time left until the deadline is
	// added.
	failureCostShare = 0.7
	// moveMargin is the share of the service time by which another server has
	// to be better than the preferred server of the key.
	moveMargin = 0.15
	// minServiceShare is the share of the learned service time that has to be
	// left after the wait for a slot; with less time a request is rejected.
	// It is below 1 because service times vary.
	minServiceShare = 0.6
	// adoptShare is the share of the requests that may go to the preferred
	// server of their key although it does not have the object cached and
	// other servers do, so that servers that joined the pool get requests.
	adoptShare = 0.03
	// adoptBurst bounds the tokens that accumulate for such requests.
	adoptBurst = 2
	// exploreShare is the share of the region's slot time that may be lost by
	// running requests at servers that do not have their object cached while
	// the pool has no spare capacity, so that objects in demand become cached
	// at more servers.
	exploreShare = 0.05
	// exploreBurstSeconds bounds the accumulated exploration budget to what
	// is added to it in this many seconds.
	exploreBurstSeconds = 1.0
	// assumeCachedTime is how long after the first request the preferred
	// server of a key is assumed to have the object cached: the hosts may
	// have been restarted, and the servers then still have cached objects
	// that this host has no record of.
	assumeCachedTime = 3 * time.Second
	// spareCapacityPressure is the pressure (see Pool.pressure) below which a
	// pool has spare capacity for requests that take longer because the
	// server does not have their object cached.
	spareCapacityPressure = 0.6
)

// Need describes a request to place.
type Need struct {
	// Key determines the preferred servers. Together with the route it
	// identifies the object that the request uses.
	Key   string
	Route string
	// Idempotent requests may be run more than once. This does not affect the
	// choice.
	Idempotent bool
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int
	Target   time.Duration // target latency
	TimeLeft time.Duration // time until the deadline
	Exclude  []string      // IDs of servers that were tried already
	// Regions are the only regions that may run the request; if empty, all
	// may.
	Regions []string
	// Host is the entry host that sends the request.
	Host string
}

// Verdict is the decision about a request.
type Verdict int

const (
	// Send means that the request goes to the chosen server.
	Send Verdict = iota
	// Wait means that all servers are busy and a slot may become free in
	// time.
	Wait
	// TooLate means that no server is expected to answer in time.
	TooLate
	// NoServer means that no server accepts the request.
	NoServer
)

// Choice is the result of Pick.
type Choice struct {
	Verdict Verdict
	Server  fleet.Server
	// Remote is set if the server is in another region.
	Remote bool
	// Expected is the expected time until the answer.
	Expected time.Duration
	Load     float64 // estimated number of requests at the server
	// Class and Service are the class and the service time that the choice
	// assumed; Finished compares them with the answer.
	Class   ReuseClass
	Service time.Duration
}

// Outcome is how a sent request ended.
type Outcome int

const (
	// Answered means a successful answer.
	Answered Outcome = iota
	// Shed means that the server refused the request without running it.
	Shed
	// Failed means a failed answer or a lost connection.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Misdirected means that a different server answered at the address.
	Misdirected
	// Abandoned means that the request ended without a result, for example
	// because the caller disconnected.
	Abandoned
)

// Pool holds what one host needs to place the requests of one pool. It is not
// safe for concurrent use.
type Pool struct {
	region        string             // region of this host
	servers       map[string]*server // by ID
	sortedServers []*server          // by ID, without removed servers
	// localServers and remoteServers are the sorted servers inside and
	// outside the own region.
	localServers, remoteServers []*server
	// scratch holds the candidates of one choice.
	scratch        []candidate
	preferences    map[preferenceKey]*server        // preferred servers found so far
	classEstimates map[string]*[numClasses]estimate // by route
	routeEstimates map[string]*estimate             // over all classes, by route
	peerRequests   map[string]map[string]int        // by host and server ID
	share          RemoteShare                      // which keys are assigned to other regions
	// remoteLoadRatio is a moving average of the load per slot that servers
	// of other regions reported with their answers.
	remoteLoadRatio float64
	// regions holds the latest reports of the other regions.
	regions  map[string]regionReport
	demand   demand
	ownSlots int // slots of the own region
	// exploreBudget is the slot time in seconds that may currently be lost by
	// running requests at servers that do not have their object cached.
	exploreBudget float64
	// adoptTokens is the number of requests that may currently go to the
	// preferred server of their key although it does not have the object
	// cached.
	adoptTokens       float64
	exploreRefilledAt time.Time
	firstRequestAt    time.Time // when the first request arrived
	pressureUpdatedAt time.Time
	// spareCapacity is set while the pressure of the own region is below
	// spareCapacityPressure.
	spareCapacity bool
	coldRate      float64 // requests per second to a cold server
	// OwnsCold reports whether this host is the one that sends to a cold
	// server.
	OwnsCold func(s fleet.Server) bool
	// Evacuated reports whether a failure domain is evacuated and gets no
	// requests.
	Evacuated func(domain string) bool
	// Hosts returns the number of entry hosts in the region.
	Hosts func() int
	// waiting is the number of requests that wait for a slot.
	waiting int
	// notices holds what servers said of themselves, by ID.
	notices map[string]*notices
}

// New returns a pool without servers for a host in region.
func New(region string) *Pool {
	return &Pool{
		region: region, servers: map[string]*server{}, classEstimates: map[string]*[numClasses]estimate{}, routeEstimates: map[string]*estimate{}, preferences: map[preferenceKey]*server{}, peerRequests: map[string]map[string]int{}, regions: map[string]regionReport{}, notices: map[string]*notices{},
		OwnsCold: func(fleet.Server) bool { return true }, Evacuated: func(string) bool { return false },
		Hosts: func() int { return 1 },
	}
}

// Update replaces the servers of the pool. A cold server gets at most
// coldRate requests per second. regionOf returns the region of a failure
// domain, or "" for an unknown one, whose servers are left out.
func (p *Pool) Update(now time.Time, list []fleet.Server, coldRate float64, regionOf func(domain string) string) {
	p.coldRate = coldRate
	seen := map[string]bool{}
	for _, f := range list {
		if regionOf(f.Domain) == "" {
			continue
		}
		seen[f.ID] = true
		s := p.servers[f.ID]
		if s == nil || s.StartedMS != f.StartedMS || s.Address != f.Address {
			// The server process is new; requests to the previous one ended
			// with it.
			s = &server{slowdown: 1}
			p.servers[f.ID] = s
		}
		s.Server, s.region, s.removed = f, regionOf(f.Domain), false
		s.notices = p.noticesOf(now, f)
	}
	p.forgetNotices(now)
	clear(p.preferences) // they depend on the set of servers
	p.sortedServers = p.sortedServers[:0]
	for id, s := range p.servers {
		if !seen[id] {
			s.removed = true
			if s.running <= 0 {
				delete(p.servers, id)
			}
			continue
		}
		p.sortedServers = append(p.sortedServers, s)
	}
	// A fixed order, so that the same servers lead to the same choices in
	// every process.
	slices.SortFunc(p.sortedServers, func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
	p.localServers, p.remoteServers = p.localServers[:0], p.remoteServers[:0]
	for _, s := range p.sortedServers {
		if s.region == p.region {
			p.localServers = append(p.localServers, s)
		} else {
			p.remoteServers = append(p.remoteServers, s)
		}
	}
	p.sumPeerRequests()
	ownSlots, allSlots, regions := p.capacity()
	p.ownSlots = ownSlots
	p.share.Start(ownSlots, allSlots, regions)
}

// RecordPeerRequests records the requests in progress of another host of the region, by
// server ID.
func (p *Pool) RecordPeerRequests(host string, loads map[string]int) {
	if len(loads) == 0 {
		if p.peerRequests[host] == nil {
			return
		}
		delete(p.peerRequests, host)
	} else {
		p.peerRequests[host] = loads
	}
	p.sumPeerRequests()
}

// sumPeerRequests recomputes the requests in progress of the other hosts at
// each server.
func (p *Pool) sumPeerRequests() {
	for _, s := range p.sortedServers {
		s.peerRequests = 0
	}
	for _, loads := range p.peerRequests {
		for id, n := range loads {
			if s := p.servers[id]; s != nil {
				s.peerRequests += n
			}
		}
	}
}

// Server returns the server with that ID if it accepts requests from host.
func (p *Pool) Server(now time.Time, id, host string) (fleet.Server, bool) {
	s := p.servers[id]
	if s == nil || s.removed || s.leaves() || s.notices.paused(now, host) || p.Evacuated(s.Domain) || now.Before(s.backoffUntil) {
		return fleet.Server{}, false
	}
	return s.Server, true
}

// RecordRequest records a new request of the pool and adjusts the share of keys
// that are assigned to other regions.
func (p *Pool) RecordRequest(now time.Time, n Need) {
	if p.firstRequestAt.IsZero() {
		p.firstRequestAt = now
	}
	service := p.expectedService(n)
	p.refillExplore(now)
	p.adoptTokens = min(p.adoptTokens+adoptShare, adoptBurst)
	p.demand.add(now, n, service)
	p.share.RecordRequest(now, n, service)
	if now.Sub(p.pressureUpdatedAt) >= pressureInterval {
		p.pressureUpdatedAt = now
		local, known := p.pressure(now)
		p.share.Update(now, local, p.remotePressure(now), known)
		p.spareCapacity = known && local < spareCapacityPressure
	}
}

// pressureInterval is the interval at which the pressure is recomputed from
// the load of all servers.
const pressureInterval = 20 * time.Millisecond

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
