package entry

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// maxGroup bounds the length of a caller group's name.
const maxGroup = 64

// route finds the row of the routes table, the caller group and the deadline.
func (h *Host) route(next Handler) Handler {
	return func(ctx context.Context, ex *Exchange) error {
		t := h.tables.Load()
		if t == nil {
			return result.New(result.TableNotLoaded, "no routes table is in force yet").WithRetryAfter(h.retryAfter())
		}
		row, ok := t.Routes.Match(ex.Request.URL.Path)
		if !ok {
			return result.New(result.NoRoute, "no route matches %q", ex.Request.URL.Path)
		}
		if !slices.Contains(row.Methods, ex.Request.Method) {
			return result.New(result.MethodNotAllowed, "route %q does not accept %s", row.Name, ex.Request.Method)
		}
		if ex.Request.ContentLength > int64(row.MaxBody) {
			return result.New(result.BodyTooLarge, "the body has %d bytes, route %q accepts %d", ex.Request.ContentLength, row.Name, row.MaxBody)
		}
		deadline, err := requestDeadline(ex, row.Deadline.Std())
		if err != nil {
			return err
		}
		ex.Route, ex.Rank, ex.Deadline = row, row.Rank.Index(), deadline
		ex.Group = ex.Request.Header.Get(row.GroupHeader)
		if len(ex.Group) > maxGroup {
			ex.Group = ex.Group[:maxGroup]
		}
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		return next(ctx, ex)
	}
}

// requestDeadline returns the sooner of the route's and the caller's deadline.
func requestDeadline(ex *Exchange, limit time.Duration) (time.Time, error) {
	text := ex.Request.Header.Get(api.HeaderDeadline)
	if text == "" {
		return ex.Started.Add(limit), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, result.New(result.BadDeadline, "%s: %q is not a positive number of milliseconds", api.HeaderDeadline, text)
	}
	if own := time.Duration(ms) * time.Millisecond; ms < int64(limit/time.Millisecond) {
		limit = own
	}
	return ex.Started.Add(limit), nil
}
