package admission

import (
	"slices"
	"time"
)

// requestCost is the virtual time by which one request advances its group. All
// requests of a rank cost the same, because their service time is not known in
// advance.
const requestCost = 1

func (q *Queue) newEntry(item Item) *entry {
	e := q.freeList
	if e == nil {
		e = &entry{}
	} else {
		q.freeList = e.next
	}
	q.seq++
	*e = entry{Item: item, seq: q.seq}
	return e
}

// remove unlinks e and puts it on the free list.
func (q *Queue) remove(e *entry) {
	q.ranks[e.Rank].unlink(e)
	delete(q.byKey, requestKey{e.Host, e.ID})
	*e = entry{next: q.freeList}
	q.freeList = e
}

// removeMatching removes the entries that match and returns them in queueing
// order.
func (q *Queue) removeMatching(match func(*entry) bool) []Item {
	var found []*entry
	for _, e := range q.byKey {
		if match(e) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *entry) int { return int(a.seq) - int(b.seq) })
	out := make([]Item, len(found))
	for i, e := range found {
		out[i] = e.Item
		q.remove(e)
	}
	return out
}

// push appends e to its group and sets its virtual start time.
func (r *rankQueue) push(e *entry) {
	g := r.byName[e.Group]
	if g == nil {
		g = &group{name: e.Group, index: -1}
		r.byName[e.Group] = g
	}
	e.group, e.virtualStart = g, max(r.virtualTime, g.virtualFinish)
	g.virtualFinish = e.virtualStart + requestCost
	if g.tail == nil {
		g.head = e
		g.index = len(r.groups)
		r.groups = append(r.groups, g)
	} else {
		g.tail.next, e.prev = e, g.tail
	}
	g.tail = e
	g.len++
	r.len++
}

func (r *rankQueue) unlink(e *entry) {
	g := e.group
	if e.prev == nil {
		g.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		g.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	g.len--
	r.len--
	if g.len == 0 {
		last := r.groups[len(r.groups)-1]
		r.groups[g.index], last.index = last, g.index
		r.groups = r.groups[:len(r.groups)-1]
		g.index = -1
	}
	if r.len == 0 {
		// An idle rank forgets its groups, so that caller-supplied group names
		// cannot use up memory.
		clear(r.byName)
		r.virtualTime = 0
	}
}

// advanceVirtualTime moves the virtual time to the start of e, which is granted
// now.
func (r *rankQueue) advanceVirtualTime(e *entry) { r.virtualTime = max(r.virtualTime, e.virtualStart) }

// forgetIdle drops groups without waiting requests whose virtual finish time has
// passed. If they came back they would start at the virtual time in any case.
func (r *rankQueue) forgetIdle() {
	if len(r.byName) < 2*len(r.groups)+idleGroupLimit {
		return
	}
	for name, g := range r.byName {
		if g.len == 0 && g.virtualFinish <= r.virtualTime {
			delete(r.byName, name)
		}
	}
}

// idleGroupLimit is the number of idle groups, on top of one per group with
// waiting requests, from which they are dropped.
const idleGroupLimit = 64

// ahead returns how many waiting requests fair queueing serves before a new
// request of a group that already has groupWaiting requests waiting.
func (r *rankQueue) ahead(groupWaiting int) int {
	n := 0
	for _, g := range r.groups {
		n += min(g.len, groupWaiting+1)
	}
	return n
}

// firstUsable returns the request with the lowest virtual start time among the
// first requests of the groups that usable accepts, or nil.
func (r *rankQueue) firstUsable(usable func(*Item) bool) *entry {
	var best *entry
	for _, g := range r.groups {
		e := g.head
		if best != nil && (e.virtualStart > best.virtualStart || e.virtualStart == best.virtualStart && e.seq > best.seq) {
			continue
		}
		if usable == nil || usable(&e.Item) {
			best = e
		}
	}
	return best
}

// Next removes and returns the next request to be given a slot, if there is one
// that may start. usable reports whether a request can use one of the free
// servers; nil accepts all. Call Expire first: Next does not check deadlines.
func (q *Queue) Next(now time.Time, usable func(*Item) bool) (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.byKey) == 0 {
		return Item{}, false
	}
	q.advance(now)
	for _, i := range q.order() {
		if i < 0 || !q.mayStart(i) {
			continue
		}
		r := &q.ranks[i]
		if e := r.firstUsable(usable); e != nil {
			item := e.Item
			r.advanceVirtualTime(e)
			q.remove(e)
			r.forgetIdle()
			return item, true
		}
	}
	return Item{}, false
}
