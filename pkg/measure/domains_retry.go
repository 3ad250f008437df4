package measure

import (
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/retry"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/vtime"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// The retry storm scenario: a pool runs at half capacity for 30 s.
const (
	stormRun      = 120 // seconds
	stormFrom     = 20
	stormTo       = 50
	stormSlots    = 96 // stock, 12x8
	stormService  = 40 * time.Millisecond
	stormLoad     = 0.7
	stormDeadline = 400 * time.Millisecond
	baselineTries = 4 // three retries per request
	// waitMargin covers the variation of the wait. Without it the queue settled
	// at the deadline, and most requests that ran were answered too late.
	waitMargin = 1.25
)

// stormRequest is a caller's request; tries are separate queue entries.
type stormRequest struct {
	second   int
	tries    int
	returns  int
	answered bool
	start    time.Time // of the present deadline
}

// stormWorld is one pool behind one entry host.
type stormWorld struct {
	*vtime.Scheduler
	baseline bool
	budget   *retry.Budget
	queue    []*stormTry
	busy     int
	slots    int
	offered  []int
	served   []int
	answered []int // by the second of the answer, also late ones
	tries    int   // sent towards the servers
	retries  int
	requests int // including callers that come back after advice
}

type stormTry struct {
	req      *stormRequest
	deadline time.Time
}

func newStormWorld(seed uint64, baseline bool) *stormWorld {
	w := &stormWorld{Scheduler: vtime.New(seed), baseline: baseline, slots: stormSlots}
	w.budget = retry.New(w.Now(), w.Rand)
	w.offered, w.served = make([]int, stormRun+1), make([]int, stormRun+1)
	w.answered = make([]int, stormRun+1)
	gap := time.Duration(stormService.Seconds() / (stormLoad * stormSlots) * float64(time.Second))
	var next func()
	next = func() {
		w.After(w.Exponential(gap), next)
		second := int(w.Elapsed() / time.Second)
		w.offered[second]++
		w.arrive(&stormRequest{second: second})
	}
	w.After(0, next)
	w.After(stormFrom*time.Second, func() { w.slots = stormSlots / 2 })
	w.After(stormTo*time.Second, func() { w.slots = stormSlots; w.dispatch() })
	return w
}

// arrive starts a request, first or again after the advised time.
func (w *stormWorld) arrive(r *stormRequest) {
	r.start, r.tries = w.Now(), 0
	w.requests++
	w.budget.RecordRequest(w.Now())
	w.try(r)
}

// wait returns the expected wait of a new try.
func (w *stormWorld) wait() time.Duration {
	if w.busy < w.slots {
		return 0
	}
	return time.Duration(len(w.queue)+1) * stormService / time.Duration(w.slots)
}

// try sends one try. The system refuses tries that would be late; the baseline
// queues everything, and its servers run tries that no caller waits for.
func (w *stormWorld) try(r *stormRequest) {
	r.tries++
	t := &stormTry{r, r.start.Add(stormDeadline)}
	if w.baseline {
		t.deadline = w.Now().Add(stormDeadline)
		w.After(stormDeadline, func() {
			if !r.answered && r.tries < baselineTries {
				w.retries++
				w.try(r)
			}
		})
	} else if float64(w.wait())*waitMargin+float64(stormService) > float64(t.deadline.Sub(w.Now())) {
		w.refused(r)
		return
	}
	w.tries++
	w.queue = append(w.queue, t)
	w.dispatch()
}

// refused retries under the budget or sends the caller away with advice.
func (w *stormWorld) refused(r *stormRequest) {
	left := r.start.Add(stormDeadline).Sub(w.Now())
	a := retry.RequestState{Idempotent: true, Run: result.NotRun, Tries: r.tries, DeadlineLeft: left}
	if d := w.budget.Allow(w.Now(), a); d.OK {
		w.retries++
		w.After(d.Wait, func() { w.try(r) })
		return
	}
	if r.returns++; r.returns < baselineTries {
		load := float64(w.wait()) / float64(stormDeadline)
		w.After(retry.RetryAfter(w.Rand, load), func() { w.arrive(r) })
	}
}

func (w *stormWorld) dispatch() {
	for w.busy < w.slots && len(w.queue) > 0 {
		t := w.queue[0]
		w.queue = w.queue[1:]
		if !w.baseline && w.Now().After(t.deadline) {
			w.refused(t.req)
			continue
		}
		w.busy++
		service := stormService/4 + w.Exponential(stormService*3/4)
		w.After(service, func() {
			w.busy--
			w.budget.RecordServiceTime(w.Now(), service)
			if !t.req.answered && !w.Now().After(t.deadline) {
				t.req.answered = true
				w.answered[int(w.Elapsed()/time.Second)]++
				// An answer after a return or a timeout is later than the
				// caller's first deadline.
				if t.req.returns == 0 && (!w.baseline || t.req.tries == 1) {
					w.served[t.req.second]++
				}
			}
			w.dispatch()
		})
	}
}

// normalAfter returns the seconds from the return of the capacity until 99% of
// the new requests are answered in time for three seconds.
func (w *stormWorld) normalAfter() float64 {
	for i := stormTo; i+3 < stormRun; i++ {
		offered, served := 0, 0
		for k := i; k < i+3; k++ {
			offered, served = offered+w.offered[k], served+w.served[k]
		}
		if float64(served) >= 0.99*float64(offered) {
			return float64(i - stormTo)
		}
	}
	return stormRun - stormTo
}

func (w *stormWorld) inTime(from, to int) float64 {
	offered, served := 0, 0
	for k := from; k < to; k++ {
		offered, served = offered+w.offered[k], served+w.served[k]
	}
	return float64(served) / float64(offered)
}

// useful returns the answers that somebody waited for at half capacity, as a
// fraction of what the slots can run.
func (w *stormWorld) useful() float64 {
	n := 0
	for _, v := range w.answered[stormFrom:stormTo] {
		n += v
	}
	return float64(n) / ((stormTo - stormFrom) * stormSlots / 2 / stormService.Seconds())
}

// runRetryStorm runs the scenario with budgets and with three retries for every
// request.
func runRetryStorm(seed uint64) Report {
	var w [2]*stormWorld
	for i := range w {
		w[i] = newStormWorld(seed, i == 1)
		w[i].RunUntil(stormRun * time.Second)
	}
	a, b := w[0], w[1]
	amplification := func(w *stormWorld) float64 { return float64(w.retries) / float64(w.requests) }
	return Report{Figures: []Figure{
		{Name: "time to normal after the capacity returns", Unit: "s", Value: a.normalAfter(), Baseline: b.normalAfter(), HasBaseline: true, Bound: 10, AtMost: true},
		{Name: "retries", Unit: "per request", Value: amplification(a), Baseline: amplification(b), HasBaseline: true,
			Bound: retry.RetryFraction + (retry.RetryPerSecond*stormRun+retry.RetryBurst)/float64(a.requests), AtMost: true},
		{Name: "answered in time at half capacity", Unit: "fraction", Value: a.inTime(stormFrom, stormTo), Baseline: b.inTime(stormFrom, stormTo), HasBaseline: true},
		{Name: "useful answers at half capacity", Unit: "fraction of the capacity", Value: a.useful(), Baseline: b.useful(), HasBaseline: true, Bound: 0.9, AtLeast: true},
		{Name: "answered in time from 10 s after the return", Unit: "fraction", Value: a.inTime(stormTo+10, stormRun-2),
			Baseline: b.inTime(stormTo+10, stormRun-2), HasBaseline: true, Bound: 0.99, AtLeast: true},
		{Name: "tries sent to servers", Unit: "per second", Value: float64(a.tries) / stormRun, Baseline: float64(b.tries) / stormRun, HasBaseline: true},
	}}
}
