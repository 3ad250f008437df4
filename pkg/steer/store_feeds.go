package steer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
	"github.com/tamarackswitch/tamarackswitch/pkg/httpanswer"
	"github.com/tamarackswitch/tamarackswitch/pkg/wait"
)

const (
	// roleInterval is the interval at which a host decides whether it watches the
	// store or follows another host.
	roleInterval = 100 * time.Millisecond
	// watchPause is the time between a change and the next watch, so that changes
	// in quick succession cost one call to the store; it delays them by as much.
	watchPause = 150 * time.Millisecond
	// fetchStallTimeout is how long a transfer of changes from another host may
	// make no progress. The whole transfer has no time limit: a complete copy
	// takes longer, because many hosts fetch it at once.
	fetchStallTimeout = 800 * time.Millisecond
	// firstHostsReadTimeout is how long a starting host that knows no other host
	// waits for the first read of the published hosts before it chooses a role.
	firstHostsReadTimeout = 500 * time.Millisecond
	// startupPeriod is how long after its start a host counts published hosts of
	// its group as present although no beacon of them has arrived yet.
	startupPeriod = 2 * time.Second
	// maxFeedBytes bounds the size of one transfer of changes.
	maxFeedBytes = 4 << 20
	// feedChunkBytes is the amount of data that counts as progress of a transfer.
	feedChunkBytes = 8 << 10
	// feedPath is the path under which hosts serve changes to their followers.
	feedPath = "/v1/feed"
)

// storeFeeds holds this host's copy of the store, a replica per kind of objects. It
// is kept up to date from the store or from another host.
type storeFeeds struct {
	mu       sync.Mutex
	replicas [feed.NumKinds]*feed.Replica
	role     feed.Role
	// cancelWatches ends the watches at the store. It is valid while role.Watch is
	// set.
	cancelWatches context.CancelFunc
	// fetching is set while changes are transferred from another host.
	fetching bool
	client   *http.Client
	started  time.Time
}

func newStoreFeeds(now time.Time) *storeFeeds {
	f := &storeFeeds{started: now, client: &http.Client{Transport: httpanswer.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second})}}
	for k := range f.replicas {
		f.replicas[k] = feed.NewReplica()
		// The replicas start at the age from which on they count as stale, so that
		// the hosts of a group that start together begin to watch the store one
		// after another.
		f.replicas[k].Confirm(now.Add(-feed.StaleAfter))
	}
	return f
}

// age returns the age of this host's copy: the time since its oldest replica was
// last known to be up to date with the store.
func (f *storeFeeds) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ageLocked(now)
}

// ageLocked is age for callers that hold the lock.
func (f *storeFeeds) ageLocked(now time.Time) time.Duration {
	var age time.Duration
	for _, replica := range f.replicas {
		age = max(age, now.Sub(replica.Confirmed()))
	}
	return age
}

// describe sets the fields of a beacon that describe this host's copy of the store.
func (f *storeFeeds) describe(now time.Time, b *beacon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b.Watching = f.role.Watch
	b.AgeMS = uint32(min(f.ageLocked(now).Milliseconds(), maxAgeMS))
	for k, replica := range f.replicas {
		b.ChangeRevisions[k] = replica.LastChangeRevision()
	}
}

// maxAgeMS bounds the age in a beacon, whose field has 32 bits.
const maxAgeMS = 1 << 30

// chooseRole decides whether this host watches the store itself or follows another
// host, starts or ends its watches accordingly, and fetches changes that it lacks.
func (h *Host) chooseRole(now time.Time) {
	f := h.feeds
	uptime := now.Sub(f.started)
	hostStates := h.peers.hostStates(now, uptime < startupPeriod)
	if !h.hostsRead.Load() && len(hostStates) == 0 && uptime < firstHostsReadTimeout {
		return
	}
	f.mu.Lock()
	oldRole := f.role
	f.role = feed.ChooseRole(feed.HostState{Host: h.self.Name, Capacity: h.self.Capacity, Watching: oldRole.Watch, Age: f.ageLocked(now)}, hostStates)
	role, age := f.role, f.ageLocked(now)
	switch {
	case role.Watch && !oldRole.Watch:
		ctx, cancelWatches := context.WithCancel(h.tomb.Context(context.Background()))
		f.cancelWatches = cancelWatches
		for kind := range feed.NumKinds {
			h.tomb.Go(func() error { h.watchStore(ctx, kind); return nil })
		}
	case !role.Watch && oldRole.Watch:
		f.cancelWatches()
	}
	f.mu.Unlock()
	if role.Watch != oldRole.Watch || role.Follow != oldRole.Follow {
		h.log.role(role, age, h.peers.groupSize())
	}
	from := role.Follow
	if from == "" {
		// There is no host to follow, so a peer that is ahead has the best copy.
		from = h.peers.furthestAhead(now, f.revisions())
	}
	if from != "" && h.fetchIfBehind(now, from) && role.Follow == "" {
		h.log.fetchingFromPeer(from)
	}
}

// errPanicked means that the handling of an answer of the store or of a peer panicked.
const errPanicked = errors.ConstError("the answer could not be handled")

// watchStore watches one kind of objects at the store until ctx ends. After an
// error, or if the store no longer has the history, it lists all objects again to
// get the changes that it missed. Failed calls are repeated with exponential
// backoff and jitter.
func (h *Host) watchStore(ctx context.Context, kind feed.Kind) {
	defer h.forgetUnreadable(kind.String())
	backoff := h.feeds.currentRole().InitialBackoff(false)
	listNext := h.feeds.revision(kind) == 0
	for ctx.Err() == nil {
		completeAt := time.Now()
		var changes feed.Changes
		var err error
		readAndApply := func() {
			if listNext {
				changes, err = h.source.List(ctx, kind)
			} else {
				changes, err = h.source.Watch(ctx, kind, h.feeds.revision(kind), feed.WatchWait)
				completeAt = time.Now() // the store had no newer changes when it answered
			}
			if err == nil && ctx.Err() == nil {
				h.recordUnreadable(kind.String(), changes.Complete, changes.Items, changes.Unreadable)
				h.applyChanges(kind, sourceStore, changes, completeAt)
			}
		}
		if !h.protect("store", readAndApply) {
			err = errPanicked
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			h.log.historyGone(kind)
			h.newsRefused(kind, notTaken{Source: sourceStore, Reason: notTakenHistoryGone})
			listNext = true
			continue
		case err != nil:
			h.storeFailed(kind, err)
			listNext = true
			if !wait.For(ctx, backoff/2+rand.N(backoff)) {
				return
			}
			backoff = min(2*backoff, h.feeds.currentRole().MaxBackoff())
			continue
		}
		backoff, listNext = h.feeds.currentRole().InitialBackoff(true), false
		h.storeAnswered(kind)
		if len(changes.Items) > 0 && !wait.For(ctx, watchPause) {
			return
		}
	}
}

// applyChanges applies changes to the replica of a kind and puts the result in
// force. If this host watches the store, it sends beacons at once, so that its
// followers fetch the changes. source names who sent the changes, and completeAt is
// the last time at which the store is known to have had no newer ones.
func (h *Host) applyChanges(kind feed.Kind, source string, c feed.Changes, completeAt time.Time) {
	for i := range c.Items {
		if s := c.Items[i].Server; s != nil && s.ColdFor > 0 {
			s.ColdUntil = time.Now().Add(s.ColdFor)
		}
	}
	items, outcome, watching := h.feeds.apply(kind, c, completeAt)
	if outcome == feed.Changed {
		h.applyItems(kind, source, items)
	}
	switch {
	case !outcome.Taken():
		h.newsRefused(kind, notTaken{Source: source, Reason: outcome.String(), Revision: c.Revision})
	case len(c.Keep) > 0:
		h.newsRefused(kind, notTaken{Source: source, Reason: notTakenUnreadable, Revision: c.Revision})
	default:
		h.newsTaken(kind, source)
	}
	if outcome != feed.Changed {
		return
	}
	if watching {
		h.sendBeaconsNow()
	}
}

// apply applies changes to the replica of a kind. If an item changed, it returns
// all items. watching reports whether this host watches the store.
func (f *storeFeeds) apply(kind feed.Kind, c feed.Changes, completeAt time.Time) (items []feed.Item, outcome feed.Outcome, watching bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	replica := f.replicas[kind]
	outcome = replica.Apply(c)
	replica.Confirm(completeAt)
	if outcome != feed.Changed {
		return nil, outcome, false
	}
	items = make([]feed.Item, 0, len(replica.Items()))
	for _, item := range replica.Items() {
		items = append(items, item)
	}
	return items, outcome, f.role.Watch
}

// applyItems puts all items of a kind, which source sent, in force.
func (h *Host) applyItems(kind feed.Kind, source string, items []feed.Item) {
	switch kind {
	case feed.Tables:
		for _, item := range items {
			if item.Table != nil {
				t := *item.Table // a copy, because applyTable indexes it
				inForce := h.applyTable(&t)
				h.tablesRefused.Store(!inForce)
				if !inForce {
					h.newsRefused(kind, notTaken{Source: source, Reason: notTakenVersion, Revision: item.Revision, Detail: fmt.Sprintf("version %d", t.Version)})
				}
			}
		}
	case feed.Servers:
		list := make([]fleet.Server, 0, len(items))
		for _, item := range items {
			if item.Server != nil {
				list = append(list, *item.Server)
			}
		}
		h.applyServers(list)
	case feed.Evacuations:
		domains := make([]string, 0, len(items))
		for _, item := range items {
			domains = append(domains, item.Name)
		}
		h.applyEvacuated(domains)
	}
}

// follows reports whether this host follows the given one.
func (f *storeFeeds) follows(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.role.Follow == host
}

func (f *storeFeeds) currentRole() feed.Role {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.role
}

func (f *storeFeeds) revisions() (out [feed.NumKinds]int64) {
	for k := range out {
		out[k] = f.revision(feed.Kind(k))
	}
	return out
}

func (f *storeFeeds) revision(kind feed.Kind) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas[kind].Revision()
}

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
}

// serveFeed sends a follower the changes after the revisions that it has. The
// query holds a revision for each kind that the follower asks for.
func (h *Host) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	f := h.feeds
	now := time.Now()
	var answer feedAnswer
	h.registryMu.Lock()
	answer.SinceOutageMS = h.registry.SinceOutage(now).Milliseconds()
	h.registryMu.Unlock()
	f.mu.Lock()
	answer.AgeMS = f.ageLocked(now).Milliseconds()
	for kind := range feed.NumKinds {
		after, err := strconv.ParseInt(query.Get(kind.String()), 10, 64)
		replica := f.replicas[kind]
		if err != nil || replica.Revision() == 0 {
			continue // the follower did not ask for this kind, or this host has no copy
		}
		if kind == feed.Tables && after == 0 {
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
	f.mu.Unlock()
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

// fetchIfBehind starts to fetch changes from a host if that host's last beacon
// announced newer ones. Otherwise this host's copy is as new as the other host's,
// and is confirmed up to date for the same time. It reports whether a transfer
// began.
func (h *Host) fetchIfBehind(now time.Time, from string) bool {
	p, ok := h.peers.get(from)
	if !ok {
		return false
	}
	f := h.feeds
	f.mu.Lock()
	defer f.mu.Unlock()
	behind := false
	for k, replica := range f.replicas {
		behind = behind || replica.Revision() < p.changeRevisions[k] || replica.Revision() == 0
	}
	if !behind {
		for kind, replica := range f.replicas {
			replica.Confirm(p.heardAt.Add(-p.copyAge))
			h.newsTaken(feed.Kind(kind), from)
		}
		return false
	}
	if f.fetching {
		return false
	}
	f.fetching = true
	query := url.Values{}
	for kind := range feed.NumKinds {
		query.Set(kind.String(), strconv.FormatInt(f.replicas[kind].Revision(), 10))
	}
	h.tomb.Go(func() error {
		var err error
		if !h.protect("peer", func() { err = h.fetchChanges(from, p.host.ControlAddress, query) }) {
			err = errPanicked
		}
		f.mu.Lock()
		f.fetching = false
		f.mu.Unlock()
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
	now := time.Now()
	completeAt := now.Add(-time.Duration(answer.AgeMS) * time.Millisecond)
	h.registryMu.Lock()
	h.registry.AdoptSinceOutage(now, time.Duration(answer.SinceOutageMS)*time.Millisecond)
	h.registryMu.Unlock()
	for _, host := range answer.Hosts {
		if err := h.peers.addPublished(host); err != nil {
			h.log.warn(err, "entry host in a peer's list ignored")
		}
	}
	for kind, c := range answer.Changes {
		if c != nil {
			h.applyChanges(feed.Kind(kind), from, *c, completeAt)
		}
	}
	if len(answer.Leaving) > 0 {
		h.eachPool(func(p *pool) { p.recordLeaving(answer.Leaving) })
	}
	return nil
}

func decodeFeedAnswer(raw []byte, a *feedAnswer) error {
	if err := cbor.Unmarshal(raw, a); err != nil {
		return errors.Trace(err)
	}
	return a.check()
}

// storeAnswered logs and counts a successful call to the store.
func (h *Host) storeAnswered(kind feed.Kind) {
	h.log.storeAnswered(kind.String())
	h.metrics.storeCalls.WithLabelValues(kind.String(), "answered").Inc()
}

// storeFailed logs and counts a failed call to the store.
func (h *Host) storeFailed(kind feed.Kind, err error) {
	h.log.storeFailed(kind.String(), err)
	h.newsRefused(kind, notTaken{Source: sourceStore, Reason: notTakenCallFailed, Detail: err.Error()})
	h.metrics.storeCalls.WithLabelValues(kind.String(), "failed").Inc()
}
