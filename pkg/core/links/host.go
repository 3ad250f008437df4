// Package links limits the traffic rate of each directed link between two
// regions to a cap in bytes per second. Every host has a static floor, a rate
// that it may always use. The remaining part of the cap is leased out by an
// allocator; without an allocator the hosts fall back to their floors.
package links

import (
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// Parameters of the lease protocol and of the token bucket.
const (
	// LeaseLifetime is how long a lease is valid, counted from the time at
	// which the host sent the request for it.
	LeaseLifetime = 5 * time.Second
	// AttachTime is how long a host stays with an allocator after its last
	// request to it, so that two allocators never count the same host. It is
	// several times RenewEvery, because a request carries the stamp of the
	// previous answer: with 3 s, a single lost message cost a host its lease.
	AttachTime = 5 * time.Second
	// FloorFraction is the fraction of the cap that is divided into static
	// floors.
	FloorFraction = 0.5
	// BurstFraction splits a host's share: this fraction of the bytes of one
	// second is the depth of its bucket, and the remaining fraction is the fill
	// rate. A full burst and the refill of one second thus stay within the share.
	BurstFraction = 0.25
	// PatientMinFill is the fraction of the bucket that must be full before a
	// request of rank Patient is admitted. It reserves tokens for more urgent
	// ranks.
	PatientMinFill = 0.60
	// OnceMinFill is the same fraction for rank Once.
	OnceMinFill = 0.30
)

// Floor returns the static floor of one host in bytes per second for a link
// with the given cap in bytes per second that at most maxHosts hosts use.
func Floor(linkCap float64, maxHosts int) float64 {
	return linkCap * FloorFraction / float64(max(maxHosts, 1))
}

// Request asks an allocator for a lease.
type Request struct {
	Host  string  `cbor:"1,keyasint"`
	Seq   uint64  `cbor:"2,keyasint"`
	Rate  float64 `cbor:"3,keyasint"` // demand above the floor in bytes per second
	Epoch uint64  `cbor:"4,keyasint"` // from the allocator's last answer
	// Stamp is the allocator's clock reading in its last answer, returned
	// unchanged; it proves that the request was sent after that time.
	Stamp time.Time `cbor:"5,keyasint"`
}

// Lease answers a Request. Its lifetime starts when the host sent the request,
// measured on the host's clock, so clocks need not be synchronized.
type Lease struct {
	Host  string    `cbor:"1,keyasint"`
	Seq   uint64    `cbor:"2,keyasint"` // of the request
	Rate  float64   `cbor:"3,keyasint"` // bytes per second above the floor, 0 for none
	Epoch uint64    `cbor:"4,keyasint"` // identifies the allocator instance
	Stamp time.Time `cbor:"5,keyasint"` // the allocator's clock when it answered
}

// requestHistory is the number of latest requests whose send times a host keeps;
// answers to older requests are discarded.
const requestHistory = 8

// Bucket is the token bucket of one host for one directed link, together with
// the host's lease on that link. A token is one byte. A Bucket is safe for
// concurrent use.
type Bucket struct {
	mu    sync.Mutex
	host  string
	floor float64 // bytes per second

	leaseRate  float64   // bytes per second above the floor
	leaseUntil time.Time // expiry of the lease
	tokens     float64   // bytes; negative after Settle with more bytes than taken
	filledAt   time.Time // time of the last refill

	allocator     string                    // name of the current allocator
	lastRequestAt time.Time                 // time of the last request to allocator, or of creation
	epoch         uint64                    // from the allocator's last answer
	stamp         time.Time                 // from the allocator's last answer
	seq           uint64                    // of the last request
	appliedSeq    uint64                    // of the last lease applied
	sentAt        [requestHistory]time.Time // send times, indexed by sequence number modulo requestHistory

	demand         float64   // moving average of the requested bytes per second
	requestedBytes float64   // bytes passed to Take since measuredAt
	measuredAt     time.Time // time of the last update of demand
}

// NewBucket returns a Bucket with the given floor in bytes per second. A new
// process requests no lease until AttachTime has passed, because another
// allocator may still count its predecessor at the same address.
func NewBucket(now time.Time, host string, floor float64) *Bucket {
	return &Bucket{host: host, floor: floor, filledAt: now, lastRequestAt: now, measuredAt: now}
}

// rate returns the host's share at now, which is its floor plus any unexpired
// lease, in bytes per second.
func (b *Bucket) rate(now time.Time) float64 {
	if now.Before(b.leaseUntil) {
		return b.floor + b.leaseRate
	}
	return b.floor
}

// refill adds the tokens for the time since the last call and limits them to the
// bucket depth of the current share. If the lease expired since then, the time
// before and after the expiry is handled separately.
func (b *Bucket) refill(now time.Time) {
	if !now.After(b.filledAt) {
		return
	}
	if b.filledAt.Before(b.leaseUntil) && !now.Before(b.leaseUntil) {
		b.addTokens(b.leaseUntil, b.floor+b.leaseRate)
		b.leaseRate = 0
	}
	b.addTokens(now, b.rate(now))
}

// addTokens adds the tokens for the time from filledAt until to, at the given
// share in bytes per second, and limits them to the bucket depth.
func (b *Bucket) addTokens(to time.Time, share float64) {
	b.tokens += to.Sub(b.filledAt).Seconds() * share * (1 - BurstFraction)
	b.filledAt = to
	b.tokens = min(b.tokens, share*BurstFraction)
}

// minFill returns the fraction of the bucket that must be full before a request
// of the given rank is admitted.
func minFill(rank tables.Rank) float64 {
	switch rank {
	case tables.Urgent:
		return 0
	case tables.Once:
		return OnceMinFill
	}
	return PatientMinFill
}

// Take takes tokens for a request or an expected answer and reports whether it
// may be sent. For an answer, bytes is the maximum that may be sent without
// another Take. Rejected bytes count towards the measured demand too.
func (b *Bucket) Take(now time.Time, rank tables.Rank, bytes float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.requestedBytes += bytes
	depth := b.rate(now) * BurstFraction
	b.tokens = min(b.tokens, depth)
	if b.tokens < bytes || b.tokens < minFill(rank)*depth {
		return false
	}
	b.tokens -= bytes
	return true
}

// TakeBoth takes the bytes of a relayed request from the bucket of its direction
// and the bytes of the answer from the bucket of the opposite direction. If
// either bucket rejects, it takes nothing and returns false.
func TakeBoth(now time.Time, out, back *Bucket, rank tables.Rank, requestBytes, answerBytes float64) bool {
	if !out.Take(now, rank, requestBytes) {
		return false
	}
	if !back.Take(now, rank, answerBytes) {
		out.Settle(now, requestBytes, 0)
		return false
	}
	return true
}

// Settle replaces the bytes of an earlier Take by the number actually sent. If
// more were sent, the token count may become negative; later Takes are then
// rejected until the refill has covered the deficit.
func (b *Bucket) Settle(now time.Time, taken, actual float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+taken-actual, b.rate(now)*BurstFraction)
}

// Rate returns the host's share at now in bytes per second.
func (b *Bucket) Rate(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rate(now)
}

// Parameters of lease requests.
const (
	// RenewEvery is the interval between lease requests. It is short enough that
	// a host keeps its lease when several messages are lost within LeaseLifetime.
	RenewEvery = time.Second
	// demandHeadroom is the ratio of the requested rate, floor included, to the
	// measured demand. It exceeds 1 because the fill rate is only 1-BurstFraction
	// of the share.
	demandHeadroom = 1.5
)

// NextRequest returns the request to send to allocator at now, and false if
// none is due. The caller calls it every RenewEvery. After a change of allocator
// it returns false until AttachTime has passed since the last request. An empty
// allocator name means that there is no allocator.
func (b *Bucket) NextRequest(now time.Time, allocator string) (Request, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.updateDemand(now)
	if allocator != b.allocator {
		if now.Sub(b.lastRequestAt) < AttachTime {
			return Request{}, false
		}
		b.allocator, b.epoch, b.stamp = allocator, 0, time.Time{}
	}
	if allocator == "" {
		return Request{}, false
	}
	b.lastRequestAt = now
	b.seq++
	b.sentAt[b.seq%requestHistory] = now
	want := max(0, b.demand*demandHeadroom-b.floor)
	return Request{Host: b.host, Seq: b.seq, Rate: want, Epoch: b.epoch, Stamp: b.stamp}, true
}

// updateDemand updates the exponential moving average of the demand, in which
// the interval since the last call has weight 1/2.
func (b *Bucket) updateDemand(now time.Time) {
	if seconds := now.Sub(b.measuredAt).Seconds(); seconds > 0 {
		b.demand = (b.demand + b.requestedBytes/seconds) / 2
		b.requestedBytes, b.measuredAt = 0, now
	}
}

// Apply activates a lease received from allocator. It returns false for a lease
// that is late, repeated, older than an applied one, addressed to another host,
// not from the current allocator, or whose sequence number is higher than that
// of the last request.
func (b *Bucket) Apply(now time.Time, allocator string, l Lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	stale := l.Seq+requestHistory <= b.seq || l.Seq > b.seq || l.Seq <= b.appliedSeq
	if stale || l.Host != b.host || allocator != b.allocator {
		return false
	}
	sentAt := b.sentAt[l.Seq%requestHistory]
	if now.Sub(sentAt) >= LeaseLifetime {
		return false
	}
	b.refill(now)
	b.appliedSeq, b.epoch, b.stamp = l.Seq, l.Epoch, l.Stamp
	b.leaseRate, b.leaseUntil = l.Rate, sentAt.Add(LeaseLifetime)
	b.tokens = min(b.tokens, b.rate(now)*BurstFraction)
	return true
}

// BucketDump is the state of a Bucket for diagnostics. Floor, Lease and Demand
// are in bytes per second, Tokens is in bytes, and Level is the fraction of the
// bucket that is full.
type BucketDump struct {
	Host, Allocator             string
	Floor, Lease, Tokens, Level float64
	LeaseUntil                  time.Time
	Demand                      float64
	Epoch                       uint64
}

// Dump returns the state at now.
func (b *Bucket) Dump(now time.Time) BucketDump {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	leaseRate := b.rate(now) - b.floor
	return BucketDump{Host: b.host, Allocator: b.allocator, Floor: b.floor, Lease: leaseRate, Tokens: b.tokens,
		Level: b.tokens / max(b.rate(now)*BurstFraction, 1), LeaseUntil: b.leaseUntil, Demand: b.demand, Epoch: b.epoch}
}
