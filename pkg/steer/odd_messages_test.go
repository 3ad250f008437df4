package steer

import (
	"bytes"
	"context"
	"encoding/json"
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/placing"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// Guards against datagrams with values outside their range, which would index
// beyond a table or put loads out of proportion.
func TestOddDatagramsAreIgnored(t *testing.T) {
	h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": answerOK})
	conn, err := net.Dial("udp4", h.self.PeerAddress)
	require.NoError(t, err)
	defer conn.Close()
	nan := float64(0)
	nan /= nan
	odd := []datagram{
		{},
		{From: "x", SlotReply: &slotReply{Class: 99}},
		{From: "x", SlotReply: &slotReply{Class: -1}},
		{From: "x", SlotReply: &slotReply{Verdict: 17}},
		{From: "x", SlotReply: &slotReply{Service: -time.Second}},
		{From: "x", SlotReply: &slotReply{Load: float32(nan)}},
		{From: "x", Completions: []completion{{Pool: "p", Outcome: 50}}},
		{From: "x", Completions: []completion{{Pool: "p", Running: -5, LoadReported: true}}},
		{From: "x", Report: []report{{Pool: "p", Region: "b", Report: placing.Report{Pressure: nan}}}},
		{From: "x", Report: []report{{Pool: "p", Region: "b", Report: placing.Report{Slots: -1}}}},
		{From: "x", Report: []report{{Pool: "p", Region: "b", Report: placing.Report{Loads: map[string]int{"s1": -9}}}}},
		{From: "x", Beacon: &beacon{Loads: map[string]int{"s1": 1 << 40}}},
		{From: "x", Beacon: &beacon{Host: &fleet.EntryHost{Name: "x", Domain: "a-1", Region: "a", Capacity: nan}}},
		{From: "x", Joined: []fleet.EntryHost{{Name: "y", Domain: "a-1", Region: "a", PeerAddress: "10.0.0.1:99999"}}},
	}
	for _, d := range odd {
		raw, err := cbor.Marshal(&d)
		require.NoError(t, err)
		_, err = conn.Write(raw)
		require.NoError(t, err)
	}
	for _, raw := range [][]byte{{0xff}, bytes.Repeat([]byte{0x81}, 1000), []byte("GET / HTTP/1.1\r\n\r\n")} {
		_, err = conn.Write(raw)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		return testutil.ToFloat64(h.metrics.malformedMessages) == float64(len(odd)+3)
	}, waitTimeout, time.Millisecond)
	status, _, _ := sendRequest(t, h, "GET", "/safe/x")
	require.Equal(t, http.StatusOK, status)
}

// Guards against one odd entry in the copy of a peer of another version that keeps
// this host from following the others.
func TestOddItemsOfAPeer(t *testing.T) {
	good := fleet.Server{ID: "s1", Pool: "p", Address: "10.0.0.1:80", Domain: "a-1", Slots: 4}
	odd := good
	odd.ID, odd.Address = "s2", "10.0.0.1:99999"
	raw, err := cbor.Marshal(&feedAnswer{
		Hosts: []fleet.EntryHost{{Name: "x"}},
		Changes: [feed.NumKinds]*feed.Changes{
			feed.Tables: {Revision: 3, Complete: true, Items: []feed.Item{{Name: "main", Revision: 3, Table: &fleet.Table{
				Version: 3, Routes: []fleet.Route{{Targets: []fleet.Target{{Pool: "p", Weight: -1}, {Pool: "q", Weight: 1}}}},
			}}}},
			feed.Servers: {Revision: 3, Complete: true, Items: []feed.Item{{Name: "s1", Revision: 2, Server: &good}, {Name: "s2", Revision: 3, Server: &odd}}},
		},
	})
	require.NoError(t, err)
	var a feedAnswer
	require.NoError(t, decodeFeedAnswer(raw, &a))
	require.Empty(t, a.Hosts)
	replicas := [feed.NumKinds]*feed.Replica{feed.Tables: feed.NewReplica(), feed.Servers: feed.NewReplica()}
	replicas[feed.Tables].Apply(feed.Changes{Revision: 1, Complete: true, Items: []feed.Item{{Name: "main", Revision: 1, Table: &fleet.Table{Version: 1}}}})
	for _, kind := range []feed.Kind{feed.Tables, feed.Servers} {
		replicas[kind].Apply(*a.Changes[kind])
	}
	require.Equal(t, int64(1), replicas[feed.Tables].Items()["main"].Table.Version, "the last tables that could be read")
	require.Len(t, replicas[feed.Servers].Items(), 1)
	require.Equal(t, &good, replicas[feed.Servers].Items()["s1"].Server)
	require.Error(t, (&feedAnswer{AgeMS: -1}).check())
}

// Guards against decoders that panic or accept what the handlers cannot use.
func FuzzDatagrams(f *testing.F) {
	for _, d := range []datagram{
		{From: "x", StartedMS: 1, Beacon: &beacon{Ready: true, Loads: map[string]int{"s1": 2}}},
		{From: "x", SlotRequest: &slotRequest{ID: 1, Pool: "p", Route: "safe", Key: "k", TargetMS: 100, RemainingMS: 500}},
		{From: "x", SlotReply: &slotReply{ID: 1, Server: "s1"}},
		{From: "x", Completions: []completion{{ID: 1, Pool: "p", Notice: &notice{StartedMS: 1, Leaving: true, PauseMS: 5}}}},
		{From: "x", Report: []report{{Pool: "p", Region: "b", Report: placing.Report{Leaving: map[string]int64{"s1": 1}}}}},
		{From: "x", Digest: []sighting{{ID: 1, AgeMS: 5}}},
	} {
		raw, err := cbor.Marshal(&d)
		require.NoError(f, err)
		f.Add(raw)
	}
	h := newUnstartedHost(f)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var d datagram
		if decodeDatagram(raw, &d) == nil && d.From != h.self.Name {
			h.handleDatagram(netip.AddrPort{}, &d)
		}
	})
}

// Guards against copies of the store from another host that this host cannot use.
func FuzzFeedAnswers(f *testing.F) {
	server := fleet.Server{ID: "s1", Pool: "p", Address: "10.0.0.1:80", Domain: "a-1", Slots: 4}
	raw, err := cbor.Marshal(&feedAnswer{AgeMS: 5, Changes: [feed.NumKinds]*feed.Changes{
		feed.Tables:  {Revision: 3, Items: []feed.Item{{Name: "main", Revision: 3, Table: &fleet.Table{Version: 3}}}},
		feed.Servers: {Revision: 3, Complete: true, Items: []feed.Item{{Name: "s1", Revision: 2, Server: &server}}},
	}})
	require.NoError(f, err)
	f.Add(raw)
	h := newUnstartedHost(f)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var a feedAnswer
		if decodeFeedAnswer(raw, &a) != nil {
			return
		}
		for kind, c := range a.Changes {
			if c != nil {
				h.applyChanges(feed.Kind(kind), "peer", *c, time.Now())
			}
		}
	})
}

// newUnstartedHost returns a host with a table and a server that does not listen.
func newUnstartedHost(t testing.TB) *Host {
	cfg, err := ParseSettings("s.toml", []byte(validSettings))
	require.NoError(t, err)
	h := New(cfg, testNames, newSource(), &log.Logger{Level: log.FatalLevel, Writer: log.IOWriter{Writer: io.Discard}})
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	h.udp = conn.(*net.UDPConn)
	h.applyTable(&fleet.Table{Version: 1, Pools: []fleet.Pool{{Name: "p"}}})
	h.applyServers([]fleet.Server{{ID: "s1", Pool: "p", Address: "127.0.0.1:9", Domain: "a-1", Slots: 4, StartedMS: 1}}, time.Time{})
	return h
}

// panickingSource panics at the first watch of the servers.
type panickingSource struct {
	*memorySource
	panicked chan struct{}
}

func (s *panickingSource) Watch(ctx context.Context, kind feed.Kind, after feed.Position, wait time.Duration) (feed.Changes, error) {
	if kind == feed.Servers {
		select {
		case <-s.panicked:
		default:
			close(s.panicked)
			panic("unexpected answer")
		}
	}
	return s.memorySource.Watch(ctx, kind, after, wait)
}

// Guards against an unexpected error in the handling of one answer of the store, or
// of one request, that ends the process.
func TestPanicsEndOneTask(t *testing.T) {
	source := &panickingSource{newSource(), make(chan struct{})}
	putTable(source.memorySource, 3)
	s1 := newTestServer(t, "s1", answerOK)
	putServer(source.memorySource, s1, "a-1")
	h := startHost(t, source, "h1", "a-1")
	ready(t, h, 1)
	<-source.panicked
	s2 := newTestServer(t, "s2", answerOK)
	putServer(source.memorySource, s2, "a-1")
	ready(t, h, 2)
	require.InDelta(t, 1, testutil.ToFloat64(h.metrics.panics.WithLabelValues("store")), 0)

	require.False(t, h.protect("test", func() { panic(stderrors.New("unexpected")) }))
	handler := h.protectHandler("test", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("unexpected") }))
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { handler.ServeHTTP(nil, nil) }, "net/http then closes the connection")
	require.InDelta(t, 2, testutil.ToFloat64(h.metrics.panics.WithLabelValues("test")), 0)
}

// Guards against lines of libraries that are no JSON or exceed the rate limit.
func TestLibraryLog(t *testing.T) {
	var out bytes.Buffer
	cfg, err := ParseSettings("s.toml", []byte(strings.Replace(validSettings, "rate = 100", "rate = 2", 1)))
	require.NoError(t, err)
	h := New(cfg, testNames, newSource(), &log.Logger{Writer: log.IOWriter{Writer: &out}})
	for range 5 {
		_, err := io.WriteString(h.LibraryLog(), unsolicitedAnswer+" starting with \"HTTP/1.1 200\"; err=<nil>\n")
		require.NoError(t, err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(lines[0]), &line))
	require.Contains(t, line["line"], unsolicitedAnswer)
	require.InDelta(t, 5, testutil.ToFloat64(h.metrics.unsolicitedAnswers), 0)
	require.InDelta(t, 3, testutil.ToFloat64(h.metrics.logDropped), 0)
}

// Guards against logging an odd entry with every list, and against not logging it
// again after it was mended.
func TestUnreadableEntriesAreLoggedOnce(t *testing.T) {
	var u unreadableEntries
	odd := []feed.Unreadable{{Name: "i-1", Err: stderrors.New("x")}}
	added, mended := u.update("servers", true, nil, odd)
	require.Equal(t, odd, added)
	require.Empty(t, mended)
	added, mended = u.update("servers", true, nil, odd)
	require.Empty(t, added)
	require.Empty(t, mended)
	_, mended = u.update("servers", false, []feed.Item{{Name: "i-2"}}, nil)
	require.Empty(t, mended, "a watch tells only of changes")
	require.Equal(t, 1, u.count("servers"))
	_, mended = u.update("servers", false, []feed.Item{{Name: "i-1"}}, nil)
	require.Equal(t, []string{"i-1"}, mended)
	added, _ = u.update("servers", false, []feed.Item{{Name: "i-1", Deleted: true}}, odd)
	require.Equal(t, odd, added)
	_, mended = u.update("servers", true, nil, nil)
	require.Equal(t, []string{"i-1"}, mended)
}
