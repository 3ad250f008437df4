package steer

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Guards against repeating a request, or passing on a server's own 503, because the tables
// said when the request arrived that it may run more than once, although those in force by
// then say that it may not.
func TestTablesForbidRepeatsMeanwhile(t *testing.T) {
	route := fleet.Route{
		Name: "r", Host: "a.example", Prefix: "/orders/", Targets: []fleet.Target{{Pool: "p", Weight: 1}}, Idempotent: true,
		Timeout: 2 * time.Second, TargetLatency: 200 * time.Millisecond, MaxAttempts: 3,
	}
	once, onceBelow := route, route
	once.Idempotent = false
	onceBelow.Name, onceBelow.Prefix, onceBelow.Idempotent = "below", "/orders/kits/", false
	for name, tc := range map[string]struct {
		next   []fleet.Route
		answer http.HandlerFunc
		status int
		runs   int
	}{
		"the route, connection lost":        {[]fleet.Route{once}, abortConnection, http.StatusBadGateway, 1},
		"the route, 503 after a run":        {[]fleet.Route{once}, answerUnmarked503, http.StatusBadGateway, 1},
		"the route, 500":                    {[]fleet.Route{once}, answer500, http.StatusInternalServerError, 1},
		"a longer prefix, connection lost":  {[]fleet.Route{route, onceBelow}, abortConnection, http.StatusBadGateway, 1},
		"route gone, still repeated":        {nil, abortConnection, http.StatusBadGateway, 2},
		"still allowed, repeated elsewhere": {[]fleet.Route{route}, abortConnection, http.StatusBadGateway, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			changed := make(chan struct{}, 2)
			waitForChange := func(w http.ResponseWriter, r *http.Request) {
				changed <- struct{}{}
				time.Sleep(300 * time.Millisecond) // the tables change meanwhile
				tc.answer(w, r)
			}
			h, servers, source := startTestHost(t, map[string]http.HandlerFunc{"s1": waitForChange, "s2": waitForChange})
			put := func(version int64, routes []fleet.Route) {
				source.put(feed.Tables, feed.Item{Name: "main", Table: &fleet.Table{Version: version, Routes: routes, Pools: []fleet.Pool{{Name: "p", ColdRate: 5}}}})
				require.Eventually(t, func() bool { return h.table.Load().Version == version }, 5*time.Second, time.Millisecond)
			}
			put(4, []fleet.Route{route})
			go func() {
				<-changed
				source.put(feed.Tables, feed.Item{Name: "main", Table: &fleet.Table{Version: 5, Routes: tc.next, Pools: []fleet.Pool{{Name: "p", ColdRate: 5}}}})
			}()
			status, _, body := sendRequest(t, h, "POST", "/orders/kits/1")
			require.Equal(t, tc.status, status, body)
			require.Equal(t, tc.runs, servers["s1"].count()+servers["s2"].count())
			require.Equal(t, int64(5), h.table.Load().Version)
		})
	}
}

// Guards against a second send of a request that may have run, if the tables forbid it
// while the request waits for its slot.
func TestTablesForbidRepeatsBeforeTheSend(t *testing.T) {
	h, servers, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": answerOK})
	in := httptest.NewRequest("POST", "/orders/1", nil)
	in.Body = http.NoBody
	body, err := forward.OpenBody(in, 0)
	require.Nil(t, err)
	route := fleet.Route{Name: "r", Host: "a.example", Prefix: "/orders/", Idempotent: true}
	x := &exchange{
		callerRequest: in, requestID: "r1", started: time.Now(), deadline: time.Now().Add(time.Second), host: "a.example", route: &route, table: &fleet.Table{},
		pool: h.pool("p"), body: body, mayHaveRun: true,
	}
	x.reservation.choice.Server = fleet.Server{ID: "s1", Address: servers["s1"].address}
	once := route
	once.Idempotent = false
	forbids := &fleet.Table{Version: 9, Routes: []fleet.Route{once}}
	forbids.Index()
	h.table.Store(forbids)
	_, err = h.attempt(x)
	require.NotNil(t, err)
	require.Equal(t, result.NotRun, err.Run, "of this send")
	require.Equal(t, result.Unknown, x.finalError(err, nil).Run, "of the request")
	require.Zero(t, servers["s1"].count())
}
