package tablesync

import (
	"slices"
	"time"
)

// pull is an open request for tables.
type pull struct {
	peer string
	// base names the tables in force when the pull was sent; zero asks for whole
	// tables.
	base     Versions
	want     Versions // versions of the peer when the pull was sent
	to       Versions // versions of the answer whose parts are being collected
	data     []byte
	nextPart int // number of the next part
	// deadline is when another host is asked. The pull is overdue from then on;
	// a late answer is still used until the pull is dropped in favour of a new
	// one.
	deadline time.Time
	overdue  bool
}

// OnVersions handles the versions that a probe, summary or announcement of
// another host carries, and returns the pulls that are due, such as one from a
// host with newer versions.
func (s *Sync) OnVersions(now time.Time, host string, v Versions) []Outgoing {
	s.mu.Lock()
	defer s.mu.Unlock()
	if host == s.cfg.Self {
		return nil
	}
	p := s.peerOf(now, host)
	p.versions, p.lastHeard = v, now
	s.compareVersions(now, host, v)
	return s.sendDuePulls(now)
}

// compareVersions compares the versions of a host with those in force. If they
// are the same, it takes over the time at which the host had them confirmed by
// the platform, if that is later, and reports a host that has other rows.
func (s *Sync) compareVersions(now time.Time, host string, v Versions) {
	ours := s.versions(now)
	if !v.same(ours) || s.source == SourceNone {
		return
	}
	if v.Hash != ours.Hash {
		s.report(now, contentProblem, max(v.Routes, v.Pools), otherRowsError(host, v))
		return
	}
	at := now.Add(-time.Duration(v.UnconfirmedMS) * time.Millisecond)
	if v.UnconfirmedMS >= 0 && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// peerOf returns the entry of a host, and adds it if there is none. If maxPeers
// are known, it evicts the one that was not heard from for longest.
func (s *Sync) peerOf(now time.Time, host string) *peer {
	if p, ok := s.peers[host]; ok {
		return p
	}
	if len(s.peers) >= maxPeers {
		oldest := ""
		for name, p := range s.peers {
			o := s.peers[oldest]
			if o == nil || p.lastHeard.Before(o.lastHeard) || (p.lastHeard.Equal(o.lastHeard) && name < oldest) {
				oldest = name
			}
		}
		delete(s.peers, oldest)
	}
	p := &peer{lastHeard: now}
	s.peers[host] = p
	return p
}

// Tick marks the pulls that were not answered in time as overdue and returns the
// pulls that are due. The caller calls it at least every TickPeriod.
func (s *Sync) Tick(now time.Time) []Outgoing {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.openPulls() {
		if p := s.pulls[id]; !p.overdue && !now.Before(p.deadline) {
			p.overdue = true
			s.stats.PullTimeouts++
			s.timeouts++
			s.avoid(now, p.peer, avoidPeer)
		}
	}
	return s.sendDuePulls(now)
}

// openPulls returns the ids of all open pulls, oldest first.
func (s *Sync) openPulls() []uint64 {
	ids := make([]uint64, 0, len(s.pulls))
	for id := range s.pulls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// avoid prevents pulls from a host for d plus jitter.
func (s *Sync) avoid(now time.Time, host string, d time.Duration) {
	s.peerOf(now, host).avoidUntil = now.Add(d + s.jitter())
}

// timeout returns how long to wait for the next answer, with backoff and jitter.
func (s *Sync) timeout() time.Duration {
	d := pullTimeout
	for i := 0; i < s.timeouts/timeoutsPerDoubling && d < maxPullTimeout; i++ {
		d *= 2
	}
	return d + s.jitter()
}

func (s *Sync) jitter() time.Duration { return time.Duration(s.cfg.Rand.Int64N(int64(pullJitter))) }

// sendDuePulls returns the pulls that are due, and records them as open.
func (s *Sync) sendDuePulls(now time.Time) []Outgoing {
	var out []Outgoing
	for range maxPulls {
		out = append(out, s.sendDuePull(now)...)
	}
	return out
}

// sendDuePull returns at most one pull, to a random host that has newer versions
// than this one and the open pulls. Hosts of this domain are preferred, because
// links between regions have little bandwidth.
func (s *Sync) sendDuePull(now time.Time) []Outgoing {
	if s.pullsOnTime() >= maxPulls {
		return nil
	}
	ours := s.versions(now)
	var inDomain, outside []string
	for name, p := range s.peers {
		if p.versions.Newer(ours) && s.mayPull(now, name, p, ours) {
			if s.isLive(name) {
				inDomain = append(inDomain, name)
			} else {
				outside = append(outside, name)
			}
		}
	}
	candidates := inDomain
	if len(candidates) == 0 {
		candidates = outside
	}
	if len(candidates) == 0 && s.source == SourceNone && s.pullsOnTime() < s.pullsPerVersions() {
		candidates = s.unknownPeers(now)
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.Sort(candidates)
	return s.sendPull(now, candidates[s.cfg.Rand.IntN(len(candidates))], ours)
}

// pullsOnTime returns the number of open pulls that are not overdue.
func (s *Sync) pullsOnTime() int {
	count := 0
	for _, p := range s.pulls {
		if !p.overdue {
			count++
		}
	}
	return count
}

// dropOverdue deletes the oldest overdue pull. Its answer is not used any more.
func (s *Sync) dropOverdue() {
	for _, id := range s.openPulls() {
		if s.pulls[id].overdue {
			delete(s.pulls, id)
			return
		}
	}
}

// unknownPeers returns the live hosts of this domain that are not known to have
// tables. A new host pulls from one of them instead of waiting for a probe.
func (s *Sync) unknownPeers(now time.Time) []string {
	var out []string
	asked := map[string]bool{}
	for _, p := range s.pulls {
		asked[p.peer] = asked[p.peer] || !p.overdue
	}
	for _, host := range s.live {
		p := s.peers[host]
		if host != s.cfg.Self && !asked[host] && (p == nil || (p.versions.Routes == 0 && !now.Before(p.avoidUntil))) {
			out = append(out, host)
		}
	}
	return out
}

// mayPull reports whether a host with newer versions can be asked now: its
// avoidUntil has passed, its pair was not refused, no pull from it is on time, and
// fewer than pullsPerVersions pulls that are on time cover its versions.
func (s *Sync) mayPull(now time.Time, name string, p *peer, ours Versions) bool {
	if now.Before(p.avoidUntil) || s.isRefused(p.versions, ours) {
		return false
	}
	covering := 0
	for _, open := range s.pulls {
		if open.overdue {
			continue
		}
		if open.peer == name {
			return false
		}
		if !p.versions.Newer(open.want) {
			covering++
		}
	}
	return covering < s.pullsPerVersions()
}

// pullsPerVersions returns how many hosts are asked for the same versions at a
// time. It is one, and maxPulls after a timeout, because messages are being lost.
func (s *Sync) pullsPerVersions() int {
	if s.timeouts > 0 {
		return maxPulls
	}
	return 1
}

func (s *Sync) isRefused(theirs, ours Versions) bool {
	return slices.ContainsFunc(s.refused, func(r refusal) bool {
		return r.theirs.same(theirs) && r.ours.same(ours)
	})
}

func (s *Sync) sendPull(now time.Time, host string, ours Versions) []Outgoing {
	p := s.peerOf(now, host)
	if p.needsWhole {
		ours = Versions{}
	}
	if len(s.pulls) >= maxPulls {
		s.dropOverdue()
	}
	s.nextID++
	s.pulls[s.nextID] = &pull{peer: host, base: ours, want: p.versions, deadline: now.Add(s.timeout())}
	s.stats.PullsSent++
	return []Outgoing{{To: host, Pull: &Pull{ID: s.nextID, Base: ours}}}
}
