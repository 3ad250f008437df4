package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// sentTo counts the servers that Pick chooses for n keys of a host.
func sentTo(p *Pool, now time.Time, host string, n int) map[string]int {
	out := map[string]int{}
	for i := range n {
		r := need(fmt.Sprint(i))
		r.Host, r.Regions = host, []string{"a"}
		out[p.Pick(now, r).Server.ID]++
	}
	return out
}

// Guards against requests to a server that said that it leaves while the store
// still lists it as ready, does not list it for a time, or is unavailable.
func TestServerThatLeavesGetsNoRequests(t *testing.T) {
	p, list := newPool(2)
	now := start
	require.Positive(t, sentTo(p, now, "h", 50)["a0"])
	p.RecordNotice(now, list[0], "h", ServerNotice{StartedMS: 1, Leaving: true})
	require.Zero(t, sentTo(p, now, "h", 50)["a0"])
	require.Zero(t, sentTo(p, now, "other", 50)["a0"], "the news concerns all hosts")
	_, ok := p.Server(now, "a0", "h")
	require.False(t, ok)

	now = now.Add(20 * time.Second)
	p.Update(now, list[1:], 4, domainRegion)
	p.Update(now, list, 4, domainRegion)
	require.Zero(t, sentTo(p, now, "h", 50)["a0"], "the same process is listed again")

	restarted := append([]fleet.Server(nil), list...)
	restarted[0].StartedMS++
	p.Update(now, restarted, 4, domainRegion)
	require.Positive(t, sentTo(p, now, "h", 50)["a0"], "another process has the ID")
	p.RecordNotice(now, list[0], "h", ServerNotice{StartedMS: 1, Leaving: true})
	require.Positive(t, sentTo(p, now, "h", 50)["a0"], "a late answer of the previous process")
}

// Guards against a dispatcher that takes what the previous process of a server said
// for the news of the present one: the host that reports it may not know yet that
// the server was restarted under its ID.
func TestNoticeOfThePreviousProcess(t *testing.T) {
	p, list := newPool(1)
	list[0].StartedMS = 2
	p.Update(start, list, 4, domainRegion)
	d := NewDispatcher(p)
	n := need("k")
	n.Regions = []string{"a"}
	for id := range uint64(2) {
		ref := Ref{"h", id}
		placed, _ := d.Offer(start, ref, n, start.Add(time.Second))
		require.Equal(t, "a0", placed.Choice.Server.ID)
		d.End(start, ref, Completion{Outcome: Abandoned, Notice: ServerNotice{StartedMS: 1, Leaving: true, Pause: time.Minute}})
	}
	_, ok := p.Server(start, "a0", "h")
	require.True(t, ok)
}

// Guards against losing a server for good that said that it leaves and stayed.
func TestServerThatStaysIsUsedAgain(t *testing.T) {
	p, list := newPool(2)
	now := start
	p.RecordNotice(now, list[0], "h", ServerNotice{StartedMS: 1, Leaving: true})
	p.Update(now.Add(leavingHold-1), list, 4, domainRegion)
	require.Zero(t, sentTo(p, now.Add(leavingHold-1), "h", 50)["a0"])
	draining := append([]fleet.Server(nil), list...)
	draining[0].Draining = true
	p.Update(now.Add(leavingHold), draining, 4, domainRegion)
	require.Zero(t, sentTo(p, now.Add(leavingHold), "h", 50)["a0"])
	p.Update(now.Add(leavingHold), list, 4, domainRegion)
	require.Positive(t, sentTo(p, now.Add(leavingHold), "h", 50)["a0"])
}

// Guards against another region that sends requests to a server that has said here
// that it leaves.
func TestLeavingServersAreReported(t *testing.T) {
	p, list := newPool(2)
	other := New("b")
	other.Update(start, list, 4, domainRegion)
	p.RecordNotice(start, list[0], "h", ServerNotice{StartedMS: 1, Leaving: true})
	r := p.Report(start)
	require.Equal(t, map[string]int64{"a0": 1}, r.Leaving)
	other.RecordRegionReport(start, "a", r)
	require.Zero(t, sentTo(other, start, "h2", 50)["a0"])
	require.Empty(t, p.Report(start.Add(leavingReportTime)).Leaving)
	r.Leaving["a1"] = 99
	other.RecordRegionReport(start, "a", r)
	require.Positive(t, sentTo(other, start, "h2", 50)["a1"], "the report is about another process")
}

// Guards against requests to a server within the time in which it wants none from
// the host that it answered, also after its entry was gone for a moment, and
// against keeping other hosts away from it.
func TestPausesAreOfOneHost(t *testing.T) {
	p, list := newPool(2)
	p.RecordNotice(start, list[0], "h", ServerNotice{StartedMS: 1, Pause: 2500 * time.Millisecond})
	p.RecordNotice(start, list[0], "h", ServerNotice{StartedMS: 1, Pause: 100 * time.Millisecond})
	p.Update(start, list[1:], 4, domainRegion)
	p.Update(start, list, 4, domainRegion)
	require.Positive(t, sentTo(p, start, "other", 50)["a0"])
	end := start.Add(2500 * time.Millisecond)
	require.Zero(t, sentTo(p, end.Add(-1), "h", 50)["a0"])
	require.Equal(t, ServerNotice{StartedMS: 1, Pause: time.Second}, p.Notice(end.Add(-time.Second), "a0", "h"))
	require.Positive(t, sentTo(p, end, "h", 50)["a0"])
}

// Guards against a dispatcher that grants a host slots at a server that turned that
// host away: three hosts each offer a request every 5 ms for 3 s, and one of four
// servers turns everything away for 1.5 s at a time. After the half second in which
// requests may still be on their way, no host may send it more than two requests
// until its pause has ended.
func TestPausesUnderLoad(t *testing.T) {
	p, _ := newPool(4)
	d := NewDispatcher(p)
	const pause = 1500 * time.Millisecond
	pausedUntil, pausedAt, early := map[string]time.Time{}, map[string]time.Time{}, map[string]int{}
	type send struct {
		ref  Ref
		ends time.Time
		shed bool
	}
	var sends []send
	turnedAway := 0
	for now, id := start, uint64(0); now.Before(start.Add(3 * time.Second)); now = now.Add(5 * time.Millisecond) {
		sends = deleteEnded(sends, func(s send) bool {
			if now.Before(s.ends) {
				return false
			}
			c := Completion{Outcome: Answered, Took: 40 * time.Millisecond}
			if s.shed {
				c = Completion{Outcome: Shed, Notice: ServerNotice{StartedMS: 1, Pause: pause}}
				if now.After(pausedUntil[s.ref.Host]) {
					pausedAt[s.ref.Host], pausedUntil[s.ref.Host] = now, now.Add(pause)
				}
			}
			d.End(now, s.ref, c)
			return true
		})
		for _, host := range []string{"h1", "h2", "h3"} {
			id++
			ref := Ref{host, id}
			placed, queued := d.Offer(now, ref, need(fmt.Sprint(id%40)), now.Add(time.Second))
			if queued {
				d.End(now, ref, Completion{Outcome: Abandoned})
			}
			if queued || placed.Choice.Verdict != Send {
				continue
			}
			s := send{ref: ref, ends: now.Add(40 * time.Millisecond)}
			if placed.Choice.Server.ID == "a0" {
				s.shed, s.ends = true, now.Add(2*time.Millisecond)
				turnedAway++
				if now.Sub(pausedAt[host]) > 500*time.Millisecond && now.Before(pausedUntil[host]) {
					early[host]++
				}
			}
			sends = append(sends, s)
		}
	}
	require.Positive(t, turnedAway)
	for host, n := range early {
		require.LessOrEqual(t, n, 2, host)
	}
	require.LessOrEqual(t, turnedAway, 30, "three hosts, two or three pauses each, and what was on its way")
}

func deleteEnded[S any](list []S, ended func(S) bool) []S {
	keep := list[:0]
	for _, s := range list {
		if !ended(s) {
			keep = append(keep, s)
		}
	}
	return keep
}
