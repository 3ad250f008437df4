package steer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/restore"
	"github.com/tamarackswitch/tamarackswitch/pkg/fleet"
)

// apply applies changes to the replica of a kind. If they are the first list since the
// store came back from an older copy, what was known before is held; lapsed lists the
// servers without an entry that had not left, and returnedAt is when the store came back.
// watching reports whether this host watches the store.
func (f *storeFeeds) apply(kind feed.Kind, c feed.Changes, completeAt, returnedAt time.Time, lapsed func() map[string]bool) (outcome feed.Outcome, watching bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, replica := time.Now(), f.replicas[kind]
	var before knownBefore
	if c.Era > replica.Position().Era {
		before = f.knownBefore(now, lapsed())
		for _, item := range c.Items {
			if old := replica.Items()[item.Name].Server; old != nil && item.Server != nil {
				item.Server.ColdUntil = restore.ColdUntil(*old, *item.Server)
			}
		}
	}
	outcome = replica.Apply(c)
	if outcome.Taken() || outcome == feed.OlderRevision {
		// A copy that is ahead of its source has all that the source had at that time.
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
			f.holds.ServersRestored(returnedAt, before.servers, before.left, f.listedServers())
			if f.awaitedEra == c.Era {
				f.holds.Adopt(now, c.Era, f.awaited)
			}
			f.awaited, f.awaitedEra = nil, 0
		case feed.Evacuations:
			f.holds.EvacuationsRestored(returnedAt, c.Era, before.domains, f.listedDomains())
		}
	}
	return outcome, f.role.Watch
}

// knownBefore is what a host knows when its copy moves to a later era.
type knownBefore struct {
	servers []fleet.Server // in force
	left    []fleet.Server // removed before
	domains []string       // evacuated
}

// knownBefore returns what the host knows now. The servers in lapsed have no entry, but
// have not left.
func (f *storeFeeds) knownBefore(now time.Time, lapsed map[string]bool) knownBefore {
	known := knownBefore{servers: f.serversLocked(now), domains: f.evacuatedLocked(now)}
	for _, item := range f.replicas[feed.Servers].Removed() {
		if item.Server != nil && !lapsed[item.Name] {
			known.left = append(known.left, *item.Server)
		}
	}
	return known
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
func (f *storeFeeds) adoptHolds(now time.Time, era int64, m *restore.HeldState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch at := f.replicas[feed.Servers].Position(); {
	case era < at.Era:
		return false
	case at.Known() && era > at.Era:
		f.awaited, f.awaitedEra = m, era
		return false
	}
	return f.holds.Adopt(now, era, m)
}

// applyCopy puts the copy of a kind, which source sent, in force. returnedAt is when the
// store came back from an older copy, if it is the first copy since, or zero.
func (h *Host) applyCopy(kind feed.Kind, source string, returnedAt time.Time) {
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
		h.applyServers(servers, returnedAt)
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
	h.applyServers(servers, time.Time{})
	h.applyEvacuated(domains)
}
