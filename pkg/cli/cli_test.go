package cli

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/entry"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform/memstore"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/settings"
)

const (
	goodSecret = "operator-secret-1"
	routesText = "[[route]]\nname = \"catalog\"\nteam = \"pinhole\"\npath = \"/catalog\"\npool = \"web\"\nrank = \"urgent\"\n"
	poolsText  = "[[pool]]\nname = \"web\"\nteam = \"pinhole\"\nslots = 5\nservers = [{ address = \"127.0.0.1:9\", domain = \"almaty-1\" }]\n"
)

// run executes a command line and returns its exit status, standard output and
// standard error.
func run(args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	status := Main(args, &out, &errs)
	return status, out.String(), errs.String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func settingsText(caller, peer, admin, tokenSection string) string {
	return "[host]\nname = \"almaty-1-a\"\ndomain = \"almaty-1\"\n[listen]\ncaller = \"" + caller + "\"\npeer = \"" + peer + "\"\nadmin = \"" + admin +
		"\"\n[peers]\nkey = \"0123456789abcdef\"\n[platform]\nurl = \"http://127.0.0.1:1\"\n[[topology.domain]]\nname = \"almaty-1\"\nregion = \"almaty\"\n" + tokenSection
}

// startHost runs an entry host on an in-memory platform store and returns the
// address of its administration listener.
func startHost(t *testing.T) string {
	t.Helper()
	store := memstore.New(time.Now)
	for name, text := range map[string]string{"routes": routesText, "pools": poolsText} {
		_, err := store.Put(context.Background(), platform.TablesPrefix+name, []byte(text), 0)
		require.NoError(t, err)
	}
	var listeners []net.Listener
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
	}
	addr := func(i int) string { return listeners[i].Addr().String() }
	tokenSection := "[[admin.token]]\nname = \"ops\"\nsecret = \"" + goodSecret + "\"\nteams = [\"pinhole\"]\n"
	cfg, err := settings.Parse("entry.toml", []byte(settingsText(addr(0), addr(1), addr(2), tokenSection)))
	require.NoError(t, err)
	host, err := entry.New(cfg, store, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	require.NoError(t, err)
	for i, l := range listeners {
		host.UseListener(addr(i), l)
	}
	require.NoError(t, host.Start())
	t.Cleanup(func() { _ = host.Stop() })
	return addr(2)
}

// Guards against errors that do not name the file and position, and against
// kinds of failure that a script cannot tell apart by the exit status.
func TestErrorsAndExitStatuses(t *testing.T) {
	good := settingsText("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "")
	settingsFile := writeFile(t, "entry.toml", good)
	unknownKeyFile := writeFile(t, "bad.toml", good+"[limits]\nqueue = 3\n")
	routesFile, poolsFile := writeFile(t, "routes.toml", routesText), writeFile(t, "pools.toml", poolsText)
	wrongTypeFile := writeFile(t, "rank.toml", routesText+"idempotent = \"yes\"\n")
	missingPoolFile := writeFile(t, "join.toml", "[[route]]\nname = \"a\"\nteam = \"t\"\npath = \"/a\"\npool = \"archive\"\nrank = \"patient\"\n")
	unknownDomainFile := writeFile(t, "domain.toml", "[[pool]]\nname = \"web\"\nteam = \"t\"\nslots = 5\nservers = [{ address = \"127.0.0.1:9\", domain = \"almaty-9\" }]\n")
	emptyFile := writeFile(t, "empty.toml", "\n")
	for _, c := range []struct {
		name   string
		args   []string
		status int
		out    string
		err    string
	}{
		{"good files", []string{"check", settingsFile, routesFile, poolsFile}, 0, settingsFile + ": settings ok\n" + routesFile + ": routes ok\n" + poolsFile + ": pools ok\n", ""},
		{"unknown key in the settings", []string{"check", unknownKeyFile}, 8, "", "7000 settings-invalid: " + unknownKeyFile + ":16:1: unknown field \"limits.queue\""},
		{"wrong type in a table", []string{"check", wrongTypeFile}, 6, "", "5000 table-invalid: " + wrongTypeFile + ":7:14: field \"route.idempotent\": cannot decode TOML string into struct field tables.Route.Idempotent of type bool"},
		{"route without its pool", []string{"check", missingPoolFile, poolsFile}, 6, missingPoolFile + ": routes ok\n" + poolsFile + ": pools ok\n", "5000 table-invalid: route \"a\": pool: no pool is called \"archive\""},
		{"server in an unknown domain", []string{"check", settingsFile, unknownDomainFile}, 6, settingsFile + ": settings ok\n" + unknownDomainFile + ": pools ok\n", "5000 table-invalid: pool \"web\": server 127.0.0.1:9: \"almaty-9\" is not a topology.domain of host \"almaty-1-a\""},
		{"empty file", []string{"check", emptyFile}, 8, "", "7000 settings-invalid: " + emptyFile + ": the file is empty"},
		{"missing settings", []string{"entry", "--settings", "missing.toml"}, 8, "", "7000 settings-invalid: open missing.toml: no such file or directory"},
		{"unknown command", []string{"frob"}, 8, "", "7004 usage: unknown command \"frob\" for \"tamarackswitch\""},
		{"unknown table", []string{"get", "servers"}, 6, "", "5007 table-not-found: \"servers\" is not one of the tables routes, pools"},
		{"file without a version", []string{"apply", "routes", "--file", routesFile, "--why", "x"}, 8, "", "7004 usage: " + routesFile + " has no line \"# version N\" and --if-version is not set"},
		{"host name as address", []string{"status", "--admin", "host:7002"}, 8, "", "7004 usage: --admin: \"host:7002\" is not an IP number and port"},
		{"unreachable host", []string{"status", "--admin", "127.0.0.1:1"}, 6, "", "5008 host-unreachable: administration API at 127.0.0.1:1: Get \"http://127.0.0.1:1/v1/status\": dial tcp 127.0.0.1:1: connect: connection refused"},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, out, errs := run(c.args...)
			if c.err != "" {
				c.err = "tamarackswitch: " + c.err + "\n"
			}
			require.Equal(t, c.err, errs)
			require.Equal(t, c.out, out)
			require.Equal(t, c.status, status)
		})
	}
}

// Guards against an administration API that accepts an unknown token, and
// against a version conflict whose error output lacks the current table.
func TestAdministration(t *testing.T) {
	admin := startHost(t)
	t.Setenv(tokenVariable, "wrong-operator-secret")
	status, _, errs := run("get", "routes", "--admin", admin)
	require.Equal(t, "tamarackswitch: 5002 unauthorized: the bearer token is unknown\n", errs)
	require.Equal(t, 6, status)

	t.Setenv(tokenVariable, goodSecret)
	status, table, errs := run("get", "routes", "--admin", admin)
	require.Equal(t, 0, status, errs)
	edit := writeFile(t, "edit.toml", table+"deadline = \"800ms\"\n")
	status, out, errs := run("apply", "routes", "--admin", admin, "--file", edit, "--why", "faster")
	require.Equal(t, 0, status, errs)
	require.Contains(t, out, "catalog: deadline: (absent) -> 800ms\nversion ")
	status, _, errs = run("apply", "routes", "--admin", admin, "--file", edit, "--why", "again")
	require.Equal(t, 6, status)
	require.Regexp(t, `^# version \d+\n(?s:.*)deadline = "800ms"\ntamarackswitch: 5001 version-conflict: table routes has version \d+, the edit is of version \d+\n$`, errs)
	status, _, errs = run("dump", "almaty-9", "--admin", admin)
	require.Equal(t, "tamarackswitch: 5008 host-unreachable: no entry host is called \"almaty-9\"\n", errs)
	require.Equal(t, 6, status)
}

// Guards against a --help text that contains the token as the default of a
// flag, where it would show on a shared screen or in a log.
func TestHelpHidesToken(t *testing.T) {
	t.Setenv(tokenVariable, goodSecret)
	status, out, _ := run("status", "--help")
	require.Equal(t, 0, status)
	require.NotContains(t, out, goodSecret)
}

// Guards against a status that omits a host without confirmed tables, an
// invalid table, or a host that did not answer.
func TestPrintStatus(t *testing.T) {
	var out bytes.Buffer
	printStatus(&out, api.Status{Asked: "a-1", RoutesVersion: 3, PoolsVersion: 2, Domains: []api.DomainStatus{{
		Domain: "a", Region: "r", Unreachable: []string{"a-2"}, Behind: []string{"a-1"}, Headroom: map[string]int{"web": 5},
		Hosts: []api.HostStatus{{Name: "a-1", Source: "none", UnconfirmedMS: -1, Requests: 1, Leaving: true,
			Problems: []api.Problem{{Table: "pools", Version: 2, Error: "broken"}}}},
	}, {Domain: "b", Region: "r", Hosts: []api.HostStatus{
		{Name: "b-1", Source: "platform", RoutesVersion: 3, PoolsVersion: 2, UnconfirmedMS: 1500}, {Name: "b-2", Source: "peer", UnconfirmedMS: 20},
	}}}})
	require.Equal(t, `routes version 3, pools version 2, asked through a-1

a (r): 1 host
  a-1: routes 0, pools 0 from none, never confirmed, 1 request, leaving
    problem: pools version 2: broken
  behind: a-1
  not reached: a-2
  headroom of web: 5 free slots

b (r): 2 hosts
  b-1: routes 3, pools 2 from platform, unconfirmed for 1.5s, 0 requests
  b-2: routes 0, pools 0 from peer, unconfirmed for 20ms, 0 requests
`, out.String())
}

const steerText = `name = "h1"
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
[platform]
address = "127.0.0.1:8"
[limits]
cpu_share = 0.5
cores = 1.0
[bounds]
grace = "6s"
lookup_life = "5s"
retry_window = "10s"
`

// Guards against steer settings that the check command accepts and the daemon
// rejects, or that check rejects and the daemon accepts.
func TestCheckSteerSettings(t *testing.T) {
	file := writeFile(t, "steer.toml", steerText)
	status, out, _ := run("check", file)
	require.Zero(t, status)
	require.Equal(t, file+": steer settings ok\n", out)
	file = writeFile(t, "steer.toml", strings.Replace(steerText, `"6s"`, `"0s"`, 1))
	for _, args := range [][]string{{"check", file}, {"steer", "--settings", file}} {
		status, _, errs := run(args...)
		require.Equal(t, result.SettingsInvalid.ExitStatus(), status)
		require.Contains(t, errs, "steer.toml: bounds.grace: must be at least 1ms, with a unit")
	}
	status, _, errs := run("steer")
	require.Equal(t, result.Usage.ExitStatus(), status)
	require.Contains(t, errs, "--settings or --settings-env")
}
