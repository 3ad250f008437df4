package steer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/restore"
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
	// holds keeps what was known before the store came back from an older copy, and
	// holdsEra is the era in which another host last said what it holds.
	holds    *restore.Holds
	holdsEra int64
	// awaited is what another host holds in awaitedEra, which this host's copy of the
	// servers has not reached. It is adopted together with the list.
	awaited    *restore.Memory
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
		from = h.peers.furthestAhead(now, f.positions())
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
			outcome := h.applyChanges(kind, sourceStore, changes, completeAt)
			// If the copy has moved on during the call, changes came from a peer.
			if !outcome.Taken() && h.feeds.position(kind) == from {
				err = errors.Annotatef(errOlderAnswer, "%s: the store is at %s, the copy at %s", outcome, changes.Position(), from)
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
	outcome, watching := h.feeds.apply(kind, c, completeAt, h.lapsedServers)
	if outcome == feed.Restored {
		h.log.restored(kind, source, before, c.Position(), h.feeds.held())
		select {
		case h.eraReached <- struct{}{}:
		default: // publish was told already
		}
	}
	if outcome == feed.Changed || outcome == feed.Restored {
		h.applyCopy(kind, source, outcome == feed.Restored)
	}
	switch {
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

// lapsedServers returns the servers that the store does not list and that are kept
// until they publish their entries again.
func (h *Host) lapsedServers() map[string]bool {
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	return h.registry.Lapsed()
}

// apply applies changes to the replica of a kind. If they are the first list since the
// store came back from an older copy, what was known before is held; lapsed lists the
// servers without an entry that had not left. watching reports whether this host watches
// the store.
func (f *storeFeeds) apply(kind feed.Kind, c feed.Changes, completeAt time.Time, lapsed func() map[string]bool) (outcome feed.Outcome, watching bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, replica := time.Now(), f.replicas[kind]
	var servers, left []fleet.Server
	var domains []string
	if c.Era > replica.Position().Era {
		servers, domains = f.serversLocked(now), f.evacuatedLocked(now)
		for _, item := range c.Items {
			if old := replica.Items()[item.Name].Server; old != nil && item.Server != nil {
				item.Server.ColdUntil = restore.ColdUntil(*old, *item.Server)
			}
		}
		lapsedNow := lapsed()
		for _, item := range replica.Removed() {
			if item.Server != nil && !lapsedNow[item.Name] {
				left = append(left, *item.Server)
			}
		}
	}
	outcome = replica.Apply(c)
	if outcome.Taken() {
		replica.Confirm(completeAt)
	}
	if kind == feed.Evacuations && outcome.Taken() {
		for _, item := range c.Items {
			// The copy may never have had what was written again and then removed.
			if item.Deleted && f.holds.EvacuationEnded(item.Name) {
				outcome = max(outcome, feed.Changed)
			}
		}
	}
	if outcome == feed.Restored {
		switch kind {
		case feed.Servers:
			f.holds.ServersRestored(now, servers, left, f.listedServers())
			if f.awaitedEra == c.Era {
				f.holds.Adopt(now, f.awaited)
			}
			f.awaited, f.awaitedEra = nil, 0
		case feed.Evacuations:
			f.holds.EvacuationsRestored(now, domains, f.listedDomains())
		}
	}
	return outcome, f.role.Watch
}

// listedServers returns the servers of the copy.
func (f *storeFeeds) listedServers() []restore.Listed {
	items := f.replicas[feed.Servers].Items()
	out := make([]restore.Listed, 0, len(items))
	for _, item := range items {
		if item.Server != nil {
			out = append(out, restore.Listed{Server: *item.Server, Revision: item.Revision})
		}
	}
	return out
}

// listedDomains returns the evacuated failure domains of the copy.
func (f *storeFeeds) listedDomains() []string {
	return slices.Collect(maps.Keys(f.replicas[feed.Evacuations].Items()))
}

// serversLocked and evacuatedLocked return what is in force: what the copy lists, and
// what is held since the store came back from an older copy. The caller holds the lock.
func (f *storeFeeds) serversLocked(now time.Time) []fleet.Server {
	return f.holds.Servers(now, f.listedServers())
}

func (f *storeFeeds) evacuatedLocked(now time.Time) []string {
	return f.holds.Evacuated(now, f.listedDomains())
}

// table returns the tables of the copy, or nil.
func (f *storeFeeds) table() *fleet.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tableLocked()
	if t == nil {
		return nil
	}
	own := *t // because applyTable indexes it
	return &own
}

// tableLocked is table for callers that hold the lock and do not change the tables.
func (f *storeFeeds) tableLocked() *fleet.Table {
	for _, item := range f.replicas[feed.Tables].Items() {
		if item.Table != nil {
			return item.Table
		}
	}
	return nil
}

// inForce returns the servers and the evacuated failure domains that are in force.
func (f *storeFeeds) inForce(now time.Time) ([]fleet.Server, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.serversLocked(now), f.evacuatedLocked(now)
}

// held returns the number of servers and failure domains of which something is held.
func (f *storeFeeds) held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holds.Count()
}

// expireHolds drops what is held no longer and reports whether there was anything.
func (f *storeFeeds) expireHolds(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holds.Expire(now)
}

// adoptHolds adds what another host holds, if its copy is not of an earlier era, and
// reports whether something was added. If that copy is of a later era, whose revisions
// cannot be compared with those of this host's copy, it waits for the list.
func (f *storeFeeds) adoptHolds(now time.Time, era int64, m *restore.Memory) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch at := f.replicas[feed.Servers].Position(); {
	case era < at.Era:
		return false
	case at.Known() && era > at.Era:
		f.awaited, f.awaitedEra = m, era
		return false
	}
	return f.holds.Adopt(now, m)
}

// applyCopy puts the copy of a kind, which source sent, in force. restored is set if it
// is the first since the store came back from an older copy.
func (h *Host) applyCopy(kind feed.Kind, source string, restored bool) {
	switch kind {
	case feed.Tables:
		t := h.feeds.table()
		if t == nil {
			return
		}
		inForce := h.applyTable(t)
		h.tablesRefused.Store(!inForce)
		if !inForce {
			at := h.feeds.position(kind)
			h.newsRefused(kind, notTaken{Source: source, Reason: notTakenVersion, Era: at.Era, Revision: at.Revision, Detail: fmt.Sprintf("version %d", t.Version)})
		}
	case feed.Servers:
		servers, _ := h.feeds.inForce(time.Now())
		// A host that took the list from another one has taken the time since the store's
		// return from there, too.
		h.applyServers(servers, restored && source == sourceStore)
	case feed.Evacuations:
		_, domains := h.feeds.inForce(time.Now())
		h.applyEvacuated(domains)
	}
}

// applyHolds puts a change of what is held in force.
func (h *Host) applyHolds() {
	h.copiesMu.Lock()
	defer h.copiesMu.Unlock()
	servers, domains := h.feeds.inForce(time.Now())
	h.applyServers(servers, false)
	h.applyEvacuated(domains)
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
	Held *restore.Memory `cbor:"6,keyasint,omitempty"`
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
	answer.Held = f.holds.Memory(now)
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

// fetchHolds asks another host for what it knows from before the store came back, unless
// one has said so in this era. A host that has just started and read the store itself does not know it.
func (h *Host) fetchHolds(now time.Time) {
	f := h.feeds
	f.mu.Lock()
	era := earliestEra(f.positionsLocked())
	due := era > f.holdsEra && f.replicas[feed.Servers].Position().Known()
	f.mu.Unlock()
	if !due {
		return
	}
	if from := h.peers.holding(now, era); from != "" {
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
	now := time.Now()
	completeAt := now.Add(-time.Duration(answer.AgeMS) * time.Millisecond)
	if !h.feeds.ahead(&answer) {
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
	if c := answer.Changes[feed.Servers]; c != nil && (answer.Held != nil || answer.Table != nil) {
		h.feeds.holdsFetched(c.Era)
	}
	if len(answer.Leaving) > 0 {
		h.eachPool(func(p *pool) { p.recordLeaving(answer.Leaving) })
	}
	return nil
}

// ahead reports whether this host has a copy of the servers that the answer lacks, or one
// of a later era.
func (f *storeFeeds) ahead(answer *feedAnswer) bool {
	at, c := f.position(feed.Servers), answer.Changes[feed.Servers]
	return at.Known() && (c == nil || c.Era < at.Era)
}

// holdsFetched records that another host, whose copy is of the given era, has said what it
// holds.
func (f *storeFeeds) holdsFetched(era int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holdsEra = max(f.holdsEra, era)
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
	switch {
	case errors.Is(err, errOlderAnswer): // applyChanges has recorded it
	case errors.Is(err, ErrEraChanged): // the next list is of the new era
	case errors.Is(err, feed.ErrEraMissing):
		h.newsRefused(kind, notTaken{Source: sourceStore, Reason: notTakenEraMissing, Detail: err.Error()})
	case errors.Is(err, feed.ErrEraUnconfirmed):
		h.newsRefused(kind, notTaken{Source: sourceStore, Reason: notTakenEraUnsure, Detail: err.Error()})
	case errors.Is(err, feed.ErrEraPassed):
		h.newsRefused(kind, notTaken{Source: sourceStore, Reason: notTakenEraPassed, Detail: err.Error()})
	default:
		h.log.storeFailed(kind.String(), err)
		h.newsRefused(kind, notTaken{Source: sourceStore, Reason: notTakenCallFailed, Detail: err.Error()})
	}
	h.metrics.storeCalls.WithLabelValues(kind.String(), "failed").Inc()
}
