package placing

import "time"

// maxKeysPerServer bounds the keys that are remembered per server.
const maxKeysPerServer = 192

// ReuseClass is a range of reuse distances: how many other keys were sent to the
// server since this one was last sent to it. A server has its most recent
// objects cached; how many is learned from the service times, which are
// estimated per class.
type ReuseClass int

// Valid reports whether c is one of the classes.
func (c ReuseClass) Valid() bool { return c >= 0 && int(c) < numClasses }

// classBounds are the exclusive upper bounds of the reuse distances of the
// classes of remembered keys, in keys.
var classBounds = [...]int{4, 8, 16, 32, 64, 128, maxKeysPerServer}

const (
	// notCached is the class of keys that were not sent to the server
	// recently.
	notCached = ReuseClass(len(classBounds))
	// assumedCached is the class that is assumed for an object that the server
	// probably has cached. Its reuse distances are 32 to 63 keys.
	assumedCached = ReuseClass(4)
	// numClasses counts the classes including notCached.
	numClasses = len(classBounds) + 1
)

// priorShares are the expected service times of the classes before there are
// answers, as shares of the target latency.
var priorShares = [numClasses]float64{0.5, 0.5, 0.55, 0.6, 0.7, 0.8, 0.9, 1.2}

// recentKeys remembers when keys were last sent to a server.
type recentKeys struct {
	lastSent map[string]time.Time
}

// class returns the class of a key.
func (r *recentKeys) class(key string) ReuseClass {
	last, ok := r.lastSent[key]
	if !ok {
		return notCached
	}
	distance := 0
	for _, t := range r.lastSent {
		if t.After(last) {
			distance++
		}
	}
	for c, bound := range classBounds {
		if distance < bound {
			return ReuseClass(c)
		}
	}
	return notCached
}

// add records that a key is sent now. If there are too many keys, it forgets
// the least recently sent one.
func (r *recentKeys) add(now time.Time, key string) {
	if r.lastSent == nil {
		r.lastSent = map[string]time.Time{}
	}
	if _, ok := r.lastSent[key]; !ok && len(r.lastSent) >= maxKeysPerServer {
		oldest, oldestAt := "", now
		for k, t := range r.lastSent {
			if !t.After(oldestAt) {
				oldest, oldestAt = k, t
			}
		}
		delete(r.lastSent, oldest)
	}
	r.lastSent[key] = now
}
