package once

import (
	"slices"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// ChunkBytes bounds the records and answers of one chunk; it leaves room for
// encoding under the 1 MiB limit of peer messages.
const ChunkBytes = 512 << 10

// Record is the handed-over record of one key.
type Record struct {
	Key         string  `cbor:"1,keyasint"`
	RequestHash uint64  `cbor:"2,keyasint"`
	State       State   `cbor:"3,keyasint"`
	Answer      *Answer `cbor:"4,keyasint,omitempty"`
}

// Origin is an incarnation whose keys a chunk hands over.
type Origin struct {
	Identity Identity `cbor:"1,keyasint"`
	// Window is the origin's window counter at the export.
	Window int64 `cbor:"2,keyasint"`
	// Complete is true if the sender knows every key of the origin that ran.
	Complete bool `cbor:"3,keyasint"`
}

// Chunk is one part of an export, at most about ChunkBytes long.
type Chunk struct {
	From Identity `cbor:"1,keyasint"`
	// To is the only successor that may import the chunk.
	To      Identity `cbor:"2,keyasint"`
	Origins []Origin `cbor:"3,keyasint"`
	// Index counts from 0 to Count-1. A late chunk has Count 0.
	Index   int      `cbor:"4,keyasint"`
	Count   int      `cbor:"5,keyasint"`
	Records []Record `cbor:"6,keyasint"`
}

// origin is another incarnation whose keys this host answers for.
type origin struct {
	// source is the host that sends the export; no other is accepted.
	source Identity
	// window is the origin's window counter at the time since.
	window int64
	since  time.Time
	// complete is true once all chunks of an export have arrived that has every
	// record of the origin.
	complete bool
}

// transfer tracks the chunks of an export that is being imported.
type transfer struct {
	arrived map[int]bool
	count   int
}

// handoff is the state of an Owner for importing the keys of other incarnations
// and exporting keys to a successor.
type handoff struct {
	mu        sync.Mutex
	origins   map[Identity]*origin
	transfers map[Identity]*transfer // by the host that sends the export
	successor *Identity              // set by Export
	late      []Record               // outcomes since Export that TakeLate has not returned

	// exporting guards exported. The records are split into chunks only once:
	// mixing chunks of two differently split exports could lose a record.
	exporting sync.Mutex
	exported  []Chunk
}

// OriginState is the state of an imported incarnation in a Dump.
type OriginState struct {
	Identity Identity `json:"identity"`
	Source   Identity `json:"source"`
	Complete bool     `json:"complete"`
}

func (h *handoff) dump() ([]OriginState, *Identity) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []OriginState
	for id, or := range h.origins {
		out = append(out, OriginState{Identity: id, Source: or.source, Complete: or.complete})
	}
	slices.SortFunc(out, func(a, b OriginState) int { return compareIdentity(a.Identity, b.Identity) })
	return out, h.successor
}

func compareIdentity(a, b Identity) int {
	switch {
	case a == b:
		return 0
	case a.less(b):
		return -1
	}
	return 1
}

// window returns the window counter of an imported incarnation. It starts at
// the exported value, so it is never ahead of the origin's own counter.
func (h *handoff) window(now time.Time, id Identity) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	or := h.origins[id]
	if or == nil {
		return 0, false
	}
	return or.windowAt(now), true
}

// windowAt never goes back, for the same reason as Owner.currentWindow. The
// caller holds handoff.mu.
func (or *origin) windowAt(now time.Time) int64 {
	if d := now.Sub(or.since); d >= Window {
		n := int64(d / Window)
		or.window += n
		or.since = or.since.Add(time.Duration(n) * Window)
	}
	return or.window
}

// admission is the result of checking the owner and window of a key.
type admission struct {
	// complete is true if a key without a record has certainly not run.
	complete bool
	err      error
}

// checkAdmission checks the owner and the window of a key.
func (o *Owner) checkAdmission(now time.Time, key Key) admission {
	window, complete := o.currentWindow(now), true
	if key.Opaque {
		return admission{err: badKey("a key without prefix has no owner")}
	}
	if key.Owner != o.self {
		o.handoff.mu.Lock()
		or := o.handoff.origins[key.Owner]
		if or == nil {
			o.handoff.mu.Unlock()
			return admission{err: result.New(result.KeyOwnerGone, "%s does not answer for keys of %s", o.self, key.Owner).WithRun(result.Unknown)}
		}
		window, complete = or.windowAt(now), or.complete
		o.handoff.mu.Unlock()
	}
	if key.Window < window-RetentionWindows {
		return admission{err: result.New(result.KeyExpired, "the key is %d minutes old, keys are kept for %d", window-key.Window, RetentionWindows).
			WithRun(result.Unknown)}
	}
	if key.Window > window+MaxAhead {
		// No owner has run such a key yet, because the owner's counter has not
		// reached the key's window.
		return admission{err: badKey("the key's window %d is ahead of the owner's window %d", key.Window, window)}
	}
	return admission{complete: complete}
}

// Holds lists the incarnations of other hosts that this owner answers for. It
// is empty after Export.
func (o *Owner) Holds() []Identity {
	origins, successor := o.handoff.dump()
	if successor != nil {
		return nil
	}
	var out []Identity
	for _, or := range origins {
		out = append(out, or.Identity)
	}
	return out
}

// Export stops new requests from starting and returns all records for the
// successor. A repeated call with the same successor returns the same chunks;
// another successor is refused with code KeyOwnerGone, because the first may
// already run keys.
func (o *Owner) Export(now time.Time, to Identity) ([]Chunk, error) {
	if err := o.nameSuccessor(to); err != nil {
		return nil, err
	}
	o.handoff.exporting.Lock()
	defer o.handoff.exporting.Unlock()
	if o.handoff.exported == nil {
		for i := range o.shards {
			o.closeShard(&o.shards[i], now)
		}
		// The origins are read before the records. An import inserts the records of
		// an origin before it marks the origin as complete, so the export contains
		// all records of an origin that it lists as complete.
		origins := o.exportOrigins(now)
		o.handoff.exported = o.cutChunks(to, origins)
	}
	return o.handoff.exported, nil
}

// closeShard stops new requests in a shard. It also deletes expired records,
// because a shard without requests is not swept.
func (o *Owner) closeShard(s *shard, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	o.sweep(s, now)
}

// cutChunks distributes the records over chunks; there is at least one chunk.
func (o *Owner) cutChunks(to Identity, origins []Origin) []Chunk {
	chunks := []Chunk{{}}
	size := 0
	for i := range o.shards {
		for _, r := range o.shards[i].export() {
			n := recordBytes + len(r.Key) + r.Answer.size()
			if size+n > o.chunkBytes && size > 0 {
				chunks, size = append(chunks, Chunk{}), 0
			}
			last := &chunks[len(chunks)-1]
			last.Records, size = append(last.Records, r), size+n
		}
	}
	for i := range chunks {
		c := &chunks[i]
		c.From, c.To, c.Origins, c.Index, c.Count = o.self, to, origins, i, len(chunks)
	}
	return chunks
}

func (o *Owner) nameSuccessor(to Identity) error {
	if to == o.self {
		return result.New(result.KeyOwnerGone, "a host cannot be its own successor")
	}
	o.handoff.mu.Lock()
	defer o.handoff.mu.Unlock()
	if s := o.handoff.successor; s != nil && *s != to {
		return result.New(result.KeyOwnerGone, "the keys were handed over to %s before", *s).WithRun(result.Unknown)
	}
	o.handoff.successor = &to
	return nil
}

// export returns the records in key order.
func (s *shard) export() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		state := r.state
		if state == Running {
			state = RunningElsewhere
		}
		out = append(out, Record{Key: r.key.Text, RequestHash: r.requestHash, State: state, Answer: r.answer})
	}
	slices.SortFunc(out, func(a, b Record) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return out
}

// exportOrigins lists the own incarnation and the imported ones.
func (o *Owner) exportOrigins(now time.Time) []Origin {
	out := []Origin{{Identity: o.self, Window: o.currentWindow(now), Complete: true}}
	o.handoff.mu.Lock()
	defer o.handoff.mu.Unlock()
	for id, or := range o.handoff.origins {
		out = append(out, Origin{Identity: id, Window: or.windowAt(now), Complete: or.complete})
	}
	slices.SortFunc(out[1:], func(a, b Origin) int { return compareIdentity(a.Identity, b.Identity) })
	return out
}

func (h *handoff) addLate(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.late = append(h.late, r)
}

// TakeLate returns outcomes of requests that finished after Export as a late
// chunk for the same successor, and removes them from the owner. ok is false if
// there are none.
func (o *Owner) TakeLate(now time.Time) (c Chunk, ok bool) {
	origins := o.exportOrigins(now)
	o.handoff.mu.Lock()
	defer o.handoff.mu.Unlock()
	if len(o.handoff.late) == 0 || o.handoff.successor == nil {
		return Chunk{}, false
	}
	n, size := 0, 0
	for n < len(o.handoff.late) && (n == 0 || size < o.chunkBytes) {
		size += recordBytes + o.handoff.late[n].Answer.size()
		n++
	}
	c = Chunk{From: o.self, To: *o.handoff.successor, Origins: origins, Records: o.handoff.late[:n:n]}
	o.handoff.late = o.handoff.late[n:]
	return c, true
}
