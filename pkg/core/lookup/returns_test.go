package lookup

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// returningInput returns an Input in which domain d3 has just returned and gets
// the given share of its callers.
func returningInput(share float64) Input {
	in := testInput(6, 4, 6, 0)
	in.Blocks.Insert(netip.MustParsePrefix("10.0.0.0/8"), 3)
	in.Share = func(_, domain string) float64 {
		if domain == "d3" {
			return share
		}
		return 1
	}
	return in
}

func client(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 7}) }

// Guards against a returning domain that gets all its callers back at once, and
// against callers that alternate between domains while the share grows.
func TestReturningDomainGetsItsShare(t *testing.T) {
	const callers = 20_000
	var previousHome map[int]bool
	for _, share := range []float64{0, 0.1, 0.35, 0.8, 1} {
		s := Build(returningInput(share))
		home := map[int]bool{} // callers whose first host is in their own domain
		for i := range callers {
			a, ok := s.Lookup(client(i), "orders")
			require.True(t, ok)
			require.Equal(t, "d3", a.Domain)
			if a.Hosts[0].Domain == "d3" {
				home[i] = true
			} else {
				require.Equal(t, "d2", a.Hosts[0].Domain, "diverted callers go to the other domain of the same region")
				require.Equal(t, "d2", a.Hosts[1].Domain)
				require.Equal(t, "d3", a.Hosts[len(a.Hosts)-1].Domain)
			}
		}
		require.InDelta(t, share, float64(len(home))/callers, 0.015)
		for i := range previousHome {
			require.True(t, home[i], "a caller that is back in its own domain stays there")
		}
		previousHome = home
	}
}

// Guards against a domain that has just returned and also gets callers of other
// domains, and against callers without an answer when it is the only domain with
// live hosts.
func TestReturningDomainIsNoSubstitute(t *testing.T) {
	in := returningInput(0.5)
	s := Build(in)
	for d := range in.Domains {
		for _, a := range s.answers[d] {
			for _, h := range a.regularAnswer.Hosts {
				require.True(t, d == 3 || h.Domain != "d3", "%s is named for callers of d%d", h.Name, d)
			}
		}
	}
	var remaining []Host
	for _, h := range in.Hosts {
		if h.Domain == "d3" {
			remaining = append(remaining, h)
		}
	}
	in.Hosts = remaining
	s = Build(in)
	for i := range 100 {
		a, ok := s.Lookup(client(i), "orders")
		require.True(t, ok)
		require.Equal(t, "d3", a.Hosts[0].Domain)
	}
	require.NotEmpty(t, s.answers[0][0].regularAnswer.Hosts, "the only domain with live hosts takes the callers of all domains")
}

// Guards against an answer whose hosts are all in one region, so that none is
// usable after the loss of that region.
func TestAnswerSurvivesRegion(t *testing.T) {
	in := testInput(9, 4, 9, 0)
	region := map[string]string{}
	for i := range in.Domains {
		in.Domains[i].Region = fmt.Sprintf("r%d", i/3)
		region[in.Domains[i].Name] = in.Domains[i].Region
	}
	s := Build(in)
	for d := range in.Domains {
		hosts := s.answers[d][0].regularAnswer.Hosts
		require.Len(t, hosts, localHosts+remoteDomains)
		require.Equal(t, in.Domains[d].Region, region[hosts[2].Domain])
		require.NotEqual(t, in.Domains[d].Region, region[hosts[3].Domain])
	}
}

// Guards against memory allocation in Lookup while a domain is in slow start.
func TestReturningLookupDoesNotAllocate(t *testing.T) {
	s := Build(returningInput(0.5))
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		s.Lookup(client(1), "orders")
		s.Lookup(client(2), "orders")
	}))
}

// Guards against a host that has just started and counts every domain it sees as
// returned, and against a return that is not recorded.
func TestReturns(t *testing.T) {
	start := time.Unix(1000, 0)
	r := NewReturns()
	r.Observe(start, "d1", true)
	_, returned := r.Back(start, "d1")
	require.False(t, returned)
	r.Observe(start.Add(10*time.Second), "d1", false)
	r.Observe(start.Add(20*time.Second), "d1", true)
	r.Observe(start.Add(22*time.Second), "d1", true)
	back, returned := r.Back(start.Add(23*time.Second), "d1")
	require.True(t, returned)
	require.Equal(t, 3*time.Second, back)
}
