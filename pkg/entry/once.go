package entry

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/membership"
	"github.com/tamarackswitch/tamarackswitch/pkg/core/once"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/peer"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// once lets a request with an idempotency key run at most once: at the host
// that the key names, or after a record at the platform.
func (h *Host) once(next Handler) Handler {
	return func(ctx context.Context, ex *Exchange) error {
		text := ex.Request.Header.Get(api.HeaderKey)
		// A request that another domain relays under a credit was decided by the
		// owner of its key before.
		if text == "" || ex.Route.Idempotent || (ex.relayed() && ex.Relay.Purpose == forward.ForSpill) {
			return next(ctx, ex)
		}
		key, err := once.ParseKey(text)
		if err != nil {
			return err
		}
		ex.Keyed = true
		req := once.Request{
			Key: key, Route: ex.Route.Name, Group: ex.Group,
			Fingerprint: ex.Request.Method + " " + ex.Request.URL.RequestURI(),
		}
		if key.Opaque {
			return h.runOpaque(ctx, ex, req, next)
		}
		now := time.Now()
		target, err := once.Resolve(h.self(now), key, h.keyHosts(now))
		if err != nil {
			return h.keyRefusal(result.From(err))
		}
		if !target.Local {
			return h.relayToOwner(ctx, ex, target.Relay)
		}
		return h.runOwned(ctx, ex, req, next)
	}
}

// keyRefusal advises a retry only while the owner may be reached again.
func (h *Host) keyRefusal(err *result.Error) error {
	if err.Code == result.KeyOwnerUnreachable {
		return err.WithRetryAfter(h.retryAfter())
	}
	return err
}

// runOwned runs a request whose key this host owns.
func (h *Host) runOwned(ctx context.Context, ex *Exchange, req once.Request, next Handler) error {
	start, err := h.owner.Begin(time.Now(), req)
	if err != nil {
		return err
	}
	if !start.Run {
		return h.replay(ex, start.Replay)
	}
	out := once.Outcome{State: once.Unsettled}
	defer func() {
		if err := h.owner.Finish(time.Now(), req.Key, out); err != nil {
			h.log.Error().Err(err).Msg("key not finished")
		}
	}()
	err = h.runKeyed(ctx, ex, next, &out)
	return err
}

// runKeyed runs the request and sets its outcome, with the answer if it is
// short enough to be stored.
func (h *Host) runKeyed(ctx context.Context, ex *Exchange, next Handler, out *once.Outcome) error {
	c := &capture{ResponseWriter: ex.Writer}
	ex.Writer = c
	err := result.From(next(ctx, ex))
	ex.Writer = c.ResponseWriter
	switch {
	case err == nil:
		out.State, out.Answer = once.Ran, c.answer()
		return nil
	case err.Run == result.NotRun:
		out.State = once.NotRun
	case err.Run == result.Run:
		out.State = once.Ran
	}
	return err
}

// runOpaque runs a request whose key names no owner, after the platform has
// recorded it.
func (h *Host) runOpaque(ctx context.Context, ex *Exchange, req once.Request, next Handler) error {
	op, step := h.storeKeys.Begin(time.Now(), req)
	for step.Action != nil {
		step = op.Next(time.Now(), h.storeCall(ctx, *step.Action))
	}
	if step.Err != nil {
		return step.Err
	}
	out := once.Outcome{State: once.Unsettled}
	defer func() {
		if action := h.storeKeys.Finish(time.Now(), op, out); action != nil {
			h.background(storeTimeout, func(ctx context.Context) { h.storeCall(ctx, *action) })
		}
	}()
	err := h.runKeyed(ctx, ex, next, &out)
	return err
}

func (h *Host) storeCall(ctx context.Context, a once.StoreAction) once.StoreResult {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var r once.StoreResult
	if a.Verb == once.StorePut {
		r.Object, r.Err = h.store.Put(ctx, a.Key, a.Value, a.IfVersion)
	} else {
		r.Object, r.Err = h.store.Get(ctx, a.Key)
	}
	return r
}

// replay answers a repeated key with the stored answer.
func (h *Host) replay(ex *Exchange, a *once.Answer) error {
	header := ex.Writer.Header()
	for k, v := range a.Header {
		header[k] = v
	}
	header.Set(api.HeaderReplayed, "true")
	header.Set(api.HeaderRequestID, ex.ID)
	ex.Answered, ex.Status = true, a.Status
	ex.Writer.WriteHeader(a.Status)
	if _, err := ex.Writer.Write(a.Body); err != nil {
		return result.Wrap(err, result.CallerGone, "the caller left during the answer").WithRun(result.Run)
	}
	return nil
}

// capture keeps a copy of a short answer on its way to the caller.
type capture struct {
	http.ResponseWriter
	status   int
	header   http.Header
	body     bytes.Buffer
	overflow bool
}

func (c *capture) Unwrap() http.ResponseWriter { return c.ResponseWriter }

func (c *capture) WriteHeader(status int) {
	c.status, c.header = status, c.Header().Clone()
	c.ResponseWriter.WriteHeader(status)
}

func (c *capture) Write(b []byte) (int, error) {
	if c.body.Len()+len(b) > once.MaxAnswerBytes {
		c.overflow = true
		c.body.Reset()
	}
	if !c.overflow {
		c.body.Write(b)
	}
	return c.ResponseWriter.Write(b)
}

func (c *capture) answer() *once.Answer {
	if c.overflow || c.status == 0 {
		return nil
	}
	c.header.Del(api.HeaderVia)
	c.header.Del(api.HeaderRequestID)
	return &once.Answer{Status: c.status, Header: c.header, Body: c.body.Bytes()}
}

// self describes this host for the resolution of keys.
func (h *Host) self(now time.Time) once.Host {
	return once.Host{Identity: h.owner.Self(), Reachable: true, Holds: h.owner.Holds()}
}

// keyHosts lists the entry hosts that may own keys: all of the own domain and
// those of other domains' summaries.
func (h *Host) keyHosts(now time.Time) []once.Host {
	var out []once.Host
	for _, m := range h.members.Members(now) {
		out = append(out, once.Host{
			Identity:  once.Identity{Domain: h.cfg.Host.Domain, Host: m.Name, Incarnation: m.Incarnation},
			Reachable: m.State == membership.Alive || m.State == membership.Leaving, Removed: m.State == membership.Dead,
			Holds: h.holdsOf(h.cfg.Host.Domain, m.Holds),
		})
	}
	// Summaries name a few hosts of a domain; the platform's list names all, but
	// not their incarnations, which the receiver of a relay checks.
	for _, p := range h.platformList() {
		if p.Domain != h.cfg.Host.Domain {
			out = append(out, once.Host{Identity: once.Identity{Domain: p.Domain, Host: p.Name}, Reachable: true})
		}
	}
	for domain, hosts := range h.foreignHosts(now) {
		for _, e := range hosts {
			out = append(out, once.Host{
				Identity:  once.Identity{Domain: domain, Host: e.Name, Incarnation: e.Incarnation},
				Reachable: true, Holds: h.holdsOf(domain, e.Holds),
			})
		}
	}
	return out
}

func (h *Host) holdsOf(domain string, held []membership.EndedProcess) []once.Identity {
	var out []once.Identity
	for _, x := range held {
		out = append(out, once.Identity{Domain: domain, Host: x.Name, Incarnation: x.Incarnation})
	}
	return out
}

// onHandoff imports the keys of a host that leaves.
func (h *Host) onHandoff(now time.Time, from peer.Identity, m peer.Message, c once.Chunk) {
	err := h.owner.Import(now, c)
	if err != nil {
		h.log.Warn().Err(err).Str("from", from.Name).Msg("keys not taken over")
	}
	if m.IsCall() {
		answer, e := peer.NewMessage(kindKeyHandoff, err == nil)
		if e == nil {
			m.Reply(answer)
		}
	}
	if err == nil {
		h.announceHolds(now)
	}
}
