package settings

import (
	"encoding"
	"fmt"
	"maps"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// pageRow matches a table row of docs/settings.md and captures the key and its
// default.
var pageRow = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| [^|]+ \\| ([^|]+) \\| [^|]{10,} \\| `[^|]+` \\|$")

// pageDefaults returns the default of each key listed in docs/settings.md.
func pageDefaults(t *testing.T) map[string]string {
	t.Helper()
	text, err := os.ReadFile("../../docs/settings.md")
	require.NoError(t, err)
	rows := map[string]string{}
	for _, m := range pageRow.FindAllStringSubmatch(string(text), -1) {
		require.NotContains(t, rows, m[1], "listed twice")
		rows[m[1]] = strings.Trim(m[2], "`")
	}
	return rows
}

// collectFields adds the settable fields of v to byKey, by their full TOML keys.
// Of a list of structs it takes the first element.
func collectFields(prefix string, v reflect.Value, byKey map[string]reflect.Value) {
	for i := range v.NumField() {
		f := v.Field(i)
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("toml"), ",")
		if f.Kind() == reflect.Slice && f.Type().Elem().Kind() == reflect.Struct {
			f = f.Index(0)
		}
		if f.Kind() == reflect.Pointer {
			f = f.Elem()
		}
		if f.Kind() == reflect.Struct {
			collectFields(prefix+name+".", f, byKey)
		} else {
			byKey[prefix+name] = f
		}
	}
}

// defaultText returns a default in the notation of docs/settings.md.
func defaultText(v reflect.Value) string {
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		text, _ := m.MarshalText()
		return string(text)
	}
	if list, ok := v.Interface().([]string); ok {
		return `["` + strings.Join(list, `", "`) + `"]`
	}
	return fmt.Sprint(v.Interface())
}

// codeDefaults returns the expected default column of the page for the fields
// of doc: the value that an absent key takes, "required" if check fails without
// the key, or "none". It clears one field at a time and restores it afterwards.
func codeDefaults(prefix string, doc any, setDefaults func(), check func() error) map[string]string {
	out := map[string]string{}
	all := map[string]reflect.Value{}
	collectFields(prefix, reflect.ValueOf(doc).Elem(), all)
	for key, f := range all {
		saved := reflect.ValueOf(f.Interface())
		f.SetZero()
		setDefaults()
		switch {
		case !f.IsZero() || f.Kind() == reflect.Bool: // the default of a bool may be false
			out[key] = defaultText(f)
		case check() != nil:
			out[key] = "required"
		default:
			out[key] = "none"
		}
		f.Set(saved)
	}
	return out
}

// Guards against a key that is missing from docs/settings.md or has another
// default there than in the code, and against rows for keys that do not exist.
func TestPage(t *testing.T) {
	s, err := Parse("s.toml", []byte(validSettings))
	require.NoError(t, err)
	s.Peers.Seeds = []Seed{{"astana-1-a", "astana-1", "127.0.0.1:7011", "127.0.0.1:7010"}}
	// No other setting refers to the first domain, so clearing one of its fields
	// can only make the check of that field fail.
	s.Topology.Domains = append([]Domain{{"berkane-1", "berkane"}}, s.Topology.Domains...)
	s.Topology.Domains = append(s.Topology.Domains, Domain{"astana-1", "astana"})
	s.Topology.Links = []Link{{From: "almaty", To: "astana", Capacity: 1e9}}
	s.Admin.Tokens = []Token{{"ops", "0123456789abcdef", []string{"*"}}}
	s.setDefaults()
	require.NoError(t, s.check())
	want := codeDefaults("", s, s.setDefaults, s.check)

	route := tables.Route{Name: "a", Team: "t", Path: "/a", Pool: "p", Rank: tables.Urgent}
	maps.Copy(want, codeDefaults("route.", &route, func() { route = route.WithDefaults() }, func() error {
		return tables.Routes{Routes: []tables.Route{route}}.Validate("")
	}))
	// Floors are set all together or not at all, so a single floor has no default;
	// the page lists the defaults that apply if the whole floors table is absent.
	pool := tables.Pool{Name: "p", Team: "t", Slots: 1, Servers: []tables.Server{{Address: "127.0.0.1:1", Domain: "d"}}}.WithDefaults()
	maps.Copy(want, codeDefaults("pool.", &pool, func() {
		*pool.Floors = tables.DefaultFloors
		pool = pool.WithDefaults()
	}, func() error { return tables.Pools{Pools: []tables.Pool{pool}}.Validate("") }))
	require.Equal(t, want, pageDefaults(t))
}
