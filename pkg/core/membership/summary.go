package membership

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

const (
	// SummaryInterval is the time between two summaries of a domain.
	SummaryInterval = 2 * time.Second
	// SummaryExpiry is the age from which a summary is no longer used.
	SummaryExpiry = 30 * time.Second
	// MaxSummaryHosts is the largest number of entry hosts in a summary.
	MaxSummaryHosts = 4
	// MaxSummaryBytes bounds an encoded summary.
	MaxSummaryBytes = 4096

	reportersPerDomain     = 2                // hosts of a domain that send its summary
	receiversPerDomain     = 2                // hosts of another domain that a reporter sends to
	maxSummaryPools        = 64               // largest number of pools in a summary
	maxSummaryVersions     = 16               // largest number of table versions in a summary
	relayFanout            = 2                // children of a host in the relay tree
	firstRelayHosts        = 3                // hosts that a receiver of a summary from outside sends to: the root and its children
	versionsPerEntryChoice = 30               // summary versions with the same choice of entry hosts: one minute
	replaceableAfter       = 10 * time.Second // age from which an older version may replace a summary
)

// EntryHost is a host that other domains may name in lookups or relay requests
// to.
type EntryHost struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Address     string `cbor:"2,keyasint" json:"address"`
	Incarnation int64  `cbor:"3,keyasint" json:"incarnation"`
	// KeyPrefix is the prefix of idempotency keys for lookups.
	KeyPrefix string         `cbor:"4,keyasint,omitempty" json:"key_prefix,omitempty"`
	Holds     []EndedProcess `cbor:"5,keyasint,omitempty" json:"holds,omitempty"`
}

// Summary is the state of one domain that is sent to the others.
type Summary struct {
	Domain string `cbor:"1,keyasint" json:"domain"`
	// Version is the number of the SummaryInterval in which the summary was
	// made. It is the same for all reporters of a domain, so that a receiver
	// treats their summaries as duplicates.
	Version int64 `cbor:"2,keyasint" json:"version"`
	// Versions are the table versions in force.
	Versions map[string]int64 `cbor:"3,keyasint,omitempty" json:"versions"`
	// Headroom is the number of free slots per pool.
	Headroom map[string]int64 `cbor:"4,keyasint,omitempty" json:"headroom"`
	Hosts    []EntryHost      `cbor:"5,keyasint,omitempty" json:"hosts"`
}

// EncodeSummary returns the CBOR form of a summary. The error is a *result.Error,
// with code PeerMessageTooLarge if the form exceeds MaxSummaryBytes.
func EncodeSummary(s Summary) ([]byte, error) {
	b, err := cbor.Marshal(s)
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "summary")
	}
	if len(b) > MaxSummaryBytes {
		return nil, result.New(result.PeerMessageTooLarge, "summary of %d bytes, the limit is %d", len(b), MaxSummaryBytes)
	}
	return b, nil
}

// DecodeSummary parses a summary. The error is a *result.Error with code
// PeerMessageTooLarge or PeerMessageMalformed.
func DecodeSummary(b []byte) (Summary, error) {
	if len(b) > MaxSummaryBytes {
		return Summary{}, result.New(result.PeerMessageTooLarge, "summary of %d bytes, the limit is %d", len(b), MaxSummaryBytes)
	}
	var s Summary
	if err := cbor.Unmarshal(b, &s); err != nil {
		return Summary{}, result.Wrap(err, result.PeerMessageMalformed, "summary")
	}
	if !s.isValid() {
		return Summary{}, result.New(result.PeerMessageMalformed, "summary of domain %q has values out of range", s.Domain)
	}
	return s, nil
}

func (s Summary) isValid() bool {
	if s.Domain == "" || len(s.Domain) > maxNameBytes || len(s.Hosts) > MaxSummaryHosts ||
		len(s.Headroom) > maxSummaryPools || len(s.Versions) > maxSummaryVersions {
		return false
	}
	for _, h := range s.Hosts {
		if h.Name == "" || h.Address == "" || len(h.Name) > maxNameBytes || len(h.Address) > maxNameBytes || len(h.Holds) > MaxHolds {
			return false
		}
	}
	return true
}

// SummaryOutgoing is a summary to send to one host. Name is empty if only the
// address is known.
type SummaryOutgoing struct {
	Name, Address string
	Summary       Summary
}

// SummaryView is a received summary with its age.
type SummaryView struct {
	Summary
	// Age is the time since the summary arrived here.
	Age time.Duration `json:"age"`
	// Expired is true from the age SummaryExpiry. Such a summary is listed but
	// must not be used.
	Expired bool `json:"expired"`
}

type storedSummary struct {
	Summary
	received time.Time
}

// Summaries exchanges summaries with other domains for one host. It is safe for
// concurrent use.
type Summaries struct {
	domain, self string

	mu     sync.Mutex
	stored map[string]*storedSummary
	seeds  map[string][]string
	// lastVersion is the summary version of the last call of Tick.
	lastVersion int64
}

// NewSummaries returns the Summaries of host self in domain. seeds are addresses
// of hosts in other domains, by domain; those of a domain are used until a
// summary of it arrives and after that has expired.
func NewSummaries(domain, self string, seeds map[string][]string) *Summaries {
	s := &Summaries{domain: domain, self: self, stored: map[string]*storedSummary{}}
	s.SetSeeds(seeds)
	return s
}

// SetSeeds replaces the addresses of hosts in other domains, for example from
// the platform's list.
func (s *Summaries) SetSeeds(seeds map[string][]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = make(map[string][]string, len(seeds))
	for domain, list := range seeds {
		if domain != s.domain {
			s.seeds[domain] = slices.Clone(list)
		}
	}
}

// Reporters returns the two hosts of a domain that send its summary.
func Reporters(domain string, live []Member) []string {
	return rendezvous.Top("summary/"+domain, usableNames(live), reportersPerDomain)
}

// ChooseEntryHosts returns up to MaxSummaryHosts usable hosts for the summary with
// the given version. The choice changes every minute, which spreads the load.
func ChooseEntryHosts(domain string, version int64, live []Member) []Member {
	key := "entry/" + domain + "/" + strconv.FormatInt(version/versionsPerEntryChoice, 10)
	chosen := rendezvous.Top(key, usableNames(live), MaxSummaryHosts)
	var out []Member
	for _, m := range live {
		if slices.Contains(chosen, m.Name) {
			out = append(out, m)
		}
	}
	return out
}

func usableNames(live []Member) []string {
	out := make([]string, 0, len(live))
	for _, m := range live {
		if m.IsUsable() {
			out = append(out, m.Name)
		}
	}
	return out
}

// SummaryVersion returns the version of a summary made at now.
func SummaryVersion(now time.Time) int64 {
	return now.UnixMilli() / int64(SummaryInterval/time.Millisecond)
}

// Tick returns this domain's summary for two hosts per other domain if this host
// is a reporter and a new SummaryInterval has begun. live are the live hosts of
// this domain; build is called only if a summary is due.
func (s *Summaries) Tick(now time.Time, live []Member, build func(version int64) Summary) []SummaryOutgoing {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := SummaryVersion(now)
	if version == s.lastVersion {
		return nil
	}
	s.lastVersion = version
	if !slices.Contains(Reporters(s.domain, live), s.self) {
		return nil
	}
	own := build(version)
	own.Domain, own.Version = s.domain, version
	var out []SummaryOutgoing
	for _, domain := range s.otherDomains() {
		for _, h := range s.receivers(now, domain, version) {
			out = append(out, SummaryOutgoing{Name: h.Name, Address: h.Address, Summary: own})
		}
	}
	return out
}

func (s *Summaries) otherDomains() []string {
	names := map[string]bool{}
	for d := range s.stored {
		names[d] = true
	}
	for d := range s.seeds {
		names[d] = true
	}
	return sortedKeys(names)
}

// receivers chooses two hosts of another domain from the entry hosts in its
// summary. The seeds of the domain are candidates too while there is no summary
// with entry hosts or it has expired.
func (s *Summaries) receivers(now time.Time, domain string, version int64) []EntryHost {
	byAddress := map[string]EntryHost{}
	stored := s.stored[domain]
	if stored != nil {
		for _, h := range stored.Hosts {
			byAddress[h.Address] = h
		}
	}
	if stored == nil || now.Sub(stored.received) >= SummaryExpiry || len(byAddress) == 0 {
		for _, a := range s.seeds[domain] {
			if _, ok := byAddress[a]; !ok {
				byAddress[a] = EntryHost{Address: a}
			}
		}
	}
	key := s.domain + "/" + strconv.FormatInt(version, 10)
	var out []EntryHost
	for _, a := range rendezvous.Top(key, sortedKeys(byAddress), receiversPerDomain) {
		out = append(out, byAddress[a])
	}
	return out
}

// Receive stores a summary of another domain and returns the messages that relay
// it within this domain. fromOutside is true if the sender belongs to another
// domain.
func (s *Summaries) Receive(now time.Time, in Summary, fromOutside bool, live []Member) []SummaryOutgoing {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !in.isValid() || in.Domain == s.domain || !s.accept(now, in) {
		return nil
	}
	return s.relay(in, fromOutside, live)
}

// accept stores a summary if it is newer than the stored one of its domain. An
// older version is accepted too if the stored one was received at least
// replaceableAfter ago: its reporter's clock was ahead, and would otherwise
// block the summaries of its successor.
func (s *Summaries) accept(now time.Time, in Summary) bool {
	stored := s.stored[in.Domain]
	if stored != nil && in.Version <= stored.Version && now.Sub(stored.received) < replaceableAfter {
		return false
	}
	if stored != nil && in.Version == stored.Version {
		return false
	}
	s.stored[in.Domain] = &storedSummary{Summary: in, received: now}
	return true
}

// relay forwards a new summary along a tree over the live hosts. The tree depends
// only on the list of live hosts, the domain and the version, so every host has
// one parent and receives each version once. The next version uses another tree,
// so a dead host cuts off its subtree for one interval at most. The position of a
// host in the tree is its index in live, rotated by shift; the root has position 0.
func (s *Summaries) relay(in Summary, fromOutside bool, live []Member) []SummaryOutgoing {
	n := len(live)
	if n == 0 {
		return nil
	}
	shift := int((xxhash.Sum64String(in.Domain) + uint64(in.Version)*0x9e3779b97f4a7c15) % uint64(n))
	own := -1
	for i := range live {
		if live[i].Name == s.self {
			own = (i - shift + n) % n
		}
	}
	var to []int
	for c := own*relayFanout + 1; own >= 0 && c <= own*relayFanout+relayFanout && c < n; c++ {
		to = append(to, c)
	}
	for c := 0; fromOutside && c < min(firstRelayHosts, n); c++ {
		if c != own && !slices.Contains(to, c) {
			to = append(to, c)
		}
	}
	var out []SummaryOutgoing
	for _, c := range to {
		m := live[(c+shift)%n]
		out = append(out, SummaryOutgoing{Name: m.Name, Address: m.Address, Summary: in})
	}
	return out
}

// List returns the summaries of the other domains, sorted by domain.
func (s *Summaries) List(now time.Time) []SummaryView {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]SummaryView, 0, len(s.stored))
	for _, d := range sortedKeys(s.stored) {
		h := s.stored[d]
		age := now.Sub(h.received)
		out = append(out, SummaryView{Summary: h.Summary, Age: age, Expired: age >= SummaryExpiry})
	}
	return out
}

// SummariesDump is the state of a Summaries for the administration API.
type SummariesDump struct {
	Domain    string        `json:"domain"`
	Summaries []SummaryView `json:"summaries"`
}

// Dump returns the summaries of the other domains for the administration API.
func (s *Summaries) Dump(now time.Time) SummariesDump {
	return SummariesDump{Domain: s.domain, Summaries: s.List(now)}
}
