// Package demo runs a whole system in one process on loopback: the platform
// stand-in, backend stand-ins and entry hosts, under a mixed load with planned
// changes and a failure, and checks the invariants.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/tamarackswitch/tamarackswitch/pkg/blocks"
	"github.com/tamarackswitch/tamarackswitch/pkg/entry"
	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/settings"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/backend"
	standin "github.com/tamarackswitch/tamarackswitch/pkg/standin/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/units"
)

// LookupCache is how long callers of the demonstration cache look-ups. It is
// short so that changes take effect within the demonstration.
const LookupCache = 500 * time.Millisecond

// Attempts to open the listeners of a restarted node.
const (
	restartTries = 50
	restartPause = 100 * time.Millisecond
)

// sharedKey authenticates the entry hosts of one cluster.
const sharedKey = "demonstration-shared-key"

// ClusterConfig describes a cluster.
type ClusterConfig struct {
	// Domains lists failure domains with their regions.
	Domains []settings.Domain
	// HostsPerDomain is the number of entry hosts in each domain.
	HostsPerDomain int
	// Links join the regions.
	Links []settings.Link
	// Pools lists the pools, which have servers in every domain.
	Pools []PoolConfig
	// Routes is the text of the routes table.
	Routes string
	// Log takes the log lines of all hosts; nil drops them.
	Log io.Writer
}

// PoolConfig describes a pool of the cluster.
type PoolConfig struct {
	Name             string
	ServersPerDomain int
	Slots            int
	Service          time.Duration
	// Paths holds other service times by path prefix.
	Paths map[string]time.Duration
}

// Node is one entry host of a cluster.
type Node struct {
	Settings *settings.Settings
	Host     *entry.Host
	// Running is false after the host was killed or shut down.
	Running bool
	// reserved are the open listeners of a node that has not started yet.
	reserved map[string]net.Listener
}

// BackendServer is a stand-in with its address.
type BackendServer struct {
	*backend.Server
	Address, Domain, Pool string
	Slots                 int
	http                  *http.Server
}

// Cluster is a running system.
type Cluster struct {
	Config   ClusterConfig
	Platform *standin.Server
	// PlatformURL is the address of the stand-in's object API.
	PlatformURL string
	Servers     []*BackendServer

	mu       sync.Mutex
	nodes    []*Node
	platform *http.Server
}

// StartCluster starts every part and returns once all entry hosts have tables
// in force or ctx ends.
func StartCluster(ctx context.Context, cfg ClusterConfig) (*Cluster, error) {
	c := &Cluster{Config: cfg}
	if err := c.startPlatform(ctx); err != nil {
		return nil, err
	}
	if err := c.startServers(ctx); err != nil {
		c.Close()
		return nil, err
	}
	if err := c.startNodes(); err != nil {
		c.Close()
		return nil, err
	}
	if err := c.waitReady(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, result.Wrap(err, result.ListenFailed, "loopback")
	}
	return l, nil
}

func serveHTTP(h http.Handler) (*http.Server, string, error) {
	l, err := listen()
	if err != nil {
		return nil, "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(l) }()
	return srv, l.Addr().String(), nil
}

func (c *Cluster) startPlatform(ctx context.Context) error {
	var err error
	if c.Platform, err = standin.New(standin.Options{}); err != nil {
		return result.Wrap(err, result.Internal, "platform stand-in")
	}
	var addr string
	if c.platform, addr, err = serveHTTP(c.Platform); err != nil {
		return err
	}
	c.PlatformURL = "http://" + addr
	return c.storeBlocks(ctx)
}

// storeBlocks gives each domain the client block 10.N.0.0/16.
func (c *Cluster) storeBlocks(ctx context.Context) error {
	var lines strings.Builder
	for i, d := range c.Config.Domains {
		fmt.Fprintf(&lines, "10.%d.0.0/16 site-%s %s\n", i+1, d.Name, d.Name)
	}
	m, err := blocks.Parse("blocks", strings.NewReader(lines.String()))
	if err != nil {
		return err
	}
	objects, err := blocks.Encode(m)
	if err != nil {
		return err
	}
	for _, o := range objects {
		if _, err := c.Platform.Put(ctx, o.Key, o.Value, 0); err != nil {
			return result.Wrap(err, result.PlatformDown, "store %s", o.Key)
		}
	}
	return nil
}

// ClientAddress returns an address in the client block of a domain.
func (c *Cluster) ClientAddress(domain int) string { return fmt.Sprintf("10.%d.0.1", domain+1) }

func (c *Cluster) startServers(ctx context.Context) error {
	for _, p := range c.Config.Pools {
		for _, d := range c.Config.Domains {
			for i := range p.ServersPerDomain {
				s := &BackendServer{Domain: d.Name, Pool: p.Name, Slots: p.Slots, Server: backend.New(backend.Config{
					Name: fmt.Sprintf("%s-%s-%d", p.Name, d.Name, i+1), Slots: p.Slots, Service: p.Service, Paths: p.Paths, Seed: uint64(len(c.Servers)),
				})}
				var err error
				if s.http, s.Address, err = serveHTTP(s); err != nil {
					return err
				}
				c.Servers = append(c.Servers, s)
			}
		}
	}
	for name, text := range map[string]string{"routes": c.Config.Routes, "pools": c.PoolsText("")} {
		if _, err := c.Platform.Put(ctx, platform.TablesPrefix+name, []byte(text), 0); err != nil {
			return result.Wrap(err, result.PlatformDown, "store table %s", name)
		}
	}
	return nil
}

// PoolsText returns the pools table with one server draining, if any.
func (c *Cluster) PoolsText(draining string) string {
	var b strings.Builder
	for _, p := range c.Config.Pools {
		fmt.Fprintf(&b, "[[pool]]\nname = %q\nteam = \"demo\"\nslots = %d\nwarm_up = \"5s\"\nservers = [\n", p.Name, p.Slots)
		for _, s := range c.Servers {
			if s.Pool == p.Name {
				fmt.Fprintf(&b, "  { address = %q, domain = %q, drain = %t },\n", s.Address, s.Domain, s.Address == draining)
			}
		}
		b.WriteString("]\n\n")
	}
	return b.String()
}

func (c *Cluster) startNodes() error {
	for _, d := range c.Config.Domains {
		for i := range c.Config.HostsPerDomain {
			n, err := c.newNode(fmt.Sprintf("%s-%c", d.Name, 'a'+i), d.Name)
			if err != nil {
				return err
			}
			c.nodes = append(c.nodes, n)
		}
	}
	var seeds []settings.Seed
	for _, n := range c.nodes {
		s := n.Settings
		seeds = append(seeds, settings.Seed{Name: s.Host.Name, Domain: s.Host.Domain, Peer: s.Listen.Peer, Caller: s.Listen.Caller})
	}
	for _, n := range c.nodes {
		n.Settings.Peers.Seeds = seeds
		if err := c.startNode(n); err != nil {
			return err
		}
	}
	return nil
}

// newNode reserves the listeners of a node and makes its settings.
func (c *Cluster) newNode(name, domain string) (*Node, error) {
	n := &Node{reserved: map[string]net.Listener{}}
	text := fmt.Sprintf("[host]\nname = %q\ndomain = %q\n[peers]\nkey = %q\n[platform]\nurl = %q\n", name, domain, sharedKey, c.PlatformURL)
	var addrs []string
	for range 3 {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, l.Addr().String())
		n.reserved[l.Addr().String()] = l
	}
	text += fmt.Sprintf("[listen]\ncaller = %q\npeer = %q\nadmin = %q\n", addrs[0], addrs[1], addrs[2])
	text += "[topology]\nmax_hosts = 32\n"
	for _, d := range c.Config.Domains {
		text += fmt.Sprintf("[[topology.domain]]\nname = %q\nregion = %q\n", d.Name, d.Region)
	}
	s, err := settings.Parse(name, []byte(text))
	if err != nil {
		return nil, err
	}
	s.Topology.Links = c.Config.Links
	s.Limits.LookupCacheTTL = units.Duration(LookupCache)
	n.Settings = s
	return n, nil
}

// startNode runs a new process incarnation of a node.
func (c *Cluster) startNode(n *Node) error {
	store, err := platform.NewClient(platform.ClientOptions{Address: c.PlatformURL, Timeout: n.Settings.Platform.Timeout.Std()})
	if err != nil {
		return result.Wrap(err, result.SettingsInvalid, "platform address")
	}
	out := c.Config.Log
	if out == nil {
		out = io.Discard
	}
	logger := &log.Logger{Level: log.InfoLevel, TimeFormat: log.TimeFormatUnixMs, Writer: &log.IOWriter{Writer: out}}
	h, err := entry.New(n.Settings, store, logger)
	if err != nil {
		return err
	}
	for addr, l := range n.reserved {
		h.UseListener(addr, l)
	}
	n.reserved = nil
	if err := h.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n.Host, n.Running = h, true
	return nil
}

func (c *Cluster) waitReady(ctx context.Context) error {
	for {
		ready := true
		for _, n := range c.Nodes() {
			s := n.Host.Status()
			ready = ready && s.RoutesVersion > 0 && s.PoolsVersion > 0
		}
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return result.New(result.TableNotLoaded, "the entry hosts had no tables in time")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Nodes returns the running nodes.
func (c *Cluster) Nodes() []*Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Node
	for _, n := range c.nodes {
		if n.Running {
			out = append(out, n)
		}
	}
	return out
}

// Seeds returns the caller addresses of all running nodes.
func (c *Cluster) Seeds() []string {
	var out []string
	for _, n := range c.Nodes() {
		out = append(out, n.Settings.Listen.Caller)
	}
	return out
}

func (c *Cluster) take(name string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n.Settings.Host.Name == name && n.Running {
			n.Running = false
			return n
		}
	}
	return nil
}

// Kill stops a node at once, as a crash does: nothing is announced and all its
// connections end.
func (c *Cluster) Kill(name string) {
	if n := c.take(name); n != nil {
		_ = n.Host.Stop()
	}
}

// Shutdown shuts a node down gracefully.
func (c *Cluster) Shutdown(ctx context.Context, name string) error {
	if n := c.take(name); n != nil {
		return n.Host.Shutdown(ctx)
	}
	return nil
}

// Restart starts a node again that was killed or shut down.
func (c *Cluster) Restart(name string) error {
	c.mu.Lock()
	var node *Node
	for _, n := range c.nodes {
		if n.Settings.Host.Name == name && !n.Running {
			node = n
		}
	}
	c.mu.Unlock()
	if node == nil {
		return result.New(result.HostUnreachable, "no stopped node is called %q", name)
	}
	// A connection of this process may use the port for a moment.
	var err error
	for range restartTries {
		if err = c.startNode(node); result.CodeOf(err) != result.ListenFailed {
			return err
		}
		time.Sleep(restartPause)
	}
	return err
}

// Close ends everything at once.
func (c *Cluster) Close() {
	for _, n := range c.Nodes() {
		c.Kill(n.Settings.Host.Name)
	}
	for _, s := range c.Servers {
		_ = s.http.Close()
	}
	if c.platform != nil {
		_ = c.platform.Close()
	}
}
