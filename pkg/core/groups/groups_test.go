package groups

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// region returns n hosts, spread evenly over three failure domains.
func region(n int) []Host {
	var out []Host
	for i := range n {
		out = append(out, Host{Name: fmt.Sprintf("entry-%d", i), Domain: fmt.Sprintf("a-%d", i%3)})
	}
	return out
}

func others(hosts []Host, self Host) []Host {
	var out []Host
	for _, h := range hosts {
		if h != self {
			out = append(out, h)
		}
	}
	return out
}

// Guards against partitioning a region of usual size, whose hosts would then no
// longer send their state to each other directly.
func TestUsualRegionIsOneGroup(t *testing.T) {
	hosts := region(maxUndividedHosts)
	for _, self := range hosts {
		require.Len(t, Members(self, others(hosts, self)), len(hosts)-1)
	}
}

// Guards against groups that grow with the region, members that disagree on who
// is in the group, and hosts that get a group's digest from no member.
func TestLargeRegion(t *testing.T) {
	hosts := region(230)
	deliveries := map[string]int{}
	for _, self := range hosts {
		group := Members(self, others(hosts, self))
		require.Less(t, len(group), 2*maxMeanGroupHosts)
		require.Greater(t, len(group), maxMeanGroupHosts/4)
		var members, outside []string
		for _, h := range others(hosts, self) {
			if group[h.Name] {
				require.Equal(t, self.Domain, h.Domain)
				require.True(t, Members(h, others(hosts, h))[self.Name])
				members = append(members, h.Name)
			} else {
				outside = append(outside, h.Name)
			}
		}
		receivers := DigestReceivers(self.Name, members, outside)
		require.LessOrEqual(t, len(receivers), len(outside)/(len(members)+1)+1)
		for _, r := range receivers {
			deliveries[r]++
		}
	}
	hostsByDeliveries := map[int]int{}
	for _, h := range hosts {
		hostsByDeliveries[deliveries[h.Name]]++
	}
	require.Len(t, hostsByDeliveries, 1, "each host gets the digest of each other group once: %v", hostsByDeliveries)
}
