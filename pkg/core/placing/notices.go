package placing

import (
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

const (
	// leavingHold is how long after its last such answer a server that said that
	// it leaves gets no requests, although the store still lists it as ready. A
	// server that is still listed then has changed its mind.
	leavingHold = time.Minute
	// leavingReportTime is how long a server that said that it leaves is named in
	// the reports to other regions. The store tells them later than that only while
	// it is unavailable.
	leavingReportTime = 10 * time.Second
	// noticeLife is how long the notices of a server are kept after the store has
	// ceased to list it. Its entry may come back after an outage.
	noticeLife = 10 * time.Minute
)

// ServerNotice is what a server said of itself in the head of an answer.
type ServerNotice struct {
	// StartedMS is the start time of the process that said so, in Unix
	// milliseconds. A restarted server may have the same ID.
	StartedMS int64
	// Leaving means that the server is about to end and takes no new requests.
	Leaving bool
	// Pause is how long the server wants no requests from the entry host that it
	// answered, 0 if it did not say.
	Pause time.Duration
}

// notices are the notices of one server process. They outlive the server's entry
// in the list.
type notices struct {
	startedMS int64
	address   string
	leaving   bool
	leavingAt time.Time // when it last said so
	// pauses maps entry hosts to the end of the time in which they must not send
	// requests to the server.
	pauses   map[string]time.Time
	listedAt time.Time // when the server was last known to be listed
}

// paused reports whether the host must not send requests to the server now.
func (n *notices) paused(now time.Time, host string) bool {
	return n != nil && now.Before(n.pauses[host])
}

// saidLeaving reports whether the server said that it leaves.
func (n *notices) saidLeaving() bool { return n != nil && n.leaving }

// noticesOf returns the notices of the present process of a server, or nil.
func (p *Pool) noticesOf(now time.Time, f fleet.Server) *notices {
	n := p.notices[f.ID]
	if n == nil {
		return nil
	}
	if n.startedMS != f.StartedMS || n.address != f.Address {
		delete(p.notices, f.ID)
		return nil
	}
	n.listedAt = now
	if n.leaving && !f.Draining && now.Sub(n.leavingAt) >= leavingHold {
		n.leaving = false
	}
	return n
}

// forgetNotices drops the notices of servers that were removed long ago.
func (p *Pool) forgetNotices(now time.Time) {
	for id, n := range p.notices {
		if now.Sub(n.listedAt) >= noticeLife {
			delete(p.notices, id)
		}
	}
}

// RecordNotice records what a server said of itself when it answered a request of
// host.
func (p *Pool) RecordNotice(now time.Time, f fleet.Server, host string, said ServerNotice) {
	if !said.Leaving && said.Pause <= 0 {
		return
	}
	s := p.servers[f.ID]
	if s == nil || s.StartedMS != f.StartedMS || s.Address != f.Address || s.StartedMS != said.StartedMS {
		return // another process said so
	}
	n := s.notices
	if n == nil {
		n = &notices{startedMS: f.StartedMS, address: f.Address, listedAt: now}
		s.notices, p.notices[f.ID] = n, n
	}
	if said.Leaving {
		if !n.leaving {
			clear(p.preferences) // a server that leaves is preferred for no key
		}
		n.leaving, n.leavingAt = true, now
	}
	if until := now.Add(said.Pause); said.Pause > 0 && until.After(n.pauses[host]) {
		if n.pauses == nil {
			n.pauses = map[string]time.Time{}
		}
		n.pauses[host] = until
	}
}

// Notice returns what a server said to host and what still holds.
func (p *Pool) Notice(now time.Time, id, host string) ServerNotice {
	s := p.servers[id]
	if s == nil || s.notices == nil {
		return ServerNotice{}
	}
	return ServerNotice{StartedMS: s.StartedMS, Leaving: s.notices.leaving, Pause: max(s.notices.pauses[host].Sub(now), 0)}
}

// recentlyLeaving returns the servers that said recently that they leave, like
// AddLeaving.
func (p *Pool) recentlyLeaving(now time.Time) map[string]int64 {
	out := map[string]int64{}
	for id, n := range p.notices {
		if n.leaving && now.Sub(n.leavingAt) < leavingReportTime {
			out[id] = n.startedMS
		}
	}
	return out
}

// AddLeaving adds the servers that said that they leave to out: their start times,
// in Unix milliseconds, by ID.
func (p *Pool) AddLeaving(out map[string]int64) {
	for id, n := range p.notices {
		if n.leaving {
			out[id] = n.startedMS
		}
	}
}

// RecordLeaving records the servers that leave according to another host, in the
// form of AddLeaving.
func (p *Pool) RecordLeaving(now time.Time, list map[string]int64) {
	for id, startedMS := range list {
		if s := p.servers[id]; s != nil && s.StartedMS == startedMS && !s.notices.saidLeaving() {
			p.RecordNotice(now, s.Server, "", ServerNotice{StartedMS: startedMS, Leaving: true})
		}
	}
}
