package soak

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkFaults are the ways in which a link misbehaves.
type linkFaults struct {
	// dropThere and dropBack lose what is sent to the target, and its answers.
	dropThere, dropBack bool
	delay               time.Duration
}

// link is what all proxies have in common.
type link struct {
	mu     sync.Mutex
	faults linkFaults
}

func (l *link) set(f linkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// pass returns the link's delay and whether the data arrives.
func (l *link) pass(back bool) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults
	return f.delay, !(f.dropThere && !back || f.dropBack && back)
}

// randomFaults returns a silent, one-way or slow link.
func randomFaults(rng *rand.Rand) linkFaults {
	switch rng.IntN(4) {
	case 0:
		return linkFaults{dropThere: true, dropBack: true}
	case 1:
		return linkFaults{dropThere: true}
	case 2:
		return linkFaults{dropBack: true}
	}
	return linkFaults{delay: time.Duration(20+rng.IntN(300)) * time.Millisecond}
}

// proxy passes TCP connections on and misbehaves on request.
type proxy struct {
	link
	listener net.Listener

	connsMu sync.Mutex
	target  string
	conns   map[net.Conn]bool
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp4", p.current())
		if err != nil {
			reset(in)
			continue
		}
		p.connsMu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.connsMu.Unlock()
		go p.copy(out, in, false)
		go p.copy(in, out, true)
	}
}

func (p *proxy) current() string {
	p.connsMu.Lock()
	defer p.connsMu.Unlock()
	return p.target
}

// retarget gives the proxy's address to another target.
func (p *proxy) retarget(target string) {
	p.connsMu.Lock()
	defer p.connsMu.Unlock()
	p.target = target
}

func (p *proxy) copy(to, from net.Conn, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		delay, arrives := p.pass(back)
		time.Sleep(delay)
		if arrives && n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	p.connsMu.Lock()
	delete(p.conns, to)
	delete(p.conns, from)
	p.connsMu.Unlock()
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.connsMu.Lock()
	defer p.connsMu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// relay passes datagrams on and misbehaves on request. Each sender gets a
// socket of its own towards the target, so that answers find their way back.
type relay struct {
	link
	conn   *net.UDPConn
	target netip.AddrPort

	flowsMu sync.Mutex
	flows   map[netip.AddrPort]*net.UDPConn
	closed  bool
}

func newRelay(listen, target string) (*relay, error) {
	to, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	r := &relay{conn: conn, target: to, flows: map[netip.AddrPort]*net.UDPConn{}}
	go r.receive()
	return r, nil
}

const datagramBytes = 64 << 10

func (r *relay) receive() {
	buf := make([]byte, datagramBytes)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if out := r.flow(from); out != nil {
			r.send(buf[:n], false, func(b []byte) { _, _ = out.Write(b) }) // a datagram may be lost
		}
	}
}

// send passes a datagram on after the link's delay.
func (r *relay) send(b []byte, back bool, write func([]byte)) {
	delay, arrives := r.pass(back)
	switch {
	case !arrives:
	case delay == 0:
		write(b)
	default:
		b = bytes.Clone(b)
		time.AfterFunc(delay, func() { write(b) })
	}
}

// flow returns the socket of a sender, or nil if there is none to be had.
func (r *relay) flow(from netip.AddrPort) *net.UDPConn {
	r.flowsMu.Lock()
	defer r.flowsMu.Unlock()
	if out := r.flows[from]; out != nil || r.closed {
		return out
	}
	out, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil
	}
	r.flows[from] = out
	go func() {
		buf := make([]byte, datagramBytes)
		for {
			n, err := out.Read(buf)
			if err != nil {
				if r.isClosed() {
					return
				}
				time.Sleep(time.Millisecond) // the target does not listen at the moment
				continue
			}
			r.send(buf[:n], true, func(b []byte) { _, _ = r.conn.WriteToUDPAddrPort(b, from) }) // as above
		}
	}()
	return out
}

func (r *relay) isClosed() bool {
	r.flowsMu.Lock()
	defer r.flowsMu.Unlock()
	return r.closed
}

func (r *relay) close() {
	r.flowsMu.Lock()
	defer r.flowsMu.Unlock()
	r.closed = true
	_ = r.conn.Close()
	for _, c := range r.flows {
		_ = c.Close()
	}
}

var _ io.Writer = (*tail)(nil)

// tail keeps the end of a process's log.
type tail struct {
	mu    sync.Mutex
	buf   []byte
	total int
}

const tailBytes = 256 << 10

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total += len(b)
	t.buf = append(t.buf, b...)
	if extra := len(t.buf) - tailBytes; extra > 0 {
		t.buf = append(t.buf[:0], t.buf[extra:]...)
	}
	return len(b), nil
}

// written returns the number of bytes ever written.
func (t *tail) written() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.buf)
}
