package steer

import (
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Reasons for which a host did not take news of the store, besides those of
// feed.Outcome.
const (
	notTakenCallFailed     = "call-failed"       // the store did not answer
	notTakenFetchFailed    = "fetch-failed"      // the peer did not answer
	notTakenHistoryGone    = "history-gone"      // the store no longer has the changes; a list follows
	notTakenUnreadable     = "unreadable"        // the newest tables could not be decoded
	notTakenVersion        = "version-not-above" // the tables have a lower version than those in force
	notTakenEraMissing     = "era-missing"       // the answer of the store has no readable era
	notTakenEraUnconfirmed = "era-unconfirmed"   // the answer of the store is the first one of a far era
	notTakenEraPassed      = "older-era"         // the answer of the store belongs to an earlier era
)

// sourceStore names the store as the source of a copy; other sources are the names of
// entry hosts.
const sourceStore = "store"

// notTaken is news of the store that this host did not take.
type notTaken struct {
	Source string `json:"source"`
	Reason string `json:"reason"`
	// Era and Revision are the position that the news would have brought; Revision is 0
	// if it is unknown.
	Era      int64 `json:"era,omitempty"`
	Revision int64 `json:"revision,omitempty"`
	// Detail says more about the reason.
	Detail string `json:"detail,omitempty"`
	// FirstMS and LastMS are how long ago the first and the last such news arrived, in
	// milliseconds, and Count how many did.
	FirstMS int64 `json:"first_ms"`
	LastMS  int64 `json:"last_ms"`
	Count   int   `json:"count"`

	first, last time.Time
}

// String describes the news for a log line.
func (n *notTaken) String() string {
	text := fmt.Sprintf("%s from %s, %d times in %d ms", n.Reason, n.Source, n.Count, n.FirstMS)
	if n.Revision > 0 {
		text += fmt.Sprintf(", era %d revision %d", n.Era, n.Revision)
	}
	if n.Detail != "" {
		text += ": " + n.Detail[:min(len(n.Detail), maxLineDetailBytes)]
	}
	return text
}

// maxLineDetailBytes bounds the detail in the line of a request. The line about the news
// itself and the dump have all of it.
const maxLineDetailBytes = 80

// copyStatus says how old this host's copy of one kind of objects is, where it came
// from, and why it is not newer.
type copyStatus struct {
	// Era and Revision are the position in the store's history that the copy has
	// reached.
	Era      int64 `json:"era"`
	Revision int64 `json:"revision"`
	// AgeMS is the time since the copy was last known to be up to date, in
	// milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Source is where the copy was last compared with the store or taken from:
	// sourceStore or the name of an entry host, empty if there is no copy yet.
	Source string `json:"source"`
	// NotTaken is the news that was not taken since, nil if there was none.
	NotTaken *notTaken `json:"not_taken,omitempty"`
}

// copyHistory records where the copies of the store come from and which news was not
// taken. The zero value is empty. It is safe for concurrent use.
type copyHistory struct {
	mu       sync.Mutex
	source   [feed.NumKinds]string
	notTaken [feed.NumKinds]*notTaken
}

// taken records that the copy of a kind is as new as what source sent. It returns the
// news that was not taken before, if there was any.
func (c *copyHistory) taken(kind feed.Kind, source string) *notTaken {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.notTaken[kind]
	c.source[kind], c.notTaken[kind] = source, nil
	return before
}

// refused records news that was not taken. It reports whether there was none for the
// same reason from the same source just before.
func (c *copyHistory) refused(now time.Time, kind feed.Kind, n notTaken) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.first, n.last, n.Count = now, now, 1
	known := c.notTaken[kind]
	isNew := known == nil || known.Source != n.Source || known.Reason != n.Reason
	if !isNew {
		n.first, n.Count = known.first, known.Count+1
	}
	c.notTaken[kind] = &n
	return isNew
}

// status fills in the source of a copy and the news that was not taken.
func (c *copyHistory) status(now time.Time, kind feed.Kind, s *copyStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Source = c.source[kind]
	if n := c.notTaken[kind]; n != nil {
		described := *n
		described.FirstMS, described.LastMS = now.Sub(n.first).Milliseconds(), now.Sub(n.last).Milliseconds()
		s.NotTaken = &described
	}
}

// copyStatus returns the status of this host's copy of one kind of objects.
func (h *Host) copyStatus(now time.Time, kind feed.Kind) copyStatus {
	h.feeds.mu.Lock()
	replica := h.feeds.replicas[kind]
	s := copyStatus{Era: replica.Position().Era, Revision: replica.Position().Revision, AgeMS: max(now.Sub(replica.Confirmed()), 0).Milliseconds()}
	h.feeds.mu.Unlock()
	h.copies.status(now, kind, &s)
	return s
}

// logRequest logs the outcome of a request, with the status of the copies that decided
// it if this host ended the request.
func (h *Host) logRequest(x *exchange, status int, err *result.Error) {
	h.log.request(x, status, err, func(kind feed.Kind) copyStatus { return h.copyStatus(time.Now(), kind) })
}

// newsTaken records that the copy of a kind is as new as what source sent, and logs it
// if news was not taken before.
func (h *Host) newsTaken(kind feed.Kind, source string) {
	if kind == feed.Tables && (h.tablesRefused.Load() || h.unreadable.count(kind.String()) > 0) {
		return // the newest tables are not in force
	}
	if before := h.copies.taken(kind, source); before != nil {
		h.log.newsTaken(kind, source, before)
	}
}

// newsRefused records, counts and logs news that was not taken. Repeated news is
// logged once.
func (h *Host) newsRefused(kind feed.Kind, n notTaken) {
	n.Detail = clip(n.Detail)
	h.metrics.notTaken.WithLabelValues(kind.String(), n.Reason).Inc()
	if h.copies.refused(time.Now(), kind, n) {
		h.log.newsRefused(kind, n, h.feeds.position(kind))
	}
}

func (l *eventLog) newsRefused(kind feed.Kind, n notTaken, own feed.Position) {
	if !l.allow() {
		return
	}
	l.Warn().Str("kind", kind.String()).Str("source", n.Source).Str("reason", n.Reason).Int64("era", n.Era).Int64("revision", n.Revision).
		Int64("own_era", own.Era).Int64("own_revision", own.Revision).Str("detail", n.Detail).Msg("news of the store not taken")
}

func (l *eventLog) newsTaken(kind feed.Kind, source string, before *notTaken) {
	if !l.allow() {
		return
	}
	l.Info().Str("kind", kind.String()).Str("source", source).Str("reason_before", before.Reason).Int("count", before.Count).
		Int64("for_ms", time.Since(before.first).Milliseconds()).Msg("news of the store taken again")
}

// copyCollector serves the ages and revisions of the copies as metrics.
type copyCollector struct {
	host               *Host
	age, era, revision *prometheus.Desc
}

func newCopyCollector(h *Host) *copyCollector {
	return &copyCollector{
		host:     h,
		age:      prometheus.NewDesc("tamarackswitch_steer_copy_age_seconds", "Time since this host's copy of the store was last known to be up to date, by kind of objects.", []string{"kind"}, nil),
		era:      prometheus.NewDesc("tamarackswitch_steer_copy_era", "Era of the store to which this host's copy belongs, by kind of objects.", []string{"kind"}, nil),
		revision: prometheus.NewDesc("tamarackswitch_steer_copy_revision", "Revision of the store that this host's copy has reached, by kind of objects.", []string{"kind"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *copyCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.age
	out <- c.era
	out <- c.revision
}

// Collect implements prometheus.Collector.
func (c *copyCollector) Collect(out chan<- prometheus.Metric) {
	now := time.Now()
	for kind := range feed.NumKinds {
		s := c.host.copyStatus(now, kind)
		out <- prometheus.MustNewConstMetric(c.age, prometheus.GaugeValue, float64(s.AgeMS)/1000, kind.String())
		out <- prometheus.MustNewConstMetric(c.era, prometheus.GaugeValue, float64(s.Era), kind.String())
		out <- prometheus.MustNewConstMetric(c.revision, prometheus.GaugeValue, float64(s.Revision), kind.String())
	}
}
