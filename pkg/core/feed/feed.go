// Package feed keeps a copy of the platform's objects of one kind and relays
// their changes between entry hosts. Few hosts of a region ask the store; the
// others follow one of them. It is free of I/O.
package feed

import (
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// Kind names the objects of a feed.
type Kind int

// The kinds.
const (
	Tables Kind = iota
	Servers
	Evacuations
	Kinds // number of kinds
)

// String returns the name of the kind for logs and metrics.
func (k Kind) String() string { return [...]string{"tables", "servers", "evacuations"}[k] }

// Item is one object, or the removal of one.
type Item struct {
	Name string `cbor:"1,keyasint"`
	// Revision is the store's revision of the last change.
	Revision int64         `cbor:"2,keyasint"`
	Deleted  bool          `cbor:"3,keyasint,omitempty"`
	Table    *fleet.Table  `cbor:"4,keyasint,omitempty"`
	Server   *fleet.Server `cbor:"5,keyasint,omitempty"`
}

// Changes are the items of one kind that changed after a revision.
type Changes struct {
	// Revision is the store's revision that the items bring the receiver to.
	Revision int64 `cbor:"1,keyasint"`
	// Whole is set if the items are all that exist, so that others are gone.
	Whole bool   `cbor:"2,keyasint,omitempty"`
	Items []Item `cbor:"3,keyasint"`
}

// removalsMost bounds the remembered removals of one kind. A follower that is
// behind them gets all items.
const removalsMost = 512

// Log is the copy of one kind. It is not safe for concurrent use.
type Log struct {
	items    map[string]Item
	removed  []Item // in the order of their revisions
	revision int64
	// version is the revision at which an item last changed.
	version int64
	// floor is the revision from which on removals are complete.
	floor int64
	// confirmed is when the store was last known to hold nothing newer.
	confirmed time.Time
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{items: map[string]Item{}} }

// Revision returns the store's revision of the copy, 0 if there is none.
func (l *Log) Revision() int64 { return l.revision }

// Version returns the revision at which an item last changed. A follower whose
// revision is at least this lacks nothing.
func (l *Log) Version() int64 { return l.version }

// Confirmed returns when the copy was last known to be complete.
func (l *Log) Confirmed() time.Time { return l.confirmed }

// Confirm records that the copy was complete at t.
func (l *Log) Confirm(t time.Time) {
	if t.After(l.confirmed) {
		l.confirmed = t
	}
}

// Apply takes changes and reports whether the copy changed. Older changes than
// those of the copy are ignored, so that two sources can be mixed.
func (l *Log) Apply(c Changes) bool {
	if c.Revision < l.revision {
		return false
	}
	changed := false
	seen := make(map[string]bool, len(c.Items))
	for _, item := range c.Items {
		seen[item.Name] = true
		if item.Deleted {
			changed = l.remove(item.Name, max(item.Revision, l.revision)) || changed
			continue
		}
		if known, ok := l.items[item.Name]; ok && known.Revision >= item.Revision {
			continue
		}
		l.items[item.Name] = item
		changed = true
	}
	if c.Whole {
		for name := range l.items {
			if !seen[name] {
				changed = l.remove(name, c.Revision) || changed
			}
		}
		if l.revision == 0 {
			l.floor = c.Revision
		}
	}
	l.revision = c.Revision
	if changed || l.version == 0 {
		l.version = c.Revision
	}
	return changed
}

func (l *Log) remove(name string, revision int64) bool {
	if _, ok := l.items[name]; !ok {
		return false
	}
	delete(l.items, name)
	l.removed = append(l.removed, Item{Name: name, Revision: revision, Deleted: true})
	if extra := len(l.removed) - removalsMost; extra > 0 {
		l.floor = l.removed[extra-1].Revision
		l.removed = append(l.removed[:0], l.removed[extra:]...)
	}
	return true
}

// Since returns what a follower with revision after lacks.
func (l *Log) Since(after int64) Changes {
	out := Changes{Revision: l.revision}
	if after == 0 || after < l.floor {
		out.Whole = true
		after = 0
	}
	for _, item := range l.items {
		if item.Revision > after {
			out.Items = append(out.Items, item)
		}
	}
	if !out.Whole {
		for _, item := range l.removed {
			// A removal is remembered with the revision of the copy before it.
			if item.Revision >= after {
				if _, again := l.items[item.Name]; !again {
					out.Items = append(out.Items, item)
				}
			}
		}
	}
	return out
}

// Items returns all items; the caller must not change the map.
func (l *Log) Items() map[string]Item { return l.items }
