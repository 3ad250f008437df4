// Package e2e runs the whole path as separate processes on loopback.
package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/standin/freeport"
)

// patience is a safety net for slow machines; no verdict depends on its length.
const patience = 60 * time.Second

var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "tamarackswitch-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "tamarackswitch")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/tamarackswitch").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a started command with its log.
type process struct {
	cmd  *exec.Cmd
	mu   sync.Mutex
	log  bytes.Buffer
	done chan struct{}
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// start runs the binary until the test ends.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(binary, args...), done: make(chan struct{})}
	p.cmd.Stderr, p.cmd.Stdout = p, p
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("%s:\n%s", strings.Join(args, " "), tail(p.Log()))
		}
	})
	return p
}

func tail(s string) string {
	const most = 4000
	return s[max(0, len(s)-most):]
}

// command runs the binary to its end and returns standard output and error.
func command(t *testing.T, args ...string) (string, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	c := exec.CommandContext(ctx, binary, args...)
	var stdout, stderr bytes.Buffer
	c.Stdout, c.Stderr = &stdout, &stderr
	err := c.Run()
	return stdout.String(), stderr.String(), err
}

// freeAddress returns a loopback address that no other test gets.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// eventually waits until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen within %s", what, patience)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func status(url string) int {
	resp, err := http.Get(url) //nolint:gosec // loopback address of this test
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

type host struct{ name, domain, caller, peer, admin string }

type cluster struct {
	platform string
	// platformAddress is what the entry hosts use.
	platformAddress string
	dir             string
	hosts           []host
	backends        []string
	entries         map[string]*process
}

// newCluster starts a platform, two backend servers per domain and two entry
// hosts in each of two domains.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	return newClusterWith(t, nil, nil)
}

// newClusterWith lets the test put something between the entry hosts and the
// backend servers, and between the entry hosts and the platform. The functions
// get an address and return the one to use instead.
func newClusterWith(t *testing.T, server func(c *cluster, addr string) string, platform func(addr string) string) *cluster {
	t.Helper()
	c := &cluster{platform: freeAddress(t), dir: t.TempDir(), entries: map[string]*process{}}
	servers := ""
	for _, domain := range []string{"almaty-1", "astana-1"} {
		for i := range 2 {
			addr := freeAddress(t)
			c.backends = append(c.backends, addr)
			listed := addr
			if server != nil {
				listed = server(c, addr)
			}
			servers += fmt.Sprintf("  { address = %q, domain = %q },\n", listed, domain)
			start(t, "backend", "--listen", addr, "--slots", "5")
			c.hosts = append(c.hosts, host{fmt.Sprintf("%s-%d", domain, i), domain, freeAddress(t), freeAddress(t), freeAddress(t)})
		}
	}
	write(t, filepath.Join(c.dir, "routes.toml"), `[[route]]
name = "catalog"
team = "pinhole"
path = "/catalog"
pool = "web"
rank = "urgent"
idempotent = true

[[route]]
name = "orders"
team = "pinhole"
path = "/orders"
methods = ["POST"]
pool = "web"
rank = "once"
`)
	write(t, filepath.Join(c.dir, "pools.toml"), "[[pool]]\nname = \"web\"\nteam = \"pinhole\"\nslots = 5\nservers = [\n"+servers+"]\n")
	start(t, "platform", "--listen", c.platform, "--tables", c.dir)
	eventually(t, "the platform answers", func() bool { return status("http://"+c.platform+"/v1/list?prefix=tables/") == 200 })
	c.platformAddress = c.platform
	if platform != nil {
		c.platformAddress = platform(c.platform)
	}
	for _, h := range c.hosts {
		c.startEntry(t, h)
	}
	for _, h := range c.hosts {
		eventually(t, h.name+" serves", func() bool { return status("http://"+h.caller+"/catalog/1") == 200 })
	}
	return c
}

func (c *cluster) startEntry(t *testing.T, h host) {
	t.Helper()
	file := filepath.Join(c.dir, h.name+".toml")
	seeds := ""
	for _, s := range c.hosts {
		seeds += fmt.Sprintf("[[peers.seed]]\nname = %q\ndomain = %q\npeer = %q\ncaller = %q\n", s.name, s.domain, s.peer, s.caller)
	}
	write(t, file, fmt.Sprintf(`[host]
name = %q
domain = %q
[listen]
caller = %q
peer = %q
admin = %q
[peers]
key = "0123456789abcdef"
%s
[platform]
url = "http://%s"
[topology]
[[topology.domain]]
name = "almaty-1"
region = "almaty"
[[topology.domain]]
name = "astana-1"
region = "astana"
[[topology.link]]
from = "almaty"
to = "astana"
capacity = "4Gbit/s"
[limits]
lookup_cache = "1s"
`, h.name, h.domain, h.caller, h.peer, h.admin, seeds, c.platformAddress))
	c.entries[h.name] = start(t, "entry", "--settings", file)
}

func write(t *testing.T, file, text string) {
	t.Helper()
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
}
