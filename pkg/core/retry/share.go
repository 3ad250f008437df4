package retry

import "time"

// Share is the share of one host in the deployment's budget for repeats to one
// pool; a repeat is a further send of the same request. The repeats of all hosts
// together stay within a ratio of the pool's requests plus a fixed number per
// window. A Share is a token bucket and not safe for concurrent use.
type Share struct {
	ratio      float64 // repeats per request, all hosts together
	extra      float64 // repeats per budgetWindow, all hosts together
	tokens     float64
	lastRefill time.Time
}

const (
	// usableRatio and usableExtra are the fractions of the deployment's bounds
	// that all hosts together use. The rest is a reserve for the time in which
	// hosts do not know of each other yet and so underestimate their number.
	usableRatio = 0.7
	usableExtra = 0.5
	// budgetWindow is the window over which the deployment's bound holds; the
	// platform sets it to 10 s.
	budgetWindow = 10 * time.Second
)

// NewShare returns a host's share for a deployment that allows ratio repeats per
// request plus extra repeats per budgetWindow, over all hosts.
func NewShare(ratio, extra float64) *Share { return &Share{ratio: ratio, extra: extra} }

// RecordRequest counts a new request for the pool; hosts is the number of hosts that
// divide the budget.
func (s *Share) RecordRequest(now time.Time, hosts int) {
	s.refill(now, hosts)
	s.tokens = min(s.tokens+s.ratio*usableRatio, s.burst(hosts))
}

// Take takes the token for one repeat and reports whether there was one.
func (s *Share) Take(now time.Time, hosts int) bool {
	s.refill(now, hosts)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// burst returns the capacity of the bucket: half of the host's part of the usable
// extra, and at least 1.
func (s *Share) burst(hosts int) float64 { return max(s.extra*usableExtra/float64(max(hosts, 1))/2, 1) }

// refill adds the tokens for the host's part of the usable extra. Half of this
// part is the bucket, which is full at first; the other half is added evenly over
// the window.
func (s *Share) refill(now time.Time, hosts int) {
	if s.lastRefill.IsZero() {
		s.tokens = s.burst(hosts)
	} else {
		rate := s.burst(hosts) / budgetWindow.Seconds()
		s.tokens = min(s.tokens+rate*now.Sub(s.lastRefill).Seconds(), s.burst(hosts))
	}
	s.lastRefill = now
}
