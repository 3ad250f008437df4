package placing

import (
	"math"
	"slices"
	"time"
)

// Limits of waiting requests.
const (
	// HoldShare is the part of the target latency for which a request waits for
	// a slot before it is rejected.
	HoldShare = 0.25
	// waitingMost bounds the waiting requests of one pool.
	waitingMost = 256
	// wakeTries bounds the waiting requests that are looked at when a slot may
	// have come free, the most urgent first.
	wakeTries = 6
	// drainHalf is the time in which past ends of waits lose half of their weight,
	// and drainLeast the time for which requests must have waited without a pause
	// before they tell how fast the line moves.
	drainHalf  = time.Second
	drainLeast = 300 * time.Millisecond
	// flightSlack is how long after its deadline a request may still be in
	// progress before it counts as ended.
	flightSlack = 500 * time.Millisecond
)

// Ref names a request of an entry host.
type Ref struct {
	Host string
	ID   uint64
}

// Placement is the decision about one request.
type Placement struct {
	Ref    Ref
	Choice Choice
	// Waited is the time that the request waited for a slot.
	Waited time.Duration
}

// Ending is how a request ended, and the load that the server told.
type Ending struct {
	Outcome Outcome
	// Took is the time from the send to the answer.
	Took time.Duration
	// Loaded is set if the server told its running and waiting requests.
	Loaded           bool
	Running, Waiting int
}

// Dispatcher places the requests of several entry hosts on the servers of a
// pool and holds those that wait for a slot. It is not safe for concurrent use.
type Dispatcher struct {
	*Pool
	flights map[Ref]*flight
	line    []*waiter // by priority, then by arrival
	// drained counts the requests that got a slot from the line, with decay, by
	// priority; since is when the line was last empty.
	drained   map[int]float64
	drainedAt time.Time
	since     time.Time
}

// flight is a request that was placed and has not ended.
type flight struct {
	placement Placement
	need      Need
	until     time.Time
}

type waiter struct {
	ref      Ref
	need     Need
	since    time.Time
	deadline time.Time
	until    time.Time // when the wait ends
}

// NewDispatcher returns a dispatcher for a pool.
func NewDispatcher(p *Pool) *Dispatcher {
	return &Dispatcher{Pool: p, flights: map[Ref]*flight{}, drained: map[int]float64{}}
}

// Offer places a request, or queues it if all servers are busy and a slot is
// expected in time; a later call of Wake, End or Forget then returns its
// placement. A request that is not expected to get a slot is rejected at once.
func (d *Dispatcher) Offer(now time.Time, ref Ref, need Need, deadline time.Time) (_ Placement, queued bool) {
	need.Left = deadline.Sub(now)
	choice := d.Pick(now, need)
	hold := min(seconds(need.Target.Seconds()*HoldShare), need.Left-choice.Expected)
	if choice.Verdict == Wait && len(d.line) < waitingMost && d.expectedWait(now, need) < hold {
		d.enqueue(&waiter{ref: ref, need: need, since: now, deadline: deadline, until: now.Add(hold)})
		return Placement{}, true
	}
	return d.start(now, ref, choice, need, deadline, 0), false
}

// expectedWait is how long a request waits for a slot behind those in line.
func (d *Dispatcher) expectedWait(now time.Time, need Need) time.Duration {
	ahead := 0
	for _, w := range d.line {
		if w.need.Priority <= need.Priority {
			ahead++
		}
	}
	if ahead == 0 {
		return 0
	}
	// Before the line has told how fast it moves, every slot counts.
	rate := float64(d.own) / d.usual(d.estimates(need))
	if now.Sub(d.since) >= drainLeast {
		d.decay(now)
		rate = 0
		for priority, n := range d.drained {
			if priority <= need.Priority {
				rate += n * math.Ln2 / drainHalf.Seconds()
			}
		}
	}
	if rate <= 0 {
		return math.MaxInt64
	}
	return seconds(min(float64(ahead)/rate, maxWait))
}

// maxWait bounds expected waits in seconds.
const maxWait = 3600

// decay lets past ends of waits lose weight.
func (d *Dispatcher) decay(now time.Time) {
	keep := math.Exp2(-float64(now.Sub(d.drainedAt)) / float64(drainHalf))
	for priority := range d.drained {
		d.drained[priority] *= keep
	}
	d.drainedAt = now
}

func (d *Dispatcher) start(now time.Time, ref Ref, c Choice, need Need, deadline time.Time, waited time.Duration) Placement {
	p := Placement{Ref: ref, Choice: c, Waited: waited}
	if c.Verdict == Send {
		d.Started(now, c, need)
		d.flights[ref] = &flight{placement: p, need: need, until: deadline.Add(flightSlack)}
	}
	return p
}

func (d *Dispatcher) enqueue(w *waiter) {
	if len(d.line) == 0 {
		d.since = w.since
		clear(d.drained)
		d.drainedAt = w.since
	}
	i, _ := slices.BinarySearchFunc(d.line, w, func(a, b *waiter) int {
		if a.need.Priority != b.need.Priority {
			return a.need.Priority - b.need.Priority
		}
		return a.since.Compare(b.since)
	})
	d.line = slices.Insert(d.line, i, w)
	d.waiting = len(d.line)
}

// Wake offers free slots to the waiting requests and returns those that were
// placed or have waited for too long.
func (d *Dispatcher) Wake(now time.Time) []Placement {
	var out []Placement
	keep := d.line[:0]
	tried := 0
	for _, w := range d.line {
		if tried >= wakeTries && now.Before(w.until) {
			keep = append(keep, w)
			continue
		}
		tried++
		w.need.Left = w.deadline.Sub(now)
		choice := d.Pick(now, w.need)
		if choice.Verdict == Wait && now.Before(w.until) {
			keep = append(keep, w)
			continue
		}
		if choice.Verdict == Send {
			d.decay(now)
			d.drained[w.need.Priority]++
		}
		out = append(out, d.start(now, w.ref, choice, w.need, w.deadline, now.Sub(w.since)))
	}
	clear(d.line[len(keep):])
	d.line = keep
	d.waiting = len(keep)
	return out
}

// End records the end of a request, placed or waiting, and returns the waiting
// ones that got its slot.
func (d *Dispatcher) End(now time.Time, ref Ref, e Ending) []Placement {
	f := d.flights[ref]
	if f == nil {
		d.drop(func(w *waiter) bool { return w.ref == ref })
		return nil
	}
	delete(d.flights, ref)
	d.Learn(now, f.placement.Choice, f.need, e)
	return d.Wake(now)
}

// Learn records the end of a request that was Started.
func (d *Dispatcher) Learn(now time.Time, c Choice, need Need, e Ending) {
	if e.Loaded {
		d.Reported(now, c.Server.ID, e.Running, e.Waiting)
	}
	d.Finished(now, c, need, e.Outcome, e.Took)
}

// Find returns the placement of a request in progress, and whether the request
// waits.
func (d *Dispatcher) Find(ref Ref) (_ Placement, placed, waiting bool) {
	if f := d.flights[ref]; f != nil {
		return f.placement, true, false
	}
	return Placement{}, false, slices.ContainsFunc(d.line, func(w *waiter) bool { return w.ref == ref })
}

// Forget ends the requests of an entry host that is gone.
func (d *Dispatcher) Forget(now time.Time, host string) []Placement {
	d.PeerLoad(host, nil)
	d.abandon(now, func(ref Ref, _ *flight) bool { return ref.Host == host })
	d.drop(func(w *waiter) bool { return w.ref.Host == host })
	return d.Wake(now)
}

// Expire ends placed requests whose end was never told.
func (d *Dispatcher) Expire(now time.Time) {
	d.abandon(now, func(_ Ref, f *flight) bool { return now.After(f.until) })
}

func (d *Dispatcher) abandon(now time.Time, match func(Ref, *flight) bool) {
	for ref, f := range d.flights {
		if match(ref, f) {
			delete(d.flights, ref)
			d.Finished(now, f.placement.Choice, f.need, Abandoned, 0)
		}
	}
}

func (d *Dispatcher) drop(match func(*waiter) bool) {
	d.line = slices.DeleteFunc(d.line, match)
	d.waiting = len(d.line)
}

// Counts returns the numbers of placed and of waiting requests.
func (d *Dispatcher) Counts() (flights, waiting int) { return len(d.flights), len(d.line) }
