package entry

import (
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/health"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/links"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/slots"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/spill"
	"github.com/tamarackswitch/tamarackswitch/pkg/peer"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Kinds of messages that ask another entry host for its state.
const (
	kindStatus peer.Kind = 70
	kindDump   peer.Kind = 71
)

// Times travel as remaining milliseconds, because clocks of hosts differ.

// slotRequest asks a dispatcher for a slot.
type slotRequest struct {
	Pool    string   `cbor:"1,keyasint"`
	ID      uint64   `cbor:"2,keyasint"`
	Rank    int      `cbor:"3,keyasint"`
	Group   string   `cbor:"4,keyasint,omitempty"`
	LeftMS  int64    `cbor:"5,keyasint"`
	Once    bool     `cbor:"6,keyasint,omitempty"`
	Exclude []string `cbor:"7,keyasint,omitempty"`
	// Home is the failure domain that the caller was sent to.
	Home string `cbor:"8,keyasint,omitempty"`
	// RequestBytes and AnswerBytes are expected sizes for link budgets.
	RequestBytes float64 `cbor:"9,keyasint,omitempty"`
	AnswerBytes  float64 `cbor:"10,keyasint,omitempty"`
	// ServiceUS is the typical service time of the route in microseconds.
	ServiceUS int64 `cbor:"12,keyasint,omitempty"`
	// Stay forbids spilling to another failure domain.
	Stay bool `cbor:"11,keyasint,omitempty"`
}

// slotGrant answers a slotRequest with a server, or with a credit of another
// failure domain.
type slotGrant struct {
	Pool   string        `cbor:"1,keyasint"`
	ID     uint64        `cbor:"2,keyasint"`
	Server string        `cbor:"3,keyasint,omitempty"`
	Epoch  uint64        `cbor:"4,keyasint"`
	Credit *spill.Credit `cbor:"5,keyasint,omitempty"`
	// Lender is the entry host that accepts requests under the credit.
	Lender origin `cbor:"6,keyasint,omitempty"`
}

// slotRefusal answers a slotRequest with an error.
type slotRefusal struct {
	Pool         string      `cbor:"1,keyasint"`
	ID           uint64      `cbor:"2,keyasint"`
	Code         result.Code `cbor:"3,keyasint"`
	Message      string      `cbor:"4,keyasint"`
	RetryAfterMS int64       `cbor:"5,keyasint,omitempty"`
}

func (r slotRefusal) err() *result.Error {
	return result.New(r.Code, "%s", r.Message).WithRetryAfter(time.Duration(r.RetryAfterMS) * time.Millisecond)
}

// slotRelease ends a slotRequest at the dispatcher.
type slotRelease struct {
	Pool string `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"`
	// Cancel withdraws a request that was not granted yet.
	Cancel    bool              `cbor:"3,keyasint,omitempty"`
	Kind      slots.OutcomeKind `cbor:"4,keyasint"`
	ServiceUS int64             `cbor:"5,keyasint,omitempty"`
	// RequestBytes and AnswerBytes are what really crossed a link.
	RequestBytes float64 `cbor:"6,keyasint,omitempty"`
	AnswerBytes  float64 `cbor:"7,keyasint,omitempty"`
	// CreditRefused says that the other domain refused the request under its
	// credit, CreditLost that its entry host could not be reached.
	CreditRefused bool `cbor:"8,keyasint,omitempty"`
	CreditLost    bool `cbor:"9,keyasint,omitempty"`
}

// slotHeld asks for the grants that a host holds, and answers it.
type slotHeld struct {
	Pool   string      `cbor:"1,keyasint"`
	Ask    bool        `cbor:"2,keyasint,omitempty"`
	Epoch  uint64      `cbor:"3,keyasint"`
	Grants []heldGrant `cbor:"4,keyasint,omitempty"`
}

type heldGrant struct {
	ID     uint64 `cbor:"1,keyasint"`
	Server string `cbor:"2,keyasint"`
	Rank   int    `cbor:"3,keyasint"`
	LeftMS int64  `cbor:"4,keyasint"`
}

// origin lets a message be answered by a host that did not get it first.
type origin struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// creditRequest asks the dispatcher of a pool in another failure domain for
// credit. A host that is not the dispatcher passes it on once.
type creditRequest struct {
	Request spill.Request `cbor:"1,keyasint"`
	Origin  origin        `cbor:"2,keyasint"`
	Passed  bool          `cbor:"3,keyasint,omitempty"`
}

// creditGrant answers a creditRequest. Address accepts relayed requests.
type creditGrant struct {
	Credit  spill.Credit `cbor:"1,keyasint"`
	Address string       `cbor:"2,keyasint"`
}

// linkRequest and linkLease carry a directed link's name beside the core's
// messages.
type linkRequest struct {
	Link    string        `cbor:"1,keyasint"`
	Request links.Request `cbor:"2,keyasint"`
}

type linkLease struct {
	Link  string      `cbor:"1,keyasint"`
	Lease links.Lease `cbor:"2,keyasint"`
}

// outcomeOf converts an outcome for the health tracker.
func outcomeOf(o slots.Outcome) (health.Outcome, bool) {
	kinds := map[slots.OutcomeKind]health.Kind{
		slots.OK: health.OK, slots.Failed: health.Failed, slots.Shed: health.Shed, slots.Timeout: health.Timeout,
	}
	k, ok := kinds[o.Kind]
	return health.Outcome{Kind: k, Service: o.Service}, ok
}
