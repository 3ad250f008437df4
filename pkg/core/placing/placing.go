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
	region   string
	servers  map[string]*server
	order    []*server // all that are not gone
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

// estimate is a moving average of service times.
type estimate struct {
	mean float64 // seconds
	n    int
}

func (e *estimate) add(d time.Duration) {
	e.n++
	e.mean += max(smoothing, 1/float64(e.n)) * (d.Seconds() - e.mean)
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
	p.sumPeers()
	own, all, regions := p.capacity()
	p.own = own
	p.share.Start(own, all, regions)
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

// PeerLoad records the requests in progress of another host, by server.
func (p *Pool) PeerLoad(host string, loads map[string]int) {
	if len(loads) == 0 {
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

// Report is what the hosts of one region tell those of another about a pool:
// the requests at their own servers, and those that they sent to the other's.
type Report struct {
	Loads map[string]int `cbor:"1,keyasint,omitempty"`
	Sent  map[string]int `cbor:"2,keyasint,omitempty"`
	// Pressure is the share of taken slots of the region, and Slots their number.
	Pressure float64 `cbor:"3,keyasint"`
	Slots    int     `cbor:"4,keyasint"`
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

// regionLoad is what another region told.
type regionLoad struct {
	pressure float64
	slots    int
	at       time.Time
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

// Request counts a new request of the pool and moves the share of keys that
// belong to other regions.
func (p *Pool) Request(now time.Time, n Need) {
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

// best returns the cheapest usable server inside or outside the own region.
func (p *Pool) best(now time.Time, n Need, local bool) *candidate {
	service := p.estimates(n)
	first := p.preferred(n, local)
	key := n.Route + "\x00" + n.Key
	var best, open, fresh, adopt *candidate
	all := make([]candidate, 0, len(p.order))
	limits := p.limits(n)
	for _, s := range p.order {
		if (s.region == p.region) != local || !p.usable(now, s, n) {
			continue
		}
		all = append(all, candidate{server: s, load: s.load(now), class: s.keys.class(key)})
		c := &all[len(all)-1]
		c.plain, c.least = service[c.class], p.learned(n.Route, c.class)
		c.service = c.plain * s.slow
		if over := c.load - float64(s.Slots) + 1; over > 0 {
			c.wait = over / float64(s.Slots) * p.usual(service) * s.slow
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
	for _, s := range p.order {
		if (s.region == p.region) != local || s.Draining {
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

// estimates returns the expected service times of the classes in seconds.
func (p *Pool) estimates(n Need) [classes]float64 {
	var out [classes]float64
	known := p.services[n.Route]
	for i := range out {
		prior := classShares[i] * n.Target.Seconds()
		out[i] = prior
		if known != nil && known[i].n > 0 {
			w := min(float64(known[i].n)/8, 1)
			out[i] = w*known[i].mean + (1-w)*prior
		}
	}
	return out
}

func (p *Pool) refillExplore(now time.Time) {
	rate := exploreShare * float64(p.own)
	if !p.exploreAt.IsZero() {
		p.explore = min(p.explore+rate*now.Sub(p.exploreAt).Seconds(), rate*exploreBurst)
	}
	p.exploreAt = now
}

// expectedService is the recent mean service time of a route in seconds.
func (p *Pool) expectedService(n Need) float64 {
	if e := p.means[n.Route]; e != nil && e.n > 0 {
		return e.mean
	}
	return classShares[0] * n.Target.Seconds()
}

// learned is the learned service time of a class in seconds, 0 if there are too
// few answers.
func (p *Pool) learned(route string, c Class) float64 {
	if known := p.services[route]; known != nil && known[c].n >= learnedLeast {
		return known[c].mean
	}
	return 0
}

// learnedLeast is the number of answers from which on a service time is used to
// reject requests.
const learnedLeast = 5

// pressure is the share of the usable slots of the own region that are taken or
// waited for.
func (p *Pool) pressure(now time.Time) (float64, bool) {
	load, slots := float64(p.waiting), 0
	for _, s := range p.order {
		if s.region == p.region && p.usable(now, s, Need{}) && !s.isCold(now) {
			load += min(s.load(now), float64(2*s.Slots))
			slots += s.Slots
		}
	}
	if slots == 0 {
		return 0, false
	}
	return load / float64(slots), true
}

// Started records that a request is sent to the server of c.
func (p *Pool) Started(now time.Time, c Choice, n Need) {
	if s := p.servers[c.Server.ID]; s != nil {
		s.running++
		if s.isCold(now) {
			s.cold.take()
		}
		if c.Class == unknown && p.adopt >= 1 {
			p.adopt--
		} else if c.Class == unknown && !p.room {
			p.explore -= c.Service.Seconds() - p.estimates(n)[0]
		}
		s.keys.add(now, n.Route+"\x00"+n.Key)
	}
}

// Finished records the end of a request after it was Started. took is the time
// from the send to the answer.
func (p *Pool) Finished(now time.Time, c Choice, n Need, o Outcome, took time.Duration) {
	s := p.servers[c.Server.ID]
	if s == nil || s.Born != c.Server.Born || s.Address != c.Server.Address {
		return // sent to an earlier process of that name
	}
	s.running = max(s.running-1, 0)
	if s.gone && s.running == 0 {
		delete(p.servers, s.ID)
		return
	}
	switch o {
	case Answered:
		p.answered(now, s, c, n, took)
	case Failed:
		s.observe(now, true)
	case Shed:
		s.reported, s.reportedAt = max(s.Slots*2, s.reported), now
		s.observe(now, s.running+s.peers < s.Slots)
	case Unreachable, Misdirected:
		s.rested(now)
	case Abandoned:
	}
}

// answered learns from a good answer. Only requests that did not wait at the
// server show its service time.
func (p *Pool) answered(now time.Time, s *server, c Choice, n Need, took time.Duration) {
	s.observe(now, false)
	s.rest, s.trial = 0, false
	if c.Remote {
		took = max(took-RemoteTime, time.Millisecond)
	}
	if s.isCold(now) || c.Load >= float64(s.Slots) || s.queued {
		return
	}
	known := p.services[n.Route]
	if known == nil {
		known = new([classes]estimate)
		p.services[n.Route] = known
	}
	if s.slow < 2 {
		known[c.Class].add(took)
		if p.means[n.Route] == nil {
			p.means[n.Route] = &estimate{}
		}
		p.means[n.Route].add(took)
	}
	// A guess of the service time tells nothing about the server.
	if c.Service > 0 && known[c.Class].n > learnedLeast {
		ratio := float64(took) / float64(c.Service)
		s.slow += smoothing * (ratio - s.slow)
		s.slow = min(max(s.slow, slowMin), slowMost)
	}
}

// rested keeps requests away from a server that could not be reached, for
// longer after each attempt.
func (s *server) rested(now time.Time) {
	if now.Before(s.restUntil) {
		return
	}
	s.rest = min(max(2*s.rest, restFirst), restMost)
	s.restUntil, s.trial = now.Add(s.rest), true
}

// Reported records the load that a server told: running and waiting requests.
// Call it before Finished.
func (p *Pool) Reported(now time.Time, id string, running, waiting int) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.reported, s.reportedAt, s.queued = running+waiting, now, waiting > 0
	if s.region != p.region {
		p.remote += smoothing * (float64(s.reported)/float64(s.Slots) - p.remote)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

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
