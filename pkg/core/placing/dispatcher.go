package placing

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxWaitShare is the share of the target latency for which a request waits
	// for a slot before it is rejected.
	MaxWaitShare = 0.25
	// maxWaiting bounds the waiting requests of one pool.
	maxWaiting = 256
	// maxWakeAttempts bounds the waiting requests that Wake tries to place,
	// the most urgent first, when a slot may have become free.
	maxWakeAttempts = 6
	// dequeueHalfLife is the half-life of the weight of past dequeues in the
	// dequeue rate.
	dequeueHalfLife = time.Second
	// minQueuedTime is how long the queue has to be non-empty without a pause
	// before the observed dequeue rate is used.
	minQueuedTime = 300 * time.Millisecond
	// expiryGrace is how long after its deadline a request may still be in
	// progress before it counts as ended.
	expiryGrace = 500 * time.Millisecond
)

// Ref identifies a request of an entry host.
type Ref struct {
	Host string
	ID   uint64
}

// Placement is the decision about one request.
type Placement struct {
	Ref    Ref
	Choice Choice
	// Waited is how long the request waited for a slot.
	Waited time.Duration
}

// Completion describes how a request ended, and the load that the server
// reported.
type Completion struct {
	Outcome Outcome
	// Took is the time from sending the request to the answer.
	Took time.Duration
	// LoadReported is set if the server reported its running and waiting requests.
	LoadReported     bool
	Running, Waiting int
	// WorkPercent is how long work took at the server at that moment, in percent of
	// its usual time, 0 if the server did not say.
	WorkPercent int
	// Notice is what the server said of itself in the answer.
	Notice ServerNotice
}

// Dispatcher places the requests of several entry hosts on the servers of a
// pool and queues those that wait for a slot. It is not safe for concurrent
// use.
type Dispatcher struct {
	*Pool
	inFlight map[Ref]*inFlightRequest
	queue    []*waiter // by priority, then by arrival
	// dequeued counts the requests that got a slot from the queue, by
	// priority and with exponential decay up to dequeuedAt. nonEmptySince is
	// when the queue was last empty.
	dequeued      map[int]float64
	dequeuedAt    time.Time
	nonEmptySince time.Time
}

// inFlightRequest is a request that was placed and has not ended.
type inFlightRequest struct {
	placement Placement
	need      Need
	expiresAt time.Time // when it counts as ended without a report
}

// waiter is a request in the queue.
type waiter struct {
	ref          Ref
	need         Need
	waitingSince time.Time
	deadline     time.Time
	giveUpAt     time.Time // when the wait ends without a slot
}

// NewDispatcher returns a dispatcher for a pool.
func NewDispatcher(p *Pool) *Dispatcher {
	return &Dispatcher{Pool: p, inFlight: map[Ref]*inFlightRequest{}, dequeued: map[int]float64{}}
}

// Offer places a request, or queues it if all servers are busy and a slot is
// expected in time; a later call of Wake, End or Forget then returns its
// placement. A request that is not expected to get a slot is rejected at
// once.
func (d *Dispatcher) Offer(now time.Time, ref Ref, need Need, deadline time.Time) (_ Placement, queued bool) {
	need.TimeLeft, need.Host = deadline.Sub(now), ref.Host
	choice := d.Pick(now, need)
	maxWait := min(secondsToDuration(need.Target.Seconds()*MaxWaitShare), need.TimeLeft-choice.Expected)
	if choice.Verdict == Wait && len(d.queue) < maxWaiting && d.expectedWait(now, need) < maxWait {
		d.enqueue(&waiter{ref: ref, need: need, waitingSince: now, deadline: deadline, giveUpAt: now.Add(maxWait)})
		return Placement{}, true
	}
	return d.start(now, ref, choice, need, deadline, 0), false
}

// expectedWait estimates how long a request waits for a slot behind the
// queued requests of the same or higher urgency.
func (d *Dispatcher) expectedWait(now time.Time, need Need) time.Duration {
	ahead := 0
	for _, w := range d.queue {
		if w.need.Priority <= need.Priority {
			ahead++
		}
	}
	if ahead == 0 {
		return 0
	}
	// Until a dequeue rate has been observed, assume that every slot of the
	// region serves the queue.
	rate := float64(d.ownSlots) / d.meanService(d.estimates(need))
	if now.Sub(d.nonEmptySince) >= minQueuedTime {
		d.decay(now)
		// The sum of past dequeues, divided by the time constant of its decay,
		// is a rate per second.
		rate = 0
		for priority, n := range d.dequeued {
			if priority <= need.Priority {
				rate += n * math.Ln2 / dequeueHalfLife.Seconds()
			}
		}
	}
	if rate <= 0 {
		return math.MaxInt64
	}
	return secondsToDuration(min(float64(ahead)/rate, maxWaitSeconds))
}

// maxWaitSeconds bounds expected waits, which could otherwise exceed the range
// of time.Duration at a very low dequeue rate.
const maxWaitSeconds = 3600

// decay reduces the weight of past dequeues according to the time since the
// last call.
func (d *Dispatcher) decay(now time.Time) {
	keep := math.Exp2(-float64(now.Sub(d.dequeuedAt)) / float64(dequeueHalfLife))
	for priority := range d.dequeued {
		d.dequeued[priority] *= keep
	}
	d.dequeuedAt = now
}

// start returns the placement of a request and, if it is to be sent, records
// it as in flight.
func (d *Dispatcher) start(now time.Time, ref Ref, c Choice, need Need, deadline time.Time, waited time.Duration) Placement {
	p := Placement{Ref: ref, Choice: c, Waited: waited}
	if c.Verdict == Send {
		d.Started(now, c, need)
		d.inFlight[ref] = &inFlightRequest{placement: p, need: need, expiresAt: deadline.Add(expiryGrace)}
	}
	return p
}

// enqueue inserts a request into the queue by priority and arrival.
func (d *Dispatcher) enqueue(w *waiter) {
	if len(d.queue) == 0 {
		d.nonEmptySince = w.waitingSince
		clear(d.dequeued)
		d.dequeuedAt = w.waitingSince
	}
	i, _ := slices.BinarySearchFunc(d.queue, w, func(a, b *waiter) int {
		if a.need.Priority != b.need.Priority {
			return a.need.Priority - b.need.Priority
		}
		return a.waitingSince.Compare(b.waitingSince)
	})
	d.queue = slices.Insert(d.queue, i, w)
	d.waiting = len(d.queue)
}

// Wake tries to place waiting requests and returns those that were placed, or
// rejected because they waited too long or cannot be answered in time.
func (d *Dispatcher) Wake(now time.Time) []Placement {
	var out []Placement
	keep := d.queue[:0]
	tried := 0
	for _, w := range d.queue {
		if tried >= maxWakeAttempts && now.Before(w.giveUpAt) {
			keep = append(keep, w)
			continue
		}
		tried++
		w.need.TimeLeft = w.deadline.Sub(now)
		choice := d.Pick(now, w.need)
		if choice.Verdict == Wait && now.Before(w.giveUpAt) {
			keep = append(keep, w)
			continue
		}
		if choice.Verdict == Send {
			d.decay(now)
			d.dequeued[w.need.Priority]++
		}
		out = append(out, d.start(now, w.ref, choice, w.need, w.deadline, now.Sub(w.waitingSince)))
	}
	clear(d.queue[len(keep):])
	d.queue = keep
	d.waiting = len(keep)
	return out
}

// End records the end of a request, placed or waiting. After a placed one it
// returns the placements of waiting requests as Wake does.
func (d *Dispatcher) End(now time.Time, ref Ref, e Completion) []Placement {
	f := d.inFlight[ref]
	if f == nil {
		d.removeWaiting(func(w *waiter) bool { return w.ref == ref })
		return nil
	}
	delete(d.inFlight, ref)
	d.RecordCompletion(now, f.placement.Choice, f.need, e)
	return d.Wake(now)
}

// RecordCompletion records the end of a request after it was Started, and what the
// server reported with it: its load, and its notice to need.Host.
func (d *Dispatcher) RecordCompletion(now time.Time, c Choice, need Need, e Completion) {
	d.RecordNotice(now, c.Server, need.Host, e.Notice)
	if e.LoadReported {
		d.Reported(now, c.Server.ID, e.Running, e.Waiting)
	}
	if e.WorkPercent > 0 {
		d.reportedWork(now, c.Server.ID, e.WorkPercent)
	}
	d.Finished(now, c, need, e.Outcome, e.Took)
}

// Find returns the placement of a request in progress, and whether the
// request is placed or waiting.
func (d *Dispatcher) Find(ref Ref) (_ Placement, placed, waiting bool) {
	if f := d.inFlight[ref]; f != nil {
		return f.placement, true, false
	}
	return Placement{}, false, slices.ContainsFunc(d.queue, func(w *waiter) bool { return w.ref == ref })
}

// Forget ends the requests of an entry host that is gone, and returns
// placements as Wake does.
func (d *Dispatcher) Forget(now time.Time, host string) []Placement {
	d.RecordPeerRequests(host, nil)
	d.abandon(now, func(ref Ref, _ *inFlightRequest) bool { return ref.Host == host })
	d.removeWaiting(func(w *waiter) bool { return w.ref.Host == host })
	return d.Wake(now)
}

// Expire ends placed requests whose end was not reported in time.
func (d *Dispatcher) Expire(now time.Time) {
	d.abandon(now, func(_ Ref, f *inFlightRequest) bool { return now.After(f.expiresAt) })
}

// abandon ends the matching placed requests without a result.
func (d *Dispatcher) abandon(now time.Time, match func(Ref, *inFlightRequest) bool) {
	for ref, f := range d.inFlight {
		if match(ref, f) {
			delete(d.inFlight, ref)
			d.Finished(now, f.placement.Choice, f.need, Abandoned, 0)
		}
	}
}

func (d *Dispatcher) removeWaiting(match func(*waiter) bool) {
	d.queue = slices.DeleteFunc(d.queue, match)
	d.waiting = len(d.queue)
}

// Counts returns the numbers of placed and of waiting requests.
func (d *Dispatcher) Counts() (inFlight, waiting int) { return len(d.inFlight), len(d.queue) }
