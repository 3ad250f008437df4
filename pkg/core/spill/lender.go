// Package spill moves work between failure domains. The lender in the
// receiving domain grants credits out of its free slots. The borrower in the
// overloaded domain relays work only under such a credit, never on the basis of
// load measurements, which lag behind. The pool's shift cap bounds the growth.
package spill

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/retry"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// CreditLifetime is how long a credit may be used. It bounds how long slots of
// the lender stay blocked after the borrower is lost.
const CreditLifetime = 2 * time.Second

// Credit permits one domain to run up to Slots requests at the same time in
// another domain. A newer credit between the same domains replaces older ones.
type Credit struct {
	ID     uint64    `cbor:"1,keyasint"`
	From   string    `cbor:"2,keyasint"` // borrowing domain
	To     string    `cbor:"3,keyasint"` // lending domain
	Pool   string    `cbor:"4,keyasint"`
	Slots  int       `cbor:"5,keyasint"`
	Epoch  uint64    `cbor:"6,keyasint"` // epoch of the lending dispatcher
	Expiry time.Time `cbor:"7,keyasint"` // on the lender's clock
	Seq    uint64    `cbor:"8,keyasint"` // Seq of the Request that it answers
}

// Request asks for a credit.
type Request struct {
	From string `cbor:"1,keyasint"`
	Pool string `cbor:"2,keyasint"`
	Want int    `cbor:"3,keyasint"` // slots wanted in total, including those already lent
	Seq  uint64 `cbor:"4,keyasint"`
}

// LenderConfig configures a Lender.
type LenderConfig struct {
	Domain, Pool string
	Slots        int        // slots of the pool in this domain
	ShiftCap     float64    // growth per second as a fraction of Slots
	Epoch        uint64     // epoch of this dispatcher, higher than that of its predecessor
	Rand         *rand.Rand // used under the Lender's lock; share it with no other goroutine
}

// Lender grants credits. It is safe for concurrent use.
type Lender struct {
	mu        sync.Mutex
	cfg       LenderConfig
	nextID    uint64
	borrowers map[string]*loan
}

// loan is the use of slots by one other domain: at a Lender those that it lent
// to the domain, at a Borrower those used by callers whose home is the domain.
type loan struct {
	ramp            Ramp
	credits         []Credit // unexpired, oldest first
	running         int
	peak            int       // highest running in the current period of CreditLifetime
	previousPeak    int       // peak of the previous period
	peakPeriodStart time.Time // start of the current period
}

// NewLender returns a Lender without outstanding credits.
func NewLender(cfg LenderConfig) *Lender {
	return &Lender{cfg: cfg, borrowers: map[string]*loan{}}
}

// SetSlots changes the slots of the pool in this domain.
func (l *Lender) SetSlots(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.Slots = slots
}

// level returns how many slots the borrower may hold now: its largest unexpired
// credit, because a newer and smaller one may have been lost, or the number of
// its running requests if that is higher.
func (b *loan) level(now time.Time) int {
	b.credits = slices.DeleteFunc(b.credits, func(c Credit) bool { return !now.Before(c.Expiry) })
	n := b.running
	for _, c := range b.credits {
		n = max(n, c.Slots)
	}
	return n
}

// recentPeak returns the highest number of running requests in the last one to
// two credit lifetimes. Call it before running changes, so that the periods
// advance.
func (b *loan) recentPeak(now time.Time) int {
	if d := now.Sub(b.peakPeriodStart); d >= CreditLifetime {
		b.previousPeak = b.peak
		if d >= 2*CreditLifetime {
			b.previousPeak = b.running
		}
		b.peak, b.peakPeriodStart = b.running, now
	}
	return max(b.previousPeak, b.peak)
}

// Outstanding returns the slots that other domains may hold now.
func (l *Lender) Outstanding(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outstanding(now, "")
}

// outstanding returns the slots that domains other than except may hold now.
func (l *Lender) outstanding(now time.Time, except string) int {
	sum := 0
	for from, b := range l.borrowers {
		if from != except {
			sum += b.level(now)
		}
	}
	return sum
}

// Level returns the slots that the given domain may hold now.
func (l *Lender) Level(now time.Time, from string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.borrowers[from]; b != nil {
		return b.level(now)
	}
	return 0
}

// Grant answers a request for credit. lendable is how many slots the work of
// other domains may hold in total now: all slots less the reserve and the slots
// used by local work. Grant reports false if it grants nothing.
func (l *Lender) Grant(now time.Time, req Request, lendable int) (Credit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if req.Pool != l.cfg.Pool || req.From == l.cfg.Domain || req.From == "" {
		return Credit{}, false
	}
	b := l.borrowers[req.From]
	if b == nil {
		b = &loan{peakPeriodStart: now}
		l.borrowers[req.From] = b
	}
	// Growth starts from what the borrower may still hold, not from credits that
	// have expired.
	b.ramp.Lower(b.level(now))
	room := lendable - l.outstanding(now, req.From)
	slots := b.raise(now, min(req.Want, room), StepsPerSecond(l.cfg.Slots, l.cfg.ShiftCap))
	if slots <= 0 {
		return Credit{}, false
	}
	l.nextID++
	c := Credit{ID: l.nextID, From: req.From, To: l.cfg.Domain, Pool: l.cfg.Pool, Slots: slots,
		Epoch: l.cfg.Epoch, Expiry: now.Add(CreditLifetime), Seq: req.Seq}
	b.credits = append(b.credits, c)
	return c, true
}

// maxLevel returns the upper bound of the level: the recent peak, half of it on
// top for the random variation of an established flow, and one second of growth.
// A borrower can therefore not accumulate growth in a credit that it does not
// use.
func (b *loan) maxLevel(now time.Time, steps int) int {
	recentPeak := b.recentPeak(now)
	return recentPeak + recentPeak/2 + steps
}

// raise returns the slots of the next credit, at most target.
func (b *loan) raise(now time.Time, target, steps int) int {
	target = min(target, b.maxLevel(now, steps))
	if target <= b.ramp.Level() {
		// The level stays until the older credits have expired; then Grant lowers
		// it.
		return target
	}
	return b.ramp.Raise(now, target, steps)
}

// Accept admits a relayed request under a credit and counts it until Release.
// lendable is as for Grant, so that a credit does not take precedence over local
// work that arrived after it was granted. A refusal has code NoHeadroom, and the
// request has not run.
func (l *Lender) Accept(now time.Time, c Credit, lendable int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.borrowers[c.From]
	if c.Epoch != l.cfg.Epoch || b == nil {
		return l.refuse("credit of epoch %d, the dispatcher has epoch %d", c.Epoch, l.cfg.Epoch)
	}
	b.level(now) // removes expired credits
	i := slices.IndexFunc(b.credits, func(x Credit) bool { return x.ID == c.ID })
	if i < 0 {
		return l.refuse("credit %d is unknown or has expired", c.ID)
	}
	if b.running >= b.credits[i].Slots {
		return l.refuse("credit %d is used up", c.ID)
	}
	if running := l.running(); running >= lendable {
		return l.refuse("%d slots lent, %d lendable", running, lendable)
	}
	b.recentPeak(now)
	b.running++
	b.peak = max(b.peak, b.running)
	return nil
}

func (l *Lender) running() int {
	n := 0
	for _, b := range l.borrowers {
		n += b.running
	}
	return n
}

func (l *Lender) refuse(format string, args ...any) error {
	return result.New(result.NoHeadroom, format, args...).WithRetryAfter(retry.RetryAfter(l.cfg.Rand, 1))
}

// Release ends a request that Accept admitted.
func (l *Lender) Release(now time.Time, from string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.borrowers[from]; b != nil && b.running > 0 {
		b.recentPeak(now)
		b.running--
	}
}

// LenderDump is the state of a Lender.
type LenderDump struct {
	Domain, Pool string
	Slots        int
	Epoch        uint64
	Loans        []LoanDump
}

// LoanDump is what one domain has borrowed.
type LoanDump struct {
	From           string
	Level, Running int
	Credits        []Credit
}

// Dump returns the state at now, sorted by domain.
func (l *Lender) Dump(now time.Time) LenderDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := LenderDump{Domain: l.cfg.Domain, Pool: l.cfg.Pool, Slots: l.cfg.Slots, Epoch: l.cfg.Epoch}
	for from, b := range l.borrowers {
		d.Loans = append(d.Loans, LoanDump{from, b.level(now), b.running, slices.Clone(b.credits)})
	}
	slices.SortFunc(d.Loans, func(a, b LoanDump) int { return strings.Compare(a.From, b.From) })
	return d
}
