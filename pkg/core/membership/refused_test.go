package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a dead process that stays a member for the 5 s of a failed probe
// and SuspectTimeout although its address refuses connections, and against a
// live host that cannot become a member again after it was reported as refused.
func TestRefusedRemovesAtOnce(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	a := New(Config{Name: "a", Address: "10.0.0.1:1", Incarnation: 1})
	b := New(Config{Name: "b", Address: "10.0.0.2:1", Incarnation: 2})
	join := func(from, to *Node) {
		for _, o := range from.Join(now, []string{"x"}) {
			to.Receive(now, o.Message)
		}
	}
	join(b, a)
	require.Len(t, a.Live(now), 2)
	a.ReportRefused(now, "b")
	require.Len(t, a.Live(now), 1)

	for _, o := range a.announce() {
		b.Receive(now, o.Message)
	}
	b.apply(now, Update{Name: "b", Address: "10.0.0.2:1", Incarnation: 2, State: Dead})
	join(b, a)
	require.Len(t, a.Live(now), 2, "the live host refutes with a higher counter")
}
