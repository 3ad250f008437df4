package steer

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/placing"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// datagram is a UDP message between entry hosts. It carries any combination of
// its optional parts.
type datagram struct {
	// From is the name of the sender. StartedMS, the start time of its process in
	// milliseconds since 1970, tells a restarted process from its predecessor.
	From        string       `cbor:"1,keyasint"`
	StartedMS   int64        `cbor:"2,keyasint"`
	Beacon      *beacon      `cbor:"3,keyasint,omitempty"`
	SlotRequest *slotRequest `cbor:"4,keyasint,omitempty"`
	SlotReply   *slotReply   `cbor:"5,keyasint,omitempty"`
	// Completions are the latest ends of granted requests. Each is sent in several
	// datagrams, because datagrams may be lost.
	Completions []completion `cbor:"6,keyasint,omitempty"`
	Report      []report     `cbor:"7,keyasint,omitempty"`
	// Digest tells hosts of other groups which hosts of the sender's group are live.
	Digest []sighting `cbor:"8,keyasint,omitempty"`
	// Joined describes the hosts of the sender's group that joined lately.
	Joined []fleet.EntryHost `cbor:"9,keyasint,omitempty"`
}

// sighting is an entry of a digest: a live host and when it was last heard from.
// It is encoded as an array, so the order of its fields is part of the protocol.
type sighting struct {
	_ struct{} `cbor:",toarray"`
	// ID is the host's sightingID.
	ID uint32
	// AgeMS is the time since the last beacon of the host, in milliseconds.
	AgeMS uint32
	// Leaving is set during a shutdown, Ready while the host accepts callers.
	Leaving, Ready bool
}

// sightingID identifies a process of an entry host in a digest, by a 32-bit hash of
// its name and start time.
func sightingID(h fleet.EntryHost) uint32 {
	return uint32(rendezvous.Weight(strconv.FormatInt(h.StartedMS, 10), h.Name))
}

// beacon is the heartbeat of an entry host, with its requests in progress.
type beacon struct {
	// Host describes the sender. It is present while a host of the region is new,
	// and otherwise about once a second.
	Host *fleet.EntryHost `cbor:"1,keyasint,omitempty"`
	// Leaving is set during a shutdown, Ready while the host accepts callers.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	Ready   bool `cbor:"3,keyasint,omitempty"`
	// Loads counts, by server, the requests in progress that the pool's dispatcher
	// did not grant.
	Loads map[string]int `cbor:"4,keyasint,omitempty"`
	// Watching, AgeMS and ChangeRevisions describe the sender's copy of the store: whether
	// it watches the store itself, the copy's age, and the revision of the last change of
	// each kind.
	Watching        bool                 `cbor:"5,keyasint,omitempty"`
	AgeMS           uint32               `cbor:"6,keyasint"`
	ChangeRevisions [feed.NumKinds]int64 `cbor:"7,keyasint"`
	// Eras are the store's eras of the ChangeRevisions, missing if all are 0.
	Eras []int64 `cbor:"8,keyasint,omitempty"`
	// Held counts what the sender knows from before the store came back from an older
	// copy: servers, failure domains, and tables that the copy lacks.
	Held int `cbor:"9,keyasint,omitempty"`
}

// changePositions returns the positions at which objects of each kind last changed in
// the sender's copy.
func (b *beacon) changePositions() (out [feed.NumKinds]feed.Position) {
	for kind, revision := range b.ChangeRevisions {
		out[kind].Revision = revision
		if kind < len(b.Eras) {
			out[kind].Era = b.Eras[kind]
		}
	}
	return out
}

// slotRequest asks the dispatcher of a pool for a slot at a server.
type slotRequest struct {
	ID       uint64 `cbor:"1,keyasint"`
	Pool     string `cbor:"2,keyasint"`
	Route    string `cbor:"3,keyasint"`
	Key      string `cbor:"4,keyasint"`
	Priority int    `cbor:"5,keyasint,omitempty"`
	// TargetMS is the route's target latency, and RemainingMS the time until the
	// request's deadline.
	TargetMS    uint32 `cbor:"6,keyasint"`
	RemainingMS uint32 `cbor:"7,keyasint"`
	// Exclude are servers that were already tried. Regions, if any, are the only
	// ones whose servers may run the request.
	Exclude []string `cbor:"8,keyasint,omitempty"`
	Regions []string `cbor:"9,keyasint,omitempty"`
	// FirstAttempt is set for the first attempt of a request, which counts as demand;
	// IdempotentRoute is set if the request may run more than once.
	FirstAttempt    bool `cbor:"10,keyasint,omitempty"`
	IdempotentRoute bool `cbor:"11,keyasint,omitempty"`
}

// slotReply answers a slotRequest. It grants a slot if Verdict is Send and Queued
// is not set.
type slotReply struct {
	ID      uint64          `cbor:"1,keyasint"`
	Verdict placing.Verdict `cbor:"2,keyasint"`
	// Queued is set if the dispatcher has queued the request; another reply follows.
	Queued bool `cbor:"3,keyasint,omitempty"`
	// Server, Remote, Expected, Load, Class and Service are copied from the
	// dispatcher's placing.Choice.
	Server   string             `cbor:"4,keyasint,omitempty"`
	Remote   bool               `cbor:"5,keyasint,omitempty"`
	Expected time.Duration      `cbor:"6,keyasint,omitempty"`
	Load     float32            `cbor:"7,keyasint,omitempty"`
	Class    placing.ReuseClass `cbor:"8,keyasint,omitempty"`
	Service  time.Duration      `cbor:"9,keyasint,omitempty"`
	// WaitedMS is how long the request was queued.
	WaitedMS uint32 `cbor:"10,keyasint,omitempty"`
}

// completion tells the dispatcher that a granted request has ended.
type completion struct {
	ID      uint64          `cbor:"1,keyasint"`
	Pool    string          `cbor:"2,keyasint"`
	Outcome placing.Outcome `cbor:"3,keyasint"`
	// TookUS is the time from the send to the answer, in microseconds.
	TookUS uint32 `cbor:"4,keyasint"`
	// LoadReported is set if the server's answer reported its load: the numbers of
	// running and waiting requests.
	LoadReported bool `cbor:"5,keyasint,omitempty"`
	Running      int  `cbor:"6,keyasint,omitempty"`
	Waiting      int  `cbor:"7,keyasint,omitempty"`
	// Notice is present if the server said something of itself.
	Notice *notice `cbor:"8,keyasint,omitempty"`
	// WorkPercent is how long work takes at the server, in percent of its usual
	// time, 0 if it did not say.
	WorkPercent int `cbor:"9,keyasint,omitempty"`
}

// notice is what a server said of itself to the sender, see placing.ServerNotice.
type notice struct {
	StartedMS int64 `cbor:"1,keyasint"`
	Leaving   bool  `cbor:"2,keyasint,omitempty"`
	// PauseMS is how long the server wants no requests from the sender, in
	// milliseconds.
	PauseMS uint32 `cbor:"3,keyasint,omitempty"`
}

// noticeMessage returns nil if the server said nothing.
func noticeMessage(n placing.ServerNotice) *notice {
	if !n.Leaving && n.Pause <= 0 {
		return nil
	}
	return &notice{StartedMS: n.StartedMS, Leaving: n.Leaving, PauseMS: uint32(n.Pause.Milliseconds())}
}

func (n *notice) serverNotice() placing.ServerNotice {
	if n == nil {
		return placing.ServerNotice{}
	}
	return placing.ServerNotice{StartedMS: n.StartedMS, Leaving: n.Leaving, Pause: time.Duration(n.PauseMS) * time.Millisecond}
}

// report is the load report about a pool that its dispatcher sends to the other
// regions.
type report struct {
	Pool   string         `cbor:"1,keyasint"`
	Region string         `cbor:"2,keyasint"`
	Report placing.Report `cbor:"3,keyasint"`
}

// sendTo sends a datagram without acknowledgement. Timers make up for lost datagrams:
// beacons and reports are periodic, unanswered slot requests are repeated, waits for a
// reply time out, and requests whose completion is lost expire.
func (h *Host) sendTo(to netip.AddrPort, d *datagram) { h.sendAll([]netip.AddrPort{to}, d) }

// sendAll sends the same datagram to several hosts.
func (h *Host) sendAll(to []netip.AddrPort, d *datagram) {
	if len(to) == 0 {
		return
	}
	d.From, d.StartedMS = h.self.Name, h.self.StartedMS
	raw, err := cbor.Marshal(d)
	if err != nil {
		h.log.warn(err, "datagram could not be encoded")
		return
	}
	if len(raw) > maxDatagramBytes {
		h.metrics.oversizedDatagrams.Inc()
	}
	for _, address := range to {
		if _, err := h.udp.WriteToUDPAddrPort(raw, address); err != nil && h.tomb.Alive() {
			h.log.warn(err, "datagram could not be sent")
		}
	}
}
