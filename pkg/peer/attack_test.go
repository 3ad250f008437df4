package peer

import (
	"bytes"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// attacker is a raw WebSocket client that sends hand-built protocol messages.
type attacker struct {
	t  *testing.T
	ws *websocket.Conn
}

func (n *network) attack(t *testing.T, addr string) attacker {
	client := &http.Client{Transport: &http.Transport{DialContext: n.Dial, DisableKeepAlives: true}}
	ws, _, err := websocket.Dial(t.Context(), "ws://"+addr+Path, &websocket.DialOptions{HTTPClient: client})
	require.NoError(t, err)
	t.Cleanup(func() { _ = ws.CloseNow() })
	return attacker{t, ws}
}

func (a attacker) send(v any) {
	b, err := encMode.Marshal(v)
	require.NoError(a.t, err)
	require.NoError(a.t, a.ws.Write(a.t.Context(), websocket.MessageBinary, b))
}

func (a attacker) recv(v any) {
	_, b, err := a.ws.Read(a.t.Context())
	require.NoError(a.t, err)
	require.NoError(a.t, envelopeMode.Unmarshal(b, v))
}

// closedWith reads until the link is closed and returns the result code of the
// close.
func (a attacker) closedWith() result.Code {
	for {
		if _, _, err := a.ws.Read(a.t.Context()); err != nil {
			return linkError(err).Code
		}
	}
}

func testHello(name string) hello {
	return hello{
		Name: name, Incarnation: 1, MinVersion: MinVersion, MaxVersion: MaxVersion,
		Nonce: bytes.Repeat([]byte{7}, nonceBytes),
	}
}

// handshake completes the handshake as the host called name.
func (a attacker) handshake(name string) {
	own := testHello(name)
	a.send(own)
	var other hello
	a.recv(&other)
	require.Equal(a.t, other.Proof, prove(testKey, labelListener, own, other))
	a.send(proof{prove(testKey, labelDialer, own, other)})
}

// Guards against proofs being reflected or reused: the proof of the listener, and a
// proof for another direction, key, name, nonce, version range or incarnation, must
// not authenticate a dialer, and neither must an empty proof.
func TestReflectionAndTamperingFail(t *testing.T) {
	own := testHello("x")
	tampered := func(change func(d, l *hello)) func(other hello) any {
		return func(other hello) any {
			d, l := own, other
			change(&d, &l)
			return proof{prove(testKey, labelDialer, d, l)}
		}
	}
	for name, answer := range map[string]func(other hello) any{
		"reflected":  func(other hello) any { return proof{other.Proof} },
		"direction":  func(other hello) any { return proof{prove(testKey, labelListener, own, other)} },
		"swapped":    func(other hello) any { return proof{prove(testKey, labelDialer, other, own)} },
		"wrong key":  func(other hello) any { return proof{prove([]byte("other"), labelDialer, own, other)} },
		"own name":   tampered(func(d, _ *hello) { d.Name = "y" }),
		"other name": tampered(func(_, l *hello) { l.Name = "y" }),
		"own nonce":  tampered(func(d, _ *hello) { d.Nonce = bytes.Repeat([]byte{8}, nonceBytes) }),
		"nonce":      tampered(func(_, l *hello) { l.Nonce = otherNonce() }),
		"range":      tampered(func(_, l *hello) { l.MaxVersion++ }),
		"start":      tampered(func(d, _ *hello) { d.Incarnation++ }),
		"empty":      func(hello) any { return proof{} },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, n *network) {
				b := n.node(t, "b", nil)
				a := n.attack(t, "b")
				a.send(own)
				var other hello
				a.recv(&other)
				a.send(answer(other))
				require.Equal(t, result.PeerAuthFailed, a.closedWith())
				synctest.Wait()
				require.Equal(t, []result.Code{result.PeerAuthFailed}, b.codes())
				require.Zero(t, b.count())
			})
		})
	}
}

func otherNonce() []byte { return bytes.Repeat([]byte{9}, nonceBytes) }

// Guards against a host accepting a hello that carries its own name.
func TestMirroredIntroductionFails(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		n.node(t, "b", nil)
		a := n.attack(t, "b")
		a.send(testHello("b"))
		require.Equal(t, result.PeerAuthFailed, a.closedWith())
	})
}

// Guards against unauthenticated ends that send a large hello or open many
// connections.
func TestIntroductionsAreBounded(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		b := n.node(t, "b", nil)
		a := n.attack(t, "b")
		h := testHello("x")
		h.Proof = make([]byte, maxHandshakeBytes)
		a.send(h)
		require.Equal(t, result.PeerMessageTooLarge, a.closedWith())
		synctest.Wait()
		require.Equal(t, []result.Code{result.PeerMessageTooLarge}, b.codes())
		for range maxHandshakes {
			n.attack(t, "b")
		}
		_, _, err := websocket.Dial(t.Context(), "ws://b"+Path, &websocket.DialOptions{HTTPClient: b.client})
		require.ErrorContains(t, err, "503")
	})
}

// Guards against ends that hold a handshake open without authenticating.
func TestHandshakeTimesOut(t *testing.T) {
	bubble(t, func(t *testing.T, n *network) {
		b := n.node(t, "b", nil)
		start := time.Now()
		a := n.attack(t, "b")
		require.Equal(t, result.HostUnreachable, a.closedWith())
		require.LessOrEqual(t, time.Since(start), handshakeTimeout)
		synctest.Wait()
		require.Equal(t, []result.Code{result.PeerSilent}, b.codes())
	})
}

// Guards against authenticated peers that break a limit: the link is closed with the
// exact result code at both ends, and the offending message does not reach the
// handler.
func TestLimitsOfReceivedMessages(t *testing.T) {
	good := envelope{Version: 1, Kind: KindProbe, From: "x", Incarnation: 1}
	with := func(change func(*envelope)) func(attacker) {
		return func(a attacker) { e := good; change(&e); a.send(e) }
	}
	raw := func(b []byte) func(attacker) {
		return func(a attacker) { _ = a.ws.Write(a.t.Context(), websocket.MessageBinary, b) }
	}
	// longer replaces the first byte, which holds the map size, and appends more.
	longer := func(size byte, more ...byte) []byte {
		b := encoded(t, good)
		b[0] = size
		return append(b, more...)
	}
	for name, tc := range map[string]struct {
		send func(attacker)
		want result.Code
	}{
		"garbage":        {raw([]byte("not cbor")), result.PeerMessageMalformed},
		"empty":          {raw(nil), result.PeerMessageMalformed},
		"duplicate keys": {raw(longer(0xa5, 1, 1)), result.PeerMessageMalformed},
		"indefinite":     {raw(longer(0xbf, 0xff)), result.PeerMessageMalformed},
		"unknown key":    {raw(longer(0xa5, 0x18, 99, 1)), result.PeerMessageMalformed},
		"no kind":        {with(func(e *envelope) { e.Kind = 0 }), result.PeerMessageMalformed},
		"other sender":   {with(func(e *envelope) { e.From = "y" }), result.PeerAuthFailed},
		"other start":    {with(func(e *envelope) { e.Incarnation = 2 }), result.PeerAuthFailed},
		"other version":  {with(func(e *envelope) { e.Version = 2 }), result.PeerVersionMismatch},
		"too large":      {raw(make([]byte, MaxMessageBytes+1)), result.PeerMessageTooLarge},
		"too many": {func(a attacker) {
			for range receiveBurst + 1 {
				a.send(good)
			}
		}, result.PeerRateExceeded},
		"too many pings": {func(a attacker) {
			for range receiveBurst + 1 {
				raw([]byte{pong})(a)
			}
		}, result.PeerRateExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, n *network) {
				b := n.node(t, "b", nil)
				a := n.attack(t, "b")
				a.handshake("x")
				tc.send(a)
				require.Equal(t, tc.want, a.closedWith())
				synctest.Wait()
				require.Equal(t, []result.Code{tc.want}, b.codes())
				require.LessOrEqual(t, b.count(), receiveBurst)
				require.Zero(t, b.Dump().Links)
			})
		})
	}
}
