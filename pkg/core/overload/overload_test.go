package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
)

// host replays requests at a process with one queue for all its work.
type host struct {
	sched *vtime.Scheduler
	rng   *rand.Rand
	guard *Guard // nil takes all requests
	queue []func() time.Duration
	busy  bool

	asked, inTime [3]int // by priority
	waits         []time.Duration
}

// Processor time of a request that is served, and of one that is rejected, at
// 0.12 cores and 0.6 ms a request.
const (
	serveTime  = 5 * time.Millisecond
	rejectTime = 1500 * time.Microsecond
	// usefulWait is what a request may wait in the process to be of use.
	usefulWait = 250 * time.Millisecond
)

func (h *host) do(work func() time.Duration) {
	h.queue = append(h.queue, work)
	if !h.busy {
		h.busy = true
		h.next()
	}
}

func (h *host) next() {
	if len(h.queue) == 0 {
		h.busy = false
		return
	}
	work := h.queue[0]
	h.queue = h.queue[1:]
	h.sched.After(work(), h.next)
}

// measure plays the measurement: what is sent after Interval is read in its turn.
func (h *host) measure() {
	h.sched.After(Interval, func() {
		sent := h.sched.Now()
		h.do(func() time.Duration {
			if h.guard != nil {
				h.guard.Measure(h.sched.Now(), h.sched.Now().Sub(sent))
			}
			h.measure()
			return 0
		})
	})
}

func (h *host) arrive(priority int) {
	at := h.sched.Now()
	h.asked[priority]++
	h.do(func() time.Duration {
		wait := h.sched.Now().Sub(at)
		h.waits = append(h.waits, wait)
		if h.guard != nil && h.guard.Rejects(priority, 3, h.rng.Float64()) {
			return rejectTime
		}
		if wait <= usefulWait {
			h.inTime[priority]++
		}
		return serveTime
	})
}

// play sends rate requests a second, of which a fifth each are of the priorities
// 0 and 2.
func play(seed uint64, guard *Guard, rate float64, length time.Duration) *host {
	h := &host{sched: vtime.New(seed), rng: rand.New(rand.NewPCG(seed, 1)), guard: guard}
	h.measure()
	var arrive func()
	arrive = func() {
		h.arrive([]int{0, 1, 1, 1, 2}[h.rng.IntN(5)])
		h.sched.After(h.sched.Exponential(time.Duration(float64(time.Second)/rate)), arrive)
	}
	h.sched.After(0, arrive)
	h.sched.RunUntil(length)
	return h
}

func (h *host) longest() time.Duration {
	longest := time.Duration(0)
	for _, w := range h.waits {
		longest = max(longest, w)
	}
	return longest
}

// Guards against requests that wait unread until their callers have left: 300
// requests a second come to a host that can serve 200. Without the guard the
// wait grows by a second every three seconds.
func TestOverloadedHostStaysPrompt(t *testing.T) {
	for seed := range uint64(10) {
		all := play(seed, nil, 300, 20*time.Second)
		require.Greater(t, all.longest(), 5*time.Second)
		h := play(seed, New(Full), 300, 20*time.Second)
		require.Less(t, h.longest(), usefulWait, "seed %d", seed)
		// 200 a second less the time of about 140 rejections.
		served := h.inTime[0] + h.inTime[1] + h.inTime[2]
		require.Greater(t, served, 20*140, "seed %d", seed)
		require.Greater(t, served, 3*(all.inTime[0]+all.inTime[1]+all.inTime[2]), "seed %d", seed)
	}
}

// Guards against urgent requests that are rejected while less urgent ones are
// served.
func TestLeastUrgentAreRejectedFirst(t *testing.T) {
	for seed := range uint64(10) {
		h := play(seed, New(Full), 300, 20*time.Second)
		share := func(p int) float64 { return float64(h.inTime[p]) / float64(h.asked[p]) }
		require.Greater(t, share(0), 0.97, "seed %d", seed)
		require.Greater(t, share(0), share(1))
		require.Greater(t, share(1), share(2))
	}
	g := New(Full)
	for range 100 {
		g.Measure(vtime.Epoch, time.Minute)
	}
	require.True(t, g.Rejects(0, 1, 0.99), "a host that is far behind rejects all")
}

// Guards against rejections by a host that has time to spare, also in bursts,
// and right after it was stopped for seconds.
func TestHostWithTimeToSpareRejectsNothing(t *testing.T) {
	for seed := range uint64(10) {
		h := play(seed, New(Full), 120, 20*time.Second)
		all := h.asked[0] + h.asked[1] + h.asked[2]
		require.GreaterOrEqual(t, float64(h.inTime[0]+h.inTime[1]+h.inTime[2]), 0.995*float64(all)-5, "seed %d", seed)
	}
	g := New(Full)
	g.Measure(vtime.Epoch, 5*time.Second)
	for range 4 {
		g.Measure(vtime.Epoch, 0)
	}
	require.False(t, g.Rejects(2, 3, 0))
}

// Guards against a process that is taken for punctual right after it was far
// behind, for longer than that matters, and in small delays.
func TestBehind(t *testing.T) {
	g := New(Full)
	now := vtime.Epoch
	g.Measure(now, latest-1)
	require.False(t, g.Behind(now))
	g.Measure(now, latest)
	require.True(t, g.Behind(now.Add(behindTime-1)))
	require.False(t, g.Behind(now.Add(behindTime)))
}
