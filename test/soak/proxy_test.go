package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes loopback connections on and misbehaves on request.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	conns  map[net.Conn]bool
	silent bool // new and open connections pass nothing
	oneWay bool // answers are not passed
	delay  time.Duration
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
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
		out, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.copy(out, in, false)
		go p.copy(in, out, true)
	}
}

func (p *proxy) copy(to, from net.Conn, answers bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		drop, delay := p.silent || p.oneWay && answers, p.delay
		p.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 && !drop {
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
	p.mu.Lock()
	delete(p.conns, to)
	delete(p.conns, from)
	p.mu.Unlock()
}

// set changes how the proxy treats data.
func (p *proxy) set(silent, oneWay bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent, p.oneWay, p.delay = silent, oneWay, delay
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

var _ io.Writer = (*tail)(nil)

// tail keeps the end of a process's log.
type tail struct {
	mu  sync.Mutex
	buf []byte
}

const tailBytes = 256 << 10

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf = append(t.buf, b...)
	if extra := len(t.buf) - tailBytes; extra > 0 {
		t.buf = append(t.buf[:0], t.buf[extra:]...)
	}
	return len(b), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.buf)
}
