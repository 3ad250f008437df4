package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/platform/standin"
)

// route is where a caller's requests go.
type route struct {
	host, prefix, method string
	timeout              time.Duration
}

// call is one request of a caller.
type call struct {
	id     string
	host   *entryHost
	sent   time.Time
	took   time.Duration
	status int // 0 if there was no complete answer
	err    error
	reused bool
	// leaving is the server that said in the answer that it leaves.
	leaving string
}

// callers sends requests at a constant rate, without waiting for answers.
type callers struct {
	rec       *record
	transport *keptConns
	wg        sync.WaitGroup

	mu    sync.Mutex
	calls []*call
}

func newCallers(rec *record) *callers {
	return &callers{rec: rec, transport: &keptConns{idle: map[string][]*keptConn{}}}
}

// send sends one request and records its answer. The caller waits for deadline.
func (c *callers) send(h *entryHost, r route, id string, key int, deadline time.Duration) {
	x := &call{id: id, host: h, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	spy := &leavingSpy{keptConns: c.transport}
	c.rec.printf("sent %s %s%s to %s", id, r.host, r.prefix, h.name)
	a, err := standin.Send(ctx, spy, standin.Request{
		Address: h.caller, Host: r.host, Method: r.method, Path: fmt.Sprintf("%so%d", r.prefix, key), ID: id, Key: fmt.Sprint(key), Deadline: deadline,
	})
	x.took, x.err, x.leaving, x.reused = time.Since(x.sent), err, spy.leaving, spy.reused
	if err == nil {
		x.status = a.Status
	}
	c.rec.printf("answer to %s from %s after %d ms: status %d %v %s", id, h.name, x.took.Milliseconds(), x.status, x.err, x.leaving)
	c.mu.Lock()
	c.calls = append(c.calls, x)
	c.mu.Unlock()
}

// run sends perSecond requests to each host until the time has passed.
func (c *callers) run(hosts []*entryHost, routes []route, perSecond, keys int, deadline, length time.Duration) {
	t := time.NewTicker(time.Second / time.Duration(perSecond*len(hosts)))
	defer t.Stop()
	end := time.After(length)
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-t.C:
		}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			r := routes[n/len(hosts)%len(routes)]
			c.send(hosts[n%len(hosts)], r, fmt.Sprintf("%s%06d-%d", r.method[:1], n, hosts[n%len(hosts)].cmd.Process.Pid), n*7%keys, deadline)
		}()
	}
}

// fill opens connections to a host and uses each once.
func (c *callers) fill(h *entryHost, r route, count int) {
	const atOnce = 100
	for begin := 0; begin < count; begin += atOnce {
		var held []*keptConn
		for range min(atOnce, count-begin) {
			conn, err := net.DialTimeout("tcp4", h.caller, time.Second)
			if err != nil {
				c.rec.printf("a connection to %s could not be opened: %v", h.name, err)
				continue
			}
			held = append(held, &keptConn{Conn: conn, r: bufio.NewReader(conn)})
		}
		for i, k := range held {
			// A path without a route: the host answers itself.
			_, _ = fmt.Fprintf(k, "GET /none HTTP/1.1\r\nHost: %s\r\nX-Request-Id: fill%s%d-%d\r\n\r\n", r.host, h.name, begin, i)
		}
		for _, k := range held {
			resp, err := http.ReadResponse(k.r, nil)
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			k.since = time.Now()
			c.transport.mu.Lock()
			c.transport.idle[h.caller] = append(c.transport.idle[h.caller], k)
			c.transport.mu.Unlock()
		}
	}
}

// leavingSpy notes the server of an answer that says that it leaves, and whether the
// request was sent on a kept connection.
type leavingSpy struct {
	*keptConns
	leaving string
	reused  bool
}

func (s *leavingSpy) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, reused, err := s.roundTrip(r)
	s.reused = reused
	if err == nil && resp.Header.Get("Server-Leaving") == "1" {
		s.leaving, _, _ = strings.Cut(resp.Header.Get("X-Server-Stamp"), ".")
	}
	return resp, err
}

// idleTime is how long a caller reuses an idle connection: four fifths of the limit
// that the tables set.
const idleTime = 12 * time.Second

// keptConns sends each request exactly once, on an idle connection or on a new one.
// http.Transport would send a GET request again if its connection is closed, with
// the same request ID.
type keptConns struct {
	mu   sync.Mutex
	idle map[string][]*keptConn
}

type keptConn struct {
	net.Conn
	r     *bufio.Reader
	since time.Time
}

// take returns an idle connection on which nothing has arrived, not even its end.
func (k *keptConns) take(address string) *keptConn {
	for {
		k.mu.Lock()
		list := k.idle[address]
		if len(list) == 0 {
			k.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		k.idle[address] = list[:len(list)-1]
		k.mu.Unlock()
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := c.r.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Since(c.since) < idleTime {
			return c
		}
		_ = c.Close()
	}
}

func (k *keptConns) roundTrip(r *http.Request) (_ *http.Response, reused bool, _ error) {
	address := r.URL.Host
	c := k.take(address)
	if reused = c != nil; !reused {
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			return nil, false, err
		}
		c = &keptConn{Conn: conn, r: bufio.NewReader(conn)}
	}
	deadline, _ := r.Context().Deadline()
	_ = c.SetDeadline(deadline)
	if err := r.Write(c); err != nil {
		_ = c.Close()
		return nil, reused, err
	}
	resp, err := http.ReadResponse(c.r, r)
	if err != nil {
		_ = c.Close()
		return nil, reused, err
	}
	resp.Body = &keptBody{resp.Body, k, c, address, resp.Close}
	return resp, reused, nil
}

// keptBody returns the connection to the idle ones once the body was read to its end.
type keptBody struct {
	io.ReadCloser
	conns    *keptConns
	conn     *keptConn
	address  string
	isClosed bool
}

func (b *keptBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || b.conn == nil {
		return n, err
	}
	c := b.conn
	b.conn = nil
	if err != io.EOF || b.isClosed {
		_ = c.Close()
		return n, err
	}
	c.since = time.Now()
	_ = c.SetDeadline(time.Time{})
	b.conns.mu.Lock()
	b.conns.idle[b.address] = append(b.conns.idle[b.address], c)
	b.conns.mu.Unlock()
	return n, err
}
