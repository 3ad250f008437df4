package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// pendingUpdate is a host whose state still has to be sent to others, and how
// many messages have carried it.
type pendingUpdate struct {
	name          string
	transmissions int
}

// retransmitLimit returns how many messages of this host carry an update.
func (n *Node) retransmitLimit() int {
	return RetransmitFactor * int(math.Ceil(math.Log(float64(len(n.ringNames())+1))))
}

// enqueue schedules the state of a host to be sent with the next messages.
func (n *Node) enqueue(name string) {
	for i := range n.queue {
		if n.queue[i].name == name {
			n.queue[i].transmissions = 0
			return
		}
	}
	n.queue = append(n.queue, pendingUpdate{name: name})
}

// addUpdates adds updates to a message: first the receiver's state as known here
// unless it is Alive, so that the receiver can refute it, then the pending updates
// with the fewest transmissions.
func (n *Node) addUpdates(m *Message, receiver string) {
	room := MaxMessageBytes - messageBytes(m)
	if r := n.members[receiver]; r != nil && r.State != Alive && len(m.Updates) < MaxUpdates && updateBytes(&r.Update) <= room {
		m.Updates = append(m.Updates, r.Update)
		room -= updateBytes(&r.Update)
	}
	if len(n.queue) == 0 || m.Kind == SyncRequest {
		return
	}
	slices.SortStableFunc(n.queue, func(a, b pendingUpdate) int { return cmp.Compare(a.transmissions, b.transmissions) })
	retransmitLimit := n.retransmitLimit()
	kept := n.queue[:0]
	for _, p := range n.queue {
		u, ok := n.updateOf(p.name)
		if !ok {
			continue
		}
		if p.name != receiver && p.name != n.self.Name && len(m.Updates) < MaxUpdates && updateBytes(&u) <= room {
			m.Updates = append(m.Updates, u)
			room -= updateBytes(&u)
			p.transmissions++
		} else if p.name == n.self.Name {
			p.transmissions++ // From carries this host's state in every message
		}
		if p.transmissions < retransmitLimit {
			kept = append(kept, p)
		}
	}
	n.queue = kept
}

func (n *Node) updateOf(name string) (Update, bool) {
	if name == n.self.Name {
		return n.self, true
	}
	m := n.members[name]
	if m == nil {
		return Update{}, false
	}
	return m.Update, true
}

// messageBytes returns an upper bound of the encoded size of a message. The
// constants cover the CBOR headers and keys and the largest integers.
func messageBytes(m *Message) int {
	size := 64 + updateBytes(&m.From) + len(m.Target) + len(m.TargetAddress)
	for name := range m.Versions {
		size += len(name) + 12
	}
	for i := range m.Updates {
		size += updateBytes(&m.Updates[i])
	}
	return size
}

// gossip sends pending updates to a few random hosts without waiting for the
// next probe.
func (n *Node) gossip(out []Outgoing, now time.Time, rng *rand.Rand) []Outgoing {
	if len(n.queue) == 0 || now.Sub(n.lastGossip) < GossipInterval {
		return out
	}
	n.lastGossip = now
	for _, name := range n.randomPeers(rng, gossipFanout, "") {
		out = n.send(out, name, n.members[name].Address, Message{Kind: Gossip})
	}
	return out
}

// sendAll sends the state of every member to one host, in as many messages as
// needed.
func (n *Node) sendAll(out []Outgoing, name, address string) []Outgoing {
	m := Message{Kind: Gossip}
	base := func() int { return messageBytes(&Message{From: n.self, Versions: n.versions}) }
	size := base()
	for _, other := range sortedKeys(n.members) {
		u := n.members[other].Update
		if other == name {
			continue
		}
		if len(m.Updates) == MaxUpdates || size+updateBytes(&u) > MaxMessageBytes {
			out, m, size = n.send(out, name, address, m), Message{Kind: Gossip}, base()
		}
		m.Updates = append(m.Updates, u)
		size += updateBytes(&u)
	}
	return n.send(out, name, address, m)
}

// compareDigest starts a full exchange of members with the sender if its digest
// differs from this host's and no digest has matched for syncDelay, which is
// longer than updates take to spread. It does so at most once per syncInterval.
func (n *Node) compareDigest(out []Outgoing, now time.Time, msg *Message) []Outgoing {
	if msg.Digest == n.currentDigest() {
		n.digestsDifferSince = time.Time{}
		return out
	}
	if n.digestsDifferSince.IsZero() {
		n.digestsDifferSince = now
	}
	if now.Sub(n.digestsDifferSince) < syncDelay || now.Sub(n.lastSync) < syncInterval {
		return out
	}
	n.lastSync = now
	n.counts.Syncs++
	out = n.send(out, msg.From.Name, msg.From.Address, Message{Kind: SyncRequest})
	return n.sendAll(out, msg.From.Name, msg.From.Address)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
