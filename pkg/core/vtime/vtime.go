// Package vtime is a discrete-event scheduler that runs callbacks in virtual
// time. Tests and measurements that simulate many nodes in one process are
// reproducible with it.
package vtime

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Epoch is the virtual time at which every Scheduler starts.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Scheduler runs callbacks in order of their virtual time, and in order of
// scheduling for equal times. It is not safe for concurrent use.
type Scheduler struct {
	now   time.Time
	seq   uint64 // of the event that was scheduled last
	queue eventQueue
	// Rand must be the only source of randomness of a run, so that a run with
	// the same seed repeats exactly.
	Rand *rand.Rand
}

// New returns a Scheduler whose virtual time is Epoch and whose random source is
// seeded with seed.
func New(seed uint64) *Scheduler {
	return &Scheduler{now: Epoch, Rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Now returns the current virtual time.
func (s *Scheduler) Now() time.Time { return s.now }

// Elapsed returns the virtual time since Epoch.
func (s *Scheduler) Elapsed() time.Duration { return s.now.Sub(Epoch) }

// Timer is a handle to a scheduled callback. The zero Timer has no callback.
type Timer struct{ ev *event }

// Stop cancels the callback if it has not run yet.
func (t Timer) Stop() {
	if t.ev != nil {
		t.ev.fn = nil
	}
}

// After schedules fn to run once, at d after the current virtual time. A negative
// d counts as 0.
func (s *Scheduler) After(d time.Duration, fn func()) Timer {
	if d < 0 {
		d = 0
	}
	s.seq++
	ev := &event{at: s.now.Add(d), seq: s.seq, fn: fn}
	heap.Push(&s.queue, ev)
	return Timer{ev}
}

// Every schedules fn to run once per period, for the first time one period from
// now. It cannot be cancelled.
func (s *Scheduler) Every(period time.Duration, fn func()) {
	var tick func()
	tick = func() {
		fn()
		s.After(period, tick)
	}
	s.After(period, tick)
}

// RunUntil runs all callbacks that are due up to and including d after Epoch, and
// then sets the virtual time to d after Epoch.
func (s *Scheduler) RunUntil(d time.Duration) {
	end := Epoch.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		ev := heap.Pop(&s.queue).(*event)
		s.now = ev.at
		if ev.fn != nil {
			ev.fn()
		}
	}
	s.now = end
}

// Exponential returns an exponentially distributed random duration with the given
// mean.
func (s *Scheduler) Exponential(mean time.Duration) time.Duration {
	return time.Duration(s.Rand.ExpFloat64() * float64(mean))
}

type event struct {
	at  time.Time
	seq uint64 // order of scheduling; decides between events at the same time
	fn  func() // nil if the event was cancelled
}

// eventQueue is a heap of events, the next one due first.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	ev := old[len(old)-1]
	*q = old[:len(old)-1]
	return ev
}
