// Package fleet holds the dynamic tables of a deployment: the routes and pools
// that operators edit, and the backend servers that announce themselves. The
// types are free of any wire format; an adapter fills them.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// Target is a pool that serves a fraction of a route's requests.
type Target struct {
	Pool string `cbor:"1,keyasint"`
	// Weight is relative to the sum of the weights of the route's targets.
	Weight int `cbor:"2,keyasint"`
}

// Route is one row of the routes table.
type Route struct {
	Name string `cbor:"1,keyasint"`
	// Host and Prefix select the requests: exact host, longest prefix.
	Host    string   `cbor:"2,keyasint"`
	Prefix  string   `cbor:"3,keyasint"`
	Targets []Target `cbor:"4,keyasint"`
	// Idempotent requests may run more than once.
	Idempotent bool `cbor:"5,keyasint"`
	// Timeout bounds how long a request is kept without an answer.
	Timeout time.Duration `cbor:"6,keyasint"`
	// TargetLatency is the time within which an answer is worth the most.
	TargetLatency time.Duration `cbor:"7,keyasint"`
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int `cbor:"8,keyasint"`
	// MaxAttempts bounds the servers that one request is sent to.
	MaxAttempts int `cbor:"9,keyasint"`
	// Sticky routes run faster at a server that handled the same key lately.
	Sticky bool `cbor:"10,keyasint"`
	// Homes, if any, are the only regions whose servers may run the request.
	Homes []string `cbor:"11,keyasint,omitempty"`
}

// Pool is one row of the pools table.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// ColdRate is the number of requests per second that a cold server bears.
	ColdRate float64 `cbor:"4,keyasint"`
}

// Limits bound what callers may send.
type Limits struct {
	HeadBytes   int           `cbor:"1,keyasint"`
	BodyBytes   int64         `cbor:"2,keyasint"`
	HeadTimeout time.Duration `cbor:"3,keyasint"`
	IdleTimeout time.Duration `cbor:"4,keyasint"`
}

// Table is one version of the routes and pools in force, immutable.
type Table struct {
	Version int64   `cbor:"1,keyasint"`
	Routes  []Route `cbor:"2,keyasint"`
	Pools   []Pool  `cbor:"3,keyasint"`
	Limits  Limits  `cbor:"4,keyasint"`

	byHost     map[string][]*Route
	pools      map[string]*Pool
	priorities []int // of the routes, without repetitions, most urgent first
}

// Index prepares the table for look-ups. Call it once before the table is
// shared.
func (t *Table) Index() {
	t.byHost, t.pools, t.priorities = map[string][]*Route{}, map[string]*Pool{}, nil
	for i := range t.Pools {
		t.pools[t.Pools[i].Name] = &t.Pools[i]
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
		t.priorities = append(t.priorities, r.Priority)
	}
	slices.Sort(t.priorities)
	t.priorities = slices.Compact(t.priorities)
	for _, routes := range t.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Level returns the place of a route's priority among those in use, 0 for the
// most urgent, and their number.
func (t *Table) Level(r *Route) (level, levels int) {
	level, _ = slices.BinarySearch(t.priorities, r.Priority)
	return level, len(t.priorities)
}

// Match returns the route of host with the longest prefix of path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pool returns the pool of that name, or nil.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// Server is one backend server as it announced itself.
type Server struct {
	ID      string `cbor:"1,keyasint"`
	Pool    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Domain  string `cbor:"4,keyasint"`
	Slots   int    `cbor:"5,keyasint"`
	// Draining servers take no new requests.
	Draining bool `cbor:"6,keyasint"`
	// ColdFor is how long the server stays cold, from when it said so.
	ColdFor time.Duration `cbor:"7,keyasint"`
	// ColdUntil is the end of ColdFor by the clock of this process.
	ColdUntil time.Time `cbor:"-"`
	// Born is the start of the server in milliseconds since 1970; a restarted
	// server may keep its ID.
	Born int64 `cbor:"8,keyasint"`
}

// EntryHost is one host of the system as it announced itself.
type EntryHost struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Domain string `cbor:"2,keyasint" json:"domain"`
	Region string `cbor:"3,keyasint" json:"region"`
	// Caller is the address for callers; Peer and Control are those for the
	// datagrams and the HTTP calls of other hosts.
	Caller  string `cbor:"4,keyasint" json:"caller"`
	Peer    string `cbor:"5,keyasint" json:"peer"`
	Control string `cbor:"7,keyasint" json:"control"`
	// Capacity is the processor time of the host in cores.
	Capacity float64 `cbor:"8,keyasint" json:"capacity"`
	// Started is the start of the process in milliseconds since 1970.
	Started int64 `cbor:"6,keyasint" json:"started"`
}
