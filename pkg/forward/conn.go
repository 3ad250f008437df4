package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	errSealed  = errors.ConstError("request was given up before its first byte")
	errInvalid = errors.ConstError("request may no longer start")
	errStale   = errors.ConstError("connection is not confirmed alive")
)

// States of an attempt.
const (
	attemptFresh  = iota // no byte was offered to the connection
	attemptOpen          // bytes may have been written
	attemptSealed        // no byte was written and none will be
)

// attempt decides once whether the bytes of one request may be written to one
// connection, so that "not run" is reported only if none were.
type attempt struct {
	state atomic.Int32
	// valid and fresh are asked right before the first byte.
	valid func() bool
	fresh func() bool
	// reason says why the attempt was sealed by begin.
	reason atomic.Pointer[error]
}

// begin is called before every write.
func (a *attempt) begin() error {
	if a.state.Load() == attemptOpen {
		return nil
	}
	var err error = errSealed
	switch {
	case a.fresh != nil && !a.fresh():
		err = errStale
	case a.valid != nil && !a.valid():
		err = errInvalid
	case a.state.CompareAndSwap(attemptFresh, attemptOpen):
		return nil
	}
	if a.state.CompareAndSwap(attemptFresh, attemptSealed) {
		a.reason.Store(&err)
	}
	return err
}

// seal forbids later writes and reports whether no byte was written.
func (a *attempt) seal() bool {
	return a.state.CompareAndSwap(attemptFresh, attemptSealed) || a.state.Load() == attemptSealed
}

// stopped reports whether begin sealed the attempt because of err.
func (a *attempt) stopped(err error) bool {
	p := a.reason.Load()
	return p != nil && *p == err
}

// rawConn counts bytes and lets the attempt in progress decide about writes.
type rawConn struct {
	net.Conn
	attempt  atomic.Pointer[attempt]
	written  atomic.Int64
	received atomic.Int64
}

// Write sends b unless the attempt in progress forbids it.
func (c *rawConn) Write(b []byte) (int, error) {
	if a := c.attempt.Load(); a != nil {
		if err := a.begin(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
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
	cc     *http.ClientConn
	pool   *pool
	reused bool
	// dialed is the time that it took to open the connection, over a round trip.
	dialed time.Duration
	// lastAnswer is when the last complete answer had been read.
	lastAnswer time.Time
	closed     sync.Once
}

// close closes the connection; a late answer cannot reach anyone.
func (c *conn) close() {
	c.closed.Do(func() {
		_ = c.cc.Close()
		// After an answer 101 net/http leaves the connection to its caller.
		_ = c.raw.Close()
		c.pool.gone()
	})
}

// release returns the connection to its pool if the exchange ended whole.
func (c *conn) release(whole bool) {
	if !whole || c.cc.Err() != nil || c.cc.Available() != 1 {
		c.close()
		return
	}
	c.raw.attempt.Store(nil)
	c.lastAnswer = c.pool.f.now()
	c.reused = true
	c.pool.put(c)
}

// age is the time since t by whichever of the monotonic and the wall clock
// advanced more: the monotonic clock stands still while a machine is
// suspended.
func age(now, t time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// dialKey carries a *rawConn pointer through http.Transport.NewClientConn.
type dialKey struct{}

// dial opens a connection to addr.
func (f *Forwarder) dial(ctx context.Context, p *pool) (*conn, error) {
	c, start := &conn{pool: p}, f.now()
	cc, err := f.transport.NewClientConn(context.WithValue(ctx, dialKey{}, c), "http", p.addr)
	if err != nil {
		return nil, err
	}
	c.cc, c.dialed = cc, f.now().Sub(start)
	return c, nil
}

// dialRaw is the DialContext of the transport.
func (f *Forwarder) dialRaw(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.ConnectTimeout)
	defer cancel()
	nc, err := f.cfg.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	raw := &rawConn{Conn: nc}
	if c, ok := ctx.Value(dialKey{}).(*conn); ok {
		c.raw = raw
	}
	return raw, nil
}
