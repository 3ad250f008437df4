package platform

import (
	"bytes"
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/wait"
)

// Bounds of PutSettled.
const (
	settleAttempts = 5
	settleDelay    = 100 * time.Millisecond
)

// PutSettled puts value if the object's version is ifVersion and settles an
// unknown outcome by reading the object back. If the object still has version
// ifVersion, it puts again: the condition lets at most one of the puts take
// effect, so a put that is delayed on its way does no harm.
//
// The errors are those of Store.Put, when it is certain that the first put
// changed nothing, and a *result.Error with code UpdateUnsettled and run state
// Unknown otherwise.
func PutSettled(ctx context.Context, store Store, key string, value []byte, ifVersion int64) (Object, error) {
	o, err := store.Put(ctx, key, value, ifVersion)
	if err == nil || isKnown(err) {
		return o, err
	}
	for attempt := range settleAttempts {
		if attempt > 0 && !wait.For(ctx, settleDelay<<(attempt-1)) {
			break
		}
		have, readErr := store.Get(ctx, key)
		if readErr != nil && !errors.Is(readErr, ErrNotFound) {
			continue
		}
		if have.Version > ifVersion && bytes.Equal(have.Value, value) {
			return have, nil
		}
		if have.Version != ifVersion {
			return Object{}, unsettled(err, "%s: version %d has another value; the update may have been in force before it", key, have.Version)
		}
		if o, putErr := store.Put(ctx, key, value, ifVersion); putErr == nil {
			return o, nil
		}
	}
	return Object{}, unsettled(err, "%s: the outcome could not be read back", key)
}

func unsettled(cause error, format string, args ...any) error {
	return result.Wrap(cause, result.UpdateUnsettled, format, args...).WithRun(result.Unknown)
}
