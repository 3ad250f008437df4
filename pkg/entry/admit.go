package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/slots"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// admit asks the dispatcher of the pool for a slot and gives it back when the
// attempt has ended.
func (h *Host) admit(next Handler) Handler {
	return func(ctx context.Context, ex *Exchange) error {
		p := h.pool(ex.Route.Pool)
		if p == nil {
			return result.New(result.NoHealthyServer, "pool %q is not in force", ex.Route.Pool).WithRetryAfter(h.retryAfter())
		}
		done, err := h.acceptCredit(ex, p)
		if err != nil {
			return err
		}
		defer done()
		ex.pool, ex.slotID = p, h.nextSlot.Add(1)
		request, answer := h.sizes(ex)
		ex.verdict = p.acquire(ctx, slotRequest{
			Pool: p.name, ID: ex.slotID, Rank: ex.Rank, Group: ex.Group, Once: !ex.Route.Idempotent, Exclude: ex.tried,
			Home: h.homeOf(ex), RequestBytes: request, AnswerBytes: answer, Stay: ex.relayed() || ex.beside != "",
			ServiceUS: h.typicalService(ex).Microseconds(),
		}, ex.Deadline)
		if ex.verdict.err != nil {
			return ex.verdict.err
		}
		return h.runGranted(ctx, ex, p, next)
	}
}

// runGranted runs the attempt and releases its slot, also when the attempt
// panics to abort the caller's connection.
func (h *Host) runGranted(ctx context.Context, ex *Exchange, p *pool, next Handler) (err error) {
	finished := false
	defer func() {
		failure := result.From(err)
		if !finished {
			failure = result.New(result.CallerGone, "aborted").WithRun(result.Unknown)
		}
		o := ex.outcome(failure, time.Now())
		r := slotRelease{Kind: o.Kind, ServiceUS: o.Service.Microseconds()}
		if ex.verdict.credit != nil {
			r.Kind = slots.Unused
			r.RequestBytes, r.AnswerBytes = float64(max(0, ex.Request.ContentLength)), float64(ex.answerBytes)
			r.CreditRefused = failure != nil && failure.Code == result.NoHeadroom
			r.CreditLost = failure != nil && (failure.Code == result.ConnectFailed || failure.Code == result.RelayFailed)
		}
		p.release(ex.slotID, r)
	}()
	err = next(ctx, ex)
	finished = true
	return err
}

// acceptCredit admits a request that another domain relayed under a credit.
func (h *Host) acceptCredit(ex *Exchange, p *pool) (done func(), _ error) {
	if !ex.relayed() || ex.Relay.Purpose != forward.ForSpill {
		return func() {}, nil
	}
	p.mu.Lock()
	d := p.dispatching
	p.mu.Unlock()
	if d == nil {
		return nil, result.New(result.NoHeadroom, "this entry host does not dispatch pool %q", p.name).WithRetryAfter(h.retryAfter())
	}
	credit, err := decodeCredit(ex.Relay.Credit)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if err := d.lender.Accept(now, credit, d.lendable(now)); err != nil {
		return nil, err
	}
	return func() { d.lender.Release(time.Now(), credit.From) }, nil
}

// firstService is taken for the service time of a route without recent answers.
const firstService = 50 * time.Millisecond

// typicalService returns the recent service time of the route. It is never 0,
// because other domains are asked for credit by the slot time that is needed.
func (h *Host) typicalService(ex *Exchange) time.Duration {
	if d := h.budget(ex.Route.Name).MedianServiceTime(); d > 0 {
		return d
	}
	return firstService
}

// homeOf returns the domain that a look-up gives the caller, or "" if the
// client's address is in no block.
func (h *Host) homeOf(ex *Exchange) string {
	s := h.lookups.Load()
	ap, err := netip.ParseAddrPort(ex.Request.RemoteAddr)
	if s == nil || err != nil {
		return ""
	}
	home, _ := s.Home(ap.Addr())
	return home
}
