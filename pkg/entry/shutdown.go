package entry

import (
	"context"
	"slices"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/membership"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/once"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/rendezvous"
	"github.com/tamarackswitch/tamarackswitch/pkg/peer"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/wait"
)

// Constants of a graceful shutdown.
const (
	// cacheSlack is added to the life of cached look-ups, for answers on their
	// way when the host withdraws.
	cacheSlack = 500 * time.Millisecond
	drainPoll  = 20 * time.Millisecond
	// handoffTries bounds the attempts to hand the keys over.
	handoffTries = 5
)

// Shutdown withdraws the host from look-ups, serves until cached answers have
// run out, hands over its keys, finishes the requests it holds and stops. If
// ctx ends first it stops at once; the error is then a *result.Error with code
// ForcedStop that says how many requests were cut.
func (h *Host) Shutdown(ctx context.Context) error {
	now := time.Now()
	h.leaving.Store(true)
	h.log.Info().Msg("shutdown begins: withdrawn from look-ups")
	h.sendMembership(h.members.Leave(now))
	h.membersChanged(now)
	wait.For(ctx, h.cfg.Limits.LookupCacheTTL.Std()+cacheSlack)
	successor := h.handKeysOver(ctx)
	h.stopping.Store(true)
	cut := h.finishRequests(ctx)
	h.handLateKeys(ctx, successor)
	h.sendMembership(h.members.Exit(time.Now()))
	wait.For(ctx, drainPoll)
	stopErr := h.Stop()
	if cut > 0 {
		return result.New(result.ForcedStop, "%d requests were cut", cut)
	}
	h.log.Info().Msg("shutdown complete: no request was cut")
	return stopErr
}

// finishRequests waits until no request is held and returns how many are left
// when ctx ends or the grace of the settings has passed.
func (h *Host) finishRequests(ctx context.Context) int64 {
	limit := time.Now().Add(h.cfg.Limits.ShutdownGrace.Std())
	for h.requests.Load() > 0 && ctx.Err() == nil && time.Now().Before(limit) {
		wait.For(ctx, drainPoll)
	}
	return h.requests.Load()
}

// handKeysOver gives the records of idempotency keys to one other host of the
// domain. Only the first successor is ever told, because it may already run
// keys.
func (h *Host) handKeysOver(ctx context.Context) string {
	now := time.Now()
	var names []string
	ids := map[string]once.Identity{}
	for _, m := range h.members.Live(now) {
		if m.State == membership.Alive && m.Name != h.cfg.Host.Name {
			names = append(names, m.Name)
			ids[m.Name] = once.Identity{Domain: h.cfg.Host.Domain, Host: m.Name, Incarnation: m.Incarnation}
		}
	}
	slices.Sort(names)
	to := rendezvous.Pick("keys/"+h.cfg.Host.Name, names)
	if to == "" {
		h.log.Warn().Msg("no live host of the domain takes the keys over")
		return ""
	}
	chunks, err := h.owner.Export(now, ids[to])
	if err != nil {
		h.log.Error().Err(err).Msg("keys not exported")
		return ""
	}
	for _, c := range chunks {
		h.sendChunk(ctx, to, c)
	}
	h.log.Info().Str("successor", to).Int("chunks", len(chunks)).Msg("keys handed over")
	return to
}

// sendChunk sends until the successor confirms; importing twice does no harm.
func (h *Host) sendChunk(ctx context.Context, to string, c once.Chunk) {
	m, err := peer.NewMessage(kindKeyHandoff, c)
	if err != nil {
		h.log.Error().Err(err).Msg("keys not encoded")
		return
	}
	for range handoffTries {
		call, cancel := context.WithTimeout(ctx, askTimeout)
		answer, err := h.mesh.Call(call, to, m)
		cancel()
		var ok bool
		if err == nil && answer.Decode(&ok) == nil && ok {
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
	h.log.Warn().Str("successor", to).Msg("a part of the keys was not confirmed")
}

// handLateKeys sends the outcomes of requests that ended after the export.
func (h *Host) handLateKeys(ctx context.Context, successor string) {
	for successor != "" {
		c, ok := h.owner.TakeLate(time.Now())
		if !ok {
			return
		}
		h.sendChunk(ctx, successor, c)
	}
}

// announceHolds tells the domain whose keys this host answers for.
func (h *Host) announceHolds(now time.Time) {
	var held []membership.EndedProcess
	for _, id := range h.owner.Holds() {
		held = append(held, membership.EndedProcess{Name: id.Host, Incarnation: id.Incarnation})
	}
	h.sendMembership(h.members.SetHolds(now, held))
}
