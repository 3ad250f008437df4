package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const validSettings = `[host]
name = "almaty-1-a"
domain = "almaty-1"

[listen]
caller = "127.0.0.1:7000"
peer = "127.0.0.1:7001"
admin = "127.0.0.1:7002"

[peers]
key = "0123456789abcdef"

[platform]
url = "http://127.0.0.1:7900"

[topology]
[[topology.domain]]
name = "almaty-1"
region = "almaty"
`

// Guards against absent settings that do not get their defaults.
func TestParseDefaults(t *testing.T) {
	s, err := Parse("s.toml", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, DefaultLookupCacheTTL, s.Limits.LookupCacheTTL.Std())
	require.Equal(t, "almaty", s.RegionOf("almaty-1"))
}

// Guards against settings that are accepted although an entry host cannot run
// with them, and against errors that do not name the file, position and key.
func TestParseErrors(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, want string }{
		{"unknown key", "key = ", "kye = ", `7000 settings-invalid: s.toml:11:1: unknown field "peers.kye"`},
		{"bad name", `"almaty-1-a"`, `"Almaty A"`, `7000 settings-invalid: s.toml: host.name: "Almaty A" is not lower-case letters, digits and hyphens`},
		{"unknown domain", `domain = "almaty-1"`, `domain = "astana-1"`, `7000 settings-invalid: s.toml: host.domain: "astana-1" is not a topology.domain`},
		{"host name as address", `"127.0.0.1:7000"`, `"localhost:7000"`, `7000 settings-invalid: s.toml: listen.caller: "localhost:7000" is not an IP number and port`},
		{"short key", "0123456789abcdef", "short", `7000 settings-invalid: s.toml: peers.key: has 5 characters, the minimum is 16`},
		{"open admin listener without tokens", `"127.0.0.1:7002"`, `"0.0.0.0:7002"`, `7000 settings-invalid: s.toml: listen.admin: "0.0.0.0:7002" is not a loopback address, which needs at least one admin.token`},
		{"missing platform", `url = "http://127.0.0.1:7900"`, "", `7000 settings-invalid: s.toml: platform.url: "" is not a URL such as "http://10.1.0.5:7900"`},
		{"platform by host name", "http://127.0.0.1", "http://platform", `7000 settings-invalid: s.toml: platform.url: the host of "http://platform:7900" is not an IP number`},
		{"little memory", "[platform]", "[limits]\nmemory = \"1MiB\"\n[platform]", "7000 settings-invalid: s.toml: limits.memory: 1048576 bytes are less than 33554432"},
		{"few descriptors", "[platform]", "[limits]\ndescriptors = 10\n[platform]", "7000 settings-invalid: s.toml: limits.descriptors: 10 is less than 128"},
		{"bad unit", "[platform]", "[limits]\nlookup_cache = \"10 seconds\"\n[platform]", `7000 settings-invalid: s.toml:14:16: field "limits.lookup_cache": "10 seconds" is not a duration such as "250ms"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("s.toml", []byte(strings.Replace(validSettings, c.old, c.replacement, 1)))
			require.EqualError(t, err, c.want)
			require.Equal(t, result.SettingsInvalid, result.CodeOf(err))
		})
	}
}
