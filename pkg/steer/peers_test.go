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

// regionHosts returns n hosts of one region with three failure domains.
func regionHosts(n int) []fleet.EntryHost {
	var out []fleet.EntryHost
	for i := range n {
		out = append(out, fleet.EntryHost{
			Name: fmt.Sprintf("entry-%d", i), Domain: fmt.Sprintf("a-%d", i%3), Region: "a", PeerAddress: fmt.Sprintf("127.0.%d.%d:7200", i/200, i%200+1),
			CallerAddress: "127.0.0.1:80", StartedMS: int64(i + 1),
		})
	}
	return out
}

// newPeersWith returns the peers of self with the given published hosts.
func newPeersWith(t *testing.T, self fleet.EntryHost, hosts []fleet.EntryHost) *peers {
	t.Helper()
	p := newPeers(self)
	for _, h := range hosts {
		require.NoError(t, p.addPublished(h))
	}
	return p
}

// exchangeMessages delivers one round of beacons and digests between hosts.
// peersByHost holds the peers of each host by its name.
func exchangeMessages(t *testing.T, now time.Time, peersByHost map[string]*peers, hosts []fleet.EntryHost) {
	t.Helper()
	byAddress := map[string]*peers{}
	for _, h := range hosts {
		byAddress[h.PeerAddress] = peersByHost[h.Name]
	}
	for _, h := range hosts {
		for _, near := range []bool{true, false} {
			for _, to := range peersByHost[h.Name].beaconTargets(now, near) {
				if other := byAddress[to.String()]; other != nil {
					known, err := other.recordBeacon(now, h.Name, h.StartedMS, &beacon{Host: &h, Ready: true})
					require.NoError(t, err)
					require.True(t, known)
				}
			}
		}
	}
	for _, h := range hosts {
		sightings, joined, to := peersByHost[h.Name].digest(now, false, true)
		for _, address := range to {
			other := byAddress[address.String()]
			if other == nil {
				continue
			}
			for _, j := range joined {
				require.NoError(t, other.addPublished(j))
			}
			other.applyDigest(now, sightings)
		}
	}
}

// Guards against digests from which hosts of other groups do not learn that a host
// is alive, has stopped or has restarted, and against groups that grow with the
// region, because the number of messages grows with the group.
func TestDigestsBetweenGroups(t *testing.T) {
	hosts := regionHosts(200)
	peersByHost := map[string]*peers{}
	for _, h := range hosts {
		peersByHost[h.Name] = newPeersWith(t, h, hosts)
	}
	now := time.Now()
	exchangeMessages(t, now, peersByHost, hosts)
	for _, h := range hosts {
		require.Equal(t, len(hosts)-1, len(peersByHost[h.Name].live(now)))
		require.Less(t, peersByHost[h.Name].groupSize(), 50)
	}
	// Two hosts stop, and one of them restarts with a new start time.
	stopped, restarted := hosts[0], hosts[1]
	restarted.StartedMS = 1000
	running := append([]fleet.EntryHost{restarted}, hosts[2:]...)
	peersByHost[restarted.Name] = newPeersWith(t, restarted, hosts)
	for step := 0; step < 12; step++ {
		now = now.Add(digestInterval)
		exchangeMessages(t, now, peersByHost, running)
	}
	for _, h := range running {
		live := peersByHost[h.Name].live(now)
		require.Equal(t, len(running)-1, len(live), h.Name)
		for _, other := range live {
			require.NotEqual(t, stopped.Name, other.Name)
			if other.Name == restarted.Name {
				require.Equal(t, restarted.StartedMS, other.StartedMS)
			}
		}
	}
}

// Guards against an unknown host in a digest that is not reported, so that the
// published hosts would not be read again.
func TestUnknownHostIsNoticed(t *testing.T) {
	hosts := regionHosts(60)
	p := newPeersWith(t, hosts[0], hosts[:59])
	now := time.Now()
	require.False(t, p.applyDigest(now, []sighting{{ID: sightingID(hosts[5])}, {ID: sightingID(hosts[0])}}))
	require.True(t, p.applyDigest(now, []sighting{{ID: sightingID(hosts[59])}}))
}

// Guards against a beacon without a description of its sender that is attributed to
// another process of the same name, and against one from an unknown process that is
// not reported as unknown, so that the sender would not be answered.
func TestBeaconsWithoutDescription(t *testing.T) {
	hosts := regionHosts(3)
	self, other := hosts[0], hosts[1]
	p := newPeers(self)
	now := time.Now()
	recordBeacon := func(startedMS int64, described *fleet.EntryHost) bool {
		known, err := p.recordBeacon(now, other.Name, startedMS, &beacon{Host: described, Ready: true})
		require.NoError(t, err)
		return known
	}
	require.False(t, recordBeacon(other.StartedMS, nil), "the sender was never described")
	require.Empty(t, p.live(now))
	require.True(t, recordBeacon(other.StartedMS, &other))
	require.Len(t, p.live(now), 1)
	require.True(t, p.recentJoin(now), "beacons must describe their senders to the new host")
	require.False(t, p.recentJoin(now.Add(joinPeriod+time.Second)))
	require.True(t, recordBeacon(other.StartedMS-1, nil), "a delayed beacon of the previous process")
	now = now.Add(time.Minute)
	require.False(t, recordBeacon(other.StartedMS-1, nil), "too late for a delayed beacon: a new process after the clock was set back")
	require.Empty(t, p.live(now))
	require.False(t, recordBeacon(other.StartedMS+1, nil), "a newer process that was not described")
	require.True(t, recordBeacon(other.StartedMS, nil))
	require.Len(t, p.live(now), 1)
}

// Guards against reports to hosts of another region that do not dispatch the pool,
// and against a region that gets no reports after its dispatcher is gone.
func TestReportsGoToTheDispatcher(t *testing.T) {
	hosts := regionHosts(12)
	for i := 6; i < 12; i++ {
		hosts[i].Region, hosts[i].Domain, hosts[i].Capacity = "b", "b-1", 1
	}
	p := newPeersWith(t, hosts[0], hosts)
	first := p.reportTargets("p", 2, nil)
	require.Len(t, first, 2)
	d := newDispatchState(1)
	now := time.Now()
	d.reporters[reporterKey{"p", "b"}] = reporter{"entry-9", now}
	require.Equal(t, []string{hosts[9].PeerAddress}, addresses(p.reportTargets("p", 2, d.reportersOf(now.Add(reporterLife-1), "p"))))
	require.Equal(t, addresses(first), addresses(p.reportTargets("p", 2, d.reportersOf(now.Add(reporterLife), "p"))))
	require.Len(t, p.reportTargets("q", 2, d.reportersOf(now, "q")), 2)
}

// addresses returns the sorted texts of a list of addresses.
func addresses(list []netip.AddrPort) []string {
	var out []string
	for _, a := range list {
		out = append(out, a.String())
	}
	slices.Sort(out)
	return out
}

// Guards against a restarted host whose beacons are taken for delayed ones of its
// previous process, because the wall clock was set back before the restart and the
// new process has the earlier start time.
func TestRestartAfterTheClockWentBack(t *testing.T) {
	hosts := regionHosts(2)
	self, other := hosts[0], hosts[1]
	p := newPeers(self)
	now := time.Now()
	recordBeacon := func(h fleet.EntryHost) {
		_, err := p.recordBeacon(now, h.Name, h.StartedMS, &beacon{Host: &h, Ready: true})
		require.NoError(t, err)
	}
	other.StartedMS = 9000
	recordBeacon(other)
	restarted := other
	restarted.StartedMS = 8500
	recordBeacon(restarted)
	require.Equal(t, []fleet.EntryHost{other}, p.live(now), "taken for a delayed beacon of the previous process")
	now = now.Add(minRestartGap + time.Millisecond)
	recordBeacon(restarted)
	require.Equal(t, []fleet.EntryHost{restarted}, p.live(now))
	require.Equal(t, other.Name, p.nameByID[sightingID(restarted)])
	require.NotContains(t, p.nameByID, sightingID(other))
}

// Guards against a host that seems to be gone because the store lists its earlier process
// again, which started later by a clock that was set back since.
func TestRestoredStoreListsEarlierProcessOfAHost(t *testing.T) {
	hosts := regionHosts(2)
	self, earlier := hosts[0], hosts[1]
	p := newPeers(self)
	now := time.Now()
	recordBeacon := func(h fleet.EntryHost) {
		_, err := p.recordBeacon(now, h.Name, h.StartedMS, &beacon{Host: &h, Ready: true})
		require.NoError(t, err)
	}
	earlier.StartedMS = 9000
	recordBeacon(earlier)
	now = now.Add(minRestartGap + time.Millisecond)
	present := earlier
	present.StartedMS = 8500
	recordBeacon(present)
	require.NoError(t, p.addPublished(earlier))
	require.Equal(t, []fleet.EntryHost{present}, p.live(now))
	later := earlier
	later.StartedMS = 9001
	require.NoError(t, p.addPublished(later))
	require.Equal(t, later, p.hosts[present.Name].host)
}

// Guards against memory that fills with hosts that do not exist: any program can send
// datagrams in which a host describes itself. Hosts that are published, or that are found to
// be published later, always become known.
func TestHostsThatAreNotPublishedAreBounded(t *testing.T) {
	now := time.Now()
	p := newPeers(fleet.EntryHost{Name: "self", Region: "a"})
	ghost := func(i int) fleet.EntryHost {
		return fleet.EntryHost{Name: fmt.Sprintf("ghost-%d", i), Region: "x", PeerAddress: "127.0.0.1:1", StartedMS: 1}
	}
	for i := range maxUnpublished {
		require.NoError(t, p.addDescribed(now, ghost(i)))
	}
	require.Error(t, p.addDescribed(now, ghost(maxUnpublished)))
	require.Equal(t, maxUnpublished+1, p.count())
	// One that is known may be replaced by its next process, and be published.
	next := ghost(0)
	next.StartedMS = 2
	require.NoError(t, p.addDescribed(now, next))
	require.NoError(t, p.addPublished(next))
	require.NoError(t, p.addDescribed(now, ghost(maxUnpublished)), "a published host no longer counts")
	for _, h := range regionHosts(700) {
		require.NoError(t, p.addPublished(h))
	}
	// Once they have been silent, they make place for others.
	later := now.Add(forgetAfter + time.Second)
	require.NoError(t, p.addDescribed(later, ghost(maxUnpublished+1)))
	require.Equal(t, 1+1+700+1, p.count())
}
