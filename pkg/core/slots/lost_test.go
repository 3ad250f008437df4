package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against two sides of a partition that together grant more requests to
// a server than it has slots, or that both withhold the same slot.
func TestSidesShareSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, slots := rapid.IntRange(1, 4).Draw(t, "servers"), rapid.IntRange(1, 8).Draw(t, "slots")
		hosts := []string{"h1", "h2", "h3", "h4", "h5"}[:rapid.IntRange(2, 5).Draw(t, "hosts")]
		cut := rapid.IntRange(1, len(hosts)-1).Draw(t, "cut")
		granted := map[string]int{}
		for _, side := range [][2][]string{{hosts[:cut], hosts[cut:]}, {hosts[cut:], hosts[:cut]}} {
			d := New(Config{Pool: testPool(servers, slots), Domain: "agadir-1", Self: side[0][0], Epoch: 1})
			d.Recover(at(0), hosts)
			for _, h := range side[1] {
				d.HostGone(at(0), h)
			}
			for _, h := range side[0] {
				d.HandleHeld(at(0), h, nil)
			}
			d.Tick(at(time.Second))
			d.Tick(at(RecoverWait))
			for id := range uint64(64) {
				r := Request{ID: id, Host: side[0][0], Group: fmt.Sprint(id), Deadline: at(time.Minute)}
				for _, x := range d.Offer(at(RecoverWait), r) {
					if x.Kind == Granted {
						granted[x.Grant.Server]++
					}
				}
			}
		}
		require.Len(t, granted, servers)
		for s, n := range granted {
			require.Equal(t, slots, n, s)
		}
	})
}

// Guards against granting a lost host's share while the host may run requests,
// and against withholding it forever or after the host has sent a message.
func TestLostShare(t *testing.T) {
	start := func() *Dispatcher {
		d := newTest(1, 4, nil)
		for _, h := range fourHosts {
			d.HostLive(h)
		}
		d.Offer(at(0), Request{ID: 1, Host: "h4", Group: "g", Deadline: at(time.Second)})
		d.HostGone(at(0), "h4")
		return d
	}
	free := func(d *Dispatcher, when time.Duration) int {
		d.Tick(at(when))
		return d.Headroom(at(when)).Free
	}
	d := start()
	require.Equal(t, 3, free(d, 0), "the share of h4 is the slot that it uses")
	// Here and below, a zero lastTick keeps the jump in time from counting as a
	// pause of the dispatcher.
	d.lastTick = time.Time{}
	require.Equal(t, 3, free(d, 2*time.Second), "the grant expired, the share stays")
	d.HostLive("h4")
	d.HostGone(at(2*time.Second), "h4")
	d.lastTick = time.Time{}
	require.Equal(t, 3, free(d, LostHold-1), "repeated notices don't extend the time")
	require.Equal(t, 4, free(d, LostHold))
	fill(t, d, at(LostHold), 2, 1)
	d.Release(at(LostHold), "h1", 2, Outcome{Kind: Shed, Service: time.Hour})
	d.endCooldowns(at(2 * LostHold))
	d.lastTick = time.Time{}
	require.Equal(t, 3, free(d, LostHold+2*ShedRestore), "h4 uses its share")
	d.lastTick = time.Time{}
	require.Equal(t, 4, free(d, 2*LostHold))

	d = start()
	d.Release(at(1), "h4", 1, Outcome{Service: 1})
	require.Equal(t, 3, free(d, 2))
	d.HandleHeld(at(3), "h4", nil)
	require.Equal(t, 4, free(d, 3), "h4 is back")

	d = start()
	d.HostEnded(at(1), "h4")
	require.Equal(t, 3, free(d, 1), "the request may still run")
	d.lastTick = time.Time{}
	require.Equal(t, 4, free(d, 2*time.Second))
}

// Guards against a dispatcher that keeps sending requests to a server whose
// slots are used by others, and against an allowance that does not recover.
func TestShedLowersAllowance(t *testing.T) {
	d := newTest(1, 3, nil)
	for i := range uint64(4) {
		now := at(time.Duration(i) * time.Millisecond)
		fill(t, d, now, i, 1)
		d.Release(now, "h1", i, Outcome{Kind: Shed, Service: time.Hour})
		d.endCooldowns(at(time.Hour))
		require.Equal(t, max(1, 2-int(i)), d.Headroom(now).Slots)
	}
	require.Equal(t, 2, d.Headroom(at(ShedRestore)).Slots)
	require.Equal(t, 3, d.Headroom(at(2*ShedRestore)).Slots)
}
