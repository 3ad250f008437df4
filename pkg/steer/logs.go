package steer

import (
	"bytes"
	"fmt"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/tamarackswitch/tamarackswitch/pkg/conns"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/placing"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/shutdown"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// eventLog writes one line per decision. A token bucket limits the rate of lines
// about requests and repeated warnings; the metrics count the dropped ones.
type eventLog struct {
	*log.Logger
	limiter *rate.Limiter
	dropped prometheus.Counter
	store   storeOutages
}

func newEventLog(l *log.Logger, perSecond int) *eventLog {
	return &eventLog{Logger: l, limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// allow reports whether a rate-limited line may be written.
func (l *eventLog) allow() bool {
	if l.limiter.Allow() {
		return true
	}
	l.dropped.Inc()
	return false
}

func (l *eventLog) start(h *Host) {
	l.Info().Str("host", h.self.Name).Str("domain", h.self.Domain).Str("region", h.region).Int64("started", h.self.StartedMS).
		Str("caller", h.cfg().Listen.Caller).Msg("entry host started")
}

func (l *eventLog) stop(h *Host) {
	l.Info().Str("host", h.self.Name).Int64("held", h.held.Load()).Msg("entry host stopped")
}

func (l *eventLog) reloaded(h *Host, restart bool) {
	l.Info().Str("host", h.self.Name).Bool("restart_needed", restart).Msg("settings reloaded")
}

// ReloadFailed logs that new settings could not be read. The previous ones stay in
// force.
func (h *Host) ReloadFailed(err error) {
	h.log.Error().Err(err).Msg("settings could not be reloaded, the previous ones stay in force")
}

// configure sets the limit on the rate of lines, and the log level.
func (l *eventLog) configure(c Log) {
	l.limiter.SetLimit(rate.Limit(c.LinesPerSecond))
	l.limiter.SetBurst(c.LinesPerSecond)
	l.SetLevel(log.ParseLevel(c.Level))
}

func (l *eventLog) leaving(h *Host, p *shutdown.Plan) {
	n := h.callers.Count()
	l.Info().Str("host", h.self.Name).Int64("held", h.held.Load()).Int("open", n.Open).Int("idle", n.Idle).
		Int64("late_ms", h.guard.Peak(time.Now()).Milliseconds()).Int64("end_ms", time.Until(p.End).Milliseconds()).Msg("entry host is leaving")
}

// shutdownEnds logs what is aborted at the end of a shutdown: held requests, and
// connections of which some are idle.
func (l *eventLog) shutdownEnds(h *Host, n conns.Counts) {
	l.Info().Str("host", h.self.Name).Int64("held", h.held.Load()).Int("open", n.Open).Int("idle", n.Idle).Msg("shutdown ends")
}

func (l *eventLog) warn(err error, msg string) {
	if l.allow() {
		l.Warn().Str("error", clip(err.Error())).Msg(msg)
	}
}

func (l *eventLog) panicked(task string, cause any, stack []byte) {
	if l.allow() {
		l.Error().Str("task", task).Str("cause", fmt.Sprint(cause)).Str("stack", string(stack[:min(len(stack), maxStackBytes)])).
			Msg("unexpected error, only this task ended")
	}
}

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

func (l *eventLog) library(line []byte) {
	if l.allow() {
		l.Warn().Str("line", string(bytes.TrimSpace(line[:min(len(line), maxTextBytes)]))).Msg("message of a library")
	}
}

func (l *eventLog) overload(overloaded bool, late time.Duration, held int64) {
	if !l.allow() {
		return
	}
	msg := "processor time suffices again"
	if overloaded {
		msg = "processor time does not suffice"
	}
	l.Warn().Int64("late_ms", late.Milliseconds()).Int64("held", held).Msg(msg)
}

func (l *eventLog) peerLost(name string) {
	if l.allow() {
		l.Warn().Str("peer", clip(name)).Msg("peer is silent")
	}
}

func (l *eventLog) peerRegained(name string, silent time.Duration) {
	l.Info().Str("peer", name).Int64("silent_ms", silent.Milliseconds()).Msg("peer is heard again")
}

func (l *eventLog) role(r feed.Role, age time.Duration, groupSize int) {
	l.Info().Bool("watch", r.Watch).Str("follow", r.Follow).Int("rank", r.Rank).Int("group", groupSize).Int64("age_ms", age.Milliseconds()).
		Msg("source of the store's changes chosen")
}

// fetchingFromPeer logs that this host fetches a peer's copy of the store, because
// the copy has newer revisions. It may be stale nevertheless, because no host of the
// group reaches the store.
func (l *eventLog) fetchingFromPeer(from string) {
	l.Info().Str("peer", from).Msg("a peer is ahead, fetching its copy of the store")
}

func (l *eventLog) turnedAway(key turnedAwayKey, clients int) {
	l.Warn().Str("listener", key.listener).Str("reason", string(key.reason)).Int("clients", clients).Msg("clients turned away")
}

func (l *eventLog) dispatcher(pool, before, after string, hosts int) {
	l.Info().Str("pool", pool).Str("before", before).Str("dispatcher", after).Int("hosts", hosts).Msg("dispatcher chosen")
}

func (l *eventLog) pool(name string, s placing.State, waiting, inFlight int) {
	l.Info().Str("pool", name).Int("servers", s.Servers).Int("usable", s.Usable).Int("slots", s.Slots).Float64("load", s.Load).
		Float64("pressure", s.Pressure).Float64("remote_pressure", s.Remote).Float64("away", s.RemoteShare).Any("limits", s.Limits).
		Int("waiting", waiting).Int("flights", inFlight).Msg("pool")
}

func (l *eventLog) dispatcherSilent(name, pool string) {
	if l.allow() {
		l.Warn().Str("pool", pool).Str("dispatcher", name).Msg("dispatcher does not answer, placing requests here")
	}
}

// maxTextBytes bounds each text in a log line that another program has chosen: clients, servers
// and writers to the store could fill the log with long ones.
const maxTextBytes = 256

// clip returns the beginning of a text that another program has chosen.
func clip(text string) string { return text[:min(len(text), maxTextBytes)] }

func (l *eventLog) unreadable(kind string, e feed.Unreadable) {
	if !l.allow() {
		return
	}
	text := e.Err.Error()
	l.Warn().Str("kind", kind).Str("name", clip(e.Name)).Str("error", clip(text)).
		Msg("entry in the store cannot be read and is ignored")
}

func (l *eventLog) readable(kind, name string) {
	if l.allow() {
		l.Info().Str("kind", kind).Str("name", clip(name)).Msg("entry in the store is readable again or gone")
	}
}

func (l *eventLog) historyGone(kind feed.Kind) {
	l.Info().Str("kind", kind.String()).Msg("the store no longer has the changes after the watched revision, listing all objects")
}

// restored logs that the copy of a kind has moved to a later era of the store, and how
// much is held of what it knew before.
func (l *eventLog) restored(kind feed.Kind, source string, before, after feed.Position, held int) {
	l.Warn().Str("kind", kind.String()).Str("source", source).Int64("era_before", before.Era).Int64("revision_before", before.Revision).
		Int64("era", after.Era).Int64("revision", after.Revision).Int("held", held).Msg("the store has come back from an older copy")
}

func (l *eventLog) tableApplied(old, t *fleet.Table) {
	e := l.Info().Int64("version", t.Version).Int("routes", len(t.Routes)).Int("pools", len(t.Pools))
	if old != nil {
		e = e.Int64("before", old.Version)
	}
	e.Msg("tables in force")
}

func (l *eventLog) serversListed(listed, known, lapsed int) {
	l.Info().Int("listed", listed).Int("known", known).Int("lapsed", lapsed).Msg("backend servers changed")
}

func (l *eventLog) serversExpired() {
	l.Info().Msg("backend servers with lapsed registrations removed")
}

func (l *eventLog) evacuated(domains []string) {
	l.Info().Strs("domains", domains).Msg("evacuated failure domains changed")
}

// request logs the outcome of a request and what it depended on: the table version,
// route, pool and server, and the server's load. If this host ended the request,
// copies describes its copies of the tables and the servers.
func (l *eventLog) request(x *exchange, status int, err *result.Error, copies func(feed.Kind) copyStatus) {
	if !l.allow() {
		return
	}
	e := l.Info()
	if err != nil && err.Run != result.NotRun {
		e = l.Warn()
	}
	e = e.Str("id", clip(x.requestID)).Int("status", status).Int64("ms", time.Since(x.started).Milliseconds())
	if x.table != nil {
		e = e.Int64("version", x.table.Version)
		if x.latestVersion != x.table.Version {
			e = e.Int64("version_at_end", x.latestVersion)
		}
	}
	if x.route != nil {
		e = e.Str("route", x.route.Name).Str("key", clip(x.need.Key)).Int64("wait_ms", x.waited.Milliseconds()).Int("attempts", x.attempts)
	}
	if x.pool != nil {
		e = e.Str("pool", x.pool.name)
	}
	if x.attempts > 0 {
		e = withServer(e, x)
	}
	if x.trace.BodyCut {
		e = e.Bool("body_cut", true)
	}
	if err != nil {
		e = e.Int("code", int(err.Code)).Str("run", string(err.Run)).Str("error", clip(err.Error()))
		if err.RetryAfter > 0 {
			e = e.Int64("retry_after_ms", err.RetryAfter.Milliseconds())
		}
		for _, kind := range []feed.Kind{feed.Tables, feed.Servers} {
			e = withCopy(e, kind.String(), copies(kind))
		}
	}
	e.Msg("request")
}

// withCopy adds the status of this host's copy of one kind of objects.
func withCopy(e *log.Entry, kind string, s copyStatus) *log.Entry {
	e = e.Int64(kind+"_era", s.Era).Int64(kind+"_revision", s.Revision).Int64(kind+"_age_ms", s.AgeMS).Str(kind+"_source", s.Source)
	if s.NotTaken != nil {
		e = e.Str(kind+"_not_taken", s.NotTaken.String())
	}
	return e
}

// attempt logs an attempt that failed, with what happened on its connection.
func (l *eventLog) attempt(x *exchange, took time.Duration, err *result.Error) {
	if !l.allow() {
		return
	}
	e := l.Info().Str("id", clip(x.requestID)).Int("attempt", x.attempts).Int64("took_ms", took.Milliseconds())
	e = e.Int64("conn", x.trace.Conn).Int("conn_answers", x.trace.EarlierAnswers).Int64("written", x.trace.Written)
	if x.trace.Basis != "" {
		e = e.Str("basis", string(x.trace.Basis))
	}
	withServer(e, x).Int("code", int(err.Code)).Str("run", string(err.Run)).Str("error", clip(err.Error())).Msg("send failed")
}

func (l *eventLog) serverLeaving(x *exchange) {
	c := x.reservation.choice
	l.Info().Str("id", clip(x.requestID)).Str("pool", x.pool.name).Str("server", c.Server.ID).Int64("started", c.Server.StartedMS).
		Msg("backend server said that it leaves, it gets no new requests")
}

func (l *eventLog) serverPause(x *exchange, pause time.Duration) {
	if l.allow() {
		l.Info().Str("id", clip(x.requestID)).Str("pool", x.pool.name).Str("server", x.reservation.choice.Server.ID).Int64("pause_ms", pause.Milliseconds()).
			Msg("backend server wants no requests from this host for a time")
	}
}

// withServer adds the server of the request's last attempt, and what was known
// about it when it was chosen.
func withServer(e *log.Entry, x *exchange) *log.Entry {
	c := x.reservation.choice
	return e.Str("server", c.Server.ID).Str("address", c.Server.Address).Str("domain", c.Server.Domain).Bool("remote", c.Remote).
		Str("granter", x.reservation.granter).Int64("expected_ms", c.Expected.Milliseconds()).Float64("load", c.Load).Int("slots", c.Server.Slots)
}
