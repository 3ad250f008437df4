// Package feed keeps copies of the objects in the platform's store and relays
// their changes between entry hosts. In each group of hosts only a few watch the
// store; the others follow one of these watchers, that is, they fetch the
// changes from it. The package performs no I/O.
package feed

import (
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// Kind is a kind of object in the store. There is a separate copy of each kind.
type Kind int

const (
	Tables      Kind = iota // routes, pools and limits, all in one object
	Servers                 // backend servers
	Evacuations             // failure domains whose servers get no requests
	NumKinds                // number of kinds
)

// String returns the name of the kind for logs and metrics.
func (k Kind) String() string { return [...]string{"tables", "servers", "evacuations"}[k] }

// Item is the current state of one object, or the tombstone of a removed one.
type Item struct {
	Name string `cbor:"1,keyasint"`
	// Revision is the store's revision at the last change of the object.
	Revision int64         `cbor:"2,keyasint"`
	Deleted  bool          `cbor:"3,keyasint,omitempty"`
	Table    *fleet.Table  `cbor:"4,keyasint,omitempty"`
	Server   *fleet.Server `cbor:"5,keyasint,omitempty"`
}

// Changes holds the items of one kind that changed after a revision.
type Changes struct {
	// Revision is the store's revision that a copy has reached once the changes
	// are applied.
	Revision int64 `cbor:"1,keyasint"`
	// Complete is set if Items lists all existing objects; the receiver then removes
	// all others from its copy.
	Complete bool   `cbor:"2,keyasint,omitempty"`
	Items    []Item `cbor:"3,keyasint"`
	// Keep names the objects whose present state could not be read and of which a
	// copy keeps what it has.
	Keep []string `cbor:"-"`
	// Unreadable lists the objects of the store that could not be read.
	Unreadable []Unreadable `cbor:"-"`
}

// Unreadable is an object of the store that could not be decoded.
type Unreadable struct {
	// Name is empty if the name could not be decoded either.
	Name string
	Err  error
}

// maxRemovals bounds the tombstones that are kept of one kind. A follower whose
// copy is older than the oldest tombstone gets all items instead of the changes.
const maxRemovals = 512

// Outcome says what became of changes that were offered to a copy.
type Outcome int

const (
	Unchanged     Outcome = iota // the copy was up to date already
	Changed                      // the copy has taken the changes
	OlderRevision                // ignored: the copy has a higher revision
)

// String returns the outcome for logs and metrics.
func (o Outcome) String() string { return [...]string{"unchanged", "changed", "older-revision"}[o] }

// Taken reports whether the copy is as new as the changes.
func (o Outcome) Taken() bool { return o <= Changed }

// Replica is the copy of the store's objects of one kind, with tombstones of the
// objects removed last. It is not safe for concurrent use.
type Replica struct {
	items    map[string]Item
	removed  []Item // tombstones in the order of their revisions
	revision int64
	// lastChange is the revision at which an item last changed.
	lastChange int64
	// historyFloor is the oldest revision since which there are tombstones of
	// all removals.
	historyFloor int64
	// confirmed is when the store was last known to hold nothing newer.
	confirmed time.Time
}

// NewReplica returns an empty copy.
func NewReplica() *Replica { return &Replica{items: map[string]Item{}} }

// Revision returns the store's revision that the copy has reached, or 0 if
// nothing was applied yet.
func (l *Replica) Revision() int64 { return l.revision }

// LastChangeRevision returns the revision at which an item last changed. A follower whose
// revision is at least this one is up to date.
func (l *Replica) LastChangeRevision() int64 { return l.lastChange }

// Confirmed returns when the copy was last known to be up to date with the store.
func (l *Replica) Confirmed() time.Time { return l.confirmed }

// Confirm records that the copy was up to date with the store at t.
func (l *Replica) Confirm(t time.Time) {
	if t.After(l.confirmed) {
		l.confirmed = t
	}
}

// Apply applies changes to the copy. It ignores changes whose revision is below
// that of the copy, so that the changes may come from different sources, such as
// the store and another host.
func (l *Replica) Apply(c Changes) Outcome {
	if c.Revision < l.revision {
		return OlderRevision
	}
	changed := false
	seen := make(map[string]bool, len(c.Items))
	for _, item := range c.Items {
		seen[item.Name] = true
		if item.Deleted {
			changed = l.remove(item.Name, max(item.Revision, l.revision)) || changed
			continue
		}
		if current, ok := l.items[item.Name]; ok && current.Revision >= item.Revision {
			continue
		}
		l.items[item.Name] = item
		changed = true
	}
	if c.Complete {
		for _, name := range c.Keep {
			seen[name] = true
		}
		for name := range l.items {
			if !seen[name] {
				changed = l.remove(name, c.Revision) || changed
			}
		}
		if l.revision == 0 {
			l.historyFloor = c.Revision
		}
	}
	l.revision = c.Revision
	if changed || l.lastChange == 0 {
		l.lastChange = c.Revision
	}
	if changed {
		return Changed
	}
	return Unchanged
}

func (l *Replica) remove(name string, revision int64) bool {
	if _, ok := l.items[name]; !ok {
		return false
	}
	delete(l.items, name)
	l.removed = append(l.removed, Item{Name: name, Revision: revision, Deleted: true})
	if extra := len(l.removed) - maxRemovals; extra > 0 {
		l.historyFloor = l.removed[extra-1].Revision
		l.removed = append(l.removed[:0], l.removed[extra:]...)
	}
	return true
}

// Since returns the changes that a follower needs to bring its copy from the
// revision after up to date. A follower without a copy (after is 0), or whose copy
// is older than the tombstones, gets all items.
func (l *Replica) Since(after int64) Changes {
	out := Changes{Revision: l.revision}
	if after == 0 || after < l.historyFloor {
		out.Complete = true
		after = 0
	}
	for _, item := range l.items {
		if item.Revision > after {
			out.Items = append(out.Items, item)
		}
	}
	if !out.Complete {
		for _, item := range l.removed {
			// A tombstone may have the revision that the copy had before the
			// removal, so a follower at just this revision needs it, too.
			if item.Revision >= after {
				if _, recreated := l.items[item.Name]; !recreated {
					out.Items = append(out.Items, item)
				}
			}
		}
	}
	return out
}

// Items returns all items by name; the caller must not change the map.
func (l *Replica) Items() map[string]Item { return l.items }
