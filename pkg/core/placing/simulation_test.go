package placing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// This file simulates the load of a pool in virtual time: callers in regions,
// servers with slots, a queue and a cache of their latest objects, and either
// one dispatcher per region or a baseline policy.

// simRoute is one kind of request.
type simRoute struct {
	name      string
	perSecond float64       // requests per second and region
	work      time.Duration // mean service time if the object is not cached
	target    time.Duration
	deadline  time.Duration
	priority  int
	keys      int // objects per region
}

// simRegion is a region with its servers.
type simRegion struct {
	servers int
	// demand scales the request rate, by time since the start.
	demand func(at time.Duration) float64
}

// simConfig describes one simulation.
type simConfig struct {
	seed        uint64
	slots       int
	cacheSize   int     // objects that a server has cached
	cachedShare float64 // service time for a cached object, as a share of the time without
	regions     []simRegion
	routes      []simRoute
	duration    time.Duration
	// removals are the times after the start at which servers are removed, by
	// index.
	removals map[int]time.Duration
	// restartAt is when all dispatchers are restarted and lose their state,
	// if not 0.
	restartAt time.Duration
	// policy is "dispatch", "least-loaded" or "round-robin".
	policy string
	// episodes are the times in which work takes longer at a server; the servers
	// take the elements in turn. The servers report how long work takes at the
	// moment if reportWork is set.
	episodes   [][]slowEpisode
	reportWork bool
}

// slowEpisode is a time in which work takes percent of its usual time.
type slowEpisode struct {
	from, to time.Duration // since the start
	percent  int
}

// workPercent returns how long work takes at server i at the moment, in percent of
// the usual time, and when that changes.
func (sim *simulation) workPercent(i int, at time.Duration) (percent int, until time.Duration) {
	until = math.MaxInt64
	if len(sim.episodes) == 0 {
		return 100, until
	}
	for _, e := range sim.episodes[i%len(sim.episodes)] {
		switch {
		case at < e.from:
			return 100, e.from
		case at < e.to:
			return e.percent, e.to
		}
	}
	return 100, until
}

// workTime returns how long work that usually takes usual takes at server i if it
// begins now.
func (sim *simulation) workTime(i int, usual time.Duration) time.Duration {
	began := sim.now.Sub(sim.start)
	for at, left := began, usual; ; {
		percent, until := sim.workPercent(i, at)
		needed := left * time.Duration(percent) / 100
		if needed <= until-at {
			return at + needed - began
		}
		left -= (until - at) * 100 / time.Duration(percent)
		at = until
	}
}

// simResult counts the outcomes of one route.
type simResult struct {
	// late requests met the deadline but not the target latency. heldTooLong
	// counts the rejected requests that were rejected only after a wait, or
	// answered after the deadline.
	requests, inTarget, late, rejected, heldTooLong int
	// slotTime is the total service time, uncachedTime the part of it for
	// objects that the server did not have cached.
	slotTime, uncachedTime time.Duration
}

func (c simResult) onTargetShare() float64 {
	return float64(c.inTarget) / math.Max(float64(c.requests), 1)
}

func (c simResult) String() string {
	return fmt.Sprintf("requests %d, in target %.3f, late %.3f, rejected %.3f (%d only after a wait), slot time %s, for uncached objects %s", c.requests, c.onTargetShare(),
		float64(c.late)/float64(c.requests), float64(c.rejected)/float64(c.requests), c.heldTooLong, c.slotTime.Round(time.Second), c.uncachedTime.Round(time.Second))
}

type simServer struct {
	fleet.Server
	region  int
	running int
	queue   []*simRequest
	cache   []string // the latest object last
}

type simRequest struct {
	ref     Ref
	route   simRoute
	key     string
	region  int
	arrived time.Time
	sent    time.Time
	choice  Choice
	need    Need
	server  *simServer
	waited  time.Duration
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []simEvent

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation is the state of one run.
type simulation struct {
	simConfig
	rng             *rand.Rand
	start           time.Time
	now             time.Time
	events          eventQueue
	seq             int
	servers         []*simServer
	dispatchers     []*Dispatcher
	inFlight        map[Ref]*simRequest
	counts          map[string]*simResult
	roundRobinIndex int
	// requestCounts are the requests by window of 2 s, region of the caller
	// and region of the server.
	requestCounts  map[[3]int]int
	largestShiftAt string // where largestShift found its result
}

func newSimulation(c simConfig) *simulation {
	sim := &simulation{
		simConfig: c, rng: rand.New(rand.NewPCG(c.seed, 1)), start: time.Unix(1_700_000_000, 0), inFlight: map[Ref]*simRequest{},
		counts: map[string]*simResult{}, requestCounts: map[[3]int]int{},
	}
	sim.now = sim.start
	for r, region := range c.regions {
		for range region.servers {
			i := len(sim.servers)
			sim.servers = append(sim.servers, &simServer{region: r, Server: fleet.Server{
				ID: fmt.Sprintf("i-%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Pool: "p", Domain: regionName(r), Slots: c.slots,
			}})
		}
	}
	for r := range c.regions {
		sim.dispatchers = append(sim.dispatchers, NewDispatcher(New(regionName(r))))
	}
	sim.update()
	return sim
}

func regionName(r int) string { return fmt.Sprintf("region-%d", r) }

// update passes the current list of servers to the dispatchers.
func (sim *simulation) update() {
	var list []fleet.Server
	for i, s := range sim.servers {
		if at, ok := sim.removals[i]; !ok || sim.now.Sub(sim.start) < at {
			list = append(list, s.Server)
		}
	}
	for _, p := range sim.dispatchers {
		p.Update(sim.now, list, 5, func(domain string) string { return domain })
	}
}

// after schedules an event.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, simEvent{sim.now.Add(d), sim.seq, do})
}

// run simulates the load and returns the outcomes by route.
func (sim *simulation) run() map[string]*simResult {
	for r := range sim.regions {
		for _, route := range sim.routes {
			sim.counts[route.name] = &simResult{}
			sim.scheduleArrivals(r, route)
		}
	}
	for _, at := range sim.removals {
		sim.after(at, sim.update)
	}
	if sim.restartAt > 0 {
		sim.after(sim.restartAt, sim.restartDispatchers)
	}
	sim.exchangeReports()
	for sim.events.Len() > 0 {
		e := heap.Pop(&sim.events).(simEvent)
		sim.now = e.at
		e.do()
	}
	return sim.counts
}

// restartDispatchers replaces all dispatchers by new ones, which know only
// the list of servers, and resets the results.
func (sim *simulation) restartDispatchers() {
	for r := range sim.dispatchers {
		sim.dispatchers[r] = NewDispatcher(New(regionName(r)))
	}
	sim.update()
	for _, route := range sim.routes {
		sim.counts[route.name] = &simResult{}
	}
	clear(sim.inFlight) // their connections ended with the hosts
}

// scheduleArrivals generates the requests of one route in one region.
func (sim *simulation) scheduleArrivals(r int, route simRoute) {
	demand := sim.regions[r].demand(sim.now.Sub(sim.start))
	gap := time.Duration(sim.rng.ExpFloat64() / (route.perSecond * math.Max(demand, 0.01)) * float64(time.Second))
	sim.after(gap, func() {
		if sim.now.Sub(sim.start) >= sim.duration {
			return
		}
		sim.scheduleArrivals(r, route)
		sim.request(r, route)
	})
}

// exchangeReports exchanges the reports of the regions and wakes waiting
// requests, periodically.
func (sim *simulation) exchangeReports() {
	if sim.now.Sub(sim.start) >= sim.duration+10*time.Second {
		return
	}
	for i, p := range sim.dispatchers {
		report := p.Report(sim.now)
		for j, other := range sim.dispatchers {
			if i != j {
				sim.after(RemoteTime/2, func() { other.RecordRegionReport(sim.now, regionName(i), report) })
			}
		}
		sim.deliver(p.Wake(sim.now))
	}
	sim.after(200*time.Millisecond, sim.exchangeReports)
}

func (sim *simulation) request(r int, route simRoute) {
	sim.seq++
	x := &simRequest{
		ref: Ref{regionName(r), uint64(sim.seq)}, route: route, region: r, arrived: sim.now,
		key: fmt.Sprintf("%d-%d", r, sim.rng.IntN(route.keys)),
	}
	sim.counts[route.name].requests++
	x.need = Need{Key: x.key, Route: route.name, Priority: route.priority, Target: route.target}
	sim.inFlight[x.ref] = x
	if sim.policy != "dispatch" {
		sim.send(x, sim.baseline(r))
		return
	}
	p := sim.dispatchers[r]
	p.RecordRequest(sim.now, x.need)
	if placement, queued := p.Offer(sim.now, x.ref, x.need, sim.now.Add(route.deadline)); !queued {
		sim.deliver([]Placement{placement})
	}
}

// baseline chooses a server of the region by the baseline policy, regardless
// of the object.
func (sim *simulation) baseline(r int) *simServer {
	var list []*simServer
	for _, s := range sim.servers {
		if s.region == r {
			list = append(list, s)
		}
	}
	sim.roundRobinIndex++
	if sim.policy == "round-robin" {
		return list[sim.roundRobinIndex%len(list)]
	}
	return slices.MinFunc(list, func(a, b *simServer) int { return a.running + len(a.queue) - b.running - len(b.queue) })
}

// deliver sends or rejects requests according to their placements.
func (sim *simulation) deliver(list []Placement) {
	for _, p := range list {
		x := sim.inFlight[p.Ref]
		x.choice, x.waited = p.Choice, p.Waited
		if p.Choice.Verdict != Send {
			sim.reject(x)
			continue
		}
		i := slices.IndexFunc(sim.servers, func(s *simServer) bool { return s.ID == p.Choice.Server.ID })
		sim.send(x, sim.servers[i])
	}
}

func (sim *simulation) reject(x *simRequest) {
	c := sim.counts[x.route.name]
	c.rejected++
	if x.waited > x.route.target/8 {
		c.heldTooLong++
	}
	delete(sim.inFlight, x.ref)
}

// networkDelay returns the one-way delay between the region of a request and
// a server.
func (sim *simulation) networkDelay(x *simRequest, s *simServer) time.Duration {
	if s.region != x.region {
		return RemoteTime / 2
	}
	return 500 * time.Microsecond
}

func (sim *simulation) send(x *simRequest, s *simServer) {
	x.server, x.sent = s, sim.now
	sim.requestCounts[[3]int{int(sim.now.Sub(sim.start) / (2 * time.Second)), x.region, s.region}]++
	sim.after(sim.networkDelay(x, s), func() {
		switch {
		case s.running < s.Slots:
			sim.work(x)
		case len(s.queue) < 3*s.Slots:
			s.queue = append(s.queue, x)
		default:
			sim.after(sim.networkDelay(x, s), func() { sim.end(x, Completion{Outcome: Shed}) })
		}
	})
}

// work runs a request at its server.
func (sim *simulation) work(x *simRequest) {
	s := x.server
	s.running++
	object := x.route.name + x.key
	took := time.Duration(float64(x.route.work) * (0.85 + 0.3*sim.rng.Float64()))
	c := sim.counts[x.route.name]
	if i := slices.Index(s.cache, object); i >= 0 {
		s.cache = slices.Delete(s.cache, i, i+1)
		took = time.Duration(float64(took) * sim.cachedShare)
	} else {
		c.uncachedTime += took
	}
	s.cache = append(s.cache, object)
	if len(s.cache) > sim.cacheSize {
		s.cache = s.cache[1:]
	}
	i := slices.Index(sim.servers, s)
	took = sim.workTime(i, took)
	c.slotTime += took
	sim.after(took, func() {
		s.running--
		e := Completion{Outcome: Answered, LoadReported: true, Running: s.running, Waiting: len(s.queue)}
		if sim.reportWork {
			e.WorkPercent, _ = sim.workPercent(i, sim.now.Sub(sim.start))
		}
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			sim.work(next)
		}
		sim.after(sim.networkDelay(x, s), func() { sim.end(x, e) })
	})
}

// end records the outcome of a request and the end at its dispatcher.
func (sim *simulation) end(x *simRequest, e Completion) {
	if sim.inFlight[x.ref] == nil {
		return
	}
	e.Took = sim.now.Sub(x.sent)
	c := sim.counts[x.route.name]
	switch total := sim.now.Sub(x.arrived); {
	case e.Outcome != Answered:
		c.rejected++
	case total <= x.route.target:
		c.inTarget++
	case total <= x.route.deadline:
		c.late++
	default:
		c.rejected++
		c.heldTooLong++
	}
	delete(sim.inFlight, x.ref)
	if sim.policy == "dispatch" {
		sim.deliver(sim.dispatchers[x.region].End(sim.now, x.ref, e))
	}
}

// largestShift returns the largest share of a region's requests that run in
// another region than in the window before, over adjacent windows of 2 s from
// window skip on.
func (sim *simulation) largestShift(skip int) float64 {
	shares := func(window, region int) ([]float64, int) {
		out, total := make([]float64, len(sim.regions)), 0
		for to := range sim.regions {
			total += sim.requestCounts[[3]int{window, region, to}]
		}
		for to := range sim.regions {
			out[to] = float64(sim.requestCounts[[3]int{window, region, to}]) / math.Max(float64(total), 1)
		}
		return out, total
	}
	worst := 0.0
	for w := skip; w < int(sim.duration/(2*time.Second))-1; w++ {
		for r := range sim.regions {
			a, n := shares(w, r)
			b, m := shares(w+1, r)
			if n == 0 || m == 0 {
				continue
			}
			moved := 0.0
			for i := range a {
				moved += math.Abs(a[i]-b[i]) / 2
			}
			if moved > worst {
				worst = moved
				sim.largestShiftAt = fmt.Sprintf("region %d, window %d: %.2f of %d then %.2f of %d", r, w, a, n, b, m)
			}
		}
	}
	return worst
}
