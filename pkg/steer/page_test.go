package steer

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/intake"
	"github.com/tamarackswitch/tamarackswitch/pkg/machine"
)

const validSettings = `
name = "h1"
domain = "a-1"
[regions]
"a-1" = "a"
[listen]
caller = "127.0.0.1:1"
ready = "127.0.0.1:2"
lookup = "127.0.0.1:3"
control = "127.0.0.1:4"
peer = "127.0.0.1:5"
metrics = "127.0.0.1:6"
[advertise]
caller = "127.0.0.2:1"
control = "127.0.0.2:4"
peer = "127.0.0.2:5"
[platform]
address = "127.0.0.1:8"
[limits]
cpu_share = 0.5
cores = 1
lateness = "200ms"
memory_mb = 206.5
descriptors = 400
[bounds]
grace = "6s"
lookup_life = "5s"
retry_ratio = 0.2
retry_extra = 133
retry_window = "10s"
[log]
level = "info"
rate = 100
`

// Guards against invalid settings that are accepted, and against errors that do
// not name the file and the field.
func TestSettingsErrors(t *testing.T) {
	_, err := ParseSettings("s.toml", []byte(validSettings))
	require.NoError(t, err)
	for _, tc := range [][3]string{
		{`name = "h1"`, ``, "name: is missing"},
		{`domain = "a-1"`, `domain = "b"`, `domain: "b" has no region`},
		{`"127.0.0.1:1"`, `"localhost:1"`, `listen.caller: "localhost:1" is not an IP number and port`},
		{`"127.0.0.2:5"`, `"127.0.0.2"`, `advertise.peer: "127.0.0.2" is not an IP number and port`},
		{`cpu_share = 0.5`, `cpu_share = 2`, "limits.cpu_share"},
		{`cores = 1`, `cores = 0`, "limits.cores"},
		{`memory_mb = 206.5`, `memory_mb = 31`, "limits.memory_mb: 31 is not between 32 and"},
		{`memory_mb = 206.5`, `memory_mb = nan`, "limits.memory_mb: NaN is not between"},
		{`descriptors = 400`, `descriptors = 20`, "limits.descriptors: 20 is not between 128 and"},
		{`grace = "6s"`, `grace = "0s"`, "bounds.grace"},
		{`grace = "6s"`, `grace = 6`, "bounds.grace: must be at least 1ms, with a unit"},
		{`lookup_life = "5s"`, ``, "bounds.lookup_life"},
		{`retry_ratio = 0.2`, `retry_ratio = 2`, "bounds.retry_ratio"},
		{`retry_extra = 133`, `retry_extra = -1`, "bounds.retry_extra"},
		{`retry_extra = 133`, `retry_extra = nan`, "bounds.retry_extra"},
		{`retry_extra = 133`, `retry_extra = 1e300`, "bounds.retry_extra"},
		{`retry_ratio = 0.2`, `retry_ratio = nan`, "bounds.retry_ratio"},
		{`cpu_share = 0.5`, `cpu_share = nan`, "limits.cpu_share"},
		{`cores = 1`, `cores = inf`, "limits.cores"},
		{`retry_window = "10s"`, ``, "bounds.retry_window"},
		{`lateness = "200ms"`, `lateness = 200`, "limits.lateness: must be at least 1ms, with a unit"},
		{`level = "info"`, `level = "loud"`, `log.level: "loud"`},
		{`rate = 100`, `rate = 0`, "log.rate"},
		{`rate = 100`, `speed = 1`, "line"},
	} {
		text := strings.Replace(validSettings, tc[0], tc[1], 1)
		require.NotEqual(t, validSettings, text, tc[0])
		_, err := ParseSettings("s.toml", []byte(text))
		require.ErrorContains(t, err, tc[2], text)
		require.ErrorContains(t, err, "s.toml")
	}
}

// settingsRow matches a row of the settings table: key, type, default, meaning.
var settingsRow = regexp.MustCompile("(?m)^\\| `([a-z.]+[a-z_]*)` \\| (?:text|table|address|addresses|number|duration) \\| ([^|]+) \\| [^|]{10,} \\|$")

// settingKeys returns the dotted TOML keys of a settings type in the order of its
// fields.
func settingKeys(prefix string, t reflect.Type) (out []string) {
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Tag.Get("toml")
		if f.Type.Kind() == reflect.Struct {
			out = append(out, settingKeys(name+".", f.Type)...)
		} else {
			out = append(out, name)
		}
	}
	return out
}

// Guards against settings keys and defaults that are missing or wrong in
// docs/steer.md.
func TestSettingsPage(t *testing.T) {
	text, err := os.ReadFile("../../docs/steer.md")
	require.NoError(t, err)
	var listed []string
	defaults := map[string]string{}
	for _, m := range settingsRow.FindAllStringSubmatch(string(text), -1) {
		listed = append(listed, m[1])
		defaults[m[1]] = strings.Trim(m[2], "`")
	}
	require.Equal(t, settingKeys("", reflect.TypeFor[Settings]()), listed)
	for key, want := range defaults {
		s, err := ParseSettings("s.toml", []byte(withoutKey(t, key)))
		switch want {
		case "required":
			require.Error(t, err, key)
		case "none":
			require.NoError(t, err, key)
		case "listen.caller", "listen.control", "listen.peer":
			require.NoError(t, err, key)
			self := New(s, testNames, newSource(), &log.Logger{}).self
			require.Contains(t, []string{self.CallerAddress, self.ControlAddress, self.PeerAddress}, map[string]string{
				"listen.caller": s.Listen.Caller, "listen.control": s.Listen.Control, "listen.peer": s.Listen.Peer,
			}[want], key)
		default:
			require.NoError(t, err, key)
			require.Equal(t, map[string]string{
				"limits.lateness": s.Limits.Lateness.String(), "log.level": s.Log.Level, "log.rate": strconv.Itoa(s.Log.LinesPerSecond),
			}[key], want, key)
		}
	}
}

// Guards against limits of the machine that the settings do not lower, or that they raise.
func TestMachineOfSettings(t *testing.T) {
	s, err := ParseSettings("s.toml", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, intake.Machine{MemoryBytes: 206<<20 + 1<<19, Descriptors: 400}, s.Limits.machine())
	s.Limits = Limits{Descriptors: 1 << 30}
	require.Equal(t, machine.Limits(), s.Limits.machine())
}

// withoutKey returns validSettings without the line that sets key.
func withoutKey(t *testing.T, key string) string {
	t.Helper()
	section, name, dotted := strings.Cut(key, ".")
	if !dotted {
		section, name = "", key
	}
	if key == "regions" {
		section, name = key, "a-1"
	}
	var out []string
	removed, currentSection := 0, ""
	for _, line := range strings.Split(validSettings, "\n") {
		if strings.HasPrefix(line, "[") {
			currentSection = strings.Trim(line, "[]")
		}
		if currentSection == section && strings.HasPrefix(strings.Trim(line, `"`), name) {
			removed++
			continue
		}
		out = append(out, line)
	}
	require.Equal(t, 1, removed, key)
	return strings.Join(out, "\n")
}

// Guards against a host that announces the addresses of its listeners although
// [advertise] sets other ones.
func TestAdvertisedAddresses(t *testing.T) {
	s, err := ParseSettings("s.toml", []byte(validSettings))
	require.NoError(t, err)
	self := New(s, testNames, newSource(), &log.Logger{}).self
	require.Equal(t, []string{"127.0.0.2:1", "127.0.0.2:4", "127.0.0.2:5"}, []string{self.CallerAddress, self.ControlAddress, self.PeerAddress})
}

// metricRow matches a row of the metrics table: name, type, labels, help text.
var metricRow = regexp.MustCompile("(?m)^\\| `(tamarackswitch_steer_[a-z_]+)` \\| (\\w+) \\|([^|]*)\\| ([^|]+) \\|$")

// Guards against a metric that is missing in docs/steer.md, or whose labels or help
// text differ there.
func TestMetricsPage(t *testing.T) {
	text, err := os.ReadFile("../../docs/steer.md")
	require.NoError(t, err)
	type row struct{ labels, help string }
	page := map[string]row{}
	for _, m := range metricRow.FindAllStringSubmatch(string(text), -1) {
		page[m[1]] = row{strings.NewReplacer("`", "", " ", "").Replace(m[3]), m[4]}
	}
	s, err := ParseSettings("s.toml", []byte(validSettings))
	require.NoError(t, err)
	h := New(s, testNames, newSource(), &log.Logger{})
	descs := make(chan *prometheus.Desc, 100)
	h.metrics.registry.Describe(descs)
	close(descs)
	pattern := regexp.MustCompile(`fqName: "([^"]+)", help: "([^"]+)", .*variableLabels: \{([^}]*)\}`)
	want := map[string]row{}
	for d := range descs {
		m := pattern.FindStringSubmatch(d.String())
		require.NotNil(t, m, d.String())
		labels := strings.Split(m[3], ",")
		slices.Sort(labels)
		want[m[1]] = row{strings.Join(labels, ","), m[2]}
	}
	require.Equal(t, want, page)
}
