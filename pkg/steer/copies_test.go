package steer

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// logBuffer keeps log lines. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// lines returns the lines with a message.
func (b *logBuffer) lines(t *testing.T, message string) (out []map[string]any) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, line := range strings.Split(strings.TrimSpace(b.text.String()), "\n") {
		var fields map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &fields), line)
		if fields["message"] == message {
			out = append(out, fields)
		}
	}
	return out
}

// Guards against a refused request of which nobody can tell how old the tables and
// servers were that refused it, where they came from, and why there were no newer ones.
func TestRefusedRequestNamesItsCopies(t *testing.T) {
	var out logBuffer
	source := newSource()
	putTable(source, 3)
	putServer(source, newTestServer(t, "s1", answerOK), "a-1")
	h := startHostWith(t, source, "h1", "a-1", &out, func(s *Settings) { s.Log.Level = "info" })
	ready(t, h, 1)
	refuse := func() map[string]any {
		before := len(out.lines(t, "request"))
		status, _, _ := sendRequest(t, h, "GET", "/unknown/")
		require.Equal(t, 404, status)
		require.Eventually(t, func() bool { return len(out.lines(t, "request")) > before }, waitTimeout, time.Millisecond)
		return out.lines(t, "request")[before]
	}
	line := refuse()
	require.Equal(t, "store", line["tables_source"])
	require.Equal(t, "store", line["servers_source"])
	require.EqualValues(t, 3, line["tables_revision"])
	require.Less(t, line["tables_age_ms"], float64(waitTimeout.Milliseconds()))
	require.NotContains(t, line, "tables_not_taken")

	source.setDown(true)
	require.Eventually(t, func() bool { return h.copyStatus(time.Now(), feed.Servers).NotTaken != nil }, waitTimeout, time.Millisecond)
	line = refuse()
	require.Contains(t, line["servers_not_taken"], "call-failed from store")
	require.NotEmpty(t, out.lines(t, "news of the store not taken"))
	source.setDown(false)
	require.Eventually(t, func() bool { return h.copyStatus(time.Now(), feed.Servers).NotTaken == nil }, waitTimeout, time.Millisecond)
	require.NotEmpty(t, out.lines(t, "news of the store taken again"))
}

// Guards against news that disappears without a trace: each reason for which a host
// does not take it is in its status, in a metric and once in the log.
func TestNewsThatIsNotTaken(t *testing.T) {
	table := func(version, revision int64) feed.Item {
		return feed.Item{Name: "main", Revision: revision, Table: &fleet.Table{Version: version}}
	}
	for reason, news := range map[string][]feed.Changes{
		"older-era":         {{Revision: 18, Complete: true, Items: []feed.Item{table(12, 18)}}, {Revision: 19, Items: []feed.Item{table(13, 19)}}},
		"version-not-above": {{Era: 1, Revision: 11, Items: []feed.Item{table(9, 11)}}, {Era: 1, Revision: 12, Items: []feed.Item{table(8, 12)}}},
		"unreadable":        {{Era: 1, Revision: 11, Keep: []string{"main"}}, {Era: 1, Revision: 12, Keep: []string{"main"}}},
	} {
		t.Run(reason, func(t *testing.T) {
			h := newUnstartedHost(t)
			h.applyChanges(feed.Tables, sourceStore, feed.Changes{Era: 1, Revision: 10, Complete: true, Items: []feed.Item{table(10, 10)}}, time.Now())
			before := h.copyStatus(time.Now(), feed.Tables)
			require.Nil(t, before.NotTaken)
			require.Equal(t, sourceStore, before.Source)
			for _, c := range news {
				h.applyChanges(feed.Tables, "h2", c, time.Now())
			}
			got := h.copyStatus(time.Now(), feed.Tables).NotTaken
			require.NotNil(t, got)
			require.Equal(t, reason, got.Reason)
			require.Equal(t, "h2", got.Source)
			require.Equal(t, 2, got.Count)
			require.EqualValues(t, 2, testutil.ToFloat64(h.metrics.notTaken.WithLabelValues("tables", reason)))
			h.applyChanges(feed.Tables, sourceStore, feed.Changes{Era: 1, Revision: 20, Items: []feed.Item{table(20, 20)}}, time.Now())
			require.Nil(t, h.copyStatus(time.Now(), feed.Tables).NotTaken)
			require.Equal(t, sourceStore, h.copyStatus(time.Now(), feed.Tables).Source)
		})
	}
}

// Guards against a store that goes back without a later era and seems to be up to date.
func TestStoreThatGoesBack(t *testing.T) {
	h := newUnstartedHost(t)
	at := feed.Position{Revision: 10}
	require.NoError(t, h.takeStoreAnswer(feed.Servers, feed.Position{}, feed.Changes{Revision: 10, Complete: true}, time.Now()))
	confirmed := h.feeds.replicas[feed.Servers].Confirmed()
	for range 2 {
		require.ErrorIs(t, h.takeStoreAnswer(feed.Servers, at, feed.Changes{Revision: 8, Complete: true}, time.Now().Add(time.Minute)), errOlderAnswer)
	}
	require.Equal(t, confirmed, h.feeds.replicas[feed.Servers].Confirmed())
	got := h.copyStatus(time.Now(), feed.Servers).NotTaken
	require.NotNil(t, got)
	require.Equal(t, "older-revision", got.Reason)
	require.Equal(t, 2, got.Count)
	require.EqualValues(t, 2, testutil.ToFloat64(h.metrics.notTaken.WithLabelValues("servers", "older-revision")))
}

// Guards against a host that takes its copy for old, and so the store for unavailable,
// because peers were faster with the changes that the store has sent: it then sends to a
// server that has left for 2 s more.
func TestCopyThatIsAheadOfItsSources(t *testing.T) {
	h := newUnstartedHost(t)
	now := time.Now()
	at := feed.Position{Era: 1, Revision: 10}
	require.NoError(t, h.takeStoreAnswer(feed.Servers, feed.Position{}, feed.Changes{Era: 1, Revision: 10, Complete: true}, now))
	h.applyChanges(feed.Servers, "h2", feed.Changes{Era: 1, Revision: 14}, now.Add(time.Second))
	require.NoError(t, h.takeStoreAnswer(feed.Servers, at, feed.Changes{Era: 1, Revision: 12}, now.Add(2*time.Second)))
	require.Equal(t, now.Add(2*time.Second), h.feeds.replicas[feed.Servers].Confirmed())
	h.applyChanges(feed.Servers, "h3", feed.Changes{Era: 1, Revision: 13}, now.Add(3*time.Second))
	require.Equal(t, now.Add(3*time.Second), h.feeds.replicas[feed.Servers].Confirmed())
	require.Nil(t, h.copyStatus(now, feed.Servers).NotTaken)
}

// Guards against a host that follows a watcher for as long as its beacons arrive, although
// the changes cannot be fetched from it (issue 41).
func TestWatcherWhoseChangesCannotBeFetched(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0") // accepts connections and answers nothing
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	source := newSource()
	putTable(source, 3)
	var hosts []*Host
	for _, name := range []string{"h1", "h2", "h3"} {
		hosts = append(hosts, startHostWith(t, source, name, "a-1", io.Discard, func(s *Settings) { s.Advertise.Control = silent.Addr().String() }))
	}
	inForce := func(version int64) func() bool {
		return func() bool {
			return !slices.ContainsFunc(hosts, func(h *Host) bool { return h.Dump().TableVersion != version })
		}
	}
	require.Eventually(t, inForce(3), waitTimeout, 5*time.Millisecond)
	putTable(source, 4)
	require.Eventually(t, inForce(4), waitTimeout, 5*time.Millisecond)
}

// Guards against a host that starts while the store is away and answers 503 for 5 s or more,
// because one transfer from the only host with a copy failed.
func TestStartWhileStoreIsAwayAfterAFailedTransfer(t *testing.T) {
	source := newSource()
	putTable(source, 3)
	var resets atomic.Int32
	var target atomic.Value
	proxy := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if resets.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target.Load().(string)}).ServeHTTP(w, r)
	})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = proxy.Serve(listener) }()
	t.Cleanup(func() { _ = proxy.Close() })
	first := startHostWith(t, source, "h1", "a-1", io.Discard, func(s *Settings) {
		target.Store(s.Listen.Control)
		s.Advertise.Control = listener.Addr().String()
	})
	require.Eventually(t, func() bool { return first.Dump().TableVersion == 3 }, waitTimeout, 5*time.Millisecond)
	cut := &cutSource{source, make(chan struct{})}
	close(cut.cut)
	began := time.Now()
	second := startHost(t, cut, "h2", "a-1")
	require.Eventually(t, func() bool { return second.Dump().TableVersion == 3 }, waitTimeout, 5*time.Millisecond)
	require.Positive(t, resets.Load())
	require.Less(t, time.Since(began), 2500*time.Millisecond)
}

// Guards against a host that the store turns away and that gets no news for 10 s and more
// after its connections to the only host that it follows work again.
func TestHostThatTheStoreTurnsAwayAfterFailedTransfers(t *testing.T) {
	source := newSource()
	putTable(source, 3)
	var broken atomic.Bool
	var target atomic.Value
	proxy := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if broken.Load() {
			panic(http.ErrAbortHandler)
		}
		httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target.Load().(string)}).ServeHTTP(w, r)
	})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = proxy.Serve(listener) }()
	t.Cleanup(func() { _ = proxy.Close() })
	first := startHostWith(t, source, "h1", "a-1", io.Discard, func(s *Settings) {
		target.Store(s.Listen.Control)
		s.Advertise.Control = listener.Addr().String()
	})
	require.Eventually(t, func() bool { return first.Dump().TableVersion == 3 }, waitTimeout, 5*time.Millisecond)
	cut := &cutSource{source, make(chan struct{})}
	close(cut.cut)
	second := startHost(t, cut, "h2", "a-1")
	require.Eventually(t, func() bool { return second.Dump().TableVersion == 3 }, waitTimeout, 5*time.Millisecond)
	broken.Store(true)
	putTable(source, 4)
	time.Sleep(6 * time.Second)
	broken.Store(false)
	healed := time.Now()
	require.Eventually(t, func() bool { return second.Dump().TableVersion == 4 }, 60*time.Second, 5*time.Millisecond)
	require.Less(t, time.Since(healed), 6500*time.Millisecond) // the stable window and the bound for a change
}
