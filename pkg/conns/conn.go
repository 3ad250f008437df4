package conns

import (
	"context"
	stderrors "errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/intake"
)

// phase says what a client's connection is doing.
type phase int

const (
	phaseNew     phase = iota // accepted, nothing has arrived yet
	phaseActive               // a request is being read or processed
	phaseIdle                 // between two requests
	phaseClosing              // idle, and its reader has been told to close it
)

// Conn is a connection of a client. It decides whether a request or the close of the idle
// connection comes first: only the goroutine that reads requests from the connection closes
// it, after it has found that nothing arrived. A close by another goroutine could cut off a
// request that has just been read, but that net/http does not report as active yet.
type Conn struct {
	net.Conn
	listener *Listener

	mu    sync.Mutex // guards the fields below, and is never held during I/O
	phase phase
	// since is when the phase began.
	since time.Time
	// http2 is set if the connection carries HTTP/2, as its first bytes say. What arrives on
	// it may be no request, so that only net/http knows when one begins.
	http2 bool
	first []byte // the first bytes, up to the length of http2Start
	// hijacked is set if the connection no longer carries HTTP.
	hijacked bool
	// readDeadline is the deadline that net/http has set.
	readDeadline time.Time
	// headBytes is the length of what has arrived of the head of the next request.
	headBytes int64
	// writingSince is when the write in progress began, zero if there is none.
	writingSince time.Time
	// requests are the requests that handlers work on; waiting of them wait for the client.
	requests, waiting int
	// arrivedSinceBegin is set if data has arrived since the last request began, and
	// sentAhead if the client sends requests before it has the answer to the last one.
	arrivedSinceBegin, sentAhead bool
	// waited is how long all of them have waited since there was none, up to waitingSince,
	// which is zero unless all wait.
	waited       time.Duration
	waitingSince time.Time
	// streams counts the streams of HTTP/2; only the reading goroutine uses it.
	streams frameReader
	// ended counts the streams that their client did not cancel.
	ended int64

	closed sync.Once
}

// expired is a read deadline in the past. It wakes a goroutine that waits for data.
var expired = time.Unix(1, 0)

// Read reads from the connection. While the connection is closing, it fails unless
// data has arrived.
func (c *Conn) Read(p []byte) (int, error) {
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

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.setWriting(time.Now())
	defer c.setWriting(time.Time{})
	return c.Conn.Write(p)
}

func (c *Conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = since
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.closed.Do(func() {
		c.listener.remove(c)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.setHeadBytes(0)
	})
	return c.Conn.Close()
}

// SetReadDeadline sets the deadline for reads, which takes effect once the connection
// is no longer closing.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.phase == phaseClosing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending side of the connection. net/http uses it so that the
// answer to a request whose body it does not read arrives before the connection is reset.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// http2Start begins what a client sends on an HTTP/2 connection.
const http2Start = "PRI"

// arrived notes that data has been read from the connection.
func (c *Conn) arrived(data []byte) {
	c.mu.Lock()
	if before := len(c.first); before < len(http2Start) {
		c.first = append(c.first, data[:min(len(data), len(http2Start)-before)]...)
		if c.http2 = string(c.first) == http2Start; c.http2 {
			c.streams.read(c.first[:before])
		}
	}
	isHTTP2, ended := c.http2, c.ended
	c.sentAhead = c.sentAhead || !isHTTP2 && c.requests > 0 && c.waiting == 0
	c.arrivedSinceBegin = true
	c.mu.Unlock()
	if !isHTTP2 {
		c.setActive()
		if c.headArrived(len(data)) {
			c.listener.closeLongestHead()
		}
		return
	}
	c.streams.read(data)
	if intake.CancelsTooOften(c.streams.cancelled, ended) {
		c.listener.turnedAway(ReasonCancels)
		_ = c.Close() // the next read fails
	}
}

// setActive notes that a request has begun to arrive. A close that has not happened
// yet is called off.
func (c *Conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosing {
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only if the connection is closed
	}
	c.setPhase(phaseActive)
}

// headArrived notes that n bytes have arrived, and reports whether the heads that have arrived
// in part are too long in sum.
func (c *Conn) headArrived(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests > 0 {
		return false // of the body, or of the next request
	}
	return c.setHeadBytes(c.headBytes + int64(n))
}

// setHeadBytes sets headBytes, and reports whether the sum of all connections is too large.
// The caller holds the lock.
func (c *Conn) setHeadBytes(n int64) bool {
	sum := c.listener.headBytes.Add(n - c.headBytes)
	c.headBytes = n
	limit := c.listener.cfg.HeadBytes
	return limit > 0 && sum > limit
}

func (c *Conn) partOfHead() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headBytes
}

// setIdle notes that the connection is between two requests.
func (c *Conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPhase(phaseIdle)
}

func (c *Conn) hijack() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hijacked = true
}

// setPhase sets the phase. The caller holds the lock.
func (c *Conn) setPhase(p phase) {
	if c.phase != p {
		c.phase, c.since = p, time.Now()
	}
}

func (c *Conn) isClosing() bool { return c.currentPhase() == phaseClosing }

func (c *Conn) currentPhase() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// closeIfIdle tells the reader of an idle connection to close it, unless a request
// arrives first. It reports whether the connection was idle.
func (c *Conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseIdle {
		return false
	}
	c.setPhase(phaseClosing)
	_ = c.Conn.SetReadDeadline(expired) // fails only if the connection is closed
	return true
}

// state returns what the connection is doing.
func (c *Conn) state() intake.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseNew:
		return intake.State{Activity: intake.Silent, Since: c.since}
	case c.phase == phaseClosing || c.hijacked:
		return intake.State{Activity: intake.Busy}
	case !c.writingSince.IsZero():
		return intake.State{Activity: intake.Waiting, Since: c.writingSince}
	case c.requests > 0 && !c.waitingSince.IsZero():
		return intake.State{Activity: intake.Waiting, Since: c.waitingSince.Add(-c.waited)}
	case c.requests > 0:
		return intake.State{Activity: intake.Busy}
	case c.phase == phaseIdle:
		return intake.State{Activity: intake.Idle, Since: c.since}
	}
	return intake.State{Activity: intake.Waiting, Since: c.since} // a head arrives
}

// waitingRequests returns how many requests of the connection wait for its client.
func (c *Conn) waitingRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// Begin notes that a handler begins to work on a request. End must follow. Both do nothing if
// c is nil.
func (c *Conn) Begin() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setHeadBytes(0)
	c.requests++
	c.sentAhead = c.sentAhead || !c.http2 && !c.arrivedSinceBegin
	c.arrivedSinceBegin = false
	c.updateWait()
}

// sendsAhead reports whether the client sends requests of HTTP/1 ahead.
func (c *Conn) sendsAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentAhead
}

// End notes that the handler has returned. cancelled is set if the client has cancelled the
// request.
func (c *Conn) End(cancelled bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests--
	if !cancelled {
		c.ended++
	}
	c.updateWait()
	if c.requests == 0 {
		c.waited = 0
		if c.phase == phaseActive {
			c.since = time.Now() // the next request may have arrived
		}
	}
}

// updateWait notes whether all requests wait for the client now. The caller holds the lock.
func (c *Conn) updateWait() {
	switch all := c.requests > 0 && c.waiting >= c.requests; {
	case all && c.waitingSince.IsZero():
		c.waitingSince = time.Now()
	case !all && !c.waitingSince.IsZero():
		c.waited += time.Since(c.waitingSince)
		c.waitingSince = time.Time{}
	}
}

// BeginWait notes that a handler begins to wait for the client. EndWait must follow. Both do
// nothing if c is nil.
func (c *Conn) BeginWait() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting++
	c.updateWait()
}

// EndWait notes that the client has sent or taken something.
func (c *Conn) EndWait() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
	c.updateWait()
}

type contextKey struct{}

// Context adds a connection to the context of its requests. It is the http.Server.ConnContext
// hook.
func Context(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, conn)
	}
	return ctx
}

// FromContext returns the connection of a request, or nil if it is not known.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}
