package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/blocks"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/links"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/lookup"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/membership"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/once"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/tablesync"
	"github.com/tamarackswitch/tamarackswitch/pkg/peer"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform/memstore"
	"github.com/tamarackswitch/tamarackswitch/pkg/settings"
)

// size is a fleet; the target is 680 nodes, 160,000 blocks and 89 sites.
type size struct{ nodes, blocks, sites, pools int }

var targetSize = size{680, 160_000, 89, 100}

const capacityDomains = 9

func capacityName(d, i int) string { return fmt.Sprintf("entry-host-%d-%d", d, i) }
func capacityAddress(d, i int) string {
	return joinAddress(fmt.Sprintf("10.%d.0.%d:7001", d, i+1), fmt.Sprintf("10.%d.0.%d:7000", d, i+1))
}

// capacityBlocks returns the objects of n different client blocks.
func capacityBlocks(tb testing.TB, n, sites int) []platform.Object {
	m := &blocks.Map{}
	for s := range sites {
		m.Sites = append(m.Sites, lookup.Site{Name: fmt.Sprintf("site-%d", s), Domain: fmt.Sprintf("domain-%d", s%capacityDomains)})
	}
	for i := range n {
		a := netip.AddrFrom4([4]byte{byte(20 + i>>16), byte(i >> 8), byte(i), 0})
		m.Add(netip.PrefixFrom(a, 24), uint16(i%sites))
	}
	objects, err := blocks.Encode(m)
	require.NoError(tb, err)
	for i := range objects {
		objects[i].Version = 3
	}
	return objects
}

// capacityTables returns tables with one route and two servers per domain for
// each pool.
func capacityTables(pools int) []platform.Object {
	var r, p strings.Builder
	for i := range pools {
		fmt.Fprintf(&r, "[[route]]\nname = \"route-%d\"\nteam = \"t\"\npath = \"/r%d/\"\npool = \"pool-%d\"\nrank = \"urgent\"\nidempotent = true\n", i, i, i)
		fmt.Fprintf(&p, "[[pool]]\nname = \"pool-%d\"\nteam = \"t\"\nslots = 5\nservers = [\n", i)
		for s := range 2 * capacityDomains {
			fmt.Fprintf(&p, "{address = \"10.%d.%d.%d:80\", domain = \"domain-%d\"},\n", 100+i/250, i%250, s+1, s%capacityDomains)
		}
		p.WriteString("]\n")
	}
	return []platform.Object{
		{Key: platform.TablesPrefix + "pools", Version: 1, Value: []byte(p.String())},
		{Key: platform.TablesPrefix + "routes", Version: 2, Value: []byte(r.String())},
	}
}

// capacityHost returns a host that was not started, with the control state of a
// fleet: members of its domain, summaries of the others, tables and blocks.
func capacityHost(tb testing.TB, s size) *Host {
	cfg := &settings.Settings{}
	cfg.Host.Name, cfg.Host.Domain = capacityName(0, 0), "domain-0"
	cfg.Listen.Caller, cfg.Listen.Peer, cfg.Listen.Admin = "10.0.0.1:7000", "10.0.0.1:7001", "127.0.0.1:7002"
	cfg.Peers.Key, cfg.Topology.MaxHosts = "capacity-test-shared-key", 680
	cfg.Limits.KeyMemory = 64 << 20
	for d := range capacityDomains {
		cfg.Topology.Domains = append(cfg.Topology.Domains, settings.Domain{Name: fmt.Sprintf("domain-%d", d), Region: fmt.Sprintf("region-%d", d%4)})
	}
	for a := range 4 {
		for b := range a {
			cfg.Topology.Links = append(cfg.Topology.Links, settings.Link{From: fmt.Sprintf("region-%d", b), To: fmt.Sprintf("region-%d", a), Capacity: 280e6})
		}
	}
	h, err := New(cfg, memstore.New(time.Now), &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	require.NoError(tb, err)
	now := time.Now()
	h.lookedAround.Store(true)
	for i := 1; i < s.nodes/capacityDomains; i++ {
		h.members.Receive(now, membership.Message{Kind: membership.Ping, Seq: uint64(i), From: membership.Update{
			Name: capacityName(0, i), Address: capacityAddress(0, i), Incarnation: now.UnixMilli(), Counter: 1, State: membership.Alive,
		}})
	}
	var list []platform.Host
	for d := range capacityDomains {
		sum := membership.Summary{Domain: fmt.Sprintf("domain-%d", d), Version: 1, Headroom: map[string]int64{}}
		for p := range min(64, s.pools) {
			sum.Headroom[fmt.Sprintf("pool-%d", p)] = 10
		}
		for i := range s.nodes / capacityDomains {
			list = append(list, platform.Host{Name: capacityName(d, i), Domain: sum.Domain, Address: capacityAddress(d, i)})
			if i < membership.MaxSummaryHosts {
				sum.Hosts = append(sum.Hosts, membership.EntryHost{Name: capacityName(d, i), Address: capacityAddress(d, i), Incarnation: now.UnixMilli(),
					KeyPrefix: once.FormatPrefix(once.Identity{Domain: sum.Domain, Host: capacityName(d, i), Incarnation: now.UnixMilli()}, 0) + "."})
			}
		}
		if d > 0 {
			h.summaries.Receive(now, sum, true, nil)
		}
	}
	h.takeHostList(now, list)
	h.takeBlocks(now, capacityBlocks(tb, s.blocks, s.sites))
	h.sync.FromPlatform(now, capacityTables(s.pools)...)
	h.applyTables(now)
	h.membersChanged(now)
	require.NotNil(tb, h.lookups.Load())
	require.Len(tb, h.members.Live(now), s.nodes/capacityDomains)
	require.Len(tb, h.lookupHosts(now), s.nodes/capacityDomains+(capacityDomains-1)*min(membership.MaxSummaryHosts, s.nodes/capacityDomains))
	return h
}

// fillKeys records orders with answers of 500 bytes until the bound is reached.
func fillKeys(tb testing.TB, h *Host, n int) {
	now := time.Now()
	body := make([]byte, 500)
	for i := range n {
		key, err := once.ParseKey(fmt.Sprintf("%s.%016d", h.owner.Prefix(now), i))
		require.NoError(tb, err)
		start, err := h.owner.Begin(now, once.Request{Key: key, Route: "route-1"})
		if err == nil && start.Run {
			_ = h.owner.Finish(now, key, once.Outcome{State: once.Ran, Answer: &once.Answer{Status: 200, Body: append([]byte(nil), body...)}})
		}
	}
}

func heapMB() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// TestControlStateAtTargetSize guards against control state of a node above
// 128 MB: members, summaries, tables, dispatchers, blocks, and key records up
// to their bound.
func TestControlStateAtTargetSize(t *testing.T) {
	before := heapMB()
	h := capacityHost(t, targetSize)
	state := heapMB()
	fillKeys(t, h, 120_000)
	full := heapMB()
	t.Logf("control state %.1f MB, with key records %.1f MB", state-before, full-before)
	require.Less(t, full-before, 128.0)
	runtime.KeepAlive(h)
}

// BenchmarkControlState reports the heap of the control state along each
// dimension.
func BenchmarkControlState(b *testing.B) {
	for _, s := range []size{{24, 1000, 6, 20}, {240, 1000, 6, 20}, {680, 1000, 6, 20}, {24, 40_000, 6, 20}, {24, 160_000, 6, 20}, {24, 1000, 89, 20}, {24, 1000, 6, 100}, {24, 1000, 6, 400}, targetSize} {
		b.Run(fmt.Sprintf("nodes=%d/blocks=%d/sites=%d/pools=%d", s.nodes, s.blocks, s.sites, s.pools), func(b *testing.B) {
			for b.Loop() {
				before := heapMB()
				h := capacityHost(b, s)
				b.ReportMetric(heapMB()-before, "MB")
				runtime.KeepAlive(h)
			}
		})
	}
}

// BenchmarkServeLookup is one look-up with its HTTP and JSON parts and without
// sockets.
func BenchmarkServeLookup(b *testing.B) {
	for _, s := range []size{{680, 1000, 6, 20}, {680, 40_000, 24, 20}, {680, 160_000, 89, 20}} {
		h := capacityHost(b, s)
		handler := h.callerHandler()
		r := rand.New(rand.NewPCG(1, 2))
		requests := make([]*http.Request, 1024)
		for i := range requests {
			requests[i] = httptest.NewRequest("GET", fmt.Sprintf("%s?route=route-%d&client=%d.%d.%d.7", api.LookupPath, i%20, 20+r.IntN(3), r.IntN(256), r.IntN(256)), nil)
		}
		b.Run(fmt.Sprintf("blocks=%d/sites=%d", s.blocks, s.sites), func(b *testing.B) {
			b.ReportAllocs()
			bytes := 0
			for i := 0; b.Loop(); i++ {
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, requests[i%len(requests)])
				bytes = w.Body.Len()
			}
			b.ReportMetric(float64(bytes), "answer-B")
		})
	}
}

// BenchmarkSecond is the periodic work of one second on an idle host.
func BenchmarkSecond(b *testing.B) {
	for _, s := range []size{{24, 1000, 6, 20}, {240, 1000, 6, 20}, {680, 1000, 6, 20}, {680, 1000, 6, 40}, {680, 1000, 6, 100}} {
		h := capacityHost(b, s)
		parts := map[string]func(time.Time){"rebuild": h.rebuildLookups, "peers": h.updatePeers, "elect": h.electDispatchers, "links": h.tickLinks, "tick-pools": h.tickPools}
		for _, name := range []string{"rebuild", "peers", "elect", "links", "tick-pools"} {
			b.Run(fmt.Sprintf("%s/nodes=%d/pools=%d", name, s.nodes, s.pools), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					parts[name](time.Now())
				}
			})
		}
	}
}

// TestRebuildOnChange guards against look-up tables that are rebuilt every
// second without a change, that name a replaced process, or whose key windows
// stay behind for longer than lookupRefresh.
func TestRebuildOnChange(t *testing.T) {
	h := capacityHost(t, size{24, 100, 6, 2})
	now := h.built.at
	built := func(after time.Duration) bool {
		before := h.lookups.Load()
		h.rebuildLookups(now.Add(after))
		return before != h.lookups.Load()
	}
	require.False(t, built(time.Second))
	require.True(t, built(lookupRefresh))
	require.False(t, built(lookupRefresh+time.Second))
	h.members.Receive(now, membership.Message{Kind: membership.Ping, Seq: 9, From: membership.Update{
		Name: capacityName(0, 1), Address: capacityAddress(0, 1), Incarnation: now.UnixMilli() + 5000, Counter: 1, State: membership.Alive,
	}})
	require.True(t, built(lookupRefresh+2*time.Second))
	h.takeBlocks(now, nil)
	require.False(t, built(lookupRefresh+2*time.Second))
	h.blocks.Store(&clientBlocks{})
	require.True(t, built(lookupRefresh+2*time.Second))
}

// BenchmarkTakeBlocks is the read of the client blocks after a change.
func BenchmarkTakeBlocks(b *testing.B) {
	for _, n := range []int{1000, 40_000, 160_000} {
		objects := capacityBlocks(b, n, 89)
		body, err := json.Marshal(objects)
		require.NoError(b, err)
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			for b.Loop() {
				_, _, err := blocks.Decode(objects)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(body)), "read-B")
		})
	}
}

// TestMessageBytes guards against larger messages of the parts whose rate grows
// with the fleet. The bounds are bytes of payload.
func TestMessageBytes(t *testing.T) {
	id := uint64(1_790_000_000_000) << 20
	now := time.UnixMilli(1_790_000_000_000)
	for _, c := range []struct {
		name  string
		kind  peer.Kind
		value any
		most  int
	}{
		{"slot-request", kindSlotRequest, slotRequest{Pool: "catalog", ID: id, LeftMS: 2000, Group: "group-1", Home: "domain-0", RequestBytes: 1024, AnswerBytes: 32768, ServiceUS: 50_000}, 75},
		{"slot-grant", kindSlotGrant, slotGrant{Pool: "catalog", ID: id, Server: "10.100.1.1:8000", Epoch: 1_790_000_000_000}, 80},
		{"slot-release", kindSlotRelease, slotRelease{Pool: "catalog", ID: id, ServiceUS: 50_000}, 40},
		{"link-request", kindLinkRequest, linkRequest{"region-0>region-1", links.Request{Host: "entry-host-0-10", Seq: 100_000, Rate: 1e6 / 3.0, Epoch: id, Stamp: now}}, 90},
		{"link-lease", kindLinkLease, linkLease{"region-0>region-1", links.Lease{Host: "entry-host-0-10", Seq: 100_000, Rate: 1e6 / 3.0, Epoch: id, Stamp: now}}, 90},
	} {
		m, err := peer.NewMessage(c.kind, c.value)
		require.NoError(t, err)
		t.Logf("%s: %d B", c.name, len(m.Payload))
		require.LessOrEqual(t, len(m.Payload), c.most, c.name)
	}
}

// BenchmarkLinkRequest is one lease at the allocator with the CBOR parts, when
// that many hosts ask once a second.
func BenchmarkLinkRequest(b *testing.B) {
	for _, hosts := range []int{24, 150, 340} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			now := time.Now()
			a := links.NewAllocator(280e6/8, 680, 1)
			stamps := make([]time.Time, hosts)
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Second / time.Duration(hosts))
				k := i % hosts
				m, _ := peer.NewMessage(kindLinkRequest, linkRequest{"region-0>region-1", links.Request{Host: capacityName(0, k), Seq: uint64(i), Rate: 3e6, Epoch: 1, Stamp: stamps[k]}})
				var in linkRequest
				_ = m.Decode(&in)
				lease := a.Grant(now, in.Request)
				stamps[k] = lease.Stamp
				_, _ = peer.NewMessage(kindLinkLease, linkLease{in.Link, lease})
			}
		})
	}
}

// TestBlocksPollReadsNothingUnchanged guards against a fleet that reads all
// client blocks again and again while they do not change.
func TestBlocksPollReadsNothingUnchanged(t *testing.T) {
	h := capacityHost(t, size{24, 100, 6, 2})
	ctx := context.Background()
	for _, o := range capacityBlocks(t, 2000, 6) {
		_, err := h.store.Put(ctx, o.Key, o.Value, 0)
		require.NoError(t, err)
	}
	require.NoError(t, h.readBlocks(ctx, true))
	require.Equal(t, 2000, h.blocks.Load().table.Size())
	counted := &countingStore{Store: h.store}
	h.store = counted
	require.NoError(t, h.readBlocks(ctx, false))
	require.Zero(t, counted.bytes)
}

// TestTablesPollReadsOnlyChanges guards against watchers that read all tables at
// every poll, and against a poll that misses a change.
func TestTablesPollReadsOnlyChanges(t *testing.T) {
	h := capacityHost(t, size{24, 100, 6, 2})
	ctx := context.Background()
	for _, o := range capacityTables(2) {
		_, err := h.store.Put(ctx, o.Key, o.Value, 0)
		require.NoError(t, err)
	}
	after, err := h.readTables(ctx, 0)
	require.NoError(t, err)
	counted := &countingStore{Store: h.store}
	h.store = counted
	after, err = h.readTables(ctx, after)
	require.NoError(t, err)
	require.Zero(t, counted.bytes)
	o, err := h.store.Put(ctx, tablesync.PoolsKey, capacityTables(3)[0].Value, 1)
	require.NoError(t, err)
	_, err = h.readTables(ctx, after)
	require.NoError(t, err)
	require.Zero(t, counted.bytes)
	require.Equal(t, o.Version, h.tables.Load().PoolsVersion)
	_, err = h.readTables(ctx, 1000)
	require.NoError(t, err)
	require.NotZero(t, counted.bytes, "a store that was restored is read as a whole")
}

// countingStore counts the bytes of objects that were read.
type countingStore struct {
	platform.Store
	bytes int
}

func (s *countingStore) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	out, err := s.Store.List(ctx, prefix)
	for _, o := range out {
		s.bytes += len(o.Value)
	}
	return out, err
}

// TestRestoredStoreBlocksVersionGivenOutAgain guards against client blocks that never come
// into force because a restored store has given their version to others before.
func TestRestoredStoreBlocksVersionGivenOutAgain(t *testing.T) {
	h := capacityHost(t, size{24, 100, 6, 2})
	store := memstore.New(time.Now)
	h.store = store
	put := func(blocks int) {
		for _, o := range capacityBlocks(t, blocks, 6) {
			have, _ := store.Get(context.Background(), o.Key)
			_, err := store.Put(context.Background(), o.Key, o.Value, have.Version)
			require.NoError(t, err)
		}
	}
	put(1000)
	older := store.Snapshot()
	put(2000)
	require.NoError(t, h.readBlocks(context.Background(), true))
	require.Equal(t, 2000, h.blocks.Load().table.Size())
	store.Restore(older)
	put(1500)
	require.NoError(t, h.readBlocks(context.Background(), true))
	require.Equal(t, 1500, h.blocks.Load().table.Size())
}
