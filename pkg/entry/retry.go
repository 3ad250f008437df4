package entry

import (
	"context"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/retry"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/wait"
)

// retry repeats an attempt that failed, within the budget of the route:
// requests that were not run, and idempotent ones.
func (h *Host) retry(next Handler) Handler {
	return func(ctx context.Context, ex *Exchange) error {
		body, rerr := forward.OpenBody(ex.Request, int64(ex.Route.MaxBody))
		if rerr != nil {
			return rerr
		}
		defer body.Close()
		ex.body = body
		budget := h.budget(ex.Route.Name)
		budget.RecordRequest(time.Now())
		run := result.NotRun
		for {
			ex.Tries++
			ex.attempt = &attempt{}
			err := result.From(next(ctx, ex))
			if err == nil {
				if !ex.sentAt.IsZero() {
					budget.RecordServiceTime(time.Now(), time.Since(ex.sentAt))
				}
				return nil
			}
			// An earlier attempt may have run although the last one did not.
			run = result.MergeRunStates(run, err.Run)
			err.Run = run
			if ex.Server != "" && err.Code != result.CallerGone {
				ex.tried = append(ex.tried, ex.Server)
			}
			if ex.Answered || !body.Sendable() || !isRetryable(err) {
				return err
			}
			decision := h.decideRetry(ex, err.Run)
			if !decision.OK {
				return err
			}
			if !wait.For(ctx, decision.Wait) {
				return err
			}
		}
	}
}

// isRetryable reports whether another attempt can help. Refusals for load are
// left to the caller, who is told when to come back.
func isRetryable(err *result.Error) bool {
	switch err.Code {
	case result.ServerShed, result.DispatcherUnknown, result.NoHeadroom:
		return true
	}
	return isServerFault(err.Code) || err.Code == result.RelayFailed
}

// decideRetry takes the decision about another attempt once.
func (h *Host) decideRetry(ex *Exchange, run result.RunState) retry.Decision {
	if ex.again == nil {
		d := h.budget(ex.Route.Name).Allow(time.Now(), ex.forBudget(run))
		ex.again = &d
	}
	return *ex.again
}

// forBudget describes the attempts so far for the retry budget.
func (ex *Exchange) forBudget(run result.RunState) retry.RequestState {
	return retry.RequestState{
		Idempotent: ex.Route.Idempotent, Run: run, Relayed: ex.relayed(), Tries: ex.Tries, DeadlineLeft: time.Until(ex.Deadline),
	}
}

func (h *Host) budget(route string) *retry.Budget {
	h.budgetsMu.Lock()
	defer h.budgetsMu.Unlock()
	b := h.budgets[route]
	if b == nil {
		b = retry.New(time.Now(), newRand())
		h.budgets[route] = b
	}
	return b
}
