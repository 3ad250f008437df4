// Package steer implements the entry host for deployments whose tables and backend
// servers come from a Source. An entry host answers look-ups, forwards requests,
// and reports its requests in progress to the other entry hosts. The decision
// logic is in pkg/core.
package steer

import (
	"cmp"
	"context"
	stderrors "errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/conns"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/intake"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/overload"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/registry"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/shutdown"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/wait"
)

const (
	// connectTimeout bounds the opening of a connection to a backend server.
	// Another region is 70 ms away; a lost SYN is retransmitted only after 1 s.
	connectTimeout = 400 * time.Millisecond
	// serverIdleTimeout is how long an idle connection to a backend server is
	// kept. It is shorter than the idle timeout of the servers of about 10 s.
	serverIdleTimeout = 6 * time.Second
)

// memoryLimitBytes is the soft memory limit of the Go runtime: the garbage
// collector runs more often before memory grows beyond it. It is low because the
// peak memory of each process is paid for.
const memoryLimitBytes = 32 << 20

// Host is one entry host. Create it with New, run it with Start and end it
// with Shutdown or Stop.
type Host struct {
	// settings are the settings in force. Reload replaces them, cfg returns them.
	settings atomic.Pointer[Settings]
	names    Names
	source   Source
	log      *eventLog
	self     fleet.EntryHost
	region   string

	tomb        tomb.Tomb
	httpServers []*http.Server
	// callers accepts the connections of callers; listeners are all that accept connections.
	callers          *conns.Listener
	listeners        []*conns.Listener
	shares           intake.Shares
	memory           conns.Memory
	turnedAwayCounts turnedAwayCounts

	// table is the version of the tables in force, nil before the first one.
	// Writers hold tableMu.
	table   atomic.Pointer[fleet.Table]
	tableMu sync.Mutex
	// evacuated is the set of evacuated failure domains.
	evacuated atomic.Pointer[map[string]bool]

	registryMu sync.Mutex // guards registry
	registry   *registry.Registry

	poolsMu sync.RWMutex // guards pools
	pools   map[string]*pool

	feeds  *storeFeeds
	copies copyHistory
	// copiesMu is held while a copy changes and is put in force. It is locked before all
	// other locks of the host, then feeds.mu, then registryMu.
	copiesMu sync.Mutex
	// tablesRefused is set while the newest tables have a lower version than those in
	// force.
	tablesRefused atomic.Bool
	splits        splits
	peers         *peers
	view          atomic.Pointer[view]
	dispatchState *dispatchState
	udp           *net.UDPConn
	forward       *forward.Forwarder
	metrics       *metrics

	// hostsReadRequested asks readHosts to read the published hosts again soon.
	// hostsRead is set after the first read, also if it failed.
	hostsReadRequested chan struct{}
	// eraReached tells publish that a copy has reached a later era of the store.
	eraReached chan struct{}
	hostsRead  atomic.Bool

	// leaving is set once a shutdown has begun.
	leaving atomic.Bool
	// shutdownPlan is the schedule of the shutdown, nil before it begins.
	shutdownPlan atomic.Pointer[shutdown.Plan]
	// held is the number of requests that were read and not answered yet.
	held  atomic.Int64
	guard *overload.Guard
	// unreadable holds the store's entries that this host could not decode.
	unreadable unreadableEntries
}

// New returns a host that has not been started.
func New(cfg *Settings, names Names, source Source, logger *log.Logger) *Host {
	h := &Host{
		names: names, source: source, log: newEventLog(logger, cfg.Log.LinesPerSecond), region: cfg.Region(),
		self: fleet.EntryHost{
			Name: cfg.Name, Domain: cfg.Domain, Region: cfg.Region(), StartedMS: time.Now().UnixMilli(),
			CallerAddress: cmp.Or(cfg.Advertise.Caller, cfg.Listen.Caller), PeerAddress: cmp.Or(cfg.Advertise.Peer, cfg.Listen.Peer),
			ControlAddress: cmp.Or(cfg.Advertise.Control, cfg.Listen.Control),
		},
		hostsReadRequested: make(chan struct{}, 1), eraReached: make(chan struct{}, 1), guard: overload.New(cfg.Limits.Lateness.Std()),
		feeds: newStoreFeeds(time.Now()), registry: registry.New(time.Now()), pools: map[string]*pool{},
	}
	h.shares = intake.Divide(cfg.Limits.machine())
	h.memory.Shares, h.memory.UsualLimit = h.shares, memoryLimitBytes
	h.forward = forward.New(forward.Config{
		Headers: names.Headers, ConnectTimeout: connectTimeout, IdleTimeout: serverIdleTimeout,
		MaxConns: h.shares.Servers, MaxStreams: h.shares.Streams,
		OnSlowReader: func() { h.turnedAway("listen.caller", reasonSlowReader) },
		OnDoubt:      func(reason forward.Doubt) { h.metrics.doubts.WithLabelValues(string(reason)).Inc() },
	})
	h.settings.Store(cfg)
	h.self.Capacity = cfg.Limits.CPUShare * cfg.Limits.Cores
	h.peers = newPeers(h.self)
	h.dispatchState = newDispatchState(h.self.StartedMS)
	h.view.Store(&view{regionSize: 1})
	h.evacuated.Store(&map[string]bool{})
	h.metrics = newMetrics(h)
	return h
}

// cfg returns the settings in force.
func (h *Host) cfg() *Settings { return h.settings.Load() }

// Reload puts new settings in force. Name, failure domain, listeners, advertised
// addresses, the store's address and the region of this host need a restart to
// change.
func (h *Host) Reload(s *Settings) {
	old := h.cfg()
	next := *s
	next.Name, next.Domain, next.Listen, next.Advertise, next.Platform = old.Name, old.Domain, old.Listen, old.Advertise, old.Platform
	if next.Regions[next.Domain] != old.Regions[old.Domain] {
		next.Regions = old.Regions
	}
	h.settings.Store(&next)
	h.guard.SetFull(next.Limits.Lateness.Std())
	h.log.configure(next.Log)
	h.log.reloaded(h, s.Name != old.Name || s.Domain != old.Domain || s.Listen != old.Listen || s.Advertise != old.Advertise || s.Platform != old.Platform)
	h.updatePools()
}

// Start opens the listeners and starts serving. The error is a *result.Error with
// code ListenFailed.
func (h *Host) Start() error {
	debug.SetMemoryLimit(memoryLimitBytes)
	for _, l := range []endpoint{
		{"listen.caller", h.cfg().Listen.Caller, http.HandlerFunc(h.serveRequest), h.shares.Callers, 0},
		{"listen.ready", h.cfg().Listen.Ready, h.readyHandler(), h.shares.Service, shortAnswerTimeout},
		{"listen.lookup", h.cfg().Listen.Lookup, h.lookupHandler(), h.shares.Lookups, shortAnswerTimeout},
		{"listen.control", h.cfg().Listen.Control, h.controlHandler(), h.shares.Control, longAnswerTimeout},
		{"listen.metrics", h.cfg().Listen.Metrics, h.metricsHandler(), h.shares.Service, longAnswerTimeout},
	} {
		if err := h.serve(l); err != nil {
			return err
		}
	}
	conn, err := net.ListenPacket("udp4", h.cfg().Listen.Peer)
	if err != nil {
		return result.Wrap(err, result.ListenFailed, "listen.peer")
	}
	h.startPeers(conn)
	h.runEvery(roleInterval, h.chooseRole)
	h.runEvery(registryExpireInterval, h.expireServers)
	h.runEvery(memoryInterval, h.checkMemory)
	h.runEvery(turnedAwayInterval, h.logTurnedAway)
	h.tomb.Go(h.measureLateness)
	h.log.start(h)
	return nil
}

const (
	// shortAnswerTimeout and longAnswerTimeout bound the answers of the listeners that are
	// not for callers' requests.
	shortAnswerTimeout = 5 * time.Second
	longAnswerTimeout  = 30 * time.Second
)

// endpoint is a TCP listener and what it serves.
type endpoint struct {
	// field is the setting that holds the address.
	field, address string
	handler        http.Handler
	maxConns       int
	// answerTimeout bounds each answer; 0 means that the handler does so.
	answerTimeout time.Duration
}

// serve opens a TCP listener and serves it.
func (h *Host) serve(e endpoint) error {
	opened, err := net.Listen("tcp4", e.address)
	if err != nil {
		return result.Wrap(err, result.ListenFailed, "%s", e.field)
	}
	l := conns.NewListener(opened, conns.Config{
		MaxConns: e.maxConns, MaxRequests: h.shares.Requests, SocketBuffer: h.shares.SocketBuffer,
		HeadBytes: h.shares.HeadBytes, Overloaded: h.guard.Overloaded, Full: h.memory.Full, OnTurnedAway: func(r conns.Reason) { h.turnedAway(e.field, r) },
	})
	handler := l.Handler(e.handler, http.HandlerFunc(h.rejectFull))
	srv := forward.NewServer(h.protectHandler(e.field, handler), forward.Limits{
		HeadBytes: maxHeadBytes, HeadTimeout: headTimeout, KeepAlive: callerIdleTimeout, AnswerTimeout: e.answerTimeout,
	})
	srv.ErrorLog = h.libraryLogger()
	srv.ConnState = l.Track
	h.httpServers = append(h.httpServers, srv)
	h.listeners = append(h.listeners, l)
	if e.field == "listen.caller" {
		h.callers = l
	}
	h.tomb.Go(func() error {
		if err := srv.Serve(l); !stderrors.Is(err, http.ErrServerClosed) && !h.leaving.Load() {
			return err
		}
		return nil
	})
	return nil
}

// runEvery calls fn at an interval, in a goroutine, until the host stops.
func (h *Host) runEvery(interval time.Duration, fn func(now time.Time)) {
	h.tomb.Go(func() error {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-h.tomb.Dying():
				return nil
			case <-t.C:
				h.protect("timer", func() { fn(time.Now()) })
			}
		}
	})
}

// Dead returns a channel that is closed when the host has stopped, on request or
// because of an error.
func (h *Host) Dead() <-chan struct{} { return h.tomb.Dead() }

// Stop stops the host at once and aborts its requests in progress.
func (h *Host) Stop() error {
	h.tomb.Kill(nil)
	for _, s := range h.httpServers {
		_ = s.Close() // listeners and connections are closed even if it fails
	}
	err := h.tomb.Wait()
	h.forward.Close()
	h.log.stop(h)
	return err
}

// closeInterval is the interval at which a shutdown closes idle connections and
// counts the open ones. It is also how long an accepted connection may take to appear
// in conns.
const closeInterval = 50 * time.Millisecond

// Shutdown withdraws the host from look-ups, answers the requests in progress and
// stops the host, within the grace period of the settings.
func (h *Host) Shutdown(ctx context.Context) error {
	now := time.Now()
	plan := shutdown.New(now, h.cfg().Bounds.Grace.Std(), h.guard.Peak(now))
	h.shutdownPlan.Store(plan)
	h.leaving.Store(true)
	h.log.leaving(h, plan)
	ctx, cancel := context.WithDeadline(h.tomb.Context(ctx), plan.End)
	defer cancel()
	if !wait.For(ctx, time.Until(plan.WithdrawnAt)) {
		return h.stopAfterShutdown()
	}
	// http.Server.Shutdown is not used because it drops a request that the server
	// is reading at that moment. Instead, the listener and idle connections are
	// closed, and requests on the other accepted connections are answered.
	if err := h.callers.Close(); err != nil {
		h.log.warn(err, "could not close the listener for callers")
	}
	perRound := shutdown.ClosesPerRound(h.callers.Count().Idle)
	for h.callers.CloseIdle(perRound); wait.For(ctx, closeInterval); h.callers.CloseIdle(perRound) {
		if h.callers.Count().Open == 0 {
			break
		}
	}
	return h.stopAfterShutdown()
}

// stopAfterShutdown stops the host and aborts what is still in progress.
func (h *Host) stopAfterShutdown() error {
	h.log.shutdownEnds(h, h.callers.Count())
	return h.Stop()
}

// readyHandler answers the platform's readiness checks.
func (h *Host) readyHandler() http.Handler {
	r := bunrouter.New()
	r.Compat().GET(h.names.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !h.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return r
}

// ready reports whether this host takes callers: it has tables and is not shutting
// down.
func (h *Host) ready() bool { return h.table.Load() != nil && !h.leaving.Load() }
