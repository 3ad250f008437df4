// Package pipenet is an in-memory network for tests in virtual time. Its
// connections block only on operations that testing/synctest regards as durably
// blocking. It can simulate the loss of connection state in the network, after
// which the connections are silent: writes are lost and a close is not seen by
// the other end.
package pipenet

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrRefused is returned by Dial if there is no listener, or if the listener is
// closed or ctx is done before the connection is accepted.
const ErrRefused = errors.ConstError("connection refused")

// maxPendingWrites is the number of writes that a connection buffers until the
// other end reads them.
const maxPendingWrites = 64

// Network connects dialers with listeners by name.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	silent    bool
	dials     int
	// nextID is the id of the next connection end. Ends with an id below
	// firstWithState have lost their state and are silent.
	nextID, firstWithState int
}

// New returns a network without listeners.
func New() *Network { return &Network{listeners: map[string]*listener{}} }

// SetSilent sets whether all connections are silent: they drop what is written
// and do not report that the other end closed, as when the network has lost
// the connection state.
func (n *Network) SetSilent(v bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = v
}

// LoseState makes all existing connections silent permanently. New connections
// work.
func (n *Network) LoseState() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.firstWithState = n.nextID
}

func (c *conn) isSilent() bool {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.network.silent || c.id < c.network.firstWithState
}

// Dials returns the number of calls of Dial.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// Listen adds a listener called name, or replaces the one of that name.
func (n *Network) Listen(name string) net.Listener {
	l := &listener{conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[name] = l
	return l
}

// Dial connects to the listener whose name is the host part of addr, and returns
// when the listener has accepted the connection.
func (n *Network) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	name, _, _ := net.SplitHostPort(addr)
	n.mu.Lock()
	l := n.listeners[name]
	n.dials++
	n.mu.Unlock()
	if l == nil {
		return nil, ErrRefused
	}
	a, b := net.Pipe()
	serverEnd := n.newConn(b)
	select {
	case l.conns <- serverEnd:
		return n.newConn(a), nil
	case <-l.done:
	case <-ctx.Done():
	}
	_ = serverEnd.Close()
	return nil, ErrRefused
}

type listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address{} }

// address is the address of every listener and connection end.
type address struct{}

func (address) Network() string { return "tcp" }
func (address) String() string  { return "127.0.0.1:1" }

// conn is one end of a connection. Like a socket, it buffers writes.
type conn struct {
	net.Conn
	network       *Network
	id            int
	pendingWrites chan []byte
	done          chan struct{}
	once          sync.Once
	// peerGone is closed when a write failed because the other end is closed.
	peerGone chan struct{}

	mu       sync.Mutex
	deadline time.Time // write deadline
}

// newConn makes c, one end of a pipe, an end of a connection in n and starts to
// forward its writes.
func (n *Network) newConn(c net.Conn) *conn {
	n.mu.Lock()
	n.nextID++
	id := n.nextID - 1
	n.mu.Unlock()
	p := &conn{Conn: c, network: n, id: id, pendingWrites: make(chan []byte, maxPendingWrites), done: make(chan struct{}), peerGone: make(chan struct{})}
	go p.forwardWrites()
	return p
}

// forwardWrites passes buffered writes to the pipe until the connection is closed.
// Like a socket, it still sends what was written before Close.
func (c *conn) forwardWrites() {
	defer func() { _ = c.Conn.Close() }()
	for {
		select {
		case b := <-c.pendingWrites:
			if _, err := c.Conn.Write(b); err != nil {
				close(c.peerGone)
				return
			}
		case <-c.done:
			c.flushPendingWrites()
			return
		}
	}
}

// flushPendingWrites sends the writes that are still buffered at Close.
func (c *conn) flushPendingWrites() {
	for {
		select {
		case b := <-c.pendingWrites:
			if _, err := c.Conn.Write(b); err != nil {
				return
			}
		default:
			return
		}
	}
}

// RemoteAddr implements net.Conn. Like LocalAddr, it returns an address in the
// form of a TCP address.
func (c *conn) RemoteAddr() net.Addr { return address{} }

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address{} }

// lingerTime is how long data written before Close is kept if the other end does
// not read it.
const lingerTime = time.Second

// Close implements net.Conn. It unblocks Read at once; forwardWrites closes the
// pipe after it has sent the buffered writes, or after lingerTime.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.done)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // in the past, to unblock Read
		_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	})
	return nil
}

func (c *conn) isClosed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// SetReadDeadline implements net.Conn. It fails after Close, so that it cannot
// replace the deadline that unblocks Read.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed() {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn. On a silent connection, it does not report that the
// other end closed but blocks until this end is closed.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && c.isSilent() {
		<-c.done
	}
	if err != nil && c.isClosed() {
		return n, net.ErrClosed
	}
	return n, err
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. It does not affect a write that is
// already blocked.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	if c.isSilent() {
		return len(b), nil
	}
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case c.pendingWrites <- append([]byte(nil), b...):
		return len(b), nil
	case <-c.done:
		return 0, net.ErrClosed
	case <-c.peerGone:
		return 0, io.ErrClosedPipe
	case <-expired:
		return 0, os.ErrDeadlineExceeded
	}
}

// closeDelay is longer than the delay after which net/http closes a connection
// whose request it did not read to the end. The function that Serve returns waits
// this long, so that such connections are closed when it returns.
const closeDelay = time.Second

// Serve runs s on a listener called name and returns a function that stops s.
func (n *Network) Serve(name string, s *http.Server) (stop func()) {
	l := n.Listen(name)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	return func() {
		_ = s.Close()
		<-done
		time.Sleep(closeDelay)
	}
}

// Script listens as name and calls f in a new goroutine for each connection. The
// connection is closed when f returns. index numbers the connections from 0. The
// returned function stops accepting connections.
func (n *Network) Script(name string, f func(index int, c net.Conn, r *bufio.Reader)) (stop func()) {
	l := n.Listen(name)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for index := 0; ; index++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				f(index, c, bufio.NewReader(c))
			}()
		}
	}()
	return func() {
		_ = l.Close()
		<-done
	}
}

// Answer returns a function for Script that reads one HTTP request and writes raw
// as the response.
func Answer(raw string) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, raw)
		}
	}
}
