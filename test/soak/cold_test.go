package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

const (
	// coldPerS is the number of requests per second that a cold server can serve.
	coldPerS = 5
	// coldFor is how long a server is cold after its start.
	coldFor = 3 * time.Second
	// coldBound is the number of requests in a second that is still allowed for a cold
	// server, of all hosts together: a half more and five.
	coldBound = coldPerS + coldPerS/2.0 + 5
)

// coldServer checks the rate of the requests to a server while it is cold.
type coldServer struct {
	standin.ServerEntry
	recorder *recorder

	mu   sync.Mutex
	runs []coldRun // of the last second
}

// coldRun is a request that a cold server runs.
type coldRun struct{ sent, arrived time.Time }

// check reports a violation if the server is cold and more requests were sent and arrived
// within a second than it may get.
func (c *coldServer) check(id string) {
	now := time.Now()
	if now.Sub(time.UnixMilli(c.StartedMS)) >= c.ColdFor {
		return
	}
	c.recorder.mu.Lock()
	sent := c.recorder.sentAt[id]
	c.recorder.mu.Unlock()
	c.mu.Lock()
	c.runs = slices.DeleteFunc(append(c.runs, coldRun{sent, now}), func(r coldRun) bool { return now.Sub(r.arrived) >= time.Second })
	n := 0
	for _, r := range c.runs {
		if now.Sub(r.sent) < time.Second {
			n++
		}
	}
	c.mu.Unlock()
	if float64(n) > coldBound {
		c.recorder.addViolation("request %s is number %d within a second at the cold server %s", id, n, c.ID)
	}
}
