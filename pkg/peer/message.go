package peer

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const (
	// MaxMessageBytes is the maximum size of one encoded message, including its
	// envelope (design 2.4).
	MaxMessageBytes = 1 << 20
	// MaxPayloadBytes is the maximum size of a payload. The difference from
	// MaxMessageBytes is reserved for the envelope.
	MaxPayloadBytes = MaxMessageBytes - 512
	// MaxNameBytes is the maximum length of a host name. It also bounds the size
	// of the envelope, which carries the name of the sender.
	MaxNameBytes = 128
	// maxNesting and maxElements are the limits for nesting and for the elements
	// of an array or map. They bound the stack and memory for decoding a message.
	maxNesting  = 8
	maxElements = 65536
)

// Kind is the type of a message.
type Kind uint16

// Message kinds (design 2.4). A number is never reused for another meaning. The link
// of KindLinkRequest and KindLinkLease is a directed pair of regions, not a link of
// this package.
const (
	KindProbe         Kind = 1
	KindAck           Kind = 2
	KindProbeRequest  Kind = 3
	KindSummary       Kind = 10
	KindTableAnnounce Kind = 20
	KindTablePull     Kind = 21
	KindTableDelta    Kind = 22
	KindSlotRequest   Kind = 30
	KindSlotGrant     Kind = 31
	KindSlotRefuse    Kind = 32
	KindSlotRelease   Kind = 33
	KindSlotHeld      Kind = 34
	KindCreditRequest Kind = 40
	KindCreditGrant   Kind = 41
	KindLinkRequest   Kind = 50
	KindLinkLease     Kind = 51
	KindKeyHandoff    Kind = 60
)

// Identity identifies one process of an entry host.
type Identity struct {
	Name string `json:"name"`
	// Incarnation is the start time of the process in milliseconds. It tells a
	// restarted process from its predecessor.
	Incarnation int64 `json:"incarnation"`
}

// Message is a message exchanged between entry hosts.
type Message struct {
	Kind Kind
	// Payload is a single encoded CBOR item.
	Payload []byte
	// Late marks a reply that arrived after its Call had ended. The handler may
	// have to undo what the reply grants.
	Late bool

	reply func(Message) bool
}

// NewMessage returns a message with v encoded as its payload.
func NewMessage(kind Kind, v any) (Message, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return Message{}, result.Wrap(err, result.PeerMessageMalformed, "payload of kind %d cannot be encoded", kind)
	}
	return Message{Kind: kind, Payload: b}, nil
}

// Decode decodes the payload into v within the nesting and element limits of this
// package. Unknown keys are ignored, so that a newer release may add fields.
func (m Message) Decode(v any) error {
	if err := payloadMode.Unmarshal(m.Payload, v); err != nil {
		return result.Wrap(err, result.PeerMessageMalformed, "payload of kind %d", m.Kind)
	}
	return nil
}

// IsCall reports whether the sender waits for a reply.
func (m Message) IsCall() bool { return m.reply != nil }

// Reply sends answer as the reply to a call. It returns false if m is not a call
// or if the reply was dropped.
func (m Message) Reply(answer Message) bool { return m.reply != nil && m.reply(answer) }

// envelope is the CBOR encoding of a message on the wire.
type envelope struct {
	Version     uint16          `cbor:"1,keyasint"`
	Kind        Kind            `cbor:"2,keyasint"`
	From        string          `cbor:"3,keyasint"`
	Incarnation int64           `cbor:"4,keyasint"`
	Call        uint64          `cbor:"5,keyasint,omitempty"`
	IsReply     bool            `cbor:"6,keyasint,omitempty"`
	Payload     cbor.RawMessage `cbor:"7,keyasint,omitempty"`
}

var encMode = func() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical, IndefLength: cbor.IndefLengthForbidden}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// decMode returns a strict CBOR decoding mode: it rejects duplicate keys, tags and
// indefinite lengths, and bounds nesting and element counts.
func decMode(extra cbor.ExtraDecErrorCond) cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: extra,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

var (
	envelopeMode = decMode(cbor.ExtraDecErrorUnknownField)
	payloadMode  = decMode(cbor.ExtraDecErrorNone)
)

// encode appends the encoded envelope to buf.
func (e *envelope) encode(buf *bytes.Buffer) error { return encMode.MarshalToBuffer(e, buf) }

// decodeEnvelope decodes the envelope of one message and validates its fields.
func decodeEnvelope(b []byte) (envelope, error) {
	var e envelope
	if len(b) > MaxMessageBytes {
		return e, result.New(result.PeerMessageTooLarge, "message of %d bytes", len(b))
	}
	if err := envelopeMode.Unmarshal(b, &e); err != nil {
		return e, result.Wrap(err, result.PeerMessageMalformed, "envelope")
	}
	switch {
	case e.Version == 0 || e.Kind == 0:
		return e, result.New(result.PeerMessageMalformed, "envelope without version or kind")
	case !validName(e.From):
		return e, result.New(result.PeerMessageMalformed, "envelope with a malformed sender")
	case e.IsReply && e.Call == 0:
		return e, result.New(result.PeerMessageMalformed, "reply without a call")
	}
	return e, nil
}

// validName reports whether s is a valid host name: 1 to MaxNameBytes characters
// of printable ASCII without spaces.
func validName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
