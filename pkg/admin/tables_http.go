package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"
	"github.com/uptrace/bunrouter"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// ErrorBody is the JSON body of an error answer.
type ErrorBody struct {
	Code    result.Code     `json:"code"`
	Name    string          `json:"name"`
	Message string          `json:"message"`
	Run     result.RunState `json:"run"`
	// Version and Text are those of the newer table after a conflict.
	Version int64  `json:"version,omitempty"`
	Text    string `json:"text,omitempty"`
}

// HistoryText is the answer to a read of one change.
type HistoryText struct {
	Record
	Text string `json:"text"`
}

// TablesAPI serves the tables over HTTP.
type TablesAPI struct {
	Tables *Tables
	Auth   *Auth
}

// Register adds the routes of the tables to a router.
func (a *TablesAPI) Register(r *bunrouter.Router) {
	r.GET("/v1/tables/:table", a.authorized(a.get))
	r.PUT("/v1/tables/:table", a.authorized(a.put))
	r.GET("/v1/tables/:table/history", a.authorized(a.history))
	r.GET("/v1/tables/:table/history/:version", a.authorized(a.historyAt))
}

type handler func(bunrouter.Request, Identity) (any, error)

// authorized identifies the operator, runs next and writes its value or error.
func (a *TablesAPI) authorized(next handler) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		id, err := a.Auth.Identify(r.Request)
		if err != nil {
			WriteError(w, err)
			return nil
		}
		v, err := next(r, id)
		if err != nil {
			WriteError(w, err)
			return nil
		}
		WriteJSON(w, http.StatusOK, v)
		return nil
	}
}

func (a *TablesAPI) get(r bunrouter.Request, _ Identity) (any, error) {
	return a.Tables.Get(r.Context(), r.Param("table"))
}

func (a *TablesAPI) put(r bunrouter.Request, id Identity) (any, error) {
	q := r.URL.Query()
	ifVersion, err := strconv.ParseInt(q.Get("if_version"), 10, 64)
	if err != nil {
		return nil, result.New(result.BadRequest, "if_version %q is not a number", q.Get("if_version"))
	}
	dryRun := false
	if text := q.Get("dry_run"); text != "" {
		if dryRun, err = strconv.ParseBool(text); err != nil {
			return nil, result.New(result.BadRequest, "dry_run %q is neither true nor false", text)
		}
	}
	text, err := io.ReadAll(io.LimitReader(r.Body, tables.MaxBytes+1))
	if err != nil {
		return nil, result.Wrap(err, result.BadRequest, "read the table")
	}
	return a.Tables.Apply(r.Context(), Edit{
		Table: r.Param("table"), Text: string(text), IfVersion: ifVersion,
		Who: id.Name, Why: q.Get("why"), Teams: id.Teams, DryRun: dryRun,
	})
}

func (a *TablesAPI) history(r bunrouter.Request, _ Identity) (any, error) {
	return a.Tables.History(r.Context(), r.Param("table"))
}

func (a *TablesAPI) historyAt(r bunrouter.Request, _ Identity) (any, error) {
	version, err := strconv.ParseInt(r.Param("version"), 10, 64)
	if err != nil {
		return nil, result.New(result.BadRequest, "version %q is not a number", r.Param("version"))
	}
	record, text, err := a.Tables.HistoryAt(r.Context(), r.Param("table"), version)
	return HistoryText{record, text}, err
}

// WriteError writes err as an ErrorBody with the HTTP status of its code.
func WriteError(w http.ResponseWriter, err error) {
	e := result.From(err)
	body := ErrorBody{Code: e.Code, Name: e.Code.Name(), Message: e.Message, Run: e.Run}
	if cause := e.Unwrap(); cause != nil {
		body.Message += ": " + cause.Error()
	}
	var c *Conflict
	if errors.As(err, &c) {
		body.Version, body.Text = c.Newer.Version, c.Newer.Text
	}
	WriteJSON(w, e.Code.HTTPStatus(), body)
}

// WriteJSON writes v with an HTTP status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
