package measure

import (
	"fmt"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/slots"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Times of the fault scenarios.
const (
	faultAt = 10 * time.Second
	// detection is the time until the membership removes a silent host: a
	// probe within 1 s and 3 s of suspicion (design, section 3.7).
	detection = 4 * time.Second
	// viewSkew is the difference between the hosts' views of the membership.
	viewSkew = 100 * time.Millisecond
	// pauseTime is longer than the detection, so two dispatchers meet.
	pauseTime = 5 * time.Second
	// rejoin is the time until all hosts know that a host is back.
	rejoin    = time.Second
	healAfter = 20 * time.Second
	faultRun  = 60 * time.Second
	faultLoad = 0.7
)

// grantsAgain is the longest time without grants: the detection, the skew of
// the last of four hosts, one repetition of the question and 50 ms for
// messages and ticks.
const grantsAgain = detection + 2*viewSkew + slots.AskPeriod + 50*time.Millisecond

// fault breaks the first host, which runs the dispatcher, and lets the hosts
// learn of it as the membership would tell them.
type fault struct {
	name, about string
	inject      func(*dispatchFront)
}

var faults = []fault{
	{"die", "The process of the dispatcher dies and its address refuses connections.", injectDeath},
	{"power-loss", "The host of the dispatcher stops without a trace; its requests run on at the servers.", injectPowerLoss},
	{"pause", "The host of the dispatcher is paused for 5 s and comes back as a member.", injectPause},
	{"partition", "The host of the dispatcher loses the other hosts of its domain for 20 s but still reaches all servers.", injectPartition(healAfter)},
}

func faultScenarios() []Scenario {
	var out []Scenario
	for _, ft := range faults {
		out = append(out, Scenario{Name: "dispatch-" + ft.name, Seed: 4, About: ft.about,
			Run: func(seed uint64) Report { return faultReport(seed, ft) }})
	}
	return out
}

// faultReport runs one fault on the smallest and the largest servers.
func faultReport(seed uint64, ft fault) Report {
	var rep Report
	for _, pool := range []string{"orders", "stock"} {
		p := poolNamed(pool)
		st, gap := newStats(), time.Duration(0)
		for domain := range domains {
			l := newLab(seed, p, domain, st)
			f := newDispatchFront(l, p)
			f.traced = true
			l.windowFrom, l.windowTo = faultAt, faultAt+healAfter
			for r, load := range usualLoad {
				l.load(r, load*faultLoad/loads[0], 0, faultRun, houses(l))
			}
			l.sched.After(faultAt, func() { ft.inject(f) })
			l.sched.RunUntil(faultRun + 2*l.work.deadline[patientRank])
			gap = max(gap, f.longestGap())
			rep.Violations = append(rep.Violations, l.check.Finish().Violations...)
		}
		rep.fault(pool, st, gap)
	}
	return rep
}

func (rep *Report) fault(pool string, st *stats, gap time.Duration) {
	at := func(what string) string { return fmt.Sprintf("%s: %s", pool, what) }
	rep.Figures = append(rep.Figures,
		Figure{Name: at("requests over slots"), Unit: "count", Value: float64(st.over), AtMost: true},
		Figure{Name: at("time from the first to the last request over slots"), Unit: "s", Value: (st.lastOver - st.firstOver).Seconds()},
		Figure{Name: at("longest time without grants to the other hosts"), Unit: "s", Value: gap.Seconds(), AtMost: true, Bound: grantsAgain.Seconds()},
		Figure{Name: at("urgent service in the 20 s after the fault"), Unit: "answered in time/offered", Value: st.service(urgentRank)},
		Figure{Name: at("once service in the 20 s after the fault"), Unit: "answered in time/offered", Value: st.service(onceRank)},
		Figure{Name: at("patient service in the 20 s after the fault"), Unit: "answered in time/offered", Value: st.service(patientRank)},
		Figure{Name: at("time until 95% of every rank are served again"), Unit: "s",
			Value: st.recovery(int(faultAt/time.Second), int(faultRun/time.Second), recovered)})
}

// longestGap returns the longest time without a grant to the other hosts.
func (f *dispatchFront) longestGap() time.Duration {
	gap, last := time.Duration(0), faultAt
	for _, g := range f.grants {
		if g > faultAt {
			gap, last = max(gap, g-last), g
		}
	}
	return gap
}

// elect lets all nodes but those in skip learn one after the other that leader
// is the dispatcher of hosts.
func (f *dispatchFront) elect(leader *node, after time.Duration, hosts []*node, skip *node) {
	f.lab.sched.After(after, func() {
		f.lead(leader, hosts...)
		if skip != nil {
			f.deliver(leader, leader.disp.HostGone(f.lab.sched.Now(), skip.name))
		}
	})
	for _, n := range f.nodes {
		if n == leader || n == skip {
			continue
		}
		after += viewSkew
		f.lab.sched.After(after, func() { f.on(n, func() { f.follow(n, leader) }) })
	}
}

func injectDeath(f *dispatchFront) {
	lost := f.nodes[0]
	lost.dead = true
	// The connections of a dead process are reset, so its servers stop.
	for _, w := range lost.started {
		if w.abort != nil {
			w.abort()
		}
		f.lab.refuse(w, result.Unknown)
	}
	next := f.nodes[1]
	f.elect(next, detection, f.nodes, lost)
	f.lab.sched.After(detection, func() { f.deliver(next, next.disp.HostEnded(f.lab.sched.Now(), lost.name)) })
}

// injectPowerLoss stops a host in a way that the others can't tell from a
// partition.
func injectPowerLoss(f *dispatchFront) {
	lost := f.nodes[0]
	lost.dead = true
	for _, w := range lost.started {
		f.lab.refuse(w, result.Unknown)
	}
	f.elect(f.nodes[1], detection, f.nodes, lost)
}

func injectPause(f *dispatchFront) {
	lost := f.nodes[0]
	lost.paused = true
	f.elect(f.nodes[1], detection, f.nodes, lost)
	f.lab.sched.After(pauseTime, func() {
		lost.paused = false
		for _, fn := range lost.inbox {
			f.on(lost, fn)
		}
		lost.inbox = nil
	})
	f.elect(lost, pauseTime+rejoin, f.nodes, nil)
}

// longPartition outlasts all times of dispatch but slots.LostHold.
var longPartition = fault{"long-partition", "As dispatch-partition for 45 s.", injectPartition(45 * time.Second)}

func injectPartition(heal time.Duration) func(*dispatchFront) {
	return func(f *dispatchFront) { cutOff(f, heal) }
}

// cutOff separates the first host from the others for the time heal.
func cutOff(f *dispatchFront, heal time.Duration) {
	lost := f.nodes[0]
	lost.cut = true
	f.elect(f.nodes[1], detection, f.nodes, lost)
	f.lab.sched.After(detection, func() {
		for _, n := range f.nodes[1:] {
			f.deliver(lost, lost.disp.HostGone(f.lab.sched.Now(), n.name))
		}
	})
	f.lab.sched.After(heal, func() { lost.cut = false })
	f.elect(lost, heal+rejoin, f.nodes, nil)
}
