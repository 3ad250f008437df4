package steer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/restore"
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
	// holds keeps what was known before the store came back from an older copy.
	holds *restore.Holds
	// holders are the hosts that were asked in holdersEra for what they hold, and
	// heldStates is the number of those that held something.
	holders    map[string]bool
	holdersEra int64
	heldStates int
	// awaited is what another host holds in awaitedEra, which this host's copy of the
	// servers has not reached. It is adopted together with the list.
	awaited    *restore.HeldState
	awaitedEra int64
	client     *http.Client
	started    time.Time
}

func newStoreFeeds(now time.Time) *storeFeeds {
	f := &storeFeeds{started: now, holds: restore.New(), client: &http.Client{Transport: httpanswer.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second})}}
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

// describe sets the fields of a beacon that describe this host's copy of the store, and
// what it knows that the copy lacks. tableVersion is the version of the tables in force.
func (f *storeFeeds) describe(now time.Time, tableVersion int64, b *beacon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b.Watching = f.role.Watch
	b.AgeMS = uint32(min(f.ageLocked(now).Milliseconds(), maxAgeMS))
	for k, replica := range f.replicas {
		at := replica.LastChange()
		b.ChangeRevisions[k] = at.Revision
		if at.Era > 0 && b.Eras == nil {
			b.Eras = make([]int64, feed.NumKinds)
		}
		if b.Eras != nil {
			b.Eras[k] = at.Era
		}
	}
	b.Held = f.holds.Count()
	if t := f.tableLocked(); tableVersion > 0 && (t == nil || t.Version < tableVersion) {
		b.Held++
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
	// An era that the store names counts before the copy reaches it, so that this host
	// does not wait for a watcher that stays in an earlier one.
	named := h.source.LastEra()
	f.mu.Lock()
	oldRole := f.role
	era := max(named, earliestEra(f.positionsLocked()))
	self := feed.HostState{Host: h.self.Name, Capacity: h.self.Capacity, Watching: oldRole.Watch, Age: f.ageLocked(now), Era: era}
	f.role = feed.ChooseRole(self, hostStates)
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
		from = h.peers.furthestAhead(now, f.positions(), age)
	}
	if from != "" && h.fetchIfBehind(now, from) && role.Follow == "" {
		h.log.fetchingFromPeer(from)
	}
	h.fetchHolds(now)
}

const (
	// errPanicked means that the handling of an answer of the store or of a peer panicked.
	errPanicked = errors.ConstError("the answer could not be handled")
	// errOlderAnswer means that the store answered with an older state than this host has.
	errOlderAnswer = errors.ConstError("the answer is older than the copy")
)

// watchStore watches one kind of objects at the store until ctx ends. After an
// error, or if the store no longer has the history or is in another era, it lists all
// objects again to get the changes that it missed. Failed calls, and those whose answer
// is older than this host's copy, are repeated with exponential backoff and jitter.
func (h *Host) watchStore(ctx context.Context, kind feed.Kind) {
	defer h.forgetUnreadable(kind.String())
	backoff := h.feeds.currentRole().InitialBackoff(false)
	listNext := !h.feeds.position(kind).Known()
	for ctx.Err() == nil {
		completeAt := time.Now()
		var changes feed.Changes
		var err error
		readAndApply := func() {
			from := h.feeds.position(kind)
			if listNext {
				changes, err = h.source.List(ctx, kind)
			} else {
				changes, err = h.source.Watch(ctx, kind, from, feed.WatchWait)
				completeAt = time.Now() // the store had no newer changes when it answered
			}
			if err != nil || ctx.Err() != nil {
				return
			}
			h.recordUnreadable(kind.String(), changes.Complete, changes.Items, changes.Unreadable)
			err = h.takeStoreAnswer(kind, from, changes, completeAt)
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
		case errors.Is(err, ErrEraChanged) && !listNext:
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

// takeStoreAnswer applies changes that the store has sent. from is the position of the
// copy when the store was asked. The error is errOlderAnswer if the store is behind it. An
// answer that is behind the copy alone is not late news: the copy has moved on meanwhile,
// with changes of a peer.
func (h *Host) takeStoreAnswer(kind feed.Kind, from feed.Position, c feed.Changes, completeAt time.Time) error {
	if c.Era == from.Era && c.Position().Before(from) {
		h.newsRefused(kind, notTaken{Source: sourceStore, Reason: feed.OlderRevision.String(), Era: c.Era, Revision: c.Revision})
		return errors.Annotatef(errOlderAnswer, "the store is at %s, the copy at %s", c.Position(), from)
	}
	if outcome := h.applyChanges(kind, sourceStore, c, completeAt); !outcome.Taken() && outcome != feed.OlderRevision {
		return errors.Annotatef(errOlderAnswer, "%s: the store is at %s", outcome, c.Position())
	}
	return nil
}

// applyChanges applies changes to the replica of a kind and puts the result in
// force. If this host watches the store, it sends beacons at once, so that its
// followers fetch the changes. source names who sent the changes, and completeAt is
// the last time at which the store is known to have had no newer ones.
func (h *Host) applyChanges(kind feed.Kind, source string, c feed.Changes, completeAt time.Time) feed.Outcome {
	for i := range c.Items {
		if s := c.Items[i].Server; s != nil && s.ColdFor > 0 {
			s.ColdUntil = time.Now().Add(s.ColdFor)
		}
	}
	// Kept over both steps, so that an older copy is not put in force after a newer one.
	h.copiesMu.Lock()
	defer h.copiesMu.Unlock()
	before := h.feeds.position(kind)
	returnedAt := h.returnedAt(source)
	outcome, watching := h.feeds.apply(kind, c, completeAt, returnedAt, h.lapsedServers)
	if outcome == feed.Restored {
		h.log.restored(kind, source, before, c.Position(), h.feeds.held())
		select {
		case h.eraReached <- struct{}{}:
		default: // publish was told already
		}
	}
	switch outcome {
	case feed.Changed:
		h.applyCopy(kind, source, time.Time{})
	case feed.Restored:
		h.applyCopy(kind, source, returnedAt)
	}
	switch {
	case outcome == feed.OlderRevision: // the source is behind this copy
	case !outcome.Taken():
		h.newsRefused(kind, notTaken{Source: source, Reason: outcome.String(), Era: c.Era, Revision: c.Revision})
	case len(c.Keep) > 0:
		h.newsRefused(kind, notTaken{Source: source, Reason: notTakenUnreadable, Era: c.Era, Revision: c.Revision})
	default:
		h.newsTaken(kind, source)
	}
	if watching && (outcome == feed.Changed || outcome == feed.Restored) {
		h.sendBeaconsNow()
	}
	return outcome
}

// returnedAt returns when the store came back, as far as this host knows, if source sends
// the first list since. A host that takes the list from another one has taken the time
// since the store's return from there.
func (h *Host) returnedAt(source string) time.Time {
	if source == sourceStore {
		return time.Now()
	}
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	if end := h.registry.OutageEnd(); !end.IsZero() {
		return end
	}
	return time.Now()
}

// lapsedServers returns the servers that the store does not list and that are kept
// until they publish their entries again.
func (h *Host) lapsedServers() map[string]bool {
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	return h.registry.Lapsed()
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

// positions returns the positions that the copies have reached.
func (f *storeFeeds) positions() [feed.NumKinds]feed.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.positionsLocked()
}

func (f *storeFeeds) positionsLocked() (out [feed.NumKinds]feed.Position) {
	for k, replica := range f.replicas {
		out[k] = replica.Position()
	}
	return out
}

func (f *storeFeeds) position(kind feed.Kind) feed.Position { return f.positions()[kind] }

// storeAnswered logs and counts a successful call to the store.
func (h *Host) storeAnswered(kind feed.Kind) {
	h.log.storeAnswered(kind.String())
	h.metrics.storeCalls.WithLabelValues(kind.String(), "answered").Inc()
}

// storeFailed logs and counts a failed call to the store.
func (h *Host) storeFailed(kind feed.Kind, err error) {
	switch {
	case errors.Is(err, errOlderAnswer): // applyChanges has recorded it
	case errors.Is(err, ErrEraChanged): // the next list is of the new era
	case errors.Is(err, feed.ErrEraMissing):
		h.newsRefused(kind, notTaken{Source: sourceStore, Reason: notTakenEraMissing, Detail: err.Error()})
	case errors.Is(err, feed.ErrEraUnconfirmed):
		h.newsRefused(kind, notTaken{Source: sourceStore, Reason: notTakenEraUnconfirmed, Detail: err.Error()})
	case errors.Is(err, feed.ErrEraPassed):
		h.newsRefused(kind, notTaken{Source: sourceStore, Reason: notTakenEraPassed, Detail: err.Error()})
	default:
		h.log.storeFailed(kind.String(), err)
		h.newsRefused(kind, notTaken{Source: sourceStore, Reason: notTakenCallFailed, Detail: err.Error()})
	}
	h.metrics.storeCalls.WithLabelValues(kind.String(), "failed").Inc()
}
