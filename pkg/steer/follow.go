package steer

import (
	"bytes"
	"context"
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
	"github.com/tamarackswitch/tamarackswitch/pkg/wait"
)

// Times and sizes of following the store.
const (
	roleTick = 100 * time.Millisecond
	// eventPause is the time between a change and the next watch, so that changes
	// in quick succession cost one call; it delays them by as much.
	eventPause = 150 * time.Millisecond
	// fetchTimeout is how long a transfer of changes from another host may make no
	// progress. A whole copy takes longer: many hosts fetch it at once.
	fetchTimeout = 800 * time.Millisecond
	// readTime is how long the first reading of the published hosts is awaited
	// before a host asks the store without knowing of others, and startTime how
	// long published hosts that were not heard count as about to be.
	readTime     = 500 * time.Millisecond
	startTime    = 2 * time.Second
	maxFeedBytes = 4 << 20
	feedChunk    = 8 << 10 // bytes between two looks at the progress
	feedPath     = "/v1/feed"
)

// follower keeps the copies of the store's objects up to date, from the store
// or from another host of the region.
type follower struct {
	mu       sync.Mutex
	logs     [feed.Kinds]*feed.Log
	role     feed.Role
	cancel   context.CancelFunc // ends the watches of a watcher
	fetching bool
	client   *http.Client
	started  time.Time
}

func newFollower(now time.Time) *follower {
	f := &follower{started: now, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}}
	for k := range f.logs {
		f.logs[k] = feed.NewLog()
		// The hosts of a group that start together ask the store in turn.
		f.logs[k].Confirm(now.Add(-feed.StaleAfter))
	}
	return f
}

// age returns the age of the oldest copy.
func (f *follower) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ageLocked(now)
}

func (f *follower) ageLocked(now time.Time) time.Duration {
	var age time.Duration
	for _, l := range f.logs {
		age = max(age, now.Sub(l.Confirmed()))
	}
	return age
}

// describe fills in the part of a beacon about the copies.
func (f *follower) describe(now time.Time, b *beacon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b.Watching = f.role.Watch
	b.AgeMS = uint32(min(f.ageLocked(now).Milliseconds(), maxAgeMS))
	for k, l := range f.logs {
		b.Versions[k] = l.Version()
	}
}

// maxAgeMS is the largest age that a beacon tells.
const maxAgeMS = 1 << 30

// chooseRole decides whether this host asks the store.
func (h *Host) chooseRole(now time.Time) {
	f := h.follow
	up := now.Sub(f.started)
	copies := h.peers.copies(now, up < startTime)
	if !h.hostsRead.Load() && len(copies) == 0 && up < readTime {
		return
	}
	f.mu.Lock()
	old := f.role
	f.role = feed.Choose(feed.Copy{Host: h.self.Name, Capacity: h.self.Capacity, Watching: old.Watch, Age: f.ageLocked(now)}, copies)
	role, age := f.role, f.ageLocked(now)
	switch {
	case role.Watch && !old.Watch:
		ctx, cancel := context.WithCancel(h.tomb.Context(context.Background()))
		f.cancel = cancel
		for kind := range feed.Kinds {
			h.tomb.Go(func() error { h.watchStore(ctx, kind); return nil })
		}
	case !role.Watch && old.Watch:
		f.cancel()
	}
	f.mu.Unlock()
	if role.Watch != old.Watch || role.Follow != old.Follow {
		h.log.role(role, age, h.peers.groupSize())
	}
	from := role.Follow
	if from == "" {
		// Without a host to follow, a peer that is ahead has the best copy.
		from = h.peers.ahead(now, f.revisions())
	}
	if from != "" && h.fetch(now, from) && role.Follow == "" {
		h.log.aheadCopy(from)
	}
}

// watchStore follows one kind at the store until ctx ends. Lost history and
// errors end a watch, and a new list repairs what was missed.
func (h *Host) watchStore(ctx context.Context, kind feed.Kind) {
	pause := h.follow.currentRole().RetryFirst(false)
	whole := h.follow.revision(kind) == 0
	for ctx.Err() == nil {
		complete := time.Now()
		var changes feed.Changes
		var err error
		if whole {
			changes, err = h.source.List(ctx, kind)
		} else {
			changes, err = h.source.Watch(ctx, kind, h.follow.revision(kind), feed.WatchWait)
			complete = time.Now() // the store held nothing newer when it answered
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			h.log.historyGone(kind)
			whole = true
			continue
		case err != nil:
			h.storeFailed(kind, err)
			whole = true
			if !wait.For(ctx, pause/2+rand.N(pause)) {
				return
			}
			pause = min(2*pause, h.follow.currentRole().RetryMost())
			continue
		}
		pause, whole = h.follow.currentRole().RetryFirst(true), false
		h.storeAnswered(kind)
		h.take(kind, changes, complete)
		if len(changes.Items) > 0 && !wait.For(ctx, eventPause) {
			return
		}
	}
}

// take applies changes and tells the region. complete is when the source still
// held nothing newer.
func (h *Host) take(kind feed.Kind, c feed.Changes, complete time.Time) {
	f := h.follow
	f.mu.Lock()
	l := f.logs[kind]
	for i := range c.Items {
		if s := c.Items[i].Server; s != nil && s.ColdFor > 0 {
			s.ColdUntil = time.Now().Add(s.ColdFor)
		}
	}
	changed := l.Apply(c)
	l.Confirm(complete)
	if !changed {
		f.mu.Unlock()
		return
	}
	items := make([]feed.Item, 0, len(l.Items()))
	for _, item := range l.Items() {
		items = append(items, item)
	}
	watching := f.role.Watch
	f.mu.Unlock()
	h.apply(kind, items)
	if watching {
		h.beaconNow()
	}
}

// apply puts the items of a kind in force.
func (h *Host) apply(kind feed.Kind, items []feed.Item) {
	switch kind {
	case feed.Tables:
		for _, item := range items {
			if item.Table != nil {
				t := *item.Table // indexed once it is in force
				h.applyTable(&t)
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

// follows reports whether host is the followed one.
func (f *follower) follows(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.role.Follow == host
}

func (f *follower) currentRole() feed.Role {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.role
}

func (f *follower) revisions() (out [feed.Kinds]int64) {
	for k := range out {
		out[k] = f.revision(feed.Kind(k))
	}
	return out
}

func (f *follower) revision(kind feed.Kind) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logs[kind].Revision()
}

// feedAnswer is what a follower gets.
type feedAnswer struct {
	// AgeMS is the age of the copy.
	AgeMS   int64                     `cbor:"1,keyasint"`
	Changes [feed.Kinds]*feed.Changes `cbor:"2,keyasint"`
	// SinceReturnMS is the time since the store was last away.
	SinceReturnMS int64 `cbor:"3,keyasint"`
	// Hosts are the known entry hosts of all regions, for a follower without
	// tables: it may have started while the store was away.
	Hosts []fleet.EntryHost `cbor:"4,keyasint,omitempty"`
}

// serveFeed answers a follower with what changed after its revisions.
func (h *Host) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	f := h.follow
	now := time.Now()
	var out feedAnswer
	h.registryMu.Lock()
	out.SinceReturnMS = h.registry.SinceReturn(now).Milliseconds()
	h.registryMu.Unlock()
	f.mu.Lock()
	out.AgeMS = f.ageLocked(now).Milliseconds()
	for kind := range feed.Kinds {
		after, err := strconv.ParseInt(query.Get(kind.String()), 10, 64)
		l := f.logs[kind]
		if err != nil || l.Revision() == 0 {
			continue // the follower did not ask for the kind, or there is none
		}
		if kind == feed.Tables && after == 0 {
			out.Hosts = h.peers.all()
		}
		c := l.Since(after)
		for i, item := range c.Items {
			if s := item.Server; s != nil && s.ColdFor > 0 {
				left := *s
				left.ColdFor = max(s.ColdUntil.Sub(now), 0)
				c.Items[i].Server = &left
			}
		}
		out.Changes[kind] = &c
	}
	f.mu.Unlock()
	raw, err := cbor.Marshal(&out)
	if err != nil {
		h.log.warn(err, "changes could not be encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(raw) // an error means that the follower left
}

// fetch takes the changes of the followed host if it has newer ones, and its
// word that there are none otherwise. It reports whether a transfer began.
func (h *Host) fetch(now time.Time, from string) bool {
	p, ok := h.peers.get(from)
	if !ok {
		return false
	}
	f := h.follow
	f.mu.Lock()
	defer f.mu.Unlock()
	behind := false
	for k, l := range f.logs {
		behind = behind || l.Revision() < p.versions[k] || l.Revision() == 0
	}
	if !behind {
		for _, l := range f.logs {
			l.Confirm(p.heard.Add(-p.age))
		}
		return false
	}
	if f.fetching {
		return false
	}
	f.fetching = true
	query := url.Values{}
	for kind := range feed.Kinds {
		query.Set(kind.String(), strconv.FormatInt(f.logs[kind].Revision(), 10))
	}
	h.tomb.Go(func() error {
		err := h.fetchFrom(p.host.Control, query)
		f.mu.Lock()
		f.fetching = false
		f.mu.Unlock()
		if err != nil && h.tomb.Alive() {
			h.log.warn(err, "changes could not be fetched from a peer")
		}
		return nil
	})
	return true
}

func (h *Host) fetchFrom(address string, query url.Values) error {
	ctx, cancel := context.WithCancel(h.tomb.Context(context.Background()))
	defer cancel()
	stalled := time.AfterFunc(fetchTimeout, cancel)
	defer stalled.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+feedPath+"?"+query.Encode(), nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := h.follow.client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	var raw bytes.Buffer
	for body := io.LimitReader(resp.Body, maxFeedBytes); ; stalled.Reset(fetchTimeout) {
		if _, err := io.CopyN(&raw, body, feedChunk); err == io.EOF {
			break
		} else if err != nil {
			return errors.Trace(err)
		}
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	var got feedAnswer
	if err := cbor.Unmarshal(raw.Bytes(), &got); err != nil {
		return errors.Trace(err)
	}
	now := time.Now()
	complete := now.Add(-time.Duration(got.AgeMS) * time.Millisecond)
	h.registryMu.Lock()
	h.registry.Trust(now, time.Duration(got.SinceReturnMS)*time.Millisecond)
	h.registryMu.Unlock()
	for _, host := range got.Hosts {
		if err := h.peers.add(host); err != nil {
			h.log.warn(err, "host in a peer's list ignored")
		}
	}
	for kind, c := range got.Changes {
		if c != nil {
			h.take(feed.Kind(kind), *c, complete)
		}
	}
	return nil
}

// storeAnswered and storeFailed record the outcome of a call to the store.
func (h *Host) storeAnswered(kind feed.Kind) {
	h.log.storeAnswered(kind.String())
	h.metrics.storeCalls.WithLabelValues(kind.String(), "answered").Inc()
}

func (h *Host) storeFailed(kind feed.Kind, err error) {
	h.log.storeFailed(kind.String(), err)
	h.metrics.storeCalls.WithLabelValues(kind.String(), "failed").Inc()
}
