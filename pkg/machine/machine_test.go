package machine

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against limits that are taken from the wrong line or unit.
func TestLimits(t *testing.T) {
	require.EqualValues(t, 206<<20, parseMemInfo([]byte("MemFree: 10 kB\nMemTotal:         210944 kB\n")))
	for _, odd := range []string{"", "MemTotal:", "MemTotal: x kB", "MemTotal: 0 kB", "MemTotal: 99999999999999999 kB"} {
		require.EqualValues(t, math.MaxInt64, parseMemInfo([]byte(odd)), odd)
	}
	require.EqualValues(t, 1<<20, parseControlGroup([]byte("1048576\n")))
	require.EqualValues(t, math.MaxInt64, parseControlGroup([]byte("max\n")))
	m := Limits()
	require.Positive(t, m.MemoryBytes)
	require.Positive(t, m.Descriptors)
}
