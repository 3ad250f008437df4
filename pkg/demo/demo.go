package demo

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/admin"
	"github.com/tamarackswitch/tamarackswitch/pkg/invariant"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/settings"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
	"github.com/tamarackswitch/tamarackswitch/pkg/units"
	"github.com/tamarackswitch/tamarackswitch/pkg/wait"
)

// Durations of the demonstration.
const (
	DefaultDuration = 15 * time.Second
	MinDuration     = 10 * time.Second
	startTimeout    = 30 * time.Second
	watchPeriod     = 100 * time.Millisecond
	// linkCapacity is that of the Consortium's links.
	linkCapacity = units.BitRate(280e6)
)

// Options configure a run.
type Options struct {
	// For is the time of the load; default 15 s, at least 10 s.
	For time.Duration
	// Log takes the log lines of the entry hosts; nil drops them.
	Log io.Writer
	// Progress takes one line per event; nil drops them.
	Progress io.Writer
}

const routesText = `[[route]]
name = "catalog"
team = "demo"
path = "/catalog"
pool = "catalog"
rank = "urgent"
idempotent = true
deadline = "800ms"

[[route]]
name = "orders"
team = "demo"
path = "/orders"
methods = ["POST"]
pool = "orders"
rank = "once"
deadline = "3s"

[[route]]
name = "archive"
team = "demo"
path = "/archive"
pool = "orders"
rank = "patient"
idempotent = true
deadline = "1s"
`

// editedDeadline replaces the deadline of the catalog route during the run.
const (
	firstDeadline  = `deadline = "800ms"`
	editedDeadline = `deadline = "900ms"`
)

// DefaultCluster has two regions with two failure domains each and two entry
// hosts in each domain.
func DefaultCluster() ClusterConfig {
	return ClusterConfig{
		Domains: []settings.Domain{
			{Name: "almaty-1", Region: "almaty"}, {Name: "almaty-2", Region: "almaty"},
			{Name: "astana-1", Region: "astana"}, {Name: "astana-2", Region: "astana"},
		},
		HostsPerDomain: 2,
		Links:          []settings.Link{{From: "almaty", To: "astana", Capacity: linkCapacity, RoundTrip: units.Duration(35 * time.Millisecond)}},
		Pools: []PoolConfig{
			{Name: "catalog", ServersPerDomain: 3, Slots: 5, Service: 8 * time.Millisecond},
			{Name: "orders", ServersPerDomain: 2, Slots: 3, Service: 12 * time.Millisecond, Paths: map[string]time.Duration{"/archive": 40 * time.Millisecond}},
		},
		Routes: routesText,
	}
}

func defaultStreams() []stream {
	return []stream{
		{rank: tables.Urgent, route: "catalog", method: http.MethodGet, path: "/catalog", every: 10 * time.Millisecond, deadline: 800 * time.Millisecond},
		{rank: tables.Once, route: "orders", method: http.MethodPost, path: "/orders", every: 40 * time.Millisecond, deadline: 3 * time.Second, keyed: true},
		{rank: tables.Once, route: "orders", method: http.MethodPost, path: "/orders", every: 40 * time.Millisecond, deadline: 3 * time.Second},
		{rank: tables.Patient, route: "archive", method: http.MethodGet, path: "/archive", every: 40 * time.Millisecond, deadline: time.Second},
		// A flood of the least urgent work, above what its pool can carry.
		{rank: tables.Patient, route: "archive", method: http.MethodGet, path: "/archive", every: 4 * time.Millisecond, deadline: time.Second, from: 0.85, to: 0.97},
	}
}

// run is one demonstration.
type run struct {
	cluster  *Cluster
	checker  *invariant.Checker
	progress io.Writer
	started  time.Time
	cut      int
	watched  watchedState
}

// Run plays the demonstration and returns its summary. The error is a
// *result.Error; a broken invariant is not an error here.
func Run(ctx context.Context, o Options) (*Summary, error) {
	if o.For == 0 {
		o.For = DefaultDuration
	}
	if o.For < MinDuration {
		return nil, result.New(result.Usage, "the demonstration takes at least %s", MinDuration)
	}
	cfg := DefaultCluster()
	cfg.Log = o.Log
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	cluster, err := StartCluster(startCtx, cfg)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	r := &run{cluster: cluster, checker: invariant.New(), progress: o.Progress, started: time.Now()}
	l := newLoad(cluster, r.checker)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	watchCtx, stopWatch := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() { defer close(watched); r.watch(watchCtx) }()
	events := make(chan error, 1)
	go func() {
		// The load goes on until the last event has ended, also if it ends late.
		defer stopLoad()
		err := r.playEvents(ctx, o.For)
		if err == nil {
			wait.For(ctx, time.Until(r.started.Add(o.For)))
		}
		events <- err
	}()
	l.run(loadCtx, o.For, defaultStreams())
	took := time.Since(r.started)
	eventErr := <-events
	stopWatch()
	<-watched
	if eventErr != nil {
		return nil, eventErr
	}
	if err := ctx.Err(); err != nil {
		return nil, result.Wrap(err, result.ForcedStop, "the demonstration was interrupted")
	}
	r.finish(l)
	return r.summarize(l, took), nil
}

// playEvents changes the system at fixed fractions of the run, or later if an
// event before takes long.
func (r *run) playEvents(ctx context.Context, total time.Duration) error {
	events := []struct {
		at   float64
		what string
		do   func(context.Context) error
	}{
		{0.15, "edit of the routes table", r.editRoutes},
		{0.25, "drain of one backend server", r.drainServer},
		{0.45, "kill of entry host almaty-1-a", func(context.Context) error { r.kill("almaty-1-a"); return nil }},
		{0.60, "restart of entry host almaty-1-a", func(context.Context) error { return r.cluster.Restart("almaty-1-a") }},
		{0.70, "graceful shutdown of entry host astana-1-b", func(ctx context.Context) error { return r.shutdown(ctx, "astana-1-b") }},
		{0.85, "flood of archive look-ups", func(context.Context) error { return nil }},
	}
	for _, e := range events {
		if !wait.For(ctx, time.Until(r.started.Add(time.Duration(e.at*float64(total))))) {
			return nil
		}
		r.say("%s", e.what)
		if err := e.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) editRoutes(ctx context.Context) error {
	return r.edit(ctx, tables.RoutesName, strings.Replace(routesText, firstDeadline, editedDeadline, 1), "longer deadline for the catalogue")
}

func (r *run) drainServer(ctx context.Context) error {
	server := r.cluster.Servers[0]
	if err := r.edit(ctx, tables.PoolsName, r.cluster.PoolsText(server.Address), "planned drain"); err != nil {
		return err
	}
	r.checker.Draining(time.Now(), server.Address)
	return nil
}

// edit changes a table as an operator does.
func (r *run) edit(ctx context.Context, table, text, why string) error {
	t := &admin.Tables{Store: r.cluster.Platform, Clock: time.Now}
	old, err := t.Get(ctx, table)
	if err != nil {
		return err
	}
	out, err := t.Apply(ctx, admin.Edit{
		Table: table, Text: text, IfVersion: old.Version, Who: "demo", Why: why, Teams: []string{admin.AllTeams},
	})
	if err != nil {
		return err
	}
	r.checker.Accepted(time.Now(), table, out.Version)
	return nil
}

func (r *run) kill(name string) {
	r.watched.drop(r.checker, name)
	r.cluster.Kill(name)
}

// shutdown ends a host gracefully and reports what it cut.
func (r *run) shutdown(ctx context.Context, name string) error {
	r.watched.drop(r.checker, name)
	err := r.cluster.Shutdown(ctx, name)
	cut := 0
	if result.CodeOf(err) == result.ForcedStop {
		cut = 1
	} else if err != nil {
		return err
	}
	r.checker.Shutdown(name, cut)
	r.cut += cut
	return nil
}
