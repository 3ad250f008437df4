package forward

import (
	"net/http"
	"regexp"
	"strings"

	"github.com/tamarackswitch/tamarackswitch/pkg/httpanswer"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// A faulty server may send an earlier answer once more on a kept connection, whole or in
// part, at the place of the next one. The functions below decide what an answer is taken
// for. What they do not believe has an unknown outcome.

// Doubt is why an answer was not taken for the answer to its request.
type Doubt string

const (
	// DoubtOtherID means that the answer has the id of another request.
	DoubtOtherID Doubt = "other-id"
	// DoubtNoID means that it has no id, on a connection whose earlier answers had ids.
	DoubtNoID Doubt = "no-id"
	// DoubtRunTogether means that its head contains the beginning of another answer.
	DoubtRunTogether Doubt = "run-together"
	// DoubtNoStamp means that it says "success" and is not signed, or more than once.
	DoubtNoStamp Doubt = "no-stamp"
	// DoubtRefusal means that it says "not run" and may be the refusal of another
	// request, or contradicts itself.
	DoubtRefusal Doubt = "refusal"
)

// Basis is why an answer was believed to say that its request was not run.
type Basis string

const (
	// BasisMarked means that the answer has the id of the request and the header that
	// Headers.NotRun names.
	BasisMarked Basis = "marked"
	// BasisOtherServer means that it has the id of the request and comes from another
	// server than the expected one.
	BasisOtherServer Basis = "other-server"
	// BasisFirst means that it has no id and is the first answer on its connection.
	BasisFirst Basis = "first-on-connection"
)

// doubt reports an answer that was not taken for the answer to the request, and returns
// the error for it: whether the request ran is unknown.
func (x *exchange) doubt(reason Doubt, format string, args ...any) *result.Error {
	if x.f.cfg.OnDoubt != nil {
		x.f.cfg.OnDoubt(reason)
	}
	return result.New(result.BadAnswer, format, args...).WithRun(result.Unknown)
}

// doubtfulRefusal reports a refusal that is not certain.
func (x *exchange) doubtfulRefusal(resp *http.Response) *result.Error {
	return x.doubt(DoubtRefusal, "%s refused the request with status %d, which may be the refusal of another one", x.req.Server, resp.StatusCode)
}

// verify refuses a protocol switch, two heads that run together, a success that no server
// signed, and an answer that carries the id of another request, or none on a connection
// whose earlier answers had ids: it may be a late second copy.
func (x *exchange) verify(resp *http.Response) *result.Error {
	if isRunTogether(resp) {
		return x.doubt(DoubtRunTogether, "%s began another answer within the head of one", x.req.Server)
	}
	if err := httpanswer.CheckHead(resp); err != nil {
		return result.Wrap(err, result.BadAnswer, "%s sent a malformed answer", x.req.Server).WithRun(result.Unknown)
	}
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return result.New(result.BadAnswer, "%s switched protocols", x.req.Server).WithRun(result.Unknown)
	case resp.StatusCode < http.StatusOK:
		return result.New(result.BadAnswer, "%s answered with status %d", x.req.Server, resp.StatusCode).WithRun(result.Unknown)
	}
	ids := resp.Header[x.f.cfg.Headers.RequestID]
	if len(ids) == 0 && x.conn.echoesID {
		return x.doubt(DoubtNoID, "%s sent an answer without the id of a request", x.req.Server)
	}
	x.conn.echoesID = len(ids) > 0
	for _, id := range ids {
		if id != x.req.RequestID {
			return x.doubt(DoubtOtherID, "%s answered request %.64q instead of %q", x.req.Server, id, x.req.RequestID)
		}
	}
	stamp := x.f.cfg.Headers.Stamp
	if stamp != "" && resp.StatusCode < http.StatusMultipleChoices && len(resp.Header[stamp]) != 1 {
		return x.doubt(DoubtNoStamp, "%s answered with status %d and %d signatures", x.req.Server, resp.StatusCode, len(resp.Header[stamp]))
	}
	return nil
}

// statusLine matches the line that begins the head of an HTTP/1 answer, which starts
// with statusLineStart. Other headers may name the protocol, such as Via.
var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}( |$)`)

const statusLineStart = "HTTP/1."

// isRunTogether reports whether the head of an answer contains the beginning of another
// one: a server that breaks off a head, keeps the connection and goes on with the next
// answer makes one head of both, with the status of the first one. The second status line
// then is part of the reason phrase or of a header's value; elsewhere it makes the head
// malformed.
func isRunTogether(resp *http.Response) bool {
	if containsStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		for _, v := range values {
			if containsStatusLine(v) {
				return true
			}
		}
	}
	return false
}

func containsStatusLine(text string) bool {
	return strings.Contains(text, statusLineStart) && statusLine.MatchString(text)
}

// reportsNotRun reports whether an answer says that the request was not run. It does
// not tell whether that may be believed, see refusalBasis.
func (n Headers) reportsNotRun(resp *http.Response) bool {
	if n.ExpectServer != "" && resp.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	value := resp.Header.Get(n.NotRun)
	if n.NotRunValue != "" {
		return resp.StatusCode == http.StatusServiceUnavailable && value == n.NotRunValue
	}
	return value != "" && resp.StatusCode >= http.StatusBadRequest
}

// refusalBasis returns why an answer that says "not run" is believed, or "" if it is not:
// if it has exactly the id of this request, as verify has checked, and nothing in it
// contradicts it; without an id only if it is the first answer on its connection.
func (x *exchange) refusalBasis(resp *http.Response) Basis {
	names, basis := x.f.cfg.Headers, BasisMarked
	if names.Stamp != "" && len(resp.Header[names.Stamp]) > 0 {
		return ""
	}
	if resp.Header.Get(names.NotRun) == "" {
		basis = BasisOtherServer
		if !names.isFromOtherServer(resp, x.req.ExpectServer) {
			return ""
		}
	}
	switch ids := len(resp.Header[names.RequestID]); {
	case ids == 0 && !x.conn.reused:
		return BasisFirst
	case ids == 1 && (x.req.RequestID != "" || !x.conn.reused):
		return basis
	}
	return ""
}

// isFromOtherServer reports whether an answer with status 421 names another server than
// the expected one. The status alone may be that of an earlier answer.
func (n Headers) isFromOtherServer(resp *http.Response, expected string) bool {
	if n.ServerID == "" {
		return true
	}
	id := resp.Header.Get(n.ServerID)
	return id != "" && id != expected
}
