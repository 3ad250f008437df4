package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// reply turns an error into a refusal and records the outcome. An answer that
// broke off after its head was sent ends with the caller's connection, so that
// it never looks whole.
func (h *Host) reply(next Handler) Handler {
	return func(ctx context.Context, ex *Exchange) error {
		h.setVia(ex.Writer)
		err := result.From(next(ctx, ex))
		h.record(ex, err)
		if err == nil {
			return nil
		}
		if ex.Answered {
			panic(http.ErrAbortHandler)
		}
		if h.stopping.Load() {
			ex.Writer.Header().Set("Connection", "close")
		}
		api.WriteRefusal(ex.Writer, ex.ID, err)
		return err
	}
}

// record counts and logs the end of a request.
func (h *Host) record(ex *Exchange, err *result.Error) {
	code, run := result.OK, result.Run
	if err != nil {
		code, run = err.Code, err.Run
	}
	took := time.Since(ex.Started)
	h.metrics.request(ex, code, run, took)
	h.logRequest(ex, err, took)
}
