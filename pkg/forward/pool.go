package forward

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	errTooManyConns   = errors.ConstError("connection limit of the server reached")
	errTooManyUploads = errors.ConstError("limit of the server's connections for uploads reached")
)

// pool holds the connections to one server.
type pool struct {
	f    *Forwarder
	addr string

	mu sync.Mutex
	// idle is ordered by the time of the last answer, the most recent last.
	idle          []*conn
	open          int       // open connections, including those being opened
	uploads       int       // those of them that carry an upload
	lastRequested time.Time // when get was last called
}

// get returns an idle connection whose last answer is at most maxAge old and on which
// the request with the given id was not refused before, or a new connection. Idle
// connections count towards the connection limit, so the oldest of them is closed if a
// new connection needs its place.
func (p *pool) get(ctx context.Context, maxAge time.Duration, requestID string) (*conn, error) {
	for {
		c := p.takeNewest(maxAge)
		if c == nil {
			break
		}
		if c.cc.Err() == nil && !c.hasRefused(requestID) {
			return c, nil
		}
		c.close()
	}
	return p.openConn(ctx, p.f.dial)
}

// getForUpload returns a new connection for one upload.
func (p *pool) getForUpload(ctx context.Context) (*conn, error) {
	if err := p.reserveUpload(); err != nil {
		return nil, err
	}
	c, err := p.openConn(ctx, p.f.dialUpload)
	if err != nil {
		p.unreserveUpload()
	}
	return c, err
}

// reserveUpload counts a connection that will carry an upload, if the limit allows one more.
func (p *pool) reserveUpload() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRequested = p.f.now()
	if p.uploads >= p.f.cfg.UploadsPerServer {
		return errTooManyUploads
	}
	p.uploads++
	return nil
}

func (p *pool) unreserveUpload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uploads--
}

// openConn opens a connection within the connection limit.
func (p *pool) openConn(ctx context.Context, dial func(context.Context, *pool) (*conn, error)) (*conn, error) {
	if err := p.reserve(); err != nil {
		return nil, err
	}
	c, err := dial(ctx, p)
	if err != nil {
		p.unreserve()
		return nil, err
	}
	return c, nil
}

// takeNewest removes and returns the most recently used idle connection. It
// returns nil if the last answer on it is older than maxAge.
func (p *pool) takeNewest(maxAge time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.f.now()
	p.lastRequested = now
	last := len(p.idle) - 1
	if last < 0 || age(now, p.idle[last].lastAnswer) > maxAge {
		return nil
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// reserve counts a connection that is about to be opened. At a limit it closes the oldest
// idle connection or that of the slowest reader, or fails if there is none.
func (p *pool) reserve() error {
	if limit := p.f.cfg.MaxConns; limit > 0 && p.f.open.Load() >= int64(limit) && !p.f.closeOldestIdle() && !p.f.cutSlowReader(nil) {
		return errTooManyConns
	}
	for !p.reserveOne() {
		if !p.closeFirstIdle() && !p.f.cutSlowReader(p) {
			return errTooManyConns
		}
	}
	return nil
}

// reserveOne counts a connection if the limit of the server allows one more.
func (p *pool) reserveOne() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.f.cfg.ConnsPerServer {
		return false
	}
	p.open++
	p.f.open.Add(1)
	return true
}

// closeFirstIdle closes the oldest idle connection and reports whether there was one.
func (p *pool) closeFirstIdle() bool {
	p.mu.Lock()
	if len(p.idle) == 0 {
		p.mu.Unlock()
		return false
	}
	oldest := p.idle[0]
	p.idle = append(p.idle[:0], p.idle[1:]...)
	p.mu.Unlock()
	oldest.close()
	return true
}

// oldestIdle returns when the last answer on the oldest idle connection was read, and false
// if there is none.
func (p *pool) oldestIdle() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return time.Time{}, false
	}
	return p.idle[0].lastAnswer, true
}

// closeOldestIdle closes the connection that was idle for the longest, of all servers, and
// reports whether there was one.
func (f *Forwarder) closeOldestIdle() bool {
	var chosen *pool
	var oldest time.Time
	for _, p := range f.allPools() {
		if at, ok := p.oldestIdle(); ok && (chosen == nil || at.Before(oldest)) {
			chosen, oldest = p, at
		}
	}
	return chosen != nil && chosen.closeFirstIdle()
}

// cutSlowReader ends the answer of the slowest caller, of the server of p unless p is nil, and
// reports whether there was one.
func (f *Forwarder) cutSlowReader(p *pool) bool {
	if !f.streams.cutSlowest(p) {
		return false
	}
	if f.cfg.OnSlowReader != nil {
		f.cfg.OnSlowReader()
	}
	return true
}

// unreserve stops counting a connection that was closed or could not be opened.
func (p *pool) unreserve() {
	p.f.open.Add(-1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// put makes c available to the next request. It closes c if there are enough
// idle connections or the Forwarder is closed.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	if p.f.stopped.Load() || len(p.idle) >= p.f.cfg.IdlePerServer {
		p.mu.Unlock()
		c.close()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// sweep closes connections that were idle for IdleTimeout and schedules itself
// again. It removes a pool that is no longer used, because the pools of servers
// that were removed from the tables would otherwise accumulate.
func (p *pool) sweep() {
	if p.f.stopped.Load() {
		return
	}
	p.closeIdle(func(c *conn, now time.Time) bool {
		return c.cc.Err() != nil || age(now, c.lastAnswer) >= p.f.cfg.IdleTimeout
	})
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	p.mu.Lock()
	unused := p.open == 0 && age(p.f.now(), p.lastRequested) >= p.f.cfg.IdleTimeout
	p.mu.Unlock()
	if unused {
		delete(p.f.pools, p.addr)
		return
	}
	time.AfterFunc(p.f.cfg.IdleTimeout, p.sweep)
}

// closeIdle closes the idle connections for which drop returns true.
func (p *pool) closeIdle(drop func(c *conn, now time.Time) bool) {
	p.mu.Lock()
	now := p.f.now()
	var keep, closing []*conn
	for _, c := range p.idle {
		if drop(c, now) {
			closing = append(closing, c)
		} else {
			keep = append(keep, c)
		}
	}
	p.idle = keep
	p.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
}

// closeIdleSilentSince closes the idle connections without an answer since t.
// It is called after a connection has stayed silent since t: its state may have
// been lost between the two ends, and that of the others with it.
func (p *pool) closeIdleSilentSince(t time.Time) {
	p.closeIdle(func(c *conn, _ time.Time) bool { return c.lastAnswer.Before(t) })
}
