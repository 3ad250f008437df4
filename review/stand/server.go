package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/standin/freeport"
	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

// server is a sound backend server.
type server struct {
	standin.ServerEntry
	rec   *record
	queue int
	work  time.Duration

	mu      sync.Mutex
	running int
	waiting int
	slots   chan struct{}
	// leaving is set from the beginning of a planned shutdown on.
	leaving bool
	// arrivals are the requests that arrived, in order.
	arrivals []arrival
}

// arrival is a request that reached a server, other than one that got 421.
type arrival struct {
	at time.Time
	id string
}

// newServer returns a server with an address of its own that has not been started.
func newServer(rec *record, id, pool, domain string, slots, queue int, work time.Duration) (*server, error) {
	address, err := freeport.Address()
	if err != nil {
		return nil, err
	}
	return &server{
		ServerEntry: standin.ServerEntry{ID: id, Pool: pool, Address: address, Domain: domain, Slots: slots, StartedMS: time.Now().UnixMilli()},
		rec:         rec, queue: queue, work: work, slots: make(chan struct{}, slots),
	}, nil
}

func (s *server) start() error {
	l, err := net.Listen("tcp4", s.Address)
	if err != nil {
		return err
	}
	web := &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = web.Serve(l) }() // until the script ends
	return nil
}

// setLeaving begins a planned shutdown: from now on all answers say so.
func (s *server) setLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// ServeHTTP handles a request or a health check.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	if r.URL.Path == "/healthz" {
		s.health(w)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.ID {
		h.Set("X-Instance-Id", s.ID)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{time.Now(), id})
	if s.leaving {
		h.Set("Server-Leaving", "1")
	}
	if s.waiting >= s.queue {
		s.mu.Unlock()
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.waiting++
	s.mu.Unlock()
	ms, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	select {
	case s.slots <- struct{}{}:
	case <-deadline:
		s.count(-1, 0)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		s.count(-1, 0)
		return
	}
	s.count(-1, 1)
	s.rec.printf("%s runs %s", s.ID, id)
	status := http.StatusOK
	select {
	case <-time.After(s.work):
	case <-deadline:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		s.rec.printf("%s: the connection of %s closed while it ran", s.ID, id)
		<-s.slots
		s.count(0, -1)
		return
	}
	<-s.slots
	s.count(0, -1)
	s.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.Slots)
	if s.leaving {
		h.Set("Server-Leaving", "1")
	}
	s.mu.Unlock()
	h.Set("X-Server-Load", load)
	h.Set("X-Server-Stamp", s.ID+"."+id)
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}

func (s *server) count(waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += waiting
	s.running += running
}

func (s *server) health(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("X-Instance-Id", s.ID)
	if s.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
