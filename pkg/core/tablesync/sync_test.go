package tablesync

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

var t0 = vtime.Epoch

func at(d time.Duration) time.Time { return t0.Add(d) }

// routesAt and poolsAt return table objects with one row per name.
func routesAt(version int64, names ...string) platform.Object {
	var b strings.Builder
	for _, n := range names {
		fmt.Fprintf(&b, "[[route]]\nname = %q\nteam = \"t\"\npath = \"/%s\"\npool = %q\nrank = \"urgent\"\n", n, n, n)
	}
	return platform.Object{Key: RoutesKey, Version: version, Value: []byte(b.String())}
}

func poolsAt(version int64, names ...string) platform.Object {
	var b strings.Builder
	for _, n := range names {
		fmt.Fprintf(&b, "[[pool]]\nname = %q\nteam = \"t\"\nslots = 5\nservers = []\n", n)
	}
	return platform.Object{Key: PoolsKey, Version: version, Value: []byte(b.String())}
}

func newSync(self string, live ...string) *Sync {
	s := New(Config{Self: self, Domain: "d", Rand: rand.New(rand.NewPCG(1, 2))})
	s.SetLive(live)
	return s
}

func versionPair(s *Sync) [2]int64 { v := s.Versions(t0); return [2]int64{v.Routes, v.Pools} }

// exchange lets puller pull the tables of source once, and returns the answer and
// the error of OnDelta.
func exchange(t *testing.T, now time.Time, puller, source *Sync) (Delta, error) {
	t.Helper()
	pulls := puller.OnVersions(now, source.cfg.Self, source.Versions(now))
	require.Len(t, pulls, 1)
	require.Equal(t, source.cfg.Self, pulls[0].To)
	answers := source.OnPull(now, puller.cfg.Self, *pulls[0].Pull)
	require.Len(t, answers, 1)
	_, err := puller.OnDelta(now, source.cfg.Self, *answers[0].Delta)
	return *answers[0].Delta, err
}

func firstProblem(s *Sync) string {
	st := s.Status(t0)
	if len(st.Problems) == 0 {
		return ""
	}
	return st.Problems[0].Table + ": " + st.Problems[0].Error
}

// Guards against a pair of tables coming in force whose join is invalid, when both
// tables change and their objects arrive in either order.
func TestBothTablesChange(t *testing.T) {
	for _, order := range [][]platform.Object{
		{routesAt(3, "b"), poolsAt(4, "b")}, {poolsAt(4, "b"), routesAt(3, "b")},
	} {
		s := newSync("a", "a", "b")
		require.Empty(t, s.FromPlatform(t0, routesAt(1, "a")))
		require.Len(t, s.FromPlatform(t0, poolsAt(2, "a")), 1)
		require.Empty(t, s.FromPlatform(t0, order[0]))
		require.Equal(t, [2]int64{1, 2}, versionPair(s))
		require.Contains(t, firstProblem(s), "join: 5000 table-invalid: route ")
		require.Len(t, s.FromPlatform(t0, order[1]), 1)
		require.Equal(t, [2]int64{3, 4}, versionPair(s))
		require.Empty(t, firstProblem(s))
	}
}

// Guards against a late answer of the platform with an older version, which
// replaces a newer table that waits for the other table.
func TestLateAnswer(t *testing.T) {
	s := newSync("a", "a")
	s.FromPlatform(t0, routesAt(1, "a"), poolsAt(2, "a"))
	s.FromPlatform(t0, routesAt(5, "b"))
	s.FromPlatform(t0, routesAt(4, "c"))
	s.FromPlatform(t0, poolsAt(6, "b"))
	require.Equal(t, [2]int64{5, 6}, versionPair(s))
}

// Guards against an invalid object that comes in force or is not reported, and
// against a problem that is still reported after a valid object.
func TestInvalidObject(t *testing.T) {
	s := newSync("a", "a")
	s.FromPlatform(t0, routesAt(1, "a"), poolsAt(2, "a"))
	bad := platform.Object{Key: PoolsKey, Version: 3, Value: []byte("[[pool]]\nname = \"a\"\nteam = \"t\"\nslots = 0\nservers = []\n")}
	s.FromPlatform(t0, bad)
	require.Equal(t, [2]int64{1, 2}, versionPair(s))
	require.Equal(t, `pools: 5000 table-invalid: tables/pools:4: row "a": slots: 0 is not between 1 and 10000`, firstProblem(s))
	s.FromPlatform(t0, poolsAt(4, "a"))
	require.Equal(t, [2]int64{1, 4}, versionPair(s))
	require.Empty(t, firstProblem(s))
}

// Guards against a version in force that decreases after the platform's store was
// restored, and against a restored store that is not reported.
func TestRestoredStore(t *testing.T) {
	s := newSync("a", "a")
	s.FromPlatform(t0, routesAt(1, "a"), poolsAt(5, "a"))
	s.FromPlatform(t0, poolsAt(2, "a"))
	require.Equal(t, [2]int64{1, 5}, versionPair(s))
	require.Equal(t, "pools: 5001 version-conflict: the platform has version 2, older than version 5 in force; its store may have been restored", firstProblem(s))
	s.FromPlatform(t0, poolsAt(5, "a", "z"))
	require.Equal(t, "pools: 5001 version-conflict: the platform has other rows at version 5 than those in force; its store may have been restored", firstProblem(s))
	other := newSync("b", "a", "b")
	other.FromPlatform(t0, routesAt(1, "a"), poolsAt(5, "a", "z"))
	require.Empty(t, other.OnVersions(t0, "a", s.Versions(t0)))
	require.Contains(t, firstProblem(other), "content: 5001 version-conflict: host a has other rows at versions 1 and 5")
	s.FromPlatform(t0, poolsAt(6, "a"))
	require.Equal(t, [2]int64{1, 6}, versionPair(s))
	require.Empty(t, firstProblem(s))
}

// Guards against whole tables being sent for a small change, and against a delta
// from a base that is too old or unknown.
func TestDeltaOrWhole(t *testing.T) {
	names := make([]string, 200)
	for i := range names {
		names[i] = fmt.Sprintf("row-%d", i)
	}
	a, b := newSync("a", "a", "b"), newSync("b", "a", "b")
	a.FromPlatform(t0, routesAt(1, names...), poolsAt(2, names...))
	whole, err := exchange(t, t0, b, a)
	require.NoError(t, err)
	require.Equal(t, a.Versions(t0).Hash, b.Versions(t0).Hash)
	v := int64(2)
	for range keptSteps {
		v++
		a.FromPlatform(t0, routesAt(v, append(names, fmt.Sprintf("row-%d", v%3))[1:]...))
	}
	delta, err := exchange(t, t0, b, a)
	require.NoError(t, err)
	require.Less(t, len(delta.Data), 300)
	require.Less(t, 10*len(delta.Data), len(whole.Data))
	for range keptSteps + 1 {
		v++
		a.FromPlatform(t0, poolsAt(v, append(names, fmt.Sprintf("more-%d", v))...))
	}
	again, err := exchange(t, t0, b, a)
	require.NoError(t, err)
	require.Greater(t, len(again.Data), len(whole.Data)/2)
	require.Equal(t, a.Versions(t0).Hash, b.Versions(t0).Hash)
	require.Equal(t, Stats{DeltasSent: 1, WholeTablesSent: 2, Changes: a.stats.Changes}, a.stats)
}

// Guards against tables with a wrong hash coming in force, and against a next pull
// that does not ask the host for whole tables.
func TestWrongHash(t *testing.T) {
	a, b := newSync("a", "a", "b"), newSync("b", "a", "b")
	a.FromPlatform(t0, routesAt(1, "a"), poolsAt(2, "a"))
	_, err := exchange(t, t0, b, a)
	require.NoError(t, err)
	a.FromPlatform(t0, poolsAt(3, "a", "b"))
	pulls := b.OnVersions(t0, "a", a.Versions(t0))
	require.NotZero(t, pulls[0].Pull.Base.Routes)
	d := a.OnPull(t0, "b", *pulls[0].Pull)[0].Delta
	d.To.Hash++
	pulls, err = b.OnDelta(t0, "a", *d)
	require.EqualError(t, err, "6005 peer-message-malformed: tables from host a do not match the hash in its answer")
	require.Equal(t, [2]int64{1, 2}, versionPair(b))
	require.Zero(t, pulls[0].Pull.Base.Routes, "the next pull asks for whole tables")
	_, err = b.OnDelta(t0, "a", *a.OnPull(t0, "b", *pulls[0].Pull)[0].Delta)
	require.NoError(t, err)
	require.Equal(t, [2]int64{1, 3}, versionPair(b))
}

// Guards against a pull that waits forever for a dead host, and against more than
// two open pulls.
func TestPullTimeout(t *testing.T) {
	a := newSync("a", "a", "b", "c")
	source := newSync("x", "x")
	source.FromPlatform(t0, routesAt(1, "a"), poolsAt(2, "a"))
	v := source.Versions(t0)
	a.nextID = 10
	first := append(a.OnVersions(t0, "b", v), a.OnVersions(t0, "c", v)...)
	require.Len(t, first, 1, "one pull covers the same versions")
	require.Empty(t, a.Tick(at(pullTimeout-1)))
	next := a.Tick(at(pullTimeout + pullJitter))
	require.Len(t, next, 1)
	require.NotEqual(t, first[0].To, next[0].To)
	v.Routes++
	require.Len(t, a.OnVersions(at(pullTimeout+pullJitter), "d", v), 1)
	only := newSync("a", "a", "b")
	require.Len(t, only.OnVersions(t0, "b", v), 1)
	require.Empty(t, only.Tick(at(pullTimeout+pullJitter)), "no pull goes to the host within avoidPeer")
	require.Len(t, only.Tick(at(time.Minute)), 1, "pulls go to the host again after avoidPeer")
	v.Routes++
	require.Empty(t, a.OnVersions(at(pullTimeout+pullJitter), "e", v))
}

// Guards against successive lost messages delaying a host that needs tables: after
// a timeout, two hosts are asked for the same versions.
func TestTwoAfterTimeout(t *testing.T) {
	a := newSync("a", "a", "b", "c", "d", "e")
	v := Versions{Routes: 1, Pools: 2, Hash: 3, UnconfirmedMS: -1}
	require.Len(t, a.OnVersions(t0, "b", v), 1)
	for _, host := range []string{"c", "d", "e"} {
		require.Empty(t, a.OnVersions(t0, host, v))
	}
	out := a.Tick(at(pullTimeout + pullJitter))
	require.Len(t, out, 2)
	require.NotEqual(t, out[0].To, out[1].To)
}

// Guards against tables that reach one host of a domain after a partition between
// domains and do not spread from there, and against every host of a domain
// repeating the announcement of a watcher.
func TestAnnounceFromOtherDomain(t *testing.T) {
	for from, want := range map[string]int{"a": 0, "x": 2} {
		source, b := newSync(from, from), newSync("b", "a", "b", "c")
		source.FromPlatform(t0, routesAt(1, "a"), poolsAt(2, "a"))
		pull := b.OnVersions(t0, from, source.Versions(t0))[0].Pull
		out, err := b.OnDelta(t0, from, *source.OnPull(t0, "b", *pull)[0].Delta)
		require.NoError(t, err)
		require.Len(t, out, want)
		for _, o := range out {
			require.Equal(t, b.Versions(t0), *o.Announce)
		}
	}
}

// Guards against repeated pulls between two hosts whose pairs cannot be combined,
// and against a combined pair that lacks the newer table of either host.
func TestMerge(t *testing.T) {
	a, b := newSync("a", "a", "b"), newSync("b", "a", "b")
	for _, s := range []*Sync{a, b} {
		s.FromPlatform(t0, routesAt(1, "a"), poolsAt(2, "a", "b"))
	}
	a.FromPlatform(t0, routesAt(3, "b"))
	b.FromPlatform(t0, poolsAt(4, "a"))
	_, err := exchange(t, t0, b, a)
	require.EqualError(t, err, `5000 table-invalid: route "b": pool: no pool is called "b"`)
	require.Equal(t, [2]int64{1, 4}, versionPair(b))
	require.Empty(t, b.OnVersions(at(time.Hour), "a", a.Versions(t0)))
	b.FromPlatform(t0, poolsAt(5, "a", "b"))
	_, err = exchange(t, at(time.Hour), b, a)
	require.NoError(t, err)
	require.Equal(t, [2]int64{3, 5}, versionPair(b))
	require.Empty(t, firstProblem(b))
}

// Guards against an answer above the message limit, and against parts of different
// answers being combined: the tables change after the first part was sent. Random
// text keeps them from being compressed into one part.
func TestParts(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	random := func() string {
		var n strings.Builder
		for range 900 {
			n.WriteByte("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"[r.IntN(64)])
		}
		return n.String()
	}
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprintf("n%d", i)
	}
	routes, pools := routesAt(2, names...), poolsAt(1, names...)
	lengthen := func(value []byte, at, with string) []byte {
		parts := strings.Split(string(value), at)
		for i := range parts[1:] {
			parts[i] += fmt.Sprintf(with, random())
		}
		return []byte(strings.Join(parts, at))
	}
	routes.Value = lengthen(routes.Value, "\"\npool", "/%s")
	pools.Value = lengthen(pools.Value, "servers = []", "probe_path = \"/%s\"\n")
	require.Less(t, len(pools.Value), platform.MaxValueBytes)
	require.Less(t, len(routes.Value), platform.MaxValueBytes)
	a, b := newSync("a", "a", "b"), newSync("b", "a", "b")
	a.FromPlatform(t0, pools, routes)
	require.Equal(t, [2]int64{2, 1}, versionPair(a))
	out := b.OnVersions(t0, "a", a.Versions(t0))
	changed, parts := false, 0
	for len(out) > 0 {
		now := at(time.Duration(parts) * 10 * time.Second)
		d := a.OnPull(now, "b", *out[0].Pull)[0].Delta
		encoded, err := cbor.Marshal(d)
		require.NoError(t, err)
		require.Less(t, len(encoded), 1<<20)
		if parts++; !changed {
			changed = true
			routes.Version, routes.Value = 3, append(routes.Value, '#')
			a.FromPlatform(t0, routes)
		}
		out, err = b.OnDelta(now, "a", *d)
		require.NoError(t, err)
	}
	require.Equal(t, 3, parts, "one of the first answer, two of the second")
	require.Equal(t, [2]int64{3, 1}, versionPair(b))
}

// Guards against a host with tables that sends an unlimited number of bytes while
// a whole domain starts.
func TestBusy(t *testing.T) {
	a := newSync("a", "a")
	names := make([]string, 3000)
	for i := range names {
		names[i] = fmt.Sprintf("n%x", i*7919)
	}
	a.FromPlatform(t0, routesAt(1, names...), poolsAt(2, names...))
	sent := 0
	for range 1000 {
		sent += len(a.OnPull(t0, "x", Pull{ID: 1})[0].Delta.Data)
	}
	require.LessOrEqual(t, sent, serveBurst)
	require.True(t, a.OnPull(t0, "x", Pull{ID: 1})[0].Delta.Busy)
	b := newSync("b", "a", "b")
	out := b.OnVersions(t0, "a", a.Versions(t0))
	out, err := b.OnDelta(t0, "a", *a.OnPull(t0, "b", *out[0].Pull)[0].Delta)
	require.NoError(t, err)
	require.Empty(t, out)
	require.Len(t, b.Tick(at(avoidBusy+pullJitter)), 1)
}

// Guards against a status that hides how long a host has been cut off from the
// platform.
func TestStatus(t *testing.T) {
	a, b := newSync("a", "a", "b"), newSync("b", "a", "b")
	require.Equal(t, Status{Versions: Versions{UnconfirmedMS: -1}, Source: SourceNone, Unconfirmed: -1, Watching: true}, b.Status(t0))
	a.FromPlatform(t0, routesAt(1, "a"), poolsAt(2, "a"))
	_, err := exchange(t, at(time.Second), b, a)
	require.NoError(t, err)
	b.OnVersions(at(2*time.Second), "a", a.Versions(at(2*time.Second)))
	st := b.Status(at(5 * time.Second))
	require.Equal(t, SourcePeer, st.Source)
	require.Equal(t, "a", st.SourceHost)
	require.Equal(t, 4*time.Second, st.Age)
	require.Equal(t, 5*time.Second, st.Unconfirmed)
	require.Equal(t, SourcePlatform, a.Status(t0).Source)
	require.Len(t, Watchers("d", []string{"a", "b", "c"}), 2)
}

// Guards against a decoder that panics, allocates without bound, or puts tables in
// force that no platform would accept.
func FuzzDelta(f *testing.F) {
	a := newSync("a", "a", "b")
	a.FromPlatform(t0, routesAt(1, "a"), poolsAt(2, "a"))
	whole := a.OnPull(t0, "b", Pull{ID: 1})[0].Delta
	f.Add(whole.Data, int64(1), int64(2), whole.To.Hash)
	base := a.Versions(t0)
	a.FromPlatform(t0, poolsAt(3, "a", "b"))
	delta := a.OnPull(t0, "b", Pull{ID: 1, Base: base})[0].Delta
	f.Add(delta.Data, int64(1), int64(3), delta.To.Hash)
	f.Add([]byte{0xff}, int64(5), int64(5), uint64(0))
	f.Fuzz(func(t *testing.T, data []byte, routes, pools int64, hash uint64) {
		b := newSync("b", "a", "b")
		b.FromPlatform(t0, routesAt(1, "a"), poolsAt(2, "a"))
		out := b.OnVersions(t0, "a", Versions{Routes: 1, Pools: 9})
		before := versionPair(b)
		d := Delta{ID: out[0].Pull.ID, To: Versions{Routes: routes, Pools: pools, Hash: hash}, Parts: 1, Data: data}
		if _, err := b.OnDelta(t0, "a", d); err != nil {
			require.Contains(t, []result.Code{result.PeerMessageMalformed, result.PeerMessageTooLarge, result.TableInvalid, result.VersionConflict}, result.CodeOf(err))
			require.Equal(t, before, versionPair(b))
		}
		require.GreaterOrEqual(t, versionPair(b)[0], before[0])
		require.GreaterOrEqual(t, versionPair(b)[1], before[1])
	})
}
