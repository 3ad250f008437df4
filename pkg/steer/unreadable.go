package steer

import (
	"sync"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
)

// publishedHosts is the kind under which unreadable entries of entry hosts are
// logged and counted.
const publishedHosts = "hosts"

// unreadableEntries holds the names of the store's entries that this host could not
// decode, by kind, so that each is logged once and not with every list.
type unreadableEntries struct {
	mu    sync.Mutex
	names map[string]map[string]bool
}

// update takes the result of a list, or of a watch if complete is not set. It
// returns the entries that were readable before, and the names of those that are
// readable again or gone.
func (u *unreadableEntries) update(kind string, complete bool, items []feed.Item, unreadable []feed.Unreadable) (added []feed.Unreadable, mended []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	known := u.names[kind]
	if len(known) == 0 && len(unreadable) == 0 {
		return nil, nil
	}
	now := make(map[string]bool, len(unreadable))
	for _, e := range unreadable {
		if !known[e.Name] && !now[e.Name] {
			added = append(added, e)
		}
		now[e.Name] = true
	}
	changed := make(map[string]bool, len(items))
	for _, item := range items {
		changed[item.Name] = true
	}
	for name := range known {
		switch {
		case now[name]:
		case complete || changed[name]:
			mended = append(mended, name)
		default:
			now[name] = true
		}
	}
	if u.names == nil {
		u.names = map[string]map[string]bool{}
	}
	u.names[kind] = now
	return added, mended
}

func (u *unreadableEntries) clear(kind string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.names, kind)
}

func (u *unreadableEntries) count(kind string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.names[kind])
}

// recordUnreadable logs the entries that have become unreadable or readable.
func (h *Host) recordUnreadable(kind string, complete bool, items []feed.Item, unreadable []feed.Unreadable) {
	added, mended := h.unreadable.update(kind, complete, items, unreadable)
	if len(added)+len(mended) > 0 {
		h.metrics.unreadable.WithLabelValues(kind).Set(float64(h.unreadable.count(kind)))
	}
	for _, e := range added {
		h.log.unreadable(kind, e)
	}
	for _, name := range mended {
		h.log.readable(kind, name)
	}
}

// forgetUnreadable forgets the entries of a kind that this host no longer reads
// from the store itself.
func (h *Host) forgetUnreadable(kind string) {
	h.unreadable.clear(kind)
	h.metrics.unreadable.WithLabelValues(kind).Set(0)
}
