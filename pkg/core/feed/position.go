package feed

import "fmt"

// Position is a point in the history of the store. Revisions increase within an era.
// When the store comes back from an older copy, its era increases, and revisions that
// were given out since that copy are given out again.
type Position struct {
	Era, Revision int64
}

// Known reports whether the position is one of the store; the zero value is not.
func (p Position) Known() bool { return p.Revision > 0 }

// Before reports whether p is an earlier point than q. Positions of different eras
// are ordered by their eras alone.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Revision < q.Revision
}

// String returns the position for logs: era and revision.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }
