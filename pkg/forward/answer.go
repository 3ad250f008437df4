package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Answer is the answer of a server. Close must be called.
type Answer struct {
	Status int
	// Header is without hop-by-hop headers; the caller may change it.
	Header http.Header
	// ContentLength is -1 if unknown.
	ContentLength int64
	// Code and Run are what the other entry host reported in the answer to a
	// relay; OK and Run in an answer of a backend server.
	Code result.Code
	Run  result.RunState
	// Reused tells whether an idle connection carried the request.
	Reused bool
	// FirstByte is the time from Do to the head of the answer.
	FirstByte time.Duration

	x     *exchange
	resp  *http.Response
	buf   *[BufferBytes]byte
	held  int
	whole bool // the body was read to its end
	done  bool
}

// accept checks the head of an answer and reads a short body.
func (x *exchange) accept(resp *http.Response) (*Answer, *result.Error) {
	a := &Answer{
		Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength,
		Run: result.Run, Reused: x.conn.reused, FirstByte: x.f.now().Sub(x.start), x: x, resp: resp,
	}
	if err := x.verify(resp); err != nil {
		a.abandon()
		return nil, err
	}
	if !x.relay && x.f.cfg.Headers.shed(resp) {
		code := result.ServerShed
		if resp.StatusCode == http.StatusMisdirectedRequest {
			code = result.WrongServer
		}
		err := result.New(code, "%s refused the request with status %d", x.req.Server, resp.StatusCode).WithRetryAfter(retryAfter(resp.Header))
		a.finishShort()
		a.Close()
		return nil, err
	}
	removeHopByHop(a.Header)
	if x.relay {
		a.readCode()
	} else {
		delete(a.Header, HeaderRun)
		delete(a.Header, HeaderCode)
	}
	if err := a.finishShort(); err != nil {
		a.abandon()
		return nil, err
	}
	return a, nil
}

// verify checks that the answer belongs to the request.
func (x *exchange) verify(resp *http.Response) *result.Error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return result.New(result.BadAnswer, "%s switched protocols", x.req.Server).WithRun(result.Unknown)
	}
	for _, id := range resp.Header[x.f.cfg.Headers.RequestID] {
		if id != x.req.RequestID {
			return result.New(result.BadAnswer, "%s answered request %.64q instead of %q", x.req.Server, id, x.req.RequestID).
				WithRun(result.Unknown)
		}
	}
	return nil
}

func retryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}

// finishShort reads the body if it is known to fit the buffer, so that a
// truncated one becomes an error before the caller sees a status.
func (a *Answer) finishShort() *result.Error {
	switch {
	case a.resp.Body == http.NoBody || a.resp.ContentLength == 0 || a.resp.Request.Method == http.MethodHead:
		a.whole = true
	case a.resp.ContentLength < 0 || a.resp.ContentLength > BufferBytes:
		return nil
	default:
		a.buf = buffers.Get().(*[BufferBytes]byte)
		n, err := io.ReadFull(a.resp.Body, a.buf[:a.resp.ContentLength])
		if err != nil {
			return a.readError(err, int64(n))
		}
		a.held = n
		// The end of the body lets the transport free the connection.
		var one [1]byte
		_, err = a.resp.Body.Read(one[:])
		a.whole = err == io.EOF
	}
	a.release()
	return nil
}

// release gives the connection back and ends the exchange.
func (a *Answer) release() {
	if a.done {
		return
	}
	a.done = true
	a.x.conn.release(a.whole)
	a.x.end()
}

// abandon closes the connection, so that nobody gets the rest of the answer.
func (a *Answer) abandon() {
	a.whole = false
	a.Close()
}

// Close frees the answer. An answer that was not read to its end closes its
// connection, which cancels the request at the server.
func (a *Answer) Close() {
	a.release()
	if a.buf != nil {
		buffers.Put(a.buf)
		a.buf = nil
	}
}

// readError describes an error while reading the answer's body.
func (a *Answer) readError(err error, n int64) *result.Error {
	x := a.x
	switch x.ended() {
	case result.CallerGone:
		return result.Wrap(err, result.CallerGone, "the caller left during the answer").WithRun(result.Unknown)
	case result.DeadlineRunning:
		return result.Wrap(err, result.DeadlineRunning, "the deadline passed after %d answer bytes", n).WithRun(result.Unknown)
	}
	return result.Wrap(err, result.TruncatedAnswer, "the answer of %s ended after %d bytes", x.req.Server, n).
		WithRun(result.Unknown)
}

// readCode takes over the result that another entry host reported.
func (a *Answer) readCode() {
	if n, err := strconv.Atoi(a.Header.Get(HeaderCode)); err == nil {
		a.Code = result.Code(n)
	}
	switch r := result.RunState(a.Header.Get(HeaderRun)); r {
	case result.NotRun, result.Unknown, result.Run:
		a.Run = r
	}
}

// Reply sends the answer to the caller. If the answer breaks off after its
// status was sent, it aborts the caller's connection with
// panic(http.ErrAbortHandler), so that the answer never looks whole.
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
	if a.whole {
		return a.copyHeld(w)
	}
	n, err := a.stream(w)
	if err != nil {
		return n, err
	}
	a.whole = true
	a.copyTrailers(h)
	return n, nil
}

func (a *Answer) copyHeld(w http.ResponseWriter) (int64, *result.Error) {
	if a.held == 0 {
		return 0, nil
	}
	n, err := w.Write(a.buf[:a.held])
	if err != nil {
		return int64(n), a.writeError(err)
	}
	return int64(n), nil
}

func (a *Answer) writeError(err error) *result.Error {
	return result.Wrap(err, result.CallerGone, "the caller left during the answer").WithRun(result.Run)
}

// stream copies the body through one buffer. An answer of unknown length is
// flushed after each part because the server may send parts as they occur.
func (a *Answer) stream(w http.ResponseWriter) (n int64, _ *result.Error) {
	buf := buffers.Get().(*[BufferBytes]byte)
	defer buffers.Put(buf)
	rc := http.NewResponseController(w)
	if !a.x.req.DeadlineAt.IsZero() {
		// A caller that does not read must not hold a slot past the deadline.
		_ = rc.SetWriteDeadline(a.x.req.DeadlineAt.Add(a.x.req.AnswerSlack))
		defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	}
	for {
		m, rerr := a.resp.Body.Read(buf[:])
		if m > 0 {
			k, werr := w.Write(buf[:m])
			n += int64(k)
			if werr != nil {
				return n, a.writeError(werr)
			}
			if a.ContentLength < 0 {
				_ = rc.Flush()
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

// copyTrailers passes the trailers on, also those that were not announced.
func (a *Answer) copyTrailers(h http.Header) {
	announced := map[string]bool{}
	for _, name := range h["Trailer"] {
		announced[name] = true
	}
	for k, v := range a.resp.Trailer {
		if len(v) == 0 {
			// Over HTTP/2, net/http does not end a stream that has a trailer
			// without value.
			continue
		}
		if !announced[k] {
			k = http.TrailerPrefix + k
		}
		h[k] = v
	}
}
