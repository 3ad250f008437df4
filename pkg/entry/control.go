package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/blocks"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/lookup"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/membership"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/once"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/slots"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/spill"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/tablesync"
	"github.com/tamarackswitch/tamarackswitch/pkg/peer"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/wait"
)

// Kinds of messages, named as in the design page.
const (
	kindMembership    = peer.KindProbe
	kindSummary       = peer.KindSummary
	kindTableAnnounce = peer.KindTableAnnounce
	kindTablePull     = peer.KindTablePull
	kindTableDelta    = peer.KindTableDelta
	kindSlotRequest   = peer.KindSlotRequest
	kindSlotGrant     = peer.KindSlotGrant
	kindSlotRefuse    = peer.KindSlotRefuse
	kindSlotRelease   = peer.KindSlotRelease
	kindSlotHeld      = peer.KindSlotHeld
	kindCreditRequest = peer.KindCreditRequest
	kindCreditGrant   = peer.KindCreditGrant
	kindLinkRequest   = peer.KindLinkRequest
	kindLinkLease     = peer.KindLinkLease
	kindKeyHandoff    = peer.KindKeyHandoff
)

// Periods of control work.
const (
	lookupPeriod   = time.Second
	hostListPeriod = 10 * time.Second
	blocksPeriod   = 5 * time.Minute
	blocksStart    = 2 * time.Second
	// blocksFullEvery is how many polls of the client blocks include one that
	// reads them all, which finds a store that was restored to an older state.
	blocksFullEvery = 12
	storeTimeout    = 2 * time.Second
	// watchRetry is the pause after a failed watch, with jitter of as much.
	watchRetry = 500 * time.Millisecond
	watchSlack = 5 * time.Second
)

// every runs fn each period until the host stops.
func (h *Host) every(period time.Duration, fn func(now time.Time)) {
	h.tomb.Go(func() error {
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			select {
			case <-h.tomb.Dying():
				return nil
			case now := <-t.C:
				fn(now)
			}
		}
	})
}

// startControl starts the work that is shared with other entry hosts.
func (h *Host) startControl() {
	h.mesh.Start(&h.tomb)
	h.join(time.Now())
	h.every(slots.TickPeriod, h.tickPools)
	h.every(membership.TickInterval, h.tickMembers)
	h.every(tablesync.TickPeriod, func(now time.Time) { h.sendSync(h.sync.Tick(now)); h.applyTables(now) })
	h.every(spill.AskInterval, h.askCredits)
	h.every(lookupPeriod, func(now time.Time) {
		h.tickLinks(now)
		h.updatePeers(now)
		h.electDispatchers(now)
		h.rebuildLookups(now)
	})
	h.every(probePeriod, h.tickProbes)
	h.every(statusPeriod, h.writeStatus)
	h.tomb.Go(h.watchTables)
	h.tomb.Go(h.pollTables)
	h.tomb.Go(h.pollHosts)
	h.tomb.Go(h.pollBlocks)
}

// handle takes one message of another entry host.
func (h *Host) handle(from peer.Identity, m peer.Message) {
	now := time.Now()
	h.peersMu.Lock()
	delete(h.ended, from.Name)
	h.peersMu.Unlock()
	switch m.Kind {
	case kindMembership:
		decode(h, m, func(v *membership.Message) { h.onMembership(now, from, *v) })
	case kindSummary:
		decode(h, m, func(v *membership.Summary) { h.onSummary(now, from, *v) })
	case kindTableAnnounce:
		decode(h, m, func(v *tablesync.Versions) { h.sendSync(h.sync.OnVersions(now, from.Name, *v)) })
	case kindTablePull:
		decode(h, m, func(v *tablesync.Pull) { h.sendSync(h.sync.OnPull(now, from.Name, *v)) })
	case kindTableDelta:
		decode(h, m, func(v *tablesync.Delta) { h.onDelta(now, from.Name, *v) })
	case kindCreditRequest:
		decode(h, m, func(v *creditRequest) { h.onCreditRequest(now, *v) })
	case kindCreditGrant:
		decode(h, m, func(v *creditGrant) { h.onCreditGrant(now, from.Name, *v) })
	case kindLinkRequest:
		decode(h, m, func(v *linkRequest) { h.onLinkRequest(now, from.Name, *v) })
	case kindLinkLease:
		decode(h, m, func(v *linkLease) { h.onLinkLease(now, from.Name, *v) })
	case kindKeyHandoff:
		decode(h, m, func(v *once.Chunk) { h.onHandoff(now, from, m, *v) })
	case kindStatus, kindDump:
		h.onStateRequest(m)
	default:
		h.handleSlots(now, from.Name, m)
	}
}

func (h *Host) handleSlots(now time.Time, from string, m peer.Message) {
	switch m.Kind {
	case kindSlotRequest:
		decode(h, m, func(v *slotRequest) {
			if p, d := h.dispatching(v.Pool); d != nil {
				h.offer(now, p, d, from, *v)
			}
		})
	case kindSlotRelease:
		decode(h, m, func(v *slotRelease) {
			if p, d := h.dispatching(v.Pool); d != nil {
				h.released(now, p, d, from, *v)
			}
		})
	case kindSlotGrant:
		decode(h, m, func(v *slotGrant) {
			if p := h.pool(v.Pool); p != nil {
				p.decide(v.ID, verdict{credit: v.Credit, lender: v.Lender, grant: slots.Grant{
					ID: v.ID, Host: h.cfg.Host.Name, Server: v.Server, By: from, Epoch: v.Epoch,
				}})
			}
		})
	case kindSlotRefuse:
		decode(h, m, func(v *slotRefusal) {
			if p := h.pool(v.Pool); p != nil {
				p.decide(v.ID, verdict{err: v.err()})
			}
		})
	case kindSlotHeld:
		decode(h, m, func(v *slotHeld) {
			if p := h.pool(v.Pool); p != nil {
				h.onHeld(now, p, from, *v)
			}
		})
	}
}

// dispatching returns a pool and its dispatcher's state, nil if this host is
// not the dispatcher.
func (h *Host) dispatching(name string) (*pool, *dispatching) {
	p := h.pool(name)
	if p == nil {
		return nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p, p.dispatching
}

// decode passes the payload of a message to fn; malformed ones are logged.
func decode[T any](h *Host, m peer.Message, fn func(*T)) {
	v := new(T)
	if err := m.Decode(v); err != nil {
		h.log.Warn().Err(err).Int("kind", int(m.Kind)).Msg("peer message refused")
		return
	}
	fn(v)
}

// sendPeer sends a message that may be lost.
func (h *Host) sendPeer(to string, kind peer.Kind, v any) {
	m, err := peer.NewMessage(kind, v)
	if err != nil {
		h.log.Error().Err(err).Int("kind", int(kind)).Msg("peer message not encoded")
		return
	}
	if h.mesh.Send(to, m) {
		h.metrics.peerMessage(m)
	}
}

// sendTo sends to a host whose name may be unknown.
func (h *Host) sendTo(name, addr string, kind peer.Kind, v any) {
	if name == "" {
		h.peersMu.Lock()
		name = h.names[addr]
		h.peersMu.Unlock()
	}
	if name != "" {
		h.sendPeer(name, kind, v)
	}
}

func (h *Host) sendMembership(out []membership.Outgoing) {
	for _, o := range out {
		h.sendTo(o.Name, o.Address, kindMembership, o.Message)
	}
}

func (h *Host) onMembership(now time.Time, from peer.Identity, m membership.Message) {
	if m.From.Name != from.Name {
		return
	}
	known := h.addressOf(from.Name)
	h.sendMembership(h.members.Receive(now, m))
	if known == "" {
		h.rememberPeer(now, origin{from.Name, m.From.Address})
	}
	if m.Versions != nil {
		h.sendSync(h.sync.OnVersions(now, from.Name, versionsOf(m.Versions)))
	}
}

func (h *Host) addressOf(name string) string {
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	return h.addresses[name]
}

func (h *Host) onSummary(now time.Time, from peer.Identity, s membership.Summary) {
	live := h.members.Live(now)
	outside := true
	for _, m := range live {
		outside = outside && m.Name != from.Name
	}
	for _, o := range h.summaries.Receive(now, s, outside, live) {
		h.sendTo(o.Name, o.Address, kindSummary, o.Summary)
	}
	for _, e := range s.Hosts {
		if h.addressOf(e.Name) == "" {
			h.updatePeers(now)
			break
		}
	}
	if len(s.Hosts) > 0 && s.Versions != nil {
		h.sendSync(h.sync.OnVersions(now, s.Hosts[0].Name, versionsOf(s.Versions)))
	}
}

func (h *Host) sendSync(out []tablesync.Outgoing) {
	for _, o := range out {
		switch {
		case o.Announce != nil:
			h.sendPeer(o.To, kindTableAnnounce, o.Announce)
		case o.Pull != nil:
			h.sendPeer(o.To, kindTablePull, o.Pull)
		case o.Delta != nil:
			h.sendPeer(o.To, kindTableDelta, o.Delta)
		}
	}
}

func (h *Host) onDelta(now time.Time, from string, d tablesync.Delta) {
	out, err := h.sync.OnDelta(now, from, d)
	if err != nil {
		h.log.Warn().Err(err).Str("from", from).Msg("table answer not used")
	}
	h.sendSync(out)
	h.applyTables(now)
}

// applyTables puts the tables of the sync in force in the request path.
func (h *Host) applyTables(now time.Time) {
	s, ok := h.sync.InForce(now)
	if !ok {
		return
	}
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	if t := h.tables.Load(); t != nil && t.RoutesVersion == s.Versions.Routes && t.PoolsVersion == s.Versions.Pools {
		return
	}
	h.tables.Store(&Tables{
		Routes: s.Routes, Pools: s.Pools, RoutesVersion: s.Versions.Routes, PoolsVersion: s.Versions.Pools,
	})
	h.setPools(now, s.Pools)
	h.rebuildLookups(now)
	h.log.Info().Int64("routes", s.Versions.Routes).Int64("pools", s.Versions.Pools).Msg("tables in force")
}

// watchTables waits for changes at the platform while this host is a watcher.
func (h *Host) watchTables() error {
	var after int64
	for h.tomb.Alive() {
		if !h.sync.Watching() {
			after = 0 // a new watcher begins with whole tables
			h.sleep(tablesync.TickPeriod)
			continue
		}
		// The deadline finds a watch whose connection went silent.
		ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), platform.MaxWatch+watchSlack)
		objects, version, err := h.store.Watch(ctx, platform.TablesPrefix, after)
		cancel()
		if err != nil {
			if !h.tomb.Alive() {
				return nil
			}
			h.log.Warn().Err(err).Msg("platform watch failed")
			h.sleep(watchRetry + jitter(watchRetry))
			continue
		}
		if version < after {
			// The store was restored: all tables are read, so that those that
			// went back are reported.
			after = 0
			continue
		}
		after = version
		h.fromPlatform(objects)
	}
	return nil
}

// pollTables reads the tables while this host is a watcher, because a watch may
// be silent; it also reads once at the start.
func (h *Host) pollTables() error {
	h.sleep(jitter(watchRetry))
	first, after := true, int64(0)
	for h.tomb.Alive() {
		if first || h.sync.Watching() {
			ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), storeTimeout)
			version, err := h.readTables(ctx, after)
			cancel()
			if err == nil {
				first, after = false, version
			}
		} else {
			after = 0 // a new watcher begins with whole tables
		}
		h.sleep(tablesync.PollPeriod)
	}
	return nil
}

// readTables reads the tables that changed after a version of the store, or all
// if it is 0 or the store was restored to an older state. It returns the
// version for the next call. All tables in every poll would be more bytes than
// a node may use for control from about 40 pools.
func (h *Host) readTables(ctx context.Context, after int64) (int64, error) {
	if after > 0 {
		objects, version, err := h.store.Watch(platform.WithWait(ctx, 0), platform.TablesPrefix, after)
		if err != nil {
			return after, err
		}
		if version >= after {
			h.fromPlatform(objects)
			return version, nil
		}
	}
	objects, err := h.store.List(ctx, platform.TablesPrefix)
	if err != nil {
		return after, err
	}
	h.fromPlatform(objects)
	after = 0
	for _, o := range objects {
		after = max(after, o.Version)
	}
	return after, nil
}

func (h *Host) fromPlatform(objects []platform.Object) {
	now := time.Now()
	h.sendSync(h.sync.FromPlatform(now, objects...))
	h.applyTables(now)
}

// pollHosts reads the platform's list of hosts while this host is a watcher.
func (h *Host) pollHosts() error {
	for h.tomb.Alive() {
		if h.sync.Watching() {
			ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), storeTimeout)
			list, err := h.store.Hosts(ctx)
			cancel()
			if err == nil {
				h.takeHostList(time.Now(), list)
			}
		}
		h.sleep(hostListPeriod + jitter(hostListPeriod/10))
	}
	return nil
}

func (h *Host) takeHostList(now time.Time, list []platform.Host) {
	h.hostList.Store(&list)
	h.freeGone(now)
	var own []membership.PlatformHost
	for _, p := range list {
		if p.Domain == h.cfg.Host.Domain {
			own = append(own, membership.PlatformHost{Name: p.Name, Address: p.Address, Leaving: p.Leaving})
		}
	}
	h.members.SetPlatformHosts(now, own)
	h.updatePeers(now)
}

// clientBlocks is the decoded map of client blocks.
type clientBlocks struct {
	sites   []lookup.Site
	table   *lookup.Blocks
	version int64
	hash    uint64 // of the objects; a restored store gives versions out again
}

// pollBlocks reads the client blocks at the start and then looks for changes
// rarely, because they change rarely.
func (h *Host) pollBlocks() error {
	// A domain whose hosts start together would read 142 MB at once at the
	// target size.
	h.sleep(jitter(blocksStart))
	for n := 0; h.tomb.Alive(); {
		ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), 5*storeTimeout)
		err := h.readBlocks(ctx, n%blocksFullEvery == 0)
		cancel()
		if err != nil {
			h.sleep(watchRetry*4 + jitter(watchRetry*4))
			continue
		}
		n++
		h.sleep(blocksPeriod + jitter(blocksPeriod/5))
	}
	return nil
}

// readBlocks reads the client blocks, all or only if they changed: at the
// target size they are megabytes, and every host asks. A store version below
// the known one means that the store was restored.
func (h *Host) readBlocks(ctx context.Context, all bool) error {
	if b := h.blocks.Load(); b != nil && !all {
		changed, version, err := h.store.Watch(platform.WithWait(ctx, 0), platform.BlocksPrefix, b.version)
		if err != nil || (len(changed) == 0 && version >= b.version) {
			return err
		}
	}
	objects, err := h.store.List(ctx, platform.BlocksPrefix)
	if err == nil {
		h.takeBlocks(time.Now(), objects)
	}
	return err
}

func (h *Host) takeBlocks(now time.Time, objects []platform.Object) {
	version, content := int64(0), xxhash.New()
	for _, o := range objects {
		version = max(version, o.Version)
		fmt.Fprintf(content, "%s %d %d ", o.Key, o.Version, len(o.Value))
		_, _ = content.Write(o.Value)
	}
	hash := content.Sum64()
	if b := h.blocks.Load(); len(objects) == 0 || (b != nil && b.hash == hash) {
		return
	}
	sites, table, err := blocks.Decode(objects)
	if err != nil {
		h.log.Error().Err(err).Msg("client blocks refused; the last ones stay in force")
		return
	}
	h.blocks.Store(&clientBlocks{sites, table, version, hash})
	h.rebuildLookups(now)
	h.log.Info().Int("blocks", table.Size()).Int("sites", len(sites)).Msg("client blocks in force")
}

// sleep waits for d or until the host stops.
func (h *Host) sleep(d time.Duration) { wait.For(h.tomb.Context(context.Background()), d) }
