package measure

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/admission"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// Times and targets of the floods.
const (
	floodTime   = 60 * time.Second
	floodStart  = 10 * time.Second
	floodFactor = 10
	// afterFlood is how long a run goes on after its flood.
	afterFlood = 20 * time.Second
	// servedWell is the target for ranks whose usual load is under their floor
	// or that are more urgent than the flood.
	servedWell = 0.99
	// recovered is the fraction of the requests of every rank that a second
	// has to have answered to count as recovered.
	recovered = 0.95
	// floodLoad scales the usual load during floods, so that without a flood
	// nothing is refused.
	floodLoad = 0.6 / 0.7
)

// recoveryTarget follows from the mechanism: work queued during the flood is
// gone when its deadline passes, and the recent shares forget the flood with
// the time constant admission.ShareWindow.
func (x flood) recoveryTarget() float64 {
	return (slices.Max(x.work.deadline[:]) + admission.ShareWindow).Seconds()
}

// floodRun is the outcome of one flood over all domains.
type floodRun struct {
	st         *stats
	violations []string
	length     time.Duration
	target     float64 // bound of recoverySeconds
}

// flood describes a flood of a pool with requests of one rank beside the usual
// load of all ranks.
type flood struct {
	seed   uint64
	pool   sizedPool
	rank   int
	work   profile
	length time.Duration
	// group picks the caller groups of the flood.
	group func(*lab) func() string
	// domains is the number of failure domains that are run. The baseline
	// runs one, because its queue and its retries grow without bound.
	domains int
}

func (x flood) run(start func(*lab)) floodRun {
	out := floodRun{st: newStats(), length: x.length, target: x.recoveryTarget()}
	for domain := range x.domains {
		l := newLab(x.seed, x.pool, domain, out.st)
		l.work = x.work
		start(l)
		l.windowFrom, l.windowTo = floodStart, floodStart+x.length
		end := l.windowTo + afterFlood
		for r, f := range usualLoad {
			l.load(r, f*floodLoad, 0, end, houses(l))
		}
		l.load(x.rank, floodFactor, floodStart, l.windowTo, x.group(l))
		l.sched.RunUntil(end + l.work.deadline[patientRank] + time.Second)
		out.violations = append(out.violations, l.check.Finish().Violations...)
	}
	return out
}

// recoverySeconds returns the time to normal service after the flood.
func (f floodRun) recoverySeconds() float64 {
	end := int((floodStart + f.length) / time.Second)
	return f.st.recovery(end, end+int(afterFlood/time.Second), recovered)
}

// compare runs the flood with the dispatcher and with the baseline.
func (x flood) compare() (own, base floodRun) {
	x.domains = domains
	own = x.run(func(l *lab) { newDispatchFront(l, x.pool) })
	x.domains = 1
	return own, x.run(func(l *lab) { newFirstComeFront(l) })
}

// floodReport floods a pool with one rank, sent by all caller groups alike.
func floodReport(seed uint64, pool string, rank int, work profile, length time.Duration) Report {
	own, base := flood{seed: seed, pool: poolNamed(pool), rank: rank, work: work, length: length, group: houses}.compare()
	rep := Report{Violations: own.violations, BaselineViolations: len(base.violations)}
	for r := range tables.Ranks {
		rep.rank(own, base, r, rank)
	}
	rep.common(own, base)
	return rep
}

// rank adds the figures of one rank during a flood of another.
func (rep *Report) rank(own, base floodRun, r, flooded int) {
	name := string(tables.Ranks[r])
	service := Figure{Name: name + " service", Unit: "answered in time/offered", Value: own.st.service(r), Baseline: base.st.service(r), HasBaseline: true}
	share := Figure{Name: name + " share of slot time", Unit: "fraction", Value: own.st.share(r, own.length), Baseline: base.st.share(r, base.length), HasBaseline: true}
	floor := tables.DefaultFloors.Of(r)
	// The demand includes the offers of the flood, so a rank that floods is
	// held to its floor, and another to what it asks for or its floor.
	if r != flooded && (r < flooded || usualLoad[r]*floodLoad < floor) {
		service.AtLeast, service.Bound = true, servedWell
	} else {
		share.AtLeast, share.Bound = true, floor
	}
	rep.Figures = append(rep.Figures, service, share,
		Figure{Name: name + " p50", Unit: "ms", Value: own.st.quantile(r, 50), Baseline: base.st.quantile(r, 50), HasBaseline: true},
		Figure{Name: name + " p99", Unit: "ms", Value: own.st.quantile(r, 99), Baseline: base.st.quantile(r, 99), HasBaseline: true})
}

// common adds the figures that all floods share.
func (rep *Report) common(own, base floodRun) {
	used := 0.0
	for r := range tables.Ranks {
		used += own.st.share(r, own.length)
	}
	rep.Figures = append(rep.Figures,
		Figure{Name: "slot time used", Unit: "fraction", Value: used},
		Figure{Name: "requests over slots", Unit: "count", Value: float64(own.st.over), Baseline: float64(base.st.over), HasBaseline: true, AtMost: true},
		Figure{Name: fmt.Sprintf("time until %.0f%% of every rank are served again", recovered*100), Unit: "s",
			Value: own.recoverySeconds(), Baseline: base.recoverySeconds(), HasBaseline: true, AtMost: true, Bound: own.target})
}

// groupReport floods a pool with urgent requests of one caller group.
func groupReport(seed uint64, pool string, length time.Duration) Report {
	one := func(*lab) func() string { return func() string { return floodGroup } }
	own, base := flood{seed: seed, pool: poolNamed(pool), rank: urgentRank, work: usualWork, length: length, group: one}.compare()
	rep := Report{Violations: own.violations, BaselineViolations: len(base.violations)}
	for _, g := range groupNames {
		o, b := own.st.group[g], base.st.group[g]
		rep.Figures = append(rep.Figures, Figure{Name: g + " service, all ranks", Unit: "answered in time/offered",
			Value: ratio(o[1], o[0]), Baseline: ratio(b[1], b[0]), HasBaseline: true})
	}
	o, b := own.st.urgentOfRivals(), base.st.urgentOfRivals()
	o.AtLeast, o.Bound, o.Baseline, o.HasBaseline = true, servedWell, b.Value, true
	rep.Figures = append(rep.Figures, o,
		Figure{Name: "rivals p50", Unit: "ms", Value: millis(own.st.groupLatency, 50), Baseline: millis(base.st.groupLatency, 50), HasBaseline: true},
		Figure{Name: "rivals p99", Unit: "ms", Value: millis(own.st.groupLatency, 99), Baseline: millis(base.st.groupLatency, 99), HasBaseline: true,
			AtMost: true, Bound: float64(rivalTarget(poolNamed(pool)).Microseconds()) / 1000})
	rep.common(own, base)
	return rep
}

// rivalTarget bounds the 99th percentile of the urgent requests of the quiet
// groups: that of the service itself, one turn of all groups on the urgent
// floor of the smallest domain, and four messages.
func rivalTarget(p sizedPool) time.Duration {
	service := float64(usualWork.service[urgentRank])
	slots := float64(p.inDomain(domains-1) * p.slots)
	turn := (callerGroups + 1) * service / (tables.DefaultFloors.Urgent * slots)
	return time.Duration(math.Log(100)*service+turn) + 4*oneWay
}

// urgentOfRivals is the service of the urgent requests of the quiet groups.
func (s *stats) urgentOfRivals() Figure {
	return Figure{Name: "rivals' urgent service", Unit: "answered in time/offered", Value: ratio(s.rivals[1], s.rivals[0])}
}
