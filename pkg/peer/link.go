package peer

import (
	"bytes"
	"context"
	stderrors "errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/juju/errors"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Reasons for which a link ends without a failure.
const (
	errIdle       = errors.ConstError("link idle")
	errSuperseded = errors.ConstError("link superseded")
)

// Keep-alive messages of one byte. They carry no envelope, because all they say is
// that the authenticated other end is alive.
const (
	ping = 0x00
	pong = 0x01
)

// link is an authenticated connection to another entry host.
type link struct {
	m          *Mesh
	ws         socket
	peer       Identity
	version    uint16
	dialed     bool // opened by this host, not by the other end
	openedAt   time.Time
	t          tomb.Tomb
	host       *host
	superseded chan struct{} // closed when another link becomes the current one
	pongs      chan struct{} // buffered; holds a value when a pong is due
	readErr    chan error    // result of receive

	// Times of the last receive, the last send and the last message other than a
	// ping or pong, in nanoseconds since openedAt.
	lastReceived, lastSent, lastUsed atomic.Int64
	bytesIn, bytesOut                atomic.Int64
	messagesIn, messagesOut          atomic.Int64
	receiveBucket, sendBucket        *rate.Limiter
	supersedeOnce                    sync.Once
	// lastPing is the time from openedAt to the last ping. It is used only on the
	// goroutine that runs transmit.
	lastPing time.Duration
}

func (m *Mesh) newLink(ws socket, id Identity, version uint16, dialed bool) *link {
	ws.SetReadLimit(MaxMessageBytes)
	return &link{
		m: m, ws: ws, peer: id, version: version, dialed: dialed, openedAt: time.Now(),
		superseded: make(chan struct{}), pongs: make(chan struct{}, 1), readErr: make(chan error, 1),
		receiveBucket: newReceiveLimiter(), sendBucket: rate.NewLimiter(sendRate, sendBurst),
	}
}

// ServeHTTP accepts a link from another host and serves it until it ends.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case m.handshakes <- struct{}{}:
	default:
		http.Error(w, "too many handshakes", http.StatusServiceUnavailable)
		return
	}
	release := sync.OnceFunc(func() { <-m.handshakes })
	defer release()
	if !m.trackGoroutine() {
		http.Error(w, "not running", http.StatusServiceUnavailable)
		return
	}
	defer m.wg.Done()
	hijacked := &hijackedConn{ResponseWriter: w}
	conn, err := websocket.Accept(hijacked, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	ws := socket{conn, hijacked.conn}
	ws.SetReadLimit(maxHandshakeBytes)
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout)
	id, version, err := m.handshakeAsListener(ctx, conn)
	cancel()
	release()
	if err != nil {
		rerr := linkError(err)
		ws.closeWithReason(rerr)
		m.report(r.RemoteAddr, rerr)
		return
	}
	m.serve(m.newLink(ws, id, version, false))
}

// adopt registers l. If its host already has a link, the method replaces decides
// which of the two is the current link, and the other is superseded. If l is of an
// older incarnation than the current link, it is rejected.
func (m *Mesh) adopt(l *link) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return errors.ConstError("mesh stopped")
	}
	h := m.hostLocked(l.peer.Name)
	cur := h.link
	if cur != nil && l.peer.Incarnation < cur.peer.Incarnation {
		return result.New(result.PeerAuthFailed, "%s has a link of a newer incarnation", l.peer.Name)
	}
	l.host = h
	m.links[l] = struct{}{}
	if cur != nil && !l.replaces(cur) {
		l.supersede()
		return nil
	}
	h.link = l
	if cur != nil {
		cur.supersede()
	}
	h.signal()
	return nil
}

// replaces reports whether l takes the place of cur, another link to the same
// host. Both ends come to the same decision: a newer incarnation wins, then the
// link dialed by the host with the smaller name, then the newer link.
func (l *link) replaces(cur *link) bool {
	if l.peer.Incarnation > cur.peer.Incarnation || l.dialed == cur.dialed {
		return true
	}
	return l.dialed == (l.m.cfg.Self.Name < l.peer.Name)
}

func (l *link) supersede() { l.supersedeOnce.Do(func() { close(l.superseded) }) }

// serve registers l and runs it until it ends.
func (m *Mesh) serve(l *link) {
	if err := m.adopt(l); err != nil {
		rerr := linkError(err)
		l.ws.closeWithReason(rerr)
		m.report(l.peer.Name, rerr)
		return
	}
	m.mu.Lock()
	if m.stopped {
		l.t.Kill(errors.ConstError("mesh stopped"))
	}
	m.mu.Unlock()
	// The first goroutine starts the second, because a tomb whose goroutines
	// have all ended accepts no more.
	l.t.Go(func() error {
		l.t.Go(l.transmitUntilEnd)
		err := l.receive()
		l.readErr <- err
		return err
	})
	<-l.t.Dying()
	l.ws.closeWithReason(l.t.Err())
	err := l.t.Wait()
	m.removeLink(l, err)
}

// removeLink unregisters l and ends the calls that wait for a reply over it.
func (m *Mesh) removeLink(l *link, err error) {
	var rerr *result.Error
	isError := stderrors.As(err, &rerr)
	if !isError {
		rerr = result.Wrap(err, result.HostUnreachable, "link closed")
	}
	m.mu.Lock()
	h := l.host
	delete(m.links, l)
	if h.link == l {
		h.link = nil
	}
	m.totals.add(l.counters())
	for id, c := range m.calls {
		if c.link == l {
			delete(m.calls, id)
			lost := *rerr
			c.err <- lost.WithRun(result.Unknown)
		}
	}
	if isError {
		h.lastError = rerr
	}
	if len(h.queue) > 0 {
		m.dialLocked(h)
	}
	m.removeUnusedLocked(h)
	m.mu.Unlock()
	if isError {
		m.report(l.peer.Name, rerr)
	}
}

// receive reads and delivers messages until the link ends.
func (l *link) receive() error {
	for {
		_, b, err := l.ws.Read(context.Background())
		if err != nil {
			return l.readError(err)
		}
		now := time.Now()
		l.lastReceived.Store(int64(now.Sub(l.openedAt)))
		l.messagesIn.Add(1)
		l.bytesIn.Add(frameBytes(len(b), !l.dialed))
		if !l.receiveBucket.AllowN(now, 1) {
			return result.New(result.PeerRateExceeded, "%s sent more than %d messages/s", l.peer.Name, ReceiveRate)
		}
		if len(b) == 1 && b[0] <= pong {
			if b[0] == ping {
				l.answerPing()
			}
			continue
		}
		l.lastUsed.Store(int64(now.Sub(l.openedAt)))
		if err := l.deliver(b); err != nil {
			return err
		}
	}
}

func (l *link) answerPing() {
	select {
	case l.pongs <- struct{}{}:
	default:
	}
}

// readError distinguishes a regular close by the other end from a failure.
func (l *link) readError(err error) error {
	switch websocket.CloseStatus(err) {
	case websocket.StatusNormalClosure, websocket.StatusGoingAway:
		return errIdle
	case closeSuperseded:
		return errSuperseded
	}
	return linkError(err)
}

// deliver validates one message and passes it to the waiting Call or to the
// handler.
func (l *link) deliver(b []byte) error {
	e, err := decodeEnvelope(b)
	if err != nil {
		return err
	}
	if e.Version != l.version {
		return result.New(result.PeerVersionMismatch, "message of version %d on a link of version %d", e.Version, l.version)
	}
	if e.From != l.peer.Name || e.Incarnation != l.peer.Incarnation {
		return result.New(result.PeerAuthFailed, "message from %.64q on the link of %s", e.From, l.peer.Name)
	}
	msg := Message{Kind: e.Kind, Payload: e.Payload}
	switch {
	case e.IsReply:
		if l.m.completeCall(e.Call, l.peer.Name, msg) {
			return nil
		}
		msg.Late = true
	case e.Call != 0:
		msg.reply = func(answer Message) bool {
			queued := queuedMessage{msg: answer, callID: e.Call, isReply: true, toIncarnation: l.peer.Incarnation, notAfter: time.Now().Add(SendLifetime)}
			return l.m.enqueue(l.peer.Name, queued) == nil
		}
	}
	l.m.cfg.Handler(l.peer, msg)
	return nil
}

// completeCall passes a reply to the Call that waits for it. It returns false if
// there is none.
func (m *Mesh) completeCall(id uint64, from string, msg Message) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.calls[id]
	if c == nil || c.host != from {
		return false
	}
	delete(m.calls, id)
	c.reply <- msg
	return true
}

// transmitUntilEnd runs transmit. If the other end closes the link, a write may
// fail before receive has read the close frame; the reason in the close frame is
// then returned instead of the write error.
func (l *link) transmitUntilEnd() error {
	err := l.transmit()
	if result.CodeOf(err) != result.HostUnreachable {
		return err
	}
	select {
	case reason := <-l.readErr:
		return reason
	case <-time.After(closeTimeout):
		return err
	}
}

// transmit sends queued messages, pings and pongs. It ends the link when the other
// end is silent, when the link is idle, or supersededGrace after the link was
// superseded.
func (l *link) transmit() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	wake, superseded := l.host.wake, l.superseded
	var buf bytes.Buffer
	for {
		select {
		case <-l.t.Dying():
			return nil
		case <-superseded:
			superseded, wake = nil, nil
			time.AfterFunc(supersededGrace, func() { l.t.Kill(errSuperseded) })
		case <-wake:
			if err := l.drain(&buf); err != nil {
				return err
			}
		case <-l.pongs:
			if err := l.write([]byte{pong}); err != nil {
				return err
			}
		case <-timer.C:
		}
		wait, err := l.checkLiveness()
		if err != nil {
			return err
		}
		timer.Reset(wait)
	}
}

// checkLiveness sends a ping if one is due and returns the time until the next
// check. It returns an error if the other end is silent or the link is idle.
func (l *link) checkLiveness() (time.Duration, error) {
	now := time.Since(l.openedAt)
	quiet := now - time.Duration(l.lastReceived.Load())
	if quiet >= SilentAfter {
		return 0, result.New(result.PeerSilent, "no message from %s for %s", l.peer.Name, SilentAfter)
	}
	idleAfter := IdleAfter
	if !l.dialed {
		// The dialing end closes an idle link first, so that it does not see a close
		// by the listener as a failure while it is sending.
		idleAfter += SilentAfter
	}
	idle := now - time.Duration(l.lastUsed.Load())
	if idle >= idleAfter {
		return 0, errIdle
	}
	wait := min(SilentAfter-quiet, idleAfter-idle)
	if !l.dialed {
		return wait, nil
	}
	longestQuiet := max(quiet, now-time.Duration(l.lastSent.Load()))
	if longestQuiet < PingAfter {
		return min(wait, PingAfter-longestQuiet), nil
	}
	if now-l.lastPing >= minPingInterval {
		l.lastPing = now
		if err := l.write([]byte{ping}); err != nil {
			return 0, err
		}
	}
	return min(wait, minPingInterval), nil
}

// drainBatch is the maximum number of messages sent between two checks for pings
// and silence. At sendRate a batch takes about 36 ms.
const drainBatch = 16

// drain sends up to drainBatch of the messages queued for the host.
func (l *link) drain(buf *bytes.Buffer) error {
	for range drainBatch {
		queued, ok := l.next()
		if !ok {
			return nil
		}
		if d := l.sendBucket.Reserve().Delay(); d > 0 {
			select {
			case <-time.After(d):
			case <-l.t.Dying():
				l.m.countDrop(l.host)
				return nil
			}
		}
		e := envelope{
			Version: l.version, Kind: queued.msg.Kind, From: l.m.cfg.Self.Name, Incarnation: l.m.cfg.Self.Incarnation,
			Call: queued.callID, IsReply: queued.isReply, Payload: queued.msg.Payload,
		}
		buf.Reset()
		if err := e.encode(buf); err != nil {
			l.m.countDrop(l.host)
			continue
		}
		l.lastUsed.Store(int64(time.Since(l.openedAt)))
		if err := l.write(buf.Bytes()); err != nil {
			l.m.countDrop(l.host)
			return err
		}
	}
	l.host.signal()
	return nil
}

func (m *Mesh) countDrop(h *host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countDropsLocked(h, 1)
}

// next dequeues the next message. If another link has become the current one, next
// returns false and passes the wake-up on to that link. The link is recorded in a
// call before the first byte is sent, so that a call whose request may have been
// sent is never reported as not run.
func (l *link) next() (queuedMessage, bool) {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	if l.host.link != l {
		l.host.signal()
		return queuedMessage{}, false
	}
	queued, ok := l.m.dequeueLocked(l.host, time.Now())
	if ok && queued.callID != 0 && !queued.isReply {
		if c := l.m.calls[queued.callID]; c != nil {
			c.link = l
		}
	}
	return queued, ok
}

func (l *link) write(b []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), SilentAfter)
	defer cancel()
	if err := l.ws.Write(ctx, websocket.MessageBinary, b); err != nil {
		return linkError(err)
	}
	l.lastSent.Store(int64(time.Since(l.openedAt)))
	l.messagesOut.Add(1)
	l.bytesOut.Add(frameBytes(len(b), l.dialed))
	return nil
}
