package retry

import "time"

// Share bounds the repeated sends to one pool from one host, so that the sum
// over all hosts stays within a ratio of the pool's requests and a fixed number
// per window. It is not safe for concurrent use.
type Share struct {
	ratio  float64
	extra  float64
	tokens float64
	filled time.Time
}

// Parts of the deployment's bounds that the hosts use together. The rest covers
// hosts that know of each other too late.
const (
	ratioPart = 0.7
	extraPart = 0.5
	// shareWindow is the deployment's window (platform: 10 s).
	shareWindow = 10 * time.Second
)

// NewShare returns a share of ratio repeats per request and extra repeats per
// window over all hosts.
func NewShare(ratio, extra float64) *Share { return &Share{ratio: ratio, extra: extra} }

// Request counts a request for the pool on one of hosts hosts.
func (s *Share) Request(now time.Time, hosts int) {
	s.refill(now, hosts)
	s.tokens = min(s.tokens+s.ratio*ratioPart, s.most(hosts))
}

// Take takes one repeat and reports whether there was one.
func (s *Share) Take(now time.Time, hosts int) bool {
	s.refill(now, hosts)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// most is the number of repeats that one host may make at once.
func (s *Share) most(hosts int) float64 { return max(s.extra*extraPart/float64(max(hosts, 1))/2, 1) }

// refill adds the host's part of the fixed number: half of it is the burst,
// the other half comes over the window.
func (s *Share) refill(now time.Time, hosts int) {
	if s.filled.IsZero() {
		s.tokens = s.most(hosts)
	} else {
		rate := s.most(hosts) / shareWindow.Seconds()
		s.tokens = min(s.tokens+rate*now.Sub(s.filled).Seconds(), s.most(hosts))
	}
	s.filled = now
}
