package measure

import (
	"fmt"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/links"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
	"github.com/tamarackswitch/tamarackswitch/pkg/invariant"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// The thin link scenario: callers in one region fetch large statements from
// another one while stock checks use the same link.
const (
	linkHosts      = 17 // entry hosts of two regions, the most that use a link
	linkCallers    = 8  // of them in the region that asks
	linkRun        = 60 // seconds
	allocatorDies  = 30 * time.Second
	membershipLag  = 3 * time.Second // until all hosts know another allocator
	linkOneWay     = 35 * time.Millisecond
	requestBytes   = 500.0
	stockBytes     = 4.0 * 1024
	statementBytes = 200.0 * 1024
	stockRate      = 60.0 // per second and host
	statementRate  = 40.0 // per second and host: 1.9 times the cap in total
	windowBins     = 10   // bins of 100 ms in the window of one second
)

// linkWorld is the link that carries the answers, and the hosts at both ends.
type linkWorld struct {
	*vtime.Scheduler
	cap       float64
	baseline  bool
	check     *invariant.Checker
	requests  []*links.Bucket // direction of the requests
	answers   []*links.Bucket // direction of the answers
	allocator *links.Allocator
	owner     int
	bins      []float64 // bytes handed to the answer link per 100 ms
	linkFree  time.Time // when the link has sent all it was handed
	offered   [2]int
	served    [2]int
	lossStock [2]int // offered and served stock checks while leases are missing
	bytes     float64
}

func newLinkWorld(seed uint64, capBytes float64, baseline bool) *linkWorld {
	w := &linkWorld{Scheduler: vtime.New(seed), cap: capBytes, baseline: baseline, check: invariant.New()}
	w.bins = make([]float64, linkRun*windowBins+1)
	floor := links.Floor(capBytes, linkHosts)
	for i := range linkHosts {
		name := fmt.Sprint("host", i)
		w.requests = append(w.requests, links.NewBucket(w.Now(), name, floor))
		w.answers = append(w.answers, links.NewBucket(w.Now(), name, floor))
	}
	w.allocator = links.NewAllocator(capBytes, linkHosts, 1)
	for i := range linkHosts {
		w.After(time.Duration(i)*links.RenewEvery/linkHosts, func() { w.renew(i) })
	}
	for i := range linkCallers {
		w.calls(i, tables.Urgent, stockRate)
		w.calls(i, tables.Patient, statementRate)
	}
	w.After(allocatorDies, func() { w.allocator = nil })
	w.After(allocatorDies+membershipLag, func() {
		w.owner = 1
		w.allocator = links.NewAllocator(capBytes, linkHosts, 2)
	})
	return w
}

// renew exchanges one request and lease for the answer direction.
func (w *linkWorld) renew(i int) {
	w.After(links.RenewEvery, func() { w.renew(i) })
	owner := fmt.Sprint("host", w.owner)
	r, ok := w.answers[i].NextRequest(w.Now(), owner)
	if !ok {
		return
	}
	w.After(linkOneWay, func() {
		if w.allocator == nil {
			return
		}
		l := w.allocator.Grant(w.Now(), r)
		w.After(linkOneWay, func() { w.answers[i].Apply(w.Now(), owner, l) })
	})
}

func (w *linkWorld) calls(host int, rank tables.Rank, perSecond float64) {
	gap := time.Duration(float64(time.Second) / perSecond)
	var next func()
	next = func() {
		w.After(w.Exponential(gap), next)
		w.call(host, rank)
	}
	w.After(w.Exponential(gap), next)
}

// call relays one request; most is what the answer may have at most.
func (w *linkWorld) call(host int, rank tables.Rank) {
	kind, most, deadline := 0, stockBytes, w.Now().Add(rankDeadline[0])
	if rank == tables.Patient {
		kind, most, deadline = 1, statementBytes, w.Now().Add(rankDeadline[2])
	}
	missing := w.Elapsed() >= allocatorDies && w.Elapsed() < allocatorDies+membershipLag+2*links.LeaseLifetime
	w.offered[kind]++
	if missing && kind == 0 {
		w.lossStock[0]++
	}
	if !w.baseline && !links.TakeBoth(w.Now(), w.requests[host], w.answers[host], rank, requestBytes, most) {
		return
	}
	actual := most * (0.5 + w.Rand.Float64()/2)
	w.After(linkOneWay+10*time.Millisecond+w.Exponential(30*time.Millisecond), func() {
		done := w.send(actual)
		if !w.baseline {
			w.After(done.Sub(w.Now()), func() { w.answers[host].Settle(w.Now(), most, actual) })
		}
		if done.After(deadline) {
			return
		}
		w.served[kind]++
		if missing && kind == 0 {
			w.lossStock[1]++
		}
	})
}

// send hands an answer to the link, which sends in order at its rate, and
// returns when the answer arrives.
func (w *linkWorld) send(bytes float64) time.Time {
	w.bins[min(int(w.Elapsed()*windowBins/time.Second), len(w.bins)-1)] += bytes
	w.bytes += bytes
	if w.linkFree.Before(w.Now()) {
		w.linkFree = w.Now()
	}
	w.linkFree = w.linkFree.Add(time.Duration(bytes / w.cap * float64(time.Second)))
	return w.linkFree.Add(linkOneWay)
}

// peak reports every window of one second and returns the largest.
func (w *linkWorld) peak() float64 {
	most := 0.0
	for i := 0; i+windowBins <= len(w.bins); i++ {
		sum := 0.0
		for _, b := range w.bins[i : i+windowBins] {
			sum += b
		}
		w.check.LinkUse("berkane>agadir", sum, w.cap)
		most = max(most, sum)
	}
	return most
}

// runThinLink runs the scenario with and without budgets.
func runThinLink(seed uint64) Report {
	var w [2]*linkWorld
	var peaks, violations [2]float64
	var rep Report
	for i := range w {
		w[i] = newLinkWorld(seed, souss.linkCap, i == 1)
		w[i].RunUntil(linkRun * time.Second)
		peaks[i] = w[i].peak()
		sum := w[i].check.Finish()
		violations[i] = float64(sum.Broken[invariant.NoOverload])
		if i == 0 {
			rep.Violations = sum.Violations
		}
	}
	a, b := w[0], w[1]
	part := func(n [2]int) float64 { return float64(n[1]) / float64(max(n[0], 1)) }
	rep.BaselineViolations = int(violations[1])
	rep.Figures = []Figure{
		{Name: "most bytes in one second", Unit: "fraction of cap", Value: peaks[0] / a.cap, Baseline: peaks[1] / b.cap, HasBaseline: true, Bound: 1, AtMost: true},
		{Name: "mean bytes", Unit: "fraction of cap", Value: a.bytes / a.cap / linkRun, Baseline: b.bytes / b.cap / linkRun, HasBaseline: true},
		{Name: "stock checks served in time", Unit: "fraction", Value: float64(a.served[0]) / float64(a.offered[0]),
			Baseline: float64(b.served[0]) / float64(b.offered[0]), HasBaseline: true, Bound: 0.99, AtLeast: true},
		{Name: "stock checks served in time after the death of the allocator", Unit: "fraction", Value: part(a.lossStock),
			Baseline: part(b.lossStock), HasBaseline: true, Bound: 0.99, AtLeast: true},
		{Name: "statements served in time", Unit: "fraction", Value: float64(a.served[1]) / float64(a.offered[1]),
			Baseline: float64(b.served[1]) / float64(b.offered[1]), HasBaseline: true},
	}
	return rep
}
