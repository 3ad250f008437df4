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

// Names of the headers of the system.
const (
	HeaderRequestID = "Tamarackswitch-Request-Id"
	HeaderDeadline  = "Tamarackswitch-Deadline-Ms"
	HeaderRun       = "Tamarackswitch-Run"
	HeaderCode      = "Tamarackswitch-Code"
	HeaderRelay     = "Tamarackswitch-Relay"
)

// Headers names the headers by which callers, entry hosts and backend servers
// exchange a request's id, deadline and run state.
type Headers struct {
	RequestID string
	// Deadline holds the time left in milliseconds.
	Deadline string
	// NotRun marks an answer of a server that did not run the request.
	NotRun string
	// NotRunValue is the value of NotRun; any if it is empty.
	NotRunValue string
	// ExpectServer, if set, names the server that may run the request; another
	// one answers 421.
	ExpectServer string
	// Forwarded adds the caller's address to X-Forwarded-For and Forwarded.
	Forwarded bool
}

// OwnHeaders are the headers of the system's own caller interface.
var OwnHeaders = Headers{
	RequestID: HeaderRequestID, Deadline: HeaderDeadline, NotRun: HeaderRun, NotRunValue: string(result.NotRun), Forwarded: true,
}

// shed reports whether an answer says that the request was not run.
func (n Headers) shed(resp *http.Response) bool {
	if n.ExpectServer != "" && resp.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	value := resp.Header.Get(n.NotRun)
	if n.NotRunValue != "" {
		return resp.StatusCode == http.StatusServiceUnavailable && value == n.NotRunValue
	}
	return value != "" && resp.StatusCode >= http.StatusBadRequest
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

// outHeader returns the header of the forwarded request.
func outHeader(req *Request, names Headers, now time.Time) http.Header {
	in := req.In
	h := make(http.Header, len(in.Header)+5)
	for k, v := range in.Header {
		h[k] = v
	}
	removeHopByHop(h)
	// The entry host meets the expectation itself when it reads the body.
	delete(h, "Expect")
	delete(h, HeaderRun)
	delete(h, HeaderCode)
	delete(h, HeaderRelay)
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from sending its own.
		h["User-Agent"] = []string{""}
	}
	if names.Forwarded {
		addForwarded(h, in)
	}
	h[names.RequestID] = []string{req.RequestID}
	delete(h, names.Deadline)
	if !req.DeadlineAt.IsZero() {
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
	h[xff] = []string{join(h[xff], ip)}
	node := ip
	if strings.Contains(ip, ":") {
		node = `"[` + ip + `]"`
	}
	element := "for=" + node + ";proto=http"
	if in.Host != "" {
		element += ";host=" + strconv.Quote(in.Host)
	}
	h[fwd] = []string{join(h[fwd], element)}
}

func join(prior []string, last string) string {
	if len(prior) == 0 {
		return last
	}
	return strings.Join(prior, ", ") + ", " + last
}
