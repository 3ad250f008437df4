package placing

import "time"

// keysPerServer bounds the keys that are remembered of one server.
const keysPerServer = 192

// Class is a kind of sends with a service time of its own: how many other keys
// the server got since it got this one. A server knows its latest objects; how
// many is learned from the service times of the classes.
type Class int

// depths are the upper ends of the classes of known keys, in keys.
var depths = [...]int{4, 8, 16, 32, 64, 128, keysPerServer}

const (
	// unknown is the class of keys that the server did not get lately.
	unknown = Class(len(depths))
	// assumed is the class of an object that the server probably knows.
	assumed = Class(4)
	classes = len(depths) + 1
)

// classShares are the expected service times before there are answers, as
// shares of the target latency.
var classShares = [classes]float64{0.5, 0.5, 0.55, 0.6, 0.7, 0.8, 0.9, 1.2}

// recent remembers when keys were last sent to a server.
type recent struct {
	at map[string]time.Time
}

// class returns the class of a key.
func (r *recent) class(key string) Class {
	last, ok := r.at[key]
	if !ok {
		return unknown
	}
	depth := 0
	for _, t := range r.at {
		if t.After(last) {
			depth++
		}
	}
	for c, most := range depths {
		if depth < most {
			return Class(c)
		}
	}
	return unknown
}

func (r *recent) add(now time.Time, key string) {
	if r.at == nil {
		r.at = map[string]time.Time{}
	}
	if _, ok := r.at[key]; !ok && len(r.at) >= keysPerServer {
		oldest, oldestAt := "", now
		for k, t := range r.at {
			if !t.After(oldestAt) {
				oldest, oldestAt = k, t
			}
		}
		delete(r.at, oldest)
	}
	r.at[key] = now
}
