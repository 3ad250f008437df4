package lookup

import (
	"sync"
	"time"
)

// Returns records when failure domains came back after an absence. It is safe
// for concurrent use.
type Returns struct {
	mu      sync.Mutex
	domains map[string]*domainState
}

type domainState struct {
	gone       bool
	returnedAt time.Time // of the last return; zero if there was none
}

// NewReturns returns a Returns without any observation.
func NewReturns() *Returns { return &Returns{domains: map[string]*domainState{}} }

// Observe records whether a domain is present at the time now. A domain counts
// as returned only if it was observed as absent before: a host that has just
// started does not know how long the other domains have been present.
func (r *Returns) Observe(now time.Time, domain string, present bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.domains[domain]
	if state == nil {
		state = &domainState{}
		r.domains[domain] = state
	}
	if present && state.gone {
		state.returnedAt = now
	}
	state.gone = !present
}

// Back returns the time since a domain last returned. It reports false if the
// domain has not returned from an observed absence.
func (r *Returns) Back(now time.Time, domain string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.domains[domain]
	if state == nil || state.returnedAt.IsZero() {
		return 0, false
	}
	return now.Sub(state.returnedAt), true
}

// ReturnDump is the state of one domain in a state dump.
type ReturnDump struct {
	Gone bool `json:"gone"`
	// Back is the time of the last return; zero if there was none.
	Back time.Time `json:"back"`
}

// Dump returns the state of all observed domains by name.
func (r *Returns) Dump() map[string]ReturnDump {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]ReturnDump, len(r.domains))
	for domain, state := range r.domains {
		out[domain] = ReturnDump{state.gone, state.returnedAt}
	}
	return out
}
