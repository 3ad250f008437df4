package measure

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/admin"
	"github.com/tamarackswitch/tamarackswitch/pkg/invariant"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform/memstore"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Shape of the runs.
const (
	tableWarmUp  = 20 * time.Second
	tableRunTime = 100 * time.Second
	tableEvery   = 15 * time.Second // between two edits
	tablePools   = 20
	tableServers = 20 // per pool
	tableRoutes  = 40
	tableRacers  = 5
)

// tableSizes are the fleets that every scenario runs on.
var tableSizes = []tableConfig{
	{hosts: 24, domains: 6, regions: 3},
	{hosts: 100, domains: 6, regions: 3},
	{hosts: 300, domains: 9, regions: 4},
	{hosts: 680, domains: 9, regions: 4},
}

// tableFault is one scenario: it changes the configuration and schedules faults.
type tableFault struct {
	name, about string
	configure   func(*tableConfig)
	schedule    func(*tableNet)
	// heals names the time from the end of a fault until all hosts have the
	// newest tables; empty if the scenario has no such fault.
	heals   string
	healsAt time.Duration
}

var tableFaults = []tableFault{
	{name: "tables", about: "Changes of tables without faults.", schedule: scheduleEdits},
	{name: "tables-loss", about: "Changes of tables while 10% of the messages between hosts are lost.",
		configure: func(c *tableConfig) { c.loss = 0.1 }, schedule: scheduleEdits},
	{name: "tables-watchers-die", about: "Both watchers of every domain die 0.1 s before a change.", schedule: scheduleWatcherDeaths},
	{name: "tables-outage", about: "The platform is unavailable from 30 s to 70 s; all hosts of one domain restart at 40 s.",
		schedule: scheduleOutage, heals: "restarted domain has tables", healsAt: 40 * time.Second},
	{name: "tables-partition", about: "One domain is cut off from 30 s to 60 s; an operator in it and one outside race.",
		schedule: schedulePartition, heals: "healed domain has the newest tables", healsAt: 60 * time.Second},
	{name: "tables-race", about: "Five operators change the same table at the same time.", schedule: scheduleRace},
	{name: "tables-lost-answers", about: "Half of the platform's answers to puts are lost after the change took effect.", schedule: scheduleLostAnswers},
}

// tableScenarios returns the scenarios of tables.
func tableScenarios() []Scenario {
	var out []Scenario
	for i, f := range tableFaults {
		out = append(out, Scenario{Name: f.name, About: f.about, Seed: uint64(100 + i), Run: func(seed uint64) Report { return runTables(f, seed) }})
	}
	return out
}

// tableOutcome is what one run measured.
type tableOutcome struct {
	slowest, heal time.Duration
	bytes         float64 // of the busiest node per second
	peak, mean    float64 // platform calls per second
	violations    []string
	log           []string
}

func runTables(f tableFault, seed uint64) Report {
	var r Report
	for _, cfg := range tableSizes {
		own := runTableNet(f, cfg, seed)
		base := cfg
		base.everyHostWatches = true
		plain := runTableNet(f, base, seed)
		at := fmt.Sprintf(" at %d hosts", cfg.hosts)
		add := func(name, unit string, value, baseline, bound float64) {
			r.Figures = append(r.Figures, Figure{Name: name + at, Unit: unit, Value: value, Baseline: baseline, HasBaseline: true, Bound: bound, AtMost: bound > 0})
		}
		add("slowest change in force everywhere", "s", own.slowest.Seconds(), plain.slowest.Seconds(), invariant.ConfigDelay.Seconds())
		if f.heals != "" {
			add(f.heals, "s", own.heal.Seconds(), plain.heal.Seconds(), invariant.ConfigDelay.Seconds())
		}
		add("table traffic of the busiest node", "B/s", own.bytes, plain.bytes, invariant.ControlBytes)
		add("platform calls, mean", "1/s", own.mean, plain.mean, 0)
		add("platform calls, busiest second", "1/s", own.peak, plain.peak, invariant.PlatformReads)
		r.Violations = append(r.Violations, own.violations...)
		r.BaselineViolations += len(plain.violations)
	}
	return r
}

func runTableNet(f tableFault, cfg tableConfig, seed uint64) tableOutcome {
	if f.configure != nil {
		f.configure(&cfg)
	}
	n := newTableNet(cfg, seed)
	n.edit(1, 0)
	n.edit(0, 0)
	n.at(tableWarmUp-time.Second, func() { n.from = n.sched.Now() })
	f.schedule(n)
	var heal time.Duration
	if f.heals != "" {
		n.at(f.healsAt, func() { n.awaitNewest(n.sched.Now(), &heal) })
	}
	n.sched.RunUntil(tableRunTime)
	return n.outcome(heal)
}

// awaitNewest notes how long it takes until all hosts have the newest tables.
func (n *tableNet) awaitNewest(since time.Time, took *time.Duration) {
	*took = n.sched.Now().Sub(since)
	all := func(*tableHost) bool { return true }
	if n.everywhere(0, n.latest[0], all) && n.everywhere(1, n.latest[1], all) {
		n.logf("newest tables in force at every host")
		return
	}
	n.sched.After(time.Millisecond, func() { n.awaitNewest(since, took) })
}

func (n *tableNet) outcome(heal time.Duration) tableOutcome {
	o := tableOutcome{heal: heal, log: n.log}
	end := n.sched.Now()
	for _, e := range n.edits {
		if !e.done {
			e.took = end.Sub(e.at)
		}
		if e.at.After(n.from) {
			o.slowest = max(o.slowest, e.took)
		}
	}
	seconds := end.Sub(n.from).Seconds()
	for _, b := range n.traffic {
		o.bytes = max(o.bytes, float64(b)/seconds)
	}
	calls := 0
	for _, c := range n.calls {
		o.peak = max(o.peak, float64(c))
		calls += c
	}
	o.mean = float64(calls) / seconds
	o.violations = append(n.problems, n.check.Finish().Violations...)
	return o
}

// tableText returns a table whose text depends on number.
func tableText(table, number int) string {
	var b strings.Builder
	if table == 0 {
		for i := range tableRoutes {
			deadline := 500 + (number+i)%2*number%400
			fmt.Fprintf(&b, "[[route]]\nname = \"route-%d\"\nteam = \"pinhole\"\npath = \"/route-%d\"\npool = \"pool-%d\"\nrank = \"urgent\"\ndeadline = \"%dms\"\n", i, i, i%tablePools, deadline)
		}
		return b.String()
	}
	for i := range tablePools {
		fmt.Fprintf(&b, "[[pool]]\nname = \"pool-%d\"\nteam = \"pinhole\"\nslots = 5\nservers = [\n", i)
		for s := range tableServers {
			drain := i == number%tablePools && s == number/tablePools%tableServers
			fmt.Fprintf(&b, "  {address = \"10.%d.%d.1:80\", domain = \"d%d\", drain = %v},\n", i, s, s%6+1, drain)
		}
		b.WriteString("]\n")
	}
	return b.String()
}

// edit reads a table and changes it as an operator does.
func (n *tableNet) edit(table, number int) (admin.Applied, error) {
	current, err := n.admin.Get(context.Background(), tableNames[table])
	if err != nil && result.CodeOf(err) != result.TableNotFound {
		return admin.Applied{}, err
	}
	return n.editFrom(table, number, current.Version)
}

func (n *tableNet) editFrom(table, number int, version int64) (admin.Applied, error) {
	// The context is over, so that a read-back that fails ends at once instead
	// of waiting in real time.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return n.admin.Apply(ctx, admin.Edit{
		Table: tableNames[table], Text: tableText(table, number), IfVersion: version,
		Who: "operator", Why: "measurement", Teams: []string{admin.AllTeams},
	})
}

// mustEdit is an edit in a scenario without a reason to fail.
func (n *tableNet) mustEdit(table, number int) {
	if out, err := n.edit(table, number); err != nil {
		n.problem("edit %d of %s: %v", number, tableNames[table], err)
	} else {
		n.logf("accepted %s version %d", tableNames[table], out.Version)
	}
}

// problem reports a fault that no invariant of the checker covers.
func (n *tableNet) problem(format string, args ...any) {
	n.logf(format, args...)
	n.problems = append(n.problems, fmt.Sprintf(format, args...))
}

func (n *tableNet) logf(format string, args ...any) {
	n.log = append(n.log, fmt.Sprintf("%8.3fs ", n.elapsed().Seconds())+fmt.Sprintf(format, args...))
}

func scheduleEdits(n *tableNet) {
	number := 0
	for at := tableWarmUp; at < tableRunTime-invariant.ConfigDelay; at += tableEvery {
		number++
		number := number
		n.at(at+n.random(time.Second), func() { n.mustEdit(number%2, number) })
	}
}

func scheduleWatcherDeaths(n *tableNet) {
	scheduleEdits(n)
	n.at(40*time.Second, func() {
		for _, h := range n.hosts {
			if h.sync.Watching() {
				n.kill(h)
				n.sched.After(20*time.Second, func() { n.restart(h) })
			}
		}
		n.sched.After(100*time.Millisecond, func() { n.mustEdit(1, 77) })
	})
}

func scheduleOutage(n *tableNet) {
	n.at(25*time.Second, func() { n.mustEdit(1, 1) })
	n.at(30*time.Second, func() { n.setOutage(true) })
	n.at(40*time.Second, func() {
		for _, h := range n.hosts {
			if h.domain == n.domains[1] {
				n.kill(h)
				n.restart(h)
			}
		}
	})
	n.at(70*time.Second, func() { n.setOutage(false) })
	n.at(75*time.Second, func() { n.mustEdit(0, 2) })
}

// schedulePartition cuts a domain off between the put of an operator in it and
// the answer, while an operator outside edits the same version.
func schedulePartition(n *tableNet) {
	domain := n.domains[1]
	n.at(25*time.Second, func() { n.mustEdit(1, 1) })
	n.at(30*time.Second, func() {
		version, outside := n.latest[1], n.admin
		n.admin = &admin.Tables{Store: cutStore{outside.Store, n, domain}, Clock: n.sched.Now}
		_, err := n.editFrom(1, 2, version)
		n.logf("operator in %s: %s, run %s", domain, result.CodeOf(err).Name(), result.From(err).Run)
		n.admin = outside
		_, err = n.editFrom(1, 3, version)
		var c *admin.Conflict
		if !errors.As(err, &c) {
			n.problem("operator outside was not told of the conflict: %v", err)
			return
		}
		n.logf("operator outside: %s, newer version %d", result.CodeOf(err).Name(), c.Newer.Version)
		out, err := n.editFrom(1, 3, c.Newer.Version)
		n.logf("operator outside, again: %s, version %d", result.CodeOf(err).Name(), out.Version)
	})
	n.at(45*time.Second, func() { n.mustEdit(0, 4); n.logCutOff(domain) })
	n.at(60*time.Second, func() { n.logf("domain %s healed", domain); n.setCut(domain, false) })
	// The first table and three edits, one of which its operator saw as unsettled.
	n.at(65*time.Second, func() { n.expectHistory(4) })
}

// logCutOff logs what the first host of a domain shows operators.
func (n *tableNet) logCutOff(domain string) {
	for _, h := range n.hosts {
		if h.domain == domain {
			st := h.sync.Status(n.sched.Now())
			n.logf("%s in %s has versions %d and %d, unconfirmed for %.0f s", h.name, domain, st.Versions.Routes, st.Versions.Pools, st.Unconfirmed.Seconds())
			return
		}
	}
}

// cutStore is the platform as seen from a domain that is cut off between the
// put of a table and its answer.
type cutStore struct {
	platform.Store
	n      *tableNet
	domain string
}

func (s cutStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if s.n.cut[s.domain] {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s cutStore) Put(ctx context.Context, key string, value []byte, ifVersion int64) (platform.Object, error) {
	if s.n.cut[s.domain] {
		return platform.Object{}, platform.ErrUnavailable
	}
	o, err := s.Store.Put(ctx, key, value, ifVersion)
	if err == nil && strings.HasPrefix(key, platform.TablesPrefix) {
		s.n.logf("version %d of %s accepted, domain %s cut off before the answer", o.Version, key, s.domain)
		s.n.setCut(s.domain, true)
		return platform.Object{}, memstore.ErrAnswerLost
	}
	return o, err
}

func scheduleRace(n *tableNet) {
	for round := range 4 {
		n.at(tableWarmUp+time.Duration(round)*tableEvery, func() {
			version, accepted := n.latest[1], 0
			for i := range tableRacers {
				number := 1 + round*tableRacers + i
				_, err := n.editFrom(1, number, version)
				var c *admin.Conflict
				if errors.As(err, &c) {
					_, err = n.editFrom(1, number, c.Newer.Version)
				}
				if err == nil {
					accepted++
				}
			}
			if accepted != tableRacers {
				n.problem("%d of %d racing edits were accepted after a retry", accepted, tableRacers)
			}
			n.expectHistory(1 + (round+1)*tableRacers)
		})
	}
}

// expectHistory checks that the history of the pools has a number of records and
// ends with the newest version.
func (n *tableNet) expectHistory(want int) {
	records, err := n.admin.History(context.Background(), tableNames[1])
	if err != nil || len(records) != want || records[0].Version != n.latest[1] {
		n.problem("history has %d records instead of %d: %v", len(records), want, err)
	}
}

func scheduleLostAnswers(n *tableNet) {
	n.loseAnswers = 0.5
	for round := range 5 {
		n.at(tableWarmUp+time.Duration(round)*tableEvery, func() {
			n.mustEdit(1, 1+round)
			n.expectHistory(2 + round)
		})
	}
}
