package placing

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// wave is a regional wave of demand around 1.
func wave(phase float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 { return 1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/36+phase)) }
}

// stockLoad is the load of a pool for quick look-ups and urgent charges at an
// average of 60% of the slots if objects are known, and twice the slots if not.
// The regions have uneven numbers of servers and waves of different phases.
func stockLoad(policy string, seed uint64) labConfig {
	return labConfig{
		seed: seed, policy: policy, slots: 9, keeps: 130, known: 0.3, length: 32 * time.Second,
		regions: []labRegion{{4, wave(0)}, {6, wave(0.33)}, {2, wave(0.67)}},
		routes: []labRoute{
			{"look-up", 200, 268 * time.Millisecond, 250 * time.Millisecond, 1200 * time.Millisecond, 1, 124},
			{"charge", 15, 188 * time.Millisecond, 200 * time.Millisecond, time.Second, 0, 32},
		},
	}
}

// ledgerLoad is a pool shared by urgent charges and long reads; the reads come
// at a multiple of what fits between the seconds 8 and 14.
func ledgerLoad(policy string, seed uint64, flood float64) labConfig {
	burst := func(at time.Duration) float64 {
		if at > 8*time.Second && at < 14*time.Second {
			return flood
		}
		return 1
	}
	flat := func(time.Duration) float64 { return 1 }
	c := labConfig{
		seed: seed, policy: policy, slots: 9, keeps: 59, known: 0.3, length: 24 * time.Second,
		regions: []labRegion{{4, flat}, {4, flat}, {4, flat}},
		routes: []labRoute{
			{"charge", 54, 188 * time.Millisecond, 200 * time.Millisecond, time.Second, 0, 32},
			{"read", 45, 1080 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second, 2, 25},
		},
	}
	for i := range c.regions {
		c.regions[i].demand = burst
	}
	return c
}

// Guards against losing the objects that servers know: the same load, placed by
// load alone, needs more slots than there are.
func TestKnownObjectsCarryTheLoad(t *testing.T) {
	for seed := range seeds(3) {
		got := newLab(stockLoad("dispatch", seed)).run()
		least := newLab(stockLoad("least-loaded", seed)).run()
		turns := newLab(stockLoad("round-robin", seed)).run()
		for _, route := range []string{"look-up", "charge"} {
			t.Logf("seed %d %s: dispatch: %v", seed, route, got[route])
			t.Logf("seed %d %s: least loaded: %v", seed, route, least[route])
			t.Logf("seed %d %s: round robin: %v", seed, route, turns[route])
			// At 60% of the slots nearly all requests should meet their target; the
			// first touch of each object cannot.
			require.Greater(t, got[route].share(), 0.85, "seed %d %s", seed, route)
			require.Greater(t, got[route].share(), least[route].share()+0.1, "seed %d %s", seed, route)
			require.Greater(t, got[route].share(), turns[route].share()+0.1, "seed %d %s", seed, route)
		}
	}
}

// Guards against urgent work that waits behind a flood of patient work, and
// against a flood that starves the patient work altogether.
func TestFloodOfPatientWork(t *testing.T) {
	for _, flood := range []float64{2.3, 5} {
		for seed := range seeds(3) {
			got := newLab(ledgerLoad("dispatch", seed, flood)).run()
			least := newLab(ledgerLoad("least-loaded", seed, flood)).run()
			t.Logf("flood %.1f seed %d charge: dispatch: %v", flood, seed, got["charge"])
			t.Logf("flood %.1f seed %d charge: least loaded: %v", flood, seed, least["charge"])
			t.Logf("flood %.1f seed %d read: dispatch: %v", flood, seed, got["read"])
			t.Logf("flood %.1f seed %d read: least loaded: %v", flood, seed, least["read"])
			require.Greater(t, got["charge"].share(), 0.85)
			// What cannot be served is rejected at once. Those in line when the flood
			// ends or begins may be mistaken.
			require.Less(t, float64(got["read"].held), 0.1*float64(got["read"].asked))
			require.Greater(t, got["charge"].share(), least["charge"].share())
			// The platform's gate: no kind is served less than a quarter as often as
			// all requests.
			require.Greater(t, float64(got["read"].inTarget+got["read"].late)/float64(got["read"].asked), 0.25)
		}
	}
}

// Guards against a wave that throws a region's work into the others: the
// platform allows a change of 0.15 between windows of 2 s.
func TestWavesShiftSlowly(t *testing.T) {
	for seed := range seeds(5) {
		l := newLab(stockLoad("dispatch", seed))
		l.run()
		worst := l.largestShift(1)
		t.Logf("seed %d: %.3f in %s", seed, worst, l.worstAt)
		require.Less(t, worst, 0.15, "seed %d", seed)
	}
}

// Guards against a loss of known objects when servers leave: the objects of the
// others stay where they are.
func TestLostServersMoveOnlyTheirObjects(t *testing.T) {
	c := stockLoad("dispatch", 1)
	c.gone = map[int]time.Duration{0: 12 * time.Second, 5: 12 * time.Second}
	whole := newLab(stockLoad("dispatch", 1)).run()
	got := newLab(c).run()
	t.Logf("all servers: %v", whole["look-up"])
	t.Logf("2 of 12 lost: %v", got["look-up"])
	// Two servers of twelve know a sixth of the objects. Each object costs at
	// least one long run at its next server, and the keys of two regions move.
	extra := got["look-up"].coldTime - whole["look-up"].coldTime
	require.Less(t, extra, time.Duration(372)*268*time.Millisecond)
	require.Greater(t, got["look-up"].share(), 0.8)
}

// Guards against entry hosts that spread objects over servers that do not know
// them after all hosts were restarted: the servers still know theirs.
func TestRestartedDispatchersFindKnownObjects(t *testing.T) {
	for seed := range seeds(3) {
		c := stockLoad("dispatch", seed)
		c.restart, c.length = 16*time.Second, 19*time.Second
		after := newLab(c).run()
		c.restart = 0
		kept := newLab(c).run()
		t.Logf("seed %d, 3 s after the restart: %v", seed, after["look-up"])
		t.Logf("seed %d, 19 s without one: %v", seed, kept["look-up"])
		// The same as hosts that know which server knows what, but for chance.
		require.Greater(t, after["look-up"].share(), kept["look-up"].share()-0.02)
	}
}

// seeds returns the number of seeds to play: one in short runs.
func seeds(n uint64) uint64 {
	if testing.Short() {
		return 1
	}
	return n
}
