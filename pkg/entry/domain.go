package entry

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/tamarackswitch/tamarackswitch/pkg/core/spill"
	"github.com/tamarackswitch/tamarackswitch/pkg/forward"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// domain relays an attempt that the dispatcher placed in another failure
// domain, under the credit that it was given.
func (h *Host) domain(next Handler) Handler {
	return func(ctx context.Context, ex *Exchange) error {
		c := ex.verdict.credit
		if c == nil {
			ex.Domain = h.cfg.Host.Domain
			return next(ctx, ex)
		}
		ex.Domain = c.To
		return h.relay(ctx, ex, ex.verdict.lender, forward.ForSpill, encodeCredit(c))
	}
}

// encodeCredit writes what the lender needs to recognize its credit.
func encodeCredit(c *spill.Credit) string { return fmt.Sprintf("%s/%d/%d", c.From, c.ID, c.Epoch) }

func decodeCredit(text string) (spill.Credit, error) {
	fields := strings.Split(text, "/")
	if len(fields) != 3 {
		return spill.Credit{}, result.New(result.BadRelay, "credit %q is malformed", text)
	}
	id, err := strconv.ParseUint(fields[1], 10, 64)
	epoch, err2 := strconv.ParseUint(fields[2], 10, 64)
	if err != nil || err2 != nil {
		return spill.Credit{}, result.New(result.BadRelay, "credit %q is malformed", text)
	}
	return spill.Credit{From: fields[0], ID: id, Epoch: epoch}, nil
}
