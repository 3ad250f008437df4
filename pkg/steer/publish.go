package steer

import (
	"context"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/wait"
)

const (
	// minHostsInterval is the first interval between reads of the published hosts
	// (the entry hosts that the store lists), and between attempts to register this
	// host. The intervals double each time.
	minHostsInterval = 400 * time.Millisecond
	// maxHostsInterval bounds these intervals. Reads may be rare because new hosts
	// announce themselves in beacons at once.
	maxHostsInterval = 10 * time.Second
	// unknownHostDelay is the shortest time from one read to the next if a digest
	// contains an unknown host.
	unknownHostDelay = time.Second
)

// publish registers this host at the store and retries with exponential backoff
// until the store has accepted it.
func (h *Host) publish() error {
	ctx := h.tomb.Context(context.Background())
	for backoff := minHostsInterval; ; backoff = min(2*backoff, maxHostsInterval) {
		err := h.source.Register(ctx, h.self)
		if err == nil || !h.tomb.Alive() {
			return nil
		}
		h.log.warn(err, "could not register this host at the store")
		if !wait.For(ctx, backoff) {
			return nil
		}
	}
}

// readHosts reads the published hosts repeatedly, at intervals that double up to
// maxHostsInterval, and earlier if a digest contains an unknown host.
func (h *Host) readHosts() error {
	ctx := h.tomb.Context(context.Background())
	for interval := minHostsInterval; ctx.Err() == nil; interval = min(2*interval, maxHostsInterval) {
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
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		case <-h.hostsReadRequested:
			wait.For(ctx, unknownHostDelay)
		}
	}
	return nil
}
