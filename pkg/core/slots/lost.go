package slots

import (
	"slices"
	"time"
)

const (
	// LostHold is how long a host that was removed by timeout counts as holding
	// its share of every server's slots. It is the typical length of a long
	// partition. If the host died, its end is usually known long before: its
	// address refuses connections, or the platform no longer lists it.
	LostHold = time.Hour
	// lapsedRetention is how long after the end of LostHold a shed request renews
	// it.
	lapsedRetention = time.Hour
	// ShedRestore is the interval at which a server whose allowance was reduced
	// after shed requests gets one slot back.
	ShedRestore = time.Second
)

// How long a server can get more requests than it has slots, for each fault of
// the dispatcher's host:
//
//   - The host dies: not at all if its requests end with it. Otherwise its share
//     is withheld for RecoverWait if its end is known, or for LostHold if it was
//     removed by timeout.
//   - The host pauses: not at all. The new dispatcher withholds its share until
//     it answers again, for at most LostHold, and the paused dispatcher discards
//     its grants after a pause longer than PauseLimit.
//   - A partition separates the host from its peers but not from the servers:
//     each side grants only the slots that its own hosts own (see withholdLost).
//     The excess is what one side started beyond its own slots before it removed
//     the other hosts, until those requests end, at the latest at their deadline.
//     After each LostHold both sides grant all slots until each of them has seen
//     a shed request, which renews LostHold; the excess requests are shed and
//     have not run.
//   - As above, but the sides did not know the same hosts or servers before the
//     partition: for the whole partition. The allowance then limits the excess:
//     it falls by one slot per shed request and rises by one per ShedRestore.
//   - The partition ends: until the hosts have learned of it, because both sides
//     may count a host as theirs.

// markLost counts a known host as holding its share for LostHold.
func (d *Dispatcher) markLost(now time.Time, host string) {
	if host == d.cfg.Self || !d.hosts[host] {
		return
	}
	delete(d.hosts, host)
	d.lost[host] = now.Add(LostHold)
}

// markReachable records that host is on this dispatcher's side of a partition.
func (d *Dispatcher) markReachable(host string) {
	d.hosts[host] = true
	d.forgetLost(host)
}

func (d *Dispatcher) forgetLost(host string) {
	delete(d.lost, host)
	delete(d.lapsed, host)
}

// renewLost withholds the shares of lapsed hosts again: a shed request is a
// sign that they are alive and use the server's slots.
func (d *Dispatcher) renewLost(now time.Time) {
	for h := range d.lapsed {
		d.lost[h] = now.Add(LostHold)
	}
	clear(d.lapsed)
}

// lapseLost moves lost hosts to lapsed after LostHold and forgets lapsed hosts
// after lapsedRetention.
func (d *Dispatcher) lapseLost(now time.Time) {
	for h, until := range d.lost {
		if !now.Before(until) {
			delete(d.lost, h)
			d.lapsed[h] = until.Add(lapsedRetention)
		}
	}
	for h, until := range d.lapsed {
		if !now.Before(until) {
			delete(d.lapsed, h)
		}
	}
}

// HostLive reports to the dispatcher that the membership names a host as live.
// A lost host stays lost until it sends a message itself, because it may still
// follow another dispatcher.
func (d *Dispatcher) HostLive(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, lapsed := d.lapsed[host]
	if _, lost := d.lost[host]; !lost && !lapsed {
		d.hosts[host] = true
	}
}

// HostEnded reports to the dispatcher that the process of a host is known to have
// ended: it refused a connection, left gracefully, was replaced by a new
// incarnation, or is no longer listed by the platform. Its share is free at
// once and its waiting requests are dropped. Its grants stay until they expire,
// because servers may notice the end late.
func (d *Dispatcher) HostEnded(now time.Time, host string) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enter(now)
	delete(d.hosts, host)
	d.forgetLost(host)
	delete(d.recovery.unanswered, host)
	d.endRecovery(now)
	d.refresh(now)
	d.queue.CancelHost(host)
	return d.leave(now)
}

// withholdLost withholds the slots of lost hosts that they do not already use
// under grants of this dispatcher. Every slot has one owner: the slots of all
// servers are assigned round-robin to the sorted names of all hosts, lost ones
// included. Two sides of a partition that knew the same hosts and servers
// before it therefore never both count a slot as theirs, as they could with
// shares rounded per server, and neither withholds more than it has to.
func (d *Dispatcher) withholdLost(now time.Time) {
	d.lapseLost(now)
	if len(d.lost) == 0 {
		return
	}
	owners := d.hostList()
	for h := range d.lost {
		owners = append(owners, h)
	}
	for h := range d.lapsed {
		owners = append(owners, h)
	}
	if !d.hosts[d.cfg.Self] {
		owners = append(owners, d.cfg.Self)
	}
	slices.Sort(owners)
	used := d.usedByLost()
	firstSlot := 0 // number of the server's first slot, over all servers
	for _, s := range d.servers {
		if s.removed {
			continue
		}
		owned := 0
		for i := range s.allowance {
			if _, lost := d.lost[owners[(firstSlot+i)%len(owners)]]; lost {
				owned++
			}
		}
		// Not the allowance, which may differ between the sides of a partition.
		firstSlot += d.cfg.Pool.Slots
		s.withheld = max(s.withheld, owned-used[s])
	}
}

// usedByLost counts the grants of lost hosts by server.
func (d *Dispatcher) usedByLost() map[*server]int {
	used := map[*server]int{}
	for k, g := range d.grants {
		if _, lost := d.lost[k.host]; lost {
			used[g.server]++
		}
	}
	return used
}

// shed lowers the allowance of a server that refused a request although the
// dispatcher counted a free slot: someone else uses its slots, or it has fewer
// than the table says. At least one slot stays, so that the server is still
// tried.
func (s *server) shed(now time.Time, slots int) {
	if s.shedReduction == 0 {
		s.restoreAt = now.Add(ShedRestore)
	}
	s.shedReduction = min(s.shedReduction+1, slots-1)
}

// restore gives back one slot of a reduced allowance per ShedRestore.
func (s *server) restore(now time.Time) {
	for s.shedReduction > 0 && !now.Before(s.restoreAt) {
		s.shedReduction--
		s.restoreAt = s.restoreAt.Add(ShedRestore)
	}
}
