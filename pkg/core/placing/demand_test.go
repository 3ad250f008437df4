package placing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a queue limit that depends on the order in which routes are
// visited: a route with less than a hundredth of the requests must not limit
// the queue of all others.
func TestRareRouteDoesNotBoundTheQueue(t *testing.T) {
	now := time.Unix(0, 0)
	for range 50 {
		var d demand
		for range 999 {
			d.add(now, Need{Route: "usual", Target: 500 * time.Millisecond, Priority: 1}, 0.1)
		}
		// The target is shorter than the service time, so these requests
		// cannot wait at all.
		d.add(now, Need{Route: "rare", Target: 50 * time.Millisecond, Priority: 1}, 0.1)
		require.Greater(t, d.limit(1, 1, 10, 100), 10.0)
	}
}
