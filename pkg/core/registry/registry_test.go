package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

var start = time.Unix(1_700_000_000, 0)

func servers(ids ...int) []fleet.Server {
	var out []fleet.Server
	for _, i := range ids {
		out = append(out, fleet.Server{ID: fmt.Sprint(i), Pool: "p", Address: fmt.Sprintf("10.0.0.%d:80", i)})
	}
	return out
}

func serverCount(r *Registry) int { n, _ := r.Counts(); return n }

// Guards against sending requests to a server that the store no longer lists.
func TestVanishedServerLeavesAtOnce(t *testing.T) {
	r := New(start)
	r.Set(start, servers(1, 2, 3, 4))
	r.Set(start.Add(10*time.Second), servers(1, 2, 3))
	require.Equal(t, 3, serverCount(r))
}

// Guards against losing a whole pool because its entries lapsed during an outage
// of the store, and against keeping servers that do not publish theirs again.
func TestEntriesLapseDuringAnOutage(t *testing.T) {
	r := New(start)
	r.Set(start, servers(1, 2, 3, 4))
	r.Observe(start.Add(3*time.Second), 3*time.Second)
	returned := start.Add(8 * time.Second)
	r.Set(returned, nil)
	require.Equal(t, 4, serverCount(r))
	r.Set(returned.Add(time.Second), servers(1, 2))
	require.False(t, r.Expire(returned.Add(1900*time.Millisecond)))
	require.Equal(t, 4, serverCount(r))
	require.True(t, r.Expire(returned.Add(2*time.Second)))
	require.Equal(t, 2, serverCount(r))
}

// Guards against keeping a server that left, because this host was late and took
// its old copy for an outage of the store. A host with a current copy knows that
// there was none.
func TestLateHostTrustsItsSource(t *testing.T) {
	now := start.Add(10 * time.Second)
	source, late := New(start), New(start)
	for _, r := range []*Registry{source, late} {
		r.Set(start, servers(1, 2, 3, 4))
	}
	source.Set(now.Add(-3*time.Second), servers(1, 2, 3))
	late.Observe(now, 4*time.Second)
	late.AdoptSinceOutage(now, source.SinceOutage(now))
	late.Set(now, servers(1, 2, 3))
	require.Equal(t, 3, serverCount(late))
}

// Guards against removing servers whose entries lapsed during an outage that this
// host did not notice itself: the host from which it fetches the list has to pass
// on the time since the outage, also if that host has only just started.
func TestSourceTellsOfAnOutage(t *testing.T) {
	returned := start.Add(10 * time.Second)
	source := New(start)
	source.Set(start, servers(1, 2, 3, 4))
	source.Observe(start.Add(5*time.Second), 5*time.Second)
	require.Zero(t, source.SinceOutage(start.Add(6*time.Second)))
	source.Set(returned, nil)
	justStarted := New(returned)
	justStarted.Set(returned, nil)
	now := returned.Add(time.Second)
	for _, from := range []*Registry{source, justStarted} {
		late := New(start)
		late.Set(start, servers(1, 2, 3, 4))
		late.AdoptSinceOutage(now, from.SinceOutage(now))
		late.Set(now, servers(1))
		require.Equal(t, 4, serverCount(late))
		late.Expire(returned.Add(reannounceGrace))
		require.Equal(t, 1, serverCount(late))
	}
}

// Guards against losing many servers at once after an outage too short to be
// detected. Servers that vanish together get a grace period; it ends before the
// platform's drain bound of 2.5 s, after which a leaving server must get no
// requests.
func TestManyServersVanishTogether(t *testing.T) {
	r := New(start)
	r.Set(start, servers(1, 2, 3, 4, 5, 6))
	at := start.Add(10 * time.Second)
	r.Set(at, servers(1, 2))
	require.Equal(t, 6, serverCount(r))
	r.Expire(at.Add(2400 * time.Millisecond))
	require.Equal(t, 2, serverCount(r))
}

// Guards against keeping a server after an outage of the store although it was
// draining, or although another server has its address now.
func TestLeavingAndReplacedServersDoNotLapse(t *testing.T) {
	r := New(start)
	list := servers(1, 2, 3, 4)
	list[0].Draining = true
	r.Set(start, list)
	r.Observe(start.Add(3*time.Second), 3*time.Second)
	other := servers(9)
	other[0].Address = list[1].Address
	r.Set(start.Add(5*time.Second), other)
	got := map[string]bool{}
	for _, s := range r.Servers()["p"] {
		got[s.ID] = true
	}
	require.Equal(t, map[string]bool{"3": true, "4": true, "9": true}, got)
}

// Guards against updating pools of which no server changed, and against missing a
// change.
func TestVersionChangesWithThePool(t *testing.T) {
	r := New(start)
	now := time.Unix(100, 0)
	list := []fleet.Server{{ID: "a", Pool: "p", Address: "1"}, {ID: "b", Pool: "q", Address: "2"}}
	r.Set(now, list)
	p, q := r.Version("p"), r.Version("q")
	r.Set(now, list)
	require.Equal(t, []int{p, q}, []int{r.Version("p"), r.Version("q")})
	list[0].Draining = true
	r.Set(now, list)
	require.NotEqual(t, p, r.Version("p"))
	require.Equal(t, q, r.Version("q"))
	p = r.Version("p")
	r.Set(now, list[1:])
	require.NotEqual(t, p, r.Version("p"), "the server left")
	p = r.Version("p")
	list[1].Pool = "p"
	r.Set(now, list[1:])
	require.NotEqual(t, p, r.Version("p"), "the server changed its pool")
	require.NotEqual(t, q, r.Version("q"))
}

// Guards against a server that left and is kept for longer than the grace period, because
// the host's copy was old again and again meanwhile.
func TestOutagesInSeriesDoNotKeepAServerThatLeft(t *testing.T) {
	r := New(start)
	r.Set(start, servers(1, 2, 3, 4))
	r.Observe(start.Add(3*time.Second), outageAge+time.Millisecond)
	left := start.Add(4 * time.Second)
	r.Set(left, servers(1, 2, 3))
	require.Equal(t, 4, serverCount(r))
	for now := left; now.Before(left.Add(reannounceGrace)); now = now.Add(400 * time.Millisecond) {
		r.Observe(now, outageAge+time.Millisecond)
		r.Set(now, servers(1, 2, 3))
	}
	require.True(t, r.Expire(left.Add(reannounceGrace)))
	require.Equal(t, 3, serverCount(r))
}

// Guards against servers that are removed too soon because the store comes back a second
// time while they have not yet published their entries again.
func TestRestoredStoreTwiceKeepsLapsedServers(t *testing.T) {
	now := start
	r := New(now.Add(-time.Hour))
	s := fleet.Server{ID: "a", Pool: "p", Address: "a:80"}
	r.Set(now, []fleet.Server{s})
	r.Restored(now)
	r.Set(now, nil)
	again := now.Add(1500 * time.Millisecond)
	r.Restored(again)
	r.Set(again, nil)
	require.False(t, r.Expire(now.Add(reannounceGrace)))
	require.False(t, r.Expire(again.Add(reannounceGrace-time.Millisecond)))
	require.True(t, r.Expire(again.Add(reannounceGrace)))
}
