package placing

import "github.com/tamarackswitch/tamarackswitch/pkg/fleet"

// Split spreads a route's requests over its targets in proportion to their
// weights: each request goes to the target that is furthest behind. It is not
// safe for concurrent use.
type Split struct {
	owed map[string]float64
}

// Next returns the pool of the next request. start, between 0 and 1, sets
// where a new split begins, so that hosts do not move in step.
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
	fresh := s.owed == nil
	if fresh {
		s.owed = map[string]float64{}
	}
	best := ""
	for i, t := range targets {
		share := float64(t.Weight) / float64(total)
		if fresh && i == 0 {
			s.owed[t.Pool] = start - 0.5
		}
		s.owed[t.Pool] += share
		if t.Weight > 0 && (best == "" || s.owed[t.Pool] > s.owed[best]) {
			best = t.Pool
		}
	}
	s.owed[best]--
	return best
}
