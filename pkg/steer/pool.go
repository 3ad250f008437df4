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

// queuePollInterval is how often queued requests are offered to the servers again,
// in addition to each time that another request ends.
const queuePollInterval = 15 * time.Millisecond

// pool is this host's state of one server pool. On the pool's dispatcher it
// covers the requests of the whole region. On other hosts it covers the requests
// that this host sent, so that it can place requests itself while the dispatcher
// cannot be reached.
type pool struct {
	host *Host
	name string

	mu          sync.Mutex
	dispatcher  *placing.Dispatcher
	retryBudget *retry.Share
	polling     bool // a timer for pollQueue is set
	// onPlaced holds the callbacks of the queued requests. They are called with mu
	// held.
	onPlaced map[placing.Ref]func(placing.Placement)
	// inFlight holds the requests that this host has at backend servers, by
	// reservation id.
	inFlight map[uint64]inFlightSend
	// applied is the input of the last update of the servers; Host.poolsMu guards
	// it.
	applied poolInput
}

// poolInput is the input from which a pool's servers are determined. If it is
// unchanged, the servers need no update.
type poolInput struct {
	registryVersion int        // of the pool's servers in the registry
	config          fleet.Pool // row of the pools table
	settings        *Settings
}

// inFlightSend is a request at a backend server, and the host that granted its
// slot.
type inFlightSend struct {
	server, granter string
}

func newPool(h *Host, name string) *pool {
	placingPool := placing.New(h.region)
	p := &pool{
		host: h, name: name, dispatcher: placing.NewDispatcher(placingPool), onPlaced: map[placing.Ref]func(placing.Placement){}, inFlight: map[uint64]inFlightSend{},
	}
	b := h.cfg().Bounds
	p.retryBudget = retry.NewShare(b.RetryRatio, b.RetryExtra)
	// Only the pool's dispatcher in a region sends to the region's cold servers (those
	// with cold caches), so that the rate limit of a cold server bounds the sum over
	// all hosts.
	placingPool.OwnsCold = func(s fleet.Server) bool { return h.dispatches(name) && h.regionOf(s.Domain) == h.region }
	placingPool.Evacuated = h.isEvacuated
	placingPool.Hosts = func() int {
		if h.dispatches(name) {
			return 1
		}
		return h.view.Load().regionSize
	}
	return p
}

// update sets the pool's servers and their cold rate, and offers free slots to the
// queued requests.
func (p *pool) update(now time.Time, servers []fleet.Server, row fleet.Pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.Update(now, servers, row.ColdRate, p.host.regionOf)
	p.deliver(p.dispatcher.Wake(now))
}

// wake offers free slots to the queued requests.
func (p *pool) wake(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.dispatcher.Wake(now))
}

// offer places a request. If all servers are busy, the request is queued and
// offer returns true. deliver is called once with the placement, at once or when
// the request leaves the queue, unless endRequest or forget removes it first.
func (p *pool) offer(now time.Time, ref placing.Ref, need placing.Need, deadline time.Time, deliver func(placing.Placement)) (queued bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	placement, queued := p.dispatcher.Offer(now, ref, need, deadline)
	if !queued {
		deliver(placement)
		return false
	}
	p.onPlaced[ref] = deliver
	if !p.polling {
		p.polling = true
		time.AfterFunc(queuePollInterval, p.pollQueue)
	}
	return true
}

// deliver calls the callbacks of the requests that left the queue.
func (p *pool) deliver(list []placing.Placement) {
	for _, placement := range list {
		if deliver := p.onPlaced[placement.Ref]; deliver != nil {
			delete(p.onPlaced, placement.Ref)
			deliver(placement)
		}
	}
}

// pollQueue offers free slots to the queued requests, and sets its timer again
// while there are any.
func (p *pool) pollQueue() { p.host.protect("queue", p.wakeQueue) }

func (p *pool) wakeQueue() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.dispatcher.Wake(time.Now()))
	_, waiting := p.dispatcher.Counts()
	p.polling = waiting > 0
	if p.polling {
		time.AfterFunc(queuePollInterval, p.pollQueue)
	}
}

// endRequest records the end of a request that this host placed, or takes it out
// of the queue.
func (p *pool) endRequest(now time.Time, ref placing.Ref, c placing.Completion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.onPlaced, ref)
	p.deliver(p.dispatcher.End(now, ref, c))
}

// find returns the placement of a request in progress, and whether the request is
// queued.
func (p *pool) find(ref placing.Ref) (_ placing.Placement, placed, waiting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dispatcher.Find(ref)
}

// expire ends placed requests that are past their deadline and whose completion
// never arrived.
func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.Expire(now)
}

// forgetHost ends the placed and queued requests of a host that is gone.
func (p *pool) forgetHost(now time.Time, host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ref := range p.onPlaced {
		if ref.Host == host {
			delete(p.onPlaced, ref)
		}
	}
	p.deliver(p.dispatcher.Forget(now, host))
}

// acquireLocally places a request of this host without asking another host.
func (p *pool) acquireLocally(ctx context.Context, id uint64, need placing.Need, deadline time.Time) (placing.Placement, *result.Error) {
	ref := placing.Ref{Host: p.host.self.Name, ID: id}
	delivered := make(chan placing.Placement, 1)
	p.offer(time.Now(), ref, need, deadline, func(placement placing.Placement) { delivered <- placement })
	select {
	case placement := <-delivered:
		return placement, p.rejection(placement.Choice, need)
	case <-ctx.Done():
		p.endRequest(time.Now(), ref, placing.Completion{Outcome: placing.Abandoned})
		return placing.Placement{}, result.Wrap(ctx.Err(), result.CallerGone, "the caller left while the request waited for a slot")
	}
}

// track records a request that this host sends to a server, and the granter of its
// slot, until untrack.
func (p *pool) track(id uint64, server, granter string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[id] = inFlightSend{server, granter}
}

func (p *pool) untrack(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, id)
}

// recordPeerGrantStart and recordPeerGrantEnd record the start and the end of this
// host's requests whose slots another host granted, so that the state of the pool
// stays usable for placing requests locally.
func (p *pool) recordPeerGrantStart(choice placing.Choice, need placing.Need) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.Started(time.Now(), choice, need)
}

func (p *pool) recordPeerGrantEnd(choice placing.Choice, need placing.Need, c placing.Completion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.RecordCompletion(time.Now(), choice, need, c)
}

// server returns the server with the given id if it accepts requests.
func (p *pool) server(id string) (fleet.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dispatcher.Server(time.Now(), id, p.host.self.Name)
}

// notice returns what the server with the given id said of itself to this host, as
// far as it still holds.
func (p *pool) notice(id string) placing.ServerNotice {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dispatcher.Notice(time.Now(), id, p.host.self.Name)
}

// addLeaving and recordLeaving exchange the servers that said that they leave with
// a host that has just started, see placing.Pool.AddLeaving.
func (p *pool) addLeaving(out map[string]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.AddLeaving(out)
}

func (p *pool) recordLeaving(list map[string]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.RecordLeaving(time.Now(), list)
}

// rejection returns the error for a choice whose verdict is not Send, or nil.
func (p *pool) rejection(c placing.Choice, need placing.Need) *result.Error {
	var err *result.Error
	switch c.Verdict {
	case placing.Send:
		return nil
	case placing.Wait:
		err = result.New(result.QueueFull, "all servers of pool %q are busy", p.name)
	case placing.TooLate:
		err = result.New(result.DeadlineTooShort, "pool %q is expected to answer after %s, past the request's deadline", p.name, c.Expected.Round(time.Millisecond))
	default:
		err = result.New(result.NoHealthyServer, "no server of pool %q accepts the request", p.name)
	}
	return err.WithRetryAfter(retryAfter(need.Target))
}

// countRequest counts a new request of this host as demand, and adds to the
// retry budget. hosts is the number of hosts that share the budget.
func (p *pool) countRequest(need placing.Need, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.retryBudget.RecordRequest(now, hosts)
	p.dispatcher.RecordRequest(now, need)
}

// countPeerRequest counts a new request of another host of the region as demand.
func (p *pool) countPeerRequest(need placing.Need) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.RecordRequest(time.Now(), need)
}

// takeRetry takes one retry from the retry budget and reports whether there was
// one. hosts is the number of hosts that share the budget.
func (p *pool) takeRetry(hosts int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget.Take(time.Now(), hosts)
}

// recordPeerLoad records, by server, the requests in progress of another host that
// the pool's dispatcher did not grant.
func (p *pool) recordPeerLoad(host string, loads map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.RecordPeerRequests(host, loads)
}

// addLoads adds the numbers of this host's requests in progress to out, by server.
// Requests that dispatcher granted are left out.
func (p *pool) addLoads(dispatcher string, out map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.inFlight {
		if f.granter != dispatcher {
			out[f.server]++
		}
	}
}

// recordRegionReport records the load report of another region.
func (p *pool) recordRegionReport(region string, r placing.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.RecordRegionReport(time.Now(), region, r)
}

// reportIntervals returns the number of intervals between two reports; it grows
// with the number of servers in the report.
func (p *pool) reportIntervals() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(1+p.dispatcher.LocalServerCount()/reportServersPerInterval, maxReportIntervals)
}

func (p *pool) report() placing.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dispatcher.Report(time.Now())
}
