package retry

import (
	"math"
	"time"
)

const (
	// latencyMin, latencyFactor and latencyBuckets define the buckets of the
	// histogram: bucket i begins at 0.1 ms times 1.1^i, the last at about 80 s.
	latencyMin     = 100 * time.Microsecond
	latencyFactor  = 1.1
	latencyBuckets = 144
	// latencyHalfLife is the time in which an answer loses half of its weight.
	latencyHalfLife = 10 * time.Second
	// minLatencySamples is the total weight of the answers below which there is
	// no estimate.
	minLatencySamples = 20
)

// Latency estimates quantiles of the recent service times in fixed memory, from a
// histogram with exponential buckets. The counts are halved every 10 s, so that
// old answers lose their weight. It is not safe for concurrent use.
type Latency struct {
	counts    [latencyBuckets]float32
	total     float32
	lastDecay time.Time
}

// Add records one service time.
func (l *Latency) Add(now time.Time, d time.Duration) {
	l.decay(now)
	i := 0
	if d > latencyMin {
		i = int(math.Log(float64(d)/float64(latencyMin)) / math.Log(latencyFactor))
	}
	l.counts[min(i, latencyBuckets-1)]++
	l.total++
}

func (l *Latency) decay(now time.Time) {
	if l.lastDecay.IsZero() {
		l.lastDecay = now
	}
	for now.Sub(l.lastDecay) >= latencyHalfLife {
		l.lastDecay = l.lastDecay.Add(latencyHalfLife)
		if l.total < 1 {
			// The remaining weight is negligible: skip the half-lives until now.
			l.lastDecay = now
		}
		l.total = 0
		for i := range l.counts {
			l.counts[i] /= 2
			l.total += l.counts[i]
		}
	}
}

// Quantile returns the service time that the fraction q of the recent requests did
// not exceed. The result is the upper bound of a bucket and thus up to 10% too
// high. It is 0 if there are fewer than about 20 recent samples.
func (l *Latency) Quantile(q float64) time.Duration {
	if l.total < minLatencySamples {
		return 0
	}
	want, sum := float32(q)*l.total, float32(0)
	for i, c := range l.counts {
		sum += c
		if sum >= want && c > 0 {
			return time.Duration(float64(latencyMin) * math.Pow(latencyFactor, float64(i+1)))
		}
	}
	return time.Duration(float64(latencyMin) * math.Pow(latencyFactor, latencyBuckets))
}
