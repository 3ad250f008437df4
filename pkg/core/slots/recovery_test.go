package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

var fourHosts = []string{"h1", "h2", "h3", "h4"}

// Guards against a new dispatcher that grants slots which hosts still hold
// under grants of its predecessor.
func TestHandoverCountsHeldSlots(t *testing.T) {
	old := newTest(1, 4, nil)
	held := fill(t, old, at(0), 1, 2)

	d := newTest(1, 4, nil)
	require.Len(t, d.Recover(at(0), fourHosts), 4)
	d.HostGone(at(0), "h4")
	r := request(50, 0)
	require.Empty(t, d.Offer(at(0), r), "no host has answered")
	require.Empty(t, d.HandleHeld(at(0), "h1", held))
	require.Empty(t, d.HandleHeld(at(0), "h2", nil), "half of the hosts have not answered")
	require.Equal(t, Granted, only(t, d.HandleHeld(at(0), "h3", nil)).Kind, "one slot counts for the host that is gone")
	r.ID, r.Deadline = 51, at(5*time.Second)
	require.Empty(t, d.Offer(at(0), r))
	require.Equal(t, AskHeld, only(t, d.Tick(at(time.Second))).Kind)
	require.Empty(t, d.Tick(at(RecoverWait)), "h4 may be alive behind a partition")
	require.Equal(t, uint64(51), only(t, d.HostEnded(at(RecoverWait), "h4")).ID)
}

// Guards against grants before a live host has answered, against waiting
// forever for a host that does not answer, and against asking it only once.
func TestHandoverWaitsForLiveHosts(t *testing.T) {
	d := newTest(1, 4, nil)
	d.Recover(at(0), fourHosts)
	for _, h := range fourHosts[:3] {
		d.HandleHeld(at(0), h, nil)
	}
	require.Empty(t, d.Offer(at(0), request(1, 0)))
	again := only(t, d.Tick(at(AskPeriod)))
	require.Equal(t, AskHeld, again.Kind)
	require.Equal(t, "h4", again.Host)
	require.Equal(t, 0, d.Headroom(at(AnswerWait-1)).Free)
	require.Equal(t, 4, d.Headroom(at(RecoverWait)).Slots)
	d.Tick(at(AnswerWait))
	require.Equal(t, 2, d.Headroom(at(AnswerWait)).Free, "a quarter is withheld and one is granted")
	d.Tick(at(time.Second))
	d.Tick(at(RecoverWait))
	require.False(t, d.Headroom(at(RecoverWait)).Recovering)
	require.Equal(t, 3, d.Headroom(at(RecoverWait)).Free)
}

// Guards against two active dispatchers: a host that resumes after a pause and
// gets answers from no more than half of the hosts must grant nothing before
// RecoverWait.
func TestHandoverNeedsMostHosts(t *testing.T) {
	d := newTest(1, 4, nil)
	d.Recover(at(0), fourHosts)
	d.HandleHeld(at(0), "h1", nil)
	d.HandleHeld(at(0), "h2", nil)
	d.Tick(at(AnswerWait))
	require.Zero(t, d.Headroom(at(AnswerWait)).Free)
	d.Tick(at(time.Second))
	require.Zero(t, d.Headroom(at(time.Second)).Free)
	d.Tick(at(RecoverWait))
	require.Equal(t, 4, d.Headroom(at(RecoverWait)).Free)
}

// Guards against a dispatcher that still relies on its grants after a pause of
// its process.
func TestPauseDiscardsGrants(t *testing.T) {
	d := newTest(1, 2, nil)
	d.Tick(at(0))
	g := fill(t, d, at(0), 1, 1)[0]
	require.Empty(t, d.Tick(at(PauseLimit)), "a short gap is no pause")
	asked := only(t, d.Tick(at(2*PauseLimit+1)))
	require.Equal(t, AskHeld, asked.Kind)
	require.Greater(t, asked.Epoch, g.Epoch)
	now := at(2*PauseLimit + 1)
	require.Empty(t, d.Offer(now, Request{ID: 2, Host: "h1", Deadline: now.Add(time.Second)}))
	require.Equal(t, uint64(2), only(t, d.HandleHeld(now, "h1", []Grant{g})).ID)
	require.Equal(t, 2, d.Headroom(now).Running)
}

// Guards against a request that is sent under a grant of a replaced dispatcher
// or sent twice.
func TestHolderRefusesReplacedDispatcher(t *testing.T) {
	h := NewHolder("h1")
	g := Grant{ID: 1, By: "h1", Epoch: 5, Expiry: at(time.Second)}
	require.Equal(t, Accepted, h.Take(at(0), g))
	require.Equal(t, Duplicate, h.Take(at(0), g))
	expired := Grant{ID: 2, By: "h1", Epoch: 5, Expiry: at(0)}
	require.Equal(t, Stale, h.Take(at(0), expired))
	h.Follow("h2")
	_, ok := h.Answer(at(0), "h1", 6)
	require.False(t, ok)
	held, ok := h.Answer(at(0), "h2", 3)
	require.True(t, ok)
	require.Equal(t, []Grant{g}, held)
	g.ID = 3
	require.Equal(t, Stale, h.Take(at(0), g), "h1 was replaced")
	g.By, g.Epoch = "h2", 2
	require.Equal(t, Stale, h.Take(at(0), g), "an earlier epoch")
	g.Epoch = 3
	require.Equal(t, Accepted, h.Take(at(0), g))
	h.Done(1)
	held, _ = h.Answer(at(0), "h2", 3)
	require.Len(t, held, 1)
}

// Guards against more outstanding grants on a server than it has slots, for any
// order of calls. This also bounds the connections, because hosts open them only
// for granted requests.
func TestNeverOverSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, p := newTest(3, 3, nil), testPool(3, 3)
		now, id := at(0), uint64(0)
		outstanding := map[uint64]Grant{}
		record := func(ds []Decision) {
			for _, x := range ds {
				if x.Kind == Granted {
					outstanding[x.ID] = x.Grant
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "op") {
			case 0, 1, 2:
				id++
				record(d.Offer(now, Request{ID: id, Host: "h1", Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Group: "g",
					Deadline: now.Add(time.Hour), Credit: rapid.Bool().Draw(t, "credit")}))
			case 3:
				k := uint64(rapid.IntRange(1, 80).Draw(t, "id"))
				kind := OutcomeKind(rapid.IntRange(0, 4).Draw(t, "kind"))
				delete(outstanding, k)
				record(d.Release(now, "h1", k, Outcome{Kind: kind, Service: time.Millisecond}))
			case 4:
				p.Servers[rapid.IntRange(0, 2).Draw(t, "server")].Drain = rapid.Bool().Draw(t, "drain")
				record(d.SetPool(now, p))
			case 5:
				d.Lend(now, rapid.IntRange(0, 4).Draw(t, "lend"))
			case 6:
				record(d.Unlend(now, rapid.IntRange(0, 4).Draw(t, "unlend")))
			}
			record(d.Tick(now))
			used := map[string]int{}
			for _, g := range outstanding {
				used[g.Server]++
				require.LessOrEqual(t, used[g.Server], 3)
			}
		}
	})
}

// Guards against a per-host bound that lets all hosts together exceed the
// connection limit of a server.
func TestConnectionsPerHost(t *testing.T) {
	p := tables.Pool{Slots: 8, Connections: 100}
	for hosts := 1; hosts <= 100; hosts++ {
		n := ConnectionsPerHost(p, hosts)
		require.LessOrEqual(t, n*hosts, 100, fmt.Sprint(hosts))
		require.LessOrEqual(t, n, 8)
	}
}

// BenchmarkOfferRelease measures admission and the choice of the server for one
// request, with the servers of the largest domain of the deployments.
func BenchmarkOfferRelease(b *testing.B) {
	d := newTest(3, 8, nil)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := at(time.Duration(i) * time.Microsecond)
		d.Offer(now, Request{ID: uint64(i), Host: "h1", Group: "g", Deadline: now.Add(time.Second)})
		d.Release(now, "h1", uint64(i), Outcome{Service: time.Millisecond})
	}
}

// BenchmarkOfferReleaseQueued measures the same with a full queue of 16 caller
// groups.
func BenchmarkOfferReleaseQueued(b *testing.B) {
	p := testPool(3, 8)
	p.Queue = 256
	d := New(Config{Pool: p, Domain: "agadir-1", Self: "h1", Epoch: 1})
	groups := make([]string, 16)
	for i := range groups {
		groups[i] = fmt.Sprintf("group-%d", i)
	}
	var running []uint64
	offer := func(i int) {
		r := Request{ID: uint64(i), Host: "h1", Group: groups[i%16], Rank: i % 3, Deadline: at(time.Hour)}
		for _, x := range d.Offer(at(0), r) {
			if x.Kind == Granted {
				running = append(running, x.ID)
			}
		}
	}
	for i := range 500 {
		offer(i)
	}
	b.ReportAllocs()
	for i := 500; b.Loop(); i++ {
		next := running[0]
		running = running[1:]
		for _, x := range d.Release(at(0), "h1", next, Outcome{Service: 50 * time.Millisecond}) {
			running = append(running, x.ID)
		}
		offer(i)
	}
}
