package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/membership"
	"github.com/tamarackswitch/tamarackswitch/pkg/invariant"
)

const (
	memberDomain   = 76
	memberCrashes  = 15
	memberWarmUp   = 20 * time.Second
	memberGap      = 20 * time.Second // between two crashes
	memberDown     = 12 * time.Second // of a crashed host
	memberWatch    = 2 * time.Minute
	memberPauseGap = 10 * time.Second
	memberCostTime = 20 * time.Second
	memberTarget   = 7 * time.Second
)

// memberDetect crashes hosts one after another and returns, sorted, the seconds
// until each other host removed them, with the count of those that never did.
func memberDetect(seed uint64, loss float64, skew time.Duration) (times []float64, missed int) {
	n := newMemberNet(seed, memberDomain, 1, loss, skew)
	var crashed *memberHost
	var at time.Time
	removed := map[string]bool{}
	n.events = func(o *memberHost, e membership.Event) {
		if crashed != nil && e.Kind == membership.Removed && e.Member.Name == crashed.name && !removed[o.name] {
			removed[o.name] = true
			times = append(times, n.Now().Sub(at).Seconds())
		}
	}
	n.run(memberWarmUp)
	for range memberCrashes {
		n.run(time.Duration(n.Rand.Int64N(int64(time.Second))))
		crashed, at = n.hosts[n.Rand.IntN(len(n.hosts))], n.Now()
		clear(removed)
		crashed.up = false
		n.run(memberDown)
		missed += len(n.hosts) - 1 - len(removed)
		n.start(crashed)
		n.run(memberGap - memberDown)
	}
	slices.Sort(times)
	return times, missed
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// memberDetectReport compares the shared probe order with one per host.
func memberDetectReport(seed uint64) Report {
	var r Report
	for _, loss := range []float64{0.01, 0.05, 0.2} {
		// The baseline runs at 1% only, because it doubles the time of a run.
		own, missed := memberDetect(seed, loss, memberSkew)
		var alone []float64
		if loss == 0.01 {
			alone, _ = memberDetect(seed, loss, memberAlone)
		}
		for _, q := range []struct {
			name  string
			value float64
		}{{"p50", 0.5}, {"p99", 0.99}, {"max", 1}} {
			f := Figure{
				Name: fmt.Sprintf("removal after a crash, %s, loss %.0f%%", q.name, 100*loss), Unit: "s",
				Value: quantile(own, q.value), Baseline: quantile(alone, q.value), HasBaseline: alone != nil,
			}
			if loss == 0.01 && q.name == "p99" {
				f.AtMost, f.Bound = true, memberTarget.Seconds()
			}
			r.Figures = append(r.Figures, f)
		}
		r.Figures = append(r.Figures, Figure{
			Name: fmt.Sprintf("not removed after %s, loss %.0f%%", memberDown, 100*loss), Unit: "observers",
			Value: float64(missed), AtMost: true,
		})
	}
	return r
}

// memberFalse counts removals of hosts that never stopped, and of paused hosts,
// over memberWatch. A removal counts once per observer.
func memberFalse(seed uint64, loss float64, pauses bool) (healthy, paused, pauseCount int) {
	n := newMemberNet(seed, memberDomain, 1, loss, memberSkew)
	last := map[string]time.Time{}
	n.events = func(o *memberHost, e membership.Event) {
		if e.Kind != membership.Removed {
			return
		}
		if at, ok := last[e.Member.Name]; ok && n.Now().Sub(at) < 2*memberPauseGap {
			paused++
		} else {
			healthy++
		}
	}
	n.run(memberWarmUp)
	healthy = 0
	for i := time.Duration(0); i < memberWatch; i += memberPauseGap {
		if pauses {
			h := n.hosts[n.Rand.IntN(len(n.hosts))]
			d := time.Second + time.Duration(n.Rand.Int64N(int64(9*time.Second)))
			last[h.name] = n.Now()
			n.pause(h, d)
			pauseCount++
		}
		n.run(memberPauseGap)
	}
	return healthy, paused, pauseCount
}

func memberFalseReport(seed uint64) Report {
	var r Report
	for _, loss := range []float64{0.01, 0.05, 0.2} {
		healthy, _, _ := memberFalse(seed, loss, false)
		f := Figure{Name: fmt.Sprintf("removals of running hosts, loss %.0f%%", 100*loss), Unit: "observer events", Value: float64(healthy)}
		f.AtMost = loss < 0.1
		r.Figures = append(r.Figures, f)
	}
	healthy, paused, count := memberFalse(seed, 0.01, true)
	return Report{Figures: append(r.Figures,
		Figure{Name: "removals of running hosts while others pause 1 to 10 s, loss 1%", Unit: "observer events", Value: float64(healthy), AtMost: true},
		Figure{Name: "removals of paused hosts", Unit: "observer events", Value: float64(paused)},
		Figure{Name: "pauses", Unit: "pauses", Value: float64(count)},
	)}
}

// memberCostReport measures the control traffic by size of domain and fleet.
func memberCostReport(seed uint64) Report {
	var r Report
	checker := invariant.New()
	add := func(name string, n *memberNet) {
		n.run(memberWarmUp)
		messages, bytes, largest := n.cost(memberCostTime)
		for _, h := range n.hosts {
			checker.ControlTraffic(n.Now(), name+h.name, int(float64(h.bytes)/memberCostTime.Seconds()))
		}
		r.Figures = append(r.Figures,
			Figure{Name: "messages, " + name, Unit: "messages/s per host", Value: messages},
			Figure{Name: "traffic, " + name, Unit: "bytes/s per host", Value: bytes},
			Figure{Name: "traffic of the busiest host, " + name, Unit: "bytes/s", Value: largest, AtMost: true, Bound: invariant.ControlBytes},
		)
	}
	for _, size := range []int{4, 8, 16, 32, memberDomain} {
		add(fmt.Sprintf("one domain of %d", size), newMemberNet(seed, size, 1, 0.01, memberSkew))
	}
	for _, size := range []int{24, 120, 340, 680} {
		add(fmt.Sprintf("9 domains, %d hosts", size), newMemberNet(seed, size, 9, 0.01, memberSkew))
	}
	r.Violations = checker.Finish().Violations
	return r
}

// memberRestartReport restarts every host of a domain at once.
func memberRestartReport(seed uint64) Report {
	var r Report
	n := newMemberNet(seed, memberDomain, 1, 0.01, memberSkew)
	n.run(memberWarmUp)
	for _, h := range n.hosts {
		h.up = false
	}
	n.run(time.Second)
	for _, h := range n.hosts {
		n.start(h)
		h.messages, h.bytes = 0, 0
	}
	began := n.Now()
	for n.Now().Sub(began) < time.Minute && !n.complete(began) {
		n.run(membership.TickInterval)
	}
	took := n.Now().Sub(began).Seconds()
	largest := 0.0
	for _, h := range n.hosts {
		largest = max(largest, float64(h.bytes))
	}
	r.Figures = append(r.Figures,
		Figure{Name: "until every host knows all new processes", Unit: "s", Value: took, AtMost: true, Bound: memberTarget.Seconds()},
		Figure{Name: "traffic of the busiest host until then", Unit: "bytes", Value: largest},
	)
	return r
}

// complete reports whether every host sees every process that started at or
// after began as live.
func (n *memberNet) complete(began time.Time) bool {
	for _, h := range n.hosts {
		count := 0
		for _, m := range h.node.Live(n.Now()) {
			if m.State == membership.Alive && m.Incarnation >= began.UnixMilli() {
				count++
			}
		}
		if count < len(n.hosts) {
			return false
		}
	}
	return true
}

// MembershipScenarios measures membership and summaries.
func MembershipScenarios() []Scenario {
	return []Scenario{
		{Name: "membership-detect", About: "Fifteen crashes in a domain of 76 hosts. Baseline: a probe order of its own per host.", Seed: 1, Run: memberDetectReport},
		{Name: "membership-false", About: "Message loss and pauses without crashes in a domain of 76 hosts over 2 min.", Seed: 1, Run: memberFalseReport},
		{Name: "membership-cost", About: "Control traffic, sent and received with 60 bytes of headers per message, at 1% loss.", Seed: 1, Run: memberCostReport},
		{Name: "membership-restart", About: "All 76 hosts of a domain restart at once with 1% loss.", Seed: 1, Run: memberRestartReport},
	}
}
