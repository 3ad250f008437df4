package tablesync

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

const (
	// MaxPart is the largest size in bytes of one part of a compressed answer.
	// It leaves room for the other fields within the 1 MiB limit of a peer
	// message.
	MaxPart = 1<<20 - 1024
	// MaxParts is the largest number of parts of one answer.
	MaxParts = 8
	// MaxDecoded is the largest size in bytes of a decompressed answer. Both
	// tables together are smaller, because each is at most 1 MiB of TOML.
	MaxDecoded = 4 << 20
	// maxRows is the largest number of rows of one decoded table.
	maxRows = 65536
)

// Versions name the tables that a host has in force. They are carried in
// probes, summaries and announcements.
type Versions struct {
	Routes int64 `cbor:"1,keyasint" json:"routes"`
	Pools  int64 `cbor:"2,keyasint" json:"pools"`
	// Hash is the hash of both tables together.
	Hash uint64 `cbor:"3,keyasint" json:"hash"`
	// UnconfirmedMS is how long ago, in milliseconds, the platform was last known
	// to have no newer valid tables; -1 means never.
	UnconfirmedMS int64 `cbor:"4,keyasint" json:"unconfirmed_ms"`
}

// Newer reports whether one of the tables of v has a higher version than in o.
func (v Versions) Newer(o Versions) bool { return v.Routes > o.Routes || v.Pools > o.Pools }

// same reports whether v and o name the same versions.
func (v Versions) same(o Versions) bool { return v.Routes == o.Routes && v.Pools == o.Pools }

// Pull asks for the tables in force at the receiver.
type Pull struct {
	// ID is repeated in the answer.
	ID uint64 `cbor:"1,keyasint"`
	// Base names the tables in force at the sender; zero asks for whole tables.
	Base Versions `cbor:"2,keyasint"`
	// Part is the number of the requested part, from 0. For a part above 0, Of
	// is the To of the answer that it belongs to.
	Part int      `cbor:"3,keyasint,omitempty"`
	Of   Versions `cbor:"4,keyasint,omitempty"`
}

// Delta answers a Pull.
type Delta struct {
	ID uint64 `cbor:"1,keyasint"`
	// To names the tables in force at the sender. Its versions are zero if the
	// sender has none.
	To Versions `cbor:"2,keyasint"`
	// Busy means that the sender has reached its limit of bytes sent; the
	// receiver tries another host, or this one later.
	Busy bool `cbor:"3,keyasint,omitempty"`
	// Data is part Part of Parts of a compressed body.
	Part  int    `cbor:"4,keyasint,omitempty"`
	Parts int    `cbor:"5,keyasint,omitempty"`
	Data  []byte `cbor:"6,keyasint,omitempty"`
}

// Outgoing is a message for another entry host. Exactly one of the pointers is
// set.
type Outgoing struct {
	To       string
	Announce *Versions
	Pull     *Pull
	Delta    *Delta
}

// body is the content of an answer before compression.
type body struct {
	// Whole means that the rows replace the receiver's; otherwise they are a
	// delta from the base of the pull.
	Whole  bool                       `cbor:"1,keyasint,omitempty"`
	Routes tables.Delta[tables.Route] `cbor:"2,keyasint"`
	Pools  tables.Delta[tables.Pool]  `cbor:"3,keyasint"`
}

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxRows, MaxMapPairs: 64, MaxNestedLevels: 16,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

func encodeBody(b body) ([]byte, error) {
	plain, err := cbor.Marshal(b)
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "encode tables")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "compress tables")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, result.Wrap(err, result.Internal, "compress tables")
	}
	if err := w.Close(); err != nil {
		return nil, result.Wrap(err, result.Internal, "compress tables")
	}
	return out.Bytes(), nil
}

// decodeBody returns the body of an answer. The error is a *result.Error with
// code PeerMessageTooLarge or PeerMessageMalformed.
func decodeBody(data []byte) (body, error) {
	limited := io.LimitReader(flate.NewReader(bytes.NewReader(data)), MaxDecoded+1)
	plain, err := io.ReadAll(limited)
	if err != nil {
		return body{}, result.Wrap(err, result.PeerMessageMalformed, "decompress tables")
	}
	if len(plain) > MaxDecoded {
		return body{}, result.New(result.PeerMessageTooLarge, "tables are larger than %d bytes", MaxDecoded)
	}
	var b body
	if err := decMode.Unmarshal(plain, &b); err != nil {
		return body{}, result.Wrap(err, result.PeerMessageMalformed, "decode tables")
	}
	return b, nil
}
