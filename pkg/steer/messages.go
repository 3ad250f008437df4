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

// datagram is what entry hosts send each other. Any part may be missing.
type datagram struct {
	// From and Started name the sender and its process.
	From    string  `cbor:"1,keyasint"`
	Started int64   `cbor:"2,keyasint"`
	Beacon  *beacon `cbor:"3,keyasint,omitempty"`
	Ask     *ask    `cbor:"4,keyasint,omitempty"`
	Grant   *grant  `cbor:"5,keyasint,omitempty"`
	// Done are the latest ends of granted requests. Each is sent several times,
	// because datagrams are lost.
	Done   []done   `cbor:"6,keyasint,omitempty"`
	Report []report `cbor:"7,keyasint,omitempty"`
	// Digest tells hosts of other groups which members of the sender's live.
	Digest []sighting `cbor:"8,keyasint,omitempty"`
	// Joined are those of them that came lately.
	Joined []fleet.EntryHost `cbor:"9,keyasint,omitempty"`
}

// sighting is a host that was heard lately.
type sighting struct {
	_ struct{} `cbor:",toarray"`
	// ID is the host's sightingID.
	ID uint32
	// AgeMS is the time since it was heard.
	AgeMS          uint32
	Leaving, Ready bool
}

// sightingID is short for a process of an entry host.
func sightingID(h fleet.EntryHost) uint32 {
	return uint32(rendezvous.Weight(strconv.FormatInt(h.Started, 10), h.Name))
}

// beacon tells the other hosts of the region that this one lives, and what it
// has in progress.
type beacon struct {
	// Host describes the sender while it or a receiver is new, and now and then.
	Host    *fleet.EntryHost `cbor:"1,keyasint,omitempty"`
	Leaving bool             `cbor:"2,keyasint,omitempty"`
	Ready   bool             `cbor:"3,keyasint,omitempty"`
	// Loads are the requests in progress, by server, that no dispatcher knows.
	Loads map[string]int `cbor:"4,keyasint,omitempty"`
	// Watching, AgeMS and Versions describe the host's copy of the store.
	Watching bool              `cbor:"5,keyasint,omitempty"`
	AgeMS    uint32            `cbor:"6,keyasint"`
	Versions [feed.Kinds]int64 `cbor:"7,keyasint"`
}

// ask asks the dispatcher of a pool for a server.
type ask struct {
	ID       uint64   `cbor:"1,keyasint"`
	Pool     string   `cbor:"2,keyasint"`
	Route    string   `cbor:"3,keyasint"`
	Key      string   `cbor:"4,keyasint"`
	Priority int      `cbor:"5,keyasint,omitempty"`
	TargetMS uint32   `cbor:"6,keyasint"`
	LeftMS   uint32   `cbor:"7,keyasint"`
	Exclude  []string `cbor:"8,keyasint,omitempty"`
	Regions  []string `cbor:"9,keyasint,omitempty"`
	// First is set for the first send of a request, Safe if it may run twice.
	First bool `cbor:"10,keyasint,omitempty"`
	Safe  bool `cbor:"11,keyasint,omitempty"`
}

// grant answers an ask.
type grant struct {
	ID      uint64          `cbor:"1,keyasint"`
	Verdict placing.Verdict `cbor:"2,keyasint"`
	// Queued is set if the request waits at the dispatcher; another grant follows.
	Queued   bool          `cbor:"3,keyasint,omitempty"`
	Server   string        `cbor:"4,keyasint,omitempty"`
	Remote   bool          `cbor:"5,keyasint,omitempty"`
	Expected time.Duration `cbor:"6,keyasint,omitempty"`
	Load     float32       `cbor:"7,keyasint,omitempty"`
	Class    placing.Class `cbor:"8,keyasint,omitempty"`
	Service  time.Duration `cbor:"9,keyasint,omitempty"`
	WaitedMS uint32        `cbor:"10,keyasint,omitempty"`
}

// done tells the dispatcher that a granted request has ended.
type done struct {
	ID      uint64          `cbor:"1,keyasint"`
	Pool    string          `cbor:"2,keyasint"`
	Outcome placing.Outcome `cbor:"3,keyasint"`
	TookUS  uint32          `cbor:"4,keyasint"`
	// Loaded is set if the server told its load: running and waiting requests.
	Loaded  bool `cbor:"5,keyasint,omitempty"`
	Running int  `cbor:"6,keyasint,omitempty"`
	Waiting int  `cbor:"7,keyasint,omitempty"`
}

// report is what the dispatcher of a pool tells the other regions.
type report struct {
	Pool   string         `cbor:"1,keyasint"`
	Region string         `cbor:"2,keyasint"`
	Report placing.Report `cbor:"3,keyasint"`
}

// sendTo writes a datagram. A lost one is made up for by its sender's timer.
func (h *Host) sendTo(to netip.AddrPort, d *datagram) { h.sendAll([]netip.AddrPort{to}, d) }

// sendAll writes the same datagram to several hosts.
func (h *Host) sendAll(to []netip.AddrPort, d *datagram) {
	if len(to) == 0 {
		return
	}
	d.From, d.Started = h.self.Name, h.self.Started
	raw, err := cbor.Marshal(d)
	if err != nil {
		h.log.warn(err, "datagram could not be encoded")
		return
	}
	if len(raw) > maxDatagram {
		h.metrics.oversized.Inc()
	}
	for _, address := range to {
		if _, err := h.udp.WriteToUDPAddrPort(raw, address); err != nil && h.tomb.Alive() {
			h.log.warn(err, "datagram could not be sent")
		}
	}
}
