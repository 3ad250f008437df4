package steer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/feed"
	"github.com/tamarackswitch/tamarackswitch/pkg/wait"
)

const (
	// minHostsInterval is the first interval between reads of the published hosts
	// (the entry hosts that the store lists), and between attempts to register this
	// host. The intervals double each time.
	minHostsInterval = 400 * time.Millisecond
	// startHostsInterval is the interval between reads in the startupPeriod as long as no
	// other host is known.
	startHostsInterval = 100 * time.Millisecond
	// maxHostsInterval bounds these intervals. Reads may be rare because new hosts
	// announce themselves in beacons at once.
	maxHostsInterval = 10 * time.Second
	// unknownHostDelay is the shortest time from one read to the next if a digest
	// contains an unknown host.
	unknownHostDelay = time.Second
	// registerSpreadPerHost is multiplied by the number of known hosts: in so long a
	// time all of them register again after the store has come back from an older copy.
	// At two calls each, that is half of the writes
	// that the smallest platform allows in a second.
	registerSpreadPerHost = 10 * time.Millisecond
)

// publish registers this host at the store, and again whenever the store has come back
// from an older copy.
func (h *Host) publish() error {
	ctx := h.tomb.Context(context.Background())
	for ctx.Err() == nil {
		era := h.register(ctx)
		for ctx.Err() == nil {
			_, raised := h.source.Era()
			if h.knownEra() > era {
				break
			}
			select {
			case <-raised:
			case <-h.eraReached:
			case <-ctx.Done():
			}
		}
		spread := time.Duration(h.peers.count()) * registerSpreadPerHost
		if ctx.Err() == nil && wait.For(ctx, rand.N(spread)) {
			// By the end of the spread, the other hosts are in the list again.
			time.AfterFunc(spread, h.requestHosts)
		}
	}
	return nil
}

// register registers this host at the store and retries with exponential backoff until
// the store has accepted it. It returns the era of the store that has the entry.
func (h *Host) register(ctx context.Context) (era int64) {
	for backoff := minHostsInterval; ; backoff = min(2*backoff, maxHostsInterval) {
		era, err := h.source.Register(ctx, h.self)
		if known := h.knownEra(); err == nil && era < known {
			err = errors.Annotatef(feed.ErrEraPassed, "era %d, this host knows era %d", era, known)
		}
		if err == nil || ctx.Err() != nil {
			return era
		}
		h.log.warn(err, "could not register this host at the store")
		if !wait.For(ctx, backoff) {
			return era
		}
	}
}

// knownEra returns the highest era of the store that this host knows, from the store or
// from its copies.
func (h *Host) knownEra() int64 {
	era, _ := h.source.Era()
	for _, at := range h.feeds.positions() {
		era = max(era, at.Era)
	}
	return era
}

// requestHosts asks readHosts to read the published hosts again soon.
func (h *Host) requestHosts() {
	select {
	case h.hostsReadRequested <- struct{}{}:
	default: // already requested
	}
}

// readHosts reads the published hosts repeatedly, at intervals that double up to
// maxHostsInterval, and earlier if a digest contains an unknown host, or if no other host
// is known at the start.
func (h *Host) readHosts() error {
	ctx := h.tomb.Context(context.Background())
	for interval := minHostsInterval; ctx.Err() == nil; {
		hosts, unreadable, err := h.source.Hosts(ctx)
		switch {
		case err == nil:
			h.recordUnreadable(publishedHosts, true, nil, unreadable)
		case ctx.Err() == nil:
			h.log.warn(err, "could not read the published hosts")
		}
		for _, host := range hosts {
			if err := h.peers.addPublished(host); err != nil {
				h.log.warn(err, "published entry host ignored")
			}
		}
		h.hostsRead.Store(true)
		if h.peers.count() == 1 && time.Since(h.feeds.started) < startupPeriod {
			// The others may just be writing their entries, at their start or again.
			wait.For(ctx, startHostsInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		case <-h.hostsReadRequested:
			wait.For(ctx, unknownHostDelay)
		}
		interval = min(2*interval, maxHostsInterval)
	}
	return nil
}
