package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
)

var (
	good = Outcome{Kind: OK, Service: 10 * time.Millisecond}
	bad  = Outcome{Kind: Failed}
)

const afterWarmUp = time.Minute

// tracker returns a Tracker with n servers s0, s1, ... whose warm-up is over.
func tracker(n int) (*Tracker, time.Time) {
	t := New(Config{WarmUp: 10 * time.Second, Rand: rand.New(rand.NewPCG(1, 2))})
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("s", i))
	}
	t.SetServers(vtime.Epoch, names)
	return t, vtime.Epoch.Add(afterWarmUp)
}

func fail(tr *Tracker, now time.Time, name string, times int) {
	for range times {
		tr.Report(now, name, bad)
	}
}

// timeOutOfService returns how long the server stays out of service.
func timeOutOfService(tr *Tracker, now time.Time, name string) time.Duration {
	d := time.Duration(0)
	for !tr.Usable(now.Add(d), name) && d < 10*time.Minute {
		d += 100 * time.Millisecond
	}
	return d
}

// TestEjection guards against a failing server that stays in service, against
// ejection times that do not grow or that grow without an upper bound.
func TestEjection(t *testing.T) {
	tr, now := tracker(4)
	fail(tr, now, "s0", failuresToEject-1)
	tr.Report(now, "s0", good)
	fail(tr, now, "s0", failuresToEject-1)
	require.True(t, tr.Usable(now, "s0"), "failures were not consecutive")
	fail(tr, now, "s0", 1)
	for _, want := range []float64{5, 10, 20, 40, 60, 60} {
		out := timeOutOfService(tr, now, "s0")
		assert.InEpsilon(t, want, out.Seconds(), ejectJitter/2+0.03)
		now = now.Add(out)
		tr.Started(now, "s0")
		tr.Report(now, "s0", bad)
	}
	assert.True(t, tr.Dump(now).Servers[0].Ejected)
}

// TestHalfOpen guards against full traffic to a server whose ejection has just
// ended, and against restoring a server without slow start.
func TestHalfOpen(t *testing.T) {
	tr, now := tracker(4)
	fail(tr, now, "s0", failuresToEject)
	assert.Zero(t, tr.Weight(now, "s0"))
	now = now.Add(6 * time.Second)
	require.True(t, tr.Usable(now, "s0"))
	assert.Equal(t, minWeight, tr.Weight(now, "s0"))
	tr.Started(now, "s0")
	assert.False(t, tr.Usable(now, "s0"), "one trial request at a time")
	tr.Report(now, "s0", good)
	assert.True(t, tr.Usable(now, "s0"))
	assert.InDelta(t, minWeight, tr.Weight(now, "s0"), 0.01)
	assert.InDelta(t, 0.55, tr.Weight(now.Add(5*time.Second), "s0"), 0.01)
	assert.InDelta(t, 1, tr.Weight(now.Add(10*time.Second), "s0"), 0.01)
}

// TestPanic guards against faulty measurements that take a whole pool out of
// service.
func TestPanic(t *testing.T) {
	tr, now := tracker(4)
	fail(tr, now, "s0", failuresToEject)
	fail(tr, now, "s1", failuresToEject)
	require.False(t, tr.Usable(now, "s0"))
	fail(tr, now, "s2", failuresToEject)
	for i := range 4 {
		assert.True(t, tr.Usable(now, fmt.Sprint("s", i)))
		assert.Equal(t, 1.0, tr.Weight(now, fmt.Sprint("s", i)))
	}
	for range successesToRestore {
		tr.Report(now, "s1", good)
	}
	assert.False(t, tr.Usable(now, "s0"), "s1 is good again, so the panic is over")
	assert.True(t, tr.Usable(now, "s1"))
}

// TestOutlier guards against a server that fails often but never three times in
// a row, and against ejecting servers when all of them fail alike.
func TestOutlier(t *testing.T) {
	for _, c := range []struct {
		others int // one of this many requests to the other servers fails
		usable bool
	}{{1000, false}, {2, true}} {
		tr, now := tracker(4)
		for i := range 400 {
			now = now.Add(5 * time.Millisecond)
			for s := 1; s < 4; s++ {
				tr.Report(now, fmt.Sprint("s", s), map[bool]Outcome{true: bad, false: good}[i%c.others == 1])
			}
			tr.Report(now, "s0", map[bool]Outcome{true: bad, false: good}[i%2 == 0])
		}
		assert.Equal(t, c.usable, !tr.Dump(now).Servers[0].Ejected)
	}
}

// TestProbesAndRealAnswers guards against health endpoints that report good health
// while requests fail, or bad health while requests succeed.
func TestProbesAndRealAnswers(t *testing.T) {
	tr, now := tracker(4)
	fail(tr, now, "s0", failuresToEject)
	for range 10 {
		now = now.Add(time.Second)
		tr.Probed(now, "s0", ProbeResult{Outcome: good})
		assert.True(t, tr.Dump(now).Servers[0].Ejected, "a good probe does not restore")
	}
	for range 10 {
		now = now.Add(time.Second)
		tr.Report(now, "s1", good)
		for range failuresToEject {
			tr.Probed(now, "s1", ProbeResult{Outcome: bad, Load: 1})
		}
		assert.True(t, tr.Usable(now, "s1"), "a bad probe does not eject")
	}
	for range failuresToEject {
		now = now.Add(ProbeEvery)
		tr.Probed(now, "s2", ProbeResult{Outcome: bad})
	}
	assert.False(t, tr.Usable(now, "s2"), "without real answers probes count")
	tr.Probed(now, "s2", ProbeResult{Outcome: good})
	assert.True(t, tr.Usable(now, "s2"))
}

// TestNextProbes guards against probes of servers that answer requests and
// against more than one probe of a server within ProbeEvery.
func TestNextProbes(t *testing.T) {
	tr, now := tracker(2)
	probes := map[string]int{}
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		tr.Report(now, "s1", good)
		for _, s := range tr.NextProbes(now) {
			probes[s]++
		}
	}
	assert.Zero(t, probes["s1"])
	assert.InDelta(t, time.Minute/ProbeEvery, probes["s0"], 1)
}

// TestDecay guards against a server that stays out of service because nothing
// measures it any more.
func TestDecay(t *testing.T) {
	tr, now := tracker(4)
	for range 3 {
		now = now.Add(ProbeEvery)
		tr.Probed(now, "s0", ProbeResult{Outcome: bad})
	}
	require.True(t, tr.Dump(now).Servers[0].Ejected)
	now = now.Add(10*time.Second + staleEjectionAfter)
	assert.False(t, tr.Dump(now).Servers[0].Ejected)
	assert.InDelta(t, minWeight, tr.Weight(now, "s0"), 0.01)
}

func BenchmarkUsableWeight(b *testing.B) {
	tr, now := tracker(16)
	b.ReportAllocs()
	for b.Loop() {
		tr.Usable(now, "s3")
		tr.Weight(now, "s3")
	}
}

func BenchmarkReport(b *testing.B) {
	tr, now := tracker(16)
	b.ReportAllocs()
	for b.Loop() {
		tr.Report(now, "s3", good)
	}
}

// Guards against a dispatcher that takes over from another host and gives warm
// servers only a tenth of their slots because it has no state for them yet.
func TestWarmServersHaveFullWeight(t *testing.T) {
	tr := New(Config{WarmUp: 10 * time.Second})
	tr.SetWarmServers(vtime.Epoch, []string{"a"})
	require.InDelta(t, 1, tr.Weight(vtime.Epoch, "a"), 1e-9)
	cold := New(Config{WarmUp: 10 * time.Second})
	cold.SetServers(vtime.Epoch, []string{"a"})
	require.InDelta(t, minWeight, cold.Weight(vtime.Epoch, "a"), 1e-9)
}
