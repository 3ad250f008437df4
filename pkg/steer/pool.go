package steer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/placing"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/retry"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Limits of waiting requests.
const (
	// holdShare is the part of the target latency for which a request waits for
	// a slot before it is rejected.
	holdShare = 0.25
	// waitersMost bounds the waiting requests of one pool.
	waitersMost = 256
	waitTick    = 15 * time.Millisecond
	// wakeTries bounds the waiting requests that are looked at when a slot may
	// have come free, the most urgent first.
	wakeTries = 12
	// flightSlack is how long after its deadline a request may still be in
	// progress before it counts as ended.
	flightSlack = 500 * time.Millisecond
)

// pool is the shard of one pool's state. The pool's dispatcher places the
// requests of the whole region; on other hosts the pool holds what this host
// sent, for the time in which the dispatcher cannot be reached.
type pool struct {
	h    *Host
	name string

	mu      sync.Mutex
	place   *placing.Pool
	repeats *retry.Share
	waiting []*waiter
	ticking bool
	// flights are the requests that were placed here.
	flights map[flightKey]*flight
	// own are the servers of this host's sends and who granted them.
	own map[uint64]ownFlight
}

// flightKey names a request of a host.
type flightKey struct {
	host string
	id   uint64
}

// flight is a request that was placed and has not ended.
type flight struct {
	choice placing.Choice
	need   placing.Need
	until  time.Time
	waited time.Duration
}

type ownFlight struct {
	server, granter string
}

// waiter is a request that waits for a slot.
type waiter struct {
	key      flightKey
	need     placing.Need
	since    time.Time
	deadline time.Time
	until    time.Time // when the wait ends
	// deliver takes the choice; it is called with the pool locked.
	deliver func(c placing.Choice, waited time.Duration)
}

func newPool(h *Host, name string) *pool {
	p := &pool{h: h, name: name, place: placing.New(h.region), flights: map[flightKey]*flight{}, own: map[uint64]ownFlight{}}
	b := h.cfg.Bounds
	p.repeats = retry.NewShare(b.RetryRatio, float64(b.RetryExtra))
	// One host of a region sends to its cold servers, so that their sum stays
	// within what they bear.
	p.place.OwnsCold = func(s fleet.Server) bool { return h.dispatches(name) && h.regionOf(s.Domain) == h.region }
	p.place.Evacuated = h.isEvacuated
	p.place.Hosts = func() int {
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
	p.wake(now)
}

// offer places a request. If all servers are busy, the request waits and offer
// returns true; deliver is called once in any case.
func (p *pool) offer(now time.Time, key flightKey, need placing.Need, deadline time.Time, deliver func(placing.Choice, time.Duration)) (queued bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	need.Left = deadline.Sub(now)
	choice := p.place.Pick(now, need)
	hold := min(seconds(need.Target.Seconds()*holdShare), need.Left-choice.Expected)
	if choice.Verdict == placing.Wait && len(p.waiting) < waitersMost && hold > 0 {
		p.enqueue(&waiter{key: key, need: need, since: now, deadline: deadline, until: now.Add(hold), deliver: deliver})
		return true
	}
	p.start(now, key, choice, need, deadline, 0)
	deliver(choice, 0)
	return false
}

// start records a placed request.
func (p *pool) start(now time.Time, key flightKey, c placing.Choice, need placing.Need, deadline time.Time, waited time.Duration) {
	if c.Verdict != placing.Send {
		return
	}
	p.place.Started(now, c, need)
	p.flights[key] = &flight{choice: c, need: need, until: deadline.Add(flightSlack), waited: waited}
}

// enqueue orders the waiting requests by priority, then by arrival.
func (p *pool) enqueue(w *waiter) {
	i, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *waiter) int {
		if a.need.Priority != b.need.Priority {
			return a.need.Priority - b.need.Priority
		}
		return a.since.Compare(b.since)
	})
	p.waiting = slices.Insert(p.waiting, i, w)
	p.place.Waiting = len(p.waiting)
	if !p.ticking {
		p.ticking = true
		time.AfterFunc(waitTick, p.tick)
	}
}

func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake(time.Now())
	p.ticking = len(p.waiting) > 0
	if p.ticking {
		time.AfterFunc(waitTick, p.tick)
	}
}

// wake offers free slots to the waiting requests. The caller holds the lock.
func (p *pool) wake(now time.Time) {
	keep := p.waiting[:0]
	tried := 0
	for _, w := range p.waiting {
		if tried >= wakeTries && now.Before(w.until) {
			keep = append(keep, w)
			continue
		}
		tried++
		w.need.Left = w.deadline.Sub(now)
		choice := p.place.Pick(now, w.need)
		if choice.Verdict == placing.Wait && now.Before(w.until) {
			keep = append(keep, w)
			continue
		}
		waited := now.Sub(w.since)
		p.start(now, w.key, choice, w.need, w.deadline, waited)
		w.deliver(choice, waited)
	}
	clear(p.waiting[len(keep):])
	p.waiting = keep
	p.place.Waiting = len(p.waiting)
}

// ending is how a request ended, and the load that the server told.
type ending struct {
	outcome          placing.Outcome
	took             time.Duration
	loaded           bool
	running, waiting int
}

// end records the end of a request that was placed here, or takes it out of the
// queue.
func (p *pool) end(now time.Time, key flightKey, e ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.flights[key]
	if f == nil {
		p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return w.key == key })
		return
	}
	delete(p.flights, key)
	p.learn(now, f.choice, f.need, e)
	p.wake(now)
}

func (p *pool) learn(now time.Time, c placing.Choice, need placing.Need, e ending) {
	if e.loaded {
		p.place.Reported(now, c.Server.ID, e.running, e.waiting)
	}
	p.place.Finished(now, c, need, e.outcome, e.took)
}

// find returns the flight of a request, and whether the request is waiting.
func (p *pool) find(key flightKey) (f *flight, waiting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f = p.flights[key]; f != nil {
		return f, false
	}
	return nil, slices.ContainsFunc(p.waiting, func(w *waiter) bool { return w.key == key })
}

// expire ends flights whose end was never told.
func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, f := range p.flights {
		if now.After(f.until) {
			delete(p.flights, key)
			p.place.Finished(now, f.choice, f.need, placing.Abandoned, 0)
		}
	}
}

// forget ends the flights of a host that is gone.
func (p *pool) forget(now time.Time, host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.PeerLoad(host, nil)
	for key, f := range p.flights {
		if key.host == host {
			delete(p.flights, key)
			p.place.Finished(now, f.choice, f.need, placing.Abandoned, 0)
		}
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool { return w.key.host == host })
	p.wake(now)
}

// acquireHere places a request of this host without another dispatcher.
func (p *pool) acquireHere(ctx context.Context, id uint64, need placing.Need, deadline time.Time) (placing.Choice, time.Duration, *result.Error) {
	type delivery struct {
		choice placing.Choice
		waited time.Duration
	}
	key := flightKey{p.h.self.Name, id}
	delivered := make(chan delivery, 1)
	p.offer(time.Now(), key, need, deadline, func(c placing.Choice, waited time.Duration) { delivered <- delivery{c, waited} })
	select {
	case d := <-delivered:
		return d.choice, d.waited, p.rejection(d.choice, need)
	case <-ctx.Done():
		p.end(time.Now(), key, ending{outcome: placing.Abandoned})
		return placing.Choice{Verdict: placing.Wait}, 0, result.Wrap(ctx.Err(), result.CallerGone, "the caller left while the request waited for a slot")
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

func (p *pool) finished(c placing.Choice, need placing.Need, e ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learn(time.Now(), c, need, e)
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

func (p *pool) report() placing.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.place.Report(time.Now())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
