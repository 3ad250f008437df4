package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
)

// host simulates a process that handles all its work in one queue.
type host struct {
	sched *vtime.Scheduler
	rng   *rand.Rand
	guard *Guard // nil accepts all requests
	queue []func() time.Duration
	busy  bool

	arrived, inTime [3]int // by priority
	waits           []time.Duration
}

const (
	// serveTime is how long the process is busy with a request that it serves, at
	// 0.6 ms of processor time per request and 0.12 cores.
	serveTime = 5 * time.Millisecond
	// rejectTime is how long the process is busy with a request that it rejects.
	rejectTime = 1500 * time.Microsecond
	// usefulWait is how long a request may wait in the queue for its answer to
	// still be of use to the caller.
	usefulWait = 250 * time.Millisecond
)

func (h *host) enqueue(work func() time.Duration) {
	h.queue = append(h.queue, work)
	if !h.busy {
		h.busy = true
		h.runNext()
	}
}

func (h *host) runNext() {
	if len(h.queue) == 0 {
		h.busy = false
		return
	}
	work := h.queue[0]
	h.queue = h.queue[1:]
	h.sched.After(work(), h.runNext)
}

// scheduleMeasurement starts a measurement after Interval: its lateness is the
// time that the measurement itself waits in the queue.
func (h *host) scheduleMeasurement() {
	h.sched.After(MeasureInterval, func() {
		sent := h.sched.Now()
		h.enqueue(func() time.Duration {
			if h.guard != nil {
				h.guard.Measure(h.sched.Now(), h.sched.Now().Sub(sent))
			}
			h.scheduleMeasurement()
			return 0
		})
	})
}

func (h *host) arrive(priority int) {
	at := h.sched.Now()
	h.arrived[priority]++
	h.enqueue(func() time.Duration {
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

// simulate sends rate requests per second: one fifth have priority 0, three fifths
// priority 1, and one fifth priority 2.
func simulate(seed uint64, guard *Guard, rate float64, length time.Duration) *host {
	h := &host{sched: vtime.New(seed), rng: rand.New(rand.NewPCG(seed, 1)), guard: guard}
	h.scheduleMeasurement()
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

// Guards against requests that wait unread until their callers have given up: a
// host that can serve 200 requests per second gets 300. Without the guard, the
// wait grows by one second every three seconds.
func TestOverloadedHostStaysPrompt(t *testing.T) {
	for seed := range uint64(10) {
		unguarded := simulate(seed, nil, 300, 20*time.Second)
		require.Greater(t, unguarded.longest(), 5*time.Second)
		h := simulate(seed, New(DefaultFullLateness), 300, 20*time.Second)
		require.Less(t, h.longest(), usefulWait, "seed %d", seed)
		// Without rejections, the host serves 200 requests per second. If it also
		// rejects about 140 per second, it has time to serve about 157.
		served := h.inTime[0] + h.inTime[1] + h.inTime[2]
		require.Greater(t, served, 20*140, "seed %d", seed)
		require.Greater(t, served, 3*(unguarded.inTime[0]+unguarded.inTime[1]+unguarded.inTime[2]), "seed %d", seed)
	}
}

// Guards against rejecting urgent requests while less urgent ones are served.
func TestLeastUrgentAreRejectedFirst(t *testing.T) {
	for seed := range uint64(10) {
		h := simulate(seed, New(DefaultFullLateness), 300, 20*time.Second)
		share := func(p int) float64 { return float64(h.inTime[p]) / float64(h.arrived[p]) }
		require.Greater(t, share(0), 0.97, "seed %d", seed)
		require.Greater(t, share(0), share(1))
		require.Greater(t, share(1), share(2))
	}
	g := New(DefaultFullLateness)
	for range 100 {
		g.Measure(vtime.Epoch, time.Minute)
	}
	require.True(t, g.Rejects(0, 1, 0.99), "a host that is far behind rejects all")
}

// Guards against rejections by a host with spare processor time, also during
// bursts of requests, and shortly after it was stopped for seconds.
func TestHostWithTimeToSpareRejectsNothing(t *testing.T) {
	for seed := range uint64(10) {
		h := simulate(seed, New(DefaultFullLateness), 120, 20*time.Second)
		total := h.arrived[0] + h.arrived[1] + h.arrived[2]
		require.GreaterOrEqual(t, float64(h.inTime[0]+h.inTime[1]+h.inTime[2]), 0.995*float64(total)-5, "seed %d", seed)
	}
	g := New(DefaultFullLateness)
	g.Measure(vtime.Epoch, 5*time.Second)
	for range 4 {
		g.Measure(vtime.Epoch, 0)
	}
	require.False(t, g.Rejects(2, 3, 0))
}

// Guards against a process that no longer counts as behind right after a long
// delay, against one that counts as behind for too long, and against one that does
// so after a short delay.
func TestBehind(t *testing.T) {
	g := New(DefaultFullLateness)
	now := vtime.Epoch
	g.Measure(now, maxLateness-1)
	require.False(t, g.Behind(now))
	g.Measure(now, maxLateness)
	require.True(t, g.Behind(now.Add(behindDuration-1)))
	require.False(t, g.Behind(now.Add(behindDuration)))
}

// Guards against a lateness that is forgotten at once, kept for long, or taken for more
// than the process can still be late after it was stopped for seconds.
func TestPeakLateness(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	g := New(DefaultFullLateness)
	require.Zero(t, g.Peak(now))
	g.Measure(now, 300*time.Millisecond)
	g.Measure(now.Add(50*time.Millisecond), 5*time.Millisecond)
	require.Equal(t, 300*time.Millisecond, g.Peak(now.Add(peakWindow)))
	g.Measure(now.Add(peakWindow+time.Millisecond), 5*time.Millisecond)
	require.Equal(t, 5*time.Millisecond, g.Peak(now.Add(peakWindow+time.Millisecond)))
	require.Zero(t, g.Peak(now.Add(3*peakWindow)))
	g.Measure(now.Add(4*peakWindow), 5*time.Second)
	require.Equal(t, maxPeak, g.Peak(now.Add(4*peakWindow)))
}
