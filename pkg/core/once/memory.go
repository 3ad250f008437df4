package once

import "time"

// insert adds a record and evicts the oldest stored answers if there is no room
// for it. It returns false if the records alone fill the capacity in bytes.
func (s *shard) insert(r *record, capacity int) bool {
	answer := r.answer
	r.answer = nil
	if !s.makeRoom(r.cost(), capacity) {
		return false
	}
	s.records[r.key.Text] = r
	s.bytes += r.cost()
	if answer != nil {
		s.store(r, answer, capacity)
	}
	return true
}

// makeRoom evicts the oldest stored answers until need bytes are free. It
// returns false if no stored answer is left to evict.
func (s *shard) makeRoom(need, capacity int) bool {
	for s.bytes+need > capacity {
		if s.oldest == nil {
			return false
		}
		s.dropAnswer(s.oldest)
		s.dropped++
	}
	return true
}

// store keeps the answer of a record, evicting older answers if needed. If
// there is still no room, the answer is not kept.
func (s *shard) store(r *record, a *Answer, capacity int) {
	if !s.makeRoom(a.size(), capacity) {
		return
	}
	r.answer = a
	s.bytes += a.size()
	r.older = s.newest
	if s.newest != nil {
		s.newest.newer = r
	} else {
		s.oldest = r
	}
	s.newest = r
}

// dropAnswer removes the stored answer of a record and keeps the record.
func (s *shard) dropAnswer(r *record) {
	if r.answer == nil {
		return
	}
	s.bytes -= r.answer.size()
	r.answer = nil
	if r.older != nil {
		r.older.newer = r.newer
	} else {
		s.oldest = r.newer
	}
	if r.newer != nil {
		r.newer.older = r.older
	} else {
		s.newest = r.older
	}
	r.older, r.newer = nil, nil
}

// remove deletes a record and its stored answer.
func (s *shard) remove(r *record) {
	s.dropAnswer(r)
	s.bytes -= r.cost()
	delete(s.records, r.key.Text)
}

// sweep deletes the records of expired keys, at most once per window. Records of
// running requests stay until the requests finish.
func (o *Owner) sweep(s *shard, now time.Time) {
	window := o.currentWindow(now)
	if window <= s.swept {
		return
	}
	s.swept = window
	for _, r := range s.records {
		if r.state != Running && o.isExpired(now, r.key) {
			s.remove(r)
		}
	}
}

// isExpired reports whether Begin refuses the key permanently.
func (o *Owner) isExpired(now time.Time, key Key) bool {
	if key.Owner == o.self {
		return key.Window < o.currentWindow(now)-RetentionWindows
	}
	window, ok := o.handoff.window(now, key.Owner)
	return !ok || key.Window < window-RetentionWindows
}

// Dump is the state of an Owner for the administration API.
type Dump struct {
	Self    Identity      `json:"self"`
	Window  int64         `json:"window"`
	Closed  bool          `json:"closed"`
	Records int           `json:"records"`
	Running int           `json:"running"`
	Bytes   int           `json:"bytes"`
	Limit   int           `json:"limit_bytes"`
	Dropped int           `json:"dropped_answers"`
	Origins []OriginState `json:"origins,omitempty"`
	// Successor is set after Export.
	Successor *Identity `json:"successor,omitempty"`
}

// Dump returns counts only; keys are left out because they are secrets of the
// callers.
func (o *Owner) Dump() Dump {
	d := Dump{Self: o.self, Window: o.window.Load(), Limit: o.capacity * shardCount}
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		d.Closed = d.Closed || s.closed
		d.Records += len(s.records)
		d.Bytes += s.bytes
		d.Dropped += s.dropped
		for _, r := range s.records {
			if r.state == Running {
				d.Running++
			}
		}
		s.mu.Unlock()
	}
	d.Origins, d.Successor = o.handoff.dump()
	return d
}
