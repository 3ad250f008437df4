package placing

import "time"

// Settings of Share.
const (
	// shareRate is the largest change of the remote share per second. Two
	// adjacent windows of 2 s then differ by at most 0.06 in the mean, which
	// leaves room for chance below the platform's cap of 0.15.
	shareRate = 0.03
	// pressureHigh and pressureLow are the shares of taken slots above which
	// work moves to other regions, and below which it comes back.
	pressureHigh, pressureLow = 0.85, 0.65
	shareMost                 = 0.7
	// shareStart is the time after the first request in which the share may
	// change ten times as fast, because there is no earlier traffic to shift.
	shareStart = 2 * time.Second
)

// Share is the fraction of requests that run in another region. It moves
// slowly, so that a wave of load does not throw the work between regions.
type Share struct {
	fraction float64
	owed     float64
	updated  time.Time
	first    time.Time
}

// Update moves the fraction by the pressure on the own region's slots. known
// is false if the region has none.
func (s *Share) Update(now time.Time, pressure float64, known bool) {
	if s.first.IsZero() {
		s.first, s.updated = now, now
	}
	elapsed := min(now.Sub(s.updated).Seconds(), 1)
	s.updated = now
	if !known {
		return
	}
	step := shareRate * elapsed
	if now.Sub(s.first) < shareStart {
		step *= 10
	}
	switch {
	case pressure > pressureHigh:
		s.fraction = min(s.fraction+step, shareMost)
	case pressure < pressureLow:
		s.fraction = max(s.fraction-step, 0)
	}
}

// Take reports whether the next request runs in another region. Requests are
// spread evenly instead of by chance.
func (s *Share) Take() bool {
	s.owed += s.fraction
	if s.owed < 1 {
		return false
	}
	s.owed--
	return true
}

// Fraction returns the fraction of requests that run in another region.
func (s *Share) Fraction() float64 { return s.fraction }
