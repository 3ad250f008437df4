package measure

import (
	"fmt"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/health"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
)

// The bad server scenario. Server 0 fails fast while its health endpoint says
// that it is well, later it fails every other request at normal speed; server 1
// stops answering probes and serves well.
const (
	badRun       = 140 * time.Second
	failFastFrom = 20 * time.Second
	failFastTo   = 60 * time.Second
	failHalfFrom = 80 * time.Second
	failHalfTo   = 120 * time.Second
	muteFrom     = 20 * time.Second
	failFastTime = time.Millisecond
	badService   = 40 * time.Millisecond
	badLoad      = 0.6
	badWarmUp    = 10 * time.Second
)

// badWorld is one pool in one domain.
type badWorld struct {
	*vtime.Scheduler
	baseline  bool
	tracker   *health.Tracker
	names     []string
	slots     int
	busy      []int
	healthy   []bool // as the health endpoint last said, for the baseline
	next      int    // round robin
	probes    map[string]int
	badTotal  int // requests while server 0 is bad
	badErrors int
	badShare  int // of these sent to server 0
	muteShare int // of these sent to server 1
	unserved  int
}

func newBadWorld(seed uint64, servers, slots int, baseline bool) *badWorld {
	w := &badWorld{Scheduler: vtime.New(seed), baseline: baseline, slots: slots, probes: map[string]int{}}
	for i := range servers {
		w.names = append(w.names, fmt.Sprint("server", i))
		w.healthy = append(w.healthy, true)
	}
	w.busy = make([]int, servers)
	w.tracker = health.New(health.Config{WarmUp: badWarmUp, Rand: w.Rand})
	w.tracker.SetServers(vtime.Epoch.Add(-badWarmUp), w.names)
	w.Every(time.Second, w.probe)
	gap := time.Duration(float64(badService) / (badLoad * float64(servers*slots)))
	var next func()
	next = func() {
		w.After(w.Exponential(gap), next)
		w.arrive()
	}
	w.After(0, next)
	return w
}

func (w *badWorld) between(from, to time.Duration) bool {
	return w.Elapsed() >= from && w.Elapsed() < to
}

func (w *badWorld) bad() bool {
	return w.between(failFastFrom, failFastTo) || w.between(failHalfFrom, failHalfTo)
}

// probe asks the health endpoints: all of them every 5 s for the baseline,
// otherwise those that the tracker names.
func (w *badWorld) probe() {
	due := w.tracker.NextProbes(w.Now())
	if w.baseline {
		due = nil
		if w.Elapsed()%health.ProbeEvery == 0 {
			due = w.names
		}
	}
	for _, name := range due {
		w.probes[name]++
		kind := health.OK
		if name == w.names[1] && w.Elapsed() >= muteFrom {
			kind = health.Timeout
		}
		w.tracker.Probed(w.Now(), name, health.ProbeResult{Outcome: health.Outcome{Kind: kind}})
		for i, n := range w.names {
			if n == name {
				w.healthy[i] = kind == health.OK
			}
		}
	}
}

// pick returns the server for a request or -1.
func (w *badWorld) pick() int {
	best, bestUse := -1, 1.0
	for k := range w.names {
		i := (w.next + k) % len(w.names)
		if w.baseline {
			if w.healthy[i] && w.busy[i] < w.slots {
				w.next = i + 1
				return i
			}
			continue
		}
		if !w.tracker.Usable(w.Now(), w.names[i]) {
			continue
		}
		room := max(1, w.tracker.Weight(w.Now(), w.names[i])*float64(w.slots))
		if use := float64(w.busy[i]) / room; use < bestUse {
			best, bestUse = i, use
		}
	}
	w.next++
	return best
}

func (w *badWorld) arrive() {
	bad := w.bad()
	if bad {
		w.badTotal++
	}
	i := w.pick()
	if i < 0 {
		w.unserved++
		return
	}
	if bad && i == 0 {
		w.badShare++
	}
	if bad && i == 1 {
		w.muteShare++
	}
	w.busy[i]++
	w.tracker.Started(w.Now(), w.names[i])
	service, kind := badService/4+w.Exponential(badService*3/4), health.OK
	switch {
	case i == 0 && w.between(failFastFrom, failFastTo):
		service, kind = failFastTime, health.Failed
	case i == 0 && w.between(failHalfFrom, failHalfTo) && w.Rand.IntN(2) == 0:
		kind = health.Failed
	}
	w.After(service, func() { w.finish(i, kind, service, bad) })
}

func (w *badWorld) finish(i int, kind health.Kind, service time.Duration, bad bool) {
	if kind != health.OK && bad {
		w.badErrors++
	}
	w.tracker.Report(w.Now(), w.names[i], health.Outcome{Kind: kind, Service: service})
	hold := time.Duration(0)
	if kind != health.OK && !w.baseline && service < badService {
		// Design 3.4: a slot that failed fast is held for the typical time.
		hold = badService - service
	}
	w.After(hold, func() { w.busy[i]-- })
}

// runBadServer runs the scenario for a pool of the given size in one domain.
func runBadServer(seed uint64, servers, slots int) Report {
	var w [2]*badWorld
	for i := range w {
		w[i] = newBadWorld(seed, servers, slots, i == 1)
		w[i].RunUntil(badRun)
	}
	figure := func(name, unit string, f func(*badWorld) float64) Figure {
		return Figure{Name: name, Unit: unit, Value: f(w[0]), Baseline: f(w[1]), HasBaseline: true}
	}
	errors := figure("failed answers while a server is bad", "fraction of requests", func(w *badWorld) float64 { return float64(w.badErrors) / float64(w.badTotal) })
	errors.Bound, errors.AtMost = 0.01, true
	share := figure("traffic share of the bad server", "fraction", func(w *badWorld) float64 { return float64(w.badShare) / float64(w.badTotal) })
	share.Bound, share.AtMost = 0.02, true
	mute := figure("traffic of the server that answers no probes", "fraction of an even share", func(w *badWorld) float64 {
		return float64(w.muteShare) / float64(w.badTotal) * float64(len(w.names))
	})
	mute.Bound, mute.AtLeast = 0.9, true
	probes := figure("most probes of one server", "1/s", func(w *badWorld) float64 {
		most := 0
		for _, n := range w.probes {
			most = max(most, n)
		}
		return float64(most) / badRun.Seconds()
	})
	probes.Bound, probes.AtMost = 1/health.ProbeEvery.Seconds(), true
	return Report{Figures: []Figure{errors, share, mute, probes,
		figure("requests without a free server", "count", func(w *badWorld) float64 { return float64(w.unserved) })}}
}
