// Package admin is the administration API of an entry host. Operators read and
// change the routes and pools tables through it.
package admin

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// Bounds of the fields that an edit records, in bytes.
const (
	maxWho = 256
	maxWhy = 1024
)

// Table is a stored table.
type Table struct {
	Table   string `json:"table"`
	Version int64  `json:"version"`
	Text    string `json:"text"`
}

// Edit is a change of one table.
type Edit struct {
	Table, Text string
	// IfVersion is the version that the editor read; 0 creates the table.
	IfVersion int64
	Who, Why  string
	// Teams whose rows the editor may change; AllTeams allows every row.
	Teams []string
	// DryRun checks everything and changes nothing.
	DryRun bool
}

// Applied is the outcome of an Edit.
type Applied struct {
	Version int64 `json:"version"`
	// Changes is empty if only comments or the order of rows changed. Nothing is
	// stored if the text is the stored one.
	Changes []tables.RowChange `json:"changes"`
	DryRun  bool               `json:"dry_run,omitempty"`
}

// Conflict is the error of an Edit of an older version. It holds the newer one.
type Conflict struct {
	Newer Table
	err   *result.Error
}

// Error implements error.
func (c *Conflict) Error() string { return c.err.Error() }

// Unwrap returns a *result.Error with code VersionConflict.
func (c *Conflict) Unwrap() error { return c.err }

// Tables reads and changes the tables at the platform. It is safe for concurrent
// use, also by several processes.
type Tables struct {
	Store platform.Store
	// Clock returns the time that history records.
	Clock func() time.Time
}

// Get returns a table. The error is a *result.Error with code TableNotFound or
// PlatformDown.
func (t *Tables) Get(ctx context.Context, table string) (Table, error) {
	if table != tables.RoutesName && table != tables.PoolsName {
		return Table{}, result.New(result.TableNotFound, "no table is called %q", table)
	}
	o, err := t.Store.Get(ctx, platform.TablesPrefix+table)
	if errors.Is(err, platform.ErrNotFound) {
		return Table{}, result.Wrap(err, result.TableNotFound, "table %s was not created yet", table)
	}
	if err != nil {
		return Table{}, result.Wrap(err, result.PlatformDown, "read table %s", table)
	}
	return Table{table, o.Version, string(o.Value)}, nil
}

// Apply checks an edit and stores it. The record of who, when and why is stored
// first. The error is a *Conflict, or a *result.Error with code TableInvalid,
// TeamForbidden, BadRequest, TableNotFound, ObjectTooLarge, PlatformDown, or
// UpdateUnsettled if the table may have changed.
func (t *Tables) Apply(ctx context.Context, e Edit) (Applied, error) {
	if err := checkRecord(e); err != nil {
		return Applied{}, err
	}
	current, err := t.Get(ctx, e.Table)
	if err != nil && !(result.CodeOf(err) == result.TableNotFound && errors.Is(err, platform.ErrNotFound)) {
		return Applied{}, err
	}
	if current.Version != e.IfVersion {
		return Applied{}, conflict(current, e.IfVersion)
	}
	changes, err := Diff(e.Table, current.Text, e.Text)
	if err != nil {
		return Applied{}, err
	}
	if err := checkTeams(e, current, changes); err != nil {
		return Applied{}, err
	}
	if err := t.checkJoin(ctx, e); err != nil {
		return Applied{}, err
	}
	if e.DryRun || (current.Text == e.Text && current.Version != 0) {
		return Applied{current.Version, changes, e.DryRun}, nil
	}
	seq, err := t.reserve(ctx, e, current)
	if err != nil {
		return Applied{}, err
	}
	o, err := platform.PutSettled(ctx, t.Store, platform.TablesPrefix+e.Table, []byte(e.Text), e.IfVersion)
	if err != nil {
		return Applied{}, t.putError(ctx, e, err)
	}
	// A record that stays pending is completed by the next edit or read.
	_ = t.complete(ctx, e.Table, seq, o.Version)
	return Applied{Version: o.Version, Changes: changes}, nil
}

func checkRecord(e Edit) error {
	switch {
	case e.IfVersion < 0:
		return result.New(result.BadRequest, "if_version is negative")
	case e.Why == "" && !e.DryRun:
		return result.New(result.BadRequest, "why is missing: every change records its reason")
	case len(e.Why) > maxWhy || len(e.Who) > maxWho:
		return result.New(result.BadRequest, "why is longer than %d or who is longer than %d bytes", maxWhy, maxWho)
	}
	return nil
}

func conflict(newer Table, had int64) error {
	return &Conflict{newer, result.New(result.VersionConflict, "table %s has version %d, the edit is of version %d", newer.Table, newer.Version, had)}
}

// putError turns an error of the put into one for the operator.
func (t *Tables) putError(ctx context.Context, e Edit, err error) error {
	switch {
	case errors.Is(err, platform.ErrConflict):
		newer, readErr := t.Get(ctx, e.Table)
		if readErr != nil {
			return result.Wrap(err, result.VersionConflict, "table %s has a newer version, which could not be read", e.Table)
		}
		return conflict(newer, e.IfVersion)
	case errors.Is(err, platform.ErrTooLarge):
		return result.Wrap(err, result.ObjectTooLarge, "store table %s", e.Table)
	case result.CodeOf(err) == result.UpdateUnsettled:
		return err
	}
	return result.Wrap(err, result.PlatformDown, "store table %s", e.Table)
}

// Diff returns the rows that differ between two texts of a table. A stored text
// that is not valid counts as empty. The error is a *result.Error with code
// TableInvalid, ObjectTooLarge or TableNotFound.
func Diff(table, oldText, newText string) ([]tables.RowChange, error) {
	switch table {
	case tables.RoutesName:
		old, _ := tables.ParseRoutes(table, []byte(oldText))
		new, err := tables.ParseRoutes(table, []byte(newText))
		return tables.Diff(old.Routes, new.Routes), err
	case tables.PoolsName:
		old, _ := tables.ParsePools(table, []byte(oldText))
		new, err := tables.ParsePools(table, []byte(newText))
		return tables.Diff(old.Pools, new.Pools), err
	}
	return nil, result.New(result.TableNotFound, "no table is called %q", table)
}

// checkTeams refuses a change of a row whose team the editor does not act for.
// The owners of rows that cannot be read are unknown.
func checkTeams(e Edit, current Table, changes []tables.RowChange) error {
	teams := e.Teams
	if slices.Contains(teams, AllTeams) {
		return nil
	}
	if _, err := Diff(e.Table, "", current.Text); err != nil {
		return result.Wrap(err, result.TeamForbidden, "the stored table is not valid and may be replaced only by a token of all teams")
	}
	for _, c := range changes {
		for _, team := range c.Teams {
			if !slices.Contains(teams, team) {
				return result.New(result.TeamForbidden, "row %q belongs to team %q", c.Row, team)
			}
		}
	}
	return nil
}

// checkJoin refuses a table that does not fit the other one as it is stored now.
// Two edits that race can still store tables that do not fit; entry hosts keep
// their tables then and report it.
func (t *Tables) checkJoin(ctx context.Context, e Edit) error {
	otherName := tables.PoolsName
	if e.Table == tables.PoolsName {
		otherName = tables.RoutesName
	}
	other, err := t.Get(ctx, otherName)
	if err != nil && result.CodeOf(err) != result.TableNotFound {
		return err
	}
	routesText, poolsText := e.Text, other.Text
	if e.Table == tables.PoolsName {
		routesText, poolsText = other.Text, e.Text
	}
	routes, err := tables.ParseRoutes(tables.RoutesName, []byte(routesText))
	if err != nil {
		return fmt.Errorf("other table: %w", err)
	}
	pools, err := tables.ParsePools(tables.PoolsName, []byte(poolsText))
	if err != nil {
		return fmt.Errorf("other table: %w", err)
	}
	return tables.CheckJoin(routes, pools)
}
