package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

func aliveMembers(n int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{Name: fmt.Sprintf("h%02d", i), Address: fmt.Sprintf("h%02d", i), State: Alive})
	}
	return out
}

// Guards against a summary that does not reach every host of the domain, and
// against repeated relays of the same version.
func TestSummaryReachesEveryHostOnce(t *testing.T) {
	for size := 1; size <= 76; size += 5 {
		live := aliveMembers(size)
		hosts := map[string]*Summaries{}
		for _, m := range live {
			hosts[m.Name] = NewSummaries("d1", m.Name, nil)
		}
		for version := int64(1); version <= 3; version++ {
			in := Summary{Domain: "d2", Version: version}
			sent := 0
			var deliver func(to string, outside bool)
			deliver = func(to string, outside bool) {
				for _, o := range hosts[to].Receive(vtime.Epoch, in, outside, live) {
					sent++
					deliver(o.Name, false)
				}
			}
			deliver(live[size/2].Name, true)
			deliver(live[size-1].Name, true)
			for name, h := range hosts {
				require.Len(t, h.List(vtime.Epoch), 1, name)
				require.Equal(t, version, h.List(vtime.Epoch)[0].Version)
			}
			require.LessOrEqual(t, sent, size+2*firstRelayHosts)
		}
	}
}

// Guards against an old summary that replaces a newer one, against one that is
// used after its expiry because it is not marked as expired, and against a
// reporter whose clock is ahead and whose summary blocks those of its successor.
func TestSummaryAgeAndOrder(t *testing.T) {
	s := NewSummaries("d1", "h00", nil)
	now := vtime.Epoch
	s.Receive(now, Summary{Domain: "d2", Version: 100}, true, aliveMembers(1))
	s.Receive(now.Add(time.Second), Summary{Domain: "d2", Version: 99}, true, aliveMembers(1))
	s.Receive(now.Add(time.Second), Summary{Domain: "d1", Version: 500}, true, aliveMembers(1))
	list := s.List(now.Add(2 * time.Second))
	require.Len(t, list, 1)
	require.Equal(t, int64(100), list[0].Version)
	require.Equal(t, 2*time.Second, list[0].Age)
	require.True(t, s.List(now.Add(SummaryExpiry))[0].Expired)
	s.Receive(now.Add(replaceableAfter), Summary{Domain: "d2", Version: 99}, true, aliveMembers(1))
	require.Equal(t, int64(99), s.List(now.Add(replaceableAfter))[0].Version)
}

// Guards against more or fewer than two reporters and against a leaving host as
// reporter.
func TestReporters(t *testing.T) {
	live := aliveMembers(10)
	chosen := Reporters("d1", live)
	require.Len(t, chosen, 2)
	for i := range live {
		if live[i].Name == chosen[0] {
			live[i].State = Leaving
		}
	}
	require.NotContains(t, Reporters("d1", live), chosen[0])
	sent := 0
	for _, m := range live {
		s := NewSummaries("d1", m.Name, map[string][]string{"d1": {"x"}, "d2": {"a", "b", "c"}, "d3": {"e"}})
		sent += len(s.Tick(vtime.Epoch, live, func(int64) Summary { return Summary{} }))
		require.Empty(t, s.Tick(vtime.Epoch.Add(time.Second), live, nil), "one summary per interval")
	}
	require.Equal(t, 2*(2+1), sent)
}

// Guards against messages above MaxMessageBytes, built with the longest valid
// names and the most updates, and against accepting values out of range.
func TestMessageLimits(t *testing.T) {
	long := func(i int) string { return fmt.Sprintf("%02d", i) + strings.Repeat("n", maxNameBytes-2) }
	holds := []EndedProcess{{long(0), 1 << 60}, {long(1), 1 << 60}, {long(2), 1 << 60}, {long(3), 1 << 60}}
	n := New(Config{Name: long(99), Address: long(99), Incarnation: 1 << 60})
	n.SetHolds(vtime.Epoch, holds)
	n.SetVersions(map[string]int64{"routes": 1 << 60, "pools": 1 << 60})
	for i := range 40 {
		n.apply(vtime.Epoch, Update{Name: long(i), Address: long(i), Incarnation: 1 << 60, Counter: 1 << 60, State: Suspect, Holds: holds[:i%5], Leaving: true})
	}
	out := n.sendAll(nil, long(5), long(5))
	out = n.send(out, long(5), long(5), Message{Kind: PingRequest, Seq: 1 << 60, Target: long(7), TargetAddress: long(7)})
	updates := 0
	for _, o := range out {
		_, err := Encode(o.Message)
		require.NoError(t, err)
		require.LessOrEqual(t, len(o.Message.Updates), MaxUpdates)
		updates += len(o.Message.Updates)
	}
	require.GreaterOrEqual(t, updates, 39)
	bad := Message{Kind: Ping, From: n.self}
	bad.From.State = Leaving
	require.Empty(t, n.Receive(vtime.Epoch, bad))
	b, err := Encode(bad)
	require.NoError(t, err)
	_, err = Decode(b)
	require.Equal(t, result.PeerMessageMalformed, result.CodeOf(err))
}

// BenchmarkTick measures the processor time that one second takes at a host in a
// domain of 76 hosts without changes: ten ticks, one probe that is answered and
// one probe to answer.
func BenchmarkTick(b *testing.B) {
	s := vtime.New(1)
	n := New(Config{Name: "h99", Address: "h99", Incarnation: 1})
	for _, m := range aliveMembers(75) {
		n.apply(s.Now(), Update{Name: m.Name, Address: m.Address, Incarnation: 1, State: Alive})
	}
	n.queue = nil
	now := s.Now()
	for b.Loop() {
		for range 10 {
			now = now.Add(TickInterval)
			for _, o := range n.Tick(now, s.Rand) {
				m := n.members[o.Name]
				n.Receive(now, Message{Kind: Ack, Seq: o.Message.Seq, From: m.Update, Digest: n.digest})
			}
		}
		n.Receive(now, Message{Kind: Ping, From: n.members["h00"].Update, Digest: n.digest})
	}
}
