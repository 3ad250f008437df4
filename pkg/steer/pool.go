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
	// waitersMost bounds the waiting requests of one pool on one host.
	waitersMost = 64
	waitTick    = 15 * time.Millisecond
)

// pool is the shard of one pool's state.
type pool struct {
	h    *Host
	name string

	mu      sync.Mutex
	place   *placing.Pool
	repeats *retry.Share
	waiting []*waiter
	ticking bool
}

// waiter is a request that waits for a slot.
type waiter struct {
	need     placing.Need
	priority int
	since    time.Time
	deadline time.Time
	until    time.Time // when the wait ends
	chosen   chan placing.Choice
}

func newPool(h *Host, name string) *pool {
	p := &pool{h: h, name: name, place: placing.New(h.region)}
	b := h.cfg.Bounds
	p.repeats = retry.NewShare(b.RetryRatio, float64(b.RetryExtra))
	p.place.OwnsCold = func(s fleet.Server) bool { return h.peers.owns(s.ID, s.Domain) }
	p.place.Evacuated = h.isEvacuated
	p.place.Hosts = h.peers.regionCount
	return p
}

func (p *pool) update(now time.Time, servers []fleet.Server, row fleet.Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.Update(now, servers, row.ColdRate, p.h.regionOf)
	p.wake(now)
}

// acquire chooses a server and records the send. A request for which all
// servers are busy waits for a while. The error is a rejection that says so
// truthfully: the request was not sent.
func (p *pool) acquire(ctx context.Context, need placing.Need, priority int, deadline time.Time) (placing.Choice, time.Duration, *result.Error) {
	now := time.Now()
	need.Left = deadline.Sub(now)
	p.mu.Lock()
	choice := p.place.Pick(now, need)
	hold := min(seconds(need.Target.Seconds()*holdShare), need.Left-choice.Expected)
	if choice.Verdict != placing.Wait || len(p.waiting) >= waitersMost || hold <= 0 {
		if choice.Verdict == placing.Send {
			p.place.Started(now, choice, need)
		}
		p.mu.Unlock()
		return choice, 0, p.rejection(choice, need)
	}
	w := &waiter{need: need, priority: priority, since: now, deadline: deadline, until: now.Add(hold), chosen: make(chan placing.Choice, 1)}
	p.enqueue(w)
	p.mu.Unlock()
	select {
	case choice = <-w.chosen:
	case <-ctx.Done():
		choice = p.withdraw(w)
		if choice.Verdict == placing.Send {
			p.finish(choice, need, placing.Abandoned, 0)
		}
		return choice, time.Since(w.since), result.Wrap(ctx.Err(), result.CallerGone, "the caller left while the request waited for a slot")
	}
	return choice, time.Since(w.since), p.rejection(choice, need)
}

// enqueue orders the waiting requests by priority, then by arrival.
func (p *pool) enqueue(w *waiter) {
	i, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *waiter) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.since.Compare(b.since)
	})
	p.waiting = slices.Insert(p.waiting, i, w)
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
	for _, w := range p.waiting {
		w.need.Left = w.deadline.Sub(now)
		choice := p.place.Pick(now, w.need)
		if choice.Verdict == placing.Wait && now.Before(w.until) {
			keep = append(keep, w)
			continue
		}
		if choice.Verdict == placing.Send {
			p.place.Started(now, choice, w.need)
		}
		w.chosen <- choice
	}
	clear(p.waiting[len(keep):])
	p.waiting = keep
}

// withdraw takes a waiting request out. If it was placed meanwhile, its choice
// is returned.
func (p *pool) withdraw(w *waiter) placing.Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case choice := <-w.chosen:
		return choice
	default:
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(x *waiter) bool { return x == w })
	return placing.Choice{Verdict: placing.Wait}
}

// finish records the end of a sent request.
func (p *pool) finish(c placing.Choice, need placing.Need, o placing.Outcome, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.place.Finished(now, c, need, o, took)
	p.wake(now)
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
		err = result.New(result.DeadlineTooShort, "pool %q needs %s, the request has %s", p.name, c.Expected.Round(time.Millisecond), need.Left.Round(time.Millisecond))
	case placing.NoServer:
		err = result.New(result.NoHealthyServer, "no server of pool %q accepts the request", p.name)
	}
	return err.WithRetryAfter(returnAfter(need.Target))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// countRequest counts a request into the budget of repeats.
func (p *pool) countRequest(need placing.Need, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.repeats.Request(now, hosts)
	p.place.Request(now, need)
}

// takeRepeat takes a repeated send from the budget.
func (p *pool) takeRepeat(hosts int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.repeats.Take(time.Now(), hosts)
}

// reported records the load that a server told.
func (p *pool) reported(server string, running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.Reported(time.Now(), server, running, waiting)
}

// peerLoad records the requests in progress of another host.
func (p *pool) peerLoad(host string, loads map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place.PeerLoad(host, loads)
}

// loads adds the requests in progress of this host to out, by server.
func (p *pool) loads(out map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.place.Loads() {
		out[id] += n
	}
}
