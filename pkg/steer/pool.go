package steer

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/placing"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/retry"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// waitTick is how often the waiting requests are looked at beside the ends of
// others.
const waitTick = 15 * time.Millisecond

// pool is the shard of one pool's state. The pool's dispatcher places the
// requests of the whole region; on other hosts the pool holds what this host
// sent, for the time in which the dispatcher cannot be reached.
type pool struct {
	h    *Host
	name string

	mu      sync.Mutex
	place   *placing.Dispatcher
	repeats *retry.Share
	ticking bool
	// waiters take the placements of the waiting requests. They are called with
	// the pool locked.
	waiters map[placing.Ref]func(placing.Placement)
	// own are the servers of this host's sends and who granted them.
	own map[uint64]ownFlight
	// applied is what the servers were last taken from; Host.poolsMu guards it.
	applied poolState
}

// poolState is what the servers of a pool depend on.
type poolState struct {
	servers  int // version of the registry
	row      fleet.Pool
	settings *Settings
}

type ownFlight struct {
	server, granter string
}

func newPool(h *Host, name string) *pool {
	decisions := placing.New(h.region)
	p := &pool{
		h: h, name: name, place: placing.NewDispatcher(decisions), waiters: map[placing.Ref]func(placing.Placement){}, own: map[uint64]ownFlight{},
	}
	b := h.cfg().Bounds
	p.repeats = retry.NewShare(b.RetryRatio, float64(b.RetryExtra))
	// One host of a region sends to its cold servers, so that their sum stays
	// within what they bear.
	decisions.OwnsCold = func(s fleet.Server) bool { return h.dispatches(name) && h.regionOf(s.Domain) == h.region }
	decisions.Evacuated = h.isEvacuated
	decisions.Hosts = func() int {
		if h.dispatches(name) {
			return 1
		}
		return h.view.Load().region
	}
	return p
}

func (p *pool) update(now time.Time, servers []fleet.Server, row fleet.Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.Update(now, servers, row.ColdRate, p.h.regionOf)
	p.deliver(p.place.Wake(now))
}

// wake offers free slots to the waiting requests.
func (p *pool) wake(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.place.Wake(now))
}

// offer places a request. If all servers are busy, the request waits and offer
// returns true; deliver is called once in any case.
func (p *pool) offer(now time.Time, ref placing.Ref, need placing.Need, deadline time.Time, deliver func(placing.Placement)) (queued bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	placement, queued := p.place.Offer(now, ref, need, deadline)
	if !queued {
		deliver(placement)
		return false
	}
	p.waiters[ref] = deliver
	if !p.ticking {
		p.ticking = true
		time.AfterFunc(waitTick, p.tick)
	}
	return true
}

// deliver gives the placements to those that wait for them.
func (p *pool) deliver(list []placing.Placement) {
	for _, placement := range list {
		if deliver := p.waiters[placement.Ref]; deliver != nil {
			delete(p.waiters, placement.Ref)
			deliver(placement)
		}
	}
}

func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.place.Wake(time.Now()))
	_, waiting := p.place.Counts()
	p.ticking = waiting > 0
	if p.ticking {
		time.AfterFunc(waitTick, p.tick)
	}
}

// end records the end of a request that was placed here, or takes it out of the
// queue.
func (p *pool) end(now time.Time, ref placing.Ref, e placing.Ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, ref)
	p.deliver(p.place.End(now, ref, e))
}

// find returns the placement of a request in progress, and whether the request
// waits.
func (p *pool) find(ref placing.Ref) (_ placing.Placement, placed, waiting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place.Find(ref)
}

// expire ends flights whose end was never told.
func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.Expire(now)
}

// forget ends the flights of a host that is gone.
func (p *pool) forget(now time.Time, host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ref := range p.waiters {
		if ref.Host == host {
			delete(p.waiters, ref)
		}
	}
	p.deliver(p.place.Forget(now, host))
}

// acquireHere places a request of this host without another dispatcher.
func (p *pool) acquireHere(ctx context.Context, id uint64, need placing.Need, deadline time.Time) (placing.Placement, *result.Error) {
	ref := placing.Ref{Host: p.h.self.Name, ID: id}
	delivered := make(chan placing.Placement, 1)
	p.offer(time.Now(), ref, need, deadline, func(placement placing.Placement) { delivered <- placement })
	select {
	case placement := <-delivered:
		return placement, p.rejection(placement.Choice, need)
	case <-ctx.Done():
		p.end(time.Now(), ref, placing.Ending{Outcome: placing.Abandoned})
		return placing.Placement{}, result.Wrap(ctx.Err(), result.CallerGone, "the caller left while the request waited for a slot")
	}
}

// track remembers who granted a send of this host.
func (p *pool) track(id uint64, server, granter string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.own[id] = ownFlight{server, granter}
}

func (p *pool) untrack(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.own, id)
}

// started and finished keep this host's own picture of requests that another
// host granted.
func (p *pool) started(c placing.Choice, need placing.Need) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.Started(time.Now(), c, need)
}

func (p *pool) finished(c placing.Choice, need placing.Need, e placing.Ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.Learn(time.Now(), c, need, e)
}

// server returns a server that takes requests.
func (p *pool) server(id string) (fleet.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place.Server(time.Now(), id)
}

// rejection returns the error for a choice that is not to send.
func (p *pool) rejection(c placing.Choice, need placing.Need) *result.Error {
	var err *result.Error
	switch c.Verdict {
	case placing.Send:
		return nil
	case placing.Wait:
		err = result.New(result.QueueFull, "all servers of pool %q are busy", p.name)
	case placing.TooLate:
		err = result.New(result.DeadlineTooShort, "pool %q needs %s, more than the request has", p.name, c.Expected.Round(time.Millisecond))
	default:
		err = result.New(result.NoHealthyServer, "no server of pool %q accepts the request", p.name)
	}
	return err.WithRetryAfter(returnAfter(need.Target))
}

// countRequest counts a new request of this host.
func (p *pool) countRequest(need placing.Need, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.repeats.Request(now, hosts)
	p.place.Request(now, need)
}

// countAsked counts a new request of another host of the region.
func (p *pool) countAsked(need placing.Need) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.Request(time.Now(), need)
}

// takeRepeat takes a repeated send from the budget.
func (p *pool) takeRepeat(hosts int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.repeats.Take(time.Now(), hosts)
}

// peerLoad records the requests in progress of another host that no dispatcher
// knows.
func (p *pool) peerLoad(host string, loads map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.PeerLoad(host, loads)
}

// loads adds this host's requests in progress to out, by server, but for those
// that dispatcher granted.
func (p *pool) loads(dispatcher string, out map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.own {
		if f.granter != dispatcher {
			out[f.server]++
		}
	}
}

// told takes the report of another region.
func (p *pool) told(region string, r placing.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.Told(time.Now(), region, r)
}

// reportEvery is the number of intervals from one report to the next.
func (p *pool) reportEvery() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(1+p.place.OwnServers()/reportServers, reportMost)
}

func (p *pool) report() placing.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place.Report(time.Now())
}
