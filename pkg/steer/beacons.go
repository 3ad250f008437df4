package steer

import (
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
)

const (
	// minNearBeaconInterval is the shortest interval between beacons to hosts of
	// the same failure domain, and the period of the loop that sends beacons and
	// digests.
	minNearBeaconInterval = 60 * time.Millisecond
	// minFarBeaconInterval is the shortest interval between beacons to hosts of
	// the group in other failure domains.
	minFarBeaconInterval = 120 * time.Millisecond
	// beaconIntervalPerHost is multiplied by the size of the group: both beacon
	// intervals grow with the number of hosts, so that a host's cost does not.
	beaconIntervalPerHost = 10 * time.Millisecond
	// maxBeaconInterval bounds both beacon intervals. Three such intervals fit into
	// peerTimeout.
	maxBeaconInterval = 350 * time.Millisecond
	// digestInterval is the interval between digests to hosts of other groups.
	digestInterval = 300 * time.Millisecond
	// describeInterval is the interval at which beacons include the description
	// of their sender.
	describeInterval = time.Second
	// maxDatagramBytes is the size up to which a datagram fits into one packet.
	maxDatagramBytes = 1400
	// receiveBufferBytes is the size of the receive buffer, which also holds
	// datagrams that are larger than one packet.
	receiveBufferBytes = 64 << 10
)

// startPeers starts the goroutines that exchange datagrams with other entry hosts,
// register this host in the store, read the published hosts, expire placed
// requests whose end was not reported, and log the state of the pools.
func (h *Host) startPeers(conn net.PacketConn) {
	udp := conn.(*net.UDPConn)
	h.udp = udp
	h.tomb.Go(func() error {
		<-h.tomb.Dying()
		return udp.Close()
	})
	h.tomb.Go(func() error { return h.receiveDatagrams(udp) })
	var lastNear, lastFar, lastDigest, lastNearFull, lastFarFull time.Time
	h.runEvery(minNearBeaconInterval, func(now time.Time) {
		h.updateView(now)
		groupInterval := time.Duration(h.peers.groupSize()) * beaconIntervalPerHost
		// due reports whether interval has passed since *last, to within half a
		// period of this loop, and sets *last to now if so.
		due := func(last *time.Time, interval time.Duration) bool {
			if now.Sub(*last) < interval-minNearBeaconInterval/2 {
				return false
			}
			*last = now
			return true
		}
		if due(&lastNear, min(max(groupInterval, minNearBeaconInterval), maxBeaconInterval)) {
			h.sendBeacons(h.peers.beaconTargets(now, true), due(&lastNearFull, describeInterval))
		}
		if due(&lastFar, min(max(groupInterval, minFarBeaconInterval), maxBeaconInterval)) {
			h.sendBeacons(h.peers.beaconTargets(now, false), due(&lastFarFull, describeInterval))
		}
		if due(&lastDigest, digestInterval) {
			h.sendDigest(now)
		}
		for _, name := range h.peers.newlySilent(now, minNearBeaconInterval) {
			h.log.peerLost(name)
			h.eachPool(func(p *pool) { p.forgetHost(now, name) })
		}
	})
	h.runEvery(reportInterval, h.sendReports)
	h.runEvery(expireInterval, h.expireInFlight)
	h.runEvery(stateLogInterval, h.logPools)
	h.tomb.Go(h.publish)
	h.tomb.Go(h.readHosts)
}

// sendBeacons sends a beacon to the targets, and to dispatchers outside the group
// for whose pools the beacon has loads. The beacon includes the description of
// this host if full is set or a host of the region is new.
func (h *Host) sendBeacons(targets []netip.AddrPort, full bool) {
	now := time.Now()
	b := beacon{Leaving: h.leaving.Load(), Ready: h.ready(), Loads: map[string]int{}}
	if full || h.peers.recentJoin(now) {
		b.Host = &h.self
	}
	dispatchers := h.view.Load().dispatchers
	loadedDispatchers := map[string]bool{} // dispatchers of the pools with entries in b.Loads
	h.eachPool(func(p *pool) {
		countBefore := len(b.Loads)
		if p.addLoads(dispatchers[p.name], b.Loads); len(b.Loads) > countBefore {
			loadedDispatchers[dispatchers[p.name]] = true
		}
	})
	h.feeds.describe(now, h.tableVersion(), &b)
	h.sendAll(append(targets, h.peers.addressesOutsideGroup(loadedDispatchers)...), &datagram{Beacon: &b})
}

// sendDigest sends the live members of this host's group to its share of the hosts
// of other groups.
func (h *Host) sendDigest(now time.Time) {
	sightings, joined, receivers := h.peers.digest(now, h.leaving.Load(), h.ready())
	h.sendAll(receivers, &datagram{Digest: sightings, Joined: joined})
}

// sendBeaconsNow sends beacons to the whole group at once, outside the regular
// intervals, because something has changed.
func (h *Host) sendBeaconsNow() {
	now := time.Now()
	h.sendBeacons(append(h.peers.beaconTargets(now, true), h.peers.beaconTargets(now, false)...), false)
}

// receiveDatagrams reads the datagrams of other hosts and handles one at a time.
func (h *Host) receiveDatagrams(conn *net.UDPConn) error {
	buf := make([]byte, receiveBufferBytes)
	for {
		n, addr, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if h.tomb.Alive() {
				h.log.warn(err, "could not read a datagram")
				continue
			}
			return nil
		}
		var d datagram
		if err := decodeDatagram(buf[:n], &d); err != nil {
			h.metrics.malformedMessages.Inc()
			h.log.warn(err, "malformed datagram ignored")
			continue
		}
		if d.From != h.self.Name {
			h.protect("datagram", func() { h.handleDatagram(addr, &d) })
		}
	}
}

func decodeDatagram(raw []byte, d *datagram) error {
	if err := cbor.Unmarshal(raw, d); err != nil {
		return errors.Trace(err)
	}
	return d.check()
}

// handleDatagram handles each part of a datagram that is present.
func (h *Host) handleDatagram(addr netip.AddrPort, d *datagram) {
	before, known := h.peers.get(d.From)
	if !known && d.Beacon == nil && h.table.Load() == nil {
		// The datagram may be a load report from a host of another region, which has
		// tables. This host has none and may not reach the store. The sender answers
		// the beacon with its own, which contains its versions; see answerBeacon.
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
		if err := h.peers.addDescribed(time.Now(), host); err != nil {
			h.log.warn(err, "entry host in a digest ignored")
		}
	}
	if d.Digest != nil && h.peers.applyDigest(time.Now(), d.Digest) {
		h.requestHosts()
	}
	if d.Beacon != nil {
		processKnown, err := h.peers.recordBeacon(time.Now(), d.From, d.StartedMS, d.Beacon)
		if err != nil {
			h.log.warn(err, "beacon ignored")
			return
		}
		if !processKnown {
			// This host lacks the description of the sender's process. The beacon tells
			// the sender about this host, so that the sender's next beacons describe
			// the sender.
			h.sendBeacons([]netip.AddrPort{addr}, true)
			return
		}
		now := time.Now()
		if known && before.host.StartedMS == d.StartedMS && !before.heardAt.IsZero() && !before.alive(now) {
			h.log.peerRegained(d.From, now.Sub(before.heardAt))
		}
		if d.Beacon.Host != nil && d.Beacon.Host.Region != h.region {
			// Hosts of other regions send beacons only to learn whether this host has a
			// copy of the store.
			h.answerBeacon(addr, d)
			return
		}
		h.updatePeerLoads(d.From, d.Beacon.Loads)
		if h.feeds.follows(d.From) {
			h.fetchIfBehind(time.Now(), d.From)
		}
	}
}

// answerBeacon answers a beacon from another region if this host has tables and
// the sender has none. The sender does not answer in turn, since it has no tables.
func (h *Host) answerBeacon(addr netip.AddrPort, d *datagram) {
	if h.table.Load() != nil && d.Beacon.ChangeRevisions[feed.Tables] == 0 {
		h.sendBeacons([]netip.AddrPort{addr}, true)
	}
}

// updatePeerLoads passes another host's requests in progress, by server, to each
// pool.
func (h *Host) updatePeerLoads(host string, loads map[string]int) {
	h.eachPool(func(p *pool) { p.recordPeerLoad(host, loads) })
}
