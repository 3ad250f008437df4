package once

import (
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Import takes over the records of a chunk. From then on the owner answers for
// the chunk's incarnations: known keys as recorded, other keys with
// KeyOwnerGone until every chunk has arrived. Chunks may arrive in any order
// and more than once. The error is a *result.Error: KeyOwnerGone for a chunk
// for another successor or from a second source, and after this host's own
// export; KeyMemoryFull if the records do not fit (the chunk may be sent again
// later); PeerMessageMalformed for an invalid chunk.
func (o *Owner) Import(now time.Time, c Chunk) error {
	keys, err := o.checkChunk(c)
	if err != nil {
		return err
	}
	if err := o.admitOrigins(now, c); err != nil {
		return err
	}
	for i, r := range c.Records {
		if err := o.importRecord(keys[i], r, c.Count == 0); err != nil {
			return err
		}
	}
	if c.Count > 0 {
		return o.countChunk(c)
	}
	return nil
}

// checkChunk validates the chunk and parses its keys.
func (o *Owner) checkChunk(c Chunk) ([]Key, error) {
	if c.To != o.self {
		return nil, result.New(result.KeyOwnerGone, "the chunk is for %s, this is %s", c.To, o.self)
	}
	if c.From == o.self || c.Count < 0 || c.Index < 0 || (c.Count > 0 && c.Index >= c.Count) {
		return nil, malformed("chunk %d of %d from %s", c.Index, c.Count, c.From)
	}
	known := map[Identity]bool{}
	for _, or := range c.Origins {
		if or.Identity == o.self {
			return nil, malformed("%s hands over the keys of its successor", c.From)
		}
		known[or.Identity] = true
	}
	keys := make([]Key, len(c.Records))
	for i, r := range c.Records {
		k, err := ParseKey(r.Key)
		if err != nil || !known[k.Owner] || r.State < Ran || r.State > RunningElsewhere {
			return nil, malformed("record %d from %s", i, c.From)
		}
		keys[i] = k
	}
	return keys, nil
}

func malformed(format string, args ...any) *result.Error {
	return result.New(result.PeerMessageMalformed, format, args...)
}

// admitOrigins registers the incarnations of a chunk or refuses the whole
// chunk if one of them was imported from another source.
func (o *Owner) admitOrigins(now time.Time, c Chunk) error {
	h := &o.handoff
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil {
		return result.New(result.KeyOwnerGone, "%s has handed over its own keys", o.self)
	}
	for _, in := range c.Origins {
		if or := h.origins[in.Identity]; or != nil && or.source != c.From {
			return result.New(result.KeyOwnerGone, "the keys of %s come from %s, not from %s", in.Identity, or.source, c.From)
		}
	}
	for _, in := range c.Origins {
		if h.origins[in.Identity] == nil {
			h.origins[in.Identity] = &origin{source: c.From, window: in.Window, since: now}
		}
	}
	return nil
}

// importRecord adds a record unless the key has one. A late record replaces
// only the record of a request that was running at the export, because any
// other record is newer than it.
func (o *Owner) importRecord(key Key, in Record, late bool) error {
	s := o.shardOf(in.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[in.Key]
	if r != nil {
		if late && r.state == RunningElsewhere {
			s.settle(r, Outcome{State: in.State, Answer: in.Answer}, o.capacity)
		}
		return nil
	}
	if in.State == NotRun {
		return nil
	}
	r = &record{key: key, requestHash: in.RequestHash, state: in.State}
	if in.State == Ran {
		r.answer = in.Answer
	}
	if !s.insert(r, o.capacity) {
		return result.New(result.KeyMemoryFull, "the records of %d keys fill the memory", len(s.records)).WithRetryAfter(retryFull)
	}
	return nil
}

// countChunk marks a chunk as arrived. Once all chunks of the export have
// arrived, it marks the origins that the sender knows completely as complete.
func (o *Owner) countChunk(c Chunk) error {
	h := &o.handoff
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.transfers == nil {
		h.transfers = map[Identity]*transfer{}
	}
	t := h.transfers[c.From]
	if t == nil {
		t = &transfer{arrived: map[int]bool{}, count: c.Count}
		h.transfers[c.From] = t
	}
	if t.count != c.Count {
		return malformed("%s changed its export from %d to %d chunks", c.From, t.count, c.Count)
	}
	t.arrived[c.Index] = true
	if len(t.arrived) < t.count {
		return nil
	}
	for _, in := range c.Origins {
		h.origins[in.Identity].complete = h.origins[in.Identity].complete || in.Complete
	}
	return nil
}
