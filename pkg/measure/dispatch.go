package measure

import (
	"fmt"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// dispatchScenarios returns the scenarios of the slot dispatcher and its
// admission queue.
func dispatchScenarios() []Scenario {
	out := []Scenario{
		{Name: "dispatch-slots-qogamy", Seed: 1, About: "Steady load on every pool; baselines: random choice of two and an even static split.",
			Run: func(seed uint64) Report { return slotsReport(seed, "qogamy", slotsTime) }},
		{Name: "dispatch-slots-consortium", Seed: 1, About: "Steady load on every pool; baselines: random choice of two and an even static split.",
			Run: func(seed uint64) Report { return slotsReport(seed, "consortium", slotsTime) }},
	}
	for _, pool := range []string{"catalog", "stock"} {
		for _, rank := range []int{patientRank, urgentRank} {
			out = append(out, Scenario{
				Name: fmt.Sprintf("dispatch-flood-%s-%s", tables.Ranks[rank], pool), Seed: 2,
				About: fmt.Sprintf("%s requests at 10 times the slots for 60 s; baseline (one domain): first come, first served, unbounded queue, callers ask again at every deadline for 20 s.", tables.Ranks[rank]),
				Run:   func(seed uint64) Report { return floodReport(seed, pool, rank, usualWork, floodTime) },
			})
		}
		out = append(out, Scenario{
			Name: "dispatch-group-flood-" + pool, Seed: 3,
			About: "One caller group sends urgent requests at 10 times the slots for 60 s; baseline as for the floods.",
			Run:   func(seed uint64) Report { return groupReport(seed, pool, floodTime) },
		})
	}
	out = append(out, Scenario{
		Name: "dispatch-flood-long-patient-orders", Seed: 2,
		About: "As dispatch-flood-patient on the pool with the fewest slots, with patient requests of 1.5 s that hold slots for a long time.",
		Run:   func(seed uint64) Report { return floodReport(seed, "orders", patientRank, longWork, floodTime) },
	})
	return append(out, faultScenarios()...)
}

// slotsTime is the virtual time of one steady run.
const slotsTime = 60 * time.Second

// loads are the fractions of the slots used in the steady runs.
var loads = [...]float64{0.7, 0.9, 1}

// usualThroughput is the least throughput at a load of 70%. The queue is
// then short, so only bursts longer than a deadline may be refused.
const usualThroughput = 0.999

// slotsReport compares the dispatcher with both baselines for all pools of a
// firm at three loads.
func slotsReport(seed uint64, firm string, length time.Duration) Report {
	var rep Report
	for _, p := range sizedPools {
		if p.firm != firm {
			continue
		}
		for _, load := range loads {
			rep.steady(seed, p, load, length)
		}
	}
	return rep
}

func (rep *Report) steady(seed uint64, p sizedPool, load float64, length time.Duration) {
	own, choice, split := newStats(), newStats(), newStats()
	for domain := range domains {
		rep.Violations = append(rep.Violations, runSteady(seed, p, domain, load, length, own, func(l *lab) { newDispatchFront(l, p) })...)
		rep.BaselineViolations += len(runSteady(seed, p, domain, load, length, choice, func(l *lab) { newChoiceFront(l) }))
		runSteady(seed, p, domain, load, length, split, func(l *lab) { newSplitFront(l) })
	}
	at := func(what string) string { return fmt.Sprintf("%s %.0f%%: %s", p.name, load*100, what) }
	through := Figure{Name: at("throughput, baseline choice of two"), Unit: "answered/offered", Value: own.throughput(), Baseline: choice.throughput(), HasBaseline: true}
	if load == loads[0] {
		through.AtLeast, through.Bound = true, usualThroughput
	}
	rep.Figures = append(rep.Figures,
		Figure{Name: at("requests over slots, baseline choice of two"), Unit: "count", Value: float64(own.over), Baseline: float64(choice.over), HasBaseline: true, AtMost: true},
		Figure{Name: at("p50, baseline choice of two"), Unit: "ms", Value: own.all(50), Baseline: choice.all(50), HasBaseline: true},
		Figure{Name: at("p99, baseline choice of two"), Unit: "ms", Value: own.all(99), Baseline: choice.all(99), HasBaseline: true},
		Figure{Name: at("urgent p99, baseline static split"), Unit: "ms", Value: own.quantile(urgentRank, 99), Baseline: split.quantile(urgentRank, 99), HasBaseline: true},
		Figure{Name: at("p99, baseline static split"), Unit: "ms", Value: own.all(99), Baseline: split.all(99), HasBaseline: true},
		through,
		Figure{Name: at("throughput, baseline static split"), Unit: "answered/offered", Value: own.throughput(), Baseline: split.throughput(), HasBaseline: true},
	)
}

// runSteady runs one domain at a load and returns the violations.
func runSteady(seed uint64, p sizedPool, domain int, load float64, length time.Duration, st *stats, start func(*lab)) []string {
	l := newLab(seed, p, domain, st)
	start(l)
	l.windowFrom, l.windowTo = warmTime, warmTime+length
	for rank, f := range usualLoad {
		l.load(rank, f*load/loads[0], 0, l.windowTo, houses(l))
	}
	l.sched.RunUntil(l.windowTo + l.work.deadline[patientRank] + time.Second)
	return l.check.Finish().Violations
}

// warmTime precedes the measured window.
const warmTime = 5 * time.Second

// callerGroups is the number of caller groups with usual load.
const callerGroups = 4

// houses picks one of the caller groups at random.
func houses(l *lab) func() string {
	return func() string { return groupNames[l.sched.Rand.IntN(callerGroups)] }
}

var groupNames = [callerGroups]string{"house-a", "house-b", "house-c", "house-d"}
