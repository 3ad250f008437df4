package slots

import (
	"maps"
	"slices"
	"time"
)

// recovery is the progress of a recovery, after a handover to this dispatcher or
// a pause of its process.
type recovery struct {
	active bool
	until  time.Time // end of RecoverWait
	// unanswered holds the hosts that have not answered AskHeld, out of
	// askedCount; the value is true for a host that has left the membership.
	unanswered map[string]bool
	askedCount int
	// askAt is when AskHeld is repeated to the hosts that have not answered.
	askAt time.Time
	// answerBy is the end of AnswerWait.
	answerBy time.Time
}

// withheld returns how many slots of a server are withheld for hosts that have
// not answered. It is all of them in two cases. First, while a host that is not
// known to be gone may still answer within AnswerWait, because one host often
// holds more than its share of one server. Second, while half of the hosts or
// more have not answered, because they may follow another dispatcher: a host
// that resumes after a pause gets no answers if it has been replaced.
// Otherwise it is the share of the hosts that have not answered, rounded up.
func (r *recovery) withheld(now time.Time, allowance int) int {
	if !r.active || r.askedCount == 0 {
		return 0
	}
	if 2*len(r.unanswered) >= r.askedCount || len(r.unanswered) > r.gone() && now.Before(r.answerBy) {
		return allowance
	}
	return (allowance*len(r.unanswered) + r.askedCount - 1) / r.askedCount
}

// gone counts the unanswered hosts that have left the membership.
func (r *recovery) gone() int {
	n := 0
	for _, left := range r.unanswered {
		if left {
			n++
		}
	}
	return n
}

// Recover starts the recovery after a handover to this dispatcher: it asks
// hosts which grants they hold, and those that have not answered count as
// holding their share until RecoverWait has passed. Include Self and the host of
// the previous dispatcher even if it has left the membership, and call HostGone
// right after for hosts that have left.
func (d *Dispatcher) Recover(now time.Time, hosts []string) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decisions = nil
	d.lastTick = now
	d.restart(now, hosts)
	d.refresh(now)
	return d.leave(now)
}

// restart discards all grants, takes a new epoch and asks hosts which grants
// they hold. Waiting requests stay queued.
func (d *Dispatcher) restart(now time.Time, hosts []string) {
	d.epoch = max(d.epoch+1, uint64(max(0, now.UnixMilli())))
	for _, g := range d.grants {
		d.queue.Finished(now, g.Rank)
		g.server.running--
	}
	clear(d.grants)
	clear(d.hosts)
	hosts = slices.Compact(slices.Sorted(slices.Values(hosts)))
	d.recovery = recovery{
		active: len(hosts) > 0, until: now.Add(RecoverWait), unanswered: map[string]bool{},
		askedCount: len(hosts), askAt: now.Add(AskPeriod), answerBy: now.Add(AnswerWait),
	}
	for _, h := range hosts {
		d.markReachable(h)
		d.recovery.unanswered[h] = false
		d.decisions = append(d.decisions, Decision{Kind: AskHeld, Host: h, Epoch: d.epoch})
	}
}

// askAgain repeats AskHeld to hosts that have not answered: the message may be
// lost, or the host may have learned late who the dispatcher is.
func (d *Dispatcher) askAgain(now time.Time) {
	r := &d.recovery
	if !r.active || now.Before(r.askAt) {
		return
	}
	r.askAt = now.Add(AskPeriod)
	for _, h := range slices.Sorted(maps.Keys(r.unanswered)) {
		d.decisions = append(d.decisions, Decision{Kind: AskHeld, Host: h, Epoch: d.epoch})
	}
}

// endRecovery ends the recovery when all hosts have answered or RecoverWait has
// passed.
func (d *Dispatcher) endRecovery(now time.Time) {
	if d.recovery.active && (len(d.recovery.unanswered) == 0 || !now.Before(d.recovery.until)) {
		d.recovery = recovery{}
	}
}

// HandleHeld takes a host's answer to AskHeld: the grants of earlier epochs that it
// has started or may still start.
func (d *Dispatcher) HandleHeld(now time.Time, host string, grants []Grant) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enter(now)
	d.markReachable(host)
	delete(d.recovery.unanswered, host)
	for _, g := range grants {
		d.adopt(now, host, g)
	}
	d.endRecovery(now)
	d.refresh(now)
	return d.leave(now)
}

// adopt counts a grant of an earlier dispatcher or epoch as a slot in use.
func (d *Dispatcher) adopt(now time.Time, host string, g Grant) {
	k := grantKey{host, g.ID}
	if d.grants[k] != nil || !g.Valid(now) {
		return
	}
	s := d.server(g.Server)
	if s == nil {
		s = &server{address: g.Server, removed: true}
		d.servers = append(d.servers, s)
		d.sortServers()
	}
	d.queue.Cancel(host, g.ID)
	g.Host = host
	d.grants[k] = &grant{Grant: g, server: s, grantedAt: now}
	s.running++
	d.queue.Started(now, g.Rank)
}
