package invariant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against growth that counts as too fast because a level was read later
// than the time that it is recorded with, and against growth that is missed.
func TestShiftOfSlowReadings(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	for _, tc := range []struct {
		name          string
		before, after int // of the second reading, in ms after the first
		broken        bool
	}{
		{"within the window", 800, 900, true},
		{"at its end", 1000, 1000, true},
		{"read when the next step was allowed", 950, 1100, false},
		{"after the window", 1001, 1001, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New()
			c.ShiftRead(at(0), at(0), "a", "b", "p", 0, 1)
			c.ShiftRead(at(tc.before), at(tc.after), "a", "b", "p", 2, 1)
			require.Equal(t, tc.broken, len(c.Finish().Violations) > 0)
		})
	}
	// A first reading that took long began with the level before a step.
	c := New()
	c.ShiftRead(at(0), at(300), "a", "b", "p", 0, 1)
	c.ShiftRead(at(1100), at(1100), "a", "b", "p", 2, 1)
	require.Empty(t, c.Finish().Violations)
}

// Guards against bytes that count as those of one second because the counter
// was read seldom, and against bytes that are not counted.
func TestControlBytesOfSlowReadings(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	for _, tc := range []struct {
		bytes, ms int
		broken    bool
	}{
		{4 * ControlBytes, 4000, false},
		{4*ControlBytes + 1, 4000, true},
		{2 * ControlBytes, 1500, false}, // over two seconds of the clock
		{2*ControlBytes + 1, 1500, true},
		{ControlBytes + 1, 300, true},
	} {
		c := New()
		c.ControlRead(at(0), at(tc.ms), "a", tc.bytes)
		sum := c.Finish()
		require.Equal(t, tc.broken, len(sum.Violations) > 0, "%d bytes in %d ms", tc.bytes, tc.ms)
	}
}
