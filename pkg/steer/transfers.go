package steer

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/restore"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// feedAnswer is the response to a follower that fetches changes.
type feedAnswer struct {
	// AgeMS is the age of the responding host's copy of the store.
	AgeMS int64 `cbor:"1,keyasint"`
	// Changes holds the changes by kind, nil for kinds without an answer.
	Changes [feed.NumKinds]*feed.Changes `cbor:"2,keyasint"`
	// SinceOutageMS is the time since the end of the last outage of the store, 0
	// during one.
	SinceOutageMS int64 `cbor:"3,keyasint"`
	// Hosts are the known entry hosts of all regions. They are sent to followers
	// without tables, which may have started during an outage of the store.
	Hosts []fleet.EntryHost `cbor:"4,keyasint,omitempty"`
	// Leaving holds the servers that said that they leave: their start times in Unix
	// milliseconds, by server ID. They are sent to followers without servers, which
	// have just started.
	Leaving map[string]int64 `cbor:"5,keyasint,omitempty"`
	// Held is what the responding host knows from before the store came back from an
	// older copy.
	Held *restore.HeldState `cbor:"6,keyasint,omitempty"`
	// Table is the version in force at the responding host, present if its copy of the
	// store has an older one or none, and so does the follower.
	Table *fleet.Table `cbor:"7,keyasint,omitempty"`
}

// eraKey returns the key of a follower's query that holds the era of its copy of a kind.
// The kind itself is the key of the revision.
func eraKey(kind feed.Kind) string { return kind.String() + "_era" }

// versionKey is the key of a follower's query that holds its version of the tables.
const versionKey = "version"

// followerPosition returns the position of a follower's copy of a kind, and false if the
// follower does not ask for the kind. Hosts of earlier versions send no eras.
func followerPosition(query url.Values, kind feed.Kind) (feed.Position, bool) {
	revision, err := strconv.ParseInt(query.Get(kind.String()), 10, 64)
	if err != nil {
		return feed.Position{}, false
	}
	era, err := strconv.ParseInt(query.Get(eraKey(kind)), 10, 64)
	if err != nil {
		era = 0
	}
	return feed.Position{Era: era, Revision: revision}, true
}

// serveFeed sends a follower the changes after the positions that it has. The query
// holds a revision and an era for each kind that the follower asks for.
func (h *Host) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	f := h.feeds
	var answer feedAnswer
	h.copiesMu.Lock() // a list of a new era goes with the time since it came
	now := time.Now()
	h.registryMu.Lock()
	answer.SinceOutageMS = h.registry.SinceOutage(now).Milliseconds()
	h.registryMu.Unlock()
	f.mu.Lock()
	answer.AgeMS = f.ageLocked(now).Milliseconds()
	for kind := range feed.NumKinds {
		after, asked := followerPosition(query, kind)
		replica := f.replicas[kind]
		if !asked || !replica.Position().Known() || after.Era > replica.Position().Era {
			continue // this host has no copy, or one of an earlier era
		}
		if kind == feed.Tables && !after.Known() {
			answer.Hosts = h.peers.all()
		}
		c := replica.Since(after)
		for i, item := range c.Items {
			if s := item.Server; s != nil && s.ColdFor > 0 {
				remaining := *s
				remaining.ColdFor = max(s.ColdUntil.Sub(now), 0)
				c.Items[i].Server = &remaining
			}
		}
		answer.Changes[kind] = &c
	}
	answer.Held = f.holds.State(now)
	f.mu.Unlock()
	h.copiesMu.Unlock()
	answer.Table = h.tableAheadOfCopy(query.Get(versionKey))
	if query.Get(feed.Servers.String()) == "0" {
		answer.Leaving = map[string]int64{}
		h.eachPool(func(p *pool) { p.addLeaving(answer.Leaving) })
	}
	raw, err := cbor.Marshal(&answer)
	if err != nil {
		h.log.warn(err, "could not encode the changes for a follower")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(raw) // an error means that the follower disconnected
}

// tableAheadOfCopy returns the version in force if this host's copy of the store has an
// older one or none and the follower, whose version is given, does, too; otherwise nil.
func (h *Host) tableAheadOfCopy(followerVersion string) *fleet.Table {
	t, inCopy := h.table.Load(), h.feeds.table()
	version, err := strconv.ParseInt(followerVersion, 10, 64)
	if err != nil || t == nil || inCopy != nil && inCopy.Version >= t.Version || version >= t.Version {
		return nil
	}
	return t
}

// maxHeldStates is the number of hosts that a host asks in each era what they hold, not
// counting those that hold nothing. One may know less than another, because it was cut off
// or has started since.
const maxHeldStates = 3

// fetchHolds asks another host what it holds since the store came back. A host that started
// after the store's return and read the store itself knows nothing of what was lost.
func (h *Host) fetchHolds(now time.Time) {
	f := h.feeds
	f.mu.Lock()
	era := earliestEra(f.positionsLocked())
	due := era > 0 && f.replicas[feed.Servers].Position().Known() && (era > f.holdersEra || f.heldStates < maxHeldStates)
	var asked map[string]bool
	if era == f.holdersEra {
		asked = maps.Clone(f.holders)
	}
	f.mu.Unlock()
	if !due {
		return
	}
	if from := h.peers.pickHolder(now, era, asked); from != "" {
		if p, ok := h.peers.get(from); ok {
			h.startFetch(from, p.host.ControlAddress)
		}
	}
}

// fetchIfBehind starts to fetch changes from a host if that host's last beacon
// announced newer ones. Otherwise this host's copy is as new as the other host's,
// and is confirmed up to date for the same time. It reports whether a transfer
// began.
func (h *Host) fetchIfBehind(now time.Time, from string) bool {
	p, ok := h.peers.get(from)
	if !ok {
		return false
	}
	if !h.feeds.behind(&p) {
		for kind, confirmed := range h.feeds.confirm(&p) {
			if confirmed {
				h.newsTaken(feed.Kind(kind), from)
			}
		}
		return false
	}
	return h.startFetch(from, p.host.ControlAddress)
}

// behind reports whether another host has newer changes of any kind.
func (f *storeFeeds) behind(p *peerState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, replica := range f.replicas {
		if !replica.Position().Known() || replica.Position().Before(p.changePositions[k]) {
			return true
		}
	}
	return false
}

// confirm records that the copies are as new as those of another host, apart from kinds
// of which that host has a copy of an earlier era. It returns the kinds that it
// confirmed.
func (f *storeFeeds) confirm(p *peerState) (confirmed [feed.NumKinds]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, replica := range f.replicas {
		if confirmed[k] = p.changePositions[k].Era >= replica.Position().Era; confirmed[k] {
			replica.Confirm(p.heardAt.Add(-p.copyAge))
		}
	}
	return confirmed
}

// startFetch starts to fetch the changes that a host has after this host's positions. It
// reports whether a transfer began; there is one at a time.
func (h *Host) startFetch(from, address string) bool {
	f := h.feeds
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fetching {
		return false
	}
	f.fetching = true
	query := url.Values{versionKey: {strconv.FormatInt(h.tableVersion(), 10)}}
	for kind, at := range f.positionsLocked() {
		query.Set(feed.Kind(kind).String(), strconv.FormatInt(at.Revision, 10))
		query.Set(eraKey(feed.Kind(kind)), strconv.FormatInt(at.Era, 10))
	}
	h.tomb.Go(func() error {
		var err error
		if !h.protect("peer", func() { err = h.fetchChanges(from, address, query) }) {
			err = errPanicked
		}
		f.mu.Lock()
		f.fetching = false
		f.mu.Unlock()
		h.peers.recordFetch(time.Now(), from, err == nil)
		if err != nil && h.tomb.Alive() {
			h.log.warn(err, "could not fetch changes from a peer")
			for kind := range feed.NumKinds {
				h.newsRefused(kind, notTaken{Source: from, Reason: notTakenFetchFailed, Detail: err.Error()})
			}
		}
		return nil
	})
	return true
}

// fetchChanges fetches and applies the changes that the host from has after the
// revisions in query. The transfer is cancelled if it makes no progress for
// fetchStallTimeout.
func (h *Host) fetchChanges(from, address string, query url.Values) error {
	ctx, cancel := context.WithCancel(h.tomb.Context(context.Background()))
	defer cancel()
	stallTimer := time.AfterFunc(fetchStallTimeout, cancel)
	defer stallTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+feedPath+"?"+query.Encode(), nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := h.feeds.client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	var raw bytes.Buffer
	for body := io.LimitReader(resp.Body, maxFeedBytes); ; stallTimer.Reset(fetchStallTimeout) {
		if _, err := io.CopyN(&raw, body, feedChunkBytes); err == io.EOF {
			break
		} else if err != nil {
			return errors.Trace(err)
		}
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("peer responded with status %d", resp.StatusCode)
	}
	var answer feedAnswer
	if err := decodeFeedAnswer(raw.Bytes(), &answer); err != nil {
		h.metrics.malformedMessages.Inc()
		return err
	}
	h.takeFeedAnswer(from, &answer)
	return nil
}

// takeFeedAnswer applies the changes that the host from has sent, and what it knows besides.
func (h *Host) takeFeedAnswer(from string, answer *feedAnswer) {
	now := time.Now()
	completeAt := now.Add(-time.Duration(answer.AgeMS) * time.Millisecond)
	if !h.feeds.hasNewerServersThan(answer) {
		h.registryMu.Lock()
		h.registry.AdoptSinceOutage(now, time.Duration(answer.SinceOutageMS)*time.Millisecond)
		h.registryMu.Unlock()
	}
	for _, host := range answer.Hosts {
		if err := h.peers.addPublished(host); err != nil {
			h.log.warn(err, "entry host in a peer's list ignored")
		}
	}
	// What is in force elsewhere comes before the copy, so that nothing older is in force
	// for a moment.
	if answer.Table != nil {
		h.applyTable(answer.Table)
	}
	if c := answer.Changes[feed.Servers]; c != nil && h.feeds.adoptHolds(now, c.Era, answer.Held) {
		h.applyHolds()
	}
	for kind, c := range answer.Changes {
		if c != nil {
			h.applyChanges(feed.Kind(kind), from, *c, completeAt)
		}
	}
	if c := answer.Changes[feed.Servers]; c != nil {
		h.feeds.recordHolder(from, c.Era, answer.Held != nil || answer.Table != nil)
	}
	if len(answer.Leaving) > 0 {
		h.eachPool(func(p *pool) { p.recordLeaving(answer.Leaving) })
	}
}

// hasNewerServersThan reports whether this host has a copy of the servers that the answer
// lacks, or one of a later era.
func (f *storeFeeds) hasNewerServersThan(answer *feedAnswer) bool {
	at, c := f.position(feed.Servers), answer.Changes[feed.Servers]
	return at.Known() && (c == nil || c.Era < at.Era)
}

// recordHolder records that a host, whose copy is of the given era, has said what it
// holds.
func (f *storeFeeds) recordHolder(name string, era int64, holds bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era < f.holdersEra {
		return
	}
	if era > f.holdersEra {
		f.holders, f.holdersEra, f.heldStates = map[string]bool{}, era, 0
	}
	if holds && !f.holders[name] {
		f.heldStates++
	}
	if f.holders == nil {
		f.holders = map[string]bool{}
	}
	f.holders[name] = true
}

func decodeFeedAnswer(raw []byte, a *feedAnswer) error {
	if err := cbor.Unmarshal(raw, a); err != nil {
		return errors.Trace(err)
	}
	return a.check()
}
