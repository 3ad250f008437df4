package restore

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

var start = time.Unix(1_700_000_000, 0)

// process returns a server that started at startedMS, with the address of its ID.
func process(id string, startedMS int64) fleet.Server {
	return fleet.Server{ID: id, Pool: "p", Address: id + ":80", StartedMS: startedMS}
}

func draining(s fleet.Server) fleet.Server {
	s.Draining = true
	return s
}

func listed(revision int64, servers ...fleet.Server) (out []Listed) {
	for _, s := range servers {
		out = append(out, Listed{Server: s, Revision: revision})
	}
	return out
}

// Guards against requests to a server that has said that it drains, because the copy
// from which the store came back shows it as ready; and against holding it for ever.
func TestRestoredStoreDrainingServer(t *testing.T) {
	s := process("a", 5)
	for name, c := range map[string]struct {
		listed  fleet.Server
		after   time.Duration
		drained bool
	}{
		"ready in the copy":                {s, 0, true},
		"ready in the copy until it ends":  {s, drainingHold - time.Second, true},
		"ready for longer than any server": {s, drainingHold, false},
		"a later process":                  {process("a", 6), 0, false},
		"draining again":                   {draining(s), drainingHold, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := New()
			h.ServersRestored(start, []fleet.Server{draining(s)}, nil, listed(3, s))
			got := h.Servers(start.Add(c.after), listed(3, c.listed))
			require.Len(t, got, 1)
			require.Equal(t, c.drained, got[0].Draining)
		})
	}
	h := New()
	h.ServersRestored(start, []fleet.Server{draining(s)}, nil, listed(3, s))
	h.Servers(start, listed(4, draining(s)))
	require.False(t, h.Servers(start, listed(5, s))[0].Draining, "what the server says since then holds")
}

// Guards against requests to a server that had left, because the copy still has it; and
// against holding it for ever if it lives.
func TestRestoredStoreServerThatLeft(t *testing.T) {
	s := process("a", 5)
	for name, c := range map[string]struct {
		left   fleet.Server
		listed []Listed
		after  time.Duration
		used   bool
	}{
		"shown by the copy":              {s, listed(3, s), goneHold - time.Second, false},
		"had said that it drains":        {draining(s), listed(3, s), goneHold, false},
		"had drained, listed for longer": {draining(s), listed(3, s), drainingHold, true},
		"still listed later":             {s, listed(3, s), goneHold, true},
		"has written its entry again":    {s, listed(9, s), 0, true},
		"had drained, written again":     {draining(s), listed(9, s), 0, false},
		"a later process":                {s, listed(3, process("a", 6)), 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := New()
			h.ServersRestored(start, nil, []fleet.Server{c.left}, listed(3, s))
			require.Equal(t, c.used, len(h.Servers(start.Add(c.after), c.listed)) == 1)
		})
	}
}

// Guards against requests to a server that another one has replaced, under its ID or its
// address, and of which only the copy still knows.
func TestRestoredStoreServerThatWasReplaced(t *testing.T) {
	old, successor := process("a", 5), process("a", 9)
	other := fleet.Server{ID: "b", Pool: "p", Address: old.Address, StartedMS: 9}
	for name, before := range map[string]fleet.Server{"same ID": successor, "same address": other} {
		t.Run(name, func(t *testing.T) {
			h := New()
			h.ServersRestored(start, []fleet.Server{before}, nil, listed(3, old))
			require.Empty(t, h.Servers(start.Add(time.Second), listed(3, old)))
			require.Len(t, h.Servers(start.Add(time.Second), listed(4, before)), 1, "once it is written again")
		})
	}
	h := New()
	h.ServersRestored(start, []fleet.Server{process("a", 5)}, nil, listed(3, fleet.Server{ID: "b", Address: "a:80", StartedMS: 9}))
	require.Len(t, h.Servers(start, listed(3, fleet.Server{ID: "b", Address: "a:80", StartedMS: 9})), 1, "the copy has the later one")
}

// Guards against more requests to a cold server than it can take, because the copy is
// from before it became cold.
func TestRestoredStoreColdServer(t *testing.T) {
	warm := process("a", 5)
	cold := warm
	cold.ColdUntil = start.Add(8 * time.Second)
	h := New()
	h.ServersRestored(start, []fleet.Server{cold}, nil, listed(3, warm))
	require.Equal(t, cold.ColdUntil, h.Servers(start.Add(time.Second), listed(3, warm))[0].ColdUntil)
	require.Equal(t, cold.ColdUntil, h.Servers(start.Add(7*time.Second), listed(4, warm))[0].ColdUntil)
	require.True(t, h.Servers(start.Add(9*time.Second), listed(4, warm))[0].ColdUntil.Before(start.Add(9*time.Second)))
	require.Zero(t, h.Count())
}

// Guards against servers that are taken for cold again, because their entries, which
// still have the time from their start, are read anew.
func TestRestoredStoreWarmServer(t *testing.T) {
	before := process("a", 5)
	before.ColdFor, before.ColdUntil = 8*time.Second, start.Add(-time.Minute)
	read := before
	read.ColdUntil = start.Add(8 * time.Second)
	require.Equal(t, before.ColdUntil, ColdUntil(before, read))
	again := read
	again.ColdFor = 5 * time.Second
	require.Equal(t, read.ColdUntil, ColdUntil(before, again), "cold again, by another entry")
	again = read
	again.StartedMS = 6
	require.Equal(t, read.ColdUntil, ColdUntil(before, again), "another process")
}

// Guards against requests to an evacuated failure domain, because the copy is from before
// its evacuation; and against an evacuation that was ended and stays for ever.
func TestRestoredStoreEvacuations(t *testing.T) {
	h := New()
	h.EvacuationsRestored(start, 2, []string{"a", "b"}, []string{"b"})
	require.ElementsMatch(t, []string{"a", "b"}, h.Evacuated(start.Add(evacuationHold-time.Second), []string{"b"}))
	require.ElementsMatch(t, []string{"b"}, h.Evacuated(start.Add(evacuationHold), []string{"b"}))

	h = New()
	h.EvacuationsRestored(start, 2, []string{"a"}, nil)
	h.Evacuated(start.Add(time.Second), []string{"a"})
	require.Empty(t, h.Evacuated(start.Add(2*time.Second), nil), "written again and then ended")
	h.EvacuationsRestored(start, 2, []string{"a"}, nil)
	require.True(t, h.EvacuationEnded("a"), "written again and ended before this host saw it")
	require.False(t, h.EvacuationEnded("a"))
	require.Empty(t, h.Evacuated(start, nil))
	require.Equal(t, []string{"c"}, h.Evacuated(start, []string{"c"}), "one that had ended holds if the copy says so")
}

// Guards against an evacuation that was ended, and that is held for ever because the store
// comes back again and again; and against one that is no longer held although it was
// written again between two returns.
func TestRestoredStoreEvacuationsOfManyReturns(t *testing.T) {
	h := New()
	now := start
	h.EvacuationsRestored(now, 2, []string{"a"}, nil)
	for now.Before(start.Add(evacuationHold)) {
		require.Equal(t, []string{"a"}, h.Evacuated(now, nil))
		now = now.Add(3 * time.Second)
		h.EvacuationsRestored(now, 2, h.Evacuated(now, nil), nil)
	}
	require.Empty(t, h.Evacuated(now, nil))

	h.EvacuationsRestored(now, 2, []string{"a"}, nil)
	now = now.Add(9 * time.Second)
	h.Evacuated(now, []string{"a"}) // written again
	h.EvacuationsRestored(now, 2, []string{"a"}, nil)
	require.Equal(t, []string{"a"}, h.Evacuated(now.Add(9*time.Second), nil))
}

// Guards against knowledge that is lost when the store comes back a second time within
// moments, from a copy of before the first return.
func TestRestoredStoreTwice(t *testing.T) {
	drains, left := process("a", 5), process("b", 5)
	h := New()
	h.ServersRestored(start, []fleet.Server{draining(drains)}, []fleet.Server{left}, listed(3, drains, left))
	h.EvacuationsRestored(start, 2, []string{"d"}, nil)
	again := start.Add(5 * time.Second)
	before := h.Servers(again, listed(3, drains, left))
	h.ServersRestored(again, before, nil, listed(2, drains, left))
	h.EvacuationsRestored(again, 2, h.Evacuated(again, nil), nil)
	now := again.Add(goneHold - time.Second)
	got := h.Servers(now, listed(2, drains, left))
	require.Len(t, got, 1)
	require.True(t, got[0].Draining)
	require.Equal(t, []string{"d"}, h.Evacuated(start.Add(evacuationHold-time.Second), nil))
	require.Empty(t, h.Evacuated(start.Add(evacuationHold), nil), "not written again between the returns")
	require.True(t, h.Expire(again.Add(2*time.Minute)))
	require.Zero(t, h.Count())
	require.Nil(t, h.State(again))

	// The first copy lacks the server that left, the second one has it.
	h = New()
	h.ServersRestored(start, nil, []fleet.Server{left}, listed(3, left))
	h.ServersRestored(again, nil, nil, nil)
	h.ServersRestored(again.Add(time.Second), nil, nil, listed(3, left))
	require.Empty(t, h.Servers(again.Add(2*time.Second), listed(3, left)))
}

// Guards against a host that starts after the store's return and believes what the copy
// shows, although the other hosts know better.
func TestRestoredStoreMemoryOfOtherHosts(t *testing.T) {
	drains, left, cold := process("a", 5), process("b", 5), process("c", 5)
	coldBefore := cold
	coldBefore.ColdUntil = start.Add(5 * time.Second)
	known, starting := New(), New()
	known.ServersRestored(start, []fleet.Server{draining(drains), coldBefore}, []fleet.Server{left}, listed(3, drains, left, cold))
	known.EvacuationsRestored(start, 2, []string{"d"}, nil)
	now := start.Add(time.Second)
	require.True(t, starting.Adopt(now, 2, known.State(now)))
	require.False(t, starting.Adopt(now, 2, known.State(now)), "nothing is new")
	require.Equal(t, known.Servers(now, listed(3, drains, left, cold)), starting.Servers(now, listed(3, drains, left, cold)))
	require.Equal(t, []string{"d"}, starting.Evacuated(now, nil))
	require.Equal(t, known.Count(), starting.Count())
	require.False(t, starting.Adopt(now, 2, nil))

	// What another host says cannot hold longer than what a host knows itself.
	odd := &HeldState{Servers: map[string]Server{"x": {Gone: true, StartedMS: 5, ForMS: 1 << 60}, "y": {Draining: true, ForMS: -1 << 60}}, Evacuated: map[string]int64{"e": 1 << 60}}
	require.True(t, starting.Adopt(now, 2, odd))
	starting.Expire(now.Add(drainingHold))
	require.Zero(t, starting.Count())
}

// Guards against servers that are held although nothing was lost of them.
func TestRestoredStoreThatLostNothing(t *testing.T) {
	s := process("a", 5)
	h := New()
	h.ServersRestored(start, []fleet.Server{s}, nil, listed(3, s, process("new", 7)))
	h.EvacuationsRestored(start, 2, []string{"d"}, []string{"d"})
	require.Zero(t, h.Count())
	require.Len(t, h.Servers(start, listed(3, s, process("new", 7))), 2)
}

// Guards against requests to a server that had left or was draining, because the first
// of two copies lacks it and the second one shows it as ready.
func TestRestoredStoreTwiceFirstCopyLacksServers(t *testing.T) {
	drains, left, cold, replaced := process("a", 5), process("b", 5), process("c", 5), process("d", 5)
	coldBefore, successor := cold, process("d", 9)
	coldBefore.ColdUntil = start.Add(time.Minute)
	h := New()
	h.ServersRestored(start, []fleet.Server{draining(drains), coldBefore, successor}, []fleet.Server{left}, nil)
	again := start.Add(5 * time.Second)
	h.ServersRestored(again, h.Servers(again, nil), nil, listed(3, drains, left, cold, replaced))
	got := h.Servers(again, listed(3, drains, left, cold, replaced))
	require.Len(t, got, 2)
	require.True(t, got[0].Draining)
	require.Equal(t, coldBefore.ColdUntil, got[1].ColdUntil)
	require.True(t, h.Expire(again.Add(2*time.Minute)))
	require.Zero(t, h.Count())

	h = New()
	h.ServersRestored(start, nil, []fleet.Server{left}, nil)
	require.Len(t, h.Servers(start.Add(time.Second), listed(4, left)), 1, "it lives and has written its entry again")
}

// Guards against an evacuation that the operator has ended since the store's return and
// that is held again, because another host does not know of the end yet.
func TestRestoredStoreEndedEvacuationIsNotHeldAgain(t *testing.T) {
	behind := New()
	behind.EvacuationsRestored(start, 2, []string{"a", "b"}, nil)
	h := New()
	h.EvacuationsRestored(start, 2, []string{"a", "b"}, nil)
	h.EvacuationEnded("a")
	h.Evacuated(start, []string{"b"}) // written again
	require.False(t, h.Adopt(start, 2, behind.State(start)))
	require.Empty(t, h.Evacuated(start, nil))

	h.EvacuationsRestored(start, 2, []string{"a"}, nil)
	require.Equal(t, []string{"a"}, h.Evacuated(start, nil), "the store has come back again")
}

// Guards against an evacuation that comes back after the operator has ended it, because the
// list of servers came later than that of the evacuations.
func TestRestoredStoreServersListedAfterAnEvacuationEnded(t *testing.T) {
	h := New()
	h.EvacuationsRestored(start, 2, []string{"a-1"}, nil)
	require.True(t, h.EvacuationEnded("a-1"))
	h.ServersRestored(start, nil, nil, nil)
	h.Adopt(start, 2, &HeldState{Evacuated: map[string]int64{"a-1": 20_000}})
	require.Empty(t, h.Evacuated(start, nil))
}
