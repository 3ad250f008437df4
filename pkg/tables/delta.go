package tables

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Row is a row of one of the two tables.
type Row interface {
	Route | Pool
	// Key returns the name of the row, which is unique in its table.
	Key() string
	// Owner returns the team that may change the row.
	Owner() string
}

// Key implements Row.
func (r Route) Key() string { return r.Name }

// Owner implements Row.
func (r Route) Owner() string { return r.Team }

// Key implements Row.
func (p Pool) Key() string { return p.Name }

// Owner implements Row.
func (p Pool) Owner() string { return p.Team }

// Delta turns one version of a table into another.
type Delta[R Row] struct {
	// Set holds new and changed rows, Remove the names of removed rows.
	Set    []R      `cbor:"1,keyasint,omitempty"`
	Remove []string `cbor:"2,keyasint,omitempty"`
}

// canonical encodes equal rows to equal bytes.
var canonical = func() cbor.EncMode {
	o := cbor.CoreDetEncOptions()
	o.NilContainers = cbor.NilContainerAsEmpty
	m, err := o.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Sorted returns the rows in order of their names. The order of rows has no
// meaning, so tables are compared and hashed in this order.
func Sorted[R Row](rows []R) []R {
	out := slices.Clone(rows)
	slices.SortStableFunc(out, func(a, b R) int { return strings.Compare(a.Key(), b.Key()) })
	return out
}

// Hash returns a hash of the rows that does not depend on their order.
func Hash[R Row](rows []R) uint64 {
	h := xxhash.New()
	if err := canonical.NewEncoder(h).Encode(Sorted(rows)); err != nil {
		panic(err) // rows hold only encodable types
	}
	return h.Sum64()
}

// equalRows compares two rows as they are stored and sent.
func equalRows[R Row](a, b R) bool {
	x, errX := canonical.Marshal(a)
	y, errY := canonical.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

func byKey[R Row](rows []R) map[string]R {
	m := make(map[string]R, len(rows))
	for _, r := range rows {
		m[r.Key()] = r
	}
	return m
}

// Between returns the delta that turns old into new.
func Between[R Row](old, new []R) Delta[R] {
	var d Delta[R]
	had, has := byKey(old), byKey(new)
	for _, r := range Sorted(new) {
		if before, ok := had[r.Key()]; !ok || !equalRows(before, r) {
			d.Set = append(d.Set, r)
		}
	}
	for _, r := range Sorted(old) {
		if _, ok := has[r.Key()]; !ok {
			d.Remove = append(d.Remove, r.Key())
		}
	}
	return d
}

// Names returns the names of all rows that the delta touches, in order.
func (d Delta[R]) Names() []string {
	names := slices.Clone(d.Remove)
	for _, r := range d.Set {
		names = append(names, r.Key())
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Apply returns rows with the delta applied, sorted by name. The error is a
// *result.Error with code PeerMessageMalformed if the delta removes a row that
// does not exist or names a row twice.
func (d Delta[R]) Apply(rows []R) ([]R, error) {
	m := byKey(rows)
	touched := map[string]bool{}
	for _, name := range d.Remove {
		if _, ok := m[name]; !ok || touched[name] {
			return nil, result.New(result.PeerMessageMalformed, "delta removes row %q, which is not in its base", name)
		}
		touched[name] = true
		delete(m, name)
	}
	for _, r := range d.Set {
		if touched[r.Key()] {
			return nil, result.New(result.PeerMessageMalformed, "delta names row %q twice", r.Key())
		}
		touched[r.Key()] = true
		m[r.Key()] = r
	}
	out := make([]R, 0, len(m))
	for _, r := range m {
		out = append(out, r)
	}
	return Sorted(out), nil
}
