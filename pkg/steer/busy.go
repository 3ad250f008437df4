package steer

import (
	"net"
	"net/http"
	"sync"
)

// busyConns are the connections of callers that are new or have a request.
type busyConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// track is the ConnState hook of the server.
func (b *busyConns) track(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		if b.conns == nil {
			b.conns = map[net.Conn]struct{}{}
		}
		b.conns[c] = struct{}{}
		return
	}
	delete(b.conns, c)
}

func (b *busyConns) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}
