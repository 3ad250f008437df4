package forward

import (
	stderrors "errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/conns"
	"github.com/tamarackswitch/tamarackswitch/pkg/httpanswer"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Answer is the response of a backend server or of another entry host to a
// forwarded request. Close must be called.
type Answer struct {
	Status int
	// Header holds the headers of the answer without the hop-by-hop ones. The
	// code that called Do may change it.
	Header http.Header
	// ContentLength is -1 if unknown.
	ContentLength int64
	// For a relayed request, Code and Run are what the other entry host
	// reported. For an answer of a backend server they are result.OK and
	// result.Run.
	Code result.Code
	Run  result.RunState
	// Reused reports whether the request was sent on a connection that had
	// carried an earlier one.
	Reused bool
	// TimeToFirstByte is the time from the call of Do until the head of the
	// answer was read.
	TimeToFirstByte time.Duration

	x        *exchange
	resp     *http.Response
	buf      []byte // holds a short body; nil if the body is streamed
	buffered int    // bytes in buf
	complete bool   // the body was read to its end
	released bool   // release was called
}

// handleResponse checks the head of a response, turns a refusal into an error,
// and reads the body if it is short.
func (x *exchange) handleResponse(resp *http.Response) (*Answer, *result.Error) {
	a := &Answer{
		Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength,
		Run: result.Run, Reused: x.conn.reused, TimeToFirstByte: x.f.now().Sub(x.start), x: x, resp: resp,
	}
	if err := x.verify(resp); err != nil {
		a.abandon()
		return nil, err
	}
	if x.req.Notice != nil {
		*x.req.Notice = x.f.cfg.Headers.notice(resp)
	}
	if !x.relay && x.f.cfg.Headers.reportsNotRun(resp) {
		basis := x.refusalBasis(resp)
		if basis == "" {
			a.abandon()
			return nil, x.doubtfulRefusal(resp)
		}
		code := result.ServerShed
		if resp.StatusCode == http.StatusMisdirectedRequest {
			code = result.WrongServer
		}
		err := result.New(code, "%s refused the request with status %d", x.req.Server, resp.StatusCode).WithRetryAfter(retryAfter(resp.Header))
		if x.req.Trace != nil {
			x.req.Trace.Basis = basis
		}
		if x.req.Once {
			x.conn.refused = append(x.conn.refused, x.req.RequestID)
		}
		if basis == BasisFirst {
			a.abandon() // a copy could not be recognised
			return nil, err
		}
		a.discardShortBody()
		return nil, err
	}
	removeHopByHop(a.Header)
	if x.relay {
		a.readRelayResult()
		if a.Run == result.NotRun && x.refusalBasis(resp) == "" {
			a.abandon()
			return nil, x.doubtfulRefusal(resp)
		}
	} else {
		// Only entry hosts report to the caller in these headers.
		delete(a.Header, HeaderRun)
		delete(a.Header, HeaderCode)
	}
	if err := a.bufferShortBody(); err != nil {
		a.abandon()
		return nil, err
	}
	return a, nil
}

// maxRetryAfter bounds the delay that a Retry-After header can ask for. A server
// that wants more is asked again after this time.
const maxRetryAfter = 10 * time.Minute

// retryAfter returns the delay that the Retry-After header gives in seconds, which
// may have a fraction, or 0 if it gives none.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(textproto.TrimString(h.Get("Retry-After")), 64)
	switch {
	case err != nil && !stderrors.Is(err, strconv.ErrRange), !(s > 0): // also NaN
		return 0
	case s > maxRetryAfter.Seconds():
		return maxRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}

// Notice is what a server said of itself in the head of an answer.
type Notice struct {
	// Leaving means that the server is about to end and takes no new requests.
	Leaving bool
	// Pause is how long the server wants no requests from this host.
	Pause time.Duration
}

// notice returns what the server said of itself. An answer with status 421 comes
// from another server than the expected one and says nothing of that.
func (n Headers) notice(resp *http.Response) (out Notice) {
	if n.ExpectServer != "" && resp.StatusCode == http.StatusMisdirectedRequest {
		return out
	}
	out.Leaving = n.Leaving != "" && textproto.TrimString(resp.Header.Get(n.Leaving)) == n.LeavingValue
	if resp.StatusCode == http.StatusServiceUnavailable {
		out.Pause = retryAfter(resp.Header)
	}
	return out
}

// bufferShortBody reads the body into memory if its announced length fits the
// buffer, so that truncation is detected before a status is sent to the caller.
func (a *Answer) bufferShortBody() *result.Error {
	switch {
	case a.resp.Body == http.NoBody || a.resp.ContentLength == 0 || a.resp.Request.Method == http.MethodHead:
		a.complete = true
	case a.resp.ContentLength < 0 || a.resp.ContentLength > BufferBytes:
		return nil
	default:
		a.buf = takeBuffer(int(a.resp.ContentLength))
		n, err := io.ReadFull(a.resp.Body, a.buf[:a.resp.ContentLength])
		if err != nil {
			return a.readError(err, int64(n))
		}
		a.buffered = n
		// The transport frees the connection only once a read has returned
		// io.EOF.
		var probe [1]byte
		_, err = a.resp.Body.Read(probe[:])
		a.complete = err == io.EOF
	}
	if a.x.upload == nil || a.x.upload.isSent() {
		a.release()
	}
	return nil
}

// refusalBodyTimeout is how long the rest of a refusal may take. The request is held
// up meanwhile.
const refusalBodyTimeout = 50 * time.Millisecond

// discardShortBody reads the body of a refusal and closes the answer. The connection can
// be reused only if the body is read to its end.
func (a *Answer) discardShortBody() {
	timer := time.AfterFunc(refusalBodyTimeout, a.x.conn.close)
	defer timer.Stop()
	a.bufferShortBody()
	a.Close()
}

// release returns the connection to its pool, or closes it if the body was not
// read to its end, and ends the exchange. Only the first call has an effect.
func (a *Answer) release() {
	if a.released {
		return
	}
	a.released = true
	a.x.conn.release(a.complete)
	a.x.end()
}

// abandon closes the answer and its connection, so that no later request
// receives the rest of the answer.
func (a *Answer) abandon() {
	a.complete = false
	a.Close()
}

// Close releases the connection and the buffer. If the answer was not read to
// its end, the connection is closed, which cancels the request at the server.
func (a *Answer) Close() {
	a.release()
	freeBuffer(a.buf)
	a.buf = nil
}

// readError returns the result for an error that occurred after n bytes of the
// answer's body were read.
func (a *Answer) readError(err error, n int64) *result.Error {
	x := a.x
	if berr := x.bodyFailure(); berr != nil {
		return berr.WithRun(result.Unknown)
	}
	switch x.cancelCode() {
	case result.CallerGone:
		return result.Wrap(err, result.CallerGone, "the caller left during the answer").WithRun(result.Unknown)
	case result.DeadlineRunning:
		return result.Wrap(err, result.DeadlineRunning, "the deadline passed after %d answer bytes", n).WithRun(result.Unknown)
	}
	return result.Wrap(err, result.TruncatedAnswer, "the answer of %s ended after %d bytes", x.req.Server, n).
		WithRun(result.Unknown)
}

// readRelayResult sets Code and Run from the headers in which the other entry
// host reported them.
func (a *Answer) readRelayResult() {
	if n, err := strconv.Atoi(a.Header.Get(HeaderCode)); err == nil {
		a.Code = result.Code(n)
	}
	switch r := result.RunState(a.Header.Get(HeaderRun)); r {
	case result.NotRun, result.Unknown, result.Run:
		a.Run = r
	}
}

// Reply sends the answer to the caller. If the answer is cut off after its
// status was sent, Reply aborts the caller's connection with
// panic(http.ErrAbortHandler), so that a truncated answer never looks complete.
func (a *Answer) Reply(w http.ResponseWriter) {
	if _, err := a.CopyTo(w); err != nil {
		a.Close()
		panic(http.ErrAbortHandler)
	}
}

// CopyTo sends the answer to the caller and closes it. After an error the
// handler must abort the caller's connection with panic(http.ErrAbortHandler).
func (a *Answer) CopyTo(w http.ResponseWriter) (int64, *result.Error) {
	defer a.Close()
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	for name := range a.resp.Trailer {
		h.Add("Trailer", name)
	}
	w.WriteHeader(a.Status)
	var n int64
	var err *result.Error
	streamed := !a.complete
	if !streamed {
		n, err = a.copyBuffered(w)
	} else {
		n, err = a.stream(w)
	}
	if err != nil {
		return n, err
	}
	if streamed {
		if err := httpanswer.CheckFields(a.resp.Trailer); err != nil {
			return n, result.Wrap(err, result.BadAnswer, "%s sent malformed trailers", a.x.req.Server).WithRun(result.Unknown)
		}
		a.complete = true
		a.copyTrailers(h)
	}
	a.finishUpload(w)
	if streamed && a.endsWithStream() && a.x.conn.raw.wasReset() {
		return n, result.New(result.TruncatedAnswer, "%s reset the connection after %d bytes of an answer without a length", a.x.req.Server, n).
			WithRun(result.Unknown)
	}
	return n, nil
}

// endsWithStream reports whether only the end of the stream ends the body. The end of a
// connection that was reset could be anywhere in it.
func (a *Answer) endsWithStream() bool {
	return a.resp.ContentLength < 0 && len(a.resp.TransferEncoding) == 0
}

// finishUpload lets the server read the rest of the request's body, if it has answered before.
// A server that refused or failed the request needs no more of it.
func (a *Answer) finishUpload(w http.ResponseWriter) {
	u := a.x.upload
	if u == nil || u.isSent() || a.Status >= http.StatusBadRequest {
		return
	}
	_ = http.NewResponseController(w).Flush() // an error ends the reads of the body
	sent := u.await(a.x.ctx, DefaultUploadStall)
	if t := a.x.req.Trace; t != nil {
		t.BodyCut = !sent
	}
}

// copyBuffered sends a body that bufferShortBody has read.
func (a *Answer) copyBuffered(w http.ResponseWriter) (int64, *result.Error) {
	if a.buffered == 0 {
		return 0, nil
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerEndTimeout))
	n, err := w.Write(a.buf[:a.buffered])
	if err != nil {
		return int64(n), a.writeError(err)
	}
	return int64(n), nil
}

// writeError returns the result for a failed write to the caller. The server
// had answered by then, so the run state is Run.
func (a *Answer) writeError(err error) *result.Error {
	return result.Wrap(err, result.CallerGone, "the caller left during the answer").WithRun(result.Run)
}

// stream copies the body from the server to the caller through one buffer. A
// body of unknown length is flushed after each read, because the server may
// send its parts as they become available, and so is any body while the caller still
// sends: it may wait for a part of the answer before it goes on.
func (a *Answer) stream(w http.ResponseWriter) (n int64, _ *result.Error) {
	buf := buffers.Get().(*[BufferBytes]byte)
	defer buffers.Put(buf)
	rc := http.NewResponseController(w)
	if !a.x.req.DeadlineAt.IsZero() {
		// A caller that does not read must not hold a slot past the deadline.
		_ = rc.SetWriteDeadline(a.x.req.DeadlineAt.Add(a.x.req.AnswerSlack))
	}
	s := &stream{conn: a.x.conn, caller: conns.FromContext(a.x.req.In.Context()), rc: rc}
	count, remove := a.x.f.streams.add(s)
	defer remove()
	if limit := a.x.f.cfg.MaxStreams; limit > 0 && count > limit {
		a.x.f.cutSlowReader(nil)
	}
	for {
		nr, rerr := a.resp.Body.Read(buf[:])
		if nr > 0 {
			s.beginWrite()
			nw, werr := w.Write(buf[:nr])
			if werr == nil && (a.ContentLength < 0 || a.x.upload != nil && !a.x.upload.isSent()) {
				_ = rc.Flush() // an error shows in the next write
			}
			s.endWrite()
			n += int64(nw)
			if werr != nil {
				return n, a.writeError(werr)
			}
		}
		if rerr == io.EOF {
			return n, nil
		}
		if rerr != nil {
			return n, a.readError(rerr, n)
		}
	}
}

// copyTrailers forwards the trailers, including those that the server did not
// announce in its Trailer header.
func (a *Answer) copyTrailers(h http.Header) {
	announced := map[string]bool{}
	for _, name := range h["Trailer"] {
		announced[name] = true
	}
	for k, v := range a.resp.Trailer {
		if len(v) == 0 {
			// Over HTTP/2, net/http does not end a stream that has a trailer
			// without a value.
			continue
		}
		if !announced[k] {
			k = http.TrailerPrefix + k
		}
		h[k] = v
	}
}
