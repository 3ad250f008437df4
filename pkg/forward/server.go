package forward

import (
	stderrors "errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/conns"
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
	// AnswerTimeout bounds the time from the head of a request to the end of its answer;
	// 0 means no limit.
	AnswerTimeout time.Duration
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
// them with a result code. Reads of a body fail with SlowSender if the caller stalls or
// sends too slowly on average.
func NewServer(h http.Handler, l Limits) *http.Server {
	l = l.WithDefaults()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           boundCallers(h, l),
		ReadHeaderTimeout: l.HeadTimeout,
		IdleTimeout:       l.KeepAlive,
		WriteTimeout:      l.AnswerTimeout,
		MaxHeaderBytes:    l.HeadBytes + l.HeadBytes/4,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReadFrameSize:              http2FrameBytes,
			MaxReceiveBufferPerConnection: http2ConnBytes,
			MaxReceiveBufferPerStream:     http2StreamBytes,
			WriteByteTimeout:              http2WriteTimeout,
		},
		ConnContext: conns.Context,
	}
}

// Limits of one HTTP/2 connection.
const (
	maxStreams       = 100 // the least that RFC 9113 recommends
	http2FrameBytes  = 16 << 10
	http2ConnBytes   = 128 << 10
	http2StreamBytes = 64 << 10
	// http2WriteTimeout is how long a client may read nothing of what is sent.
	http2WriteTimeout = 10 * time.Second
)

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

// boundCallers returns a handler that calls next. It bounds how slowly callers may send the
// bodies of their requests and read the ends of their answers, and deals with the part of a
// body that next has not read. next must not use a hijacked connection after it has returned.
func boundCallers(next http.Handler, l Limits) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := conns.FromContext(r.Context())
		conn.Begin()
		defer func() { conn.End(r.Context().Err() != nil) }()
		rc := http.NewResponseController(w)
		var body *guardedBody
		if r.Body != nil && r.Body != http.NoBody {
			body = guardBody(w, rc, r, l)
		}
		answered := false
		defer func() {
			if body != nil && !answered { // next panicked, which aborts the connection
				body.stopReads()
			}
		}()
		next.ServeHTTP(w, r)
		answered = true
		// net/http removes the deadline when it has sent the end of the answer.
		_ = rc.SetWriteDeadline(time.Now().Add(answerEndTimeout))
		if body != nil {
			body.finish()
		}
	})
}

const (
	// answerEndTimeout is how long a caller may take to read a short answer, or the end of
	// a longer one.
	answerEndTimeout = 5 * time.Second
	// discardTimeout is how long the host goes on reading the rest of a body after the
	// answer. Closing the connection at once could reset it before the caller has read
	// the answer.
	discardTimeout = 500 * time.Millisecond
	// maxDiscardBytes bounds this rest. A connection with a longer one is closed.
	maxDiscardBytes = 256 << 10
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// guardedBody is a caller's body with a read deadline for each part. Only the goroutines
// that call Read and finish read from the body. net/http would also read from it, to drop
// the rest, when the answer begins; a part of the body would then be missing at the server.
type guardedBody struct {
	io.ReadCloser
	w      http.ResponseWriter
	rc     *http.ResponseController
	limits Limits
	conn   *conns.Conn // nil if it is not known
	http2  bool
	length int64 // announced by the caller, -1 if unknown
	// expectsContinue is set if the caller may wait for 100 Continue before it sends
	// the body. The first read sends that.
	expectsContinue bool

	reading  sync.Mutex    // held during a read; guards waited
	waited   time.Duration // time that reads have waited for the caller
	mu       sync.Mutex    // guards the fields below
	received int64         // body bytes that were read
	started  bool          // a read has begun
	ended    bool          // the body was read to its end
	failed   bool          // a read has failed
	finished bool          // the request has been handled: no further read begins
}

func guardBody(w http.ResponseWriter, rc *http.ResponseController, r *http.Request, l Limits) *guardedBody {
	b := &guardedBody{
		ReadCloser: r.Body, w: w, rc: rc, limits: l.WithDefaults(), conn: conns.FromContext(r.Context()), http2: r.ProtoMajor >= 2,
		length: r.ContentLength, expectsContinue: r.Header.Get("Expect") != "",
	}
	_ = b.rc.EnableFullDuplex() // fails only for writers that do not read from the body either
	r.Body = b
	return b
}

// Read sets a new deadline for each part and fails with SlowSender when it passes.
func (b *guardedBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	start := time.Now()
	if err := b.begin(start); err != nil {
		return 0, err
	}
	b.conn.BeginWait()
	n, err := b.ReadCloser.Read(p)
	b.conn.EndWait()
	b.waited += time.Since(start)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received += int64(n)
	b.ended = err == io.EOF
	b.failed = err != nil && !b.ended
	if b.http2 && err == nil && !b.finished {
		// Over HTTP/2 the deadline ends the body also if nothing reads when it passes.
		_ = b.rc.SetReadDeadline(time.Time{})
	}
	if stderrors.Is(err, os.ErrDeadlineExceeded) {
		err = result.Wrap(err, result.SlowSender, "%d body bytes arrived within %s", b.received, b.waited)
	}
	return n, err
}

const errRequestHandled = errors.ConstError("request body was read after the request was handled")

// begin sets the deadline of a read. At the end of the body it fails and leaves the
// connection alone: net/http has removed the deadline and waits for the next request.
func (b *guardedBody) begin(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.ended:
		return io.EOF
	case b.finished:
		return errRequestHandled
	}
	b.started = true
	_ = b.rc.SetReadDeadline(now.Add(b.patience())) // fails only if the connection is closed
	return nil
}

// patience returns how long the next read may take. The mean rate counts the time that
// reads have waited, because the caller cannot send while nothing is read.
func (b *guardedBody) patience() time.Duration {
	byRate := b.limits.BodyStall + time.Duration(b.received)*time.Second/time.Duration(b.limits.BodyRate) - b.waited
	return min(b.limits.BodyStall, byRate)
}

// finish deals with the rest of the body once the request has been handled. The answer is
// sent first. If the rest does not arrive soon, the connection is closed after the answer:
// what follows on it could not be told from the next request.
func (b *guardedBody) finish() {
	if b.http2 { // the end of the request ends the stream
		b.stopReads()
		return
	}
	if b.setFinished(time.Now().Add(discardTimeout)) {
		return
	}
	if b.canDiscard() {
		_ = b.rc.Flush() // an error shows in the next read
		if b.discard() {
			return
		}
	}
	b.stopReads()
	b.closeAfterAnswer()
}

// setFinished sets the deadline for all further reads, also for one that is in progress,
// and reports whether the body was read to its end.
func (b *guardedBody) setFinished(deadline time.Time) (ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finished = true
	if !b.ended {
		_ = b.rc.SetReadDeadline(deadline)
	}
	return b.ended
}

// canDiscard reports whether the rest of the body may arrive soon.
func (b *guardedBody) canDiscard() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.failed && (b.started || !b.expectsContinue) && b.length-b.received <= maxDiscardBytes
}

// discard reads the rest of the body and reports whether it ended.
func (b *guardedBody) discard() bool {
	b.reading.Lock()
	defer b.reading.Unlock()
	b.conn.BeginWait()
	defer b.conn.EndWait()
	_, err := io.CopyN(io.Discard, b.ReadCloser, maxDiscardBytes+1)
	return err == io.EOF
}

// stopReads ends reads of the body, also the one with which net/http looks for its end
// before it closes the connection.
func (b *guardedBody) stopReads() {
	if b.setFinished(past) {
		return
	}
	// net/http clears the deadline if a read is still in progress.
	b.reading.Lock()
	defer b.reading.Unlock()
}

// closeAfterAnswer makes net/http close the connection once the answer has been sent,
// and say so in the answer's head unless that has been sent.
func (b *guardedBody) closeAfterAnswer() {
	// net/http does so when the limit of a MaxBytesReader is exceeded. It has no other
	// way once the head has been written.
	exceeded := http.MaxBytesReader(b.w, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = io.Copy(io.Discard, exceeded)
}
