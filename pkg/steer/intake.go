package steer

import (
	"net/http"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/conns"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const (
	// memoryInterval is how often the memory of the process is checked.
	memoryInterval = 100 * time.Millisecond
	// turnedAwayInterval is the interval of the log lines about clients turned away.
	turnedAwayInterval = time.Second
	// reasonSlowReader means that an answer was cut off because its caller read it slowly,
	// and another request needed the connection to the server.
	reasonSlowReader conns.Reason = "slow-reader"
)

// turnedAwayKey says where and why clients were turned away.
type turnedAwayKey struct {
	listener string
	reason   conns.Reason
}

// turnedAwayCounts counts the clients turned away since the last log line.
type turnedAwayCounts struct {
	mu     sync.Mutex
	counts map[turnedAwayKey]int
}

// add counts a client.
func (c *turnedAwayCounts) add(key turnedAwayKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[turnedAwayKey]int{}
	}
	c.counts[key]++
}

// take returns the counts and begins anew.
func (c *turnedAwayCounts) take() map[turnedAwayKey]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	c.counts = nil
	return counts
}

// turnedAway counts a client whose connection was closed, or whose request was rejected,
// because of a limit.
func (h *Host) turnedAway(listener string, reason conns.Reason) {
	h.metrics.turnedAway.WithLabelValues(listener, string(reason)).Inc()
	h.turnedAwayCounts.add(turnedAwayKey{listener, reason})
}

// logTurnedAway logs how many clients were turned away since the last time.
func (h *Host) logTurnedAway(time.Time) {
	for key, n := range h.turnedAwayCounts.take() {
		h.log.turnedAway(key, n)
	}
}

// rejectFull answers a request that is too many at a time.
func (h *Host) rejectFull(w http.ResponseWriter, r *http.Request) {
	x := &exchange{w: w, callerRequest: r, started: time.Now(), requestID: r.Header.Get(h.names.Headers.RequestID)}
	h.reject(x, result.New(result.HostOverloaded, "this host has no memory for more requests").WithRetryAfter(retryAfter(time.Second)))
}

// checkMemory turns clients away while they hold too much memory.
func (h *Host) checkMemory(time.Time) { h.memory.Check(h.listeners) }
