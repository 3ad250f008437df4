// Package steer is the entry host for deployments whose tables and backend
// servers are delivered by a Source. It answers look-ups, forwards requests
// and tells the other entry hosts what it has in progress. Decisions are in
// pkg/core.
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

	"github.com/tamarackswitch/tamarackswitch/pkg/core/overload"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/registry"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/wait"
)

// Limits of connections to backend servers.
const (
	// connectTimeout bounds the opening of a connection. A region is 70 ms
	// away; a lost opening packet is repeated after 1 s.
	connectTimeout = 400 * time.Millisecond
	// serverIdle is how long an idle connection to a server is kept. Servers
	// close theirs after about 10 s.
	serverIdle = 6 * time.Second
)

// memoryTarget makes the garbage collector work harder before the heap grows
// beyond it; the peak memory of each process is priced.
const memoryTarget = 32 << 20

// Host is one entry host. Create it with New, run it with Start and end it
// with Shutdown or Stop.
type Host struct {
	// settings are replaced by Reload; cfg returns them.
	settings atomic.Pointer[Settings]
	names    Names
	source   Source
	log      *eventLog
	self     fleet.EntryHost
	region   string

	tomb    tomb.Tomb
	servers []*http.Server
	// callers is the listener of callers, conns their connections.
	callers net.Listener
	conns   callerConns

	table     atomic.Pointer[fleet.Table]
	tableMu   sync.Mutex
	evacuated atomic.Pointer[map[string]bool]

	registryMu sync.Mutex
	registry   *registry.Registry

	poolsMu sync.RWMutex
	pools   map[string]*pool

	follow   *follower
	splits   splits
	peers    *peers
	view     atomic.Pointer[view]
	dispatch *dispatch
	udp      *net.UDPConn
	forward  *forward.Forwarder
	metrics  *metrics

	// hostsWanted asks for a reading of the published hosts, and hostsRead is set
	// after the first one.
	hostsWanted chan struct{}
	hostsRead   atomic.Bool

	leaving atomic.Bool
	// ends is when a shutdown stops the process, once callers' connections are
	// closed.
	ends atomic.Pointer[time.Time]
	// held counts the requests that were read and not answered.
	held  atomic.Int64
	guard *overload.Guard
}

// New returns a host that is not running yet.
func New(cfg *Settings, names Names, source Source, logger *log.Logger) *Host {
	h := &Host{
		names: names, source: source, log: newEventLog(logger, cfg.Log.Rate), region: cfg.Region(),
		self: fleet.EntryHost{
			Name: cfg.Name, Domain: cfg.Domain, Region: cfg.Region(), Started: time.Now().UnixMilli(),
			Caller: cmp.Or(cfg.Advertise.Caller, cfg.Listen.Caller), Peer: cmp.Or(cfg.Advertise.Peer, cfg.Listen.Peer),
			Control: cmp.Or(cfg.Advertise.Control, cfg.Listen.Control),
		},
		hostsWanted: make(chan struct{}, 1), guard: overload.New(cfg.Limits.Lateness.Std()),
		follow: newFollower(time.Now()), registry: registry.New(time.Now()), pools: map[string]*pool{},
		forward: forward.New(forward.Config{Headers: names.Headers, ConnectTimeout: connectTimeout, IdleTimeout: serverIdle}),
	}
	h.settings.Store(cfg)
	h.self.Capacity = cfg.Limits.CPUShare * cfg.Limits.Cores
	h.peers = newPeers(h.self)
	h.dispatch = newDispatch(h.self.Started)
	h.view.Store(&view{regionSize: 1})
	h.evacuated.Store(&map[string]bool{})
	h.metrics = newMetrics(h)
	return h
}

// cfg returns the settings in force.
func (h *Host) cfg() *Settings { return h.settings.Load() }

// Reload puts new settings in force. Name, failure domain and listeners stay as
// they were until a restart.
func (h *Host) Reload(s *Settings) {
	old := h.cfg()
	next := *s
	next.Name, next.Domain, next.Listen, next.Advertise, next.Platform = old.Name, old.Domain, old.Listen, old.Advertise, old.Platform
	if next.Regions[next.Domain] != old.Regions[old.Domain] {
		next.Regions = old.Regions
	}
	h.settings.Store(&next)
	h.guard.SetFull(next.Limits.Lateness.Std())
	h.log.setRate(next.Log)
	h.log.reloaded(h, s.Name != old.Name || s.Domain != old.Domain || s.Listen != old.Listen || s.Advertise != old.Advertise || s.Platform != old.Platform)
	h.updatePools()
}

// Start opens the listeners and begins to serve. The error is a *result.Error
// with code ListenFailed.
func (h *Host) Start() error {
	debug.SetMemoryLimit(memoryTarget)
	for _, l := range []struct {
		field, address string
		handler        http.Handler
	}{
		{"listen.caller", h.cfg().Listen.Caller, http.HandlerFunc(h.serveRequest)},
		{"listen.ready", h.cfg().Listen.Ready, h.readyHandler()},
		{"listen.lookup", h.cfg().Listen.Lookup, h.lookupHandler()},
		{"listen.control", h.cfg().Listen.Control, h.controlHandler()},
		{"listen.metrics", h.cfg().Listen.Metrics, h.metricsHandler()},
	} {
		if err := h.serve(l.field, l.address, l.handler); err != nil {
			return err
		}
	}
	conn, err := net.ListenPacket("udp4", h.cfg().Listen.Peer)
	if err != nil {
		return result.Wrap(err, result.ListenFailed, "listen.peer")
	}
	h.startPeers(conn)
	h.every(roleTick, h.chooseRole)
	h.every(registryTick, h.expireServers)
	h.tomb.Go(h.measureLateness)
	h.log.start(h)
	return nil
}

func (h *Host) serve(field, address string, handler http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return result.Wrap(err, result.ListenFailed, "%s", field)
	}
	srv := forward.NewServer(handler, forward.Limits{HeadBytes: maxHeadBytes, HeadTimeout: headTimeout, KeepAlive: callerIdleTimeout})
	h.servers = append(h.servers, srv)
	if address == h.cfg().Listen.Caller {
		h.callers, srv.ConnState = l, h.conns.track
	}
	h.tomb.Go(func() error {
		if err := srv.Serve(l); !stderrors.Is(err, http.ErrServerClosed) && !h.leaving.Load() {
			return err
		}
		return nil
	})
	return nil
}

// every runs fn at an interval until the host stops.
func (h *Host) every(interval time.Duration, fn func(now time.Time)) {
	h.tomb.Go(func() error {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-h.tomb.Dying():
				return nil
			case <-t.C:
				fn(time.Now())
			}
		}
	})
}

// Dead is closed when the host has stopped, also by a fault.
func (h *Host) Dead() <-chan struct{} { return h.tomb.Dead() }

// Stop ends the host at once and cuts what it holds.
func (h *Host) Stop() error {
	h.tomb.Kill(nil)
	for _, s := range h.servers {
		_ = s.Close() // the listeners and connections end either way
	}
	err := h.tomb.Wait()
	h.forward.Close()
	h.log.stop(h)
	return err
}

// Times of a graceful shutdown.
const (
	// withdrawTime is how long a leaving host goes on taking requests: callers
	// keep a look-up answer for up to lookupLife, some of them longer.
	withdrawTime = 3 * time.Second
	// acceptTime is how long an accepted connection may take to be known, and the
	// interval at which the busy ones are counted.
	acceptTime = 50 * time.Millisecond
	// exitMargin is left of the grace for the exit.
	exitMargin = 300 * time.Millisecond
)

// Shutdown withdraws the host from look-ups, answers what it holds and stops.
func (h *Host) Shutdown(ctx context.Context) error {
	began := time.Now()
	h.leaving.Store(true)
	h.log.leaving(h)
	ends := began.Add(h.cfg().Bounds.Grace.Std() - exitMargin)
	ctx, cancel := context.WithDeadline(h.tomb.Context(ctx), ends)
	defer cancel()
	if !wait.For(ctx, withdrawTime) {
		return h.Stop()
	}
	// Not http.Server.Shutdown: it drops a request that it reads meanwhile. The
	// listener and idle connections are closed, and what was accepted is answered.
	h.ends.Store(&ends)
	if err := h.callers.Close(); err != nil {
		h.log.warn(err, "the listener of callers could not be closed")
	}
	for h.conns.closeIdle(); wait.For(ctx, acceptTime) && h.conns.busy() > 0; {
		h.conns.closeIdle()
	}
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

// ready reports whether this host takes callers.
func (h *Host) ready() bool { return h.table.Load() != nil && !h.leaving.Load() }
