package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// probe is a Ping that is not answered yet.
type probe struct {
	target string
	sent   time.Time
	// indirectSent is true once other hosts were asked to probe the target.
	indirectSent bool
	// noSuspicion is set for probes whose failure does not make the target
	// suspect: those of candidates, of removed hosts and of suspects.
	noSuspicion bool
}

// relay is a probe that another host asked for with a PingRequest.
type relay struct {
	requester        string
	requesterAddress string
	target           string
	// seq is the Seq of the PingRequest, which the IndirectAck repeats.
	seq      uint64
	received time.Time
}

// probeOrder is a random permutation of offsets in the sorted list of hosts. All
// hosts of a domain derive the same permutation from the wall clock, so each
// host is probed by exactly one other every second. If each host used an order
// of its own, a host would go unprobed for over 4.6 s in 1% of the cases. Clock
// skew or differing lists of hosts only move the behaviour towards that case.
type probeOrder struct {
	// cycle is the number of the cycle that offsets is for. A cycle has one round
	// for each offset.
	cycle   int64
	offsets []int
}

// offset returns how far after the prober its target is in the sorted list, for a
// round and a number of hosts.
func (p *probeOrder) offset(round int64, hosts int) int {
	others := int64(hosts - 1)
	cycle := round / others
	if cycle != p.cycle || len(p.offsets) != int(others) {
		p.cycle = cycle
		p.offsets = rand.New(rand.NewPCG(uint64(cycle), uint64(hosts))).Perm(int(others))
	}
	return p.offsets[round%others] + 1
}

// round returns the number of the probe interval that contains now. Each host
// has its own phase, which spreads the messages over the second.
func (n *Node) round(now time.Time) int64 {
	phase := int64(xxhash.Sum64String(n.self.Name) % uint64(ProbeInterval/time.Millisecond))
	return (now.UnixMilli() - phase) / int64(ProbeInterval/time.Millisecond)
}

// probeRound sends the probes of the current interval, once per interval.
func (n *Node) probeRound(out []Outgoing, now time.Time) []Outgoing {
	round := n.round(now)
	if round == n.lastRound {
		return out
	}
	n.lastRound = round
	ring := n.ringNames()
	if len(ring) < 2 {
		return n.probeCandidate(out, now)
	}
	ownIndex, _ := slices.BinarySearch(ring, n.self.Name)
	target := ring[(ownIndex+n.order.offset(round, len(ring)))%len(ring)]
	out = n.ping(out, now, target, n.members[target].Address, false)
	return n.probeCandidate(out, now)
}

func (n *Node) ping(out []Outgoing, now time.Time, target, address string, noSuspicion bool) []Outgoing {
	n.seq++
	n.probes[n.seq] = &probe{target: target, sent: now, noSuspicion: noSuspicion}
	return n.send(out, target, address, Message{Kind: Ping, Seq: n.seq})
}

// checkProbes asks other hosts to probe a target that did not answer within
// AckTimeout, and suspects it after 2*AckTimeout. It also drops expired relays.
func (n *Node) checkProbes(out []Outgoing, now time.Time, rng *rand.Rand) []Outgoing {
	for _, seq := range sortedKeys(n.probes) {
		p := n.probes[seq]
		waited := now.Sub(p.sent)
		m := n.members[p.target]
		switch {
		case p.noSuspicion || m == nil || m.State == Dead:
			if waited >= 2*AckTimeout {
				delete(n.probes, seq)
			}
		case waited >= 2*AckTimeout:
			delete(n.probes, seq)
			n.suspect(now, m)
		case waited >= AckTimeout && !p.indirectSent:
			p.indirectSent = true
			for _, helper := range n.randomPeers(rng, indirectProbes, p.target) {
				out = n.send(out, helper, n.members[helper].Address,
					Message{Kind: PingRequest, Seq: seq, Target: p.target, TargetAddress: m.Address})
			}
		}
	}
	for seq, r := range n.relays {
		if now.Sub(r.received) > 2*AckTimeout {
			delete(n.relays, seq)
		}
	}
	return out
}

// suspect marks a member as Suspect after a failed probe.
func (n *Node) suspect(now time.Time, m *member) {
	if m.State != Alive {
		return
	}
	n.counts.Suspicions++
	u := m.Update
	u.State = Suspect
	n.apply(now, u)
	m.suspectedHere, m.reprobe = true, now
}

// checkSuspects removes suspects that did not refute within SuspectTimeout. Until
// then, a node keeps probing the hosts whose suspicion it raised itself, so that
// they learn of it and can refute.
func (n *Node) checkSuspects(out []Outgoing, now time.Time) []Outgoing {
	if n.suspects == 0 {
		return out
	}
	for _, name := range n.ringNames() {
		m := n.members[name]
		if m == nil || m.State != Suspect {
			continue
		}
		if now.Sub(m.since) >= SuspectTimeout {
			n.counts.Removals++
			u := m.Update
			u.State = Dead
			n.apply(now, u)
			continue
		}
		if m.suspectedHere && !now.Before(m.reprobe) {
			m.reprobe = now.Add(AckTimeout)
			out = n.ping(out, now, name, m.Address, true)
		}
	}
	return out
}

// probeRemoved probes one random removed host every removedProbeInterval, so that
// the two sides of a healed network partition find each other again. It also
// deletes removed hosts older than TombstoneRetention.
func (n *Node) probeRemoved(out []Outgoing, now time.Time, rng *rand.Rand) []Outgoing {
	if now.Sub(n.lastRemovedProbe) < removedProbeInterval {
		return out
	}
	n.lastRemovedProbe = now
	var dead []string
	for _, name := range sortedKeys(n.members) {
		m := n.members[name]
		if m.State != Dead {
			continue
		}
		if now.Sub(m.since) > TombstoneRetention {
			delete(n.members, name)
			n.invalidateCaches()
			continue
		}
		dead = append(dead, name)
	}
	if len(dead) == 0 {
		return out
	}
	m := n.members[dead[rng.IntN(len(dead))]]
	return n.ping(out, now, m.Name, m.Address, true)
}

// retryJoin asks a random seed for its members while no other host is known.
func (n *Node) retryJoin(out []Outgoing, now time.Time, rng *rand.Rand) []Outgoing {
	if len(n.seeds) == 0 || len(n.ringNames()) > 1 || now.Sub(n.lastJoin) < joinInterval {
		return out
	}
	n.lastJoin = now
	return n.send(out, "", n.seeds[rng.IntN(len(n.seeds))], Message{Kind: SyncRequest})
}

// randomPeers returns up to k different hosts that are neither dead nor this host
// nor except.
func (n *Node) randomPeers(rng *rand.Rand, k int, except string) []string {
	ring := n.ringNames()
	var out []string
	for try := 0; try < 4*k && len(out) < k; try++ {
		name := ring[rng.IntN(len(ring))]
		if name != n.self.Name && name != except && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}
