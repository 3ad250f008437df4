package steer

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/placing"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// splits holds the state of the traffic split of each route that has several
// target pools.
type splits struct {
	mu     sync.Mutex
	routes map[string]*routeSplit
}

// routeSplit is the weighted split of one route, and the targets it was made for.
type routeSplit struct {
	placing.Split
	targets []fleet.Target
}

// next returns the pool for the next request of a route, in proportion to the
// weights of its targets. A change of the targets starts a new split.
func (s *splits) next(r *fleet.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Pool
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = map[string]*routeSplit{}
	}
	split := s.routes[r.Name]
	if split == nil || !slices.Equal(split.targets, r.Targets) {
		split = &routeSplit{targets: r.Targets}
		s.routes[r.Name] = split
	}
	return split.Next(r.Targets, rand.Float64())
}
