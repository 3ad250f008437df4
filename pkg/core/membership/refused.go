package membership

import "time"

// ReportRefused tells the node that the host's address refused a new connection, so no
// process listens there. The member is removed at once: waiting for a failed
// probe and SuspectTimeout would hold up the pools of a dead dispatcher for
// about 5 s. A live host refutes this removal like any other.
func (n *Node) ReportRefused(now time.Time, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.members[name]
	if n.ended || m == nil || m.State == Dead {
		return
	}
	n.counts.Removals++
	u := m.Update
	u.State = Dead
	n.apply(now, u)
}
