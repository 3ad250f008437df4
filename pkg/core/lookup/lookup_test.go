package lookup

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// testInput returns an Input whose regions have two domains each. The blocks are
// random, but the same for the same arguments.
func testInput(domains, hostsPerDomain, sites, blocks int) Input {
	in := Input{Blocks: &Blocks{}, Routes: []Route{{"catalog", "catalog"}, {"orders", "orders"}}}
	for d := range domains {
		name := fmt.Sprintf("d%d", d)
		in.Domains = append(in.Domains, Domain{name, fmt.Sprintf("r%d", d/2)})
		for h := range hostsPerDomain {
			in.Hosts = append(in.Hosts, Host{
				Name: fmt.Sprintf("%s-%d", name, h), Domain: name,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), byte(h), 1}), 80),
			})
		}
	}
	for s := range sites {
		in.Sites = append(in.Sites, Site{fmt.Sprintf("s%d", s), in.Domains[s%domains].Name})
	}
	r := rand.New(rand.NewPCG(1, 2))
	for range blocks {
		a := netip.AddrFrom4([4]byte{byte(r.IntN(223) + 1), byte(r.IntN(256)), byte(r.IntN(256)), 0})
		in.Blocks.Insert(netip.PrefixFrom(a, 16+r.IntN(9)).Masked(), uint16(r.IntN(sites)))
	}
	return in
}

// Guards against an answer that holds no usable host after the loss of one host
// or one domain. Callers cache answers, so each must list two hosts of the
// caller's domain and hosts of two domains.
func TestAnswerSurvivesHostAndDomain(t *testing.T) {
	s := Build(testInput(6, 4, 6, 1000))
	r := rand.New(rand.NewPCG(3, 4))
	for range 1000 {
		a, ok := s.Lookup(netip.AddrFrom4([4]byte{byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256)), 9}), "orders")
		require.True(t, ok)
		domains := map[string]int{}
		for _, h := range a.Hosts {
			domains[h.Domain]++
		}
		require.GreaterOrEqual(t, domains[a.Domain], 2)
		require.GreaterOrEqual(t, len(domains), 2)
	}
}

// Guards against callers that get no answer when their domain has no live hosts.
func TestDomainWithoutHosts(t *testing.T) {
	in := testInput(6, 4, 6, 0)
	in.Blocks.Insert(netip.MustParsePrefix("192.0.2.0/24"), 3)
	var hosts []Host
	for _, h := range in.Hosts {
		if h.Domain != "d3" {
			hosts = append(hosts, h)
		}
	}
	in.Hosts = hosts
	a, ok := Build(in).Lookup(netip.MustParseAddr("192.0.2.7"), "catalog")
	require.True(t, ok)
	require.Equal(t, "d3", a.Domain)
	require.Equal(t, "d2", a.Hosts[0].Domain, "the other domain of the same region comes first")
	require.Equal(t, "d2", a.Hosts[1].Domain, "a cached answer survives the loss of a host")
	in.Hosts = nil
	_, ok = Build(in).Lookup(netip.MustParseAddr("192.0.2.7"), "catalog")
	require.False(t, ok)
}

// Guards against a short prefix that takes precedence over a longer one, and
// against IPv4-mapped IPv6 addresses that match no IPv4 block.
func TestLongestPrefix(t *testing.T) {
	in := testInput(6, 2, 6, 0)
	in.Blocks.Insert(netip.MustParsePrefix("10.0.0.0/8"), 1)
	in.Blocks.Insert(netip.MustParsePrefix("10.9.0.0/16"), 2)
	s := Build(in)
	a, _ := s.Lookup(netip.MustParseAddr("10.9.1.1"), "")
	require.Equal(t, "d2", a.Domain)
	a, _ = s.Lookup(netip.MustParseAddr("::ffff:10.8.1.1"), "")
	require.Equal(t, "d1", a.Domain)
}

// Guards against memory allocation in Lookup, with the numbers of hosts, sites
// and blocks of the target size.
func TestLookupDoesNotAllocate(t *testing.T) {
	s := Build(testInput(9, 76, 89, 160_000))
	addr := netip.MustParseAddr("100.20.30.40")
	require.Zero(t, testing.AllocsPerRun(1000, func() { s.Lookup(addr, "orders") }))
}

func BenchmarkLookup(b *testing.B) {
	for _, size := range []struct{ blocks, sites int }{{1_000, 6}, {10_000, 24}, {160_000, 89}} {
		b.Run(fmt.Sprintf("blocks=%d/sites=%d", size.blocks, size.sites), func(b *testing.B) {
			s := Build(testInput(9, 76, size.sites, size.blocks))
			r := rand.New(rand.NewPCG(5, 6))
			addrs := make([]netip.Addr, 1<<14)
			for i := range addrs {
				addrs[i] = netip.AddrFrom4([4]byte{byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256)), 9})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Lookup(addrs[i&(len(addrs)-1)], "orders")
			}
		})
	}
}

func BenchmarkBuild(b *testing.B) {
	in := testInput(9, 76, 89, 1000)
	b.ReportAllocs()
	for b.Loop() {
		Build(in)
	}
}
