package forward

import (
	stderrors "errors"
	"io"
	"net/http"
	"os"
	"sync"

	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// BufferBytes is the size of the buffers for bodies. A request body up to this
// size, and an answer body whose announced length is up to this size, is read
// completely before it is passed on.
const BufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([BufferBytes]byte) }}

// smallBytes is the size of the buffers in which bodies begin: most are short, and callers
// that send slowly must not hold more memory than they have sent.
const smallBytes = 2 << 10

var smallBuffers = sync.Pool{New: func() any { return new([smallBytes]byte) }}

// takeBuffer returns a buffer for n bytes, which may be up to BufferBytes.
func takeBuffer(n int) []byte {
	if n <= smallBytes {
		return smallBuffers.Get().(*[smallBytes]byte)[:]
	}
	return buffers.Get().(*[BufferBytes]byte)[:]
}

// freeBuffer returns a buffer of takeBuffer, unless it is nil.
func freeBuffer(b []byte) {
	switch len(b) {
	case smallBytes:
		smallBuffers.Put((*[smallBytes]byte)(b))
	case BufferBytes:
		buffers.Put((*[BufferBytes]byte)(b))
	}
}

// Body is the body of a caller's request. Up to BufferBytes of it are held in
// memory, and the rest is streamed. It is safe for concurrent use.
type Body struct {
	in    *http.Request
	limit int64 // in bytes; 0 means no limit

	mu            sync.Mutex
	buf           []byte
	buffered      int  // bytes in buf
	fullyBuffered bool // buf holds the whole body, which has no trailers
	streamed      bool // an attempt may have read bytes beyond buf
	closed        bool
	streamedBytes int64         // bytes read beyond buf
	readErr       *result.Error // why reading the caller's body failed
}

// OpenBody reads the first BufferBytes bytes of the body of in, which may have
// at most limit bytes; 0 means no limit. Nothing has been sent to a server yet,
// so the run state of its errors is NotRun. Close must be called. Reading makes
// net/http send 100 Continue to a caller that expects it.
func OpenBody(in *http.Request, limit int64) (*Body, *result.Error) {
	b := &Body{in: in, limit: limit}
	if limit > 0 && in.ContentLength > limit {
		return nil, result.New(result.BodyTooLarge, "the body has %d bytes, the limit is %d", in.ContentLength, limit)
	}
	if in.Body == nil || in.Body == http.NoBody || in.ContentLength == 0 {
		b.fullyBuffered = true
		return b, nil
	}
	b.buf = takeBuffer(smallBytes)
	if err := b.fill(); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// fill reads up to BufferBytes bytes of the body into buf.
func (b *Body) fill() *result.Error {
	n, err := io.ReadFull(b.in.Body, b.buf)
	if err == nil && b.in.ContentLength != int64(n) {
		large := takeBuffer(BufferBytes)
		copy(large, b.buf)
		freeBuffer(b.buf)
		b.buf = large
		var more int
		more, err = io.ReadFull(b.in.Body, large[n:])
		n += more
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
	}
	b.buffered = n
	switch {
	case b.limit > 0 && int64(n) > b.limit:
		return tooLarge(b.limit)
	case err == nil && b.in.ContentLength != int64(n):
		// More may follow. If a body in chunks has exactly BufferBytes bytes, its
		// streamed part is empty.
		return nil
	case err == nil:
	case err != io.EOF && err != io.ErrUnexpectedEOF:
		return bodyError(err)
	case b.in.ContentLength >= 0 && int64(n) != b.in.ContentLength:
		return result.New(result.CallerGone, "the caller left after %d of %d body bytes", n, b.in.ContentLength)
	}
	// attach gives a fully buffered body a Content-Length, and net/http sends
	// trailers only after a body without one.
	b.fullyBuffered = len(b.in.Trailer) == 0
	return nil
}

// Replayable reports whether the body can be sent more than once.
func (b *Body) Replayable() bool { return b.fullyBuffered }

// Sendable reports whether the body can be sent from its start: no attempt has read beyond the
// buffer.
func (b *Body) Sendable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.streamed && !b.closed
}

// Close frees the buffer. Attempts that still read from the body get an error, so Close must
// not be called before the answer has ended: a server may answer before it has read the body.
func (b *Body) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	freeBuffer(b.buf)
	b.buf, b.buffered = nil, 0
	b.fullyBuffered = false
	b.closed = true
}

func tooLarge(limit int64) *result.Error {
	return result.New(result.BodyTooLarge, "the body is larger than %d bytes", limit)
}

// bodyError returns the result for an error that occurred while the caller's
// body was read.
func bodyError(err error) *result.Error {
	var resultErr *result.Error
	var maxBytesErr *http.MaxBytesError
	switch {
	case stderrors.As(err, &resultErr):
		return resultErr
	case stderrors.As(err, &maxBytesErr):
		return tooLarge(maxBytesErr.Limit)
	case stderrors.Is(err, os.ErrDeadlineExceeded):
		return result.Wrap(err, result.SlowSender, "the body did not arrive in time")
	}
	return result.Wrap(err, result.CallerGone, "the caller left before the end of the body")
}

// bodyReader reads a Body for one attempt. The transport may keep reading after
// the attempt has failed; ended then makes its reads fail.
type bodyReader struct {
	b      *Body
	offset int  // number of bytes of buf that were already read
	ended  bool // the attempt has ended; guarded by b.mu
}

// attach makes b the body of out and returns its reader, or nil if the body is
// empty.
func (b *Body) attach(out *http.Request) *bodyReader {
	if b.fullyBuffered && b.buffered == 0 {
		return nil
	}
	out.ContentLength = int64(b.buffered)
	if !b.fullyBuffered {
		out.ContentLength = b.in.ContentLength
		out.Trailer = b.in.Trailer
	}
	r := &bodyReader{b: b}
	out.Body = r
	return r
}

// Close does nothing; the exchange calls end when the attempt has ended.
func (r *bodyReader) Close() error { return nil }

// end makes later reads fail. It does nothing if r is nil.
func (r *bodyReader) end() {
	if r == nil {
		return
	}
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.ended = true
}

const (
	errBodyConsumed = errors.ConstError("request body was already streamed or closed")
	errBodyClosed   = errors.ConstError("request body was closed")
)

// Read returns bytes of the buffer and, after its end, bytes from the caller.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.b
	b.mu.Lock()
	if r.ended {
		b.mu.Unlock()
		return 0, errAttemptEnded
	}
	if b.closed {
		b.mu.Unlock()
		return 0, errBodyClosed
	}
	if r.offset < b.buffered {
		n := copy(p, b.buf[r.offset:b.buffered])
		r.offset += n
		b.mu.Unlock()
		return n, nil
	}
	fullyBuffered := b.fullyBuffered
	b.streamed = b.streamed || !fullyBuffered
	b.mu.Unlock()
	if fullyBuffered {
		return 0, io.EOF
	}
	return b.stream(p)
}

// stream reads the part of the body beyond the buffer from the caller. It does
// not hold the lock during the read, which may block.
func (b *Body) stream(p []byte) (int, error) {
	n, err := b.in.Body.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streamedBytes += int64(n)
	if b.limit > 0 && BufferBytes+b.streamedBytes > b.limit {
		b.readErr = tooLarge(b.limit)
		return 0, b.readErr
	}
	if err != nil && err != io.EOF {
		b.readErr = bodyError(err)
		return n, b.readErr
	}
	return n, err
}

// failure returns a copy of the error that occurred while the caller's body was
// read, or nil.
func (b *Body) failure() *result.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readErr == nil {
		return nil
	}
	e := *b.readErr
	return &e
}
