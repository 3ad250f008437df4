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

const (
	// AskInterval is the shortest interval between two credit requests to one
	// domain.
	AskInterval = 200 * time.Millisecond
	// patientOtherRegionShare is the fraction of a credit from a domain in another
	// region that patient work may use; the rest is left to the other ranks.
	patientOtherRegionShare = 0.5
	// onceShare and patientShare are the fractions of the ramp level for the
	// callers of another domain that work of these ranks may use; see rankShare.
	onceShare    = 0.5
	patientShare = 0.25
	// demandTimeConstant is the time constant of the moving average of the
	// demand.
	demandTimeConstant = 500 * time.Millisecond
	// idleDemandSlots is the demand below which no credit is requested.
	idleDemandSlots = 0.05
	// overflowWindow is how long credit is requested, even below idleDemandSlots,
	// after a request that did not fit locally. Without it, rare requests with
	// short service times were always refused.
	overflowWindow = time.Second
	// sentHistory is the number of recent credit requests per peer whose send
	// time is kept.
	sentHistory = 8
	// refusalPause is how long a domain that refused a request is skipped.
	// Otherwise it would get every following request.
	refusalPause = 20 * time.Millisecond
)

// PeerDomain is another failure domain with servers of the pool.
type PeerDomain struct {
	Domain, Region string
	RTT            time.Duration
}

// BorrowerConfig configures a Borrower.
type BorrowerConfig struct {
	Domain, Region, Pool string
	Slots                int     // slots of the pool in this domain
	ShiftCap             float64 // growth per second as a fraction of the slots, for returning or moved work
	// Returning is set if the domain was absent: its local level starts at one
	// slot and grows under ShiftCap. Otherwise all slots are used at once.
	Returning bool
	Rand      *rand.Rand // used under the Borrower's lock; share it with no other goroutine
	Peers     []PeerDomain
}

// LocalState is the state of the servers in the borrower's own domain.
type LocalState struct {
	Slots   int           // slots of usable servers
	Running int           // requests that run or wait locally
	Wait    time.Duration // expected wait of a new request of this rank
}

// Need describes one request.
type Need struct {
	Rank tables.Rank
	// Home is the domain to which the caller normally goes; "" is the borrower's
	// own. Callers of another domain are a traffic shift, so their number grows
	// under the shift cap.
	Home         string
	Service      time.Duration // typical service time
	Left         time.Duration // time left until the deadline
	RequestBytes float64
	AnswerBytes  float64 // highest expected size
}

// LinkBudget charges a relayed request and its answer, in bytes, to the budgets
// of both directions of the link to a region. It reports false, and charges
// neither, if one of them does not suffice.
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

// Borrower decides in which domain a request runs. It is safe for concurrent
// use.
type Borrower struct {
	mu             sync.Mutex
	cfg            BorrowerConfig
	link           LinkBudget
	local          Ramp // limits the use of the local slots after an absence of the domain
	peers          []*peerState
	homes          map[string]*loan // use by callers of other domains, by their home
	demand         float64          // moving average of the slots wanted in other domains
	demandAt       time.Time
	lastOverflowAt time.Time // time of the last request that did not fit locally
	seq            uint64
}

// peerState is a peer with the credit that it granted to this domain.
type peerState struct {
	PeerDomain
	credit      Credit
	creditUntil time.Time // end of the credit on the local clock
	// pauseUntil is the end of the refusalPause after a refusal.
	pauseUntil time.Time
	running    int
	lastAskAt  time.Time
	sent       [sentHistory]struct {
		seq uint64
		at  time.Time
	}
	sentCount int
}

// NewBorrower returns a Borrower without credits. link may be nil if relays are
// not limited by a link budget.
func NewBorrower(now time.Time, cfg BorrowerConfig, link LinkBudget) *Borrower {
	b := &Borrower{cfg: cfg, link: link, homes: map[string]*loan{}, demandAt: now}
	if !cfg.Returning {
		b.local.Set(cfg.Slots)
	}
	b.SetPeers(cfg.Peers)
	return b
}

// SetPeers replaces the list of other domains and keeps the credits of the
// domains that remain.
func (b *Borrower) SetPeers(peers []PeerDomain) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.peers
	b.peers = nil
	for _, p := range peers {
		state := &peerState{PeerDomain: p}
		if i := slices.IndexFunc(old, func(o *peerState) bool { return o.Domain == p.Domain }); i >= 0 {
			state = old[i]
			state.PeerDomain = p
		}
		b.peers = append(b.peers, state)
	}
	slices.SortStableFunc(b.peers, b.compareDistance)
}

// compareDistance orders peers: those in the borrower's region come first, then
// the order is by round-trip time and by name.
func (b *Borrower) compareDistance(x, y *peerState) int {
	otherX, otherY := x.Region != b.cfg.Region, y.Region != b.cfg.Region
	switch {
	case otherX != otherY && otherY:
		return -1
	case otherX != otherY:
		return 1
	case x.RTT != y.RTT:
		return int(x.RTT - y.RTT)
	}
	return strings.Compare(x.Domain, y.Domain)
}

// Choose decides where a request runs: locally, under a credit in another
// domain, or nowhere. A refusal has code NoHeadroom or LinkBudget, run state
// not-run and a retry-after time.
func (b *Borrower) Choose(now time.Time, n Need, local LocalState) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fitsLocal(now, n, local) {
		return b.chooseLocal(now, n)
	}
	b.addDemand(now, n)
	linkDenied := false
	for _, p := range b.peers {
		if !p.usable(now, n, p.Region != b.cfg.Region) {
			continue
		}
		if p.Region != b.cfg.Region && b.link != nil && !b.link(now, p.Region, n.Rank, n.RequestBytes, n.AnswerBytes) {
			linkDenied = true
			continue
		}
		p.running++
		c := p.credit
		return Choice{Domain: p.Domain, Credit: &c}
	}
	return Choice{Err: b.refuse(now, local, linkDenied)}
}

// fitsLocal reports whether the request can run locally by its deadline and
// within the ramps of a returning domain and of the callers of other domains.
func (b *Borrower) fitsLocal(now time.Time, n Need, local LocalState) bool {
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
	level = h.ramp.Raise(now, min(h.maxLevel(now, steps), local.Slots), steps)
	return h.running < rankShare(n.Rank, level)
}

// rankShare returns how many slots of a level work of the rank may use, at least
// one. Without this limit, waiting patient work filled the level and urgent work
// was refused as often as patient work.
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
// now: not all of them while the domain returns after an absence.
func (b *Borrower) LocalLimit(now time.Time, slots int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slots <= 0 {
		return 0
	}
	return b.local.Raise(now, slots, StepsPerSecond(slots, b.cfg.ShiftCap))
}

// home returns the state of the callers whose home is the named domain.
func (b *Borrower) home(now time.Time, name string) *loan {
	h := b.homes[name]
	if h == nil {
		h = &loan{peakPeriodStart: now}
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

// usable reports whether the request may run under the peer's credit.
// otherRegion says whether the peer is in another region.
func (p *peerState) usable(now time.Time, n Need, otherRegion bool) bool {
	slots := p.credit.Slots
	if otherRegion && n.Rank == tables.Patient {
		slots = int(float64(slots) * patientOtherRegionShare)
	}
	return now.Before(p.creditUntil) && !now.Before(p.pauseUntil) && p.running < slots && p.RTT+n.Service <= n.Left
}

// refuse returns the refusal. Its retry-after time grows with the ratio of the
// demand to the local and borrowed slots.
func (b *Borrower) refuse(now time.Time, local LocalState, linkDenied bool) *result.Error {
	available := local.Slots + b.borrowed(now)
	load := (float64(local.Slots) + b.demand) / float64(max(available, 1))
	code := result.NoHeadroom
	if linkDenied {
		code = result.LinkBudget
	}
	return result.New(code, "pool %s: no domain takes the request", b.cfg.Pool).
		WithRetryAfter(retry.RetryAfter(b.cfg.Rand, load))
}

// borrowed returns the slots that all peers lend now.
func (b *Borrower) borrowed(now time.Time) int {
	n := 0
	for _, p := range b.peers {
		n += p.borrowed(now)
	}
	return n
}

// borrowed returns the slots that the peer lends now.
func (p *peerState) borrowed(now time.Time) int {
	if now.Before(p.creditUntil) {
		return p.credit.Slots
	}
	return 0
}

// addDemand adds the service time of a request that does not fit locally to the
// demand estimate.
func (b *Borrower) addDemand(now time.Time, n Need) {
	b.decay(now)
	b.lastOverflowAt = now
	b.demand += n.Service.Seconds() / demandTimeConstant.Seconds()
}

// decay lowers the demand estimate by the time since the last call: a discrete
// form of exponential decay, which halves the estimate after one pause of
// demandTimeConstant.
func (b *Borrower) decay(now time.Time) {
	if d := now.Sub(b.demandAt); d > 0 {
		b.demand *= 1 / (1 + d.Seconds()/demandTimeConstant.Seconds())
		b.demandAt = now
	}
}

// Done ends a request for which Choose found a domain.
func (b *Borrower) Done(now time.Time, c Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.homes[c.home]; c.home != "" && h != nil && h.running > 0 {
		h.recentPeak(now)
		h.running--
	}
	if c.Credit == nil {
		return
	}
	if p := b.peer(c.Domain); p != nil && p.running > 0 {
		p.running--
	}
}

func (b *Borrower) peer(domain string) *peerState {
	for _, p := range b.peers {
		if p.Domain == domain {
			return p
		}
	}
	return nil
}

// HomeLevel returns how many requests of home's callers may run in this domain
// at the same time now.
func (b *Borrower) HomeLevel(home string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.homes[home]; h != nil {
		return h.ramp.Level()
	}
	return 0
}

// PauseDomain skips a domain for refusalPause because it refused a request under
// its credit: it needs its slots for local work again.
func (b *Borrower) PauseDomain(now time.Time, domain string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.peer(domain); p != nil {
		p.pauseUntil = now.Add(refusalPause)
	}
}

// DropCredit discards the credit of a domain that cannot be reached.
func (b *Borrower) DropCredit(domain string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.peer(domain); p != nil {
		p.creditUntil = time.Time{}
	}
}

// CreditRequest is a request for credit with the domain to which it is sent.
type CreditRequest struct {
	To      string
	Request Request
}

// CreditRequests returns the requests for credit to send now. Near domains are asked
// first; a farther domain is asked for what the nearer ones do not lend yet.
// Call it about every AskInterval; more frequent calls send no more messages.
func (b *Borrower) CreditRequests(now time.Time) []CreditRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decay(now)
	var out []CreditRequest
	remaining := b.demand
	unservedOverflow := !b.lastOverflowAt.IsZero() && now.Sub(b.lastOverflowAt) < overflowWindow
	// A recent request that did not fit locally is reason enough to ask the peers
	// up to the first one that lends slots.
	for _, p := range b.peers {
		if remaining < idleDemandSlots && !unservedOverflow {
			break
		}
		want := int(max(0, remaining)) + 1
		borrowed := p.borrowed(now)
		remaining -= float64(borrowed)
		unservedOverflow = unservedOverflow && borrowed == 0
		if now.Sub(p.lastAskAt) < AskInterval {
			continue
		}
		b.seq++
		p.lastAskAt = now
		p.sent[p.sentCount%sentHistory].seq, p.sent[p.sentCount%sentHistory].at = b.seq, now
		p.sentCount++
		out = append(out, CreditRequest{p.Domain, Request{From: b.cfg.Domain, Pool: b.cfg.Pool, Want: want, Seq: b.seq}})
	}
	return out
}

// StoreCredit stores a credit and reports whether it was accepted. The lifetime
// counts from the time at which the credit was requested, so clocks need not
// agree. Credits that arrive after their lifetime and credits that answer an
// older request than the stored one are dropped.
func (b *Borrower) StoreCredit(now time.Time, c Credit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peer(c.To)
	if p == nil || c.From != b.cfg.Domain || c.Pool != b.cfg.Pool || c.Seq < p.credit.Seq {
		return false
	}
	for _, s := range p.sent {
		if s.seq == c.Seq && s.seq != 0 && now.Sub(s.at) < CreditLifetime {
			p.credit, p.creditUntil = c, s.at.Add(CreditLifetime)
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
	Slots, Running int // slots that the peer lends; requests that run under its credits
}

// Dump returns the state at now.
func (b *Borrower) Dump(now time.Time) BorrowerDump {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := BorrowerDump{Domain: b.cfg.Domain, Pool: b.cfg.Pool, LocalLevel: b.local.Level(), Demand: b.demand, Homes: map[string]int{}}
	for _, p := range b.peers {
		d.Peers = append(d.Peers, PeerDump{p.Domain, p.Region, p.RTT, p.borrowed(now), p.running})
	}
	for name, h := range b.homes {
		d.Homes[name] = h.running
	}
	return d
}
