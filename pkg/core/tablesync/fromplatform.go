package tablesync

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// Keys of the table objects at the platform.
const (
	RoutesKey = platform.TablesPrefix + tables.RoutesName
	PoolsKey  = platform.TablesPrefix + tables.PoolsName
)

// Values of Problem.Table for problems of both tables together.
const (
	// joinProblem is a pair of tables whose join is invalid.
	joinProblem = "join"
	// contentProblem is a host with other rows at the same versions.
	contentProblem = "content"
)

// Problem is the reason why the tables of an object or message could not be put
// in force.
type Problem struct {
	// Table is the name of a table, or "join" or "content" for both together.
	Table   string    `json:"table"`
	Version int64     `json:"version"`
	Since   time.Time `json:"since"`
	Error   string    `json:"error"`
}

// seen is the newest valid version of a table that was read from the platform. It
// may not be in force yet, if its join is valid only with a newer version of the
// other table. Tables from a peer are passed to adopt as this type too; adopt reads
// only version and rows.
type seen[R tables.Row] struct {
	version int64
	rows    []R
	// lastVersion and lastHash identify the last object read, valid or not, so
	// that a repeated read is not parsed again.
	lastVersion int64
	lastHash    uint64
}

// FromPlatform handles the answer to a successful read or watch of the tables; an
// answer without objects says that nothing changed. All objects of one answer
// belong in one call, so that a pair that was never in the store together does
// not come in force. It returns the announcements to send.
func (s *Sync) FromPlatform(now time.Time, objects ...platform.Object) []Outgoing {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = now
	objects = slices.Clone(objects)
	slices.SortFunc(objects, func(a, b platform.Object) int { return cmp.Compare(a.Version, b.Version) })
	changed := false
	for _, o := range objects {
		switch o.Key {
		case RoutesKey:
			takeObject(s, now, &s.seenRoutes, &s.routes, o, func() ([]tables.Route, error) {
				t, err := tables.ParseRoutes(o.Key, o.Value)
				return t.Routes, err
			})
		case PoolsKey:
			takeObject(s, now, &s.seenPools, &s.pools, o, func() ([]tables.Pool, error) {
				t, err := tables.ParsePools(o.Key, o.Value)
				return t.Pools, err
			})
		}
		changed = s.adoptSeen(now) || changed
	}
	if !changed {
		return nil
	}
	s.source, s.sourceHost = SourcePlatform, ""
	return s.announce(now)
}

// takeObject parses and validates one object. It stores a valid one as seen if it
// is newer, and reports a problem otherwise.
func takeObject[R tables.Row](s *Sync, now time.Time, lastSeen *seen[R], inForce *table[R], o platform.Object, parse func() ([]R, error)) {
	name := o.Key[len(platform.TablesPrefix):]
	valueHash := xxhash.Sum64(o.Value)
	if o.Version == lastSeen.lastVersion && valueHash == lastSeen.lastHash {
		return
	}
	lastSeen.lastVersion, lastSeen.lastHash = o.Version, valueHash
	if o.Version < inForce.version {
		s.report(now, name, o.Version, result.New(result.VersionConflict,
			"the platform has version %d, older than version %d in force; its store may have been restored", o.Version, inForce.version))
		return
	}
	rows, err := parse()
	switch {
	case err != nil:
		s.report(now, name, o.Version, err)
	case o.Version == inForce.version && tables.Hash(rows) != inForce.hash:
		s.report(now, name, o.Version, result.New(result.VersionConflict,
			"the platform has other rows at version %d than those in force; its store may have been restored", o.Version))
	default:
		delete(s.problems, name)
		if o.Version > lastSeen.version {
			lastSeen.version, lastSeen.rows = o.Version, rows
		}
	}
}

// adoptSeen puts the newest tables from the platform in force and returns whether
// it did. It reports a pair whose join is invalid.
func (s *Sync) adoptSeen(now time.Time) bool {
	routes, pools := s.seenRoutes, s.seenPools
	if routes.version < s.routes.version {
		routes.version, routes.rows = s.routes.version, s.routes.rows
	}
	if pools.version < s.pools.version {
		pools.version, pools.rows = s.pools.version, s.pools.rows
	}
	newer := routes.version > s.routes.version || pools.version > s.pools.version
	if !newer || routes.version == 0 || pools.version == 0 {
		return false
	}
	if err := s.adopt(now, routes, pools); err != nil {
		s.report(now, joinProblem, max(routes.version, pools.version), err)
		return false
	}
	return true
}

func otherRowsError(host string, v Versions) error {
	return result.New(result.VersionConflict,
		"host %s has other rows at versions %d and %d; the platform's store may have been restored", host, v.Routes, v.Pools)
}

// report records a problem of a table, unless the same one is recorded already.
func (s *Sync) report(now time.Time, table string, version int64, err error) {
	if p, ok := s.problems[table]; ok && p.Version == version && p.Error == err.Error() {
		return
	}
	s.problems[table] = Problem{Table: table, Version: version, Since: now, Error: err.Error()}
}
