package steer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/placing"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// Guards against an answer that loses the server's body or headers.
func TestAnswerIsPassedOn(t *testing.T) {
	h, servers, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": answerOK})
	status, header, body := sendRequest(t, h, "GET", "/safe/x")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "stamp-s1", header.Get("Stamp"))
	require.Equal(t, "answer", body)
	require.Equal(t, 1, servers["s1"].count())
}

// Guards against rejections with a wrong status or code, and against a status or
// run state which says that a request was not run although it ran or may have run.
func TestRefusals(t *testing.T) {
	for name, tc := range map[string]struct {
		method, path   string
		answer         http.HandlerFunc
		header         []string
		status         int
		code           int
		run            string
		wantRetryAfter bool
	}{
		"no route":              {"GET", "/other", answerOK, nil, 404, 1001, "not-run", false},
		"bad deadline":          {"GET", "/safe/", answerOK, []string{"Left-Ms", "soon"}, 400, 1004, "not-run", false},
		"all shed":              {"GET", "/safe/", answerShed, nil, 503, 3005, "not-run", true},
		"once, shed":            {"POST", "/once/", answerShed, nil, 503, 3005, "not-run", true},
		"once, connection lost": {"POST", "/once/", abortConnection, nil, 502, 3002, "unknown", false},
		"once, no answer":       {"POST", "/once/", hangUntilCancelled, []string{"Left-Ms", "200"}, 504, 3004, "unknown", false},
		"once, 503 after a run": {"POST", "/once/", answerUnmarked503, nil, 502, 3007, "run", false},
		"timeout of the route":  {"GET", "/short/", hangUntilCancelled, nil, 504, 3004, "unknown", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": tc.answer})
			status, header, body := sendRequest(t, h, tc.method, tc.path, tc.header...)
			require.Equal(t, tc.status, status, body)
			var got struct {
				Code int    `json:"code"`
				Run  string `json:"run"`
			}
			require.NoError(t, json.Unmarshal([]byte(body), &got))
			require.Equal(t, tc.code, got.Code, body)
			require.Equal(t, tc.run, got.Run)
			require.Equal(t, tc.wantRetryAfter, header.Get("Retry-After") != "")
		})
	}
}

// Guards against a host that replaces a server's 500 to a non-idempotent request. It
// may replace only an answer whose status says that the request was not run, because
// the server ran it.
func TestFailureOfTheServerIsPassedOn(t *testing.T) {
	h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": answer500})
	status, header, _ := sendRequest(t, h, "POST", "/once/x")
	require.Equal(t, http.StatusInternalServerError, status)
	require.Equal(t, "stamp-s1", header.Get("Stamp"))
}

// Guards against retries that run a non-idempotent request twice, and against
// missing retries of requests that are idempotent or were not run.
func TestRepeats(t *testing.T) {
	for name, tc := range map[string]struct {
		path   string
		bad    http.HandlerFunc
		served bool
	}{
		"safe, shed":             {"/safe/", answerShed, true},
		"safe, failure":          {"/safe/", answer500, true},
		"safe, connection lost":  {"/safe/", abortConnection, true},
		"once, shed":             {"/once/", answerShed, true},
		"once, failure":          {"/once/", answer500, false},
		"once, connection lost":  {"/once/", abortConnection, false},
		"safe, wrong server":     {"/safe/", nil, true},
		"once, wrong server":     {"/once/", nil, true},
		"safe, server not there": {"/safe/", nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := tc.bad
			if bad == nil {
				bad = answerOK
			}
			h, servers, source := startTestHost(t, map[string]http.HandlerFunc{"s1": answerOK, "s2": bad})
			switch {
			case strings.HasSuffix(name, "wrong server"):
				source.put(feed.Servers, feed.Item{Name: "s2", Server: &fleet.Server{
					ID: "other", Pool: "p", Address: servers["s2"].address, Domain: "a-1", Slots: 4, StartedMS: 2,
				}})
			case strings.HasSuffix(name, "not there"):
				source.put(feed.Servers, feed.Item{Name: "s2", Server: &fleet.Server{
					ID: "s2", Pool: "p", Address: freeAddress(t), Domain: "a-1", Slots: 4, StartedMS: 2,
				}})
			}
			// A request that went to s2 before would leave a connection on which answers
			// had ids, so that a 421 without one is not believed.
			require.Eventually(t, func() bool {
				switch {
				case strings.HasSuffix(name, "wrong server"):
					_, known := h.pool("p").server("other")
					return known
				case strings.HasSuffix(name, "not there"):
					s, _ := h.pool("p").server("s2")
					return s.Address != servers["s2"].address
				}
				return true
			}, waitTimeout, time.Millisecond)
			// Each key prefers one of the servers; with 40 keys, some prefer s2.
			served := 0
			for i := range 40 {
				status, _, _ := sendRequest(t, h, "POST", tc.path, "Key", fmt.Sprint(i))
				if status == http.StatusOK {
					served++
				}
			}
			if tc.served {
				require.Equal(t, 40, served)
			} else {
				require.Less(t, served, 40)
			}
			ids := map[string]int{}
			for _, s := range servers {
				s.mu.Lock()
				for _, id := range s.ids {
					ids[id]++
				}
				s.mu.Unlock()
			}
			if !tc.served {
				for id, n := range ids {
					require.Equal(t, 1, n, id)
				}
			}
		})
	}
}

// Guards against a server that goes on working, and a slot that stays taken, after
// the caller has closed its connection.
func TestCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	}})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+h.self.CallerAddress+"/safe/", nil)
	require.NoError(t, err)
	req.Host = "a.example"
	_, err = http.DefaultTransport.RoundTrip(req)
	require.Error(t, err)
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Fatal("the server still works on the request")
	}
	require.Eventually(t, func() bool { return len(h.Dump().Loads) == 0 }, waitTimeout, 5*time.Millisecond)
}

// Guards against a malformed load header that is taken for a load, and against a
// zero placing.Outcome that means anything but Answered.
func TestMalformedLoadIsIgnored(t *testing.T) {
	for _, text := range []string{"", "1", "a,b,c", "1,x,3"} {
		_, _, _, ok := parseLoad(text)
		require.False(t, ok, text)
	}
	running, waiting, _, ok := parseLoad("3, 2,8")
	require.True(t, ok)
	require.Equal(t, []int{3, 2}, []int{running, waiting})
	require.Equal(t, placing.Answered, placing.Outcome(0))
}

// Guards against a table with thousands of routes that does not reach every host of
// a group, or some of whose routes are not found.
func TestManyRoutes(t *testing.T) {
	const routes = 3000
	source := newSource()
	putTable(source, 1)
	putServer(source, newTestServer(t, "s1", answerOK), "a-1")
	h1, h2 := startHost(t, source, "h1", "a-1"), startHost(t, source, "h2", "a-1")
	ready(t, h1, 1)
	table := fleet.Table{Version: 2, Pools: []fleet.Pool{{Name: "p"}}}
	for i := range routes {
		table.Routes = append(table.Routes, fleet.Route{
			Name: fmt.Sprintf("r-%d", i), Host: "a.example", Prefix: fmt.Sprintf("/r%d/", i), Targets: []fleet.Target{{Pool: "p", Weight: 1}},
			Timeout: time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 1,
		})
	}
	source.put(feed.Tables, feed.Item{Name: "main", Table: &table})
	for _, h := range []*Host{h1, h2} {
		require.Eventually(t, func() bool { return h.Dump().TableVersion == 2 && h.Dump().Servers["p"] == 1 }, waitTimeout, 5*time.Millisecond)
		for _, i := range []int{0, 1, routes - 1} {
			status, _, _ := sendRequest(t, h, "GET", fmt.Sprintf("/r%d/x", i))
			require.Equal(t, http.StatusOK, status)
		}
		status, _, _ := sendRequest(t, h, "GET", fmt.Sprintf("/r%d/x", routes))
		require.Equal(t, http.StatusNotFound, status)
	}
}
