package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// DefaultUploadStall is how long a server that has answered may pause before it reads more
// of the request's body. Until then the deadline of the request bounds its pauses.
const DefaultUploadStall = 5 * time.Second

const (
	errMalformedAnswer = errors.ConstError("malformed answer")
	errLongAnswerHead  = errors.ConstError("response headers exceeded the limit")
)

// upload sends a request whose body is not fully buffered, on a connection of its own, and
// reads the answer meanwhile. Server and caller may take their time with a long body: the
// server may answer before it has read all of it, and read on, even after the end of its
// answer. net/http's client closes the connection 50 ms after such an answer has ended, in the
// middle of the body, and it reports no failure before a read of the body has returned.
type upload struct {
	raw  *rawConn
	sent chan struct{} // closed when the request has been sent or cannot be
	err  error         // why it cannot be sent; valid once sent is closed
}

// roundTrip sends out and returns the answer when its head has arrived; the rest of out is
// sent meanwhile. The end of ctx closes the connection. bodyFailed reports whether the
// caller's body could not be read to its end.
func (u *upload) roundTrip(ctx context.Context, out *http.Request, headBytes int64, bodyFailed func() bool) (*http.Response, error) {
	context.AfterFunc(ctx, func() { _ = u.raw.Close() })
	go u.send(out, bodyFailed)
	resp, err := readAnswer(u.raw, out, headBytes)
	if err == nil || malformed(err) {
		return resp, err
	}
	select {
	case <-u.sent:
		if u.err != nil {
			return nil, u.err
		}
	default:
	}
	return nil, err
}

// send writes out to the connection. If the server closes the connection meanwhile, its answer
// can still be read. If the rest of the body is missing, the server waits for it in vain.
func (u *upload) send(out *http.Request, bodyFailed func() bool) {
	w := bufio.NewWriter(unbufferedBody{u.raw})
	u.err = out.Write(w)
	if u.err == nil {
		u.err = w.Flush()
	}
	close(u.sent)
	if u.err != nil && (bodyFailed() || u.raw.written.Load() == 0) {
		_ = u.raw.Close()
	}
}

// await waits until the request has been sent or cannot be, until the server has read nothing
// for the time stall, or until ctx ends. It reports whether the request has been sent.
func (u *upload) await(ctx context.Context, stall time.Duration) bool {
	u.raw.limitStalls(stall)
	select {
	case <-u.sent:
		return u.err == nil
	case <-ctx.Done():
		return false
	}
}

// failedReadTimeout is how long a read from the caller may take to return after it has failed.
const failedReadTimeout = 100 * time.Millisecond

// waitSent waits until the request has been sent or cannot be, for the given time at most.
func (u *upload) waitSent(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-u.sent:
	case <-timer.C:
	}
}

// isSent reports whether the request has been sent or cannot be.
func (u *upload) isSent() bool {
	select {
	case <-u.sent:
		return true
	default:
		return false
	}
}

// unbufferedBody passes each part of a body on as it arrives. A bufio.Writer would collect
// short parts.
type unbufferedBody struct{ raw *rawConn }

func (w unbufferedBody) Write(p []byte) (int, error) { return w.raw.Write(p) }

// ReadFrom is called by bufio.Writer.
func (w unbufferedBody) ReadFrom(r io.Reader) (int64, error) {
	buf := buffers.Get().(*[BufferBytes]byte)
	defer buffers.Put(buf)
	return io.CopyBuffer(struct{ io.Writer }{w.raw}, r, buf[:])
}

// answerReader bounds the head of an answer and keeps the error of the connection apart from
// errors in the answer.
type answerReader struct {
	raw  *rawConn
	left int64 // bytes that may still be read
	err  error
}

// Read reads from the connection.
func (r *answerReader) Read(p []byte) (n int, err error) {
	if r.left <= 0 {
		return 0, errLongAnswerHead
	}
	n, r.err = r.raw.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, r.err
}

// readAnswer reads the head of the answer to out, which may have up to headBytes bytes
// together with the interim answers before it.
func readAnswer(raw *rawConn, out *http.Request, headBytes int64) (*http.Response, error) {
	r := &answerReader{raw: raw, left: headBytes}
	br := bufio.NewReader(r)
	for {
		resp, err := http.ReadResponse(br, out)
		switch {
		case err != nil && r.err != nil:
			return nil, r.err
		case err != nil:
			return nil, fmt.Errorf("%w: %w", errMalformedAnswer, err)
		case resp.StatusCode < http.StatusContinue || resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols:
			r.left = math.MaxInt64
			return resp, nil
		}
	}
}
