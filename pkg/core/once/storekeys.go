package once

import (
	"crypto/sha256"
	"encoding/hex"

	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Write budgets of the whole fleet for opaque keys. Their sum stays under the
// platform's limit of 300 writes/s for all uses.
const (
	// CreatesPerSecond is the budget for creating records.
	CreatesPerSecond = 150
	// FinishesPerSecond is the budget for recording outcomes.
	FinishesPerSecond = 75
)

const (
	// maxInProgress is the longest time that a started record without outcome is
	// reported as in progress; then its outcome is reported as unknown.
	maxInProgress = 30 * time.Second
	// maxStoreSteps is the maximum number of store actions to decide about one
	// request.
	maxStoreSteps = 6
	// retryStore is the retry delay returned with KeyStoreDown.
	retryStore = 5 * time.Second
)

// StoreVerb is the kind of platform call of a StoreAction.
type StoreVerb int

// The store verbs.
const (
	// StorePut: call Put(Key, Value, IfVersion).
	StorePut StoreVerb = iota + 1
	// StoreGet: call Get(Key).
	StoreGet
)

// StoreAction is the next call to the platform.
type StoreAction struct {
	Verb      StoreVerb
	Key       string
	Value     []byte
	IfVersion int64
}

// StoreResult is the outcome of a call to the platform.
type StoreResult struct {
	Object platform.Object
	// Err is the error of the call. Errors other than those of package
	// platform mean that the outcome is unknown.
	Err error
}

// StoreStep is what to do next: exactly one of Action, Run and Err is set.
type StoreStep struct {
	Action *StoreAction
	Run    bool
	// Err is a *result.Error.
	Err error
}

// storeRecord is the value of the platform object that records an opaque key.
type storeRecord struct {
	Nonce       string `cbor:"1,keyasint"` // identifies the request that wrote the record
	RequestHash uint64 `cbor:"2,keyasint"`
	State       State  `cbor:"3,keyasint"`
	Started     int64  `cbor:"4,keyasint"` // milliseconds since 1970
}

// StoreKeys decides, by records in the platform, whether requests with opaque
// keys may run. It is safe for concurrent use.
type StoreKeys struct {
	self Identity

	mu       sync.Mutex
	serial   uint64 // makes the nonces of this process unique
	creates  bucket
	finishes bucket
	started  int // requests that were allowed to run
	refused  int // requests refused because the create budget was used up
}

// NewStoreKeys returns the StoreKeys of one host. The fleet's budgets are
// divided by maxHosts, the maximum host count in the settings.
func NewStoreKeys(self Identity, maxHosts int) *StoreKeys {
	n := float64(max(maxHosts, 1))
	return &StoreKeys{
		self:     self,
		creates:  bucket{rate: CreatesPerSecond / n, level: 1},
		finishes: bucket{rate: FinishesPerSecond / n, level: 1},
	}
}

// bucket is a token bucket; it holds at most one second of its rate and at
// least one token.
type bucket struct {
	rate  float64 // tokens per second
	level float64 // tokens now available
	last  time.Time
}

func (b *bucket) take(now time.Time) bool {
	if !b.last.IsZero() && now.After(b.last) {
		b.level = min(b.level+b.rate*now.Sub(b.last).Seconds(), max(b.rate, 1))
	}
	if b.last.IsZero() || now.After(b.last) {
		b.last = now
	}
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// StoreOp is the state of the decision about one request. It must be used by one
// goroutine only.
type StoreOp struct {
	keys      *StoreKeys
	req       Request
	objectKey string
	nonce     string
	waiting   StoreVerb // verb of the action whose result Next takes, or 0
	steps     int
	version   int64     // of this request's stored record; 0 if no outcome is to be stored
	started   time.Time // when this request last tried to write its record
}

// ObjectKey returns the platform key of an opaque key's record.
func ObjectKey(key Key) string {
	sum := sha256.Sum256([]byte(key.Text))
	return platform.KeysPrefix + hex.EncodeToString(sum[:])
}

// Begin starts the decision about a request with an opaque key. The caller
// carries out the action of each step and passes the result to Next.
func (k *StoreKeys) Begin(now time.Time, req Request) (*StoreOp, StoreStep) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.serial++
	op := &StoreOp{
		keys: k, req: req, objectKey: ObjectKey(req.Key),
		nonce: k.self.String() + "." + strconv.FormatUint(k.serial, 10),
	}
	if !k.creates.take(now) {
		k.refused++
		// The key may have run earlier, so the run state is not NotRun.
		return op, StoreStep{Err: result.New(result.KeyStoreDown, "the budget for keys without prefix is used up").
			WithRun(result.Unknown).WithRetryAfter(retryStore)}
	}
	return op, op.put(now, 0)
}

// put returns the action that writes the record of this request, provided that
// the stored object still has the given version; 0 means that there is none.
func (op *StoreOp) put(now time.Time, version int64) StoreStep {
	op.waiting, op.started = StorePut, now
	return op.action(StoreAction{Verb: StorePut, Key: op.objectKey, Value: op.value(Running), IfVersion: version})
}

func (op *StoreOp) get() StoreStep {
	op.waiting = StoreGet
	return op.action(StoreAction{Verb: StoreGet, Key: op.objectKey})
}

func (op *StoreOp) action(a StoreAction) StoreStep {
	if op.steps++; op.steps > maxStoreSteps {
		return op.storeDown("the record changed too often")
	}
	return StoreStep{Action: &a}
}

func (op *StoreOp) value(state State) []byte {
	b, err := cbor.Marshal(storeRecord{
		Nonce: op.nonce, RequestHash: op.req.hash(), State: state, Started: op.started.UnixMilli(),
	})
	if err != nil {
		panic(err) // the type always encodes
	}
	return b
}

func (op *StoreOp) storeDown(why string) StoreStep {
	return StoreStep{Err: result.New(result.KeyStoreDown, "%s", why).WithRun(result.Unknown).WithRetryAfter(retryStore)}
}

// Next takes the result of the last action.
func (op *StoreOp) Next(now time.Time, r StoreResult) StoreStep {
	waiting := op.waiting
	op.waiting = 0
	switch waiting {
	case StorePut:
		return op.afterPut(r)
	case StoreGet:
		return op.afterGet(now, r)
	}
	return StoreStep{Err: result.New(result.Internal, "the decision about the key has ended").WithRun(result.Unknown)}
}

func (op *StoreOp) afterPut(r StoreResult) StoreStep {
	switch {
	case r.Err == nil:
		return op.run(r.Object.Version)
	case errors.Is(r.Err, platform.ErrUnavailable), errors.Is(r.Err, platform.ErrTooLarge):
		return op.storeDown("the platform refused the record of the key")
	}
	// After a conflict the record of another request decides; after an unknown
	// outcome the nonce shows whether the record of this request is stored.
	return op.get()
}

func (op *StoreOp) run(version int64) StoreStep {
	op.version = version
	op.keys.mu.Lock()
	op.keys.started++
	op.keys.mu.Unlock()
	return StoreStep{Run: true}
}

func (op *StoreOp) afterGet(now time.Time, r StoreResult) StoreStep {
	if r.Err != nil {
		// Even if the object does not exist now, this request's record may still
		// be stored: the platform can apply a call late whose answer was lost.
		return op.storeDown("the record of the key could not be read")
	}
	var rec storeRecord
	if err := cbor.Unmarshal(r.Object.Value, &rec); err != nil {
		return op.storeDown("the record of the key is malformed")
	}
	if rec.Nonce == op.nonce {
		return op.run(r.Object.Version)
	}
	return op.decideByRecord(now, rec, r.Object.Version)
}

// decideByRecord decides by the stored record of another request.
func (op *StoreOp) decideByRecord(now time.Time, rec storeRecord, version int64) StoreStep {
	if rec.State == NotRun {
		return op.put(now, version)
	}
	r := record{requestHash: rec.RequestHash, state: rec.State}
	if rec.State == Running && now.Sub(time.UnixMilli(rec.Started)) > maxInProgress {
		r.state = Unsettled
	}
	_, err := r.duplicate(op.req)
	return StoreStep{Err: err}
}

// Finish returns the action that records the outcome of a request that was
// run, or nil if the budget is used up or there is nothing to record. It is best
// effort: without it duplicates are answered KeyInProgress and later
// KeyOutcomeUnknown. The result of the action is not needed.
func (k *StoreKeys) Finish(now time.Time, op *StoreOp, out Outcome) *StoreAction {
	if op.version == 0 {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.finishes.take(now) {
		return nil
	}
	version := op.version
	op.version = 0
	return &StoreAction{Verb: StorePut, Key: op.objectKey, Value: op.value(out.State), IfVersion: version}
}

// StoreDump is the state of StoreKeys.
type StoreDump struct {
	Started      int     `json:"started"`
	Refused      int     `json:"refused_by_budget"`
	CreateTokens float64 `json:"create_tokens"`
	FinishTokens float64 `json:"finish_tokens"`
}

// Dump returns counts and budgets.
func (k *StoreKeys) Dump() StoreDump {
	k.mu.Lock()
	defer k.mu.Unlock()
	return StoreDump{Started: k.started, Refused: k.refused, CreateTokens: k.creates.level, FinishTokens: k.finishes.level}
}
