package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against Retry-After times that lose their fraction, and against absurd
// ones that keep requests away from a server for good or mean no time at all.
func TestRetryAfterValues(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "2": 2 * time.Second, "0.35": 350 * time.Millisecond, " 1.5 ": 1500 * time.Millisecond, "1e-1": 100 * time.Millisecond,
		"0": 0, "-3": 0, "-1e400": 0, "NaN": 0, "-Inf": 0, "soon": 0, "1s": 0,
		"86400": maxRetryAfter, "1e400": maxRetryAfter, "+Inf": maxRetryAfter, "99999999999999999999": maxRetryAfter,
	} {
		require.Equal(t, want, retryAfter(http.Header{"Retry-After": {text}}), "%q", text)
	}
}

// Guards against losing what a server says of itself in an answer that becomes an
// error, and against believing it of a server that another one answered for.
func TestNoticesOfServers(t *testing.T) {
	headers := DefaultHeaders
	headers.Leaving, headers.LeavingValue, headers.ExpectServer = "Leaving", "1", "Expect-Server"
	headers.NotRunValue = ""
	for i, tc := range []struct {
		status int
		header http.Header
		want   Notice
	}{
		{200, http.Header{"Leaving": {"1"}}, Notice{Leaving: true}},
		{200, http.Header{"Leaving": {"0"}}, Notice{}},
		{200, http.Header{"Retry-After": {"3"}}, Notice{}},
		{500, http.Header{"Leaving": {"1"}, "Retry-After": {"3"}}, Notice{Leaving: true}},
		{503, http.Header{HeaderRun: {"not-run"}, "Leaving": {"1"}, "Retry-After": {"0.5"}}, Notice{Leaving: true, Pause: 500 * time.Millisecond}},
		{503, http.Header{"Retry-After": {"2"}}, Notice{Pause: 2 * time.Second}},
		{421, http.Header{"Leaving": {"1"}, "Retry-After": {"2"}}, Notice{}},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			bubble(t, Config{Headers: headers}, func(t *testing.T, env *testEnv) {
				env.serve("b", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
					for k, v := range tc.header {
						w.Header()[k] = v
					}
					w.WriteHeader(tc.status)
				})})
				var got Notice
				_, _ = env.do(Request{In: request("GET", "/", ""), ExpectServer: "b", DeadlineAt: time.Now().Add(time.Second), Notice: &got})
				require.Equal(t, tc.want, got)
			})
		})
	}
}
