package membership

import "time"

// Receive handles a message and returns the messages to send in response.
func (n *Node) Receive(now time.Time, msg Message) []Outgoing {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return nil
	}
	if !msg.isValid() {
		n.counts.Malformed++
		return nil
	}
	n.counts.Received++
	if msg.From.Name == n.self.Name {
		n.handleOwnUpdate(now, msg.From)
		return nil
	}
	n.apply(now, msg.From)
	for _, u := range msg.Updates {
		n.apply(now, u)
	}
	var out []Outgoing
	if n.isOutdated(msg.From) {
		// An outdated process learns from this message that it was replaced.
		m := n.members[msg.From.Name]
		return n.send(out, "", msg.From.Address, Message{Kind: Gossip, Updates: []Update{m.Update}})
	}
	out = n.respond(out, now, &msg)
	if msg.Kind == Ping || msg.Kind == Ack {
		out = n.compareDigest(out, now, &msg)
	}
	return out
}

// isOutdated reports whether a newer process with the sender's name is known.
func (n *Node) isOutdated(from Update) bool {
	m := n.members[from.Name]
	return m != nil && m.Incarnation > from.Incarnation
}

func (n *Node) respond(out []Outgoing, now time.Time, msg *Message) []Outgoing {
	from := msg.From
	switch msg.Kind {
	case Ping:
		return n.send(out, from.Name, from.Address, Message{Kind: Ack, Seq: msg.Seq})
	case Ack:
		return n.handleAck(out, now, msg)
	case PingRequest:
		if msg.Target == n.self.Name || msg.TargetAddress == "" {
			return out
		}
		n.seq++
		n.relays[n.seq] = relay{requester: from.Name, requesterAddress: from.Address, target: msg.Target, seq: msg.Seq, received: now}
		return n.send(out, msg.Target, msg.TargetAddress, Message{Kind: Ping, Seq: n.seq})
	case IndirectAck:
		if p := n.probes[msg.Seq]; p != nil && p.target == msg.Target {
			delete(n.probes, msg.Seq)
		}
	case SyncRequest:
		return n.sendAll(out, from.Name, from.Address)
	}
	return out
}

// handleAck handles the answer to a probe of this host, or to a probe for another
// host, to which it reports the answer.
func (n *Node) handleAck(out []Outgoing, now time.Time, msg *Message) []Outgoing {
	if p := n.probes[msg.Seq]; p != nil && p.target == msg.From.Name {
		delete(n.probes, msg.Seq)
		return out
	}
	r, ok := n.relays[msg.Seq]
	if !ok || r.target != msg.From.Name {
		return out
	}
	delete(n.relays, msg.Seq)
	m := Message{Kind: IndirectAck, Seq: r.seq, Target: r.target, Updates: []Update{msg.From}}
	return n.send(out, r.requester, r.requesterAddress, m)
}

// apply stores an update if it supersedes the known state of the host.
func (n *Node) apply(now time.Time, u Update) {
	if u.Name == n.self.Name {
		n.handleOwnUpdate(now, u)
		return
	}
	m := n.members[u.Name]
	if m == nil {
		// A tombstone is needed only for a host that was a member here.
		if u.State == Dead {
			return
		}
		m = &member{Update: u, since: now}
		n.members[u.Name] = m
		n.invalidateCaches()
		n.countSuspect(0, u.State)
		n.enqueue(u.Name)
		n.recordEvent(now, Joined, u)
		return
	}
	if !u.supersedes(m.Update) {
		return
	}
	old := m.Update
	m.Update = u
	if u.State != old.State || u.Incarnation != old.Incarnation {
		m.since, m.suspectedHere = now, false
	}
	n.view = nil
	if (u.State == Dead) != (old.State == Dead) || hostDigest(&u) != hostDigest(&old) {
		n.invalidateCaches()
	}
	n.countSuspect(old.State, u.State)
	n.enqueue(u.Name)
	n.recordChange(now, old, u)
}

// countSuspect updates the number of suspects, which lets a tick without suspects
// skip the walk over all members.
func (n *Node) countSuspect(old, state State) {
	if old == Suspect {
		n.suspects--
	}
	if state == Suspect {
		n.suspects++
	}
}

// recordChange records the event for the change of a member from old to u.
func (n *Node) recordChange(now time.Time, old, u Update) {
	switch {
	case u.State == Dead && old.State != Dead:
		n.recordEvent(now, Removed, u)
	case u.State == Dead:
	case old.State == Dead && u.Incarnation == old.Incarnation:
		n.recordEvent(now, Joined, u)
	case u.Incarnation != old.Incarnation:
		n.recordEvent(now, Replaced, u)
	case u.Leaving && !old.Leaving:
		n.recordEvent(now, Withdrawn, u)
	case u.State == Suspect && old.State == Alive:
		n.recordEvent(now, Suspected, u)
	case u.State == Alive && old.State == Suspect:
		n.recordEvent(now, Refuted, u)
	}
}

// handleOwnUpdate handles an update that carries this host's name. It refutes a
// suspicion or removal of this process, but does not contradict a newer process
// with the same name.
func (n *Node) handleOwnUpdate(now time.Time, u Update) {
	switch {
	case u.Incarnation > n.self.Incarnation:
		n.recordEvent(now, Superseded, u)
	case u.Incarnation < n.self.Incarnation:
		n.enqueue(n.self.Name)
	case u.Counter >= n.self.Counter && u.State != Alive, u.Counter > n.self.Counter:
		n.self.Counter = u.Counter + 1
		n.view = nil
		n.enqueue(n.self.Name)
	}
}
