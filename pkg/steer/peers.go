package steer

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// Times and sizes of the messages between entry hosts.
const (
	// beaconEvery is the interval of the beacons to hosts of the same failure
	// domain, beaconFar of those to the other domains of the region.
	beaconEvery = 60 * time.Millisecond
	beaconFar   = 120 * time.Millisecond
	// peerLife is the time without a beacon after which a host counts as gone.
	peerLife  = 1200 * time.Millisecond
	maxBeacon = 1400 // bytes, one packet
	// hostsFirst and hostsMost bound the interval at which the published hosts
	// are read; beacons tell of new hosts at once.
	hostsFirst = 400 * time.Millisecond
	hostsMost  = 10 * time.Second
	// forgetAfter is how long a silent host is kept in the list.
	forgetAfter = 30 * time.Second
)

// beacon tells the other hosts of the region that this one lives, and what it
// has in progress.
type beacon struct {
	Host    fleet.EntryHost `cbor:"1,keyasint"`
	Leaving bool            `cbor:"2,keyasint"`
	Ready   bool            `cbor:"3,keyasint"`
	// Loads are the requests in progress by server.
	Loads map[string]int `cbor:"4,keyasint,omitempty"`
	// Watching, AgeMS and Versions describe the host's copy of the store.
	Watching bool              `cbor:"5,keyasint,omitempty"`
	AgeMS    uint32            `cbor:"6,keyasint"`
	Versions [feed.Kinds]int64 `cbor:"7,keyasint"`
}

// peerState is what is known of another host.
type peerState struct {
	host    fleet.EntryHost
	addr    netip.AddrPort
	heard   time.Time // zero until a beacon arrived
	leaving bool
	ready   bool
	// watching, age and versions describe its copy of the store when heard.
	watching bool
	age      time.Duration
	versions [feed.Kinds]int64
}

func (p *peerState) alive(now time.Time) bool { return now.Sub(p.heard) < peerLife }

// peers is the list of entry hosts.
type peers struct {
	self fleet.EntryHost

	// region counts the live hosts of the region; it is kept because every
	// choice of a server asks for it.
	region atomic.Int32

	mu    sync.RWMutex
	hosts map[string]*peerState
}

func newPeers(self fleet.EntryHost) *peers {
	return &peers{self: self, hosts: map[string]*peerState{}}
}

// add records a host that was published or heard.
func (p *peers) add(h fleet.EntryHost) {
	addr, err := netip.ParseAddrPort(h.Peer)
	if err != nil || h.Name == p.self.Name {
		return // a malformed entry names no host
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.hosts[h.Name]
	if known == nil || known.host.Started < h.Started {
		p.hosts[h.Name] = &peerState{host: h, addr: addr}
	}
}

// hear records a beacon.
func (p *peers) hear(now time.Time, b *beacon) {
	p.add(b.Host)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.hosts[b.Host.Name]
	if s == nil || s.host.Started > b.Host.Started {
		return
	}
	s.heard, s.leaving, s.ready = now, b.Leaving, b.Ready
	s.watching, s.age, s.versions = b.Watching, time.Duration(b.AgeMS)*time.Millisecond, b.Versions
}

// copies returns the copies of the store of the region's other hosts.
func (p *peers) copies(now time.Time) []feed.Copy {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []feed.Copy
	for name, s := range p.hosts {
		if s.alive(now) && !s.leaving {
			out = append(out, feed.Copy{Host: name, Watching: s.watching, Age: s.age + now.Sub(s.heard)})
		}
	}
	return out
}

// get returns what is known of a host.
func (p *peers) get(name string) (peerState, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if s := p.hosts[name]; s != nil {
		return *s, true
	}
	return peerState{}, false
}

// count returns the number of known hosts, this one included.
func (p *peers) count() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.hosts) + 1
}

// live returns the hosts of the own region that were heard lately and take
// callers, this one not included.
func (p *peers) live(now time.Time) []fleet.EntryHost {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []fleet.EntryHost
	for _, s := range p.hosts {
		if s.alive(now) && s.ready && !s.leaving {
			out = append(out, s.host)
		}
	}
	return out
}

// regionCount returns the number of live hosts of the own region, this one
// included.
func (p *peers) regionCount() int { return int(p.region.Load()) + 1 }

// owns reports whether this host is the one that sends to a cold server: one
// host of the server's failure domain, or of its region if the domain has none.
func (p *peers) owns(server, domain string) bool {
	now := time.Now()
	names, region := []string{}, []string{p.self.Name}
	if p.self.Domain == domain {
		names = append(names, p.self.Name)
	}
	for _, h := range p.live(now) {
		region = append(region, h.Name)
		if h.Domain == domain {
			names = append(names, h.Name)
		}
	}
	if len(names) == 0 {
		names = region
	}
	return rendezvous.Pick(server, names) == p.self.Name
}

// targets returns the addresses for the beacons of one kind.
func (p *peers) targets(now time.Time, near bool) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []netip.AddrPort
	for name, s := range p.hosts {
		if s.host.Region != p.self.Region || (s.host.Domain == p.self.Domain) != near {
			continue
		}
		if !s.heard.IsZero() && now.Sub(s.heard) > forgetAfter {
			delete(p.hosts, name)
			continue
		}
		out = append(out, s.addr)
	}
	return out
}

// silent returns the hosts that have just become silent.
func (p *peers) silent(now time.Time, since time.Duration) []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []string
	for name, s := range p.hosts {
		if silence := now.Sub(s.heard) - peerLife; !s.heard.IsZero() && silence >= 0 && silence < since {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// startPeers publishes this host, finds the others and exchanges beacons.
func (h *Host) startPeers(conn net.PacketConn) {
	udp := conn.(*net.UDPConn)
	h.udp = udp
	h.tomb.Go(func() error {
		<-h.tomb.Dying()
		return udp.Close()
	})
	h.tomb.Go(func() error { return h.hearBeacons(udp) })
	h.every(beaconEvery, func(now time.Time) {
		h.sendBeacons(udp, h.peers.targets(now, true))
		h.peers.region.Store(int32(len(h.peers.live(now))))
		for _, name := range h.peers.silent(now, beaconEvery) {
			h.log.peerLost(name)
			h.eachPool(func(p *pool) { p.peerLoad(name, nil) })
		}
	})
	h.every(beaconFar, func(now time.Time) { h.sendBeacons(udp, h.peers.targets(now, false)) })
	h.tomb.Go(h.publish)
	h.tomb.Go(h.readHosts)
}

func (h *Host) sendBeacons(conn *net.UDPConn, targets []netip.AddrPort) {
	if len(targets) == 0 {
		return
	}
	b := beacon{Host: h.self, Leaving: h.leaving.Load(), Ready: h.ready(), Loads: map[string]int{}}
	h.eachPool(func(p *pool) { p.loads(b.Loads) })
	h.follow.describe(time.Now(), &b)
	raw, err := cbor.Marshal(&b)
	if err == nil && len(raw) > maxBeacon {
		b.Loads = nil
		raw, err = cbor.Marshal(&b)
	}
	if err != nil {
		h.log.warn(err, "beacon could not be encoded")
		return
	}
	for _, t := range targets {
		// A lost beacon is made up for by the next one.
		_, _ = conn.WriteToUDPAddrPort(raw, t)
	}
}

// beaconNow tells the region of a change at once.
func (h *Host) beaconNow() {
	now := time.Now()
	h.sendBeacons(h.udp, append(h.peers.targets(now, true), h.peers.targets(now, false)...))
}

func (h *Host) hearBeacons(conn *net.UDPConn) error {
	buf := make([]byte, 2*maxBeacon)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if h.tomb.Alive() {
				h.log.warn(err, "reading a beacon failed")
				continue
			}
			return nil
		}
		var b beacon
		if err := cbor.Unmarshal(buf[:n], &b); err != nil {
			h.log.warn(err, "malformed beacon")
			continue
		}
		if b.Host.Name == h.self.Name {
			continue
		}
		h.peers.hear(time.Now(), &b)
		h.takeLoads(b.Host.Name, b.Loads)
		if h.follow.follows(b.Host.Name) {
			h.fetch(time.Now(), b.Host.Name)
		}
	}
}

// takeLoads gives each pool the requests in progress of another host.
func (h *Host) takeLoads(host string, loads map[string]int) {
	h.eachPool(func(p *pool) { p.peerLoad(host, loads) })
}

func (h *Host) eachPool(fn func(*pool)) {
	h.poolsMu.RLock()
	defer h.poolsMu.RUnlock()
	for _, p := range h.pools {
		fn(p)
	}
}

// publish registers this host until the store has accepted it.
func (h *Host) publish() error {
	ctx := h.tomb.Context(context.Background())
	for pause := hostsFirst; ; pause = min(2*pause, hostsMost) {
		err := h.source.Register(ctx, h.self)
		if err == nil || !h.tomb.Alive() {
			return nil
		}
		h.log.warn(err, "this host could not be published")
		if !h.pause(pause) {
			return nil
		}
	}
}

// readHosts reads the published hosts, less often as time passes.
func (h *Host) readHosts() error {
	ctx := h.tomb.Context(context.Background())
	for pause := hostsFirst; h.pause(pause); pause = min(2*pause, hostsMost) {
		hosts, err := h.source.Hosts(ctx)
		if err != nil {
			h.log.warn(err, "the published hosts could not be read")
			continue
		}
		for _, host := range hosts {
			h.peers.add(host)
		}
	}
	return nil
}

// pause waits for d and reports whether the host is still alive.
func (h *Host) pause(d time.Duration) bool {
	select {
	case <-h.tomb.Dying():
		return false
	case <-time.After(d):
		return true
	}
}
