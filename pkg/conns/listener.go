// Package conns accepts the connections of clients, bounds how many are open and what they
// hold, and closes those that keep the process waiting when others need their place.
package conns

import (
	"math/bits"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/intake"
)

// Reason is why a connection was closed or a request rejected.
type Reason string

const (
	// ReasonWaiting means that its client kept the process waiting, and another one needed
	// the place. ReasonSilent and ReasonIdle mean that nothing had arrived, or nothing since
	// the last answer.
	ReasonWaiting Reason = "waiting"
	ReasonSilent  Reason = "silent"
	ReasonIdle    Reason = "idle"
	// ReasonFull means that there was no place and no connection to close for it.
	ReasonFull Reason = "full"
	// ReasonCancels means that the client cancelled most of its HTTP/2 streams.
	ReasonCancels Reason = "cancels"
	// ReasonMemory means that the memory of the process was used up.
	ReasonMemory Reason = "memory"
)

var reasonOf = map[intake.Activity]Reason{intake.Waiting: ReasonWaiting, intake.Silent: ReasonSilent, intake.Idle: ReasonIdle}

// sampleSize is the number of connections among which the one to close is chosen.
const sampleSize = 64

// Config describes a Listener.
type Config struct {
	// MaxConns is the largest number of open connections.
	MaxConns int
	// MaxRequests is the largest number of requests in progress; 0 means MaxConns.
	MaxRequests int
	// HeadBytes bounds the sum of the heads of HTTP/1 requests that have arrived in part; 0
	// means no limit.
	HeadBytes int64
	// SocketBuffer returns the size of the buffers of a connection that is accepted while
	// the given number is open. Nil leaves them to the system.
	SocketBuffer func(open int) int
	// Overloaded, if set, reports that the process has too little processor time.
	Overloaded func() bool
	// Full, if set, reports that no memory is left for further requests.
	Full func() bool
	// OnTurnedAway, if set, is called for each connection that is closed, and for each
	// request that is rejected, because of a limit.
	OnTurnedAway func(Reason)
}

// Listener accepts connections as *Conn.
type Listener struct {
	net.Listener
	cfg Config
	// bufferBytes is the size of the buffers of the connections that will be opened; only
	// Accept uses it.
	bufferBytes int
	// headBytes is the sum of the heads that have arrived in part.
	headBytes atomic.Int64

	mu       sync.Mutex // guards the fields below, and is held only briefly
	conns    map[*Conn]struct{}
	requests int
}

// NewListener returns a Listener that accepts the connections of l.
func NewListener(l net.Listener, cfg Config) *Listener {
	if cfg.MaxRequests == 0 {
		cfg.MaxRequests = cfg.MaxConns
	}
	listener := &Listener{Listener: l, cfg: cfg, conns: map[*Conn]struct{}{}}
	listener.limitBuffers(nil, 0)
	return listener
}

// Accept waits for the next connection. If the limit is reached, it closes another one for
// it, or the new one if the process works on requests of all others.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: accepted, listener: l, since: time.Now()}
		open := l.open()
		if open >= l.cfg.MaxConns && !l.closeOne() {
			l.turnedAway(ReasonFull)
			_ = accepted.Close() // nothing was read from it
			continue
		}
		l.add(c)
		l.limitBuffers(accepted, open)
		return c, nil
	}
}

// limitBuffers sets the buffers of the connections that will be opened, which inherit them
// from the listener, and those of a connection that may have been opened before they were
// made smaller. A window that is too large at the start cannot be taken back, and one that
// is too small cannot grow.
func (l *Listener) limitBuffers(accepted net.Conn, open int) {
	if l.cfg.SocketBuffer == nil {
		return
	}
	size := 1 << (bits.Len(uint(l.cfg.SocketBuffer(open))) - 1) // seldom another one
	if size != l.bufferBytes {
		l.bufferBytes = size
		setBuffers(l.Listener, size)
	}
	if size < l.cfg.SocketBuffer(0)/2 && accepted != nil {
		setBuffers(accepted, size)
	}
}

// setBuffers sets the buffers of a socket.
func setBuffers(socket any, size int) {
	c, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { limitBuffers(fd, size) }) // fails only if the socket is closed
	}
}

func (l *Listener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *Listener) add(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *Listener) turnedAway(r Reason) {
	if l.cfg.OnTurnedAway != nil {
		l.cfg.OnTurnedAway(r)
	}
}

// sample returns some connections; which ones is left to chance.
func (l *Listener) sample(size int) []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*Conn, 0, min(size, len(l.conns)))
	for c := range l.conns {
		if len(list) == size {
			break
		}
		list = append(list, c)
	}
	return list
}

// closeOne closes the connection of a sample that is to go first, and reports whether there
// was one.
func (l *Listener) closeOne() bool {
	conns := l.sample(sampleSize)
	states := make([]intake.State, len(conns))
	for i, c := range conns {
		states[i] = c.state()
	}
	i := intake.Choose(time.Now(), states)
	if i < 0 {
		return false
	}
	l.turnedAway(reasonOf[states[i].Activity])
	if states[i].Activity != intake.Idle || !conns[i].closeIfIdle() {
		_ = conns[i].Close()
	}
	return true
}

// closeMostWaiting closes the connection with the most requests that wait for their client,
// and reports whether there was one with several.
func (l *Listener) closeMostWaiting() bool {
	var chosen *Conn
	most := 1
	for _, c := range l.sample(l.cfg.MaxConns) {
		if n := c.waitingRequests(); n > most {
			chosen, most = c, n
		}
	}
	if chosen == nil {
		return false
	}
	l.turnedAway(ReasonWaiting)
	_ = chosen.Close()
	return true
}

// closeLongestHead closes the connection of a sample whose head, not yet at its end, is the
// longest.
func (l *Listener) closeLongestHead() {
	var chosen *Conn
	var longest int64
	for _, c := range l.sample(sampleSize) {
		if n := c.partOfHead(); n > longest {
			chosen, longest = c, n
		}
	}
	if chosen != nil {
		l.turnedAway(ReasonMemory)
		_ = chosen.Close()
	}
}

// shed closes up to n connections because too much memory is in use.
func (l *Listener) shed(n int) {
	for range n {
		if !l.closeMostWaiting() && !l.closeOne() {
			return
		}
	}
}

// Handler returns a handler that calls next for requests that arrived by this listener, and
// full for those that are too many at a time. The server has to call Begin and End.
func (l *Listener) Handler(next, full http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if c.sendsAhead() && l.isCrowded() {
			w.Header().Set("Connection", "close")
		}
		defer l.endRequest()
		switch {
		case !l.beginRequest() && !l.closeMostWaiting():
			l.turnedAway(ReasonFull)
			full.ServeHTTP(w, r)
		case l.cfg.Full != nil && l.cfg.Full():
			l.turnedAway(ReasonMemory)
			full.ServeHTTP(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// isCrowded reports whether clients that send requests ahead have to connect anew for each.
func (l *Listener) isCrowded() bool {
	return intake.Crowded(l.open(), l.cfg.MaxConns) || l.cfg.Overloaded != nil && l.cfg.Overloaded()
}

// beginRequest counts a request and reports whether it is within the limit.
func (l *Listener) beginRequest() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	return l.requests <= l.cfg.MaxRequests
}

func (l *Listener) endRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests--
}

// Track is the http.Server.ConnState hook. The server calls it from the goroutine that
// reads from the connection, or before that goroutine starts.
func (l *Listener) Track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return // not accepted by a Listener
	}
	switch state {
	case http.StateActive:
		// A request that was already in the server's buffer needs no read.
		c.setActive()
	case http.StateIdle:
		c.setIdle()
	case http.StateHijacked:
		c.hijack()
	}
}

// Counts are numbers of open connections.
type Counts struct {
	Open int
	// Idle and Closing are parts of Open: between two requests, and about to be closed.
	Idle, Closing int
}

// Count returns the numbers of open connections.
func (l *Listener) Count() Counts {
	list := l.sample(maxInt)
	n := Counts{Open: len(list)}
	for _, c := range list {
		switch c.currentPhase() {
		case phaseIdle:
			n.Idle++
		case phaseClosing:
			n.Closing++
		}
	}
	return n
}

const maxInt = int(^uint(0) >> 1)

// CloseIdle begins to close up to limit idle connections.
func (l *Listener) CloseIdle(limit int) {
	for _, c := range l.sample(maxInt) {
		if limit <= 0 {
			return
		}
		if c.closeIfIdle() {
			limit--
		}
	}
}
