package steer

import (
	"bytes"
	stderrors "errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// connPhase says what a caller's connection is doing.
type connPhase int

const (
	connNew     connPhase = iota // accepted, nothing has arrived yet
	connActive                   // a request is being read or processed
	connIdle                     // between two requests
	connClosing                  // idle, and its reader has been told to close it
)

// callerConns tracks the open connections of callers.
type callerConns struct {
	mu    sync.Mutex // guards conns, and is held only briefly
	conns map[*callerConn]struct{}
}

// callerConn is a connection of a caller. It decides whether a request or the close
// of the idle connection comes first: only the goroutine that reads requests from the
// connection closes it, after it has found that nothing arrived. A close by another
// goroutine could cut off a request that has just been read, but that net/http does not
// report as active yet.
type callerConn struct {
	net.Conn

	mu    sync.Mutex // guards the fields below, and is never held during I/O
	phase connPhase
	// http2 is set if the connection carries HTTP/2. What arrives on it may be no
	// request, so that only net/http knows when one begins.
	http2 bool
	// readDeadline is the deadline that net/http has set.
	readDeadline time.Time
}

// expired is a read deadline in the past. It wakes a goroutine that waits for data.
var expired = time.Unix(1, 0)

// Read reads from the connection. While the connection is closing, it fails unless
// data has arrived.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.arrived(p[:n])
			return n, err
		}
		// The deadline may have passed after data arrived. Nothing but the close comes
		// after this check, so that a request is lost only if it arrives in between.
		if !c.isClosing() || !stderrors.Is(err, os.ErrDeadlineExceeded) || !hasUnreadData(c.Conn) {
			return n, err
		}
		c.setActive()
	}
}

// SetReadDeadline sets the deadline for reads, which takes effect once the connection
// is no longer closing.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.phase == connClosing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending side of the connection. net/http uses it so that the
// answer to a request whose body it does not read arrives before the connection is reset.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// http2Preface begins what a caller sends on an HTTP/2 connection.
const http2Preface = "PRI"

// arrived notes that data has been read from the connection.
func (c *callerConn) arrived(data []byte) {
	c.mu.Lock()
	if c.phase == connNew && bytes.HasPrefix(data, []byte(http2Preface)) {
		c.http2 = true
	}
	isRequest := !c.http2
	c.mu.Unlock()
	if isRequest {
		c.setActive()
	}
}

// setActive notes that a request has begun to arrive. A close that has not happened
// yet is called off.
func (c *callerConn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connClosing {
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only if the connection is closed
	}
	c.phase = connActive
}

// setIdle notes that the connection is between two requests.
func (c *callerConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = connIdle
}

func (c *callerConn) isClosing() bool { return c.currentPhase() == connClosing }

func (c *callerConn) currentPhase() connPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// closeIfIdle tells the reader of an idle connection to close it, unless a request
// arrives first. It reports whether the connection was idle.
func (c *callerConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != connIdle {
		return false
	}
	c.phase = connClosing
	_ = c.Conn.SetReadDeadline(expired) // fails only if the connection is closed
	return true
}

// callerListener accepts connections of callers as *callerConn.
type callerListener struct{ net.Listener }

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}

// track is the http.Server.ConnState hook. The server calls it from the goroutine that
// reads from the connection, or before that goroutine starts.
func (l *callerConns) track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return // not accepted by a callerListener
	}
	switch state {
	case http.StateNew:
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.conns == nil {
			l.conns = map[*callerConn]struct{}{}
		}
		l.conns[c] = struct{}{}
	case http.StateActive:
		// A request that was already in the server's buffer needs no read.
		c.setActive()
	case http.StateIdle:
		c.setIdle()
	default:
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
	}
}

// open returns the open connections.
func (l *callerConns) open() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*callerConn, 0, len(l.conns))
	for c := range l.conns {
		list = append(list, c)
	}
	return list
}

// count returns the number of open connections, and how many of them are idle.
func (l *callerConns) count() (open, idle int) {
	list := l.open()
	for _, c := range list {
		if c.currentPhase() == connIdle {
			idle++
		}
	}
	return len(list), idle
}

// closeIdle begins to close up to limit idle connections.
func (l *callerConns) closeIdle(limit int) {
	for _, c := range l.open() {
		if limit <= 0 {
			return
		}
		if c.closeIfIdle() {
			limit--
		}
	}
}
