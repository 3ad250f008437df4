package measure

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
	"github.com/tamarackswitch/tamarackswitch/pkg/invariant"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform/memstore"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
	"github.com/tamarackswitch/tamarackswitch/pkg/units"
)

// Sizes of a session: two regions with two failure domains of two hosts each.
const (
	sessionPool       = "stock"
	sessionServers    = 4 // per domain
	sessionSlots      = 5 // per server
	sessionDomainSize = sessionServers * sessionSlots
	sessionLinkCap    = 10e6 // bytes per second and direction
	sessionRequest    = 2e3  // bytes
	sessionAnswer     = 10e3 // bytes
	sessionCallerWay  = 1500 * time.Microsecond
	sessionSample     = 5 * time.Second
	// sessionSettle is the time without faults at the start.
	sessionSettle = 10 * time.Second
	// silentLife is how long a silent peer link lasts until it is closed.
	silentLife = 3 * time.Second
	// lookupGroups refresh their cached look-ups at different times.
	lookupGroups = 10
	// callerTries bounds the attempts of a caller that got no certain answer.
	callerTries = 2
	callerPause = 100 * time.Millisecond
	// callerRepeats is the fraction of once work whose caller loses its
	// connection and repeats the request with the same key.
	callerRepeats = 0.05
	// callerNoRoute is the fraction of callers that look up no route, so that
	// the first host they use is not the dispatcher of the pool.
	callerNoRoute = 0.3
)

var sessionDomains = []string{"n1", "n2", "s1", "s2"}

func regionOf(domain string) string { return domain[:1] }

// sessionServer is a backend server that may be down.
type sessionServer struct {
	*backend
	domain  string
	down    bool
	running map[*work]bool
}

// session runs the decision cores of all hosts as the daemon composes them.
type session struct {
	*lab
	store   *memstore.Store
	procs   map[string]*sessionProc
	hosts   []string
	servers map[string]*sessionServer
	cached  map[string][lookupGroups][]sessionEntry
	works   map[*work]*sessionWork
	outage  bool
	loss    float64
	// cut separates the regions; cutDomain separates one domain from all others.
	cut     bool
	silent  map[string]time.Time // end of a silent connection by "from>to"
	lent    map[string]int       // running relayed requests by "from>to"
	bytes   map[string]map[int64]float64
	refused map[result.Code]int
	total   map[result.Code]int
	log     []string
	// least is the smallest free fraction of the slots in the sampled time.
	least       float64
	drainFrom   time.Duration
	lastDrained time.Duration // last assignment to a drained server
	drained     map[string]bool
}

// sessionEntry is an entry host as a look-up names it.
type sessionEntry struct{ name, prefix string }

// sessionWork is a request as its caller sees it.
type sessionWork struct {
	*work
	home  string
	key   string
	list  []sessionEntry
	tries int
	first int // index in list
}

func newSession(seed uint64) *session {
	s := &session{
		lab:   &lab{sched: vtime.New(seed), check: invariant.New(), stats: newStats(), windowFrom: sessionSettle, windowTo: time.Hour, work: usualWork},
		procs: map[string]*sessionProc{}, servers: map[string]*sessionServer{}, cached: map[string][lookupGroups][]sessionEntry{},
		works: map[*work]*sessionWork{}, silent: map[string]time.Time{}, lent: map[string]int{}, bytes: map[string]map[int64]float64{},
		refused: map[result.Code]int{}, total: map[result.Code]int{}, least: 1, drained: map[string]bool{},
	}
	s.front = s
	s.store = memstore.New(s.sched.Now)
	row := tables.Pool{Name: sessionPool, Team: "t", Slots: sessionSlots}
	for i, d := range sessionDomains {
		for j := range sessionServers {
			b := &backend{name: serverName(i, j), slots: sessionSlots}
			s.servers[b.name] = &sessionServer{backend: b, domain: d, running: map[*work]bool{}}
			row.Servers = append(row.Servers, tables.Server{Address: b.name, Domain: d})
		}
		s.hosts = append(s.hosts, d+"a", d+"b")
	}
	s.lab.total = len(sessionDomains) * sessionDomainSize
	s.stats.slots = s.lab.total
	s.put(tables.RoutesName, encodeTable(sessionRoutes()), 0)
	s.put(tables.PoolsName, encodeTable(tables.Pools{Pools: []tables.Pool{row}}), 0)
	for i, name := range s.hosts {
		s.sched.After(time.Duration(i)*100*time.Millisecond, func() { s.boot(name) })
	}
	s.sched.Every(time.Second/2, s.refreshLookups)
	s.sched.Every(time.Second, func() { s.check.CheckConfig(s.sched.Now()) })
	s.sched.Every(100*time.Millisecond, func() { s.sampleHeadroom(); s.sampleShift() })
	s.sched.Every(sessionSample, s.sample)
	return s
}

func sessionRoutes() tables.Routes {
	var out tables.Routes
	for i, r := range tables.Ranks {
		row := tables.Route{Name: string(r), Team: "t", Path: "/" + string(r), Pool: sessionPool, Rank: r, Idempotent: r != tables.Once,
			Deadline: units.Duration(usualWork.deadline[i])}
		if r == tables.Once {
			row.Methods = []string{"POST"}
		}
		out.Routes = append(out.Routes, row)
	}
	return out
}

func (s *session) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%8.3f ", s.sched.Elapsed().Seconds())+fmt.Sprintf(format, args...))
}

// at runs fn at a time after the start.
func (s *session) at(d time.Duration, fn func()) { s.sched.After(d-s.sched.Elapsed(), fn) }

// put stores a table as an operator and answers the watches.
func (s *session) put(table string, text []byte, ifVersion int64) error {
	s.check.PlatformCall(s.sched.Now(), true)
	o, err := s.store.Put(context.Background(), platform.TablesPrefix+table, text, ifVersion)
	if err != nil {
		s.logf("operator %s refused: %v", table, err)
		return err
	}
	s.check.Accepted(s.sched.Now(), table, o.Version)
	s.logf("operator %s accepted, version %d", table, o.Version)
	for _, name := range s.hosts {
		if p := s.procs[name]; p != nil && p.sync.Watching() {
			s.sched.After(s.platformWay(p), func() { s.on(p, func() { p.readStore(false) }) })
		}
	}
	return nil
}

func (s *session) platformWay(p *sessionProc) time.Duration {
	return s.way("n", p.region)
}

func (s *session) way(a, b string) time.Duration {
	if a == b {
		return nearDelay
	}
	return farDelay
}

// reaches reports whether messages between two domains arrive.
func (s *session) reaches(a, b string) bool {
	return !(s.cut && regionOf(a) != regionOf(b))
}

// on runs fn at a process: not after its end, and after the end of a pause.
func (s *session) on(p *sessionProc, fn func()) {
	switch {
	case p == nil || !p.up:
	case p.paused:
		p.inbox = append(p.inbox, fn)
	default:
		fn()
	}
}

// send delivers a message of a peer link, subject to faults. Control messages
// are counted; messages about single requests have size 0.
func (s *session) send(from *sessionProc, to string, size int, fn func(*sessionProc)) {
	dest := s.procs[to]
	if dest == nil || !from.up {
		return
	}
	if size > 0 {
		s.check.ControlTraffic(s.sched.Now(), from.process(), size+messageOverhead)
	}
	if from != dest && (!s.reaches(from.domain, dest.domain) || s.sched.Now().Before(s.silent[from.name+">"+to]) || s.sched.Rand.Float64() < s.loss) {
		return
	}
	way := s.way(from.region, dest.region)
	if from == dest {
		way = 0
	}
	s.sched.After(way, func() {
		if from != dest && !s.reaches(from.domain, dest.domain) {
			return
		}
		if !dest.up {
			return
		}
		if size > 0 {
			s.check.ControlTraffic(s.sched.Now(), dest.process(), size+messageOverhead)
		}
		s.on(dest, func() { fn(dest) })
	})
}

// cross charges bytes to a directed link between regions.
func (s *session) cross(from, to string, bytes float64) {
	if from == to {
		return
	}
	key := from + ">" + to
	if s.bytes[key] == nil {
		s.bytes[key] = map[int64]float64{}
	}
	s.bytes[key][s.sched.Now().Unix()] += bytes
}

// shift counts relayed requests from one domain to another.
func (s *session) shift(from, to string, by int) {
	s.lent[from+">"+to] += by
}

// sampleShift checks the levels up to which a domain may send work or callers
// to another one. The number of requests varies under a constant level.
func (s *session) sampleShift() {
	now, limit := s.sched.Now(), tables.DefaultShiftCap*sessionDomainSize
	for _, to := range sessionDomains {
		p := s.procs[s.dispatcherOf(to)]
		if p == nil || !p.up || p.d == nil {
			continue
		}
		for _, from := range sessionDomains {
			if from != to {
				s.check.Shift(now, from, to, "credit", float64(p.d.lender.Level(now, from)), limit)
				s.check.Shift(now, from, to, "home", float64(p.d.borrower.HomeLevel(from)), limit)
			}
		}
	}
}

// kill ends a process without warning.
func (s *session) kill(name string) {
	s.logf("fault %s dies", name)
	p := s.procs[name]
	p.up = false
	s.check.Require(p.process(), false)
	// New connections to its address are refused, so peers notice at once.
	for _, other := range s.hosts {
		if o := s.procs[other]; o != nil && o.up && o.domain == p.domain {
			s.sched.After(time.Millisecond, func() { s.on(o, func() { o.refusedBy(name) }) })
		}
	}
}

// lose ends all hosts and servers of a region at once.
func (s *session) lose(region string) {
	s.logf("fault region %s is lost", region)
	for _, name := range s.hosts {
		if p := s.procs[name]; p.region == region {
			p.up = false
			s.check.Require(p.process(), false)
		}
	}
	for _, b := range s.servers {
		if regionOf(b.domain) == region {
			b.down = true
			for w := range b.running {
				if w.abort != nil {
					w.abort()
				}
			}
		}
	}
	s.stats.slots = 0
}

// pause stops a process and later delivers what has arrived meanwhile.
func (s *session) pause(name string, d time.Duration) {
	p := s.procs[name]
	p.paused = true
	s.check.Require(p.process(), false)
	s.logf("fault %s is paused for %s", name, d)
	s.sched.After(d, func() {
		p.paused = false
		s.logf("fault %s continues", name)
		inbox := p.inbox
		p.inbox = nil
		for _, fn := range inbox {
			fn()
		}
		s.sched.After(healGrace, func() { s.check.Require(p.process(), p.up) })
	})
}

// silence loses what is sent over the present connection of two hosts.
func (s *session) silence(a, b string) {
	s.logf("fault connection %s to %s is silent", a, b)
	s.silent[a+">"+b] = s.sched.Now().Add(silentLife)
	s.silent[b+">"+a] = s.sched.Now().Add(silentLife)
}

func (s *session) setOutage(on bool) {
	s.outage = on
	s.store.SetOutage(on)
	s.logf("fault store outage %v", on)
	s.requireAll(!on)
}

func (s *session) setCut(on bool) {
	s.cut = on
	s.logf("fault regions cut %v", on)
	s.requireAll(!on)
}

// requireAll says whether tables have to reach every host, with the time to
// catch up after a fault.
func (s *session) requireAll(on bool) {
	set := func() {
		for _, p := range s.procs {
			s.check.Require(p.process(), on && p.up && !s.cut && !s.outage)
		}
	}
	if on {
		s.sched.After(healGrace, set)
		return
	}
	set()
}

// dispatcherOf returns the host that dispatches the pool in a domain.
func (s *session) dispatcherOf(domain string) string {
	for _, name := range s.hosts {
		if p := s.procs[name]; p != nil && p.up && p.domain == domain && p.d != nil {
			return name
		}
	}
	return domain + "a"
}

func (s *session) sampleHeadroom() {
	if s.sched.Elapsed() < sessionSettle {
		return
	}
	free, slots := 0, 0
	for _, b := range s.servers {
		if !b.down {
			slots += b.slots
			free += b.slots - b.backend.running
		}
	}
	s.least = min(s.least, ratio(free, slots))
}

// sample logs the state of every domain's dispatcher.
func (s *session) sample() {
	now := s.sched.Now()
	for _, d := range sessionDomains {
		p := s.procs[s.dispatcherOf(d)]
		if p == nil || !p.up || p.d == nil {
			s.logf("%s no dispatcher", d)
			continue
		}
		room := p.d.slots.Headroom(now)
		s.logf("%s %s slots %d running %d queued %v lent %d borrowed %s", d, p.name, room.Slots, room.Running, room.Queued, p.d.lentRunning(now), s.borrowed(d))
	}
	var codes []string
	for c, n := range s.refused {
		codes = append(codes, fmt.Sprintf("%s=%d", c.Name(), n))
	}
	slices.Sort(codes)
	clear(s.refused)
	if len(codes) > 0 {
		s.logf("refused %s", strings.Join(codes, " "))
	}
}

func (s *session) borrowed(domain string) string {
	var out []string
	for _, to := range sessionDomains {
		if n := s.lent[domain+">"+to]; n > 0 {
			out = append(out, fmt.Sprintf("%s=%d", to, n))
		}
	}
	if len(out) == 0 {
		return "none"
	}
	return strings.Join(out, " ")
}
