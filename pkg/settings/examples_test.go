package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// Guards against examples that no longer load, or whose sizes differ from the
// deployments they describe. Each size is the number of servers in a pool and
// the slots of each server.
func TestExamples(t *testing.T) {
	for dir, sizes := range map[string]map[string][2]int{
		"pinhole": {"catalog": {16, 5}, "orders": {12, 3}, "donors": {14, 5}},
		"ladders": {"stock": {12, 8}, "booking": {12, 3}, "ledger": {12, 8}},
	} {
		root := filepath.Join("../../examples", dir)
		s, err := Load(filepath.Join(root, "entry.toml"))
		require.NoError(t, err)
		require.Len(t, s.Topology.Domains, 6)
		routesText, err := os.ReadFile(filepath.Join(root, "routes.toml"))
		require.NoError(t, err)
		routes, err := tables.ParseRoutes("routes.toml", routesText)
		require.NoError(t, err)
		poolsText, err := os.ReadFile(filepath.Join(root, "pools.toml"))
		require.NoError(t, err)
		pools, err := tables.ParsePools("pools.toml", poolsText)
		require.NoError(t, err)
		require.NoError(t, tables.CheckJoin(routes, pools))
		for name, size := range sizes {
			p, ok := pools.ByName(name)
			require.True(t, ok)
			require.Len(t, p.Servers, size[0])
			require.Equal(t, size[1], p.Slots)
			for _, server := range p.Servers {
				require.NotEmpty(t, s.RegionOf(server.Domain))
			}
		}
	}
}
