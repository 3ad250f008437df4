// Package slots decides which backend server runs which request. A Dispatcher
// owns the slots of the servers of one (pool, failure domain) and the queue in
// front of them.
//
// A dispatcher that takes over from another one (a handover) or resumes after a
// pause of its process does not know which slots are in use. It starts a
// recovery: it asks the hosts which grants they hold and withholds slots for
// those that have not answered.
//
// Bounded slots also bound the connections to a server: a host opens a
// connection only for a granted request and only when its idle connections are
// in use. So no host has more connections to a server than the server has
// slots, and all hosts together have at most hosts x slots. With 25 hosts and
// 8 slots that is 200 of the 700 connections per server that a pool allows by
// default; in larger domains ConnectionsPerHost bounds the idle connections.
package slots

import (
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

const (
	// GrantSlack is the time from the deadline of a request to the expiry of its
	// grant.
	GrantSlack = time.Second
	// RecoverWait is how long after the start of a recovery the hosts that have
	// not answered count as holding their share of the slots.
	RecoverWait = 2 * time.Second
	// AskPeriod is the interval at which AskHeld is repeated to hosts that have
	// not answered.
	AskPeriod = 200 * time.Millisecond
	// AnswerWait is how long after the start of a recovery a dispatcher grants
	// nothing while a live host has not answered. It covers two repetitions of
	// AskHeld, so hosts that learn late of the new dispatcher still answer in
	// time.
	AnswerWait = 500 * time.Millisecond
	// PauseLimit is the longest gap between two ticks that a dispatcher
	// tolerates. After a longer gap it discards its grants and starts a recovery.
	PauseLimit = time.Second
	// TickPeriod is the suggested interval between calls of Tick. It bounds the
	// delay with which ended cooldowns and expired requests are noticed.
	TickPeriod = 20 * time.Millisecond
	// DrainRamp is the time over which the last servers of a domain lose their
	// slots when all of them drain. Together with the time until a table takes
	// effect it stays within the few seconds in which a draining server may still
	// get work.
	DrainRamp = 3 * time.Second
	// lendReserve is the fraction of the slots that is never lent. The reserve is
	// at least one slot.
	lendReserve = 0.1
	// noServerRetry is the retry-after time of refusals while no server accepts
	// work.
	noServerRetry = time.Second
)

// Request asks for a slot.
type Request struct {
	// ID is unique among the requests of Host.
	ID   uint64
	Host string
	// Rank is an index into tables.Ranks.
	Rank     int
	Group    string
	Deadline time.Time
	// Once marks non-idempotent work. It cannot be retried, so it avoids servers
	// of reduced weight while another server has a free slot.
	Once bool
	// Exclude lists servers that a retry should avoid. It is ignored if no other
	// server accepts work.
	Exclude []string
	// Credit marks work of another domain that uses a slot lent by Lend. It skips
	// the queue while a lent slot is left.
	Credit bool
}

// Grant permits one host to send one request to one server.
type Grant struct {
	ID     uint64
	Host   string
	Server string
	// By is the host of the dispatcher that gave the grant, Epoch the epoch of
	// that dispatcher; see Holder.
	By    string
	Epoch uint64
	Rank  int
	// Expiry is the request deadline plus GrantSlack. The dispatcher frees the
	// slot then, so the host must not start the request later.
	Expiry time.Time
}

// Valid reports whether the request may still be started. Check it right
// before writing the first byte.
func (g Grant) Valid(now time.Time) bool { return now.Before(g.Expiry) }

// Kind is the kind of a Decision.
type Kind int

const (
	// Granted carries a Grant for Host.
	Granted Kind = iota
	// Refused carries the reason in Err; the request has not run.
	Refused
	// AskHeld asks Host which grants it holds; pass its answer to HandleHeld.
	AskHeld
)

// Decision is a message from the dispatcher to one host.
type Decision struct {
	Kind  Kind
	ID    uint64
	Host  string
	Grant Grant
	Err   *result.Error
	// Epoch is the dispatcher's epoch; AskHeld carries it to Holder.Answer.
	Epoch uint64
}

// OutcomeKind is how a granted request ended.
type OutcomeKind int

const (
	// OK: the server answered.
	OK OutcomeKind = iota
	// Failed: the connection or the answer failed.
	Failed
	// Shed: the server refused the request without running it.
	Shed
	// Timeout: the deadline passed while the server had the request.
	Timeout
	// Unused: the host did not send the request; nothing is known of the server.
	Unused
)

// Outcome is the end of a granted request.
type Outcome struct {
	Kind OutcomeKind
	// Service is the time from the first byte sent to the end of the request.
	Service time.Duration
}

// Health says which servers accept work. Implementations are safe for
// concurrent use and do not call the Dispatcher.
type Health interface {
	// Usable reports whether the server may be given new work.
	Usable(now time.Time, server string) bool
	// Weight is the fraction of its slots that the server may use, 0 to 1.
	Weight(now time.Time, server string) float64
	// Report records the outcome of a request.
	Report(now time.Time, server string, o Outcome)
}

// AlwaysHealthy is a Health that accepts every server at full weight.
type AlwaysHealthy struct{}

// Usable returns true.
func (AlwaysHealthy) Usable(time.Time, string) bool { return true }

// Weight returns 1.
func (AlwaysHealthy) Weight(time.Time, string) float64 { return 1 }

// Report does nothing.
func (AlwaysHealthy) Report(time.Time, string, Outcome) {}

// Config configures a Dispatcher.
type Config struct {
	Pool tables.Pool
	// Domain is the failure domain whose servers are dispatched.
	Domain string
	// Self is the host that runs the dispatcher.
	Self string
	// Epoch distinguishes dispatchers of the same host; the start time in
	// milliseconds will do. The dispatcher takes a higher epoch at each recovery.
	Epoch uint64
	// Health defaults to AlwaysHealthy.
	Health Health
}

// Headroom is the slot usage of a dispatcher at one time.
type Headroom struct {
	// Slots is the number of requests that the servers may run now. Running
	// counts granted requests, Held the slots in cooldown after a fast failure,
	// and Lent the slots set aside for credits.
	Slots, Running, Held, Lent int
	// Free slots are neither in use, in cooldown, lent nor withheld for hosts
	// that may hold them.
	Free int
	// Queued counts waiting requests by rank.
	Queued     [len(tables.Ranks)]int
	Recovering bool
}

// ConnectionsPerHost returns how many connections, idle ones included, each of
// the given number of entry hosts may keep to one server of the pool. It is at
// least 1.
func ConnectionsPerHost(p tables.Pool, hosts int) int {
	p = p.WithDefaults()
	return max(1, min(p.Slots, p.Connections/max(1, hosts)))
}
