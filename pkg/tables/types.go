// Package tables defines the two tables that operators edit: routes and pools.
// It parses, validates, encodes and compares them. Tables hold no state of
// their own; package tablesync decides which version is in force.
package tables

import (
	"strings"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/units"
)

// Names of the two tables.
const (
	RoutesName = "routes"
	PoolsName  = "pools"
)

// Rank orders work by urgency.
type Rank string

// The ranks, most urgent first.
const (
	Urgent  Rank = "urgent"
	Once    Rank = "once"
	Patient Rank = "patient"
)

// Ranks lists the ranks, most urgent first.
var Ranks = [...]Rank{Urgent, Once, Patient}

// Index returns the position of r in Ranks, or -1.
func (r Rank) Index() int {
	for i, x := range Ranks {
		if x == r {
			return i
		}
	}
	return -1
}

// Route is one row of the routes table.
type Route struct {
	Name string `toml:"name" cbor:"1,keyasint"`
	// Team owns the row; only tokens of the team may change it.
	Team string `toml:"team" cbor:"2,keyasint"`
	// Path is matched as a prefix; the longest matching row wins.
	Path string `toml:"path" cbor:"3,keyasint"`
	// Methods accepted; empty means GET and HEAD.
	Methods []string `toml:"methods,omitempty" cbor:"4,keyasint,omitempty"`
	// Pool names a row of the pools table.
	Pool string `toml:"pool" cbor:"5,keyasint"`
	Rank Rank   `toml:"rank" cbor:"6,keyasint"`
	// Idempotent requests may be repeated and hedged.
	Idempotent bool `toml:"idempotent,omitempty" cbor:"7,keyasint,omitempty"`
	// Deadline is the longest time to an answer; default 2 s. A caller may ask
	// for less.
	Deadline units.Duration `toml:"deadline,omitempty" cbor:"8,keyasint,omitempty"`
	// MaxBody bounds the request body in bytes; default 1 MiB.
	MaxBody units.Size `toml:"max_body,omitempty" cbor:"9,keyasint,omitempty"`
	// GroupHeader is the request header that names the caller group for fair
	// queueing; default "Tamarackswitch-Group".
	GroupHeader string `toml:"group_header,omitempty" cbor:"10,keyasint,omitempty"`
}

// Server is one backend server of a pool.
type Server struct {
	// Address is the IP number and port, unique within the pool.
	Address string `toml:"address" cbor:"1,keyasint"`
	// Domain is the failure domain of the server.
	Domain string `toml:"domain" cbor:"2,keyasint"`
	// Drain stops new work while running work finishes.
	Drain bool `toml:"drain,omitempty" cbor:"3,keyasint,omitempty"`
}

// Floors are the fractions of a pool's slot time that each rank keeps during
// a flood of the others. They sum to at most 1.
type Floors struct {
	Urgent  float64 `toml:"urgent" cbor:"1,keyasint"`
	Once    float64 `toml:"once" cbor:"2,keyasint"`
	Patient float64 `toml:"patient" cbor:"3,keyasint"`
}

// Of returns the floor of the rank with index i in Ranks.
func (f Floors) Of(i int) float64 { return [...]float64{f.Urgent, f.Once, f.Patient}[i] }

// Pool is one row of the pools table.
type Pool struct {
	Name string `toml:"name" cbor:"1,keyasint"`
	Team string `toml:"team" cbor:"2,keyasint"`
	// Slots is the number of requests that one server runs at a time.
	Slots int `toml:"slots" cbor:"3,keyasint"`
	// Connections bounds the open connections per server over all entry
	// hosts; default 700.
	Connections int `toml:"connections,omitempty" cbor:"4,keyasint,omitempty"`
	// WarmUp is the time over which a new or returning server is given its
	// full slots; default 10 s.
	WarmUp units.Duration `toml:"warm_up,omitempty" cbor:"5,keyasint,omitempty"`
	// ShiftCap bounds how fast another failure domain's traffic may grow at
	// this pool, as a fraction of the receiving domain's slots per second;
	// default 0.1.
	ShiftCap float64 `toml:"shift_cap,omitempty" cbor:"6,keyasint,omitempty"`
	Floors   *Floors `toml:"floors,omitempty" cbor:"7,keyasint,omitempty"`
	// Queue bounds the waiting requests per rank in one failure domain;
	// default 256.
	Queue int `toml:"queue,omitempty" cbor:"8,keyasint,omitempty"`
	// ProbePath is the health endpoint of the servers; default "/health".
	ProbePath string   `toml:"probe_path,omitempty" cbor:"9,keyasint,omitempty"`
	Servers   []Server `toml:"servers" cbor:"10,keyasint"`
}

// Routes is the routes table.
type Routes struct {
	Routes []Route `toml:"route" cbor:"1,keyasint"`
}

// Pools is the pools table.
type Pools struct {
	Pools []Pool `toml:"pool" cbor:"1,keyasint"`
}

// Defaults of optional fields.
const (
	DefaultDeadline    = 2 * time.Second
	DefaultMaxBody     = 1 << 20
	DefaultGroupHeader = "Tamarackswitch-Group"
	DefaultConnections = 700
	DefaultWarmUp      = 10 * time.Second
	DefaultShiftCap    = 0.1
	DefaultQueue       = 256
	DefaultProbePath   = "/health"
)

// DefaultFloors apply to pools without floors of their own.
var DefaultFloors = Floors{Urgent: 0.5, Once: 0.2, Patient: 0.05}

// WithDefaults returns the row with its optional fields filled in.
func (r Route) WithDefaults() Route {
	if len(r.Methods) == 0 {
		r.Methods = []string{"GET", "HEAD"}
	}
	if r.Deadline == 0 {
		r.Deadline = units.Duration(DefaultDeadline)
	}
	if r.MaxBody == 0 {
		r.MaxBody = DefaultMaxBody
	}
	if r.GroupHeader == "" {
		r.GroupHeader = DefaultGroupHeader
	}
	return r
}

// WithDefaults returns the row with its optional fields filled in.
func (p Pool) WithDefaults() Pool {
	if p.Connections == 0 {
		p.Connections = DefaultConnections
	}
	if p.WarmUp == 0 {
		p.WarmUp = units.Duration(DefaultWarmUp)
	}
	if p.ShiftCap == 0 {
		p.ShiftCap = DefaultShiftCap
	}
	if p.Floors == nil {
		f := DefaultFloors
		p.Floors = &f
	}
	if p.Queue == 0 {
		p.Queue = DefaultQueue
	}
	if p.ProbePath == "" {
		p.ProbePath = DefaultProbePath
	}
	return p
}

// InDomain returns the servers of the pool in one failure domain.
func (p Pool) InDomain(domain string) []Server {
	var out []Server
	for _, s := range p.Servers {
		if s.Domain == domain {
			out = append(out, s)
		}
	}
	return out
}

// Match returns the row with the longest path prefix that matches path.
func (r Routes) Match(path string) (Route, bool) {
	best := -1
	for i, row := range r.Routes {
		if pathHasPrefix(path, row.Path) && (best < 0 || len(row.Path) > len(r.Routes[best].Path)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return r.Routes[best].WithDefaults(), true
}

// ByName returns the row called name.
func (r Routes) ByName(name string) (Route, bool) {
	for _, row := range r.Routes {
		if row.Name == name {
			return row.WithDefaults(), true
		}
	}
	return Route{}, false
}

// ByName returns the row called name.
func (p Pools) ByName(name string) (Pool, bool) {
	for _, row := range p.Pools {
		if row.Name == name {
			return row.WithDefaults(), true
		}
	}
	return Pool{}, false
}

// pathHasPrefix matches whole path segments, so that "/order" does not match
// "/orders".
func pathHasPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
