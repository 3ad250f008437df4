package measure

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/lookup"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/once"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/retry"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/slots"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/spill"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// refusedConnection and silentConnection are how long a caller needs to find
// that a process or a whole site does not answer.
const (
	refusedConnection = time.Millisecond
	silentConnection  = 250 * time.Millisecond
)

// sessionTry is a request at the host that looks for a slot for it.
type sessionTry struct {
	sw      *sessionWork
	ask     sessionAsk
	tries   int
	exclude []string
	relayed bool
	done    func(*result.Error)
}

// clientOf is the address of the callers that are at home in a domain.
func clientOf(domain int) netip.Addr { return netip.AddrFrom4([4]byte{100, byte(domain), 0, 1}) }

// lookups builds the answers that the process gives.
func (p *sessionProc) lookups() *lookup.Snapshot {
	in := lookup.Input{Routes: []lookup.Route{{Name: "any", Pool: sessionPool}}, Blocks: new(lookup.Blocks)}
	for i, d := range sessionDomains {
		in.Domains = append(in.Domains, lookup.Domain{Name: d, Region: regionOf(d)})
		in.Sites = append(in.Sites, lookup.Site{Name: d, Domain: d})
		in.Blocks.Insert(netip.PrefixFrom(clientOf(i), 16).Masked(), uint16(i))
	}
	in.Served = func(_, domain string) bool {
		for _, x := range p.row.InDomain(domain) {
			if !x.Drain {
				return true
			}
		}
		return false
	}
	for _, m := range p.members.Live(p.now()) {
		if m.IsUsable() {
			in.Hosts = append(in.Hosts, lookup.Host{Name: m.Name, Domain: p.domain, KeyPrefix: p.prefixOf(m)})
		}
	}
	foreign := p.foreignHosts()
	for _, d := range sessionDomains {
		for _, e := range foreign[d] {
			in.Hosts = append(in.Hosts, lookup.Host{Name: e.Name, Domain: d, KeyPrefix: e.KeyPrefix})
		}
	}
	return lookup.Build(in)
}

// refreshLookups renews the cached answers of the callers whose time has come;
// each caller group does so every lookupTTL.
func (s *session) refreshLookups() {
	tick := int(s.sched.Elapsed() / (time.Second / 2))
	snaps := map[string]*lookup.Snapshot{}
	for i, home := range sessionDomains {
		p := s.lookupHost(home)
		if p == nil {
			continue
		}
		if snaps[p.name] == nil {
			snaps[p.name] = p.lookups()
		}
		a, ok := snaps[p.name].Lookup(clientOf(i), "any")
		if !ok {
			continue
		}
		groups := s.cached[home]
		for g := range groups {
			if s.sched.Elapsed() <= sessionSettle/2 || tick%(2*lookupGroups) == 2*g {
				groups[g] = nil
				for _, h := range a.Hosts {
					groups[g] = append(groups[g], sessionEntry{h.Name, h.KeyPrefix})
				}
			}
		}
		s.cached[home] = groups
	}
}

// lookupHost returns the host that callers of a domain ask: a near one first.
func (s *session) lookupHost(home string) *sessionProc {
	best, rank := (*sessionProc)(nil), 3
	for _, name := range s.hosts {
		p := s.procs[name]
		if p == nil || !p.up || p.paused || p.row.Name == "" || (s.cut && p.region != regionOf(home)) {
			continue
		}
		r := 2
		switch {
		case p.domain == home:
			r = 0
		case p.region == regionOf(home):
			r = 1
		}
		if r < rank {
			best, rank = p, r
		}
	}
	return best
}

// submit takes a request of a random caller.
func (s *session) submit(w *work) {
	home := sessionDomains[s.sched.Rand.IntN(len(sessionDomains))]
	sw := &sessionWork{work: w, home: home, list: s.cached[home][s.sched.Rand.IntN(lookupGroups)]}
	if len(sw.list) == 0 {
		return // the first hosts have just started
	}
	s.at(w.deadline.Sub(s.sched.Now())+s.sched.Elapsed(), func() {
		if !w.settled {
			s.settle(sw, result.New(result.DeadlineExpired, "no answer").WithRun(result.Unknown))
		}
	})
	if s.sched.Rand.Float64() < callerNoRoute {
		sw.first = 1
	}
	s.call(sw, sw.first)
	if w.rank == onceRank && s.sched.Rand.Float64() < callerRepeats {
		s.sched.After(callerPause, func() {
			if !w.settled {
				s.call(sw, sw.first+1) // the same key at another host while the first attempt may run
			}
		})
	}
}

// call sends the request to the first host of the list that takes it.
func (s *session) call(sw *sessionWork, from int) {
	sw.tries++
	wait := time.Duration(0)
	for i := range sw.list {
		entry := sw.list[(from+i)%len(sw.list)]
		p := s.procs[entry.name]
		switch {
		case s.cut && p.region != regionOf(sw.home), !p.up && s.regionLost(p.region):
			wait += silentConnection
		case !p.up:
			wait += refusedConnection
		default:
			if sw.rank == onceRank && sw.key == "" {
				// No attempt was sent yet, so the host that is reached may own the key.
				sw.key = fmt.Sprintf("%srequest-%022d", entry.prefix, sw.id)
			}
			s.sched.After(wait+sessionCallerWay, func() {
				s.on(p, func() {
					p.serve(sw, func(err *result.Error) { s.sched.After(sessionCallerWay, func() { s.told(sw, err) }) })
				})
			})
			return
		}
	}
}

func (s *session) regionLost(region string) bool {
	for _, b := range s.servers {
		if regionOf(b.domain) == region && !b.down {
			return false
		}
	}
	return true
}

// told takes the system's answer at the caller, who repeats what is uncertain.
func (s *session) told(sw *sessionWork, err *result.Error) {
	if sw.settled || (err != nil && err.Code == result.KeyInProgress) {
		return // the other attempt brings the answer
	}
	if err == nil {
		s.check.Answered(sw.name(), sw.name(), true)
		s.answer(sw.work)
		return
	}
	if err.Run != result.NotRun && sw.tries < callerTries && s.sched.Now().Add(callerPause).Before(sw.deadline) {
		s.sched.After(callerPause, func() {
			if !sw.settled {
				s.call(sw, sw.first+sw.tries)
			}
		})
		return
	}
	s.settle(sw, err)
}

func (s *session) settle(sw *sessionWork, err *result.Error) {
	s.refused[err.Code]++
	s.total[err.Code]++
	state := err.Run
	if sw.tries > 1 {
		state = result.Unknown // an earlier attempt may have run
	}
	s.refuse(sw.work, state)
}

// serve runs the filters of the entry host.
func (p *sessionProc) serve(sw *sessionWork, reply func(*result.Error)) {
	if sw.rank != onceRank {
		p.begin(sw, false, reply)
		return
	}
	key, err := once.ParseKey(sw.key)
	if err != nil {
		reply(result.From(err))
		return
	}
	self := once.Host{Identity: p.owner.Self(), Reachable: true, Holds: p.owner.Holds()}
	target, err := once.Resolve(self, key, p.keyHosts())
	if err != nil {
		reply(result.From(err))
		return
	}
	if target.Local {
		p.runOwned(sw, key, false, reply)
		return
	}
	region := regionOf(target.Relay.Domain)
	if !p.takeLink(p.now(), region, "once", sessionRequest, sessionAnswer) {
		reply(result.New(result.LinkBudget, "no budget").WithRun(result.Unknown))
		return
	}
	p.relay(sw, target.Relay.Host, func(q *sessionProc, done func(*result.Error)) { q.runOwned(sw, key, true, done) }, func(e *result.Error) {
		if e != nil && e.Code == result.ConnectFailed {
			e = result.New(result.KeyOwnerUnreachable, "owner not reached").WithRun(result.Unknown)
		}
		reply(e)
	})
}

func (p *sessionProc) runOwned(sw *sessionWork, key once.Key, relayed bool, reply func(*result.Error)) {
	start, err := p.owner.Begin(p.now(), once.Request{Key: key, Route: "once", Group: sw.group, Fingerprint: "POST /once"})
	if err != nil || !start.Run {
		reply(result.From(err))
		return
	}
	p.begin(sw, relayed, func(e *result.Error) {
		out := once.Outcome{State: once.Unsettled}
		switch {
		case e == nil:
			out.State, out.Answer = once.Ran, &once.Answer{Status: 200}
		case e.Run == result.NotRun:
			out.State = once.NotRun
		case e.Run == result.Run:
			out.State = once.Ran
		}
		_ = p.owner.Finish(p.now(), key, out)
		reply(e)
	})
}

// relay sends a request over HTTP to another host and calls done once.
func (p *sessionProc) relay(sw *sessionWork, to string, run func(*sessionProc, func(*result.Error)), done func(*result.Error)) {
	s, finished := p.s, false
	end := func(e *result.Error) {
		if !finished && p.up {
			finished = true
			done(e)
		}
	}
	if q := s.procs[to]; q == nil || (!q.up && !s.regionLost(q.region)) {
		s.sched.After(refusedConnection, func() { end(result.New(result.ConnectFailed, "refused")) })
		return
	}
	s.at(sw.deadline.Sub(s.sched.Now())+s.sched.Elapsed(), func() {
		s.on(p, func() { end(result.New(result.RelayFailed, "no answer").WithRun(result.Unknown)) })
	})
	s.cross(p.region, regionOf(to), sessionRequest)
	s.send(p, to, 0, func(q *sessionProc) {
		run(q, func(e *result.Error) {
			s.cross(q.region, p.region, sessionAnswer)
			s.send(q, p.name, 0, func(back *sessionProc) {
				if back == p {
					end(e)
				}
			})
		})
	})
}

// begin starts the attempts of a request at this host.
func (p *sessionProc) begin(sw *sessionWork, relayed bool, done func(*result.Error)) {
	p.budgets[sw.rank].RecordRequest(p.now())
	p.attempt(&sessionTry{sw: sw, relayed: relayed, done: done})
}

func (p *sessionProc) attempt(t *sessionTry) {
	t.tries++
	if p.nextID == 0 {
		p.nextID = uint64(p.inc) << 20
	}
	p.nextID++
	id := p.nextID
	service := p.budgets[t.sw.rank].MedianServiceTime()
	if service <= 0 {
		service = sessionFirst
	}
	t.ask = sessionAsk{id: id, from: p.name, rank: t.sw.rank, group: t.sw.group, deadline: t.sw.deadline, home: t.sw.home,
		stay: t.relayed, exclude: t.exclude, service: service}
	p.waiting[id], p.active[id] = t, true
	p.sendAsk(t)
	p.resendLater(t)
	p.s.at(t.sw.deadline.Sub(p.now())+p.s.sched.Elapsed(), func() {
		p.s.on(p, func() {
			if p.waiting[id] != nil {
				delete(p.waiting, id)
				p.release(id, slots.Outcome{}, true, false)
				t.done(result.New(result.DeadlineExpired, "queued too long"))
			}
		})
	})
}

func (p *sessionProc) resendLater(t *sessionTry) {
	p.s.sched.After(sessionResend, func() {
		if p.up && p.waiting[t.ask.id] != nil {
			if !p.paused {
				p.sendAsk(t)
			}
			p.resendLater(t)
		}
	})
}

func (p *sessionProc) sendAsk(t *sessionTry) {
	if p.current == "" {
		return
	}
	p.s.send(p, p.current, 0, func(q *sessionProc) {
		if q.d != nil {
			q.offer(t.ask)
		}
	})
}

// resend offers all waiting requests to the present dispatcher, in order.
func (p *sessionProc) resend() {
	for _, id := range sortedIDs(p.waiting) {
		p.sendAsk(p.waiting[id])
	}
}

func (p *sessionProc) release(id uint64, o slots.Outcome, cancel, creditRefused bool) {
	p.holder.Done(id)
	delete(p.active, id)
	p.s.send(p, p.current, 0, func(q *sessionProc) { q.released(p.name, id, o, cancel, creditRefused) })
}

// decide takes the dispatcher's decision about a waiting request.
func (p *sessionProc) decide(id uint64, v sessionVerdict) {
	t := p.waiting[id]
	if t == nil {
		if v.err == nil && !p.active[id] {
			p.release(id, slots.Outcome{Kind: slots.Unused}, false, false)
		}
		return
	}
	delete(p.waiting, id)
	switch {
	case v.err != nil:
		delete(p.active, id)
		p.endAttempt(t, v.err)
	case v.credit != nil:
		p.underCredit(t, id, *v.credit, v.lender)
	default:
		v.grant.Expiry = t.sw.deadline.Add(slots.GrantSlack)
		if p.holder.Take(p.now(), v.grant) != slots.Accepted || !v.grant.Valid(p.now()) {
			p.release(id, slots.Outcome{Kind: slots.Unused}, false, false)
			p.endAttempt(t, result.New(result.DispatcherUnknown, "replaced"))
			return
		}
		p.runGranted(t, v.grant)
	}
}

func (p *sessionProc) runGranted(t *sessionTry, g slots.Grant) {
	s, b, sent := p.s, p.s.servers[g.Server], p.now()
	s.check.Assigned(sent, g.Server)
	if s.drained[g.Server] {
		s.lastDrained = s.sched.Elapsed()
	}
	finish := func(kind slots.OutcomeKind, err *result.Error) {
		s.on(p, func() {
			p.release(g.ID, slots.Outcome{Kind: kind, Service: p.now().Sub(sent)}, false, false)
			if err == nil {
				p.budgets[t.sw.rank].RecordServiceTime(p.now(), p.now().Sub(sent))
			} else {
				t.exclude = append(t.exclude, g.Server)
			}
			p.endAttempt(t, err)
		})
	}
	if b.down {
		s.sched.After(refusedConnection, func() { finish(slots.Failed, result.New(result.ConnectFailed, "refused")) })
		return
	}
	b.running[t.sw.work] = true
	s.run(t.sw.work, b.backend, t.sw.deadline, func(shed, timeout bool) {
		delete(b.running, t.sw.work)
		switch {
		case shed:
			finish(slots.Shed, result.New(result.ServerShed, "shed"))
		case timeout:
			finish(slots.Timeout, result.New(result.DeadlineRunning, "timeout").WithRun(result.Unknown))
		default:
			finish(slots.OK, nil)
		}
	})
}

// underCredit relays a request to the domain that lent a slot.
func (p *sessionProc) underCredit(t *sessionTry, id uint64, c spill.Credit, lender string) {
	s := p.s
	s.shift(p.domain, c.To, 1)
	p.relay(t.sw, lender, func(q *sessionProc, done func(*result.Error)) {
		if q.d == nil {
			done(result.New(result.NoHeadroom, "not the dispatcher"))
			return
		}
		l := q.d.lender
		if err := l.Accept(q.now(), c, q.d.lendable(q.now())); err != nil {
			done(result.From(err))
			return
		}
		q.begin(t.sw, true, func(e *result.Error) {
			l.Release(q.now(), c.From)
			done(e)
		})
	}, func(e *result.Error) {
		s.shift(p.domain, c.To, -1)
		p.release(id, slots.Outcome{Kind: slots.Unused}, false, e != nil && (e.Code == result.NoHeadroom || e.Code == result.ConnectFailed))
		p.endAttempt(t, e)
	})
}

// endAttempt ends one attempt: another one follows if that helps and the retry
// budget allows it.
func (p *sessionProc) endAttempt(t *sessionTry, err *result.Error) {
	if err == nil || !isSessionRetryable(err.Code) {
		t.done(err)
		return
	}
	d := p.budgets[t.sw.rank].Allow(p.now(), retry.RequestState{
		Idempotent: t.sw.rank != onceRank, Run: err.Run, Relayed: t.relayed, Tries: t.tries, DeadlineLeft: t.sw.deadline.Sub(p.now()),
	})
	if !d.OK {
		t.done(err)
		return
	}
	p.s.sched.After(d.Wait, func() { p.s.on(p, func() { p.attempt(t) }) })
}

func isSessionRetryable(c result.Code) bool {
	switch c {
	case result.ServerShed, result.DispatcherUnknown, result.NoHeadroom, result.RelayFailed,
		result.ConnectFailed, result.NoAnswer, result.TruncatedAnswer, result.BadAnswer:
		return true
	}
	return false
}
