package slots

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Verdict is what a host does with a grant.
type Verdict int

const (
	// Accepted: the request may be sent.
	Accepted Verdict = iota
	// Stale: the grant has expired or its dispatcher was replaced. Do not send
	// the request; release the grant as Unused to the dispatcher that gave it.
	Stale
	// Duplicate: the grant is already held; ignore the message.
	Duplicate
)

// Holder is the host's side of one (pool, failure domain): it keeps the grants
// that the host holds and rejects grants of a dispatcher that was replaced. It
// is safe for concurrent use.
//
// In a handover, a host whose membership names another dispatcher calls Follow
// and offers its waiting requests again. It answers AskHeld only if it comes
// from the dispatcher that the host follows: it sends the grants from Answer
// first and then its waiting requests once more. The dispatcher ignores repeated
// requests.
type Holder struct {
	mu sync.Mutex
	// dispatcher is the host of the dispatcher that this host follows.
	dispatcher string
	// epochs holds the highest epoch seen of each dispatcher.
	epochs map[string]uint64
	held   map[uint64]Grant
}

// NewHolder returns an empty Holder that follows the dispatcher on the given
// host.
func NewHolder(dispatcher string) *Holder {
	return &Holder{dispatcher: dispatcher, epochs: map[string]uint64{}, held: map[uint64]Grant{}}
}

// Follow makes h accept only grants of the dispatcher on the given host from
// now on.
func (h *Holder) Follow(dispatcher string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dispatcher = dispatcher
}

// Take decides whether a grant may be used and keeps an accepted one until
// Done.
func (h *Holder) Take(now time.Time, g Grant) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.held[g.ID]; ok {
		return Duplicate
	}
	if !g.Valid(now) || g.By != h.dispatcher || g.Epoch < h.epochs[g.By] {
		return Stale
	}
	h.epochs[g.By] = g.Epoch
	h.held[g.ID] = g
	return Accepted
}

// Done forgets a grant. Call it before sending the release.
func (h *Holder) Done(id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, id)
}

// Answer returns the valid grants, ordered by id, as the answer to AskHeld from
// the dispatcher on the given host, and rejects earlier epochs of it from now
// on. It reports false if the host follows another dispatcher; then send no
// answer.
func (h *Holder) Answer(now time.Time, dispatcher string, epoch uint64) ([]Grant, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if dispatcher != h.dispatcher {
		return nil, false
	}
	h.epochs[dispatcher] = max(h.epochs[dispatcher], epoch)
	out := make([]Grant, 0, len(h.held))
	for _, g := range h.held {
		if g.Valid(now) {
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b Grant) int { return cmp.Compare(a.ID, b.ID) })
	return out, true
}
