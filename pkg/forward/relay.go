package forward

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const (
	// RelayTolerance is the largest accepted difference between the time in a
	// relay header and the clock of the host that receives it.
	RelayTolerance = 30 * time.Second
	// maxRelaysPerPeriod bounds the number of signatures that a Verifier
	// remembers for each period of 2 x RelayTolerance.
	maxRelaysPerPeriod = 1 << 17
	// maxRelayFieldBytes bounds each field of the header.
	maxRelayFieldBytes = 256
	// relayLabel starts the signed text, so that no signature made for another
	// purpose with the same key is valid for a relay.
	relayLabel = "tamarackswitch relay 1"
)

// Purpose says why a request is relayed.
type Purpose string

const (
	// ForKey relays to the entry host that owns the idempotency key.
	ForKey Purpose = "key"
	// ForSpill relays to another failure domain and uses a credit for it.
	ForSpill Purpose = "spill"
)

// RelayInfo is the content of the relay header.
type RelayInfo struct {
	// Origin and To are the names of the sending and the receiving entry host.
	Origin, To string
	RequestID  string
	Purpose    Purpose
	// Credit identifies the credit by which a request with ForSpill uses capacity
	// of another failure domain.
	Credit string
	// SignedAtMs is when Origin signed the header by its own clock, in
	// milliseconds since 1970.
	SignedAtMs int64
}

// Signer signs the relay headers that one entry host sends.
type Signer struct {
	key  []byte
	host string
	now  func() time.Time
}

// NewSigner returns a signer for relays from host with the shared key.
func NewSigner(key []byte, host string, now func() time.Time) *Signer {
	return &Signer{key: key, host: host, now: now}
}

// relayMAC returns the HMAC-SHA-256 over the label, the method, the URI, the
// idempotency key, the nonce and the fields of i, each preceded by its length.
// It does not cover the body, which is streamed.
func relayMAC(key []byte, method, uri, idempotencyKey, nonce string, i RelayInfo) []byte {
	m := hmac.New(sha256.New, key)
	for _, s := range []string{
		relayLabel, method, uri, idempotencyKey, nonce, i.Origin, i.To, i.RequestID,
		string(i.Purpose), i.Credit, strconv.FormatInt(i.SignedAtMs, 10),
	} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(s)))
		m.Write(n[:])
		m.Write([]byte(s))
	}
	return m.Sum(nil)
}

// header returns the value of the relay header for in. It sets the fields
// Origin and SignedAtMs itself.
func (s *Signer) header(in *http.Request, i RelayInfo) string {
	var n [16]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(n[:])
	nonce := hex.EncodeToString(n[:])
	i.Origin, i.SignedAtMs = s.host, s.now().UnixMilli()
	sum := relayMAC(s.key, in.Method, requestURI(in), in.Header.Get("Idempotency-Key"), nonce, i)
	return url.Values{
		"origin": {i.Origin}, "to": {i.To}, "id": {i.RequestID}, "purpose": {string(i.Purpose)},
		"credit": {i.Credit}, "at": {strconv.FormatInt(i.SignedAtMs, 10)}, "nonce": {nonce}, "sum": {hex.EncodeToString(sum)},
	}.Encode()
}

// requestURI returns the request target as the transport writes it.
func requestURI(in *http.Request) string {
	u := url.URL{Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery}
	return u.RequestURI()
}

// RelayRequest is a request to another entry host.
type RelayRequest struct {
	// Request.Server is the address of the other entry host.
	Request
	// To is the name of the other entry host. A host refuses relay headers for
	// another name.
	To      string
	Purpose Purpose
	Credit  string
}

// Relay sends a request to another entry host. The answer of that host, also a
// refusal, is returned unchanged; Answer.Code and Answer.Run hold what it
// reported. A request that has a relay header is refused with BadRelay, so that
// a request is relayed only once.
func (f *Forwarder) Relay(ctx context.Context, s *Signer, r RelayRequest) (*Answer, *result.Error) {
	if len(r.In.Header[HeaderRelay]) > 0 {
		return nil, result.New(result.BadRelay, "a relayed request is not relayed again")
	}
	info := RelayInfo{To: r.To, RequestID: r.RequestID, Purpose: r.Purpose, Credit: r.Credit}
	return f.do(ctx, &exchange{
		f: f, req: &r.Request, connLostCode: result.RelayFailed, relay: true,
		relayHeader: s.header(r.In, info),
	})
}

// Verifier checks relay headers for one entry host. It is safe for concurrent
// use.
type Verifier struct {
	key  []byte
	host string
	now  func() time.Time

	mu sync.Mutex
	// seen and seenPrevious hold the first 8 bytes of the signatures that were
	// accepted in this and in the previous period. A period is 2 x
	// RelayTolerance, the time for which a header can be valid.
	seen, seenPrevious map[[8]byte]struct{}
	periodStart        time.Time
}

// NewVerifier returns a verifier for relays to host with the shared key.
func NewVerifier(key []byte, host string, now func() time.Time) *Verifier {
	return &Verifier{key: key, host: host, now: now, seen: map[[8]byte]struct{}{}, periodStart: now()}
}

// Verify checks the relay header of r. It returns nil and no error if there is
// none. It returns BadRelay if the header is not from an entry host, is for
// another host or request, was used before, or has a time that differs from the
// clock of this host by more than RelayTolerance.
func (v *Verifier) Verify(r *http.Request) (*RelayInfo, *result.Error) {
	lines := r.Header[HeaderRelay]
	if len(lines) == 0 {
		return nil, nil
	}
	fields, err := url.ParseQuery(lines[0])
	if err != nil || len(lines) > 1 || !wellFormed(fields) {
		return nil, result.New(result.BadRelay, "the relay header is malformed")
	}
	at, err := strconv.ParseInt(fields.Get("at"), 10, 64)
	if err != nil {
		return nil, result.New(result.BadRelay, "the relay header has no time")
	}
	i := &RelayInfo{
		Origin: fields.Get("origin"), To: fields.Get("to"), RequestID: fields.Get("id"),
		Purpose: Purpose(fields.Get("purpose")), Credit: fields.Get("credit"), SignedAtMs: at,
	}
	sum, err := hex.DecodeString(fields.Get("sum"))
	want := relayMAC(v.key, r.Method, r.RequestURI, r.Header.Get("Idempotency-Key"), fields.Get("nonce"), *i)
	if err != nil || !hmac.Equal(sum, want) {
		return nil, result.New(result.BadRelay, "the signature of the relay header is wrong")
	}
	if i.To != v.host || i.RequestID != r.Header.Get(HeaderRequestID) || (i.Purpose != ForKey && i.Purpose != ForSpill) {
		return nil, result.New(result.BadRelay, "the relay header is for another host or request")
	}
	if err := v.acceptOnce(time.UnixMilli(at), [8]byte(want)); err != nil {
		return nil, err
	}
	return i, nil
}

// wellFormed reports whether each field is present exactly once and not too
// long, and there are no others.
func wellFormed(fields url.Values) bool {
	for _, k := range [...]string{"origin", "to", "id", "purpose", "credit", "at", "nonce", "sum"} {
		if len(fields[k]) != 1 || len(fields[k][0]) > maxRelayFieldBytes {
			return false
		}
	}
	return len(fields) == 8
}

// acceptOnce refuses a header whose time is outside the tolerance, or whose
// signature, of which id is the first 8 bytes, was accepted before. When
// maxRelaysPerPeriod signatures are remembered, it refuses all others of the
// period, because their replays could not be detected.
func (v *Verifier) acceptOnce(at time.Time, id [8]byte) *result.Error {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	if d := now.Sub(at); d > RelayTolerance || d < -RelayTolerance {
		return result.New(result.BadRelay, "the relay header differs by %s from our time", d)
	}
	if passed := now.Sub(v.periodStart); passed >= 2*RelayTolerance {
		v.seenPrevious = v.seen
		if passed >= 4*RelayTolerance {
			v.seenPrevious = nil
		}
		v.seen, v.periodStart = map[[8]byte]struct{}{}, now
	}
	_, seen := v.seen[id]
	_, seenPrevious := v.seenPrevious[id]
	if seen || seenPrevious {
		return result.New(result.BadRelay, "the relay header was used before")
	}
	if len(v.seen) >= maxRelaysPerPeriod {
		return result.New(result.BadRelay, "more than %d relays within %s", maxRelaysPerPeriod, 2*RelayTolerance)
	}
	v.seen[id] = struct{}{}
	return nil
}

// Refusal returns the error that the other entry host reported, or nil.
func (a *Answer) Refusal() *result.Error {
	if a.Code == result.OK {
		return nil
	}
	return result.New(a.Code, "refused by the other entry host").WithRun(a.Run).WithRetryAfter(retryAfter(a.Header))
}
