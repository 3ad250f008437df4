package steer

import (
	"bytes"
	stderrors "errors"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/overload"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/units"
)

// Settings are the static settings of one entry host on a platform. The
// platform fills deploy/entry.toml.tmpl in for each process.
type Settings struct {
	// Name is unique over all entry hosts.
	Name string `toml:"name"`
	// Domain is the failure domain of this host.
	Domain string `toml:"domain"`
	// Regions maps each failure domain to its region.
	Regions map[string]string `toml:"regions"`
	Listen  Listen            `toml:"listen"`
	// Advertise replaces listeners' addresses in what others are told.
	Advertise Advertise `toml:"advertise"`
	Platform  Platform  `toml:"platform"`
	Limits    Limits    `toml:"limits"`
	Bounds    Bounds    `toml:"bounds"`
	Log       Log       `toml:"log"`
}

// Listen holds the addresses of the listeners, IP number and port.
type Listen struct {
	// Caller serves requests.
	Caller string `toml:"caller"`
	// Ready serves the platform's readiness checks.
	Ready string `toml:"ready"`
	// Lookup serves callers that ask for entry hosts.
	Lookup string `toml:"lookup"`
	// Control serves other entry hosts over HTTP.
	Control string `toml:"control"`
	// Peer takes the datagrams of other entry hosts.
	Peer string `toml:"peer"`
	// Metrics serves metrics and the state dump.
	Metrics string `toml:"metrics"`
}

// Advertise holds the addresses under which others reach this host, where they
// differ from those of its listeners. An empty address is that of the listener.
type Advertise struct {
	// Caller is named in look-up answers.
	Caller string `toml:"caller"`
	// Control and Peer are used by other entry hosts.
	Control string `toml:"control"`
	Peer    string `toml:"peer"`
}

// Platform locates the platform's store.
type Platform struct {
	Address string `toml:"address"`
}

// Limits are what the process may use.
type Limits struct {
	// CPUShare is the part of each core that the process gets.
	CPUShare float64 `toml:"cpu_share"`
	// Cores is the number of cores.
	Cores float64 `toml:"cores"`
	// Lateness is how late the process may read what has arrived; then it rejects
	// all requests, and the least urgent ones from a sixth of it on. Default 150ms.
	Lateness units.Duration `toml:"lateness"`
}

// Bounds are the limits that the deployment sets.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace units.Duration `toml:"grace"`
	// LookupLife is the longest time for which callers keep a look-up answer.
	LookupLife units.Duration `toml:"lookup_life"`
	// RetryRatio bounds repeated sends per request and pool, over all hosts.
	RetryRatio float64 `toml:"retry_ratio"`
	// RetryExtra is the number of repeated sends per RetryWindow allowed beside
	// RetryRatio, over all hosts.
	RetryExtra  int            `toml:"retry_extra"`
	RetryWindow units.Duration `toml:"retry_window"`
}

// Log bounds the log.
type Log struct {
	// Level is debug, info, warn or error; default info.
	Level string `toml:"level"`
	// Rate is the largest number of lines per second; default 100.
	Rate int `toml:"rate"`
}

// Defaults of optional settings.
const (
	defaultLogLevel = "info"
	defaultLogRate  = 100
)

// LoadSettings reads and checks a settings file. The error is a *result.Error
// with code SettingsInvalid and names file, line and field.
func LoadSettings(file string) (*Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsInvalid, "settings file")
	}
	return ParseSettings(file, raw)
}

// ParseSettings reads and checks the text of a settings file; file is its name
// in errors.
func ParseSettings(file string, raw []byte) (*Settings, error) {
	s := &Settings{
		Limits: Limits{Lateness: units.Duration(overload.Full)},
		Log:    Log{Level: defaultLogLevel, Rate: defaultLogRate},
	}
	d := toml.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, result.New(result.SettingsInvalid, "%s: %s", file, describe(err))
	}
	if err := s.check(); err != nil {
		return nil, result.New(result.SettingsInvalid, "%s: %s", file, err.Message)
	}
	return s, nil
}

// describe adds line and column to errors of the TOML decoder.
func describe(err error) string {
	var strict *toml.StrictMissingError
	if stderrors.As(err, &strict) && len(strict.Errors) > 0 {
		row, col := strict.Errors[0].Position()
		return result.New(result.SettingsInvalid, "line %d, column %d: unknown field %v", row, col, strict.Errors[0].Key()).Message
	}
	var decode *toml.DecodeError
	if stderrors.As(err, &decode) {
		row, col := decode.Position()
		return result.New(result.SettingsInvalid, "line %d, column %d: %v", row, col, decode).Message
	}
	return err.Error()
}

func (s *Settings) check() *result.Error {
	bad := func(field, format string, args ...any) *result.Error {
		return result.New(result.SettingsInvalid, field+": "+format, args...)
	}
	if s.Name == "" {
		return bad("name", "is missing")
	}
	if s.Regions[s.Domain] == "" {
		return bad("domain", "%q has no region in [regions]", s.Domain)
	}
	for _, a := range []struct{ field, value string }{
		{"listen.caller", s.Listen.Caller}, {"listen.ready", s.Listen.Ready}, {"listen.lookup", s.Listen.Lookup},
		{"listen.control", s.Listen.Control}, {"listen.peer", s.Listen.Peer}, {"listen.metrics", s.Listen.Metrics},
		{"platform.address", s.Platform.Address},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return bad(a.field, "%q is not an IP number and port", a.value)
		}
	}
	for _, a := range []struct{ field, value string }{
		{"advertise.caller", s.Advertise.Caller}, {"advertise.control", s.Advertise.Control}, {"advertise.peer", s.Advertise.Peer},
	} {
		if _, err := netip.ParseAddrPort(a.value); a.value != "" && err != nil {
			return bad(a.field, "%q is not an IP number and port", a.value)
		}
	}
	switch b := s.Bounds; {
	case b.Grace < leastDuration:
		return bad("bounds.grace", "must be at least %s, with a unit", leastDuration)
	case b.LookupLife < leastDuration:
		return bad("bounds.lookup_life", "must be at least %s, with a unit", leastDuration)
	case b.RetryRatio < 0 || b.RetryRatio > 1:
		return bad("bounds.retry_ratio", "%v is not between 0 and 1", b.RetryRatio)
	case b.RetryExtra < 0:
		return bad("bounds.retry_extra", "is negative")
	case b.RetryWindow < leastDuration:
		return bad("bounds.retry_window", "must be at least %s, with a unit", leastDuration)
	case s.Limits.CPUShare <= 0 || s.Limits.CPUShare > 1:
		return bad("limits.cpu_share", "%v is not above 0 and at most 1", s.Limits.CPUShare)
	case s.Limits.Cores <= 0:
		return bad("limits.cores", "must be positive")
	case s.Limits.Lateness < leastDuration:
		return bad("limits.lateness", "must be at least %s, with a unit", leastDuration)
	case !slices.Contains(logLevels, s.Log.Level):
		return bad("log.level", "%q is not one of %v", s.Log.Level, logLevels)
	case s.Log.Rate <= 0:
		return bad("log.rate", "must be positive")
	}
	return nil
}

// leastDuration is below any useful bound; a number without a unit counts
// nanoseconds and is found by it.
const leastDuration = units.Duration(time.Millisecond)

var logLevels = []string{"debug", "info", "warn", "error"}

// Region returns the region of this host.
func (s *Settings) Region() string { return s.Regions[s.Domain] }
