package peer

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// helloPayload is the CBOR encoding of the text "hello".
var helloPayload = []byte{0x65, 'h', 'e', 'l', 'l', 'o'}

// pair returns the nodes a and b, which know each other's address. change, if not
// nil, adjusts the configuration of b.
func pair(t *testing.T, n *network, change func(*Config)) (a, b *node) {
	a, b = n.node(t, "a", nil), n.node(t, "b", change)
	a.SetPeers(map[string]string{"b": "b"})
	b.SetPeers(map[string]string{"a": "a"})
	return a, b
}

// Guards against lost or altered messages and replies in both directions over
// one link.
func TestSendAndCall(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		a, b := pair(t, n, nil)
		require.True(t, a.Send("b", Message{Kind: KindProbe, Payload: helloPayload}))
		synctest.Wait()
		require.Equal(t, 1, b.count())
		from, msg := b.message(0)
		require.Equal(t, Identity{"a", 1}, from)
		require.Equal(t, Message{Kind: KindProbe, Payload: helloPayload}, msg)
		reply, err := b.Call(t.Context(), "a", Message{Kind: KindSlotRequest, Payload: helloPayload})
		require.NoError(t, err)
		require.Equal(t, KindSlotGrant, reply.Kind)
		require.Equal(t, 1, n.Dials())
		synctest.Wait()
		ca, cb := a.Counters(), b.Counters()
		require.Equal(t, ca.BytesOut, cb.BytesIn)
		require.Equal(t, ca.MessagesIn, cb.MessagesOut)
		require.EqualValues(t, 2, ca.MessagesOut)
		require.Equal(t, "b", a.Dump().Hosts[0].Name)
	})
}

// Guards against two links remaining between hosts that dial each other at the same
// time.
func TestTieBreakLeavesOneLink(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		a, b := pair(t, n, nil)
		a.Send("b", Message{Kind: KindProbe})
		b.Send("a", Message{Kind: KindProbe})
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, a.count())
		require.Equal(t, 1, b.count())
		require.Equal(t, 2, n.Dials())
		require.Equal(t, 1, a.Dump().Links)
		require.True(t, a.Dump().Hosts[0].Dialed)
		require.False(t, b.Dump().Hosts[0].Dialed)
		require.Empty(t, append(a.codes(), b.codes()...))
	})
}

// Guards against linking to a host with another key, and to a host other than the one
// expected at the dialed address.
func TestAuthFailures(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		a, b := pair(t, n, func(c *Config) { c.Key = []byte("another key of enough bytes") })
		_, err := a.Call(t.Context(), "b", Message{Kind: KindProbe})
		require.Equal(t, result.PeerAuthFailed, result.CodeOf(err))
		require.Equal(t, result.NotRun, result.From(err).Run)
		synctest.Wait()
		require.Equal(t, []result.Code{result.PeerAuthFailed}, b.codes())
		b.stop()
		c := n.node(t, "c", nil)
		a.SetPeers(map[string]string{"d": "c"})
		_, err = a.Call(t.Context(), "d", Message{Kind: KindProbe})
		require.Equal(t, result.PeerAuthFailed, result.CodeOf(err))
		require.Zero(t, c.count())
	})
}

// Guards against linking without a common protocol version, and against choosing
// another than the highest common one.
func TestVersionRange(t *testing.T) {
	for _, tc := range []struct {
		min, max uint16
		want     result.Code
		version  uint16
	}{
		{1, 3, result.OK, 1}, {1, 1, result.OK, 1}, {2, 4, result.PeerVersionMismatch, 0},
	} {
		bubble(t, func(t *testing.T, n *network) {
			a, b := pair(t, n, func(c *Config) { c.MinVersion, c.MaxVersion = tc.min, tc.max })
			_, err := a.Call(t.Context(), "b", Message{Kind: KindSlotRequest})
			require.Equal(t, tc.want, result.CodeOf(err))
			require.Equal(t, tc.version, a.Dump().Hosts[0].Version)
			synctest.Wait()
			if tc.want != result.OK {
				require.Equal(t, []result.Code{tc.want}, b.codes())
			}
		})
	}
}

// Guards against a rise in the traffic of idle links, of which a host of the target
// size has up to 75. TCP and IP headers are not counted; they add 40 bytes for each
// frame and each acknowledgement.
func TestIdleLinkBytes(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		a, _ := pair(t, n, nil)
		a.Send("b", Message{Kind: KindProbe})
		time.Sleep(5 * time.Second)
		start := a.Counters()
		time.Sleep(40 * time.Second)
		end := a.Counters()
		bytes := end.BytesIn + end.BytesOut - start.BytesIn - start.BytesOut
		frames := end.MessagesIn + end.MessagesOut - start.MessagesIn - start.MessagesOut
		t.Logf("%d frames, %d bytes in 40 s", frames, bytes)
		require.LessOrEqual(t, frames, int64(40))
		require.LessOrEqual(t, bytes, int64(10*frames))
	})
}

// Guards against closing an idle link too early, and against keeping a silent one:
// pings keep a link open for 60 s, and silence closes it within 3 s.
func TestPingIdleAndSilence(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		a, b := pair(t, n, nil)
		a.Send("b", Message{Kind: KindProbe})
		time.Sleep(59 * time.Second)
		require.Equal(t, 1, b.Dump().Links)
		pings := a.Counters().MessagesOut - 1
		require.InDelta(t, 29, pings, 1)
		time.Sleep(2 * time.Second)
		require.Zero(t, a.Dump().Links+b.Dump().Links)
		require.Empty(t, append(a.codes(), b.codes()...))

		a.Send("b", Message{Kind: KindProbe})
		time.Sleep(time.Second)
		require.Equal(t, 1, b.Dump().Links)
		n.SetSilent(true)
		errs := make(chan error, 1)
		start := time.Now()
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err := a.Call(ctx, "b", Message{Kind: KindSlotRequest})
			errs <- err
		}()
		err := result.From(<-errs)
		require.Equal(t, result.PeerSilent, err.Code)
		require.Equal(t, result.Unknown, err.Run)
		require.LessOrEqual(t, time.Since(start), SilentAfter)
		time.Sleep(SilentAfter)
		require.Zero(t, a.Dump().Links+b.Dump().Links)
		require.Equal(t, result.PeerSilent, a.codes()[0])
		require.Equal(t, result.PeerSilent, b.codes()[0])
		n.SetSilent(false)
		time.Sleep(maxBackoff + time.Second)
		_, cerr := a.Call(t.Context(), "b", Message{Kind: KindSlotRequest})
		require.NoError(t, cerr)
	})
}

// Guards against a sender that exceeds the rate limit of the receiver under normal
// load, and against an unbounded queue.
func TestOwnSenderStaysUnderRateAndQueueIsBounded(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		a, b := pair(t, n, nil)
		accepted := 0
		for range 10 * QueueMessages {
			if a.Send("b", Message{Kind: KindProbe}) {
				accepted++
			}
		}
		// The link may send up to sendBurst messages while the loop runs.
		require.GreaterOrEqual(t, accepted, QueueMessages)
		require.LessOrEqual(t, accepted, QueueMessages+sendBurst+1)
		require.EqualValues(t, 10*QueueMessages-accepted, a.Counters().Dropped)
		for range 5000 {
			a.Send("b", Message{Kind: KindProbe})
			time.Sleep(time.Millisecond)
		}
		require.Greater(t, b.count(), 2000)
		require.Less(t, b.count(), QueueMessages+sendBurst+6*sendRate)
		// Pings continue under load, so the link is not considered silent.
		time.Sleep(time.Second)
		require.Empty(t, append(a.codes(), b.codes()...))
	})
}

// Guards against dialing a dead host without backoff, against blocking on it, and
// against sending messages that were queued while it was down.
func TestBackoff(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		a := n.node(t, "a", nil)
		a.SetPeers(map[string]string{"b": "b"})
		for range 1000 {
			a.Send("b", Message{Kind: KindProbe})
			time.Sleep(10 * time.Millisecond)
		}
		require.Greater(t, n.Dials(), 4)
		require.Less(t, n.Dials(), 20)
		_, err := a.Call(t.Context(), "b", Message{Kind: KindProbe})
		require.Equal(t, result.HostUnreachable, result.CodeOf(err))
		require.Equal(t, result.NotRun, result.From(err).Run)
		time.Sleep(2 * maxBackoff)
		b := n.node(t, "b", nil)
		require.True(t, a.Send("b", Message{Kind: KindProbe}))
		synctest.Wait()
		require.Equal(t, 1, b.count())
	})
}

// Guards against an old process that resumes after a pause displacing its
// replacement, and against an old link outliving a restart.
func TestNewerIncarnationWins(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		a := n.node(t, "a", nil)
		old := n.node(t, "b", nil)
		a.SetPeers(map[string]string{"b": "b"})
		old.SetPeers(map[string]string{"a": "a"})
		old.Send("a", Message{Kind: KindProbe})
		synctest.Wait()
		b2 := n.node(t, "b", func(c *Config) { c.Self.Incarnation = 2 })
		b2.SetPeers(map[string]string{"a": "a"})
		b2.Send("a", Message{Kind: KindProbe})
		synctest.Wait()
		require.EqualValues(t, 2, a.Dump().Hosts[0].Incarnation)
		time.Sleep(2 * supersededGrace)
		old.Send("a", Message{Kind: KindProbe})
		time.Sleep(time.Second)
		require.Contains(t, old.codes(), result.PeerAuthFailed)
		require.EqualValues(t, 2, a.Dump().Hosts[0].Incarnation)
	})
}

// Guards against losing a reply that arrives after its call has ended: the handler
// must be able to undo what the reply grants.
func TestLateReplyReachesHandler(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		a, b := pair(t, n, nil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := a.Call(ctx, "b", Message{Kind: KindSlotHeld})
		require.Equal(t, result.PeerSilent, result.CodeOf(err))
		require.Equal(t, result.Unknown, result.From(err).Run)
		_, request := b.message(0)
		require.True(t, request.Reply(Message{Kind: KindSlotGrant}))
		synctest.Wait()
		_, late := a.message(0)
		require.True(t, late.Late)
		require.Zero(t, a.Dump().Calls)
	})
}

// Guards against a reply to a former incarnation being matched to a call of the next
// one, which numbers its calls from 1 again.
func TestReplyToFormerIncarnationIsDropped(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		b := n.node(t, "b", nil)
		var calls [2]Message
		for i := range calls {
			a := n.node(t, "a", func(c *Config) { c.Self.Incarnation = int64(i + 1) })
			a.SetPeers(map[string]string{"b": "b"})
			go func() {
				_, err := a.Call(context.Background(), "b", Message{Kind: KindSlotHeld})
				assert.Equal(t, result.Unknown, result.From(err).Run)
			}()
			synctest.Wait()
			_, calls[i] = b.message(i)
		}
		calls[0].Reply(Message{Kind: KindSlotGrant})
		time.Sleep(4 * time.Second)
		require.EqualValues(t, 1, b.Counters().Dropped)
	})
}

// Guards against sending messages that have expired.
func TestExpiredMessagesAreNotSent(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		a := n.node(t, "a", nil)
		a.SetPeers(map[string]string{"b": "b"})
		listener := n.Listen("b") // accepts connections only after the messages have expired
		require.True(t, a.Send("b", Message{Kind: KindProbe}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := a.Call(ctx, "b", Message{Kind: KindSlotRequest})
		require.Equal(t, result.PeerSilent, result.CodeOf(err))
		require.Equal(t, result.NotRun, result.From(err).Run)
		time.Sleep(time.Millisecond)
		b, err := New(Config{Self: Identity{"b", 1}, Key: testKey, Handler: func(_ Identity, m Message) {
			assert.Equal(t, KindAck, m.Kind)
		}})
		require.NoError(t, err)
		var meshTomb tomb.Tomb
		b.Start(&meshTomb)
		s := &http.Server{Handler: b}
		go func() { _ = s.Serve(listener) }()
		time.Sleep(100 * time.Millisecond)
		require.True(t, a.Send("b", Message{Kind: KindAck}))
		time.Sleep(time.Second)
		require.EqualValues(t, 1, b.Counters().MessagesIn)
		require.EqualValues(t, 2, a.Counters().Dropped)
		meshTomb.Kill(nil)
		require.NoError(t, meshTomb.Wait())
		require.NoError(t, s.Close())
	})
}

// Guards against payloads over the limit and against an invalid configuration.
func TestLimitsBeforeSending(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		a, _ := pair(t, n, nil)
		_, err := a.Call(t.Context(), "b", Message{Kind: KindTableDelta, Payload: make([]byte, MaxPayloadBytes+1)})
		require.Equal(t, result.PeerMessageTooLarge, result.CodeOf(err))
		big, merr := NewMessage(KindTableDelta, make([]byte, MaxPayloadBytes-16))
		require.NoError(t, merr)
		reply, err := a.Call(t.Context(), "b", big)
		require.NoError(t, err)
		require.Len(t, reply.Payload, len(big.Payload))
	})
	_, err := New(Config{Self: Identity{"a", 1}, Key: []byte("short"), Handler: func(Identity, Message) {}})
	require.Equal(t, result.SettingsInvalid, result.CodeOf(err))
}
