// Package tablesync keeps the routes and pools tables in force at one entry
// host. New versions are read from the platform by the two watchers of a failure
// domain, announced to the other entry hosts and pulled by them. Probes carry the
// versions too, so a host that missed an announcement still learns of them.
//
// The two tables come in force only as a pair whose join is valid: each route
// names a pool that exists. The version of a table in force never decreases.
package tablesync

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

const (
	// WatchersPerDomain is the number of hosts of a domain that read the
	// platform. One would suffice; with two, changes still arrive when one of
	// them is dead.
	WatchersPerDomain = 2
	// PollPeriod is the time between reads of the platform by a watcher. It reads
	// in addition to its watch, because a watch can stop delivering changes
	// without an error.
	PollPeriod = 3 * time.Second
	// TickPeriod is the longest time between two calls of Tick.
	TickPeriod = 250 * time.Millisecond
	// pullTimeout is the time without an answer after which another host is
	// asked: about ten round trips between regions. It doubles with every
	// timeoutsPerDoubling timeouts up to maxPullTimeout, so that a large table
	// can pass a slow link. With doubling at each timeout, a host took over 10 s
	// to get its first tables while 10% of the messages were lost. A random time
	// below pullJitter is added to each timeout and to avoidPeer and avoidBusy.
	pullTimeout    = 400 * time.Millisecond
	maxPullTimeout = 6400 * time.Millisecond
	pullJitter     = 200 * time.Millisecond
	// timeoutsPerDoubling is explained at pullTimeout.
	timeoutsPerDoubling = 3
	// avoidPeer is how long no pull goes to a host that did not answer one in
	// time or whose whole tables could not be used.
	avoidPeer = time.Second
	// avoidBusy is how long no pull goes to a host that was busy or had no
	// tables.
	avoidBusy = 500 * time.Millisecond
	// maxPulls is the largest number of pulls that a host has open at a time.
	maxPulls = 2
	// serveRate and serveBurst are the rate and size of the token bucket for the
	// bytes of answers to pulls, so that the start of a whole domain does not
	// overload the few hosts that have tables.
	serveRate  = 128 << 10 // bytes per second
	serveBurst = 512 << 10 // bytes
	// maxPeers is the largest number of hosts whose versions are kept.
	maxPeers = 256
	// maxRefused is the largest number of refusals that are kept.
	maxRefused = 8
)

// Source is the origin of the tables in force.
type Source string

// The origins of tables.
const (
	SourceNone     Source = "none"
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
)

// Config identifies this host.
type Config struct {
	Self, Domain string
	// Rand chooses peers and jitter.
	Rand *rand.Rand
}

// Sync holds the tables of one entry host. It is safe for concurrent use.
type Sync struct {
	cfg Config

	mu         sync.Mutex
	routes     table[tables.Route]
	pools      table[tables.Pool]
	seenRoutes seen[tables.Route]
	seenPools  seen[tables.Pool]
	source     Source
	sourceHost string
	acceptedAt time.Time // when the tables in force were adopted
	// confirmedAt is when the platform was last known to have no newer valid
	// tables; zero means never.
	confirmedAt time.Time
	problems    map[string]Problem

	live   []string // live hosts of this domain, sorted
	peers  map[string]*peer
	pulls  map[uint64]*pull
	nextID uint64
	// timeouts counts the pulls that timed out since the last answer.
	timeouts      int
	refused       []refusal
	serveLimiter  *rate.Limiter
	encodedAnswer encodedAnswer // the last one
	stats         Stats
}

// peer is the known state of another host.
type peer struct {
	versions   Versions
	lastHeard  time.Time
	avoidUntil time.Time
	needsWhole bool // the next pull asks for whole tables, since the last answer could not be used
}

// refusal is a pair of tables of another host that cannot be combined with the
// pair that was in force here.
type refusal struct{ theirs, ours Versions }

// Stats are totals since the start of the process.
type Stats struct {
	PullsSent       int `json:"pulls_sent"`
	PullTimeouts    int `json:"pull_timeouts"`
	DeltasSent      int `json:"deltas_sent"`
	WholeTablesSent int `json:"wholes_sent"`
	BusySent        int `json:"busy_sent"`
	AnswersRejected int `json:"delta_misfits"`
	Changes         int `json:"changes"`
}

// New returns a Sync that has no tables yet.
func New(cfg Config) *Sync {
	return &Sync{
		cfg: cfg, source: SourceNone, problems: map[string]Problem{},
		peers: map[string]*peer{}, pulls: map[uint64]*pull{},
		serveLimiter: rate.NewLimiter(serveRate, serveBurst),
	}
}

// Watchers returns the hosts of a domain that watch the platform.
func Watchers(domain string, live []string) []string {
	return rendezvous.Top("tables/"+domain, live, WatchersPerDomain)
}

// SetLive replaces the list of live hosts of this domain, which includes this
// host.
func (s *Sync) SetLive(live []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live = slices.Clone(live)
	slices.Sort(s.live)
}

// Watching reports whether this host watches the platform.
func (s *Sync) Watching() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(Watchers(s.cfg.Domain, s.live), s.cfg.Self)
}

// Versions returns the versions in force, which probes, summaries and
// announcements carry.
func (s *Sync) Versions(now time.Time) Versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions(now)
}

func (s *Sync) versions(now time.Time) Versions {
	v := Versions{Routes: s.routes.version, Pools: s.pools.version, UnconfirmedMS: -1}
	if v.Routes != 0 {
		v.Hash = pairHash(s.routes.hash, s.pools.hash)
	}
	if !s.confirmedAt.IsZero() {
		v.UnconfirmedMS = max(0, now.Sub(s.confirmedAt).Milliseconds())
	}
	return v
}

// Snapshot is the pair of tables in force at one time. Its rows are shared and
// read-only.
type Snapshot struct {
	Routes     tables.Routes
	Pools      tables.Pools
	Versions   Versions
	AcceptedAt time.Time
}

// InForce returns the tables in force, and false while there are none.
func (s *Sync) InForce(now time.Time) (Snapshot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{
		Routes: tables.Routes{Routes: s.routes.rows}, Pools: tables.Pools{Pools: s.pools.rows},
		Versions: s.versions(now), AcceptedAt: s.acceptedAt,
	}, s.source != SourceNone
}

// adopt puts newer tables in force if the join of the pair is valid. A table whose
// version is already in force is not replaced.
func (s *Sync) adopt(now time.Time, routes seen[tables.Route], pools seen[tables.Pool]) error {
	if err := tables.CheckJoin(tables.Routes{Routes: routes.rows}, tables.Pools{Pools: pools.rows}); err != nil {
		return err
	}
	if routes.version > s.routes.version {
		s.routes.set(routes.version, routes.rows)
	}
	if pools.version > s.pools.version {
		s.pools.set(pools.version, pools.rows)
	}
	delete(s.problems, joinProblem)
	delete(s.problems, contentProblem)
	s.acceptedAt = now
	s.stats.Changes++
	return nil
}

// announce returns announcements of the versions in force to all other live hosts
// of the domain.
func (s *Sync) announce(now time.Time) []Outgoing {
	var out []Outgoing
	for _, host := range s.live {
		if host != s.cfg.Self {
			v := s.versions(now)
			out = append(out, Outgoing{To: host, Announce: &v})
		}
	}
	return out
}
