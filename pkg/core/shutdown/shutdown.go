// Package shutdown decides which requests an entry host still takes once it has been
// told to stop, and when it closes its connections. It performs no I/O.
//
// Callers go on using a host for some seconds, until their look-up answers run out.
// Whatever the host passes on in that time has to be answered before the process is
// killed, and the time of the kill counts from when the signal was sent, not from
// when this process handled it.
package shutdown

import "time"

const (
	// withdrawPeriod is how long the host goes on accepting connections: callers
	// cache a look-up answer for some seconds.
	withdrawPeriod = 3 * time.Second
	// exitMargin is the part of the grace period that is left for the exit of the
	// process.
	exitMargin = 300 * time.Millisecond
	// signalMargin is how much earlier than after withdrawPeriod the host begins to
	// take only requests that end in time, for a signal that was handled late.
	signalMargin = 200 * time.Millisecond
	// answerMargin is the time that an answer may need to reach its caller after the
	// deadline of its request: the server's own answer to the deadline, and the turns
	// of a host that is short of processor time.
	answerMargin = 300 * time.Millisecond
)

// Plan is the schedule of one shutdown.
type Plan struct {
	// WithdrawnAt is when the host closes its listener and begins to close idle
	// connections.
	WithdrawnAt time.Time
	// End is when the process ends at the latest, and aborts what is still in
	// progress.
	End time.Time
	// lastAnswer is the latest deadline of a request that is certain to be answered.
	lastAnswer time.Time
	// longUntil is until when a request is taken whose deadline is after lastAnswer.
	longUntil time.Time
}

// New returns the schedule of a shutdown whose signal was handled at now. grace is
// the time from the signal until the process is killed, and lateness how late the
// process reacted to events recently: the signal may be as old as that.
func New(now time.Time, grace, lateness time.Duration) *Plan {
	signalled := now.Add(-lateness)
	end := signalled.Add(grace - exitMargin)
	p := &Plan{
		WithdrawnAt: now.Add(withdrawPeriod), End: end,
		lastAnswer: end.Add(-answerMargin - lateness),
		longUntil:  signalled.Add(withdrawPeriod - signalMargin),
	}
	if p.WithdrawnAt.After(end) {
		p.WithdrawnAt = end
	}
	return p
}

// Takes reports whether a request that is read at now is processed. One that ends
// by its deadline before the process does is always taken. A longer one is taken in
// the first seconds if it may be repeated, since most requests end long before their
// deadline. One that may not be repeated is rejected at once instead: if it were cut
// off, its caller could not tell whether it ran.
func (p *Plan) Takes(now, deadline time.Time, repeatable bool) bool {
	return !deadline.After(p.lastAnswer) || repeatable && now.Before(p.longUntil)
}

// WaitUntil returns how long a request with the given deadline may wait for a slot,
// so that its rejection still reaches the caller.
func (p *Plan) WaitUntil(deadline time.Time) time.Time {
	if deadline.After(p.lastAnswer) {
		return p.lastAnswer
	}
	return deadline
}

const (
	// closeRounds is the number of rounds over which idle connections are closed. All
	// at once would keep a small host from reading requests for a time.
	closeRounds = 8
	// minClosesPerRound keeps the number of rounds small on a host with few
	// connections.
	minClosesPerRound = 64
)

// ClosesPerRound returns how many idle connections are closed in each round, if there
// are idle ones at the first one.
func ClosesPerRound(idle int) int { return max(minClosesPerRound, (idle+closeRounds-1)/closeRounds) }
