package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

var retryable = RequestState{Idempotent: true, Run: result.Unknown, Tries: 1, DeadlineLeft: time.Second}

// warm returns a Budget with recorded service times of 1 to 100 ms.
func warm() (*Budget, time.Time) {
	now := vtime.Epoch
	b := New(now, rng())
	for i := range 1000 {
		b.RecordServiceTime(now, time.Duration(i%100+1)*time.Millisecond)
	}
	return b, now
}

// TestRetryBudget guards against more retries than 10% of the requests plus one
// per second when every request fails, and against more hedges than 5% of the
// requests.
func TestRetryBudget(t *testing.T) {
	b, now := warm()
	retries, hedges := 0, 0
	const requests, seconds = 10_000, 20
	for range requests {
		now = now.Add(seconds * time.Second / requests)
		b.RecordRequest(now)
		if b.Allow(now, retryable).OK {
			retries++
		}
		if b.Hedge(now, retryable).OK {
			hedges++
		}
	}
	assert.InDelta(t, requests*RetryFraction+seconds+RetryBurst, retries, 3)
	assert.InDelta(t, requests*HedgeFraction+HedgeBurst, hedges, 2)
	assert.Equal(t, uint64(retries), b.Dump().Counts.Retries)
}

// TestRules guards against tries that could run a request twice, that several
// hosts make for the same request, or that cannot meet the deadline.
func TestRules(t *testing.T) {
	for want, change := range map[Reason]func(*RequestState){
		Allowed:      func(*RequestState) {},
		IsRelayed:    func(a *RequestState) { a.Relayed = true },
		MayHaveRun:   func(a *RequestState) { a.Idempotent = false },
		TooManyTries: func(a *RequestState) { a.Tries = MaxTries },
		NoTime:       func(a *RequestState) { a.DeadlineLeft = 40 * time.Millisecond },
	} {
		b, now := warm()
		a := retryable
		change(&a)
		assert.Equal(t, want, b.Allow(now, a).Reason)
		assert.Equal(t, want, b.Hedge(now, a).Reason)
		_, ok := b.HedgeDelay(a)
		assert.Equal(t, want == Allowed, ok)
	}
	b, now := warm()
	a := RequestState{Run: result.NotRun, Tries: 1, DeadlineLeft: time.Second}
	assert.True(t, b.Allow(now, a).OK, "a request that has not run may be retried")
	assert.False(t, b.Hedge(now, a).OK, "a hedge could run it twice")
}

// TestHedgeDelay guards against a hedge delay that is not the 95th percentile of
// the service time, or that is based on outdated answers.
func TestHedgeDelay(t *testing.T) {
	b, now := warm()
	d, ok := b.HedgeDelay(retryable)
	require.True(t, ok)
	assert.InEpsilon(t, 95*time.Millisecond, d, 0.1)
	for range 100 {
		now = now.Add(time.Second)
		for range 20 {
			b.RecordServiceTime(now, 5*time.Millisecond)
		}
	}
	d, _ = b.HedgeDelay(retryable)
	assert.InEpsilon(t, 5*time.Millisecond, d, 0.12)
	_, ok = New(now, rng()).HedgeDelay(retryable)
	assert.False(t, ok, "no hedge without recent answers")
}

// TestAdvice guards against refused callers that all come back at once, and
// against a Retry-After time that does not grow with the load.
func TestAdvice(t *testing.T) {
	r, buckets := rng(), map[time.Duration]int{}
	for range 1000 {
		d := RetryAfter(r, 4)
		require.GreaterOrEqual(t, d, 2*time.Second)
		require.Less(t, d, 6*time.Second)
		buckets[d.Truncate(500*time.Millisecond)]++
	}
	for at, n := range buckets {
		assert.Less(t, n, 200, "%s", at)
	}
	assert.Equal(t, retryAfterBase, RetryAfter(nil, 0))
	assert.Equal(t, 30*retryAfterBase, RetryAfter(nil, 1e9))
}

// TestBackoff guards against a backoff that does not grow, or that has no jitter.
func TestBackoff(t *testing.T) {
	b, now := warm()
	waits, first, second := map[time.Duration]bool{}, time.Duration(0), time.Duration(0)
	for range 5 {
		waits[b.Allow(now, retryable).Wait] = true
	}
	for range 1000 {
		first += b.backoff(1)
		second += b.backoff(2)
	}
	assert.Len(t, waits, 5)
	assert.InEpsilon(t, 2*first, second, 0.1)
}

func BenchmarkAllow(b *testing.B) {
	budget, now := warm()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.RecordRequest(now)
		budget.Allow(now, retryable)
	}
}

func BenchmarkDone(b *testing.B) {
	budget, now := warm()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		budget.RecordServiceTime(now, 20*time.Millisecond)
	}
}
