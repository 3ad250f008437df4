package shutdown

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const grace = 6 * time.Second

// Guards against a request that is taken although the process may be killed before its
// answer has reached the caller: the answer to an expired deadline arrives a little
// after the deadline, and the kill counts from when the signal was sent.
func TestTakenRequestsEndBeforeTheKill(t *testing.T) {
	// slack is when the answer to an expired deadline arrives, and then two turns of a
	// host that gets a part of each tenth of a second.
	const slack = 60*time.Millisecond + 2*100*time.Millisecond
	for _, late := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond} {
		signalled := time.Unix(1_800_000_000, 0)
		began := signalled.Add(late)
		p := New(began, grace, late)
		require.False(t, p.End.After(signalled.Add(grace-exitMargin)))
		for after := time.Duration(0); after < grace; after += 10 * time.Millisecond {
			for life := 10 * time.Millisecond; life < 12*time.Second; life += 50 * time.Millisecond {
				now := signalled.Add(after)
				deadline := now.Add(life)
				if p.Takes(now, deadline, false) || after > 3*time.Second && p.Takes(now, deadline, true) {
					require.True(t, deadline.Add(slack).Before(p.End), "late %s: taken after %s with %s left", late, after, life)
				}
			}
		}
	}
}

// Guards against rejecting callers that could be served: for most of the withdrawal,
// a request that may be repeated is taken whatever its deadline, and one that may
// not if its deadline is before the end.
func TestRequestsAreTakenWhileCallersStillCome(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := New(now, grace, 0)
	require.True(t, p.Takes(now.Add(2500*time.Millisecond), now.Add(time.Minute), true))
	require.False(t, p.Takes(now.Add(2500*time.Millisecond), now.Add(time.Minute), false))
	require.True(t, p.Takes(now.Add(2500*time.Millisecond), now.Add(5400*time.Millisecond), false))
	require.True(t, p.Takes(now.Add(5*time.Second), now.Add(5400*time.Millisecond), true))
	require.False(t, p.Takes(now.Add(5*time.Second), now.Add(5450*time.Millisecond), true))
}

// Guards against a request that still waits for a slot when the process ends, and gets
// no answer.
func TestWaitsEndBeforeTheProcess(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := New(now, grace, 0)
	require.True(t, p.WaitUntil(now.Add(time.Minute)).Before(p.End))
	require.Equal(t, now.Add(time.Second), p.WaitUntil(now.Add(time.Second)))
}

// Guards against a grace period that is shorter than the withdrawal.
func TestShortGrace(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := New(now, time.Second, 0)
	require.False(t, p.WithdrawnAt.After(p.End))
	require.False(t, p.Takes(now, now.Add(time.Second), false))
}

// Guards against closing thousands of idle connections in one round, and against many
// rounds for few.
func TestClosesPerRound(t *testing.T) {
	require.Equal(t, 300, ClosesPerRound(2400))
	require.Equal(t, minClosesPerRound, ClosesPerRound(100))
}
