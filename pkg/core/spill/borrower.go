package spill

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/retry"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// Limits of a Borrower.
const (
	// AskEvery is the shortest time between two requests to one domain.
	AskEvery = 200 * time.Millisecond
	// patientFarShare is the fraction of a credit in another region that
	// patient work may fill; the rest is left to the other ranks.
	patientFarShare = 0.5
	// onceShare and patientShare are the fractions of the level of another
	// domain's callers that these ranks may fill.
	onceShare    = 0.5
	patientShare = 0.25
	// demandHalf is the time constant of the demand estimate.
	demandHalf = 500 * time.Millisecond
	// idleDemand is the demand in slots under which no credit is asked for.
	idleDemand = 0.05
	// wishTime is how long after a request that did not fit here credit is asked
	// for even under idleDemand. Without it rare requests with short service
	// times were always refused.
	wishTime = time.Second
	sentKept = 8
	// refusalPause keeps a domain that refused from getting every request.
	refusalPause = 20 * time.Millisecond
)

// Peer is another domain with servers of the pool.
type Peer struct {
	Domain, Region string
	RTT            time.Duration
}

// BorrowerConfig configures a Borrower.
type BorrowerConfig struct {
	Domain, Region, Pool string
	Slots                int     // local slots of the pool
	ShiftCap             float64 // fraction of the local slots per second for work that comes back
	// Returning says that the domain was absent: its local share starts at one
	// slot and grows under ShiftCap. Otherwise all slots are used at once.
	Returning bool
	Rand      *rand.Rand // used under the Borrower's lock; share it with no other goroutine
	Peers     []Peer
}

// Local is the state of the dispatcher's own servers.
type Local struct {
	Slots   int           // slots of usable servers
	Running int           // requests that run or wait
	Wait    time.Duration // expected wait of a new request of this rank
}

// Need describes one request.
type Need struct {
	Rank tables.Rank
	// Home is the domain to which the caller normally goes; "" is this one.
	// Callers of another domain are a traffic shift, so their number grows
	// under the shift cap.
	Home         string
	Service      time.Duration // typical service time
	Left         time.Duration // time to the deadline
	RequestBytes float64
	AnswerBytes  float64 // the most that is expected
}

// LinkBudget takes the bytes of a relayed request and its answer from the
// budgets of both directions, or from neither and reports false.
type LinkBudget func(now time.Time, region string, rank tables.Rank, request, answer float64) bool

// Choice says where a request runs. Exactly one of Local, Credit and Err is
// set. Call Done with every choice that has no Err.
type Choice struct {
	Local  bool
	Domain string
	Credit *Credit
	Err    *result.Error
	home   string
}

// Borrower chooses domains. It is safe for concurrent use.
type Borrower struct {
	mu       sync.Mutex
	cfg      BorrowerConfig
	link     LinkBudget
	local    Ramp
	peers    []*lentPeer
	homes    map[string]*loan
	demand   float64 // slots wanted elsewhere, smoothed
	demandAt time.Time
	wishedAt time.Time // of the last request that did not fit here
	seq      uint64
}

// lentPeer is a peer with the credit that it granted.
type lentPeer struct {
	Peer
	credit Credit
	until  time.Time // end of the credit on our clock
	// pauseUntil is set by a refusal.
	pauseUntil time.Time
	running    int
	askedAt    time.Time
	sent       [sentKept]struct {
		seq uint64
		at  time.Time
	}
	sentN int
}

// NewBorrower returns a Borrower without credits. link may be nil if there is
// no budget.
func NewBorrower(now time.Time, cfg BorrowerConfig, link LinkBudget) *Borrower {
	b := &Borrower{cfg: cfg, link: link, homes: map[string]*loan{}, demandAt: now}
	if !cfg.Returning {
		b.local.Set(cfg.Slots)
	}
	b.SetPeers(cfg.Peers)
	return b
}

// SetPeers replaces the list of other domains and keeps the credits of those
// that remain.
func (b *Borrower) SetPeers(peers []Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.peers
	b.peers = nil
	for _, p := range peers {
		lp := &lentPeer{Peer: p}
		if i := slices.IndexFunc(old, func(o *lentPeer) bool { return o.Domain == p.Domain }); i >= 0 {
			lp = old[i]
			lp.Peer = p
		}
		b.peers = append(b.peers, lp)
	}
	slices.SortStableFunc(b.peers, b.nearer)
}

// nearer orders peers: own region first, then by round-trip time and name.
func (b *Borrower) nearer(x, y *lentPeer) int {
	fx, fy := x.Region != b.cfg.Region, y.Region != b.cfg.Region
	switch {
	case fx != fy && fy:
		return -1
	case fx != fy:
		return 1
	case x.RTT != y.RTT:
		return int(x.RTT - y.RTT)
	}
	return strings.Compare(x.Domain, y.Domain)
}

// Choose decides where a request runs: here, under a credit elsewhere, or
// nowhere. A refusal has code NoHeadroom or LinkBudget, run state not-run and a
// retry-after time.
func (b *Borrower) Choose(now time.Time, n Need, local Local) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fitsLocal(now, n, local) {
		return b.chooseLocal(now, n)
	}
	b.wish(now, n)
	denied := false
	for _, p := range b.peers {
		if !p.usable(now, n, p.Region != b.cfg.Region) {
			continue
		}
		if p.Region != b.cfg.Region && b.link != nil && !b.link(now, p.Region, n.Rank, n.RequestBytes, n.AnswerBytes) {
			denied = true
			continue
		}
		p.running++
		c := p.credit
		return Choice{Domain: p.Domain, Credit: &c}
	}
	return Choice{Err: b.refuse(now, local, denied)}
}

// fitsLocal reports whether the request can run here in time and within the
// ramps of returning work and of other domains' callers.
func (b *Borrower) fitsLocal(now time.Time, n Need, local Local) bool {
	if local.Slots <= 0 || local.Wait+n.Service > n.Left {
		return false
	}
	level := b.local.Raise(now, local.Slots, StepsPerSecond(local.Slots, b.cfg.ShiftCap))
	if level < local.Slots && local.Running >= level {
		wait := time.Duration(local.Running-level+1) * n.Service / time.Duration(level)
		if wait+n.Service > n.Left {
			return false
		}
	}
	if n.Home == "" || n.Home == b.cfg.Domain {
		return true
	}
	h := b.home(now, n.Home)
	steps := StepsPerSecond(local.Slots, b.cfg.ShiftCap)
	level = h.ramp.Raise(now, min(h.headroom(now, steps), local.Slots), steps)
	return h.running < rankShare(n.Rank, level)
}

// rankShare returns the part of a level that work of the rank may fill, at
// least one slot. Without it, waiting patient work filled the level and urgent
// work was refused as often as patient work.
func rankShare(rank tables.Rank, level int) int {
	switch rank {
	case tables.Urgent:
		return level
	case tables.Once:
		return max(min(level, 1), int(onceShare*float64(level)))
	}
	return max(min(level, 1), int(patientShare*float64(level)))
}

// LocalLimit returns how many of the given local slots the dispatcher may use
// now: fewer than all while the domain returns after an absence.
func (b *Borrower) LocalLimit(now time.Time, slots int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slots <= 0 {
		return 0
	}
	return b.local.Raise(now, slots, StepsPerSecond(slots, b.cfg.ShiftCap))
}

func (b *Borrower) home(now time.Time, name string) *loan {
	h := b.homes[name]
	if h == nil {
		h = &loan{peakAt: now}
		b.homes[name] = h
	}
	return h
}

func (b *Borrower) chooseLocal(now time.Time, n Need) Choice {
	c := Choice{Local: true, Domain: b.cfg.Domain}
	if n.Home != "" && n.Home != b.cfg.Domain {
		h := b.home(now, n.Home)
		h.running++
		h.peak = max(h.peak, h.running)
		c.home = n.Home
	}
	return c
}

// usable reports whether the peer's credit admits the request.
func (p *lentPeer) usable(now time.Time, n Need, far bool) bool {
	slots := p.credit.Slots
	if far && n.Rank == tables.Patient {
		slots = int(float64(slots) * patientFarShare)
	}
	return now.Before(p.until) && !now.Before(p.pauseUntil) && p.running < slots && p.RTT+n.Service <= n.Left
}

// refuse returns the refusal; its retry-after time grows with the demand in
// relation to the slots at hand.
func (b *Borrower) refuse(now time.Time, local Local, denied bool) *result.Error {
	have := local.Slots + b.held(now)
	load := (float64(local.Slots) + b.demand) / float64(max(have, 1))
	code := result.NoHeadroom
	if denied {
		code = result.LinkBudget
	}
	return result.New(code, "pool %s: no domain takes the request", b.cfg.Pool).
		WithRetryAfter(retry.RetryAfter(b.cfg.Rand, load))
}

func (b *Borrower) held(now time.Time) int {
	n := 0
	for _, p := range b.peers {
		n += p.held(now)
	}
	return n
}

// held returns the slots that the peer lends now.
func (p *lentPeer) held(now time.Time) int {
	if now.Before(p.until) {
		return p.credit.Slots
	}
	return 0
}

// wish counts the slot time of a request that does not fit here.
func (b *Borrower) wish(now time.Time, n Need) {
	b.decay(now)
	b.wishedAt = now
	b.demand += n.Service.Seconds() / demandHalf.Seconds()
}

// decay lets the demand estimate fall exponentially.
func (b *Borrower) decay(now time.Time) {
	if d := now.Sub(b.demandAt); d > 0 {
		b.demand *= 1 / (1 + d.Seconds()/demandHalf.Seconds())
		b.demandAt = now
	}
}

// Done ends a request that Choose placed.
func (b *Borrower) Done(now time.Time, c Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.homes[c.home]; c.home != "" && h != nil && h.running > 0 {
		h.used(now)
		h.running--
	}
	if c.Credit == nil {
		return
	}
	if p := b.peer(c.Domain); p != nil && p.running > 0 {
		p.running--
	}
}

func (b *Borrower) peer(domain string) *lentPeer {
	for _, p := range b.peers {
		if p.Domain == domain {
			return p
		}
	}
	return nil
}

// HomeLevel returns the number of requests of home's callers that may run here
// at the same time now.
func (b *Borrower) HomeLevel(home string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.homes[home]; h != nil {
		return h.ramp.Level()
	}
	return 0
}

// Refused leaves a domain out for a moment because it refused a request under
// its credit; its local work has come back.
func (b *Borrower) Refused(now time.Time, domain string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.peer(domain); p != nil {
		p.pauseUntil = now.Add(refusalPause)
	}
}

// Drop forgets the credit of a domain that cannot be reached.
func (b *Borrower) Drop(domain string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.peer(domain); p != nil {
		p.until = time.Time{}
	}
}

// Ask is a request for credit and the domain to send it to.
type Ask struct {
	To      string
	Request Request
}

// Asks returns the requests for credit to send at now. Near domains are asked
// first; a further domain is asked for what the nearer ones do not lend yet.
// Call it about every AskEvery; more calls send no more messages.
func (b *Borrower) Asks(now time.Time) []Ask {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	var out []Ask
	remaining := b.demand
	wanted := !b.wishedAt.IsZero() && now.Sub(b.wishedAt) < wishTime
	for _, p := range b.peers {
		if remaining < idleDemand && !wanted {
			break
		}
		want := int(max(0, remaining)) + 1
		held := p.held(now)
		remaining -= float64(held)
		wanted = wanted && held == 0
		if now.Sub(p.askedAt) < AskEvery {
			continue
		}
		b.seq++
		p.askedAt = now
		p.sent[p.sentN%sentKept].seq, p.sent[p.sentN%sentKept].at = b.seq, now
		p.sentN++
		out = append(out, Ask{p.Domain, Request{From: b.cfg.Domain, Pool: b.cfg.Pool, Want: want, Seq: b.seq}})
	}
	return out
}

// Granted takes in a credit. Its lifetime is counted from the time at which it
// was asked for, so clocks need not agree. Late credits and credits that
// answer an older request than the present one are dropped.
func (b *Borrower) Granted(now time.Time, c Credit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peer(c.To)
	if p == nil || c.From != b.cfg.Domain || c.Pool != b.cfg.Pool || c.Seq < p.credit.Seq {
		return false
	}
	for _, s := range p.sent {
		if s.seq == c.Seq && s.seq != 0 && now.Sub(s.at) < CreditLifetime {
			p.credit, p.until = c, s.at.Add(CreditLifetime)
			return true
		}
	}
	return false
}

// BorrowerDump is the state of a Borrower.
type BorrowerDump struct {
	Domain, Pool string
	LocalLevel   int
	Demand       float64
	Peers        []PeerDump
	Homes        map[string]int // running requests of other domains' callers
}

// PeerDump is the state of one peer.
type PeerDump struct {
	Domain, Region string
	RTT            time.Duration
	Slots, Running int
}

// Dump returns the state at now.
func (b *Borrower) Dump(now time.Time) BorrowerDump {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := BorrowerDump{Domain: b.cfg.Domain, Pool: b.cfg.Pool, LocalLevel: b.local.Level(), Demand: b.demand, Homes: map[string]int{}}
	for _, p := range b.peers {
		d.Peers = append(d.Peers, PeerDump{p.Domain, p.Region, p.RTT, p.held(now), p.running})
	}
	for name, h := range b.homes {
		d.Homes[name] = h.running
	}
	return d
}
