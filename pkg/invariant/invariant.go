// Package invariant checks the invariants of the system during a run. Scenarios
// in virtual time and the demonstration (pkg/demo) report events to one Checker,
// which returns the violations at the end of the run.
package invariant

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const (
	// DrainGrace is how long after the start of its drain a server may still be
	// assigned new work.
	DrainGrace = 5 * time.Second
	// ConfigDelay is the longest permitted time from the acceptance of a table
	// version by the platform until every required host has it in force.
	ConfigDelay = 7 * time.Second
	// ShiftWindow is the sliding window over which the growth of shifted traffic
	// is measured.
	ShiftWindow = time.Second
	// PlatformWrites is the maximum number of write calls to the platform within
	// one second, over all callers.
	PlatformWrites = 300
	// PlatformReads is the maximum number of read calls to the platform within
	// one second, over all callers.
	PlatformReads = 2000
	// ControlBytes is the maximum mean control traffic of one node, sent and
	// received, in bytes per second.
	ControlBytes = 19_000
)

// Names of the invariants. They are the keys of the counts in Summary and the
// prefixes of violation messages.
const (
	// ShiftUnderCap: shifted traffic grows by no more than its limit within
	// ShiftWindow.
	ShiftUnderCap = "1 shift-under-cap"
	// NoOverload: no failure domain or server runs more requests than it has
	// slots, and no link carries more bytes per second than its maximum.
	NoOverload = "2 no-region-overloaded"
	// OwnAnswer: an answer that a caller accepts is complete and belongs to its
	// request.
	OwnAnswer = "3 whole-own-answer"
	// NotRunIsTrue: work whose last attempt was reported to its caller as not run
	// has never run.
	NotRunIsTrue = "4 not-run-is-true"
	// AtMostOnce: work that is not idempotent runs at most once.
	AtMostOnce = "5 at-most-once"
	// DrainedServer: a draining server is assigned no new work after DrainGrace.
	DrainedServer = "6 no-work-for-leaving-server"
	// GracefulShutdown: a graceful shutdown cuts off no request.
	GracefulShutdown = "7 graceful-shutdown-cuts-nothing"
	// ConfigInForce: every required host has an accepted table version in force
	// within ConfigDelay, and no process goes back to an earlier version.
	ConfigInForce = "8 config-in-force"
	// ControlCost: platform calls and control traffic stay within PlatformWrites,
	// PlatformReads and ControlBytes.
	ControlCost = "9 control-cost"
)

// Names lists the invariants in the order of their numbers.
var Names = []string{
	ShiftUnderCap, NoOverload, OwnAnswer, NotRunIsTrue, AtMostOnce,
	DrainedServer, GracefulShutdown, ConfigInForce, ControlCost,
}

// maxViolations is the maximum number of violation messages kept. Later
// violations are only counted.
const maxViolations = 100

// Checker records events and the violations found in them. It is safe for
// concurrent use.
type Checker struct {
	mu         sync.Mutex
	checks     map[string]int // number of checks by invariant name
	broken     map[string]int // number of failed checks by invariant name
	violations []string       // the first maxViolations messages

	runs            map[string]int           // number of runs by work
	nonIdempotent   map[string]bool          // work that must run at most once
	refusedAsNotRun map[string]bool          // work whose last attempt was reported to its caller as not run
	drainingSince   map[string]time.Time     // start of the drain by server
	shiftSamples    map[string][]shiftSample // recent samples by "from>to/series"
	accepted        map[string][]acceptance  // by table
	inForce         map[string]int64         // version by "host/table"
	required        map[string]bool          // by host; see Require
	platformCalls   map[int64][2]int         // numbers of writes and reads by Unix second
	controlBytes    map[string]map[int64]int // by node and Unix second
}

// shiftSample is one reading of the level of shifted traffic, in slots.
type shiftSample struct {
	readFrom time.Time // start of the reading
	level    float64
}

// acceptance records when the platform accepted a table version.
type acceptance struct {
	at      time.Time
	version int64
}

// New returns an empty Checker.
func New() *Checker {
	return &Checker{
		checks: map[string]int{}, broken: map[string]int{},
		runs: map[string]int{}, nonIdempotent: map[string]bool{}, refusedAsNotRun: map[string]bool{},
		drainingSince: map[string]time.Time{}, shiftSamples: map[string][]shiftSample{},
		accepted: map[string][]acceptance{}, inForce: map[string]int64{}, required: map[string]bool{},
		platformCalls: map[int64][2]int{}, controlBytes: map[string]map[int64]int{},
	}
}

// check counts a check of the named invariant and records a violation unless ok
// holds. The caller holds c.mu.
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

// Shift reports the level, in slots, of the traffic that one failure domain
// shifts to another. series tells apart the levels of one pair of domains, for
// example by pool; growth is measured within a series. limit is the allowed
// growth in slots within ShiftWindow. Growth by one slot is always allowed
// because slots cannot be divided.
func (c *Checker) Shift(now time.Time, from, to, series string, level, limit float64) {
	c.ShiftRead(now, now, from, to, series, level, limit)
}

// ShiftRead is like Shift for a level that was read at an unknown time between
// before and after. It reports a violation only if the growth exceeds limit
// whatever the actual times of the readings within their intervals were.
func (c *Checker) ShiftRead(before, after time.Time, from, to, series string, level, limit float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := from + ">" + to + "/" + series
	recent := c.shiftSamples[key][:0]
	lowest := level
	for _, s := range c.shiftSamples[key] {
		if after.Sub(s.readFrom) <= ShiftWindow {
			recent = append(recent, s)
			lowest = min(lowest, s.level)
		}
	}
	c.shiftSamples[key] = append(recent, shiftSample{before, level})
	// The 1e-9 slots allow for floating-point rounding.
	c.check(ShiftUnderCap, level-lowest <= max(limit, 1)+1e-9,
		"%s grew by %.2f slots within %s, the cap is %.2f", key, level-lowest, ShiftWindow, limit)
}

// Load reports how many requests a failure domain or server is running and how
// many slots it has.
func (c *Checker) Load(where string, running, slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(NoOverload, running <= slots, "%s runs %d requests on %d slots", where, running, slots)
}

// LinkUse reports the bytes sent over a directed link within one second; limit
// is the maximum.
func (c *Checker) LinkUse(link string, bytes, limit float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(NoOverload, bytes <= limit, "link %s carried %.0f bytes in one second, the cap is %.0f", link, bytes, limit)
}

// Answered reports an answer that a caller accepted as complete. answeredRequest
// is the request that the answer belongs to; whole says whether the answer was in
// fact complete.
func (c *Checker) Answered(request, answeredRequest string, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(OwnAnswer, whole && request == answeredRequest,
		"request %s got the answer of %s, whole=%v", request, answeredRequest, whole)
}

// Ran reports that a backend server ran a piece of work once.
func (c *Checker) Ran(work string, idempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[work]++
	if !idempotent {
		c.nonIdempotent[work] = true
	}
}

// Refused reports the run state that a caller received for the last attempt at
// a piece of work.
func (c *Checker) Refused(work string, state result.RunState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == result.NotRun {
		c.refusedAsNotRun[work] = true
	} else {
		delete(c.refusedAsNotRun, work)
	}
}

// Draining reports that the tables in force drain a server, starting at now.
func (c *Checker) Draining(now time.Time, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainingSince[server] = now
}

// Returned reports that a server is no longer drained.
func (c *Checker) Returned(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drainingSince, server)
}

// Assigned reports that a server was assigned new work.
func (c *Checker) Assigned(now time.Time, server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.drainingSince[server]
	c.check(DrainedServer, !ok || now.Sub(at) <= DrainGrace, "server %s got work %s after its drain", server, now.Sub(at))
}

// Shutdown reports how many requests were cut off by a graceful shutdown of
// host.
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

// Require sets whether CheckConfig expects host to have the accepted versions in
// force. A host that is dead or partitioned is not required to. host names the
// process including its incarnation, as for InForce.
func (c *Checker) Require(host string, required bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.required[host] = required
}

// InForce reports the table version that one process has in force, which must
// never decrease. host names the process including its incarnation.
func (c *Checker) InForce(host, table string, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := host + "/" + table
	c.check(ConfigInForce, version >= c.inForce[key], "%s went back from version %d to %d", key, c.inForce[key], version)
	c.inForce[key] = version
}

// CheckConfig checks that every required host has in force at least the latest
// version of each table that was accepted more than ConfigDelay ago.
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

// PlatformCall reports one call to the platform. A watch that is waiting
// for a change counts once, as a read.
func (c *Checker) PlatformCall(now time.Time, write bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.platformCalls[now.Unix()]
	if write {
		n[0]++
	} else {
		n[1]++
	}
	c.platformCalls[now.Unix()] = n
}

// ControlTraffic reports bytes of control traffic that a node sent or received
// at now.
func (c *Checker) ControlTraffic(now time.Time, node string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.controlBytes[node] == nil {
		c.controlBytes[node] = map[int64]int{}
	}
	c.controlBytes[node][now.Unix()] += bytes
}

// ControlRead reports bytes of control traffic that a node sent or received
// between two readings of its counter, at since and now. The bytes are spread
// evenly over that interval.
func (c *Checker) ControlRead(since, now time.Time, node string, bytes int) {
	total, reported := now.Sub(since), 0
	for from := since; from.Before(now); {
		to := time.Unix(from.Unix()+1, 0)
		if to.After(now) {
			to = now
		}
		// Rounding the running total instead of each part keeps rounding errors
		// from adding up.
		reportedAfter := int(float64(bytes) * float64(to.Sub(since)) / float64(total))
		c.ControlTraffic(from, node, reportedAfter-reported)
		from, reported = to, reportedAfter
	}
}

// checkWholeRun evaluates the checks that need the whole run. The caller holds
// c.mu.
func (c *Checker) checkWholeRun() {
	for work := range c.runs {
		if c.nonIdempotent[work] {
			c.check(AtMostOnce, c.runs[work] <= 1, "%s ran %d times", work, c.runs[work])
		}
	}
	for work := range c.refusedAsNotRun {
		c.check(NotRunIsTrue, c.runs[work] == 0, "%s was refused as not-run but ran %d times", work, c.runs[work])
	}
	for second, n := range c.platformCalls {
		c.check(ControlCost, n[0] <= PlatformWrites && n[1] <= PlatformReads,
			"platform took %d writes and %d reads in second %d", n[0], n[1], second)
	}
	for node, seconds := range c.controlBytes {
		c.check(ControlCost, meanPerSecond(seconds) <= ControlBytes, "node %s spent %.0f control bytes a second", node, meanPerSecond(seconds))
	}
}

// meanPerSecond returns the mean number of bytes per second, from the first to
// the last second with an entry; seconds without an entry in between count as 0.
func meanPerSecond(seconds map[int64]int) float64 {
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
	// Checks and Broken are the numbers of checks made and of failed checks by
	// invariant name.
	Checks, Broken map[string]int
	// Violations holds the first maxViolations messages, sorted.
	Violations []string
	// ControlBytes is the highest mean control traffic of any node, in bytes per
	// second.
	ControlBytes float64
	// PlatformWrites and PlatformReads are the highest numbers of platform calls
	// within one second.
	PlatformWrites, PlatformReads int
}

// OK reports whether no check failed.
func (s Summary) OK() bool { return len(s.Violations) == 0 }

// Finish evaluates the checks that need the whole run and returns the result.
// It must be called only once.
func (c *Checker) Finish() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkWholeRun()
	sort.Strings(c.violations)
	s := Summary{Checks: c.checks, Broken: c.broken, Violations: c.violations}
	for _, seconds := range c.controlBytes {
		s.ControlBytes = max(s.ControlBytes, meanPerSecond(seconds))
	}
	for _, n := range c.platformCalls {
		s.PlatformWrites, s.PlatformReads = max(s.PlatformWrites, n[0]), max(s.PlatformReads, n[1])
	}
	return s
}
