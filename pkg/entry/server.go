package entry

import (
	"context"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// server takes the backend server of the grant. A grant that ran out while the
// process was paused is not used.
func (h *Host) server(next Handler) Handler {
	return func(ctx context.Context, ex *Exchange) error {
		if !ex.verdict.grant.Valid(time.Now()) {
			return result.New(result.DeadlineExpired, "the grant ran out before the request was sent")
		}
		if ex.verdict.grant.Server == ex.beside {
			return result.New(result.NoHealthyServer, "no server but %s accepts the request", ex.beside)
		}
		ex.Server = ex.verdict.grant.Server
		return next(ctx, ex)
	}
}
