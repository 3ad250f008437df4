// Package membership tells an entry host which hosts of its failure domain are
// live, with probes and gossip as in the SWIM protocol, and exchanges summaries with the
// other failure domains.
package membership

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 100 * time.Millisecond
	// ProbeInterval is the time between two probes of a host.
	ProbeInterval = time.Second
	// AckTimeout is how long a node waits for an Ack before it asks other hosts
	// to probe the target. After the same time again it suspects the target.
	AckTimeout = 500 * time.Millisecond
	// SuspectTimeout is how long a suspected host has to refute the suspicion
	// before it is removed.
	SuspectTimeout = 3 * time.Second
	// PauseLimit is the lateness of a tick above which the node assumes that the
	// suspicions it holds are wrong, since it was paused itself; it restarts
	// their timeouts. A shorter pause only extends them by the lateness.
	PauseLimit = 2 * time.Second
	// GossipInterval is the time between messages with pending updates; none
	// are sent when nothing is pending.
	GossipInterval = 200 * time.Millisecond
	// TombstoneRetention is how long a removed host is remembered, so that late
	// messages about it do not bring it back.
	TombstoneRetention = 10 * time.Minute

	pauseThreshold       = AckTimeout      // a tick that is later than this counts as a pause of the process
	removedProbeInterval = 5 * time.Second // time between probes of removed hosts, one host at a time
	syncInterval         = 5 * time.Second // shortest time between two full exchanges
	syncDelay            = 3 * time.Second // how long digests differ before a full exchange
	joinInterval         = time.Second     // time between attempts to join
)

const (
	// MaxUpdates is the largest number of updates in a message.
	MaxUpdates = 8
	// MaxMessageBytes bounds an encoded message, so that it fits in one packet.
	MaxMessageBytes = 1400
	// RetransmitFactor scales how often a host sends an update: in
	// RetransmitFactor * ceil(ln(n+1)) messages, for n hosts that are not dead.
	RetransmitFactor = 3

	indirectProbes = 3    // hosts that are asked to probe a target for this one
	gossipFanout   = 2    // hosts that get the pending updates per GossipInterval
	maxJoinSeeds   = 3    // seeds that Join asks at once
	maxNameBytes   = 63   // of a name or an address
	maxEvents      = 1024 // kept until TakeEvents
)

// State is the state of a member.
type State uint8

// The states of a member.
const (
	Alive State = iota + 1
	// Suspect: a probe of the host failed. It is removed unless it refutes this
	// within SuspectTimeout.
	Suspect
	// Leaving: the host announced its shutdown. Lookups no longer name it, but
	// it still serves the requests that it has. Updates carry this state in the
	// field Leaving.
	Leaving
	// Dead: the host was removed or has ended.
	Dead
)

var stateNames = [...]string{"", "alive", "suspect", "leaving", "dead"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// MarshalText writes the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Update is the state of one host as sent in a message. Updates about a host are
// ordered by incarnation, then counter, then state.
type Update struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// Incarnation is the start time of the process in milliseconds.
	Incarnation int64 `cbor:"3,keyasint"`
	// Counter is raised only by the host itself.
	Counter uint64 `cbor:"4,keyasint"`
	// State is Alive, Suspect or Dead.
	State   State `cbor:"5,keyasint"`
	Leaving bool  `cbor:"6,keyasint,omitempty"`
	// Holds are the ended processes whose idempotency keys were handed over to the host.
	Holds []EndedProcess `cbor:"7,keyasint,omitempty"`
}

// MaxHolds bounds the length of Update.Holds. More than a few hosts hand over
// their keys to the same host within the retention time of keys only when a
// whole domain is replaced.
const MaxHolds = 4

// EndedProcess names an ended process of the same domain.
type EndedProcess struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation int64  `cbor:"2,keyasint" json:"incarnation"`
}

// supersedes reports whether u is newer than old.
func (u Update) supersedes(old Update) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	if u.Counter != old.Counter {
		return u.Counter > old.Counter
	}
	return u.State > old.State
}

// isValid reports whether an update from another host has values in range.
func (u Update) isValid() bool {
	for _, h := range u.Holds {
		if h.Name == "" || len(h.Name) > maxNameBytes {
			return false
		}
	}
	return len(u.Holds) <= MaxHolds && u.Name != "" && len(u.Name) <= maxNameBytes && u.Address != "" && len(u.Address) <= maxNameBytes &&
		(u.State == Alive || u.State == Suspect || u.State == Dead)
}

// updateBytes returns an upper bound of the encoded size of an update. The
// constants cover the CBOR headers and keys and the largest integers.
func updateBytes(u *Update) int {
	size := len(u.Name) + len(u.Address) + 36
	for _, h := range u.Holds {
		size += len(h.Name) + 15
	}
	return size
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	// Ping asks for an Ack with the same Seq.
	Ping Kind = iota + 1
	Ack
	// PingRequest asks the receiver to probe Target for the sender.
	PingRequest
	// IndirectAck reports to the sender of a PingRequest that Target answered.
	IndirectAck
	// Gossip carries updates only.
	Gossip
	// SyncRequest asks for all members, which are sent in Gossip messages.
	SyncRequest
)

// Message is one message between hosts of a domain.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// From is the sender's own state.
	From Update `cbor:"2,keyasint"`
	Seq  uint64 `cbor:"3,keyasint,omitempty"`
	// Target is the name of the host a PingRequest or IndirectAck is about.
	Target string `cbor:"4,keyasint,omitempty"`
	// TargetAddress is set in a PingRequest.
	TargetAddress string   `cbor:"5,keyasint,omitempty"`
	Updates       []Update `cbor:"6,keyasint,omitempty"`
	// Digest is a hash of the set of hosts that are not dead according to the
	// sender.
	Digest uint64 `cbor:"7,keyasint,omitempty"`
	// Versions are the table versions in force at the sender.
	Versions map[string]int64 `cbor:"8,keyasint,omitempty"`
}

// Outgoing is a message to send. Name is empty if only the address is known.
type Outgoing struct {
	Name    string
	Address string
	Message Message
}

// Encode returns the CBOR form of a message. The error is a *result.Error, with
// code PeerMessageTooLarge if the form exceeds MaxMessageBytes.
func Encode(m Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "membership message")
	}
	if len(b) > MaxMessageBytes {
		return nil, result.New(result.PeerMessageTooLarge, "membership message of %d bytes, the limit is %d", len(b), MaxMessageBytes)
	}
	return b, nil
}

// Decode parses a message. The error is a *result.Error with code
// PeerMessageTooLarge or PeerMessageMalformed.
func Decode(b []byte) (Message, error) {
	if len(b) > MaxMessageBytes {
		return Message{}, result.New(result.PeerMessageTooLarge, "membership message of %d bytes, the limit is %d", len(b), MaxMessageBytes)
	}
	var m Message
	if err := cbor.Unmarshal(b, &m); err != nil {
		return Message{}, result.Wrap(err, result.PeerMessageMalformed, "membership message")
	}
	if !m.isValid() {
		return Message{}, result.New(result.PeerMessageMalformed, "membership message from %q has values out of range", m.From.Name)
	}
	return m, nil
}

func (m Message) isValid() bool {
	if m.Kind < Ping || m.Kind > SyncRequest || !m.From.isValid() || len(m.Updates) > MaxUpdates ||
		len(m.Target) > maxNameBytes || len(m.TargetAddress) > maxNameBytes {
		return false
	}
	for _, u := range m.Updates {
		if !u.isValid() {
			return false
		}
	}
	return true
}

// Member is the state of a host as known to this host.
type Member struct {
	Name        string         `json:"name"`
	Address     string         `json:"address"`
	Incarnation int64          `json:"incarnation"`
	Counter     uint64         `json:"counter"`
	State       State          `json:"state"`
	Holds       []EndedProcess `json:"holds,omitempty"`
}

// IsUsable reports whether lookups may name the host.
func (m Member) IsUsable() bool { return m.State == Alive || m.State == Suspect }

// EventKind is the kind of an event.
type EventKind string

// The kinds of events.
const (
	Joined    EventKind = "joined"
	Suspected EventKind = "suspected"
	Refuted   EventKind = "refuted"
	Withdrawn EventKind = "withdrawn" // the host is leaving
	Removed   EventKind = "removed"
	Replaced  EventKind = "replaced" // a new process with the host's name took its place
	// Superseded: another process has this host's own name.
	Superseded EventKind = "superseded"
)

// Event is a change in the state of a member.
type Event struct {
	At     time.Time `json:"at"`
	Kind   EventKind `json:"kind"`
	Member Member    `json:"member"`
}
