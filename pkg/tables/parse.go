package tables

import (
	"bytes"
	stderrors "errors"
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// MaxBytes is the largest encoded table, the platform's limit for one value.
const MaxBytes = 1 << 20

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ParseRoutes reads the routes table from TOML. file is named in errors. The
// error is a *result.Error with code TableInvalid or ObjectTooLarge.
func ParseRoutes(file string, text []byte) (Routes, error) {
	var t Routes
	if err := decode(file, text, &t); err != nil {
		return Routes{}, err
	}
	return t, t.check(file, text)
}

// Validate applies the rules of ParseRoutes to rows that come from elsewhere
// than a file; source is named in errors.
func (t Routes) Validate(source string) error { return t.check(source, nil) }

func (t Routes) check(file string, text []byte) error {
	c := checker{file: file, text: text, key: "[[route]]"}
	names := map[string]bool{}
	paths := map[string]string{}
	for i, r := range t.Routes {
		c.row(i, r.Name)
		c.names(r.Name, r.Team, names)
		c.require(strings.HasPrefix(r.Path, "/"), "path", "%q does not begin with \"/\"", r.Path)
		c.require(!strings.HasPrefix(r.Path, "/v1/"), "path", "%q is reserved", r.Path)
		if other, dup := paths[strings.TrimSuffix(r.Path, "/")]; dup {
			c.fail("path", "%q is already used by route %q", r.Path, other)
		}
		paths[strings.TrimSuffix(r.Path, "/")] = r.Name
		c.require(namePattern.MatchString(r.Pool), "pool", "%q is not a pool name", r.Pool)
		c.require(r.Rank.Index() >= 0, "rank", "%q is not one of urgent, once, patient", r.Rank)
		c.require(!(r.Rank == Once && r.Idempotent), "idempotent", "a route of rank once cannot be idempotent")
		for _, m := range r.Methods {
			c.require(slices.Contains(knownMethods, m), "methods", "%q is not a supported method", m)
		}
		c.require(r.MaxBody >= 0, "max_body", "is negative")
	}
	return c.err()
}

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// ParsePools reads the pools table from TOML. file is named in errors. The
// error is a *result.Error with code TableInvalid or ObjectTooLarge.
func ParsePools(file string, text []byte) (Pools, error) {
	var t Pools
	if err := decode(file, text, &t); err != nil {
		return Pools{}, err
	}
	return t, t.check(file, text)
}

// Validate applies the rules of ParsePools to rows that come from elsewhere
// than a file; source is named in errors.
func (t Pools) Validate(source string) error { return t.check(source, nil) }

func (t Pools) check(file string, text []byte) error {
	c := checker{file: file, text: text, key: "[[pool]]"}
	names := map[string]bool{}
	for i, p := range t.Pools {
		c.row(i, p.Name)
		c.names(p.Name, p.Team, names)
		c.require(p.Slots >= 1 && p.Slots <= 10000, "slots", "%d is not between 1 and 10000", p.Slots)
		c.require(p.Connections >= 0, "connections", "is negative")
		c.require(p.ShiftCap >= 0 && p.ShiftCap <= 1, "shift_cap", "%v is not between 0 and 1", p.ShiftCap)
		c.require(p.Queue >= 0 && p.Queue <= 100000, "queue", "%d is not between 0 and 100000", p.Queue)
		c.require(p.ProbePath == "" || strings.HasPrefix(p.ProbePath, "/"), "probe_path", "%q does not begin with \"/\"", p.ProbePath)
		if f := p.Floors; f != nil {
			c.require(f.Urgent >= 0 && f.Once >= 0 && f.Patient >= 0 && f.Urgent+f.Once+f.Patient <= 1,
				"floors", "are negative or sum to more than 1")
		}
		c.servers(p.Servers)
	}
	return c.err()
}

// CheckJoin reports routes that name a pool which does not exist. The error is
// a *result.Error with code TableInvalid.
func CheckJoin(r Routes, p Pools) error {
	for _, row := range r.Routes {
		if _, ok := p.ByName(row.Pool); !ok {
			return result.New(result.TableInvalid, "route %q: pool: no pool is called %q", row.Name, row.Pool)
		}
	}
	return nil
}

// Encode writes a table as TOML.
func Encode(table any) ([]byte, error) {
	var b bytes.Buffer
	enc := toml.NewEncoder(&b)
	enc.SetIndentTables(false)
	if err := enc.Encode(table); err != nil {
		return nil, result.Wrap(err, result.Internal, "encode table")
	}
	return b.Bytes(), nil
}

func decode(file string, text []byte, into any) error {
	if len(text) > MaxBytes {
		return result.New(result.ObjectTooLarge, "%s: %d bytes, the limit is %d", file, len(text), MaxBytes)
	}
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return result.New(result.TableInvalid, "%s", DescribeTOML(file, err))
	}
	return nil
}

// DescribeTOML returns a message with file, line, column and key for an error
// of the TOML decoder.
func DescribeTOML(file string, err error) string {
	var strict *toml.StrictMissingError
	if stderrors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		line, col := e.Position()
		return fmt.Sprintf("%s:%d:%d: unknown field %q", file, line, col, strings.Join(e.Key(), "."))
	}
	var de *toml.DecodeError
	if stderrors.As(err, &de) {
		line, col := de.Position()
		if key := strings.Join(de.Key(), "."); key != "" {
			return fmt.Sprintf("%s:%d:%d: field %q: %s", file, line, col, key, strings.TrimPrefix(de.Error(), "toml: "))
		}
		return fmt.Sprintf("%s:%d:%d: %s", file, line, col, strings.TrimPrefix(de.Error(), "toml: "))
	}
	return fmt.Sprintf("%s: %v", file, err)
}

// checker collects the first rule that a table breaks and finds its line.
type checker struct {
	file, key string
	text      []byte
	index     int
	name      string
	first     error
}

func (c *checker) row(i int, name string) { c.index, c.name = i, name }

func (c *checker) names(name, team string, seen map[string]bool) {
	c.require(namePattern.MatchString(name), "name", "%q is not lower-case letters, digits and hyphens", name)
	c.require(namePattern.MatchString(team), "team", "%q is not lower-case letters, digits and hyphens", team)
	c.require(!seen[name], "name", "%q is used twice", name)
	seen[name] = true
}

func (c *checker) servers(servers []Server) {
	seen := map[string]bool{}
	for _, s := range servers {
		_, err := netip.ParseAddrPort(s.Address)
		c.require(err == nil, "servers.address", "%q is not an IP number and port", s.Address)
		c.require(namePattern.MatchString(s.Domain), "servers.domain", "%q is not a failure domain name", s.Domain)
		c.require(!seen[s.Address], "servers.address", "%q is used twice", s.Address)
		seen[s.Address] = true
	}
}

func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		c.fail(field, format, args...)
	}
}

func (c *checker) fail(field, format string, args ...any) {
	if c.first != nil {
		return
	}
	c.first = result.New(result.TableInvalid, "%s:%d: row %q: %s: %s",
		c.file, c.line(field), c.name, field, fmt.Sprintf(format, args...))
}

func (c *checker) err() error { return c.first }

// line returns the line of field in the current row, or of the row's header
// if the field is not written there.
func (c *checker) line(field string) int {
	field = field[strings.LastIndexByte(field, '.')+1:]
	row, header := -1, 0
	for n, line := range strings.Split(string(c.text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, c.key) {
			row++
			if row == c.index {
				header = n + 1
			}
		}
		if row == c.index && strings.HasPrefix(line, field) {
			return n + 1
		}
	}
	return header
}
