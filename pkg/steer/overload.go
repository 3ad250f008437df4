package steer

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/overload"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// measureLateness measures how late the process reads, and logs when this host
// begins and ends to be overloaded. A pipe to itself is read as connections
// are. Timers would not do: the scheduler serves them before what arrives.
func (h *Host) measureLateness() error {
	r, w, err := os.Pipe()
	if err != nil {
		return errors.Annotate(err, "pipe for the measurement of lateness")
	}
	defer w.Close()
	arrived := make(chan struct{})
	h.tomb.Go(func() error {
		defer r.Close()
		for b := make([]byte, 1); ; {
			if _, err := r.Read(b); err != nil {
				return nil // the pipe was closed, the host stops
			}
			select {
			case arrived <- struct{}{}:
			case <-h.tomb.Dying():
				return nil
			}
		}
	})
	t := time.NewTicker(overload.Interval)
	defer t.Stop()
	var sent time.Time // of the byte on its way, zero if there is none
	overloaded := false
	for {
		select {
		case <-h.tomb.Dying():
			return nil
		case <-arrived:
			now := time.Now()
			h.guard.Measure(now, now.Sub(sent))
			sent = time.Time{}
		case <-t.C:
			now := time.Now()
			if !sent.IsZero() {
				h.guard.Measure(now, now.Sub(sent))
				break
			}
			sent = now
			if _, err := w.Write([]byte{0}); err != nil {
				return errors.Annotate(err, "measurement of lateness")
			}
		}
		if now := h.guard.Overloaded(); now != overloaded {
			overloaded = now
			h.log.overload(overloaded, h.guard.Late(), h.held.Load())
		}
	}
}

// checkOverload rejects requests that this host has no processor time for.
func (h *Host) checkOverload(x *exchange) *result.Error {
	level, levels := x.table.Level(x.route)
	if !h.guard.Rejects(level, levels, rand.Float64()) {
		return nil
	}
	return result.New(result.HostOverloaded, "this host reads %d ms late", h.guard.Late().Milliseconds()).
		WithRetryAfter(returnAfter(x.route.TargetLatency))
}
