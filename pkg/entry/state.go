package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/peer"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// Constants of status.
const (
	statusPeriod = 10 * time.Second
	// askTimeout bounds the wait for one host's state.
	askTimeout = 2 * time.Second
)

// Status returns what is in force at this host.
func (h *Host) Status() api.HostStatus {
	now := time.Now()
	s := h.sync.Status(now)
	out := api.HostStatus{
		Name: h.cfg.Host.Name, Domain: h.cfg.Host.Domain, Region: h.region, Incarnation: h.incarnation,
		RoutesVersion: s.Versions.Routes, PoolsVersion: s.Versions.Pools, Source: string(s.Source), SourceHost: s.SourceHost,
		AgeMS: s.Age.Milliseconds(), UnconfirmedMS: s.Unconfirmed.Milliseconds(), Watching: s.Watching,
		Leaving: h.leaving.Load(), Requests: h.requests.Load(),
	}
	if s.Unconfirmed < 0 {
		out.UnconfirmedMS = -1
	}
	for _, p := range s.Problems {
		out.Problems = append(out.Problems, api.Problem{Table: p.Table, Version: p.Version, Error: p.Error})
	}
	for _, p := range h.poolList() {
		p.mu.Lock()
		d, row := p.dispatching, p.row
		p.mu.Unlock()
		if d == nil {
			continue
		}
		room := d.slots.Headroom(now)
		ps := api.PoolStatus{
			Pool: p.name, Slots: room.Slots, Running: room.Running, Free: room.Free, Lent: d.lender.Outstanding(now),
			Queued: map[string]int{}, Recovering: room.Recovering,
		}
		for i, n := range room.Queued {
			ps.Queued[string(tables.Ranks[i])] = n
		}
		for _, server := range row.InDomain(h.cfg.Host.Domain) {
			if server.Drain {
				ps.Draining = append(ps.Draining, server.Address)
			}
		}
		out.Pools = append(out.Pools, ps)
	}
	return out
}

// Dump returns the whole state of this process.
func (h *Host) Dump() map[string]any {
	now := time.Now()
	pools := map[string]any{}
	for _, p := range h.poolList() {
		p.mu.Lock()
		d := p.dispatching
		doc := map[string]any{"dispatcher": p.current, "waiting": len(p.waiting), "active": len(p.active)}
		if d != nil {
			doc["placed"] = len(d.placed)
		}
		p.mu.Unlock()
		if d != nil {
			doc["slots"], doc["health"] = d.slots.Dump(), d.health.Dump(now)
			doc["lender"], doc["borrower"] = d.lender.Dump(now), d.borrower.Dump(now)
		}
		pools[p.name] = doc
	}
	linkDocs := map[string]any{}
	for name, l := range h.links {
		linkDocs[name] = map[string]any{"bucket": l.bucket.Dump(now), "allocator": l.allocator.Dump(now)}
	}
	budgets := map[string]any{}
	h.budgetsMu.Lock()
	for route, b := range h.budgets {
		budgets[route] = b.Dump()
	}
	h.budgetsMu.Unlock()
	return map[string]any{
		"status": h.Status(), "members": h.members.Dump(), "summaries": h.summaries.Dump(now), "returns": h.returns.Dump(), "tables": h.sync.Dump(now),
		"mesh": h.mesh.Dump(), "keys": h.owner.Dump(), "opaque_keys": h.storeKeys.Dump(),
		"pools": pools, "links": linkDocs, "retry": budgets,
	}
}

// onStateRequest answers another host's question for status or dump. The
// answer is JSON inside the message, as the operator will read it.
func (h *Host) onStateRequest(m peer.Message) {
	var doc any = h.Status()
	if m.Kind == kindDump {
		doc = h.Dump()
	}
	text, err := json.Marshal(doc)
	if err != nil {
		h.log.Error().Err(err).Msg("state not encoded")
		return
	}
	if answer, err := peer.NewMessage(m.Kind, text); err == nil {
		m.Reply(answer)
	}
}

// askState asks another host for its state.
func (h *Host) askState(ctx context.Context, host string, kind peer.Kind) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	question, err := peer.NewMessage(kind, true)
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "encode question")
	}
	answer, err := h.mesh.Call(ctx, host, question)
	if err != nil {
		return nil, result.Wrap(err, result.HostUnreachable, "entry host %s", host)
	}
	var text []byte
	if err := answer.Decode(&text); err != nil {
		return nil, result.Wrap(err, result.PeerMessageMalformed, "answer of %s", host)
	}
	return text, nil
}

// DumpOf returns the dump of a host by its name.
func (h *Host) DumpOf(ctx context.Context, host string) ([]byte, error) {
	if host == h.cfg.Host.Name {
		return json.Marshal(h.Dump())
	}
	if h.addressOf(host) == "" {
		return nil, result.New(result.HostUnreachable, "no entry host is called %q", host)
	}
	return h.askState(ctx, host, kindDump)
}

// StatusOfAll asks every known host and groups the answers by failure domain.
// Hosts that could not be asked are named.
func (h *Host) StatusOfAll(ctx context.Context) api.Status {
	known := h.knownHosts(time.Now())
	type reply struct {
		domain, host string
		status       *api.HostStatus
	}
	replies := make(chan reply, len(known))
	for host, domain := range known {
		go func() {
			r := reply{domain: domain, host: host}
			if host == h.cfg.Host.Name {
				own := h.Status()
				r.status = &own
			} else if text, err := h.askState(ctx, host, kindStatus); err == nil {
				var s api.HostStatus
				if json.Unmarshal(text, &s) == nil {
					r.status = &s
				}
			}
			replies <- r
		}()
	}
	out := api.Status{Asked: h.cfg.Host.Name}
	byDomain := map[string]*api.DomainStatus{}
	for _, d := range h.cfg.Topology.Domains {
		byDomain[d.Name] = &api.DomainStatus{Domain: d.Name, Region: d.Region}
	}
	for range known {
		r := <-replies
		d := byDomain[r.domain]
		if d == nil {
			continue
		}
		if r.status == nil {
			d.Unreachable = append(d.Unreachable, r.host)
		} else {
			d.Hosts = append(d.Hosts, *r.status)
		}
	}
	for _, d := range h.cfg.Topology.Domains {
		out.Domains = append(out.Domains, *byDomain[d.Name])
	}
	out.Summarize()
	return out
}

// knownHosts maps every known entry host to its failure domain.
func (h *Host) knownHosts(now time.Time) map[string]string {
	out := map[string]string{h.cfg.Host.Name: h.cfg.Host.Domain}
	for _, s := range h.cfg.Peers.Seeds {
		out[s.Name] = s.Domain
	}
	for domain, hosts := range h.foreignHosts(now) {
		for _, e := range hosts {
			out[e.Name] = domain
		}
	}
	for _, m := range h.members.Live(now) {
		out[m.Name] = h.cfg.Host.Domain
	}
	return out
}

// writeStatus stores the own domain's status at the platform, if this host is
// the domain's writer.
func (h *Host) writeStatus(now time.Time) {
	candidates, _ := h.domainHosts(now)
	if rendezvous.Pick("status/"+h.cfg.Host.Domain, candidates) != h.cfg.Host.Name {
		return
	}
	doc := api.StoredStatus{Writer: h.cfg.Host.Name, At: now.UTC(), Live: candidates, Host: h.Status()}
	slices.Sort(doc.Live)
	text, err := json.Marshal(doc)
	if err != nil {
		return
	}
	h.background(storeTimeout, func(ctx context.Context) {
		key := platform.StatusPrefix + h.cfg.Host.Domain
		o, err := h.store.Put(ctx, key, text, h.statusVersion.Load())
		if err == nil {
			h.statusVersion.Store(o.Version)
			return
		}
		// Another writer may have been first, or the answer was lost: the next
		// write continues from what is stored.
		if o, err := h.store.Get(ctx, key); err == nil {
			h.statusVersion.Store(o.Version)
		} else if strings.Contains(err.Error(), string(platform.ErrNotFound)) {
			h.statusVersion.Store(0)
		}
	})
}

// ShiftKey names traffic of another failure domain that comes to this host's.
type ShiftKey struct {
	From, Pool string
	// Callers tells requests of From's own callers, which a look-up sent here,
	// from those that From's entry hosts relay under a credit.
	Callers bool
}

// ShiftLevels returns how many requests this host's dispatchers permit or run
// for other failure domains now. The shift cap bounds the growth of these
// levels; the requests vary under a constant level.
func (h *Host) ShiftLevels() map[ShiftKey]int {
	out := map[ShiftKey]int{}
	for _, p := range h.poolList() {
		p.mu.Lock()
		d := p.dispatching
		p.mu.Unlock()
		if d == nil {
			continue
		}
		now := time.Now()
		for _, from := range h.cfg.Topology.Domains {
			if from.Name != h.cfg.Host.Domain {
				out[ShiftKey{from.Name, p.name, false}] = d.lender.Level(now, from.Name)
				out[ShiftKey{from.Name, p.name, true}] = d.borrower.HomeLevel(from.Name)
			}
		}
	}
	return out
}

// PeerBytes returns the bytes sent and received over peer links so far.
func (h *Host) PeerBytes() int64 {
	c := h.mesh.Counters()
	return c.BytesIn + c.BytesOut
}
