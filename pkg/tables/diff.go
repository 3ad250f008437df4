package tables

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Kinds of a RowChange.
const (
	RowAdded   = "added"
	RowRemoved = "removed"
	RowChanged = "changed"
)

// FieldChange is one field of a changed row. An empty text means that the field
// is absent.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// RowChange is one row that differs between two versions of a table.
type RowChange struct {
	Row  string `json:"row"`
	Kind string `json:"kind"`
	// Teams own the row before and after the change.
	Teams  []string      `json:"teams"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// String returns the change as one line per field, such as
// "catalog: servers[10.0.0.1:80].drain: false -> true".
func (c RowChange) String() string {
	if c.Kind != RowChanged {
		return c.Row + ": " + c.Kind
	}
	lines := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		lines[i] = fmt.Sprintf("%s: %s: %s -> %s", c.Row, f.Field, shown(f.Old), shown(f.New))
	}
	return strings.Join(lines, "\n")
}

func shown(text string) string {
	if text == "" {
		return "(absent)"
	}
	return text
}

// Diff returns the rows that differ between two versions of a table, by name.
func Diff[R Row](old, new []R) []RowChange {
	had, has := byKey(old), byKey(new)
	var out []RowChange
	for _, name := range Between(old, new).Names() {
		a, before := had[name]
		b, after := has[name]
		switch {
		case !before:
			out = append(out, RowChange{Row: name, Kind: RowAdded, Teams: []string{b.Owner()}})
		case !after:
			out = append(out, RowChange{Row: name, Kind: RowRemoved, Teams: []string{a.Owner()}})
		default:
			teams := []string{a.Owner(), b.Owner()}
			slices.Sort(teams)
			out = append(out, RowChange{Row: name, Kind: RowChanged, Teams: slices.Compact(teams), Fields: fieldChanges(a, b)})
		}
	}
	return out
}

// ChangedTeams returns the teams whose rows differ between two versions of a
// table, sorted. A row that changes its team counts for both.
func ChangedTeams[R Row](old, new []R) []string {
	var teams []string
	for _, c := range Diff(old, new) {
		teams = append(teams, c.Teams...)
	}
	slices.Sort(teams)
	return slices.Compact(teams)
}

func fieldChanges[R Row](a, b R) []FieldChange {
	before, after := fields(a), fields(b)
	var out []FieldChange
	for name, text := range before {
		if after[name] != text {
			out = append(out, FieldChange{name, text, after[name]})
		}
	}
	for name, text := range after {
		if _, ok := before[name]; !ok && text != "" {
			out = append(out, FieldChange{name, "", text})
		}
	}
	slices.SortFunc(out, func(x, y FieldChange) int { return cmp.Compare(x.Field, y.Field) })
	return out
}

// fields returns the fields of a row as text by their names in TOML. Servers
// become one field per address and property.
func fields(row any) map[string]string {
	out := map[string]string{}
	v := reflect.ValueOf(row)
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("toml"), ",")
		switch f := v.Field(i).Interface().(type) {
		case []Server:
			for _, s := range f {
				out["servers["+s.Address+"].domain"] = s.Domain
				out["servers["+s.Address+"].drain"] = fmt.Sprint(s.Drain)
			}
		case *Floors:
			if f != nil {
				out[name] = fmt.Sprintf("urgent %v, once %v, patient %v", f.Urgent, f.Once, f.Patient)
			}
		case []string:
			out[name] = strings.Join(f, " ")
		default:
			if !v.Field(i).IsZero() || v.Field(i).Kind() == reflect.Bool {
				out[name] = fmt.Sprint(f)
			}
		}
	}
	return out
}
