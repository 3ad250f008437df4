package placing

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the half-life of the weight of past requests.
	demandHalfLife = 2 * time.Second
	// demandTimeConstantSeconds is the time constant of this decay. A decayed
	// sum divided by it is a rate per second.
	demandTimeConstantSeconds = float64(demandHalfLife) / float64(time.Second) / math.Ln2
	// reserveStdDevs determines the slots of a server that are reserved for
	// more urgent requests: the mean number of these in progress there, plus
	// this many standard deviations.
	reserveStdDevs = 1.3
	// maxReserveShare bounds the share of a server's slots that is reserved.
	maxReserveShare = 0.4
	// minReserveRequests is the mean number of more urgent requests in
	// progress per server up to which nothing is reserved.
	minReserveRequests = 0.05
	// queueSlackShare is the share of a request's slack (target latency less
	// service time) that it may spend in a server's queue.
	queueSlackShare = 0.25
	// maxQueueShare bounds the requests in a server's queue, as a share of
	// its slots.
	maxQueueShare = 0.6
	// rareRouteShare is the share of the requests of the same or higher
	// urgency up to which a route does not limit the queues.
	rareRouteShare = 0.01
)

// demand records the recent requests of a pool by route. Past requests lose
// weight exponentially.
type demand struct {
	routes  map[string]*routeDemand
	updated time.Time
}

// routeDemand is the demand of one route, with its latest priority and target
// latency.
type routeDemand struct {
	priority      int
	targetSeconds float64
	slotSeconds   float64 // expected slot time of the requests, decayed
	count         float64 // number of requests, decayed
}

// add records a request with its expected service time in seconds.
func (d *demand) add(now time.Time, n Need, service float64) {
	if d.routes == nil {
		d.routes = map[string]*routeDemand{}
	}
	if elapsed := now.Sub(d.updated); !d.updated.IsZero() && elapsed > 0 {
		keep := math.Exp2(-float64(elapsed) / float64(demandHalfLife))
		for name, r := range d.routes {
			r.slotSeconds *= keep
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
	r.priority, r.targetSeconds = n.Priority, n.Target.Seconds()
	r.slotSeconds += service
	r.count++
}

// limit returns the number of requests at a server from which on further
// requests of a priority have to wait at the dispatcher: its slots, plus a
// queue that is short enough for all routes of the same or higher urgency,
// less a reserve for more urgent requests. It assumes that each of the hosts
// has the demand of this one, and that they share regionSlots slots.
func (d *demand) limit(priority, hosts, slots, regionSlots int) float64 {
	slotSeconds, count := d.total()
	if count == 0 || regionSlots == 0 {
		return float64(slots)
	}
	urgentSlotSeconds, sameOrMoreUrgent, slackSeconds := 0.0, 0.0, math.Inf(1)
	for _, r := range d.routes {
		if r.priority < priority {
			urgentSlotSeconds += r.slotSeconds
		}
		if r.priority <= priority {
			sameOrMoreUrgent += r.count
		}
	}
	for _, r := range d.routes {
		if r.priority <= priority && r.count > rareRouteShare*sameOrMoreUrgent {
			slackSeconds = min(slackSeconds, max(r.targetSeconds-r.slotSeconds/r.count, 0))
		}
	}
	queueShare := min(queueSlackShare*slackSeconds/(slotSeconds/count), maxQueueShare)
	urgentRunning := urgentSlotSeconds / demandTimeConstantSeconds * float64(hosts) * float64(slots) / float64(regionSlots)
	reserve := 0.0
	if urgentRunning > minReserveRequests {
		reserve = min(urgentRunning+reserveStdDevs*math.Sqrt(urgentRunning), maxReserveShare*float64(slots))
	}
	return max(float64(slots)*(1+queueShare)-reserve, 1)
}

// service returns the mean service time of the recent requests in seconds, or
// 0 if there are none.
func (d *demand) service() float64 {
	slotSeconds, count := d.total()
	if count == 0 {
		return 0
	}
	return slotSeconds / count
}

// total returns the slot time in seconds and the number of the recent
// requests, both decayed.
func (d *demand) total() (slotSeconds, count float64) {
	for _, r := range d.routes {
		slotSeconds += r.slotSeconds
		count += r.count
	}
	return slotSeconds, count
}
