package peer

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/coder/websocket"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const (
	// handshakeTimeout is the maximum time for a dial with its handshake,
	// and for the handshake of the listening end.
	handshakeTimeout = 3 * time.Second
	// maxHandshakeBytes is the maximum size of a message from an end that has not
	// yet been authenticated.
	maxHandshakeBytes = 1024
	nonceBytes        = 32
)

// HMAC labels for the two directions. They differ, so that the proof of one end
// cannot be reflected as the proof of the other.
const (
	labelDialer   = "tamarackswitch peer dialer 1"
	labelListener = "tamarackswitch peer listener 1"
)

// hello is the first handshake message of each end.
type hello struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	MinVersion  uint16 `cbor:"3,keyasint"`
	MaxVersion  uint16 `cbor:"4,keyasint"`
	Nonce       []byte `cbor:"5,keyasint"`
	// Proof is empty in the hello of the dialer, which sends its proof after it has
	// verified the hello of the listener.
	Proof []byte `cbor:"6,keyasint,omitempty"`
}

// proof is the second handshake message of the dialer.
type proof struct {
	Proof []byte `cbor:"1,keyasint"`
}

// prove computes the HMAC-SHA-256 for one direction over the hello fields of both
// ends, so that names, incarnations, nonces and version ranges cannot be altered
// in transit. Each part is length-prefixed.
func prove(key []byte, label string, dialer, listener hello) []byte {
	m := hmac.New(sha256.New, key)
	write := func(b []byte) {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(b)))
		m.Write(n[:])
		m.Write(b)
	}
	write([]byte(label))
	for _, h := range []hello{dialer, listener} {
		write([]byte(h.Name))
		write(h.Nonce)
		var n [12]byte
		binary.BigEndian.PutUint64(n[:8], uint64(h.Incarnation))
		binary.BigEndian.PutUint16(n[8:10], h.MinVersion)
		binary.BigEndian.PutUint16(n[10:], h.MaxVersion)
		write(n[:])
	}
	return m.Sum(nil)
}

func (m *Mesh) hello() hello {
	n := make([]byte, nonceBytes)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(n)
	return hello{
		Name: m.cfg.Self.Name, Incarnation: m.cfg.Self.Incarnation,
		MinVersion: m.cfg.MinVersion, MaxVersion: m.cfg.MaxVersion, Nonce: n,
	}
}

// negotiate returns the highest protocol version that both ends support.
func negotiate(a, b hello) (uint16, error) {
	v := min(a.MaxVersion, b.MaxVersion)
	if v < max(a.MinVersion, b.MinVersion) || v == 0 {
		return 0, result.New(result.PeerVersionMismatch, "%s speaks %d to %d, %s speaks %d to %d",
			a.Name, a.MinVersion, a.MaxVersion, b.Name, b.MinVersion, b.MaxVersion)
	}
	return v, nil
}

// check rejects a malformed hello, and one that reflects our own name or nonce.
func (h hello) check(own hello) error {
	switch {
	case !validName(h.Name) || len(h.Nonce) != nonceBytes:
		return result.New(result.PeerMessageMalformed, "introduction of the other end")
	case h.Name == own.Name || bytes.Equal(h.Nonce, own.Nonce):
		return result.New(result.PeerAuthFailed, "the other end claims to be this host")
	}
	return nil
}

// handshakeAsDialer runs the handshake of the dialing end. It fails unless the
// listener authenticates as the host called name.
func (m *Mesh) handshakeAsDialer(ctx context.Context, ws *websocket.Conn, name string) (Identity, uint16, error) {
	own := m.hello()
	if err := sendItem(ctx, ws, own); err != nil {
		return Identity{}, 0, err
	}
	var other hello
	if err := readItem(ctx, ws, &other); err != nil {
		return Identity{}, 0, err
	}
	if err := other.check(own); err != nil {
		return Identity{}, 0, err
	}
	if !hmac.Equal(other.Proof, prove(m.cfg.Key, labelListener, own, other)) {
		return Identity{}, 0, result.New(result.PeerAuthFailed, "proof of the listener is wrong")
	}
	if other.Name != name {
		return Identity{}, 0, result.New(result.PeerAuthFailed, "dialed %s and reached %s", name, other.Name)
	}
	v, err := negotiate(own, other)
	if err != nil {
		return Identity{}, 0, err
	}
	err = sendItem(ctx, ws, proof{prove(m.cfg.Key, labelDialer, own, other)})
	return Identity{other.Name, other.Incarnation}, v, err
}

// handshakeAsListener runs the handshake of the listening end.
func (m *Mesh) handshakeAsListener(ctx context.Context, ws *websocket.Conn) (Identity, uint16, error) {
	own := m.hello()
	var other hello
	if err := readItem(ctx, ws, &other); err != nil {
		return Identity{}, 0, err
	}
	if err := other.check(own); err != nil {
		return Identity{}, 0, err
	}
	own.Proof = prove(m.cfg.Key, labelListener, other, own)
	if err := sendItem(ctx, ws, own); err != nil {
		return Identity{}, 0, err
	}
	// The dialer detects a mismatch from the version range in the hello sent above,
	// and reports it only after it has authenticated both ranges.
	v, verr := negotiate(other, own)
	if verr != nil {
		return Identity{}, 0, verr
	}
	var p proof
	if err := readItem(ctx, ws, &p); err != nil {
		return Identity{}, 0, err
	}
	if !hmac.Equal(p.Proof, prove(m.cfg.Key, labelDialer, other, own)) {
		return Identity{}, 0, result.New(result.PeerAuthFailed, "proof of the dialer is wrong")
	}
	return Identity{other.Name, other.Incarnation}, v, nil
}

// sendItem sends v as one CBOR data item.
func sendItem(ctx context.Context, ws *websocket.Conn, v any) error {
	b, err := encMode.Marshal(v)
	if err != nil {
		return result.Wrap(err, result.Internal, "encoding the handshake")
	}
	if err := ws.Write(ctx, websocket.MessageBinary, b); err == nil {
		return nil
	}
	// The write may have failed because the other end has closed the connection.
	// Its close frame, if any, carries the reason.
	_, _, err = ws.Read(ctx)
	return linkError(err)
}

// readItem reads one CBOR data item into v.
func readItem(ctx context.Context, ws *websocket.Conn, v any) error {
	_, b, err := ws.Read(ctx)
	if err != nil {
		return linkError(err)
	}
	if err := envelopeMode.Unmarshal(b, v); err != nil {
		return result.Wrap(err, result.PeerMessageMalformed, "handshake")
	}
	return nil
}
