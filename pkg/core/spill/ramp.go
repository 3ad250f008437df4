package spill

import "time"

// rampWindow is the time over which growth is bounded by the shift cap.
const rampWindow = time.Second

// Ramp limits how fast a number of slots, the level, grows: it rises by single
// slots, evenly spaced, and by at most max(1, floor(slots x shift cap)) in any
// second. A lower target takes effect at once. A Ramp is not safe for concurrent
// use.
type Ramp struct {
	level      int
	pacedUntil time.Time   // time up to which the permitted growth is used
	stepTimes  []time.Time // times of the steps of the last second, oldest first
}

// StepsPerSecond returns the growth in slots per second allowed for a receiving
// domain with the given slots. It is at least 1 because slots are whole.
func StepsPerSecond(slots int, shiftCap float64) int {
	// 1e-9 keeps a rounding error of the product from costing a whole slot.
	return max(1, int(float64(slots)*shiftCap+1e-9))
}

// ReturnShare returns the fraction of a domain's callers that lookups send back
// to it when sinceReturn has passed since it came back. Without this limit,
// callers return as their cached answers expire, faster than the domain's ramp
// admits them.
func ReturnShare(sinceReturn time.Duration, shiftCap float64) float64 {
	return min(max(sinceReturn.Seconds()*shiftCap, 0), 1)
}

// Level returns the current level in slots.
func (r *Ramp) Level() int { return r.level }

// Raise moves the level towards target and returns it. perSecond is the growth
// allowed in slots per second. Less than a second of unused growth accumulates.
func (r *Ramp) Raise(now time.Time, target, perSecond int) int {
	if target <= r.level {
		r.level = max(target, 0)
		return r.level
	}
	perSecond = max(perSecond, 1)
	stepInterval := rampWindow / time.Duration(perSecond)
	for len(r.stepTimes) > 0 && now.Sub(r.stepTimes[0]) >= rampWindow {
		r.stepTimes = r.stepTimes[1:]
	}
	if earliest := now.Add(-stepInterval); len(r.stepTimes) == 0 && r.pacedUntil.Before(earliest) {
		r.pacedUntil = earliest
	}
	for r.level < target && len(r.stepTimes) < perSecond && now.Sub(r.pacedUntil) >= stepInterval {
		r.level++
		r.pacedUntil = r.pacedUntil.Add(stepInterval)
		r.stepTimes = append(r.stepTimes, now)
	}
	return r.level
}

// Lower reduces the level to at most v.
func (r *Ramp) Lower(v int) { r.level = max(min(r.level, v), 0) }

// Set sets the level to v without a ramp, for slots that are already in use.
func (r *Ramp) Set(v int) { r.level = max(v, 0) }
