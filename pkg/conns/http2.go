package conns

import "encoding/binary"

// HTTP/2 (RFC 9113).
const (
	prefaceBytes     = 24
	frameHeaderBytes = 9
	frameReset       = 0x3
)

// frameReader counts the streams that a client cancels, from the headers of the frames that
// arrive.
type frameReader struct {
	started   bool
	skip      int // bytes to skip up to the next frame header
	header    [frameHeaderBytes]byte
	have      int // bytes in header
	cancelled int64
}

// read takes the next bytes of the connection.
func (r *frameReader) read(p []byte) {
	if !r.started {
		r.started, r.skip = true, prefaceBytes
	}
	for len(p) > 0 {
		if r.skip > 0 {
			n := min(r.skip, len(p))
			r.skip -= n
			p = p[n:]
			continue
		}
		n := copy(r.header[r.have:], p)
		r.have += n
		p = p[n:]
		if r.have < frameHeaderBytes {
			return
		}
		r.have = 0
		lengthAndKind := binary.BigEndian.Uint32(r.header[:])
		r.skip = int(lengthAndKind >> 8)
		if byte(lengthAndKind) == frameReset {
			r.cancelled++
		}
	}
}
