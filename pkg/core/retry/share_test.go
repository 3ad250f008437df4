package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against hosts that together exceed the deployment's bound on repeats in
// any window although each of them stays within its share.
func TestSharesOfAllHostsStayWithinTheBound(t *testing.T) {
	const (
		ratio, extra = 0.2, 133.0
		hosts        = 25
		window       = 10 * time.Second
	)
	rng := rand.New(rand.NewPCG(1, 2))
	var shares []*Share
	for range hosts {
		shares = append(shares, NewShare(ratio, extra))
	}
	now := time.Unix(1_700_000_000, 0)
	type count struct {
		at                time.Time
		requests, repeats int
	}
	var counts []count
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		c := count{at: now}
		for _, s := range shares {
			if rng.Float64() < 0.5 {
				s.RecordRequest(now, hosts)
				c.requests++
			}
			for s.Take(now, hosts) {
				c.repeats++
			}
		}
		counts = append(counts, c)
	}
	for i := range counts {
		requests, repeats := 0, 0
		for _, c := range counts[i:] {
			if c.at.Sub(counts[i].at) < window {
				requests += c.requests
				repeats += c.repeats
			}
		}
		require.LessOrEqual(t, float64(repeats), ratio*float64(requests)+extra)
	}
}
