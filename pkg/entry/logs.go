package entry

import (
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// logRequest writes one line per request, at most as many as the settings
// allow; a flood of refusals must not become a flood of log lines.
func (h *Host) logRequest(ex *Exchange, err *result.Error, took time.Duration) {
	if !h.logLimit.Allow() {
		h.metrics.logDrops.Inc()
		return
	}
	e := h.log.Info()
	code, run := result.OK, result.Run
	if err != nil {
		e = h.log.Warn()
		code, run = err.Code, err.Run
	}
	e.Str("request", ex.ID).Str("method", ex.Request.Method).Str("route", ex.Route.Name).Str("rank", string(ex.Route.Rank)).
		Str("domain", ex.Domain).Str("server", ex.Server).Int("code", int(code)).Str("run", string(run)).
		Int("status", ex.Status).Int("tries", ex.Tries).Float64("ms", float64(took.Microseconds())/1000)
	if err != nil {
		e.Str("error", err.Message)
	}
	e.Msg("request")
}
