// Package health tracks the health of the backend servers of one pool in one
// domain by the outcomes of real requests. Probes count only for servers without
// recent real outcomes, because health and load endpoints may be stale or wrong.
package health

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// failuresToEject is the number of consecutive failures that ejects a
	// server.
	failuresToEject = 3
	// successesToRestore is the number of consecutive successes that end an
	// ejection early while panic mode keeps the server in service.
	successesToRestore = 3
	// ejectBase is the time of the first ejection before jitter. It doubles with
	// every further ejection.
	ejectBase = 5 * time.Second
	// ejectMax is the longest time of an ejection before jitter.
	ejectMax = 60 * time.Second
	// ejectJitter is the width of the random spread of an ejection time, as a
	// fraction of it, so that servers ejected together do not return together.
	ejectJitter = 0.2
	// resetEjectionsAfter is the time in service after which the next
	// ejection starts at ejectBase again.
	resetEjectionsAfter = 60 * time.Second
	// trialTimeout is the time after which another trial request is allowed if
	// the outcome of the previous one was not reported.
	trialTimeout = 5 * time.Second
	// staleEjectionAfter is the time after which an ejected server counts as healthy
	// again if nothing measures it. It is counted from the end of the ejection time
	// or the last measurement, whichever is later.
	staleEjectionAfter = 30 * time.Second
	// ProbeEvery is the longest time without an answer before a probe, and the
	// shortest time between two probes of a server; a probe costs the server
	// about 6 ms.
	ProbeEvery = 5 * time.Second
	// panicThreshold is the fraction of ejected servers above which the
	// measurements are assumed to be faulty and ejections are ignored.
	panicThreshold = 0.5
	// minWeight is the weight of a server at the start of its warm-up and of a
	// trial request.
	minWeight = 0.1
	// outlierHalfLife is the half-life of the request and error counts.
	outlierHalfLife = 10 * time.Second
	// outlierSamples is the minimum decayed request count of an outlier; the servers
	// that it is compared with need half of it.
	outlierSamples = 20
	// outlierMargin is the minimum difference between the error rate of an outlier
	// and the median, and so also the minimum error rate of an outlier.
	outlierMargin = 0.2
	// outlierFactor is the minimum ratio of the error rate of an outlier to the
	// median.
	outlierFactor = 2
	// shortTimeoutFactor is the minimum ratio of the time that a server had for a
	// request to the mean service time at which a timeout counts as a failure. In
	// an overload requests reach the servers shortly before their deadline; if
	// those timeouts ejected servers, the overload would grow and outlast its
	// cause.
	shortTimeoutFactor = 3
	// meanServiceWeight is the weight of one answer in the moving average of the
	// service time.
	meanServiceWeight = 1.0 / 64
)

// Kind says how a request ended.
type Kind int

// The kinds of outcomes.
const (
	OK      Kind = iota
	Failed       // connect refused, broken connection, malformed answer or server error
	Shed         // refused by the server without running
	Timeout      // no answer within the deadline
)

// Outcome is the result of one request or probe.
type Outcome struct {
	Kind    Kind
	Service time.Duration // from the first byte sent to the last received
}

// Config configures a Tracker.
type Config struct {
	WarmUp time.Duration // duration of slow start; 0 disables it
	Rand   *rand.Rand    // for ejection jitter, or nil for none; guarded by the Tracker's lock
}

// Tracker holds the health of the servers. It is safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	cfg         Config
	servers     map[string]*server
	names       []string      // sorted
	rates       []float64     // scratch space of outlier
	meanService time.Duration // exponential moving average over successful requests, 0 if unknown
}

// server is the state of one server.
type server struct {
	warmUpStart  time.Time // start of the current warm-up
	failures     int       // consecutive
	ejections    int       // since the last reset, see resetEjectionsAfter
	ejected      bool
	byProbe      bool // ejected because of failed probes
	ejectedUntil time.Time
	trialStart   time.Time // start of the pending trial request, or zero
	lastReal     time.Time // last outcome of a real request
	lastAnswer   time.Time // last real outcome or good probe
	lastProbe    time.Time
	measured     time.Time // last outcome or probe result of any kind
	successes    int       // consecutive, while ejected
	total, errs  float64   // decayed counts
	decayedAt    time.Time
	load         float64 // reported by the load endpoint; only shown in Dump
}

// New returns a Tracker without servers.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, servers: map[string]*server{}}
}

// SetServers replaces the list of servers. New servers are healthy and get
// slow start.
func (t *Tracker) SetServers(now time.Time, names []string) {
	t.setServers(now, names, now)
}

// SetWarmServers replaces the list of servers. New servers are healthy and have
// full weight at once. It is for a dispatcher that warms new servers up itself:
// when it takes over from another host, the servers that are new to its Tracker
// are already warm.
func (t *Tracker) SetWarmServers(now time.Time, names []string) {
	t.setServers(now, names, now.Add(-t.cfg.WarmUp))
}

func (t *Tracker) setServers(now time.Time, names []string, warmFrom time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*server, len(names))
	for _, n := range names {
		if next[n] = t.servers[n]; next[n] == nil {
			next[n] = newServer(now)
			next[n].warmUpStart = warmFrom
		}
	}
	t.servers = next
	t.names = t.names[:0]
	for n := range next {
		t.names = append(t.names, n)
	}
	slices.Sort(t.names)
}

func newServer(now time.Time) *server {
	return &server{warmUpStart: now, lastAnswer: now, measured: now, decayedAt: now}
}

// ejectedNow reports whether the server is ejected. It first ends an ejection
// that has had no measurement for staleEjectionAfter.
func (t *Tracker) ejectedNow(now time.Time, s *server) bool {
	if s.ejected && now.Sub(s.ejectedUntil) >= staleEjectionAfter && now.Sub(s.measured) >= staleEjectionAfter {
		t.restore(now, s)
	}
	return s.ejected
}

// restore puts a server back into service with slow start.
func (t *Tracker) restore(now time.Time, s *server) {
	s.ejected, s.byProbe, s.failures, s.successes = false, false, 0, 0
	s.trialStart, s.warmUpStart = time.Time{}, now
	s.total, s.errs = 0, 0
}

// inPanicMode reports whether more servers are ejected than panicThreshold
// allows. Ejections are then ignored, because the measurements are probably
// faulty.
func (t *Tracker) inPanicMode(now time.Time) bool {
	ejected := 0
	for _, s := range t.servers {
		if t.ejectedNow(now, s) {
			ejected++
		}
	}
	return float64(ejected) > panicThreshold*float64(len(t.servers))
}

// Usable reports whether the server may get a request at now. A server whose
// ejection has ended is usable until Started marks its one trial request.
// Unknown servers are not usable.
func (t *Tracker) Usable(now time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil {
		return false
	}
	if !t.ejectedNow(now, s) || t.inPanicMode(now) {
		return true
	}
	return s.halfOpen(now)
}

// halfOpen reports whether the server may get a trial request.
func (s *server) halfOpen(now time.Time) bool {
	return !now.Before(s.ejectedUntil) && (s.trialStart.IsZero() || now.Sub(s.trialStart) >= trialTimeout)
}

// Weight returns the share of its slots that the server may use at now, from
// minWeight at the start of the warm-up to 1. It is 0 for servers that are not usable
// and minWeight for a trial request.
func (t *Tracker) Weight(now time.Time, name string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	switch {
	case s == nil:
		return 0
	case t.ejectedNow(now, s) && !t.inPanicMode(now):
		if s.halfOpen(now) {
			return minWeight
		}
		return 0
	case t.cfg.WarmUp <= 0:
		return 1
	}
	return min(1, minWeight+(1-minWeight)*float64(now.Sub(s.warmUpStart))/float64(t.cfg.WarmUp))
}

// Started records that a request is sent to the server. If it is the trial
// request of a half-open server, no other one is allowed until its outcome is
// reported or trialTimeout has passed.
func (t *Tracker) Started(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[name]; s != nil && s.ejected && !now.Before(s.ejectedUntil) {
		s.trialStart = now
	}
}

// Report records the outcome of a real request. A short timeout only ends a
// pending trial request.
func (t *Tracker) Report(now time.Time, name string, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil {
		return
	}
	if t.isShortTimeout(o) {
		s.trialStart = time.Time{} // a trial request has to be repeated
		return
	}
	t.updateMeanService(o)
	s.lastReal, s.lastAnswer, s.measured = now, now, now
	s.count(now, o.Kind)
	if s.ejected {
		t.reportEjected(now, s, o.Kind)
		return
	}
	switch o.Kind {
	case OK:
		s.failures = 0
		if s.ejections > 0 && now.Sub(s.warmUpStart) >= resetEjectionsAfter {
			s.ejections = 0
		}
	case Shed:
		// The server answered, so it is alive. A high rate of refusals can
		// still eject it as an outlier.
		s.failures = 0
	default:
		s.failures++
	}
	if s.failures >= failuresToEject || t.outlier(now, s) {
		t.eject(now, s, false)
	}
}

// isShortTimeout reports whether a timeout says nothing about the server, because
// the server had too little time to answer.
func (t *Tracker) isShortTimeout(o Outcome) bool {
	return o.Kind == Timeout && o.Service > 0 && o.Service < shortTimeoutFactor*t.meanService
}

func (t *Tracker) updateMeanService(o Outcome) {
	switch {
	case o.Kind != OK || o.Service <= 0:
	case t.meanService == 0:
		t.meanService = o.Service
	default:
		t.meanService += time.Duration(meanServiceWeight * float64(o.Service-t.meanService))
	}
}

// reportEjected handles an outcome of an ejected server: of its trial request,
// of a request sent in panic mode, or of one sent before the ejection. Before the
// ejection time is over, no outcome extends the ejection, and successes end it
// only in panic mode.
func (t *Tracker) reportEjected(now time.Time, s *server, k Kind) {
	if k != OK {
		s.successes = 0
		if !now.Before(s.ejectedUntil) {
			t.eject(now, s, false)
		}
		return
	}
	s.successes++
	if !now.Before(s.ejectedUntil) || (s.successes >= successesToRestore && t.inPanicMode(now)) {
		t.restore(now, s)
	}
}

// count adds an outcome to the decayed counts.
func (s *server) count(now time.Time, k Kind) {
	s.decay(now)
	s.total++
	if k != OK {
		s.errs++
	}
}

func (s *server) decay(now time.Time) {
	for now.Sub(s.decayedAt) >= outlierHalfLife {
		s.total, s.errs = s.total/2, s.errs/2
		s.decayedAt = s.decayedAt.Add(outlierHalfLife)
		if s.total < 1 {
			s.decayedAt = now // counts below 1 are negligible; end the loop
		}
	}
}

// outlier reports whether the error rate of s is well above the median of the
// pool's other servers. It needs at least one other server with half
// of outlierSamples.
func (t *Tracker) outlier(now time.Time, s *server) bool {
	if s.total < outlierSamples || s.errs < outlierMargin*s.total {
		return false
	}
	t.rates = t.rates[:0]
	for _, name := range t.names {
		o := t.servers[name]
		o.decay(now)
		if o != s && o.total >= outlierSamples/2 {
			t.rates = append(t.rates, o.errs/o.total)
		}
	}
	if len(t.rates) < 1 {
		return false
	}
	slices.Sort(t.rates)
	median, rate := t.rates[len(t.rates)/2], s.errs/s.total
	return rate > median+outlierMargin && rate > outlierFactor*median
}

// eject takes a server out of service for a time that doubles with each ejection.
func (t *Tracker) eject(now time.Time, s *server, byProbe bool) {
	d := min(ejectBase<<min(s.ejections, 8), ejectMax) // the limit of 8 prevents an overflow
	if t.cfg.Rand != nil {
		d = time.Duration(float64(d) * (1 + ejectJitter*(t.cfg.Rand.Float64()-0.5)))
	}
	s.ejections++
	s.ejected, s.byProbe, s.trialStart = true, byProbe, time.Time{}
	s.ejectedUntil = now.Add(d)
	s.failures, s.successes, s.total, s.errs = 0, 0, 0, 0
}

// ProbeResult is the answer of the health and load endpoints, or their failure.
type ProbeResult struct {
	Outcome Outcome
	Load    float64 // fraction of slots in use as reported by the server
}

// Probed records the result of a probe. It neither ejects nor restores a
// server with a real outcome within ProbeEvery, and a good probe does not restore
// a server that was ejected because of real requests.
func (t *Tracker) Probed(now time.Time, name string, r ProbeResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil {
		return
	}
	s.load, s.measured = r.Load, now
	if !s.lastReal.IsZero() && now.Sub(s.lastReal) < ProbeEvery {
		return
	}
	good := r.Outcome.Kind == OK || r.Outcome.Kind == Shed
	switch {
	case good:
		s.lastAnswer = now
		if s.ejected && s.byProbe {
			t.restore(now, s)
		} else if !s.ejected {
			s.failures = 0
		}
	case s.ejected && s.byProbe && !now.Before(s.ejectedUntil):
		t.eject(now, s, true)
	case !s.ejected:
		if s.failures++; s.failures >= failuresToEject {
			t.eject(now, s, true)
		}
	}
}

// NextProbes returns the servers to be probed at now, sorted: those without an
// answer for ProbeEvery, each at most once per ProbeEvery.
func (t *Tracker) NextProbes(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, name := range t.names {
		s := t.servers[name]
		if now.Sub(s.lastAnswer) >= ProbeEvery && (s.lastProbe.IsZero() || now.Sub(s.lastProbe) >= ProbeEvery) {
			s.lastProbe = now
			out = append(out, name)
		}
	}
	return out
}

// ServerDump is the state of one server.
type ServerDump struct {
	Name      string
	Ejected   bool
	Until     time.Time
	Ejections int
	Failures  int
	ErrorRate float64
	Load      float64 // as reported by the server; not used for decisions
}

// Dump is the state of a Tracker.
type Dump struct {
	Panic   bool
	Servers []ServerDump
}

// Dump returns the state at now, sorted by server.
func (t *Tracker) Dump(now time.Time) Dump {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Dump{Panic: t.inPanicMode(now)}
	for _, name := range t.names {
		s := t.servers[name]
		d.Servers = append(d.Servers, ServerDump{name, t.ejectedNow(now, s), s.ejectedUntil, s.ejections, s.failures, s.errs / max(s.total, 1), s.load})
	}
	return d
}
