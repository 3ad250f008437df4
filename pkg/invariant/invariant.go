// Package invariant checks what must hold in every run. Scenarios under virtual
// time and the demonstration report events to one Checker and ask it for
// violations at the end.
package invariant

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Limits of the checks.
const (
	// DrainGrace is how long a draining server may still be given new work.
	DrainGrace = 5 * time.Second
	// ConfigDelay is the longest time until an accepted table is in force.
	ConfigDelay = 7 * time.Second
	// ShiftWindow is the time over which growth of shifted traffic is measured.
	ShiftWindow = time.Second
	// PlatformWrites and PlatformReads bound the platform calls per second.
	PlatformWrites = 300
	PlatformReads  = 2000
	// ControlBytes bounds the control traffic of one node in bytes per second.
	ControlBytes = 19_000
)

// Names of the invariants, used as keys of counts and violations.
const (
	ShiftUnderCap    = "1 shift-under-cap"
	NoOverload       = "2 no-region-overloaded"
	OwnAnswer        = "3 whole-own-answer"
	NotRunIsTrue     = "4 not-run-is-true"
	AtMostOnce       = "5 at-most-once"
	DrainedServer    = "6 no-work-for-leaving-server"
	GracefulShutdown = "7 graceful-shutdown-cuts-nothing"
	ConfigInForce    = "8 config-in-force"
	ControlCost      = "9 control-cost"
)

// Names lists the invariants in order.
var Names = []string{
	ShiftUnderCap, NoOverload, OwnAnswer, NotRunIsTrue, AtMostOnce,
	DrainedServer, GracefulShutdown, ConfigInForce, ControlCost,
}

// maxViolations bounds the kept messages; counts go on.
const maxViolations = 100

// Checker collects events and violations. It is safe for concurrent use.
type Checker struct {
	mu         sync.Mutex
	checks     map[string]int
	broken     map[string]int
	violations []string

	runs      map[string]int
	onceWork  map[string]bool
	notRun    map[string]bool
	drained   map[string]time.Time
	shifts    map[string][]sample
	accepted  map[string][]acceptance
	inForce   map[string]int64
	required  map[string]bool
	calls     map[int64][2]int
	nodeBytes map[string]map[int64]int
}

type sample struct {
	at    time.Time // when its reading began
	level float64
}

type acceptance struct {
	at      time.Time
	version int64
}

// New returns an empty Checker.
func New() *Checker {
	return &Checker{
		checks: map[string]int{}, broken: map[string]int{},
		runs: map[string]int{}, onceWork: map[string]bool{}, notRun: map[string]bool{},
		drained: map[string]time.Time{}, shifts: map[string][]sample{},
		accepted: map[string][]acceptance{}, inForce: map[string]int64{}, required: map[string]bool{},
		calls: map[int64][2]int{}, nodeBytes: map[string]map[int64]int{},
	}
}

func (c *Checker) check(name string, ok bool, format string, args ...any) {
	c.checks[name]++
	if ok {
		return
	}
	c.broken[name]++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, name+": "+fmt.Sprintf(format, args...))
	}
}

// Shift reports the traffic that from sends to to for a pool, in slots. limit
// is the allowed growth in slots per ShiftWindow; a growth of one slot is
// always allowed because slots are whole.
func (c *Checker) Shift(now time.Time, from, to, pool string, level, limit float64) {
	c.ShiftRead(now, now, from, to, pool, level, limit)
}

// ShiftRead is Shift for a level that was read at some time between before and
// after. Growth is too fast if it is so wherever in them the levels were read.
func (c *Checker) ShiftRead(before, after time.Time, from, to, pool string, level, limit float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := from + ">" + to + "/" + pool
	kept := c.shifts[key][:0]
	lowest := level
	for _, s := range c.shifts[key] {
		if after.Sub(s.at) <= ShiftWindow {
			kept = append(kept, s)
			lowest = min(lowest, s.level)
		}
	}
	c.shifts[key] = append(kept, sample{before, level})
	c.check(ShiftUnderCap, level-lowest <= max(limit, 1)+1e-9,
		"%s grew by %.2f slots within %s, the cap is %.2f", key, level-lowest, ShiftWindow, limit)
}

// Load reports the requests that a domain or server runs against its slots.
func (c *Checker) Load(where string, running, slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(NoOverload, running <= slots, "%s runs %d requests on %d slots", where, running, slots)
}

// LinkUse reports the bytes sent over a directed link within one second.
func (c *Checker) LinkUse(link string, bytes, limit float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(NoOverload, bytes <= limit, "link %s carried %.0f bytes in one second, the cap is %.0f", link, bytes, limit)
}

// Answered reports an answer that a caller took as complete.
func (c *Checker) Answered(request, answerFor string, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(OwnAnswer, whole && request == answerFor,
		"request %s got the answer of %s, whole=%v", request, answerFor, whole)
}

// Ran reports that a backend server ran a piece of work.
func (c *Checker) Ran(work string, idempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[work]++
	if !idempotent {
		c.onceWork[work] = true
	}
}

// Refused reports the run state that a caller was told for the last attempt of
// a piece of work.
func (c *Checker) Refused(work string, state result.RunState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == result.NotRun {
		c.notRun[work] = true
	} else {
		delete(c.notRun, work)
	}
}

// Draining reports that the tables in force drain a server from now on.
func (c *Checker) Draining(now time.Time, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained[server] = now
}

// Returned reports that a server is no longer drained.
func (c *Checker) Returned(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drained, server)
}

// Assigned reports new work for a server.
func (c *Checker) Assigned(now time.Time, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.drained[server]
	c.check(DrainedServer, !ok || now.Sub(at) <= DrainGrace, "server %s got work %s after its drain", server, now.Sub(at))
}

// Shutdown reports how many requests a graceful shutdown cut.
func (c *Checker) Shutdown(host string, cut int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(GracefulShutdown, cut == 0, "shutdown of %s cut %d requests", host, cut)
}

// Accepted reports a table version that the platform accepted.
func (c *Checker) Accepted(now time.Time, table string, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted[table] = append(c.accepted[table], acceptance{now, version})
}

// Require says whether host has to have every accepted version in force; a host
// that is dead or cut off is not required to.
func (c *Checker) Require(host string, required bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.required[host] = required
}

// InForce reports the version that one process has in force. host names the
// process including its incarnation.
func (c *Checker) InForce(host, table string, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := host + "/" + table
	c.check(ConfigInForce, version >= c.inForce[key], "%s went back from version %d to %d", key, c.inForce[key], version)
	c.inForce[key] = version
}

// CheckConfig checks that every required host has what was accepted more than
// ConfigDelay ago.
func (c *Checker) CheckConfig(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for table, list := range c.accepted {
		due := int64(0)
		for _, a := range list {
			if now.Sub(a.at) > ConfigDelay {
				due = max(due, a.version)
			}
		}
		for host, required := range c.required {
			if required {
				got := c.inForce[host+"/"+table]
				c.check(ConfigInForce, got >= due, "%s has version %d of %s, version %d was accepted over %s ago", host, got, table, due, ConfigDelay)
			}
		}
	}
}

// PlatformCall reports one call; a waiting watch counts once as a read.
func (c *Checker) PlatformCall(now time.Time, write bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.calls[now.Unix()]
	if write {
		n[0]++
	} else {
		n[1]++
	}
	c.calls[now.Unix()] = n
}

// ControlTraffic reports control bytes that a node sent or received.
func (c *Checker) ControlTraffic(now time.Time, node string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodeBytes[node] == nil {
		c.nodeBytes[node] = map[int64]int{}
	}
	c.nodeBytes[node][now.Unix()] += bytes
}

// ControlRead reports control bytes that a node sent or received at some time
// between two readings of its counter, and spreads them evenly.
func (c *Checker) ControlRead(since, now time.Time, node string, bytes int) {
	total, done := now.Sub(since), 0
	for from := since; from.Before(now); {
		to := time.Unix(from.Unix()+1, 0)
		if to.After(now) {
			to = now
		}
		upTo := int(float64(bytes) * float64(to.Sub(since)) / float64(total))
		c.ControlTraffic(from, node, upTo-done)
		from, done = to, upTo
	}
}

// finish evaluates the checks that need the whole run.
func (c *Checker) finish() {
	for work := range c.runs {
		if c.onceWork[work] {
			c.check(AtMostOnce, c.runs[work] <= 1, "%s ran %d times", work, c.runs[work])
		}
	}
	for work := range c.notRun {
		c.check(NotRunIsTrue, c.runs[work] == 0, "%s was refused as not-run but ran %d times", work, c.runs[work])
	}
	for second, n := range c.calls {
		c.check(ControlCost, n[0] <= PlatformWrites && n[1] <= PlatformReads,
			"platform took %d writes and %d reads in second %d", n[0], n[1], second)
	}
	for node, seconds := range c.nodeBytes {
		c.check(ControlCost, meanOf(seconds) <= ControlBytes, "node %s spent %.0f control bytes a second", node, meanOf(seconds))
	}
}

// meanOf returns the mean over the span between first and last second.
func meanOf(seconds map[int64]int) float64 {
	if len(seconds) == 0 {
		return 0
	}
	first, last, sum := int64(1<<62), int64(-1<<62), 0
	for s, n := range seconds {
		first, last, sum = min(first, s), max(last, s), sum+n
	}
	return float64(sum) / float64(last-first+1)
}

// Summary is the result of a run.
type Summary struct {
	// Checks and Broken count by invariant name.
	Checks, Broken map[string]int
	// Violations holds the first messages, sorted.
	Violations []string
	// ControlBytes is the highest mean control traffic of a node in bytes per
	// second; PlatformWrites and PlatformReads are the highest numbers of calls
	// within one second.
	ControlBytes                  float64
	PlatformWrites, PlatformReads int
}

// OK reports whether no check failed.
func (s Summary) OK() bool { return len(s.Violations) == 0 }

// Finish evaluates the remaining checks and returns the result. Call it once.
func (c *Checker) Finish() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finish()
	sort.Strings(c.violations)
	s := Summary{Checks: c.checks, Broken: c.broken, Violations: c.violations}
	for _, seconds := range c.nodeBytes {
		s.ControlBytes = max(s.ControlBytes, meanOf(seconds))
	}
	for _, n := range c.calls {
		s.PlatformWrites, s.PlatformReads = max(s.PlatformWrites, n[0]), max(s.PlatformReads, n[1])
	}
	return s
}
