package measure

import (
	"fmt"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/once"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Behaviour of the callers of the key scenarios.
const (
	onceLookupAge   = 10 * time.Second // largest age of a cached lookup
	onceOther       = 10               // one request in so many goes to another host
	onceLostAnswer  = 10               // one answer in so many is lost
	onceShed        = 100              // one run in so many is shed by the server
	onceAttempts    = 5
	onceRetryDelay  = 2 * time.Second
	onceLateRetry   = 20 // one retry in so many comes after minutes
	onceLateDelay   = 8 * time.Minute
	onceDay         = 24 * time.Hour
	oncePartition   = time.Hour
	oncePartitioned = 2 * time.Hour
	onceOutage      = 10 * time.Minute
)

// onceWork is one key and its caller.
type onceWork struct {
	name     string
	key      once.Key
	owner    *onceProc
	attempts int
}

// arrive starts the work of one caller: a lookup at a live host, then requests.
func (f *onceFleet) arrive(serial int) {
	h := f.anyHost()
	age := time.Duration(f.load.Int64N(int64(onceLookupAge)))
	if h == nil {
		return
	}
	key, err := once.ParseKey(h.proc.owner.Prefix(f.Now()) + fmt.Sprintf(".%016d", serial))
	if err != nil {
		panic(err)
	}
	w := &onceWork{name: key.Text, key: key, owner: h.proc}
	f.After(age, func() { f.attempt(w) })
}

// anyHost returns a random host that lookups name, or nil.
func (f *onceFleet) anyHost() *onceHost {
	h := f.hosts[f.load.IntN(len(f.hosts))]
	if !h.proc.alive || h.proc.withdrawn {
		return nil
	}
	return h
}

// attempt sends the request to the key's host or, now and then or if that host
// is down, to another.
func (f *onceFleet) attempt(w *onceWork) {
	w.attempts++
	entry := w.owner.host.proc
	if f.load.IntN(onceOther) == 0 || !entry.alive {
		h := f.anyHost()
		for h == nil {
			h = f.anyHost()
		}
		entry = h.proc
	}
	first := w.attempts == 1
	if first {
		f.stats.first++
	} else {
		f.stats.retries++
	}
	// The caller knows nothing of an attempt until its answer.
	f.checker.Refused(w.name, result.Unknown)
	a := f.decider.attempt(w, entry)
	if a.err != nil {
		f.refused(w, first, result.From(a.err))
		return
	}
	if a.runner != nil {
		f.run(w, a)
	}
}

func (f *onceFleet) refused(w *onceWork, first bool, e *result.Error) {
	f.checker.Refused(w.name, e.Run)
	if first {
		f.stats.firstRefused++
	} else if e.Run == result.Unknown {
		f.stats.retryUnknown++
	}
	switch e.Code {
	case result.KeyOwnerUnreachable, result.KeyInProgress, result.KeyMemoryFull, result.KeyStoreDown:
		f.retry(w, onceRetryDelay)
	}
}

func (f *onceFleet) retry(w *onceWork, after time.Duration) {
	if w.attempts < onceAttempts {
		f.After(after, func() { f.attempt(w) })
	}
}

// run carries out a started request. A process that crashes meanwhile may have
// had it run.
func (f *onceFleet) run(w *onceWork, a onceAnswer) {
	state := once.Ran
	if f.load.IntN(onceShed) == 0 {
		state = once.NotRun
	}
	f.After(onceService/2, func() {
		if a.runner.alive && state == once.Ran {
			f.stats.runs[w.name]++
			f.checker.Ran(w.name, false)
		}
	})
	f.After(onceService, func() {
		if !a.runner.alive {
			f.checker.Refused(w.name, result.Unknown)
			f.retry(w, onceRetryDelay)
			return
		}
		f.decider.finished(w, a, state)
		switch {
		case state == once.NotRun:
			f.checker.Refused(w.name, result.NotRun)
			f.retry(w, onceRetryDelay)
		case f.load.IntN(onceLateRetry*onceLostAnswer) == 0:
			f.retry(w, time.Duration(f.load.Int64N(int64(onceLateDelay))))
		case f.load.IntN(onceLostAnswer) == 0:
			f.retry(w, onceRetryDelay)
		}
	})
}

func (f *onceFleet) twice() int {
	n := 0
	for _, runs := range f.stats.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

// schedule spreads the faults and the arrivals over the run.
func (f *onceFleet) schedule(length time.Duration, crashes, replaced int) {
	at := func() time.Duration { return time.Duration(f.load.Int64N(int64(length))) }
	for i := range crashes + replaced {
		h, t := f.hosts[f.load.IntN(len(f.hosts))], at()
		if i < crashes {
			f.After(t, func() { f.crash(h) })
		} else {
			f.After(t, func() { f.replace(h) })
		}
	}
	serial := 0
	var next func()
	next = func() {
		serial++
		f.arrive(serial)
		f.After(time.Duration(f.load.ExpFloat64()*float64(time.Second)), next)
	}
	f.After(0, next)
}

// onceRun runs one alternative.
func onceRun(seed uint64, make func(*onceFleet) onceDecider, cut bool) *onceFleet {
	f := newOnceFleet(seed, make)
	length := onceDay
	if cut {
		length = oncePartitioned
		f.cutFrom = f.Now().Add(length / 4)
		f.cutTo = f.cutFrom.Add(oncePartition)
		f.schedule(length, 1, 10)
	} else {
		f.downFrom = f.Now().Add(length / 2)
		f.downTo = f.downFrom.Add(onceOutage)
		f.schedule(length, onceCrashes, onceReplaced)
	}
	f.RunUntil(length)
	return f
}

func onceModes() []func(*onceFleet) onceDecider {
	return []func(*onceFleet) onceDecider{
		func(f *onceFleet) onceDecider { return &onceByKey{f} },
		func(f *onceFleet) onceDecider { return &onceByView{f} },
		func(f *onceFleet) onceDecider { return &onceByStore{f: f, objects: map[string]platform.Object{}} },
	}
}

// onceReport compares the alternatives. Each figure stands beside the
// rendezvous owner as the baseline; those of the platform create follow.
func onceReport(seed uint64, cut bool) Report {
	var runs []*onceFleet
	length := onceDay
	if cut {
		length = oncePartitioned
	}
	for _, make := range onceModes() {
		runs = append(runs, onceRun(seed, make, cut))
	}
	var r Report
	type row struct {
		name, unit string
		value      func(*onceFleet) float64
		bound      float64
	}
	share := func(a, b int) float64 { return 100 * float64(a) / float64(max(b, 1)) }
	rows := []row{
		{"keys run twice", "keys", func(f *onceFleet) float64 { return float64(f.twice()) }, 0},
		{"first attempts refused", "%", func(f *onceFleet) float64 { return share(f.stats.firstRefused, f.stats.first) }, -1},
		{"retries answered unknown", "%", func(f *onceFleet) float64 { return share(f.stats.retryUnknown, f.stats.retries) }, -1},
		{"records moved per replacement, unscaled", "records", func(f *onceFleet) float64 {
			return onceScale * float64(f.stats.moved) / float64(max(f.stats.handovers, 1))
		}, -1},
		{"platform writes, unscaled mean", "writes/s", func(f *onceFleet) float64 {
			return onceScale * float64(f.stats.writes) / length.Seconds()
		}, 0},
	}
	for _, x := range rows {
		r.Figures = append(r.Figures, Figure{
			Name: x.name, Unit: x.unit, Value: x.value(runs[0]), Baseline: x.value(runs[1]), HasBaseline: true,
			Bound: x.bound, AtMost: x.bound >= 0,
		})
	}
	for _, x := range rows {
		r.Figures = append(r.Figures, Figure{Name: "platform create per key: " + x.name, Unit: x.unit, Value: x.value(runs[2])})
	}
	r.Figures = append(r.Figures, Figure{Name: "keys", Unit: "keys", Value: float64(runs[0].stats.first), Baseline: float64(runs[1].stats.first), HasBaseline: true})
	r.Violations = runs[0].checker.Finish().Violations
	r.BaselineViolations = len(runs[1].checker.Finish().Violations)
	return r
}

// OnceScenarios measures idempotency keys.
func OnceScenarios() []Scenario {
	return []Scenario{
		{
			Name:  "once-day",
			About: "Idempotency keys on 680 hosts in 9 domains over a day with 3 crashes, 110 replacements and a platform outage of 10 min; one simulated key stands for 300. Baseline: owner by rendezvous hashing over lagging views.",
			Seed:  1,
			Run:   func(seed uint64) Report { return onceReport(seed, false) },
		},
		{
			Name:  "once-partition",
			About: "The same fleet while one of 4 regions is cut off for an hour and callers reach both sides; one simulated key stands for 300.",
			Seed:  1,
			Run:   func(seed uint64) Report { return onceReport(seed, true) },
		},
	}
}
