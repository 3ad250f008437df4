package entry

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/retry"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// hedge starts a second attempt at another server of the own domain when the
// first one has been at its server for longer than most, within the hedge
// budget of the route. The first whole head of an answer wins; the other
// attempt is cancelled. The delay counts from the sending, because a request
// that still waits for a slot would only wait twice.
func (h *Host) hedge(next Handler) Handler {
	return func(ctx context.Context, ex *Exchange) error {
		if ex.Route.Rank != tables.Urgent || !ex.body.Replayable() {
			return next(ctx, ex)
		}
		budget := h.budget(ex.Route.Name)
		delay, ok := budget.HedgeDelay(ex.forBudget(result.Unknown))
		if !ok {
			return next(ctx, ex)
		}
		r := newRace(ctx, ex, next)
		defer r.close()
		r.first.onSend = func() { r.arm(delay, budget) }
		return r.run()
	}
}

// race is an attempt and its hedge.
type race struct {
	ex   *Exchange
	next Handler
	// first runs in the caller's goroutine, second in that of the timer.
	first, second             *Exchange
	firstCtx, secondCtx       context.Context
	cancelFirst, cancelSecond context.CancelFunc

	timer *time.Timer
	// ended is closed when the hedge has ended or will not start.
	ended chan struct{}
	// settle stops the timer and waits for a hedge that has started.
	settle func()
	// started, err and panicked tell of the hedge; they are read once ended is
	// closed.
	started  bool
	err      *result.Error
	panicked any

	mu     sync.Mutex
	winner *Exchange
}

func newRace(ctx context.Context, ex *Exchange, next Handler) *race {
	r := &race{ex: ex, next: next, first: ex.fork(), second: ex.fork(), ended: make(chan struct{})}
	r.firstCtx, r.cancelFirst = context.WithCancel(ctx)
	r.secondCtx, r.cancelSecond = context.WithCancel(ctx)
	r.first.claim = func() bool { return r.claim(r.first, r.cancelSecond) }
	r.second.claim = func() bool { return r.claim(r.second, r.cancelFirst) }
	r.settle = sync.OnceFunc(func() {
		if r.timer == nil || r.timer.Stop() {
			close(r.ended)
		}
		<-r.ended
	})
	return r
}

// close ends the hedge also when the first attempt panics.
func (r *race) close() {
	r.cancelFirst()
	r.cancelSecond()
	r.settle()
}

// claim lets the first caller win and cancels the other attempt.
func (r *race) claim(x *Exchange, cancelOther context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != nil {
		return false
	}
	r.winner = x
	if x == r.second {
		r.first.overtaken.Store(true)
	}
	cancelOther()
	return true
}

// arm starts the hedge after the delay.
func (r *race) arm(delay time.Duration, budget *retry.Budget) {
	r.second.beside = r.first.Server
	r.second.tried = append(r.second.tried, r.first.Server)
	r.timer = time.AfterFunc(delay, func() {
		defer close(r.ended)
		// net/http recovers panics in the goroutine of the request only.
		defer func() { r.panicked = recover() }()
		if r.secondCtx.Err() != nil || !budget.Hedge(time.Now(), r.second.forBudget(result.Unknown)).OK {
			return
		}
		r.started = true
		r.err = result.From(r.next(r.secondCtx, r.second))
	})
}

// run runs the first attempt, waits for the hedge if there is one, and hands
// the outcome to the exchange.
func (r *race) run() error {
	err := result.From(r.next(r.firstCtx, r.first))
	r.settle()
	if r.panicked != nil {
		panic(r.panicked)
	}
	if r.winner == r.second {
		r.ex.adopt(r.second)
		return asError(r.err)
	}
	r.ex.adopt(r.first)
	if err != nil && r.winner == nil && r.started {
		err.Run = result.MergeRunStates(err.Run, r.err.Run)
		if r.second.Server != "" {
			r.ex.tried = append(r.ex.tried, r.second.Server)
		}
	}
	return asError(err)
}

// asError avoids an error that is a nil pointer.
func asError(err *result.Error) error {
	if err == nil {
		return nil
	}
	return err
}
