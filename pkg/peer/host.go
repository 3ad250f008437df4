package peer

import (
	"context"
	"net"
	"time"

	"github.com/coder/websocket"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// queuedMessage is a message waiting to be sent to a host.
type queuedMessage struct {
	msg     Message
	callID  uint64 // the call that the message starts or answers; 0 if none
	isReply bool
	// toIncarnation is the incarnation that a reply is addressed to. A restarted
	// process numbers its calls from 1 again, so a reply to its predecessor could
	// match the wrong call.
	toIncarnation int64
	notAfter      time.Time // the message is dropped if it is still queued then
}

// host is another entry host. Its fields are guarded by Mesh.mu.
type host struct {
	name        string
	addr        string // empty if not listed: then only the other end can open a link
	queue       []queuedMessage
	queuedBytes int
	wake        chan struct{} // buffered; holds a value when queue may be non-empty
	link        *link

	dialing    bool
	failures   int // dials that failed in a row
	nextDialAt time.Time
	dropped    int64
	lastError  *result.Error
}

func (m *Mesh) hostLocked(name string) *host {
	h := m.hosts[name]
	if h == nil {
		h = &host{name: name, wake: make(chan struct{}, 1)}
		m.hosts[name] = h
	}
	return h
}

// removeUnusedLocked removes h if it has no address, no link and no dial in
// progress.
func (m *Mesh) removeUnusedLocked(h *host) {
	if h.addr != "" || h.link != nil || h.dialing {
		return
	}
	m.dropQueueLocked(h, result.New(result.HostUnreachable, "%s is no longer listed", h.name))
	delete(m.hosts, h.name)
}

func (m *Mesh) countDropsLocked(h *host, n int) {
	h.dropped += int64(n)
	m.totals.Dropped += int64(n)
}

// dropQueueLocked drops all messages queued for h and ends their calls with err.
func (m *Mesh) dropQueueLocked(h *host, err *result.Error) {
	for _, queued := range h.queue {
		if c := m.calls[queued.callID]; c != nil && !queued.isReply {
			delete(m.calls, queued.callID)
			c.err <- err
		}
	}
	m.countDropsLocked(h, len(h.queue))
	h.queue, h.queuedBytes = nil, 0
}

// enqueue adds a message to the queue of the host and dials the host if it has no
// link.
func (m *Mesh) enqueue(name string, queued queuedMessage) error {
	if len(queued.msg.Payload) > MaxPayloadBytes {
		return result.New(result.PeerMessageTooLarge, "payload of %d bytes, the limit is %d", len(queued.msg.Payload), MaxPayloadBytes)
	}
	if queued.msg.Kind == 0 {
		return result.New(result.PeerMessageMalformed, "message without a kind")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.hosts[name]
	if h == nil || (h.link == nil && h.addr == "") || m.t == nil || m.stopped {
		m.totals.Dropped++
		return result.New(result.HostUnreachable, "no address of %s", name)
	}
	if h.link == nil && !h.dialing && time.Now().Before(h.nextDialAt) {
		m.countDropsLocked(h, 1)
		return result.New(result.HostUnreachable, "%s could not be reached", name).WithRetryAfter(time.Until(h.nextDialAt))
	}
	if len(h.queue) >= QueueMessages || h.queuedBytes+len(queued.msg.Payload) > queueBytes {
		m.countDropsLocked(h, 1)
		return result.New(result.PeerRateExceeded, "the queue for %s is full", name)
	}
	h.queue = append(h.queue, queued)
	h.queuedBytes += len(queued.msg.Payload)
	h.signal()
	m.dialLocked(h)
	return nil
}

func (h *host) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// dialLocked starts a dial to h unless h has a link or no address, a dial is in
// progress, or the mesh is not running.
func (m *Mesh) dialLocked(h *host) {
	if h.link != nil || h.dialing || h.addr == "" || !m.trackGoroutineLocked() {
		return
	}
	h.dialing = true
	go m.dial(h, h.addr)
}

// dial opens a link to h and serves it until the link ends.
func (m *Mesh) dial(h *host, addr string) {
	defer m.wg.Done()
	l, err := m.connect(h.name, addr)
	m.mu.Lock()
	h.dialing = false
	if err != nil {
		m.dialFailedLocked(h, err)
		m.removeUnusedLocked(h)
		m.mu.Unlock()
		m.report(h.name, err)
		return
	}
	h.failures, h.nextDialAt = 0, time.Time{}
	m.mu.Unlock()
	m.serve(l)
}

// dialFailedLocked schedules the earliest next dial by exponential backoff. The
// backoff doubles up to maxBackoff and is jittered to between 0.5 and 1.5 times
// its value, so that hosts do not all dial a returning peer at the same moment.
// The queue is dropped unless the other end has opened a link in the meantime.
func (m *Mesh) dialFailedLocked(h *host, err *result.Error) {
	h.lastError = err
	// The limit of 10 doublings prevents an overflow.
	backoff := min(initialBackoff<<min(h.failures, 10), maxBackoff)
	h.failures++
	h.nextDialAt = time.Now().Add(backoff/2 + time.Duration(m.rng.Int64N(int64(backoff))))
	if h.link == nil {
		m.dropQueueLocked(h, err)
	}
}

// connect dials addr and runs the handshake with the host called name.
func (m *Mesh) connect(name, addr string) (*link, *result.Error) {
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout)
	defer cancel()
	var raw net.Conn
	conn, _, err := websocket.Dial(context.WithValue(ctx, rawKey{}, &raw), "ws://"+addr+Path, &websocket.DialOptions{
		HTTPClient: m.client, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, result.Wrap(err, result.HostUnreachable, "no link to %s at %s", name, addr)
	}
	ws := socket{conn, raw}
	ws.SetReadLimit(maxHandshakeBytes)
	id, version, err := m.handshakeAsDialer(ctx, conn, name)
	if err != nil {
		rerr := linkError(err)
		ws.closeWithReason(rerr)
		return nil, rerr
	}
	return m.newLink(ws, id, version, true), nil
}

// rawKey is the context key for a pointer through which dialRaw returns the dialed
// connection past the HTTP client.
type rawKey struct{}

// dialRaw opens a network connection and stores it where the rawKey value of ctx
// points.
func (m *Mesh) dialRaw(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := m.cfg.Dial(ctx, network, addr)
	if p, ok := ctx.Value(rawKey{}).(*net.Conn); ok {
		*p = c
	}
	return c, err
}

// dequeueLocked removes and returns the next message of the queue. Expired messages
// and replies to another incarnation are dropped.
func (m *Mesh) dequeueLocked(h *host, now time.Time) (queuedMessage, bool) {
	incarnation := h.link.peer.Incarnation
	for len(h.queue) > 0 {
		queued := h.queue[0]
		h.queue[0] = queuedMessage{}
		h.queue = h.queue[1:]
		h.queuedBytes -= len(queued.msg.Payload)
		if !now.After(queued.notAfter) && (!queued.isReply || queued.toIncarnation == incarnation) {
			return queued, true
		}
		m.countDropsLocked(h, 1)
	}
	h.queue = nil
	return queuedMessage{}, false
}

func (m *Mesh) report(name string, err *result.Error) {
	if m.cfg.OnError != nil && err != nil {
		m.cfg.OnError(name, err)
	}
}
