// Package spill moves work between failure domains. The lender in the
// receiving domain grants credits out of its free slots; the borrower in the
// overloaded domain sends work only under such a credit, never on the basis of
// a lagging measurement of load. Growth is bounded by the pool's shift cap.
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

// CreditLifetime is how long a credit may be used. It bounds the time for which
// a lost borrower blocks slots of the lender.
const CreditLifetime = 2 * time.Second

// Credit is the right to run up to Slots requests at the same time in another
// domain. A newer credit between the same domains replaces older ones.
type Credit struct {
	ID     uint64    `cbor:"1,keyasint"`
	From   string    `cbor:"2,keyasint"` // borrowing domain
	To     string    `cbor:"3,keyasint"` // lending domain
	Pool   string    `cbor:"4,keyasint"`
	Slots  int       `cbor:"5,keyasint"`
	Epoch  uint64    `cbor:"6,keyasint"` // epoch of the lending dispatcher
	Expiry time.Time `cbor:"7,keyasint"` // on the lender's clock
	Seq    uint64    `cbor:"8,keyasint"` // of the request that it answers
}

// Request asks for a credit.
type Request struct {
	From string `cbor:"1,keyasint"`
	Pool string `cbor:"2,keyasint"`
	Want int    `cbor:"3,keyasint"` // slots in total, not in addition
	Seq  uint64 `cbor:"4,keyasint"`
}

// LenderConfig configures a Lender.
type LenderConfig struct {
	Domain, Pool string
	Slots        int        // slots of the pool in this domain
	ShiftCap     float64    // fraction of Slots per second
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

// loan is what one domain has borrowed.
type loan struct {
	ramp    Ramp
	credits []Credit // unexpired, oldest first
	running int
	peak    int       // most running in the current and the last peak period
	last    int       // peak of the last period
	peakAt  time.Time // start of the current period
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

// level returns the slots that the borrower may hold now: its largest unexpired
// credit, because a newer and smaller one may have been lost, or its running
// requests if they are more.
func (b *loan) level(now time.Time) int {
	b.credits = slices.DeleteFunc(b.credits, func(c Credit) bool { return !now.Before(c.Expiry) })
	n := b.running
	for _, c := range b.credits {
		n = max(n, c.Slots)
	}
	return n
}

// used returns the peak of running requests over one to two credit lifetimes.
func (b *loan) used(now time.Time) int {
	if d := now.Sub(b.peakAt); d >= CreditLifetime {
		b.last = b.peak
		if d >= 2*CreditLifetime {
			b.last = b.running
		}
		b.peak, b.peakAt = b.running, now
	}
	return max(b.last, b.peak)
}

// Outstanding returns the slots that other domains may hold now.
func (l *Lender) Outstanding(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outstanding(now, "")
}

func (l *Lender) outstanding(now time.Time, except string) int {
	sum := 0
	for from, b := range l.borrowers {
		if from != except {
			sum += b.level(now)
		}
	}
	return sum
}

// Level returns the slots that one domain may hold now.
func (l *Lender) Level(now time.Time, from string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.borrowers[from]; b != nil {
		return b.level(now)
	}
	return 0
}

// Grant answers a request for credit. lendable is the number of slots that work
// of other domains may hold in total now: all slots less those of local work
// less the reserve. Grant reports false if it grants nothing.
func (l *Lender) Grant(now time.Time, req Request, lendable int) (Credit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if req.Pool != l.cfg.Pool || req.From == l.cfg.Domain || req.From == "" {
		return Credit{}, false
	}
	b := l.borrowers[req.From]
	if b == nil {
		b = &loan{peakAt: now}
		l.borrowers[req.From] = b
	}
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

// headroom returns the most that the level may be: the recent use, half as much
// again for the random variation of an established flow, and one second of
// growth. An idle credit is therefore no store of growth.
func (b *loan) headroom(now time.Time, steps int) int {
	used := b.used(now)
	return used + used/2 + steps
}

// raise returns the slots of the next credit.
func (b *loan) raise(now time.Time, target, steps int) int {
	target = min(target, b.headroom(now, steps))
	if target <= b.ramp.Level() {
		// The level stays in effect until older credits expire.
		return target
	}
	return b.ramp.Raise(now, target, steps)
}

// Accept admits a relayed request under a credit and counts it until Release.
// lendable is as for Grant: a credit does not overrule local work that came
// since. A refusal has code NoHeadroom and is certainly not run.
func (l *Lender) Accept(now time.Time, c Credit, lendable int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.borrowers[c.From]
	if c.Epoch != l.cfg.Epoch || b == nil {
		return l.refuse("credit of epoch %d, the dispatcher has epoch %d", c.Epoch, l.cfg.Epoch)
	}
	b.level(now) // drops expired credits
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
	b.used(now)
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
		b.used(now)
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
