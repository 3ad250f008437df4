package forward

import (
	"sync"
	"time"
)

const (
	// minIdleLimit is the lowest value of the learned limit. A connection whose
	// requests follow each other sooner counts as in use, not as idle.
	minIdleLimit = 50 * time.Millisecond
	// idleLimitLifetime is how long a dropped connection keeps the limit low.
	// Servers that drop idle connections without notice mostly do so only for
	// some seconds.
	idleLimitLifetime = 8 * time.Second
	// resetMargin is the time beyond two dial times within which a server that
	// does not know a connection answers with a reset. Running a request takes
	// longer, so a failure after this time is not taken for such a reset.
	resetMargin = 15 * time.Millisecond
)

// learnedIdleLimit bounds the idle time of reused connections. It is learned
// from failures on connections that servers had dropped without notice while
// they were idle. What is sent on such a connection is lost, and a write must
// not be sent again. It is safe for concurrent use.
type learnedIdleLimit struct {
	mu        sync.Mutex
	limit     time.Duration
	expiresAt time.Time
}

// recordDropped records that a server had dropped a connection that was idle
// for the given time. It lowers the limit to half of that time.
func (l *learnedIdleLimit) recordDropped(now time.Time, idle time.Duration) {
	if idle < minIdleLimit {
		return // too short to be the cause
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := max(idle/2, minIdleLimit)
	if now.Before(l.expiresAt) {
		limit = min(limit, l.limit)
	}
	l.limit, l.expiresAt = limit, now.Add(idleLimitLifetime)
}

// clamp returns the longest idle time that is allowed now: maxIdle, or the
// learned limit if that is lower and has not expired.
func (l *learnedIdleLimit) clamp(now time.Time, maxIdle time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.expiresAt) {
		return min(l.limit, maxIdle)
	}
	return maxIdle
}
