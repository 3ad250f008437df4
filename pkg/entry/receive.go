package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"

	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// receive bounds the number of held requests, and checks the request and its relay
// signature.
func (h *Host) receive(next Handler) Handler {
	return func(ctx context.Context, ex *Exchange) error {
		held := h.requests.Add(1)
		defer h.requests.Add(-1)
		if held > int64(h.cfg.Limits.MaxRequests) {
			return result.New(result.QueueFull, "this entry host holds %d requests", h.cfg.Limits.MaxRequests).
				WithRetryAfter(h.retryAfter())
		}
		if h.stopping.Load() {
			return result.New(result.ShuttingDown, "this entry host is shutting down").WithRetryAfter(h.retryAfter())
		}
		if err := checkFraming(ex.Request); err != nil {
			return err
		}
		if err := forward.CheckHead(ex.Request, int(h.cfg.Limits.MaxHead)); err != nil {
			return err
		}
		if err := h.checkRelay(ex); err != nil {
			return err
		}
		return next(ctx, ex)
	}
}

// callerLimits bounds what callers may send.
func (h *Host) callerLimits() forward.Limits {
	return forward.Limits{
		HeadBytes: int(h.cfg.Limits.MaxHead), HeadTimeout: h.cfg.Limits.HeadTimeout.Std(), BodyStall: h.cfg.Limits.BodyIdleTimeout.Std(),
	}
}

// checkRelay verifies the signature of a request that claims to come from
// another entry host. Such a request keeps its id.
func (h *Host) checkRelay(ex *Exchange) error {
	info, err := h.verifier.Verify(ex.Request)
	if err != nil {
		return err
	}
	if info != nil {
		ex.Relay, ex.ID = info, info.RequestID
	}
	return nil
}

// checkFraming refuses requests whose body length is ambiguous. net/http
// refuses conflicting lengths by itself; this covers what it lets through.
func checkFraming(r *http.Request) *result.Error {
	if len(r.TransferEncoding) > 0 && r.Header.Get("Content-Length") != "" {
		return result.New(result.BadRequest, "both Transfer-Encoding and Content-Length are present")
	}
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return result.New(result.BadRequest, "tunnels and protocol upgrades are not supported")
	}
	return nil
}

func newRequestID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// setVia names this host in the answer.
func (h *Host) setVia(w http.ResponseWriter) { w.Header().Set(api.HeaderVia, h.cfg.Host.Name) }
