package admission

import (
	"math"
	"time"
)

const (
	// ShareWindow is the time constant of the moving averages of slot use. It
	// spans several requests of the longest typical service time (0.5 s) and is
	// short compared with the recovery from a flood.
	ShareWindow = 2 * time.Second
	// ActiveWindow is how long less urgent ranks keep a reserve for a rank after
	// its last request.
	ActiveWindow = 30 * time.Second
	// InitialService is the assumed service time of a rank before its first
	// observation.
	InitialService = 50 * time.Millisecond
	// LongServiceTime is the typical service time from which a rank leaves the
	// whole recent demand of more urgent ranks free. With a reserve of one slot,
	// a flood of patient requests of 1.5 s delayed work of rank "once" past its
	// deadlines (94% answered on 6 slots); a flood of requests of 150 ms did not.
	LongServiceTime = time.Second
	// serviceGain is the weight of one observation in the moving average of the
	// service time.
	serviceGain = 0.1
	// maxShareExcessSlots is how far cappedShare may rise above the floor of the
	// rank. It has to cover one request that starts when the share is just
	// below the floor; otherwise one long request would be followed by the next
	// at once.
	maxShareExcessSlots = 0.5
	// MinRetryAfter and MaxRetryAfter bound the retry-after time of refusals.
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
)

// usage is the recent slot use of a rank.
type usage struct {
	running int
	// share and demand are exponential moving averages over ShareWindow, in
	// slots: share of the running requests, demand of the running and waiting
	// requests, where at most as many waiting ones as there are slots count.
	share, demand float64
	// cappedShare is a moving average like share, clipped to maxShareExcessSlots
	// above the floor.
	cappedShare float64
	// service is the moving average of the service time.
	service   time.Duration
	lastOffer time.Time
}

// advance brings the moving averages up to now.
func (q *Queue) advance(now time.Time) {
	dt := now.Sub(q.lastAdvance)
	if dt <= 0 {
		return
	}
	q.lastAdvance = now
	decay := math.Exp(-float64(dt) / float64(ShareWindow))
	for i := range q.ranks {
		r := &q.ranks[i]
		u := &r.use
		u.share = decay*u.share + (1-decay)*float64(u.running)
		// Use above the floor is capacity that other ranks left idle. It must not
		// count against the rank later, or the rank would be shut out at the start
		// of a flood (with a floor of 0.05, patient work got 0.042 of the slot time
		// in the first 10 s of an urgent flood).
		u.cappedShare = min(decay*u.cappedShare+(1-decay)*float64(u.running), q.floor(i)+maxShareExcessSlots)
		u.demand = decay*u.demand + (1-decay)*float64(u.running+min(r.len, q.slots))
	}
}

// Started records that a request of the rank was given a slot.
func (q *Queue) Started(now time.Time, rank int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	q.ranks[rank].use.running++
}

// Finished records that a request of the rank gave back its slot.
func (q *Queue) Finished(now time.Time, rank int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	u := &q.ranks[rank].use
	u.running = max(0, u.running-1)
}

// Observe adds the service time of an answered request to the average of its
// rank.
func (q *Queue) Observe(rank int, service time.Duration) {
	if service <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	u := &q.ranks[rank].use
	u.service += time.Duration(serviceGain * float64(service-u.service))
}

// Service returns the typical service time of a rank.
func (q *Queue) Service(rank int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ranks[rank].use.service
}

// floor returns the floor of a rank in slots.
func (q *Queue) floor(rank int) float64 { return q.cfg.Floors.Of(rank) * float64(q.slots) }

// underFloor reports whether the recent share of a rank is below its floor.
func (q *Queue) underFloor(rank int) bool {
	return q.ranks[rank].use.cappedShare < q.floor(rank)
}

// order returns the ranks with waiting requests in the order in which they are
// served, padded with -1.
func (q *Queue) order() [ranks]int {
	out, n := [ranks]int{}, 0
	for _, under := range [...]bool{true, false} {
		for i := range q.ranks {
			if q.ranks[i].len > 0 && q.underFloor(i) == under {
				out[n] = i
				n++
			}
		}
	}
	for ; n < ranks; n++ {
		out[n] = -1
	}
	return out
}

// reserve returns how many slots a rank and the less urgent ranks leave to more
// urgent ranks that were active within ActiveWindow. It is a part of the recent
// demand of those ranks that grows with the typical service time of the rank,
// up to all of it for LongServiceTime. It is at least one slot and at most the
// sum of their floors. Short requests free their slots soon, so a larger reserve
// would only leave slots idle.
func (q *Queue) reserve(rank int) int {
	demand, floors := 0.0, 0.0
	for i := range rank {
		u := &q.ranks[i].use
		if !u.lastOffer.IsZero() && q.lastAdvance.Sub(u.lastOffer) <= ActiveWindow {
			demand += u.demand
			floors += q.floor(i)
		}
	}
	if floors == 0 {
		return 0
	}
	part := min(1, float64(q.ranks[rank].use.service)/float64(LongServiceTime))
	return int(min(max(1, math.Ceil(part*demand)), math.Ceil(floors)))
}

// mayStart reports whether a rank may be given one more slot. The requests of
// the rank and of less urgent ranks must leave the reserve for more urgent ranks
// free, but a rank may always use its floor, rounded up.
func (q *Queue) mayStart(rank int) bool {
	if rank == 0 {
		return true
	}
	if float64(q.ranks[rank].use.running) < math.Ceil(q.floor(rank)) {
		return true
	}
	running := 0
	for i := rank; i < ranks; i++ {
		running += q.ranks[i].use.running
	}
	return running < q.slots-q.reserve(rank)
}

// expectedWait returns the expected wait of a request of the rank with ahead
// requests of its rank before it. The rank is assumed to get the slots that
// remain after the recent use of more urgent ranks and the floors of less urgent
// ranks with waiting requests, and at least its own floor.
func (q *Queue) expectedWait(rank, ahead int) time.Duration {
	if q.slots <= 0 {
		return 0
	}
	share := float64(q.slots)
	busy := 0
	for i := range q.ranks {
		r := &q.ranks[i]
		busy += r.use.running
		if i < rank {
			share -= r.use.share
		} else if i > rank && r.len > 0 {
			share -= q.floor(i)
		}
	}
	if ahead == 0 && busy < q.slots {
		return 0
	}
	share = max(share, q.floor(rank), minShareSlots)
	return time.Duration(float64(ahead+1) * float64(q.ranks[rank].use.service) / share)
}

// minShareSlots avoids a division by 0 for ranks without floor.
const minShareSlots = 0.01

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, MinRetryAfter), MaxRetryAfter)
}
