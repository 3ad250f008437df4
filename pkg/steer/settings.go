package steer

import (
	"bytes"
	stderrors "errors"
	"math"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/intake"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/overload"
	"github.com/tamarackswitch/tamarackswitch/pkg/machine"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/units"
)

// Settings are the static settings of one entry host. The platform generates the
// file for each process from the template deploy/entry.toml.tmpl.
type Settings struct {
	// Name identifies this entry host. It is unique among all entry hosts.
	Name string `toml:"name"`
	// Domain is the failure domain of this host.
	Domain string `toml:"domain"`
	// Regions maps each failure domain to its region.
	Regions map[string]string `toml:"regions"`
	Listen  Listen            `toml:"listen"`
	// Advertise overrides addresses of Listen in what this host announces.
	Advertise Advertise `toml:"advertise"`
	Platform  Platform  `toml:"platform"`
	Limits    Limits    `toml:"limits"`
	Bounds    Bounds    `toml:"bounds"`
	Log       Log       `toml:"log"`
}

// Listen holds the addresses of the listeners, each an IP address and a port.
type Listen struct {
	// Caller serves the requests of callers.
	Caller string `toml:"caller"`
	// Ready serves the platform's readiness checks.
	Ready string `toml:"ready"`
	// Lookup serves callers that ask for entry hosts.
	Lookup string `toml:"lookup"`
	// Control serves the HTTP calls of other entry hosts.
	Control string `toml:"control"`
	// Peer receives the UDP datagrams of other entry hosts.
	Peer string `toml:"peer"`
	// Metrics serves the metrics and the dump of the host's state.
	Metrics string `toml:"metrics"`
}

// Advertise holds the addresses at which callers and other entry hosts reach this
// host, where they differ from the addresses of its listeners. An empty address
// stands for the listener's address.
type Advertise struct {
	// Caller is the address in look-up answers.
	Caller string `toml:"caller"`
	// Control is where other entry hosts send HTTP calls.
	Control string `toml:"control"`
	// Peer is where other entry hosts send datagrams.
	Peer string `toml:"peer"`
}

// Platform locates the platform's store.
type Platform struct {
	// Address is the IP address and port of the store.
	Address string `toml:"address"`
}

// Limits describe the processor time, the memory and the descriptors of the process, and when
// it sheds load.
type Limits struct {
	// CPUShare is the fraction of each core that the process gets.
	CPUShare float64 `toml:"cpu_share"`
	// Cores is the number of cores of which the process gets that fraction.
	Cores float64 `toml:"cores"`
	// Lateness is the threshold for load shedding: the process rejects all requests
	// if it reads data later than this after their arrival. It starts to reject the
	// least urgent requests at a sixth of it. The default is 150ms.
	Lateness units.Duration `toml:"lateness"`
	// MemoryMB is the memory of the process in MB, above which the platform ends it. The
	// default is the memory of the machine, or of the control group of the process.
	MemoryMB float64 `toml:"memory_mb"`
	// Descriptors is the largest number of open descriptors. The default is the limit of
	// the process.
	Descriptors float64 `toml:"descriptors"`
}

// machine returns what the machine gives to the process.
func (l Limits) machine() intake.Machine {
	m := machine.Limits()
	if l.MemoryMB > 0 {
		m.MemoryBytes = int64(l.MemoryMB * (1 << 20))
	}
	if l.Descriptors > 0 {
		m.Descriptors = min(m.Descriptors, int(l.Descriptors))
	}
	return m
}

// Bounds are limits that the deployment prescribes.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace units.Duration `toml:"grace"`
	// LookupLife is the longest time for which callers may cache a look-up answer.
	LookupLife units.Duration `toml:"lookup_life"`
	// RetryRatio bounds the number of retries per request in each pool, over all
	// entry hosts.
	RetryRatio float64 `toml:"retry_ratio"`
	// RetryExtra is the number of retries that are allowed per RetryWindow in
	// addition to RetryRatio, over all entry hosts. It may be a fraction.
	RetryExtra  float64        `toml:"retry_extra"`
	RetryWindow units.Duration `toml:"retry_window"`
}

// Log sets the level and the rate limit of the log.
type Log struct {
	// Level is debug, info, warn or error. The default is info.
	Level string `toml:"level"`
	// LinesPerSecond is the largest number of lines per second. The default is 100.
	LinesPerSecond int `toml:"rate"`
}

// Defaults of the optional log settings.
const (
	defaultLogLevel = "info"
	defaultLogRate  = 100 // lines per second
)

// LoadSettings reads and validates a settings file. The error is a *result.Error
// with code SettingsInvalid. It names the file and the field, and for TOML errors
// the line.
func LoadSettings(file string) (*Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsInvalid, "settings file")
	}
	return ParseSettings(file, raw)
}

// ParseSettings parses and validates the text of a settings file. file is the name
// of the file for error messages. Errors are like those of LoadSettings.
func ParseSettings(file string, raw []byte) (*Settings, error) {
	s := &Settings{
		Limits: Limits{Lateness: units.Duration(overload.DefaultFullLateness)},
		Log:    Log{Level: defaultLogLevel, LinesPerSecond: defaultLogRate},
	}
	d := toml.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, result.New(result.SettingsInvalid, "%s: %s", file, decodeErrorText(err))
	}
	if err := s.check(); err != nil {
		return nil, result.New(result.SettingsInvalid, "%s: %s", file, err.Message)
	}
	return s, nil
}

// decodeErrorText returns the text of an error of the TOML decoder, with line and
// column if they are known.
func decodeErrorText(err error) string {
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

// check validates the values of the settings and returns the first error found.
func (s *Settings) check() *result.Error {
	invalid := func(field, format string, args ...any) *result.Error {
		return result.New(result.SettingsInvalid, field+": "+format, args...)
	}
	if s.Name == "" {
		return invalid("name", "is missing")
	}
	if s.Regions[s.Domain] == "" {
		return invalid("domain", "%q has no region in [regions]", s.Domain)
	}
	for _, a := range []struct{ field, value string }{
		{"listen.caller", s.Listen.Caller}, {"listen.ready", s.Listen.Ready}, {"listen.lookup", s.Listen.Lookup},
		{"listen.control", s.Listen.Control}, {"listen.peer", s.Listen.Peer}, {"listen.metrics", s.Listen.Metrics},
		{"platform.address", s.Platform.Address},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return invalid(a.field, "%q is not an IP number and port", a.value)
		}
	}
	for _, a := range []struct{ field, value string }{
		{"advertise.caller", s.Advertise.Caller}, {"advertise.control", s.Advertise.Control}, {"advertise.peer", s.Advertise.Peer},
	} {
		if _, err := netip.ParseAddrPort(a.value); a.value != "" && err != nil {
			return invalid(a.field, "%q is not an IP number and port", a.value)
		}
	}
	switch b := s.Bounds; {
	case b.Grace < minDuration:
		return invalid("bounds.grace", "must be at least %s, with a unit", minDuration)
	case b.LookupLife < minDuration:
		return invalid("bounds.lookup_life", "must be at least %s, with a unit", minDuration)
	case !(b.RetryRatio >= 0 && b.RetryRatio <= 1): // also true for NaN
		return invalid("bounds.retry_ratio", "%v is not between 0 and 1", b.RetryRatio)
	case !(b.RetryExtra >= 0 && b.RetryExtra <= maxRetryExtra):
		return invalid("bounds.retry_extra", "%v is not between 0 and %v", b.RetryExtra, maxRetryExtra)
	case b.RetryWindow < minDuration:
		return invalid("bounds.retry_window", "must be at least %s, with a unit", minDuration)
	case !(s.Limits.CPUShare > 0 && s.Limits.CPUShare <= 1):
		return invalid("limits.cpu_share", "%v must be above 0 and at most 1", s.Limits.CPUShare)
	case !(s.Limits.Cores > 0 && s.Limits.Cores <= maxCores):
		return invalid("limits.cores", "%v must be above 0 and at most %v", s.Limits.Cores, maxCores)
	case s.Limits.Lateness < minDuration:
		return invalid("limits.lateness", "must be at least %s, with a unit", minDuration)
	case s.Limits.MemoryMB != 0 && !(s.Limits.MemoryMB >= minMemoryMB && s.Limits.MemoryMB <= maxMemoryMB):
		return invalid("limits.memory_mb", "%v is not between %v and %v", s.Limits.MemoryMB, minMemoryMB, maxMemoryMB)
	case s.Limits.Descriptors != 0 && !(s.Limits.Descriptors >= minDescriptors && s.Limits.Descriptors <= math.MaxInt32):
		return invalid("limits.descriptors", "%v is not between %d and %d", s.Limits.Descriptors, minDescriptors, math.MaxInt32)
	case !slices.Contains(logLevels, s.Log.Level):
		return invalid("log.level", "%q is not one of %v", s.Log.Level, logLevels)
	case s.Log.LinesPerSecond <= 0:
		return invalid("log.rate", "must be positive")
	}
	return nil
}

// minDuration is the smallest valid duration. It is below any useful value, and
// above numbers that lack a unit, which are decoded as nanoseconds.
const minDuration = units.Duration(time.Millisecond)

// Lower bounds of the limits: less does not suffice to serve.
const (
	minMemoryMB    = 32
	minDescriptors = 128
)

// Upper bounds that only mistyped settings exceed.
const (
	maxRetryExtra = 1e9 // retries per window
	maxCores      = 4096
	maxMemoryMB   = 1 << 24
)

var logLevels = []string{"debug", "info", "warn", "error"}

// Region returns the region of this host's failure domain.
func (s *Settings) Region() string { return s.Regions[s.Domain] }

// hasRegion reports whether a failure domain of the settings is in the region.
func (s *Settings) hasRegion(region string) bool {
	for _, r := range s.Regions {
		if r == region {
			return true
		}
	}
	return false
}
