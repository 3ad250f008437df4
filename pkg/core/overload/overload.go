// Package overload decides which requests an entry host takes when its own
// processor time does not suffice. Requests then wait unread, and are sent on
// after their callers have left. It is free of I/O: the caller measures how
// late the process reads what has arrived.
package overload

import (
	"sync"
	"time"
)

const (
	// Interval is the time between two measurements of the lateness.
	Interval = 25 * time.Millisecond
	// Full is the default of the lateness at which all requests are rejected: a
	// fraction of the usual latency objectives of 200 ms and more.
	Full = 150 * time.Millisecond
	// startShare of the full lateness is where the least urgent requests begin to
	// be rejected, 25 ms by default. A process that is busy for three quarters of
	// its time reads 14 ms late at most, on average over half a second.
	startShare = 1.0 / 6
	// latest bounds a measurement: a process that was stopped for seconds is not
	// overloaded once it goes on.
	latest = 250 * time.Millisecond
	// behindTime is how long a process counts as behind. It is longer than the age
	// at which a copy of the store is taken for a sign of an outage (2.5 s).
	behindTime = 4 * time.Second
	// weight of a new measurement in the mean, so that one late read among
	// punctual ones rejects nothing.
	weight = 0.3
)

// Guard rejects requests by the lateness of the process. It is safe for
// concurrent use.
type Guard struct {
	mu         sync.Mutex
	mean, full time.Duration
	behind     time.Time // of the last measurement of latest or more
}

// New returns a Guard. full is the lateness at which it rejects all requests.
func New(full time.Duration) *Guard { return &Guard{full: full} }

// SetFull changes the lateness at which all requests are rejected.
func (g *Guard) SetFull(full time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.full = full
}

// Measure takes in how late the process read, or how late it is already.
func (g *Guard) Measure(now time.Time, late time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if late >= latest {
		g.behind = now
	}
	late = min(max(late, 0), latest)
	g.mean += time.Duration(weight * float64(late-g.mean))
}

// Behind reports whether the process was so late lately that it may have missed
// what others were in time for, or stood still.
func (g *Guard) Behind(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.behind.IsZero() && now.Sub(g.behind) < behindTime
}

// Late returns the mean lateness.
func (g *Guard) Late() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mean
}

// excess is 0 up to the lateness at which rejections start and 1 at the full
// one.
func (g *Guard) excess() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	start := startShare * float64(g.full)
	return max(0, (float64(g.mean)-start)/(float64(g.full)-start))
}

// Overloaded reports whether the least urgent requests may be rejected.
func (g *Guard) Overloaded() bool { return g.excess() > 0 }

// Rejects reports whether a request is rejected. level is the place of its
// route's priority among the levels in use, 0 for the most urgent; draw is a
// random number from 0 to 1. Less urgent requests are rejected first, all of
// them before any more urgent one.
func (g *Guard) Rejects(level, levels int, draw float64) bool {
	return draw < float64(levels)*g.excess()-float64(levels-1-level)
}
