package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/once"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// relay sends the request to another entry host and passes its answer on. The
// other host's refusal becomes this attempt's error with its code and run
// state, so that the retry filter can judge it.
func (h *Host) relay(ctx context.Context, ex *Exchange, to origin, purpose forward.Purpose, credit string) error {
	ex.sentAt = time.Now()
	a, err := h.forwarder.Relay(ctx, h.signer, forward.RelayRequest{
		Request: h.outgoing(ex, to.Address), To: to.Name, Purpose: purpose, Credit: credit,
	})
	if err != nil {
		return err
	}
	if a.Code != result.OK {
		refusal := result.New(a.Code, "refused by entry host %s", to.Name).WithRun(a.Run).WithRetryAfter(retryAfterOf(a.Header))
		a.Close()
		return refusal
	}
	ex.answer = a
	a.Header.Del(api.HeaderVia)
	return h.passOn(ex)
}

func retryAfterOf(header http.Header) time.Duration {
	s, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}

// relayToOwner relays a request to the host that owns its key.
func (h *Host) relayToOwner(ctx context.Context, ex *Exchange, owner once.Identity) error {
	addr, err := parseAddress(h.addressOf(owner.Host))
	if err != nil || !addr.Caller.IsValid() {
		return result.New(result.KeyOwnerUnreachable, "no address of entry host %s is known", owner.Host).
			WithRun(result.Unknown).WithRetryAfter(h.retryAfter())
	}
	ex.Domain = owner.Domain
	request, answer := h.sizes(ex)
	region := h.cfg.RegionOf(owner.Domain)
	if region != h.region && !h.takeLink(time.Now(), region, ex.Route.Rank, request, answer) {
		return result.New(result.LinkBudget, "the link to %s has no budget left", region).
			WithRun(result.Unknown).WithRetryAfter(h.retryAfter())
	}
	e := result.From(h.relay(ctx, ex, origin{owner.Host, addr.Caller.String()}, forward.ForKey, ""))
	if region != h.region {
		h.settleLink(time.Now(), region, request, float64(max(0, ex.Request.ContentLength)), answer, float64(ex.answerBytes))
	}
	switch {
	case e == nil:
		return nil
	case e.Code == result.ConnectFailed:
		// This attempt was not run, but an earlier one with the key may have been.
		e = result.Wrap(e, result.KeyOwnerUnreachable, "entry host %s", owner.Host).WithRetryAfter(h.retryAfter())
		e.Run = result.Unknown
	}
	return e
}
