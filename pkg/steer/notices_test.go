package steer

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// Guards against requests to a server after an answer in which it said that it
// leaves, although the store lists it as ready, and although the store is
// unavailable.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	var leaving atomic.Bool
	h, servers, source := startTestHost(t, map[string]http.HandlerFunc{
		"s1": func(w http.ResponseWriter, r *http.Request) {
			if leaving.Load() {
				w.Header().Set("Leaving", "1")
			}
			answerOK(w, r)
		},
		"s2": answerOK,
	})
	sendMany := func() {
		for i := range 40 {
			status, _, _ := sendRequest(t, h, "GET", "/safe/x", "Key", fmt.Sprint(i))
			require.Equal(t, http.StatusOK, status)
		}
	}
	sendMany()
	require.Positive(t, servers["s1"].count())
	leaving.Store(true)
	before := servers["s1"].count()
	sendMany()
	require.Equal(t, before+1, servers["s1"].count(), "the first answer says that the server leaves")
	source.setDown(true)
	sendMany()
	source.setDown(false)
	putTable(source, 4)
	require.Eventually(t, func() bool { return h.Dump().TableVersion == 4 }, waitTimeout, time.Millisecond)
	sendMany()
	require.Equal(t, before+1, servers["s1"].count())

	leaving.Store(false)
	source.put(feed.Servers, feed.Item{Name: "s1", Server: &fleet.Server{
		ID: "s1", Pool: "p", Address: servers["s1"].address, Domain: "a-1", Slots: 4, StartedMS: 2,
	}})
	require.Eventually(t, func() bool { sendMany(); return servers["s1"].count() > before+1 }, waitTimeout, time.Millisecond, "the next process of the server")
}

// Guards against a host that is started while the store is unavailable and sends
// requests to a server that has told another host that it leaves.
func TestStartedHostKnowsWhoLeaves(t *testing.T) {
	h1, servers, source := startTestHost(t, map[string]http.HandlerFunc{
		"s1": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Leaving", "1")
			answerOK(w, r)
		},
		"s2": answerOK,
	})
	for i := 0; servers["s1"].count() == 0; i++ {
		sendRequest(t, h1, "GET", "/safe/x", "Key", fmt.Sprint(i))
	}
	source.setDown(true)
	h2 := startHost(t, source, "h2", "a-2")
	require.Eventually(t, func() bool { return h2.ready() && h2.Dump().Servers["p"] == 2 }, waitTimeout, time.Millisecond)
	// The first host stops, so that the started one dispatches by its own knowledge.
	require.NoError(t, h1.Stop())
	require.Eventually(t, func() bool { return h2.dispatches("p") }, waitTimeout, time.Millisecond)
	for i := range 60 {
		status, _, _ := sendRequest(t, h2, "GET", "/safe/x", "Key", fmt.Sprint(i))
		require.Equal(t, http.StatusOK, status)
	}
	require.Equal(t, 1, servers["s1"].count())
}

// Guards against requests to a server within the time for which it turned this host
// away.
func TestPausedServerGetsNoRequests(t *testing.T) {
	var turnedAway atomic.Int64
	h, servers, _ := startTestHost(t, map[string]http.HandlerFunc{
		"s1": func(w http.ResponseWriter, r *http.Request) {
			turnedAway.Add(1)
			w.Header().Set("Retry-After", "30.5")
			answerShed(w, r)
		},
		"s2": answerOK,
	})
	for i := range 60 {
		status, _, body := sendRequest(t, h, "GET", "/safe/x", "Key", fmt.Sprint(i))
		require.Equal(t, http.StatusOK, status, body)
	}
	require.Equal(t, int64(1), turnedAway.Load())
	require.Equal(t, 60, servers["s2"].count())
}

// Guards against a caller that is told to stay away for as long as one server wants
// to be left alone, although other servers may answer it sooner.
func TestPauseIsNotPassedOn(t *testing.T) {
	h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "300")
		answerShed(w, r)
	}})
	for range 2 {
		status, header, _ := sendRequest(t, h, "POST", "/once/x")
		require.Equal(t, http.StatusServiceUnavailable, status)
		seconds, err := time.ParseDuration(header.Get("Retry-After") + "s")
		require.NoError(t, err)
		require.Less(t, seconds, 2*time.Second)
	}
}

// Guards against load headers that are lost because of a figure that is missing or
// odd, and against odd figures that are believed.
func TestParseLoad(t *testing.T) {
	type load struct {
		running, waiting, work int
		ok                     bool
	}
	for text, want := range map[string]load{
		"3,0,8": {3, 0, 0, true}, "3,0,8,250": {3, 0, 250, true}, " 3 , 1 , 8 , 100 ": {3, 1, 100, true}, "3,1": {3, 1, 0, true},
		"3,0,8,": {3, 0, 0, true}, "3,0,8,x": {3, 0, 0, true}, "3,0,8,-5": {3, 0, 0, true}, "3,0,8,1e9": {3, 0, 0, true},
		"3,0,8,99999999999999999999": {3, 0, 0, true}, "3,0,8,100,7": {3, 0, 100, true},
		"": {}, "3": {}, "x,0,8": {}, "3,-1,8": {}, "-3,0,8": {}, "99999999,0,8": {},
	} {
		running, waiting, work, ok := parseLoad(text)
		require.Equal(t, want, load{running, waiting, work, ok}, "%q", text)
	}
}
