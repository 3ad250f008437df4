package measure

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// sessionFault is the part of a session that differs: what happens, and how
// long the session lasts.
type sessionFault struct {
	name, about string
	seed        uint64
	length      time.Duration
	load        float64 // of all slots
	script      func(*session)
}

// sessionUsual is the load of a session without a flood, as a fraction of all
// slots: a lost region leaves the other one with 120% of its slots at 0.6.
const sessionUsual = 0.6

// Times of the scripts.
const (
	sessionFaultAt   = 15 * time.Second
	sessionFaultLast = 15 * time.Second
)

var sessionFaults = []sessionFault{
	{"session-patient-flood", "Patient work for four times all slots arrives for 15 s.", 31, 45 * time.Second, sessionUsual, floodOf(patientRank, 4)},
	{"session-urgent-flood", "Urgent work for three times all slots arrives for 15 s.", 32, 45 * time.Second, sessionUsual, floodOf(urgentRank, 3)},
	{"session-drain", "All servers of one domain are drained.", 33, 45 * time.Second, sessionUsual, drainDomain},
	{"session-region-loss", "All hosts and servers of one region are lost.", 34, 45 * time.Second, sessionUsual, loseRegion},
	{"session-store-outage", "The store is down for 20 s, and a host is restarted meanwhile.", 35, 50 * time.Second, sessionUsual, storeOutage},
	{"session-partition", "The regions are cut off from each other while two operators edit one table.", 36, 55 * time.Second, sessionUsual, partitionEdit},
	{"session-silent", "Messages between two hosts are accepted and lost until the connection is closed.", 37, 40 * time.Second, sessionUsual, silentLinks},
	{"session-pause", "A dispatcher is paused for longer than its grants and credits last.", 38, 45 * time.Second, sessionUsual, pauseDispatcher},
	{"session-flood-region-loss", "A region is lost during a flood of patient work.", 39, 45 * time.Second, sessionUsual, allOf(floodOf(patientRank, 4), loseRegion)},
	{"session-outage-dispatcher-loss", "A dispatcher dies while the store is down.", 40, 50 * time.Second, sessionUsual, allOf(storeOutage, killDispatcher)},
	{"session-partition-drain", "A domain is drained while the regions are cut off from each other.", 41, 55 * time.Second, sessionUsual, allOf(partitionEdit, drainDomain)},
	{"session-pause-silent", "A dispatcher is paused while connections are silent.", 42, 45 * time.Second, sessionUsual, allOf(pauseDispatcher, silentLinks)},
}

func sessionScenarios() []Scenario {
	var out []Scenario
	for _, f := range sessionFaults {
		out = append(out, Scenario{Name: f.name, About: f.about, Seed: f.seed, Run: func(seed uint64) Report { return f.run(seed) }})
	}
	return out
}

func (f sessionFault) run(seed uint64) Report {
	s := newSession(seed)
	for r, share := range usualLoad {
		s.load(r, share*f.load/0.7, sessionSettle/2, f.length, func() string { return fmt.Sprintf("group-%d", s.sched.Rand.IntN(3)) })
	}
	s.windowTo = f.length - 6*time.Second // the longest deadline
	f.script(s)
	s.sched.RunUntil(f.length)
	return s.report()
}

func allOf(scripts ...func(*session)) func(*session) {
	return func(s *session) {
		for _, script := range scripts {
			script(s)
		}
	}
}

func floodOf(rank int, fraction float64) func(*session) {
	return func(s *session) {
		s.at(sessionFaultAt, func() { s.logf("fault flood of %s work", tables.Ranks[rank]) })
		s.load(rank, fraction, sessionFaultAt, sessionFaultAt+sessionFaultLast, func() string { return floodGroup })
	}
}

func drainDomain(s *session) {
	s.at(sessionFaultAt+time.Second, func() {
		s.drainFrom = s.sched.Elapsed()
		s.edit(func(p *tables.Pool) {
			for i := range p.Servers {
				p.Servers[i].Drain = p.Servers[i].Drain || p.Servers[i].Domain == "n1"
			}
		})
	})
}

func loseRegion(s *session) { s.at(sessionFaultAt+3*time.Second, func() { s.lose("s") }) }

func storeOutage(s *session) {
	s.at(sessionFaultAt, func() { s.setOutage(true) })
	s.at(sessionFaultAt+2*time.Second, func() { s.kill("s1b") })
	s.at(sessionFaultAt+6*time.Second, func() { s.boot("s1b") })
	s.at(sessionFaultAt+20*time.Second, func() { s.setOutage(false) })
	s.at(sessionFaultAt+21*time.Second, func() { s.edit(func(p *tables.Pool) { p.Queue = 200 }) })
}

func killDispatcher(s *session) {
	s.at(sessionFaultAt+4*time.Second, func() { s.kill(s.dispatcherOf("n2")) })
}

func partitionEdit(s *session) {
	s.at(sessionFaultAt, func() { s.setCut(true) })
	// Two operators have read the same version; the second edit is refused.
	s.at(sessionFaultAt+5*time.Second, func() {
		read, version := s.pools()
		read.Pools[0].Queue = 200
		_ = s.put(tables.PoolsName, encodeTable(read), version)
		read.Pools[0].Queue = 100
		_ = s.put(tables.PoolsName, encodeTable(read), version)
	})
	s.at(sessionFaultAt+20*time.Second, func() { s.setCut(false) })
}

func silentLinks(s *session) {
	s.at(sessionFaultAt+500*time.Millisecond, func() { s.silence("n1a", "n1b") })
	s.at(sessionFaultAt+2*time.Second, func() { s.silence("n2a", "s2a") })
	s.at(sessionFaultAt+8*time.Second, func() { s.silence("s1a", "s1b") })
}

func pauseDispatcher(s *session) {
	s.at(sessionFaultAt, func() { s.pause(s.dispatcherOf("n1"), 8*time.Second) })
	s.at(sessionFaultAt+12*time.Second, func() { s.pause(s.dispatcherOf("s2"), 1500*time.Millisecond) })
}

// pools reads the stored pools table as an operator.
func (s *session) pools() (tables.Pools, int64) {
	objects, _, err := s.store.Changes("tables/"+tables.PoolsName, 0)
	if err != nil || len(objects) != 1 {
		panic("the script edits while the store is down")
	}
	t, err := tables.ParsePools("pools", objects[0].Value)
	if err != nil {
		panic(err)
	}
	return t, objects[0].Version
}

func (s *session) edit(change func(*tables.Pool)) {
	t, version := s.pools()
	change(&t.Pools[0])
	_ = s.put(tables.PoolsName, encodeTable(t), version)
}

func encodeTable(t any) []byte {
	b, err := tables.Encode(t)
	if err != nil {
		panic(err)
	}
	return b
}

func sortedIDs[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// report evaluates the checks of the whole session.
func (s *session) report() Report {
	for _, link := range sortedIDs(s.bytes) {
		for _, second := range sortedIDs(s.bytes[link]) {
			s.check.LinkUse(link, s.bytes[link][second], sessionLinkCap)
		}
	}
	sum := s.check.Finish()
	r := Report{Violations: sum.Violations, Log: s.log}
	add := func(name, unit string, v float64) {
		r.Figures = append(r.Figures, Figure{Name: name, Unit: unit, Value: v})
	}
	for i, rank := range tables.Ranks {
		add(string(rank)+" answered in time", "%", 100*s.stats.service(i))
		add(string(rank)+" p50", "ms", s.stats.quantile(i, 50))
		add(string(rank)+" p99", "ms", s.stats.quantile(i, 99))
	}
	others := [2]int{}
	for name, c := range s.stats.group {
		if name != floodGroup {
			others[0], others[1] = others[0]+c[0], others[1]+c[1]
		}
	}
	add("answered outside the flood", "%", 100*ratio(others[1], others[0]))
	add("least headroom", "% of slots", 100*s.least)
	add("sheds by servers", "requests", float64(s.stats.over))
	if s.drainFrom > 0 {
		add("drain until the last new work", "s", max(0, s.lastDrained-s.drainFrom).Seconds())
	}
	for _, code := range sortedIDs(s.total) {
		add("refused "+code.Name(), "requests", float64(s.total[code]))
	}
	add("control traffic, highest node", "B/s", sum.ControlBytes)
	return r
}
