package slots

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/admission"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// server is the state of one backend server.
type server struct {
	address        string
	drain, removed bool
	// warmUpStart is the start of the warm-up; zero for a warm server.
	warmUpStart time.Time
	running     int
	// drainStart is when the drain took effect; zero for a server that was
	// already draining when the dispatcher first saw it.
	drainStart time.Time
	// cooldowns are the times until which slots stay blocked after a fast
	// failure.
	cooldowns []time.Time
	// allowance is the number of requests that the server may run now.
	allowance int
	// withheld is the part of the allowance that may be in use by hosts that have
	// not answered during a recovery, or by lost hosts.
	withheld int
	// shedReduction is the number of slots taken off the allowance after shed
	// requests; one is given back at restoreAt.
	shedReduction int
	restoreAt     time.Time
	// reduced is set while the weight is below 1 or the server warms up.
	reduced bool
	// lastGrantSeq is the dispatcher's sequence number of the last grant.
	lastGrantSeq uint64
}

func (s *server) startCooldown(until time.Time) { s.cooldowns = append(s.cooldowns, until) }

// spare returns how many more requests the server may be given. It is negative
// if the allowance fell below the use.
func (s *server) spare() int { return s.allowance - s.withheld - s.running - len(s.cooldowns) }

func (d *Dispatcher) sortServers() {
	slices.SortFunc(d.servers, func(a, b *server) int { return cmp.Compare(a.address, b.address) })
}

// refresh recomputes the allowances and withheld slots of the servers.
func (d *Dispatcher) refresh(now time.Time) {
	total := 0
	for _, s := range d.servers {
		d.setAllowance(now, s)
		total += s.allowance
	}
	d.withholdLost(now)
	if total != d.slots {
		d.slots = total
	}
	d.queue.SetSlots(now, total)
}

func (d *Dispatcher) setAllowance(now time.Time, s *server) {
	s.allowance, s.reduced, s.withheld = 0, false, 0
	if s.removed || !d.cfg.Health.Usable(now, s.address) {
		return
	}
	if s.drain {
		s.allowance = int(math.Ceil(float64(d.cfg.Pool.Slots) * d.drainShare(now, s)))
		return
	}
	weight := min(1, d.cfg.Health.Weight(now, s.address))
	if weight <= 0 {
		return
	}
	warm := d.warmUpFraction(now, s)
	s.reduced = weight < 1 || warm < 1
	maxSlots := min(d.cfg.Pool.Slots, d.cfg.Pool.Connections)
	s.restore(now)
	s.allowance = max(1, weightedSlots(maxSlots, weight*warm)-s.shedReduction)
	s.withheld = d.recovery.withheld(now, s.allowance)
}

// drainShare returns the fraction of its slots that a draining server keeps. It
// is zero while another server of the domain can take over. Otherwise it falls
// to zero over DrainRamp, because work moves to other domains only as fast as
// the pool's shift cap permits (see package spill).
func (d *Dispatcher) drainShare(now time.Time, s *server) float64 {
	if s.drainStart.IsZero() || slices.ContainsFunc(d.servers, func(x *server) bool { return !x.drain && !x.removed }) {
		return 0
	}
	return max(0, 1-float64(now.Sub(s.drainStart))/float64(DrainRamp))
}

// warmUpFraction returns the completed fraction of a server's warm-up, 0 to 1.
func (d *Dispatcher) warmUpFraction(now time.Time, s *server) float64 {
	if s.warmUpStart.IsZero() {
		return 1
	}
	f := float64(now.Sub(s.warmUpStart)) / float64(d.cfg.Pool.WarmUp)
	if f >= 1 {
		s.warmUpStart = time.Time{}
		return 1
	}
	return max(0, f)
}

// free returns how many slots can be granted now; it may be negative.
func (d *Dispatcher) free() int {
	n := -d.lent
	for _, s := range d.servers {
		n += max(0, s.spare())
	}
	return n
}

// choose returns the server with the lowest use relative to its allowance that
// may take item, or nil. Ties go to the least recently granted server.
func (d *Dispatcher) choose(item *admission.Item) *server {
	if d.free() <= 0 {
		return nil
	}
	exclude := item.Exclude
	if len(exclude) > 0 && !d.anyOther(exclude) {
		exclude = nil
	}
	var best *server
	for _, s := range d.servers {
		if s.spare() <= 0 || slices.Contains(exclude, s.address) {
			continue
		}
		if best == nil || preferred(s, best, item.Once) {
			best = s
		}
	}
	return best
}

// anyOther reports whether a server outside exclude accepts work, even if it
// has no free slot now.
func (d *Dispatcher) anyOther(exclude []string) bool {
	for _, s := range d.servers {
		if s.allowance > 0 && !slices.Contains(exclude, s.address) {
			return true
		}
	}
	return false
}

// preferred reports whether a is preferred to b. once marks non-idempotent
// work, which avoids servers of reduced weight.
func preferred(a, b *server, once bool) bool {
	if once && a.reduced != b.reduced {
		return b.reduced
	}
	useA, useB := (a.running+len(a.cooldowns))*b.allowance, (b.running+len(b.cooldowns))*a.allowance
	if useA != useB {
		return useA < useB
	}
	return a.lastGrantSeq < b.lastGrantSeq
}

// noteCooldownEnd records that a cooldown ends at t.
func (d *Dispatcher) noteCooldownEnd(t time.Time) {
	if d.nextCooldownEnd.IsZero() || t.Before(d.nextCooldownEnd) {
		d.nextCooldownEnd = t
	}
}

// endCooldowns frees the slots whose cooldown has ended.
func (d *Dispatcher) endCooldowns(now time.Time) {
	d.nextCooldownEnd = time.Time{}
	for _, s := range d.servers {
		s.cooldowns = slices.DeleteFunc(s.cooldowns, func(t time.Time) bool { return !t.After(now) })
		for _, t := range s.cooldowns {
			d.noteCooldownEnd(t)
		}
	}
}

// SetPool applies a new version of the pool's row. New servers and servers
// that no longer drain warm up over WarmUp. Draining and removed servers get no
// new grants, except as drainShare permits, and finish what they run.
func (d *Dispatcher) SetPool(now time.Time, p tables.Pool) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	p = p.WithDefaults()
	d.cfg.Pool = p
	d.queue.SetConfig(admissionConfig(p))
	for _, s := range d.servers {
		s.removed = true
	}
	for _, row := range p.InDomain(d.cfg.Domain) {
		s := d.server(row.Address)
		if s == nil {
			s = &server{address: row.Address, warmUpStart: now, removed: true, drain: row.Drain}
			d.servers = append(d.servers, s)
		}
		if s.drain && !row.Drain {
			s.warmUpStart = now
		}
		if row.Drain && !s.drain {
			s.drainStart = now
		}
		s.removed, s.drain = false, row.Drain
	}
	d.sortServers()
	d.enter(now)
	d.forgetServers()
	return d.leave(now)
}

func (d *Dispatcher) server(address string) *server {
	for _, s := range d.servers {
		if s.address == address {
			return s
		}
	}
	return nil
}

// forgetServers drops removed servers that have no running requests.
func (d *Dispatcher) forgetServers() {
	d.servers = slices.DeleteFunc(d.servers, func(s *server) bool { return s.removed && s.running == 0 })
}

// weightedSlots returns how many of its maxSlots slots a server of the given
// weight may use, at least 1.
func weightedSlots(maxSlots int, weight float64) int {
	// 1e-9 keeps a rounding error of the product from costing a whole slot.
	return max(1, int(math.Floor(float64(maxSlots)*weight+1e-9)))
}
