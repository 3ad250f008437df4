package steer

import (
	"net/http"
	"runtime/debug"
	runtimemetrics "runtime/metrics"
	"sync"
	"time"

	conns "github.com/tamarackswitch/tamarackswitch/pkg/intake"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const (
	// memoryInterval is how often the memory of the process is checked.
	memoryInterval = 100 * time.Millisecond
	// turnedAwayInterval is the interval of the log lines about clients turned away.
	turnedAwayInterval = time.Second
	// shedShare is the part of the open connections that is closed at a time while too much
	// memory is in use: one in so many.
	shedShare = 4
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

// heap is the memory of the Go runtime, in bytes.
type heap struct {
	// held is what the runtime has from the system, live what was in use at the last garbage
	// collection.
	held, live int64
}

func measureHeap() heap {
	samples := []runtimemetrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}, {Name: "/gc/heap/live:bytes"},
	}
	runtimemetrics.Read(samples)
	return heap{held: int64(samples[0].Value.Uint64() - samples[1].Value.Uint64()), live: int64(samples[2].Value.Uint64())}
}

// checkMemory closes connections while clients hold too much memory, those that keep the
// process waiting first. If that does not suffice, new requests are rejected.
func (h *Host) checkMemory(time.Time) {
	m := measureHeap()
	if limit := h.shares.CollectorLimit(memoryLimitBytes, m.live); limit != h.collectorLimit {
		h.collectorLimit = limit
		debug.SetMemoryLimit(limit)
	}
	h.memoryFull.Store(m.held > h.shares.HeapBytes)
	if m.held <= h.shares.ShedBytes {
		return
	}
	for _, l := range h.listeners {
		l.Shed(1 + l.Count().Open/shedShare)
	}
}
