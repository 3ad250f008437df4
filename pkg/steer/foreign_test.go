package steer

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/placing"
)

// Guards against reports of foreign programs that name pools and regions without end, each of
// which would be kept.
func TestReportsOfUnknownPoolsAndRegions(t *testing.T) {
	h, _, _ := startTestHost(t, map[string]http.HandlerFunc{"s1": answerOK})
	name := ""
	h.eachPool(func(p *pool) { name = p.name })
	region := h.region
	h.handleReport("ghost", []report{
		{Pool: "ghost", Region: region, Report: placing.Report{}}, {Pool: name, Region: "ghost", Report: placing.Report{}},
		{Pool: name, Region: region, Report: placing.Report{}},
	})
	h.dispatchState.mu.Lock()
	defer h.dispatchState.mu.Unlock()
	require.Len(t, h.dispatchState.reporters, 1)
}

// Guards against a log that other programs fill with long texts of their choice.
func TestClip(t *testing.T) {
	require.Equal(t, "short", clip("short"))
	require.Len(t, clip(strings.Repeat("x", 1<<20)), maxTextBytes)
}
