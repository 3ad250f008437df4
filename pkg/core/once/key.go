// Package once decides whether a request with an idempotency key may run. If
// the key names its owner, only that process incarnation runs the request, or
// the one successor that it handed its records to. An opaque key is recorded in
// the platform before its request runs. In this package, a key runs when its
// request does.
package once

import (
	"strconv"
	"strings"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const (
	// Window is the length of one window. An owner counts windows from the start
	// of its process.
	Window = time.Minute
	// RetentionWindows is the number of windows after its own window in which a
	// key is still accepted, so that a key is valid for at least 10 minutes after
	// its lookup.
	RetentionWindows = 10
	// MaxAhead is how many windows a key may be ahead of its owner's counter. Any
	// host of the domain may make the prefix of a key by its own clock, which may
	// be ahead of the owner's.
	MaxAhead = 1

	// minRandom and maxRandom bound the length of a key's random part in characters.
	minRandom = 16
	maxRandom = 64
	// minOpaque and maxOpaque bound the length of an opaque key in characters.
	minOpaque = 8
	maxOpaque = 128
	// maxName is the maximum length of the domain and host parts in characters.
	maxName = 63

	// keyMarker starts every key that names its owner.
	keyMarker = "k1."
	// keyParts is the number of dot-separated parts, including the marker.
	keyParts = 6
)

// Identity names one process incarnation of an entry host.
type Identity struct {
	Domain string `cbor:"1,keyasint" json:"domain"`
	Host   string `cbor:"2,keyasint" json:"host"`
	// Incarnation is the start time of the process in milliseconds.
	Incarnation int64 `cbor:"3,keyasint" json:"incarnation"`
}

// String returns the identity in the form used in keys.
func (id Identity) String() string {
	return id.Domain + "." + id.Host + "." + strconv.FormatInt(id.Incarnation, 10)
}

// less orders identities for output.
func (id Identity) less(o Identity) bool {
	if id.Domain != o.Domain {
		return id.Domain < o.Domain
	}
	if id.Host != o.Host {
		return id.Host < o.Host
	}
	return id.Incarnation < o.Incarnation
}

// Key is a parsed idempotency key.
type Key struct {
	// Text is the key as the caller sent it.
	Text string
	// Opaque is true for a key that names no owner; the fields below are then
	// zero.
	Opaque bool
	Owner  Identity
	// Window is the number of whole windows from the owner's start until the
	// key's prefix was made.
	Window int64
	Random string
}

// FormatPrefix returns the key prefix of an owner in the form
// k1.<domain>.<host>.<incarnation>.<window>, without the dot that separates it
// from the random part.
func FormatPrefix(owner Identity, window int64) string {
	return keyMarker + owner.String() + "." + strconv.FormatInt(window, 10)
}

// ParseKey parses a key. The error is a *result.Error with code
// BadIdempotencyKey and run state not-run.
func ParseKey(text string) (Key, error) {
	rest, ok := strings.CutPrefix(text, keyMarker)
	if !ok {
		return parseOpaque(text)
	}
	parts := strings.Split(rest, ".")
	if len(parts) != keyParts-1 {
		return Key{}, badKey("a k1 key has %d parts, this one has %d", keyParts, len(parts)+1)
	}
	if err := checkName("domain", parts[0]); err != nil {
		return Key{}, err
	}
	if err := checkName("host", parts[1]); err != nil {
		return Key{}, err
	}
	incarnation, err := parseNumber("incarnation", parts[2])
	if err != nil {
		return Key{}, err
	}
	window, err := parseNumber("window", parts[3])
	if err != nil {
		return Key{}, err
	}
	if err := checkRandom(parts[4]); err != nil {
		return Key{}, err
	}
	return Key{
		Text: text, Window: window, Random: parts[4],
		Owner: Identity{Domain: parts[0], Host: parts[1], Incarnation: incarnation},
	}, nil
}

func badKey(format string, args ...any) *result.Error {
	return result.New(result.BadIdempotencyKey, format, args...)
}

func parseOpaque(text string) (Key, error) {
	if len(text) < minOpaque || len(text) > maxOpaque {
		return Key{}, badKey("a key without prefix has %d to %d characters, this one has %d", minOpaque, maxOpaque, len(text))
	}
	for i := 0; i < len(text); i++ {
		if text[i] < 0x20 || text[i] > 0x7e {
			return Key{}, badKey("byte %d of the key is not printable ASCII", i)
		}
	}
	return Key{Text: text, Opaque: true}, nil
}

func checkName(part, name string) error {
	if name == "" || len(name) > maxName {
		return badKey("the %s of a key has 1 to %d characters, this one has %d", part, maxName, len(name))
	}
	for i := 0; i < len(name); i++ {
		if c := name[i]; (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return badKey("character %q in the %s of the key is not a lower-case letter, digit or hyphen", c, part)
		}
	}
	return nil
}

// parseNumber accepts only the canonical decimal form, so that two different
// texts never denote the same key.
func parseNumber(part, text string) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || strconv.FormatInt(n, 10) != text {
		return 0, badKey("the %s %q of the key is not a plain decimal number", part, text)
	}
	return n, nil
}

func checkRandom(text string) error {
	if len(text) < minRandom || len(text) > maxRandom {
		return badKey("the random part of a key has %d to %d characters, this one has %d", minRandom, maxRandom, len(text))
	}
	for i := 0; i < len(text); i++ {
		c := text[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '_' && c != '-' {
			return badKey("character %q in the random part of the key is not one of A-Z a-z 0-9 _ -", c)
		}
	}
	return nil
}
