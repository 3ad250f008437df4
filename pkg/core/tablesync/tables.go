package tablesync

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// keptSteps is the number of past versions of a table from which a delta can be
// computed.
const keptSteps = 16

// step is the change of a table from one version in force to the next. It keeps
// only the names of the changed rows, since a delta sends the rows in force now;
// so 16 versions of a table of 1 MiB take a few kilobytes.
type step struct {
	from     int64
	fromHash uint64
	names    []string
}

// table is one table in force, with its latest changes.
type table[R tables.Row] struct {
	version int64
	hash    uint64
	rows    []R // sorted by name
	steps   []step
}

// set puts rows in force and records the step to them.
func (t *table[R]) set(version int64, rows []R) {
	rows = tables.Sorted(rows)
	t.steps = append(t.steps, step{t.version, t.hash, tables.Between(t.rows, rows).Names()})
	if len(t.steps) > keptSteps {
		t.steps = slices.Delete(t.steps, 0, len(t.steps)-keptSteps)
	}
	t.version, t.hash, t.rows = version, tables.Hash(rows), rows
}

// since returns the delta from a version to the one in force, and false if the
// version is not known.
func (t *table[R]) since(version int64) (tables.Delta[R], bool) {
	if version == t.version {
		return tables.Delta[R]{}, true
	}
	first := slices.IndexFunc(t.steps, func(s step) bool { return s.from == version })
	if first < 0 || version == 0 {
		return tables.Delta[R]{}, false
	}
	touched := map[string]bool{}
	for _, s := range t.steps[first:] {
		for _, name := range s.names {
			touched[name] = true
		}
	}
	var d tables.Delta[R]
	for _, r := range t.rows {
		if touched[r.Key()] {
			d.Set = append(d.Set, r)
			delete(touched, r.Key())
		}
	}
	for name := range touched {
		d.Remove = append(d.Remove, name)
	}
	slices.Sort(d.Remove)
	return d, true
}

// hashAt returns the hash of the table at a version, and false if the version is
// not known.
func (t *table[R]) hashAt(version int64) (uint64, bool) {
	if version == t.version {
		return t.hash, true
	}
	i := slices.IndexFunc(t.steps, func(s step) bool { return s.from == version })
	if i < 0 {
		return 0, false
	}
	return t.steps[i].fromHash, true
}

// pairHash returns the hash of the hashes of both tables.
func pairHash(routes, pools uint64) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(routes>>(8*i)), byte(pools>>(8*i))
	}
	return xxhash.Sum64(b[:])
}
