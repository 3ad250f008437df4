package placing

import (
	"math"
	"time"
)

// Settings of the limits that follow from the demand.
const (
	// demandHalf is the time in which past requests lose half of their weight.
	demandHalf = 2 * time.Second
	// demandMean is the time over which decayed requests count as one second's.
	demandMean = float64(demandHalf) / float64(time.Second) / math.Ln2
	// reserveDeviations is how many standard deviations of the urgent requests
	// in progress at one server are left free beside their mean.
	reserveDeviations = 1.3
	// reserveMost bounds the share of a server's slots that are left free.
	reserveMost = 0.4
	// reserveLeast is the number of urgent requests in progress per server below
	// which nothing is left free.
	reserveLeast = 0.05
	// slackShare is the part of the time that a request can spare which it may
	// spend in a server's queue.
	slackShare = 0.25
	// queueMost bounds the requests in a server's queue, as a share of its slots.
	queueMost = 0.6
	// rareShare is the share of the requests of the same or higher urgency below
	// which a route does not bound the queues.
	rareShare = 0.01
)

// demand is what recent requests of a pool asked for, by route.
type demand struct {
	routes  map[string]*routeDemand
	updated time.Time
}

type routeDemand struct {
	priority int
	target   float64 // seconds
	seconds  float64 // slot time
	count    float64
}

// add counts a request that takes service seconds.
func (d *demand) add(now time.Time, n Need, service float64) {
	if d.routes == nil {
		d.routes = map[string]*routeDemand{}
	}
	if elapsed := now.Sub(d.updated); !d.updated.IsZero() && elapsed > 0 {
		keep := math.Exp2(-float64(elapsed) / float64(demandHalf))
		for name, r := range d.routes {
			r.seconds *= keep
			if r.count *= keep; r.count < 1e-3 {
				delete(d.routes, name)
			}
		}
	}
	d.updated = now
	r := d.routes[n.Route]
	if r == nil {
		r = &routeDemand{}
		d.routes[n.Route] = r
	}
	r.priority, r.target = n.Priority, n.Target.Seconds()
	r.seconds += service
	r.count++
}

// limit returns the number of requests at a server from which on requests of a
// priority have to wait elsewhere: its slots, and a queue that is short enough
// for all routes of the same or higher urgency, less what more urgent requests
// need. hosts send like this one to capacity slots.
func (d *demand) limit(priority, hosts, slots, capacity int) float64 {
	seconds, count := d.total()
	if count == 0 || capacity == 0 {
		return float64(slots)
	}
	urgent, ahead, slack := 0.0, 0.0, math.Inf(1)
	for _, r := range d.routes {
		if r.priority < priority {
			urgent += r.seconds
		}
		if r.priority <= priority {
			ahead += r.count
		}
	}
	for _, r := range d.routes {
		if r.priority <= priority && r.count > rareShare*ahead {
			slack = min(slack, max(r.target-r.seconds/r.count, 0))
		}
	}
	queue := min(slackShare*slack/(seconds/count), queueMost)
	running := urgent / demandMean * float64(hosts) * float64(slots) / float64(capacity)
	reserve := 0.0
	if running > reserveLeast {
		reserve = min(running+reserveDeviations*math.Sqrt(running), reserveMost*float64(slots))
	}
	return max(float64(slots)*(1+queue)-reserve, 1)
}

// service returns the mean service time of the recent requests in seconds, or 0
// without any.
func (d *demand) service() float64 {
	seconds, count := d.total()
	if count == 0 {
		return 0
	}
	return seconds / count
}

// total returns the slot time in seconds and the number of the recent requests.
func (d *demand) total() (seconds, count float64) {
	for _, r := range d.routes {
		seconds += r.seconds
		count += r.count
	}
	return seconds, count
}
