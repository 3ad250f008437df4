package slots

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/admission"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// Dispatcher owns the slots of the servers of one (pool, failure domain). Its
// methods are safe for concurrent use. Those that return decisions return the
// messages to send to hosts.
type Dispatcher struct {
	mu      sync.Mutex
	cfg     Config
	epoch   uint64
	queue   *admission.Queue
	servers []*server // sorted by address
	grants  map[grantKey]*grant
	// hosts are the known hosts that are neither lost nor lapsed: those on this
	// dispatcher's side if there is a partition.
	hosts map[string]bool
	// lost maps hosts that were removed by timeout to the time until which they
	// count as holding their share of the slots.
	lost map[string]time.Time
	// lapsed maps hosts whose LostHold has passed to the time until which a shed
	// request renews it.
	lapsed map[string]time.Time
	// lent counts the slots set aside by Lend.
	lent  int
	seq   uint64 // number of grants given
	slots int    // total allowance as of the last refresh
	// nextCooldownEnd is the earliest end of a cooldown, zero if there is none.
	nextCooldownEnd time.Time
	lastTick        time.Time
	recovery        recovery
	decisions       []Decision
}

// grantKey identifies a request and its grant.
type grantKey struct {
	host string
	id   uint64
}

// grant is an outstanding Grant and the server whose slot it uses.
type grant struct {
	Grant
	server    *server
	grantedAt time.Time
}

// New returns a Dispatcher whose servers start with all their slots. Call
// Recover before the first Offer if another dispatcher may have been active.
func New(cfg Config) *Dispatcher {
	if cfg.Health == nil {
		cfg.Health = AlwaysHealthy{}
	}
	cfg.Pool = cfg.Pool.WithDefaults()
	d := &Dispatcher{cfg: cfg, epoch: cfg.Epoch, grants: map[grantKey]*grant{}, hosts: map[string]bool{}, lost: map[string]time.Time{}, lapsed: map[string]time.Time{}}
	d.queue = admission.New(admissionConfig(cfg.Pool))
	for _, s := range cfg.Pool.InDomain(cfg.Domain) {
		d.servers = append(d.servers, &server{address: s.Address, drain: s.Drain})
	}
	d.sortServers()
	return d
}

func admissionConfig(p tables.Pool) admission.Config {
	return admission.Config{Floors: *p.Floors, Limit: p.Queue}
}

// enter starts a call: it detects pauses of the process and brings the
// recovery, the cooldowns and the allowances up to date.
func (d *Dispatcher) enter(now time.Time) {
	d.decisions = nil
	if !d.lastTick.IsZero() && now.Sub(d.lastTick) > PauseLimit {
		d.lastTick = now
		d.restart(now, d.hostList())
	}
	d.endRecovery(now)
	if !d.nextCooldownEnd.IsZero() && !now.Before(d.nextCooldownEnd) {
		d.endCooldowns(now)
	}
	d.refresh(now)
}

// leave ends a call: it grants free slots to waiting requests and returns the
// decisions to send.
func (d *Dispatcher) leave(now time.Time) []Decision {
	d.dispatch(now)
	decisions := d.decisions
	d.decisions = nil
	return decisions
}

// Offer asks for a slot. The decision about the request may come at once or
// with a later call.
func (d *Dispatcher) Offer(now time.Time, r Request) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enter(now)
	d.markReachable(r.Host)
	d.refresh(now)
	if g := d.grants[grantKey{r.Host, r.ID}]; g != nil {
		// The host repeats the message because the answer was lost.
		d.decisions = append(d.decisions, Decision{Kind: Granted, ID: r.ID, Host: r.Host, Grant: g.Grant, Epoch: d.epoch})
		return d.leave(now)
	}
	item := admission.Item{ID: r.ID, Host: r.Host, Rank: r.Rank, Group: r.Group, Deadline: r.Deadline, Exclude: r.Exclude, Once: r.Once}
	switch {
	case r.Rank < 0 || r.Rank >= len(tables.Ranks):
		d.refuse(r.Host, r.ID, result.New(result.BadRequest, "there is no rank %d", r.Rank))
	case d.slots == 0:
		d.refuse(r.Host, r.ID, result.New(result.NoHealthyServer, "pool %s has no server that accepts work in %s",
			d.cfg.Pool.Name, d.cfg.Domain).WithRetryAfter(noServerRetry))
	case r.Credit && d.lent > 0 && d.grantCredit(now, item):
		// grantCredit has added the grant to the decisions.
	default:
		if err := d.queue.Push(now, item); err != nil {
			d.refuse(r.Host, r.ID, err)
		}
	}
	return d.leave(now)
}

// grantCredit grants item a lent slot and reports whether a server could take
// it.
func (d *Dispatcher) grantCredit(now time.Time, item admission.Item) bool {
	// choose takes no slot that is set aside as lent, so free one first.
	d.lent--
	if s := d.choose(&item); s != nil {
		d.grant(now, item, s)
		return true
	}
	d.lent++
	return false
}

// Cancel withdraws a request: a waiting one leaves the queue, and the slot of
// a granted one is free at once. A host that cancels must not start the
// request even if a grant arrives after it has sent the cancellation.
func (d *Dispatcher) Cancel(now time.Time, host string, id uint64) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enter(now)
	if !d.queue.Cancel(host, id) {
		d.release(now, grantKey{host, id}, Outcome{Kind: Unused})
	}
	return d.leave(now)
}

// Release ends a granted request. An unknown grant is ignored: it was given by
// an earlier dispatcher or has expired.
func (d *Dispatcher) Release(now time.Time, host string, id uint64, o Outcome) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enter(now)
	d.release(now, grantKey{host, id}, o)
	return d.leave(now)
}

func (d *Dispatcher) release(now time.Time, k grantKey, o Outcome) {
	g := d.grants[k]
	if g == nil {
		return
	}
	delete(d.grants, k)
	d.queue.Finished(now, g.Rank)
	typicalService := d.queue.Service(g.Rank)
	switch {
	case o.Kind == OK || o.Kind == Timeout && o.Service > typicalService:
		// A timeout is a lower bound of the service time; without it a pool
		// that slows down would keep its old estimate.
		d.queue.Observe(g.Rank, o.Service)
	case (o.Kind == Failed || o.Kind == Shed) && now.Sub(g.grantedAt) < typicalService:
		// A server that fails fast frees its slots early and would attract more
		// traffic, so the slot stays blocked for the typical service time.
		g.server.startCooldown(g.grantedAt.Add(typicalService))
		d.noteCooldownEnd(g.grantedAt.Add(typicalService))
	}
	g.server.running--
	if o.Kind == Shed {
		g.server.shed(now, d.cfg.Pool.Slots)
		d.renewLost(now)
		d.refresh(now)
	} else if _, lost := d.lost[k.host]; lost {
		// The slot is withheld again as part of the lost host's share.
		d.refresh(now)
	}
	if o.Kind != Unused {
		d.cfg.Health.Report(now, g.Server, o)
	}
}

// Tick expires requests and grants, ends cooldowns and repeats AskHeld during a
// recovery. Call it every TickPeriod.
func (d *Dispatcher) Tick(now time.Time) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enter(now)
	d.lastTick = now
	d.askAgain(now)
	d.expireGrants(now)
	d.forgetServers()
	return d.leave(now)
}

// expireGrants takes back the slots of grants that were never released.
func (d *Dispatcher) expireGrants(now time.Time) {
	for k, g := range d.grants {
		if !g.Valid(now) {
			// The host is gone or has cancelled the request, which says
			// nothing about the server.
			d.release(now, k, Outcome{Kind: Unused})
		}
	}
}

func (d *Dispatcher) refuse(host string, id uint64, err *result.Error) {
	d.decisions = append(d.decisions, Decision{Kind: Refused, ID: id, Host: host, Err: err, Epoch: d.epoch})
}

// dispatch refuses expired requests and grants free slots in queue order.
func (d *Dispatcher) dispatch(now time.Time) {
	for _, item := range d.queue.Expire(now) {
		d.refuse(item.Host, item.ID, result.New(result.DeadlineExpired, "the deadline passed in the queue").
			WithRetryAfter(admission.MinRetryAfter))
	}
	var chosen *server
	for d.free() > 0 {
		item, ok := d.queue.Next(now, func(item *admission.Item) bool {
			s := d.choose(item)
			if s != nil {
				chosen = s
			}
			return s != nil
		})
		if !ok {
			return
		}
		d.grant(now, item, chosen)
	}
}

func (d *Dispatcher) grant(now time.Time, item admission.Item, s *server) {
	d.seq++
	s.running++
	s.lastGrantSeq = d.seq
	g := &grant{server: s, grantedAt: now, Grant: Grant{
		ID: item.ID, Host: item.Host, Server: s.address, By: d.cfg.Self, Epoch: d.epoch,
		Rank: item.Rank, Expiry: item.Deadline.Add(GrantSlack),
	}}
	d.grants[grantKey{item.Host, item.ID}] = g
	d.queue.Started(now, item.Rank)
	d.decisions = append(d.decisions, Decision{Kind: Granted, ID: item.ID, Host: item.Host, Grant: g.Grant, Epoch: d.epoch})
}

// HostGone drops the waiting requests of a host that was removed by timeout.
// Its grants stay until they expire: its requests may still run on the servers.
// It may also be alive and have its own dispatcher, so it counts as holding its
// share of the slots for LostHold, until it sends a message or HostEnded is called.
func (d *Dispatcher) HostGone(now time.Time, host string) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enter(now)
	d.markLost(now, host)
	if _, unanswered := d.recovery.unanswered[host]; unanswered {
		d.recovery.unanswered[host] = true
	}
	d.refresh(now)
	d.queue.CancelHost(host)
	return d.leave(now)
}

// Lend sets aside up to n free slots for credits to another failure domain and
// returns how many. It keeps a reserve and lends nothing while requests wait.
func (d *Dispatcher) Lend(now time.Time, n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enter(now)
	for _, queued := range d.queue.Queued() {
		if queued > 0 {
			return 0
		}
	}
	reserve := max(1, int(lendReserve*float64(d.slots)+0.5))
	n = max(0, min(n, d.free()-reserve))
	d.lent += n
	return n
}

// Unlend returns n unused lent slots to the free ones.
func (d *Dispatcher) Unlend(now time.Time, n int) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enter(now)
	d.lent = max(0, d.lent-n)
	return d.leave(now)
}

// Headroom returns the current slot usage.
func (d *Dispatcher) Headroom(now time.Time) Headroom {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(now)
	h := Headroom{Slots: d.slots, Lent: d.lent, Queued: d.queue.Queued(), Recovering: d.recovery.active, Free: max(0, d.free())}
	for _, s := range d.servers {
		h.Running += s.running
		h.Held += len(s.cooldowns)
	}
	return h
}

func (d *Dispatcher) hostList() []string { return slices.Sorted(maps.Keys(d.hosts)) }
