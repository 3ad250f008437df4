package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

var start = time.Unix(1_700_000_000, 0)

func domainRegion(domain string) string { return domain[:1] }

// newPool returns a pool in region a, with n servers of 4 slots in each of
// the regions a and b.
func newPool(n int) (*Pool, []fleet.Server) {
	var list []fleet.Server
	for _, region := range []string{"a", "b"} {
		for i := range n {
			list = append(list, fleet.Server{
				ID: fmt.Sprintf("%s%d", region, i), Address: fmt.Sprintf("10.0.%s.%d:80", region, i), Pool: "p",
				Domain: fmt.Sprintf("%s-%d", region, i%2), Slots: 4, StartedMS: 1,
			})
		}
	}
	p := New("a")
	p.Update(start, list, 4, domainRegion)
	return p, list
}

func need(key string) Need {
	return Need{Key: key, Route: "r", Target: 200 * time.Millisecond, TimeLeft: time.Second}
}

// Guards against sending requests to a server that is draining or evacuated,
// was tried before, or is in a region that may not run them.
func TestUnusableServers(t *testing.T) {
	p, list := newPool(2)
	now := start
	n := need("k")
	n.Exclude = []string{"a0"}
	require.Equal(t, "a1", p.Pick(now, n).Server.ID)
	n.Regions = []string{"b"}
	require.Equal(t, "b", p.Pick(now, n).Server.ID[:1])
	n.Regions = []string{"c"}
	require.Equal(t, NoServer, p.Pick(now, n).Verdict)

	list[0].Draining = true
	p.Update(now, list, 4, domainRegion)
	for i := range 20 {
		require.Equal(t, "a1", p.Pick(now, need(fmt.Sprint(i))).Server.ID)
	}
	p.Evacuated = func(domain string) bool { return domain == "a-1" }
	for i := range 20 {
		require.Equal(t, "b", p.Pick(now, need(fmt.Sprint(i))).Server.ID[:1])
	}
	_, ok := p.Server(now, "a1", "h")
	require.False(t, ok, "an evacuated server accepts no requests")
}

// Guards against using an entry of another writer that names an unknown failure
// domain: it would count as a region of its own.
func TestUnknownDomain(t *testing.T) {
	p, list := newPool(1)
	odd := list[0]
	odd.ID, odd.Domain = "odd", "nowhere"
	p.Update(start, append(list, odd), 4, func(domain string) string {
		if domain == "nowhere" {
			return ""
		}
		return domainRegion(domain)
	})
	_, ok := p.Server(start, "odd", "h")
	require.False(t, ok)
	_, allSlots, regions := p.capacity()
	require.Equal(t, 8, allSlots)
	require.Equal(t, 2, regions)
}

// Guards against sending requests to a server that cannot be reached, and
// against excluding it for good.
func TestUnreachableServerRests(t *testing.T) {
	p, _ := newPool(1)
	now := start
	n := need("k")
	c := p.Pick(now, n)
	require.Equal(t, "a0", c.Server.ID)
	p.Started(now, c, n)
	p.Finished(now, c, n, Unreachable, 0)
	require.Equal(t, "b0", p.Pick(now, n).Server.ID)
	now = now.Add(minBackoff)
	c = p.Pick(now, n)
	require.Equal(t, "a0", c.Server.ID)
	p.Started(now, c, n)
	require.Equal(t, "b0", p.Pick(now, n).Server.ID, "only one request tries the server after the backoff")
	p.Finished(now, c, n, Unreachable, 0)
	require.Equal(t, "b0", p.Pick(now.Add(minBackoff), n).Server.ID, "the second backoff is longer")
	now = now.Add(2 * minBackoff)
	c = p.Pick(now, n)
	p.Started(now, c, n)
	p.Finished(now, c, n, Answered, 50*time.Millisecond)
	require.Equal(t, "a0", p.Pick(now, n).Server.ID)
	require.Equal(t, "a0", p.Pick(now, n).Server.ID)
}

// Guards against a restarted server that keeps the request counts of its
// previous process, and against counting the end of a request to that process
// for the new one.
func TestRestartedServerStartsAnew(t *testing.T) {
	p, list := newPool(1)
	n := need("k")
	old := p.Pick(start, n)
	for range 3 {
		p.Started(start, old, n)
	}
	list[0].StartedMS = 2
	p.Update(start, list, 4, domainRegion)
	c := p.Pick(start, n)
	require.Zero(t, c.Load)
	p.Started(start, c, n)
	p.Finished(start, old, n, Failed, 0)
	require.Equal(t, 1.0, p.Pick(start, n).Load)
}

// Guards against overloading a cold server: in any second the platform allows
// 1.5 times the rate plus 5 requests.
func TestColdServersGetTheirRate(t *testing.T) {
	p, list := newPool(1)
	list[0].ColdUntil = start.Add(10 * time.Second)
	p.Update(start, list, 4, domainRegion)
	var sent []time.Time
	for ms := range 8000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		n := need("k")
		c := p.Pick(now, n)
		p.Started(now, c, n)
		p.Finished(now, c, n, Answered, 10*time.Millisecond)
		if c.Server.ID == "a0" {
			sent = append(sent, now)
		}
	}
	require.Greater(t, len(sent), 20, "a cold server gets requests up to its rate")
	for i := range sent {
		inSecond := 0
		for _, at := range sent[i:] {
			if at.Sub(sent[i]) < time.Second {
				inSecond++
			}
		}
		require.LessOrEqual(t, inSecond, 7, "about half of the 11 that the platform allows per second, because two hosts may each consider the server theirs")
	}
	p.OwnsCold = func(fleet.Server) bool { return false }
	require.Equal(t, "b0", p.Pick(start, need("k")).Server.ID)
}

// Guards against preferring a server that looks idle because it fails fast.
func TestFailingServerLosesRequests(t *testing.T) {
	p, _ := newPool(2)
	now := start
	sent := map[string]int{}
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		n := need(fmt.Sprint(i % 40))
		c := p.Pick(now, n)
		p.Started(now, c, n)
		o := Answered
		if c.Server.ID == "a0" {
			o = Failed
		}
		p.Finished(now, c, n, o, 50*time.Millisecond)
		sent[c.Server.ID]++
	}
	require.Less(t, sent["a0"], 40)
	require.Greater(t, sent["a1"], 300)
}

// Guards against rejecting a route for good because the prior of its service
// time exceeds its timeout.
func TestRouteWithoutAnswersIsTried(t *testing.T) {
	p, _ := newPool(1)
	n := Need{Key: "k", Route: "new", Target: 3 * time.Second, TimeLeft: 3 * time.Second}
	require.Equal(t, Send, p.Pick(start, n).Verdict)
	for range minLearnedSamples {
		c := p.Pick(start, n)
		p.Started(start, c, n)
		p.Finished(start, c, n, Answered, 5500*time.Millisecond)
	}
	n.Key = "other"
	require.Equal(t, Send, p.Pick(start, n).Verdict, "the service time of one class says nothing about another")
}

// Guards against spending a slot on a request that cannot be answered in
// time.
func TestTooLateIsRejected(t *testing.T) {
	p, _ := newPool(1)
	n := need("k")
	for range minLearnedSamples + 1 {
		c := p.Pick(start, n)
		p.Started(start, c, n)
		p.Finished(start, c, n, Answered, 150*time.Millisecond)
	}
	n.TimeLeft = 50 * time.Millisecond
	require.Equal(t, TooLate, p.Pick(start, n).Verdict)
	n.TimeLeft = 120 * time.Millisecond
	require.Equal(t, Send, p.Pick(start, n).Verdict, "service times vary")
}

// Guards against servers that join the pool and get no requests because the
// others have the objects cached already.
func TestJoinedServersGetRequests(t *testing.T) {
	p, list := newPool(4)
	now := start
	sendRequests := func(steps int) map[string]int {
		sent := map[string]int{}
		for i := range steps {
			now = now.Add(20 * time.Millisecond)
			n := need(fmt.Sprint(i % 40))
			p.RecordRequest(now, n)
			c := p.Pick(now, n)
			p.Started(now, c, n)
			p.Finished(now, c, n, Answered, 50*time.Millisecond)
			sent[c.Server.ID]++
		}
		return sent
	}
	sendRequests(400)
	list = append(list, fleet.Server{ID: "a9", Address: "10.0.9.9:80", Pool: "p", Domain: "a-0", Slots: 4, StartedMS: 1})
	p.Update(now, list, 4, domainRegion)
	require.Positive(t, sendRequests(200)["a9"], "the new server gets requests within 4 s")
}

// Guards against weights that hold only on average: no target may ever be
// more than one request behind, apart from the offset at the start.
func TestSplitKeepsWeights(t *testing.T) {
	targets := []fleet.Target{{Pool: "x", Weight: 90}, {Pool: "y", Weight: 10}, {Pool: "z", Weight: 0}}
	for _, at := range []float64{0, 0.3, 0.99} {
		var s Split
		counts := map[string]int{}
		for i := 1; i <= 1000; i++ {
			counts[s.Next(targets, at)]++
			require.InDelta(t, 0.9*float64(i), counts["x"], 1.5)
		}
		require.Zero(t, counts["z"])
	}
}

// Guards against counting the requests of other hosts twice or not at all.
func TestPeerLoads(t *testing.T) {
	p, _ := newPool(1)
	p.RecordPeerRequests("h1", map[string]int{"a0": 2})
	p.RecordPeerRequests("h2", map[string]int{"a0": 1, "gone": 5})
	require.Equal(t, 3.0, p.Pick(start, need("k")).Load)
	p.RecordPeerRequests("h1", nil)
	require.Equal(t, 1.0, p.Pick(start, need("k")).Load)
}

// Guards against treating the servers of another region as idle, and against
// using an expired report.
func TestReportsOfOtherRegions(t *testing.T) {
	p, _ := newPool(1)
	other := New("b")
	_, list := newPool(1)
	other.Update(start, list, 4, domainRegion)
	n := need("k")
	n.Regions = []string{"a"}
	c := other.Pick(start, n)
	other.Started(start, c, n)
	p.RecordRegionReport(start, "b", other.Report(start))
	n.Regions = nil
	require.Equal(t, 1.0, p.Pick(start, n).Load, "the request of the other region is counted")
	require.Zero(t, p.Pick(start.Add(2*time.Second), n).Load)
}

// Guards against rating a server as fast because the prior of the service
// time was too high: the others would get no requests.
func TestGuessesDoNotMakeServersFast(t *testing.T) {
	p, _ := newPool(2)
	now := start
	needPreferring := func(id string, i int) Need {
		for ; ; i++ {
			if n := need(fmt.Sprint(i)); p.preferredServer(n, true).ID == id {
				return n
			}
		}
	}
	for i := range 4 {
		n := needPreferring("a0", 1000*i)
		c := p.Pick(now, n)
		require.Equal(t, "a0", c.Server.ID)
		p.Started(now, c, n)
		p.Finished(now, c, n, Answered, time.Millisecond)
	}
	require.Equal(t, "a1", p.Pick(now, needPreferring("a1", 0)).Server.ID)
}
