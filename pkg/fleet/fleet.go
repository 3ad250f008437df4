// Package fleet defines the dynamic configuration of a deployment: the routes
// and pools that operators edit, and the backend servers and entry hosts that
// register themselves. The types do not depend on the format of the platform's
// store; an adapter converts to them.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// Target is a pool that receives a share of a route's requests.
type Target struct {
	Pool string `cbor:"1,keyasint"`
	// Weight divided by the sum of the weights of the route's targets is the
	// share of the requests that go to Pool.
	Weight int `cbor:"2,keyasint"`
}

// Route is one row of the routes table.
type Route struct {
	Name string `cbor:"1,keyasint"`
	// Host and Prefix select the requests: the host must be equal, and the route
	// with the longest matching path prefix is used.
	Host    string   `cbor:"2,keyasint"`
	Prefix  string   `cbor:"3,keyasint"`
	Targets []Target `cbor:"4,keyasint"`
	// Idempotent is set if a request may run more than once.
	Idempotent bool `cbor:"5,keyasint"`
	// Timeout is the longest time that a request is held without an answer.
	Timeout time.Duration `cbor:"6,keyasint"`
	// TargetLatency is the latency objective: an answer within it has its full
	// value.
	TargetLatency time.Duration `cbor:"7,keyasint"`
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int `cbor:"8,keyasint"`
	// MaxAttempts is the largest number of servers that one request is sent to.
	MaxAttempts int `cbor:"9,keyasint"`
	// Sticky is set if requests run faster on a server that recently handled the
	// same affinity key.
	Sticky bool `cbor:"10,keyasint"`
	// HomeRegions lists the regions whose servers may run the request; if it is
	// empty, all may.
	HomeRegions []string `cbor:"11,keyasint,omitempty"`
}

// Pool is one row of the pools table.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// ColdRate is the largest number of requests per second to a server whose
	// caches are cold.
	ColdRate float64 `cbor:"4,keyasint"`
}

// Limits bound the requests and connections of callers.
type Limits struct {
	// HeadBytes is the largest size of a request line with its headers.
	HeadBytes int `cbor:"1,keyasint"`
	// BodyBytes is the largest size of a request body.
	BodyBytes int64 `cbor:"2,keyasint"`
	// HeadTimeout is the time within which a request line with its headers must
	// arrive.
	HeadTimeout time.Duration `cbor:"3,keyasint"`
	// IdleTimeout is how long a connection is kept between requests.
	IdleTimeout time.Duration `cbor:"4,keyasint"`
}

// Table is one version of the routes and pools. It is immutable once indexed.
type Table struct {
	Version int64   `cbor:"1,keyasint"`
	Routes  []Route `cbor:"2,keyasint"`
	Pools   []Pool  `cbor:"3,keyasint"`
	Limits  Limits  `cbor:"4,keyasint"`

	routesByHost map[string][]*Route
	poolsByName  map[string]*Pool
	priorities   []int // distinct priorities of the routes, most urgent first
}

// Index builds the indexes that PriorityLevel, Match and Pool use. Call it once,
// before the table is shared between goroutines.
func (t *Table) Index() {
	t.routesByHost, t.poolsByName, t.priorities = map[string][]*Route{}, map[string]*Pool{}, nil
	for i := range t.Pools {
		t.poolsByName[t.Pools[i].Name] = &t.Pools[i]
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
		t.priorities = append(t.priorities, r.Priority)
	}
	slices.Sort(t.priorities)
	t.priorities = slices.Compact(t.priorities)
	for _, routes := range t.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// PriorityLevel returns the index of a route's priority among the distinct
// priorities of the table, 0 for the most urgent, and the number of these
// priorities.
func (t *Table) PriorityLevel(r *Route) (level, levels int) {
	level, _ = slices.BinarySearch(t.priorities, r.Priority)
	return level, len(t.priorities)
}

// Match returns the route of host whose prefix is the longest one of path, or
// nil if no prefix matches.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pool returns the pool with the given name, or nil.
func (t *Table) Pool(name string) *Pool { return t.poolsByName[name] }

// Server is the registration of one backend server.
type Server struct {
	ID      string `cbor:"1,keyasint"`
	Pool    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	// Domain is the failure domain of the server.
	Domain string `cbor:"4,keyasint"`
	// Slots is the number of requests that the server runs at once.
	Slots int `cbor:"5,keyasint"`
	// Draining is set if the server takes no new requests.
	Draining bool `cbor:"6,keyasint"`
	// ColdFor is how long the caches of the server stay cold, counted from its
	// announcement.
	ColdFor time.Duration `cbor:"7,keyasint"`
	// ColdUntil is the end of that time by the clock of this process.
	ColdUntil time.Time `cbor:"-"`
	// StartedMS is the start time of the server process in Unix milliseconds. It
	// distinguishes processes, because a restarted server may keep its ID.
	StartedMS int64 `cbor:"8,keyasint"`
}

// EntryHost is the registration of one entry host.
type EntryHost struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Domain string `cbor:"2,keyasint" json:"domain"`
	Region string `cbor:"3,keyasint" json:"region"`
	// CallerAddress is the address for callers, PeerAddress the address for
	// datagrams of other entry hosts, and ControlAddress the address for their HTTP
	// calls.
	CallerAddress  string `cbor:"4,keyasint" json:"caller"`
	PeerAddress    string `cbor:"5,keyasint" json:"peer"`
	ControlAddress string `cbor:"7,keyasint" json:"control"`
	// Capacity is the processor time available to the host, in cores.
	Capacity float64 `cbor:"8,keyasint" json:"capacity"`
	// StartedMS is the start time of the process in Unix milliseconds.
	StartedMS int64 `cbor:"6,keyasint" json:"started"`
}
