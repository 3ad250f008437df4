package links

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

const (
	testCap   = 35e6 // bytes per second, 280 Mbit/s
	testHosts = 6
)

// TestMain fixes the seed of the property tests, so that runs are reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	m.Run()
}

// message is a request or a lease in transit; exactly one of req and lease is
// set.
type message struct {
	deliverAt time.Time
	to        int    // index of the allocator (for req) or of the host (for lease)
	allocator string // name of the allocator that sent lease
	req       *Request
	lease     *Lease
}

// simulation runs hosts and allocators on a faulty network: hosts disagree about
// the allocator, allocators pause or restart, hosts are replaced, and messages
// are lost, delayed or reordered.
type simulation struct {
	t                *rapid.T
	rng              *rand.Rand     // uniform, unlike the draws of rapid, which prefer small values
	chunks           [testHosts]int // number of chunks of 50 to 400 kB that each host wants to send per step
	idleSteps        int            // remaining steps in which no host sends
	messageFaultOdds int            // one in this many messages is lost, and one is delayed
	faultOdds        int            // range of the random number that selects a fault; larger means fewer faults
	now              time.Time
	hosts            []*Bucket
	allocators       []*Allocator
	chosenAllocator  []int       // allocator that each host sends its requests to
	pausedUntil      []time.Time // end of the pause of each allocator
	lastEpoch        uint64      // last epoch given to an allocator
	queue            []message
	sent             []transmission // of the last second
	leased           bool           // whether any host has applied a lease with a rate above 0
}

// transmission is a number of bytes that a host sent over the link.
type transmission struct {
	at    time.Time
	bytes float64
}

func newSimulation(t *rapid.T) *simulation {
	seed := rapid.Uint64().Draw(t, "seed")
	sim := &simulation{t: t, now: vtime.Epoch, rng: rand.New(rand.NewPCG(seed, 1))}
	sim.messageFaultOdds = []int{10, 50, 1000}[sim.rng.IntN(3)]
	sim.faultOdds = []int{200, 1000, 3000}[sim.rng.IntN(3)]
	for i := range testHosts {
		sim.hosts = append(sim.hosts, sim.newHost(i))
		sim.chosenAllocator = append(sim.chosenAllocator, 0)
	}
	for range 3 {
		sim.lastEpoch++
		sim.allocators = append(sim.allocators, NewAllocator(testCap, testHosts, sim.lastEpoch))
		sim.pausedUntil = append(sim.pausedUntil, sim.now)
	}
	return sim
}

func (sim *simulation) newHost(i int) *Bucket {
	return NewBucket(sim.now, fmt.Sprint("h", i), Floor(testCap, testHosts))
}

// send loses one in messageFaultOdds messages, delays another one by up to 12 s
// and delivers the others after 35 ms.
func (sim *simulation) send(m message) {
	switch sim.rng.IntN(sim.messageFaultOdds) {
	case 0: // lost
	case 1:
		m.deliverAt = sim.now.Add(time.Duration(sim.rng.IntN(12_000)) * time.Millisecond)
		sim.queue = append(sim.queue, m)
	default:
		m.deliverAt = sim.now.Add(35 * time.Millisecond)
		sim.queue = append(sim.queue, m)
	}
}

// deliver delivers the messages that are due; a paused allocator receives its
// messages when it resumes.
func (sim *simulation) deliver() {
	queue := sim.queue
	sim.queue = nil
	for _, m := range queue {
		switch {
		case m.deliverAt.After(sim.now) || (m.req != nil && sim.pausedUntil[m.to].After(sim.now)):
			sim.queue = append(sim.queue, m)
		case m.req != nil:
			l := sim.allocators[m.to].Grant(sim.now, *m.req)
			var host int
			_, _ = fmt.Sscanf(l.Host, "h%d", &host)
			sim.send(message{to: host, allocator: fmt.Sprint("a", m.to), lease: &l})
		default:
			sim.leased = sim.hosts[m.to].Apply(sim.now, m.allocator, *m.lease) && m.lease.Rate > 0 || sim.leased
		}
	}
}

// injectFault injects at most one fault.
func (sim *simulation) injectFault() {
	n := sim.rng.IntN(sim.faultOdds)
	switch {
	case n < 4: // allocator restarts without its state
		sim.lastEpoch++
		sim.allocators[n%3] = NewAllocator(testCap, testHosts, sim.lastEpoch)
	case n < 8: // allocator is paused
		sim.pausedUntil[n%3] = sim.now.Add(time.Duration((100 + sim.rng.IntN(9000))) * time.Millisecond)
	case n < 11: // host is replaced
		i := n % testHosts
		sim.hosts[i] = sim.newHost(i)
	case n < 20: // one host switches to another allocator
		sim.chosenAllocator[n%testHosts] = sim.rng.IntN(3)
	case n < 22: // all hosts switch to one allocator
		for i := range sim.chosenAllocator {
			sim.chosenAllocator[i] = n % 3
		}
	case n < 26: // allocator 0 is paused while half of the hosts use allocator 1
		sim.pausedUntil[0] = sim.now.Add(time.Duration(7000+sim.rng.IntN(5000)) * time.Millisecond)
		for i := range sim.chosenAllocator {
			sim.chosenAllocator[i] = i % 2
		}
	}
}

// changeDemand changes how much the hosts want to send, for all hosts at once or
// for one host.
func (sim *simulation) changeDemand() {
	switch n := sim.rng.IntN(60); {
	case n == 0:
		sim.idleSteps = 3 + sim.rng.IntN(10)
	case n == 1:
		for i := range sim.chunks {
			sim.chunks[i] = 60
		}
	case n < 6:
		sim.chunks[sim.rng.IntN(testHosts)] = []int{0, 1, 5, 60}[sim.rng.IntN(4)]
	}
	sim.idleSteps--
}

// step advances the simulation by 100 ms and checks that neither the shares nor
// the bytes sent exceed the cap.
func (sim *simulation) step(round int) {
	sim.now = sim.now.Add(100 * time.Millisecond)
	sim.injectFault()
	sim.changeDemand()
	sim.deliver()
	sum := 0.0
	for i, h := range sim.hosts {
		if (round+i)%10 == 0 { // once per RenewEvery, at a different step for each host
			if r, ok := h.NextRequest(sim.now, fmt.Sprint("a", sim.chosenAllocator[i])); ok {
				sim.send(message{to: sim.chosenAllocator[i], req: &r})
			}
		}
		bytes := float64(1+sim.rng.IntN(8)) * 50e3
		for range sim.chunksWanted(i) {
			if h.Take(sim.now, tables.Urgent, bytes) {
				sim.sent = append(sim.sent, transmission{sim.now, bytes})
			}
		}
		sum += h.Rate(sim.now)
	}
	if sum > testCap*(1+1e-9) {
		sim.t.Fatalf("shares of all hosts are %.0f bytes/s, the cap is %.0f", sum, testCap)
	}
	sim.checkWindow()
}

// chunksWanted returns how many chunks host i wants to send in this step.
func (sim *simulation) chunksWanted(i int) int {
	if sim.idleSteps > 0 {
		return 0
	}
	return sim.chunks[i]
}

// checkWindow checks that the bytes sent in the last second do not exceed the cap.
func (sim *simulation) checkWindow() {
	for len(sim.sent) > 0 && sim.now.Sub(sim.sent[0].at) >= time.Second {
		sim.sent = sim.sent[1:]
	}
	sum := 0.0
	for _, s := range sim.sent {
		sum += s.bytes
	}
	if sum > testCap*(1+1e-9) {
		sim.t.Fatalf("%.0f bytes within one second, the cap is %.0f", sum, testCap)
	}
}

// TestSumUnderCap guards against shares whose sum exceeds the cap, and against
// more bytes than the cap in any second, when allocators pause or restart, hosts
// disagree about the allocator, and messages are lost or late.
func TestSumUnderCap(t *testing.T) {
	leased, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		runs++
		sim := newSimulation(t)
		for round := range 600 {
			sim.step(round)
		}
		if sim.leased {
			leased++
		}
	})
	assert.Greater(t, leased, runs/10, "too few runs applied a lease, so the checks say little")
}

// runWithoutFaults exchanges requests and leases without faults for the given
// time, while each host sends at its demand in bytes per second.
func runWithoutFaults(t *testing.T, demands []float64, seconds int) ([]*Bucket, *Allocator, time.Time) {
	now := vtime.Epoch
	allocator := NewAllocator(testCap, len(demands), 1)
	var hosts []*Bucket
	for i := range demands {
		hosts = append(hosts, NewBucket(now, fmt.Sprint("h", i), Floor(testCap, len(demands))))
	}
	for range seconds * 20 {
		now = now.Add(50 * time.Millisecond)
		for i, h := range hosts {
			h.Take(now, tables.Urgent, demands[i]/20)
			if now.Sub(vtime.Epoch)%RenewEvery == 0 {
				if r, ok := h.NextRequest(now, "a"); ok {
					h.Apply(now, "a", allocator.Grant(now, r))
				}
			}
		}
	}
	require.Len(t, hosts, len(demands))
	return hosts, allocator, now
}

// TestFairByDemand guards against a host that gets more than its max-min fair
// share while others want more, and against a leasable rate that is not leased
// out completely.
func TestFairByDemand(t *testing.T) {
	hosts, allocator, now := runWithoutFaults(t, []float64{1e3, 5e6, 60e6, 60e6}, 20)
	floor := Floor(testCap, 4)
	assert.InDelta(t, floor, hosts[0].Rate(now), 1, "a host without demand keeps its floor")
	moderateShare := 5e6 * demandHeadroom
	assert.InDelta(t, moderateShare, hosts[1].Rate(now), 1e4)
	for _, h := range hosts[2:] { // these split the remaining leasable rate equally
		assert.InDelta(t, floor+(testCap/2-(moderateShare-floor))/2, h.Rate(now), 1e4)
	}
	assert.InDelta(t, testCap/2, allocator.Outstanding(now), 1e4)
}

// TestSilence guards against a new allocator that grants leases before those of
// its predecessor have expired. A new host sends no request for AttachTime, and
// a new allocator then grants it nothing for LeaseLifetime.
func TestSilence(t *testing.T) {
	now := vtime.Epoch
	a := NewAllocator(testCap, 1, 1)
	h := NewBucket(now, "h", Floor(testCap, 1))
	firstGrant := time.Time{}
	for firstGrant.IsZero() && now.Sub(vtime.Epoch) < time.Minute {
		now = now.Add(time.Second)
		h.Take(now, tables.Urgent, 60e6)
		if r, ok := h.NextRequest(now, "a"); ok {
			if l := a.Grant(now, r); l.Rate > 0 {
				firstGrant = now
			} else {
				h.Apply(now, "a", l)
			}
		}
	}
	assert.Equal(t, AttachTime+LeaseLifetime, firstGrant.Sub(vtime.Epoch))
}

// attachHosts sends requests of two hosts until a counts both, and returns the
// time and the last stamps.
func attachHosts(a *Allocator, now time.Time) (time.Time, [2]time.Time) {
	var stamps [2]time.Time
	for range 7 {
		now = now.Add(time.Second)
		for i, host := range []string{"x", "y"} {
			stamps[i] = a.Grant(now, Request{Host: host, Epoch: 1, Stamp: stamps[i]}).Stamp
		}
	}
	return now, stamps
}

// TestOlderLeaseCounts guards against leasing out part of an unexpired lease
// after a smaller one was issued: the host may not have received the smaller
// lease and still use the larger one.
func TestOlderLeaseCounts(t *testing.T) {
	a := NewAllocator(testCap, 2, 1)
	now, stamps := attachHosts(a, vtime.Epoch)
	requestLease := func(i int, rate float64) float64 {
		l := a.Grant(now, Request{Host: []string{"x", "y"}[i], Rate: rate, Epoch: 1, Stamp: stamps[i]})
		stamps[i] = l.Stamp
		return l.Rate
	}
	assert.Equal(t, testCap/2, requestLease(0, 60e6))
	assert.Zero(t, requestLease(1, 60e6), "x holds the whole leasable rate")
	requestLease(0, 1e6)
	now = now.Add(2 * time.Second)
	assert.Zero(t, requestLease(1, 60e6), "x may not have received its smaller lease")
	requestLease(0, 1e6)
	now = now.Add(2 * time.Second)
	requestLease(1, 0)
	requestLease(0, 1e6)
	now = now.Add(time.Second)
	assert.Equal(t, testCap/2-1e6, requestLease(1, 60e6))
}

// TestOldRequests guards against counting a host because of requests that were
// in transit or queued while the host switched to another allocator. Such
// requests carry an old stamp or the epoch of another allocator.
func TestOldRequests(t *testing.T) {
	a := NewAllocator(testCap, 2, 1)
	now, stamps := attachHosts(a, vtime.Epoch)
	for range int(AttachTime / time.Second) {
		now = now.Add(time.Second)
		a.Grant(now, Request{Host: "x", Epoch: 1, Stamp: stamps[0]})
		a.Grant(now, Request{Host: "y", Epoch: 99, Stamp: now.Add(time.Hour)})
	}
	assert.Zero(t, a.Dump(now).Total)
}

// TestLateLease guards against a host that uses a delayed lease for longer than
// the allocator counts it as outstanding.
func TestLateLease(t *testing.T) {
	now := vtime.Epoch.Add(AttachTime)
	b := NewBucket(vtime.Epoch, "h", 1000)
	r, ok := b.NextRequest(now, "a")
	require.True(t, ok)
	l := Lease{Host: "h", Seq: r.Seq, Rate: 5000, Epoch: 1}
	late := now.Add(LeaseLifetime - time.Second)
	require.True(t, b.Apply(late, "a", l))
	assert.Equal(t, 6000.0, b.Rate(late))
	assert.Equal(t, 1000.0, b.Rate(late.Add(time.Second)))
	r, _ = b.NextRequest(late, "a")
	l.Seq = r.Seq
	assert.False(t, b.Apply(late.Add(LeaseLifetime), "a", l))
}

// TestTakeBoth guards against tokens that stay taken in one direction when the
// bucket of the other direction rejects the request.
func TestTakeBoth(t *testing.T) {
	now := vtime.Epoch.Add(time.Minute) // both buckets full: 250 bytes each
	out, back := NewBucket(vtime.Epoch, "h", 1000), NewBucket(vtime.Epoch, "h", 1000)
	assert.False(t, TakeBoth(now, out, back, tables.Urgent, 250, 251))
	assert.True(t, TakeBoth(now, out, back, tables.Urgent, 250, 250))
	assert.False(t, TakeBoth(now, out, back, tables.Urgent, 1, 0))
}

// TestBurst guards against a full bucket that lets more than the share through
// within one second.
func TestBurst(t *testing.T) {
	now := vtime.Epoch.Add(time.Minute)
	b := NewBucket(vtime.Epoch, "h", 1000)
	sum := 0
	for range 999 {
		for b.Take(now, tables.Urgent, 1) {
			sum++
		}
		now = now.Add(time.Millisecond)
	}
	assert.InDelta(t, 1000, sum, 3)
	assert.LessOrEqual(t, sum, 1000)
}

// TestThresholds guards against requests of less urgent ranks that use up the
// tokens reserved for more urgent ones.
func TestThresholds(t *testing.T) {
	now := vtime.Epoch
	b := NewBucket(now, "h", 1000)
	now = now.Add(10 * time.Second) // bucket full: 250 bytes
	require.True(t, b.Take(now, tables.Patient, 101))
	assert.False(t, b.Take(now, tables.Patient, 1))
	require.True(t, b.Take(now, tables.Once, 75))
	assert.False(t, b.Take(now, tables.Once, 1))
	assert.True(t, b.Take(now, tables.Urgent, 74))
	assert.False(t, b.Take(now, tables.Urgent, 1))
	b.Settle(now, 74, 174)
	now = now.Add(100 * time.Millisecond) // refills 75 bytes, less than the deficit of 100
	assert.False(t, b.Take(now, tables.Urgent, 1), "bytes above the estimate leave a deficit")
	assert.NotEmpty(t, b.Dump(now).Host)
}

func BenchmarkTake(b *testing.B) {
	now := vtime.Epoch
	bucket := NewBucket(now, "h", 1e6)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		bucket.Take(now, tables.Urgent, 4096)
	}
}

func BenchmarkGrant(b *testing.B) {
	now := vtime.Epoch
	a := NewAllocator(testCap, 17, 1)
	stamps := make([]time.Time, 17)
	names := make([]string, 17)
	for i := range names {
		names[i] = fmt.Sprint("h", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Second / 17)
		k := i % 17
		stamps[k] = a.Grant(now, Request{Host: names[k], Seq: uint64(i), Rate: 3e6, Epoch: 1, Stamp: stamps[k]}).Stamp
	}
}
