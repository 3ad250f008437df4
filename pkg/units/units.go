// Package units provides types for quantities that settings and tables contain
// as text with a unit: durations, bit rates and byte sizes.
package units

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/juju/errors"
)

// Duration is a time.Duration with a text form such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration in the syntax of time.ParseDuration; negative
// durations are refused.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Errorf("%q is not a duration such as \"250ms\"", b)
	}
	if v < 0 {
		return errors.Errorf("duration %q is negative", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the text form of d.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns d in the syntax of time.ParseDuration.
func (d Duration) String() string { return time.Duration(d).String() }

// Size is a number of bytes with a text form such as "16MiB".
type Size int64

// UnmarshalText parses a byte size with an optional decimal or binary unit. Sizes
// over 2^62 bytes are refused.
func (s *Size) UnmarshalText(b []byte) error {
	v, err := humanize.ParseBytes(string(b))
	if err != nil || v > 1<<62 {
		return errors.Errorf("%q is not a byte size such as \"16MiB\"", b)
	}
	*s = Size(v)
	return nil
}

// MarshalText returns the text form of s.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// String returns s with the largest binary unit that divides it.
func (s Size) String() string {
	for _, u := range []struct {
		name  string
		bytes Size
	}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}} {
		if s >= u.bytes && s%u.bytes == 0 {
			return fmt.Sprintf("%d%s", s/u.bytes, u.name)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}

// BitRate is a number of bits per second with a text form such as "280Mbit/s".
type BitRate int64

// rateUnits holds the units of a BitRate, the largest first. bit/s comes last
// because the other suffixes end with it.
var rateUnits = []struct {
	suffix string
	factor float64
}{{"Gbit/s", 1e9}, {"Mbit/s", 1e6}, {"kbit/s", 1e3}, {"bit/s", 1}}

// UnmarshalText parses a bit rate with the unit bit/s, kbit/s, Mbit/s or Gbit/s.
// Negative rates and rates over 1e15 bit/s are refused.
func (r *BitRate) UnmarshalText(b []byte) error {
	text := string(b)
	for _, u := range rateUnits {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || v < 0 || v*u.factor > 1e15 {
			break
		}
		*r = BitRate(v * u.factor)
		return nil
	}
	return errors.Errorf("%q is not a bit rate such as \"280Mbit/s\"", text)
}

// MarshalText returns the text form of r.
func (r BitRate) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// String returns r with the largest unit that divides it.
func (r BitRate) String() string {
	for _, u := range rateUnits {
		f := int64(u.factor)
		if int64(r) >= f && int64(r)%f == 0 {
			return fmt.Sprintf("%d%s", int64(r)/f, u.suffix)
		}
	}
	return fmt.Sprintf("%dbit/s", int64(r))
}

// BytesPerSecond returns the rate in bytes per second.
func (r BitRate) BytesPerSecond() float64 { return float64(r) / 8 }
