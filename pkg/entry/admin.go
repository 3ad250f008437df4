package entry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"

	"github.com/tamarackswitch/tamarackswitch/pkg/admin"
)

// adminHandler serves the administration API and the metrics.
func (h *Host) adminHandler() http.Handler {
	r := bunrouter.New()
	(&admin.TablesAPI{Tables: h.admin, Auth: h.auth}).Register(r)
	r.GET("/v1/status", h.authorized(func(w http.ResponseWriter, r bunrouter.Request) error {
		admin.WriteJSON(w, http.StatusOK, h.StatusOfAll(r.Context()))
		return nil
	}))
	r.GET("/v1/dump/:host", h.authorized(func(w http.ResponseWriter, r bunrouter.Request) error {
		text, err := h.DumpOf(r.Context(), r.Param("host"))
		if err != nil {
			return err
		}
		w.Header().Set("Content-Type", "application/json")
		_, err = w.Write(text)
		return err
	}))
	r.GET("/metrics", bunrouter.HTTPHandler(promhttp.HandlerFor(h.metrics.registry, promhttp.HandlerOpts{})))
	return r
}

// authorized asks for a known token and turns an error into an answer.
func (h *Host) authorized(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		if _, err := h.auth.Identify(r.Request); err != nil {
			admin.WriteError(w, err)
			return nil
		}
		if err := next(w, r); err != nil {
			admin.WriteError(w, err)
		}
		return nil
	}
}
