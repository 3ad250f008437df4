package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// retryAfterBase is the mean Retry-After time at a load of 1 or less.
	retryAfterBase = time.Second
	// maxLoadFactor bounds the load by which retryAfterBase is multiplied.
	maxLoadFactor = 30.0
)

// RetryAfter returns the Retry-After time of a refusal: 1 s times load. load is the
// ratio of the expected wait to the deadline, or of the demand to the capacity; it
// is clamped to the range from 1 to 30. Uniform jitter of plus or minus half keeps
// callers that were refused together from coming back together. A nil rng turns
// the jitter off; rng must not be used concurrently.
func RetryAfter(rng *rand.Rand, load float64) time.Duration {
	base := float64(retryAfterBase) * min(max(load, 1), maxLoadFactor)
	return jitter(rng, time.Duration(base))
}

// jitter returns a duration drawn uniformly from [d/2, 3d/2), or d if rng is nil.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	if rng == nil {
		return d
	}
	return time.Duration(float64(d) * (0.5 + rng.Float64()))
}
