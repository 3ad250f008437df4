package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// baselineHandler is what forwarding is compared with: the shortest
// pass-through handler on net/http, without limits, verification or run states.
func baselineHandler(addr string) http.Handler {
	tr := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", addr, ""
		resp, err := tr.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		for k, v := range resp.Header {
			w.Header()[k] = v
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

// forwardHandler forwards with f.
func forwardHandler(f *Forwarder, addr string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := f.Do(r.Context(), Request{
			In: r, Server: addr, RequestID: "r1", DeadlineAt: time.Now().Add(time.Minute), BodyLimit: 1 << 20,
			Once: r.Method == http.MethodPost, Valid: func() bool { return true },
		})
		if err != nil {
			w.WriteHeader(err.Code.HTTPStatus())
			return
		}
		a.Reply(w)
	})
}

// drive sends n requests over keep-alive connections. It returns the time per
// request and the allocations per request of the whole process, which includes
// the client and the server.
func drive(b *testing.B, client *http.Client, url, method, body string, n int) (perOp time.Duration, allocs float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for range n {
		req, _ := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
		resp, err := client.Do(req)
		require.NoError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		require.Equal(b, 200, resp.StatusCode)
	}
	d := time.Since(start)
	runtime.ReadMemStats(&after)
	return d / time.Duration(n), float64(after.Mallocs-before.Mallocs) / float64(n)
}

// BenchmarkForward reports the throughput of forwarding relative to the
// baseline. The time that the same client needs without a proxy is subtracted
// from both. The ratio is only reported; no bound is checked.
func BenchmarkForward(b *testing.B) {
	for _, size := range []int{200, 16 << 10, 1 << 20} {
		answer := strings.Repeat("x", size)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Content-Length", fmt.Sprint(size))
			_, _ = io.WriteString(w, answer)
		}))
		f := New(Config{})
		addr := server.Listener.Addr().String()
		targets := []*httptest.Server{httptest.NewServer(baselineHandler(addr)), httptest.NewServer(forwardHandler(f, addr)), server}
		client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
		for _, method := range []string{"GET", "POST"} {
			body := ""
			if method == "POST" {
				body = strings.Repeat("b", 200)
			}
			b.Run(fmt.Sprintf("%s/answer=%d", method, size), func(b *testing.B) {
				// The three targets are driven in turn, so that other load on
				// the machine affects all of them alike.
				const rounds = 10
				var d [3]time.Duration
				var allocs [3]float64
				n := max(b.N/rounds, 1)
				for range rounds {
					for i, e := range targets {
						t, a := drive(b, client, e.URL, method, body, n)
						d[i] += t
						allocs[i] += a / rounds
					}
				}
				b.ReportMetric(float64(d[0].Microseconds())/rounds, "bare-µs/op")
				b.ReportMetric(float64(d[1].Microseconds())/rounds, "forward-µs/op")
				b.ReportMetric(float64(d[0]-d[2])/float64(d[1]-d[2]), "throughput-ratio")
				b.ReportMetric(allocs[0]-allocs[2], "bare-allocs/op")
				b.ReportMetric(allocs[1]-allocs[2], "forward-allocs/op")
			})
		}
		for _, e := range targets {
			e.Close()
		}
		f.Close()
	}
}
