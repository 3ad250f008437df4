package steer

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/overload"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// measureLateness measures the read latency of the process, the time from when
// data arrives until a goroutine reads it, and logs when this host becomes
// overloaded and when it no longer is. It sends bytes to itself through a pipe,
// which goes through the network poller as connections do. The delay of a timer
// would not show the latency, because the Go scheduler runs timers before it polls
// for arrived data.
func (h *Host) measureLateness() error {
	r, w, err := os.Pipe()
	if err != nil {
		return errors.Annotate(err, "create the pipe that measures read latency")
	}
	defer w.Close()
	byteRead := make(chan struct{})
	h.tomb.Go(func() error {
		defer r.Close()
		for b := make([]byte, 1); ; {
			if _, err := r.Read(b); err != nil {
				return nil // the pipe is closed because the host stops
			}
			select {
			case byteRead <- struct{}{}:
			case <-h.tomb.Dying():
				return nil
			}
		}
	})
	t := time.NewTicker(overload.MeasureInterval)
	defer t.Stop()
	var sentAt time.Time // when the byte in the pipe was written, zero if the pipe is empty
	overloaded := false
	for {
		select {
		case <-h.tomb.Dying():
			return nil
		case <-byteRead:
			now := time.Now()
			h.guard.Measure(now, now.Sub(sentAt))
			sentAt = time.Time{}
		case <-t.C:
			now := time.Now()
			if !sentAt.IsZero() {
				h.guard.Measure(now, now.Sub(sentAt))
				break
			}
			sentAt = now
			if _, err := w.Write([]byte{0}); err != nil {
				return errors.Annotate(err, "write to the pipe that measures read latency")
			}
		}
		if isOverloaded := h.guard.Overloaded(); isOverloaded != overloaded {
			overloaded = isOverloaded
			h.log.overload(overloaded, h.guard.Lateness(), h.held.Load())
		}
	}
}

// checkOverload rejects requests for which this host has too little processor
// time, those of the least urgent routes first.
func (h *Host) checkOverload(x *exchange) *result.Error {
	level, levels := x.table.PriorityLevel(x.route)
	if !h.guard.Rejects(level, levels, rand.Float64()) {
		return nil
	}
	return result.New(result.HostOverloaded, "this host is overloaded: it reads requests %d ms after they arrive", h.guard.Lateness().Milliseconds()).
		WithRetryAfter(retryAfter(x.route.TargetLatency))
}
