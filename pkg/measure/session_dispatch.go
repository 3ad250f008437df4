package measure

import (
	"math"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/health"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/lookup"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/slots"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/spill"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// Constants of the daemon's dispatching, see pkg/entry.
const (
	sessionResend  = 300 * time.Millisecond
	sessionPark    = 500 * time.Millisecond
	sessionParked  = 64
	sessionReserve = 0.1
	sessionNever   = time.Duration(math.MaxInt64 / 4)
	sessionView    = 2 * time.Second
	// sessionFirst is taken for the service time of a route without answers.
	sessionFirst = 50 * time.Millisecond
)

// sessionDispatch is the state of a dispatcher.
type sessionDispatch struct {
	slots    *slots.Dispatcher
	health   *health.Tracker
	lender   *spill.Lender
	borrower *spill.Borrower
	placed   map[placedAt]*sessionPlace
	parked   []*sessionParkedTry
	lenders  map[string]string
}

type placedAt struct {
	host string
	id   uint64
}

type sessionPlace struct {
	choice spill.Choice
	until  time.Time
}

// sessionAsk is a request for a slot as it travels.
type sessionAsk struct {
	id       uint64
	from     string
	rank     int
	group    string
	deadline time.Time
	home     string
	stay     bool
	exclude  []string
	service  time.Duration
}

type sessionParkedTry struct {
	ask   sessionAsk
	until time.Time
	err   *result.Error
}

// sessionVerdict is a dispatcher's decision.
type sessionVerdict struct {
	grant  slots.Grant
	credit *spill.Credit
	lender string
	err    *result.Error
}

// healthOf joins the health tracker to the dispatcher's interface.
type healthOf struct{ *health.Tracker }

func (h healthOf) Report(now time.Time, server string, o slots.Outcome) {
	kinds := map[slots.OutcomeKind]health.Kind{slots.OK: health.OK, slots.Failed: health.Failed, slots.Shed: health.Shed, slots.Timeout: health.Timeout}
	if k, ok := kinds[o.Kind]; ok {
		h.Tracker.Report(now, server, health.Outcome{Kind: k, Service: o.Service})
	}
}

// elect compares the pool's dispatcher with the live hosts.
func (p *sessionProc) elect() {
	now := p.now()
	if p.row.Name == "" {
		return
	}
	if !p.lookedUp && len(p.members.Live(now)) <= 1 && now.Sub(time.UnixMilli(p.inc)) < sessionView {
		return
	}
	p.lookedUp = true
	candidates, all := p.domainHosts()
	who := rendezvous.Pick(lookup.DispatcherKey(sessionPool, p.domain), candidates)
	if who == p.current {
		return
	}
	previous := p.current
	p.current = who
	p.d = nil
	p.holder.Follow(who)
	if who != p.name {
		if held, ok := p.holder.Answer(now, who, 0); ok {
			p.s.send(p, who, 0, func(q *sessionProc) { q.held(p.name, held) })
		}
	} else {
		p.s.logf("%s dispatches %s, before: %q", p.name, p.domain, previous)
		p.d = p.newDispatch()
		p.d.setServers(p)
		if previous != "" && !slices.Contains(all, previous) && !p.ended[previous] {
			all = append(slices.Clone(all), previous)
		}
		p.deliver(p.d.slots.Recover(now, all))
	}
	p.resend()
}

func (p *sessionProc) newDispatch() *sessionDispatch {
	now := p.now()
	epoch := uint64(now.UnixMilli())
	count := len(p.row.InDomain(p.domain)) * p.row.Slots
	tracker := health.New(health.Config{WarmUp: p.row.WarmUp.Std(), Rand: p.rng})
	d := &sessionDispatch{health: tracker, placed: map[placedAt]*sessionPlace{}, lenders: map[string]string{}}
	d.slots = slots.New(slots.Config{Pool: p.row, Domain: p.domain, Self: p.name, Epoch: epoch, Health: healthOf{tracker}})
	d.lender = spill.NewLender(spill.LenderConfig{Domain: p.domain, Pool: sessionPool, Slots: count, ShiftCap: p.row.ShiftCap, Epoch: epoch, Rand: p.rng})
	var peers []spill.PeerDomain
	for _, o := range sessionDomains {
		if o != p.domain && len(p.row.InDomain(o)) > 0 {
			peers = append(peers, spill.PeerDomain{Domain: o, Region: regionOf(o), RTT: 2 * p.s.way(p.region, regionOf(o))})
		}
	}
	d.borrower = spill.NewBorrower(now, spill.BorrowerConfig{
		Domain: p.domain, Region: p.region, Pool: sessionPool, Slots: count, ShiftCap: p.row.ShiftCap, Rand: p.rng, Peers: peers,
	}, p.takeLink)
	return d
}

func (d *sessionDispatch) setServers(p *sessionProc) {
	var names []string
	count := 0
	for _, x := range p.row.InDomain(p.domain) {
		names = append(names, x.Address)
		if !x.Drain {
			count++
		}
	}
	slices.Sort(names)
	d.health.SetServers(p.now(), names)
	d.lender.SetSlots(count * p.row.Slots)
}

func (d *sessionDispatch) lentRunning(now time.Time) int {
	n := 0
	for _, l := range d.lender.Dump(now).Loans {
		n += l.Running
	}
	return n
}

func (d *sessionDispatch) lendable(now time.Time) int {
	room := d.slots.Headroom(now)
	if room.Recovering {
		return 0
	}
	local := room.Running + room.Held - d.lentRunning(now)
	for _, n := range room.Queued {
		local += n
	}
	return max(0, room.Slots-local-max(1, int(float64(room.Slots)*sessionReserve)))
}

// offer places one request: here, or under a credit of another domain.
func (p *sessionProc) offer(a sessionAsk) {
	d, now := p.d, p.now()
	key := placedAt{a.from, a.id}
	r := slots.Request{ID: a.id, Host: a.from, Rank: a.rank, Group: a.group, Deadline: a.deadline, Once: a.rank == onceRank, Exclude: a.exclude}
	if d.placed[key] != nil {
		p.deliver(d.slots.Offer(now, r))
		return
	}
	choice := p.choose(a, 0)
	if choice.Local {
		ds := d.slots.Offer(now, r)
		i := slices.IndexFunc(ds, func(x slots.Decision) bool { return x.Kind == slots.Refused && x.Host == a.from && x.ID == a.id })
		if i < 0 || a.stay || !isLoadCode(ds[i].Err.Code) {
			d.place(key, choice, a)
			p.deliver(ds)
			return
		}
		d.borrower.Done(now, choice)
		choice = p.choose(a, sessionNever)
		if choice.Credit == nil {
			p.deliver(ds)
			return
		}
		p.deliver(slices.Delete(slices.Clone(ds), i, i+1))
	}
	if choice.Err != nil {
		if !p.park(a, choice.Err) {
			p.answerAsk(a.from, a.id, sessionVerdict{err: choice.Err})
		}
		return
	}
	d.place(key, choice, a)
	p.answerAsk(a.from, a.id, sessionVerdict{credit: choice.Credit, lender: d.lenders[choice.Domain]})
}

func (d *sessionDispatch) place(key placedAt, c spill.Choice, a sessionAsk) {
	d.placed[key] = &sessionPlace{choice: c, until: a.deadline.Add(slots.GrantSlack)}
}

func isLoadCode(c result.Code) bool {
	return c == result.QueueFull || c == result.DeadlineTooShort || c == result.NoHealthyServer || c == result.CallerGroupLimit
}

func (p *sessionProc) choose(a sessionAsk, wait time.Duration) spill.Choice {
	if a.stay {
		return spill.Choice{Local: true, Domain: p.domain}
	}
	now := p.now()
	room := p.d.slots.Headroom(now)
	running := room.Running
	for _, n := range room.Queued {
		running += n
	}
	return p.d.borrower.Choose(now, spill.Need{
		Rank: tables.Ranks[a.rank], Home: a.home, Service: a.service, Left: a.deadline.Sub(now),
		RequestBytes: sessionRequest, AnswerBytes: sessionAnswer,
	}, spill.LocalState{Slots: room.Slots, Running: running, Wait: wait})
}

func (p *sessionProc) park(a sessionAsk, err *result.Error) bool {
	wait := min(sessionPark, a.deadline.Sub(p.now())/2)
	if err.Code != result.NoHeadroom || wait < spill.AskInterval {
		return false
	}
	for _, x := range p.d.parked {
		if x.ask.from == a.from && x.ask.id == a.id {
			return true
		}
	}
	if len(p.d.parked) >= sessionParked {
		return false
	}
	p.d.parked = append(p.d.parked, &sessionParkedTry{a, p.now().Add(wait), err})
	return true
}

func (p *sessionProc) unpark(granted bool) {
	now := p.now()
	list := p.d.parked
	p.d.parked = nil
	var again []sessionAsk
	for _, x := range list {
		overdue := !now.Before(x.until)
		switch {
		case granted:
			again = append(again, x.ask)
		case overdue:
			p.answerAsk(x.ask.from, x.ask.id, sessionVerdict{err: x.err})
		default:
			p.d.parked = append(p.d.parked, x)
		}
	}
	for _, a := range again {
		p.offer(a)
	}
}

// deliver sends the dispatcher's decisions to the hosts they are for.
func (p *sessionProc) deliver(ds []slots.Decision) {
	for _, x := range ds {
		switch x.Kind {
		case slots.Granted:
			p.d.health.Started(p.now(), x.Grant.Server)
			p.answerAsk(x.Host, x.ID, sessionVerdict{grant: x.Grant})
		case slots.Refused:
			p.unplace(placedAt{x.Host, x.ID}, false)
			p.answerAsk(x.Host, x.ID, sessionVerdict{err: x.Err})
		case slots.AskHeld:
			p.s.send(p, x.Host, 0, func(q *sessionProc) {
				held, ok := q.holder.Answer(q.now(), p.name, x.Epoch)
				if !ok {
					return
				}
				q.s.send(q, p.name, 0, func(back *sessionProc) { back.held(q.name, held) })
				q.resend()
			})
		}
	}
}

func (p *sessionProc) held(from string, grants []slots.Grant) {
	if p.d != nil {
		p.deliver(p.d.slots.HandleHeld(p.now(), from, grants))
	}
}

func (p *sessionProc) answerAsk(to string, id uint64, v sessionVerdict) {
	p.s.send(p, to, 0, func(q *sessionProc) { q.decide(id, v) })
}

func (p *sessionProc) unplace(key placedAt, creditRefused bool) {
	d := p.d
	if d == nil || d.placed[key] == nil {
		return
	}
	pl := d.placed[key]
	delete(d.placed, key)
	d.borrower.Done(p.now(), pl.choice)
	if pl.choice.Credit != nil && creditRefused {
		d.borrower.DropCredit(pl.choice.Domain)
		p.settleLink(regionOf(pl.choice.Domain), 0)
	}
}

func (p *sessionProc) released(from string, id uint64, o slots.Outcome, cancel, creditRefused bool) {
	if p.d == nil {
		return
	}
	p.d.parked = slices.DeleteFunc(p.d.parked, func(x *sessionParkedTry) bool { return x.ask.from == from && x.ask.id == id })
	p.unplace(placedAt{from, id}, creditRefused)
	if cancel {
		p.deliver(p.d.slots.Cancel(p.now(), from, id))
		return
	}
	p.deliver(p.d.slots.Release(p.now(), from, id, o))
}

func (p *sessionProc) tickPool() {
	if p.d == nil {
		return
	}
	for _, k := range p.d.placedKeys(func(_ placedAt, x *sessionPlace) bool { return p.now().After(x.until) }) {
		p.unplace(k, false)
	}
	p.unpark(false)
	p.deliver(p.d.slots.Tick(p.now()))
}

func (p *sessionProc) hostGone(name string) {
	for _, k := range p.d.placedKeys(func(k placedAt, _ *sessionPlace) bool { return k.host == name }) {
		p.unplace(k, false)
	}
	p.deliver(p.d.slots.HostGone(p.now(), name))
}

// placedKeys returns the matching keys in order.
func (d *sessionDispatch) placedKeys(match func(placedAt, *sessionPlace) bool) []placedAt {
	var out []placedAt
	for k, x := range d.placed {
		if match(k, x) {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b placedAt) int {
		if a.host != b.host {
			if a.host < b.host {
				return -1
			}
			return 1
		}
		return int(int64(a.id) - int64(b.id))
	})
	return out
}

func (p *sessionProc) askCredits() {
	if p.d == nil {
		return
	}
	for _, ask := range p.d.borrower.CreditRequests(p.now()) {
		var names []string
		for _, e := range p.foreignHosts()[ask.To] {
			names = append(names, e.Name)
		}
		if to := rendezvous.Pick(sessionPool+"@"+ask.To, names); to != "" {
			p.post(to, ask.Request, func(q *sessionProc) { q.onCreditRequest(ask.Request, p.name, false) })
		}
	}
}

func (p *sessionProc) onCreditRequest(r spill.Request, origin string, passed bool) {
	if p.d == nil {
		if !passed && p.current != "" {
			p.post(p.current, r, func(q *sessionProc) { q.onCreditRequest(r, origin, true) })
		}
		return
	}
	credit, ok := p.d.lender.Grant(p.now(), r, p.d.lendable(p.now()))
	if !ok {
		return
	}
	p.post(origin, credit, func(q *sessionProc) {
		if q.d == nil || !q.d.borrower.StoreCredit(q.now(), credit) {
			return
		}
		q.d.lenders[credit.To] = p.name
		q.unpark(true)
	})
}
