package steer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// region returns n hosts of three failure domains.
func region(n int) []fleet.EntryHost {
	var out []fleet.EntryHost
	for i := range n {
		out = append(out, fleet.EntryHost{
			Name: fmt.Sprintf("entry-%d", i), Domain: fmt.Sprintf("a-%d", i%3), Region: "a", Peer: fmt.Sprintf("127.0.%d.%d:7200", i/200, i%200+1),
			Caller: "127.0.0.1:80", Started: int64(i + 1),
		})
	}
	return out
}

// knows returns the list of self, which knows the published hosts.
func knows(t *testing.T, self fleet.EntryHost, hosts []fleet.EntryHost) *peers {
	t.Helper()
	p := newPeers(self)
	for _, h := range hosts {
		require.NoError(t, p.add(h))
	}
	return p
}

// gossip lets the members of all groups hear each other's beacons and passes
// digests on, for the hosts that live.
func gossip(t *testing.T, now time.Time, lists map[string]*peers, hosts []fleet.EntryHost) {
	t.Helper()
	byAddress := map[string]*peers{}
	for _, h := range hosts {
		byAddress[h.Peer] = lists[h.Name]
	}
	for _, h := range hosts {
		for _, near := range []bool{true, false} {
			for _, to := range lists[h.Name].targets(now, near) {
				if other := byAddress[to.String()]; other != nil {
					known, err := other.hear(now, h.Name, h.Started, &beacon{Host: &h, Ready: true})
					require.NoError(t, err)
					require.True(t, known)
				}
			}
		}
	}
	for _, h := range hosts {
		seen, joined, to := lists[h.Name].digest(now, false, true)
		for _, address := range to {
			other := byAddress[address.String()]
			if other == nil {
				continue
			}
			for _, j := range joined {
				require.NoError(t, other.add(j))
			}
			other.sight(now, seen)
		}
	}
}

// Guards against hosts of other groups that are not known to live, that count as
// alive after their end, and against messages that grow with the region.
func TestDigestsBetweenGroups(t *testing.T) {
	hosts := region(200)
	lists := map[string]*peers{}
	for _, h := range hosts {
		lists[h.Name] = knows(t, h, hosts)
	}
	now := time.Now()
	gossip(t, now, lists, hosts)
	for _, h := range hosts {
		require.Equal(t, len(hosts)-1, len(lists[h.Name].live(now)))
		require.Less(t, lists[h.Name].groupSize(), 50)
	}
	// Two hosts end, one of them starts again as another process.
	gone, again := hosts[0], hosts[1]
	again.Started = 1000
	rest := append([]fleet.EntryHost{again}, hosts[2:]...)
	lists[again.Name] = knows(t, again, hosts)
	for step := 0; step < 12; step++ {
		now = now.Add(digestEvery)
		gossip(t, now, lists, rest)
	}
	for _, h := range rest {
		live := lists[h.Name].live(now)
		require.Equal(t, len(rest)-1, len(live), h.Name)
		for _, other := range live {
			require.NotEqual(t, gone.Name, other.Name)
			if other.Name == again.Name {
				require.Equal(t, again.Started, other.Started)
			}
		}
	}
}

// Guards against a sighting of an unknown host that is not looked up.
func TestUnknownHostIsNoticed(t *testing.T) {
	hosts := region(60)
	p := knows(t, hosts[0], hosts[:59])
	now := time.Now()
	require.False(t, p.sight(now, []sighting{{ID: sightingID(hosts[5])}, {ID: sightingID(hosts[0])}}))
	require.True(t, p.sight(now, []sighting{{ID: sightingID(hosts[59])}}))
}

// Guards against beacons without a description that count for another process
// of that name, or for nobody without a word to the sender.
func TestBeaconsWithoutDescription(t *testing.T) {
	hosts := region(3)
	self, other := hosts[0], hosts[1]
	p := newPeers(self)
	now := time.Now()
	hear := func(started int64, described *fleet.EntryHost) bool {
		known, err := p.hear(now, other.Name, started, &beacon{Host: described, Ready: true})
		require.NoError(t, err)
		return known
	}
	require.False(t, hear(other.Started, nil), "the sender was never described")
	require.Empty(t, p.live(now))
	require.True(t, hear(other.Started, &other))
	require.Len(t, p.live(now), 1)
	require.True(t, p.joining(now), "other hosts have to hear of the new one")
	require.False(t, p.joining(now.Add(joinedTime+time.Second)))
	require.True(t, hear(other.Started-1, nil), "a late beacon of the process before")
	now = now.Add(time.Minute)
	require.False(t, hear(other.Started-1, nil), "too late for one: the clock went back")
	require.Empty(t, p.live(now))
	require.False(t, hear(other.Started+1, nil), "a new process that was not described")
	require.True(t, hear(other.Started, nil))
	require.Len(t, p.live(now), 1)
}

// Guards against reports to hosts that do not dispatch, and against a region
// without reports after its dispatcher is gone.
func TestReportsGoToTheDispatcher(t *testing.T) {
	hosts := region(12)
	for i := 6; i < 12; i++ {
		hosts[i].Region, hosts[i].Domain, hosts[i].Capacity = "b", "b-1", 1
	}
	p := knows(t, hosts[0], hosts)
	first := p.elsewhere("p", 2, nil)
	require.Len(t, first, 2)
	d := newDispatch(1)
	now := time.Now()
	d.reporters[reporterKey{"p", "b"}] = reporter{"entry-9", now}
	require.Equal(t, []string{hosts[9].Peer}, addresses(p.elsewhere("p", 2, d.reportersOf(now.Add(reporterLife-1), "p"))))
	require.Equal(t, addresses(first), addresses(p.elsewhere("p", 2, d.reportersOf(now.Add(reporterLife), "p"))))
	require.Len(t, p.elsewhere("q", 2, d.reportersOf(now, "q")), 2)
}

func addresses(list []netip.AddrPort) []string {
	var out []string
	for _, a := range list {
		out = append(out, a.String())
	}
	slices.Sort(out)
	return out
}

// Guards against a restarted host that is taken for its former process because
// the time of day went back meanwhile.
func TestRestartAfterTheClockWentBack(t *testing.T) {
	hosts := region(2)
	self, other := hosts[0], hosts[1]
	p := newPeers(self)
	now := time.Now()
	hear := func(h fleet.EntryHost) {
		_, err := p.hear(now, h.Name, h.Started, &beacon{Host: &h, Ready: true})
		require.NoError(t, err)
	}
	other.Started = 9000
	hear(other)
	again := other
	again.Started = 8500
	hear(again)
	require.Equal(t, []fleet.EntryHost{other}, p.live(now), "a late beacon of a former process")
	now = now.Add(processGap + time.Millisecond)
	hear(again)
	require.Equal(t, []fleet.EntryHost{again}, p.live(now))
	require.Equal(t, other.Name, p.ids[sightingID(again)])
	require.NotContains(t, p.ids, sightingID(other))
}
