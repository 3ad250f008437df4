package measure

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// requireGood fails on violated invariants and missed bounds.
func requireGood(t *testing.T, r Report) {
	t.Helper()
	require.Empty(t, r.Violations)
	require.NotEmpty(t, r.Figures)
	for _, f := range r.Figures {
		require.True(t, f.Met(), "%s: %v, bound %v", f.Name, f.Value, f.Bound)
	}
}

// Guards against servers loaded over their slots and against refusals at the
// usual load, on all pools of both deployments.
func TestDispatchSteadyLoad(t *testing.T) {
	for _, firm := range []string{"qogamy", "consortium"} {
		t.Run(firm, func(t *testing.T) { requireGood(t, slotsReport(1, firm, 5*time.Second)) })
	}
}

// Guards against floods that take the floors of other ranks or are still felt
// after their end.
func TestDispatchFloods(t *testing.T) {
	const length = 10 * time.Second
	t.Run("patient", func(t *testing.T) {
		requireGood(t, floodReport(2, "catalog", patientRank, usualWork, length))
	})
	t.Run("long patient", func(t *testing.T) {
		requireGood(t, floodReport(2, "orders", patientRank, longWork, length))
	})
	t.Run("urgent", func(t *testing.T) {
		requireGood(t, floodReport(2, "stock", urgentRank, usualWork, length))
	})
	t.Run("group", func(t *testing.T) {
		requireGood(t, groupReport(3, "stock", length))
	})
}

// Guards against slots that are granted twice around a handover, and against a
// pool that stays without grants.
func TestDispatchFaults(t *testing.T) {
	for _, ft := range faults {
		t.Run(ft.name, func(t *testing.T) { requireGood(t, faultReport(4, ft)) })
	}
}

// Guards against slots that are granted twice once a partition inside a failure
// domain outlasts the deadlines and recovery times of requests.
func TestDispatchLongPartition(t *testing.T) { requireGood(t, faultReport(4, longPartition)) }

// Guards against any change of the decisions that is not intended: the log of
// a small flood of patient requests beside the usual load has to repeat.
func TestDispatchGoldenSession(t *testing.T) {
	p := poolNamed("orders")
	l := newLab(7, p, 0, newStats())
	f := newDispatchFront(l, p)
	f.pool.Queue = 8
	f.nodes[0].disp = f.newDispatcher(f.nodes[0])
	var log []string
	f.log = &log
	for r, load := range usualLoad {
		l.load(r, load, 0, 600*time.Millisecond, houses(l))
	}
	one := func() string { return floodGroup }
	l.load(patientRank, floodFactor, 200*time.Millisecond, 400*time.Millisecond, one)
	l.sched.RunUntil(6 * time.Second)

	got := strings.Join(log, "\n") + "\n"
	path := filepath.Join("testdata", "dispatch-flood.golden")
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}
