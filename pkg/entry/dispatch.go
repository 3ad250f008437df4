package entry

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/slots"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/spill"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// neverInTime is the expected wait of a request that the own domain refused.
const neverInTime = time.Duration(math.MaxInt64 / 4)

// offer places one request: here, or under a credit of another domain.
func (h *Host) offer(now time.Time, p *pool, d *dispatching, from string, req slotRequest) {
	if req.Rank < 0 || req.Rank >= len(tables.Ranks) {
		return
	}
	key := placedKey{from, req.ID}
	p.mu.Lock()
	_, placed := d.placed[key]
	p.mu.Unlock()
	if placed {
		// A repeated message: the dispatcher repeats its grant, or still waits.
		h.deliver(p, d.slots.Offer(now, d.request(now, from, req)))
		return
	}
	choice := h.chooseDomain(d, req, 0)
	if choice.Local {
		decisions := d.slots.Offer(now, d.request(now, from, req))
		refused := refusalOf(decisions, from, req.ID)
		if refused == nil || req.Stay || !isLoad(refused.Code) {
			p.place(now, d, key, choice, req)
			h.deliver(p, decisions)
			return
		}
		d.borrower.Done(now, choice)
		choice = h.chooseDomain(d, req, neverInTime)
		if choice.Credit == nil {
			rest := decisions
			if refused.Code == result.NoHealthyServer && p.park(now, d, from, req, choice.Err) {
				rest = without(decisions, from, req.ID)
			}
			h.deliver(p, rest)
			return
		}
		h.deliver(p, without(decisions, from, req.ID))
	}
	if choice.Err != nil {
		if !p.park(now, d, from, req, choice.Err) {
			h.answer(p, from, req.ID, verdict{err: choice.Err})
		}
		return
	}
	p.place(now, d, key, choice, req)
	p.mu.Lock()
	lender := d.lenders[choice.Domain]
	p.mu.Unlock()
	h.answer(p, from, req.ID, verdict{credit: choice.Credit, lender: lender})
}

// request converts a peer's request for the dispatcher.
func (d *dispatching) request(now time.Time, from string, req slotRequest) slots.Request {
	return slots.Request{
		ID: req.ID, Host: from, Rank: req.Rank, Group: req.Group, Once: req.Once, Exclude: req.Exclude,
		Deadline: now.Add(time.Duration(req.LeftMS) * time.Millisecond),
	}
}

// chooseDomain asks the borrower. wait is the expected wait in the own domain.
// The time is read here: a message may have waited, and steps of a shift that
// are dated too early follow each other too fast.
func (h *Host) chooseDomain(d *dispatching, req slotRequest, wait time.Duration) spill.Choice {
	if req.Stay {
		return spill.Choice{Local: true, Domain: h.cfg.Host.Domain}
	}
	room := d.slots.Headroom(time.Now())
	running := room.Running
	for _, n := range room.Queued {
		running += n
	}
	return d.borrower.Choose(time.Now(), spill.Need{
		Rank: tables.Ranks[req.Rank], Home: req.Home, Service: time.Duration(req.ServiceUS) * time.Microsecond, Left: time.Duration(req.LeftMS) * time.Millisecond,
		RequestBytes: req.RequestBytes, AnswerBytes: req.AnswerBytes,
	}, spill.LocalState{Slots: room.Slots, Running: running, Wait: wait})
}

// place remembers the choice until the request ends.
func (p *pool) place(now time.Time, d *dispatching, key placedKey, c spill.Choice, req slotRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d.placed[key] = &placement{
		choice: c, until: now.Add(time.Duration(req.LeftMS)*time.Millisecond + slots.GrantSlack),
		requestBytes: req.RequestBytes, answerBytes: req.AnswerBytes,
	}
}

// Bounds of parked requests.
const (
	// parkTime is the longest wait for the first credit of another domain. It
	// is asked for within spill.AskInterval and arrives after one round trip.
	parkTime   = 500 * time.Millisecond
	parkedMost = 64
	// parkFraction of the time to the deadline may be spent waiting.
	parkFraction = 0.5
)

// parked is a request that waits for a credit of another domain.
type parked struct {
	req   slotRequest
	since time.Time
	until time.Time
	err   *result.Error
}

// park lets a request wait for a credit, if it has the time and was not parked
// before. Without it a planned drain of a domain's last server would refuse
// the first requests.
func (p *pool) park(now time.Time, d *dispatching, from string, req slotRequest, err *result.Error) bool {
	wait := min(parkTime, time.Duration(float64(req.LeftMS)*parkFraction)*time.Millisecond)
	if err.Code != result.NoHeadroom || wait < spill.AskInterval {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := placedKey{from, req.ID}
	if _, again := d.parked[key]; again {
		return true // a repeated message
	}
	if len(d.parked) >= parkedMost {
		return false
	}
	d.parked[key] = &parked{req: req, since: now, until: now.Add(wait), err: err}
	return true
}

// unpark offers parked requests again after a credit arrived, and refuses those
// that have waited long enough.
func (h *Host) unpark(now time.Time, p *pool, d *dispatching, granted bool) {
	type ready struct {
		key placedKey
		*parked
		overdue bool
	}
	var list []ready
	p.mu.Lock()
	for k, x := range d.parked {
		overdue := !now.Before(x.until)
		if granted || overdue {
			list = append(list, ready{k, x, overdue})
			delete(d.parked, k)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(list, func(a, b ready) int { return a.since.Compare(b.since) })
	for _, x := range list {
		if x.overdue && !granted {
			h.answer(p, x.key.host, x.key.id, verdict{err: x.err})
			continue
		}
		x.req.LeftMS -= now.Sub(x.since).Milliseconds()
		h.offer(now, p, d, x.key.host, x.req)
	}
}

// isLoad reports whether another domain may take a request that was refused.
func isLoad(c result.Code) bool {
	switch c {
	case result.QueueFull, result.DeadlineTooShort, result.NoHealthyServer, result.CallerGroupLimit:
		return true
	}
	return false
}

func refusalOf(decisions []slots.Decision, host string, id uint64) *result.Error {
	for _, d := range decisions {
		if d.Kind == slots.Refused && d.Host == host && d.ID == id {
			return d.Err
		}
	}
	return nil
}

func without(decisions []slots.Decision, host string, id uint64) []slots.Decision {
	return slices.DeleteFunc(slices.Clone(decisions), func(d slots.Decision) bool {
		return d.Kind == slots.Refused && d.Host == host && d.ID == id
	})
}

// deliver sends the dispatcher's decisions to the hosts they are for.
func (h *Host) deliver(p *pool, decisions []slots.Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case slots.Granted:
			p.mu.Lock()
			if p.dispatching != nil {
				p.health.Started(time.Now(), d.Grant.Server)
			}
			p.mu.Unlock()
			h.answer(p, d.Host, d.ID, verdict{grant: d.Grant})
		case slots.Refused:
			h.unplace(p, placedKey{d.Host, d.ID}, slotRelease{Cancel: true})
			h.answer(p, d.Host, d.ID, verdict{err: d.Err})
		case slots.AskHeld:
			h.askHeld(p, d.Host, d.Epoch)
		}
	}
}

// answer gives a verdict to the host that asked.
func (h *Host) answer(p *pool, to string, id uint64, v verdict) {
	switch {
	case to == h.cfg.Host.Name:
		p.decide(id, v)
	case v.err != nil:
		h.sendPeer(to, kindSlotRefuse, slotRefusal{
			Pool: p.name, ID: id, Code: v.err.Code, Message: v.err.Message, RetryAfterMS: v.err.RetryAfter.Milliseconds(),
		})
	default:
		h.sendPeer(to, kindSlotGrant, slotGrant{
			Pool: p.name, ID: id, Server: v.grant.Server, Epoch: v.grant.Epoch, Credit: v.credit, Lender: v.lender,
		})
	}
}

// released takes the end of a request at the dispatcher.
func (h *Host) released(now time.Time, p *pool, d *dispatching, from string, r slotRelease) {
	key := placedKey{from, r.ID}
	p.mu.Lock()
	delete(d.parked, key)
	p.mu.Unlock()
	h.unplace(p, key, r)
	if r.Cancel {
		h.deliver(p, d.slots.Cancel(now, from, r.ID))
		return
	}
	h.deliver(p, d.slots.Release(now, from, r.ID, slots.Outcome{
		Kind: r.Kind, Service: time.Duration(r.ServiceUS) * time.Microsecond,
	}))
}

// unplace ends the domain choice of a request and settles its link bytes.
func (h *Host) unplace(p *pool, key placedKey, r slotRelease) {
	now := time.Now()
	p.mu.Lock()
	d := p.dispatching
	if d == nil {
		p.mu.Unlock()
		return
	}
	pl := d.placed[key]
	delete(d.placed, key)
	p.mu.Unlock()
	if pl == nil {
		return
	}
	d.borrower.Done(now, pl.choice)
	if pl.choice.Credit == nil {
		return
	}
	switch {
	case r.CreditRefused:
		d.borrower.PauseDomain(now, pl.choice.Domain)
	case r.CreditLost:
		d.borrower.DropCredit(pl.choice.Domain)
	}
	h.settleLink(now, h.cfg.RegionOf(pl.choice.Domain), pl.requestBytes, r.RequestBytes, pl.answerBytes, r.AnswerBytes)
}

// askHeld asks a host for its grants after a takeover.
func (h *Host) askHeld(p *pool, host string, epoch uint64) {
	if host == h.cfg.Host.Name {
		now := time.Now()
		p.mu.Lock()
		d := p.dispatching
		p.mu.Unlock()
		if held, ok := p.holder.Answer(now, host, epoch); ok && d != nil {
			h.deliver(p, d.slots.HandleHeld(now, host, held))
		}
		return
	}
	h.sendPeer(host, kindSlotHeld, slotHeld{Pool: p.name, Ask: true, Epoch: epoch})
}

func heldMessage(now time.Time, pool string, epoch uint64, grants []slots.Grant) slotHeld {
	out := slotHeld{Pool: pool, Epoch: epoch}
	for _, g := range grants {
		out.Grants = append(out.Grants, heldGrant{g.ID, g.Server, g.Rank, g.Expiry.Sub(now).Milliseconds()})
	}
	return out
}

// onHeld answers a dispatcher's question, or takes another host's answer.
func (h *Host) onHeld(now time.Time, p *pool, from string, m slotHeld) {
	p.mu.Lock()
	d := p.dispatching
	p.mu.Unlock()
	if m.Ask {
		// A dispatcher that this host does not follow yet asks again.
		if held, ok := p.holder.Answer(now, from, m.Epoch); ok {
			h.sendPeer(from, kindSlotHeld, heldMessage(now, p.name, m.Epoch, held))
			p.resend(now)
		}
		return
	}
	if d == nil {
		return
	}
	var grants []slots.Grant
	for _, g := range m.Grants {
		grants = append(grants, slots.Grant{
			ID: g.ID, Host: from, Server: g.Server, By: h.cfg.Host.Name, Epoch: m.Epoch, Rank: g.Rank,
			Expiry: now.Add(time.Duration(g.LeftMS) * time.Millisecond),
		})
	}
	h.deliver(p, d.slots.HandleHeld(now, from, grants))
}

// tickPools advances every dispatcher of this host.
func (h *Host) tickPools(now time.Time) {
	for _, p := range h.poolList() {
		p.mu.Lock()
		d := p.dispatching
		var overdue []placedKey
		if d != nil {
			for k, pl := range d.placed {
				if now.After(pl.until) {
					overdue = append(overdue, k)
				}
			}
		}
		p.mu.Unlock()
		if d == nil {
			continue
		}
		for _, k := range overdue {
			h.unplace(p, k, slotRelease{})
		}
		h.unpark(now, p, d, false)
		h.deliver(p, d.slots.Tick(now))
	}
}

// poolList returns the pools in the order of their names.
func (h *Host) poolList() []*pool {
	h.poolsMu.Lock()
	defer h.poolsMu.Unlock()
	out := make([]*pool, 0, len(h.pools))
	for _, p := range h.pools {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *pool) int { return strings.Compare(a.name, b.name) })
	return out
}

func (h *Host) pool(name string) *pool {
	h.poolsMu.Lock()
	defer h.poolsMu.Unlock()
	return h.pools[name]
}

// setPools takes a new pools table.
func (h *Host) setPools(now time.Time, t tables.Pools) {
	rows := map[string]tables.Pool{}
	for _, row := range t.Pools {
		rows[row.Name] = row.WithDefaults()
	}
	h.poolsMu.Lock()
	for name := range h.pools {
		if _, ok := rows[name]; !ok {
			delete(h.pools, name)
		}
	}
	var changed []*pool
	for name, row := range rows {
		if h.pools[name] == nil {
			h.pools[name] = newPool(h, row)
		} else {
			changed = append(changed, h.pools[name])
		}
	}
	h.poolsMu.Unlock()
	for _, p := range changed {
		p.setRow(now, rows[p.name])
	}
	h.electDispatchers(now)
}

// viewWait is how long a new host looks for others before it acts alone. A host
// that took a role at once would give out slots that others have in use.
const viewWait = 2 * time.Second

// hasView reports whether this host knows others of its domain or has looked
// for them long enough.
func (h *Host) hasView(now time.Time) bool {
	if h.lookedAround.Load() {
		return true
	}
	if len(h.members.Live(now)) > 1 || now.Sub(time.UnixMilli(h.incarnation)) >= viewWait {
		h.lookedAround.Store(true)
		return true
	}
	return false
}

// electDispatchers lets every pool compare its dispatcher with the live hosts.
func (h *Host) electDispatchers(now time.Time) {
	if !h.hasView(now) {
		return
	}
	candidates, all := h.domainHosts(now)
	for _, p := range h.poolList() {
		p.electDispatcher(now, candidates, all)
	}
}
