package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/health"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/lookup"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/membership"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/slots"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/spill"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// resendAfter is how long a host waits for a decision before it asks again; a
// repeated request is recognized by its id. It also finds a dispatcher that
// lost the request when it was replaced.
const resendAfter = 300 * time.Millisecond

// verdict is a dispatcher's decision about one request.
type verdict struct {
	grant  slots.Grant
	credit *spill.Credit
	// lender accepts requests under the credit; its address is for callers.
	lender origin
	err    *result.Error
}

// waiter is a request of this host that waits for a decision.
type waiter struct {
	request slotRequest
	until   time.Time
	verdict chan verdict
}

// pool is one row of the pools table at this host: the host's own requests,
// and the dispatcher's state while this host is the dispatcher.
type pool struct {
	host *Host
	name string

	mu      sync.Mutex
	row     tables.Pool
	holder  *slots.Holder
	waiting map[uint64]*waiter
	// active are the requests from acquire to release. A decision that arrives
	// twice must not release a slot in use.
	active map[uint64]bool
	// refusals are those of the dispatcher on another host; see recentRefusal.
	refusals map[refusalKey]refusal
	// current is the dispatcher that requests are sent to.
	current string
	*dispatching
}

// dispatching is the state of a dispatcher.
type dispatching struct {
	slots    *slots.Dispatcher
	health   *health.Tracker
	lender   *spill.Lender
	borrower *spill.Borrower
	// active is the number of servers that are not draining; without any,
	// nothing is lent.
	active atomic.Int64
	// placed are the domain choices of requests that are not finished.
	placed map[placedKey]*placement
	// parked requests wait for a credit of another domain.
	parked map[placedKey]*parked
	// lenders are the entry hosts that granted credits, by domain.
	lenders map[string]origin
}

type placedKey struct {
	host string
	id   uint64
}

// placement is where the dispatcher placed a request.
type placement struct {
	choice       spill.Choice
	until        time.Time
	requestBytes float64
	answerBytes  float64
}

func newPool(h *Host, row tables.Pool) *pool {
	return &pool{host: h, name: row.Name, row: row, holder: slots.NewHolder(""), waiting: map[uint64]*waiter{}, active: map[uint64]bool{}, refusals: map[refusalKey]refusal{}}
}

// Bounds of remembered refusals.
const (
	refusalTime  = 200 * time.Millisecond
	refusalsMost = 256
)

type refusalKey struct {
	rank  int
	group string
}

// refusal is a dispatcher's refusal for load.
type refusal struct {
	// err is a copy, because each request sets its own run state.
	err   result.Error
	until time.Time
	// left is the time to the deadline of the request that was refused.
	left time.Duration
}

// recentRefusal returns the refusal that a request like this one got from the
// dispatcher a moment ago. Without it every request of a flood that reaches a
// host that is not the dispatcher costs three messages; 31 KB/s were seen at
// one host, of 19 KB/s that control may use.
func (p *pool) recentRefusal(now time.Time, req slotRequest, left time.Duration) *result.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dispatching != nil {
		return nil
	}
	r, ok := p.refusals[refusalKey{req.Rank, req.Group}]
	if !ok || !now.Before(r.until) || left > r.left {
		return nil
	}
	err := r.err
	return &err
}

// rememberRefusal keeps a refusal for load for a moment.
func (p *pool) rememberRefusal(now time.Time, req slotRequest, left time.Duration, err *result.Error) {
	if !isLoad(err.Code) && err.Code != result.NoHeadroom {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.refusals) >= refusalsMost {
		clear(p.refusals)
	}
	p.refusals[refusalKey{req.Rank, req.Group}] = refusal{*err, now.Add(min(refusalTime, err.RetryAfter)), left}
}

// setRow takes a new row of the pools table.
func (p *pool) setRow(now time.Time, row tables.Pool) {
	p.mu.Lock()
	p.row = row
	d := p.dispatching
	p.mu.Unlock()
	if d != nil {
		d.setServers(now, row, p.host.cfg.Host.Domain)
		d.borrower.SetPeers(p.host.spillPeers(row))
		p.host.deliver(p, d.slots.SetPool(now, row))
	}
}

func (d *dispatching) setServers(now time.Time, row tables.Pool, domain string) {
	var names []string
	count := 0
	for _, s := range row.InDomain(domain) {
		names = append(names, s.Address)
		if !s.Drain {
			count++
		}
	}
	slices.Sort(names)
	d.health.SetWarmServers(now, names)
	d.lender.SetSlots(count * row.Slots)
	d.active.Store(int64(count))
}

// electDispatcher compares the pool's dispatcher with the live hosts and takes
// over or gives up the role.
func (p *pool) electDispatcher(now time.Time, candidates, all []string) {
	who := rendezvous.Pick(lookup.DispatcherKey(p.name, p.host.cfg.Host.Domain), candidates)
	p.mu.Lock()
	if who == p.current {
		p.mu.Unlock()
		return
	}
	previous := p.current
	p.current = who
	var d *dispatching
	if who == p.host.cfg.Host.Name {
		d = p.newDispatching(now)
	}
	p.dispatching = d
	row := p.row
	p.mu.Unlock()
	p.holder.Follow(who)
	if held, ok := p.holder.Answer(now, who, 0); ok && d == nil {
		// The new dispatcher may not know yet that it should ask this host.
		p.host.sendPeer(who, kindSlotHeld, heldMessage(now, p.name, 0, held))
	}
	if d != nil {
		p.host.log.Info().Str("pool", p.name).Str("previous", previous).Msg("dispatching starts")
		d.setServers(now, row, p.host.cfg.Host.Domain)
		if previous != "" && !slices.Contains(all, previous) && !p.host.hasEnded(previous) {
			all = append(slices.Clone(all), previous)
		}
		lost := p.host.lostHosts(now)
		p.host.deliver(p, d.slots.Recover(now, append(slices.Clone(all), lost...)))
		for _, name := range lost {
			p.host.deliver(p, d.slots.HostGone(now, name))
		}
	}
	p.resend(now)
}

func (p *pool) newDispatching(now time.Time) *dispatching {
	h := p.host
	domain := h.cfg.Host.Domain
	tracker := health.New(health.Config{WarmUp: p.row.WarmUp.Std(), Rand: newRand()})
	epoch := uint64(max(0, now.UnixMilli()))
	count := len(p.row.InDomain(domain)) * p.row.Slots
	d := &dispatching{
		health: tracker, placed: map[placedKey]*placement{}, parked: map[placedKey]*parked{},
		lenders: map[string]origin{},
		slots: slots.New(slots.Config{
			Pool: p.row, Domain: domain, Self: h.cfg.Host.Name, Epoch: epoch, Health: healthAdapter{tracker},
		}),
		lender: spill.NewLender(spill.LenderConfig{
			Domain: domain, Pool: p.name, Slots: count, ShiftCap: p.row.ShiftCap, Epoch: epoch, Rand: newRand(),
		}),
	}
	d.borrower = spill.NewBorrower(now, spill.BorrowerConfig{
		Domain: domain, Region: h.region, Pool: p.name, Slots: count, ShiftCap: p.row.ShiftCap,
		Rand: newRand(), Peers: h.spillPeers(p.row),
	}, h.takeLink)
	return d
}

// newRand returns a random source for one core type.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// healthAdapter joins the health tracker to the dispatcher's interface.
type healthAdapter struct{ t *health.Tracker }

func (a healthAdapter) Usable(now time.Time, server string) bool { return a.t.Usable(now, server) }
func (a healthAdapter) Weight(now time.Time, server string) float64 {
	return a.t.Weight(now, server)
}

func (a healthAdapter) Report(now time.Time, server string, o slots.Outcome) {
	if out, ok := outcomeOf(o); ok {
		a.t.Report(now, server, out)
	}
}

// acquire asks the dispatcher for a slot and waits for its decision.
func (p *pool) acquire(ctx context.Context, req slotRequest, deadline time.Time) verdict {
	left := time.Until(deadline)
	if err := p.recentRefusal(time.Now(), req, left); err != nil {
		return verdict{err: err}
	}
	w := &waiter{request: req, until: deadline, verdict: make(chan verdict, 1)}
	p.mu.Lock()
	p.waiting[req.ID], p.active[req.ID] = w, true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.waiting, req.ID)
		p.mu.Unlock()
	}()
	resend := time.NewTicker(resendAfter)
	defer resend.Stop()
	p.send(time.Now(), w)
	for {
		select {
		case v := <-w.verdict:
			if v.err != nil {
				p.rememberRefusal(time.Now(), req, left, v.err)
			}
			return p.take(time.Now(), v, deadline)
		case <-resend.C:
			if p.isDispatcherSuspect() {
				p.release(req.ID, slotRelease{Cancel: true})
				return verdict{err: result.New(result.DispatcherUnknown, "the dispatcher of pool %s does not answer", p.name).
					WithRetryAfter(p.host.retryAfter())}
			}
			p.send(time.Now(), w)
		case <-ctx.Done():
			return p.abandon(ctx, w)
		}
	}
}

// isDispatcherSuspect reports whether the dispatcher may be dead. Waiting for
// its removal takes up to SuspectTimeout, in which the caller can be served by
// another failure domain.
func (p *pool) isDispatcherSuspect() bool {
	p.mu.Lock()
	who := p.current
	p.mu.Unlock()
	for _, m := range p.host.members.Members(time.Now()) {
		if m.Name == who {
			return m.State == membership.Suspect
		}
	}
	return false
}

// take checks a grant against the dispatcher that is known now.
func (p *pool) take(now time.Time, v verdict, deadline time.Time) verdict {
	if v.err != nil || v.credit != nil {
		return v
	}
	v.grant.Expiry = deadline.Add(slots.GrantSlack)
	if p.holder.Take(now, v.grant) != slots.Accepted {
		p.release(v.grant.ID, slotRelease{Kind: slots.Unused})
		return verdict{err: result.New(result.DispatcherUnknown, "the dispatcher of pool %s was replaced", p.name).
			WithRetryAfter(p.host.retryAfter())}
	}
	return v
}

// abandon ends a request that no longer waits. A decision that crosses the
// cancellation is not used.
func (p *pool) abandon(ctx context.Context, w *waiter) verdict {
	p.release(w.request.ID, slotRelease{Cancel: true})
	if ctx.Err() == context.DeadlineExceeded {
		return verdict{err: result.New(result.DeadlineExpired, "the deadline passed while the request was queued").
			WithRetryAfter(p.host.retryAfter())}
	}
	return verdict{err: result.New(result.CallerGone, "the caller left while the request was queued")}
}

// send offers a waiting request to the dispatcher of this moment.
func (p *pool) send(now time.Time, w *waiter) {
	p.mu.Lock()
	who, d := p.current, p.dispatching
	p.mu.Unlock()
	req := w.request
	req.LeftMS = max(1, w.until.Sub(now).Milliseconds())
	if d != nil {
		p.host.offer(now, p, d, p.host.cfg.Host.Name, req)
		return
	}
	p.host.sendPeer(who, kindSlotRequest, req)
}

// resend offers all waiting requests to a new dispatcher.
func (p *pool) resend(now time.Time) {
	p.mu.Lock()
	waiting := make([]*waiter, 0, len(p.waiting))
	for _, w := range p.waiting {
		waiting = append(waiting, w)
	}
	p.mu.Unlock()
	for _, w := range waiting {
		p.send(now, w)
	}
}

// release tells the dispatcher that a request has ended.
func (p *pool) release(id uint64, r slotRelease) {
	p.holder.Done(id)
	r.Pool, r.ID = p.name, id
	p.mu.Lock()
	delete(p.active, id)
	who, d := p.current, p.dispatching
	p.mu.Unlock()
	if d != nil {
		p.host.released(time.Now(), p, d, p.host.cfg.Host.Name, r)
		return
	}
	p.host.sendPeer(who, kindSlotRelease, r)
}

// decide hands a verdict to the waiting request, if it still waits; a grant
// that nobody waits for is given back.
func (p *pool) decide(id uint64, v verdict) {
	p.mu.Lock()
	w, active := p.waiting[id], p.active[id]
	p.mu.Unlock()
	if w != nil {
		select {
		case w.verdict <- v:
		default:
		}
		return
	}
	if v.err == nil && !active {
		p.release(id, slotRelease{Kind: slots.Unused})
	}
}
