package links

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Allocator leases out the leasable rate of a directed link, which is the part
// of the link's cap that is not divided into static floors. It is safe for
// concurrent use.
//
// Several allocators may be active at once, because membership views differ or
// one of them was paused. The sum of their leases still stays within the
// leasable rate: an allocator leases out only a fraction of it proportional to
// the number of hosts it counts, and no host is counted by two allocators. A
// host is counted from LeaseLifetime after its first request until AttachTime
// after the latest stamp that its requests carried. A stamp is the allocator's
// own clock reading, which it sent in an earlier answer (see Request.Stamp). The
// initial wait lets leases of an earlier allocator expire. The host does not
// switch to another allocator before AttachTime has passed since its last
// request.
type Allocator struct {
	mu           sync.Mutex
	epoch        uint64  // identifies this instance; stamps of requests with another epoch are ignored
	leasableRate float64 // bytes per second
	maxHosts     int
	knownHosts   map[string]*hostState
	// sortedNames caches the sorted keys of knownHosts; nil after a change. With
	// 340 hosts, sorting on every request was the largest part of its cost.
	sortedNames []string
	// demands is a scratch buffer that fairShare reuses.
	demands []float64
}

// hostState is what the allocator knows about one host.
type hostState struct {
	countFrom  time.Time
	countUntil time.Time
	demandRate float64 // bytes per second above the floor
	grants     []grant // unexpired grants, oldest first
	lastSeq    uint64  // highest sequence number seen
}

// grant is a lease that was issued to a host.
type grant struct {
	rate    float64 // bytes per second
	expires time.Time
}

// NewAllocator returns an Allocator for a link with the given cap in bytes per
// second that at most maxHosts hosts use. epoch must be a number that no earlier
// allocator at this address used, for example a random number or the start time
// of the process.
func NewAllocator(linkCap float64, maxHosts int, epoch uint64) *Allocator {
	return &Allocator{epoch: epoch, leasableRate: linkCap * (1 - FloorFraction), maxHosts: max(maxHosts, 1), knownHosts: map[string]*hostState{}}
}

// outstanding returns the rate of the largest unexpired lease of the host. A
// smaller lease issued later may not have reached the host.
func (h *hostState) outstanding(now time.Time) float64 {
	h.grants = slices.DeleteFunc(h.grants, func(g grant) bool { return !now.Before(g.expires) })
	largest := 0.0
	for _, g := range h.grants {
		largest = max(largest, g.rate)
	}
	return largest
}

// counted reports whether the host counts towards countedShare at now.
func (h *hostState) counted(now time.Time) bool {
	return !now.Before(h.countFrom) && now.Before(h.countUntil)
}

// recordRequest updates the demand of the requesting host and the period during
// which the host is counted.
func (a *Allocator) recordRequest(now time.Time, r Request) *hostState {
	h := a.knownHosts[r.Host]
	if h == nil || !now.Before(h.countUntil) {
		// Another allocator may have served the host until now, so the initial
		// wait starts again. Unexpired grants of this allocator still count.
		var grants []grant
		if h != nil {
			grants = h.grants
		}
		h = &hostState{countFrom: now.Add(LeaseLifetime), grants: grants}
		h.countUntil = now.Add(AttachTime)
		a.knownHosts[r.Host] = h
		a.sortedNames = nil
	}
	if r.Epoch == a.epoch && r.Stamp.Add(AttachTime).After(h.countUntil) {
		h.countUntil = r.Stamp.Add(AttachTime)
	}
	if r.Seq >= h.lastSeq {
		h.demandRate, h.lastSeq = max(r.Rate, 0), r.Seq
	}
	return h
}

// Grant answers a request. A lease with rate 0 still gives the host the stamp
// that its next request has to carry.
func (a *Allocator) Grant(now time.Time, r Request) Lease {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.recordRequest(now, r)
	a.removeExpired(now)
	l := Lease{Host: r.Host, Seq: r.Seq, Epoch: a.epoch, Stamp: now}
	// With more than maxHosts hosts, countedShare could exceed leasableRate.
	if h.demandRate == 0 || !h.counted(now) || len(a.knownHosts) > a.maxHosts {
		return l
	}
	countedShare := a.countedShare(now)
	available := countedShare
	for _, host := range a.sortedHosts() {
		if host != r.Host {
			available -= a.knownHosts[host].outstanding(now)
		}
	}
	l.Rate = max(0, min(a.fairShare(now, countedShare, h.demandRate), available))
	if l.Rate > 0 {
		h.grants = append(h.grants, grant{l.Rate, now.Add(LeaseLifetime)})
	}
	return l
}

// sortedHosts returns the names of the known hosts in sorted order. Adding rates
// in a fixed order makes floating-point sums reproducible.
func (a *Allocator) sortedHosts() []string {
	if a.sortedNames == nil {
		a.sortedNames = slices.Sorted(maps.Keys(a.knownHosts))
	}
	return a.sortedNames
}

// removeExpired removes hosts whose counted period is over and that hold no
// lease.
func (a *Allocator) removeExpired(now time.Time) {
	for host, h := range a.knownHosts {
		if !now.Before(h.countUntil) && h.outstanding(now) == 0 {
			delete(a.knownHosts, host)
			a.sortedNames = nil
		}
	}
}

// countedShare returns the part of the leasable rate, in bytes per second, that
// is proportional to the number of counted hosts.
func (a *Allocator) countedShare(now time.Time) float64 {
	n := 0
	for _, h := range a.knownHosts {
		if h.counted(now) {
			n++
		}
	}
	return a.leasableRate * float64(n) / float64(a.maxHosts)
}

// fairShare returns the max-min fair share of total, in bytes per second, for a
// host with the given demand among all counted hosts.
func (a *Allocator) fairShare(now time.Time, total, demand float64) float64 {
	demands := a.demands[:0]
	for _, h := range a.knownHosts {
		if h.counted(now) {
			demands = append(demands, h.demandRate)
		}
	}
	slices.Sort(demands)
	a.demands = demands
	for i, d := range demands {
		share := total / float64(len(demands)-i)
		if d >= share {
			return min(demand, share)
		}
		total -= d
	}
	return demand
}

// Outstanding returns the sum, in bytes per second, of the leases that hosts may
// be using.
func (a *Allocator) Outstanding(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := 0.0
	for _, host := range a.sortedHosts() {
		sum += a.knownHosts[host].outstanding(now)
	}
	return sum
}

// AllocatorDump is the state of an Allocator for diagnostics. Rates are in bytes
// per second: Rest is the leasable rate, and Total is the part of it that the
// counted hosts account for.
type AllocatorDump struct {
	Epoch       uint64
	Rest, Total float64
	Hosts       []HostDump
}

// HostDump is the state that an allocator keeps about one host. Rates are in
// bytes per second: Demand is the demand above the floor, and Leased is the
// largest unexpired lease.
type HostDump struct {
	Host           string
	Counted        bool
	Demand, Leased float64
}

// Dump returns the state at now, with hosts sorted by name.
func (a *Allocator) Dump(now time.Time) AllocatorDump {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := AllocatorDump{Epoch: a.epoch, Rest: a.leasableRate, Total: a.countedShare(now)}
	for host, h := range a.knownHosts {
		d.Hosts = append(d.Hosts, HostDump{host, h.counted(now), h.demandRate, h.outstanding(now)})
	}
	slices.SortFunc(d.Hosts, func(x, y HostDump) int { return strings.Compare(x.Host, y.Host) })
	return d
}
