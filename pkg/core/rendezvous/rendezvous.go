// Package rendezvous picks hosts for a key by rendezvous hashing (highest
// random weight): every host with the same list makes the same choice, and
// adding or removing a host moves only that host's keys.
package rendezvous

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of host for key.
func Weight(key, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// Pick returns the host with the highest weight for key, or "" if there are
// no hosts.
func Pick(key string, hosts []string) string {
	best, bestWeight := "", uint64(0)
	for _, h := range hosts {
		w := Weight(key, h)
		if best == "" || w > bestWeight || (w == bestWeight && h < best) {
			best, bestWeight = h, w
		}
	}
	return best
}

// Top returns up to n hosts in descending order of weight for key. It
// compares each host with up to n others, which is cheap because n is small,
// and computes each weight once.
func Top(key string, hosts []string, n int) []string {
	n = min(n, len(hosts))
	out := make([]string, 0, n)
	weights := make([]uint64, 0, n)
	for _, host := range hosts {
		w := Weight(key, host)
		i := len(out)
		for i > 0 && (w > weights[i-1] || (w == weights[i-1] && host < out[i-1])) {
			i--
		}
		if i == n {
			continue
		}
		if len(out) == n {
			out, weights = out[:n-1], weights[:n-1]
		}
		out, weights = slices.Insert(out, i, host), slices.Insert(weights, i, w)
	}
	return out
}

// WeightedHost is a host that gets a share of the keys in proportion to Capacity.
type WeightedHost struct {
	Host     string
	Capacity float64
}

// PickWeighted returns the host for key such that each host gets keys in
// proportion to its capacity, or "" if there are no hosts.
func PickWeighted(key string, hosts []WeightedHost) string {
	best, bestScore := "", 0.0
	for _, h := range hosts {
		// Exponentially distributed scores whose rates are the capacities:
		// the probability that a host has the smallest one is its share of
		// the capacity.
		u := (float64(Weight(key, h.Host)) + 1) / (math.MaxUint64 + 2)
		score := -math.Log(u) / max(h.Capacity, minCapacity)
		if best == "" || score < bestScore || (score == bestScore && h.Host < best) {
			best, bestScore = h.Host, score
		}
	}
	return best
}

// minCapacity avoids a division by zero for a host without capacity.
const minCapacity = 1e-6

// WithMinCapacity returns the hosts whose capacity is at least share times the largest
// one.
func WithMinCapacity(hosts []WeightedHost, share float64) []WeightedHost {
	largest := 0.0
	for _, h := range hosts {
		largest = max(largest, h.Capacity)
	}
	out := make([]WeightedHost, 0, len(hosts))
	for _, h := range hosts {
		if h.Capacity >= share*largest {
			out = append(out, h)
		}
	}
	return out
}
