package forward

import (
	"sync"
	"time"
)

// Settings of restLimit.
const (
	// restLeast is the shortest rest that the limit forbids; requests that follow
	// each other sooner find the connection in use.
	restLeast = 50 * time.Millisecond
	// restMemory is how long a forgotten connection lowers the limit. Servers
	// that forget connections mostly do so for seconds.
	restMemory = 8 * time.Second
	// resetSlack is the time beyond a round trip within which a server answers
	// with a reset if it does not know the connection. Work takes longer.
	resetSlack = 15 * time.Millisecond
)

// restLimit learns for how long connections may rest before servers forget
// them without notice. What is sent on such a connection is lost, and a write
// must not be sent again. It is safe for concurrent use.
type restLimit struct {
	mu    sync.Mutex
	limit time.Duration
	until time.Time
}

// forgotten records that a server did not know a connection that had rested.
func (l *restLimit) forgotten(now time.Time, rested time.Duration) {
	if rested < restLeast {
		return // too short to be the reason
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := max(rested/2, restLeast)
	if now.Before(l.until) {
		limit = min(limit, l.limit)
	}
	l.limit, l.until = limit, now.Add(restMemory)
}

// atMost returns how long a connection may have rested, at most otherwise.
func (l *restLimit) atMost(now time.Time, otherwise time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.until) {
		return min(l.limit, otherwise)
	}
	return otherwise
}
