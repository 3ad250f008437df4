package measure

import (
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

func baseState(shed bool) result.RunState {
	if shed {
		return result.NotRun
	}
	return result.Unknown
}

// choiceAttempts is how often a host of the choice-of-two baseline tries.
const choiceAttempts = 3

// choiceFront is a baseline: every host chooses the less used of two random
// servers by its own requests only, and tries again when the server sheds.
type choiceFront struct {
	lab  *lab
	used [hostsPerDomain]map[*backend]int
}

func newChoiceFront(l *lab) *choiceFront {
	f := &choiceFront{lab: l}
	for i := range f.used {
		f.used[i] = map[*backend]int{}
	}
	l.front = f
	return f
}

func (f *choiceFront) submit(w *work) { f.try(w, choiceAttempts) }

func (f *choiceFront) try(w *work, attempts int) {
	used := f.used[w.host]
	b, c := f.random(), f.random()
	if used[c] < used[b] {
		b = c
	}
	used[b]++
	f.lab.run(w, b, w.deadline, func(shed, timeout bool) {
		used[b]--
		switch {
		case shed && attempts > 1:
			f.try(w, attempts-1)
		case shed || timeout:
			f.lab.refuse(w, baseState(shed))
		default:
			f.lab.answer(w)
		}
	})
}

func (f *choiceFront) random() *backend {
	return f.lab.backends[f.lab.sched.Rand.IntN(len(f.lab.backends))]
}

// splitFront is a baseline: every host owns an even part of each server's
// slots and queues its requests first come, first served until their deadline.
type splitFront struct {
	lab   *lab
	own   [hostsPerDomain]map[*backend]int
	queue [hostsPerDomain][]*work
}

func newSplitFront(l *lab) *splitFront {
	f := &splitFront{lab: l}
	for i := range f.own {
		f.own[i] = map[*backend]int{}
	}
	turn := 0
	for _, b := range l.backends {
		for range b.slots {
			f.own[turn%hostsPerDomain][b]++
			turn++
		}
	}
	l.front = f
	return f
}

func (f *splitFront) submit(w *work) {
	f.queue[w.host] = append(f.queue[w.host], w)
	f.next(w.host)
}

func (f *splitFront) next(host int) {
	for len(f.queue[host]) > 0 {
		w := f.queue[host][0]
		if !f.lab.sched.Now().Before(w.deadline) {
			f.queue[host] = f.queue[host][1:]
			f.lab.refuse(w, result.NotRun)
			continue
		}
		b := f.freeOf(host)
		if b == nil {
			return
		}
		f.queue[host] = f.queue[host][1:]
		f.own[host][b]--
		f.lab.run(w, b, w.deadline, func(shed, timeout bool) {
			f.own[host][b]++
			if shed || timeout {
				f.lab.refuse(w, baseState(shed))
			} else {
				f.lab.answer(w)
			}
			f.next(host)
		})
	}
}

func (f *splitFront) freeOf(host int) *backend {
	var best *backend
	for _, b := range f.lab.backends {
		if f.own[host][b] > 0 && (best == nil || f.own[host][b] > f.own[host][best]) {
			best = b
		}
	}
	return best
}

// callerPatience is how long a caller of the first-come baseline goes on. It
// bounds the memory of a run and favours the baseline.
const callerPatience = 20 * time.Second

// firstComeFront is a baseline: one unbounded queue per domain, first come,
// first served, over all servers. A caller that has no answer by its deadline
// asks again at once; requests of earlier attempts stay queued and are run.
type firstComeFront struct {
	lab   *lab
	queue []*work
	used  map[*backend]int
	busy  int
}

func newFirstComeFront(l *lab) *firstComeFront {
	f := &firstComeFront{lab: l, used: map[*backend]int{}}
	l.front = f
	return f
}

func (f *firstComeFront) submit(w *work) {
	f.queue = append(f.queue, w)
	f.next()
	f.lab.sched.After(f.lab.work.deadline[w.rank], func() {
		if !w.settled && f.lab.sched.Now().Sub(w.arrive) < callerPatience {
			f.submit(w)
		}
	})
}

func (f *firstComeFront) next() {
	for len(f.queue) > 0 && f.busy < f.lab.total {
		w := f.queue[0]
		f.queue = f.queue[1:]
		b := f.lab.backends[0]
		for _, c := range f.lab.backends {
			if c.slots-f.used[c] > b.slots-f.used[b] {
				b = c
			}
		}
		f.busy++
		f.used[b]++
		f.lab.run(w, b, f.lab.sched.Now().Add(f.lab.work.deadline[w.rank]), func(shed, timeout bool) {
			f.busy--
			f.used[b]--
			if !shed && !timeout {
				f.lab.answer(w)
			}
			f.next()
		})
	}
}
