package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Guards against a key that both the leaving host and its successor run, and
// against a successor that runs keys before it knows all records.
func TestHandoff(t *testing.T) {
	a, b := NewOwner(hostA, epoch, 0), NewOwner(hostB, epoch, 0)
	for i := range 20 {
		k := keyAt(t, hostA, 0, fmt.Sprint(i))
		_, err := a.Begin(epoch, Request{Key: k})
		require.NoError(t, err)
		require.NoError(t, a.Finish(epoch, k, Outcome{State: Ran, Answer: &Answer{Body: make([]byte, MaxAnswerBytes-10)}}))
	}
	running := keyAt(t, hostA, 0, "running")
	_, err := a.Begin(epoch, Request{Key: running})
	require.NoError(t, err)

	chunks, err := a.Export(epoch, hostB)
	require.NoError(t, err)
	require.Greater(t, len(chunks), 1)
	_, err = a.Export(epoch, hostC)
	requireCode(t, err, result.KeyOwnerGone, result.Unknown)
	unknown := Request{Key: keyAt(t, hostA, 0, "unknown")}
	_, err = a.Begin(epoch, unknown)
	requireCode(t, err, result.KeyOwnerGone, result.Unknown)

	for _, c := range chunks[1:] {
		require.NoError(t, b.Import(epoch, c))
		require.NoError(t, b.Import(epoch, c), "a chunk may arrive twice")
	}
	_, err = b.Begin(epoch, unknown)
	requireCode(t, err, result.KeyOwnerGone, result.Unknown)
	forged := chunks[0]
	forged.From = hostC
	require.Error(t, b.Import(epoch, forged), "a second source is refused")
	require.NoError(t, b.Import(epoch, chunks[0]))
	start, err := b.Begin(epoch, unknown)
	require.NoError(t, err)
	require.True(t, start.Run)
	start, err = b.Begin(epoch, Request{Key: keyAt(t, hostA, 0, "3")})
	require.NoError(t, err)
	require.NotNil(t, start.Replay)

	_, err = b.Begin(epoch, Request{Key: running})
	requireCode(t, err, result.KeyOutcomeUnknown, result.Unknown)
	require.NoError(t, a.Finish(epoch, running, Outcome{State: NotRun}))
	late, ok := a.TakeLate(epoch)
	require.True(t, ok)
	require.NoError(t, b.Import(epoch, late))
	start, err = b.Begin(epoch, Request{Key: running})
	require.NoError(t, err)
	require.True(t, start.Run)
	require.NoError(t, b.Import(epoch, late))
	_, err = b.Begin(epoch, Request{Key: running})
	requireCode(t, err, result.KeyInProgress, result.Unknown)
	require.Equal(t, []Identity{hostA}, b.Holds())
}

// Guards against a record that is deleted while its key is still accepted.
func TestRetention(t *testing.T) {
	o := NewOwner(hostA, epoch, 0)
	old, next := keyAt(t, hostA, 0, "old"), keyAt(t, hostA, 2, "next")
	_, err := o.Begin(epoch, Request{Key: next})
	requireCode(t, err, result.BadIdempotencyKey, result.NotRun)
	_, err = o.Begin(epoch, Request{Key: old})
	require.NoError(t, err)
	require.NoError(t, o.Finish(epoch, old, Outcome{State: Ran}))
	late := epoch.Add((RetentionWindows+1)*Window - time.Second)
	_, err = o.Begin(late, Request{Key: old})
	requireCode(t, err, result.KeyAlreadyRun, result.Run)
	_, err = o.Begin(late.Add(time.Second), Request{Key: old})
	requireCode(t, err, result.KeyExpired, result.Unknown)
	require.Zero(t, o.Dump().Records)
	_, err = o.Begin(epoch, Request{Key: old})
	requireCode(t, err, result.KeyExpired, result.Unknown)
}
