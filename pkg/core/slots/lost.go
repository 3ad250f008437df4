package slots

import (
	"slices"
	"time"
)

// Constants of lost hosts and shared servers.
const (
	// LostHold is how long a host that was removed by timeout counts as
	// holding its share of every server's slots, the typical length of a long
	// partition. A host that died is mostly known to have ended long before:
	// its address refuses connections or the platform no longer lists it.
	LostHold = time.Hour
	// lostMemory is how long after LostHold a shed request renews it.
	lostMemory = time.Hour
	// ShedRestore is the time until one slot of allowance that was taken after
	// a shed request is given back.
	ShedRestore = time.Second
)

// How long slots can be exceeded, by fault of the dispatcher's host:
//
//   - It dies: not at all if its requests end with it. Otherwise its share is
//     withheld for RecoverWait (known end) or LostHold (removed by timeout).
//   - It pauses: not at all. The successor withholds its share until it answers
//     again, for at most LostHold, and a pause over PauseLimit discards grants.
//   - It loses its peers and still reaches the servers: both sides grant only
//     the slots that their own hosts own, so the excess is what one side
//     started beyond its own slots before it removed the others, until those
//     requests end, at most at their deadline. After each LostHold both sides
//     grant all slots until each of them has seen a shed request, which renews
//     LostHold; the excess requests are shed and have not run.
//   - The sides did not know the same hosts or servers before: slots can be
//     exceeded for the whole partition. The allowance then limits the excess: it
//     falls by one slot per shed request and rises by one per ShedRestore.
//   - It reaches its peers again: for the time in which hosts learn that the
//     sides are one, because both may count a host as theirs.

// lose counts a known host as holding its share for LostHold.
func (d *Dispatcher) lose(now time.Time, host string) {
	if host == d.cfg.Self || !d.hosts[host] {
		return
	}
	delete(d.hosts, host)
	d.lost[host] = now.Add(LostHold)
}

// heard records that host belongs to this dispatcher's side.
func (d *Dispatcher) heard(host string) {
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

// lapse ends the hold of lost hosts whose time has passed.
func (d *Dispatcher) lapse(now time.Time) {
	for h, until := range d.lost {
		if !now.Before(until) {
			delete(d.lost, h)
			d.lapsed[h] = until.Add(lostMemory)
		}
	}
	for h, until := range d.lapsed {
		if !now.Before(until) {
			delete(d.lapsed, h)
		}
	}
}

// HostLive tells that the membership names a host as live. A host that was lost
// stays so until it is heard of itself, because it may still follow another
// dispatcher.
func (d *Dispatcher) HostLive(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, lapsed := d.lapsed[host]
	if _, lost := d.lost[host]; !lost && !lapsed {
		d.hosts[host] = true
	}
}

// Ended tells that the process of a host is known to have ended: it refused a
// connection, left gracefully, was replaced by a new incarnation, or the
// platform no longer lists it. Its share is free at once and its waiting
// requests are dropped. Its grants stay until they expire, because servers may
// notice the end late.
func (d *Dispatcher) Ended(now time.Time, host string) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enter(now)
	delete(d.hosts, host)
	d.forgetLost(host)
	delete(d.recovery.waiting, host)
	d.endRecovery(now)
	d.refresh(now)
	d.queue.CancelHost(host)
	return d.leave(now)
}

// withholdLost sets aside the slots of lost hosts that they do not already use
// under grants of this dispatcher. Every slot has one owner: the slots of all
// servers are dealt in turn to the sorted names of all hosts, lost ones
// included. Sides that knew the same hosts and servers before they lost each
// other therefore never count a slot twice, which shares rounded per server
// would do, and none withholds more than it has to.
func (d *Dispatcher) withholdLost(now time.Time) {
	d.lapse(now)
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
	next := 0
	for _, s := range d.servers {
		if s.removed {
			continue
		}
		owned := 0
		for i := range s.allow {
			if _, lost := d.lost[owners[(next+i)%len(owners)]]; lost {
				owned++
			}
		}
		next += d.cfg.Pool.Slots
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
// than the table says. One slot stays, so that the server is still tried.
func (s *server) shed(now time.Time, slots int) {
	if s.taken == 0 {
		s.restoreAt = now.Add(ShedRestore)
	}
	s.taken = min(s.taken+1, slots-1)
}

// restore gives back one slot per ShedRestore.
func (s *server) restore(now time.Time) {
	for s.taken > 0 && !now.Before(s.restoreAt) {
		s.taken--
		s.restoreAt = s.restoreAt.Add(ShedRestore)
	}
}
