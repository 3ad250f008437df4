package entry

import (
	"context"
	stderrors "errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/uptrace/bunrouter"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/admin"
	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/conns"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/intake"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/lookup"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/membership"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/once"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/retry"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/tablesync"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/httpanswer"
	"github.com/tamarackswitch/tamarackswitch/pkg/machine"
	"github.com/tamarackswitch/tamarackswitch/pkg/peer"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/settings"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// Tables is the pair of tables in force, immutable.
type Tables struct {
	Routes        tables.Routes
	Pools         tables.Pools
	RoutesVersion int64
	PoolsVersion  int64
}

// Host is one entry host. Create it with New, run it with Start and end it with
// Shutdown or Stop.
type Host struct {
	cfg         *settings.Settings
	log         *log.Logger
	store       platform.Store
	region      string
	address     string
	incarnation int64

	tomb      tomb.Tomb
	listeners map[string]net.Listener
	servers   []*http.Server
	// accepting are the listeners, and memory what their clients may hold.
	accepting []*conns.Listener
	memory    conns.Memory
	// work counts background calls, which Stop waits for.
	work sync.WaitGroup

	requests atomic.Int64
	// leaving is set when the host withdraws, stopping when it refuses new
	// requests.
	leaving  atomic.Bool
	stopping atomic.Bool
	// lookedAround is set once this host may take roles.
	lookedAround atomic.Bool

	tables        atomic.Pointer[Tables]
	applyMu       sync.Mutex
	lookups       atomic.Pointer[lookup.Snapshot]
	lookupMu      sync.Mutex
	built         lookupInputs // of lookups, under lookupMu
	blocks        atomic.Pointer[clientBlocks]
	hostList      atomic.Pointer[[]platform.Host]
	statusVersion atomic.Int64

	handler   Handler
	forwarder *forward.Forwarder
	signer    *forward.Signer
	verifier  *forward.Verifier
	probes    *http.Client
	admin     *admin.Tables
	auth      *admin.Auth

	mesh      *peer.Mesh
	members   *membership.Node
	summaries *membership.Summaries
	returns   *lookup.Returns
	sync      *tablesync.Sync
	rng       *rand.Rand // used by the membership tick only
	links     map[string]*directedLink

	owner     *once.Owner
	storeKeys *once.StoreKeys

	poolsMu  sync.Mutex
	pools    map[string]*pool
	nextSlot atomic.Uint64

	budgetsMu   sync.Mutex
	budgets     map[string]*retry.Budget
	answerSizes answerSizes

	peersMu   sync.Mutex
	transient map[string]transientPeer
	names     map[string]string // by address
	addresses map[string]string // by name
	// ended holds hosts whose process is known to have ended, because its
	// address refused a connection. Their requests have ended with them.
	ended map[string]time.Time
	// withdrawn holds hosts that announced that they leave.
	withdrawn map[string]bool
	// removed is when the membership removed hosts of the own domain.
	removed map[string]time.Time

	metrics  *metrics
	logLimit *rate.Limiter
}

// New returns a host that is not running yet. The error is a *result.Error with
// code SettingsInvalid.
func New(cfg *settings.Settings, store platform.Store, logger *log.Logger) (*Host, error) {
	now := time.Now()
	name, domain := cfg.Host.Name, cfg.Host.Domain
	h := &Host{
		cfg: cfg, log: logger, store: store, region: cfg.RegionOf(domain), incarnation: now.UnixMilli(),
		address: joinAddress(cfg.Listen.Peer, cfg.Listen.Caller),
		pools:   map[string]*pool{}, budgets: map[string]*retry.Budget{}, transient: map[string]transientPeer{},
		names: map[string]string{}, addresses: map[string]string{}, ended: map[string]time.Time{}, removed: map[string]time.Time{}, withdrawn: map[string]bool{}, rng: newRand(),
		links: newLinks(now, cfg), forwarder: newForwarder(cfg),
		probes:   &http.Client{Timeout: probeTimeout, Transport: httpanswer.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second})},
		logLimit: rate.NewLimiter(rate.Limit(cfg.Log.LinesPerSecond), cfg.Log.LinesPerSecond),
	}
	id := once.Identity{Domain: domain, Host: name, Incarnation: h.incarnation}
	h.owner = once.NewOwner(id, now, int(cfg.Limits.KeyMemory))
	h.storeKeys = once.NewStoreKeys(id, cfg.Topology.MaxHosts)
	h.members = membership.New(membership.Config{Name: name, Address: h.address, Incarnation: h.incarnation})
	h.summaries = membership.NewSummaries(domain, name, nil)
	h.returns = lookup.NewReturns()
	h.sync = tablesync.New(tablesync.Config{Self: name, Domain: domain, Rand: newRand()})
	h.sync.SetLive([]string{name})
	// Request ids of a replaced process must not meet those of its predecessor.
	h.nextSlot.Store(uint64(h.incarnation) << 20)
	if err := h.openEdges(); err != nil {
		return nil, err
	}
	h.metrics = newMetrics(h)
	h.handler = chain(h.reply, h.receive, h.route, h.once, h.retry, h.hedge, h.admit, h.domain, h.server, h.forward, h.verify)
	return h, nil
}

// openEdges prepares what talks to other processes.
func (h *Host) openEdges() error {
	var err error
	h.mesh, err = peer.New(peer.Config{
		Self: peer.Identity{Name: h.cfg.Host.Name, Incarnation: h.incarnation}, Key: []byte(h.cfg.Peers.Key),
		Handler: h.handle, Seed: rand.Uint64(), OnError: h.onLinkError,
	})
	if err != nil {
		return result.New(result.SettingsInvalid, "peers: %v", err)
	}
	h.signer = forward.NewSigner([]byte(h.cfg.Peers.Key), h.cfg.Host.Name, time.Now)
	h.verifier = forward.NewVerifier([]byte(h.cfg.Peers.Key), h.cfg.Host.Name, time.Now)
	var tokens []admin.Token
	for _, t := range h.cfg.Admin.Tokens {
		tokens = append(tokens, admin.Token{Name: t.Name, Secret: t.Secret, Teams: t.Teams})
	}
	if h.auth, err = admin.NewAuth(tokens); err != nil {
		return err
	}
	h.admin = &admin.Tables{Store: h.store, Clock: time.Now}
	return h.auth.CheckListen(h.cfg.Listen.Admin)
}

// onLinkError takes the end of a peer link or a failed attempt to open one.
func (h *Host) onLinkError(host string, err *result.Error) {
	if stderrors.Is(err, syscall.ECONNREFUSED) {
		h.peersMu.Lock()
		_, known := h.ended[host]
		h.ended[host] = time.Now()
		h.peersMu.Unlock()
		h.members.ReportRefused(time.Now(), host)
		if !known {
			h.freeGone(time.Now())
		}
	}
	if h.logLimit.Allow() {
		h.log.Warn().Err(err).Str("peer", host).Int("code", int(err.Code)).Msg("peer link ended")
	}
}

// Start opens the listeners and begins to serve. The error is a *result.Error
// with code ListenFailed.
func (h *Host) Start() error {
	listeners := []struct {
		field, addr string
		handler     http.Handler
		maxConns    func(intake.Shares) int
	}{
		{"listen.caller", h.cfg.Listen.Caller, h.callerHandler(), func(s intake.Shares) int { return s.Callers }},
		{"listen.peer", h.cfg.Listen.Peer, h.peerHandler(), func(s intake.Shares) int { return max(s.Control, minPeerConns) }},
		{"listen.admin", h.cfg.Listen.Admin, h.adminHandler(), func(s intake.Shares) int { return s.Service }},
	}
	var opened []net.Listener
	for _, l := range listeners {
		listener, err := h.listen(l.addr)
		if err != nil {
			for _, o := range opened {
				_ = o.Close()
			}
			return result.Wrap(err, result.ListenFailed, "%s", l.field)
		}
		opened = append(opened, listener)
	}
	shares := intake.Divide(machineOf(h.cfg))
	h.memory.Shares, h.memory.UsualLimit = shares, shares.ShedBytes
	for i, l := range listeners {
		h.serve(l.field, opened[i], l.handler, l.maxConns(shares), shares)
	}
	h.tomb.Go(h.checkMemory)
	h.startControl()
	h.log.Info().Str("host", h.cfg.Host.Name).Str("domain", h.cfg.Host.Domain).Int64("incarnation", h.incarnation).
		Str("caller", h.cfg.Listen.Caller).Str("peer", h.cfg.Listen.Peer).Str("admin", h.cfg.Listen.Admin).Msg("entry host started")
	return nil
}

// UseListener makes Start serve an address of the settings on a listener that
// is open already. Call it before Start.
func (h *Host) UseListener(addr string, l net.Listener) {
	if h.listeners == nil {
		h.listeners = map[string]net.Listener{}
	}
	h.listeners[addr] = l
}

func (h *Host) listen(addr string) (net.Listener, error) {
	if l := h.listeners[addr]; l != nil {
		return l, nil
	}
	return net.Listen("tcp", addr)
}

func (h *Host) serve(field string, opened net.Listener, handler http.Handler, maxConns int, shares intake.Shares) {
	l := conns.NewListener(opened, conns.Config{
		MaxConns: maxConns, MaxRequests: shares.Requests, HeadBytes: shares.HeadBytes, SocketBuffer: shares.SocketBuffer, Full: h.memory.Full,
		OnTurnedAway: func(r conns.Reason) { h.metrics.turnedAway.WithLabelValues(field, string(r)).Inc() },
	})
	srv := forward.NewServer(l.Handler(handler, http.HandlerFunc(rejectFull)), h.callerLimits())
	srv.ConnState = l.Track
	h.servers = append(h.servers, srv)
	h.accepting = append(h.accepting, l)
	h.tomb.Go(func() error {
		if err := srv.Serve(l); !stderrors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// machineOf returns what the machine gives to the process.
func machineOf(cfg *settings.Settings) intake.Machine {
	m := machine.Limits()
	if cfg.Limits.Memory > 0 {
		m.MemoryBytes = int64(cfg.Limits.Memory)
	}
	if cfg.Limits.Descriptors > 0 {
		m.Descriptors = min(m.Descriptors, cfg.Limits.Descriptors)
	}
	return m
}

func newForwarder(cfg *settings.Settings) *forward.Forwarder {
	shares := intake.Divide(machineOf(cfg))
	return forward.New(forward.Config{MaxConns: shares.Servers, MaxStreams: shares.Streams})
}

// minPeerConns lets each of the other entry hosts of a large region keep its link.
const minPeerConns = 256

// memoryInterval is how often the memory of the process is checked.
const memoryInterval = 100 * time.Millisecond

// checkMemory turns clients away while they hold too much memory.
func (h *Host) checkMemory() error {
	t := time.NewTicker(memoryInterval)
	defer t.Stop()
	for {
		select {
		case <-h.tomb.Dying():
			return nil
		case <-t.C:
			h.memory.Check(h.accepting)
		}
	}
}

// rejectFull answers a request that is too many at a time.
func rejectFull(w http.ResponseWriter, _ *http.Request) {
	api.WriteRefusal(w, "", result.New(result.HostOverloaded, "this host takes no more requests at a time").WithRetryAfter(retryAdvice))
}

// Stop ends the host at once and cuts what it holds.
func (h *Host) Stop() error {
	h.stopping.Store(true)
	h.tomb.Kill(nil)
	for _, s := range h.servers {
		_ = s.Close()
	}
	err := h.tomb.Wait()
	h.work.Wait()
	h.forwarder.Close()
	return err
}

// Dead is closed when the host has stopped, also by a fault.
func (h *Host) Dead() <-chan struct{} { return h.tomb.Dead() }

// background runs a bounded call that Stop waits for.
func (h *Host) background(limit time.Duration, fn func(context.Context)) {
	h.work.Go(func() {
		ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), limit)
		defer cancel()
		fn(ctx)
	})
}

func (h *Host) callerHandler() http.Handler {
	r := bunrouter.New(bunrouter.WithNotFoundHandler(func(w http.ResponseWriter, req bunrouter.Request) error {
		api.WriteRefusal(w, "", result.New(result.NoRoute, "%q is reserved", req.URL.Path))
		return nil
	}))
	r.Compat().GET(api.LookupPath, h.serveLookup)
	mux := http.NewServeMux()
	mux.Handle("/v1/", r)
	mux.HandleFunc("/", h.serveRequest)
	return mux
}

func (h *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, h.mesh)
	return mux
}

func (h *Host) serveRequest(w http.ResponseWriter, r *http.Request) {
	_ = h.handler(r.Context(), newExchange(w, r))
}

// retryAfter returns advice for refusals, spread so that callers do not come
// back together.
func (h *Host) retryAfter() time.Duration { return retryAdvice + jitter(retryAdvice) }

const retryAdvice = 100 * time.Millisecond

// jitter returns a random duration below d.
func jitter(d time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(d))) }

// versions returns the tables in force, or none.
func (h *Host) versions() Tables {
	if t := h.tables.Load(); t != nil {
		return *t
	}
	return Tables{}
}
