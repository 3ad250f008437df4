package placing

import (
	"math"
	"time"
)

// demandHalf is the time in which past requests lose half of their weight.
const demandHalf = 2 * time.Second

// demand is the slot time that recent requests asked for, by priority.
type demand struct {
	seconds map[int]float64
	updated time.Time
}

// add counts a request that takes service seconds.
func (d *demand) add(now time.Time, priority int, service float64) {
	if d.seconds == nil {
		d.seconds = map[int]float64{}
	}
	if elapsed := now.Sub(d.updated); !d.updated.IsZero() && elapsed > 0 {
		keep := math.Exp2(-float64(elapsed) / float64(demandHalf))
		for k := range d.seconds {
			d.seconds[k] *= keep
		}
	}
	d.updated = now
	d.seconds[priority] += service
}

// reserve returns the share of slots that requests of a priority leave free for
// more urgent ones.
func (d *demand) reserve(priority int) float64 {
	urgent, all := 0.0, 0.0
	for k, s := range d.seconds {
		all += s
		if k < priority {
			urgent += s
		}
	}
	if all == 0 || urgent < reserveLeast*all {
		return 0
	}
	return min(reserveFactor*urgent/all, reserveMost)
}
