package steer

import (
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
)

// Times and sizes of the messages between entry hosts.
const (
	// beaconEvery is the shortest interval of the beacons to hosts of the same
	// failure domain, beaconFar of those to the other domains of the group. They
	// grow with the number of hosts, so that a host's cost does not, up to
	// beaconMost, of which peerLife holds three.
	beaconEvery   = 60 * time.Millisecond
	beaconFar     = 120 * time.Millisecond
	beaconPerHost = 10 * time.Millisecond
	beaconMost    = 350 * time.Millisecond
	// digestEvery is the interval of the digests to hosts of other groups.
	digestEvery = 300 * time.Millisecond
	// describeEvery is the interval at which beacons describe their host.
	describeEvery = time.Second
	maxDatagram   = 1400 // bytes, one packet
	// bufferDatagram takes datagrams that are larger than one packet.
	bufferDatagram = 64 << 10
)

// startPeers publishes this host, finds the others and exchanges beacons.
func (h *Host) startPeers(conn net.PacketConn) {
	udp := conn.(*net.UDPConn)
	h.udp = udp
	h.tomb.Go(func() error {
		<-h.tomb.Dying()
		return udp.Close()
	})
	h.tomb.Go(func() error { return h.hearDatagrams(udp) })
	var near, far, digest, nearFull, farFull time.Time
	h.every(beaconEvery, func(now time.Time) {
		h.updateView(now)
		pause := time.Duration(h.peers.groupSize()) * beaconPerHost
		// due reports whether an interval has passed since the time, which it then sets.
		due := func(last *time.Time, interval time.Duration) bool {
			if now.Sub(*last) < interval-beaconEvery/2 {
				return false
			}
			*last = now
			return true
		}
		if due(&near, min(max(pause, beaconEvery), beaconMost)) {
			h.sendBeacons(h.peers.targets(now, true), due(&nearFull, describeEvery))
		}
		if due(&far, min(max(pause, beaconFar), beaconMost)) {
			h.sendBeacons(h.peers.targets(now, false), due(&farFull, describeEvery))
		}
		if due(&digest, digestEvery) {
			h.sendDigest(now)
		}
		for _, name := range h.peers.silent(now, beaconEvery) {
			h.log.peerLost(name)
			h.eachPool(func(p *pool) { p.forget(now, name) })
		}
	})
	h.every(reportInterval, h.sendReports)
	h.every(expireInterval, h.expireFlights)
	h.every(stateLogInterval, h.logPools)
	h.tomb.Go(h.publish)
	h.tomb.Go(h.readHosts)
}

// sendBeacons tells hosts that this one lives. A full beacon describes it.
func (h *Host) sendBeacons(targets []netip.AddrPort, full bool) {
	now := time.Now()
	b := beacon{Leaving: h.leaving.Load(), Ready: h.ready(), Loads: map[string]int{}}
	if full || h.peers.joining(now) {
		b.Host = &h.self
	}
	dispatchers := h.view.Load().dispatchers
	loaded := map[string]bool{} // dispatchers of the pools with loads
	h.eachPool(func(p *pool) {
		before := len(b.Loads)
		if p.loads(dispatchers[p.name], b.Loads); len(b.Loads) > before {
			loaded[dispatchers[p.name]] = true
		}
	})
	h.follow.describe(now, &b)
	h.sendAll(append(targets, h.peers.outside(loaded)...), &datagram{Beacon: &b})
}

// sendDigest tells some hosts of other groups which members of the own one
// live.
func (h *Host) sendDigest(now time.Time) {
	seen, joined, to := h.peers.digest(now, h.leaving.Load(), h.ready())
	h.sendAll(to, &datagram{Digest: seen, Joined: joined})
}

// beaconNow tells the region of a change at once.
func (h *Host) beaconNow() {
	now := time.Now()
	h.sendBeacons(append(h.peers.targets(now, true), h.peers.targets(now, false)...), false)
}

// hearDatagrams handles what other hosts send, one datagram at a time.
func (h *Host) hearDatagrams(conn *net.UDPConn) error {
	buf := make([]byte, bufferDatagram)
	for {
		n, addr, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if h.tomb.Alive() {
				h.log.warn(err, "reading a datagram failed")
				continue
			}
			return nil
		}
		var d datagram
		if err := cbor.Unmarshal(buf[:n], &d); err != nil {
			h.log.warn(err, "malformed datagram")
			continue
		}
		if d.From != h.self.Name {
			h.handleDatagram(addr, &d)
		}
	}
}

func (h *Host) handleDatagram(addr netip.AddrPort, d *datagram) {
	before, known := h.peers.get(d.From)
	if !known && d.Beacon == nil && h.table.Load() == nil {
		// Another region sends reports here. It has tables, and the store may be away.
		h.sendBeacons([]netip.AddrPort{addr}, true)
	}
	if d.Completions != nil {
		h.handleCompletions(d.From, d.Completions)
	}
	if d.SlotRequest != nil {
		h.handleSlotRequest(d.From, addr, d.SlotRequest)
	}
	if d.SlotReply != nil {
		h.handleSlotReply(d.From, d.SlotReply)
	}
	if d.Report != nil {
		h.handleReport(d.From, d.Report)
	}
	for _, host := range d.Joined {
		if err := h.peers.meet(time.Now(), host); err != nil {
			h.log.warn(err, "digest ignored")
		}
	}
	if d.Digest != nil && h.peers.sight(time.Now(), d.Digest) {
		select {
		case h.hostsWanted <- struct{}{}:
		default: // already wanted
		}
	}
	if d.Beacon != nil {
		heard, err := h.peers.hear(time.Now(), d.From, d.Started, d.Beacon)
		if err != nil {
			h.log.warn(err, "beacon ignored")
			return
		}
		if !heard {
			// The sender learns of this host and then describes itself.
			h.sendBeacons([]netip.AddrPort{addr}, true)
			return
		}
		now := time.Now()
		if known && before.host.Started == d.Started && !before.heard.IsZero() && !before.alive(now) {
			h.log.peerRegained(d.From, now.Sub(before.heard))
		}
		if d.Beacon.Host != nil && d.Beacon.Host.Region != h.region {
			// Hosts of other regions send beacons only to learn of this one's copy.
			h.answerBeacon(addr, d)
			return
		}
		h.takeLoads(d.From, d.Beacon.Loads)
		if h.follow.follows(d.From) {
			h.fetch(time.Now(), d.From)
		}
	}
}

// answerBeacon answers a beacon of another region, which the answer ends.
func (h *Host) answerBeacon(addr netip.AddrPort, d *datagram) {
	if h.table.Load() != nil && d.Beacon.Versions[feed.Tables] == 0 {
		h.sendBeacons([]netip.AddrPort{addr}, true)
	}
}

// takeLoads gives each pool the requests in progress of another host.
func (h *Host) takeLoads(host string, loads map[string]int) {
	h.eachPool(func(p *pool) { p.peerLoad(host, loads) })
}
