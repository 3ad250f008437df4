// Package settings reads the static settings of an entry host from TOML. The
// tables that operators edit at run time are in package tables.
package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
	"github.com/tamarackswitch/tamarackswitch/pkg/units"
)

// Settings holds the static settings of one entry host.
type Settings struct {
	Host     Host     `toml:"host"`
	Listen   Listen   `toml:"listen"`
	Peers    Peers    `toml:"peers"`
	Platform Platform `toml:"platform"`
	Topology Topology `toml:"topology"`
	Limits   Limits   `toml:"limits"`
	Admin    Admin    `toml:"admin"`
	Log      Log      `toml:"log"`
}

// Host identifies this entry host.
type Host struct {
	// Name is unique among all entry hosts and consists of lower-case letters,
	// digits and hyphens.
	Name string `toml:"name"`
	// Domain is the host's failure domain, one of topology.domain.
	Domain string `toml:"domain"`
}

// Listen holds the addresses of the listeners, each an IP address and port.
type Listen struct {
	// Caller serves look-ups, requests and relayed requests.
	Caller string `toml:"caller"`
	// Peer serves the connections between entry hosts.
	Peer string `toml:"peer"`
	// Admin serves the administration API and the metrics.
	Admin string `toml:"admin"`
}

// Peers describes the other entry hosts.
type Peers struct {
	// Key is the secret shared by all entry hosts, at least 16 bytes.
	Key string `toml:"key"`
	// KeyFile is a file that contains the key; it takes precedence over Key.
	KeyFile string `toml:"key_file"`
	// Seeds are the entry hosts to contact when joining; one live seed is enough.
	Seeds []Seed `toml:"seed"`
}

// Seed is an entry host whose addresses are configured.
type Seed struct {
	Name   string `toml:"name"`
	Domain string `toml:"domain"`
	// Peer and Caller are the addresses of the seed's listeners.
	Peer   string `toml:"peer"`
	Caller string `toml:"caller"`
}

// Platform configures access to the platform's object API.
type Platform struct {
	// URL is the address of the object API; its host is an IP address.
	URL   string `toml:"url"`
	Token string `toml:"token"`
	// Timeout bounds one call; default 2s.
	Timeout units.Duration `toml:"timeout"`
}

// Topology lists the failure domains with their regions, and the network links
// between regions.
type Topology struct {
	Domains []Domain `toml:"domain"`
	Links   []Link   `toml:"link"`
	// MaxHosts is the largest number of entry hosts that may share a link;
	// default 32. The static floor of each host, its guaranteed share, is half of
	// the link's capacity divided by MaxHosts.
	MaxHosts int `toml:"max_hosts"`
}

// Domain is a failure domain and the region it belongs to.
type Domain struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// Link is a network link between two regions. Capacity applies to each direction.
type Link struct {
	From     string        `toml:"from"`
	To       string        `toml:"to"`
	Capacity units.BitRate `toml:"capacity"`
	// RoundTrip is the round-trip time between the two regions; default 35ms.
	RoundTrip units.Duration `toml:"round_trip"`
}

// Limits bounds the resources that one entry host uses.
type Limits struct {
	// MaxHead is the maximum size of a request head; default 16KiB.
	MaxHead units.Size `toml:"max_head"`
	// HeadTimeout is the timeout for receiving a request head; default 5s.
	HeadTimeout units.Duration `toml:"read_header"`
	// BodyIdleTimeout is the maximum time without receiving a byte of a request
	// body; default 5s.
	BodyIdleTimeout units.Duration `toml:"read_body"`
	// Memory is the memory of the process; 0 means that of the machine or of the control
	// group. Descriptors is the maximum number of open descriptors; 0 means the limit of
	// the process. Both are divided among clients and servers.
	Memory      units.Size `toml:"memory"`
	Descriptors int        `toml:"descriptors"`
	// MaxRequests is the maximum number of concurrent requests; default 10000.
	MaxRequests int `toml:"requests"`
	// LookupCacheTTL is how long a caller may cache a look-up answer; default 10s.
	LookupCacheTTL units.Duration `toml:"lookup_cache"`
	// KeyMemory is the memory limit for records of idempotency keys; default 64MiB.
	KeyMemory units.Size `toml:"key_memory"`
	// KeyCreatesPerSecond is the maximum number of platform records per second
	// that all entry hosts together create for opaque idempotency keys, which
	// have no owner prefix; default 150.
	KeyCreatesPerSecond float64 `toml:"key_creates"`
	// ShutdownGrace bounds how long a graceful shutdown waits for requests in
	// flight once cached look-up answers have expired; default 60s.
	ShutdownGrace units.Duration `toml:"shutdown_grace"`
}

// Admin configures the administration API.
type Admin struct {
	Tokens []Token `toml:"token"`
}

// Token is a bearer token that permits changes to the rows of its teams.
type Token struct {
	Name   string `toml:"name"`
	Secret string `toml:"secret"`
	// Teams are the names of the teams; "*" stands for every team.
	Teams []string `toml:"teams"`
}

// Log configures the JSON log on standard error.
type Log struct {
	// Level is the minimum level: debug, info, warn or error; default info.
	Level string `toml:"level"`
	// LinesPerSecond is the maximum number of log lines per second; default 200.
	LinesPerSecond int `toml:"rate"`
}

// Defaults of optional settings; the comments on the corresponding fields describe
// the settings.
const (
	DefaultPlatformTimeout     = 2 * time.Second
	DefaultMaxHosts            = 32
	DefaultRoundTrip           = 35 * time.Millisecond
	DefaultMaxHeadBytes        = 16 << 10
	DefaultHeadTimeout         = 5 * time.Second
	DefaultBodyIdleTimeout     = 5 * time.Second
	DefaultMaxRequests         = 10000
	DefaultLookupCacheTTL      = 10 * time.Second
	DefaultKeyMemoryBytes      = 64 << 20
	DefaultKeyCreatesPerSecond = 150
	DefaultShutdownGrace       = 60 * time.Second
	DefaultLogLevel            = "info"
	DefaultLogLinesPerSecond   = 200

	// minSecretBytes is the minimum length of peers.key and of a token's secret.
	minSecretBytes = 16
)

// Load reads and checks a settings file. The error is a *result.Error with
// code SettingsInvalid.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, result.New(result.SettingsInvalid, "%v", err)
	}
	return Parse(file, text)
}

// Parse decodes and checks the text of a settings file. file is its name in
// error messages.
func Parse(file string, text []byte) (*Settings, error) {
	s := &Settings{}
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, result.New(result.SettingsInvalid, "%s", tables.DescribeTOML(file, err))
	}
	if err := s.readKeyFile(); err != nil {
		return nil, result.New(result.SettingsInvalid, "%s: peers.key_file: %v", file, err)
	}
	s.setDefaults()
	if err := s.check(); err != nil {
		return nil, result.New(result.SettingsInvalid, "%s: %v", file, err)
	}
	return s, nil
}

func (s *Settings) readKeyFile() error {
	if s.Peers.KeyFile == "" {
		return nil
	}
	key, err := os.ReadFile(s.Peers.KeyFile)
	if err != nil {
		return err
	}
	s.Peers.Key = string(bytes.TrimSpace(key))
	return nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *Settings) setDefaults() {
	setDefault(&s.Platform.Timeout, units.Duration(DefaultPlatformTimeout))
	setDefault(&s.Topology.MaxHosts, DefaultMaxHosts)
	for i := range s.Topology.Links {
		setDefault(&s.Topology.Links[i].RoundTrip, units.Duration(DefaultRoundTrip))
	}
	l := &s.Limits
	setDefault(&l.MaxHead, DefaultMaxHeadBytes)
	setDefault(&l.HeadTimeout, units.Duration(DefaultHeadTimeout))
	setDefault(&l.BodyIdleTimeout, units.Duration(DefaultBodyIdleTimeout))
	setDefault(&l.MaxRequests, DefaultMaxRequests)
	setDefault(&l.LookupCacheTTL, units.Duration(DefaultLookupCacheTTL))
	setDefault(&l.KeyMemory, DefaultKeyMemoryBytes)
	setDefault(&l.KeyCreatesPerSecond, DefaultKeyCreatesPerSecond)
	setDefault(&l.ShutdownGrace, units.Duration(DefaultShutdownGrace))
	setDefault(&s.Log.Level, DefaultLogLevel)
	setDefault(&s.Log.LinesPerSecond, DefaultLogLinesPerSecond)
}

// namePattern matches valid names of hosts, failure domains and regions, of 1 to
// 63 characters.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

func (s *Settings) check() error {
	for _, check := range []func() error{
		s.checkHost, s.checkListeners, s.checkPeers, s.checkPlatform, s.checkTopology, s.checkLimits, s.checkAdmin,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkHost() error {
	if !namePattern.MatchString(s.Host.Name) {
		return fmt.Errorf("host.name: %q is not lower-case letters, digits and hyphens", s.Host.Name)
	}
	if s.RegionOf(s.Host.Domain) == "" {
		return fmt.Errorf("host.domain: %q is not a topology.domain", s.Host.Domain)
	}
	return nil
}

func (s *Settings) checkListeners() error {
	for _, l := range []struct{ field, addr string }{
		{"listen.caller", s.Listen.Caller}, {"listen.peer", s.Listen.Peer}, {"listen.admin", s.Listen.Admin},
	} {
		if err := checkAddress(l.field, l.addr); err != nil {
			return err
		}
	}
	return s.checkSameIP("listen", s.Listen.Peer, s.Listen.Caller)
}

// checkSameIP requires the same IP address for the peer and caller listeners of
// a host, because hosts announce one IP address with two ports to each other.
func (s *Settings) checkSameIP(field, peer, caller string) error {
	p, c := netip.MustParseAddrPort(peer), netip.MustParseAddrPort(caller)
	if p.Addr() != c.Addr() {
		return fmt.Errorf("%s: peer %q and caller %q have different IP numbers", field, peer, caller)
	}
	if p.Addr().IsUnspecified() {
		return fmt.Errorf("%s: %q is announced to other hosts and must be a concrete IP number", field, peer)
	}
	return nil
}

func checkAddress(field, addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fmt.Errorf("%s: %q is not an IP number and port", field, addr)
	}
	return nil
}

func (s *Settings) checkPeers() error {
	if len(s.Peers.Key) < minSecretBytes {
		return fmt.Errorf("peers.key: has %d characters, the minimum is %d", len(s.Peers.Key), minSecretBytes)
	}
	for i, seed := range s.Peers.Seeds {
		if s.RegionOf(seed.Domain) == "" {
			return fmt.Errorf("peers.seed %d: domain: %q is not a topology.domain", i+1, seed.Domain)
		}
		field := fmt.Sprintf("peers.seed %d", i+1)
		if !namePattern.MatchString(seed.Name) {
			return fmt.Errorf("%s: name: %q is not lower-case letters, digits and hyphens", field, seed.Name)
		}
		if err := checkAddress(field+": peer", seed.Peer); err != nil {
			return err
		}
		if err := checkAddress(field+": caller", seed.Caller); err != nil {
			return err
		}
		if err := s.checkSameIP(field, seed.Peer, seed.Caller); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkPlatform() error {
	u, err := url.Parse(s.Platform.URL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("platform.url: %q is not a URL such as \"http://10.1.0.5:7900\"", s.Platform.URL)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return fmt.Errorf("platform.url: the host of %q is not an IP number", s.Platform.URL)
	}
	return nil
}

func (s *Settings) checkTopology() error {
	seen := map[string]bool{}
	for _, d := range s.Topology.Domains {
		if !namePattern.MatchString(d.Name) || !namePattern.MatchString(d.Region) {
			return fmt.Errorf("topology.domain: name %q and region %q must be lower-case letters, digits and hyphens", d.Name, d.Region)
		}
		if seen[d.Name] {
			return fmt.Errorf("topology.domain: %q is listed twice", d.Name)
		}
		seen[d.Name] = true
	}
	for _, l := range s.Topology.Links {
		if !s.hasRegion(l.From) || !s.hasRegion(l.To) || l.From == l.To {
			return fmt.Errorf("topology.link: %q to %q does not join two regions", l.From, l.To)
		}
		if l.Capacity <= 0 {
			return fmt.Errorf("topology.link: %q to %q has no capacity", l.From, l.To)
		}
	}
	return nil
}

// Lower bounds of the limits: less does not suffice to serve.
const (
	minMemoryBytes = 32 << 20
	minDescriptors = 128
)

func (s *Settings) checkLimits() error {
	if s.Topology.MaxHosts < 1 {
		return fmt.Errorf("topology.max_hosts: %d is less than 1", s.Topology.MaxHosts)
	}
	if s.Limits.MaxRequests < 1 {
		return fmt.Errorf("limits.requests: %d is less than 1", s.Limits.MaxRequests)
	}
	if m := s.Limits.Memory; m != 0 && m < minMemoryBytes {
		return fmt.Errorf("limits.memory: %d bytes are less than %d", m, minMemoryBytes)
	}
	if d := s.Limits.Descriptors; d != 0 && d < minDescriptors {
		return fmt.Errorf("limits.descriptors: %d is less than %d", d, minDescriptors)
	}
	if s.Limits.KeyCreatesPerSecond < 0 {
		return fmt.Errorf("limits.key_creates: %v is negative", s.Limits.KeyCreatesPerSecond)
	}
	if s.Log.LinesPerSecond < 1 {
		return fmt.Errorf("log.rate: %d is less than 1", s.Log.LinesPerSecond)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		return fmt.Errorf("log.level: %q is not one of debug, info, warn, error", s.Log.Level)
	}
	return nil
}

func (s *Settings) checkAdmin() error {
	for _, t := range s.Admin.Tokens {
		if t.Name == "" || len(t.Secret) < minSecretBytes || len(t.Teams) == 0 {
			return fmt.Errorf("admin.token %q: needs a name, a secret of at least %d characters and teams", t.Name, minSecretBytes)
		}
	}
	addr := netip.MustParseAddrPort(s.Listen.Admin)
	if !addr.Addr().IsLoopback() && len(s.Admin.Tokens) == 0 {
		return fmt.Errorf("listen.admin: %q is not a loopback address, which needs at least one admin.token", s.Listen.Admin)
	}
	return nil
}

// RegionOf returns the region of a failure domain, or "" if it is unknown.
func (s *Settings) RegionOf(domain string) string {
	for _, d := range s.Topology.Domains {
		if d.Name == domain {
			return d.Region
		}
	}
	return ""
}

func (s *Settings) hasRegion(region string) bool {
	return slices.ContainsFunc(s.Topology.Domains, func(d Domain) bool { return d.Region == region })
}
