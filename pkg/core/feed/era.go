package feed

import (
	"strconv"
	"sync"

	"github.com/juju/errors"
)

const (
	// ErrEraMissing means that an answer has no readable era although earlier ones had
	// one. It cannot be placed in the history of the store.
	ErrEraMissing = errors.ConstError("the answer does not say to which era of the store it belongs")
	// ErrEraPassed means that an answer belongs to an earlier era than one before it.
	ErrEraPassed = errors.ConstError("the answer belongs to an earlier era of the store")
	// ErrEraUnconfirmed means that an answer is the first one of an era that does not
	// follow the last one. A host may have missed eras, or the answer is faulty.
	ErrEraUnconfirmed = errors.ConstError("no other answer has named this era of the store")
)

// Eras keeps the highest era that the answers of a store have named. It is safe for
// concurrent use.
type Eras struct {
	mu     sync.Mutex
	latest int64
	// last is the era that the last answer with a readable one has named.
	last int64
	// unconfirmed is the era that one answer alone has named since the last answer of the
	// latest era.
	unconfirmed int64
	// raised is closed when latest increases, and then replaced.
	raised chan struct{}
}

// NewEras returns an Eras that has seen no era yet. Until an answer names one, answers
// without an era belong to era 0.
func NewEras() *Eras { return &Eras{raised: make(chan struct{})} }

// Observe takes the text in which an answer names its era, empty if it does not, and
// returns the era. With an error, nothing that the answer says holds now.
func (e *Eras) Observe(text string) (int64, error) {
	era, err := strconv.ParseInt(text, 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case text == "" && e.latest == 0:
		return 0, nil
	case err != nil || era < 0:
		return 0, errors.Annotatef(ErrEraMissing, "era %.40q, the last one was %d", text, e.latest)
	case era < e.latest:
		e.last = era
		return era, errors.Annotatef(ErrEraPassed, "era %d, the last one was %d", era, e.latest)
	case e.latest > 0 && era > e.latest+1 && era != e.unconfirmed:
		e.unconfirmed = era
		return era, errors.Annotatef(ErrEraUnconfirmed, "era %d, the last one was %d", era, e.latest)
	case era > e.latest:
		e.latest = era
		close(e.raised)
		e.raised = make(chan struct{})
	}
	e.last, e.unconfirmed = era, 0
	return era, nil
}

// Last returns the era that the last answer with a readable one has named. It is lower
// than the highest one after a late answer, or if the highest one was named in error.
func (e *Eras) Last() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last
}

// Latest returns the highest era seen, and a channel that is closed when there is a
// higher one.
func (e *Eras) Latest() (int64, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest, e.raised
}
