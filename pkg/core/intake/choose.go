package intake

import "time"

// Activity is what a connection is doing.
type Activity int

const (
	// Busy means that the process works on a request of the connection.
	Busy Activity = iota
	// Waiting means that the process waits for the client in the middle of a request: for
	// the rest of a head or body, or until the client reads of the answer.
	Waiting
	// Silent means that nothing has arrived yet.
	Silent
	// Idle means that the connection is between two requests.
	Idle
)

// State is the state of a connection.
type State struct {
	Activity Activity
	// Since is when the activity began; for Waiting, so long ago as the client has kept the
	// process waiting in all.
	Since time.Time
}

// minWait is how long a client may keep the process waiting in the middle of a request even
// if its connection is needed: a lost packet is sent again by then.
const minWait = 250 * time.Millisecond

// Choose returns the index of the connection to close so that another client can be taken,
// or -1 if there is none. Clients that keep the process waiting come first, then those that
// have sent nothing, then idle ones; among them the one that has done so for the longest.
func Choose(now time.Time, states []State) int {
	best := -1
	for i, s := range states {
		if s.Activity == Busy || s.Activity == Waiting && now.Sub(s.Since) < minWait {
			continue
		}
		if best < 0 || s.Activity < states[best].Activity ||
			s.Activity == states[best].Activity && s.Since.Before(states[best].Since) {
			best = i
		}
	}
	return best
}

// Crowded reports whether so many of the connections are open that clients which send requests
// ahead have to connect anew for each, like all others: on an open connection they would
// always be ahead of those that wait for one.
func Crowded(open, limit int) bool { return open*4 >= limit*3 }

// maxCancelled is the number of streams that a client may cancel on an HTTP/2 connection
// beyond those that it lets end.
const maxCancelled = 100

// CancelsTooOften reports whether a client of HTTP/2 cancels its streams faster than they
// can be served: opening and cancelling a stream costs the client next to nothing.
func CancelsTooOften(cancelled, ended int64) bool { return cancelled-ended > maxCancelled }

// Stream is an answer that is passed on to a client while it arrives.
type Stream struct {
	// Blocked is how long the client has kept the answer waiting in all.
	Blocked time.Duration
}

// Slowest returns the index of the stream to end so that another request can be sent, or -1
// if there is none: the one whose client has kept it waiting for the longest.
func Slowest(streams []Stream) int {
	best := -1
	for i, s := range streams {
		if s.Blocked >= minWait && (best < 0 || s.Blocked > streams[best].Blocked) {
			best = i
		}
	}
	return best
}
