package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/once"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
	"github.com/tamarackswitch/tamarackswitch/pkg/invariant"
)

// The fleet of the key scenarios.
const (
	onceHosts    = 680
	onceDomains  = 9
	onceRegions  = 4
	onceCrashes  = 3
	onceReplaced = 110
	// onceScale is the number of keys that one simulated key stands for: 300
	// keys/s of the fleet are simulated as one per second, with the platform's
	// budget divided by the same number.
	onceScale = 300
	// onceViewLag bounds how late a host notices a change of another, the
	// target of membership detection.
	onceViewLag = 7 * time.Second

	onceDrain     = 10 * time.Second // withdrawal to handover
	onceExit      = 2 * time.Second  // handover to exit
	onceRestart   = 20 * time.Second // exit to the start of the next process
	onceCrashGap  = time.Minute
	onceService   = 200 * time.Millisecond
	onceTransfer  = 5 * time.Millisecond
	onceMemory    = 1 << 20
	onceRetention = (once.RetentionWindows + 1) * once.Window
)

// onceProc is one process of a host.
type onceProc struct {
	host  *onceHost
	id    once.Identity
	alive bool
	// withdrawn processes are not named by lookups any more.
	withdrawn bool
	owner     *once.Owner
	store     *once.StoreKeys
	// seen holds the keys of the rendezvous alternative and when they came.
	seen map[string]time.Time
	// successor is the process that took over the keys, at handedOver.
	successor  *onceProc
	handedOver time.Time
}

// onceChange is a change of a host: proc has started or ended.
type onceChange struct {
	at   time.Time
	proc *onceProc
	up   bool
}

type onceHost struct {
	index, region int
	domain, name  string
	proc          *onceProc
	history       []onceChange
}

// onceDecider is one way to decide whether a key runs.
type onceDecider interface {
	// attempt decides about a work item that arrives at entry.
	attempt(w *onceWork, entry *onceProc) onceAnswer
	// finished reports the end of a started request at a live process.
	finished(w *onceWork, a onceAnswer, state once.State)
	// leaving is called when a withdrawn process hands over.
	leaving(p *onceProc)
	// changed is called when a process has started or ended.
	changed(c onceChange)
}

// onceAnswer is what an attempt came to: a started run, an error, or a replay.
type onceAnswer struct {
	runner *onceProc
	op     *once.StoreOp
	err    error
}

// onceFleet runs one alternative on the workload of a seed.
type onceFleet struct {
	*vtime.Scheduler
	hosts   []*onceHost
	byName  map[string]*onceHost
	decider onceDecider
	checker *invariant.Checker
	// load draws the workload. Alternatives get the same distribution, not the
	// same draws, because draws depend on the answers.
	load *rand.Rand
	// cutFrom and cutTo bound the time in which region 0 is cut off.
	cutFrom, cutTo time.Time
	// downFrom and downTo bound the outage of the platform.
	downFrom, downTo time.Time
	stats            onceStats
}

type onceStats struct {
	first, firstRefused   int
	retries, retryUnknown int
	moved, handovers      int
	writes                int
	runs                  map[string]int
}

func newOnceFleet(seed uint64, make func(*onceFleet) onceDecider) *onceFleet {
	f := &onceFleet{
		Scheduler: vtime.New(seed), checker: invariant.New(),
		byName: map[string]*onceHost{}, load: rand.New(rand.NewPCG(seed, 77)),
	}
	f.stats.runs = map[string]int{}
	f.decider = make(f)
	for i := range onceHosts {
		d := i % onceDomains
		h := &onceHost{index: i, region: d % onceRegions, domain: fmt.Sprintf("d%d", d), name: fmt.Sprintf("h%03d", i)}
		f.hosts, f.byName[h.name] = append(f.hosts, h), h
		f.startProc(h)
	}
	return f
}

func (f *onceFleet) startProc(h *onceHost) {
	id := once.Identity{Domain: h.domain, Host: h.name, Incarnation: f.Now().UnixMilli()}
	h.proc = &onceProc{
		host: h, id: id, alive: true, owner: once.NewOwner(id, f.Now(), onceMemory),
		store: once.NewStoreKeys(id, onceHosts*onceScale), seen: map[string]time.Time{},
	}
	f.record(h, onceChange{f.Now(), h.proc, true})
}

func (f *onceFleet) record(h *onceHost, c onceChange) {
	h.history = append(h.history, c)
	f.decider.changed(c)
}

func (f *onceFleet) endProc(p *onceProc) {
	p.alive = false
	f.record(p.host, onceChange{f.Now(), p, false})
}

// crash ends the process of a host without warning.
func (f *onceFleet) crash(h *onceHost) {
	if !h.proc.alive || h.proc.withdrawn {
		return
	}
	f.endProc(h.proc)
	f.After(onceCrashGap, func() { f.startProc(h) })
}

// replace shuts a host down gracefully and starts a new process.
func (f *onceFleet) replace(h *onceHost) {
	p := h.proc
	if !p.alive || p.withdrawn {
		return
	}
	p.withdrawn = true
	f.After(onceDrain, func() {
		f.stats.handovers++
		f.decider.leaving(p)
		f.After(onceExit, func() {
			f.endProc(p)
			f.After(onceRestart, func() { f.startProc(h) })
		})
	})
}

// lag is how late o notices change i of x.
func (f *onceFleet) lag(o, x *onceHost, i int) time.Duration {
	if o == x {
		return 0
	}
	n := uint64(o.index)<<40 | uint64(x.index)<<20 | uint64(i)
	n = (n ^ n>>29) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>32) * 0x94d049bb133111eb
	return time.Duration((n ^ n>>29) % uint64(onceViewLag))
}

// seenBy returns the process of x that o knows of, and whether it is up.
func (f *onceFleet) seenBy(o, x *onceHost) (*onceProc, bool) {
	for i := len(x.history) - 1; i > 0; i-- {
		if c := x.history[i]; !f.Now().Before(c.at.Add(f.lag(o, x, i))) {
			return c.proc, c.up
		}
	}
	return x.history[0].proc, x.history[0].up
}

// isCut reports whether the partition separates two regions now.
func (f *onceFleet) isCut(a, b int) bool {
	return (a == 0) != (b == 0) && !f.Now().Before(f.cutFrom) && f.Now().Before(f.cutTo)
}

// looksCut is isCut as o notices it.
func (f *onceFleet) looksCut(o, x *onceHost) bool {
	if f.cutTo.IsZero() || (o.region == 0) == (x.region == 0) {
		return false
	}
	lag := f.lag(o, x, 1<<19)
	return !f.Now().Before(f.cutFrom.Add(lag)) && f.Now().Before(f.cutTo.Add(lag))
}

// successorOf picks the host of the same domain that takes over.
func (f *onceFleet) successorOf(p *onceProc) *onceProc {
	byName := map[string]*onceProc{}
	var names []string
	for _, h := range f.hosts {
		if h.domain == p.host.domain && h != p.host && h.proc.alive && !h.proc.withdrawn {
			byName[h.name] = h.proc
			names = append(names, h.name)
		}
	}
	return byName[rendezvous.Pick("successor/"+p.id.String(), names)]
}
