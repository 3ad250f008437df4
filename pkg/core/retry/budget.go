// Package retry decides whether a failed request may be retried, or a slow one
// hedged. Budgets are token buckets that each request of a route refills by a
// fraction of a token, so that retries stay a bounded fraction of the load however
// many requests fail.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const (
	// RetryFraction is the number of retry tokens that each request of a route
	// adds to the route's budget on one host.
	RetryFraction = 0.10
	// RetryPerSecond is the number of retry tokens that each second adds, for
	// routes with few requests.
	RetryPerSecond = 1.0
	// RetryBurst is the capacity of the bucket for retries, in tokens.
	RetryBurst = 10.0
	// HedgeFraction is the number of hedge tokens that each request adds.
	HedgeFraction = 0.05
	// HedgeBurst is the capacity of the bucket for hedges, in tokens.
	HedgeBurst = 5.0
	// MaxTries bounds the tries of one request, the first included.
	MaxTries = 3

	// backoffBase is the mean backoff before the second try; it doubles with each
	// further try up to backoffMax.
	backoffBase = 10 * time.Millisecond
	backoffMax  = 250 * time.Millisecond
	// medianQuantile is the quantile of the service time that has to fit into the
	// rest of the deadline for a further try.
	medianQuantile = 0.5
	// hedgeQuantile is the quantile of the service time after which a request is
	// hedged.
	hedgeQuantile = 0.95
)

// RequestState describes a request whose last try failed or is slow.
type RequestState struct {
	Idempotent bool
	Run        result.RunState // whether the tries so far may have run
	// Relayed is set if the request came from another entry host, which has
	// its own budget.
	Relayed bool
	// Tries is the number of tries made so far.
	Tries        int
	DeadlineLeft time.Duration
}

// Reason says why a Decision denies a further try.
type Reason string

const (
	Allowed      Reason = ""             // not denied
	IsRelayed    Reason = "relayed"      // the host that relayed the request retries it
	MayHaveRun   Reason = "may-have-run" // the request is not idempotent and may have run
	TooManyTries Reason = "tries"        // MaxTries is reached
	NoTime       Reason = "deadline"     // the rest of the deadline is too short
	BudgetEmpty  Reason = "budget"       // the budget has no token left
	NoEstimate   Reason = "no-estimate"  // the service time is unknown
)

// Decision is the result of Allow and Hedge.
type Decision struct {
	OK     bool
	Wait   time.Duration // before the next try
	Reason Reason
}

// Budget holds the retry and hedge budgets of one route on one host. It is safe
// for concurrent use.
type Budget struct {
	mu          sync.Mutex
	rng         *rand.Rand
	retryTokens float64
	hedgeTokens float64
	lastRefill  time.Time
	latency     Latency
	counts      Counts
}

// Counts holds totals since the Budget was created.
type Counts struct {
	Requests, Retries, Hedges, Denied uint64
}

// New returns a Budget with full buckets. rng is the source of the backoff's
// jitter; the Budget protects it with its own lock, so it must not be shared.
func New(now time.Time, rng *rand.Rand) *Budget {
	return &Budget{rng: rng, retryTokens: RetryBurst, hedgeTokens: HedgeBurst, lastRefill: now}
}

// RecordRequest counts a new request (not a retry or hedge), which adds to both
// budgets.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.counts.Requests++
	b.retryTokens = min(b.retryTokens+RetryFraction, RetryBurst)
	b.hedgeTokens = min(b.hedgeTokens+HedgeFraction, HedgeBurst)
}

func (b *Budget) refill(now time.Time) {
	if d := now.Sub(b.lastRefill); d > 0 {
		b.retryTokens = min(b.retryTokens+d.Seconds()*RetryPerSecond, RetryBurst)
		b.lastRefill = now
	}
}

// RecordServiceTime records the service time of a try that was answered.
func (b *Budget) RecordServiceTime(now time.Time, service time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.latency.Add(now, service)
}

// Allow decides whether a failed request is retried, and takes a token from the
// retry budget if so.
func (b *Budget) Allow(now time.Time, a RequestState) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	wait := b.backoff(a.Tries)
	reason := a.denyReason(b.latency.Quantile(medianQuantile) + wait)
	if reason == Allowed && b.retryTokens < 1 {
		reason = BudgetEmpty
	}
	if reason != Allowed {
		b.counts.Denied++
		return Decision{Reason: reason}
	}
	b.retryTokens--
	b.counts.Retries++
	return Decision{OK: true, Wait: wait}
}

// denyReason checks the rules that do not depend on the budget. need is the
// expected duration of a further try.
func (a RequestState) denyReason(need time.Duration) Reason {
	switch {
	case a.Relayed:
		return IsRelayed
	case a.Run != result.NotRun && !a.Idempotent:
		return MayHaveRun
	case a.Tries >= MaxTries:
		return TooManyTries
	case a.DeadlineLeft <= need:
		return NoTime
	}
	return Allowed
}

// backoff returns the exponential backoff after the given number of tries, with
// jitter of plus or minus half.
func (b *Budget) backoff(tries int) time.Duration {
	d := backoffBase << min(max(tries-1, 0), 8)
	return jitter(b.rng, min(d, backoffMax))
}

// HedgeDelay returns how long to wait for an answer before the request is hedged:
// the recent 95th percentile of the route's service time. It reports false if the
// request must not be hedged, or if there are too few recent answers.
func (b *Budget) HedgeDelay(a RequestState) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hedgeDelay(a)
}

func (b *Budget) hedgeDelay(a RequestState) (time.Duration, bool) {
	delay := b.latency.Quantile(hedgeQuantile)
	if delay == 0 || !a.Idempotent || a.denyReason(delay) != Allowed {
		return 0, false
	}
	return delay, true
}

// Hedge decides, once HedgeDelay has passed, whether a second try starts in
// parallel to the slow one, and takes a token from the hedge budget if so. A hedge
// may run the request twice, so the request has to be idempotent.
func (b *Budget) Hedge(now time.Time, a RequestState) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	reason := a.denyReason(b.latency.Quantile(medianQuantile))
	switch {
	case reason != Allowed:
	case !a.Idempotent:
		reason = MayHaveRun
	case b.hedgeTokens < 1:
		reason = BudgetEmpty
	}
	if reason != Allowed {
		b.counts.Denied++
		return Decision{Reason: reason}
	}
	b.hedgeTokens--
	b.counts.Hedges++
	return Decision{OK: true}
}

// MedianServiceTime returns the recent median service time, or 0 if there are too few
// recent answers.
func (b *Budget) MedianServiceTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latency.Quantile(medianQuantile)
}

// Dump is the state of a Budget. It is encoded as JSON under the names of its
// fields.
type Dump struct {
	RetryTokens, HedgeTokens float64
	Median, P95              time.Duration
	Counts                   Counts
}

// Dump returns the state of the budget.
func (b *Budget) Dump() Dump {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Dump{b.retryTokens, b.hedgeTokens, b.latency.Quantile(medianQuantile), b.latency.Quantile(hedgeQuantile), b.counts}
}
