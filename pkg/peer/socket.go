package peer

import (
	"bufio"
	stderrors "errors"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// socket is a WebSocket together with its underlying network connection.
type socket struct {
	*websocket.Conn
	raw net.Conn
}

// closeWithReason sends err to the other end in a close frame and closes the
// socket. No close frame is sent to an end that is silent or unreachable. The
// WebSocket library waits up to 10 s for the close frame of the other end; closing
// the underlying connection after closeTimeout shortens this wait.
func (s socket) closeWithReason(err error) {
	code := closeCode(err)
	if stderrors.Is(err, errSuperseded) {
		code = closeSuperseded
	}
	if c := result.CodeOf(err); c != result.PeerSilent && c != result.HostUnreachable {
		stop := time.AfterFunc(closeTimeout, func() { _ = s.raw.Close() })
		defer stop.Stop()
		reason := err.Error()
		_ = s.Close(code, reason[:min(len(reason), maxReasonBytes)])
	}
	_ = s.CloseNow()
}

// hijackedConn records the network connection that the WebSocket library hijacks.
type hijackedConn struct {
	http.ResponseWriter
	conn net.Conn
}

// Hijack implements http.Hijacker.
func (h *hijackedConn) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	c, rw, err := http.NewResponseController(h.ResponseWriter).Hijack()
	h.conn = c
	return c, rw, err
}

// closeTimeout is the maximum time for the exchange of close frames.
const closeTimeout = time.Second

// minPingInterval is the minimum time between two pings while nothing is received.
const minPingInterval = SilentAfter - PingAfter

// maxReasonBytes is the maximum length of the reason in a close frame. RFC 6455,
// section 5.5, limits the payload of a control frame to 125 bytes, of which the
// close code takes 2.
const maxReasonBytes = 120

// frameBytes returns the size of a WebSocket frame with n payload bytes. Frames
// from the dialing end are masked, which adds 4 bytes.
func frameBytes(n int, masked bool) int64 {
	size := int64(n) + 2
	switch {
	case n > 65535:
		size += 8
	case n > 125:
		size += 2
	}
	if masked {
		size += 4
	}
	return size
}
