package rendezvous

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against Top ordering hosts differently from their weights. Hosts of
// different versions would then choose different dispatchers.
func TestTopFollowsWeights(t *testing.T) {
	hosts := make([]string, 40)
	for i := range hosts {
		hosts[i] = fmt.Sprint("h", i)
	}
	for k := range 50 {
		key := fmt.Sprint("pool@", k)
		want := slices.Clone(hosts)
		slices.SortFunc(want, func(a, b string) int { return cmp.Compare(Weight(key, b), Weight(key, a)) })
		require.Equal(t, want[0], Pick(key, hosts))
		for _, n := range []int{0, 1, 2, 4, 40, 50} {
			require.Equal(t, want[:min(n, len(want))], Top(key, hosts, n))
		}
	}
}
