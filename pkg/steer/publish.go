package steer

import (
	"context"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/wait"
)

const (
	// hostsFirst and hostsMost bound the interval at which the published hosts
	// are read; beacons tell of new hosts at once.
	hostsFirst = 400 * time.Millisecond
	hostsMost  = 10 * time.Second
	// hostsLeast is the shortest time between two readings because an unknown
	// host was sighted.
	hostsLeast = time.Second
)

// publish registers this host until the store has accepted it.
func (h *Host) publish() error {
	ctx := h.tomb.Context(context.Background())
	for pause := hostsFirst; ; pause = min(2*pause, hostsMost) {
		err := h.source.Register(ctx, h.self)
		if err == nil || !h.tomb.Alive() {
			return nil
		}
		h.log.warn(err, "this host could not be published")
		if !wait.For(ctx, pause) {
			return nil
		}
	}
}

// readHosts reads the published hosts, less often as time passes, and when an
// unknown host was sighted.
func (h *Host) readHosts() error {
	ctx := h.tomb.Context(context.Background())
	for pause := hostsFirst; ctx.Err() == nil; pause = min(2*pause, hostsMost) {
		hosts, err := h.source.Hosts(ctx)
		if err != nil && ctx.Err() == nil {
			h.log.warn(err, "the published hosts could not be read")
		}
		for _, host := range hosts {
			if err := h.peers.add(host); err != nil {
				h.log.warn(err, "published host ignored")
			}
		}
		h.hostsRead.Store(true)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-h.hostsWanted:
			wait.For(ctx, hostsLeast)
		}
	}
	return nil
}
