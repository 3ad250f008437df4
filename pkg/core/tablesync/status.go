package tablesync

import (
	"slices"
	"time"
)

// Status describes the tables in force at one host, for operators.
type Status struct {
	Versions Versions `json:"versions"`
	// Source is "none", "platform" or "peer"; SourceHost names the peer.
	Source     Source    `json:"source"`
	SourceHost string    `json:"source_host,omitempty"`
	AcceptedAt time.Time `json:"accepted_at"`
	// Age is the time since these tables came in force at the host.
	Age time.Duration `json:"age_ns"`
	// Unconfirmed is the time since the platform was last known to have no
	// newer valid tables; -1 means that it never was. It grows during a
	// partition or an outage.
	Unconfirmed time.Duration `json:"unconfirmed_ns"`
	// Watching is true if this host watches the platform for its domain.
	Watching bool      `json:"watching"`
	Problems []Problem `json:"problems,omitempty"`
}

// Status returns the status at now.
func (s *Sync) Status(now time.Time) Status {
	watching := s.Watching()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{
		Versions: s.versions(now), Source: s.source, SourceHost: s.sourceHost,
		AcceptedAt: s.acceptedAt, Unconfirmed: -1, Watching: watching,
	}
	if s.source != SourceNone {
		st.Age = now.Sub(s.acceptedAt)
	}
	if !s.confirmedAt.IsZero() {
		st.Unconfirmed = now.Sub(s.confirmedAt)
	}
	names := make([]string, 0, len(s.problems))
	for name := range s.problems {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		st.Problems = append(st.Problems, s.problems[name])
	}
	return st
}

// Dump is the internal state of a Sync, for developers. Rows and Steps hold the
// numbers of rows and of recorded steps of the routes and of the pools table, in
// this order; Pulls maps the id of an open pull to the host that was asked.
type Dump struct {
	Status Status              `json:"status"`
	Rows   [2]int              `json:"rows"`
	Steps  [2]int              `json:"steps"`
	Live   []string            `json:"live"`
	Peers  map[string]Versions `json:"peers"`
	Pulls  map[uint64]string   `json:"pulls"`
	Stats  Stats               `json:"stats"`
}

// Dump returns the internal state at now.
func (s *Sync) Dump(now time.Time) Dump {
	status := s.Status(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Dump{
		Status: status, Rows: [2]int{len(s.routes.rows), len(s.pools.rows)},
		Steps: [2]int{len(s.routes.steps), len(s.pools.steps)}, Live: slices.Clone(s.live),
		Peers: map[string]Versions{}, Pulls: map[uint64]string{}, Stats: s.stats,
	}
	for name, p := range s.peers {
		d.Peers[name] = p.versions
	}
	for id, p := range s.pulls {
		d.Pulls[id] = p.peer
	}
	return d
}
