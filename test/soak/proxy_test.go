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

// linkFaults describes the faults of a link.
type linkFaults struct {
	// dropForward drops the data sent to the target, dropBackward the data that the
	// target sends.
	dropForward, dropBackward bool
	// delay is added to the data in both directions.
	delay time.Duration
}

// link holds the faults that a tcpProxy or udpRelay applies.
type link struct {
	mu     sync.Mutex
	faults linkFaults
}

func (l *link) setFaults(f linkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// delivery returns the delay of data in one direction and whether it is
// delivered at all.
func (l *link) delivery(backward bool) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults
	return f.delay, !(f.dropForward && !backward || f.dropBackward && backward)
}

// randomLinkFaults returns faults that drop data in both directions or in one, or
// delay it.
func randomLinkFaults(rng *rand.Rand) linkFaults {
	switch rng.IntN(4) {
	case 0:
		return linkFaults{dropForward: true, dropBackward: true}
	case 1:
		return linkFaults{dropForward: true}
	case 2:
		return linkFaults{dropBackward: true}
	}
	return linkFaults{delay: time.Duration(20+rng.IntN(300)) * time.Millisecond}
}

// tcpProxy forwards TCP connections to a target and applies the link's faults.
type tcpProxy struct {
	link
	listener net.Listener

	// connsMu guards target and conns.
	connsMu sync.Mutex
	target  string
	conns   map[net.Conn]bool
}

func newTCPProxy(listen, target string) (*tcpProxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &tcpProxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *tcpProxy) address() string { return p.listener.Addr().String() }

func (p *tcpProxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp4", p.targetAddress())
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

func (p *tcpProxy) targetAddress() string {
	p.connsMu.Lock()
	defer p.connsMu.Unlock()
	return p.target
}

// retarget directs new connections to another target.
func (p *tcpProxy) retarget(target string) {
	p.connsMu.Lock()
	defer p.connsMu.Unlock()
	p.target = target
}

// copy forwards the data of one direction until either connection fails.
func (p *tcpProxy) copy(to, from net.Conn, backward bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		delay, arrives := p.delivery(backward)
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

// reset closes all open connections with a TCP reset.
func (p *tcpProxy) reset() {
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

func (p *tcpProxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// udpRelay forwards datagrams to a target and applies the link's faults. It uses
// one socket per sender towards the target, so that answers can be returned to
// the sender.
type udpRelay struct {
	link
	conn   *net.UDPConn
	target netip.AddrPort

	// flowsMu guards flows and closed.
	flowsMu sync.Mutex
	// flows holds the sockets towards the target by the address of the sender.
	flows  map[netip.AddrPort]*net.UDPConn
	closed bool
}

func newUDPRelay(listen, target string) (*udpRelay, error) {
	targetAddr, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	listenAddr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listenAddr))
	if err != nil {
		return nil, err
	}
	r := &udpRelay{conn: conn, target: targetAddr, flows: map[netip.AddrPort]*net.UDPConn{}}
	go r.receive()
	return r, nil
}

const maxDatagramBytes = 64 << 10

func (r *udpRelay) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if out := r.flow(from); out != nil {
			r.send(buf[:n], false, func(b []byte) { _, _ = out.Write(b) }) // UDP may lose datagrams, so errors are ignored
		}
	}
}

// send forwards a datagram with write after the link's delay, or drops it.
func (r *udpRelay) send(b []byte, backward bool, write func([]byte)) {
	delay, arrives := r.delivery(backward)
	switch {
	case !arrives:
	case delay == 0:
		write(b)
	default:
		b = bytes.Clone(b)
		time.AfterFunc(delay, func() { write(b) })
	}
}

// flow returns the socket for a sender and opens it if necessary. It returns nil
// if it cannot open the socket; a closed relay opens none.
func (r *udpRelay) flow(from netip.AddrPort) *net.UDPConn {
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
		buf := make([]byte, maxDatagramBytes)
		for {
			n, err := out.Read(buf)
			if err != nil {
				if r.isClosed() {
					return
				}
				time.Sleep(time.Millisecond) // reads fail while the target is not listening
				continue
			}
			r.send(buf[:n], true, func(b []byte) { _, _ = r.conn.WriteToUDPAddrPort(b, from) }) // UDP may lose datagrams, so errors are ignored
		}
	}()
	return out
}

func (r *udpRelay) isClosed() bool {
	r.flowsMu.Lock()
	defer r.flowsMu.Unlock()
	return r.closed
}

func (r *udpRelay) close() {
	r.flowsMu.Lock()
	defer r.flowsMu.Unlock()
	r.closed = true
	_ = r.conn.Close()
	for _, c := range r.flows {
		_ = c.Close()
	}
}

var _ io.Writer = (*logTail)(nil)

// logTail keeps the last maxTailBytes of the output of a host's processes.
type logTail struct {
	mu  sync.Mutex
	buf []byte
	// total is the number of bytes ever written.
	total int
}

const maxTailBytes = 256 << 10

func (t *logTail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total += len(b)
	t.buf = append(t.buf, b...)
	if extra := len(t.buf) - maxTailBytes; extra > 0 {
		t.buf = append(t.buf[:0], t.buf[extra:]...)
	}
	return len(b), nil
}

// written returns the number of bytes ever written.
func (t *logTail) written() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total
}

func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.buf)
}
