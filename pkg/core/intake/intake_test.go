package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against shares that together exceed the machine, so that clients take what servers,
// other hosts and the store need, and against a share of nothing.
func TestSharesFitTheMachine(t *testing.T) {
	for _, m := range []Machine{
		{80 << 20, 600}, {136 << 20, 2870}, {206 << 20, 2870}, {536 << 20, 8192}, {24 << 30, 1 << 20},
	} {
		s := Divide(m)
		const serviceListeners = 2
		sockets := s.Callers + s.Lookups + s.Control + serviceListeners*s.Service + s.Servers
		require.LessOrEqual(t, sockets, m.Descriptors-min(fileDescriptors, m.Descriptors/4), "%v: %+v", m, s)
		require.LessOrEqual(t, int64(s.Callers)*bytesPerCaller+int64(s.Streams)*bytesPerStream, m.MemoryBytes*5/8, "%v: %+v", m, s)
		require.GreaterOrEqual(t, min(s.Callers, s.Lookups, s.Control, s.Service, s.Servers, s.Streams, s.Requests), minShare)
		unread := 0
		for open := range s.Callers {
			unread += 2 * s.SocketBuffer(open) // the kernel doubles the value
		}
		require.LessOrEqual(t, int64(unread), m.MemoryBytes/2, "%v: receive buffers", m)
	}
}

// Guards against far callers that upload slowly to a host with few connections.
func TestSocketBuffersShrinkWithLoad(t *testing.T) {
	s := Divide(Machine{206 << 20, 2870})
	require.Equal(t, maxSocketBuffer, s.SocketBuffer(0))
	require.Equal(t, minSocketBuffer, s.SocketBuffer(s.Callers))
	for open := 1; open < s.Callers; open++ {
		require.LessOrEqual(t, s.SocketBuffer(open), s.SocketBuffer(open-1))
	}
}

// Guards against closing the connection of a caller whose request is being served, or of
// one that has just paused, while others hold theirs for nothing.
func TestChoose(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	at := func(a Activity, ago time.Duration) State { return State{a, now.Add(-ago)} }
	for _, c := range []struct {
		name   string
		states []State
		chosen int
	}{
		{"none", nil, -1},
		{"only busy ones", []State{at(Busy, time.Hour), at(Busy, 0)}, -1},
		{"a short pause is no reason", []State{at(Waiting, minWait-1)}, -1},
		{"the longest pause", []State{at(Waiting, time.Second), at(Waiting, 2*time.Second), at(Waiting, minWait)}, 1},
		{"a pause before silence", []State{at(Silent, time.Hour), at(Waiting, time.Second)}, 1},
		{"silence before idle ones", []State{at(Idle, time.Hour), at(Silent, 0)}, 1},
		{"the oldest silence", []State{at(Silent, 0), at(Silent, time.Second), at(Busy, time.Hour)}, 1},
		{"the longest idle one", []State{at(Idle, time.Second), at(Busy, 0), at(Idle, 2*time.Second)}, 2},
	} {
		require.Equal(t, c.chosen, Choose(now, c.states), c.name)
	}
}

// Guards against ending the answers of callers that read in time when servers have no free
// connection.
func TestSlowest(t *testing.T) {
	require.Equal(t, -1, Slowest([]Stream{{0}, {minWait - 1}}))
	require.Equal(t, 2, Slowest([]Stream{{0}, {minWait}, {time.Second}, {minWait}}))
}

// Guards against a garbage collector that runs without a pause while clients hold more memory
// than the process usually needs.
func TestCollectorLimit(t *testing.T) {
	s := Shares{ShedBytes: 104}
	require.EqualValues(t, 32, s.CollectorLimit(32, 8))
	require.EqualValues(t, 32, s.CollectorLimit(32, 21))
	require.EqualValues(t, 60, s.CollectorLimit(32, 40))
	require.EqualValues(t, 91, s.CollectorLimit(32, 90))
}

// Guards against clients that send requests ahead and keep the places of all others.
func TestCrowded(t *testing.T) {
	require.False(t, Crowded(0, 8))
	require.False(t, Crowded(5, 8))
	require.True(t, Crowded(6, 8))
}

// Guards against a proxy that is cut off because some of its many requests are cancelled.
func TestCancelsTooOften(t *testing.T) {
	require.False(t, CancelsTooOften(maxCancelled, 0))
	require.True(t, CancelsTooOften(maxCancelled+1, 0))
	require.False(t, CancelsTooOften(10_000, 9_900))
}
