package once

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// runner is a running request and the host that runs it.
type runner struct {
	host string
	key  Key
	op   *StoreOp
}

// model is a state machine in which rapid interleaves hosts, messages and
// faults. mayRun counts per key the requests that ran, may have run or may still
// run.
type model struct {
	now     time.Time
	owners  map[string]*Owner
	stores  map[string]*StoreKeys
	skew    map[string]time.Duration
	keys    []Key
	mayRun  map[string]int
	ran     map[string]bool
	running []runner
	chunks  []Chunk
	ops     []*storeCall
	objects map[string]platform.Object
	delayed []StoreAction
	version int64
}

// storeCall is a request with an opaque key that is not decided yet, and the host
// that received it.
type storeCall struct {
	host string
	op   *StoreOp
	step StoreStep
}

func newModel() *model {
	m := &model{
		now: epoch, owners: map[string]*Owner{}, stores: map[string]*StoreKeys{}, skew: map[string]time.Duration{},
		mayRun: map[string]int{}, ran: map[string]bool{}, objects: map[string]platform.Object{},
	}
	for _, h := range []string{"a", "b", "c"} {
		m.startHost(h)
	}
	for i := range 6 {
		m.keys = append(m.keys, Key{Text: fmt.Sprintf("opaque-%d", i), Opaque: true})
	}
	return m
}

func (m *model) startHost(name string) {
	id := Identity{Domain: "d", Host: name, Incarnation: m.now.UnixMilli()}
	// Room for a few records per shard, so that eviction and refusal happen.
	m.owners[name] = NewOwner(id, m.now, shardCount*1000)
	m.owners[name].chunkBytes = 400
	m.stores[name] = NewStoreKeys(id, 1)
	m.skew[name] = 0
}

func (m *model) clock(host string) time.Time { return m.now.Add(m.skew[host]) }

func (m *model) started(t *rapid.T, host string, key Key, op *StoreOp) {
	m.mayRun[key.Text]++
	if m.mayRun[key.Text] > 1 {
		t.Fatalf("%s is run a second time, by %s", key.Text, host)
	}
	m.running = append(m.running, runner{host, key, op})
}

// checkRefusal checks the run state in a refusal.
func (m *model) checkRefusal(t *rapid.T, key Key, err error) {
	e := result.From(err)
	if e.Run == result.NotRun && m.mayRun[key.Text] > 0 {
		t.Fatalf("%s may have run and was refused as not-run: %v", key.Text, err)
	}
	if e.Run == result.Run && !m.ran[key.Text] {
		t.Fatalf("%s did not run and was refused as run: %v", key.Text, err)
	}
}

func (m *model) request(t *rapid.T) {
	host := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host")
	key := m.keys[rapid.IntRange(max(0, len(m.keys)-12), len(m.keys)-1).Draw(t, "key")]
	if key.Opaque {
		op, step := m.stores[host].Begin(m.clock(host), Request{Key: key})
		m.ops = append(m.ops, &storeCall{host, op, step})
		return
	}
	start, err := m.owners[host].Begin(m.clock(host), Request{Key: key})
	switch {
	case err != nil:
		m.checkRefusal(t, key, err)
	case start.Run:
		m.started(t, host, key, nil)
	default:
		require.True(t, m.ran[key.Text])
		require.Equal(t, key.Text, start.Replay.Header["Key"][0])
	}
}

func (m *model) newKey(t *rapid.T) {
	host := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host")
	o := m.owners[host]
	window := o.currentWindow(m.clock(host)) + rapid.Int64Range(-1, 2).Draw(t, "ahead")
	prefix := FormatPrefix(o.Self(), max(window, 0)) + "."
	// All keys fall into two shards, which fill up.
	for i := 0; ; i++ {
		text := prefix + fmt.Sprintf("%d-%d", len(m.keys), i) + strings.Repeat("x", minRandom)
		if s := o.shardOf(text); s == &o.shards[0] || s == &o.shards[1] {
			m.keys = append(m.keys, mustKey(t, text))
			return
		}
	}
}

func (m *model) takeRunning(t *rapid.T) runner {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
	r := m.running[i]
	m.running = append(m.running[:i:i], m.running[i+1:]...)
	return r
}

func (m *model) finish(t *rapid.T) {
	r := m.takeRunning(t)
	out := Outcome{State: rapid.SampledFrom([]State{Ran, Unsettled, NotRun}).Draw(t, "outcome")}
	switch out.State {
	case NotRun:
		m.mayRun[r.key.Text]--
	case Ran:
		m.ran[r.key.Text] = true
		body := make([]byte, rapid.IntRange(0, 900).Draw(t, "body"))
		out.Answer = &Answer{Status: 200, Header: map[string][]string{"Key": {r.key.Text}}, Body: body}
	}
	if r.op == nil {
		require.NoError(t, m.owners[r.host].Finish(m.clock(r.host), r.key, out))
	} else if a := m.stores[r.host].Finish(m.clock(r.host), r.op, out); a != nil {
		m.delayed = append(m.delayed, *a)
	}
}

// crash ends a process without a handoff; its requests may or may not have run.
// A new process starts under the same host name.
func (m *model) crash(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "survives") > 0 {
		t.Skip("no crash")
	}
	host := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host")
	kept := m.running[:0]
	for _, r := range m.running {
		if r.host != host {
			kept = append(kept, r)
		}
	}
	m.running = kept
	var ops []*storeCall
	for _, c := range m.ops {
		if c.host != host {
			ops = append(ops, c)
		} else if a := c.step.Action; a != nil && a.Verb == StorePut && rapid.Bool().Draw(t, "arrives") {
			m.delayed = append(m.delayed, *a)
		}
	}
	m.ops = ops
	m.now = m.now.Add(time.Millisecond)
	m.startHost(host)
}

func (m *model) export(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "stays") > 0 {
		t.Skip("no handoff")
	}
	from := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "from")
	to := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "to")
	chunks, err := m.owners[from].Export(m.clock(from), m.owners[to].Self())
	if err == nil {
		m.chunks = append(m.chunks, chunks...)
	}
	if c, ok := m.owners[from].TakeLate(m.clock(from)); ok {
		m.chunks = append(m.chunks, c)
	}
}

// deliver imports one chunk; chunks arrive in any order and any number of times.
func (m *model) deliver(t *rapid.T) {
	if len(m.chunks) == 0 {
		t.Skip("no chunk")
	}
	c := rapid.SampledFrom(m.chunks).Draw(t, "chunk")
	to := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "to")
	if rapid.IntRange(0, 3).Draw(t, "right") > 0 {
		to = c.To.Host
	}
	_ = m.owners[to].Import(m.clock(to), c)
}

func (m *model) apply(a StoreAction) StoreResult {
	old := m.objects[a.Key]
	if a.Verb == StoreGet {
		if old.Version == 0 {
			return StoreResult{Err: platform.ErrNotFound}
		}
		return StoreResult{Object: old}
	}
	if old.Version != a.IfVersion {
		return StoreResult{Err: platform.ErrConflict}
	}
	m.version++
	m.objects[a.Key] = platform.Object{Key: a.Key, Version: m.version, Value: a.Value}
	return StoreResult{Object: m.objects[a.Key]}
}

// store executes one step of an opaque key; the call may be refused, lost
// before or after it takes effect, or take effect later.
func (m *model) store(t *rapid.T) {
	if len(m.ops) == 0 {
		t.Skip("no store action")
	}
	i := rapid.IntRange(0, len(m.ops)-1).Draw(t, "op")
	c := m.ops[i]
	if a := c.step.Action; a != nil {
		lost := errors.New("connection reset")
		var r StoreResult
		switch rapid.IntRange(0, 5).Draw(t, "fate") {
		case 0:
			r = StoreResult{Err: platform.ErrUnavailable}
		case 1:
			r = StoreResult{Err: lost}
			if a.Verb == StorePut {
				m.delayed = append(m.delayed, *a)
			}
		case 2:
			m.apply(*a)
			r = StoreResult{Err: lost}
		default:
			r = m.apply(*a)
		}
		c.step = c.op.Next(m.clock(c.host), r)
		return
	}
	m.ops = append(m.ops[:i:i], m.ops[i+1:]...)
	if c.step.Run {
		m.started(t, c.host, c.op.req.Key, c.op)
	} else {
		m.checkRefusal(t, c.op.req.Key, c.step.Err)
	}
}

func (m *model) applyDelayed(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("no delayed call")
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "delayed")
	m.apply(m.delayed[i])
	m.delayed = append(m.delayed[:i:i], m.delayed[i+1:]...)
}

func (m *model) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.Int64Range(0, int64(4*time.Minute)).Draw(t, "time")))
	host := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host")
	m.skew[host] = time.Duration(rapid.Int64Range(-int64(3*time.Minute), int64(3*time.Minute)).Draw(t, "skew"))
}

// Guards against keys that run twice and refusals with a wrong run state, in any
// order of duplicates, crashes, clock steps, handoffs, evictions, and lost,
// repeated or delayed messages.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"request": m.request, "request2": m.request, "newKey": m.newKey, "finish": m.finish, "die": m.crash,
			"export": m.export, "deliver": m.deliver, "deliver2": m.deliver, "deliver3": m.deliver, "request3": m.request, "finish2": m.finish, "store": m.store, "store2": m.store,
			"late": m.applyDelayed, "pass": m.advanceTime,
		})
	})
}
