package invariant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShiftOfSlowReadings guards against false violations when reading a level
// takes long, so that the actual time of the reading is uncertain, and against
// growth above the limit that is not reported.
func TestShiftOfSlowReadings(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	for _, tc := range []struct {
		name          string
		before, after int // interval of the second reading, in ms after the first
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
	// A level whose reading took long may have been read at the start of the
	// reading, before a step, so the sample counts from there.
	c := New()
	c.ShiftRead(at(0), at(300), "a", "b", "p", 0, 1)
	c.ShiftRead(at(1100), at(1100), "a", "b", "p", 2, 1)
	require.Empty(t, c.Finish().Violations)
}

// TestControlBytesOfSlowReadings guards against false violations when the bytes
// of several seconds are attributed to one second because the counter was read
// rarely, and against bytes that are not counted.
func TestControlBytesOfSlowReadings(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	for _, tc := range []struct {
		bytes, ms int
		broken    bool
	}{
		{4 * ControlBytes, 4000, false},
		{4*ControlBytes + 1, 4000, true},
		{2 * ControlBytes, 1500, false}, // the interval spans two clock seconds
		{2*ControlBytes + 1, 1500, true},
		{ControlBytes + 1, 300, true},
	} {
		c := New()
		c.ControlRead(at(0), at(tc.ms), "a", tc.bytes)
		sum := c.Finish()
		require.Equal(t, tc.broken, len(sum.Violations) > 0, "%d bytes in %d ms", tc.bytes, tc.ms)
	}
}
