package forward

import (
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const (
	// HeaderRequestID carries the id of a request, also in its answer.
	HeaderRequestID = "Tamarackswitch-Request-Id"
	// HeaderDeadline carries the time left in milliseconds.
	HeaderDeadline = "Tamarackswitch-Deadline-Ms"
	// HeaderRun carries the run state of a request in its answer.
	HeaderRun = "Tamarackswitch-Run"
	// HeaderCode carries the result code of a refusal.
	HeaderCode = "Tamarackswitch-Code"
	// HeaderRelay carries the signed RelayInfo of a relayed request.
	HeaderRelay = "Tamarackswitch-Relay"
)

// Headers names the headers by which callers, entry hosts and backend servers
// exchange a request's id, deadline and run state.
type Headers struct {
	RequestID string
	// Deadline names the header with the time left in milliseconds.
	Deadline string
	// NotRun names the header by which a server states that it did not run the
	// request.
	NotRun string
	// NotRunValue is the value that NotRun must have; if it is empty, any value
	// counts.
	NotRunValue string
	// ExpectServer, if set, names the header with the id of the only server
	// that may run the request; any other server answers 421.
	ExpectServer string
	// ServerID, if set, names the header in which a server gives its id in an answer with
	// status 421.
	ServerID string
	// Stamp, if set, names the header by which a server signs the answer to a request
	// that it ran. A success without it is not believed.
	Stamp string
	// Leaving, if set, names the header that a server sends with the value
	// LeavingValue once it is about to end.
	Leaving, LeavingValue string
	// ServersEchoID means that all servers repeat RequestID in their answers, so that one
	// without it may be an answer to another request.
	ServersEchoID bool
	// Forwarded enables adding the caller's address to the headers
	// X-Forwarded-For and Forwarded.
	Forwarded bool
}

// DefaultHeaders are the headers of this project's own interface. They are used
// unless Config.Headers names others.
var DefaultHeaders = Headers{
	RequestID: HeaderRequestID, Deadline: HeaderDeadline, NotRun: HeaderRun, NotRunValue: string(result.NotRun), Forwarded: true,
}

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop deletes the hop-by-hop headers and those named by Connection.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// outboundHeader returns the header of the forwarded request.
func outboundHeader(req *Request, names Headers, now time.Time) http.Header {
	in := req.In
	h := make(http.Header, len(in.Header)+5)
	for k, v := range in.Header {
		h[k] = v
	}
	removeHopByHop(h)
	// The entry host itself sends 100 Continue when it reads the body.
	delete(h, "Expect")
	// Only entry hosts may set these headers.
	delete(h, HeaderRun)
	delete(h, HeaderCode)
	delete(h, HeaderRelay)
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own User-Agent.
		h["User-Agent"] = []string{""}
	}
	if names.Forwarded {
		addForwarded(h, in)
	}
	h[names.RequestID] = []string{req.RequestID}
	delete(h, names.Deadline)
	if !req.DeadlineAt.IsZero() {
		// The header holds a positive number, even if less than 1 ms is left.
		ms := max(req.DeadlineAt.Sub(now).Milliseconds(), 1)
		h[names.Deadline] = []string{strconv.FormatInt(ms, 10)}
	}
	if names.ExpectServer != "" {
		delete(h, names.ExpectServer)
		if req.ExpectServer != "" {
			h[names.ExpectServer] = []string{req.ExpectServer}
		}
	}
	return h
}

// addForwarded appends the caller's address to X-Forwarded-For and Forwarded.
func addForwarded(h http.Header, in *http.Request) {
	ip, _, err := net.SplitHostPort(in.RemoteAddr)
	if err != nil {
		return
	}
	const xff, fwd = "X-Forwarded-For", "Forwarded"
	h[xff] = []string{appendToList(h[xff], ip)}
	node := ip
	if strings.Contains(ip, ":") {
		node = `"[` + ip + `]"`
	}
	element := "for=" + node + ";proto=http"
	if in.Host != "" {
		element += ";host=" + strconv.Quote(in.Host)
	}
	h[fwd] = []string{appendToList(h[fwd], element)}
}

// appendToList joins the lines of a list header and one more element into one
// line.
func appendToList(lines []string, element string) string {
	if len(lines) == 0 {
		return element
	}
	return strings.Join(lines, ", ") + ", " + element
}
