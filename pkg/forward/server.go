package forward

import (
	stderrors "errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const (
	// DefaultHeadBytes bounds the head of a request.
	DefaultHeadBytes = 32 << 10
	// DefaultHeadTimeout bounds the time in which a head must arrive.
	DefaultHeadTimeout = 5 * time.Second
	// DefaultBodyStall bounds the time between two parts of a body.
	DefaultBodyStall = 5 * time.Second
	// DefaultBodyRate is the lowest mean rate of a body in bytes per second.
	DefaultBodyRate = 1 << 10
	// DefaultKeepAlive is how long a caller's connection may be idle.
	DefaultKeepAlive = 60 * time.Second
)

// Limits bound what callers may send; zero fields take the defaults.
type Limits struct {
	// HeadBytes bounds the head of a request.
	HeadBytes int
	// HeadTimeout bounds the time in which a head must arrive.
	HeadTimeout time.Duration
	// BodyStall bounds the time between two parts of a body. BodyRate is its
	// lowest mean rate in bytes per second.
	BodyStall time.Duration
	BodyRate  int64
	// KeepAlive is how long a caller's connection may be idle.
	KeepAlive time.Duration
}

// WithDefaults returns l with its zero fields filled in.
func (l Limits) WithDefaults() Limits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = DefaultHeadBytes
	}
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = DefaultHeadTimeout
	}
	if l.BodyStall <= 0 {
		l.BodyStall = DefaultBodyStall
	}
	if l.BodyRate <= 0 {
		l.BodyRate = DefaultBodyRate
	}
	if l.KeepAlive <= 0 {
		l.KeepAlive = DefaultKeepAlive
	}
	return l
}

// NewServer returns a server for callers: HTTP/1.1 and HTTP/2 without TLS.
// net/http itself answers 431 to heads far over the limit, and 400 to slow and
// to malformed ones, for example with two different values of Content-Length.
// Heads slightly over the limit reach h, which should call CheckHead and refuse
// them with a result code.
func NewServer(h http.Handler, l Limits) *http.Server {
	l = l.WithDefaults()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: l.HeadTimeout,
		IdleTimeout:       l.KeepAlive,
		MaxHeaderBytes:    2 * l.HeadBytes,
		Protocols:         protocols,
	}
}

// headerLineOverheadBytes is the size of the separator and the line end of a
// header line.
const headerLineOverheadBytes = 4

// CheckHead refuses a request whose head is larger than limit bytes.
func CheckHead(r *http.Request, limit int) *result.Error {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + len(r.Proto) + headerLineOverheadBytes
	for k, values := range r.Header {
		for _, v := range values {
			n += len(k) + len(v) + headerLineOverheadBytes
		}
	}
	if n > limit {
		return result.New(result.HeadTooLarge, "the head has %d bytes, the limit is %d", n, limit)
	}
	return nil
}

// GuardBody makes reads of r.Body fail with SlowSender if the caller stalls or
// sends too slowly on average. The handler must call the returned function
// before it returns: net/http reads what remains of a body before it sends a
// refusal, and would wait for a caller that sends nothing.
func GuardBody(w http.ResponseWriter, r *http.Request, l Limits) func() {
	if r.Body == nil || r.Body == http.NoBody {
		return func() {}
	}
	g := &guardedBody{ReadCloser: r.Body, rc: http.NewResponseController(w), limits: l.WithDefaults()}
	r.Body = g
	return g.release
}

// discardTimeout is how long a caller whose request was refused may go on
// sending its body. Closing the connection at once could reset it before the
// caller has read the refusal.
const discardTimeout = 500 * time.Millisecond

// guardedBody is a caller's body with a read deadline for each part.
type guardedBody struct {
	io.ReadCloser
	limits    Limits
	firstRead time.Time // when Read was first called
	received  int64     // body bytes that were read

	mu         sync.Mutex
	reachedEOF bool                     // the body was read to its end
	slow       bool                     // the last read exceeded its deadline
	rc         *http.ResponseController // nil after release
}

// setReadDeadline sets the read deadline of the caller's connection, unless
// release was called. net/http removes the deadline at the end of the body.
func (b *guardedBody) setReadDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rc != nil {
		_ = b.rc.SetReadDeadline(t)
	}
}

// release bounds the time for reading what remains of the body. It also makes
// setReadDeadline do nothing from now on: a read that is still in progress must
// not change the deadline of the next request on the connection.
func (b *guardedBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.rc == nil || b.reachedEOF:
	case b.slow:
		_ = b.rc.SetReadDeadline(time.Now())
	default:
		_ = b.rc.SetReadDeadline(time.Now().Add(discardTimeout))
	}
	b.rc = nil
}

// Read sets a new deadline for each part. The mean rate counts from the first
// read, because the request may have been queued before.
func (b *guardedBody) Read(p []byte) (int, error) {
	now := time.Now()
	if b.firstRead.IsZero() {
		b.firstRead = now
	}
	deadline := now.Add(b.limits.BodyStall)
	rateDeadline := b.firstRead.Add(b.limits.BodyStall + time.Duration(b.received)*time.Second/time.Duration(b.limits.BodyRate))
	if rateDeadline.Before(deadline) {
		deadline = rateDeadline
	}
	b.setReadDeadline(deadline)
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	slow := stderrors.Is(err, os.ErrDeadlineExceeded)
	b.mu.Lock()
	b.reachedEOF, b.slow = err == io.EOF, slow
	b.mu.Unlock()
	if slow {
		err = result.Wrap(err, result.SlowSender, "%d body bytes arrived within %s", b.received, time.Since(b.firstRead))
	}
	return n, err
}
