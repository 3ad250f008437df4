// Package peer exchanges CBOR messages between entry hosts over WebSocket. Both
// ends of a link prove that they hold the shared key before they exchange any other
// message. Each pair of hosts has one link; if both dial at the same time, the link
// dialed by the host with the smaller name stays.
package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/httpanswer"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const (
	// PingAfter is the time after which the dialing end sends a ping if it has
	// sent nothing or has received nothing.
	PingAfter = 2 * time.Second
	// SilentAfter is the time without any received message after which a link is
	// closed (design 3.11).
	SilentAfter = 3 * time.Second
	// IdleAfter is the time without messages other than pings and pongs after
	// which a link is closed.
	IdleAfter = 60 * time.Second
	// ReceiveRate is the maximum rate, in messages per second, at which a link
	// accepts messages.
	ReceiveRate = 500
	// receiveBurst, in messages, covers what a well-behaved sender sent while the
	// network delayed its messages for SilentAfter.
	receiveBurst = ReceiveRate * 3
	// sendRate (messages per second) and sendBurst (messages) keep a sender below
	// the rate limit of the receiver.
	sendRate  = 450
	sendBurst = 50
	// QueueMessages is the maximum number of messages queued for one host.
	QueueMessages = 256
	// queueBytes is the maximum total size of the payloads queued for one host.
	queueBytes = 4 << 20
	// SendLifetime is how long a message without a deadline may stay queued.
	SendLifetime = time.Second
	// defaultCallTimeout applies to a Call whose context has no deadline.
	defaultCallTimeout = 3 * time.Second
	// initialBackoff and maxBackoff are the first and the longest backoff, before
	// jitter, between two dials of a host.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// supersededGrace is how long a superseded link stays open for messages in
	// flight.
	supersededGrace = time.Second
	// maxHandshakes is the maximum number of incoming connections that have not
	// yet been authenticated.
	maxHandshakes = 64
	// Path is the HTTP path under which an entry host serves its Mesh.
	Path = "/v1/peer"
)

// Range of protocol versions that this release supports.
const (
	MinVersion = 1
	MaxVersion = 1
)

// Handler processes the messages received on a link, in order. It runs on the
// receiving goroutine of the link and must not block.
type Handler func(from Identity, m Message)

// Config configures a Mesh.
type Config struct {
	Self Identity
	// Key is the key shared by all entry hosts; at least minKeyBytes long.
	Key     []byte
	Handler Handler
	// MinVersion and MaxVersion are the range of supported protocol versions. If
	// MaxVersion is 0, both default to the constants of this package.
	MinVersion, MaxVersion uint16
	// Dial opens network connections. The default is net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Seed seeds the random jitter of the dial backoff.
	Seed uint64
	// OnError is called for every dial, handshake or link that fails. It may be
	// nil. host is the name of the other host or, if the handshake of an incoming
	// connection fails, the remote address.
	OnError func(host string, err *result.Error)
}

const minKeyBytes = 16

// Mesh manages the links to other entry hosts. It is safe for concurrent use.
type Mesh struct {
	cfg        Config
	client     *http.Client
	handshakes chan struct{} // semaphore for the handshakes of incoming connections
	t          *tomb.Tomb
	ctx        context.Context

	mu         sync.Mutex
	rng        *rand.Rand // for the jitter of the dial backoff
	hosts      map[string]*host
	links      map[*link]struct{}
	calls      map[uint64]*call
	lastCallID uint64
	stopped    bool
	wg         sync.WaitGroup
	totals     Counters // traffic of links that have ended, and all dropped messages
}

// New validates cfg and returns a Mesh without links.
func New(cfg Config) (*Mesh, error) {
	if !validName(cfg.Self.Name) {
		return nil, result.New(result.SettingsInvalid, "host name %q is malformed", cfg.Self.Name)
	}
	if len(cfg.Key) < minKeyBytes {
		return nil, result.New(result.SettingsInvalid, "the shared key has %d bytes, %d are needed", len(cfg.Key), minKeyBytes)
	}
	if cfg.Handler == nil {
		return nil, result.New(result.SettingsInvalid, "peer mesh without a handler")
	}
	if cfg.MaxVersion == 0 {
		cfg.MinVersion, cfg.MaxVersion = MinVersion, MaxVersion
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: handshakeTimeout}).DialContext
	}
	m := &Mesh{
		cfg: cfg, handshakes: make(chan struct{}, maxHandshakes),
		rng:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		hosts: map[string]*host{}, links: map[*link]struct{}{}, calls: map[uint64]*call{},
	}
	m.client = &http.Client{Transport: httpanswer.NewTransport(&http.Transport{DialContext: m.dialRaw, DisableKeepAlives: true})}
	return m, nil
}

// Start runs the mesh until t is dying. All links have ended before t is dead.
func (m *Mesh) Start(t *tomb.Tomb) {
	m.mu.Lock()
	m.t = t
	m.ctx = t.Context(context.Background())
	m.mu.Unlock()
	t.Go(func() error {
		<-t.Dying()
		m.stop()
		return nil
	})
}

func (m *Mesh) stop() {
	m.mu.Lock()
	m.stopped = true
	for l := range m.links {
		l.t.Kill(errors.ConstError("mesh stopped"))
	}
	m.mu.Unlock()
	m.wg.Wait()
}

// trackGoroutine registers a goroutine that stop waits for. It returns false if
// the mesh is not running.
func (m *Mesh) trackGoroutine() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.trackGoroutineLocked()
}

func (m *Mesh) trackGoroutineLocked() bool {
	if m.t == nil || m.stopped {
		return false
	}
	m.wg.Add(1)
	return true
}

// SetPeers replaces the addresses (IP:port) of the other hosts, keyed by host name.
// Messages queued for hosts that are no longer listed are dropped, unless such a
// host still has a link or a dial in progress.
func (m *Mesh) SetPeers(addrs map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, h := range m.hosts {
		if _, ok := addrs[name]; !ok {
			h.addr = ""
			m.removeUnusedLocked(h)
		}
	}
	for name, addr := range addrs {
		if name == m.cfg.Self.Name || !validName(name) {
			continue
		}
		h := m.hostLocked(name)
		if h.addr != addr {
			h.addr = addr
			h.failures, h.nextDialAt = 0, time.Time{}
		}
	}
}

// Send queues a message and returns at once. It returns false if the message was
// dropped. A message that was accepted may still be lost.
func (m *Mesh) Send(name string, msg Message) bool {
	return m.enqueue(name, queuedMessage{msg: msg, notAfter: time.Now().Add(SendLifetime)}) == nil
}

// call is a request that waits for its reply.
type call struct {
	host  string
	link  *link // link over which the request is sent; nil while it is queued
	reply chan Message
	err   chan *result.Error
}

// Call sends a request and waits for the reply until ctx ends. The run state of a
// returned error says whether the other host may have received the request.
func (m *Mesh) Call(ctx context.Context, name string, msg Message) (Message, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	deadline, _ := ctx.Deadline()
	c := &call{host: name, reply: make(chan Message, 1), err: make(chan *result.Error, 1)}
	m.mu.Lock()
	m.lastCallID++
	id := m.lastCallID
	m.calls[id] = c
	m.mu.Unlock()
	if err := m.enqueue(name, queuedMessage{msg: msg, callID: id, notAfter: deadline}); err != nil {
		m.forgetCall(id)
		return Message{}, err
	}
	select {
	case r := <-c.reply:
		return r, nil
	case err := <-c.err:
		return Message{}, err
	case <-ctx.Done():
	}
	run := result.NotRun
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.calls, id)
	select {
	case r := <-c.reply:
		return r, nil
	default:
	}
	if c.link != nil {
		run = result.Unknown
	}
	return Message{}, result.Wrap(ctx.Err(), result.PeerSilent, "%s did not reply in time", name).WithRun(run)
}

func (m *Mesh) forgetCall(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.calls, id)
}

// newReceiveLimiter returns the token bucket that limits the receive rate of a
// link.
func newReceiveLimiter() *rate.Limiter { return rate.NewLimiter(ReceiveRate, receiveBurst) }
