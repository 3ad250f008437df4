package steer

import (
	"net"
	"net/http"
	"sync"
)

// callerConns tracks the open connections of callers and their states.
type callerConns struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// track is the http.Server.ConnState hook.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive, http.StateIdle:
		if c.states == nil {
			c.states = map[net.Conn]http.ConnState{}
		}
		c.states[conn] = state
	default:
		delete(c.states, conn)
	}
}

// busy returns the number of connections that are not idle: those that have sent
// nothing yet, and those with a request in progress.
func (c *callerConns) busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, state := range c.states {
		if state != http.StateIdle {
			n++
		}
	}
	return n
}

// closeIdle closes the keep-alive connections that are between requests.
func (c *callerConns) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.states {
		if state == http.StateIdle {
			_ = conn.Close() // an error loses no answer: no request is in progress
		}
	}
}
