package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/entry"
	"github.com/tamarackswitch/tamarackswitch/pkg/invariant"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// watchedState remembers what the last look at the cluster showed.
type watchedState struct {
	mu      sync.Mutex
	started map[string]int     // work started by server
	bytes   map[string]counted // control bytes by process
	known   map[string]string  // process by host name
	reads   int
	writes  int
}

// counted is a reading of a counter.
type counted struct {
	at    time.Time
	total int64
}

// drop stops requiring anything of a host that is about to end.
func (w *watchedState) drop(c *invariant.Checker, host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if process, ok := w.known[host]; ok {
		c.Require(process, false)
		delete(w.known, host)
	}
}

// watch feeds the checker from the state of all parts until ctx ends.
func (r *run) watch(ctx context.Context) {
	r.watched.started, r.watched.bytes, r.watched.known = map[string]int{}, map[string]counted{}, map[string]string{}
	t := time.NewTicker(watchPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.look(time.Now()) // the tick's time is older after a slow look
		}
	}
}

func (r *run) look(now time.Time) {
	w := &r.watched
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range r.cluster.Servers {
		c := s.Counts()
		total := c.Running + c.Completed + c.Cancelled + c.Expired
		if total > w.started[s.Address] {
			r.checker.Assigned(now, s.Address)
		}
		w.started[s.Address] = total
		r.checker.Load(s.Address, c.MaxRunning, s.Slots)
	}
	for _, n := range r.cluster.Nodes() {
		r.lookAtNode(n)
	}
	r.lookAtShifts()
	r.checker.CheckConfig(now)
	counts := r.cluster.Platform.Counts()
	for ; w.reads < counts.Reads+counts.Watches; w.reads++ {
		r.checker.PlatformCall(now, false)
	}
	for ; w.writes < counts.Writes; w.writes++ {
		r.checker.PlatformCall(now, true)
	}
}

func (r *run) lookAtNode(n *Node) {
	w := &r.watched
	s := n.Host.Status()
	process := fmt.Sprintf("%s/%d", s.Name, s.Incarnation)
	if _, ok := w.known[s.Name]; !ok && s.RoutesVersion == 0 {
		return // a new process has no tables for a moment
	}
	if w.known[s.Name] != process {
		w.known[s.Name] = process
		r.checker.Require(process, true)
	}
	r.checker.InForce(process, tables.RoutesName, s.RoutesVersion)
	r.checker.InForce(process, tables.PoolsName, s.PoolsVersion)
	read := counted{time.Now(), n.Host.PeerBytes()}
	if last, ok := w.bytes[process]; ok {
		r.checker.ControlRead(last.at, read.at, process, int(read.total-last.total))
	}
	w.bytes[process] = read
}

// lookAtShifts checks the growth of what each domain permits for the others, in
// total over its hosts, of which more than one may dispatch during a takeover.
func (r *run) lookAtShifts() {
	type shift struct {
		entry.ShiftKey
		to string
	}
	levels := map[shift]int{}
	before := time.Now()
	for _, n := range r.cluster.Nodes() {
		for key, level := range n.Host.ShiftLevels() {
			levels[shift{key, n.Settings.Host.Domain}] += level
		}
	}
	after := time.Now()
	for s, level := range levels {
		kind := s.Pool + "/relayed"
		if s.Callers {
			kind = s.Pool + "/callers"
		}
		r.checker.ShiftRead(before, after, s.From, s.to, kind, float64(level), r.shiftLimit(s.Pool))
	}
}

// shiftLimit returns the allowed growth of shifted traffic in slots a second.
func (r *run) shiftLimit(pool string) float64 {
	for _, p := range r.cluster.Config.Pools {
		if p.Name == pool {
			return tables.DefaultShiftCap * float64(p.ServersPerDomain*p.Slots)
		}
	}
	return 0
}

// finish reports what the backend servers ran.
func (r *run) finish(l *load) {
	for _, s := range r.cluster.Servers {
		for work, n := range s.Counts().Runs {
			for range n {
				r.checker.Ran(work, !l.onceWork[work])
			}
		}
	}
}

// say writes a line of progress.
func (r *run) say(format string, args ...any) {
	if r.progress != nil {
		fmt.Fprintf(r.progress, "%5.1fs  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	}
}
