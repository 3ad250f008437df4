package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// forward sends the request to the chosen server.
func (h *Host) forward(next Handler) Handler {
	return func(ctx context.Context, ex *Exchange) error {
		ex.sentAt = time.Now()
		if ex.onSend != nil {
			ex.onSend()
		}
		a, err := h.forwarder.Do(ctx, h.outgoing(ex, ex.Server))
		if err != nil {
			return err
		}
		ex.answer = a
		if a.Status >= http.StatusInternalServerError && ex.Route.Idempotent && h.decideRetry(ex, result.Run).OK {
			a.Close()
			return result.New(result.BadAnswer, "server %s answered with status %d", ex.Server, a.Status).WithRun(result.Run)
		}
		return next(ctx, ex)
	}
}

func (h *Host) outgoing(ex *Exchange, server string) forward.Request {
	grant := ex.verdict.grant
	out := forward.Request{
		In: ex.Request, Server: server, Once: !ex.Route.Idempotent, Idempotent: ex.Route.Idempotent,
		RequestID: ex.ID, DeadlineAt: ex.Deadline, BodyLimit: int64(ex.Route.MaxBody), Body: ex.body,
	}
	if ex.verdict.credit == nil && grant.Server != "" {
		out.Valid = func() bool { return grant.Valid(time.Now()) }
	}
	return out
}
