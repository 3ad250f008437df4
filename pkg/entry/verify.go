package entry

import (
	"context"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// verify passes the answer on and checks that it is whole. That it belongs to
// the request was checked when its head arrived.
func (h *Host) verify(next Handler) Handler {
	return func(ctx context.Context, ex *Exchange) error {
		if err := h.passOn(ex); err != nil {
			return err
		}
		return next(ctx, ex)
	}
}

// passOn sends the answer to the caller, unless another attempt does.
func (h *Host) passOn(ex *Exchange) error {
	if ex.claim != nil && !ex.claim() {
		ex.answer.Close()
		return result.New(result.CallerGone, "another attempt answered first").WithRun(result.Run)
	}
	ex.Answered, ex.Status = true, ex.answer.Status
	n, err := ex.answer.CopyTo(ex.Writer)
	ex.answerBytes = n
	h.observeSize(ex.Route.Name, n)
	if err != nil {
		return err
	}
	return nil
}
