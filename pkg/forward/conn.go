package forward

import (
	"context"
	stderrors "errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	errAttemptEnded  = errors.ConstError("attempt has already ended")
	errNoLongerValid = errors.ConstError("request must no longer be sent")
	errConnStale     = errors.ConstError("connection has been idle too long to carry a write")
)

// States of an attempt.
const (
	attemptUnsent    = iota // no byte was handed to the connection
	attemptStarted          // bytes may have been written
	attemptCancelled        // no byte was written and none will be
)

// attempt decides once whether the bytes of one request may be written to one
// connection: its state leaves attemptUnsent only once. A failed request is
// reported as not run only if no byte of it was written.
type attempt struct {
	state atomic.Int32
	// requestValid and connFresh are called right before the first byte is
	// written. If one of them returns false, nothing is written. Nil counts
	// as true.
	requestValid func() bool
	connFresh    func() bool
	// cancelReason is the error for which allowWrite cancelled the attempt.
	cancelReason atomic.Pointer[error]
}

// allowWrite is called before every write and returns an error if nothing may
// be written. The first call starts or cancels the attempt.
func (a *attempt) allowWrite() error {
	if a.state.Load() == attemptStarted {
		return nil
	}
	var err error = errAttemptEnded
	switch {
	case a.connFresh != nil && !a.connFresh():
		err = errConnStale
	case a.requestValid != nil && !a.requestValid():
		err = errNoLongerValid
	case a.state.CompareAndSwap(attemptUnsent, attemptStarted):
		return nil
	}
	if a.state.CompareAndSwap(attemptUnsent, attemptCancelled) {
		a.cancelReason.Store(&err)
	}
	return err
}

// cancelUnsent cancels the attempt unless it has started, and reports whether
// it is cancelled. If not, bytes may have been written.
func (a *attempt) cancelUnsent() bool {
	return a.state.CompareAndSwap(attemptUnsent, attemptCancelled) || a.state.Load() == attemptCancelled
}

// cancelledBy reports whether allowWrite cancelled the attempt because of err.
func (a *attempt) cancelledBy(err error) bool {
	p := a.cancelReason.Load()
	return p != nil && *p == err
}

// rawConn counts the bytes of a connection and asks the current attempt before
// each write.
type rawConn struct {
	net.Conn
	attempt  atomic.Pointer[attempt]
	written  atomic.Int64
	received atomic.Int64
	// stallLimit, if not 0, bounds each write, in nanoseconds.
	stallLimit atomic.Int64

	writing     sync.Mutex // held during a write; guards writeFailed
	writeFailed bool       // a write has failed, other than by its deadline
}

// limitStalls bounds each write from now on, also one that is in progress.
func (c *rawConn) limitStalls(limit time.Duration) {
	c.stallLimit.Store(int64(limit))
	_ = c.SetWriteDeadline(time.Now().Add(limit)) // fails only if the connection is closed
}

// Write sends b unless the current attempt forbids it.
func (c *rawConn) Write(b []byte) (int, error) {
	if a := c.attempt.Load(); a != nil {
		if err := a.allowWrite(); err != nil {
			return 0, err
		}
	}
	if limit := c.stallLimit.Load(); limit > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(time.Duration(limit)))
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	c.writeFailed = c.writeFailed || err != nil && !stderrors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// wasReset reports whether a write has failed because of the connection, and ends a write in
// progress. The kernel reports a reset once: if a write consumes the error, reads see the end
// of the stream instead.
func (c *rawConn) wasReset() bool {
	_ = c.SetWriteDeadline(past) // fails only if the connection is closed
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeFailed
}

// Read counts the received bytes.
func (c *rawConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// conn is one connection to a server.
type conn struct {
	raw    *rawConn
	cc     *http.ClientConn // nil if the connection carries an upload
	pool   *pool
	id     int64
	upload bool // it carries one request whose body is not fully buffered
	reused bool // an earlier exchange was completed on it
	// answers is the number of answers that were read to their end on it.
	answers int
	// echoesID is set once an answer on it carried the id of its request.
	echoesID bool
	// refused holds the ids of the writes that were refused on it. The server may send
	// such a refusal once more.
	refused []string
	// dialTime is how long it took to open the connection: at least one round
	// trip.
	dialTime time.Duration
	// lastAnswer is when the last complete answer had been read.
	lastAnswer time.Time
	closed     sync.Once
}

// close closes the connection, so that a late answer cannot reach another
// request.
func (c *conn) close() {
	c.closed.Do(func() {
		if c.cc != nil {
			_ = c.cc.Close()
		}
		// After a response with status 101, net/http does not close the
		// connection itself.
		_ = c.raw.Close()
		c.pool.unreserve()
		if c.upload {
			c.pool.unreserveUpload()
		}
	})
}

// maxRefusedWrites bounds the refusals of writes on one connection.
const maxRefusedWrites = 64

// hasRefused reports whether the request with the given id was refused on c. A copy of
// that refusal could not be told from the answer if the request were sent on c again.
func (c *conn) hasRefused(id string) bool { return slices.Contains(c.refused, id) }

// release returns the connection to its pool if the answer was read to its end
// and the connection can carry another request. Otherwise it closes it. A copy of an answer
// without an id could not be told from the next one. A connection that carried an upload is
// closed, too.
func (c *conn) release(complete bool) {
	unnamed := c.pool.f.cfg.Headers.ServersEchoID && !c.echoesID
	if !complete || unnamed || c.cc == nil || c.cc.Err() != nil || c.cc.Available() != 1 || len(c.refused) >= maxRefusedWrites {
		c.close()
		return
	}
	c.raw.attempt.Store(nil)
	c.lastAnswer = c.pool.f.now()
	c.reused = true
	c.answers++
	c.pool.put(c)
}

// age returns the time from t to now by the monotonic or the wall clock,
// whichever advanced more: the monotonic clock stands still while a machine is
// suspended.
func age(now, t time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// connContextKey is the context key of the *conn that dial passes to dialRaw
// through http.Transport.NewClientConn.
type connContextKey struct{}

// dial opens a connection to the server of p.
func (f *Forwarder) dial(ctx context.Context, p *pool) (*conn, error) {
	c, start := &conn{pool: p, id: f.lastConnID.Add(1)}, f.now()
	cc, err := f.transport.NewClientConn(context.WithValue(ctx, connContextKey{}, c), "http", p.addr)
	if err != nil {
		return nil, err
	}
	c.cc, c.dialTime = cc, f.now().Sub(start)
	return c, nil
}

// dialUpload opens a connection to the server of p for one upload.
func (f *Forwarder) dialUpload(ctx context.Context, p *pool) (*conn, error) {
	c, start := &conn{pool: p, id: f.lastConnID.Add(1), upload: true}, f.now()
	if _, err := f.dialRaw(context.WithValue(ctx, connContextKey{}, c), "tcp", p.addr); err != nil {
		return nil, err
	}
	c.dialTime = f.now().Sub(start)
	return c, nil
}

// dialRaw is the DialContext of the transport. It wraps the connection in a
// rawConn and stores that in the *conn of the context.
func (f *Forwarder) dialRaw(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.ConnectTimeout)
	defer cancel()
	nc, err := f.cfg.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	raw := &rawConn{Conn: nc}
	if c, ok := ctx.Value(connContextKey{}).(*conn); ok {
		c.raw = raw
	}
	return raw, nil
}
