package peer

import (
	"context"
	stderrors "errors"

	"github.com/coder/websocket"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// closeBase is the first WebSocket close code of the range for private use. The
// result codes from PeerAuthFailed to PeerMessageMalformed are sent as closeBase
// plus their offset from PeerAuthFailed.
const closeBase = 4000

// closeSuperseded is the close code for a link that another link between the same
// two hosts has superseded.
const closeSuperseded websocket.StatusCode = closeBase + 100

// linkError converts an error of the WebSocket library to a result. A private
// close code from the other end is mapped back to the result code it stands for.
func linkError(err error) *result.Error {
	var known *result.Error
	if stderrors.As(err, &known) {
		return known
	}
	if stderrors.Is(err, websocket.ErrMessageTooBig) {
		return result.Wrap(err, result.PeerMessageTooLarge, "message over the limit")
	}
	switch status := websocket.CloseStatus(err); {
	case status == websocket.StatusMessageTooBig:
		return result.Wrap(err, result.PeerMessageTooLarge, "refused by the other end")
	case status >= closeBase && status <= closeBase+5:
		return result.Wrap(err, result.PeerAuthFailed+result.Code(status-closeBase), "refused by the other end")
	}
	if stderrors.Is(err, context.DeadlineExceeded) {
		return result.Wrap(err, result.PeerSilent, "no progress in time")
	}
	return result.Wrap(err, result.HostUnreachable, "link lost")
}

// closeCode returns the WebSocket close code that reports err to the other end.
func closeCode(err error) websocket.StatusCode {
	c := result.CodeOf(err)
	if c >= result.PeerAuthFailed && c <= result.PeerMessageMalformed {
		return closeBase + websocket.StatusCode(c-result.PeerAuthFailed)
	}
	return websocket.StatusNormalClosure
}
