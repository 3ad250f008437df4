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

// The lab plays a pool's load in virtual time: callers in regions, servers with
// slots, a queue and a memory of their latest objects, and one dispatcher per
// region or a baseline.

// labRoute is one kind of requests.
type labRoute struct {
	name     string
	perS     float64 // per region
	work     time.Duration
	target   time.Duration
	deadline time.Duration
	priority int
	keys     int // objects per region
}

// labRegion is a region with its servers.
type labRegion struct {
	servers int
	// demand scales the load at a time.
	demand func(at time.Duration) float64
}

type labConfig struct {
	seed    uint64
	slots   int
	keeps   int     // objects that a server remembers
	known   float64 // share of the work for a known object
	regions []labRegion
	routes  []labRoute
	length  time.Duration
	// gone removes a server, by index, at a time.
	gone map[int]time.Duration
	// restart is when all dispatchers lose what they know, if not 0.
	restart time.Duration
	// policy is "dispatch", "least-loaded" or "round-robin".
	policy string
}

// labCount is the outcome of one route.
type labCount struct {
	asked, inTarget, late, rejected, held int
	slotTime, coldTime                    time.Duration
}

func (c labCount) share() float64 { return float64(c.inTarget) / math.Max(float64(c.asked), 1) }

func (c labCount) String() string {
	return fmt.Sprintf("asked %d, in target %.3f, late %.3f, rejected %.3f (held before %d), slot time %s, for unknown objects %s", c.asked, c.share(),
		float64(c.late)/float64(c.asked), float64(c.rejected)/float64(c.asked), c.held, c.slotTime.Round(time.Second), c.coldTime.Round(time.Second))
}

type labServer struct {
	fleet.Server
	region  int
	running int
	queue   []*labRequest
	memory  []string // the latest object last
}

type labRequest struct {
	ref     Ref
	route   labRoute
	key     string
	region  int
	arrived time.Time
	sent    time.Time
	choice  Choice
	need    Need
	server  *labServer
	waited  time.Duration
}

type labEvent struct {
	at time.Time
	n  int
	do func()
}

type labEvents []labEvent

func (e labEvents) Len() int { return len(e) }
func (e labEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].n < e[j].n
}
func (e labEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *labEvents) Push(x any)   { *e = append(*e, x.(labEvent)) }
func (e *labEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type lab struct {
	labConfig
	rng     *rand.Rand
	start   time.Time
	now     time.Time
	events  labEvents
	n       int
	servers []*labServer
	places  []*Dispatcher
	open    map[Ref]*labRequest
	counts  map[string]*labCount
	turn    int
	// shifts are the requests by region of the caller and of the server, per
	// window of 2 s.
	shifts  map[[3]int]int
	worstAt string // where largestShift was found
}

func newLab(c labConfig) *lab {
	l := &lab{
		labConfig: c, rng: rand.New(rand.NewPCG(c.seed, 1)), start: time.Unix(1_700_000_000, 0), open: map[Ref]*labRequest{},
		counts: map[string]*labCount{}, shifts: map[[3]int]int{},
	}
	l.now = l.start
	for r, region := range c.regions {
		for range region.servers {
			i := len(l.servers)
			l.servers = append(l.servers, &labServer{region: r, Server: fleet.Server{
				ID: fmt.Sprintf("i-%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Pool: "p", Domain: regionName(r), Slots: c.slots,
			}})
		}
	}
	for r := range c.regions {
		l.places = append(l.places, NewDispatcher(New(regionName(r))))
	}
	l.update()
	return l
}

func regionName(r int) string { return fmt.Sprintf("region-%d", r) }

// update tells the dispatchers which servers there are.
func (l *lab) update() {
	var list []fleet.Server
	for i, s := range l.servers {
		if at, ok := l.gone[i]; !ok || l.now.Sub(l.start) < at {
			list = append(list, s.Server)
		}
	}
	for _, p := range l.places {
		p.Update(l.now, list, 5, func(domain string) string { return domain })
	}
}

func (l *lab) after(d time.Duration, do func()) {
	l.n++
	heap.Push(&l.events, labEvent{l.now.Add(d), l.n, do})
}

// run plays the load and returns the outcomes by route.
func (l *lab) run() map[string]*labCount {
	for r := range l.regions {
		for _, route := range l.routes {
			l.counts[route.name] = &labCount{}
			l.arrive(r, route)
		}
	}
	for _, at := range l.gone {
		l.after(at, l.update)
	}
	if l.restart > 0 {
		l.after(l.restart, l.restartDispatchers)
	}
	l.tick()
	for l.events.Len() > 0 {
		e := heap.Pop(&l.events).(labEvent)
		l.now = e.at
		e.do()
	}
	return l.counts
}

// restartDispatchers replaces all dispatchers by ones that know nothing but the
// servers, and counts anew.
func (l *lab) restartDispatchers() {
	for r := range l.places {
		l.places[r] = NewDispatcher(New(regionName(r)))
	}
	l.update()
	for _, route := range l.routes {
		l.counts[route.name] = &labCount{}
	}
	clear(l.open) // their connections ended with the hosts
}

// arrive starts the requests of one route in one region.
func (l *lab) arrive(r int, route labRoute) {
	demand := l.regions[r].demand(l.now.Sub(l.start))
	gap := time.Duration(l.rng.ExpFloat64() / (route.perS * math.Max(demand, 0.01)) * float64(time.Second))
	l.after(gap, func() {
		if l.now.Sub(l.start) >= l.length {
			return
		}
		l.arrive(r, route)
		l.request(r, route)
	})
}

// tick exchanges reports and wakes waiting requests.
func (l *lab) tick() {
	if l.now.Sub(l.start) >= l.length+10*time.Second {
		return
	}
	for i, p := range l.places {
		report := p.Report(l.now)
		for j, other := range l.places {
			if i != j {
				l.after(RemoteTime/2, func() { other.Told(l.now, regionName(i), report) })
			}
		}
		l.placed(p.Wake(l.now))
	}
	l.after(200*time.Millisecond, l.tick)
}

func (l *lab) request(r int, route labRoute) {
	l.n++
	x := &labRequest{
		ref: Ref{regionName(r), uint64(l.n)}, route: route, region: r, arrived: l.now,
		key: fmt.Sprintf("%d-%d", r, l.rng.IntN(route.keys)),
	}
	l.counts[route.name].asked++
	x.need = Need{Key: x.key, Route: route.name, Priority: route.priority, Target: route.target}
	l.open[x.ref] = x
	if l.policy != "dispatch" {
		l.send(x, l.baseline(r))
		return
	}
	p := l.places[r]
	p.Request(l.now, x.need)
	if placement, queued := p.Offer(l.now, x.ref, x.need, l.now.Add(route.deadline)); !queued {
		l.placed([]Placement{placement})
	}
}

// baseline chooses a server of the region without regard to the object.
func (l *lab) baseline(r int) *labServer {
	var list []*labServer
	for _, s := range l.servers {
		if s.region == r {
			list = append(list, s)
		}
	}
	l.turn++
	if l.policy == "round-robin" {
		return list[l.turn%len(list)]
	}
	return slices.MinFunc(list, func(a, b *labServer) int { return a.running + len(a.queue) - b.running - len(b.queue) })
}

// placed sends or rejects requests.
func (l *lab) placed(list []Placement) {
	for _, p := range list {
		x := l.open[p.Ref]
		x.choice, x.waited = p.Choice, p.Waited
		if p.Choice.Verdict != Send {
			l.reject(x)
			continue
		}
		i := slices.IndexFunc(l.servers, func(s *labServer) bool { return s.ID == p.Choice.Server.ID })
		l.send(x, l.servers[i])
	}
}

func (l *lab) reject(x *labRequest) {
	c := l.counts[x.route.name]
	c.rejected++
	if x.waited > x.route.target/8 {
		c.held++
	}
	delete(l.open, x.ref)
}

func (l *lab) way(x *labRequest, s *labServer) time.Duration {
	if s.region != x.region {
		return RemoteTime / 2
	}
	return 500 * time.Microsecond
}

func (l *lab) send(x *labRequest, s *labServer) {
	x.server, x.sent = s, l.now
	l.shifts[[3]int{int(l.now.Sub(l.start) / (2 * time.Second)), x.region, s.region}]++
	l.after(l.way(x, s), func() {
		switch {
		case s.running < s.Slots:
			l.work(x)
		case len(s.queue) < 3*s.Slots:
			s.queue = append(s.queue, x)
		default:
			l.after(l.way(x, s), func() { l.end(x, Ending{Outcome: Shed}) })
		}
	})
}

// work runs a request at its server.
func (l *lab) work(x *labRequest) {
	s := x.server
	s.running++
	object := x.route.name + x.key
	took := time.Duration(float64(x.route.work) * (0.85 + 0.3*l.rng.Float64()))
	c := l.counts[x.route.name]
	if i := slices.Index(s.memory, object); i >= 0 {
		s.memory = slices.Delete(s.memory, i, i+1)
		took = time.Duration(float64(took) * l.known)
	} else {
		c.coldTime += took
	}
	s.memory = append(s.memory, object)
	if len(s.memory) > l.keeps {
		s.memory = s.memory[1:]
	}
	c.slotTime += took
	l.after(took, func() {
		s.running--
		e := Ending{Outcome: Answered, Loaded: true, Running: s.running, Waiting: len(s.queue)}
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			l.work(next)
		}
		l.after(l.way(x, s), func() { l.end(x, e) })
	})
}

func (l *lab) end(x *labRequest, e Ending) {
	if l.open[x.ref] == nil {
		return
	}
	e.Took = l.now.Sub(x.sent)
	c := l.counts[x.route.name]
	switch total := l.now.Sub(x.arrived); {
	case e.Outcome != Answered:
		c.rejected++
	case total <= x.route.target:
		c.inTarget++
	case total <= x.route.deadline:
		c.late++
	default:
		c.rejected++
		c.held++
	}
	delete(l.open, x.ref)
	if l.policy == "dispatch" {
		l.placed(l.places[x.region].End(l.now, x.ref, e))
	}
}

// largestShift is the largest change, between adjacent windows of 2 s after
// skip, of the share of a region's requests that run in another region than in
// the window before.
func (l *lab) largestShift(skip int) float64 {
	shares := func(window, region int) ([]float64, int) {
		out, total := make([]float64, len(l.regions)), 0
		for to := range l.regions {
			total += l.shifts[[3]int{window, region, to}]
		}
		for to := range l.regions {
			out[to] = float64(l.shifts[[3]int{window, region, to}]) / math.Max(float64(total), 1)
		}
		return out, total
	}
	worst := 0.0
	for w := skip; w < int(l.length/(2*time.Second))-1; w++ {
		for r := range l.regions {
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
				l.worstAt = fmt.Sprintf("region %d, window %d: %.2f of %d then %.2f of %d", r, w, a, n, b, m)
			}
		}
	}
	return worst
}
