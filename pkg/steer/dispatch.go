package steer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/placing"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Times of the exchange with the dispatcher of a pool.
const (
	// askTimeout is how long the first answer of a dispatcher is awaited before
	// the ask is repeated; hosts of a region are about 1 ms apart.
	askTimeout = 25 * time.Millisecond
	askTries   = 2
	// grantSlack is how long after the hold of a queued request its grant is
	// awaited.
	grantSlack = 60 * time.Millisecond
	// dispatcherShare is the share of the region's largest host that a host must
	// have in processor time to dispatch: small hosts answer too late.
	dispatcherShare = 0.5
	// tripTime is how long a dispatcher that did not answer is left out.
	tripTime = 300 * time.Millisecond
	// doneRepeats is how many times the end of a request is told.
	doneRepeats = 3
	// reportEvery is the interval of the reports to other regions.
	reportEvery = 200 * time.Millisecond
	// reportHosts is the number of hosts of another region that get a report
	// while it is not known which of them dispatches there.
	reportHosts = 2
	// reporterLife is how long the sender of a report counts as its region's
	// dispatcher; it sends the next ones within reportMost intervals.
	reporterLife = time.Second
	// reportServers is the number of servers of a pool whose report is sent each
	// time; larger reports are sent less often, at least every reportMost, because
	// they count for a second.
	reportServers = 128
	reportMost    = 3
	expireEvery   = 500 * time.Millisecond
	// stateEvery is the interval of the log lines about dispatched pools.
	stateEvery = 2 * time.Second
)

// view is the list of live hosts, and the dispatchers that follow from it.
type view struct {
	// hosts are the live hosts of the region that take callers, without this one.
	hosts []fleet.EntryHost
	// region is the number of hosts of the region, this one included.
	region int
	// dispatchers are the hosts that dispatch each pool.
	dispatchers map[string]string
}

// updateView chooses the dispatchers again.
func (h *Host) updateView(now time.Time) {
	v := &view{hosts: h.peers.live(now), dispatchers: map[string]string{}}
	v.region = len(v.hosts) + 1
	choices := make([]rendezvous.Choice, 0, v.region)
	if h.ready() {
		choices = append(choices, rendezvous.Choice{Host: h.self.Name, Capacity: h.self.Capacity})
	}
	for _, host := range v.hosts {
		choices = append(choices, rendezvous.Choice{Host: host.Name, Capacity: host.Capacity})
	}
	choices = rendezvous.Strong(choices, dispatcherShare)
	old := h.view.Load()
	h.eachPool(func(p *pool) {
		d := rendezvous.PickWeighted(p.name, choices)
		v.dispatchers[p.name] = d
		if before := old.dispatchers[p.name]; before != d {
			h.log.dispatcher(p.name, before, d, v.region)
		}
	})
	h.view.Store(v)
}

// dispatches reports whether this host dispatches the pool.
func (h *Host) dispatches(pool string) bool {
	return h.view.Load().dispatchers[pool] == h.self.Name
}

// dispatch holds the open asks of this host and the latest ends.
type dispatch struct {
	next atomic.Uint64
	// reports counts the intervals of the reports; only sendReports uses it.
	reports int

	mu      sync.Mutex
	asks    map[uint64]chan *grant
	tripped map[string]time.Time
	recent  map[string][]done
	// reporters are the hosts of other regions that sent the last reports.
	reporters map[reporterKey]reporter
}

// reporterKey names a pool in a region.
type reporterKey struct {
	pool, region string
}

type reporter struct {
	host string
	at   time.Time
}

func newDispatch(started int64) *dispatch {
	d := &dispatch{asks: map[uint64]chan *grant{}, tripped: map[string]time.Time{}, recent: map[string][]done{}, reporters: map[reporterKey]reporter{}}
	// Ids of a restarted process must not meet those of the one before it.
	d.next.Store(uint64(started) << 20)
	return d
}

// placed is a request that got a server.
type placed struct {
	choice placing.Choice
	waited time.Duration
	id     uint64
	// granter is the host that placed the request.
	granter string
}

// acquire gets a server for a request: from the pool's dispatcher, or, if that
// cannot be reached, by the knowledge of this host alone. The error is a
// truthful rejection: nothing was sent.
func (h *Host) acquire(ctx context.Context, p *pool, need placing.Need, deadline time.Time, first bool) (placed, *result.Error) {
	out := placed{id: h.dispatch.next.Add(1), granter: h.self.Name}
	if d, ok := h.dispatcherOf(p.name); ok {
		if done, err := h.askDispatcher(ctx, p, d, need, deadline, first, &out); done {
			return out, err
		}
		out.id = h.dispatch.next.Add(1)
		out.granter = h.self.Name
	}
	placement, err := p.acquireHere(ctx, out.id, need, deadline)
	out.choice, out.waited = placement.Choice, placement.Waited
	if err == nil {
		p.track(out.id, out.choice.Server.ID, out.granter)
	}
	return out, err
}

// release records the end of a placed request.
func (h *Host) release(p *pool, x placed, need placing.Need, e placing.Ending) {
	p.untrack(x.id)
	if x.granter == h.self.Name {
		p.end(time.Now(), placing.Ref{Host: h.self.Name, ID: x.id}, e)
		return
	}
	p.finished(x.choice, need, e)
	h.tellDone(x.granter, done{
		ID: x.id, Pool: p.name, Outcome: e.Outcome, TookUS: uint32(min(e.Took.Microseconds(), 1<<31)),
		Loaded: e.Loaded, Running: e.Running, Waiting: e.Waiting,
	})
}

// dispatcherOf returns another host that dispatches the pool and answers.
func (h *Host) dispatcherOf(pool string) (peerState, bool) {
	name := h.view.Load().dispatchers[pool]
	if name == "" || name == h.self.Name {
		return peerState{}, false
	}
	h.dispatch.mu.Lock()
	until := h.dispatch.tripped[name]
	h.dispatch.mu.Unlock()
	if time.Now().Before(until) {
		return peerState{}, false
	}
	return h.peers.get(name)
}

// askDispatcher asks another host for a server. It reports false if the host
// did not answer.
func (h *Host) askDispatcher(ctx context.Context, p *pool, d peerState, need placing.Need, deadline time.Time, first bool, out *placed) (bool, *result.Error) {
	answers := make(chan *grant, askTries+2)
	h.dispatch.mu.Lock()
	h.dispatch.asks[out.id] = answers
	h.dispatch.mu.Unlock()
	defer func() {
		h.dispatch.mu.Lock()
		delete(h.dispatch.asks, out.id)
		h.dispatch.mu.Unlock()
	}()
	out.granter = d.host.Name
	request := &ask{
		ID: out.id, Pool: p.name, Route: need.Route, Key: need.Key, Priority: need.Priority, TargetMS: uint32(need.Target.Milliseconds()),
		LeftMS: uint32(max(time.Until(deadline), 0).Milliseconds()), Exclude: need.Exclude, Regions: need.Regions, First: first, Safe: need.Idempotent,
	}
	h.sendTo(d.addr, &datagram{Ask: request})
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	queued := false
	for tries := 1; ; {
		select {
		case g := <-answers:
			if g.Queued {
				queued = true
				timer.Reset(time.Duration(float64(need.Target)*placing.HoldShare) + grantSlack)
				continue
			}
			return h.takeGrant(p, g, need, out)
		case <-timer.C:
			if !queued && tries < askTries {
				tries++
				h.sendTo(d.addr, &datagram{Ask: request})
				timer.Reset(askTimeout)
				continue
			}
			h.trip(d.host.Name, p.name)
			h.tellDone(d.host.Name, done{ID: out.id, Pool: p.name, Outcome: placing.Abandoned})
			return false, nil
		case <-ctx.Done():
			h.tellDone(d.host.Name, done{ID: out.id, Pool: p.name, Outcome: placing.Abandoned})
			return true, result.Wrap(ctx.Err(), result.CallerGone, "the caller left while the request waited for a slot")
		}
	}
}

// takeGrant uses the answer of a dispatcher. A server that this host knows to
// be leaving is not used; the request is placed here instead.
func (h *Host) takeGrant(p *pool, g *grant, need placing.Need, out *placed) (bool, *result.Error) {
	out.waited = time.Duration(g.WaitedMS) * time.Millisecond
	out.choice = placing.Choice{
		Verdict: g.Verdict, Remote: g.Remote, Expected: g.Expected, Load: float64(g.Load), Class: g.Class, Service: g.Service,
	}
	if g.Verdict != placing.Send {
		return true, p.rejection(out.choice, need)
	}
	s, ok := p.server(g.Server)
	if !ok {
		h.tellDone(out.granter, done{ID: out.id, Pool: p.name, Outcome: placing.Abandoned})
		return false, nil
	}
	out.choice.Server = s
	p.started(out.choice, need)
	p.track(out.id, s.ID, out.granter)
	return true, nil
}

// trip leaves a dispatcher out for a while.
func (h *Host) trip(name, pool string) {
	h.dispatch.mu.Lock()
	h.dispatch.tripped[name] = time.Now().Add(tripTime)
	h.dispatch.mu.Unlock()
	h.log.dispatcherSilent(name, pool)
}

// tellDone tells a dispatcher the end of a request, with the latest ones before
// it in case their datagrams were lost.
func (h *Host) tellDone(to string, d done) {
	peer, ok := h.peers.get(to)
	if !ok {
		return // a host that is gone needs no news
	}
	h.dispatch.mu.Lock()
	list := append(h.dispatch.recent[to], d)
	if len(list) > doneRepeats {
		list = append([]done(nil), list[len(list)-doneRepeats:]...)
	}
	h.dispatch.recent[to] = list
	message := &datagram{Done: append([]done(nil), list...)}
	h.dispatch.mu.Unlock()
	h.sendTo(peer.addr, message)
}

// handleAsk places a request of another host.
func (h *Host) handleAsk(from string, addr netip.AddrPort, a *ask) {
	p := h.pool(a.Pool)
	if p == nil {
		h.sendTo(addr, &datagram{Grant: &grant{ID: a.ID, Verdict: placing.NoServer}})
		return
	}
	ref := placing.Ref{Host: from, ID: a.ID}
	if known, placed, waiting := p.find(ref); placed {
		h.sendTo(addr, grantOf(known))
		return
	} else if waiting {
		h.sendTo(addr, &datagram{Grant: &grant{ID: a.ID, Queued: true}})
		return
	}
	need := placing.Need{
		Key: a.Key, Route: a.Route, Idempotent: a.Safe, Priority: a.Priority, Target: time.Duration(a.TargetMS) * time.Millisecond,
		Exclude: a.Exclude, Regions: a.Regions,
	}
	if a.First {
		p.countAsked(need)
	}
	now := time.Now()
	deadline := now.Add(time.Duration(a.LeftMS) * time.Millisecond)
	queued := p.offer(now, ref, need, deadline, func(placement placing.Placement) { h.sendTo(addr, grantOf(placement)) })
	if queued {
		h.sendTo(addr, &datagram{Grant: &grant{ID: a.ID, Queued: true}})
	}
}

func grantOf(p placing.Placement) *datagram {
	c := p.Choice
	return &datagram{Grant: &grant{
		ID: p.Ref.ID, Verdict: c.Verdict, Server: c.Server.ID, Remote: c.Remote, Expected: c.Expected, Load: float32(c.Load),
		Class: c.Class, Service: c.Service, WaitedMS: uint32(p.Waited.Milliseconds()),
	}}
}

// handleGrant gives a grant to the request that asked. One that nobody waits
// for any more is handed back.
func (h *Host) handleGrant(from string, g *grant) {
	h.dispatch.mu.Lock()
	answers := h.dispatch.asks[g.ID]
	h.dispatch.mu.Unlock()
	if answers == nil {
		if g.Verdict == placing.Send && !g.Queued {
			h.dropGrant(from, g)
		}
		return
	}
	select {
	case answers <- g:
	default: // a repeated answer
	}
}

// dropGrant hands back a grant unless its request is in progress: then it is
// the repeated answer to a repeated ask.
func (h *Host) dropGrant(from string, g *grant) {
	inUse, owner := false, ""
	h.eachPool(func(p *pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if f, ok := p.own[g.ID]; ok && f.granter == from {
			inUse = true
		}
		if _, ok := p.place.Server(time.Now(), g.Server); ok {
			owner = p.name
		}
	})
	if !inUse && owner != "" {
		h.tellDone(from, done{ID: g.ID, Pool: owner, Outcome: placing.Abandoned})
	}
}

func (h *Host) handleDone(from string, list []done) {
	now := time.Now()
	for _, d := range list {
		if p := h.pool(d.Pool); p != nil {
			p.end(now, placing.Ref{Host: from, ID: d.ID}, placing.Ending{
				Outcome: d.Outcome, Took: time.Duration(d.TookUS) * time.Microsecond, Loaded: d.Loaded, Running: d.Running, Waiting: d.Waiting,
			})
		}
	}
}

// sendReports tells the other regions about the pools that this host
// dispatches.
func (h *Host) sendReports(time.Time) {
	h.dispatch.reports++
	var list []report
	h.eachPool(func(p *pool) {
		if h.dispatches(p.name) && h.dispatch.reports%p.reportEvery() == 0 {
			list = append(list, report{Pool: p.name, Region: h.region, Report: p.report()})
		}
	})
	for _, r := range list {
		h.sendAll(h.peers.elsewhere(r.Pool, reportHosts, h.dispatch.reportersOf(time.Now(), r.Pool)), &datagram{Report: []report{r}})
	}
}

// reportersOf returns the dispatchers of a pool in other regions, by region, as
// far as they sent a report lately.
func (d *dispatch) reportersOf(now time.Time, pool string) map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]string{}
	for key, r := range d.reporters {
		if key.pool == pool && now.Sub(r.at) < reporterLife {
			out[key.region] = r.host
		}
	}
	return out
}

func (h *Host) handleReport(from string, list []report) {
	for _, r := range list {
		h.dispatch.mu.Lock()
		h.dispatch.reporters[reporterKey{r.Pool, r.Region}] = reporter{from, time.Now()}
		h.dispatch.mu.Unlock()
		if p := h.pool(r.Pool); p != nil && r.Region != h.region {
			p.told(r.Region, r.Report)
		}
	}
}

// expireFlights ends placed requests whose end was never told.
func (h *Host) expireFlights(now time.Time) {
	h.eachPool(func(p *pool) { p.expire(now) })
}

// logPools writes the state of the pools that this host dispatches.
func (h *Host) logPools(now time.Time) {
	h.eachPool(func(p *pool) {
		if !h.dispatches(p.name) {
			return
		}
		p.mu.Lock()
		state := p.place.State(now)
		flights, waiting := p.place.Counts()
		p.mu.Unlock()
		h.log.pool(p.name, state, waiting, flights)
	})
}
