package tablesync

import (
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// encodedAnswer is the content of an answer to a pull, encoded and compressed.
// The last one is kept, because hosts of a domain usually ask for the same one
// within a short time.
type encodedAnswer struct {
	base, to Versions
	whole    bool
	data     []byte
}

// OnPull answers a pull with a delta from its base if that is known, else with
// the whole tables. If the limit of serveRate and serveBurst is reached, the
// answer is Busy and the sender of the pull tries another host.
func (s *Sync) OnPull(now time.Time, from string, p Pull) []Outgoing {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := s.versions(now)
	d := Delta{ID: p.ID, To: to}
	if s.source == SourceNone {
		return []Outgoing{{To: from, Delta: &d}}
	}
	a, err := s.answerFor(p.Base, to)
	if err != nil {
		return nil
	}
	part := 0
	if p.Of.same(to) && p.Part > 0 {
		part = p.Part
	}
	d.Parts = max(1, (len(a.data)+MaxPart-1)/MaxPart)
	if part >= d.Parts {
		return nil
	}
	data := a.data[part*MaxPart : min(len(a.data), (part+1)*MaxPart)]
	if !s.serveLimiter.AllowN(now, min(len(data), serveBurst)) {
		s.stats.BusySent++
		return []Outgoing{{To: from, Delta: &Delta{ID: p.ID, To: to, Busy: true}}}
	}
	if a.whole {
		s.stats.WholeTablesSent++
	} else {
		s.stats.DeltasSent++
	}
	d.Part, d.Data = part, data
	return []Outgoing{{To: from, Delta: &d}}
}

// answerFor returns the answer from base to to, and keeps it as the last one.
func (s *Sync) answerFor(base, to Versions) (encodedAnswer, error) {
	if s.encodedAnswer.data != nil && s.encodedAnswer.to.same(to) && s.encodedAnswer.base.same(base) && s.encodedAnswer.base.Hash == base.Hash {
		return s.encodedAnswer, nil
	}
	b := s.bodySince(base)
	data, err := encodeBody(b)
	if err != nil {
		return encodedAnswer{}, err
	}
	s.encodedAnswer = encodedAnswer{base, to, b.Whole, data}
	return s.encodedAnswer, nil
}

// bodySince returns the changes since base if they are known, else the whole
// tables.
func (s *Sync) bodySince(base Versions) body {
	routesHash, knowRoutes := s.routes.hashAt(base.Routes)
	poolsHash, knowPools := s.pools.hashAt(base.Pools)
	if knowRoutes && knowPools && base.Routes > 0 && base.Hash == pairHash(routesHash, poolsHash) {
		routes, okRoutes := s.routes.since(base.Routes)
		pools, okPools := s.pools.since(base.Pools)
		if okRoutes && okPools {
			return body{Routes: routes, Pools: pools}
		}
	}
	return body{Whole: true, Routes: tables.Delta[tables.Route]{Set: s.routes.rows}, Pools: tables.Delta[tables.Pool]{Set: s.pools.rows}}
}

// OnDelta handles the answer to a pull. It returns the pull of the next part or
// other pulls that are due, and announcements if newer tables from another domain
// came in force. The error is a *result.Error that says why the answer was not
// used; the caller need not act on it, because a pull of the whole tables follows
// where it is needed.
func (s *Sync) OnDelta(now time.Time, from string, d Delta) ([]Outgoing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pulls[d.ID]
	if !ok || p.peer != from {
		return nil, nil // a duplicate, or an answer to a pull that was given up
	}
	peer := s.peerOf(now, from)
	peer.versions, peer.lastHeard = d.To, now
	s.timeouts = 0
	if d.Busy || d.To.Routes <= 0 || d.To.Pools <= 0 {
		delete(s.pulls, d.ID)
		s.avoid(now, from, avoidBusy)
		return s.sendDuePulls(now), nil
	}
	if d.Parts < 1 || d.Parts > MaxParts || len(d.Data) > MaxPart || d.Part < 0 || d.Part >= d.Parts {
		return s.rejectAnswer(now, d.ID, result.New(result.PeerMessageMalformed, "answer from host %s is out of range: part %d of %d with %d bytes", from, d.Part, d.Parts, len(d.Data)))
	}
	if d.Part == 0 {
		p.to, p.data, p.nextPart = d.To, nil, 0
	}
	if d.Part != p.nextPart || !d.To.same(p.to) {
		return nil, nil // a duplicate of an earlier part, or a part of another answer
	}
	p.data = append(p.data, d.Data...)
	p.nextPart++
	if p.nextPart < d.Parts {
		p.deadline, p.overdue = now.Add(s.timeout()), false
		return []Outgoing{{To: from, Pull: &Pull{ID: d.ID, Base: p.base, Part: p.nextPart, Of: p.to}}}, nil
	}
	return s.apply(now, d.ID, p)
}

// apply puts the tables of a complete answer in force.
func (s *Sync) apply(now time.Time, id uint64, p *pull) ([]Outgoing, error) {
	ours := s.versions(now)
	if !p.to.Newer(ours) || (p.base.Routes != 0 && !p.base.same(ours)) {
		delete(s.pulls, id)
		return s.sendDuePulls(now), nil // the tables in force changed since the pull, or the answer is not newer
	}
	routes, pools, err := s.decode(p)
	if err != nil {
		return s.rejectAnswer(now, id, err)
	}
	delete(s.pulls, id)
	if s.hasOtherRows(p.to, routes, pools) {
		return s.refuse(now, p, ours, contentProblem, otherRowsError(p.peer, p.to))
	}
	if err := s.adopt(now, s.newerRoutes(p.to, routes), s.newerPools(p.to, pools)); err != nil {
		return s.refuse(now, p, ours, joinProblem, err)
	}
	s.peerOf(now, p.peer).needsWhole = false
	s.source, s.sourceHost = SourcePeer, p.peer
	s.adoptSeen(now)
	var out []Outgoing
	if !s.isLive(p.peer) {
		out = s.announce(now)
	}
	return append(out, s.sendDuePulls(now)...), nil
}

func (s *Sync) isLive(host string) bool {
	_, ok := slices.BinarySearch(s.live, host)
	return ok
}

// decode returns the tables of an answer after it has checked their hash and
// validated each table.
func (s *Sync) decode(p *pull) ([]tables.Route, []tables.Pool, error) {
	b, err := decodeBody(p.data)
	if err != nil {
		return nil, nil, err
	}
	var baseRoutes []tables.Route
	var basePools []tables.Pool
	if !b.Whole {
		if p.base.Routes == 0 {
			return nil, nil, result.New(result.PeerMessageMalformed, "host %s answered a pull of whole tables with a delta", p.peer)
		}
		baseRoutes, basePools = s.routes.rows, s.pools.rows
	}
	routes, err := b.Routes.Apply(baseRoutes)
	if err != nil {
		return nil, nil, err
	}
	pools, err := b.Pools.Apply(basePools)
	if err != nil {
		return nil, nil, err
	}
	if pairHash(tables.Hash(routes), tables.Hash(pools)) != p.to.Hash {
		return nil, nil, result.New(result.PeerMessageMalformed, "tables from host %s do not match the hash in its answer", p.peer)
	}
	if err := (tables.Routes{Routes: routes}).Validate(p.peer); err != nil {
		return nil, nil, err
	}
	return routes, pools, (tables.Pools{Pools: pools}).Validate(p.peer)
}

// hasOtherRows reports whether a table of an answer has the version in force but
// other rows, which happens after the platform's store was restored.
func (s *Sync) hasOtherRows(to Versions, routes []tables.Route, pools []tables.Pool) bool {
	return (to.Routes == s.routes.version && tables.Hash(routes) != s.routes.hash) ||
		(to.Pools == s.pools.version && tables.Hash(pools) != s.pools.hash)
}

// newerRoutes returns the newer one of the given routes and those in force.
func (s *Sync) newerRoutes(to Versions, rows []tables.Route) seen[tables.Route] {
	if to.Routes > s.routes.version {
		return seen[tables.Route]{version: to.Routes, rows: rows}
	}
	return seen[tables.Route]{version: s.routes.version, rows: s.routes.rows}
}

// newerPools returns the newer one of the given pools and those in force.
func (s *Sync) newerPools(to Versions, rows []tables.Pool) seen[tables.Pool] {
	if to.Pools > s.pools.version {
		return seen[tables.Pool]{version: to.Pools, rows: rows}
	}
	return seen[tables.Pool]{version: s.pools.version, rows: s.pools.rows}
}

// rejectAnswer ends a pull whose answer could not be used. The next pull from the
// host asks for whole tables; if this one did already, no pull goes to the host
// for avoidPeer.
func (s *Sync) rejectAnswer(now time.Time, id uint64, err error) ([]Outgoing, error) {
	p := s.pulls[id]
	delete(s.pulls, id)
	s.stats.AnswersRejected++
	host := s.peerOf(now, p.peer)
	if p.base.Routes == 0 {
		s.avoid(now, p.peer, avoidPeer)
	}
	host.needsWhole = true
	return s.sendDuePulls(now), err
}

// refuse records that the pair of tables of a host cannot be combined with the
// pair in force here, so that it is not pulled again until one of them changes.
func (s *Sync) refuse(now time.Time, p *pull, ours Versions, problem string, err error) ([]Outgoing, error) {
	s.refused = append(s.refused, refusal{p.to, ours})
	if len(s.refused) > maxRefused {
		s.refused = s.refused[1:]
	}
	s.report(now, problem, max(p.to.Routes, p.to.Pools), err)
	return s.sendDuePulls(now), err
}
