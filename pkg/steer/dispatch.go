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

const (
	// slotRequestTimeout is how long a host waits for the first reply of a
	// dispatcher before it repeats the slot request. The network delay between hosts
	// of a region is about 1 ms.
	slotRequestTimeout = 25 * time.Millisecond
	// slotRequestTries is how many times a slot request is sent in all.
	slotRequestTries = 2
	// grantSlack is how much longer than the dispatcher's maximum queueing time a
	// host waits for the grant of a queued request.
	grantSlack = 60 * time.Millisecond
	// minDispatcherShare is the processor time that a host needs to be chosen as a
	// dispatcher, as a share of the processor time of the region's largest host.
	// Smaller hosts would reply too late.
	minDispatcherShare = 0.5
	// breakerOpenTime is how long the circuit breaker of a dispatcher that did not
	// reply stays open: no slot requests go to it in that time.
	breakerOpenTime = 300 * time.Millisecond
	// completionSends is the number of datagrams that carry the same completion,
	// as protection against datagram loss.
	completionSends = 3
	// reportInterval is the interval of the load reports to other regions.
	reportInterval = 200 * time.Millisecond
	// reportFallbackHosts is the number of hosts of another region that get a report
	// while it is not known which of them is the pool's dispatcher.
	reportFallbackHosts = 2
	// reporterLife is how long the sender of a report is taken for its region's
	// dispatcher. A dispatcher reports at least every maxReportIntervals intervals.
	reporterLife = time.Second
	// reportServersPerInterval limits the traffic of large pools: a pool's report is
	// sent in every interval if it covers fewer servers than this, in every second
	// one below twice as many, and so on.
	reportServersPerInterval = 128
	// maxReportIntervals bounds the intervals between two reports of a pool, because
	// a receiver uses a report for only one second.
	maxReportIntervals = 3
	// expireInterval is how often requests whose completion never arrived are looked
	// for.
	expireInterval = 500 * time.Millisecond
	// stateLogInterval is the interval of the log lines about dispatched pools.
	stateLogInterval = 2 * time.Second
)

// view is this host's membership view of its region, and the dispatchers chosen
// from it.
type view struct {
	// hosts are the other live hosts of the region that accept callers.
	hosts []fleet.EntryHost
	// regionSize is the number of live hosts of the region, this one included.
	regionSize int
	// dispatchers maps each pool to the name of the host that dispatches it.
	dispatchers map[string]string
}

// updateView refreshes the membership view and chooses the dispatcher of each
// pool by weighted rendezvous hashing.
func (h *Host) updateView(now time.Time) {
	v := &view{hosts: h.peers.live(now), dispatchers: map[string]string{}}
	v.regionSize = len(v.hosts) + 1
	candidates := make([]rendezvous.WeightedHost, 0, v.regionSize)
	if h.ready() {
		candidates = append(candidates, rendezvous.WeightedHost{Host: h.self.Name, Capacity: h.self.Capacity})
	}
	for _, host := range v.hosts {
		candidates = append(candidates, rendezvous.WeightedHost{Host: host.Name, Capacity: host.Capacity})
	}
	candidates = rendezvous.WithMinCapacity(candidates, minDispatcherShare)
	old := h.view.Load()
	h.eachPool(func(p *pool) {
		chosen := rendezvous.PickWeighted(p.name, candidates)
		v.dispatchers[p.name] = chosen
		if previous := old.dispatchers[p.name]; previous != chosen {
			h.log.dispatcher(p.name, previous, chosen, v.regionSize)
		}
	})
	h.view.Store(v)
}

// dispatches reports whether this host dispatches the pool.
func (h *Host) dispatches(pool string) bool {
	return h.view.Load().dispatchers[pool] == h.self.Name
}

// dispatchState is the state of this host's messages to and from other hosts about
// slots, completions and load reports.
type dispatchState struct {
	nextID atomic.Uint64
	// reportRound counts report intervals; only sendReports uses it.
	reportRound int

	mu sync.Mutex
	// pending holds the reply channels of unanswered slot requests, by request id.
	pending map[uint64]chan *slotReply
	// breakerOpenUntil holds the circuit breaker of each dispatcher, by host name.
	breakerOpenUntil map[string]time.Time
	// recentCompletions are the latest completions sent to each host.
	recentCompletions map[string][]completion
	// reporters are the hosts that sent the latest report of each pool and region.
	reporters map[reporterKey]reporter
}

// reporterKey identifies a pool in a region.
type reporterKey struct {
	pool, region string
}

// reporter is the sender of the latest report, and when it arrived.
type reporter struct {
	host string
	at   time.Time
}

func newDispatchState(startedMS int64) *dispatchState {
	d := &dispatchState{pending: map[uint64]chan *slotReply{}, breakerOpenUntil: map[string]time.Time{}, recentCompletions: map[string][]completion{}, reporters: map[reporterKey]reporter{}}
	// The start time in milliseconds keeps the request ids of a restarted process
	// apart from the ids of its predecessor. The shift by 20 bits leaves room for
	// 2^20 ids per millisecond.
	d.nextID.Store(uint64(startedMS) << 20)
	return d
}

// reservation is a slot at a backend server that is held for a request.
type reservation struct {
	choice placing.Choice
	// waited is how long the request waited for the slot.
	waited time.Duration
	// id identifies the request at the granter.
	id uint64
	// granter is the host that granted the slot: the dispatcher or this host.
	granter string
}

// acquire reserves a slot for a request, from the pool's dispatcher or, if that
// does not reply, from this host's own state of the pool. On an error nothing
// was sent to a backend server, so the rejection may say that the request was
// not run.
func (h *Host) acquire(ctx context.Context, p *pool, need placing.Need, deadline time.Time, firstAttempt bool) (reservation, *result.Error) {
	reserved := reservation{id: h.dispatchState.nextID.Add(1), granter: h.self.Name}
	if dispatcher, ok := h.dispatcherOf(p.name); ok {
		if settled, err := h.requestSlot(ctx, p, dispatcher, need, deadline, firstAttempt, &reserved); settled {
			return reserved, err
		}
		reserved.id = h.dispatchState.nextID.Add(1)
		reserved.granter = h.self.Name
	}
	placement, err := p.acquireLocally(ctx, reserved.id, need, deadline)
	reserved.choice, reserved.waited = placement.Choice, placement.Waited
	if err == nil {
		p.track(reserved.id, reserved.choice.Server.ID, reserved.granter)
	}
	return reserved, err
}

// release gives the slot back to its granter and records how the request ended.
func (h *Host) release(p *pool, reserved reservation, need placing.Need, c placing.Completion) {
	p.untrack(reserved.id)
	if reserved.granter == h.self.Name {
		p.endRequest(time.Now(), placing.Ref{Host: h.self.Name, ID: reserved.id}, c)
		return
	}
	p.recordPeerGrantEnd(reserved.choice, need, c)
	h.sendCompletion(reserved.granter, completion{
		ID: reserved.id, Pool: p.name, Outcome: c.Outcome, TookUS: uint32(min(c.Took.Microseconds(), 1<<31)),
		LoadReported: c.LoadReported, Running: c.Running, Waiting: c.Waiting,
		WorkPercent: c.WorkPercent, Notice: noticeMessage(c.Notice),
	})
}

// dispatcherOf returns the pool's dispatcher if that is another host whose
// circuit breaker is closed.
func (h *Host) dispatcherOf(pool string) (peerState, bool) {
	name := h.view.Load().dispatchers[pool]
	if name == "" || name == h.self.Name {
		return peerState{}, false
	}
	h.dispatchState.mu.Lock()
	until := h.dispatchState.breakerOpenUntil[name]
	h.dispatchState.mu.Unlock()
	if time.Now().Before(until) {
		return peerState{}, false
	}
	return h.peers.get(name)
}

// requestSlot asks a dispatcher for a slot and stores the result in reserved. It
// reports false if the request has to be placed locally instead, because the
// dispatcher did not reply or chose a server that this host does not use.
func (h *Host) requestSlot(ctx context.Context, p *pool, dispatcher peerState, need placing.Need, deadline time.Time, firstAttempt bool, reserved *reservation) (bool, *result.Error) {
	// There is room for a reply to each try, for the final reply of a queued request,
	// and for one duplicate.
	replies := make(chan *slotReply, slotRequestTries+2)
	h.dispatchState.mu.Lock()
	h.dispatchState.pending[reserved.id] = replies
	h.dispatchState.mu.Unlock()
	defer func() {
		h.dispatchState.mu.Lock()
		delete(h.dispatchState.pending, reserved.id)
		h.dispatchState.mu.Unlock()
	}()
	reserved.granter = dispatcher.host.Name
	request := &slotRequest{
		ID: reserved.id, Pool: p.name, Route: need.Route, Key: need.Key, Priority: need.Priority, TargetMS: uint32(need.Target.Milliseconds()),
		RemainingMS: uint32(max(time.Until(deadline), 0).Milliseconds()), Exclude: need.Exclude, Regions: need.Regions, FirstAttempt: firstAttempt, IdempotentRoute: need.Idempotent,
	}
	h.sendTo(dispatcher.addr, &datagram{SlotRequest: request})
	timer := time.NewTimer(slotRequestTimeout)
	defer timer.Stop()
	queued := false
	for tries := 1; ; {
		select {
		case reply := <-replies:
			if reply.Queued {
				queued = true
				timer.Reset(time.Duration(float64(need.Target)*placing.MaxWaitShare) + grantSlack)
				continue
			}
			return h.useReply(p, reply, need, reserved)
		case <-timer.C:
			if !queued && tries < slotRequestTries {
				tries++
				h.sendTo(dispatcher.addr, &datagram{SlotRequest: request})
				timer.Reset(slotRequestTimeout)
				continue
			}
			h.openBreaker(dispatcher.host.Name, p.name)
			h.sendCompletion(dispatcher.host.Name, completion{ID: reserved.id, Pool: p.name, Outcome: placing.Abandoned})
			return false, nil
		case <-ctx.Done():
			h.sendCompletion(dispatcher.host.Name, completion{ID: reserved.id, Pool: p.name, Outcome: placing.Abandoned})
			return true, result.Wrap(ctx.Err(), result.CallerGone, "the caller left while the request waited for a slot")
		}
	}
}

// useReply stores the final reply of a dispatcher in reserved. If a slot is granted
// at a server that, as far as this host knows, no longer accepts requests, useReply
// gives the slot back and reports false: the request has to be placed locally.
func (h *Host) useReply(p *pool, reply *slotReply, need placing.Need, reserved *reservation) (bool, *result.Error) {
	reserved.waited = time.Duration(reply.WaitedMS) * time.Millisecond
	reserved.choice = placing.Choice{
		Verdict: reply.Verdict, Remote: reply.Remote, Expected: reply.Expected, Load: float64(reply.Load), Class: reply.Class, Service: reply.Service,
	}
	if reply.Verdict != placing.Send {
		return true, p.rejection(reserved.choice, need)
	}
	s, ok := p.server(reply.Server)
	if !ok {
		// The dispatcher may not know what the server said to this host.
		h.sendCompletion(reserved.granter, completion{
			ID: reserved.id, Pool: p.name, Outcome: placing.Abandoned, Notice: noticeMessage(p.notice(reply.Server)),
		})
		return false, nil
	}
	reserved.choice.Server = s
	p.recordPeerGrantStart(reserved.choice, need)
	p.track(reserved.id, s.ID, reserved.granter)
	return true, nil
}

// openBreaker stops slot requests to a dispatcher for breakerOpenTime.
func (h *Host) openBreaker(name, pool string) {
	h.dispatchState.mu.Lock()
	h.dispatchState.breakerOpenUntil[name] = time.Now().Add(breakerOpenTime)
	h.dispatchState.mu.Unlock()
	h.log.dispatcherSilent(name, pool)
}

// sendCompletion tells a dispatcher that a request has ended. It repeats the
// latest completions before that one, whose datagrams may have been lost.
func (h *Host) sendCompletion(to string, c completion) {
	peer, ok := h.peers.get(to)
	if !ok {
		return // the host is no longer a member
	}
	h.dispatchState.mu.Lock()
	recent := append(h.dispatchState.recentCompletions[to], c)
	if len(recent) > completionSends {
		recent = append([]completion(nil), recent[len(recent)-completionSends:]...)
	}
	h.dispatchState.recentCompletions[to] = recent
	message := &datagram{Completions: append([]completion(nil), recent...)}
	h.dispatchState.mu.Unlock()
	h.sendTo(peer.addr, message)
}

// handleSlotRequest places a request of another host, or queues it. If the request
// is placed or queued already, the slot request was repeated and gets the same
// reply again.
func (h *Host) handleSlotRequest(from string, addr netip.AddrPort, request *slotRequest) {
	p := h.pool(request.Pool)
	if p == nil {
		h.sendTo(addr, &datagram{SlotReply: &slotReply{ID: request.ID, Verdict: placing.NoServer}})
		return
	}
	ref := placing.Ref{Host: from, ID: request.ID}
	if known, placed, waiting := p.find(ref); placed {
		h.sendTo(addr, replyTo(known))
		return
	} else if waiting {
		h.sendTo(addr, &datagram{SlotReply: &slotReply{ID: request.ID, Queued: true}})
		return
	}
	need := placing.Need{
		Key: request.Key, Route: request.Route, Idempotent: request.IdempotentRoute, Priority: request.Priority, Target: time.Duration(request.TargetMS) * time.Millisecond,
		Exclude: request.Exclude, Regions: request.Regions,
	}
	if request.FirstAttempt {
		p.countPeerRequest(need)
	}
	now := time.Now()
	deadline := now.Add(time.Duration(request.RemainingMS) * time.Millisecond)
	queued := p.offer(now, ref, need, deadline, func(placement placing.Placement) { h.sendTo(addr, replyTo(placement)) })
	if queued {
		h.sendTo(addr, &datagram{SlotReply: &slotReply{ID: request.ID, Queued: true}})
	}
}

// replyTo returns the reply that tells the requesting host of a placement.
func replyTo(p placing.Placement) *datagram {
	c := p.Choice
	return &datagram{SlotReply: &slotReply{
		ID: p.Ref.ID, Verdict: c.Verdict, Server: c.Server.ID, Remote: c.Remote, Expected: c.Expected, Load: float32(c.Load),
		Class: c.Class, Service: c.Service, WaitedMS: uint32(p.Waited.Milliseconds()),
	}}
}

// handleSlotReply passes a reply to the request that waits for it. A grant that
// no request waits for any more is given back.
func (h *Host) handleSlotReply(from string, reply *slotReply) {
	h.dispatchState.mu.Lock()
	replies := h.dispatchState.pending[reply.ID]
	h.dispatchState.mu.Unlock()
	if replies == nil {
		if reply.Verdict == placing.Send && !reply.Queued {
			h.returnUnusedGrant(from, reply)
		}
		return
	}
	select {
	case replies <- reply:
	default: // the channel is full: a duplicate
	}
}

// returnUnusedGrant gives a granted slot back to its dispatcher, unless the
// request is in progress: then the reply is a duplicate, because the slot request
// was repeated.
func (h *Host) returnUnusedGrant(from string, reply *slotReply) {
	inUse, poolName := false, ""
	h.eachPool(func(p *pool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if send, ok := p.inFlight[reply.ID]; ok && send.granter == from {
			inUse = true
		}
		if _, ok := p.dispatcher.Server(time.Now(), reply.Server, ""); ok {
			poolName = p.name
		}
	})
	if !inUse && poolName != "" {
		h.sendCompletion(from, completion{ID: reply.ID, Pool: poolName, Outcome: placing.Abandoned})
	}
}

// handleCompletions records the ends of another host's requests whose slots this
// host granted.
func (h *Host) handleCompletions(from string, list []completion) {
	now := time.Now()
	for _, c := range list {
		if p := h.pool(c.Pool); p != nil {
			p.endRequest(now, placing.Ref{Host: from, ID: c.ID}, placing.Completion{
				Outcome: c.Outcome, Took: time.Duration(c.TookUS) * time.Microsecond, LoadReported: c.LoadReported, Running: c.Running, Waiting: c.Waiting,
				WorkPercent: c.WorkPercent, Notice: c.Notice.serverNotice(),
			})
		}
	}
}

// sendReports sends the other regions load reports about the pools that this
// host dispatches.
func (h *Host) sendReports(time.Time) {
	h.dispatchState.reportRound++
	var list []report
	h.eachPool(func(p *pool) {
		if h.dispatches(p.name) && h.dispatchState.reportRound%p.reportIntervals() == 0 {
			list = append(list, report{Pool: p.name, Region: h.region, Report: p.report()})
		}
	})
	for _, r := range list {
		h.sendAll(h.peers.reportTargets(r.Pool, reportFallbackHosts, h.dispatchState.reportersOf(time.Now(), r.Pool)), &datagram{Report: []report{r}})
	}
}

// reportersOf returns the hosts that sent a report about the pool within
// reporterLife, by region.
func (d *dispatchState) reportersOf(now time.Time, pool string) map[string]string {
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

// handleReport records load reports of another region and who sent them.
func (h *Host) handleReport(from string, list []report) {
	for _, r := range list {
		// Any program can send datagrams; what they name is kept only if it exists.
		p := h.pool(r.Pool)
		if p == nil || !h.cfg().hasRegion(r.Region) {
			continue
		}
		h.dispatchState.mu.Lock()
		h.dispatchState.reporters[reporterKey{r.Pool, r.Region}] = reporter{from, time.Now()}
		h.dispatchState.mu.Unlock()
		if r.Region != h.region {
			p.recordRegionReport(r.Region, r.Report)
		}
	}
}

// expireInFlight ends placed requests that are past their deadline and whose
// completion never arrived.
func (h *Host) expireInFlight(now time.Time) {
	h.eachPool(func(p *pool) { p.expire(now) })
}

// logPools logs the state of the pools that this host dispatches.
func (h *Host) logPools(now time.Time) {
	h.eachPool(func(p *pool) {
		if !h.dispatches(p.name) {
			return
		}
		p.mu.Lock()
		state := p.dispatcher.State(now)
		inFlight, waiting := p.dispatcher.Counts()
		p.mu.Unlock()
		h.log.pool(p.name, state, waiting, inFlight)
	})
}
