package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
)

// domain is a set of nodes on a network under virtual time.
type domain struct {
	t     testing.TB
	sched *vtime.Scheduler
	nodes map[string]*Node
	// crashed nodes neither tick nor receive. suspended nodes do not tick either;
	// their messages are kept in deferred until resume.
	crashed, suspended map[string]bool
	deferred           map[string][]Message
	// loss is the probability that a message is lost. All messages are lost for
	// which cut is true.
	loss float64
	cut  func(from, to string) bool
}

func newDomain(t testing.TB, seed uint64, size int) *domain {
	d := &domain{
		t: t, sched: vtime.New(seed), nodes: map[string]*Node{}, crashed: map[string]bool{},
		suspended: map[string]bool{}, deferred: map[string][]Message{},
	}
	for i := range size {
		d.start(fmt.Sprintf("h%02d", i))
	}
	return d
}

func (d *domain) start(name string) *Node {
	n := New(Config{Name: name, Address: name, Incarnation: d.sched.Now().UnixMilli() + 1})
	d.nodes[name], d.crashed[name] = n, false
	d.send(name, n.Join(d.sched.Now(), []string{"h00", "h01"}))
	var tick func()
	tick = func() {
		if d.nodes[name] != n {
			return
		}
		if !d.crashed[name] && !d.suspended[name] {
			d.send(name, n.Tick(d.sched.Now(), d.sched.Rand))
		}
		d.sched.After(TickInterval, tick)
	}
	d.sched.After(time.Duration(d.sched.Rand.Int64N(int64(TickInterval))), tick)
	return n
}

func (d *domain) send(from string, out []Outgoing) {
	for _, o := range out {
		b, err := Encode(o.Message)
		require.NoError(d.t, err)
		msg, err := Decode(b)
		require.NoError(d.t, err)
		to := o.Address
		if d.sched.Rand.Float64() < d.loss || d.cut != nil && d.cut(from, to) {
			continue
		}
		d.sched.After(500*time.Microsecond, func() {
			if d.suspended[to] {
				d.deferred[to] = append(d.deferred[to], msg)
			} else if n := d.nodes[to]; n != nil && !d.crashed[to] {
				d.send(to, n.Receive(d.sched.Now(), msg))
			}
		})
	}
}

// resume ends the suspension of a node, which ticks first and then reads its
// deferred messages.
func (d *domain) resume(name string) {
	d.suspended[name] = false
	d.send(name, d.nodes[name].Tick(d.sched.Now(), d.sched.Rand))
	for _, m := range d.deferred[name] {
		d.send(name, d.nodes[name].Receive(d.sched.Now(), m))
	}
	d.deferred[name] = nil
}

func (d *domain) run(dur time.Duration) { d.sched.RunUntil(d.sched.Elapsed() + dur) }

func (d *domain) state(observer, name string) State {
	for _, m := range d.nodes[observer].Members(d.sched.Now()) {
		if m.Name == name {
			return m.State
		}
	}
	return 0
}

// requireAll checks the state of name at every running node.
func (d *domain) requireAll(name string, want State) {
	for observer := range d.nodes {
		if observer != name && !d.crashed[observer] {
			require.Equal(d.t, want, d.state(observer, name), "%s as seen by %s", name, observer)
		}
	}
}

// Guards against an undetected crash, against a replacement that is taken for the
// old process, and against a leaving host that lookups still name because it is not
// shown as leaving.
func TestCrashReplaceLeave(t *testing.T) {
	d := newDomain(t, 1, 20)
	d.run(10 * time.Second)
	for name := range d.nodes {
		d.requireAll(name, Alive)
	}
	d.crashed["h07"] = true
	old := d.nodes["h07"].self.Incarnation
	d.run(8 * time.Second)
	d.requireAll("h07", Dead)

	d.start("h07")
	d.run(3 * time.Second)
	d.requireAll("h07", Alive)
	require.Greater(t, d.nodes["h00"].members["h07"].Incarnation, old)

	d.send("h03", d.nodes["h03"].Leave(d.sched.Now()))
	d.run(10 * time.Millisecond)
	d.requireAll("h03", Leaving)
	d.run(10 * time.Second)
	d.requireAll("h03", Leaving)
	d.send("h03", d.nodes["h03"].Exit(d.sched.Now()))
	d.run(10 * time.Millisecond)
	d.requireAll("h03", Dead)
}

// Guards against a process that removes the others after a pause, because their
// answers arrived while it did not run and are read only after its first tick.
func TestPausedNodeDoubtsItself(t *testing.T) {
	for _, pause := range []time.Duration{1200 * time.Millisecond, 2500 * time.Millisecond, 30 * time.Second} {
		d := newDomain(t, 2, 12)
		d.run(10 * time.Second)
		paused := d.nodes["h05"]
		// With a suspicion that is 2 s old, 1 s before its timeout, a late tick
		// would remove the host.
		paused.suspect(d.sched.Now(), paused.members["h06"])
		paused.members["h06"].since = d.sched.Now().Add(time.Second - SuspectTimeout)
		d.suspended["h05"] = true
		d.run(pause)
		d.resume("h05")
		d.run(5 * time.Second)
		for name := range d.nodes {
			if name != "h05" {
				require.Equal(t, Alive, d.state("h05", name), name)
			}
		}
		require.Zero(t, paused.counts.Removals)
	}
}

// Guards against two sides of a network partition that removed each other and do
// not merge after it heals, and against sets of hosts that stay different.
func TestPartsOfADomainMerge(t *testing.T) {
	d := newDomain(t, 3, 12)
	d.run(10 * time.Second)
	d.cut = func(from, to string) bool { return (from < "h06") != (to < "h06") }
	d.run(30 * time.Second)
	require.Equal(t, Dead, d.state("h00", "h11"))
	d.cut = nil
	d.run(20 * time.Second)
	for name := range d.nodes {
		d.requireAll(name, Alive)
	}
}

// Guards against the platform's list, which lags, removing a live host or marking
// the replacement of a leaving host as leaving.
func TestPlatformList(t *testing.T) {
	d := newDomain(t, 4, 4)
	d.run(5 * time.Second)
	d.nodes["x"] = New(Config{Name: "x", Address: "x", Incarnation: 5})
	h0 := d.nodes["h00"]
	h0.SetPlatformHosts(d.sched.Now(), []PlatformHost{{Name: "x", Address: "x"}, {Name: "h01", Address: "h01", Leaving: true}})
	d.run(3 * time.Second)
	require.Equal(t, Alive, d.state("h00", "x"), "a listed host is probed")
	require.Equal(t, Alive, d.state("h00", "h02"), "a host that is not listed stays")
	require.Equal(t, Leaving, d.state("h00", "h01"))
	d.start("h01")
	d.run(3 * time.Second)
	h0.SetPlatformHosts(d.sched.Now(), []PlatformHost{{Name: "h01", Address: "h01", Leaving: true}})
	require.Equal(t, Alive, d.state("h00", "h01"))
}

// Guards against updates that hosts order differently, and against a process that
// contradicts its replacement.
func TestOrderOfUpdates(t *testing.T) {
	base := Update{Name: "a", Address: "a", Incarnation: 5, Counter: 2, State: Alive}
	with := func(f func(*Update)) Update { u := base; f(&u); return u }
	newer := []Update{
		with(func(u *Update) { u.State = Suspect }),
		with(func(u *Update) { u.State = Dead }),
		with(func(u *Update) { u.Counter = 3 }),
		with(func(u *Update) { u.Incarnation, u.Counter = 6, 0 }),
	}
	for i, u := range newer {
		require.True(t, u.supersedes(base))
		require.False(t, base.supersedes(u))
		for _, v := range newer[i+1:] {
			require.True(t, v.supersedes(u))
		}
	}
	n := New(Config{Name: "a", Address: "a", Incarnation: 5})
	now := vtime.Epoch
	n.apply(now, with(func(u *Update) { u.State = Dead }))
	require.Equal(t, uint64(3), n.self.Counter, "a removal of itself is refuted")
	n.apply(now, newer[3])
	require.Equal(t, int64(5), n.self.Incarnation)
	require.Equal(t, Superseded, n.TakeEvents()[0].Kind)
}

// Guards against sets of hosts that stay different after an update was lost, and
// against a full exchange at every probe.
func TestDifferingDigest(t *testing.T) {
	n := New(Config{Name: "a", Address: "a", Incarnation: 5})
	from := Update{Name: "b", Address: "b", Incarnation: 5, State: Alive}
	asked := 0
	for i := range 14 {
		msg := Message{Kind: Ping, From: from, Digest: 1}
		for _, o := range n.Receive(vtime.Epoch.Add(time.Duration(i)*time.Second), msg) {
			if o.Message.Kind == SyncRequest {
				asked++
				require.GreaterOrEqual(t, time.Duration(i)*time.Second, syncDelay)
			}
		}
	}
	require.Equal(t, 3, asked, "at 3, 8 and 13 s")
}
