package placing

import "github.com/tamarackswitch/tamarackswitch/pkg/fleet"

// Split distributes a route's requests over its targets in proportion to
// their weights by smooth weighted round-robin: each request goes to the
// target that is furthest behind its share. It is not safe for concurrent
// use.
type Split struct {
	credit map[string]float64 // requests by which each pool is behind its share
}

// Next returns the pool for the next request, or "" if the weights add up to
// 0. A single target is always chosen. start, between 0 and 1, offsets the
// sequence of a new split, so that the hosts do not send to the same target at
// the same time.
func (s *Split) Next(targets []fleet.Target, start float64) string {
	if len(targets) == 1 {
		return targets[0].Pool
	}
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	fresh := s.credit == nil
	if fresh {
		s.credit = map[string]float64{}
	}
	best := ""
	for i, t := range targets {
		share := float64(t.Weight) / float64(total)
		if fresh && i == 0 {
			s.credit[t.Pool] = start - 0.5
		}
		s.credit[t.Pool] += share
		if t.Weight > 0 && (best == "" || s.credit[t.Pool] > s.credit[best]) {
			best = t.Pool
		}
	}
	s.credit[best]--
	return best
}
