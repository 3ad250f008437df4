// Package placing chooses a backend server for each request of one pool, or
// says that the request has to wait or is rejected. It is free of I/O.
//
// A request costs a server less time if the server handled the same object
// lately, so each key has an order of preference over the servers of a region
// (rendezvous hashing), and a request leaves its first server only for one that
// is expected to answer sooner. The expectation is the wait for a slot, from
// the requests in progress, and the learned service time.
package placing

import (
	"slices"
	"strings"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// Settings of the choice.
const (
	// RemoteTime is the expected time that a server of another region adds,
	// there and back (brief: 35 ms one way).
	RemoteTime = 70 * time.Millisecond
	// failureCost is the share of the time left that a certain failure costs.
	failureCost = 0.7
	// moveMargin is the share of the service time by which another server has
	// to be better than the key's first one.
	moveMargin = 0.15
	// hopeful is the part of the learned service time below which a request is not
	// expected to be answered; service times vary.
	hopeful = 0.6
	// adoptShare is the part of the requests that may go to the first server of
	// their key although other servers know the object, so that servers that
	// joined get their part.
	adoptShare = 0.03
	adoptBurst = 2
	// exploreShare is the part of the region's slot time that may be lost by
	// running requests at servers that do not know their object while the pool
	// has no room: the objects in demand have to become known at more servers.
	exploreShare = 0.05
	// exploreBurst is how many seconds of that share add up.
	exploreBurst = 1.0
	// recallTime is how long after the first request the first server of a key is
	// assumed to know the object: the hosts may have been restarted, and then the
	// servers know what this one does not.
	recallTime = 3 * time.Second
	// roomPressure is the share of taken slots below which a pool has room for
	// requests that take longer at a server that does not know their object.
	roomPressure = 0.6
)

// Need is a request to place.
type Need struct {
	Key        string
	Route      string
	Idempotent bool
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int
	Target   time.Duration
	Left     time.Duration // until the deadline
	Exclude  []string      // servers that were tried
	// Regions, if any, are the only ones that may run the request.
	Regions []string
}

// Verdict says what to do with a request.
type Verdict int

// The verdicts.
const (
	Send Verdict = iota
	// Wait means that all servers are busy and a slot may come free in time.
	Wait
	// TooLate means that no server is expected to answer in time.
	TooLate
	// NoServer means that no server accepts the request.
	NoServer
)

// Choice is the answer of Pick.
type Choice struct {
	Verdict Verdict
	Server  fleet.Server
	Remote  bool
	// Expected is the time to the answer.
	Expected time.Duration
	Load     float64 // estimated requests at the server
	// Class and Service are what the choice assumed; Finished compares them with
	// the answer.
	Class   Class
	Service time.Duration
}

// Outcome is how a sent request ended.
type Outcome int

// The outcomes.
const (
	Answered Outcome = iota
	// Shed means that the server refused the request without running it.
	Shed
	// Failed means a failed answer or a lost connection.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Misdirected means that another server has the address.
	Misdirected
	// Abandoned means that the caller left.
	Abandoned
)

// Pool places the requests of one pool on one host. It is not safe for
// concurrent use.
type Pool struct {
	region  string
	servers map[string]*server
	order   []*server // all that are not gone
	// inside and outside are those of the own region and of the others.
	inside, outside []*server
	// scratch holds the candidates of one choice.
	scratch  []candidate
	firsts   map[firstKey]*server
	services map[string]*[classes]estimate
	means    map[string]*estimate // over all classes, by route
	peers    map[string]map[string]int
	share    Share
	// remote is the share of taken slots that servers of other regions told.
	remote float64
	// regions are the reports of the other regions.
	regions map[string]regionLoad
	demand  demand
	own     int // slots of the own region
	// explore is the slot time in seconds that may be lost by running requests
	// where their object is unknown.
	explore float64
	// adopt is the number of requests that may go to their key's first server
	// although it does not know the object.
	adopt     float64
	exploreAt time.Time
	firstAt   time.Time // of the first request
	pressedAt time.Time
	// room is set while few slots of the own region are taken.
	room     bool
	coldRate float64
	// OwnsCold tells whether this host sends to a cold server.
	OwnsCold func(s fleet.Server) bool
	// Evacuated tells whether a failure domain gets no requests.
	Evacuated func(domain string) bool
	// Hosts returns the number of entry hosts in the region.
	Hosts func() int
	// waiting is the number of requests that wait for a slot.
	waiting int
}

// New returns a pool without servers for a host in region.
func New(region string) *Pool {
	return &Pool{
		region: region, servers: map[string]*server{}, services: map[string]*[classes]estimate{}, means: map[string]*estimate{}, firsts: map[firstKey]*server{}, peers: map[string]map[string]int{}, regions: map[string]regionLoad{},
		OwnsCold: func(fleet.Server) bool { return true }, Evacuated: func(string) bool { return false },
		Hosts: func() int { return 1 },
	}
}

// Update replaces the servers of the pool. regionOf names the region of a
// failure domain.
func (p *Pool) Update(now time.Time, list []fleet.Server, coldRate float64, regionOf func(domain string) string) {
	p.coldRate = coldRate
	seen := map[string]bool{}
	for _, f := range list {
		seen[f.ID] = true
		s := p.servers[f.ID]
		if s == nil || s.Born != f.Born || s.Address != f.Address {
			// Requests to the process before it have ended with it.
			s = &server{slow: 1}
			p.servers[f.ID] = s
		}
		s.Server, s.region, s.gone = f, regionOf(f.Domain), false
	}
	clear(p.firsts) // it depends on the servers
	p.order = p.order[:0]
	for id, s := range p.servers {
		if !seen[id] {
			s.gone = true
			if s.running <= 0 {
				delete(p.servers, id)
			}
			continue
		}
		p.order = append(p.order, s)
	}
	// The same servers give the same choices in every process.
	slices.SortFunc(p.order, func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
	p.inside, p.outside = p.inside[:0], p.outside[:0]
	for _, s := range p.order {
		if s.region == p.region {
			p.inside = append(p.inside, s)
		} else {
			p.outside = append(p.outside, s)
		}
	}
	p.sumPeers()
	own, all, regions := p.capacity()
	p.own = own
	p.share.Start(own, all, regions)
}

// PeerLoad records the requests in progress of another host, by server.
func (p *Pool) PeerLoad(host string, loads map[string]int) {
	if len(loads) == 0 {
		if p.peers[host] == nil {
			return
		}
		delete(p.peers, host)
	} else {
		p.peers[host] = loads
	}
	p.sumPeers()
}

func (p *Pool) sumPeers() {
	for _, s := range p.order {
		s.peers = 0
	}
	for _, loads := range p.peers {
		for id, n := range loads {
			if s := p.servers[id]; s != nil {
				s.peers += n
			}
		}
	}
}

// Server returns the server of that name if it takes requests.
func (p *Pool) Server(now time.Time, id string) (fleet.Server, bool) {
	s := p.servers[id]
	if s == nil || s.gone || s.Draining || p.Evacuated(s.Domain) || now.Before(s.restUntil) {
		return fleet.Server{}, false
	}
	return s.Server, true
}

// Request counts a new request of the pool and moves the share of keys that
// belong to other regions.
func (p *Pool) Request(now time.Time, n Need) {
	if p.firstAt.IsZero() {
		p.firstAt = now
	}
	service := p.expectedService(n)
	p.refillExplore(now)
	p.adopt = min(p.adopt+adoptShare, adoptBurst)
	p.demand.add(now, n, service)
	p.share.Request(now, n, service)
	if now.Sub(p.pressedAt) >= pressureEvery {
		p.pressedAt = now
		local, known := p.pressure(now)
		p.share.Update(now, local, p.remotePressure(now), known)
		p.room = known && local < roomPressure
	}
}

// pressureEvery is the interval at which the load of all servers is summed up.
const pressureEvery = 20 * time.Millisecond

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
