package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/links"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/membership"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/once"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/retry"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/slots"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/spill"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/tablesync"
	"github.com/tamarackswitch/tamarackswitch/pkg/invariant"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// sessionProc is one process of an entry host with the cores of the daemon.
type sessionProc struct {
	s                    *session
	name, domain, region string
	inc                  int64
	rng                  *rand.Rand
	up, paused           bool
	inbox                []func()

	members   *membership.Node
	summaries *membership.Summaries
	sync      *tablesync.Sync
	owner     *once.Owner
	budgets   [len(tables.Ranks)]*retry.Budget
	links     map[string]*sessionLink
	inForce   tablesync.Versions
	ended     map[string]bool
	lookedUp  bool

	row     tables.Pool
	holder  *slots.Holder
	current string
	waiting map[uint64]*sessionTry
	active  map[uint64]bool
	nextID  uint64
	d       *sessionDispatch
}

// sessionLink is one direction of the link between the regions.
type sessionLink struct {
	from, to  string
	bucket    *links.Bucket
	allocator *links.Allocator
}

func (p *sessionProc) process() string { return fmt.Sprintf("%s#%d", p.name, p.inc) }

func (p *sessionProc) now() time.Time { return p.s.sched.Now() }

// boot starts a process of a host.
func (s *session) boot(name string) {
	now := s.sched.Now()
	p := &sessionProc{
		s: s, name: name, domain: name[:2], region: name[:1], inc: now.UnixMilli(), up: true,
		rng: rand.New(rand.NewPCG(s.sched.Rand.Uint64(), 1)), links: map[string]*sessionLink{}, ended: map[string]bool{},
		holder: slots.NewHolder(""), waiting: map[uint64]*sessionTry{}, active: map[uint64]bool{},
	}
	s.procs[name] = p
	p.members = membership.New(membership.Config{Name: name, Address: name, Incarnation: p.inc})
	seeds := map[string][]string{}
	for _, h := range s.hosts {
		if h[:2] != p.domain {
			seeds[h[:2]] = append(seeds[h[:2]], h)
		}
	}
	p.summaries = membership.NewSummaries(p.domain, name, seeds)
	p.sync = tablesync.New(tablesync.Config{Self: name, Domain: p.domain, Rand: p.rng})
	p.owner = once.NewOwner(once.Identity{Domain: p.domain, Host: name, Incarnation: p.inc}, now, once.DefaultMemory)
	for i := range p.budgets {
		p.budgets[i] = retry.New(now, p.rng)
	}
	for _, pair := range [][2]string{{"n", "s"}, {"s", "n"}} {
		p.links[pair[0]+">"+pair[1]] = &sessionLink{
			from: pair[0], to: pair[1], allocator: links.NewAllocator(sessionLinkCap, len(s.hosts), p.rng.Uint64()),
			bucket: links.NewBucket(now, name, links.Floor(sessionLinkCap, len(s.hosts))),
		}
	}
	s.logf("%s starts", name)
	p.sync.SetLive([]string{name})
	p.start()
}

// start schedules the control work in the periods of the daemon.
func (p *sessionProc) start() {
	var own []string
	for _, h := range p.s.hosts {
		if h[:2] == p.domain && h != p.name {
			own = append(own, h)
		}
	}
	p.sendMembership(p.members.Join(p.now(), own))
	p.every(slots.TickPeriod, p.tickPool)
	p.every(membership.TickInterval, p.tickMembers)
	p.every(tablesync.TickPeriod, func() { p.sendSync(p.sync.Tick(p.now())); p.applyTables() })
	p.every(spill.AskInterval, p.askCredits)
	p.every(time.Second, func() { p.tickLinks(); p.elect() })
	p.every(tablesync.PollPeriod, func() {
		if p.sync.Watching() {
			p.readStore(true)
		}
	})
	p.s.sched.After(time.Duration(p.rng.Int64N(int64(time.Second/2))), func() { p.readStore(true) })
	p.s.sched.After(invariant.ConfigDelay, func() { p.s.check.Require(p.process(), p.up && !p.s.cut && !p.s.outage && !p.paused) })
}

// every runs fn each period with a random phase while the process runs; ticks
// during a pause are lost.
func (p *sessionProc) every(period time.Duration, fn func()) {
	var tick func()
	tick = func() {
		if !p.up {
			return
		}
		if !p.paused {
			fn()
		}
		p.s.sched.After(period, tick)
	}
	p.s.sched.After(time.Duration(p.rng.Int64N(int64(period))), tick)
}

// post sends a control message of which the size counts.
func (p *sessionProc) post(to string, v any, fn func(*sessionProc)) {
	p.s.send(p, to, sizeOf(v), fn)
}

// readStore reads the tables from the platform; a poll counts as a call.
func (p *sessionProc) readStore(poll bool) {
	if p.s.cut && p.region != "n" {
		return
	}
	p.s.check.PlatformCall(p.now(), false)
	p.s.check.ControlTraffic(p.now(), p.process(), callOverhead)
	objects, err := p.s.store.List(context.Background(), platform.TablesPrefix)
	if err != nil {
		return
	}
	way := p.s.platformWay(p)
	if poll {
		way *= 2
	}
	p.s.sched.After(way, func() {
		p.s.on(p, func() { p.sendSync(p.sync.FromPlatform(p.now(), objects...)); p.applyTables() })
	})
}

func versionMapOf(v tablesync.Versions) map[string]int64 {
	return map[string]int64{"routes": v.Routes, "pools": v.Pools, "hash": int64(v.Hash), "unconfirmed": v.UnconfirmedMS}
}

func versionsFrom(m map[string]int64) tablesync.Versions {
	return tablesync.Versions{Routes: m["routes"], Pools: m["pools"], Hash: uint64(m["hash"]), UnconfirmedMS: m["unconfirmed"]}
}

func (p *sessionProc) tickMembers() {
	now := p.now()
	p.members.SetVersions(versionMapOf(p.sync.Versions(now)))
	p.sendMembership(p.members.Tick(now, p.rng))
	if events := p.members.TakeEvents(); len(events) > 0 {
		for _, e := range events {
			p.s.logf("%s member %s %s", p.name, e.Member.Name, e.Kind)
			if e.Kind == membership.Joined || e.Kind == membership.Replaced || e.Kind == membership.Refuted {
				delete(p.ended, e.Member.Name)
			}
		}
		p.membersChanged()
	}
	for _, o := range p.summaries.Tick(now, p.members.Live(now), p.buildSummary) {
		p.sendSummary(o)
	}
}

func (p *sessionProc) sendSummary(o membership.SummaryOutgoing) {
	to := o.Name
	if to == "" {
		to = o.Address
	}
	p.post(to, o.Summary, func(q *sessionProc) { q.onSummary(p.name, o.Summary) })
}

func (p *sessionProc) onSummary(from string, m membership.Summary) {
	now := p.now()
	for _, o := range p.summaries.Receive(now, m, from[:2] != p.domain, p.members.Live(now)) {
		p.sendSummary(o)
	}
	if len(m.Hosts) > 0 && m.Versions != nil {
		p.sendSync(p.sync.OnVersions(now, m.Hosts[0].Name, versionsFrom(m.Versions)))
	}
}

func (p *sessionProc) buildSummary(version int64) membership.Summary {
	now := p.now()
	out := membership.Summary{Versions: versionMapOf(p.sync.Versions(now)), Headroom: map[string]int64{}}
	if p.d != nil {
		out.Headroom[sessionPool] = int64(p.d.slots.Headroom(now).Free)
	}
	for _, m := range membership.ChooseEntryHosts(p.domain, version, p.members.Live(now)) {
		out.Hosts = append(out.Hosts, membership.EntryHost{Name: m.Name, Address: m.Address, Incarnation: m.Incarnation, KeyPrefix: p.prefixOf(m)})
	}
	return out
}

func (p *sessionProc) prefixOf(m membership.Member) string {
	window := max(0, int64(p.now().Sub(time.UnixMilli(m.Incarnation))/once.Window))
	return once.FormatPrefix(once.Identity{Domain: p.domain, Host: m.Name, Incarnation: m.Incarnation}, window) + "."
}

func (p *sessionProc) sendMembership(out []membership.Outgoing) {
	for _, o := range out {
		to := o.Name
		if to == "" {
			to = o.Address
		}
		m := o.Message
		p.post(to, m, func(q *sessionProc) {
			q.sendMembership(q.members.Receive(q.now(), m))
			if m.Versions != nil {
				q.sendSync(q.sync.OnVersions(q.now(), m.From.Name, versionsFrom(m.Versions)))
			}
		})
	}
}

func (p *sessionProc) refusedBy(name string) {
	p.ended[name] = true
	p.members.ReportRefused(p.now(), name)
}

func (p *sessionProc) membersChanged() {
	now := p.now()
	candidates, _ := p.domainHosts()
	p.sync.SetLive(candidates)
	p.elect()
	for _, m := range p.members.Members(now) {
		if m.State == membership.Dead && p.d != nil {
			p.hostGone(m.Name)
		}
	}
}

func (p *sessionProc) domainHosts() (candidates, all []string) {
	for _, m := range p.members.Live(p.now()) {
		all = append(all, m.Name)
		if m.IsUsable() {
			candidates = append(candidates, m.Name)
		}
	}
	if len(candidates) == 0 {
		candidates = []string{p.name}
	}
	return candidates, all
}

// foreignHosts returns the hosts of the summaries that have not expired. All
// domains have sent one by the end of the settling time.
func (p *sessionProc) foreignHosts() map[string][]membership.EntryHost {
	out := map[string][]membership.EntryHost{}
	for _, v := range p.summaries.List(p.now()) {
		if !v.Expired {
			out[v.Domain] = v.Hosts
		}
	}
	return out
}

func (p *sessionProc) sendSync(out []tablesync.Outgoing) {
	for _, o := range out {
		switch {
		case o.Announce != nil:
			p.post(o.To, o.Announce, func(q *sessionProc) { q.sendSync(q.sync.OnVersions(q.now(), p.name, *o.Announce)) })
		case o.Pull != nil:
			p.post(o.To, o.Pull, func(q *sessionProc) { q.sendSync(q.sync.OnPull(q.now(), p.name, *o.Pull)) })
		case o.Delta != nil:
			p.post(o.To, o.Delta, func(q *sessionProc) {
				more, _ := q.sync.OnDelta(q.now(), p.name, *o.Delta)
				q.sendSync(more)
				q.applyTables()
			})
		}
	}
}

// applyTables puts new tables in force at the pool.
func (p *sessionProc) applyTables() {
	snap, ok := p.sync.InForce(p.now())
	if !ok || (snap.Versions.Routes == p.inForce.Routes && snap.Versions.Pools == p.inForce.Pools) {
		return
	}
	p.inForce = snap.Versions
	p.s.check.InForce(p.process(), tables.RoutesName, snap.Versions.Routes)
	p.s.check.InForce(p.process(), tables.PoolsName, snap.Versions.Pools)
	p.s.logf("%s tables in force: routes %d pools %d", p.name, snap.Versions.Routes, snap.Versions.Pools)
	for _, row := range snap.Pools.Pools {
		if row.Name == sessionPool {
			p.row = row.WithDefaults()
		}
	}
	p.s.noteDrains(p)
	if p.d != nil {
		p.d.setServers(p)
		p.deliver(p.d.slots.SetPool(p.now(), p.row))
	}
	p.elect()
}

// noteDrains reports servers as draining once the dispatcher knows of it.
func (s *session) noteDrains(p *sessionProc) {
	for _, x := range p.row.InDomain(p.domain) {
		if x.Drain && !s.drained[x.Address] {
			s.drained[x.Address] = true
			s.check.Draining(s.sched.Now(), x.Address)
		}
	}
}

func (p *sessionProc) tickLinks() {
	now := p.now()
	for _, name := range []string{"n>s", "s>n"} {
		l := p.links[name]
		who := p.allocatorOf(l)
		if who == "" {
			continue
		}
		req, due := l.bucket.NextRequest(now, who)
		if !due {
			continue
		}
		if who == p.name {
			l.bucket.Apply(now, who, l.allocator.Grant(now, req))
			continue
		}
		p.post(who, req, func(q *sessionProc) {
			lease := q.links[name].allocator.Grant(q.now(), req)
			q.post(p.name, lease, func(back *sessionProc) { back.links[name].bucket.Apply(back.now(), q.name, lease) })
		})
	}
}

func (p *sessionProc) allocatorOf(l *sessionLink) string {
	foreign := p.foreignHosts()
	for _, d := range sessionDomains {
		if regionOf(d) != l.from {
			continue
		}
		var names []string
		if d == p.domain {
			names, _ = p.domainHosts()
		}
		for _, e := range foreign[d] {
			names = append(names, e.Name)
		}
		if len(names) > 0 {
			return rendezvous.Pick(l.from+">"+l.to, names)
		}
	}
	return ""
}

func (p *sessionProc) takeLink(now time.Time, region string, rank tables.Rank, request, answer float64) bool {
	if region == p.region {
		return true
	}
	return links.TakeBoth(now, p.links[p.region+">"+region].bucket, p.links[region+">"+p.region].bucket, rank, request, answer)
}

// settleLink gives back the budget of bytes that were not sent.
func (p *sessionProc) settleLink(region string, answer float64) {
	if region != p.region {
		p.links[region+">"+p.region].bucket.Settle(p.now(), sessionAnswer, answer)
	}
}

// keyHosts lists the hosts that may own keys.
func (p *sessionProc) keyHosts() []once.Host {
	var out []once.Host
	for _, m := range p.members.Members(p.now()) {
		out = append(out, once.Host{
			Identity:  once.Identity{Domain: p.domain, Host: m.Name, Incarnation: m.Incarnation},
			Reachable: m.State == membership.Alive || m.State == membership.Leaving, Removed: m.State == membership.Dead,
		})
	}
	foreign := p.foreignHosts()
	for _, d := range sessionDomains {
		for _, e := range foreign[d] {
			out = append(out, once.Host{Identity: once.Identity{Domain: d, Host: e.Name, Incarnation: e.Incarnation}, Reachable: true})
		}
	}
	return out
}
