package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestShortTimeoutsDoNotEject guards against ejections of good servers during
// an overload: requests that waited until shortly before their deadline time
// out at servers that had too little time to answer. A server that has had
// long enough is still ejected.
func TestShortTimeoutsDoNotEject(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tr := New(Config{Rand: rand.New(rand.NewPCG(1, 1))})
	tr.SetServers(now, []string{"a", "b", "c"})
	for range 20 {
		tr.Report(now, "a", Outcome{OK, 40 * time.Millisecond})
	}
	for range 5 * failuresToEject {
		tr.Report(now, "a", Outcome{Timeout, 10 * time.Millisecond})
	}
	assert.True(t, tr.Usable(now, "a"), "timeouts after a quarter of the mean service time")
	for range failuresToEject {
		tr.Report(now, "b", Outcome{Timeout, time.Second})
	}
	assert.False(t, tr.Usable(now, "b"), "timeouts after much more than the mean service time")
	// A trial request with such a short deadline is repeated, not counted.
	now = now.Add(2 * ejectBase)
	tr.Started(now, "b")
	tr.Report(now, "b", Outcome{Timeout, 10 * time.Millisecond})
	assert.True(t, tr.Usable(now, "b"), "another trial request")
}
