package once

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	hostA = Identity{Domain: "almaty-1", Host: "a", Incarnation: epoch.UnixMilli()}
	hostB = Identity{Domain: "almaty-1", Host: "b", Incarnation: epoch.UnixMilli()}
	hostC = Identity{Domain: "almaty-1", Host: "c", Incarnation: epoch.UnixMilli()}
)

func mustKey(t require.TestingT, text string) Key {
	k, err := ParseKey(text)
	require.NoError(t, err)
	return k
}

func keyAt(t require.TestingT, id Identity, window int64, random string) Key {
	return mustKey(t, FormatPrefix(id, window)+"."+random+strings.Repeat("x", minRandom))
}

func requireCode(t require.TestingT, err error, code result.Code, run result.RunState) {
	require.Error(t, err)
	require.Equal(t, code.Name(), result.CodeOf(err).Name(), "%v", err)
	require.Equal(t, run, result.From(err).Run, "%v", err)
}

// Guards against malformed keys that two hosts could parse differently.
func TestParseKey(t *testing.T) {
	good := FormatPrefix(hostA, 7) + ".0123456789abcdef"
	k := mustKey(t, good)
	require.Equal(t, hostA, k.Owner)
	require.Equal(t, int64(7), k.Window)
	for _, bad := range []string{
		"", "short", "k1.", "k1.d.h.1.2", "k1.d.h.1.2.short", "k1.D.h.1.2.0123456789abcdef",
		"k1.d.h.01.2.0123456789abcdef", "k1.d.h.1.-2.0123456789abcdef", "k1.d.h.+1.2.0123456789abcdef",
		"k1.d..1.2.0123456789abcdef", "k1.d.h.1.2.0123456789abcde!", "k1.d.h.1.2.3.0123456789abcdef",
		"k1.d.h.99999999999999999999.2.0123456789abcdef", "opaque\nkey", strings.Repeat("x", 129),
		"k1.d.h.1.2." + strings.Repeat("x", 65),
	} {
		_, err := ParseKey(bad)
		requireCode(t, err, result.BadIdempotencyKey, result.NotRun)
	}
	require.True(t, mustKey(t, "order 4711/b").Opaque)
}

// Guards against a duplicate request that runs or gets a wrong run state.
func TestBeginAndFinish(t *testing.T) {
	o := NewOwner(hostA, epoch, 0)
	k := keyAt(t, hostA, 0, "1")
	req := Request{Key: k, Route: "orders", Group: "g", Fingerprint: "POST /orders"}
	start, err := o.Begin(epoch, req)
	require.NoError(t, err)
	require.True(t, start.Run)
	_, err = o.Begin(epoch, req)
	requireCode(t, err, result.KeyInProgress, result.Unknown)
	_, err = o.Begin(epoch, Request{Key: k, Route: "orders", Group: "other", Fingerprint: "POST /orders"})
	requireCode(t, err, result.IdempotencyMismatch, result.Unknown)

	require.NoError(t, o.Finish(epoch, k, Outcome{State: NotRun}))
	start, err = o.Begin(epoch, req)
	require.NoError(t, err)
	require.True(t, start.Run, "a key that provably did not run may run again")
	require.NoError(t, o.Finish(epoch, k, Outcome{State: Ran, Answer: &Answer{Status: 201, Body: []byte("ok")}}))
	require.Error(t, o.Finish(epoch, k, Outcome{State: NotRun}), "a second outcome is refused")
	start, err = o.Begin(epoch, req)
	require.NoError(t, err)
	require.Equal(t, 201, start.Replay.Status)

	k2 := keyAt(t, hostA, 0, "2")
	_, err = o.Begin(epoch, Request{Key: k2})
	require.NoError(t, err)
	require.NoError(t, o.Finish(epoch, k2, Outcome{State: Unsettled}))
	_, err = o.Begin(epoch, Request{Key: k2})
	requireCode(t, err, result.KeyOutcomeUnknown, result.Unknown)

	k3 := keyAt(t, hostA, 0, "3")
	_, err = o.Begin(epoch, Request{Key: k3})
	require.NoError(t, err)
	require.NoError(t, o.Finish(epoch, k3, Outcome{State: Ran, Answer: &Answer{Body: make([]byte, MaxAnswerBytes+1)}}))
	_, err = o.Begin(epoch, Request{Key: k3})
	requireCode(t, err, result.KeyAlreadyRun, result.Run)
}

// Guards against two requests with one key that both start because they arrive
// at the same time.
func TestConcurrentDuplicates(t *testing.T) {
	o := NewOwner(hostA, epoch, 0)
	var started atomic.Int32
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for k := range 200 {
				now := epoch.Add(time.Duration(i*k) * time.Millisecond)
				if start, err := o.Begin(now, Request{Key: keyAt(t, hostA, 0, fmt.Sprint(k))}); err == nil && start.Run {
					started.Add(1)
				}
			}
			_, _ = o.Export(epoch, hostB)
		})
	}
	wg.Wait()
	require.LessOrEqual(t, started.Load(), int32(200))
	require.Equal(t, o.Dump().Records, int(started.Load()))
}

// BenchmarkKey measures the CPU time to parse, begin and finish one key.
func BenchmarkKey(b *testing.B) {
	o := NewOwner(hostA, epoch, 0)
	prefix, answer := o.Prefix(epoch), &Answer{Status: 200, Body: make([]byte, 500)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := mustKey(b, fmt.Sprintf("%s.%016d", prefix, i%50000))
		if start, _ := o.Begin(epoch, Request{Key: k, Route: "orders"}); start.Run {
			_ = o.Finish(epoch, k, Outcome{State: Ran, Answer: answer})
		}
	}
}
