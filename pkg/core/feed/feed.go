// Package feed keeps copies of the objects in the platform's store and relays
// their changes between entry hosts. In each group of hosts only a few watch the
// store; the others follow one of these watchers, that is, they fetch the
// changes from it. The package performs no I/O.
package feed

import (
	"slices"
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

// Changes holds the items of one kind that changed after a position.
type Changes struct {
	// Revision is the store's revision that a copy has reached once the changes
	// are applied.
	Revision int64 `cbor:"1,keyasint"`
	// Era is the store's era to which Revision and the revisions of Items belong.
	Era int64 `cbor:"4,keyasint,omitempty"`
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

// Position returns the position that a copy has reached once the changes are applied.
func (c *Changes) Position() Position { return Position{c.Era, c.Revision} }

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
	Unchanged Outcome = iota // the copy was up to date already
	Changed                  // the copy has taken the changes
	// Restored means that the copy has taken a complete list of a new era, in place
	// of everything that it held.
	Restored
	OlderRevision // ignored: the copy has a higher revision of the same era
	OlderEra      // ignored: the copy belongs to a later era
	// ListNeeded means that the changes were ignored because they belong to a later
	// era than the copy, which only a complete list can bring it to.
	ListNeeded
)

// String returns the outcome for logs and metrics.
func (o Outcome) String() string {
	return [...]string{"unchanged", "changed", "restored", "older-revision", "older-era", "list-needed"}[o]
}

// Taken reports whether the copy is as new as the changes.
func (o Outcome) Taken() bool { return o <= Restored }

// Replica is the copy of the store's objects of one kind, with tombstones of the
// objects removed last. It is not safe for concurrent use.
type Replica struct {
	items map[string]Item
	// removed holds the tombstones of the present era in the order of their
	// revisions, with what the objects were.
	removed  []Item
	position Position
	// lastChange is the position at which an item last changed.
	lastChange Position
	// historyFloor is the oldest revision of the present era since which there are
	// tombstones of all removals.
	historyFloor int64
	// restored is set once the copy has taken a new era in place of an earlier one.
	restored bool
	// confirmed is when the store was last known to hold nothing newer.
	confirmed time.Time
}

// NewReplica returns an empty copy.
func NewReplica() *Replica { return &Replica{items: map[string]Item{}} }

// Position returns the position that the copy has reached, the zero value if nothing
// was applied yet.
func (l *Replica) Position() Position { return l.position }

// LastChange returns the position at which an item last changed. A follower whose
// position is not before this one is up to date.
func (l *Replica) LastChange() Position { return l.lastChange }

// Confirmed returns when the copy was last known to be up to date with the store.
func (l *Replica) Confirmed() time.Time { return l.confirmed }

// Confirm records that the copy was up to date with the store at t.
func (l *Replica) Confirm(t time.Time) {
	if t.After(l.confirmed) {
		l.confirmed = t
	}
}

// Apply applies changes to the copy. It ignores changes whose position is before
// that of the copy, so that the changes may come from different sources, such as the
// store and another host. Revisions of different eras are not compared: the first
// list of an era replaces all items.
func (l *Replica) Apply(c Changes) Outcome {
	switch at := c.Position(); {
	case l.position.Known() && at.Era > l.position.Era:
		if !c.Complete {
			return ListNeeded
		}
		l.replace(c)
		return Restored
	case at.Era < l.position.Era:
		return OlderEra
	case at.Before(l.position):
		return OlderRevision
	}
	changed := false
	seen := make(map[string]bool, len(c.Items))
	for _, item := range c.Items {
		seen[item.Name] = true
		if item.Deleted {
			changed = l.remove(item.Name, max(item.Revision, l.position.Revision)) || changed
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
		if !l.position.Known() {
			l.historyFloor = c.Revision
		}
	}
	l.position = c.Position()
	if changed || !l.lastChange.Known() {
		l.lastChange = l.position
	}
	if changed {
		return Changed
	}
	return Unchanged
}

// replace takes the first list of a new era. Followers get all items, because the
// tombstones of the era before have other revisions.
func (l *Replica) replace(c Changes) {
	items := make(map[string]Item, len(c.Items))
	for _, name := range c.Keep {
		if item, ok := l.items[name]; ok {
			item.Revision = c.Revision // its own one belongs to the era before
			items[name] = item
		}
	}
	for _, item := range c.Items {
		if !item.Deleted {
			items[item.Name] = item
		}
	}
	l.items, l.removed, l.restored = items, nil, true
	l.position, l.lastChange, l.historyFloor = c.Position(), c.Position(), c.Revision
}

func (l *Replica) remove(name string, revision int64) bool {
	tombstone, ok := l.items[name]
	if !ok {
		// After a restore, hosts hold objects that the copy lacks, and have to learn that
		// one was written again and removed since.
		if !l.restored || slices.ContainsFunc(l.removed, func(i Item) bool { return i.Name == name }) {
			return false
		}
		tombstone = Item{Name: name}
	}
	delete(l.items, name)
	tombstone.Revision, tombstone.Deleted = revision, true
	l.removed = append(l.removed, tombstone)
	if extra := len(l.removed) - maxRemovals; extra > 0 {
		l.historyFloor = l.removed[extra-1].Revision
		l.removed = append(l.removed[:0], l.removed[extra:]...)
	}
	return true
}

// Since returns the changes that a follower needs to bring its copy from the
// position after up to date. A follower without a copy, with one of another era, or
// with one that is older than the tombstones gets all items.
func (l *Replica) Since(after Position) Changes {
	out := Changes{Era: l.position.Era, Revision: l.position.Revision}
	if !after.Known() || after.Era != l.position.Era || after.Revision < l.historyFloor {
		out.Complete = true
		after = Position{}
	}
	for _, item := range l.items {
		if out.Complete || item.Revision > after.Revision {
			out.Items = append(out.Items, item)
		}
	}
	if !out.Complete {
		for _, item := range l.removed {
			// A tombstone may have the revision that the copy had before the
			// removal, so a follower at just this revision needs it, too.
			if item.Revision >= after.Revision {
				if _, recreated := l.items[item.Name]; !recreated {
					out.Items = append(out.Items, Item{Name: item.Name, Revision: item.Revision, Deleted: true})
				}
			}
		}
	}
	return out
}

// Items returns all items by name; the caller must not change the map.
func (l *Replica) Items() map[string]Item { return l.items }

// Removed returns the tombstones of the objects that were removed last and do not
// exist again, with what the objects were.
func (l *Replica) Removed() []Item {
	var out []Item
	for _, item := range l.removed {
		if _, recreated := l.items[item.Name]; !recreated {
			out = append(out, item)
		}
	}
	return out
}
