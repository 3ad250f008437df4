package cluster

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/retry"
	"github.com/tamarackswitch/tamarackswitch/pkg/demo"
	"github.com/tamarackswitch/tamarackswitch/pkg/settings"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/backend"
)

// Routes to one pool: "plain" differs from "catalog" by its rank only, and
// "orders" is not idempotent. The deadlines are longer than the tests' patience,
// so that only cancellation ends a request at a hanging server.
const hedgeRoutes = `
[[route]]
name = "catalog"
team = "demo"
path = "/catalog"
methods = ["GET"]
pool = "catalog"
rank = "urgent"
idempotent = true
deadline = "60s"

[[route]]
name = "plain"
team = "demo"
path = "/plain"
methods = ["GET"]
pool = "catalog"
rank = "patient"
idempotent = true
deadline = "60s"

[[route]]
name = "orders"
team = "demo"
path = "/orders"
methods = ["POST"]
pool = "catalog"
rank = "urgent"
idempotent = false
deadline = "60s"
`

// hedgeServers is so large that one slow server gets about as many requests as
// the hedge budget covers.
const hedgeServers = 16

func startHedging(t testing.TB) (*demo.Cluster, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	c, err := demo.StartCluster(ctx, demo.ClusterConfig{
		Domains: []settings.Domain{{Name: "almaty-1", Region: "almaty"}}, HostsPerDomain: 1, Routes: hedgeRoutes,
		Pools: []demo.PoolConfig{{Name: "catalog", ServersPerDomain: hedgeServers, Slots: 5, Service: 5 * time.Millisecond}},
	})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c, c.Seeds()[0]
}

func retryCounts(c *demo.Cluster, route string) retry.Counts {
	d, _ := c.Nodes()[0].Host.Dump()["retry"].(map[string]any)[route].(retry.Dump)
	return d.Counts
}

// warm sends so many requests that the service time of the route is known.
func warm(t *testing.T, at, method, path string) {
	t.Helper()
	for i := range 40 {
		r := send(t, at, method, path, "", fmt.Sprintf("warm-%d", i))
		require.Equal(t, http.StatusOK, r.status, r.refusal.Message)
	}
}

// Guards against a server that hangs and so decides the latency of the urgent
// look-ups that it gets: each of them would wait for its deadline and fail. The
// hanging server must notice that it lost and get no more requests in the end.
func TestHedgeOvertakesHangingServer(t *testing.T) {
	c, at := startHedging(t)
	warm(t, at, http.MethodGet, "/catalog/1")
	before := retryCounts(c, "catalog")
	slow := c.Servers[0]
	slow.SetModes(backend.Modes{Hang: true})
	deadline := time.Now().Add(patience)
	for n := 0; retryCounts(c, "catalog").Hedges == before.Hedges || slow.Counts().Cancelled == 0 || n < 50; n++ {
		require.True(t, time.Now().Before(deadline), "no request was hedged and cancelled")
		r := send(t, at, http.MethodGet, "/catalog/1", "", fmt.Sprintf("look-up-%d", n))
		require.Equal(t, http.StatusOK, r.status, "request %d: %s; %+v", n, r.refusal.Message, retryCounts(c, "catalog"))
		require.NotEqual(t, "catalog-almaty-1-1", r.body.Server)
	}
	eventually(t, "all attempts at the hanging server are cancelled", func() bool { return slow.Counts().Running == 0 })
	eventually(t, "the slots of the losers are free", func() bool { return c.Nodes()[0].Host.Status().Pools[0].Running == 0 })
	counts := retryCounts(c, "catalog")
	require.LessOrEqual(t, float64(counts.Hedges), retry.HedgeBurst+retry.HedgeFraction*float64(counts.Requests))
	t.Logf("hanging server: %d attempts cancelled; %+v", slow.Counts().Cancelled, counts)
}

// sendAll sends n requests at once and returns when all are answered.
func sendAll(t *testing.T, n int, at, method, path, work string) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			req, err := http.NewRequestWithContext(t.Context(), method, "http://"+at+path, http.NoBody)
			if err != nil {
				t.Error(err)
				return
			}
			req.Header.Set(backend.HeaderWork, fmt.Sprintf("%s-%d", work, i))
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Error(err)
				return
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("status %d", resp.StatusCode)
			}
		})
	}
	wg.Wait()
}

// Guards against hedges that double the load of a pool whose servers are all
// slow: the budget bounds them, and what was not hedged is answered all the
// same.
func TestHedgeBudget(t *testing.T) {
	c, at := startHedging(t)
	warm(t, at, http.MethodGet, "/catalog/1")
	before := retryCounts(c, "catalog")
	for _, s := range c.Servers {
		s.SetModes(backend.Modes{LateMs: 400})
	}
	const requests = 40
	sendAll(t, requests, at, http.MethodGet, "/catalog/1", "late")
	after := retryCounts(c, "catalog")
	require.Positive(t, after.Denied-before.Denied, "more requests were slow than the budget covers")
	require.LessOrEqual(t, float64(after.Hedges), retry.HedgeBurst+retry.HedgeFraction*float64(after.Requests))
	total := 0
	for work, n := range runs(c) {
		if len(work) > 5 && work[:5] == "late-" {
			total += n
		}
	}
	require.LessOrEqual(t, total, requests+int(after.Hedges-before.Hedges))
}

// Guards against work that runs twice because its server is slow, and against
// hedges of other ranks.
func TestNoHedgeOfOnceWork(t *testing.T) {
	c, at := startHedging(t)
	warm(t, at, http.MethodPost, "/orders/1")
	warm(t, at, http.MethodGet, "/plain/1")
	for _, s := range c.Servers {
		s.SetModes(backend.Modes{LateMs: 300})
	}
	sendAll(t, 10, at, http.MethodPost, "/orders/1", "order")
	sendAll(t, 10, at, http.MethodGet, "/plain/1", "plain")
	for i := range 10 {
		require.Equal(t, 1, runs(c)[fmt.Sprintf("order-%d", i)])
		require.Equal(t, 1, runs(c)[fmt.Sprintf("plain-%d", i)])
	}
	require.Zero(t, retryCounts(c, "orders").Hedges)
	require.Zero(t, retryCounts(c, "plain").Hedges)
}

// BenchmarkSlowServer reports the latency of look-ups while one of 16 servers
// answers 300 ms late, with hedges (urgent) and without (patient).
func BenchmarkSlowServer(b *testing.B) {
	for _, route := range []string{"catalog", "plain"} {
		b.Run(map[string]string{"catalog": "hedged", "plain": "unhedged"}[route], func(b *testing.B) {
			c, at := startHedging(b)
			get := func() time.Duration {
				start := time.Now()
				resp, err := http.Get("http://" + at + "/" + route + "/1")
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Fatal(err, resp)
				}
				_ = resp.Body.Close()
				return time.Since(start)
			}
			for range 100 {
				get()
			}
			c.Servers[0].SetModes(backend.Modes{LateMs: 300})
			h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for b.Loop() {
				_ = h.RecordValue(get().Microseconds())
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(h.Max())/1000, "max-ms")
			b.ReportMetric(float64(retryCounts(c, route).Hedges), "hedges")
		})
	}
}
