package peer

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// slotRequest is a payload of a typical size for a frequent message.
type slotRequest struct {
	Pool     string `cbor:"1,keyasint"`
	Rank     uint8  `cbor:"2,keyasint"`
	Group    string `cbor:"3,keyasint"`
	Deadline int64  `cbor:"4,keyasint"`
}

func sampleEnvelope(tb testing.TB) envelope {
	m, err := NewMessage(KindSlotRequest, slotRequest{"orders", 1, "school-17", 1_800_000_000_000})
	require.NoError(tb, err)
	return envelope{Version: 1, Kind: m.Kind, From: "almaty-1-entry-3", Incarnation: 1_800_000_000_000, Call: 77, Payload: m.Payload}
}

func encoded(tb testing.TB, e envelope) []byte {
	var buf bytes.Buffer
	require.NoError(tb, e.encode(&buf))
	return buf.Bytes()
}

// Guards against changes to the encoding that older releases cannot decode.
func TestEnvelopeBytes(t *testing.T) {
	e := envelope{Version: 1, Kind: 2, From: "a", Incarnation: 3, Call: 4, IsReply: true, Payload: cbor.RawMessage{0xf6}}
	require.Equal(t, []byte{0xa7, 1, 1, 2, 2, 3, 0x61, 'a', 4, 3, 5, 4, 6, 0xf5, 7, 0xf6}, encoded(t, e))
}

// Guards against payloads that need unbounded memory or stack to decode.
func TestPayloadLimits(t *testing.T) {
	deep := append(bytes.Repeat([]byte{0x81}, maxNesting+1), 0)
	long := append([]byte{0x9a, 0, 1, 0, 1}, make([]byte, maxElements+1)...)
	// The short ones are an array of indefinite length, a tag, invalid UTF-8, no
	// item, and two items.
	for _, b := range [][]byte{deep, long, {0x9f, 0xff}, {0xc1, 0}, {0x62, 0xff, 0xff}, {}, {0, 0}} {
		var v any
		require.Equal(t, result.PeerMessageMalformed, result.CodeOf(Message{Kind: 1, Payload: b}.Decode(&v)), "%.20x", b)
	}
	var v slotRequest
	require.NoError(t, Message{Payload: []byte{0xa2, 1, 0x61, 'p', 0x18, 99, 1}}.Decode(&v), "a newer field is ignored")
}

// Guards against crashes, and against messages that decode differently the second
// time: an accepted message must survive re-encoding and decoding unchanged.
func FuzzDecodeMessage(f *testing.F) {
	f.Add(encoded(f, sampleEnvelope(f)))
	f.Add([]byte{0xa2, 1, 1, 1, 1})
	f.Add([]byte{0xbf, 1, 1, 0xff})
	f.Add(bytes.Repeat([]byte{0x81}, 100))
	f.Add([]byte{ping})
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := decodeEnvelope(b)
		if err != nil {
			c := result.CodeOf(err)
			require.True(t, c == result.PeerMessageMalformed || c == result.PeerMessageTooLarge, "%v", err)
			return
		}
		again, err := decodeEnvelope(encoded(t, e))
		require.NoError(t, err)
		require.Equal(t, e, again)
		var v any
		_ = Message{Kind: e.Kind, Payload: e.Payload}.Decode(&v)
		var h hello
		_ = envelopeMode.Unmarshal(b, &h)
	})
}

// Maximum allocations per message. An increase needs a reason.
const (
	encodeAllocs = 0
	decodeAllocs = 3
)

// Guards against changes that add allocations to encoding or decoding a message.
func TestMessageAllocations(t *testing.T) {
	e := sampleEnvelope(t)
	b := encoded(t, e)
	var buf bytes.Buffer
	got := testing.AllocsPerRun(1000, func() { buf.Reset(); _ = e.encode(&buf) })
	require.LessOrEqual(t, got, float64(encodeAllocs))
	got = testing.AllocsPerRun(1000, func() { _, _ = decodeEnvelope(b) })
	require.LessOrEqual(t, got, float64(decodeAllocs))
}

func BenchmarkMessage(b *testing.B) {
	e := sampleEnvelope(b)
	raw := encoded(b, e)
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		var buf bytes.Buffer
		for b.Loop() {
			buf.Reset()
			_ = e.encode(&buf)
		}
		b.ReportMetric(float64(len(raw)), "bytes/message")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = decodeEnvelope(raw)
		}
	})
}
