package forward

import (
	"net/http"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/conns"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/intake"
)

// stream is an answer that is passed on to its caller while it arrives. A caller that reads
// slowly keeps a connection to the server from others.
type stream struct {
	conn   *conn       // to the server
	caller *conns.Conn // nil if it is not known
	rc     *http.ResponseController

	mu           sync.Mutex // guards the fields below
	blocked      time.Duration
	blockedSince time.Time // zero unless a write is in progress
	ended        bool      // rc must no longer be used
}

// beginWrite and endWrite enclose a write to the caller.
func (s *stream) beginWrite() {
	s.caller.BeginWait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blockedSince = time.Now()
}

func (s *stream) endWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocked += time.Since(s.blockedSince)
	s.blockedSince = time.Time{}
	s.caller.EndWait()
}

// state returns how long the caller has kept the stream waiting.
func (s *stream) state(now time.Time) intake.Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	blocked := s.blocked
	if !s.blockedSince.IsZero() {
		blocked += now.Sub(s.blockedSince)
	}
	return intake.Stream{Blocked: blocked}
}

// cut ends the stream: it closes the connection to the server, and ends a write to the caller.
func (s *stream) cut() {
	s.conn.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		_ = s.rc.SetWriteDeadline(past) // fails only if the connection is closed
	}
}

func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// streams are the answers that are passed on at the moment.
type streams struct {
	mu  sync.Mutex
	all map[*stream]struct{}
}

// add adds a stream until the returned function is called, and returns how many there are.
func (l *streams) add(s *stream) (count int, remove func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[s] = struct{}{}
	return len(l.all), func() {
		s.end()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.all, s)
	}
}

// cutSlowest ends the stream of the slowest caller, among those from the server of p unless p
// is nil, and reports whether there was one.
func (l *streams) cutSlowest(p *pool) bool {
	l.mu.Lock()
	var list []*stream
	for s := range l.all {
		if p == nil || s.conn.pool == p {
			list = append(list, s)
		}
	}
	l.mu.Unlock()
	now := time.Now()
	states := make([]intake.Stream, len(list))
	for i, s := range list {
		states[i] = s.state(now)
	}
	i := intake.Slowest(states)
	if i < 0 {
		return false
	}
	l.remove(list[i])
	list[i].cut()
	return true
}

// remove forgets a stream before its handler returns, so that it is cut only once.
func (l *streams) remove(s *stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, s)
}
