package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return t0.Add(d) }

func testPool(servers, slots int) tables.Pool {
	p := tables.Pool{Name: "stock", Slots: slots, Queue: 16}
	for i := range servers {
		p.Servers = append(p.Servers, tables.Server{Address: fmt.Sprintf("10.0.0.%d:80", i+1), Domain: "agadir-1"})
	}
	return p
}

func newTest(servers, slots int, h Health) *Dispatcher {
	return New(Config{Pool: testPool(servers, slots), Domain: "agadir-1", Self: "h1", Epoch: 1, Health: h})
}

func request(id uint64, rank int) Request {
	return Request{ID: id, Host: "h1", Rank: rank, Group: "g", Deadline: at(2 * time.Second)}
}

// only checks that ds holds a single decision and returns it.
func only(t *testing.T, ds []Decision) Decision {
	t.Helper()
	require.Len(t, ds, 1)
	return ds[0]
}

// Guards against grants beyond a server's slots and against uneven use of the
// servers.
func TestGrantsFillServersEvenly(t *testing.T) {
	d := newTest(3, 2, nil)
	used := map[string]int{}
	for id := range uint64(6) {
		g := only(t, d.Offer(at(0), request(id, 0)))
		require.Equal(t, Granted, g.Kind)
		used[g.Grant.Server]++
	}
	require.Equal(t, map[string]int{"10.0.0.1:80": 2, "10.0.0.2:80": 2, "10.0.0.3:80": 2}, used)
	require.Empty(t, d.Offer(at(0), request(7, 0)))
	next := only(t, d.Release(at(time.Millisecond), "h1", 0, Outcome{Service: time.Millisecond}))
	require.Equal(t, uint64(7), next.ID)
	require.True(t, next.Grant.Valid(at(2999*time.Millisecond)))
	require.False(t, next.Grant.Valid(at(3*time.Second)))
}

// Guards against a request that waits although the pool has no server.
func TestNoServer(t *testing.T) {
	d := newTest(0, 2, nil)
	r := only(t, d.Offer(at(0), request(1, 0)))
	require.Equal(t, result.NoHealthyServer, r.Err.Code)
	require.Equal(t, result.NotRun, r.Err.Run)
	require.Positive(t, r.Err.RetryAfter)
}

// fill acquires n slots for host h1, with request ids starting at first.
func fill(t *testing.T, d *Dispatcher, now time.Time, first uint64, n int) []Grant {
	t.Helper()
	var out []Grant
	for i := range uint64(n) {
		ds := d.Offer(now, Request{ID: first + i, Host: "h1", Group: "g", Deadline: now.Add(2 * time.Second)})
		g := only(t, ds)
		require.Equal(t, Granted, g.Kind)
		out = append(out, g.Grant)
	}
	return out
}

// Guards against a server that attracts traffic because it fails fast and so
// seems to be free.
func TestFastFailureHoldsSlot(t *testing.T) {
	d := newTest(1, 1, nil)
	fill(t, d, at(0), 1, 1)
	require.Empty(t, d.Offer(at(0), request(2, 0)))
	require.Empty(t, d.Release(at(time.Millisecond), "h1", 1, Outcome{Kind: Failed, Service: time.Millisecond}))
	require.Equal(t, 1, d.Headroom(at(time.Millisecond)).Held)
	require.Empty(t, d.Tick(at(49*time.Millisecond)), "the typical service time is 50 ms")
	require.Equal(t, Granted, only(t, d.Tick(at(50*time.Millisecond))).Kind)
}

// Guards against new work for draining and removed servers, against ending
// their running requests, and against full load on a server that warms up.
func TestSetPoolDrainsAndWarmsUp(t *testing.T) {
	p := testPool(2, 4)
	d := newTest(2, 4, nil)
	running := fill(t, d, at(0), 1, 2)
	p.Servers[0].Drain = true
	d.SetPool(at(0), p)
	for _, g := range fill(t, d, at(0), 10, 3) {
		require.Equal(t, p.Servers[1].Address, g.Server)
	}
	require.Empty(t, d.Offer(at(0), request(20, 0)), "the draining server takes nothing")
	require.Equal(t, Granted, only(t, d.Release(at(0), "h1", running[1].ID, Outcome{Service: time.Millisecond})).Kind)
	require.Equal(t, 5, d.Headroom(at(0)).Running, "running work stays")

	p.Servers[0].Drain = false
	d.SetPool(at(time.Second), p)
	// The default warm-up takes 10 s.
	require.Equal(t, 4+1, d.Headroom(at(time.Second)).Slots)
	require.Equal(t, 4+2, d.Headroom(at(6*time.Second)).Slots)
	require.Equal(t, 4+4, d.Headroom(at(11*time.Second)).Slots)

	p.Servers = p.Servers[1:]
	d.SetPool(at(time.Second), p)
	require.Len(t, d.Dump().Servers, 2, "a removed server stays until its work is done")
	d.Release(at(time.Second), "h1", running[0].ID, Outcome{Service: time.Second})
	d.Tick(at(time.Second))
	require.Len(t, d.Dump().Servers, 1)
}

// Guards against a retry on the server that has just failed, and against a
// retry that waits forever because there is no other server.
func TestExclude(t *testing.T) {
	d := newTest(2, 1, nil)
	first := fill(t, d, at(0), 1, 1)[0]
	other := fill(t, d, at(0), 2, 1)[0]
	retry := request(3, 0)
	retry.Exclude = []string{first.Server}
	require.Empty(t, d.Offer(at(0), retry))
	require.Empty(t, d.Release(at(0), "h1", 1, Outcome{Service: time.Second}), "waits for the other server")
	require.Equal(t, other.Server, only(t, d.Release(at(0), "h1", 2, Outcome{Service: time.Second})).Grant.Server)

	single := newTest(1, 1, nil)
	retry.Exclude = []string{"10.0.0.1:80"}
	require.Equal(t, Granted, only(t, single.Offer(at(0), retry)).Kind)
}

// halfWeight gives one server half of its slots and another none.
type halfWeight struct{ half, down string }

func (h halfWeight) Usable(_ time.Time, s string) bool { return s != h.down }
func (h halfWeight) Weight(_ time.Time, s string) float64 {
	if s == h.half {
		return 0.5
	}
	return 1
}
func (halfWeight) Report(time.Time, string, Outcome) {}

// Guards against ignoring health, and against non-idempotent work on a server
// of reduced weight while another has a free slot.
func TestHealthLimitsServers(t *testing.T) {
	d := newTest(3, 4, halfWeight{half: "10.0.0.1:80", down: "10.0.0.2:80"})
	require.Equal(t, 2+4, d.Headroom(at(0)).Slots)
	for id := range uint64(4) {
		r := request(id, 1)
		r.Once = true
		require.Equal(t, "10.0.0.3:80", only(t, d.Offer(at(0), r)).Grant.Server)
	}
	require.Equal(t, "10.0.0.1:80", only(t, d.Offer(at(0), request(10, 0))).Grant.Server)
}

// Guards against slots that stay in use after a release was lost or a host
// died.
func TestGrantsExpire(t *testing.T) {
	d := newTest(1, 1, nil)
	fill(t, d, at(0), 1, 1)
	late := request(2, 0)
	late.Deadline = at(4 * time.Second)
	require.Empty(t, d.Offer(at(time.Second), late))
	for step := range 20 {
		require.Empty(t, d.Tick(at(time.Duration(step+10)*100*time.Millisecond)))
	}
	require.Equal(t, uint64(2), only(t, d.Tick(at(3*time.Second))).ID)
}

// Guards against grants to hosts that are gone, and against queueing or
// granting a repeated request twice.
func TestHostGoneAndRepeatedOffer(t *testing.T) {
	d := newTest(1, 1, nil)
	g := fill(t, d, at(0), 1, 1)[0]
	require.Equal(t, g, only(t, d.Offer(at(0), request(1, 0))).Grant, "the answer was lost")
	gone := request(2, 0)
	gone.Host = "h2"
	d.Offer(at(0), gone)
	d.Offer(at(0), gone)
	require.Equal(t, 1, d.Headroom(at(0)).Queued[0])
	d.HostGone(at(0), "h2")
	require.Empty(t, d.Release(at(0), "h1", 1, Outcome{Service: time.Second}))
}

// Guards against lending slots that are reserved or in use, and against using
// a lent slot for local requests.
func TestLend(t *testing.T) {
	d := newTest(2, 2, nil)
	require.Equal(t, 3, d.Lend(at(0), 10), "a reserve stays")
	fill(t, d, at(0), 1, 1)
	require.Empty(t, d.Offer(at(0), request(2, 0)))
	credit := request(3, 0)
	credit.Credit = true
	require.Equal(t, uint64(3), only(t, d.Offer(at(0), credit)).ID)
	require.Equal(t, 2, d.Headroom(at(0)).Lent)
	require.Equal(t, uint64(2), only(t, d.Unlend(at(0), 1)).ID)
	require.Zero(t, d.Lend(at(0), 1))
}

// Guards against a planned drain of a domain that takes away all slots at once
// although work can move to other domains only under the shift cap, and against
// a draining server that gets work for longer than DrainRamp or while another
// server could take it.
func TestLastServersDrainOverTime(t *testing.T) {
	p := tables.Pool{Name: "p", Slots: 4, Servers: []tables.Server{
		{Address: "a", Domain: "d"}, {Address: "b", Domain: "d"},
	}}
	d := New(Config{Pool: p, Domain: "d", Self: "h"})
	drain := func(now time.Time, a, b bool) int {
		q := p
		q.Servers = []tables.Server{{Address: "a", Domain: "d", Drain: a}, {Address: "b", Domain: "d", Drain: b}}
		d.SetPool(now, q)
		return d.Headroom(now).Slots
	}
	now := at(0)
	require.Equal(t, 8, d.Headroom(now).Slots)
	require.Equal(t, 4, drain(now, true, false), "the other server takes the work")
	require.Equal(t, 4+4, drain(now, true, true), "both have just begun to drain")
	d.Tick(now.Add(DrainRamp / 2))
	require.Equal(t, 4, d.Headroom(now.Add(DrainRamp/2)).Slots)
	require.Zero(t, d.Headroom(now.Add(DrainRamp)).Slots)
}
