// Package rendezvous picks hosts for a key by highest random weight, so that
// every host with the same list makes the same choice and a change of one host
// moves only that host's keys.
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

// Top returns up to n hosts in descending order of weight for key. It takes
// len(hosts)*n comparisons, because n is small, and each weight is computed
// once.
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

// Choice is a host with a share of the keys in proportion to Capacity.
type Choice struct {
	Host     string
	Capacity float64
}

// PickWeighted returns the host for key such that each host gets keys in
// proportion to its capacity, or "" if there are no hosts.
func PickWeighted(key string, hosts []Choice) string {
	best, bestScore := "", 0.0
	for _, h := range hosts {
		// The smallest of exponentially distributed times is that of a host with
		// the probability of its share.
		u := (float64(Weight(key, h.Host)) + 1) / (math.MaxUint64 + 2)
		score := -math.Log(u) / max(h.Capacity, leastCapacity)
		if best == "" || score < bestScore || (score == bestScore && h.Host < best) {
			best, bestScore = h.Host, score
		}
	}
	return best
}

// leastCapacity keeps a host without capacity from dividing by zero.
const leastCapacity = 1e-6

// Strong returns the hosts with at least share of the largest capacity.
func Strong(hosts []Choice, share float64) []Choice {
	most := 0.0
	for _, h := range hosts {
		most = max(most, h.Capacity)
	}
	out := make([]Choice, 0, len(hosts))
	for _, h := range hosts {
		if h.Capacity >= share*most {
			out = append(out, h)
		}
	}
	return out
}
