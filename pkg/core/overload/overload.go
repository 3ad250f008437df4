// Package overload sheds load when the processor time of an entry host does not
// suffice. Without it, requests would wait unread and be forwarded after their
// callers have given up. The signal is the lateness of the process: the time from
// the arrival of data to when the process reads it. The package performs no I/O;
// the caller measures the lateness.
package overload

import (
	"sync"
	"time"
)

const (
	// MeasureInterval is the time between two measurements of the lateness.
	MeasureInterval = 25 * time.Millisecond
	// DefaultFullLateness is the default of the lateness at which all requests are rejected. It
	// is a fraction of the usual latency objectives, which are 200 ms and more.
	DefaultFullLateness = 150 * time.Millisecond
	// startFraction is the fraction of the full lateness above which the least
	// urgent requests are rejected, 25 ms by default. The lateness of a process
	// that is busy for three quarters of its time is at most 14 ms, averaged over
	// half a second.
	startFraction = 1.0 / 6
	// maxLateness caps each measurement, since a process that was stopped for
	// seconds is not overloaded once it continues.
	maxLateness = 250 * time.Millisecond
	// behindDuration is how long a process counts as behind after a measurement of
	// maxLateness or more. It is longer than the age above which a copy of the
	// store is taken as a sign of an outage (2.5 s).
	behindDuration = 4 * time.Second
	// peakWindow is the time over which the highest lateness counts as recent.
	peakWindow = time.Second
	// maxPeak bounds the highest lateness: a process that was stopped for seconds and
	// continues is not late any more.
	maxPeak = 500 * time.Millisecond
	// ewmaWeight is the weight of a new measurement in the moving average. It is
	// small enough that a single late measurement among timely ones rejects
	// nothing, up to a lateness of about 80 ms if the full lateness has its default.
	ewmaWeight = 0.3
)

// Guard decides which requests are rejected, by the lateness of the process. It
// is safe for concurrent use.
type Guard struct {
	mu sync.Mutex
	// ewma is the moving average of the lateness; full is the lateness at which
	// all requests are rejected.
	ewma, full time.Duration
	// lastBehind is the time of the last measurement of maxLateness or more.
	lastBehind time.Time
	// peak is the highest lateness of the last peakWindow, measured at peakAt.
	peak   time.Duration
	peakAt time.Time
}

// New returns a Guard. full is the lateness at which it rejects all requests.
func New(full time.Duration) *Guard { return &Guard{full: full} }

// SetFull changes the lateness at which all requests are rejected.
func (g *Guard) SetFull(full time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.full = full
}

// Measure records one measurement: how late the process read, or how late a
// pending read already is.
func (g *Guard) Measure(now time.Time, late time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if late >= maxLateness {
		g.lastBehind = now
	}
	if late >= g.peak || now.Sub(g.peakAt) > peakWindow {
		g.peak, g.peakAt = late, now
	}
	late = min(max(late, 0), maxLateness)
	g.ewma += time.Duration(ewmaWeight * float64(late-g.ewma))
}

// Behind reports whether the process was recently so late that it may have been
// stopped, or may have missed events that other hosts handled in time.
func (g *Guard) Behind(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.lastBehind.IsZero() && now.Sub(g.lastBehind) < behindDuration
}

// Lateness returns the moving average of the lateness.
func (g *Guard) Lateness() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ewma
}

// Peak returns the highest lateness of about the last second, up to maxPeak: how long
// ago an event may have happened that the process learns of now.
func (g *Guard) Peak(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.peakAt) > peakWindow {
		return 0
	}
	return min(max(g.peak, 0), maxPeak)
}

// excess returns how far the process is overloaded: 0 up to the lateness at which
// rejections start, and 1 at the full lateness.
func (g *Guard) excess() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	start := startFraction * float64(g.full)
	return max(0, (float64(g.ewma)-start)/(float64(g.full)-start))
}

// Overloaded reports whether the least urgent requests may be rejected.
func (g *Guard) Overloaded() bool { return g.excess() > 0 }

// Rejects reports whether a request is rejected. levels is the number of different
// priorities of the routes; level is the rank of the request's priority among
// them, 0 for the most urgent. draw is a random number, uniform in [0, 1). The
// least urgent requests are rejected first; more urgent ones only once all less
// urgent ones are rejected.
func (g *Guard) Rejects(level, levels int, draw float64) bool {
	return draw < float64(levels)*g.excess()-float64(levels-1-level)
}
