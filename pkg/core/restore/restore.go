// Package restore decides what stays in force after the store has come back from an
// older copy, until the operator and the servers have written again what the store
// has lost. It performs no I/O.
//
// What a host knew before is kept beside the list that the store shows, for a time:
//
//   - A server that was draining stays draining, and one that had left stays away,
//     although the copy shows it as ready. A later process under the same ID is
//     another server.
//   - A server stays cold for as long as it was known to be.
//   - An evacuated failure domain stays evacuated. One whose evacuation had ended is
//     evacuated again if the copy says so.
//   - The tables keep their version, because the host never takes a lower one.
//
// Servers that the copy lacks are the matter of package registry, which keeps them
// for as long as after an outage.
package restore

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

const (
	// drainingHold is how long a server stays draining that the copy shows as ready and
	// that does not say again that it drains. Servers end before that.
	drainingHold = time.Minute
	// goneHold is how long a server stays away that had left and that the copy shows
	// again. The store removes the entry of a server that is silent for three heartbeats,
	// about 5 s; one that is still listed later is alive.
	goneHold = 8 * time.Second
	// evacuationHold is how long an evacuation stays in force that the copy lacks and
	// that the operator does not write again. He writes again within seconds; the end of
	// an evacuation that the store has lost changes nothing there.
	evacuationHold = 10 * time.Second
)

// Server is what is known of a server from before the store came back.
type Server struct {
	// StartedMS is the start time of the last process that this is about, in Unix
	// milliseconds.
	StartedMS int64 `cbor:"1,keyasint"`
	// Gone is set if that process had left, or had been replaced; otherwise it was
	// draining or cold.
	Gone     bool `cbor:"2,keyasint,omitempty"`
	Draining bool `cbor:"3,keyasint,omitempty"`
	// ForMS is how much longer it holds that the process is gone or draining, and
	// ColdMS how much longer it is cold, in milliseconds.
	ForMS  int64 `cbor:"4,keyasint,omitempty"`
	ColdMS int64 `cbor:"5,keyasint,omitempty"`
	// Revision is the revision of the server's entry in the copy. The entry speaks for
	// the server again once it has another one.
	Revision int64 `cbor:"6,keyasint,omitempty"`
}

// HeldState is what a host knows from before the store came back, as sent to other hosts.
type HeldState struct {
	Servers map[string]Server `cbor:"1,keyasint,omitempty"` // by ID
	// Evacuated maps failure domains to how much longer they stay evacuated, in
	// milliseconds.
	Evacuated map[string]int64 `cbor:"2,keyasint,omitempty"`
}

// Listed is a server as the store lists it, with the revision of its entry.
type Listed struct {
	fleet.Server
	Revision int64
}

// heldServer has the fields of Server, with times instead of durations: gone and draining
// hold until until.
type heldServer struct {
	startedMS        int64
	gone, draining   bool
	until, coldUntil time.Time
	revision         int64
}

// Holds keeps what a host knows from before the store came back. It is not safe for
// concurrent use.
type Holds struct {
	servers   map[string]heldServer
	evacuated map[string]time.Time // until when
	// era is that of the list of evacuations, and writtenIn the era in which the operator
	// has last written something of a failure domain since the store came back.
	era       int64
	writtenIn map[string]int64
}

// New returns empty holds.
func New() *Holds {
	return &Holds{servers: map[string]heldServer{}, evacuated: map[string]time.Time{}, writtenIn: map[string]int64{}}
}

// ServersRestored takes the first list of servers since the store came back, besides
// the servers that were listed before, as Servers returned them, and those that had
// been removed. now is when the store came back, as far as the host knows.
func (h *Holds) ServersRestored(now time.Time, before, removed []fleet.Server, listed []Listed) {
	known := make(map[string]fleet.Server, len(before))
	byAddress := make(map[string]fleet.Server, len(before))
	for _, s := range before {
		known[s.ID] = s
		if old, ok := byAddress[s.Address]; !ok || old.StartedMS < s.StartedMS {
			byAddress[s.Address] = s
		}
	}
	left := make(map[string]fleet.Server, len(removed))
	for _, s := range removed { // a later process replaces an earlier one
		left[s.ID] = s
	}
	seen := make(map[string]bool, len(listed))
	for _, s := range listed {
		seen[s.ID] = true
		held := heldServer{startedMS: s.StartedMS, revision: s.Revision}
		old, wasListed := known[s.ID]
		last, hadLeft := left[s.ID]
		successor, replaced := byAddress[s.Address]
		switch {
		case wasListed && s.StartedMS < old.StartedMS: // an earlier process under the same ID
			held.gone = true
		case wasListed && s.StartedMS == old.StartedMS:
			held.draining, held.coldUntil = old.Draining && !s.Draining, old.ColdUntil
		case wasListed: // a later process
		case hadLeft && s.StartedMS <= last.StartedMS:
			held.gone, held.draining = true, last.Draining
		case replaced && s.StartedMS < successor.StartedMS: // another server has its address
			held.gone = true
		}
		h.holdListed(now, s.ID, held)
	}
	// A server that this copy lacks may be in the next one.
	for _, s := range before {
		if !seen[s.ID] {
			h.holdMissing(now, s, false)
		}
	}
	for id, s := range left {
		if _, wasListed := known[id]; !seen[id] && !wasListed {
			h.holdMissing(now, s, true)
		}
	}
	for id, held := range h.servers {
		if held.gone {
			held.until = later(held.until, now.Add(goneHold))
			h.servers[id] = held
		}
	}
}

// holdListed holds what is known of a server that the store lists, besides what is held
// since an earlier return of the store.
func (h *Holds) holdListed(now time.Time, id string, held heldServer) {
	if earlier, ok := h.servers[id]; ok && held.startedMS <= earlier.startedMS {
		held.gone = held.gone || earlier.gone || held.startedMS < earlier.startedMS
		held.draining = held.draining || earlier.draining
		held.coldUntil = later(held.coldUntil, earlier.coldUntil)
	}
	switch {
	case held.draining:
		held.until = now.Add(drainingHold)
	case held.gone:
		held.until = now.Add(goneHold)
	}
	if !held.coldUntil.After(now) {
		held.coldUntil = time.Time{}
	}
	delete(h.servers, id)
	if held.restricts() {
		h.servers[id] = held
	}
}

// ColdUntil returns until when a server is cold according to its entry in the first list
// since the store came back, if before is what was known of it. An entry that says what
// was known already speaks of the same time, although it is read anew.
func ColdUntil(before, listed fleet.Server) time.Time {
	if before.StartedMS == listed.StartedMS && before.ColdFor == listed.ColdFor {
		return before.ColdUntil
	}
	return listed.ColdUntil
}

// holdMissing holds what is known of a server that the store no longer lists.
func (h *Holds) holdMissing(now time.Time, s fleet.Server, gone bool) {
	earlier, ok := h.servers[s.ID]
	if ok && earlier.startedMS > s.StartedMS {
		return
	}
	held := heldServer{startedMS: s.StartedMS, gone: gone, draining: s.Draining, until: now.Add(goneHold)}
	if s.ColdUntil.After(now) {
		held.coldUntil = s.ColdUntil
	}
	if ok && earlier.startedMS == s.StartedMS {
		held.draining = held.draining || earlier.draining
	}
	if held.draining {
		held.until = now.Add(drainingHold)
	}
	h.servers[s.ID] = held
}

// EvacuationsRestored takes the first list of evacuated failure domains since the store
// came back at now, and those that were evacuated before, as Evacuated returned them. A further
// return does not prolong a hold, so that one of which nobody writes ends.
func (h *Holds) EvacuationsRestored(now time.Time, era int64, before, listed []string) {
	h.era = era
	clear(h.writtenIn)
	for _, domain := range before {
		if _, held := h.evacuated[domain]; !held && !slices.Contains(listed, domain) {
			h.evacuated[domain] = now.Add(evacuationHold)
		}
	}
}

// EvacuationEnded records that the operator has ended an evacuation since the store came
// back, and reports whether it was held.
func (h *Holds) EvacuationEnded(domain string) bool {
	_, held := h.evacuated[domain]
	delete(h.evacuated, domain)
	if h.era > 0 && len(h.writtenIn) < maxDomains {
		h.writtenIn[domain] = h.era
	}
	return held
}

// Servers returns the servers that are in force while the store lists the given ones.
// What a server has written since the store came back takes the place of what was
// known of it before.
func (h *Holds) Servers(now time.Time, listed []Listed) []fleet.Server {
	out := make([]fleet.Server, 0, len(listed))
	for _, s := range listed {
		held, ok := h.servers[s.ID]
		if !ok {
			out = append(out, s.Server)
			continue
		}
		holds := held.until.After(now)
		switch {
		case held.startedMS < s.StartedMS, // a later process
			held.gone && !held.draining && held.revision != s.Revision, // the server has written its entry again
			!holds && !held.coldUntil.After(now):
			delete(h.servers, s.ID)
		case held.gone && holds:
			continue
		default:
			if s.Draining {
				// The server has said so again, and what it says from now on holds.
				held.draining = false
				h.servers[s.ID] = held
			}
			s.Draining = s.Draining || held.draining && holds
			s.ColdUntil = later(s.ColdUntil, held.coldUntil)
		}
		out = append(out, s.Server)
	}
	return out
}

// Evacuated returns the failure domains that are evacuated while the store lists the
// given ones.
func (h *Holds) Evacuated(now time.Time, listed []string) []string {
	for domain, until := range h.evacuated {
		switch {
		case slices.Contains(listed, domain):
			// Written again: later changes by the operator apply at once.
			h.EvacuationEnded(domain)
		case !until.After(now):
			delete(h.evacuated, domain)
		}
	}
	return append(slices.Sorted(maps.Keys(h.evacuated)), listed...)
}

// Expire removes what holds no longer and reports whether there was anything.
func (h *Holds) Expire(now time.Time) bool {
	before := len(h.servers) + len(h.evacuated)
	maps.DeleteFunc(h.servers, func(_ string, s heldServer) bool { return !s.until.After(now) && !s.coldUntil.After(now) })
	maps.DeleteFunc(h.evacuated, func(_ string, until time.Time) bool { return !until.After(now) })
	return len(h.servers)+len(h.evacuated) != before
}

// Count returns the number of servers and failure domains that get no or fewer requests
// because of what is held.
func (h *Holds) Count() int {
	n := len(h.evacuated)
	for _, s := range h.servers {
		if s.restricts() {
			n++
		}
	}
	return n
}

// restricts reports whether the server gets no or fewer requests. One that the copy lacks is
// held, too, because a further copy may show an earlier process of it.
func (s heldServer) restricts() bool { return s.gone || s.draining || !s.coldUntil.IsZero() }

// State returns what is held, for hosts that have just started or that learned later of
// the store's return, or nil.
func (h *Holds) State(now time.Time) *HeldState {
	if h.Count() == 0 {
		return nil
	}
	m := &HeldState{Servers: map[string]Server{}, Evacuated: map[string]int64{}}
	for id, s := range h.servers {
		if !s.restricts() {
			continue
		}
		m.Servers[id] = Server{
			StartedMS: s.startedMS, Gone: s.gone, Draining: s.draining, Revision: s.revision,
			ForMS: max(s.until.Sub(now).Milliseconds(), 0), ColdMS: max(s.coldUntil.Sub(now).Milliseconds(), 0),
		}
	}
	for domain, until := range h.evacuated {
		m.Evacuated[domain] = max(until.Sub(now).Milliseconds(), 0)
	}
	return m
}

// Adopt adds what another host knows, whose copy is of the given era, and reports whether
// something was added.
func (h *Holds) Adopt(now time.Time, era int64, m *HeldState) bool {
	if m == nil {
		return false
	}
	added := false
	for id, s := range m.Servers {
		own, ok := h.servers[id]
		coldUntil := own.coldUntil
		if s.ColdMS > 0 {
			coldUntil = later(coldUntil, now.Add(milliseconds(s.ColdMS, maxCold)))
		}
		if ok && own.startedMS > s.StartedMS {
			continue
		}
		if ok && own.startedMS == s.StartedMS && (own.gone || !s.Gone) && (own.draining || !s.Draining) {
			// The clocks of two hosts give times that differ a little.
			if coldUntil.Sub(own.coldUntil) > coldTolerance {
				own.coldUntil = coldUntil
				h.servers[id], added = own, true
			}
			continue
		}
		adopted := heldServer{startedMS: s.StartedMS, gone: s.Gone, draining: s.Draining, revision: s.Revision, coldUntil: coldUntil}
		if s.Gone || s.Draining {
			adopted.until = now.Add(milliseconds(s.ForMS, drainingHold))
		}
		h.servers[id] = adopted
		added = true
	}
	for domain, ms := range m.Evacuated {
		if _, ok := h.evacuated[domain]; !ok && (h.writtenIn[domain] == 0 || h.writtenIn[domain] != era) {
			h.evacuated[domain] = now.Add(milliseconds(ms, evacuationHold))
			added = true
		}
	}
	return added
}

const (
	// maxCold bounds how long another host may say that a server stays cold.
	maxCold = 10 * time.Minute
	// coldTolerance is the least time by which another host's knowledge of a cold server
	// is longer than one's own to be worth taking.
	coldTolerance = 100 * time.Millisecond
	// maxDomains bounds the failure domains of which is known when the operator wrote.
	maxDomains = 4096
)

// milliseconds returns a duration that another host has sent, at most limit.
func milliseconds(ms int64, limit time.Duration) time.Duration {
	return time.Duration(min(max(ms, 0), limit.Milliseconds())) * time.Millisecond
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
