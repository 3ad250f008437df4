package once

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const (
	// DefaultMemory is the default limit of records and stored answers in bytes.
	DefaultMemory = 64 << 20
	// MaxAnswerBytes is the maximum body length of a stored answer.
	MaxAnswerBytes = 64 << 10
	// retryInProgress is the retry delay returned to duplicates of a running
	// request, and to requests without a record that this host may not start: after
	// its export, or before the import of the key's origin is complete.
	retryInProgress = time.Second
	// retryFull is the retry delay returned when records fill the memory.
	retryFull = 10 * time.Second

	// shardCount is the number of separately locked parts of an Owner.
	shardCount = 16
	// recordBytes is the memory charged for a record without its key text and
	// answer: the struct, its map entry and the allocator's rounding.
	recordBytes = 256
)

// Request holds the attributes that a duplicate of a key has to match.
type Request struct {
	Key Key
	// Route is the name of the route row; Group is the caller group.
	Route, Group string
	// Fingerprint represents the method, the path and optionally the body.
	Fingerprint string
}

// hash joins the parts with a separator that none of them contains, so that
// shifting bytes between parts changes the value.
func (r Request) hash() uint64 {
	return xxhash.Sum64String(r.Route + "\x00" + r.Group + "\x00" + r.Fingerprint)
}

// Answer is a stored answer of a backend server.
type Answer struct {
	Status int                 `cbor:"1,keyasint" json:"status"`
	Header map[string][]string `cbor:"2,keyasint,omitempty" json:"header,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty" json:"body,omitempty"`
}

// size returns the bytes charged for the answer, with estimates of the
// overhead of the struct and its headers.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body) + 64
	for name, values := range a.Header {
		n += len(name) + 32
		for _, v := range values {
			n += len(v) + 16
		}
	}
	return n
}

// State is the recorded state of a key.
type State int

// The states of a record.
const (
	// Running: the request was started and has not finished.
	Running State = iota + 1
	// Ran: a backend server ran the request.
	Ran
	// Unsettled: the request was sent and its outcome is unknown.
	Unsettled
	// NotRun: the request was started and provably did not run. An Owner deletes
	// the record of such a key, so this state appears only in outcomes, in the
	// chunks of TakeLate and in the platform's records of opaque keys.
	NotRun
	// RunningElsewhere: the request was running at the host that handed the
	// key over, and its outcome has not arrived.
	RunningElsewhere
)

// Outcome describes how a started request ended.
type Outcome struct {
	// State is Ran, Unsettled or NotRun.
	State State
	// Answer is kept for duplicates if State is Ran and its body has at
	// most MaxAnswerBytes; it may be nil. The owner keeps the pointer: the
	// caller must not change the answer afterwards.
	Answer *Answer
}

// Start is the decision of Begin about a request that it does not refuse.
type Start struct {
	// Run is true if the caller has to run the request and call Finish once.
	Run bool
	// Replay is the stored answer if Run is false.
	Replay *Answer
}

// record is the state of one key.
type record struct {
	key         Key
	requestHash uint64
	state       State
	answer      *Answer
	// older and newer link the records with a stored answer in a list by age.
	older, newer *record
}

func (r *record) cost() int { return recordBytes + len(r.key.Text) + r.answer.size() }

// shard is a part of an Owner's records with its own lock.
type shard struct {
	mu      sync.Mutex
	records map[string]*record
	bytes   int // charged for records and stored answers
	// swept is the window of the owner's own counter in which expired records
	// were last deleted.
	swept int64
	// closed is set by Export; no request starts afterwards.
	closed         bool
	oldest, newest *record // ends of the list of records with a stored answer
	dropped        int     // answers evicted so far
}

// Owner holds the keys of one process incarnation and of the incarnations that
// were handed over to it. It is safe for concurrent use.
type Owner struct {
	self     Identity
	start    time.Time
	capacity int // bytes per shard
	// chunkBytes is ChunkBytes; tests set a smaller value.
	chunkBytes int
	window     atomic.Int64
	shards     [shardCount]shard
	handoff    handoff
}

// NewOwner returns the owner of the keys of self, a process that started at
// start. memory bounds records and answers in bytes; 0 means DefaultMemory.
func NewOwner(self Identity, start time.Time, memory int) *Owner {
	if memory <= 0 {
		memory = DefaultMemory
	}
	o := &Owner{self: self, start: start, capacity: memory / shardCount, chunkBytes: ChunkBytes}
	for i := range o.shards {
		o.shards[i].records = map[string]*record{}
	}
	o.handoff.origins = map[Identity]*origin{}
	return o
}

// Self returns the identity whose keys the owner holds.
func (o *Owner) Self() Identity { return o.self }

// Prefix returns the key prefix that is returned to lookups at time now.
func (o *Owner) Prefix(now time.Time) string { return FormatPrefix(o.self, o.currentWindow(now)) }

// currentWindow never goes back, so the key of a record that was deleted as
// expired stays expired even if the clock is set back.
func (o *Owner) currentWindow(now time.Time) int64 {
	w := int64(now.Sub(o.start) / Window)
	for {
		old := o.window.Load()
		if w <= old {
			return old
		}
		if o.window.CompareAndSwap(old, w) {
			return w
		}
	}
}

func (o *Owner) shardOf(key string) *shard {
	return &o.shards[xxhash.Sum64String(key)%shardCount]
}

// Begin decides whether a request may run and refuses keys that this host does
// not answer for. The error is a *result.Error; its run state covers all requests
// with the key, not only this one.
func (o *Owner) Begin(now time.Time, req Request) (Start, error) {
	s := o.shardOf(req.Key.Text)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The window is checked under the lock, so that no other call with a later
	// time deletes the key's record between this check and the search for it.
	o.sweep(s, now)
	adm := o.checkAdmission(now, req.Key)
	if adm.err != nil {
		return Start{}, adm.err
	}
	if r := s.records[req.Key.Text]; r != nil {
		return r.duplicate(req)
	}
	if s.closed || !adm.complete {
		return Start{}, result.New(result.KeyOwnerGone, "no record of the key, and %s no longer runs keys of %s", o.self, req.Key.Owner).
			WithRun(result.Unknown).WithRetryAfter(retryInProgress)
	}
	r := &record{key: req.Key, requestHash: req.hash(), state: Running}
	if !s.insert(r, o.capacity) {
		return Start{}, result.New(result.KeyMemoryFull, "the records of %d keys fill the memory", len(s.records)).
			WithRetryAfter(retryFull)
	}
	return Start{Run: true}, nil
}

// duplicate returns the stored answer or the refusal for a request whose key
// already has a record.
func (r *record) duplicate(req Request) (Start, error) {
	if r.requestHash != req.hash() {
		return Start{}, result.New(result.IdempotencyMismatch, "the key was used for another request").WithRun(r.runState())
	}
	switch r.state {
	case Ran:
		if r.answer != nil {
			return Start{Replay: r.answer}, nil
		}
		return Start{}, result.New(result.KeyAlreadyRun, "the request ran and its answer is no longer stored").WithRun(result.Run)
	case Running:
		return Start{}, result.New(result.KeyInProgress, "the request is running").
			WithRun(result.Unknown).WithRetryAfter(retryInProgress)
	}
	return Start{}, result.New(result.KeyOutcomeUnknown, "the request was sent and its outcome is unknown").WithRun(result.Unknown)
}

func (r *record) runState() result.RunState {
	if r.state == Ran {
		return result.Run
	}
	return result.Unknown
}

// Finish records the outcome of a request that Begin started. After NotRun the key
// may run again; after Unsettled it never does. It returns a *result.Error with
// code Internal if the key is not running.
func (o *Owner) Finish(now time.Time, key Key, out Outcome) error {
	s := o.shardOf(key.Text)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[key.Text]
	if r == nil || r.state != Running {
		return result.New(result.Internal, "key %s is not running", key.Text).WithRun(result.Unknown)
	}
	s.settle(r, out, o.capacity)
	if s.closed {
		o.handoff.addLate(Record{Key: key.Text, RequestHash: r.requestHash, State: out.State, Answer: r.answer})
	}
	o.sweep(s, now)
	return nil
}

// settle applies the outcome of a request to its record.
func (s *shard) settle(r *record, out Outcome, capacity int) {
	switch out.State {
	case NotRun:
		s.remove(r)
		return
	case Ran:
		r.state = Ran
	default:
		r.state = Unsettled
		return
	}
	if n := out.Answer.size(); n == 0 || len(out.Answer.Body) > MaxAnswerBytes || n > capacity {
		return
	}
	s.store(r, out.Answer, capacity)
}
